"""Whole instances between clients, databases and the platform, on real sockets."""

import asyncio

import aiohttp

from sardinemill.fleet.views import InitialSyncCompleted, IsolationChanged
from sardinemill.session_composition import IsolatedSessionCloser, Readiness
from session_cluster import make_document, run_in_cluster


def test_statements_transactions_and_values():
    """Guards against a path that loses rows, signatures, values or transactions."""

    async def scenario(cluster):
        client, opened = await cluster.connect()
        assert opened == ["READY I -"]
        written = await client.ask("WRITE a one")
        assert written[0].startswith("DONE p.")
        assert (await client.ask("READ a"))[0] == "ROW one"
        assert await client.ask("SET zone north") == ["DONE -", "READY I -"]
        assert (await client.ask("PREPARE s1 READ q2c"))[0] == "DONE -"
        assert (await client.ask("EXECUTE s1 a"))[0] == "ROW one"
        assert cluster.databases["p"].executed_statements[-1].values == (
            ("zone", "north"),
        )
        assert await client.ask("BEGIN") == ["DONE -", "READY T -"]
        await client.ask("WRITE a two")
        assert (await client.ask("READ a"))[0] == "ROW two"
        assert (await client.ask("ROLLBACK"))[-1] == "READY I -"
        assert (await client.ask("READ a"))[0] == "ROW one"
        await client.ask("BEGIN")
        await client.ask("WRITE a three")
        assert (await client.ask("COMMIT"))[0].startswith("DONE p.")
        assert cluster.databases["p"].find("a") == "three"

    run_in_cluster(scenario)


def test_reads_with_staleness_go_to_replicas_and_show_own_writes():
    """Guards against reads that load the primary, and against a stale own write."""

    async def scenario(cluster):
        client, _ = await cluster.connect("logs")
        await client.ask("WRITE b one")
        assert (await client.ask("READ b"))[0] == "ROW one"
        cluster.databases["r1"].replicas = cluster.databases["r2"].replicas = []
        cluster.databases["p"].replicas = []
        await client.ask("WRITE b two")
        assert (await client.ask("READ b"))[0] == "ROW two"
        replicas = [cluster.databases[name] for name in ("r1", "r2")]
        assert any(
            statement.text.startswith("READ") or "READ" in statement.text
            for item in replicas
            for statement in item.executed_statements
        )

    run_in_cluster(scenario)


def test_upstreams_see_the_workspace_and_never_the_key():
    """Guards against a key that is passed on."""

    async def scenario(cluster):
        client, _ = await cluster.connect()
        await client.ask("WRITE c one")
        executed_statements = [
            statement
            for item in cluster.databases.values()
            for statement in item.executed_statements
        ]
        assert {statement.workspace for statement in executed_statements} == {"hives"}
        assert "key-of-hives" not in repr(executed_statements)

    run_in_cluster(scenario)


def test_withdrawn_key_stops_an_open_session():
    """Guards against a withdrawn key that works while its caller stays connected."""

    async def scenario(cluster):
        client, _ = await cluster.connect(instance="i1")
        assert (await client.ask("WRITE d one"))[0].startswith("DONE")
        cluster.store.put("config", "main", make_document(version=2, keys=("other",)))
        answer = await client.ask("READ d")
        while not answer[0].startswith("ERROR DENIED"):
            await asyncio.sleep(0.1)
            answer = await client.ask("READ d")
        # The other instance may learn of the configuration a moment later.
        _, opened = await cluster.connect(instance="i0")
        while not opened[0].startswith("ERROR DENIED"):
            await asyncio.sleep(0.1)
            _, opened = await cluster.connect(instance="i0")

    run_in_cluster(scenario)


def test_dead_primary_is_replaced_and_writes_go_on():
    """Guards against a group without a primary, and against two promotions."""

    async def scenario(cluster):
        await cluster.ask_until("WRITE e one", "DONE p.")
        primary = cluster.databases["p"]
        primary.is_up = False
        await primary.stop()
        answer = await cluster.ask_until("WRITE e two", "DONE")
        name = answer[0].split()[1].partition(".")[0]
        assert [call.database for call in cluster.store.promotions] == [name]
        assert cluster.databases[name].find("e") == "two"

    run_in_cluster(scenario, n_instances=3)


def test_store_outage_stops_nothing():
    """Guards against instances that need the store for each statement."""

    async def scenario(cluster):
        client, _ = await cluster.connect()
        await client.ask("WRITE f one")
        cluster.store.is_down = True
        for _ in range(30):
            assert (await client.ask("READ f"))[0] == "ROW one"
            await asyncio.sleep(0.1)

    run_in_cluster(scenario, n_instances=3)


def test_lost_answer_of_a_write_is_in_doubt_and_not_repeated():
    """Guards against a write that is repeated, or refused as not run."""

    async def scenario(cluster):
        client, _ = await cluster.connect()
        await client.ask("WRITE g zero")
        cluster.databases["p"].n_lost_answers = 1
        answer = await client.ask("WRITE g one")
        assert answer[0].startswith("ERROR INDOUBT")
        commits = [
            item for item in cluster.databases["p"].log if item.writes[0][0] == "g"
        ]
        assert len(commits) == 2

    run_in_cluster(scenario)


def test_lost_answer_of_a_read_is_read_elsewhere():
    """Guards against a read that is lost with one answer."""

    async def scenario(cluster):
        client, _ = await cluster.connect("logs")
        await client.ask("WRITE h one")
        for database in cluster.databases.values():
            database.n_lost_answers = 1 if not database.is_primary else 0
        assert (await client.ask("READ h"))[0] == "ROW one"

    run_in_cluster(scenario)


def test_malformed_lines_disturb_nobody_else():
    """Guards against a client that ends other sessions, or the listener."""

    async def scenario(cluster):
        good, _ = await cluster.connect()
        for data in (
            b"\xff\xfe\r\n",
            b"HELLO\r\n",
            b"START bookings key-of-hives\r\n\0\r\n",
        ):
            address = cluster.settings["i0"].front_address
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(data)
            writer.write_eof()
            await reader.read()
            writer.close()
        bad, _ = await cluster.connect()
        assert (await bad.ask("SELECT 1"))[0].startswith("ERROR MALFORMED")
        assert (await good.ask("WRITE i one"))[0].startswith("DONE")

    run_in_cluster(scenario)


def test_graceful_stop_ends_sessions_and_cuts_no_transaction():
    """Guards against a planned stop that cuts a request."""

    async def scenario(cluster):
        client, _ = await cluster.connect()
        idle, _ = await cluster.connect()
        await client.ask("BEGIN")
        await client.ask("WRITE j one")
        instance = cluster.instances.pop("i0")
        stopping = asyncio.create_task(instance.application.stop())
        await asyncio.sleep(0.05)
        assert not instance.readiness.is_ready
        assert (await client.ask("COMMIT"))[0].startswith("DONE p.")
        assert await idle.receive() == ["closed"]
        assert await stopping == []

    run_in_cluster(scenario)


def test_readiness_and_metrics_are_served():
    """Guards against a balancer that sends sessions to an instance without knowledge,
    and against metrics that nobody can read.
    """

    async def scenario(cluster):
        client, _ = await cluster.connect()
        await client.ask("WRITE k one")
        settings = cluster.settings["i0"]
        async with aiohttp.ClientSession() as session:
            url = f"http://{settings.ready_address}/sardinemill/readiness"
            async with session.get(url) as response:
                assert response.status == 200
            async with session.get(f"http://{settings.metrics_address}/metrics") as got:
                text = await got.text()
        assert "sardinemill_statements" in text
        assert "key-of-hives" not in text

    run_in_cluster(scenario, n_instances=1)


def test_isolated_instance_is_not_ready():
    """Guards against new sessions on the wrong side of a cut."""
    readiness = Readiness()
    readiness.offer(InitialSyncCompleted())
    assert readiness.is_ready
    readiness.offer(IsolationChanged(True))
    assert not readiness.is_ready
    readiness.offer(IsolationChanged(False))
    assert readiness.is_ready


class Listener:
    """Counts calls."""

    def __init__(self):
        self.n_closes = 0

    async def close_idle(self):
        self.n_closes += 1


class ManualClock:
    """Sleeps until the test has advanced it."""

    def __init__(self):
        self.seconds = 0.0

    async def sleep(self, seconds):
        end = self.seconds + seconds
        while self.seconds < end:  # noqa: ASYNC110
            await asyncio.sleep(0)

    async def advance(self, seconds):
        """Let time pass in small steps."""
        for _ in range(round(seconds * 10)):
            self.seconds += 0.1
            await asyncio.sleep(0)
            await asyncio.sleep(0)


def test_idle_sessions_leave_a_lasting_isolation_only():
    """Guards against idle sessions that stay with an instance which cannot serve them,
    and against sessions that are closed for a short disturbance.
    """

    async def scenario():
        listener, clock = Listener(), ManualClock()
        session_closer = IsolatedSessionCloser(listener, clock)
        await session_closer.start()
        session_closer.offer(IsolationChanged(True))
        await clock.advance(1.0)
        session_closer.offer(IsolationChanged(False))
        await clock.advance(5.0)
        assert listener.n_closes == 0
        session_closer.offer(IsolationChanged(True))
        await clock.advance(3.0)
        assert listener.n_closes == 1
        await session_closer.stop()

    asyncio.run(scenario())
