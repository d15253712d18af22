"""Connections to databases; one task per connection owns its socket."""

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
from ..sessions.messages import ErrorCode, SessionState, TransactionStep
from .answers import QueryReply
from .background_tasks import BackgroundTasks
from .database_connection import (
    DatabaseConnection,
    MessageTooLong,
    open_database_connection,
)
from .text_checksums import compute_checksum
from .wire import (
    STATE_LETTERS,
    format_minimum_position,
    format_statement,
    make_prepared_name,
    parse_number,
    parse_position,
)

# A handshake takes about 12 ms, and may first wait for a free slot, a unit of the
# database's capacity.
OPEN_TIMEOUT_SECONDS = 0.8
COMMAND_TIMEOUT_SECONDS = 0.5
ROLLBACK_TIMEOUT_SECONDS = 1.0
IDLE = STATE_LETTERS[SessionState.IDLE]
IN_TRANSACTION = STATE_LETTERS[SessionState.IN_TRANSACTION]
# State that a client's statement has to leave if it succeeds.
_STATES_AFTER = {
    TransactionStep.NONE: IDLE,
    TransactionStep.FIRST: IN_TRANSACTION,
    TransactionStep.LATER: IN_TRANSACTION,
    TransactionStep.COMMIT: IDLE,
}
# Workspace name of connections that the instance opens on its own behalf.
INTERNAL_WORKSPACE = "-"


class _ConnectionTask:
    """Task that owns one connection and runs one command at a time."""

    def __init__(self, command: OpenConnection, sink: Outlet, clock: Clock) -> None:
        self._command = command
        self._sink = sink
        self._clock = clock
        self._inbox: asyncio.Queue[RunStatement | RollBack] = asyncio.Queue()

    def offer(self, message: RunStatement | RollBack) -> None:
        """Queue a command."""
        self._inbox.put_nowait(message)

    async def run(self) -> None:
        """Open the connection and run commands until it is closed."""
        connection_id = self._command.connection_id
        asked_at = self._clock.now()
        try:
            connection, reply = await open_database_connection(
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
            await self._serve(connection)
        finally:
            connection.close()

    async def _serve(self, connection: DatabaseConnection) -> None:
        while True:
            command = await self._wait_for_command(connection)
            if command is None:
                message = "ended while idle"
                self._sink.offer(
                    ConnectionFailed(self._command.connection_id, None, message)
                )
                return
            if isinstance(command, RollBack):
                is_usable = await self._roll_back(connection)
                self._sink.offer(RolledBack(command.connection_id, is_usable))
            else:
                finished = await self._run_statement(connection, command)
                is_usable = finished.is_usable
                self._sink.offer(finished)
            if not is_usable:
                return

    async def _wait_for_command(
        self, connection: DatabaseConnection
    ) -> RunStatement | RollBack | None:
        """Return the next command, ``None`` when the connection ended while idle."""
        if not self._inbox.empty():
            return self._inbox.get_nowait()
        command = asyncio.ensure_future(self._inbox.get())
        end = asyncio.ensure_future(connection.wait_until_closed())
        try:
            await asyncio.wait((command, end), return_when=asyncio.FIRST_COMPLETED)
        finally:
            end.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await end
            if not command.done():
                command.cancel()
        return command.result() if command.done() and not command.cancelled() else None

    async def _roll_back(self, connection: DatabaseConnection) -> bool:
        """Roll back; return whether the connection may be used again."""
        try:
            async with asyncio.timeout(ROLLBACK_TIMEOUT_SECONDS):
                reply = await connection.query("ROLLBACK")
        except (OSError, TimeoutError, UpstreamError, CodecError):
            return False
        return reply.state == IDLE

    async def _run_statement(
        self, connection: DatabaseConnection, command: RunStatement
    ) -> StatementFinished:
        """Run the setup steps and the client's statement before the deadline.

        A success whose transaction state is not the expected one does not count as an
        answer: the statement ran in another transaction than its client's, or its
        transaction has ended.
        """
        dispatch = command.dispatch
        transaction_step = dispatch.request.step
        n_setup = 0
        asked_at = 0.0
        sent_checksum = ""
        step: SetupStep | None = None
        try:
            async with asyncio.timeout(dispatch.attempt_deadline - self._clock.now()):
                for step in command.setup:
                    reply = await connection.query(
                        _format_setup(step, dispatch.minimum_position)
                    )
                    if reply.code is not None:
                        return StatementFinished(
                            connection_id=command.connection_id,
                            is_answered=True,
                            is_usable=step.is_begin and reply.state == IDLE,
                            n_setup=n_setup,
                            failed_step=step,
                            code=reply.code,
                            message=reply.message,
                        )
                    _check_state(reply, _find_setup_state(step, transaction_step))
                    n_setup += 1
                step = None
                asked_at = self._clock.now()
                sent_checksum = _send_query(connection, command)
                reply = await connection.receive()
                if reply.code is None:
                    _check_state(reply, _STATES_AFTER[transaction_step])
        except MessageTooLong:
            # A minimum position or the name of a prepared statement was added to a text
            # that had the length of the limit.
            return StatementFinished(
                connection_id=command.connection_id,
                is_answered=True,
                is_usable=True,
                n_setup=n_setup,
                failed_step=step,
                code=ErrorCode.TOO_LARGE,
                message="the statement is too long for the database",
            )
        except (OSError, TimeoutError, UpstreamError, CodecError) as error:
            return StatementFinished(
                connection_id=command.connection_id,
                is_answered=False,
                is_usable=False,
                n_setup=n_setup,
                failed_step=step,
                asked_at=asked_at,
                message=f"no answer: {type(error).__name__}",
                sent_checksum=sent_checksum,
            )
        code, message = reply.code, reply.message
        has_lost_statements = code is ErrorCode.UNKNOWN_STATEMENT
        if has_lost_statements:
            # The client's own name is known, so it must not learn that it is not.
            code, message = ErrorCode.BUSY, "the prepared statement was lost"
        return StatementFinished(
            connection_id=command.connection_id,
            is_answered=True,
            is_usable=not has_lost_statements,
            is_idle=reply.state == IDLE,
            n_setup=n_setup,
            asked_at=asked_at,
            rows=reply.rows,
            signature=reply.signature,
            code=code,
            message=message,
            position=reply.position,
            sent_checksum=sent_checksum,
        )


def _find_setup_state(step: SetupStep, transaction_step: TransactionStep) -> str:
    """Return the state that a setup step has to leave."""
    is_pinned = transaction_step in (TransactionStep.LATER, TransactionStep.COMMIT)
    return IN_TRANSACTION if step.is_begin or is_pinned else IDLE


def _check_state(reply: QueryReply, expected: str) -> None:
    if reply.state != expected:
        raise UpstreamUnavailable(
            f"transaction state {reply.state} instead of {expected}", step="receive"
        )


def _format_setup(step: SetupStep, minimum_position: LogPosition | None) -> str:
    name = "" if step.prepared is None else make_prepared_name(step.prepared)
    text = format_statement(step.statement, name)
    return format_minimum_position(minimum_position) + text if step.is_begin else text


def _send_query(connection: DatabaseConnection, command: RunStatement) -> str:
    """Send a client's statement; return the checksum of its text."""
    dispatch = command.dispatch
    request = dispatch.request
    name = "" if request.prepared is None else make_prepared_name(request.prepared)
    text = format_statement(request.statement, name)
    checksum = compute_checksum(text, name)
    if request.step is TransactionStep.NONE:
        text = format_minimum_position(dispatch.minimum_position) + text
    connection.send(f"QUERY {request.statement_id} {text}")
    return checksum


class UpstreamManager:
    """Manages the connection tasks and runs failover commands at databases.

    :param sink: receives the results of the sessions' connections.
    :param control: receives :class:`DatabaseStatus` and :class:`DatabaseContact`.
    :ivar n_opened: number of connections that were requested since the start.
    """

    def __init__(self, sink: Outlet, control: Outlet, clock: Clock) -> None:
        self._sink = sink
        self._control = control
        self._clock = clock
        self._connections: dict[int, _ConnectionTask] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._commands = BackgroundTasks()
        self.n_opened = 0

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def drain(self) -> None:
        """Do nothing: the sessions drain first and close their connections."""

    async def stop(self) -> None:
        """Close all connections and cancel the running commands."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._commands.stop()

    def offer(self, message: object) -> bool:
        """Start or queue a command; ignore other messages.

        A command for a connection that has ended fails at once.
        """
        if isinstance(message, RunStatement | RollBack):
            connection = self._connections.get(message.connection_id)
            if connection is not None:
                connection.offer(message)
            elif isinstance(message, RunStatement):
                self._sink.offer(_make_connection_lost(message))
            else:
                self._sink.offer(RolledBack(message.connection_id, False))
        elif isinstance(message, OpenConnection):
            self._open(message)
        elif isinstance(message, CloseConnection):
            task = self._tasks.get(message.connection_id)
            if task is not None:
                task.cancel()
        elif isinstance(message, ProbeDatabase | QueryDatabaseStatus | DemoteDatabase):
            self._commands.start(self._run_command(message))
        return True

    def _open(self, command: OpenConnection) -> None:
        connection = _ConnectionTask(command, self._sink, self._clock)
        self._connections[command.connection_id] = connection
        self.n_opened += 1
        task = asyncio.create_task(connection.run())
        self._tasks[command.connection_id] = task

        def remove_task(_: asyncio.Task[None]) -> None:
            self._connections.pop(command.connection_id, None)
            self._tasks.pop(command.connection_id, None)

        task.add_done_callback(remove_task)

    async def _run_command(
        self, command: ProbeDatabase | QueryDatabaseStatus | DemoteDatabase
    ) -> None:
        entry = command.database
        try:
            connection, reply = await open_database_connection(
                entry, INTERNAL_WORKSPACE, COMMAND_TIMEOUT_SECONDS
            )
        except UpstreamUnavailable:
            self._report_unreachable(command)
            return
        try:
            if reply.code is ErrorCode.TOO_MANY_CONNECTIONS:
                # The database is alive but accepts no connection now.
                contact = DatabaseContact(entry.name, True, self._clock.now())
                self._control.offer(contact)
                return
            if reply.code is not None:
                self._report_unreachable(command)
                return
            contact = DatabaseContact(entry.name, True, self._clock.now())
            self._control.offer(contact)
            if not isinstance(command, ProbeDatabase):
                await self._query(connection, command)
        except (OSError, TimeoutError, UpstreamError, CodecError):
            self._report_unreachable(command)
        finally:
            connection.close()

    async def _query(
        self,
        connection: DatabaseConnection,
        command: QueryDatabaseStatus | DemoteDatabase,
    ) -> None:
        text = "STATUS"
        if isinstance(command, DemoteDatabase):
            text = f"DEMOTE {command.term}"
        async with asyncio.timeout(COMMAND_TIMEOUT_SECONDS):
            reply = await connection.query(text)
        status = _parse_status(command.database.name, reply)
        if status is not None:
            self._control.offer(status)

    def _report_unreachable(
        self, command: ProbeDatabase | QueryDatabaseStatus | DemoteDatabase
    ) -> None:
        if isinstance(command, ProbeDatabase):
            contact = DatabaseContact(command.database.name, False, self._clock.now())
            self._control.offer(contact)
        elif isinstance(command, QueryDatabaseStatus):
            self._control.offer(DatabaseStatus(command.database.name, False))


def _parse_status(database: str, reply: QueryReply) -> DatabaseStatus | None:
    """Parse role, term and received log position.

    :returns: ``None`` when the database reported an error or its answer is malformed.
    """
    if reply.code is not None or not reply.rows:
        return None
    fields = reply.rows[0].split()
    term = parse_number(fields[1]) if len(fields) >= 3 else None
    if term is None:
        return None
    return DatabaseStatus(
        database,
        True,
        is_primary=fields[0] == "primary",
        term=term,
        received=parse_position(fields[2]) or ORIGIN,
    )


def _make_connection_lost(command: RunStatement) -> StatementFinished:
    return StatementFinished(
        connection_id=command.connection_id,
        is_answered=False,
        is_usable=False,
        n_setup=0,
        message="the connection had ended",
    )
