"""Databases in this process, for decisions under test; replication is by hand."""

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
    """Databases of one group in memory.

    :param databases: names; the first starts as primary of term 1.
    :param read_time: seconds for idle limits and the age of idempotency records.
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
        self._n_starts = itertools.count(1)
        for number, database in enumerate(databases):
            self._start(database, is_initial_primary=number == 0)

    def _start(
        self, name: str, *, is_initial_primary: bool, is_rejoining: bool = False
    ) -> None:
        database = Database(
            name,
            self.name,
            f"{name}/{next(self._n_starts)}",
            is_initial_primary=is_initial_primary,
            is_rejoining=is_rejoining,
        )
        self._services[name] = DatabaseService(database, self._read_time)

    @property
    def databases(self) -> Sequence[str]:
        """Names of all databases."""
        return tuple(self._services)

    def get_service(self, name: str) -> DatabaseService:
        """:raises KeyError: when there is no such database."""
        return self._services[name]

    def get_database(self, name: str) -> Database:
        """:raises KeyError: when there is no such database."""
        return self._services[name].database

    def restart(self, name: str) -> None:
        """Replace a database by an empty one that recovers in a new incarnation."""
        self._start(name, is_initial_primary=False, is_rejoining=True)

    def replicate(
        self, source: str, target: str, *, last_offset: int | None = None
    ) -> bool:
        """Send the source's log to the target until it has ``last_offset``.

        :param last_offset: the whole log by default.
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
            order = sender.member.make_append(next_offset, last)
            answer = self._services[target].append(order)
            if answer.fenced_term > order.term:
                return False
            if answer.accepted and answer.next_offset > last:
                return True
            next_offset = answer.next_offset

    def replicate_all(self) -> None:
        """Bring all databases up to the primary of the highest term."""
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

    :param find: finds the database, and raises when it cannot be reached.
    """

    def __init__(
        self,
        find: Callable[[], DatabaseService],
        number: int,
        connector: "MemoryConnector",
    ) -> None:
        self._find = find
        self._service = find()
        self._number = number
        self._connector = connector
        self._is_open = True

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        # A restarted database knows nothing of the connection.
        if not self._is_open or self._find() is not self._service:
            raise UpstreamUnavailable("the connection is closed", step="run")
        self._service.expire()
        result = await self._service.run(self._number, call)
        self._connector.lose_answer(self._service.database.name)
        return result

    async def close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._service.close_connection(self._number)
            self._connector.release(self._service.database.name)


class MemoryControlConnection:
    """Control channel to a database of a :class:`MemoryGroup`."""

    def __init__(self, find: Callable[[], DatabaseService], clock: Clock) -> None:
        self._find = find
        self._clock = clock

    async def report(
        self, *, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        asked_at = self._clock.now()
        report = await self._find().report(wait_for, timeout_seconds)
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def fence(self, order: FenceRequest) -> FenceAnswer:
        return self._find().fence(order)

    async def admit(self, order: AdmitRequest) -> DatabaseReport:
        asked_at = self._clock.now()
        report = self._find().admit(order)
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def promote(self, order: PromoteRequest) -> PromoteAnswer:
        return self._find().promote(order)

    async def close(self) -> None:
        """Nothing to release."""


class MemoryConnector:
    """Connector to databases in this process.

    A database of an unknown group becomes the only member of a new group.

    :ivar unreachable: names of databases to which nothing gets through.
    :ivar n_lost_answers: for each database, answers to statements still to be lost
        after the effect.
    """

    def __init__(
        self, groups: Sequence[MemoryGroup] = (), clock: Clock | None = None
    ) -> None:
        self._groups = {group.name: group for group in groups}
        self._clock = SystemClock() if clock is None else clock
        self._numbers = itertools.count(1)
        self._n_open: Counter[str] = Counter()
        self.unreachable: set[str] = set()
        self.n_lost_answers: Counter[str] = Counter()

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> MemoryConnection:
        find = partial(self._find, database)
        find()
        if self._n_open[database.name] >= database.n_connections:
            raise UpstreamBusy("no free connection", step="connect", peer=database.name)
        self._n_open[database.name] += 1
        return MemoryConnection(find, next(self._numbers), self)

    async def connect_control(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> MemoryControlConnection:
        find = partial(self._find, database)
        find()
        return MemoryControlConnection(find, self._clock)

    def release(self, name: str) -> None:
        """Count a closed connection."""
        self._n_open[name] -= 1

    def lose_answer(self, name: str) -> None:
        """Raise instead of answering when an answer is to be lost.

        :raises UpstreamUnavailable: with outcome *unknown*.
        """
        if self.n_lost_answers[name] > 0:
            self.n_lost_answers[name] -= 1
            raise UpstreamUnavailable(
                "the answer was lost", step="run", peer=name, outcome=Outcome.UNKNOWN
            )

    def _find(self, database: DatabaseDescription) -> DatabaseService:
        if database.name in self.unreachable:
            raise UpstreamUnavailable(
                "the database does not answer", step="connect", peer=database.name
            )
        group = self._groups.get(database.group)
        if group is None:
            group = MemoryGroup(database.group, [database.name])
            self._groups[database.group] = group
        return group.get_service(database.name)
