"""Borrower side of the rate limit: spends a token for each request or holds it.

Every statement costs one token, inside a transaction too. A begin costs two: its own
and that of the commit or rollback, which then always passes. A transaction is thus
never refused half-way, and the limit holds without debts.
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
    SHORT_LIFETIME_SECONDS,
    LimitSettings,
    ShardRanking,
    find_shard,
)
from ..loans import BorrowRequest, Loan, ReserveQuery, SeatLease
from ..members import MembershipChanged
from ..messages import Action, Cancellation, Refusal, RefusalCode, Request
from .reserve import SeatReserves
from .workspace_limiter import (
    RETURN_FRACTION,
    Borrowing,
    HeldRequest,
    LocalLoan,
    WorkspaceLimiter,
)

N_HELD = 1024
# Covers a repeated borrow request; a caller gains nothing from a longer wait.
HOLD_SECONDS = 0.25
# Several round trips within a region; doubled for each repeat.
REPEAT_SECONDS = 0.05
N_REPEATS = 3
# Pause after no owner was found; doubled each time, up to 0.8 s.
NO_OWNER_SECONDS = 0.05
N_DOUBLINGS = 4
N_HINTS = 3

_COSTS = {
    Action.STATEMENT: 1.0,
    Action.TRANSACTION_STATEMENT: 1.0,
    Action.BEGIN: 2.0,
    Action.COMMIT: 0.0,
    Action.ROLLBACK: 0.0,
}


class Admission:
    """Filter at the entry that keeps each workspace within its rate.

    Outlets: ``next`` for admitted requests and cancellations, ``reply``, ``peers`` for
    borrow requests, returns and pledges, ``leasing`` for :class:`SeatClosed`,
    ``events``.

    :param name: this instance.
    :param random_source: makes borrow ids, unique over restarts.
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
        self._accounts: dict[str, WorkspaceLimiter] = {}
        self._held_in: dict[str, WorkspaceLimiter] = {}
        self._timers: list[tuple[float, str]] = []
        self._ranking = ShardRanking()
        self._hints: dict[int, str] = {}
        self._is_draining = False

    @property
    def next_tick(self) -> float | None:
        due = self._timers[0][0] if self._timers else None
        closings = [reserves.closes_at for reserves in self._reserves]
        times = [time for time in (due, *closings) if time is not None]
        return min(times, default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        match message:
            case Request():
                return self._admit(message, now)
            case Cancellation():
                return self._cancel(message)
            case PeerEnvelope(message=Loan() as loan):
                return self._take_loan(message.peer, loan, now)
            case PeerEnvelope(message=ReserveQuery() as query):
                return self._pledge_reserve(message.peer, query, now)
            case SeatLease():
                self._reserves[message.seat_index].take_seat(message, now)
                return self._close_seats(now)
            case ConfigurationChanged():
                for reserves in self._reserves:
                    reserves.change_configuration(message.configuration, now)
            case MembershipChanged():
                self._ranking.set_instances(item.name for item in message.live)
            case DrainStarted():
                return self._drain(now)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            due_at, workspace = heapq.heappop(self._timers)
            account = self._accounts[workspace]
            if account.due_at == due_at:
                account.due_at = None
                emissions += self._advance(account, now)
        emissions += self._close_seats(now)
        return emissions

    # Requests

    def _admit(self, request: Request, now: float) -> Sequence[Emission]:
        n_tokens = _COSTS[request.action]
        if n_tokens == 0.0:
            return (Emission("next", request),)
        account = self._find_account(request.workspace)
        account.count_demand(n_tokens, now)
        if not account.held and self._spend(account, n_tokens, now):
            return (Emission("next", request), *self._advance(account, now))
        if len(account.held) >= N_HELD:
            return (self._refuse(account, request, now),)
        item = HeldRequest(request, n_tokens, now + HOLD_SECONDS)
        account.hold(item)
        self._held_in[request.request_id] = account
        return self._advance(account, now)

    def _cancel(self, message: Cancellation) -> Sequence[Emission]:
        account = self._held_in.pop(message.request_id, None)
        if account is not None and account.drop_held(message.request_id):
            return ()
        return (Emission("next", message),)

    def _spend(self, account: WorkspaceLimiter, n_tokens: float, now: float) -> bool:
        found = [
            reserves.find(account.workspace, account.shard, now)
            for reserves in self._reserves
        ]
        usable = [reserve for reserve in found if reserve is not None]
        return account.spend(n_tokens, now, usable)

    def _advance(self, account: WorkspaceLimiter, now: float) -> list[Emission]:
        """Do all that is due for an account, and set its timer."""
        account.expire_loans(now)
        emissions = self._serve_held(account, now)
        account.end_loans(now)
        emissions += self._borrow(account, now)
        emissions += self._refuse_overdue(account, now)
        emissions += self._send_returns(account)
        due_at = account.find_due()
        if due_at < float("inf") and (
            account.due_at is None or due_at < account.due_at
        ):
            account.due_at = due_at
            heapq.heappush(self._timers, (due_at, account.workspace))
        return emissions

    def _serve_held(self, account: WorkspaceLimiter, now: float) -> list[Emission]:
        emissions = [
            self._refuse_held(account, item, now) for item in account.take_overdue(now)
        ]
        while account.held and self._spend(account, account.held[0].n_tokens, now):
            item = account.take_held()
            self._held_in.pop(item.request.request_id, None)
            emissions.append(Emission("next", item.request))
        return emissions

    def _refuse_overdue(self, account: WorkspaceLimiter, now: float) -> list[Emission]:
        emissions: list[Emission] = []
        while account.held:
            until = account.find_hold_limit()
            is_hopeless = account.is_bucket_empty and account.next_borrow_at >= until
            if now < until and not is_hopeless:
                break
            emissions.append(self._refuse_held(account, account.take_held(), now))
        return emissions

    def _refuse_held(
        self, account: WorkspaceLimiter, item: HeldRequest, now: float
    ) -> Emission:
        self._held_in.pop(item.request.request_id, None)
        return self._refuse(account, item.request, now)

    def _refuse(
        self, account: WorkspaceLimiter, request: Request, now: float
    ) -> Emission:
        code, text = RefusalCode.RATE_LIMITED, "the workspace's rate is used up"
        retry_after = max(account.next_borrow_at - now, HOLD_SECONDS)
        if request.deadline <= now:
            code, text = RefusalCode.DEADLINE, "no token before the deadline"
        elif account.n_unanswered > 0:
            text = "the owner of the workspace's rate limit does not answer"
            retry_after = 1.0
        elif not account.is_bucket_empty:
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

    def _borrow(self, account: WorkspaceLimiter, now: float) -> list[Emission]:
        borrowing = account.borrowing
        if borrowing is not None:
            if now < borrowing.next_send_at:
                return []
            is_useful = now < borrowing.sent_at + borrowing.lifetime_seconds
            if borrowing.n_sent < N_REPEATS and is_useful:
                return [self._send_borrow(account, borrowing, now)]
            return self._give_up(account, borrowing, now)
        if now < account.next_borrow_at:
            return []
        n_tokens = account.find_wanted(now, is_ahead=not self._is_draining)
        owner = self._find_owner(account)
        if n_tokens <= 0 or owner is None:
            if n_tokens > 0:
                self._note_no_owner(account, now)
            return []
        is_for_stock = n_tokens > math.ceil(account.n_held_tokens)
        borrowing = Borrowing(
            borrow_id=self._random.make_id(),
            owner=owner,
            n_tokens=n_tokens,
            lifetime_seconds=(
                LOAN_LIFETIME_SECONDS if is_for_stock else SHORT_LIFETIME_SECONDS
            ),
            sent_at=now,
            next_send_at=now,
            n_sent=0,
            returns=account.take_returns(owner),
        )
        return [self._send_borrow(account, borrowing, now)]

    def _send_borrow(
        self, account: WorkspaceLimiter, borrowing: Borrowing, now: float
    ) -> Emission:
        account.borrowing = Borrowing(
            borrow_id=borrowing.borrow_id,
            owner=borrowing.owner,
            n_tokens=borrowing.n_tokens,
            lifetime_seconds=borrowing.lifetime_seconds,
            sent_at=borrowing.sent_at,
            next_send_at=now + REPEAT_SECONDS * 2**borrowing.n_sent,
            n_sent=borrowing.n_sent + 1,
            returns=borrowing.returns,
        )
        request = BorrowRequest(
            borrow_id=borrowing.borrow_id,
            borrower=self._name,
            workspace=account.workspace,
            n_tokens=borrowing.n_tokens,
            returns=borrowing.returns,
            lifetime_seconds=borrowing.lifetime_seconds,
        )
        return Emission("peers", PeerEnvelope(peer=borrowing.owner, message=request))

    def _give_up(
        self, account: WorkspaceLimiter, borrowing: Borrowing, now: float
    ) -> list[Emission]:
        emissions: list[Emission] = []
        if account.n_unanswered == 0:
            event = Event(
                EventName.OWNER_UNREACHABLE,
                {"workspace": account.workspace, "peer": borrowing.owner},
            )
            emissions.append(Emission("events", event))
        account.borrowing = None
        self._hints.pop(account.shard, None)
        self._note_no_owner(account, now)
        return emissions

    def _note_no_owner(self, account: WorkspaceLimiter, now: float) -> None:
        pause = NO_OWNER_SECONDS * 2.0 ** min(account.n_unanswered, N_DOUBLINGS)
        account.n_unanswered += 1
        account.is_bucket_empty = False
        account.next_borrow_at = now + pause

    def _find_owner(self, account: WorkspaceLimiter) -> str | None:
        hint = self._hints.get(account.shard)
        if hint is not None and self._ranking.has(hint):
            return hint
        ranked = self._ranking.rank(account.shard)
        if not ranked:
            return None
        # The first candidate may be about to take over; later both are asked in turn,
        # since the second stands in for a first one without store.
        n_failed = account.n_unanswered
        return ranked[0 if n_failed < 2 else (n_failed + 1) % len(ranked)]

    def _take_loan(self, peer: str, loan: Loan, now: float) -> Sequence[Emission]:
        account = self._accounts.get(loan.workspace)
        borrowing = None if account is None else account.borrowing
        if account is None or borrowing is None:
            return ()
        if borrowing.borrow_id != loan.borrow_id:
            return ()
        account.borrowing = None
        lifetime = min(loan.lifetime_seconds, borrowing.lifetime_seconds)
        expires_at = borrowing.sent_at + lifetime
        if loan.n_tokens > 0 and now < expires_at:
            account.add_loan(
                LocalLoan(
                    borrow_id=loan.borrow_id,
                    owner=peer,
                    epoch=loan.epoch,
                    n_tokens=loan.n_tokens,
                    expires_at=expires_at,
                    return_at=borrowing.sent_at + lifetime * RETURN_FRACTION,
                )
            )
        if loan.owner == peer:
            self._note_owner_answer(account, peer, borrowing, loan, now)
        else:
            self._follow_hint(account, loan, now)
        return self._advance(account, now)

    def _note_owner_answer(
        self,
        account: WorkspaceLimiter,
        peer: str,
        borrowing: Borrowing,
        loan: Loan,
        now: float,
    ) -> None:
        account.n_unanswered = account.n_hints = 0
        self._hints[account.shard] = peer
        account.is_bucket_empty = loan.retry_after_seconds > 0
        account.is_crowded = loan.is_crowded
        account.next_borrow_at = now + loan.retry_after_seconds

    def _follow_hint(self, account: WorkspaceLimiter, loan: Loan, now: float) -> None:
        account.n_hints += 1
        if loan.owner and self._ranking.has(loan.owner) and account.n_hints <= N_HINTS:
            self._hints[account.shard] = loan.owner
            return
        self._hints.pop(account.shard, None)
        account.n_hints = 0
        self._note_no_owner(account, now)

    def _send_returns(self, account: WorkspaceLimiter) -> list[Emission]:
        return [
            Emission("peers", PeerEnvelope(peer=owner, message=item))
            for owner, item in account.take_urgent()
        ]

    def _drain(self, now: float) -> Sequence[Emission]:
        self._is_draining = True
        emissions: list[Emission] = []
        for account in self._accounts.values():
            account.end_loans(float("inf"))
            emissions += self._send_returns(account)
        return emissions

    # Reserve

    def _pledge_reserve(
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

    def _find_account(self, workspace: str) -> WorkspaceLimiter:
        account = self._accounts.get(workspace)
        if account is None:
            shard = find_shard(workspace, self._settings.n_shards)
            account = WorkspaceLimiter(workspace, shard, self._name)
            self._accounts[workspace] = account
        return account
