"""Token bucket from which the owner of a shard lends tokens of one workspace."""

import heapq
from dataclasses import dataclass, replace

from ..limits import (
    LOAN_LIFETIME_SECONDS,
    Share,
    ShareSchedule,
    extend_wait_for_drift,
    reduce_rate_for_drift,
)

# Beginning a transaction costs two tokens; with a lower limit, no transaction could
# ever start.
MIN_LENDABLE_TOKENS = 2.0
# The available tokens are divided among the borrowers that asked within this time.
COMPETITION_WINDOW_SECONDS = 0.2
# Without a minimum, the number of retries against an empty bucket would grow with the
# rate of the bucket.
MIN_RETRY_AFTER_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens granted for a borrow id, kept to answer repeated requests alike.

    :param ends_at: seconds on the owner's clock; late enough that the loan has expired
        on the clock of any borrower.
    :param is_crowded: whether more than half of the lendable tokens were lent.
    :param is_open: whether the borrower may still spend the tokens.
    """

    n_tokens: float
    ends_at: float
    retry_after_seconds: float
    is_crowded: bool
    is_open: bool


class LendingBucket:
    """Token bucket that lends tokens; ``level + outstanding <= capacity`` always holds.

    Tokens spent in a time window were outstanding or in the bucket at its start, or
    were added during the window, so they are at most ``capacity + rate * window``.

    At most ``lendable`` tokens are outstanding at a time. A new owner does not know the
    loans of its predecessor, so its capacity is ``burst - lendable`` until these loans
    have expired.

    :param share: part of the plan that the owner always holds.
    :param seat_share: part of the plan that each seat holds; added to the bucket while
        the seat has pledged its reserve.
    :param opened_at: local time at which this owner took over, with an empty bucket.
    :param is_first: whether no owner has lent before; the bucket then starts full and
        there are no older loans.
    """

    def __init__(
        self,
        share: Share,
        seat_share: Share,
        opened_at: float,
        *,
        is_first: bool = False,
    ) -> None:
        self._share = ShareSchedule(share)
        self._seat_share = ShareSchedule(seat_share)
        self._n_pledged_seats = 0
        self._level = share.burst if is_first else 0.0
        self._outstanding = 0.0
        self._updated_at = opened_at
        wait = 0.0 if is_first else extend_wait_for_drift(LOAN_LIFETIME_SECONDS)
        self._restricted_until = opened_at + wait
        self._grants: dict[str, Grant] = {}
        self._expiries: list[tuple[float, str]] = []
        self._recent_demands: dict[str, tuple[float, float]] = {}

    @property
    def outstanding(self) -> float:
        """Lent tokens that borrowers may still spend."""
        return self._outstanding

    @property
    def level(self) -> float:
        """Tokens in the bucket at the last update."""
        return self._level

    @property
    def has_reserve(self) -> bool:
        """Whether seats hold a part of the plan that they can pledge."""
        return self._seat_share.get(self._updated_at).burst > 0

    def set_shares(self, share: Share, seat_share: Share, now: float) -> None:
        """Apply the shares of a changed plan."""
        self.update(now)
        self._share.set(share, now)
        self._seat_share.set(seat_share, now)
        self._cap_level(now)

    def set_pledged_seats(self, n_pledged_seats: int, now: float) -> None:
        """Set how many seats have pledged their reserve to the owner from now on."""
        self.update(now)
        self._n_pledged_seats = n_pledged_seats
        self._cap_level(now)

    def add_tokens(self, n_tokens: float, now: float) -> None:
        """Add the tokens that a seat gave up when it pledged its reserve."""
        self.update(now)
        self._level += max(0.0, n_tokens)
        self._cap_level(now)

    def lend(
        self,
        borrow_id: str,
        borrower: str,
        n_tokens: float,
        now: float,
        lifetime_seconds: float = LOAN_LIFETIME_SECONDS,
    ) -> Grant:
        """Grant tokens, fewer than requested when too few are available.

        A repeated borrow id returns the same grant.

        :param lifetime_seconds: counted by the borrower from when it sent the request.
        """
        self.update(now)
        previous = self._grants.get(borrow_id)
        if previous is not None:
            return previous
        self._recent_demands[borrower] = (now, n_tokens)
        available = max(
            0.0, min(self._level, self._compute_lendable(now) - self._outstanding)
        )
        granted = self._compute_fair_share(borrower, n_tokens, available, now)
        retry_after = 0.0
        # Limited only by the outstanding loans: more can be lent as soon as borrowers
        # report spent loans, without waiting for a refill.
        is_loan_limit_reached = granted > 0 and available < self._level
        if granted < n_tokens and not is_loan_limit_reached:
            retry_after = self._estimate_retry_after(n_tokens - granted, now)
        lendable = self._compute_lendable(now)
        grant = Grant(
            n_tokens=granted,
            ends_at=now + extend_wait_for_drift(lifetime_seconds),
            retry_after_seconds=retry_after,
            is_crowded=self._outstanding + granted > lendable / 2,
            is_open=granted > 0,
        )
        self._level -= granted
        self._outstanding += granted
        self._grants[borrow_id] = grant
        heapq.heappush(self._expiries, (grant.ends_at, borrow_id))
        return grant

    def end_loan(self, borrow_id: str, n_unspent: float, now: float) -> None:
        """End a loan before it expires; ignore unknown and ended loans.

        :param n_unspent: tokens that go back into the bucket.
        """
        self.update(now)
        grant = self._grants.get(borrow_id)
        if grant is None or not grant.is_open:
            return
        self._grants[borrow_id] = replace(grant, is_open=False)
        self._outstanding -= grant.n_tokens
        self._level += min(max(n_unspent, 0.0), grant.n_tokens)
        self._cap_level(now)

    def update(self, now: float) -> None:
        """Refill the bucket up to ``now`` and end expired loans."""
        while self._expiries and self._expiries[0][0] <= now:
            ends_at, borrow_id = heapq.heappop(self._expiries)
            self._refill(ends_at)
            ended = self._grants.pop(borrow_id)
            if ended.is_open:
                self._outstanding -= ended.n_tokens
        if not any(grant.is_open for grant in self._grants.values()):
            # Prevents rounding errors from accumulating.
            self._outstanding = 0.0
        if self._updated_at < self._restricted_until < now:
            self._refill(self._restricted_until)
        self._refill(now)

    def _refill(self, now: float) -> None:
        # The rate and capacity at the start of the interval apply, so that an increase
        # within the interval adds no tokens for the time before it.
        start = self._updated_at
        if now <= start:
            return
        share, seat = self._share.get(start), self._seat_share.get(start)
        rate = share.rate_per_second + self._n_pledged_seats * seat.rate_per_second
        self._level += reduce_rate_for_drift(rate) * (now - start)
        self._cap_level(start)
        self._updated_at = now

    def _cap_level(self, at: float) -> None:
        room = self._compute_capacity(at) - self._outstanding
        self._level = max(0.0, min(self._level, room))

    def _compute_capacity(self, at: float) -> float:
        share, seat = self._share.get(at), self._seat_share.get(at)
        if at < self._restricted_until:
            return share.burst - self._compute_lendable(at)
        return share.burst + self._n_pledged_seats * seat.burst

    def _compute_lendable(self, at: float) -> float:
        burst = self._share.get(at).burst
        return max(burst / 2, min(burst, MIN_LENDABLE_TOKENS))

    def _compute_fair_share(
        self, borrower: str, n_tokens: float, available: float, now: float
    ) -> float:
        """Return the borrower's max-min fair share of the available tokens.

        All borrowers that asked within the last ``COMPETITION_WINDOW_SECONDS`` compete.
        """
        self._recent_demands = {
            name: entry
            for name, entry in self._recent_demands.items()
            if now - entry[0] <= COMPETITION_WINDOW_SECONDS
        }
        wanted = sorted(entry[1] for entry in self._recent_demands.values())
        if sum(wanted) <= available:
            return n_tokens
        remaining, n_left, fair_share = available, len(wanted), 0.0
        for amount in wanted:
            fair_share = remaining / n_left
            if amount > fair_share:
                break
            remaining -= amount
            n_left -= 1
        # Grants whole tokens, since fractions would stay unused at many borrowers.
        whole = float(int(min(n_tokens, fair_share)))
        return max(whole, min(n_tokens, 1.0)) if available >= 1.0 else 0.0

    def _estimate_retry_after(self, n_missing: float, now: float) -> float:
        share, seat = self._share.get(now), self._seat_share.get(now)
        rate = share.rate_per_second + self._n_pledged_seats * seat.rate_per_second
        if rate <= 0:
            return LOAN_LIFETIME_SECONDS
        needed = min(n_missing, 1.0) * max(1, len(self._recent_demands))
        return min(max(needed / rate, MIN_RETRY_AFTER_SECONDS), LOAN_LIFETIME_SECONDS)
