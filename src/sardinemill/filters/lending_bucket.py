"""Token bucket of one workspace, kept by the owner of its shard."""

import heapq
from dataclasses import dataclass, replace

from ..limits import (
    LOAN_LIFETIME_SECONDS,
    Share,
    ShareSchedule,
    extend_wait_for_drift,
    reduce_rate_for_drift,
)

# A begin costs two tokens, so less could never be lent to start a transaction.
MIN_LENDABLE = 2.0
# Borrowers that asked within this time compete for the level.
RECENT_SECONDS = 0.2
# Without a lower limit, the messages of an empty bucket grow with its rate.
MIN_RETRY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer to a borrow id, kept for its repeats.

    :param ends_at: owner's clock; after the loan has expired at any borrower.
    :param is_crowded: whether loans used up more than half of what may be lent.
    :param is_open: whether its tokens may still be spent.
    """

    n_tokens: float
    ends_at: float
    retry_after_seconds: float
    is_crowded: bool
    is_open: bool


class LendingBucket:
    """Token bucket with loans. ``level + outstanding <= capacity`` always holds.

    Tokens spent in a window were outstanding or in the bucket when it began, or were
    added during it: at most ``capacity + rate * window``.

    At most ``lendable`` tokens are outstanding. A new owner, which does not know its
    predecessor's loans, therefore stays within ``burst - lendable`` until these have
    expired.

    :param share: part of the plan that the owner always holds.
    :param seat_share: part of the plan of each seat, in the bucket while pledged.
    :param opened_at: when this owner began, with an empty bucket.
    :param is_first: nobody lent before this owner, so the bucket is full and there are
        no older loans.
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
        self._n_pledged = 0
        self._level = share.burst if is_first else 0.0
        self._outstanding = 0.0
        self._updated_at = opened_at
        wait = 0.0 if is_first else extend_wait_for_drift(LOAN_LIFETIME_SECONDS)
        self._restricted_until = opened_at + wait
        self._grants: dict[str, Grant] = {}
        self._ends: list[tuple[float, str]] = []
        self._asked: dict[str, tuple[float, float]] = {}

    @property
    def outstanding(self) -> float:
        """Tokens that borrowers may still spend."""
        return self._outstanding

    @property
    def level(self) -> float:
        """Tokens in the bucket at the last update."""
        return self._level

    @property
    def has_reserve(self) -> bool:
        """Whether seats hold a part of the plan that they could pledge."""
        return self._seat_share.get(self._updated_at).burst > 0

    def set_shares(self, share: Share, seat_share: Share, now: float) -> None:
        """Apply a change of plan."""
        self.update(now)
        self._share.set(share, now)
        self._seat_share.set(seat_share, now)
        self._clamp(now)

    def set_pledged(self, n_pledged: int, now: float) -> None:
        """Count the seats whose reserve is in the bucket from now on."""
        self.update(now)
        self._n_pledged = n_pledged
        self._clamp(now)

    def add_tokens(self, n_tokens: float, now: float) -> None:
        """Take over tokens that left the reserve of a pledged seat."""
        self.update(now)
        self._level += max(0.0, n_tokens)
        self._clamp(now)

    def lend(
        self,
        borrow_id: str,
        borrower: str,
        n_tokens: float,
        now: float,
        lifetime_seconds: float = LOAN_LIFETIME_SECONDS,
    ) -> Grant:
        """Grant tokens, fewer than asked for when the bucket is short.

        A repeat of a borrow id gets the same grant.
        """
        self.update(now)
        known = self._grants.get(borrow_id)
        if known is not None:
            return known
        self._asked[borrower] = (now, n_tokens)
        free = max(0.0, min(self._level, self._find_lendable(now) - self._outstanding))
        granted = self._divide(borrower, n_tokens, free, now)
        retry_after = 0.0
        # Short only because too much is lent: reports of spent loans make room.
        is_room_short = granted > 0 and free < self._level
        if granted < n_tokens and not is_room_short:
            retry_after = self._estimate_retry(n_tokens - granted, now)
        lendable = self._find_lendable(now)
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
        heapq.heappush(self._ends, (grant.ends_at, borrow_id))
        return grant

    def settle(self, borrow_id: str, n_unspent: float, now: float) -> None:
        """End a loan early; unknown and ended ones are ignored."""
        self.update(now)
        grant = self._grants.get(borrow_id)
        if grant is None or not grant.is_open:
            return
        self._grants[borrow_id] = replace(grant, is_open=False)
        self._outstanding -= grant.n_tokens
        self._level += min(max(n_unspent, 0.0), grant.n_tokens)
        self._clamp(now)

    def update(self, now: float) -> None:
        """Add the tokens of the time that has passed and end expired loans."""
        while self._ends and self._ends[0][0] <= now:
            ends_at, borrow_id = heapq.heappop(self._ends)
            self._accrue(ends_at)
            ended = self._grants.pop(borrow_id)
            if ended.is_open:
                self._outstanding -= ended.n_tokens
        if not any(grant.is_open for grant in self._grants.values()):
            # Keeps rounding errors of sums from adding up.
            self._outstanding = 0.0
        if self._updated_at < self._restricted_until < now:
            self._accrue(self._restricted_until)
        self._accrue(now)

    def _accrue(self, now: float) -> None:
        # Limits are those at the start of the interval: an increase within it does
        # not apply to the time before.
        start = self._updated_at
        if now <= start:
            return
        share, seat = self._share.get(start), self._seat_share.get(start)
        rate = share.rate_per_second + self._n_pledged * seat.rate_per_second
        self._level += reduce_rate_for_drift(rate) * (now - start)
        self._clamp(start)
        self._updated_at = now

    def _clamp(self, at: float) -> None:
        room = self._find_capacity(at) - self._outstanding
        self._level = max(0.0, min(self._level, room))

    def _find_capacity(self, at: float) -> float:
        share, seat = self._share.get(at), self._seat_share.get(at)
        if at < self._restricted_until:
            return share.burst - self._find_lendable(at)
        return share.burst + self._n_pledged * seat.burst

    def _find_lendable(self, at: float) -> float:
        burst = self._share.get(at).burst
        return max(burst / 2, min(burst, MIN_LENDABLE))

    def _divide(self, borrower: str, n_tokens: float, free: float, now: float) -> float:
        """Max-min fair part of ``free`` among the borrowers that asked recently."""
        self._asked = {
            name: entry
            for name, entry in self._asked.items()
            if now - entry[0] <= RECENT_SECONDS
        }
        wanted = sorted(entry[1] for entry in self._asked.values())
        if sum(wanted) <= free:
            return n_tokens
        remaining, n_left, fair = free, len(wanted), 0.0
        for amount in wanted:
            fair = remaining / n_left
            if amount > fair:
                break
            remaining -= amount
            n_left -= 1
        # Whole tokens: fractions would lie unused at many borrowers.
        whole = float(int(min(n_tokens, fair)))
        return max(whole, min(n_tokens, 1.0)) if free >= 1.0 else 0.0

    def _estimate_retry(self, n_missing: float, now: float) -> float:
        share, seat = self._share.get(now), self._seat_share.get(now)
        rate = share.rate_per_second + self._n_pledged * seat.rate_per_second
        if rate <= 0:
            return LOAN_LIFETIME_SECONDS
        needed = min(n_missing, 1.0) * max(1, len(self._asked))
        return min(max(needed / rate, MIN_RETRY_SECONDS), LOAN_LIFETIME_SECONDS)
