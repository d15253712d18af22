"""Listener for clients; one task per connection owns its socket."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterable
from typing import SupportsIndex, cast

from ..errors import CodecError
from ..groups import Address
from ..interfaces import Clock, Outlet
from ..sessions.messages import (
    SessionAccepted,
    SessionClosed,
    SessionOpened,
    SessionRefused,
    SessionState,
    StatementAnswered,
    StatementReceived,
)
from .sockets import set_keep_alive
from .wire import (
    MAX_LINE_BYTES,
    STATE_LETTERS,
    WIRE_ERROR_CODES,
    parse_statement,
    read_line,
)

# A client that connects and does not send START in this time is disconnected.
START_TIMEOUT_SECONDS = 5.0
BACKLOG = 512


class ClientListener:
    """Accepts client connections, emits their statements and sends the answers.

    :param sink: receives :class:`SessionOpened`, :class:`StatementReceived` and
        :class:`SessionClosed`.
    """

    def __init__(self, address: Address, sink: Outlet, clock: Clock) -> None:
        self._address = address
        self._sink = sink
        self._clock = clock
        self._session_ids = itertools.count(1)
        self._sessions: dict[int, _SessionTask] = {}
        self._is_ending = False
        self._server: asyncio.Server | None = None

    @property
    def n_sessions(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    async def start(self) -> None:
        """Listen for clients."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
        )

    async def drain(self) -> None:
        """Do nothing: the owner ends the sessions."""

    async def stop(self) -> None:
        """Close the listener and all sessions; report those that await an answer."""
        if self._server is not None:
            self._server.close()
        for session_id, session in list(self._sessions.items()):
            if session.is_request_pending:
                self._sink.offer(SessionClosed(session_id))
            session.close()
        # Lets the receiver log the requests that are cut off.
        await asyncio.sleep(0)

    def offer(self, message: object) -> bool:
        """Pass an answer to its session; drop it if the session has ended."""
        if isinstance(message, SessionAccepted | SessionRefused | StatementAnswered):
            session = self._sessions.get(message.session_id)
            if session is not None:
                session.answer(message)
        return True

    async def close_idle(self, seconds: float) -> None:
        """Close the sessions that are idle, spread evenly over a time.

        :param seconds: time over which they are closed.
        """
        idle = [item for item in self._sessions.values() if item.is_idle]
        started_at = self._clock.now()
        for number, session in enumerate(idle, 1):
            if session.is_idle:
                session.stop_reading()
            # Each sleep ends a little late; fixed due times keep this from adding up.
            due_at = started_at + seconds * number / len(idle)
            if (delay := due_at - self._clock.now()) > 0:
                await self._clock.sleep(delay)

    def end_sessions(self, *, with_transactions: bool = False) -> None:
        """Close each session as soon as it is idle; answer requests that have arrived.

        :param with_transactions: close also those in a transaction once their last
            request is answered.
        """
        self._is_ending = True
        for session in list(self._sessions.values()):
            session.end(with_transactions=with_transactions)

    @property
    def n_unanswered(self) -> int:
        """Number of sessions with an unanswered request or an unsent answer."""
        return sum(
            item.is_request_pending or item.has_unsent_answer
            for item in self._sessions.values()
        )

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = _RequestReader(limit=MAX_LINE_BYTES)

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer)

        return asyncio.StreamReaderProtocol(reader, serve)

    async def _serve(
        self, reader: "_RequestReader", writer: asyncio.StreamWriter
    ) -> None:
        session_id = next(self._session_ids)
        session = _SessionTask(session_id, reader, writer, self._sink)
        self._sessions[session_id] = session
        if self._is_ending:
            session.end()
        try:
            set_keep_alive(writer.get_extra_info("socket"))
            await session.run()
        except (OSError, CodecError, TimeoutError):
            # The client has disconnected, did not send START in time, or sent a message
            # that cannot be parsed.
            pass
        finally:
            self._sink.offer(SessionClosed(session_id))
            writer.close()
            try:
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
            finally:
                del self._sessions[session_id]


def _is_word(text: str) -> bool:
    """Return whether a text is one word for every reader of a line."""
    return text.isprintable() and bool(text)


class _RequestReader(asyncio.StreamReader):
    """Stream that can be ended while its connection is open."""

    _has_ended = False

    def end(self) -> None:
        """End the stream after what has been received; ignore what follows."""
        self._has_ended = True
        self.feed_eof()

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Add received bytes.

        A reader whose buffer was full lets the transport receive again when it has
        room, also after the end of the stream.
        """
        if not self._has_ended:
            super().feed_data(data)


class _SessionTask:
    """Task that owns one client connection and serves one request at a time."""

    def __init__(
        self,
        session_id: int,
        reader: _RequestReader,
        writer: asyncio.StreamWriter,
        sink: Outlet,
    ) -> None:
        self._session_id = session_id
        self._reader = reader
        self._writer = writer
        self._sink = sink
        self._answers: asyncio.Queue[
            SessionAccepted | SessionRefused | StatementAnswered
        ] = asyncio.Queue()
        self._state = SessionState.IDLE
        self._is_request_pending = True
        self._is_ending = False
        self._ends_in_transaction = False

    @property
    def is_request_pending(self) -> bool:
        """Whether a request, or the opening of the session, is unanswered."""
        return self._is_request_pending

    @property
    def has_unsent_answer(self) -> bool:
        """Whether a part of an answer waits for the client to receive."""
        return self._writer.transport.get_write_buffer_size() > 0

    @property
    def is_idle(self) -> bool:
        """Whether the session has no unanswered request and no open transaction."""
        return not self._is_request_pending and self._state is SessionState.IDLE

    def close(self) -> None:
        """Close the connection once the buffered answers are sent."""
        self._writer.close()

    def stop_reading(self) -> None:
        """Receive nothing more; the task answers what has arrived and then closes.

        Closing the connection here would cut off a request that has been received and
        that the task has not handled yet.
        """
        cast(asyncio.Transport, self._writer.transport).pause_reading()
        self._reader.end()

    def end(self, *, with_transactions: bool = False) -> None:
        """Close the connection as soon as it is idle.

        :param with_transactions: a session without an unanswered request counts as
            idle, also in a transaction.
        """
        self._is_ending = True
        self._ends_in_transaction = with_transactions
        if self._must_end():
            self.stop_reading()

    def _must_end(self) -> bool:
        if not self._is_ending or self._is_request_pending:
            return False
        return self._ends_in_transaction or self._state is SessionState.IDLE

    def answer(
        self, message: SessionAccepted | SessionRefused | StatementAnswered
    ) -> None:
        """Queue the answer to the request in progress."""
        self._answers.put_nowait(message)

    async def run(self) -> None:
        """Serve the session until either side closes it."""
        peer = f"session {self._session_id}"
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            line = await read_line(self._reader, peer)
        if line is None or line.kind != "START" or not line.payload:
            self._write("ERROR MALFORMED expected START")
            return
        # The API key is the rest of the line; it may be empty for routes that need no
        # authentication.
        database, _, key = line.payload.partition(" ")
        self._sink.offer(SessionOpened(self._session_id, database, key))
        outcome = await self._answers.get()
        if isinstance(outcome, SessionRefused):
            self._write(f"ERROR {WIRE_ERROR_CODES[outcome.code]} {outcome.message}")
            await self._writer.drain()
            return
        self._write("READY I -")
        await self._serve(peer)

    async def _serve(self, peer: str) -> None:
        while True:
            self._is_request_pending = False
            if self._must_end():
                self.stop_reading()
            line = await read_line(self._reader, peer)
            if line is None or line.kind == "BYE":
                return
            self._is_request_pending = True
            if line.kind != "QUERY":
                self._write("ERROR MALFORMED expected QUERY")
                return
            statement_id, _, text = line.payload.partition(" ")
            if not _is_word(statement_id):
                self._write("ERROR MALFORMED the identifier is not one word")
                return
            received = StatementReceived(
                self._session_id, statement_id, parse_statement(text)
            )
            self._sink.offer(received)
            answer = await self._answers.get()
            if isinstance(answer, StatementAnswered):
                self._send(answer)
                await self._writer.drain()

    def _send(self, answer: StatementAnswered) -> None:
        self._state = answer.state
        if answer.code is None:
            lines = [f"ROW {row}" for row in answer.rows]
            lines.append(f"DONE {answer.signature or '-'}")
        else:
            lines = [f"ERROR {WIRE_ERROR_CODES[answer.code]} {answer.message}"]
        lines.append(f"READY {STATE_LETTERS[answer.state]} -")
        self._write("\r\n".join(lines))

    def _write(self, text: str) -> None:
        self._writer.write(text.encode() + b"\r\n")
