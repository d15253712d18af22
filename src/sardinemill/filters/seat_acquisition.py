"""Search for a free seat, and the lease of the seat that was found."""

from collections.abc import Callable, Sequence

from ..interfaces import RandomSource
from ..loans import SeatLease
from ..store_calls import StoreCall, StoreReply
from .lease import NEVER, DesiredState, Lease

# With one seat in 16 free, two of three searches find a free seat in the first probes.
# The others find one after they have replaced the seats that were seen to be renewed.
MAX_PROBES = 16
PROBE_JITTER_SECONDS = 2.0


class SeatAcquisition:
    """Acquires a seat: probes random seats, claims the first free one and renews it.

    Seats that are in use are observed. A seat whose lease is not renewed for its
    duration is taken over; one that is renewed is replaced by another random seat.

    :param seat_index: 0 for the first seat of the instance, 1 for a spare one.
    :param create_lease: makes the lease of a seat number.
    """

    def __init__(
        self,
        seat_index: int,
        n_seats: int,
        random_source: RandomSource,
        create_lease: Callable[[int], Lease],
    ) -> None:
        self._seat_index = seat_index
        self._n_seats = n_seats
        self._random = random_source
        self._create_lease = create_lease
        self._probes: dict[int, Lease] = {}
        self._seat: int | None = None
        self._is_stopping = True
        self._search_starts_at = NEVER

    @property
    def seat(self) -> int | None:
        """Seat that this instance holds, or ``None``."""
        return self._seat

    @property
    def next_at(self) -> float:
        """Local time at which :meth:`make_calls` is due."""
        if not self._probes:
            return float("inf") if self._is_stopping else self._search_starts_at
        return min(lease.next_at for lease in self._probes.values())

    def start(self, now: float, delay_seconds: float = 0.0) -> None:
        """Search for a seat after a delay, unless one is held or searched for."""
        if self._is_stopping and not self._probes:
            self._is_stopping = False
            self._search_starts_at = now + delay_seconds

    def find_lease(self, reply: StoreReply) -> Lease | None:
        """Return the lease whose call the reply answers."""
        for lease in self._probes.values():
            if lease.is_waiting_for(reply):
                return lease
        return None

    def make_calls(self, now: float) -> Sequence[StoreCall]:
        """Return the store calls that are due."""
        if now < self._search_starts_at:
            return ()
        if not self._is_stopping and self._seat is None:
            self._add_probes(now)
        calls = []
        for lease in list(self._probes.values()):
            others = (item for item in self._probes.values() if item is not lease)
            may_claim = not any(item.has_pending_claim for item in others)
            call = lease.make_call(now, may_claim=may_claim)
            if call is not None:
                calls.append(call)
        return calls

    def update_seat(self, now: float) -> SeatLease | None:
        """Update the seat after a store reply.

        :returns: the seat's lease if it changed.
        """
        owned_lease = None if self._seat is None else self._probes[self._seat]
        if owned_lease is not None and owned_lease.is_owned:
            return self._make_seat_lease(owned_lease)
        if owned_lease is not None:
            self._seat = None
            self._probes.clear()
            return SeatLease(seat=None, valid_until=NEVER, seat_index=self._seat_index)
        for seat, lease in self._probes.items():
            if lease.is_owned and lease.valid_until > now and not self._is_stopping:
                self._seat = seat
                self._probes = {seat: lease}
                return self._make_seat_lease(lease)
        self._drop_renewed_probes()
        return None

    def start_release(self) -> SeatLease | None:
        """Stop the search, and let the users of a held seat finish.

        :returns: the closing seat, or ``None`` when no seat is held.
        """
        if self._is_stopping:
            return None
        self._is_stopping = True
        if self._seat is None:
            self._probes.clear()
            return None
        lease = self._probes[self._seat]
        lease.desired_state = DesiredState.CLOSE
        return SeatLease(
            seat=self._seat,
            valid_until=lease.valid_until,
            is_closing=True,
            seat_index=self._seat_index,
        )

    def release(self, seat: int, now: float) -> None:
        """Release the lease of the seat, which is no longer in use."""
        lease = self._probes.get(seat)
        if lease is not None and seat == self._seat:
            lease.desired_state = DesiredState.RELEASE
            lease.schedule_now(now)

    def _make_seat_lease(self, lease: Lease) -> SeatLease:
        return SeatLease(
            seat=self._seat,
            valid_until=lease.valid_until,
            is_closing=lease.desired_state is not DesiredState.HOLD,
            seat_index=self._seat_index,
        )

    def _add_probes(self, now: float) -> None:
        n_missing = min(MAX_PROBES, self._n_seats) - len(self._probes)
        for _ in range(n_missing):
            seat = int(self._random.random() * self._n_seats)
            while seat in self._probes:
                seat = (seat + 1) % self._n_seats
            lease = self._create_lease(seat)
            lease.desired_state = DesiredState.HOLD
            lease.postpone(self._random.random() * PROBE_JITTER_SECONDS, now)
            self._probes[seat] = lease

    def _drop_renewed_probes(self) -> None:
        for seat, lease in list(self._probes.items()):
            if (
                lease.n_versions > 1
                and not lease.has_pending_claim
                and not lease.is_owned
            ):
                del self._probes[seat]
