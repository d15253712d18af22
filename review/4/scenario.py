"""A superseded primary is promoted although a replica holds newer commits."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from harness import (  # noqa: E402
    Deployment,
    Session,
    has_trouble,
    make_route,
    make_tenant,
    run_script,
)

KEY = "key-hives"
# Clients in the data centre that is cut off; they use the instance there.
NEAR_KEY = "key-yards"
N_WRITERS = 12
# All coordinators are in office by then, and may act.
ESTABLISHMENT_SECONDS = 11.0
# `zone_cut` of the site lcg-prestiti: up to 6.3 s.
CUT_SECONDS = 6.2
# The new primary crashes this long before the end of the partition.
CRASH_BEFORE_END_SECONDS = 0.6
OBSERVE_SECONDS = 14.0


async def write_all_the_time(
    deployment: Deployment, number: int, acknowledged: dict[str, float]
) -> None:
    """Write a new item again and again; note when each write was acknowledged."""
    instance = deployment.instances[number % len(deployment.instances)]
    key = NEAR_KEY if instance.zone == "zone-a" else KEY
    count = 0
    while True:
        session = Session(f"writer{number + 1}", deployment.record)
        is_open = (await session.open(instance.front, "bookings", key)).state == "I"
        while is_open:
            count += 1
            item = f"w{number}_{count}"
            answer = await session.run(f"WRITE {item} data")
            if answer.is_done:
                acknowledged[item] = deployment.record.now()
            is_open = answer.state == "I"
            if not answer.is_done:
                await asyncio.sleep(0.05)
        session.close()
        await asyncio.sleep(0.1)


async def read(deployment: Deployment, item: str) -> tuple[float, str]:
    """Read an item at any instance; return when it was sent and the row, if served."""
    for instance in deployment.instances[:-1]:
        session = Session("reader", deployment.record)
        sent_at, row = deployment.record.now(), ""
        if (await session.open(instance.front, "bookings", KEY)).state == "I":
            sent_at = deployment.record.now()
            answer = await session.run(f"READ {item}")
            row = answer.row if answer.is_done else ""
        session.close()
        if row:
            return sent_at, row
    return sent_at, ""


def is_recorded(fleet: dict, primary: str) -> bool:
    """Return whether the instances have recorded a primary and the failover is over."""
    return any(
        item["primary"] == primary and item["phase"] == "steady"
        for item in fleet.get("groups", ())
    )


def list_items(database) -> list[str]:
    return [item for commit in database.log for item, _ in commit.writes]


async def run(deployment: Deployment) -> list[str]:
    zones = {"i-a1": "zone-a", "i-a2": "zone-b", "i-a3": "zone-c"}
    group = deployment.add_group("dbs", zones)
    for number, zone in enumerate(("zone-b", "zone-c", "zone-b", "zone-a")):
        deployment.add_instance(f"front-{number + 1}", zone)
    routes = [make_route("bookings", "dbs", "primary")]
    await deployment.add_peer_proxies()
    tenants = [make_tenant("hives", KEY), make_tenant("yards", NEAR_KEY)]
    record, platform = deployment.record, deployment.platform
    # Content of the object that the instances write into the store.
    fleet: dict = {}
    platform.on_write = lambda kind, name, spec: fleet.update(spec)
    # The instance in the data centre that is cut off is no coordinator: it starts last.
    near = deployment.instances.pop()
    await deployment.start(routes, tenants)
    deployment.instances.append(near)
    async with asyncio.timeout(30.0):
        while len(fleet.get("coordinators", ())) < 3:
            await asyncio.sleep(0.1)
        await near.start()
        while not await near.is_ready():
            await asyncio.sleep(0.1)
    await asyncio.sleep(ESTABLISHMENT_SECONDS)
    acknowledged: dict[str, float] = {}
    writers = [
        asyncio.create_task(write_all_the_time(deployment, number, acknowledged))
        for number in range(N_WRITERS)
    ]
    await asyncio.sleep(2.0)

    old = group.leader
    began = record.now()
    if has_trouble():
        old.reaches_others = False
        old.cut("yards")
        deployment.cut_peers("front-4", True)
    while has_trouble() and group.leader is old and record.now() < began + CUT_SECONDS:
        await asyncio.sleep(0.01)
    new = group.leader
    on_new = set(list_items(new))
    missing = [
        item
        for item in list_items(old)
        if item not in on_new
        and acknowledged.get(item, began + 9) < began + CUT_SECONDS
    ]
    record.write("summary", f"{new.name} leads; it lacks the acknowledged {missing}")
    # The planned stop of the machine that carried the failover out, once it is over.
    crash_at = began + CUT_SECONDS - CRASH_BEFORE_END_SECONDS
    while has_trouble() and not is_recorded(fleet, new.name):
        if record.now() > crash_at:
            raise RuntimeError("the failover took too long for this disruption")
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    names = [call.holder for call in platform.promotions] or ["front-1"]
    holder = next(item for item in deployment.instances if item.name == names[-1])
    record.write(holder.name, "gets SIGTERM")
    holder.send_signal(signal.SIGTERM)
    reads: list[tuple[str, float, str, str]] = []
    while record.now() < crash_at:
        for item in missing[:3]:
            sent_at, row = await read(deployment, item)
            reads.append((item, sent_at, row, group.leader.name))
        await asyncio.sleep(0.1)
    if has_trouble():
        await new.crash()
    await asyncio.sleep(max(0.0, began + CUT_SECONDS - record.now()))
    if has_trouble():
        old.reaches_others = True
        old.heal()
        deployment.cut_peers("front-4", False)
    await asyncio.sleep(OBSERVE_SECONDS)
    for task in writers:
        task.cancel()
    await asyncio.gather(*writers, return_exceptions=True)

    final = set(list_items(group.leader))
    violations = [
        f"STALE: read of {item} sent at {sent_at:.3f} runs on {name}, whose log lacks"
        f" its commit, acknowledged at {acknowledged[item]:.3f}; no promote rolled it"
        f" back: {group.leader.name} holds it"
        for item, sent_at, row, name in reads
        if row == "none" and item in final
    ]
    gone = [item for item in acknowledged if item not in final]
    for call in platform.promotions:
        print(f"{call.at:.3f} {call.database} {call.holder} {call.fence}")
    summary = (
        f"{len(acknowledged)} writes acknowledged;"
        f" {len(missing)} missing at {new.name};"
        f" {len(reads)} reads there; primary at the end {group.leader.name};"
        f" {len(gone)} acknowledged writes are gone"
    )
    record.write("summary", summary)
    print(summary)
    if has_trouble() and not missing:
        raise RuntimeError("no acknowledged write was on its way at the start")
    return violations


run_script(Path(__file__).resolve().parent, run)
