"""One session of a client: the connection, its messages and their answers."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from .instances import InstanceProcess
from .stops import UnansweredRequest
from .texts import SessionTexts


@dataclass(frozen=True, slots=True)
class Answer:
    """Lines of one answer; empty when the connection failed or timed out."""

    lines: tuple[str, ...]

    @property
    def is_done(self) -> bool:
        """Whether the message succeeded."""
        return any(line.startswith("DONE") for line in self.lines)

    @property
    def code(self) -> str:
        """Error code, or ``""`` without an error."""
        for line in self.lines:
            if line.startswith("ERROR "):
                return line.split()[1]
        return ""

    @property
    def row(self) -> str:
        """First row, or ``""`` without rows."""
        rows = [line[4:] for line in self.lines if line.startswith("ROW ")]
        return rows[0] if rows else ""

    @property
    def is_usable(self) -> bool:
        """Whether the session is ready and outside a transaction."""
        return bool(self.lines) and self.lines[-1].startswith("READY I")


class Session:
    """Open connection of a client.

    :param session_id: unique among the sessions of one client.
    :param texts: receives the statements and their answers.
    :ivar unanswered: requests whose connection ended without a complete answer.
    :ivar n_answered_in_stops: requests sent after SIGTERM that were answered.
    :ivar state: as in the last ``READY``: ``I`` when idle, another letter in a
        transaction; ``""`` before it and after the end of the connection.
    """

    def __init__(
        self,
        session_id: int,
        instance: InstanceProcess,
        timeout_seconds: float,
        clock: Callable[[], float],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        texts: SessionTexts,
    ) -> None:
        self.session_id = session_id
        self.texts = texts
        self.unanswered: list[UnansweredRequest] = []
        self.n_answered_in_stops = 0
        self.state = ""
        self._instance = instance
        self._timeout_seconds = timeout_seconds
        self._clock = clock
        self._reader = reader
        self._writer = writer

    async def open(self, host: str, key: str) -> Answer:
        """Send the opening message and wait for its answer."""
        return await self._exchange("", f"START {host} {key}\r\n")

    async def execute(self, statement_id: str, text: str) -> Answer:
        """Send a statement and wait for its answer.

        :returns: an empty answer after a time-out or a connection failure.
        """
        self.texts.record_sent(statement_id, text)
        try:
            async with asyncio.timeout(self._timeout_seconds):
                line = f"QUERY {statement_id} {text}\r\n"
                answer = await self._exchange(statement_id, line)
                self.texts.record_answer(statement_id, text, answer.lines)
                return answer
        except TimeoutError:
            return Answer(())

    async def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def _exchange(self, statement_id: str, line: str) -> Answer:
        """Send a line and wait for its answer or the end of the connection."""
        self.state = ""
        is_stopping = self._instance.is_stopping
        sent_at = self._clock()
        try:
            self._writer.write(line.encode(errors="surrogateescape"))
            answer = await self._receive()
        except OSError:
            answer = Answer(())
        if not answer.lines:
            self.unanswered.append(
                UnansweredRequest(
                    self._instance.name, statement_id, sent_at, self._clock()
                )
            )
            return answer
        self.n_answered_in_stops += is_stopping
        if answer.lines[-1].startswith("READY "):
            self.state = answer.lines[-1].split()[1]
        return answer

    async def _receive(self) -> Answer:
        lines: list[str] = []
        while data := await self._reader.readline():
            line = data.decode(errors="surrogateescape")
            lines.append(line.removesuffix("\r\n"))
            if lines[-1].startswith("READY"):
                return Answer(tuple(lines))
        # The server may close the connection after an error, without ``READY``.
        return Answer(tuple(lines) if lines and lines[-1].startswith("ERROR") else ())
