"""A primary starts again under its id without its data, before another is promoted."""

import asyncio
import os
import time

from harness import Database, Deployment, Session, has_trouble, make_route, make_tenant

KEY = "key-hives"
N_ITEMS = 10
# The database is back before a failover can promote another one.
DOWN_SECONDS = float(os.environ.get("DOWN_SECONDS", "0.5"))
# Reads go on for longer than a failover and all bounds of the pages take.
READ_SECONDS = 20.0


async def restart_empty(database: Database, is_primary: bool) -> None:
    """Crash a database and start it again under its id, holding nothing of before."""
    await database.crash()
    await asyncio.sleep(DOWN_SECONDS)
    database.log, database.n_applied, database.term = [], 0, 1
    database.restart(int(time.time() * 1000), is_primary)
    await database.start()
    role = "primary" if is_primary else "replica"
    database.group.record.write(
        "databases", f"{database.name} starts again as {role}, holding nothing"
    )


async def write_items(deployment: Deployment) -> dict[str, str]:
    """Write each item once and return the data whose write was acknowledged."""
    acknowledged: dict[str, str] = {}
    session = Session("writer", deployment.record)
    await session.open(deployment.instances[0].front, "bookings", KEY)
    for number in range(N_ITEMS):
        item, data = f"item{number}", f"data{number}"
        for _ in range(20):
            if (await session.run(f"WRITE {item} {data}")).is_done:
                acknowledged[item] = data
                break
            await asyncio.sleep(0.2)
    session.close()
    if len(acknowledged) < N_ITEMS:
        raise RuntimeError("the writes before the disruption were not served")
    return acknowledged


async def run(deployment: Deployment, is_primary: bool) -> list[str]:
    """Return a violation for each read that lacks what was acknowledged before it.

    :param is_primary: how the database sees itself when it starts again.
    """
    zones = {"i-a1": "zone-a", "i-a2": "zone-b", "i-a3": "zone-c"}
    group = deployment.add_group("dbs", zones)
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c", "zone-a")):
        deployment.add_instance(f"front-{number + 1}", zone)
    routes = [make_route("bookings", "dbs", "primary")]
    await deployment.start(routes, [make_tenant("hives", KEY)])
    acknowledged = await write_items(deployment)
    await asyncio.sleep(1.0)
    if has_trouble():
        await restart_empty(group.databases["i-a1"], is_primary)
    violations: list[str] = []
    n_served = 0
    end = deployment.record.now() + READ_SECONDS
    while deployment.record.now() < end:
        for number, instance in enumerate(deployment.instances):
            session = Session(f"reader{number + 1}", deployment.record)
            opened = await session.open(instance.front, "bookings", KEY)
            if opened.state != "I":
                session.close()
                continue
            item = f"item{number}"
            sent_at = deployment.record.now()
            answer = await session.run(f"READ {item}")
            session.close()
            if not answer.is_done:
                continue
            n_served += 1
            if answer.row != acknowledged[item]:
                violations.append(
                    f"STALE: read {session.last_id} of {item} sent at {sent_at:.3f}"
                    f" gets {answer.row}; acknowledged before: {acknowledged[item]}"
                )
        await asyncio.sleep(0.2)
    if n_served < 50:
        raise RuntimeError("too few reads were served")
    summary = (
        f"{n_served} reads served, {len(violations)} of them without what was"
        f" acknowledged; {len(deployment.platform.promotions)} promotions;"
        f" primary: {group.leader.name}"
    )
    deployment.record.write("summary", summary)
    print(summary)
    return violations
