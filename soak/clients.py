"""Clients that each write and read items of their own and check every read."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from .history import Consistency, Effect, History, Read, Violation, Write
from .instances import InstanceProcess
from .sessions import Answer, Session
from .stops import UnansweredRequest
from .texts import SessionTexts, TextLog

# Error codes after which, by the protocol's contract, the statement had no effect.
NOT_EXECUTED_CODES = {
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "OVERLOADED",
}
NOT_EXECUTED_CODES |= {"DENIED", "NODATABASE"}
# Time-out of connecting and of the opening message; the client then disconnects.
OPEN_TIMEOUT_SECONDS = 2.0
# Routes time statements out after 1 s; a client without an answer disconnects later.
ANSWER_TIMEOUT_SECONDS = 4.0
MAX_PAUSE_SECONDS = 0.15
MAX_SESSION_OPERATIONS = 40
BACKOFF_SECONDS = 0.1
# Persistent clients wait for longer than the time-out of a stop, so that the end of the
# process ends their connections, and often open sessions at stopping instances.
STOP_ANSWER_TIMEOUT_SECONDS = 10.0
STOPPING_INSTANCE_PROBABILITY = 0.5
MAX_TRANSACTION_WRITES = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientPlan:
    """Identity and load of a client.

    :param key: API key.
    :param host: name of the route, for the ``START`` message.
    :param consistency: consistency that the route guarantees.
    :param max_staleness_seconds: staleness that the route accepts.
    :param pause_seconds: longest pause between operations.
    :param is_persistent: whether the client keeps each session until its connection
        ends, and also opens sessions at instances that are stopping.
    """

    name: str
    workspace: str
    key: str
    host: str
    consistency: Consistency
    max_staleness_seconds: float = 0.0
    pause_seconds: float = MAX_PAUSE_SECONDS
    is_persistent: bool = False


class SessionOperations(Protocol):
    """Operations that a client runs in its sessions."""

    async def run(self, session: Session) -> bool:
        """Run one; return whether it was served and the session is usable."""
        ...


class SessionClient:
    """Client that opens sessions one after the other, each at a random instance.

    :param text_log: receives the statements of all sessions.
    :param operations: replace the reads and writes that are checked in the history.
    :ivar admitted_at: times at which operations were served, by ``clock``.
    :ivar n_failed: operations that were refused or not answered.
    :ivar unanswered: requests whose connection ended without a complete answer.
    :ivar n_answered_in_stops: requests sent after SIGTERM that were answered.
    """

    def __init__(
        self,
        plan: ClientPlan,
        instances: Sequence[InstanceProcess],
        history: History,
        random: Random,
        clock: Callable[[], float],
        text_log: TextLog | None = None,
        operations: SessionOperations | None = None,
    ) -> None:
        self._text_log = text_log or TextLog()
        self._operations = operations
        self.violations: list[Violation] = []
        self.admitted_at: list[float] = []
        self.n_failed = 0
        self.unanswered: list[UnansweredRequest] = []
        self.n_answered_in_stops = 0
        self._plan = plan
        self._instances = instances
        self._history = history
        self._random = random
        self._clock = clock
        self._value_numbers = itertools.count(1)
        self._session_ids = itertools.count(1)

    async def run(self) -> None:
        """Open sessions until cancelled."""
        while True:
            if self._plan.is_persistent:
                await self._run_persistent_session(self._choose_instance())
                await asyncio.sleep(BACKOFF_SECONDS)
            elif not await self.run_session(self._random.choice(self._instances)):
                await asyncio.sleep(BACKOFF_SECONDS)

    def _choose_instance(self) -> InstanceProcess:
        """Return an instance, often one that is stopping."""
        stopping = [item for item in self._instances if item.is_stopping]
        if stopping and self._random.random() < STOPPING_INSTANCE_PROBABILITY:
            return self._random.choice(stopping)
        return self._random.choice(self._instances)

    async def run_session(
        self, instance: InstanceProcess, n_operations: int = 0
    ) -> bool:
        """Run operations in one session, until one of them fails.

        :param n_operations: number of operations; 0 for a random one.
        :returns: whether all of them were served.
        """
        n_operations = n_operations or self._random.randint(1, MAX_SESSION_OPERATIONS)
        async with self._open_session(instance, ANSWER_TIMEOUT_SECONDS) as session:
            if session is None:
                return False
            for _ in range(n_operations):
                if not await self._run_operation(session):
                    self.n_failed += 1
                    return False
                await self._pause()
            return True

    async def _run_persistent_session(self, instance: InstanceProcess) -> None:
        """Run operations in one session until its connection ends."""
        async with self._open_session(instance, STOP_ANSWER_TIMEOUT_SECONDS) as session:
            while session is not None and session.state:
                if session.state != "I":
                    await self._execute(session, "ROLLBACK")
                elif not await self._run_operation(session, MAX_TRANSACTION_WRITES):
                    self.n_failed += 1
                await self._pause()

    @contextlib.asynccontextmanager
    async def _open_session(
        self, instance: InstanceProcess, timeout_seconds: float
    ) -> AsyncIterator[Session | None]:
        """Connect and open a session.

        :param timeout_seconds: for each answer to a statement.
        :returns: ``None`` when the instance does not accept the session.
        """
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
                streams = await asyncio.open_connection(
                    instance.host, instance.front_port
                )
        except (OSError, TimeoutError):
            yield None
            return
        # Other clients use the same session ids, but share no items with this one.
        texts = SessionTexts(self._text_log, self._plan.name, self._plan.workspace)
        session = Session(
            next(self._session_ids),
            instance,
            timeout_seconds,
            self._clock,
            *streams,
            texts,
        )
        try:
            yield session if await self._start_session(session) else None
        finally:
            self.unanswered += session.unanswered
            self.n_answered_in_stops += session.n_answered_in_stops
            await session.close()

    async def _start_session(self, session: Session) -> bool:
        timeout_seconds = OPEN_TIMEOUT_SECONDS
        if self._plan.is_persistent:
            timeout_seconds = STOP_ANSWER_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout(timeout_seconds):
                return (await session.open(self._plan.host, self._plan.key)).is_usable
        except TimeoutError:
            return False

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.random() * self._plan.pause_seconds)

    async def _run_operation(self, session: Session, max_writes: int = 0) -> bool:
        """Run a random operation.

        :param max_writes: most writes of a transaction; 0 for always two.
        :returns: whether it was served and the session is usable.
        """
        if self._operations is not None:
            served = await self._operations.run(session)
            if served:
                self.admitted_at.append(self._clock())
            return served
        item = f"{self._plan.workspace}-{self._plan.name}-{self._random.randint(1, 3)}"
        choice = self._random.random()
        if choice < 0.3:
            served = await self._write(session, item)
        elif choice < 0.45:
            served = await self._run_transaction(session, max_writes)
        else:
            served = await self._read(session, item)
        if served:
            self.admitted_at.append(self._clock())
        return served

    async def _write(self, session: Session, item: str) -> bool:
        value = f"{item}.{next(self._value_numbers)}"
        sent_at = self._clock()
        # Holds when the client is cancelled before the answer arrives.
        effect = Effect.UNKNOWN
        try:
            answer = await self._execute(session, f"WRITE {item} {value}")
            effect = _find_effect(answer)
        finally:
            self._record_write(item, value, session.session_id, sent_at, effect)
        return answer.is_done and answer.is_usable

    async def _run_transaction(self, session: Session, max_writes: int) -> bool:
        """Write items in one transaction and commit it or roll it back."""
        n_writes = self._random.randint(1, max_writes) if max_writes else 2
        prefix = f"{self._plan.workspace}-{self._plan.name}-t"
        items = [f"{prefix}{n}" for n in range(1, n_writes + 1)]
        values = [f"{item}.{next(self._value_numbers)}" for item in items]
        sent_at = self._clock()
        # Without a commit, no write of the transaction takes effect.
        effect = Effect.NOT_RUN
        try:
            answer = await self._execute(session, "BEGIN")
            for item, value in zip(items, values, strict=True):
                if answer.is_done:
                    answer = await self._execute(session, f"WRITE {item} {value}")
                    await self._pause()
            if answer.is_done and self._random.random() < 0.2:
                answer = await self._execute(session, "ROLLBACK")
            elif answer.is_done:
                effect = Effect.UNKNOWN
                answer = await self._execute(session, "COMMIT")
                effect = _find_effect(answer)
        finally:
            for item, value in zip(items, values, strict=True):
                self._record_write(item, value, session.session_id, sent_at, effect)
        return answer.is_done and answer.is_usable

    async def _read(self, session: Session, item: str) -> bool:
        sent_at = self._clock()
        answer = await self._execute(session, f"READ {item}")
        if answer.is_done:
            read = Read(
                item=item,
                value=answer.row,
                session_id=session.session_id,
                sent_at=sent_at,
                consistency=self._plan.consistency,
                max_staleness_seconds=self._plan.max_staleness_seconds,
            )
            self.violations += self._history.check_read(read)
        return answer.is_done and answer.is_usable

    def _record_write(
        self, item: str, value: str, session_id: int, sent_at: float, effect: Effect
    ) -> None:
        self._history.record_write(
            Write(
                item=item,
                value=value,
                session_id=session_id,
                sent_at=sent_at,
                ended_at=self._clock(),
                effect=effect,
            )
        )

    async def _execute(self, session: Session, text: str) -> Answer:
        return await session.execute(f"{self._random.getrandbits(64):016x}", text)


def _find_effect(answer: Answer) -> Effect:
    """Return what the answer to a write or a commit says about its effect."""
    if answer.is_done:
        return Effect.DONE
    return Effect.NOT_RUN if answer.code in NOT_EXECUTED_CODES else Effect.UNKNOWN
