"""Task of one client session: reads a request, waits for its answer and writes it."""

import asyncio
from typing import Protocol

from ..interfaces import Outlet
from ..sessions.client_limits import SMALL_MESSAGE_BYTES, SessionPhase
from ..sessions.messages import (
    ErrorCode,
    SessionAccepted,
    SessionOpened,
    SessionRefused,
    SessionState,
    StatementAnswered,
    StatementReceived,
)
from ..sessions.refusals import MessageRefused
from .client_connection import WRITE_BUFFER_BYTES, ClientConnection
from .text_checksums import digest_message, digest_statement
from .wire import (
    STATE_LETTERS,
    WIRE_ERROR_CODES,
    Line,
    format_line,
    parse_statement,
)

# A client that connects and does not send START in this time is disconnected.
START_TIMEOUT_SECONDS = 5.0


class SessionOwner(Protocol):
    """Owner of the limits that all sessions share."""

    async def request_permit(self, session: "ClientSession") -> None:
        """Wait for the permit to receive and execute a large message."""
        ...

    def end_permit_wait(self, session: "ClientSession") -> None:
        """Let a session that waits for a permit go on, since its stream has ended."""
        ...

    def record_received(self, session: "ClientSession") -> None:
        """Record that a message is complete."""
        ...

    def release_permit(self, session: "ClientSession") -> None:
        """Give up the permit of a session, if it has one."""
        ...

    def record_unsent(self, session: "ClientSession", n_bytes: int) -> None:
        """Record how much of a session's answers its client has not taken."""
        ...

    def record_phase(self, session: "ClientSession") -> None:
        """Record that a session has changed its phase."""
        ...


class ClientSession:
    """Task that owns one client connection and serves one request at a time.

    :ivar key: API key of the client, empty before the opening message.
    """

    def __init__(
        self,
        session_id: int,
        connection: ClientConnection,
        sink: Outlet,
        owner: SessionOwner,
    ) -> None:
        self.session_id = session_id
        self.key = ""
        self._connection = connection
        self._sink = sink
        self._owner = owner
        self._answers: asyncio.Queue[
            SessionAccepted | SessionRefused | StatementAnswered
        ] = asyncio.Queue()
        self._state = SessionState.IDLE
        self._is_open = False
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
        return self._connection.n_unsent > 0

    @property
    def is_idle(self) -> bool:
        """Whether the session has no unanswered request and no open transaction."""
        return not self._is_request_pending and self._state is SessionState.IDLE

    @property
    def phase(self) -> SessionPhase:
        """What the session waits for."""
        if not self._is_open:
            return SessionPhase.OPENING
        is_reading = not self._is_request_pending
        if self.has_unsent_answer or (
            is_reading and self._connection.has_partial_message
        ):
            return SessionPhase.STALLED
        return SessionPhase.IDLE if self.is_idle else SessionPhase.BUSY

    def close(self) -> None:
        """Close the connection once the buffered answers are sent."""
        self._connection.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._connection.abort()

    def stop_reading(self) -> None:
        """Receive nothing more; the task answers what has arrived and then closes.

        Closing the connection here would cut off a request that has been received and
        that the task has not handled yet.
        """
        self._connection.end()
        self._owner.end_permit_wait(self)

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
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            line = await self._read()
        if line is None or line.kind != "START" or not line.payload:
            self._refuse("expected START", line)
            return
        if len(line.payload) > SMALL_MESSAGE_BYTES:
            # Name and key are kept as long as the session.
            self._refuse("the opening message is too long", line)
            return
        # The API key is the rest of the line; it may be empty for routes that need no
        # authentication.
        database, _, self.key = line.payload.partition(" ")
        self._sink.offer(SessionOpened(self.session_id, database, self.key))
        outcome = await self._answers.get()
        if isinstance(outcome, SessionRefused):
            self._write(f"ERROR {WIRE_ERROR_CODES[outcome.code]} {outcome.message}")
            await self._connection.drain()
            return
        self._is_open = True
        self._write("READY I -")
        while await self._serve_request():
            pass

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the session goes on."""
        self._is_request_pending = False
        self._owner.record_phase(self)
        if self._must_end():
            self.stop_reading()
        received = await self._receive()
        if received is None:
            return False
        self._sink.offer(received)
        # The text of a large statement is not kept here until the answer arrives.
        del received
        answer = await self._answers.get()
        if isinstance(answer, StatementAnswered):
            self._send(answer)
            del answer
            await self._drain()
        self._owner.release_permit(self)
        return True

    async def _receive(self) -> StatementReceived | None:
        """Receive a request.

        :returns: ``None`` when the session is over.
        """
        line = await self._read()
        if line is None or line.kind == "BYE":
            return None
        self._is_request_pending = True
        self._owner.record_phase(self)
        if line.kind != "QUERY":
            self._refuse("expected QUERY", line)
            return None
        statement_id, _, text = line.payload.partition(" ")
        if not _is_word(statement_id):
            self._refuse("the identifier is not one word", line)
            return None
        statement = parse_statement(text)
        digest = digest_statement(text, statement)
        return StatementReceived(self.session_id, statement_id, statement, digest)

    async def _read(self) -> Line | None:
        line = await self._connection.read_message(
            lambda: self._owner.request_permit(self)
        )
        self._owner.record_received(self)
        return line

    def _send(self, answer: StatementAnswered) -> None:
        self._state = answer.state
        if answer.code is None:
            # Row by row, so that a large answer is not copied as a whole.
            for row in answer.rows:
                self._write(f"ROW {row}")
            text = f"DONE {answer.signature or '-'}"
        else:
            text = f"ERROR {WIRE_ERROR_CODES[answer.code]} {answer.message}"
        self._write(f"{text}\r\nREADY {STATE_LETTERS[answer.state]} -")

    async def _drain(self) -> None:
        n_unsent = self._connection.n_unsent
        if n_unsent <= WRITE_BUFFER_BYTES:
            return
        self._owner.record_unsent(self, n_unsent)
        try:
            await self._connection.drain()
        finally:
            self._owner.record_unsent(self, 0)

    def _refuse(self, reason: str, line: Line | None) -> None:
        """Refuse a malformed message; the connection ends after it."""
        if line is not None:
            refused = MessageRefused(
                session_id=self.session_id,
                code=ErrorCode.MALFORMED,
                reason=reason,
                digest=digest_message(line),
            )
            self._sink.offer(refused)
        self._write(f"ERROR MALFORMED {reason}")

    def _write(self, text: str) -> None:
        self._connection.write(format_line(text))


def _is_word(text: str) -> bool:
    """Return whether a text is one word for every reader of a line."""
    return text.isprintable() and bool(text)
