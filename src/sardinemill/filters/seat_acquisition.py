"""Finds and keeps a seat of this instance."""

from collections.abc import Callable, Sequence

from ..interfaces import RandomSource
from ..loans import SeatLease
from ..store_calls import StoreCall, StoreReply
from .lease import NEVER, Lease, Wish

# With one seat in 16 free, two searches in three find one at once; the others find one
# after the seats probed were seen to be renewed.
N_PROBES = 16
PROBE_SPREAD_SECONDS = 2.0


class SeatAcquisition:
    """Seat search: probes random seats and claims the first free one.

    Seats that look used are observed; one that stays unchanged for its life is taken
    over. One that was renewed is exchanged for another random seat.

    :param seat_index: number of the seat within the instance.
    :param open_lease: makes the lease state of a seat number.
    """

    def __init__(
        self,
        seat_index: int,
        n_seats: int,
        random_source: RandomSource,
        open_lease: Callable[[int], Lease],
    ) -> None:
        self._place = seat_index
        self._n_seats = n_seats
        self._random = random_source
        self._open_lease = open_lease
        self._probes: dict[int, Lease] = {}
        self._seat: int | None = None
        self._is_stopping = True
        self._starts_at = NEVER

    @property
    def seat(self) -> int | None:
        """Seat that is held."""
        return self._seat

    @property
    def next_at(self) -> float:
        """When :meth:`make_calls` has something to do."""
        if not self._probes:
            return float("inf") if self._is_stopping else self._starts_at
        return min(lease.next_at for lease in self._probes.values())

    def start(self, now: float, delay_seconds: float = 0.0) -> None:
        """Search for a seat after a delay, unless one is held or searched for."""
        if self._is_stopping and not self._probes:
            self._is_stopping = False
            self._starts_at = now + delay_seconds

    def find(self, reply: StoreReply) -> Lease | None:
        """Return the lease whose call the reply answers."""
        for lease in self._probes.values():
            if lease.is_waiting_for(reply):
                return lease
        return None

    def make_calls(self, now: float) -> Sequence[StoreCall]:
        """Return the store calls that are due."""
        if now < self._starts_at:
            return ()
        if not self._is_stopping and self._seat is None:
            self._fill_probes(now)
        calls = []
        for lease in list(self._probes.values()):
            others = (item for item in self._probes.values() if item is not lease)
            may_claim = not any(item.is_claiming for item in others)
            call = lease.make_call(now, may_claim=may_claim)
            if call is not None:
                calls.append(call)
        return calls

    def settle(self, now: float) -> SeatLease | None:
        """Draw the conclusion of a store reply.

        :returns: the seat's lease when it changed.
        """
        held = None if self._seat is None else self._probes[self._seat]
        if held is not None and held.is_ours:
            return self._describe(held)
        if held is not None:
            self._seat = None
            self._probes.clear()
            return SeatLease(seat=None, valid_until=NEVER, seat_index=self._place)
        for seat, lease in self._probes.items():
            if lease.is_ours and lease.valid_until > now and not self._is_stopping:
                self._seat = seat
                self._probes = {seat: lease}
                return self._describe(lease)
        self._exchange_renewed()
        return None

    def start_closing(self) -> SeatLease | None:
        """Stop the search; return the seat to close, if any."""
        if self._is_stopping:
            return None
        self._is_stopping = True
        if self._seat is None:
            self._probes.clear()
            return None
        lease = self._probes[self._seat]
        lease.wish = Wish.CLOSE
        return SeatLease(
            seat=self._seat,
            valid_until=lease.valid_until,
            is_closing=True,
            seat_index=self._place,
        )

    def release(self, seat: int, now: float) -> None:
        """Release the seat once it is closed."""
        lease = self._probes.get(seat)
        if lease is not None and seat == self._seat:
            lease.wish = Wish.RELEASE
            lease.hurry(now)

    def _describe(self, lease: Lease) -> SeatLease:
        return SeatLease(
            seat=self._seat,
            valid_until=lease.valid_until,
            is_closing=lease.wish is not Wish.HOLD,
            seat_index=self._place,
        )

    def _fill_probes(self, now: float) -> None:
        n_missing = min(N_PROBES, self._n_seats) - len(self._probes)
        for _ in range(n_missing):
            seat = int(self._random.random() * self._n_seats)
            while seat in self._probes:
                seat = (seat + 1) % self._n_seats
            lease = self._open_lease(seat)
            lease.wish = Wish.HOLD
            lease.delay(self._random.random() * PROBE_SPREAD_SECONDS, now)
            self._probes[seat] = lease

    def _exchange_renewed(self) -> None:
        for seat, lease in list(self._probes.items()):
            if lease.n_versions > 1 and not lease.is_claiming and not lease.is_ours:
                del self._probes[seat]
