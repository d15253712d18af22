"""Static share of the rate limit, spent while no shard owner can be reached."""

from ..configuration import EMPTY_CONFIGURATION, Configuration
from ..limits import (
    NO_SHARE,
    PLAN_CHANGE_DELAY_SECONDS,
    LimitSettings,
    Share,
    ShareSchedule,
    compute_seat_share,
    find_plan,
    reduce_rate_for_drift,
)
from ..loans import ReservePledge, ReserveQuery, SeatClosed, SeatLease


class Reserve:
    """Token bucket with a seat's share of one workspace's plan, empty at the start.

    :param opened_at: local time from which it is refilled.
    """

    def __init__(self, share: Share, opened_at: float) -> None:
        self._share = ShareSchedule(share)
        self._level = 0.0
        self._updated_at = opened_at

    def set_share(self, share: Share, now: float) -> None:
        """Apply the share of a changed plan."""
        self.update(now)
        self._share.set(share, now)
        self.update(now)

    def pledge(self, until: float) -> None:
        """Drop all tokens and refill no more before ``until``."""
        self._level = 0.0
        self._updated_at = max(self._updated_at, until)

    def update(self, now: float) -> float:
        """Refill the bucket up to ``now``.

        :returns: tokens in the bucket.
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
        """Remove tokens; the caller has called :meth:`update` and checked the level."""
        self._level -= n_tokens


class SeatReserves:
    """Reserves of all workspaces under one seat of this instance.

    The owner of a shard may request a pledge: until the pledge ends on the local clock,
    the reserves of the shard's workspaces stay empty and the owner lends these tokens.

    :param name: this instance.
    """

    def __init__(self, name: str, settings: LimitSettings) -> None:
        self._name = name
        self._settings = settings
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._seat_lease = SeatLease(seat=None, valid_until=float("-inf"))
        # Local time from which reserves that are created later are refilled.
        self._filling_from = float("-inf")
        self._reserves_by_shard: dict[int, dict[str, Reserve]] = {}
        self._pledged_until: dict[int, float] = {}

    @property
    def closes_at(self) -> float | None:
        """Local time at which the last pledge of a closing seat ends.

        ``None`` when the seat is not closing.
        """
        if not self._seat_lease.is_closing:
            return None
        return max(self._pledged_until.values(), default=float("-inf"))

    def find_reserve(self, workspace: str, shard: int, now: float) -> Reserve | None:
        """Return the reserve, or ``None`` without a valid seat lease."""
        seat_lease = self._seat_lease
        if (
            seat_lease.seat is None
            or seat_lease.is_closing
            or now >= seat_lease.valid_until
        ):
            return None
        reserves = self._reserves_by_shard.setdefault(shard, {})
        reserve = reserves.get(workspace)
        if reserve is None:
            pledged_until = self._pledged_until.get(shard, float("-inf"))
            reserve = Reserve(
                self._find_share(workspace), max(self._filling_from, pledged_until)
            )
            reserves[workspace] = reserve
        return reserve

    def set_seat_lease(self, lease: SeatLease, now: float) -> None:
        """Replace the seat lease by a renewed one or by that of another seat."""
        if lease.seat != self._seat_lease.seat:
            # The previous holder of the seat may have spent all of its tokens, so the
            # reserves start empty.
            self._filling_from = now
            self._reserves_by_shard.clear()
        self._seat_lease = lease

    def close_seat(self, now: float) -> SeatClosed | None:
        """Give up a closing seat once all of its pledges have ended.

        :returns: the message that lets the lease be released, or ``None``.
        """
        closes_at = self.closes_at
        if self._seat_lease.seat is None or closes_at is None or now < closes_at:
            return None
        seat_closed = SeatClosed(
            seat=self._seat_lease.seat, seat_index=self._seat_lease.seat_index
        )
        self.set_seat_lease(SeatLease(seat=None, valid_until=float("-inf")), now)
        return seat_closed

    def pledge(self, query: ReserveQuery, now: float) -> ReservePledge | None:
        """Pledge the reserves of a shard to its owner for a limited time.

        The pledge ends with the seat's lease at the latest, since the next holder of
        the seat does not know of it.

        :returns: ``None`` without a seat that can be pledged.
        """
        duration_seconds = min(query.term_seconds, self._seat_lease.valid_until - now)
        if (
            self._seat_lease.seat is None
            or self._seat_lease.is_closing
            or duration_seconds <= 0
        ):
            return None
        levels = []
        for workspace in query.workspaces:
            reserve = self.find_reserve(workspace, query.shard, now)
            if reserve is not None:
                levels.append((workspace, reserve.update(now)))
        until = max(
            now + duration_seconds, self._pledged_until.get(query.shard, float("-inf"))
        )
        self._pledged_until[query.shard] = until
        for reserve in self._reserves_by_shard.get(query.shard, {}).values():
            reserve.pledge(until)
        return ReservePledge(
            shard=query.shard,
            epoch=query.epoch,
            instance=self._name,
            seat=self._seat_lease.seat,
            asked_at=query.asked_at,
            term_seconds=duration_seconds,
            levels=tuple(levels),
        )

    def change_configuration(self, configuration: Configuration, now: float) -> None:
        """Apply the plans of a higher version.

        Reserves that are created later start to fill only when every instance has the
        new plans in force.
        """
        old = self._configuration
        if configuration.version <= old.version:
            return
        self._configuration = configuration
        if old.version and (
            old.plans != configuration.plans
            or old.workspaces != configuration.workspaces
        ):
            self._filling_from = now + PLAN_CHANGE_DELAY_SECONDS
        for reserves in self._reserves_by_shard.values():
            for workspace, reserve in reserves.items():
                reserve.set_share(self._find_share(workspace), now)

    def _find_share(self, workspace: str) -> Share:
        plan = find_plan(self._configuration, workspace)
        return NO_SHARE if plan is None else compute_seat_share(plan, self._settings)
