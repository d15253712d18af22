"""Control connections of a home; each is owned by the task of its database."""

import asyncio
from collections.abc import Awaitable, Callable

from ..errors import SardinemillError, UpstreamUnavailable
from ..groups import DatabaseDescription
from ..interfaces import (
    Clock,
    ControlConnection,
    Outlet,
    RandomSource,
    UpstreamConnector,
)
from ..pipeline import Inbox
from ..replication import (
    AdmitRequest,
    ControlRequestFailure,
    FenceRequest,
    GroupsChanged,
    PromoteRequest,
    ReportFailure,
    ReportQuery,
)

CONNECT_TIMEOUT_SECONDS = 0.4
# A healthy database answers within this time. A retry on a new connection must also fit
# into the second that the failure detector allows.
CALL_TIMEOUT_SECONDS = 0.4
# Longest time that a database waits for a log position before it answers without it.
MAX_POSITION_WAIT_SECONDS = 0.25
RECONNECT_DELAY_SECONDS = 0.1
MAX_RECONNECT_DELAY_SECONDS = 1.0
# Calls in flight on one control connection; further ones fail at once.
MAX_PENDING_CALLS = 64

ControlRequest = FenceRequest | PromoteRequest | AdmitRequest
Call = ReportQuery | ControlRequest


class DatabaseProber:
    """Task that owns the control connection of one database.

    Calls overlap on the connection. A call that times out is retried once on a new
    connection, because a connection can go silent while the database is healthy.

    :param sink: receives the answer to each call, or its failure.
    """

    def __init__(
        self,
        database: DatabaseDescription,
        connector: UpstreamConnector,
        clock: Clock,
        random_source: RandomSource,
        sink: Outlet,
    ) -> None:
        self._database = database
        self._connector = connector
        self._clock = clock
        self._random = random_source
        self._sink = sink
        self._inbox = Inbox()
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._connection: ControlConnection | None = None
        self._connect_task: asyncio.Task[ControlConnection] | None = None
        self._n_connect_failures = 0
        self._connect_not_before = float("-inf")
        self._close_tasks: set[asyncio.Task[None]] = set()

    def offer(self, message: object) -> bool:
        """Accept a query or a control request."""
        return self._inbox.offer(message)

    async def run(self) -> None:
        """Run the calls from the inbox until cancelled."""
        try:
            while True:
                await self._inbox.wait(None)
                message = self._inbox.take()
                if isinstance(message, Call):
                    self._start_call(message)
        finally:
            await self._close_all()

    def _start_call(self, call: Call) -> None:
        asked_at = self._clock.now()
        if len(self._call_tasks) >= MAX_PENDING_CALLS:
            self._report_failure(call, asked_at)
            return
        task = asyncio.create_task(self._run_call(call, asked_at))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    async def _run_call(self, call: Call, asked_at: float) -> None:
        for _ in range(2):
            connection: ControlConnection | None = None
            try:
                connection = await self._connect()
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    answer = await self._send_call(connection, call)
            except (SardinemillError, TimeoutError, OSError):
                if connection is None:
                    break
                self._discard(connection)
            else:
                self._sink.offer(answer)
                return
        self._report_failure(call, asked_at)

    async def _send_call(self, connection: ControlConnection, call: Call) -> object:
        if isinstance(call, FenceRequest):
            return await connection.fence(call)
        if isinstance(call, AdmitRequest):
            return await connection.admit(call)
        if isinstance(call, PromoteRequest):
            return await connection.promote(call)
        return await connection.report(
            wait_for=call.wait_for, timeout_seconds=MAX_POSITION_WAIT_SECONDS
        )

    def _report_failure(self, call: Call, asked_at: float) -> None:
        if not isinstance(call, ReportQuery):
            self._sink.offer(ControlRequestFailure(request=call))
            return
        self._sink.offer(
            ReportFailure(
                group=call.group,
                database=call.database,
                asked_at=asked_at,
                failed_at=self._clock.now(),
            )
        )

    async def _connect(self) -> ControlConnection:
        """Return the open connection, or open one.

        Concurrent calls share one attempt to connect.
        """
        if self._connection is not None:
            return self._connection
        if self._connect_task is None:
            self._connect_task = asyncio.create_task(self._open())
        return await asyncio.shield(self._connect_task)

    async def _open(self) -> ControlConnection:
        try:
            if self._clock.now() < self._connect_not_before:
                raise UpstreamUnavailable(
                    "the last attempt to connect failed",
                    step="probe",
                    peer=self._database.name,
                )
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self._connection = await self._connector.connect_control(
                    self._database, timeout_seconds=CONNECT_TIMEOUT_SECONDS
                )
            self._n_connect_failures = 0
            return self._connection
        except (SardinemillError, TimeoutError, OSError):
            self._delay_connecting()
            raise
        finally:
            self._connect_task = None

    def _delay_connecting(self) -> None:
        if self._clock.now() < self._connect_not_before:
            return
        delay = min(
            RECONNECT_DELAY_SECONDS * 2**self._n_connect_failures,
            MAX_RECONNECT_DELAY_SECONDS,
        )
        self._n_connect_failures = min(self._n_connect_failures + 1, 10)
        jitter = 0.5 + self._random.random() / 2
        self._connect_not_before = self._clock.now() + delay * jitter

    def _discard(self, connection: ControlConnection) -> None:
        """Close a failed connection; further calls that failed on it have no effect."""
        if connection is not self._connection:
            return
        self._connection = None
        task = asyncio.create_task(_close(connection.close))
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)

    async def _close_all(self) -> None:
        tasks = [*self._call_tasks, *self._close_tasks]
        if self._connect_task is not None:
            connect_task = self._connect_task
            connect_task.cancel()
            await asyncio.gather(connect_task, return_exceptions=True)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._connection is not None:
            await _close(self._connection.close)
            self._connection = None


async def _close(close: Callable[[], Awaitable[None]]) -> None:
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            await close()
    except (SardinemillError, TimeoutError, OSError):
        pass


class Prober:
    """Probers for all databases of the groups that have their home here.

    :param sink: receives reports, answers and failures.
    """

    def __init__(
        self,
        connector: UpstreamConnector,
        clock: Clock,
        random_source: RandomSource,
        sink: Outlet,
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._random = random_source
        self._sink = sink
        self._inbox = Inbox()
        self._task: asyncio.Task[None] | None = None
        self._databases: dict[str, DatabaseDescription] = {}
        self._probers: dict[str, tuple[DatabaseProber, asyncio.Task[None]]] = {}

    def offer(self, message: object) -> bool:
        """Accept a query, a control request or a change of groups."""
        return self._inbox.offer(message)

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run(), name="prober")

    async def drain(self) -> None:
        """Do nothing: writes in flight still need acknowledgements of replicas."""

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _run(self) -> None:
        try:
            while True:
                await self._inbox.wait(None)
                message = self._inbox.take()
                if isinstance(message, GroupsChanged):
                    await self._handle_groups_changed(message)
                elif isinstance(message, Call):
                    entry = self._probers.get(message.database)
                    if entry is not None:
                        entry[0].offer(message)
        finally:
            await self._stop_probers(list(self._probers))

    async def _handle_groups_changed(self, message: GroupsChanged) -> None:
        wanted = {
            database.name: database
            for group in message.groups
            for database in group.databases
        }
        changed = [
            name
            for name, database in self._databases.items()
            if wanted.get(name) != database
        ]
        await self._stop_probers(changed)
        for name, database in wanted.items():
            if name in self._probers:
                continue
            prober = DatabaseProber(
                database, self._connector, self._clock, self._random, self._sink
            )
            task = asyncio.create_task(prober.run(), name=f"prober {name}")
            self._probers[name] = (prober, task)
        self._databases = wanted

    async def _stop_probers(self, names: list[str]) -> None:
        tasks = [self._probers.pop(name)[1] for name in names if name in self._probers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
