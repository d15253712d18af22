"""Case: transactions without a statement pass the limit of their tenant.

One tenant sends ``BEGIN`` and ``COMMIT`` at a multiple of its usual rate. The script
counts the transactions that databases ran for it in each window.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from database_standin import Service  # noqa: E402
from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    CaseNotRun,
    Deployment,
    has_trouble,
    is_success,
    make_document,
    make_tenant,
    run_case,
)

RATE, BURST = 64, 64
USUAL_PER_SECOND = 40.0
# Largest factor of hot_tenant in the site file.
HOT_FACTOR = 7.5
WINDOW_SECONDS = 5.0
BOUND = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20
LENGTH_SECONDS = 6.5
N_SESSIONS = 30


async def send_transactions(client, key: str, interval: float, until: float) -> int:
    """Send transactions without a statement at a rate; return how many succeeded."""
    if not (await client.start("bookings", key))[0].startswith("READY"):
        raise CaseNotRun("a session was not opened")
    n_succeeded = 0
    due_at = time.monotonic()
    while time.monotonic() < until:
        if is_success(await client.ask("BEGIN")):
            n_succeeded += is_success(await client.ask("COMMIT"))
        due_at += interval
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
    client.close()
    return n_succeeded


async def case(record_path: Path) -> int:
    service = Service("tenant-dbs", work_seconds=0.002)
    deployment = Deployment(record_path, [service])
    runs: list[float] = []

    def record(text: str) -> None:
        deployment.record(text)
        if text.startswith("run ") and " hives " in text:
            runs.append(time.monotonic())

    for database in service.databases:
        database._record = record
    tenants = [make_tenant("hives", ["key-of-hives"], RATE, BURST)]
    try:
        await deployment.start(make_document([service], tenants))
        factor = HOT_FACTOR if has_trouble() else 1.0
        interval = N_SESSIONS / (USUAL_PER_SECOND * factor)
        until = time.monotonic() + LENGTH_SECONDS
        succeeded = await asyncio.gather(
            *(
                send_transactions(
                    deployment.make_client(index % 3, f"c{index}"),
                    "key-of-hives",
                    interval,
                    until,
                )
                for index in range(N_SESSIONS)
            )
        )
        most = max(
            (sum(at <= other < at + WINDOW_SECONDS for other in runs) for at in runs),
            default=0,
        )
        text = (
            f"{len(runs)} transactions of the tenant ran, {sum(succeeded)} were"
            f" answered with success; at most {most} in {WINDOW_SECONDS} s,"
            f" allowed are {BOUND:.0f}"
        )
        deployment.record(text)
        print(text)
        if not runs:
            raise CaseNotRun("no transaction ran")
        return BROKEN if most > BOUND else HELD
    finally:
        await deployment.stop()


run_case(FOLDER, case)
