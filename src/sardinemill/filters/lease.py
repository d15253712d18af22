"""One lease object of the platform's store, observed, held or released."""

from dataclasses import dataclass
from enum import Enum, auto

from ..errors import CodecError
from ..interfaces import RandomSource
from ..lease_records import LeaseCodec, LeaseRecord
from ..limits import extend_wait_for_drift
from ..store_calls import StoreCall, StoreFailure, StoreOperation, StoreReply

CALL_TIMEOUT_SECONDS = 1.0
# A reply that is missing for this long counts as lost.
REPLY_LIMIT_SECONDS = 3.0
BACK_OFF_SECONDS = 0.5
BACK_OFF_LIMIT_SECONDS = 4.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Periods of a kind of lease.

    :param life_seconds: validity, counted by the holder from before its renewal.
    :param renew_seconds: between renewals.
    :param poll_seconds: between reads of an object that another holds.
    """

    life_seconds: float
    renew_seconds: float
    poll_seconds: float


SHARD_TIMING = LeaseTiming(life_seconds=10.0, renew_seconds=3.0, poll_seconds=3.0)
SEAT_TIMING = LeaseTiming(life_seconds=60.0, renew_seconds=20.0, poll_seconds=20.0)


class Wish(Enum):
    """What the instance wants of a lease."""

    OBSERVE = auto()
    HOLD = auto()
    # Neither renew nor release: users of the lease are finishing.
    CLOSE = auto()
    RELEASE = auto()


class Lease:
    """State of one lease object. At most one store call is open at a time.

    A lease may be taken over when the same version was seen for its life, stretched by
    the clock drift, on the own clock. The put is conditional on that version, so a
    renewal that came meanwhile wins. After a lost reply the object is read again: own
    owner and incarnation at a later version mean that the put took effect.

    :param name: object name.
    :param owner: this instance.
    :param incarnation: this process.
    """

    def __init__(
        self,
        name: str,
        timing: LeaseTiming,
        *,
        owner: str,
        incarnation: str,
        codec: LeaseCodec,
        random_source: RandomSource,
    ) -> None:
        self.name = name
        self.wish = Wish.OBSERVE
        # Wait beyond the end of the lease, which leaves others the first try.
        self.patience_seconds = 0.0
        self.record: LeaseRecord | None = None
        self.valid_until = NEVER
        self.taken_at = NEVER
        self.is_unreadable = False
        # Versions seen so far.
        self.n_versions = 0
        self._timing = timing
        self._owner = owner
        self._incarnation = incarnation
        self._codec = codec
        self._random = random_source
        self._version: int | None = None
        self._seen_at = NEVER
        self._call: StoreCall | None = None
        self._called_at = NEVER
        self._must_read = True
        # First of the puts on the current version whose effect is unknown.
        self._unknown_put_at: float | None = None
        self._is_outdated = False
        self._n_failures = 0
        self._next_at = NEVER

    @property
    def is_ours(self) -> bool:
        """Whether the object names this process as owner, as last seen."""
        record = self.record
        return (
            record is not None
            and record.owner == self._owner
            and record.incarnation == self._incarnation
        )

    @property
    def is_claiming(self) -> bool:
        """Whether a claim is open or its effect unknown."""
        is_put = self._call is not None and self._call.operation is StoreOperation.PUT
        return not self.is_ours and (is_put or self._unknown_put_at is not None)

    @property
    def epoch(self) -> int:
        """Number of changes of owner so far."""
        return 0 if self.record is None else self.record.epoch

    @property
    def next_at(self) -> float:
        """When :meth:`make_call` has something to do."""
        if self._call is not None:
            return self._called_at + REPLY_LIMIT_SECONDS
        return self._next_at

    def delay(self, seconds: float, now: float) -> None:
        """Make no call before a time."""
        self._next_at = max(self._next_at, now + seconds)

    def hurry(self, now: float) -> None:
        """Act on a new wish at once, unless a back-off is running."""
        if self._n_failures == 0:
            self._next_at = min(self._next_at, now)

    def read_again(self, now: float) -> None:
        """Act on news that the object changed."""
        self._must_read = True
        # The answer to an open read may be older than the news.
        self._is_outdated = self._call is not None
        self.hurry(now)

    def is_free(self, now: float) -> bool:
        """Tell whether the lease may be claimed."""
        return self._version is not None and now >= self._find_free_at()

    def make_call(self, now: float, *, may_claim: bool = True) -> StoreCall | None:
        """Return the next store call when it is due."""
        if now < self.next_at:
            return None
        if self._call is not None:
            self._note_lost(self._called_at)
        call = self._choose_call(now, may_claim)
        if call is None:
            self._next_at = now + self._jitter(self._timing.poll_seconds)
            return None
        self._call = call
        self._called_at = now
        return call

    def is_waiting_for(self, reply: StoreReply) -> bool:
        """Tell whether a reply belongs to the open call."""
        return self._call is not None and reply.call.call_id == self._call.call_id

    def take_reply(self, reply: StoreReply, now: float) -> None:
        """Learn from a store reply; replies to earlier calls are ignored."""
        if not self.is_waiting_for(reply):
            return
        self._call = None
        if reply.failure is StoreFailure.UNAVAILABLE:
            self._back_off(reply, now)
            return
        self._n_failures = 0
        if reply.failure is StoreFailure.CONFLICT:
            self._must_read = True
            self._next_at = now
        elif reply.call.operation is StoreOperation.PUT:
            self._note_put(reply, now)
        else:
            self._note_object(reply, now)
        if self._is_outdated:
            self._is_outdated = False
            self._must_read = True
            self._next_at = now

    def _choose_call(self, now: float, may_claim: bool) -> StoreCall | None:
        if self._must_read or self._version is None:
            return self._make_get()
        if self.is_ours:
            if self.wish is Wish.RELEASE:
                return self._make_put("", self.epoch)
            if self.wish is Wish.CLOSE:
                # Once it has lapsed, another instance may own it.
                return None if now < self.valid_until else self._make_get()
            return self._make_put(self._owner, self.epoch)
        if self.wish is Wish.HOLD and self.is_free(now):
            return self._make_put(self._owner, self.epoch + 1) if may_claim else None
        return self._make_get()

    def _make_get(self) -> StoreCall:
        return StoreCall(
            call_id=self._random.make_id(),
            operation=StoreOperation.GET,
            name=self.name,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )

    def _make_put(self, owner: str, epoch: int) -> StoreCall:
        record = LeaseRecord(owner=owner, incarnation=self._incarnation, epoch=epoch)
        return StoreCall(
            call_id=self._random.make_id(),
            operation=StoreOperation.PUT,
            name=self.name,
            value=self._codec.encode(record),
            expected_version=self._version or 0,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )

    def _back_off(self, reply: StoreReply, now: float) -> None:
        self._note_lost(reply.asked_at, reply.call)
        pause = BACK_OFF_SECONDS * 2.0**self._n_failures
        self._n_failures += 1
        # Jitter keeps instances from calling together when the store is back.
        pause = min(pause, BACK_OFF_LIMIT_SECONDS) * (0.5 + self._random.random())
        self._next_at = now + pause

    def _note_lost(self, asked_at: float, call: StoreCall | None = None) -> None:
        call = call or self._call
        self._call = None
        self._must_read = True
        if (
            call is not None
            and call.operation is StoreOperation.PUT
            and self._unknown_put_at is None
        ):
            self._unknown_put_at = asked_at

    def _note_put(self, reply: StoreReply, now: float) -> None:
        self._set_object(reply.version, reply.call.value, now)
        self._unknown_put_at = None
        if self.is_ours:
            self.valid_until = reply.asked_at + self._timing.life_seconds
        self._plan_next(now)

    def _note_object(self, reply: StoreReply, now: float) -> None:
        self._must_read = False
        if reply.version != self._version:
            put_at = self._unknown_put_at
            self._set_object(reply.version, reply.value, now)
            self._unknown_put_at = None
            if self.is_ours and put_at is not None:
                # Every later renewal of this process was counted from a later time.
                self.valid_until = max(
                    self.valid_until, put_at + self._timing.life_seconds
                )
        self._plan_next(now)

    def _set_object(self, version: int, value: bytes, now: float) -> None:
        was_ours, epoch = self.is_ours, self.epoch
        self._version = version
        self._seen_at = now
        self.n_versions += 1
        self.is_unreadable = False
        try:
            self.record = self._codec.decode(value) if version else None
        except CodecError:
            # Kept as an owner of unknown name: taken over once it stays unchanged.
            self.record = LeaseRecord(owner="?", incarnation="?", epoch=epoch)
            self.is_unreadable = True
        if not self.is_ours:
            self.valid_until = NEVER
        elif not was_ours or epoch != self.epoch:
            self.taken_at = now
            self.valid_until = NEVER

    def _plan_next(self, now: float) -> None:
        if self.is_ours:
            is_settled = self.valid_until > now and self._unknown_put_at is None
            if self.wish is Wish.CLOSE:
                self._next_at = now + self._jitter(self._timing.poll_seconds)
            elif is_settled and self.wish is not Wish.RELEASE:
                self._next_at = now + self._jitter(self._timing.renew_seconds)
            else:
                self._next_at = now
            return
        self._next_at = now + self._jitter(self._timing.poll_seconds)
        if self.wish is Wish.HOLD:
            self._next_at = max(now, min(self._next_at, self._find_free_at()))

    def _find_free_at(self) -> float:
        wait = self.patience_seconds
        if self.record is None:
            return NEVER if wait == 0 else self._seen_at + wait
        if self.record.owner:
            wait += extend_wait_for_drift(self._timing.life_seconds)
        return self._seen_at + wait

    def _jitter(self, seconds: float) -> float:
        return seconds * (0.8 + 0.2 * self._random.random())
