"""Store calls of a relay: watching the configuration head and fetching parts."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..documents import HEAD_NAME, PARTS_PREFIX, make_part_object_name
from ..interfaces import RandomSource
from ..store_calls import StoreCall, StoreOperation, StoreReply
from .configuration_state import ConfigurationState

# A relay's confirmation is at most two watch calls old. With the pull interval of 1 s
# and the queries between relays, its age stays below the 4 s after which keys are
# refused.
WATCH_TIMEOUT_SECONDS = 0.5
# Bounds the call rate of one relay even when the store answers watch calls at once.
MIN_CALL_INTERVAL_SECONDS = 0.1
MAX_PARALLEL_FETCHES = 4
BACKOFF_START_SECONDS = 0.25
# Evidence of an outage is as old as the last failed call. Its age must stay below 4 s
# after queries between relays and a pull, so the delay between calls stays below 1 s.
BACKOFF_LIMIT_SECONDS = 0.65
# A call without a reply counts as failed this long after its own timeout, so that an
# outage is detected before confirmations expire. A later reply is still used.
REPLY_GRACE_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """Store call without a reply so far.

    :param times_out_at: local time at which the call counts as failed.
    """

    asked_at: float
    times_out_at: float


class StoreWatch:
    """Keeps the configuration state up to date while the instance is a relay.

    Store calls of the fleet: 5 data centres with 2 relays each and a watch timeout of
    0.5 s give 10 / 0.5 = 20 calls/s. A change adds one read for each touched part and
    relay. If all 620 instances considered themselves relays, there would be
    620 / 0.5 = 1,240 reads/s, below the 2,000 that the store allows. While calls fail
    at once, the backoff grows to 0.65 s times a random factor between 0.5 and 1.5:
    10 / 0.65 = 15 calls/s, or 954 for all 620 instances; calls that fail by timeout are
    fewer. The random factor also spreads the first calls after an outage over 0.65 s.

    :param state: receives heads and parts.
    """

    def __init__(self, state: ConfigurationState, random: RandomSource) -> None:
        self._state = state
        self._random = random
        self._is_active = False
        self._pending_calls: dict[str, _PendingCall] = {}
        self._n_calls = 0
        self._n_failures = 0
        self._next_call_at = 0.0
        self._object_version = 0
        self._head_version = 0
        self.unreachable_since: float | None = None
        self.last_failure_at = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the instance is a relay."""
        return self._is_active

    @property
    def next_at(self) -> float | None:
        """Local time at which :meth:`make_calls` is due, or ``None``."""
        if self._pending_calls:
            return min(item.times_out_at for item in self._pending_calls.values())
        return self._next_call_at if self._is_active else None

    def activate(self, now: float) -> None:
        """Start to watch the store, as a relay."""
        self._is_active = True
        self._next_call_at = max(self._next_call_at, now)

    def deactivate(self) -> None:
        """Stop watching the store; a pending watch call is not repeated."""
        self._is_active = False
        self.unreachable_since = None

    def make_calls(self, now: float) -> Sequence[StoreCall]:
        """Return the store calls that are due."""
        for call_id, item in list(self._pending_calls.items()):
            if now >= item.times_out_at:
                del self._pending_calls[call_id]
                self._record_failure(item.asked_at, now)
        if not self._is_active or self._pending_calls or now < self._next_call_at:
            return ()
        self._next_call_at = now + MIN_CALL_INTERVAL_SECONDS
        calls = [
            self._make_fetch(name)
            for name in self._state.missing_parts[:MAX_PARALLEL_FETCHES]
        ] or [self._make_watch()]
        for call in calls:
            times_out_at = now + call.timeout_seconds + REPLY_GRACE_SECONDS
            self._pending_calls[call.call_id] = _PendingCall(now, times_out_at)
        return calls

    def handle_reply(self, reply: StoreReply, now: float) -> None:
        """Apply the outcome of a call, also of one that has timed out.

        :raises CodecError: when the head is malformed.
        """
        pending_call = self._pending_calls.pop(reply.call.call_id, None)
        if reply.failure is not None:
            if pending_call is not None:
                self._record_failure(pending_call.asked_at, now)
            return
        self.unreachable_since = None
        self._n_failures = 0
        if reply.call.operation is StoreOperation.WATCH:
            self._handle_head(reply, now)
        else:
            self._handle_part(reply, now)

    def reread_head(self, now: float) -> None:
        """Read the head again after a backoff, because its version was unusable."""
        self._object_version = 0
        self._n_failures += 1
        self._next_call_at = now + self._compute_backoff()

    def _handle_head(self, reply: StoreReply, now: float) -> None:
        if reply.version == 0:
            self._state.confirm(0, reply.asked_at)
        elif reply.version == self._object_version:
            self._state.confirm(self._head_version, reply.asked_at)
        elif reply.version > self._object_version:
            version = self._state.start_assembly(reply.value)
            self._object_version = reply.version
            self._head_version = version
            self._state.confirm(version, reply.asked_at)
            self._next_call_at = now

    def _handle_part(self, reply: StoreReply, now: float) -> None:
        name, _, part_version = reply.call.name[len(PARTS_PREFIX) :].partition("/")
        if reply.version > 0:
            self._state.add_part(name, part_version, reply.value)
        elif self._state.find_part_version(name) == part_version:
            # The part was deleted because a later version replaced it.
            self._state.drop_assembly()
            self.reread_head(now)

    def _record_failure(self, asked_at: float, now: float) -> None:
        self._n_failures += 1
        self._next_call_at = now + self._compute_backoff()
        if self._is_active:
            self.last_failure_at = now
            if self.unreachable_since is None:
                self.unreachable_since = asked_at

    def _compute_backoff(self) -> float:
        n_doublings = min(self._n_failures - 1, 8)
        backoff_seconds = min(
            BACKOFF_START_SECONDS * 2**n_doublings, BACKOFF_LIMIT_SECONDS
        )
        return backoff_seconds * (0.5 + self._random.random())

    def _make_id(self) -> str:
        self._n_calls += 1
        return f"configuration-{self._n_calls}"

    def _make_watch(self) -> StoreCall:
        return StoreCall(
            call_id=self._make_id(),
            operation=StoreOperation.WATCH,
            name=HEAD_NAME,
            after_version=self._object_version,
            timeout_seconds=WATCH_TIMEOUT_SECONDS,
        )

    def _make_fetch(self, name: str) -> StoreCall:
        part_version = self._state.find_part_version(name) or ""
        return StoreCall(
            call_id=self._make_id(),
            operation=StoreOperation.GET,
            name=make_part_object_name(name, part_version),
        )
