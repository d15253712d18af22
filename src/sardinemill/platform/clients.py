"""Listener for clients: one task for each connection, which owns its socket."""

import asyncio
import contextlib
import itertools

from ..errors import CodecError
from ..groups import Address
from ..interfaces import Outlet
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
from .wire import CODE_WORDS, MAX_LINE_BYTES, STATE_WORDS, parse_statement, read_line

# A client that connects and says nothing is let go.
OPENING_SECONDS = 5.0
BACKLOG = 512
# Idle sessions are closed one after the other over this time, so that their clients
# do not come back all at once.
CLOSE_SECONDS = 1.5


class ClientListener:
    """Accepts sessions, hands on their statements and sends the answers.

    :param sink: receives :class:`SessionOpened`, :class:`StatementReceived` and
        :class:`SessionClosed`.
    """

    def __init__(self, address: Address, sink: Outlet) -> None:
        self._address = address
        self._sink = sink
        self._numbers = itertools.count(1)
        self._sessions: dict[int, _SessionTask] = {}
        self._server: asyncio.Server | None = None

    @property
    def n_sessions(self) -> int:
        """Open sessions."""
        return len(self._sessions)

    async def start(self) -> None:
        """Listen for clients."""
        self._server = await asyncio.start_server(
            self._serve,
            self._address.host,
            self._address.port,
            limit=MAX_LINE_BYTES,
            backlog=BACKLOG,
        )

    async def drain(self) -> None:
        """Nothing to do: :meth:`close_idle` ends the sessions in time."""

    async def stop(self) -> None:
        """Close the listener and all sessions."""
        if self._server is not None:
            self._server.close()
        for session in list(self._sessions.values()):
            session.close()

    def offer(self, message: object) -> bool:
        """Accept an answer for a session."""
        if isinstance(message, SessionAccepted | SessionRefused | StatementAnswered):
            session = self._sessions.get(message.session_id)
            if session is not None:
                session.answer(message)
        return True

    async def close_idle(self, seconds: float = CLOSE_SECONDS) -> None:
        """Close sessions outside of transactions that have no open request."""
        idle = [item for item in self._sessions.values() if item.is_idle]
        for session in idle:
            if session.is_idle:
                session.close()
            await asyncio.sleep(seconds / len(idle))

    @property
    def n_busy(self) -> int:
        """Sessions in a transaction or with an open request."""
        return sum(not item.is_idle for item in self._sessions.values())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = next(self._numbers)
        session = _SessionTask(number, reader, writer, self._sink)
        self._sessions[number] = session
        try:
            set_keep_alive(writer.get_extra_info("socket"))
            await session.run()
        except (OSError, CodecError, TimeoutError):
            # The client is gone, or sent what cannot be answered; it is let go.
            pass
        finally:
            del self._sessions[number]
            self._sink.offer(SessionClosed(number))
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


class _SessionTask:
    """Owner of one client connection; one request at a time."""

    def __init__(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sink: Outlet,
    ) -> None:
        self._number = number
        self._reader = reader
        self._writer = writer
        self._sink = sink
        self._answers: asyncio.Queue[
            SessionAccepted | SessionRefused | StatementAnswered
        ] = asyncio.Queue()
        self._state = SessionState.IDLE
        self._is_waiting = True

    @property
    def is_idle(self) -> bool:
        """No open request and no open transaction."""
        return not self._is_waiting and self._state is SessionState.IDLE

    def close(self) -> None:
        """End the connection; what was answered is still sent."""
        self._writer.close()

    def answer(
        self, message: SessionAccepted | SessionRefused | StatementAnswered
    ) -> None:
        """Take an answer to the open request."""
        self._answers.put_nowait(message)

    async def run(self) -> None:
        """Serve the session until its client ends it."""
        peer = f"session {self._number}"
        async with asyncio.timeout(OPENING_SECONDS):
            line = await read_line(self._reader, peer)
        if line is None or line.kind != "START" or not line.rest:
            self._write("ERROR MALFORMED expected START")
            return
        # The key is the rest of the line; routes open to all need none.
        database, _, key = line.rest.partition(" ")
        self._sink.offer(SessionOpened(self._number, database, key))
        opened = await self._answers.get()
        if isinstance(opened, SessionRefused):
            self._write(f"ERROR {CODE_WORDS[opened.code]} {opened.message}")
            await self._writer.drain()
            return
        self._write("READY I -")
        await self._serve(peer)

    async def _serve(self, peer: str) -> None:
        while True:
            self._is_waiting = False
            line = await read_line(self._reader, peer)
            if line is None or line.kind == "BYE":
                return
            self._is_waiting = True
            if line.kind != "QUERY":
                self._write("ERROR MALFORMED expected QUERY")
                return
            statement_id, _, text = line.rest.partition(" ")
            received = StatementReceived(
                self._number, statement_id, parse_statement(text)
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
            lines = [f"ERROR {CODE_WORDS[answer.code]} {answer.message}"]
        lines.append(f"READY {STATE_WORDS[answer.state]} -")
        self._write("\r\n".join(lines))

    def _write(self, text: str) -> None:
        self._writer.write(text.encode() + b"\r\n")
