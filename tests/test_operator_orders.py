"""Operators' orders: executed once, by the instance that must execute each."""

import asyncio

from memory_fleet import MemoryFleet, post
from sardinemill.adapters.clocks import SeededRandom
from sardinemill.control import DrainOrdered, OrderNotice, PeerEnvelope
from sardinemill.filters.operator_orders import OperatorOrders
from sardinemill.store_calls import StoreFailure, StoreReply
from test_composition import create_table


def test_ordered_promotion_and_drain_reach_their_targets():
    """Guards against orders that no instance finds, and against one executed twice."""

    async def wait_for(condition):
        for _ in range(400):
            if await condition():
                return
            await asyncio.sleep(0.02)
        raise AssertionError("the order had no effect")

    async def scenario(fleet, client):
        url = fleet.url("i0")
        await create_table(client, url)
        await fleet.store.put("promotions/hives", b"order", expected_version=0)
        await fleet.store.put("drains/i1", b"order", expected_version=0)

        async def is_promoted():
            status, document, _ = await post(client, url, "insert into t values (1)")
            return status == 200 and document["served_by"] != "hives-0"

        async def is_drained():
            return any(isinstance(item, DrainOrdered) for item in fleet.stops.events)

        await wait_for(is_promoted)
        await wait_for(is_drained)
        assert await fleet.store.list_names("drains/") == ()
        assert await fleet.store.list_names("promotions/") == ()
        terms = {
            fleet.group.get_database(name).fenced_term for name in fleet.group.databases
        }
        assert terms == {2}
        assert len(fleet.stops.events) == 1

    asyncio.run(MemoryFleet().run(scenario))


def test_order_whose_deletion_is_not_confirmed_is_not_carried_out():
    """Guards against a drain that is executed again after each restart."""
    for failure in (StoreFailure.CONFLICT, StoreFailure.UNAVAILABLE):
        orders = OperatorOrders("a", "x", SeededRandom(1))
        notice = PeerEnvelope(peer="b", message=OrderNotice(name="drains/a"))
        (read,) = orders.handle(notice, 0.0)
        assert not orders.handle(notice, 0.1)
        found = StoreReply(call=read.message, failure=None, asked_at=0.0, version=3)
        (delete,) = orders.handle(found, 0.2)
        assert delete.message.expected_version == 3
        lost = StoreReply(call=delete.message, failure=failure, asked_at=0.2)
        (emission,) = orders.handle(lost, 0.3)
        assert emission.outlet == "events"
        foreign = PeerEnvelope(peer="b", message=OrderNotice(name="drains/c"))
        assert not orders.handle(foreign, 0.4)
