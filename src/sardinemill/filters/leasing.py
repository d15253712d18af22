"""Shard leases and the seat of this instance, kept in the platform's store.

Store calls at 620 daemons, 256 shards and 1,024 seats: each held shard is renewed
every 2.4 to 3 s (95 writes/s) and read by its second candidate as often (95 reads/s);
at most 960 seats in use are renewed every 16 to 20 s (53 writes/s). Together that is
148 writes/s and 95 reads/s. A start adds 16 reads and a write for the seat. During a
store outage each of at most 1,472 objects is tried every 2 to 6 s (368 calls/s on
average), spread at random.

An outage extends no lease, also when relays of every data centre report it: an instance
that is cut off from these relays may reach the store, see the lease unchanged for its
life and take it over. Its own relay confirms meanwhile that the store is reachable, so
no rule on confirmations tells it to wait.
"""

from collections.abc import Sequence
from functools import partial

from ..control import DrainFinished, DrainStarted, PeerEnvelope
from ..events import Event, EventName
from ..groups import rank_candidates
from ..interfaces import Emission, RandomSource
from ..lease_records import LeaseCodec
from ..limits import MAX_SEATS_PER_INSTANCE, LimitSettings, ShardRanking
from ..loans import SeatClosed, ShardClosed, ShardLease, ShardReleased
from ..members import MembershipChanged
from ..store_calls import StoreReply
from .lease import NEVER, SEAT_TIMING, SHARD_TIMING, Lease, LeaseTiming, Wish
from .seat_acquisition import SeatAcquisition

# The second candidate claims a free shard when the first has not done so by then.
STAND_IN_SECONDS = 5.0
# A holder that is not the first candidate keeps the shard for this long, twice as long
# after each time that the first failed to claim it.
HOLD_SECONDS = 30.0
HOLD_LIMIT_SECONDS = 600.0
START_SPREAD_SECONDS = 0.5
# The reserve of an unused seat is lost, so instances take spare ones. One in 16 stays
# free for new instances; the delay lets the fleet's start settle.
FREE_SEATS_DIVISOR = 16
SPARE_DELAY_SECONDS = 5.0


class Leasing:
    """Filter that claims, renews and releases leases.

    A shard belongs to its first live candidate by rendezvous hash. The second one
    observes the lease, so that it knows how long it has been unchanged, and stands in
    when the first does not claim it.

    Outlets: ``store``, ``lending`` for :class:`ShardLease`, ``admission`` for
    :class:`SeatLease`, ``peers`` for :class:`ShardReleased`, ``events``.

    :param name: this instance.
    """

    def __init__(
        self,
        name: str,
        settings: LimitSettings,
        codec: LeaseCodec,
        random_source: RandomSource,
    ) -> None:
        self._name = name
        self._settings = settings
        self._codec = codec
        self._random = random_source
        self._incarnation = random_source.make_id()
        self._ranking = ShardRanking()
        self._shards: dict[int, Lease] = {}
        self._told: dict[int, ShardLease] = {}
        self._hold_seconds: dict[int, float] = {}
        self._seatings = [
            SeatAcquisition(
                seat_index,
                settings.n_seats,
                random_source,
                partial(self._open_seat, seat_index),
            )
            for seat_index in range(MAX_SEATS_PER_INSTANCE)
        ]
        self._is_draining = False
        self._is_started = False

    @property
    def next_tick(self) -> float | None:
        if not self._is_started:
            return None
        times = [lease.next_at for lease in self._shards.values()]
        due = min([*times, *(seating.next_at for seating in self._seatings)])
        return None if due == float("inf") else due

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        match message:
            case MembershipChanged():
                self._is_started = True
                if self._ranking.set_instances(item.name for item in message.live):
                    emissions += self._assign_shards(now)
                    emissions += self._assign_seats(now)
            case StoreReply():
                emissions += self._take_reply(message, now)
            case ShardClosed():
                self._release_shard(message, now)
            case PeerEnvelope(message=ShardReleased(shard=shard)):
                lease = self._shards.get(shard)
                if lease is not None and not lease.is_ours:
                    lease.read_again(now)
            case SeatClosed():
                self._seatings[message.seat_index].release(message.seat, now)
            case DrainStarted():
                emissions += self._drain(now)
        return emissions + self._make_calls(now) + self._finish_drain()

    def _finish_drain(self) -> list[Emission]:
        """Report that neither a shard nor the seat is held any more."""
        held = any(seating.seat is not None for seating in self._seatings)
        if not self._is_draining or held:
            return []
        if any(lease.is_ours for lease in self._shards.values()):
            return []
        return [Emission("drain", DrainFinished(step="leasing"))]

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for shard in list(self._shards):
            emissions += self._hand_over(shard, now)
        return emissions + self._make_calls(now)

    def _make_calls(self, now: float) -> list[Emission]:
        if not self._is_started:
            return []
        calls = [lease.make_call(now) for lease in self._shards.values()]
        for seating in self._seatings:
            calls += seating.make_calls(now)
        return [Emission("store", call) for call in calls if call is not None]

    def _take_reply(self, reply: StoreReply, now: float) -> list[Emission]:
        name = reply.call.name
        for seating in self._seatings:
            lease = seating.find(reply)
            if lease is not None:
                return self._take_seat_reply(seating, lease, reply, now)
        shard = (
            int(name.rsplit("/", 1)[-1]) if name.startswith("leases/shards/") else -1
        )
        lease = self._shards.get(shard)
        if lease is None:
            return []
        was_ours = lease.is_ours
        lease.take_reply(reply, now)
        emissions = self._report_unreadable(lease)
        if was_ours and not lease.is_ours and lease.wish is not Wish.RELEASE:
            emissions.append(self._log(EventName.SHARD_LOST, shard=shard))
        if not was_ours and lease.is_ours:
            emissions.append(
                self._log(EventName.SHARD_TAKEN, shard=shard, epoch=lease.epoch)
            )
        return emissions + self._tell_lending(shard, lease) + self._tidy(shard, now)

    # Shards

    def _open_shard(self, shard: int) -> Lease:
        return self._open_lease(f"leases/shards/{shard}", SHARD_TIMING)

    def _open_seat(self, seat_index: int, seat: int) -> Lease:
        # The place is part of the incarnation, so that both searches of an instance
        # never take the same seat for their own.
        return self._open_lease(f"leases/seats/{seat}", SEAT_TIMING, f"/{seat_index}")

    def _open_lease(self, name: str, timing: LeaseTiming, suffix: str = "") -> Lease:
        return Lease(
            name,
            timing,
            owner=self._name,
            incarnation=self._incarnation + suffix,
            codec=self._codec,
            random_source=self._random,
        )

    def _assign_shards(self, now: float) -> list[Emission]:
        emissions: list[Emission] = []
        self._hold_seconds.clear()
        for shard in range(self._settings.n_shards):
            ranked = self._ranking.rank(shard)
            lease = self._shards.get(shard)
            if self._name in ranked and not self._is_draining:
                if lease is None:
                    lease = self._open_shard(shard)
                    lease.delay(self._random.random() * START_SPREAD_SECONDS, now)
                    self._shards[shard] = lease
                self._want(lease, ranked.index(self._name), now)
            elif lease is not None and not lease.is_ours:
                del self._shards[shard]
            emissions += self._hand_over(shard, now)
        return emissions

    def _want(self, lease: Lease, rank: int, now: float) -> None:
        if lease.wish in (Wish.CLOSE, Wish.RELEASE):
            return
        lease.wish = Wish.HOLD
        patience = rank * STAND_IN_SECONDS
        if patience < lease.patience_seconds or lease.is_ours:
            lease.hurry(now)
        lease.patience_seconds = patience

    def _hand_over(self, shard: int, now: float) -> list[Emission]:
        """Start to close a held shard whose first candidate is another instance."""
        lease = self._shards.get(shard)
        if lease is None or not lease.is_ours or lease.wish is not Wish.HOLD:
            return []
        ranked = self._ranking.rank(shard)
        hold_seconds = self._hold_seconds.setdefault(shard, HOLD_SECONDS)
        if not ranked or ranked[0] == self._name:
            return []
        if now < lease.taken_at + hold_seconds:
            return []
        self._hold_seconds[shard] = min(2 * hold_seconds, HOLD_LIMIT_SECONDS)
        return self._close_shard(shard, lease)

    def _close_shard(self, shard: int, lease: Lease) -> list[Emission]:
        lease.wish = Wish.CLOSE
        return self._tell_lending(shard, lease)

    def _release_shard(self, message: ShardClosed, now: float) -> None:
        lease = self._shards.get(message.shard)
        if lease is None or lease.wish is not Wish.CLOSE:
            return
        if lease.is_ours and lease.epoch == message.epoch:
            lease.wish = Wish.RELEASE
            lease.hurry(now)

    def _tidy(self, shard: int, now: float) -> list[Emission]:
        """Go back to observing, or forget, a shard that was given away or lost."""
        lease = self._shards[shard]
        if lease.is_ours or lease.wish not in (Wish.CLOSE, Wish.RELEASE):
            return []
        ranked = self._ranking.rank(shard)
        lease.wish = Wish.OBSERVE
        if self._name in ranked and not self._is_draining:
            self._want(lease, ranked.index(self._name), now)
        else:
            del self._shards[shard]
        emissions = [self._log(EventName.SHARD_RELEASED, shard=shard)]
        successors = [name for name in ranked if name != self._name]
        if successors:
            released = ShardReleased(shard=shard, epoch=lease.epoch)
            envelope = PeerEnvelope(peer=successors[0], message=released)
            emissions.append(Emission("peers", envelope))
        return emissions

    def _tell_lending(self, shard: int, lease: Lease) -> list[Emission]:
        owner = "" if lease.record is None else lease.record.owner
        if owner == self._name and not lease.is_ours:
            # The record of this instance's former process names nobody to ask.
            owner = ""
        news = ShardLease(
            shard=shard,
            owner=owner,
            epoch=lease.epoch,
            valid_until=lease.valid_until,
            taken_at=lease.taken_at if lease.is_ours else NEVER,
            is_closing=lease.wish in (Wish.CLOSE, Wish.RELEASE) and lease.is_ours,
        )
        if self._told.get(shard) == news:
            return []
        self._told[shard] = news
        return [Emission("lending", news)]

    # Seat

    def _assign_seats(self, now: float) -> list[Emission]:
        """Seek the first seat, and a spare one while enough seats stay free."""
        if self._is_draining:
            return []
        first, spare = self._seatings
        first.start(now)
        instances = self._ranking.instances
        n_free = max(2, self._settings.n_seats // FREE_SEATS_DIVISOR)
        n_spare = max(0, self._settings.n_seats - len(instances) - n_free)
        if self._name in rank_candidates("spare seats", instances)[:n_spare]:
            spare.start(now, SPARE_DELAY_SECONDS)
            return []
        closing = spare.start_closing()
        return [] if closing is None else [Emission("admission", closing)]

    def _take_seat_reply(
        self, seating: SeatAcquisition, lease: Lease, reply: StoreReply, now: float
    ) -> list[Emission]:
        former = seating.seat
        lease.take_reply(reply, now)
        emissions = self._report_unreadable(lease)
        news = seating.settle(now)
        if news is not None:
            emissions.append(Emission("admission", news))
        if former != seating.seat:
            name = EventName.SEAT_TAKEN
            if former is not None:
                is_planned = lease.wish is Wish.RELEASE
                name = EventName.SEAT_RELEASED if is_planned else EventName.SEAT_LOST
            seat = seating.seat if former is None else former
            emissions.append(self._log(name, seat=seat))
        return emissions

    def _drain(self, now: float) -> list[Emission]:
        self._is_draining = True
        emissions: list[Emission] = []
        for shard, lease in list(self._shards.items()):
            if not lease.is_ours:
                del self._shards[shard]
            elif lease.wish is Wish.HOLD:
                emissions += self._close_shard(shard, lease)
        for seating in self._seatings:
            closing = seating.start_closing()
            if closing is not None:
                emissions.append(Emission("admission", closing))
        return emissions

    def _report_unreadable(self, lease: Lease) -> list[Emission]:
        if not lease.is_unreadable:
            return []
        lease.is_unreadable = False
        return [self._log(EventName.LEASE_RECORD_INVALID, object=lease.name)]

    def _log(self, name: EventName, **fields: object) -> Emission:
        return Emission("events", Event(name, fields))
