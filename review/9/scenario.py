"""Case: open transactions go on with a key that was withdrawn.

Clients of a tenant have written inside transactions when the operator withdraws the
tenant's key. Some use a database name that stays: they send ``COMMIT`` later than
``config_apply_ms`` after the confirmation. Others use a name that the same version
drops: they go on writing and commit many seconds later.
"""

import asyncio
import copy
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from database_standin import Service  # noqa: E402

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    CaseNotRun,
    Deployment,
    has_trouble,
    is_success,
    make_document,
    make_tenant,
    run_case,
)

# bounds.config_apply_ms.
CONFIG_APPLY_SECONDS = 3.0
N_CLIENTS = 6
WITHDRAWN, KEPT = "key-to-withdraw", "key-that-stays"
# After the confirmation. A transaction never rests for the 3 s of transaction_idle_ms.
EARLY_SECONDS = 0.12
COMMIT_SECONDS = 3.05
LATER_SECONDS = (2.0, 4.0, 6.0, 8.0, 10.0, 12.0)


async def begin(client, host: str) -> None:
    """Open a session and a transaction that has written."""
    if not (await client.start(host, WITHDRAWN))[0].startswith("READY"):
        raise CaseNotRun("a session was not opened")
    await client.ask("BEGIN")
    if not is_success(await client.ask(f"WRITE {client.name}-0 x")):
        raise CaseNotRun("a write was not run before the change")


async def commit_late(client, confirmed_at: float) -> list[float]:
    """Read at once and commit late; return when statements ran after the bound."""
    await asyncio.sleep(confirmed_at + EARLY_SECONDS - time.monotonic())
    await client.ask("READ 1a4")
    await asyncio.sleep(confirmed_at + COMMIT_SECONDS - time.monotonic())
    sent_after = time.monotonic() - confirmed_at
    return [sent_after] if is_success(await client.ask("COMMIT")) else []


async def go_on(client, confirmed_at: float) -> list[float]:
    """Go on writing, then commit; return when statements ran after the bound."""
    ran = []
    texts = [f"WRITE {client.name}-{number} x" for number in range(1, 6)] + ["COMMIT"]
    for seconds, text in zip(LATER_SECONDS, texts, strict=True):
        await asyncio.sleep(confirmed_at + seconds - time.monotonic())
        sent_after = time.monotonic() - confirmed_at
        if not is_success(await client.ask(text)):
            break
        if sent_after > CONFIG_APPLY_SECONDS:
            ran.append(sent_after)
    return ran


async def case(record_path: Path) -> int:
    service = Service("tenant-dbs")
    deployment = Deployment(record_path, [service])
    tenants = [make_tenant("hives", [WITHDRAWN, KEPT])]
    document = make_document([service], tenants)
    old_route = dict(document["routes"][0], name="r-old", host="old-bookings")
    document["routes"].append(old_route)
    try:
        await deployment.start(document)
        committers = [
            deployment.make_client(index % 3, f"committer{index}")
            for index in range(N_CLIENTS)
        ]
        writers = [
            deployment.make_client(index % 3, f"writer{index}")
            for index in range(N_CLIENTS)
        ]
        for client in committers:
            await begin(client, "bookings")
        for client in writers:
            await begin(client, "old-bookings")
        newer = copy.deepcopy(document)
        newer["version"] = 9
        newer["routes"].remove(old_route)
        if has_trouble():
            newer["tenants"][0]["api_keys"] = [KEPT]
        deployment.store.put("config", "main", newer)
        confirmed_at = time.monotonic()
        deployment.record("version 9 confirmed")
        late_commits, late_statements = await asyncio.gather(
            asyncio.gather(*(commit_late(item, confirmed_at) for item in committers)),
            asyncio.gather(*(go_on(item, confirmed_at) for item in writers)),
        )
        others = [deployment.make_client(index, f"new{index}") for index in range(3)]
        starts = [await client.start("bookings", WITHDRAWN) for client in others]
        n_denied = sum("DENIED" in lines[0] for lines in starts)
        items = service.primary.items
        n_kept = sum(name.startswith(("committer", "writer")) for name in items)
        for client in (*committers, *writers, *others):
            client.close()
        n_commits = sum(map(len, late_commits))
        n_statements = sum(map(len, late_statements))
        last = max((max(item, default=0.0) for item in late_statements), default=0.0)
        text = (
            f"with the name that stays, {n_commits} of {N_CLIENTS} COMMIT sent"
            f" {COMMIT_SECONDS} s after the confirmation ran; with the dropped name,"
            f" {n_statements} statements sent later than {CONFIG_APPLY_SECONDS} s after"
            f" it ran, the last one {last:.1f} s after it; {n_kept} items are kept; new"
            f" sessions with that key: {n_denied} of 3 denied"
        )
        deployment.record(text)
        print(text)
        if not has_trouble():
            # The key stays, and a transaction goes on with the route it began on.
            return HELD if n_commits == N_CLIENTS and not n_denied else NOT_RUN
        if n_denied < 3:
            raise CaseNotRun("the version is not in force")
        return BROKEN if n_commits or n_statements else HELD
    finally:
        await deployment.stop()


run_case(FOLDER, case)
