"""Tokens of one workspace at one instance: loans, static reserve and waiting work."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ..loans import LoanReturn
from ..messages import Request
from .reserve import Reserve

# Time constant of the demand estimate.
DEMAND_SECONDS = 0.5
# Tokens for this time of demand are borrowed ahead; more would lie unused here while
# other instances need them.
STOCK_SECONDS = 0.2
# A borrow starts when the stock covers less than this; several round trips.
LOW_STOCK_SECONDS = 0.05
# Part of a loan's life before its unspent tokens are sent back, so that the return
# arrives in time.
RETURN_FRACTION = 0.8
# Sums of fractions may miss a whole token by a rounding error.
EPSILON = 1e-9
# While a shard changes hands nobody can say that the bucket is empty, so a refusal
# would be wrong; a planned change is over within this time.
NO_OWNER_EXTRA_SECONDS = 2.75


class LocalLoan:
    """Loan as its borrower holds it.

    :param owner: instance that lent it.
    :param n_tokens: unspent tokens.
    :param expires_at: local clock; counted from the borrow request.
    :param return_at: when unspent tokens are sent back.
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
class HeldRequest:
    """Request that waits for tokens.

    :param until: local time at which it is refused.
    """

    request: Request
    n_tokens: float
    until: float


@dataclass(frozen=True, slots=True)
class Borrowing:
    """Open borrow request.

    :param sent_at: first sending; the loan's lifetime counts from here.
    :param next_send_at: when it is repeated or given up.
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
    """Local tokens of a workspace, the requests that wait for them and the demand."""

    def __init__(self, workspace: str, shard: int, borrower: str) -> None:
        self.workspace = workspace
        self.shard = shard
        self._borrower = borrower
        self.loans: deque[LocalLoan] = deque()
        self.ended: list[tuple[str, LoanReturn]] = []
        self.held: deque[HeldRequest] = deque()
        self.borrowing: Borrowing | None = None
        # No borrow before this time: the owner said when it has tokens again.
        self.next_borrow_at = float("-inf")
        self.is_bucket_empty = False
        # Whether the owner wants to hear of each loan's end at once.
        self.is_crowded = False
        # In a row: borrow requests that no owner answered, and hints followed.
        self.n_unanswered = 0
        self.n_hints = 0
        # Time of the account's entry in the timer queue.
        self.due_at: float | None = None
        self.n_held_tokens = 0.0
        self._earliest_deadline = float("inf")
        self._demand = 0.0
        self._demand_at = float("-inf")

    def count_demand(self, n_tokens: float, now: float) -> None:
        """Add an arrival to the demand estimate."""
        self._demand = self._decay_demand(now) + n_tokens
        self._demand_at = now

    def find_demand(self, now: float) -> float:
        """Recent demand in tokens per second."""
        return self._decay_demand(now) / DEMAND_SECONDS

    def find_loaned(self) -> float:
        """Unspent tokens of loans."""
        return sum(loan.n_tokens for loan in self.loans)

    def spend(
        self, n_tokens: float, now: float, reserves: Sequence[Reserve] = ()
    ) -> bool:
        """Spend tokens, those that expire first before others.

        :param reserves: the workspace's reserves that may be used.
        :returns: ``False`` when there are too few; none is spent then.
        """
        self.expire_loans(now)
        in_reserve = sum(reserve.update(now) for reserve in reserves)
        if self.find_loaned() + in_reserve < n_tokens - EPSILON:
            return False
        missing = n_tokens
        while self.loans and missing > EPSILON:
            loan = self.loans[0]
            part = min(loan.n_tokens, missing)
            loan.n_tokens -= part
            missing -= part
            if loan.n_tokens <= EPSILON:
                self._end_first_loan(0.0)
        for reserve in reserves:
            part = min(reserve.update(now), missing)
            reserve.spend(part)
            missing -= part
        return True

    def add_loan(self, loan: LocalLoan) -> None:
        """Add a loan; loans stay ordered by expiry."""
        later = []
        while self.loans and self.loans[-1].expires_at > loan.expires_at:
            later.append(self.loans.pop())
        self.loans.append(loan)
        self.loans.extend(reversed(later))

    def expire_loans(self, now: float) -> None:
        """Drop loans whose time is over."""
        while self.loans and self.loans[0].expires_at <= now:
            self.loans.popleft()

    def end_loans(self, now: float) -> None:
        """Give up the loans whose unspent tokens are due for return."""
        while self.loans and self.loans[0].return_at <= now:
            self._end_first_loan(self.loans[0].n_tokens)

    def hold(self, item: HeldRequest) -> None:
        """Append a request that waits for tokens."""
        self.held.append(item)
        self.n_held_tokens += item.n_tokens
        self._earliest_deadline = min(self._earliest_deadline, item.request.deadline)

    def take_held(self) -> HeldRequest:
        """Remove and return the request that waits longest."""
        item = self.held.popleft()
        self.n_held_tokens -= item.n_tokens
        return item

    def drop_held(self, request_id: str) -> bool:
        """Remove a waiting request.

        :returns: whether it was there.
        """
        kept = [item for item in self.held if item.request.request_id != request_id]
        is_found = len(kept) < len(self.held)
        self._replace_held(kept)
        return is_found

    def take_overdue(self, now: float) -> list[HeldRequest]:
        """Remove and return the requests whose deadline has passed."""
        if now < self._earliest_deadline:
            return []
        overdue = [item for item in self.held if item.request.deadline <= now]
        self._replace_held([i for i in self.held if i.request.deadline > now])
        return overdue

    def find_hold_limit(self) -> float:
        """Time until which the request that waits longest is held."""
        until = self.held[0].until
        if self.n_unanswered > 0:
            until += NO_OWNER_EXTRA_SECONDS
        return until

    def find_due(self) -> float:
        """Next time at which something happens without a message."""
        times = [float("inf")]
        if self.loans:
            times.append(self.loans[0].return_at)
        if self.held:
            times += [self.find_hold_limit(), self._earliest_deadline]
        if self.borrowing is not None:
            times.append(self.borrowing.next_send_at)
        elif self.held:
            times.append(self.next_borrow_at)
        return min(times)

    def take_returns(self, owner: str) -> tuple[LoanReturn, ...]:
        """Remove and return the ended loans that ``owner`` is to be told of."""
        returns = tuple(item for lender, item in self.ended if lender == owner)
        self.ended = [entry for entry in self.ended if entry[0] != owner]
        return returns

    def take_urgent(self) -> list[tuple[str, LoanReturn]]:
        """Remove and return the ended loans to report at once, with lenders.

        Those without unspent tokens can wait for the next borrow request, unless loans
        use up the owner's bucket.
        """
        least = 0.0 if self.is_crowded else EPSILON
        urgent = [entry for entry in self.ended if entry[1].n_tokens >= least]
        self.ended = [entry for entry in self.ended if entry[1].n_tokens < least]
        return urgent

    def find_wanted(self, now: float, *, is_ahead: bool) -> float:
        """Tokens to borrow now, whole ones; 0 while the stock suffices.

        :param is_ahead: whether to borrow more than waiting requests need.
        """
        loaned = self.find_loaned()
        needed = math.ceil(self.n_held_tokens - loaned - EPSILON)
        demand = self.find_demand(now) if is_ahead else 0.0
        if needed <= 0 and loaned >= demand * LOW_STOCK_SECONDS:
            return 0.0
        stock = math.floor(demand * STOCK_SECONDS)
        if needed <= 0:
            return max(0.0, math.floor(stock - loaned))
        return float(needed + stock)

    def _replace_held(self, items: list[HeldRequest]) -> None:
        self.held = deque(items)
        self.n_held_tokens = sum(item.n_tokens for item in items)
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
        self.ended.append((loan.owner, item))

    def _decay_demand(self, now: float) -> float:
        if self._demand == 0.0:
            return 0.0
        return self._demand * math.exp((self._demand_at - now) / DEMAND_SECONDS)
