"""Borrower side of the rate limit: each request spends tokens or waits for them.

Every statement costs one token, inside a transaction too. Beginning a transaction costs
two: one for itself and one for the commit or rollback, which is then always admitted.
The rate limit thus never refuses the end of a transaction, and no bucket needs to be
overdrawn.
"""

import heapq
import math
from collections.abc import Sequence

from ..configuration import ConfigurationChanged
from ..control import DrainStarted, PeerEnvelope
from ..errors import Outcome
from ..events import Event, EventName
from ..interfaces import Emission, RandomSource
from ..limits import (
    LOAN_LIFETIME_SECONDS,
    MAX_SEATS_PER_INSTANCE,
    SHORT_LOAN_LIFETIME_SECONDS,
    LimitSettings,
    ShardRanking,
    find_shard,
)
from ..loans import BorrowRequest, Loan, ReserveQuery, SeatLease
from ..members import MembershipChanged
from ..messages import Action, Cancellation, Refusal, RefusalCode, Request
from .reserve import SeatReserves
from .workspace_limiter import (
    RETURN_AGE_FRACTION,
    LocalLoan,
    PendingBorrow,
    ThrottledRequest,
    WorkspaceLimiter,
)

MAX_THROTTLED_REQUESTS = 1024
# Long enough to repeat a lost borrow request; a longer wait would not help the client.
MAX_WAIT_SECONDS = 0.25
# Several round trips within a region; doubled with each attempt.
BORROW_RETRY_SECONDS = 0.05
MAX_BORROW_ATTEMPTS = 3
# Delay after no owner was found, doubled each time up to 0.8 s.
NO_OWNER_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_DOUBLINGS = 4
MAX_REDIRECTS = 3

_TOKEN_COSTS = {
    Action.STATEMENT: 1.0,
    Action.TRANSACTION_STATEMENT: 1.0,
    Action.BEGIN: 2.0,
    Action.COMMIT: 0.0,
    Action.ROLLBACK: 0.0,
}


class Admission:
    """Filter at the entry instance that keeps each workspace within its rate limit.

    Outlets: ``next`` for admitted requests and cancellations, ``reply``, ``peers`` for
    borrow requests, returns and pledges, ``leasing`` for :class:`SeatClosed`,
    ``events``.

    :param name: this instance.
    :param random_source: makes borrow ids, which must be unique across restarts.
    """

    def __init__(
        self, name: str, settings: LimitSettings, random_source: RandomSource
    ) -> None:
        self._name = name
        self._settings = settings
        self._random = random_source
        self._reserves = [
            SeatReserves(name, settings) for _ in range(MAX_SEATS_PER_INSTANCE)
        ]
        self._limiters: dict[str, WorkspaceLimiter] = {}
        self._limiters_by_request_id: dict[str, WorkspaceLimiter] = {}
        self._timers: list[tuple[float, str]] = []
        self._ranking = ShardRanking()
        self._known_owners: dict[int, str] = {}
        self._is_draining = False

    @property
    def next_tick(self) -> float | None:
        due = self._timers[0][0] if self._timers else None
        closing_times = [reserves.closes_at for reserves in self._reserves]
        times = [time for time in (due, *closing_times) if time is not None]
        return min(times, default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        match message:
            case Request():
                return self._handle_request(message, now)
            case Cancellation():
                return self._handle_cancellation(message)
            case PeerEnvelope(message=Loan() as loan):
                return self._handle_loan(message.peer, loan, now)
            case PeerEnvelope(message=ReserveQuery() as query):
                return self._handle_reserve_query(message.peer, query, now)
            case SeatLease():
                self._reserves[message.seat_index].set_seat_lease(message, now)
                return self._close_seats(now)
            case ConfigurationChanged():
                for reserves in self._reserves:
                    reserves.change_configuration(message.configuration, now)
            case MembershipChanged():
                self._ranking.set_instances(item.name for item in message.live)
            case DrainStarted():
                return self._handle_drain(now)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            timer_at, workspace = heapq.heappop(self._timers)
            limiter = self._limiters[workspace]
            if limiter.timer_at == timer_at:
                limiter.timer_at = None
                emissions += self._process_due_work(limiter, now)
        emissions += self._close_seats(now)
        return emissions

    # Requests

    def _handle_request(self, request: Request, now: float) -> Sequence[Emission]:
        n_tokens = _TOKEN_COSTS[request.action]
        if n_tokens == 0.0:
            return (Emission("next", request),)
        limiter = self._find_limiter(request.workspace)
        limiter.record_demand(n_tokens, now)
        if not limiter.throttled and self._spend(limiter, n_tokens, now):
            return (Emission("next", request), *self._process_due_work(limiter, now))
        if len(limiter.throttled) >= MAX_THROTTLED_REQUESTS:
            return (self._make_refusal(limiter, request, now),)
        item = ThrottledRequest(request, n_tokens, now + MAX_WAIT_SECONDS)
        limiter.add_throttled(item)
        self._limiters_by_request_id[request.request_id] = limiter
        return self._process_due_work(limiter, now)

    def _handle_cancellation(self, message: Cancellation) -> Sequence[Emission]:
        limiter = self._limiters_by_request_id.pop(message.request_id, None)
        if limiter is not None and limiter.remove_throttled(message.request_id):
            return ()
        return (Emission("next", message),)

    def _spend(self, limiter: WorkspaceLimiter, n_tokens: float, now: float) -> bool:
        found = [
            reserves.find_reserve(limiter.workspace, limiter.shard, now)
            for reserves in self._reserves
        ]
        usable = [reserve for reserve in found if reserve is not None]
        return limiter.spend(n_tokens, now, usable)

    def _process_due_work(
        self, limiter: WorkspaceLimiter, now: float
    ) -> list[Emission]:
        """Run everything that is due for a limiter and schedule its next timer."""
        limiter.remove_expired_loans(now)
        emissions = self._admit_throttled(limiter, now)
        limiter.end_due_loans(now)
        emissions += self._emit_borrow(limiter, now)
        emissions += self._refuse_after_max_wait(limiter, now)
        emissions += self._emit_returns(limiter)
        timer_at = limiter.find_next_event_at()
        if timer_at < float("inf") and (
            limiter.timer_at is None or timer_at < limiter.timer_at
        ):
            limiter.timer_at = timer_at
            heapq.heappush(self._timers, (timer_at, limiter.workspace))
        return emissions

    def _admit_throttled(self, limiter: WorkspaceLimiter, now: float) -> list[Emission]:
        emissions = [
            self._refuse_throttled(limiter, item, now)
            for item in limiter.pop_overdue(now)
        ]
        while limiter.throttled and self._spend(
            limiter, limiter.throttled[0].n_tokens, now
        ):
            item = limiter.pop_throttled()
            self._limiters_by_request_id.pop(item.request.request_id, None)
            emissions.append(Emission("next", item.request))
        return emissions

    def _refuse_after_max_wait(
        self, limiter: WorkspaceLimiter, now: float
    ) -> list[Emission]:
        emissions: list[Emission] = []
        while limiter.throttled:
            wait_until = limiter.find_wait_limit()
            cannot_be_admitted = (
                limiter.is_bucket_empty and limiter.next_borrow_at >= wait_until
            )
            if now < wait_until and not cannot_be_admitted:
                break
            emissions.append(
                self._refuse_throttled(limiter, limiter.pop_throttled(), now)
            )
        return emissions

    def _refuse_throttled(
        self, limiter: WorkspaceLimiter, item: ThrottledRequest, now: float
    ) -> Emission:
        self._limiters_by_request_id.pop(item.request.request_id, None)
        return self._make_refusal(limiter, item.request, now)

    def _make_refusal(
        self, limiter: WorkspaceLimiter, request: Request, now: float
    ) -> Emission:
        code, text = RefusalCode.RATE_LIMITED, "the workspace's rate is used up"
        retry_after = max(limiter.next_borrow_at - now, MAX_WAIT_SECONDS)
        if request.deadline <= now:
            code, text = RefusalCode.DEADLINE, "no token before the deadline"
        elif limiter.n_unanswered > 0:
            text = "the owner of the workspace's rate limit does not answer"
            retry_after = 1.0
        elif not limiter.is_bucket_empty:
            code, text = RefusalCode.OVERLOADED, "too many requests wait for a token"
        return Emission(
            "reply",
            Refusal(
                request_id=request.request_id,
                code=code,
                outcome=Outcome.NOT_RUN,
                step="admission",
                message=text,
                retry_after_seconds=retry_after,
            ),
        )

    # Loans

    def _emit_borrow(self, limiter: WorkspaceLimiter, now: float) -> list[Emission]:
        pending_borrow = limiter.pending_borrow
        if pending_borrow is not None:
            if now < pending_borrow.next_send_at:
                return []
            is_useful = now < pending_borrow.sent_at + pending_borrow.lifetime_seconds
            if pending_borrow.n_sent < MAX_BORROW_ATTEMPTS and is_useful:
                return [self._make_borrow_request(limiter, pending_borrow, now)]
            return self._abandon_borrow(limiter, pending_borrow, now)
        if now < limiter.next_borrow_at:
            return []
        n_tokens = limiter.compute_borrow_tokens(
            now, may_prefetch=not self._is_draining
        )
        owner = self._find_owner(limiter)
        if n_tokens <= 0 or owner is None:
            if n_tokens > 0:
                self._record_no_owner(limiter, now)
            return []
        is_prefetch = n_tokens > math.ceil(limiter.n_awaited_tokens)
        pending_borrow = PendingBorrow(
            borrow_id=self._random.make_id(),
            owner=owner,
            n_tokens=n_tokens,
            lifetime_seconds=(
                LOAN_LIFETIME_SECONDS if is_prefetch else SHORT_LOAN_LIFETIME_SECONDS
            ),
            sent_at=now,
            next_send_at=now,
            n_sent=0,
            returns=limiter.pop_returns(owner),
        )
        return [self._make_borrow_request(limiter, pending_borrow, now)]

    def _make_borrow_request(
        self, limiter: WorkspaceLimiter, pending_borrow: PendingBorrow, now: float
    ) -> Emission:
        limiter.pending_borrow = PendingBorrow(
            borrow_id=pending_borrow.borrow_id,
            owner=pending_borrow.owner,
            n_tokens=pending_borrow.n_tokens,
            lifetime_seconds=pending_borrow.lifetime_seconds,
            sent_at=pending_borrow.sent_at,
            next_send_at=now + BORROW_RETRY_SECONDS * 2**pending_borrow.n_sent,
            n_sent=pending_borrow.n_sent + 1,
            returns=pending_borrow.returns,
        )
        request = BorrowRequest(
            borrow_id=pending_borrow.borrow_id,
            borrower=self._name,
            workspace=limiter.workspace,
            n_tokens=pending_borrow.n_tokens,
            returns=pending_borrow.returns,
            lifetime_seconds=pending_borrow.lifetime_seconds,
        )
        return Emission(
            "peers", PeerEnvelope(peer=pending_borrow.owner, message=request)
        )

    def _abandon_borrow(
        self, limiter: WorkspaceLimiter, pending_borrow: PendingBorrow, now: float
    ) -> list[Emission]:
        emissions: list[Emission] = []
        if limiter.n_unanswered == 0:
            event = Event(
                EventName.OWNER_UNREACHABLE,
                {"workspace": limiter.workspace, "peer": pending_borrow.owner},
            )
            emissions.append(Emission("events", event))
        limiter.pending_borrow = None
        self._known_owners.pop(limiter.shard, None)
        self._record_no_owner(limiter, now)
        return emissions

    def _record_no_owner(self, limiter: WorkspaceLimiter, now: float) -> None:
        backoff_seconds = NO_OWNER_BACKOFF_SECONDS * 2.0 ** min(
            limiter.n_unanswered, MAX_BACKOFF_DOUBLINGS
        )
        limiter.n_unanswered += 1
        limiter.is_bucket_empty = False
        limiter.next_borrow_at = now + backoff_seconds

    def _find_owner(self, limiter: WorkspaceLimiter) -> str | None:
        known_owner = self._known_owners.get(limiter.shard)
        if known_owner is not None and self._ranking.has(known_owner):
            return known_owner
        ranked = self._ranking.rank(limiter.shard)
        if not ranked:
            return None
        # The first candidate may be about to take the shard over, so it is tried first.
        # After repeated failures both candidates are tried in turn, since the second
        # takes over from a first one that does not reach the store.
        n_failed = limiter.n_unanswered
        return ranked[0 if n_failed < 2 else (n_failed + 1) % len(ranked)]

    def _handle_loan(self, peer: str, loan: Loan, now: float) -> Sequence[Emission]:
        limiter = self._limiters.get(loan.workspace)
        pending_borrow = None if limiter is None else limiter.pending_borrow
        if limiter is None or pending_borrow is None:
            return ()
        if pending_borrow.borrow_id != loan.borrow_id:
            return ()
        limiter.pending_borrow = None
        lifetime = min(loan.lifetime_seconds, pending_borrow.lifetime_seconds)
        expires_at = pending_borrow.sent_at + lifetime
        if loan.n_tokens > 0 and now < expires_at:
            limiter.add_loan(
                LocalLoan(
                    borrow_id=loan.borrow_id,
                    owner=peer,
                    epoch=loan.epoch,
                    n_tokens=loan.n_tokens,
                    expires_at=expires_at,
                    return_at=pending_borrow.sent_at + lifetime * RETURN_AGE_FRACTION,
                )
            )
        if loan.owner == peer:
            self._record_owner_answer(limiter, peer, pending_borrow, loan, now)
        else:
            self._follow_redirect(limiter, loan, now)
        return self._process_due_work(limiter, now)

    def _record_owner_answer(
        self,
        limiter: WorkspaceLimiter,
        peer: str,
        pending_borrow: PendingBorrow,
        loan: Loan,
        now: float,
    ) -> None:
        limiter.n_unanswered = limiter.n_redirects = 0
        self._known_owners[limiter.shard] = peer
        limiter.is_bucket_empty = loan.retry_after_seconds > 0
        limiter.is_crowded = loan.is_crowded
        limiter.next_borrow_at = now + loan.retry_after_seconds

    def _follow_redirect(
        self, limiter: WorkspaceLimiter, loan: Loan, now: float
    ) -> None:
        limiter.n_redirects += 1
        if (
            loan.owner
            and self._ranking.has(loan.owner)
            and limiter.n_redirects <= MAX_REDIRECTS
        ):
            self._known_owners[limiter.shard] = loan.owner
            return
        self._known_owners.pop(limiter.shard, None)
        limiter.n_redirects = 0
        self._record_no_owner(limiter, now)

    def _emit_returns(self, limiter: WorkspaceLimiter) -> list[Emission]:
        return [
            Emission("peers", PeerEnvelope(peer=owner, message=item))
            for owner, item in limiter.pop_urgent_returns()
        ]

    def _handle_drain(self, now: float) -> Sequence[Emission]:
        self._is_draining = True
        emissions: list[Emission] = []
        for limiter in self._limiters.values():
            limiter.end_due_loans(float("inf"))
            emissions += self._emit_returns(limiter)
        return emissions

    # Reserve

    def _handle_reserve_query(
        self, peer: str, query: ReserveQuery, now: float
    ) -> Sequence[Emission]:
        pledges = [reserves.pledge(query, now) for reserves in self._reserves]
        return [
            Emission("peers", PeerEnvelope(peer=peer, message=pledge))
            for pledge in pledges
            if pledge is not None
        ]

    def _close_seats(self, now: float) -> list[Emission]:
        closed = [reserves.close_seat(now) for reserves in self._reserves]
        return [Emission("leasing", item) for item in closed if item is not None]

    def _find_limiter(self, workspace: str) -> WorkspaceLimiter:
        limiter = self._limiters.get(workspace)
        if limiter is None:
            shard = find_shard(workspace, self._settings.n_shards)
            limiter = WorkspaceLimiter(workspace, shard, self._name)
            self._limiters[workspace] = limiter
        return limiter
