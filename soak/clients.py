"""Clients that write and read items of their own and check what they see."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from .history import Effect, Freshness, History, Read, Violation, Write
from .instances import InstanceProcess

# The contract: nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOADED"}
PROMISES |= {"DENIED", "NODATABASE"}
# A client closes its session when the opening message is not answered in this time.
OPEN_SECONDS = 2.0
# Statements time out after 1 s; a client that hears nothing gives up after this time.
ANSWER_SECONDS = 4.0
MAX_PAUSE_SECONDS = 0.15
SESSION_OPERATIONS = 40
BACKOFF_SECONDS = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientPlan:
    """What a client does.

    :param host: route.
    :param bound_seconds: staleness that the route accepts.
    :param pause_seconds: longest pause between operations.
    """

    name: str
    workspace: str
    key: str
    host: str
    freshness: Freshness
    bound_seconds: float = 0.0
    pause_seconds: float = MAX_PAUSE_SECONDS


@dataclass(frozen=True, slots=True)
class Answer:
    """Lines of one answer; none of them when the connection failed."""

    lines: tuple[str, ...]

    @property
    def is_done(self) -> bool:
        """It ended with success."""
        return any(line.startswith("DONE") for line in self.lines)

    @property
    def code(self) -> str:
        """Code of the error, ``""`` if there is none."""
        for line in self.lines:
            if line.startswith("ERROR "):
                return line.split()[1]
        return ""

    @property
    def row(self) -> str:
        """The only row."""
        rows = [line[4:] for line in self.lines if line.startswith("ROW ")]
        return rows[0] if rows else ""

    @property
    def is_usable(self) -> bool:
        """The session goes on, outside a transaction."""
        return bool(self.lines) and self.lines[-1].startswith("READY I")


class _Session:
    """Open connection of a client.

    :param number: tells the sessions of one client apart.
    """

    def __init__(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.number = number
        self._reader = reader
        self._writer = writer

    async def open(self, plan: ClientPlan) -> Answer:
        """Send the opening message and wait for its answer."""
        self._writer.write(f"START {plan.host} {plan.key}\r\n".encode())
        return await self._receive()

    async def ask(self, identifier: str, text: str) -> Answer:
        """Send a statement and wait for its answer."""
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                self._writer.write(f"QUERY {identifier} {text}\r\n".encode())
                return await self._receive()
        except (OSError, TimeoutError):
            return Answer(())

    async def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def _receive(self) -> Answer:
        lines: list[str] = []
        while data := await self._reader.readline():
            lines.append(data.decode().rstrip("\r\n"))
            if lines[-1].startswith("READY"):
                return Answer(tuple(lines))
        # An error that is followed by the end of the connection is an answer.
        return Answer(tuple(lines) if lines and lines[-1].startswith("ERROR") else ())


class SessionClient:
    """One client that opens sessions one after the other.

    :ivar admitted_at: times of operations that were served.
    """

    def __init__(
        self,
        plan: ClientPlan,
        instances: Sequence[InstanceProcess],
        history: History,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self.violations: list[Violation] = []
        self.admitted_at: list[float] = []
        self.n_failed = 0
        self._plan = plan
        self._instances = instances
        self._history = history
        self._random = random
        self._clock = clock
        self._numbers = itertools.count(1)
        self._sessions = itertools.count(1)

    async def run(self) -> None:
        """Open sessions until cancelled."""
        while True:
            instance = self._random.choice(self._instances)
            if not await self.run_session(instance):
                await asyncio.sleep(BACKOFF_SECONDS)

    async def run_session(
        self, instance: InstanceProcess, n_operations: int = 0
    ) -> bool:
        """Run operations in one session.

        :param n_operations: 0 for a random number.
        :returns: whether all of them were served.
        """
        n_operations = n_operations or self._random.randint(1, SESSION_OPERATIONS)
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                streams = await asyncio.open_connection(
                    instance.host, instance.front_port
                )
        except (OSError, TimeoutError):
            return False
        # Numbers repeat between clients, which is harmless: they share no items.
        session = _Session(next(self._sessions), *streams)
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                opening = await session.open(self._plan)
            if not opening.is_usable:
                return False
            for _ in range(n_operations):
                if not await self._operate(session):
                    self.n_failed += 1
                    return False
                await self._pause()
            return True
        except (OSError, TimeoutError):
            return False
        finally:
            await session.close()

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.random() * self._plan.pause_seconds)

    async def _operate(self, session: _Session) -> bool:
        """Run one operation; returns whether the session may go on."""
        item = f"{self._plan.workspace}-{self._plan.name}-{self._random.randint(1, 3)}"
        choice = self._random.random()
        if choice < 0.3:
            served = await self._write(session, item)
        elif choice < 0.45:
            served = await self._write_two(session)
        else:
            served = await self._read(session, item)
        if served:
            self.admitted_at.append(self._clock())
        return served

    async def _write(self, session: _Session, item: str) -> bool:
        value = f"{item}.{next(self._numbers)}"
        sent_at = self._clock()
        # Stays so when the run ends this client before the answer.
        effect = Effect.UNKNOWN
        try:
            answer = await self._ask(session, f"WRITE {item} {value}")
            effect = _find_effect(answer)
        finally:
            self._note(item, value, session.number, sent_at, effect)
        return answer.is_done and answer.is_usable

    async def _write_two(self, session: _Session) -> bool:
        """Write two items in one transaction, which may be rolled back."""
        items = [f"{self._plan.workspace}-{self._plan.name}-t{n}" for n in (1, 2)]
        values = [f"{item}.{next(self._numbers)}" for item in items]
        sent_at = self._clock()
        # Nothing of a transaction is kept without its commit.
        effect = Effect.NOT_RUN
        try:
            answer = await self._ask(session, "BEGIN")
            for item, value in zip(items, values, strict=True):
                if answer.is_done:
                    answer = await self._ask(session, f"WRITE {item} {value}")
                    await self._pause()
            if answer.is_done and self._random.random() < 0.2:
                answer = await self._ask(session, "ROLLBACK")
            elif answer.is_done:
                effect = Effect.UNKNOWN
                answer = await self._ask(session, "COMMIT")
                effect = _find_effect(answer)
        finally:
            for item, value in zip(items, values, strict=True):
                self._note(item, value, session.number, sent_at, effect)
        return answer.is_done and answer.is_usable

    async def _read(self, session: _Session, item: str) -> bool:
        sent_at = self._clock()
        answer = await self._ask(session, f"READ {item}")
        if answer.is_done:
            read = Read(
                item=item,
                value=answer.row,
                session=session.number,
                sent_at=sent_at,
                freshness=self._plan.freshness,
                bound_seconds=self._plan.bound_seconds,
            )
            self.violations += self._history.check_read(read)
        return answer.is_done and answer.is_usable

    def _note(
        self, item: str, value: str, session: int, sent_at: float, effect: Effect
    ) -> None:
        self._history.note_write(
            Write(
                item=item,
                value=value,
                session=session,
                sent_at=sent_at,
                ended_at=self._clock(),
                effect=effect,
            )
        )

    async def _ask(self, session: _Session, text: str) -> Answer:
        return await session.ask(f"{self._random.getrandbits(64):016x}", text)


def _find_effect(answer: Answer) -> Effect:
    """What the answer to a write or a commit says about it."""
    if answer.is_done:
        return Effect.DONE
    return Effect.NOT_RUN if answer.code in PROMISES else Effect.UNKNOWN
