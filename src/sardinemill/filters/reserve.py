"""Static reserve of an instance's seat, for when no shard owner can be reached."""

from ..configuration import EMPTY_CONFIGURATION, Configuration
from ..limits import (
    NO_SHARE,
    PLAN_DELAY_SECONDS,
    LimitSettings,
    Share,
    ShareSchedule,
    compute_seat_share,
    find_plan,
    reduce_rate_for_drift,
)
from ..loans import ReservePledge, ReserveQuery, SeatClosed, SeatLease


class Reserve:
    """Token bucket of a seat's share for one workspace, empty at the start.

    :param opened_at: when it starts to fill.
    """

    def __init__(self, share: Share, opened_at: float) -> None:
        self._share = ShareSchedule(share)
        self._level = 0.0
        self._updated_at = opened_at

    def set_share(self, share: Share, now: float) -> None:
        """Apply a change of plan."""
        self.update(now)
        self._share.set(share, now)
        self.update(now)

    def pledge(self, until: float) -> None:
        """Give the tokens up and gain none before ``until``."""
        self._level = 0.0
        self._updated_at = max(self._updated_at, until)

    def update(self, now: float) -> float:
        """Add the tokens of the time that has passed.

        :returns: the level.
        """
        share = self._share.get(self._updated_at)
        if now > self._updated_at:
            gained = reduce_rate_for_drift(share.rate_per_second) * (
                now - self._updated_at
            )
            self._level += gained
            self._updated_at = now
        self._level = min(self._level, share.burst)
        return self._level

    def spend(self, n_tokens: float) -> None:
        """Take tokens out after :meth:`update`."""
        self._level -= n_tokens


class SeatReserves:
    """Reserves of all workspaces under one seat of this instance.

    The owner of a shard may ask for a pledge: until it ends on the local clock, the
    reserves of the shard's workspaces stay empty and the owner lends these tokens.

    :param name: this instance.
    """

    def __init__(self, name: str, settings: LimitSettings) -> None:
        self._name = name
        self._settings = settings
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._seat = SeatLease(seat=None, valid_until=float("-inf"))
        self._since = float("-inf")
        self._by_shard: dict[int, dict[str, Reserve]] = {}
        self._pledges: dict[int, float] = {}

    @property
    def closes_at(self) -> float | None:
        """When a closing seat has no pledge any more."""
        if not self._seat.is_closing:
            return None
        return max(self._pledges.values(), default=float("-inf"))

    def find(self, workspace: str, shard: int, now: float) -> Reserve | None:
        """Return the reserve, or ``None`` when the seat's lease does not cover it."""
        seat = self._seat
        if seat.seat is None or seat.is_closing or now >= seat.valid_until:
            return None
        reserves = self._by_shard.setdefault(shard, {})
        reserve = reserves.get(workspace)
        if reserve is None:
            pledged_until = self._pledges.get(shard, float("-inf"))
            reserve = Reserve(
                self._find_share(workspace), max(self._since, pledged_until)
            )
            reserves[workspace] = reserve
        return reserve

    def take_seat(self, lease: SeatLease, now: float) -> None:
        """Use another seat, or the same one for longer."""
        if lease.seat != self._seat.seat:
            # The seat's former holder may have spent all that it had until now.
            self._since = now
            self._by_shard.clear()
        self._seat = lease

    def close_seat(self, now: float) -> SeatClosed | None:
        """Give up a closing seat once no pledge of it is open."""
        closes_at = self.closes_at
        if self._seat.seat is None or closes_at is None or now < closes_at:
            return None
        closed = SeatClosed(seat=self._seat.seat, seat_index=self._seat.seat_index)
        self.take_seat(SeatLease(seat=None, valid_until=float("-inf")), now)
        return closed

    def pledge(self, query: ReserveQuery, now: float) -> ReservePledge | None:
        """Promise the reserves of a shard to its owner for a term.

        The term ends with the seat's lease at the latest, since the next holder of the
        seat knows nothing of the pledge.
        """
        term = min(query.term_seconds, self._seat.valid_until - now)
        if self._seat.seat is None or self._seat.is_closing or term <= 0:
            return None
        levels = []
        for workspace in query.workspaces:
            reserve = self.find(workspace, query.shard, now)
            if reserve is not None:
                levels.append((workspace, reserve.update(now)))
        until = max(now + term, self._pledges.get(query.shard, float("-inf")))
        self._pledges[query.shard] = until
        for reserve in self._by_shard.get(query.shard, {}).values():
            reserve.pledge(until)
        return ReservePledge(
            shard=query.shard,
            epoch=query.epoch,
            instance=self._name,
            seat=self._seat.seat,
            asked_at=query.asked_at,
            term_seconds=term,
            levels=tuple(levels),
        )

    def change_configuration(self, configuration: Configuration, now: float) -> None:
        """Apply changed plans; the reserves of new ones start after a delay."""
        previous = self._configuration
        if configuration.version <= previous.version:
            return
        self._configuration = configuration
        if previous.version and (
            previous.plans != configuration.plans
            or previous.workspaces != configuration.workspaces
        ):
            self._since = now + PLAN_DELAY_SECONDS
        for reserves in self._by_shard.values():
            for workspace, reserve in reserves.items():
                reserve.set_share(self._find_share(workspace), now)

    def _find_share(self, workspace: str) -> Share:
        plan = find_plan(self._configuration, workspace)
        return NO_SHARE if plan is None else compute_seat_share(plan, self._settings)
