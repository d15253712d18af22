"""The soak itself: its checks find what they are there for, and a short run is clean.

Longer runs are made by hand, ``make soak``.
"""

import asyncio
import signal
from random import Random

import pytest
from soak.clients import Answer
from soak.databases import GROUP, DatabaseGroup
from soak.faults import make_schedule
from soak.history import Effect, Freshness, History, Read, Write, check_rate
from soak.instances import InstanceProcess
from soak.links import HEALTHY, LinkFaults, LinkProxy
from soak.runs import SoakPlan, SoakRun

from sardinemill.emulator.line_protocol_database import Commit
from sardinemill.emulator.object_store_server import ObjectStoreServer

# Only a guard against a test that hangs; nothing is measured by it.
PATIENCE_SECONDS = 60.0


def make_write(number, effect=Effect.DONE, *, session=1, at=100.0):
    """A write of item ``a`` that ended at a time."""
    return Write(
        item="a",
        value=f"a.{number}",
        session=session,
        sent_at=at - 0.1,
        ended_at=at,
        effect=effect,
    )


def make_read(value, freshness=Freshness.LATEST, *, session=1, at=101.0):
    """A read of item ``a``."""
    return Read(
        item="a",
        value=value,
        session=session,
        sent_at=at,
        freshness=freshness,
        bound_seconds=1.5,
    )


def list_rules(history, read):
    """Rules that a read breaks."""
    return [item.rule for item in history.check_read(read)]


@pytest.mark.parametrize(
    ("read", "expected"),
    [
        (make_read("a.2"), []),
        (make_read("a.1"), ["STALE"]),
        (make_read("-"), ["STALE"]),
        (make_read("b.7"), ["MIXED"]),
        (make_read("a.1", Freshness.OWN_WRITES, session=1), ["STALE"]),
        (make_read("a.1", Freshness.OWN_WRITES, session=2), []),
        (make_read("a.1", Freshness.BOUNDED, at=101.0), []),
        (make_read("a.1", Freshness.BOUNDED, at=102.0), ["STALE"]),
    ],
)
def test_reads_are_held_to_what_their_route_promises(read, expected):
    """Guards against a soak that accepts stale reads, or rejects allowed ones."""
    history = History()
    history.note_write(make_write(1, at=99.0))
    history.note_write(make_write(2, at=100.0))
    assert list_rules(history, read) == expected


def test_write_without_an_answer_may_show_late_but_not_for_ever():
    """Guards against false alarms after lost answers, and against blindness."""
    history = History()
    history.note_write(make_write(1, Effect.UNKNOWN, at=100.0))
    history.note_write(make_write(2, at=101.0))
    assert list_rules(history, make_read("a.1", at=102.0)) == []
    assert list_rules(history, make_read("a.1", at=130.0)) == ["STALE"]


def test_log_is_compared_with_what_callers_were_told():
    """Guards against lost, repeated and falsely refused writes that go unseen."""
    history = History()
    for number, effect in enumerate((Effect.DONE, Effect.NOT_RUN, Effect.UNKNOWN)):
        history.note_write(make_write(number, effect))
    assert history.check_log([("a.0",)]) == []
    found = history.check_log([("a.1",), ("a.2",), ("a.2",)])
    assert [item.rule for item in found] == ["LOST", "REFUSED", "TWICE"]


def test_rate_is_checked_in_every_window():
    """Guards against a burst between two windows of a fixed grid."""
    plan = {"rate": 2, "burst": 2, "window_seconds": 5.0, "overshoot": 0.1, "slack": 0}
    assert check_rate([0.5 * n for n in range(100)], **plan) == []
    crowd = [50.0 + 0.01 * n for n in range(14)]
    (violation,) = check_rate(crowd, **plan)
    assert violation.rule == "QUOTA"


def test_answers_of_a_session():
    """Guards against refusals that are taken for success."""
    done = Answer(("ROW a.1", "DONE x", "READY I 1.2"))
    assert (done.is_done, done.code, done.row, done.is_usable) == (
        True,
        "",
        "a.1",
        True,
    )
    refused = Answer(("ERROR BUSY later", "READY E -"))
    assert (refused.is_done, refused.code, refused.is_usable) == (False, "BUSY", False)
    assert not Answer(()).is_usable


async def answer_with_echo(reader, writer):
    """Send back all that arrives."""
    while data := await reader.read(100):
        writer.write(data)


def run_with_link(scenario):
    """Run a scenario with a link to a server that sends back all that arrives."""

    async def run():
        server = await asyncio.start_server(answer_with_echo, "127.0.0.1", 0)
        link = LinkProxy(server.sockets[0].getsockname()[1])
        await link.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        try:
            await scenario(link, reader, writer)
        finally:
            writer.close()
            await link.stop()
            server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "faults", [LinkFaults(holds_requests=True), LinkFaults(holds_answers=True)]
)
def test_held_bytes_arrive_after_the_fault(faults):
    """Guards against cuts that lose bytes of a connection which goes on."""

    async def scenario(link, reader, writer):
        link.set_faults(faults)
        writer.write(b"x")
        receiving = asyncio.create_task(reader.read(1))
        await asyncio.sleep(0.1)
        assert not receiving.done()
        link.set_faults(HEALTHY)
        assert await receiving == b"x"

    run_with_link(scenario)


def test_reset_and_refusal_end_connections():
    """Guards against faults of links that have no effect."""

    async def scenario(link, reader, writer):
        writer.write(b"x")
        assert await reader.read(1) == b"x"
        link.reset()
        link.reset()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        link.set_faults(LinkFaults(refuses=True))
        other, closing = await asyncio.open_connection("127.0.0.1", link.port)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await other.readexactly(1)
        closing.close()

    run_with_link(scenario)


def test_promoted_database_leads_and_the_old_one_follows_after_its_restart():
    """Guards against a stand-in that loses acknowledged writes by itself."""

    async def scenario():
        store = ObjectStoreServer(lambda group, name: True)
        group = DatabaseGroup(store)
        await group.start()
        old = group.primary.name
        assert await group.crash(old)
        assert not await group.crash("db2")
        assert group.promote(GROUP, "db3")
        assert group.primary.name == "db3"
        await group.restart(old)
        assert not group.databases[old].is_primary
        await group.stop()

    asyncio.run(scenario())


def make_commit(database, value):
    """Commit a write at a database, as its clients do."""
    database.append_commit(Commit(database.term, (("a", value),), 1))


def test_superseded_primary_is_rolled_back_and_may_lead_again():
    """Guards against a stand-in that loses or mixes commits (seeds 304 and 308)."""

    async def scenario():
        group = DatabaseGroup(ObjectStoreServer(lambda *_: True))
        await group.start()
        first, second, third = group.databases.values()
        make_commit(first, "a.1")
        group.promote(GROUP, third.name)
        make_commit(first, "a.2")
        make_commit(third, "a.3")
        assert [item.writes[0][1] for item in second.log] == ["a.1", "a.3"]
        group.promote(GROUP, second.name)
        # The third one has not stepped down.
        group.promote(GROUP, third.name)
        assert group.primary is third
        first.is_primary = second.is_primary = False
        make_commit(third, "a.4")
        for database in (first, second):
            values = [item.writes[0][1] for item in database.log]
            assert values == ["a.1", "a.3", "a.4"]
        await group.stop()

    asyncio.run(scenario())


def test_schedule_follows_its_seed():
    """Guards against a seed that cannot be repeated."""
    first, second = (make_schedule(Random(5), 4, 60.0) for _ in range(2))
    assert first == second
    assert len(first) > 20
    assert len({type(item.fault) for item in first}) > 4


async def wait_until(condition):
    """Wait for something that happens at its own pace."""
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    ("number", "is_running"), [(signal.SIGTERM, False), (signal.SIGHUP, True)]
)
def test_signals_during_the_start_do_not_fail_the_instance(
    tmp_path, number, is_running
):
    """Guards against an instance that ends with the signal while it imports modules."""

    async def scenario():
        store = ObjectStoreServer(lambda *_: True)
        await store.start()
        instance = InstanceProcess(0, "x", store, tmp_path)
        await instance.prepare()
        await instance.start()
        await wait_until(lambda: instance.handles_signals)
        instance.send_signal(number)
        log = tmp_path / "i0.jsonl"
        await wait_until(
            lambda: not instance.is_running or "instance_started" in log.read_text()
        )
        assert instance.is_running is is_running
        instance.check()
        assert instance.violations == []
        await instance.stop()
        await store.stop()

    asyncio.run(scenario())


def read_log(directory):
    """Log of the instance so far."""
    path = directory / "i0.jsonl"
    return path.read_text() if path.exists() else ""


def test_two_faults_start_an_instance_once(tmp_path):
    """Guards against a second process on the ports of the first."""

    async def scenario():
        instance = InstanceProcess(0, "x", ObjectStoreServer(lambda *_: True), tmp_path)
        await instance.prepare()
        starting = [asyncio.create_task(instance.start()) for _ in range(3)]
        starting[0].cancel()
        await asyncio.gather(*starting, return_exceptions=True)
        for _ in range(2):
            await instance.start()
            await wait_until(lambda: "instance_started" in read_log(tmp_path))
            (tmp_path / "i0.jsonl").unlink()
            instance.check()
            await instance.kill()
        assert instance.violations == []
        assert "already in use" not in (tmp_path / "i0.err").read_text()
        await instance.stop()

    asyncio.run(scenario())


def test_short_run_breaks_no_promise(tmp_path):
    """Guards against a fault of the real processes, and against a soak that rots."""
    plan = SoakPlan(seed=1, n_instances=3, n_clients=6, seconds=6.0)
    report = asyncio.run(SoakRun(plan, tmp_path).run())
    assert report.violations == ()
    assert report.n_served > 0
    assert report.n_faults > 0
