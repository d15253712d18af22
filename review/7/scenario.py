"""Case: a leaving primary gets new work without end when no other database is there.

The replicas of a service are lost for good. Then its primary reports that it is
draining, and goes on serving for a while, as databases do. Clients send single
statements all the time.
"""

import asyncio
import contextlib
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
    make_document,
    make_tenant,
    run_case,
)

# bounds.drain_ms, from the store's confirmation.
DRAIN_SECONDS = 7.0
# After the loss of the replicas; their entries lapse after 3.6 s.
LOSS_SECONDS = 6.0
# The primary goes on serving for a little longer than drain_ms.
SERVE_SECONDS = 14.0
N_CLIENTS = 6


async def send_statements(deployment, index: int) -> int:
    """Send single statements until cancelled, like clients that retry."""
    n_answers = 0
    while True:
        client = deployment.make_client(index % 3, f"c{index}")
        with contextlib.suppress(OSError):
            lines = await client.start("bookings", "key-of-hives")
            while lines[-1].startswith("READY"):
                n_answers += 1
                lines = await client.ask(f"WRITE item{index} {n_answers}")
                await asyncio.sleep(0.1)
        client.close()
        await asyncio.sleep(0.2)


async def case(record_path: Path) -> int:
    service = Service("tenant-dbs")
    deployment = Deployment(record_path, [service])
    leaving, *replicas = service.databases
    runs: list[float] = []

    def record(text: str) -> None:
        deployment.record(text)
        if text.startswith("run "):
            runs.append(time.monotonic())

    leaving._record = record
    tenants = [make_tenant("hives", ["key-of-hives"])]
    clients = []
    try:
        await deployment.start(make_document([service], tenants))
        clients = [
            asyncio.create_task(send_statements(deployment, index))
            for index in range(N_CLIENTS)
        ]
        await asyncio.sleep(2.0)
        if not runs:
            raise CaseNotRun("no statement ran in calm")
        if has_trouble():
            for replica in replicas:
                await replica.crash()
            deployment.record("the replicas are lost")
        await asyncio.sleep(LOSS_SECONDS)
        leaving.state = "draining"
        deployment.store.put("servers", leaving.name, leaving.describe())
        confirmed_at = time.monotonic()
        deployment.record(f"{leaving.name} is draining, confirmed by the store")
        await asyncio.sleep(SERVE_SECONDS)
        late = [at - confirmed_at for at in runs if at > confirmed_at + DRAIN_SECONDS]
        text = (
            f"{len(late)} statements ran at the leaving database later than"
            f" {DRAIN_SECONDS} s after the store confirmed that it is draining, the"
            f" last one {max(late, default=0.0):.1f} s after it; {len(runs)} in all"
        )
        deployment.record(text)
        print(text)
        return BROKEN if late else HELD
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await deployment.stop()


run_case(FOLDER, case)
