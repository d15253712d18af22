"""Limits of what clients may make an instance hold, and who gives way at a limit.

Answers the load of clients that do not behave: large messages from many at once, in one
piece or slowly, answers that nobody reads, and connections without a request. Ordinary
requests are small and need no permit, so such a load does not hold them up.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

MEGABYTE = 1_000_000
# Resident memory that clients cannot use up: interpreter and libraries (42 MB), links
# to instances, connections to databases, sessions and their small messages.
RESERVED_MEMORY_BYTES = 80 * MEGABYTE
# The least that lets one message of the largest size pass, with its answer.
MIN_CLIENT_MEMORY_BYTES = 12 * MEGABYTE
# Shares of the memory for clients; the rest is for the allocator's overhead.
MESSAGE_SHARE = 0.6
ANSWER_SHARE = 0.2
STATE_SHARE = 0.15
# Copies of a message of the largest size, 1 MiB: received, decoded, parsed, formatted,
# encoded and in the send buffer.
LARGE_MESSAGE_COST_BYTES = 6 * MEGABYTE
# Messages up to this length need no permit; a client sends longer ones rarely.
SMALL_MESSAGE_BYTES = 16 * 1024
# Session variables and prepared statements up to this size count for no limit.
FREE_STATE_BYTES = 4 * 1024
# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
# Shares of the other descriptors. The rest is for links to instances, two with each at
# a coordinator, and for store and probes.
SESSION_SOCKET_SHARE = 0.5
DATABASE_SOCKET_SHARE = 0.15
GATEWAY_SOCKET_SHARE = 0.1
MIN_SESSIONS = 16
# Longest time to receive one message, also in pieces, and to take one answer.
MESSAGE_TIMEOUT_SECONDS = 30.0
# The same for a large message while others wait for a permit.
CONTENDED_MESSAGE_TIMEOUT_SECONDS = 3.0
# A large message that got no permit for this time is refused.
PERMIT_TIMEOUT_SECONDS = 5.0
DEFAULT_MEMORY_BYTES = 512 * MEGABYTE
DEFAULT_DESCRIPTORS = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits of one instance.

    :param n_sessions: open sessions.
    :param n_database_connections: connections to all databases together.
    :param n_gateway_connections: the same for statements of other instances.
    :param n_large_messages: large messages that are received or executed at a time.
    :param answer_bytes: large answers that clients have not taken yet.
    :param state_bytes: session variables and prepared statements of all sessions.
    """

    n_sessions: int
    n_database_connections: int
    n_gateway_connections: int
    n_large_messages: int
    answer_bytes: int
    state_bytes: int


def compute_client_limits(memory_bytes: int, n_descriptors: int) -> ClientLimits:
    """Divide the memory and the descriptors of a machine.

    :param memory_bytes: of the machine.
    :param n_descriptors: of the process.
    :raises ValueError: with figures when they cannot hold an instance and its clients.
    """
    client_bytes = memory_bytes - RESERVED_MEMORY_BYTES
    if client_bytes < MIN_CLIENT_MEMORY_BYTES:
        needed = (RESERVED_MEMORY_BYTES + MIN_CLIENT_MEMORY_BYTES) // MEGABYTE
        raise ValueError(
            f"{memory_bytes // MEGABYTE} MB of memory, an instance needs {needed} MB"
        )
    n_sockets = n_descriptors - RESERVED_DESCRIPTORS
    n_sessions = int(n_sockets * SESSION_SOCKET_SHARE)
    if n_sessions < MIN_SESSIONS:
        raise ValueError(
            f"{n_descriptors} descriptors leave {max(n_sessions, 0)} sessions, an"
            f" instance needs {MIN_SESSIONS}"
        )
    n_messages = int(client_bytes * MESSAGE_SHARE / LARGE_MESSAGE_COST_BYTES)
    return ClientLimits(
        n_sessions=n_sessions,
        n_database_connections=int(n_sockets * DATABASE_SOCKET_SHARE),
        n_gateway_connections=int(n_sockets * GATEWAY_SOCKET_SHARE),
        n_large_messages=max(1, n_messages),
        answer_bytes=int(client_bytes * ANSWER_SHARE),
        state_bytes=int(client_bytes * STATE_SHARE),
    )


DEFAULT_CLIENT_LIMITS = compute_client_limits(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)


@dataclass(frozen=True, slots=True)
class ClientLoad:
    """What clients make an instance hold at the moment."""

    n_sessions: int
    n_large_messages: int
    unsent_bytes: int


class SessionPhase(IntEnum):
    """What a session waits for, in the order in which sessions give way."""

    OPENING = 0
    STALLED = 1
    IDLE = 2
    BUSY = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionStatus:
    """Session as the choice of the one that gives way sees it.

    :param key: API key of its client; empty before the opening message.
    :param phase: ``STALLED`` while a message is incomplete or an answer is not taken.
    :param since: when the phase began, on the instance's clock.
    """

    session_id: int
    key: str
    phase: SessionPhase
    since: float


def choose_session_to_close(sessions: Iterable[SessionStatus]) -> int | None:
    """Return the session that makes room for a new one at the limit of sessions.

    Sessions that have not been opened go first, then stalled ones, the longest first.
    Idle ones follow, first those of the key with most sessions, so that the crowd of
    one client leaves room for others.

    :returns: ``None`` if all sessions have a request in progress.
    """
    statuses = list(sessions)
    n_by_key = Counter(item.key for item in statuses)
    chosen = min(
        (item for item in statuses if item.phase is not SessionPhase.BUSY),
        key=lambda item: (
            item.phase,
            -n_by_key[item.key] if item.phase is SessionPhase.IDLE else 0,
            item.since,
        ),
        default=None,
    )
    return None if chosen is None else chosen.session_id


class LargeMessagePermits:
    """Permits to receive and execute messages above the small size.

    Waiting sessions are served by turns between API keys, in the order of their
    requests within a key.

    :param n_permits: permits that are held at a time.
    """

    def __init__(self, n_permits: int) -> None:
        self._n_permits = n_permits
        self._held_since: dict[int, float] = {}
        self._executing: set[int] = set()
        self._waiting_since: dict[int, float] = {}
        self._queues: dict[str, deque[int]] = {}

    @property
    def n_held(self) -> int:
        """Number of permits in use."""
        return len(self._held_since)

    def request(self, session_id: int, key: str, now: float) -> bool:
        """Request a permit; return whether it is granted at once."""
        if session_id in self._held_since:
            return True
        if not self._waiting_since and self.n_held < self._n_permits:
            self._held_since[session_id] = now
            return True
        self._waiting_since[session_id] = now
        self._queues.setdefault(key, deque()).append(session_id)
        return False

    def record_received(self, session_id: int) -> None:
        """Record that a message is complete; its permit has no time limit then."""
        if session_id in self._held_since:
            self._executing.add(session_id)

    def release(self, session_id: int, now: float) -> list[int]:
        """Give up a permit or a place in the queue.

        :returns: the sessions that get a permit now.
        """
        self._held_since.pop(session_id, None)
        self._executing.discard(session_id)
        self._waiting_since.pop(session_id, None)
        granted = []
        while self._waiting_since and self.n_held < self._n_permits:
            next_id = self._take_next()
            self._held_since[next_id] = now
            granted.append(next_id)
        return granted

    def _take_next(self) -> int:
        while True:
            key, queue = next(iter(self._queues.items()))
            session_id = queue.popleft()
            del self._queues[key]
            if queue:
                # The key's next session comes after one of each other key.
                self._queues[key] = queue
            if self._waiting_since.pop(session_id, None) is not None:
                return session_id

    def list_overdue(self, now: float) -> list[int]:
        """Return the sessions whose message or wait for a permit takes too long."""
        timeout = MESSAGE_TIMEOUT_SECONDS
        if self._waiting_since:
            timeout = CONTENDED_MESSAGE_TIMEOUT_SECONDS
        overdue = [
            session_id
            for session_id, since in self._held_since.items()
            if session_id not in self._executing and now - since > timeout
        ]
        overdue += [
            session_id
            for session_id, since in self._waiting_since.items()
            if now - since > PERMIT_TIMEOUT_SECONDS
        ]
        return overdue


@dataclass(frozen=True, slots=True)
class UnsentAnswer:
    """Answer that a client has not taken yet.

    :param since: when it was ready, on the instance's clock.
    """

    n_bytes: int
    since: float


def choose_unsent_answers(
    answers: Mapping[int, UnsentAnswer], limit_bytes: int, now: float
) -> list[int]:
    """Return the sessions to close because their answers are not taken.

    Those that have waited longest go first, until the others fit the limit.

    :param answers: unsent answers by session.
    """
    chosen = []
    n_bytes = sum(item.n_bytes for item in answers.values())
    for session_id, item in sorted(answers.items(), key=lambda pair: pair[1].since):
        if n_bytes <= limit_bytes and now - item.since <= MESSAGE_TIMEOUT_SECONDS:
            break
        chosen.append(session_id)
        n_bytes -= item.n_bytes
    return chosen


class SessionStateBudget:
    """Memory of the session variables and prepared statements of all sessions.

    :param limit_bytes: of all sessions together, beyond the free part of each.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._n_bytes: dict[int, int] = {}
        self._n_charged = 0

    def resize(self, session_id: int, change_bytes: int) -> bool:
        """Change the size of a session's state; return whether it is allowed.

        A change that makes it smaller always is.
        """
        old = self._n_bytes.get(session_id, 0)
        new = old + change_bytes
        n_charged = self._n_charged + _charge(new) - _charge(old)
        if change_bytes > 0 and _charge(new) and n_charged > self._limit_bytes:
            return False
        self._n_bytes[session_id] = new
        self._n_charged = n_charged
        return True

    def remove(self, session_id: int) -> None:
        """Remove a session that has ended."""
        self._n_charged -= _charge(self._n_bytes.pop(session_id, 0))


def _charge(n_bytes: int) -> int:
    return max(0, n_bytes - FREE_STATE_BYTES)


def estimate_text_bytes(*texts: str) -> int:
    """Return an upper bound of the memory that texts take."""
    return sum(len(text) if text.isascii() else 4 * len(text) for text in texts)
