"""Databases in this process, for decisions under test; replication is by hand."""

import itertools
import time
from collections.abc import Callable, Sequence
from dataclasses import replace

from ..control import (
    DatabaseReport,
    FenceAnswer,
    FenceOrder,
    PromoteAnswer,
    PromoteOrder,
)
from ..emulator.database import Database
from ..emulator.service import DatabaseService
from ..errors import UpstreamBusy, UpstreamUnavailable
from ..groups import DatabaseDescription
from ..interfaces import Clock
from ..messages import UpstreamCall, UpstreamResult
from ..positions import LogPosition
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

    def _start(self, name: str, *, is_initial_primary: bool) -> None:
        database = Database(
            name,
            self.name,
            f"{name}/{next(self._n_starts)}",
            is_initial_primary=is_initial_primary,
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
        """Replace a database by an empty replica with a new incarnation."""
        self._start(name, is_initial_primary=False)

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
    """Connection to a database of a :class:`MemoryGroup`."""

    def __init__(
        self, service: DatabaseService, number: int, on_close: Callable[[], None]
    ) -> None:
        self._service = service
        self._number = number
        self._on_close = on_close
        self._is_open = True

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        if not self._is_open:
            raise UpstreamUnavailable("the connection is closed", step="run")
        self._service.expire()
        return await self._service.run(self._number, call)

    async def close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._service.close_connection(self._number)
            self._on_close()


class MemoryControlConnection:
    """Control channel to a database of a :class:`MemoryGroup`."""

    def __init__(self, service: DatabaseService, clock: Clock) -> None:
        self._service = service
        self._clock = clock

    async def report(
        self, *, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        asked_at = self._clock.now()
        report = await self._service.report(wait_for, timeout_seconds)
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def fence(self, order: FenceOrder) -> FenceAnswer:
        return self._service.fence(order)

    async def promote(self, order: PromoteOrder) -> PromoteAnswer:
        return self._service.promote(order)

    async def close(self) -> None:
        """Nothing to release."""


class MemoryConnector:
    """Connector to databases in this process.

    A database of an unknown group becomes the only member of a new group.
    """

    def __init__(
        self, groups: Sequence[MemoryGroup] = (), clock: Clock | None = None
    ) -> None:
        self._groups = {group.name: group for group in groups}
        self._clock = SystemClock() if clock is None else clock
        self._numbers = itertools.count(1)
        self._n_open: dict[str, int] = {}
        self.unreachable: set[str] = set()

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> MemoryConnection:
        service = self._find(database)
        name = database.name
        if self._n_open.get(name, 0) >= database.n_connections:
            raise UpstreamBusy("no free connection", step="connect", peer=name)
        self._n_open[name] = self._n_open.get(name, 0) + 1

        def release() -> None:
            self._n_open[name] -= 1

        return MemoryConnection(service, next(self._numbers), release)

    async def connect_control(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> MemoryControlConnection:
        return MemoryControlConnection(self._find(database), self._clock)

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
