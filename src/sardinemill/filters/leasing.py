"""Leases of shards and of this instance's seats, kept in the platform's store.

A shard is a set of workspaces; its owner lends the tokens of their rate limits. A seat
is one of a fixed number of equal parts of the reserve, which the instance that holds
the seat can spend without an owner.

Load on the store with 620 instances, 256 shards and 1,024 seats: each held shard is
renewed every 2.4 to 3 s (95 writes/s) and read by its second candidate as often
(95 reads/s); at most 960 seats in use are renewed every 16 to 20 s (53 writes/s).
Together that is 148 writes/s and 95 reads/s. The start of an instance adds 16 reads and
a write for the seat. During a store outage each of at most 1,472 objects is tried every
2 to 6 s (368 calls/s on average), spread at random.

A store outage extends no lease, even when the configuration relays of every data centre
report it. An instance that is cut off from these relays may reach the store, see the
lease unchanged for its duration and take it over. The relay on its side of the
partition confirms that the store is reachable, so no rule on confirmations would make
it wait.
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
from .lease import NEVER, SEAT_TIMING, SHARD_TIMING, DesiredState, Lease, LeaseTiming
from .seat_acquisition import SeatAcquisition

# The second candidate claims a free shard if the first has not done so after this time.
SECOND_CANDIDATE_DELAY_SECONDS = 5.0
# A holder that is not the first candidate hands the shard over after this time. The
# delay doubles with each handover, since the first candidate may be unable to claim it.
HANDOVER_DELAY_SECONDS = 30.0
MAX_HANDOVER_DELAY_SECONDS = 600.0
START_JITTER_SECONDS = 0.5
# Nobody can spend the reserve of a free seat, so instances also take spare seats. One
# seat in 16 stays free for new instances. The delay lets all instances of a starting
# fleet take their first seats before spare ones are taken.
FREE_SEATS_DIVISOR = 16
SPARE_DELAY_SECONDS = 5.0


class Leasing:
    """Filter that claims, renews and releases leases.

    The first live candidate of a shard, ranked by rendezvous hash, owns it. The second
    one observes the lease, so that it knows how long it has not been renewed, and
    claims it when the first does not.

    Outlets: ``store``, ``lending`` for :class:`ShardLease`, ``admission`` for
    :class:`SeatLease`, ``peers`` for :class:`ShardReleased`, ``events``, ``drain``.

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
        self._emitted_leases: dict[int, ShardLease] = {}
        self._handover_delays: dict[int, float] = {}
        self._seat_acquisitions = [
            SeatAcquisition(
                seat_index,
                settings.n_seats,
                random_source,
                partial(self._create_seat_lease, seat_index),
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
        due = min(
            [*times, *(acquisition.next_at for acquisition in self._seat_acquisitions)]
        )
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
                emissions += self._handle_store_reply(message, now)
            case ShardClosed():
                self._release_shard(message, now)
            case PeerEnvelope(message=ShardReleased(shard=shard)):
                lease = self._shards.get(shard)
                if lease is not None and not lease.is_owned:
                    lease.schedule_reread(now)
            case SeatClosed():
                self._seat_acquisitions[message.seat_index].release(message.seat, now)
            case DrainStarted():
                emissions += self._handle_drain(now)
        return emissions + self._make_calls(now) + self._emit_drain_finished()

    def _emit_drain_finished(self) -> list[Emission]:
        """Report that a draining instance holds no shard and no seat any more."""
        holds_seat = any(
            acquisition.seat is not None for acquisition in self._seat_acquisitions
        )
        if not self._is_draining or holds_seat:
            return []
        if any(lease.is_owned for lease in self._shards.values()):
            return []
        return [Emission("drain", DrainFinished(step="leasing"))]

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for shard in list(self._shards):
            emissions += self._start_handover(shard, now)
        return emissions + self._make_calls(now)

    def _make_calls(self, now: float) -> list[Emission]:
        if not self._is_started:
            return []
        calls = [lease.make_call(now) for lease in self._shards.values()]
        for acquisition in self._seat_acquisitions:
            calls += acquisition.make_calls(now)
        return [Emission("store", call) for call in calls if call is not None]

    def _handle_store_reply(self, reply: StoreReply, now: float) -> list[Emission]:
        name = reply.call.name
        for acquisition in self._seat_acquisitions:
            lease = acquisition.find_lease(reply)
            if lease is not None:
                return self._handle_seat_reply(acquisition, lease, reply, now)
        shard = (
            int(name.rsplit("/", 1)[-1]) if name.startswith("leases/shards/") else -1
        )
        lease = self._shards.get(shard)
        if lease is None:
            return []
        was_owned = lease.is_owned
        lease.handle_reply(reply, now)
        emissions = self._emit_invalid_record(lease)
        if (
            was_owned
            and not lease.is_owned
            and lease.desired_state is not DesiredState.RELEASE
        ):
            emissions.append(self._make_event(EventName.SHARD_LOST, shard=shard))
        if not was_owned and lease.is_owned:
            emissions.append(
                self._make_event(EventName.SHARD_TAKEN, shard=shard, epoch=lease.epoch)
            )
        return (
            emissions
            + self._emit_shard_lease(shard, lease)
            + self._finish_release(shard, now)
        )

    # Shards

    def _create_shard_lease(self, shard: int) -> Lease:
        return self._create_lease(f"leases/shards/{shard}", SHARD_TIMING)

    def _create_seat_lease(self, seat_index: int, seat: int) -> Lease:
        # The seat index is part of the incarnation, so that the two searches of an
        # instance never both consider themselves owner of the same seat.
        return self._create_lease(f"leases/seats/{seat}", SEAT_TIMING, f"/{seat_index}")

    def _create_lease(self, name: str, timing: LeaseTiming, suffix: str = "") -> Lease:
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
        self._handover_delays.clear()
        for shard in range(self._settings.n_shards):
            ranked = self._ranking.rank(shard)
            lease = self._shards.get(shard)
            if self._name in ranked and not self._is_draining:
                if lease is None:
                    lease = self._create_shard_lease(shard)
                    lease.postpone(self._random.random() * START_JITTER_SECONDS, now)
                    self._shards[shard] = lease
                self._seek_lease(lease, ranked.index(self._name), now)
            elif lease is not None and not lease.is_owned:
                del self._shards[shard]
            emissions += self._start_handover(shard, now)
        return emissions

    def _seek_lease(self, lease: Lease, rank: int, now: float) -> None:
        if lease.desired_state in (DesiredState.CLOSE, DesiredState.RELEASE):
            return
        lease.desired_state = DesiredState.HOLD
        claim_delay = rank * SECOND_CANDIDATE_DELAY_SECONDS
        if claim_delay < lease.claim_delay_seconds or lease.is_owned:
            lease.schedule_now(now)
        lease.claim_delay_seconds = claim_delay

    def _start_handover(self, shard: int, now: float) -> list[Emission]:
        """Start to release an owned shard whose first candidate is another instance."""
        lease = self._shards.get(shard)
        if (
            lease is None
            or not lease.is_owned
            or lease.desired_state is not DesiredState.HOLD
        ):
            return []
        ranked = self._ranking.rank(shard)
        handover_delay = self._handover_delays.setdefault(shard, HANDOVER_DELAY_SECONDS)
        if not ranked or ranked[0] == self._name:
            return []
        if now < lease.taken_at + handover_delay:
            return []
        self._handover_delays[shard] = min(
            2 * handover_delay, MAX_HANDOVER_DELAY_SECONDS
        )
        return self._start_release(shard, lease)

    def _start_release(self, shard: int, lease: Lease) -> list[Emission]:
        lease.desired_state = DesiredState.CLOSE
        return self._emit_shard_lease(shard, lease)

    def _release_shard(self, message: ShardClosed, now: float) -> None:
        lease = self._shards.get(message.shard)
        if lease is None or lease.desired_state is not DesiredState.CLOSE:
            return
        if lease.is_owned and lease.epoch == message.epoch:
            lease.desired_state = DesiredState.RELEASE
            lease.schedule_now(now)

    def _finish_release(self, shard: int, now: float) -> list[Emission]:
        """Observe or forget a closing shard once its lease is released or lost.

        The next owner is notified.
        """
        lease = self._shards[shard]
        if lease.is_owned or lease.desired_state not in (
            DesiredState.CLOSE,
            DesiredState.RELEASE,
        ):
            return []
        ranked = self._ranking.rank(shard)
        lease.desired_state = DesiredState.OBSERVE
        if self._name in ranked and not self._is_draining:
            self._seek_lease(lease, ranked.index(self._name), now)
        else:
            del self._shards[shard]
        emissions = [self._make_event(EventName.SHARD_RELEASED, shard=shard)]
        successors = [name for name in ranked if name != self._name]
        if successors:
            released = ShardReleased(shard=shard, epoch=lease.epoch)
            envelope = PeerEnvelope(peer=successors[0], message=released)
            emissions.append(Emission("peers", envelope))
        return emissions

    def _emit_shard_lease(self, shard: int, lease: Lease) -> list[Emission]:
        owner = "" if lease.record is None else lease.record.owner
        if owner == self._name and not lease.is_owned:
            # The record names an earlier process of this instance, which no longer
            # lends.
            owner = ""
        lease_change = ShardLease(
            shard=shard,
            owner=owner,
            epoch=lease.epoch,
            valid_until=lease.valid_until,
            taken_at=lease.taken_at if lease.is_owned else NEVER,
            is_closing=lease.desired_state in (DesiredState.CLOSE, DesiredState.RELEASE)
            and lease.is_owned,
        )
        if self._emitted_leases.get(shard) == lease_change:
            return []
        self._emitted_leases[shard] = lease_change
        return [Emission("lending", lease_change)]

    # Seats

    def _assign_seats(self, now: float) -> list[Emission]:
        """Search for a first seat, and for a spare one while enough seats stay free."""
        if self._is_draining:
            return []
        first, spare = self._seat_acquisitions
        first.start(now)
        instances = self._ranking.instances
        n_free = max(2, self._settings.n_seats // FREE_SEATS_DIVISOR)
        n_spare = max(0, self._settings.n_seats - len(instances) - n_free)
        if self._name in rank_candidates("spare seats", instances)[:n_spare]:
            spare.start(now, SPARE_DELAY_SECONDS)
            return []
        closing = spare.start_release()
        return [] if closing is None else [Emission("admission", closing)]

    def _handle_seat_reply(
        self, acquisition: SeatAcquisition, lease: Lease, reply: StoreReply, now: float
    ) -> list[Emission]:
        previous_seat = acquisition.seat
        lease.handle_reply(reply, now)
        emissions = self._emit_invalid_record(lease)
        lease_change = acquisition.update_seat(now)
        if lease_change is not None:
            emissions.append(Emission("admission", lease_change))
        if previous_seat != acquisition.seat:
            name = EventName.SEAT_TAKEN
            if previous_seat is not None:
                is_planned = lease.desired_state is DesiredState.RELEASE
                name = EventName.SEAT_RELEASED if is_planned else EventName.SEAT_LOST
            seat = acquisition.seat if previous_seat is None else previous_seat
            emissions.append(self._make_event(name, seat=seat))
        return emissions

    def _handle_drain(self, now: float) -> list[Emission]:
        self._is_draining = True
        emissions: list[Emission] = []
        for shard, lease in list(self._shards.items()):
            if not lease.is_owned:
                del self._shards[shard]
            elif lease.desired_state is DesiredState.HOLD:
                emissions += self._start_release(shard, lease)
        for acquisition in self._seat_acquisitions:
            closing = acquisition.start_release()
            if closing is not None:
                emissions.append(Emission("admission", closing))
        return emissions

    def _emit_invalid_record(self, lease: Lease) -> list[Emission]:
        if not lease.is_record_invalid:
            return []
        lease.is_record_invalid = False
        return [self._make_event(EventName.LEASE_RECORD_INVALID, object=lease.name)]

    def _make_event(self, name: EventName, **fields: object) -> Emission:
        return Emission("events", Event(name, fields))
