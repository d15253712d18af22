"""Connections to databases: one task for each, which owns its socket."""

import asyncio
import contextlib

from ..errors import CodecError, UpstreamError, UpstreamUnavailable
from ..fleet.failover_messages import (
    DatabaseStatus,
    DemoteDatabase,
    ProbeDatabase,
    QueryDatabaseStatus,
)
from ..fleet.views import DatabaseContact
from ..interfaces import Clock, Outlet
from ..positions import ORIGIN, LogPosition
from ..sessions.connection_messages import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    OpenConnection,
    RollBack,
    RolledBack,
    RunStatement,
    StatementFinished,
)
from ..sessions.connections import SetupStep
from ..sessions.messages import ErrorCode, TransactionStep
from .calls import PendingCalls
from .links import Link, Reply, open_link
from .wire import (
    format_after,
    format_statement,
    name_prepared,
    parse_position,
)

# A handshake takes about 12 ms and waits for a slot of the database.
OPEN_TIMEOUT_SECONDS = 0.8
ORDER_TIMEOUT_SECONDS = 0.5
ROLL_BACK_TIMEOUT_SECONDS = 1.0
# Name of the workspace under which the instance itself connects.
OWN_WORKSPACE = "-"


class _ConnectionTask:
    """Owner of one connection; runs one command at a time."""

    def __init__(self, command: OpenConnection, sink: Outlet, clock: Clock) -> None:
        self._command = command
        self._sink = sink
        self._clock = clock
        self._inbox: asyncio.Queue[RunStatement | RollBack] = asyncio.Queue()

    def offer(self, message: RunStatement | RollBack) -> None:
        """Queue a command."""
        self._inbox.put_nowait(message)

    async def run(self) -> None:
        """Open the connection and serve commands until it ends."""
        connection_id = self._command.connection_id
        asked_at = self._clock.now()
        try:
            link, reply = await open_link(
                self._command.database, self._command.workspace, OPEN_TIMEOUT_SECONDS
            )
        except UpstreamUnavailable as error:
            self._sink.offer(ConnectionFailed(connection_id, None, error.message))
            return
        try:
            if reply.code is not None:
                self._sink.offer(
                    ConnectionFailed(connection_id, reply.code, reply.message)
                )
                return
            self._sink.offer(ConnectionOpened(connection_id, reply.position, asked_at))
            await self._serve(link)
        finally:
            link.close()

    async def _serve(self, link: Link) -> None:
        while True:
            command = await self._wait_for_command(link)
            if command is None:
                message = "ended while idle"
                self._sink.offer(
                    ConnectionFailed(self._command.connection_id, None, message)
                )
                return
            if isinstance(command, RollBack):
                is_usable = await self._roll_back(link)
                self._sink.offer(RolledBack(command.connection_id, is_usable))
            else:
                finished = await self._run_statement(link, command)
                is_usable = finished.is_usable
                self._sink.offer(finished)
            if not is_usable:
                return

    async def _wait_for_command(self, link: Link) -> RunStatement | RollBack | None:
        if not self._inbox.empty():
            return self._inbox.get_nowait()
        command = asyncio.ensure_future(self._inbox.get())
        end = asyncio.ensure_future(link.wait_for_end())
        try:
            await asyncio.wait((command, end), return_when=asyncio.FIRST_COMPLETED)
        finally:
            end.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await end
            if not command.done():
                command.cancel()
        return command.result() if command.done() and not command.cancelled() else None

    async def _roll_back(self, link: Link) -> bool:
        try:
            async with asyncio.timeout(ROLL_BACK_TIMEOUT_SECONDS):
                reply = await link.ask("ROLLBACK")
        except (OSError, TimeoutError, UpstreamError, CodecError):
            return False
        return reply.state == "I"

    async def _run_statement(
        self, link: Link, command: RunStatement
    ) -> StatementFinished:
        dispatch = command.dispatch
        n_setup = 0
        asked_at = 0.0
        step: SetupStep | None = None
        try:
            async with asyncio.timeout(dispatch.attempt_deadline - self._clock.now()):
                for step in command.setup:
                    reply = await link.ask(
                        _format_setup(step, dispatch.minimum_position)
                    )
                    if reply.code is not None:
                        return StatementFinished(
                            connection_id=command.connection_id,
                            is_answered=True,
                            is_usable=step.is_begin and reply.state == "I",
                            n_setup=n_setup,
                            failed_step=step,
                            code=reply.code,
                            message=reply.message,
                        )
                    n_setup += 1
                step = None
                asked_at = self._clock.now()
                link.send(_format_query(command))
                reply = await link.receive()
        except (OSError, TimeoutError, UpstreamError, CodecError) as error:
            return StatementFinished(
                connection_id=command.connection_id,
                is_answered=False,
                is_usable=False,
                n_setup=n_setup,
                failed_step=step,
                asked_at=asked_at,
                message=f"no answer: {type(error).__name__}",
            )
        request = dispatch.request
        ends = request.step in (TransactionStep.NONE, TransactionStep.COMMIT)
        has_failed = reply.code is not None
        return StatementFinished(
            connection_id=command.connection_id,
            is_answered=True,
            is_usable=reply.state == "I" if ends and not has_failed else True,
            n_setup=n_setup,
            asked_at=asked_at,
            rows=reply.rows,
            signature=reply.signature,
            code=reply.code,
            message=reply.message,
            position=reply.position,
        )


def _format_setup(step: SetupStep, minimum_position: LogPosition | None) -> str:
    name = "" if step.prepared is None else name_prepared(step.prepared)
    text = format_statement(step.statement, name)
    return format_after(minimum_position) + text if step.is_begin else text


def _format_query(command: RunStatement) -> str:
    dispatch = command.dispatch
    request = dispatch.request
    name = "" if request.prepared is None else name_prepared(request.prepared)
    text = format_statement(request.statement, name)
    if request.step is TransactionStep.NONE:
        text = format_after(dispatch.minimum_position) + text
    return f"QUERY {request.statement_id} {text}"


class Upstreams:
    """Starts and ends the tasks of connections and carries out orders.

    :param sink: receives what the connections of sessions report.
    :param control: receives :class:`DatabaseStatus` and :class:`DatabaseContact`.
    """

    def __init__(self, sink: Outlet, control: Outlet, clock: Clock) -> None:
        self._sink = sink
        self._control = control
        self._clock = clock
        self._connections: dict[int, _ConnectionTask] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._orders = PendingCalls()
        self.n_opened = 0

    async def start(self) -> None:
        """Nothing to acquire; connections are opened on demand."""

    async def drain(self) -> None:
        """Nothing to do: sessions end first."""

    async def stop(self) -> None:
        """Close all connections."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._orders.stop()

    def offer(self, message: object) -> bool:
        """Accept a command."""
        if isinstance(message, RunStatement | RollBack):
            connection = self._connections.get(message.connection_id)
            if connection is not None:
                connection.offer(message)
            elif isinstance(message, RunStatement):
                self._sink.offer(_make_lost(message))
            else:
                self._sink.offer(RolledBack(message.connection_id, False))
        elif isinstance(message, OpenConnection):
            self._open(message)
        elif isinstance(message, CloseConnection):
            task = self._tasks.get(message.connection_id)
            if task is not None:
                task.cancel()
        elif isinstance(message, ProbeDatabase | QueryDatabaseStatus | DemoteDatabase):
            self._orders.start(self._carry_out(message))
        return True

    def _open(self, command: OpenConnection) -> None:
        connection = _ConnectionTask(command, self._sink, self._clock)
        self._connections[command.connection_id] = connection
        self.n_opened += 1
        task = asyncio.create_task(connection.run())
        self._tasks[command.connection_id] = task

        def forget(_: asyncio.Task[None]) -> None:
            self._connections.pop(command.connection_id, None)
            self._tasks.pop(command.connection_id, None)

        task.add_done_callback(forget)

    async def _carry_out(
        self, order: ProbeDatabase | QueryDatabaseStatus | DemoteDatabase
    ) -> None:
        entry = order.database
        try:
            link, reply = await open_link(entry, OWN_WORKSPACE, ORDER_TIMEOUT_SECONDS)
        except UpstreamUnavailable:
            self._report_dead(order)
            return
        try:
            if reply.code is ErrorCode.TOO_MANY_CONNECTIONS:
                # It lives, but cannot be asked now.
                contact = DatabaseContact(entry.name, True, self._clock.now())
                self._control.offer(contact)
                return
            if reply.code is not None:
                self._report_dead(order)
                return
            contact = DatabaseContact(entry.name, True, self._clock.now())
            self._control.offer(contact)
            if not isinstance(order, ProbeDatabase):
                await self._ask(link, order)
        except (OSError, TimeoutError, UpstreamError, CodecError):
            self._report_dead(order)
        finally:
            link.close()

    async def _ask(
        self, link: Link, order: QueryDatabaseStatus | DemoteDatabase
    ) -> None:
        text = "STATUS"
        if isinstance(order, DemoteDatabase):
            text = f"DEMOTE {order.term}"
        async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
            reply = await link.ask(text)
        status = _parse_status(order.database.name, reply)
        if status is not None:
            self._control.offer(status)

    def _report_dead(
        self, order: ProbeDatabase | QueryDatabaseStatus | DemoteDatabase
    ) -> None:
        if isinstance(order, ProbeDatabase):
            contact = DatabaseContact(order.database.name, False, self._clock.now())
            self._control.offer(contact)
        elif isinstance(order, QueryDatabaseStatus):
            self._control.offer(DatabaseStatus(order.database.name, False))


def _parse_status(database: str, reply: Reply) -> DatabaseStatus | None:
    """Parse role, term, position received; ``None`` when the database was busy."""
    if reply.code is not None or not reply.rows:
        return None
    words = reply.rows[0].split()
    if len(words) < 3 or not words[1].isdigit():
        return None
    return DatabaseStatus(
        database,
        True,
        is_primary=words[0] == "primary",
        term=int(words[1]),
        received=parse_position(words[2]) or ORIGIN,
    )


def _make_lost(command: RunStatement) -> StatementFinished:
    return StatementFinished(
        connection_id=command.connection_id,
        is_answered=False,
        is_usable=False,
        n_setup=0,
        message="the connection had ended",
    )
