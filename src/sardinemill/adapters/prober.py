"""Control connections of one home: one owning task for each database."""

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
# Time in which a healthy database answers; a second try on a new connection must also
# fit into the second that the failure detector allows.
CALL_TIMEOUT_SECONDS = 0.4
# Longest wait of a database for a position before it answers as it is.
POSITION_WAIT_SECONDS = 0.25
RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 1.0
# Calls in flight on one control connection; more are answered as failed.
N_CALLS = 64

Order = FenceRequest | PromoteRequest | AdmitRequest
Call = ReportQuery | Order


class DatabaseProber:
    """Task that owns the control connection of one database.

    Calls overlap on the connection. A call that times out is made once more on a new
    connection, because a connection can fall silent while the database is well.

    :param sink: receives the answer or the failure of every call.
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
        self._calls: set[asyncio.Task[None]] = set()
        self._connection: ControlConnection | None = None
        self._connecting: asyncio.Task[ControlConnection] | None = None
        self._n_connect_failures = 0
        self._connect_not_before = float("-inf")
        self._closing: set[asyncio.Task[None]] = set()

    def offer(self, message: object) -> bool:
        """Accept a query or an order."""
        return self._inbox.offer(message)

    async def run(self) -> None:
        """Serve the inbox until cancelled."""
        try:
            while True:
                await self._inbox.wait(None)
                message = self._inbox.take()
                if isinstance(message, Call):
                    self._begin(message)
        finally:
            await self._close_all()

    def _begin(self, call: Call) -> None:
        asked_at = self._clock.now()
        if len(self._calls) >= N_CALLS:
            self._report_failure(call, asked_at)
            return
        task = asyncio.create_task(self._serve(call, asked_at))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _serve(self, call: Call, asked_at: float) -> None:
        for _ in range(2):
            connection: ControlConnection | None = None
            try:
                connection = await self._connect()
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    answer = await self._make_call(connection, call)
            except (SardinemillError, TimeoutError, OSError):
                if connection is None:
                    break
                self._discard(connection)
            else:
                self._sink.offer(answer)
                return
        self._report_failure(call, asked_at)

    async def _make_call(self, connection: ControlConnection, call: Call) -> object:
        if isinstance(call, FenceRequest):
            return await connection.fence(call)
        if isinstance(call, AdmitRequest):
            return await connection.admit(call)
        if isinstance(call, PromoteRequest):
            return await connection.promote(call)
        return await connection.report(
            wait_for=call.wait_for, timeout_seconds=POSITION_WAIT_SECONDS
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
        """Return the connection, opened by one attempt that all calls share."""
        if self._connection is not None:
            return self._connection
        if self._connecting is None:
            self._connecting = asyncio.create_task(self._open())
        return await asyncio.shield(self._connecting)

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
            self._connecting = None

    def _delay_connecting(self) -> None:
        if self._clock.now() < self._connect_not_before:
            return
        delay = min(
            RECONNECT_SECONDS * 2**self._n_connect_failures, MAX_RECONNECT_SECONDS
        )
        self._n_connect_failures = min(self._n_connect_failures + 1, 10)
        jitter = 0.5 + self._random.random() / 2
        self._connect_not_before = self._clock.now() + delay * jitter

    def _discard(self, connection: ControlConnection) -> None:
        """Close a failed connection, once for all calls that failed with it."""
        if connection is not self._connection:
            return
        self._connection = None
        task = asyncio.create_task(_close(connection.close))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_all(self) -> None:
        tasks = [*self._calls, *self._closing]
        if self._connecting is not None:
            tasks_connecting = self._connecting
            tasks_connecting.cancel()
            await asyncio.gather(tasks_connecting, return_exceptions=True)
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
    """Probers of all databases whose home this instance is.

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
        self._owner: asyncio.Task[None] | None = None
        self._databases: dict[str, DatabaseDescription] = {}
        self._probers: dict[str, tuple[DatabaseProber, asyncio.Task[None]]] = {}

    def offer(self, message: object) -> bool:
        """Accept a query, an order or a change of groups."""
        return self._inbox.offer(message)

    async def start(self) -> None:
        self._owner = asyncio.create_task(self._run(), name="prober")

    async def drain(self) -> None:
        """Work in flight still needs acknowledgements, so probing goes on."""

    async def stop(self) -> None:
        if self._owner is not None:
            self._owner.cancel()
            await asyncio.gather(self._owner, return_exceptions=True)
            self._owner = None

    async def _run(self) -> None:
        try:
            while True:
                await self._inbox.wait(None)
                message = self._inbox.take()
                if isinstance(message, GroupsChanged):
                    await self._change_groups(message)
                elif isinstance(message, Call):
                    entry = self._probers.get(message.database)
                    if entry is not None:
                        entry[0].offer(message)
        finally:
            await self._stop_probers(list(self._probers))

    async def _change_groups(self, message: GroupsChanged) -> None:
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
