"""Connections to databases: one task for each, which owns its socket."""

import asyncio
import contextlib
from dataclasses import dataclass

from ..errors import CodecError, UpstreamError, UpstreamUnavailable
from ..fleet.promotion import (
    AskStatus,
    DatabaseStatus,
    OrderDemotion,
    ProbeDatabase,
)
from ..fleet.records import DatabaseContact, DatabaseEntry
from ..interfaces import Clock, Outlet
from ..positions import ORIGIN, LogPosition
from ..sessions.connections import SetupStep
from ..sessions.exchanges import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    OpenConnection,
    RollBack,
    RolledBack,
    RunStatement,
    StatementFinished,
)
from ..sessions.messages import ErrorCode, TransactionStep
from .sockets import set_keep_alive
from .wire import (
    CODES,
    MAX_LINE_BYTES,
    format_after,
    format_statement,
    name_prepared,
    parse_position,
    read_line,
)

# A handshake takes about 12 ms and waits for a slot of the database.
OPEN_TIMEOUT_SECONDS = 0.8
ORDER_TIMEOUT_SECONDS = 0.5
ROLL_BACK_TIMEOUT_SECONDS = 1.0
# Identifier of statements that no client sent.
OWN_ID = "-"
# Name of the workspace under which the instance itself connects.
OWN_WORKSPACE = "-"


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete answer to one query.

    :param state: letter of the transaction state.
    """

    rows: tuple[str, ...]
    signature: str | None
    code: ErrorCode | None
    message: str
    state: str
    position: LogPosition | None


class Link:
    """Socket to a database with the wire's requests and replies."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._peer = peer

    def close(self) -> None:
        """Close the socket; what runs at the database is rolled back."""
        self._writer.close()

    def send(self, text: str) -> None:
        """Send one query or opening message."""
        self._writer.write(text.encode() + b"\r\n")

    async def receive(self) -> Reply:
        """Read rows and outcome up to the line that ends an answer.

        :raises UpstreamUnavailable: when the connection ends before.
        """
        rows: list[str] = []
        signature: str | None = None
        code: ErrorCode | None = None
        message = ""
        while True:
            line = await read_line(self._reader, self._peer)
            if line is None and code is not None:
                # A refused opening message is followed by the end of the connection.
                return Reply((), None, code, message, "", None)
            if line is None:
                raise UpstreamUnavailable(
                    "connection ended", step="receive", peer=self._peer
                )
            if line.kind == "ROW":
                rows.append(line.rest)
            elif line.kind == "DONE":
                signature = line.rest
            elif line.kind == "ERROR":
                word, _, message = line.rest.partition(" ")
                code = CODES.get(word, ErrorCode.FAILED)
            elif line.kind == "READY":
                state, _, position = line.rest.partition(" ")
                return Reply(
                    tuple(rows),
                    signature,
                    code,
                    message,
                    state,
                    parse_position(position),
                )
            else:
                raise CodecError("unknown message", step="receive", peer=self._peer)

    async def ask(self, text: str) -> Reply:
        """Send a query of our own and wait for the answer."""
        self.send(f"QUERY {OWN_ID} {text}")
        return await self.receive()

    async def wait_for_end(self) -> None:
        """Return when the database sends anything or closes while nothing runs."""
        await self._reader.read(1)


async def open_link(
    entry: DatabaseEntry, workspace: str, timeout_seconds: float
) -> tuple[Link, Reply]:
    """Connect and open a session at a database.

    :returns: the link and the answer to the opening message.
    :raises UpstreamUnavailable: when the database does not answer.
    """
    peer = str(entry.address)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(
                entry.host, entry.port, limit=MAX_LINE_BYTES
            )
            set_keep_alive(writer.get_extra_info("socket"))
            link = Link(reader, writer, peer)
            # The opening message names the group, not the database of the client.
            link.send(f"START {entry.group} {workspace} {entry.name}")
            reply = await link.receive()
    except (OSError, TimeoutError, UpstreamError, CodecError) as error:
        if writer is not None:
            writer.close()
        raise UpstreamUnavailable(
            type(error).__name__, step="open", peer=peer
        ) from error
    return link, reply


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
        number = self._command.number
        asked_at = self._clock.now()
        try:
            link, reply = await open_link(
                self._command.database, self._command.workspace, OPEN_TIMEOUT_SECONDS
            )
        except UpstreamUnavailable as error:
            self._sink.offer(ConnectionFailed(number, None, error.message))
            return
        try:
            if reply.code is not None:
                self._sink.offer(ConnectionFailed(number, reply.code, reply.message))
                return
            self._sink.offer(ConnectionOpened(number, reply.position, asked_at))
            await self._serve(link)
        finally:
            link.close()

    async def _serve(self, link: Link) -> None:
        while True:
            command = await self._wait_for_command(link)
            if command is None:
                message = "ended while idle"
                self._sink.offer(ConnectionFailed(self._command.number, None, message))
                return
            if isinstance(command, RollBack):
                is_usable = await self._roll_back(link)
                self._sink.offer(RolledBack(command.number, is_usable))
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
                    reply = await link.ask(_format_setup(step, dispatch.after))
                    if reply.code is not None:
                        return StatementFinished(
                            number=command.number,
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
                number=command.number,
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
            number=command.number,
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


def _format_setup(step: SetupStep, after: LogPosition | None) -> str:
    name = "" if step.prepared is None else name_prepared(step.prepared)
    text = format_statement(step.statement, name)
    return format_after(after) + text if step.is_begin else text


def _format_query(command: RunStatement) -> str:
    dispatch = command.dispatch
    request = dispatch.request
    name = "" if request.prepared is None else name_prepared(request.prepared)
    text = format_statement(request.statement, name)
    if request.step is TransactionStep.NONE:
        text = format_after(dispatch.after) + text
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
        self._orders: set[asyncio.Task[None]] = set()
        self.n_opened = 0

    async def start(self) -> None:
        """Nothing to acquire; connections are opened on demand."""

    async def drain(self) -> None:
        """Nothing to do: sessions end first."""

    async def stop(self) -> None:
        """Close all connections."""
        tasks = [*self._tasks.values(), *self._orders]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def offer(self, message: object) -> bool:
        """Accept a command."""
        if isinstance(message, RunStatement | RollBack):
            connection = self._connections.get(message.number)
            if connection is not None:
                connection.offer(message)
            elif isinstance(message, RunStatement):
                self._sink.offer(_make_lost(message))
            else:
                self._sink.offer(RolledBack(message.number, False))
        elif isinstance(message, OpenConnection):
            self._open(message)
        elif isinstance(message, CloseConnection):
            task = self._tasks.get(message.number)
            if task is not None:
                task.cancel()
        elif isinstance(message, ProbeDatabase | AskStatus | OrderDemotion):
            order = asyncio.create_task(self._carry_out(message))
            self._orders.add(order)
            order.add_done_callback(self._orders.discard)
        return True

    def _open(self, command: OpenConnection) -> None:
        connection = _ConnectionTask(command, self._sink, self._clock)
        self._connections[command.number] = connection
        self.n_opened += 1
        task = asyncio.create_task(connection.run())
        self._tasks[command.number] = task

        def forget(_: asyncio.Task[None]) -> None:
            self._connections.pop(command.number, None)
            self._tasks.pop(command.number, None)

        task.add_done_callback(forget)

    async def _carry_out(
        self, order: ProbeDatabase | AskStatus | OrderDemotion
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

    async def _ask(self, link: Link, order: AskStatus | OrderDemotion) -> None:
        text = "STATUS"
        if isinstance(order, OrderDemotion):
            text = f"DEMOTE {order.term}"
        async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
            reply = await link.ask(text)
        status = _parse_status(order.database.name, reply)
        if status is not None:
            self._control.offer(status)

    def _report_dead(self, order: ProbeDatabase | AskStatus | OrderDemotion) -> None:
        if isinstance(order, ProbeDatabase):
            contact = DatabaseContact(order.database.name, False, self._clock.now())
            self._control.offer(contact)
        elif isinstance(order, AskStatus):
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
        number=command.number,
        is_answered=False,
        is_usable=False,
        n_setup=0,
        message="the connection had ended",
    )
