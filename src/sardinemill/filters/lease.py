"""Client side of one lease object in the platform's store."""

from dataclasses import dataclass
from enum import Enum, auto

from ..errors import CodecError
from ..interfaces import RandomSource
from ..lease_records import LeaseCodec, LeaseRecord
from ..limits import extend_wait_for_drift
from ..store_calls import StoreCall, StoreFailure, StoreOperation, StoreReply

CALL_TIMEOUT_SECONDS = 1.0
# A reply that has not arrived after this time counts as lost.
REPLY_TIMEOUT_SECONDS = 3.0
BACKOFF_START_SECONDS = 0.5
BACKOFF_LIMIT_SECONDS = 4.0
# Time of an event that has not happened; earlier than any clock reading.
NEVER = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Duration and intervals of a kind of lease.

    :param duration_seconds: validity; the holder counts it from before it sent the
        renewal.
    :param renew_interval_seconds: greatest time between renewals.
    :param poll_interval_seconds: greatest time between reads of a lease that another
        instance holds.
    """

    duration_seconds: float
    renew_interval_seconds: float
    poll_interval_seconds: float


SHARD_TIMING = LeaseTiming(
    duration_seconds=10.0, renew_interval_seconds=3.0, poll_interval_seconds=3.0
)
SEAT_TIMING = LeaseTiming(
    duration_seconds=60.0, renew_interval_seconds=20.0, poll_interval_seconds=20.0
)


class DesiredState(Enum):
    """State of a lease that this instance aims for."""

    OBSERVE = auto()
    HOLD = auto()
    # Neither renewed nor released yet: the users of the lease are finishing.
    CLOSE = auto()
    RELEASE = auto()


class Lease:
    """State machine of one lease object, with at most one store call at a time.

    A lease may be taken over when its version has not changed for the lease's duration
    on the local clock, extended by the clock drift. The put is conditional on that
    version, so it conflicts with a renewal that was accepted meanwhile. After a lost
    reply the object is read again: if a later version names this process as owner, the
    put took effect.

    :param name: name of the store object.
    :param owner: this instance.
    :param incarnation: this process of the instance.
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
        self.desired_state = DesiredState.OBSERVE
        # Extra wait after the lease expires, so that better candidates claim it first.
        self.claim_delay_seconds = 0.0
        self.record: LeaseRecord | None = None
        self.valid_until = NEVER
        self.taken_at = NEVER
        self.is_record_invalid = False
        # Versions of the object observed so far.
        self.n_versions = 0
        self._timing = timing
        self._owner = owner
        self._incarnation = incarnation
        self._codec = codec
        self._random = random_source
        self._version: int | None = None
        self._version_seen_at = NEVER
        self._pending_call: StoreCall | None = None
        self._call_sent_at = NEVER
        self._must_read = True
        # Time of the first put on the current version whose outcome is unknown.
        self._undetermined_put_at: float | None = None
        self._must_reread_after_call = False
        self._n_failures = 0
        self._next_call_at = NEVER

    @property
    def is_owned(self) -> bool:
        """Whether the last known record names this process as owner.

        The lease may have expired; it is valid until :attr:`valid_until`.
        """
        record = self.record
        return (
            record is not None
            and record.owner == self._owner
            and record.incarnation == self._incarnation
        )

    @property
    def has_pending_claim(self) -> bool:
        """Whether a claim is pending or its outcome unknown."""
        is_put = (
            self._pending_call is not None
            and self._pending_call.operation is StoreOperation.PUT
        )
        return not self.is_owned and (is_put or self._undetermined_put_at is not None)

    @property
    def epoch(self) -> int:
        """Number of changes of owner so far."""
        return 0 if self.record is None else self.record.epoch

    @property
    def next_at(self) -> float:
        """Local time at which :meth:`make_call` is due."""
        if self._pending_call is not None:
            return self._call_sent_at + REPLY_TIMEOUT_SECONDS
        return self._next_call_at

    def postpone(self, seconds: float, now: float) -> None:
        """Delay the next call by at least ``seconds`` from now."""
        self._next_call_at = max(self._next_call_at, now + seconds)

    def schedule_now(self, now: float) -> None:
        """Make the next call due now, unless calls are backing off after a failure."""
        if self._n_failures == 0:
            self._next_call_at = min(self._next_call_at, now)

    def schedule_reread(self, now: float) -> None:
        """Read the object as soon as possible, because another instance changed it."""
        self._must_read = True
        # The reply to a pending call may be older than the change.
        self._must_reread_after_call = self._pending_call is not None
        self.schedule_now(now)

    def is_claimable(self, now: float) -> bool:
        """Return whether the lease may be claimed."""
        return self._version is not None and now >= self._find_claimable_at()

    def make_call(self, now: float, *, may_claim: bool = True) -> StoreCall | None:
        """Return the next store call if one is due.

        :param may_claim: whether a claimable lease may be claimed by this call.
        """
        if now < self.next_at:
            return None
        if self._pending_call is not None:
            self._record_lost_call(self._call_sent_at)
        call = self._choose_call(now, may_claim)
        if call is None:
            self._next_call_at = now + self._add_jitter(
                self._timing.poll_interval_seconds
            )
            return None
        self._pending_call = call
        self._call_sent_at = now
        return call

    def is_waiting_for(self, reply: StoreReply) -> bool:
        """Return whether a reply belongs to the pending call."""
        return (
            self._pending_call is not None
            and reply.call.call_id == self._pending_call.call_id
        )

    def handle_reply(self, reply: StoreReply, now: float) -> None:
        """Update the state from a store reply; ignore replies to earlier calls."""
        if not self.is_waiting_for(reply):
            return
        self._pending_call = None
        if reply.failure is StoreFailure.UNAVAILABLE:
            self._back_off(reply, now)
            return
        self._n_failures = 0
        if reply.failure is StoreFailure.CONFLICT:
            self._must_read = True
            self._next_call_at = now
        elif reply.call.operation is StoreOperation.PUT:
            self._record_put(reply, now)
        else:
            self._record_read(reply, now)
        if self._must_reread_after_call:
            self._must_reread_after_call = False
            self._must_read = True
            self._next_call_at = now

    def _choose_call(self, now: float, may_claim: bool) -> StoreCall | None:
        if self._must_read or self._version is None:
            return self._make_get()
        if self.is_owned:
            if self.desired_state is DesiredState.RELEASE:
                return self._make_put("", self.epoch)
            if self.desired_state is DesiredState.CLOSE:
                # Once it has expired, another instance may own it.
                return None if now < self.valid_until else self._make_get()
            return self._make_put(self._owner, self.epoch)
        if self.desired_state is DesiredState.HOLD and self.is_claimable(now):
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
        self._record_lost_call(reply.asked_at, reply.call)
        delay_seconds = BACKOFF_START_SECONDS * 2.0**self._n_failures
        self._n_failures += 1
        # The jitter spreads the calls of all instances when the store is back.
        delay_seconds = min(delay_seconds, BACKOFF_LIMIT_SECONDS) * (
            0.5 + self._random.random()
        )
        self._next_call_at = now + delay_seconds

    def _record_lost_call(self, asked_at: float, call: StoreCall | None = None) -> None:
        call = call or self._pending_call
        self._pending_call = None
        self._must_read = True
        if (
            call is not None
            and call.operation is StoreOperation.PUT
            and self._undetermined_put_at is None
        ):
            self._undetermined_put_at = asked_at

    def _record_put(self, reply: StoreReply, now: float) -> None:
        self._set_record(reply.version, reply.call.value, now)
        self._undetermined_put_at = None
        if self.is_owned:
            self.valid_until = reply.asked_at + self._timing.duration_seconds
        self._schedule_next_call(now)

    def _record_read(self, reply: StoreReply, now: float) -> None:
        self._must_read = False
        if reply.version != self._version:
            undetermined_put_at = self._undetermined_put_at
            self._set_record(reply.version, reply.value, now)
            self._undetermined_put_at = None
            if self.is_owned and undetermined_put_at is not None:
                # The put that took effect was sent at this time or later, so the lease
                # is valid at least for its duration from this time.
                self.valid_until = max(
                    self.valid_until,
                    undetermined_put_at + self._timing.duration_seconds,
                )
        self._schedule_next_call(now)

    def _set_record(self, version: int, value: bytes, now: float) -> None:
        was_owned, epoch = self.is_owned, self.epoch
        self._version = version
        self._version_seen_at = now
        self.n_versions += 1
        self.is_record_invalid = False
        try:
            self.record = self._codec.decode(value) if version else None
        except CodecError:
            # Treated as held by an unknown owner: the lease may be taken over once the
            # object has not changed for the lease's duration.
            self.record = LeaseRecord(owner="?", incarnation="?", epoch=epoch)
            self.is_record_invalid = True
        if not self.is_owned:
            self.valid_until = NEVER
        elif not was_owned or epoch != self.epoch:
            self.taken_at = now
            self.valid_until = NEVER

    def _schedule_next_call(self, now: float) -> None:
        if self.is_owned:
            is_confirmed = self.valid_until > now and self._undetermined_put_at is None
            if self.desired_state is DesiredState.CLOSE:
                self._next_call_at = now + self._add_jitter(
                    self._timing.poll_interval_seconds
                )
            elif is_confirmed and self.desired_state is not DesiredState.RELEASE:
                self._next_call_at = now + self._add_jitter(
                    self._timing.renew_interval_seconds
                )
            else:
                self._next_call_at = now
            return
        self._next_call_at = now + self._add_jitter(self._timing.poll_interval_seconds)
        if self.desired_state is DesiredState.HOLD:
            self._next_call_at = max(
                now, min(self._next_call_at, self._find_claimable_at())
            )

    def _find_claimable_at(self) -> float:
        wait_seconds = self.claim_delay_seconds
        if self.record is None:
            return NEVER if wait_seconds == 0 else self._version_seen_at + wait_seconds
        if self.record.owner:
            wait_seconds += extend_wait_for_drift(self._timing.duration_seconds)
        return self._version_seen_at + wait_seconds

    def _add_jitter(self, seconds: float) -> float:
        return seconds * (0.8 + 0.2 * self._random.random())
