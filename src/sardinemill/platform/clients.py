"""Listener for clients: accepts connections within the limits of the instance."""

import asyncio
import itertools
import socket

from ..errors import CodecError
from ..events import Event, EventName
from ..groups import Address
from ..interfaces import Clock, Outlet
from ..sessions.client_limits import (
    DEFAULT_CLIENT_LIMITS,
    ClientLimits,
    ClientLoad,
    LargeMessagePermits,
    SessionPhase,
    SessionStatus,
    UnsentAnswer,
    choose_session_to_close,
    choose_unsent_answers,
)
from ..sessions.messages import (
    ErrorCode,
    SessionAccepted,
    SessionClosed,
    SessionRefused,
    StatementAnswered,
)
from ..sessions.refusals import MessageRefused
from .client_connection import READ_BYTES, ClientConnection
from .client_session import ClientSession

BACKLOG = 512
# Connections accepted before the limit of sessions is checked again.
ACCEPT_BATCH = 16
ACCEPT_PAUSE_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 0.5
# Time for the last answers of a session that has ended.
CLOSE_TIMEOUT_SECONDS = 30.0


class ClientListener:
    """Accepts client connections, emits their statements and sends the answers.

    It owns what its sessions share: the permits for large messages and the account of
    unsent answers. At a limit it closes the sessions that hold most and give least.

    :param sink: receives :class:`SessionOpened`, :class:`StatementReceived` and
        :class:`SessionClosed`.
    :param events: receives log events; ``None`` disables them.
    :param observer: receives :class:`ClientLoad` when it has changed.
    """

    def __init__(
        self,
        address: Address,
        sink: Outlet,
        clock: Clock,
        *,
        limits: ClientLimits = DEFAULT_CLIENT_LIMITS,
        events: Outlet | None = None,
        observer: Outlet | None = None,
    ) -> None:
        self._observer = observer
        self._observed_load: ClientLoad | None = None
        self._address = address
        self._sink = sink
        self._clock = clock
        self._limits = limits
        self._events = events
        self._session_ids = itertools.count(1)
        self._sessions: dict[int, ClientSession] = {}
        self._phases: dict[int, tuple[SessionPhase, float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._session_tasks: dict[int, asyncio.Task[None]] = {}
        self._permits = LargeMessagePermits(limits.n_large_messages)
        self._permit_waiters: dict[int, asyncio.Future[None]] = {}
        self._unsent: dict[int, UnsentAnswer] = {}
        self._chunk = bytearray(READ_BYTES)
        self._is_ending = False
        self._listener: socket.socket | None = None
        self._checks: asyncio.Task[None] | None = None

    @property
    def n_sessions(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    @property
    def address(self) -> Address:
        """Address it listens on; with port 0 the kernel has chosen the port."""
        if self._listener is None:
            return self._address
        return Address(*self._listener.getsockname()[:2])

    async def start(self) -> None:
        """Listen for clients."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        try:
            listener.bind((self._address.host, self._address.port))
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        asyncio.get_running_loop().add_reader(listener, self._accept)
        self._checks = asyncio.create_task(self._check_limits())

    async def drain(self) -> None:
        """Do nothing: the owner ends the sessions."""

    async def stop(self) -> None:
        """Close the listener and all sessions; report those that await an answer."""
        if self._checks is not None:
            self._checks.cancel()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
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

    # Sessions

    def _accept(self) -> None:
        """Accept a few connections; the kernel keeps the others meanwhile.

        A server of the event loop accepts as many at once as its backlog holds, and so
        exceeds the limit of sessions before it is checked.
        """
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for _ in range(ACCEPT_BATCH):
            try:
                connection, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # The process has no descriptor left.
                loop.remove_reader(self._listener)
                loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume_accepting)
                return
            connection.setblocking(False)
            task = loop.create_task(self._connect(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, connection: socket.socket) -> None:
        await asyncio.get_running_loop().connect_accepted_socket(
            lambda: ClientConnection(self._chunk, self._serve), connection
        )

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _serve(self, connection: ClientConnection) -> None:
        """Start the task of a new connection, or close it if there is no room."""
        if len(self._sessions) >= self._limits.n_sessions and not self._make_room():
            self._log_closed(None, "too many sessions")
            connection.abort()
            return
        session_id = next(self._session_ids)
        session = ClientSession(session_id, connection, self._sink, self)
        self._sessions[session_id] = session
        self.record_phase(session)
        if self._is_ending:
            session.end()
        task = asyncio.create_task(self._run(session, connection))
        self._session_tasks[session_id] = task
        # Also for a task that is cancelled before it starts.
        task.add_done_callback(lambda _: self._remove(session_id))

    async def _run(self, session: ClientSession, connection: ClientConnection) -> None:
        session_id = session.session_id
        try:
            await session.run()
        except CodecError as error:
            refused = MessageRefused(
                session_id=session_id, code=ErrorCode.TOO_LARGE, reason=error.message
            )
            self._sink.offer(refused)
        except (OSError, TimeoutError):
            # The client has disconnected or did not send a message in time.
            pass
        finally:
            self._sink.offer(SessionClosed(session_id))
            self.release_permit(session)
            connection.close()
            try:
                async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                    await connection.wait_closed()
            except TimeoutError:
                connection.abort()

    def _remove(self, session_id: int) -> None:
        del self._session_tasks[session_id]
        self._sessions.pop(session_id, None)
        self._phases.pop(session_id, None)
        self._unsent.pop(session_id, None)

    def _make_room(self) -> bool:
        """Close the session that gives way to a new one; return whether there is one.

        It no longer counts, although its task ends a moment later.
        """
        chosen = choose_session_to_close(
            SessionStatus(
                session_id=session_id,
                key=session.key,
                phase=session.phase,
                since=self._find_phase_start(session),
            )
            for session_id, session in self._sessions.items()
        )
        if chosen is None:
            return False
        self._close(chosen, "another session needs its place")
        return True

    def _find_phase_start(self, session: ClientSession) -> float:
        known = self._phases.get(session.session_id)
        now = self._clock.now()
        if known is None or known[0] is not session.phase:
            # A message that has begun to arrive is not reported.
            self._phases[session.session_id] = (session.phase, now)
            return now
        return known[1]

    def _close(self, session_id: int, reason: str) -> None:
        session = self._sessions.pop(session_id, None)
        if session is not None:
            self._log_closed(session, reason)
            session.abort()
            # It gets no answer any more that its task could wait for.
            self._session_tasks[session_id].cancel()

    def _log_closed(self, session: ClientSession | None, reason: str) -> None:
        if self._events is None:
            return
        load = self._measure_load()
        fields = {
            "session": None if session is None else session.session_id,
            "phase": None if session is None else session.phase.name.lower(),
            "reason": reason,
            "n_sessions": load.n_sessions,
            "n_large_messages": load.n_large_messages,
            "unsent_bytes": load.unsent_bytes,
        }
        self._events.offer(Event(EventName.CLIENT_CLOSED, fields))

    def _measure_load(self) -> ClientLoad:
        return ClientLoad(
            len(self._sessions),
            self._permits.n_held,
            sum(item.n_bytes for item in self._unsent.values()),
        )

    # Limits that sessions share

    def record_phase(self, session: ClientSession) -> None:
        """Record that a session has changed its phase."""
        self._phases[session.session_id] = (session.phase, self._clock.now())

    async def request_permit(self, session: ClientSession) -> None:
        """Wait for the permit to receive and execute a large message."""
        session_id = session.session_id
        if self._permits.request(session_id, session.key, self._clock.now()):
            return
        waiter = asyncio.get_running_loop().create_future()
        self._permit_waiters[session_id] = waiter
        try:
            await waiter
        finally:
            del self._permit_waiters[session_id]

    def end_permit_wait(self, session: ClientSession) -> None:
        """Let a session that waits for a permit go on, since its stream has ended."""
        waiter = self._permit_waiters.get(session.session_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def record_received(self, session: ClientSession) -> None:
        """Record that a message is complete."""
        self._permits.record_received(session.session_id)

    def release_permit(self, session: ClientSession) -> None:
        """Give up the permit of a session and pass it on."""
        for session_id in self._permits.release(session.session_id, self._clock.now()):
            granted = self._sessions.get(session_id)
            if granted is not None:
                self.end_permit_wait(granted)

    def record_unsent(self, session: ClientSession, n_bytes: int) -> None:
        """Record how much of a session's answers its client has not taken."""
        if not n_bytes:
            self._unsent.pop(session.session_id, None)
            return
        self._unsent[session.session_id] = UnsentAnswer(n_bytes, self._clock.now())
        self._close_unsent()

    def _close_unsent(self) -> None:
        limit = self._limits.answer_bytes
        for session_id in choose_unsent_answers(self._unsent, limit, self._clock.now()):
            self._close(session_id, "its client does not take answers")
            self._unsent.pop(session_id, None)

    async def _check_limits(self) -> None:
        """Close sessions whose message or answer takes too long."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            for session_id in self._permits.list_overdue(self._clock.now()):
                reason = "a large message took too long or found no room"
                self._close(session_id, reason)
            self._close_unsent()
            self._report_load()

    def _report_load(self) -> None:
        load = self._measure_load()
        if self._observer is not None and load != self._observed_load:
            self._observed_load = load
            self._observer.offer(load)
