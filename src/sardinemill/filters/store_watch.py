"""A relay's calls to the store: the watch on the head and the fetch of parts."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..documents import HEAD_NAME, PARTS_PREFIX, name_part_object
from ..interfaces import RandomSource
from ..store_calls import StoreCall, StoreOperation, StoreReply
from .configuration_state import ConfigurationState

# A relay's confirmation is at most two watches old. With the pull of a second and the
# exchange between relays it stays below the 4 s after which keys are refused.
WATCH_SECONDS = 0.5
# Bounds the calls of one relay even when the store answers watches at once.
MIN_GAP_SECONDS = 0.1
N_PARALLEL_FETCHES = 4
BACKOFF_START_SECONDS = 0.25
# Evidence of an outage is as old as the last failed call, and with the exchange and
# the pull it must stay below 4 s; so the pause between calls stays below 1 s.
BACKOFF_LIMIT_SECONDS = 0.65
# A call without a reply counts as failed this long after its own time limit, so that
# an outage is known before confirmations expire. A later reply is still used.
REPLY_GRACE_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class _Outstanding:
    """Call without a reply so far; it counts as failed at ``limit``."""

    asked_at: float
    limit: float


class StoreWatch:
    """Keeps the state in step with the store while the instance is a relay.

    Store calls of the fleet: 5 data centres with 2 relays each, a watch of 0.5 s, give
    10 / 0.5 = 20 calls/s. A change adds one read for each touched part and relay. If
    all 620 daemons took themselves for relays, watches would be 620 / 0.5 = 1,240
    reads/s, below the 2,000 that the store allows. While calls fail at once, the
    back-off grows to 0.65 s times a random factor between 0.5 and 1.5: 10 / 0.65 = 15
    calls/s, or 954 for all 620 daemons; calls that fail by time-out are fewer. The
    random factor also spreads the first calls after the outage over 0.65 s.

    :param state: receives heads and parts.
    """

    def __init__(self, state: ConfigurationState, random: RandomSource) -> None:
        self._state = state
        self._random = random
        self._is_active = False
        self._outstanding: dict[str, _Outstanding] = {}
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
        """When :meth:`make_calls` is due."""
        if self._outstanding:
            return min(item.limit for item in self._outstanding.values())
        return self._next_call_at if self._is_active else None

    def activate(self, now: float) -> None:
        """Become a relay."""
        self._is_active = True
        self._next_call_at = max(self._next_call_at, now)

    def deactivate(self) -> None:
        """Stop being a relay; a pending watch is not renewed when it returns."""
        self._is_active = False
        self.unreachable_since = None

    def make_calls(self, now: float) -> Sequence[StoreCall]:
        """Return the calls that are due."""
        for call_id, item in list(self._outstanding.items()):
            if now >= item.limit:
                del self._outstanding[call_id]
                self._fail(item.asked_at, now)
        if not self._is_active or self._outstanding or now < self._next_call_at:
            return ()
        self._next_call_at = now + MIN_GAP_SECONDS
        calls = [
            self._make_fetch(name) for name in self._state.lacking[:N_PARALLEL_FETCHES]
        ] or [self._make_watch()]
        for call in calls:
            limit = now + call.timeout_seconds + REPLY_GRACE_SECONDS
            self._outstanding[call.call_id] = _Outstanding(now, limit)
        return calls

    def accept(self, reply: StoreReply, now: float) -> None:
        """Take the outcome of a call, also of one that was given up.

        :raises CodecError: when the head is malformed.
        """
        outstanding = self._outstanding.pop(reply.call.call_id, None)
        if reply.failure is not None:
            if outstanding is not None:
                self._fail(outstanding.asked_at, now)
            return
        self.unreachable_since = None
        self._n_failures = 0
        if reply.call.operation is StoreOperation.WATCH:
            self._accept_head(reply, now)
        else:
            self._accept_part(reply, now)

    def reread(self, now: float) -> None:
        """Read the head again, after a pause, because its version was unusable."""
        self._object_version = 0
        self._n_failures += 1
        self._next_call_at = now + self._make_backoff()

    def _accept_head(self, reply: StoreReply, now: float) -> None:
        if reply.version == 0:
            self._state.confirm(0, reply.asked_at)
        elif reply.version == self._object_version:
            self._state.confirm(self._head_version, reply.asked_at)
        elif reply.version > self._object_version:
            version = self._state.begin(reply.value)
            self._object_version = reply.version
            self._head_version = version
            self._state.confirm(version, reply.asked_at)
            self._next_call_at = now

    def _accept_part(self, reply: StoreReply, now: float) -> None:
        name, _, part_version = reply.call.name[len(PARTS_PREFIX) :].partition("/")
        if reply.version > 0:
            self._state.add_part(name, part_version, reply.value)
        elif self._state.find_part_version(name) == part_version:
            # The part was removed because a later version replaced it.
            self._state.drop_assembly()
            self.reread(now)

    def _fail(self, asked_at: float, now: float) -> None:
        self._n_failures += 1
        self._next_call_at = now + self._make_backoff()
        if self._is_active:
            self.last_failure_at = now
            if self.unreachable_since is None:
                self.unreachable_since = asked_at

    def _make_backoff(self) -> float:
        doublings = min(self._n_failures - 1, 8)
        seconds = min(BACKOFF_START_SECONDS * 2**doublings, BACKOFF_LIMIT_SECONDS)
        return seconds * (0.5 + self._random.random())

    def _make_id(self) -> str:
        self._n_calls += 1
        return f"configuration-{self._n_calls}"

    def _make_watch(self) -> StoreCall:
        return StoreCall(
            call_id=self._make_id(),
            operation=StoreOperation.WATCH,
            name=HEAD_NAME,
            after_version=self._object_version,
            timeout_seconds=WATCH_SECONDS,
        )

    def _make_fetch(self, name: str) -> StoreCall:
        part_version = self._state.find_part_version(name) or ""
        return StoreCall(
            call_id=self._make_id(),
            operation=StoreOperation.GET,
            name=name_part_object(name, part_version),
        )
