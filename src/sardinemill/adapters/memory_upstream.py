"""In-process databases for tests, which trigger the replication explicitly."""

import itertools
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial

from ..emulator.database import Database
from ..emulator.service import DatabaseService
from ..errors import Outcome, UpstreamBusy, UpstreamUnavailable
from ..groups import DatabaseDescription
from ..interfaces import Clock
from ..messages import UpstreamCall, UpstreamResult
from ..positions import LogPosition
from ..replication import (
    AdmitRequest,
    DatabaseReport,
    FenceAnswer,
    FenceRequest,
    PromoteAnswer,
    PromoteRequest,
)
from .clocks import SystemClock


class MemoryGroup:
    """In-memory databases of one replication group.

    :param databases: names; the first database starts as primary of term 1.
    :param read_time: clock for idle time-outs and the age of idempotency records.
    """

    def __init__(
        self,
        name: str,
        databases: Sequence[str],
        *,
        read_time: Callable[[], float] = time.time,
    ) -> None:
        self.name = name
        self._read_time = read_time
        self._services: dict[str, DatabaseService] = {}
        self._start_numbers = itertools.count(1)
        for index, database in enumerate(databases):
            self._start(database, is_initial_primary=index == 0)

    def _start(
        self, name: str, *, is_initial_primary: bool, is_rejoining: bool = False
    ) -> None:
        database = Database(
            name,
            self.name,
            f"{name}/{next(self._start_numbers)}",
            is_initial_primary=is_initial_primary,
            is_rejoining=is_rejoining,
        )
        self._services[name] = DatabaseService(database, self._read_time)

    @property
    def databases(self) -> Sequence[str]:
        """Names of the databases."""
        return tuple(self._services)

    def get_service(self, name: str) -> DatabaseService:
        """:raises KeyError: when there is no such database."""
        return self._services[name]

    def get_database(self, name: str) -> Database:
        """:raises KeyError: when there is no such database."""
        return self._services[name].database

    def restart(self, name: str) -> None:
        """Restart a database: an empty new incarnation recovers its data."""
        self._start(name, is_initial_primary=False, is_rejoining=True)

    def replicate(
        self, source: str, target: str, *, last_offset: int | None = None
    ) -> bool:
        """Send the source's log to the target up to ``last_offset``.

        :param last_offset: offset of the last entry to send; the whole log by default.
        :returns: whether the target accepted the source as its primary.
        """
        sender = self.get_database(source)
        if not sender.is_primary:
            return False
        last = sender.position.offset
        if last_offset is not None:
            last = min(last_offset, last)
        next_offset = last + 1
        while True:
            append_request = sender.member.make_append(next_offset, last)
            answer = self._services[target].append(append_request)
            if answer.fenced_term > append_request.term:
                return False
            if answer.accepted and answer.next_offset > last:
                return True
            next_offset = answer.next_offset

    def replicate_all(self) -> None:
        """Replicate the log of the primary with the highest term to all databases."""
        primaries = [
            service.database
            for service in self._services.values()
            if service.database.is_primary
        ]
        if primaries:
            source = max(primaries, key=lambda database: database.fenced_term)
            for target in self._services:
                if target != source.name:
                    self.replicate(source.name, target)


class MemoryConnection:
    """Connection to a database of a :class:`MemoryGroup`.

    :param find_service: returns the database; raises when it is unreachable.
    :param connection_id: identifies the connection at the database.
    """

    def __init__(
        self,
        find_service: Callable[[], DatabaseService],
        connection_id: int,
        connector: "MemoryConnector",
    ) -> None:
        self._find_service = find_service
        self._service = find_service()
        self._connection_id = connection_id
        self._connector = connector
        self._is_open = True

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        # A restart of the database ends the connection.
        if not self._is_open or self._find_service() is not self._service:
            raise UpstreamUnavailable("the connection is closed", step="run")
        self._service.expire()
        result = await self._service.run(self._connection_id, call)
        self._connector.raise_if_answer_lost(self._service.database.name)
        return result

    async def close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._service.close_connection(self._connection_id)
            self._connector.release(self._service.database.name)


class MemoryControlConnection:
    """Control connection to a database of a :class:`MemoryGroup`."""

    def __init__(
        self, find_service: Callable[[], DatabaseService], clock: Clock
    ) -> None:
        self._find_service = find_service
        self._clock = clock

    async def report(
        self, *, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        asked_at = self._clock.now()
        report = await self._find_service().report(wait_for, timeout_seconds)
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def fence(self, request: FenceRequest) -> FenceAnswer:
        return self._find_service().fence(request)

    async def admit(self, request: AdmitRequest) -> DatabaseReport:
        asked_at = self._clock.now()
        report = self._find_service().admit(request)
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def promote(self, request: PromoteRequest) -> PromoteAnswer:
        return self._find_service().promote(request)

    async def close(self) -> None:
        """Do nothing: there is no resource to release."""


class MemoryConnector:
    """Connector to in-process databases, with fault injection.

    A connection to a database of an unknown group creates the group with this database
    as its only member.

    :ivar unreachable: names of databases that do not answer.
    :ivar n_lost_answers: by database, the number of calls whose answer is still to be
        dropped after the call has taken effect.
    """

    def __init__(
        self, groups: Sequence[MemoryGroup] = (), clock: Clock | None = None
    ) -> None:
        self._groups = {group.name: group for group in groups}
        self._clock = SystemClock() if clock is None else clock
        self._connection_ids = itertools.count(1)
        self._n_open: Counter[str] = Counter()
        self.unreachable: set[str] = set()
        self.n_lost_answers: Counter[str] = Counter()

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> MemoryConnection:
        find_service = partial(self._find_service, database)
        find_service()
        if self._n_open[database.name] >= database.n_connections:
            raise UpstreamBusy("no free connection", step="connect", peer=database.name)
        self._n_open[database.name] += 1
        return MemoryConnection(find_service, next(self._connection_ids), self)

    async def connect_control(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> MemoryControlConnection:
        find_service = partial(self._find_service, database)
        find_service()
        return MemoryControlConnection(find_service, self._clock)

    def release(self, name: str) -> None:
        """Record that a connection to a database was closed."""
        self._n_open[name] -= 1

    def raise_if_answer_lost(self, name: str) -> None:
        """Raise an error if the answer of a database is to be lost.

        :raises UpstreamUnavailable: with outcome *unknown*, when it is.
        """
        if self.n_lost_answers[name] > 0:
            self.n_lost_answers[name] -= 1
            raise UpstreamUnavailable(
                "the answer was lost", step="run", peer=name, outcome=Outcome.UNKNOWN
            )

    def _find_service(self, database: DatabaseDescription) -> DatabaseService:
        if database.name in self.unreachable:
            raise UpstreamUnavailable(
                "the database does not answer", step="connect", peer=database.name
            )
        group = self._groups.get(database.group)
        if group is None:
            group = MemoryGroup(database.group, [database.name])
            self._groups[database.group] = group
        return group.get_service(database.name)
