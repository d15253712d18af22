"""Rate limiter of one workspace at one entry instance, fed by borrowed tokens."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ..loans import LoanReturn
from ..messages import Request
from .reserve import Reserve

# Time constant of the exponentially decaying demand estimate.
DEMAND_TIME_CONSTANT_SECONDS = 0.5
# Tokens for this long at the present demand are borrowed in advance. More would stay
# unused here while other instances need them.
PREFETCH_SECONDS = 0.2
# More tokens are borrowed when those in hand cover less than this time of demand,
# which is several round trips to the owner.
PREFETCH_THRESHOLD_SECONDS = 0.05
# Fraction of a loan's lifetime after which its unspent tokens are sent back, so that
# they reach the owner before the loan expires.
RETURN_AGE_FRACTION = 0.8
# Tolerance for rounding errors when token fractions are added up.
EPSILON = 1e-9
# Requests wait this much longer while no owner answers: during a change of owner nobody
# knows whether the bucket is empty, so a refusal could be wrong. A planned change
# takes less than this.
OWNER_CHANGE_GRACE_SECONDS = 2.75


class LocalLoan:
    """Loan as the borrower sees it.

    :param owner: instance that lent the tokens.
    :param epoch: epoch of the owner's shard lease.
    :param n_tokens: unspent tokens.
    :param expires_at: local time; the lifetime counts from the borrow request.
    :param return_at: local time at which unspent tokens are sent back.
    """

    def __init__(
        self,
        borrow_id: str,
        owner: str,
        epoch: int,
        n_tokens: float,
        expires_at: float,
        return_at: float,
    ) -> None:
        self.borrow_id = borrow_id
        self.owner = owner
        self.epoch = epoch
        self.n_tokens = n_tokens
        self.expires_at = expires_at
        self.return_at = return_at


@dataclass(frozen=True, slots=True)
class ThrottledRequest:
    """Request that waits for tokens.

    :param wait_until: local time after which the request is refused.
    """

    request: Request
    n_tokens: float
    wait_until: float


@dataclass(frozen=True, slots=True)
class PendingBorrow:
    """Borrow request without an answer so far.

    :param sent_at: local time of the first attempt; the loan's lifetime counts from it.
    :param next_send_at: local time at which the request is repeated or abandoned.
    :param n_sent: attempts so far.
    :param returns: ended loans that the request reports to the owner.
    """

    borrow_id: str
    owner: str
    n_tokens: float
    lifetime_seconds: float
    sent_at: float
    next_send_at: float
    n_sent: int
    returns: tuple[LoanReturn, ...]


class WorkspaceLimiter:
    """Borrowed tokens of a workspace, requests that wait for tokens, and the demand.

    :param shard: shard of the workspace, whose owner lends the tokens.
    :param borrower: this instance.
    """

    def __init__(self, workspace: str, shard: int, borrower: str) -> None:
        self.workspace = workspace
        self.shard = shard
        self._borrower = borrower
        self.loans: deque[LocalLoan] = deque()
        self.ended_loans: list[tuple[str, LoanReturn]] = []
        self.throttled: deque[ThrottledRequest] = deque()
        self.pending_borrow: PendingBorrow | None = None
        # Earliest next borrow request: the owner reports when it has tokens again.
        self.next_borrow_at = float("-inf")
        self.is_bucket_empty = False
        # Whether loans use up much of the owner's bucket, so that the end of each loan
        # is reported at once.
        self.is_crowded = False
        # Consecutive borrow attempts that no owner answered, and redirects followed.
        self.n_unanswered = 0
        self.n_redirects = 0
        # Time of the limiter's entry in the timer queue of the filter.
        self.timer_at: float | None = None
        self.n_awaited_tokens = 0.0
        self._earliest_deadline = float("inf")
        self._demand = 0.0
        self._demand_at = float("-inf")

    def record_demand(self, n_tokens: float, now: float) -> None:
        """Add an arriving request to the demand estimate."""
        self._demand = self._decay_demand(now) + n_tokens
        self._demand_at = now

    def estimate_demand(self, now: float) -> float:
        """Return the recent demand in tokens per second."""
        return self._decay_demand(now) / DEMAND_TIME_CONSTANT_SECONDS

    def count_loaned_tokens(self) -> float:
        """Return the number of borrowed tokens that are unspent."""
        return sum(loan.n_tokens for loan in self.loans)

    def spend(
        self, n_tokens: float, now: float, reserves: Sequence[Reserve] = ()
    ) -> bool:
        """Spend borrowed tokens, those that expire first before others, then reserves.

        :param reserves: reserves of the workspace that may be used.
        :returns: ``False`` when there are too few tokens; none is spent then.
        """
        self.remove_expired_loans(now)
        in_reserve = sum(reserve.update(now) for reserve in reserves)
        if self.count_loaned_tokens() + in_reserve < n_tokens - EPSILON:
            return False
        n_missing = n_tokens
        while self.loans and n_missing > EPSILON:
            loan = self.loans[0]
            n_spent = min(loan.n_tokens, n_missing)
            loan.n_tokens -= n_spent
            n_missing -= n_spent
            if loan.n_tokens <= EPSILON:
                self._end_first_loan(0.0)
        for reserve in reserves:
            n_spent = min(reserve.update(now), n_missing)
            reserve.spend(n_spent)
            n_missing -= n_spent
        return True

    def add_loan(self, loan: LocalLoan) -> None:
        """Add a loan, keeping the loans ordered by expiry."""
        later = []
        while self.loans and self.loans[-1].expires_at > loan.expires_at:
            later.append(self.loans.pop())
        self.loans.append(loan)
        self.loans.extend(reversed(later))

    def remove_expired_loans(self, now: float) -> None:
        """Remove the loans that have expired."""
        while self.loans and self.loans[0].expires_at <= now:
            self.loans.popleft()

    def end_due_loans(self, now: float) -> None:
        """End the loans whose unspent tokens are due for return."""
        while self.loans and self.loans[0].return_at <= now:
            self._end_first_loan(self.loans[0].n_tokens)

    def add_throttled(self, item: ThrottledRequest) -> None:
        """Append a request that waits for tokens."""
        self.throttled.append(item)
        self.n_awaited_tokens += item.n_tokens
        self._earliest_deadline = min(self._earliest_deadline, item.request.deadline)

    def pop_throttled(self) -> ThrottledRequest:
        """Remove and return the request that has waited longest."""
        item = self.throttled.popleft()
        self.n_awaited_tokens -= item.n_tokens
        return item

    def remove_throttled(self, request_id: str) -> bool:
        """Remove a waiting request.

        :returns: whether the request was waiting.
        """
        remaining = [
            item for item in self.throttled if item.request.request_id != request_id
        ]
        was_throttled = len(remaining) < len(self.throttled)
        self._replace_throttled(remaining)
        return was_throttled

    def pop_overdue(self, now: float) -> list[ThrottledRequest]:
        """Remove and return the requests whose deadline has passed."""
        if now < self._earliest_deadline:
            return []
        overdue = [item for item in self.throttled if item.request.deadline <= now]
        self._replace_throttled([i for i in self.throttled if i.request.deadline > now])
        return overdue

    def find_wait_limit(self) -> float:
        """Return the local time until which the longest waiting request may wait."""
        wait_until = self.throttled[0].wait_until
        if self.n_unanswered > 0:
            wait_until += OWNER_CHANGE_GRACE_SECONDS
        return wait_until

    def find_next_event_at(self) -> float:
        """Return the local time at which a timer of the limiter is due next."""
        times = [float("inf")]
        if self.loans:
            times.append(self.loans[0].return_at)
        if self.throttled:
            times += [self.find_wait_limit(), self._earliest_deadline]
        if self.pending_borrow is not None:
            times.append(self.pending_borrow.next_send_at)
        elif self.throttled:
            times.append(self.next_borrow_at)
        return min(times)

    def pop_returns(self, owner: str) -> tuple[LoanReturn, ...]:
        """Remove and return the ended loans to report to ``owner``."""
        returns = tuple(item for lender, item in self.ended_loans if lender == owner)
        self.ended_loans = [entry for entry in self.ended_loans if entry[0] != owner]
        return returns

    def pop_urgent_returns(self) -> list[tuple[str, LoanReturn]]:
        """Remove and return the ended loans to report at once, with their owners.

        Loans without unspent tokens can wait for the next borrow request, unless loans
        use up much of the owner's bucket.
        """
        min_unspent = 0.0 if self.is_crowded else EPSILON
        urgent_returns = [
            entry for entry in self.ended_loans if entry[1].n_tokens >= min_unspent
        ]
        self.ended_loans = [
            entry for entry in self.ended_loans if entry[1].n_tokens < min_unspent
        ]
        return urgent_returns

    def compute_borrow_tokens(self, now: float, *, may_prefetch: bool) -> float:
        """Return how many whole tokens to borrow now; 0 while there are enough.

        :param may_prefetch: whether to borrow more than waiting requests need.
        """
        n_loaned = self.count_loaned_tokens()
        n_needed = math.ceil(self.n_awaited_tokens - n_loaned - EPSILON)
        tokens_per_second = self.estimate_demand(now) if may_prefetch else 0.0
        if n_needed <= 0 and n_loaned >= tokens_per_second * PREFETCH_THRESHOLD_SECONDS:
            return 0.0
        n_prefetch = math.floor(tokens_per_second * PREFETCH_SECONDS)
        if n_needed <= 0:
            return max(0.0, math.floor(n_prefetch - n_loaned))
        return float(n_needed + n_prefetch)

    def _replace_throttled(self, items: list[ThrottledRequest]) -> None:
        self.throttled = deque(items)
        self.n_awaited_tokens = sum(item.n_tokens for item in items)
        self._earliest_deadline = min(
            (item.request.deadline for item in items), default=float("inf")
        )

    def _end_first_loan(self, n_unspent: float) -> None:
        loan = self.loans.popleft()
        item = LoanReturn(
            borrow_id=loan.borrow_id,
            borrower=self._borrower,
            workspace=self.workspace,
            epoch=loan.epoch,
            n_tokens=n_unspent,
        )
        self.ended_loans.append((loan.owner, item))

    def _decay_demand(self, now: float) -> float:
        if self._demand == 0.0:
            return 0.0
        return self._demand * math.exp(
            (self._demand_at - now) / DEMAND_TIME_CONSTANT_SECONDS
        )
