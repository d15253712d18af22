"""Prober with control connections that go silent or cannot be opened."""

import asyncio
from dataclasses import replace

from replication_world import DATABASES, GROUP, HOMES, FakeDatabase
from sardinemill.adapters.clocks import SeededRandom, SystemClock
from sardinemill.adapters.prober import Prober
from sardinemill.errors import UpstreamUnavailable
from sardinemill.pipeline import Inbox
from sardinemill.positions import LogPosition
from sardinemill.replication import (
    DatabaseReport,
    FenceAnswer,
    FenceRequest,
    GroupsChanged,
    ReportFailure,
    ReportQuery,
)


class FakeControl:
    """Control connection that never answers when it is silent."""

    def __init__(self, is_silent: bool) -> None:
        self._is_silent = is_silent
        self._database = FakeDatabase("db0")
        self.is_closed = False

    async def report(self, *, wait_for, timeout_seconds) -> DatabaseReport:
        asked_at = SystemClock().now()
        if self._is_silent or wait_for is not None:
            await asyncio.Event().wait()
        report = self._database.report()
        return replace(report, asked_at=asked_at, received_at=SystemClock().now())

    async def fence(self, request: FenceRequest) -> FenceAnswer:
        return self._database.fence(request)

    async def close(self) -> None:
        self.is_closed = True


class FakeConnector:
    """Connector whose first ``n_silent`` connections are silent.

    Connections to ``db1`` are refused.
    """

    def __init__(self, n_silent: int = 0) -> None:
        self._n_silent = n_silent
        self.opened: list[FakeControl] = []

    async def connect(self, database, *, timeout_seconds):
        raise NotImplementedError

    async def connect_control(self, database, *, timeout_seconds) -> FakeControl:
        if database.name == "db1":
            raise UpstreamUnavailable("refused", step="connect", peer=database.name)
        self.opened.append(FakeControl(len(self.opened) < self._n_silent))
        return self.opened[-1]


def run_calls(connector: FakeConnector, *calls: object) -> list[object]:
    """Make calls and return the messages in the sink after the first one arrived."""

    async def run() -> list[object]:
        sink = Inbox()
        prober = Prober(connector, SystemClock(), SeededRandom(1), sink)
        await prober.start()
        prober.offer(GroupsChanged(groups=(GROUP,), homes=(("hives", HOMES),)))
        for call in calls:
            prober.offer(call)
        await sink.wait(10.0)
        await prober.stop()
        return [sink.take() for _ in range(len(sink))]

    return asyncio.run(run())


def make_query(database: str, wait_for: LogPosition | None = None) -> ReportQuery:
    return ReportQuery(group=GROUP.name, database=database, wait_for=wait_for)


def test_silent_connection_is_replaced_without_a_failure():
    """Guards against a failover because one open connection went silent."""
    connector = FakeConnector(n_silent=1)
    (report,) = run_calls(connector, make_query(DATABASES[0]))
    assert isinstance(report, DatabaseReport)
    assert report.received_at >= report.asked_at > 0
    assert [item.is_closed for item in connector.opened] == [True, True]


def test_database_without_connections_is_reported_as_failed():
    """Guards against a query that never gets a reply."""
    (failure,) = run_calls(FakeConnector(), make_query("db1"))
    assert isinstance(failure, ReportFailure)


def test_fence_does_not_wait_for_a_report():
    """Guards against a failover that waits for a long poll for a log position."""
    request = FenceRequest(group=GROUP.name, database="db0", term=1, orderer="home0/1")
    (answer,) = run_calls(
        FakeConnector(), make_query("db0", LogPosition(9, 9)), request
    )
    assert isinstance(answer, FenceAnswer) and answer.accepted
