"""Kills primaries during writes and splits the failover gap by logged events."""

import asyncio
import json
import time
from dataclasses import dataclass
from itertools import count

import aiohttp

from .deployment import Deployment

WRITE_TIMEOUT_SECONDS = 10.0
SETTLE_SECONDS = 1.0
FAILOVER_TIMEOUT_SECONDS = 30.0
STEP_EVENTS = {
    "primary_suspected": "detect",
    "fence_completed": "fence",
    "primary_chosen": "choose",
    "primary_promoted": "promote",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class FailoverGap:
    """Time without acknowledged writes in one failover.

    :param gap_seconds: from the kill to the first acknowledged write that began after
        it.
    :param steps: seconds from the kill to the first event that ends each step.
    """

    group: str
    gap_seconds: float
    steps: dict[str, float]

    def make_row(self) -> dict[str, object]:
        """Return a table row; each step counts from the end of the previous one."""
        row: dict[str, object] = {"group": self.group, "gap_s": self.gap_seconds}
        before = 0.0
        for name in ("detect", "fence", "choose", "promote"):
            at = self.steps.get(name, before)
            row[f"{name}_s"] = at - before
            before = at
        row["learn_s"] = self.gap_seconds - before
        return row


async def measure_failovers(deployment: Deployment) -> list[FailoverGap]:
    """Kill the primary of each group once, one after the other."""
    gaps = []
    async with aiohttp.ClientSession() as client:
        for group in deployment.groups:
            workspace = next(
                item.name
                for item in deployment.size.workspaces
                if item.group == group.name
            )
            gaps.append(
                await _measure_failover(client, deployment, group.name, workspace)
            )
            await asyncio.sleep(SETTLE_SECONDS)
    return gaps


async def _measure_failover(
    client: aiohttp.ClientSession, deployment: Deployment, group: str, workspace: str
) -> FailoverGap:
    write_numbers = count()
    primary = await _write(client, deployment, workspace, next(write_numbers))
    killed_at, killed_ns = time.monotonic(), time.time_ns()
    deployment.databases[primary].kill()
    while time.monotonic() - killed_at < FAILOVER_TIMEOUT_SECONDS:
        if await _write(client, deployment, workspace, next(write_numbers)):
            break
    gap_seconds = time.monotonic() - killed_at
    await asyncio.sleep(SETTLE_SECONDS)
    return FailoverGap(
        group=group,
        gap_seconds=gap_seconds,
        steps=_read_steps(deployment, group, killed_ns),
    )


async def _write(
    client: aiohttp.ClientSession, deployment: Deployment, workspace: str, number: int
) -> str:
    """Write a row through an instance, chosen in rotation by ``number``.

    :returns: the database that accepted the write, or ``""``.
    """
    names = list(deployment.instances)
    url = deployment.front_url(names[number % len(names)])
    headers = {
        "Authorization": f"Bearer {deployment.keys[workspace]}",
        "Request-Timeout": str(WRITE_TIMEOUT_SECONDS),
    }
    body = {"sql": "insert into event values ('failover', ?)", "parameters": [number]}
    async with client.post(
        f"{url}/v1/statement", json=body, headers=headers
    ) as response:
        document = await response.json()
        return document["served_by"] if response.status == 200 else ""


def _read_steps(deployment: Deployment, group: str, killed_ns: int) -> dict[str, float]:
    steps: dict[str, float] = {}
    for process in deployment.instances.values():
        for line in process.log_path.read_text(encoding="utf-8").splitlines():
            event = json.loads(line)
            name = STEP_EVENTS.get(event["name"])
            seconds = (event["wall_ns"] - killed_ns) / 1e9
            if name and event.get("group") == group and seconds > 0:
                steps[name] = min(seconds, steps.get(name, seconds))
    return steps
