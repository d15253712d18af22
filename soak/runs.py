"""One run of the soak: start, faults, recovery, verdict."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

import aiohttp

from sardinemill.emulator.object_store_server import ObjectStoreServer

from .clients import ClientPlan, SessionClient
from .databases import GROUP, DatabaseGroup
from .faults import ScheduledFault, World, make_schedule
from .history import Freshness, History, Violation, check_rate
from .instances import InstanceProcess

START_SECONDS = 30.0
# The contract: service as before within this time after the last fault.
RECOVERY_SECONDS = 15.0
CHECK_SECONDS = 0.25
BOUND_SECONDS = 1.5
# Plan of the workspace that asks for more than it may use; the tolerance is that of
# the contract (`quota_window_s`, `quota_overshoot`, `quota_slack`).
SMALL_RATE = 20
SMALL_BURST = 20
QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20
LARGE_RATE = 2000
# Workspaces with rate and burst; the last one asks for more than that.
WORKSPACES = {
    "hives": (LARGE_RATE, LARGE_RATE),
    "loans": (LARGE_RATE, LARGE_RATE),
    "small": (SMALL_RATE, SMALL_BURST),
}
ROUTES = {
    "bookings": (Freshness.LATEST, 0.0),
    "status": (Freshness.BOUNDED, BOUND_SECONDS),
    "logs": (Freshness.OWN_WRITES, BOUND_SECONDS),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """What one run does; the seed decides everything else."""

    seed: int
    n_instances: int = 4
    n_clients: int = 9
    seconds: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakReport:
    """Outcome of one run."""

    plan: SoakPlan
    n_served: int
    n_failed: int
    n_faults: int
    n_promotions: int
    recovery_seconds: float
    violations: tuple[Violation, ...]


def make_document(version: int = 1) -> dict[str, object]:
    """Desired state: three routes, two ordinary workspaces and a small one."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "kind": freshness.value,
                "service": GROUP,
                "timeout_ms": 1000,
                "priority": 1,
                "max_staleness_ms": int(bound * 1000),
                "allow_anonymous": False,
            }
            for host, (freshness, bound) in ROUTES.items()
        ],
        "services": [{"name": GROUP, "max_connections": 90}],
        "limits": {"transaction_idle_ms": 3000},
        "tenants": [
            {
                "name": name,
                "api_keys": [f"key-{name}"],
                "requests_per_s": rate,
                "burst": burst,
            }
            for name, (rate, burst) in WORKSPACES.items()
        ],
    }


class SoakRun:
    """Starts everything, runs a schedule and checks the promises.

    :param directory: receives settings and logs of the instances.
    """

    def __init__(self, plan: SoakPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._random = Random(plan.seed)
        self._history = History()
        self._violations: list[Violation] = []
        self._store = ObjectStoreServer(self._promote)
        self._group = DatabaseGroup(self._store)
        self._instances: list[InstanceProcess] = []
        self._clients: list[SessionClient] = []
        self._small: list[SessionClient] = []

    def _promote(self, group: str, name: str) -> bool:
        return self._group.promote(group, name)

    async def run(self) -> SoakReport:
        """Run all of it.

        :raises TimeoutError: when the instances are not ready in time at the start.
        """
        await self._start()
        try:
            async with aiohttp.ClientSession() as session:
                await self._wait_until_ready(session, START_SECONDS)
                schedule = make_schedule(
                    self._random, self._plan.n_instances, self._plan.seconds
                )
                await self._disturb(schedule)
                recovery_seconds = await self._recover(session)
            self._judge()
        finally:
            await self._stop()
        return SoakReport(
            plan=self._plan,
            n_served=sum(len(item.admitted_at) for item in self._clients),
            n_failed=sum(item.n_failed for item in self._clients),
            n_faults=len(schedule),
            n_promotions=len(self._store.promotions),
            recovery_seconds=recovery_seconds,
            violations=tuple(self._violations),
        )

    async def _start(self) -> None:
        self._directory.mkdir(parents=True, exist_ok=True)
        await self._store.start()
        await self._group.start()
        self._store.put("config", "main", make_document())
        for number in range(self._plan.n_instances):
            instance = InstanceProcess(
                number, "xyz"[number % 3], self._store, self._directory
            )
            await instance.prepare()
            await instance.start()
            self._instances.append(instance)
        self._clients = [self._make_client(n) for n in range(self._plan.n_clients)]

    def _make_client(self, number: int) -> SessionClient:
        host, (freshness, bound) = list(ROUTES.items())[number % len(ROUTES)]
        workspace = list(WORKSPACES)[number // len(ROUTES) % len(WORKSPACES)]
        plan = ClientPlan(
            name=f"c{number}",
            workspace=workspace,
            key=f"key-{workspace}",
            host=host,
            freshness=freshness,
            bound_seconds=bound,
            pause_seconds=0.02 if workspace == "small" else 0.15,
        )
        client = SessionClient(
            plan,
            self._instances,
            self._history,
            Random(self._random.getrandbits(64)),
            time.monotonic,
        )
        if workspace == "small":
            self._small.append(client)
        return client

    async def _stop(self) -> None:
        # Processes first: none may be left when something else fails.
        for instance in self._instances:
            await instance.kill()
        for instance in self._instances:
            await instance.stop()
        await self._group.stop()
        await self._store.stop()

    async def _wait_until_ready(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> None:
        async with asyncio.timeout(seconds):
            for instance in self._instances:
                await _repeat_until(partial(instance.is_ready, session))

    async def _disturb(self, schedule: Sequence[ScheduledFault]) -> None:
        """Run clients and faults; faults that still last at the end are ended."""
        world = World(self._instances, self._group, self._store)
        clients = [asyncio.create_task(item.run()) for item in self._clients]
        watch = asyncio.create_task(self._watch_processes())
        began_at = time.monotonic()
        faults = []
        for item in schedule:
            await asyncio.sleep(max(0.0, began_at + item.at - time.monotonic()))
            faults.append(asyncio.create_task(item.fault.run(world)))
        await asyncio.sleep(max(0.0, began_at + self._plan.seconds - time.monotonic()))
        for task in faults:
            task.cancel()
        results = await asyncio.gather(*faults, return_exceptions=True)
        await self._heal()
        for task in (*clients, watch):
            task.cancel()
        results += await asyncio.gather(*clients, watch, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _watch_processes(self) -> None:
        while True:
            for instance in self._instances:
                instance.check()
            await asyncio.sleep(CHECK_SECONDS)

    async def _heal(self) -> None:
        self._store.is_down = False
        self._store.n_lost_answers = 0
        await self._group.heal()
        for instance in self._instances:
            await instance.heal()

    async def _recover(self, session: aiohttp.ClientSession) -> float:
        """Wait until every client of an ordinary plan is served at every instance."""
        began_at = time.monotonic()
        clients = [item for item in self._clients if item not in self._small]
        try:
            async with asyncio.timeout(RECOVERY_SECONDS):
                await self._wait_until_ready(session, RECOVERY_SECONDS)
                await asyncio.gather(*(self._visit_all(item) for item in clients))
        except TimeoutError:
            detail = f"not served as before after {RECOVERY_SECONDS} s"
            self._violations.append(Violation("RECOVERY", detail))
        return time.monotonic() - began_at

    async def _visit_all(self, client: SessionClient) -> None:
        """Have a client served at each instance."""
        for instance in self._instances:
            await _repeat_until(partial(client.run_session, instance, n_operations=3))

    def _judge(self) -> None:
        """Check what can be checked only at the end."""
        log = self._group.primary.log
        commits = [tuple(value for _, value in commit.writes) for commit in log]
        self._violations += self._history.check_log(commits)
        for client in self._clients:
            self._violations += client.violations
        for instance in self._instances:
            self._violations += instance.violations
        for database in self._group.databases.values():
            for statement in database.executed_statements:
                words = statement.text.split()
                items = [word for word in words if word.split("-")[0] in WORKSPACES]
                if any(item.split("-")[0] != statement.workspace for item in items):
                    detail = (
                        f"{statement.workspace} ran {statement.text} at {database.name}"
                    )
                    self._violations.append(Violation("MIXED", detail))
        self._violations += check_rate(
            (at for client in self._small for at in client.admitted_at),
            rate=SMALL_RATE,
            burst=SMALL_BURST,
            window_seconds=QUOTA_WINDOW_SECONDS,
            overshoot=QUOTA_OVERSHOOT,
            slack=QUOTA_SLACK,
        )


async def _repeat_until(attempt: Callable[[], Awaitable[bool]]) -> None:
    """Repeat something until it succeeds."""
    while True:
        if await attempt():
            return
        await asyncio.sleep(CHECK_SECONDS)
