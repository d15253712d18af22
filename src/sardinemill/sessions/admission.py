"""Filter that admits operations within the rate limit of their workspace.

An operation is a transaction or a statement outside one. Instances request tokens in
batches from a coordinator that lends them, the lender. A lender without tokens reserves
those that accrue soon, in the order of the requests, so that an operation waits for its
turn instead of being refused and retried. When no lender answers, an instance admits
operations at a low fallback rate of its own.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace

import xxhash

from ..control import PeerEnvelope
from ..fleet.messages import TokenGrant, TokenRequest
from ..fleet.rate_tolerance import (
    DEFAULT_TOLERANCE,
    RateTolerance,
    compute_fallback_limits,
)
from ..fleet.views import ReachableCoordinatorsChanged
from ..groups import rank_candidates
from ..interfaces import Emission
from .messages import (
    Effect,
    ErrorCode,
    RequestRevoked,
    StatementRequest,
    StatementResult,
)
from .routes import (
    EMPTY_ROUTE_TABLE,
    UNUSABLE_WORKSPACE,
    RoutesChanged,
    RouteTable,
    WorkspacePlan,
)

# Unspent tokens expire, so that they do not accumulate into a burst.
TOKEN_LIFETIME_SECONDS = 1.0
# Tokens for this time at the recent rate of demand are requested in advance.
PREFETCH_SECONDS = 0.5
MAX_PREFETCH_TOKENS = 16
# A lender answers within a few milliseconds; a request without a grant by then counts
# as lost.
GRANT_TIMEOUT_SECONDS = 0.25
# Time constant of the exponentially decaying averages.
RATE_WINDOW_SECONDS = 2.0
# Limit of the queue of one workspace for tokens.
MAX_QUEUED_OPERATIONS = 64
# A lender without an answer in time is passed over for this time, in favour of the next
# one of the workspace.
LENDER_BACKOFF_SECONDS = 1.0
# Without a lender, an instance admits this fraction of the rate that was granted to it
# before, so that all instances together stay within the tolerance of the limit.
FALLBACK_FRACTION = 0.25
# Instances that admitted nothing without a lender for this time start anew.
FALLBACK_RESET_SECONDS = 5.0
# An operation waits for a reserved token for at most this part of the tightest latency
# objective of all routes. The rest is left for the database. If other routes waited
# longer, their operations would reserve all tokens of a workspace before those with a
# tight objective get one.
MAX_WAIT_FRACTION = 0.5
NEVER = float("-inf")


class SmoothedRate:
    """Exponentially decaying average of the events per second."""

    def __init__(self) -> None:
        self.value: float = 0.0
        self.updated_at: float = NEVER

    def add(self, now: float) -> None:
        """Count one event.

        :param now: seconds on the instance's clock.
        """
        self.value = self.estimate(now) + 1.0 / RATE_WINDOW_SECONDS
        self.updated_at = now

    def estimate(self, now: float) -> float:
        """Return the rate in events per second."""
        if self.updated_at == NEVER:
            return 0.0
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / RATE_WINDOW_SECONDS)


class _WorkspaceLimiter:
    """Tokens, demand and queue of one workspace at this instance.

    :ivar level: unspent tokens from lenders, valid until ``expires_at``.
    :ivar demand_rate: rate of the operations that arrived.
    :ivar granted_rate: rate of those that a lender's tokens admitted; over all
        instances it adds up to no more than the limit.
    :ivar fallback_level: tokens for admission without a lender, as of
        ``fallback_updated_at``.
    :ivar queue: operations that wait for tokens; the first ones for ``reservations``.
    :ivar reservations: times from which reserved tokens are valid, in order.
    :ivar pending_request: token request without an answer.
    :ivar next_token_at: when the next token that is not reserved accrues at the
        lender; operations that cannot wait until then are refused.
    """

    def __init__(self) -> None:
        self.level: float = 0.0
        self.expires_at: float = NEVER
        self.demand_rate: SmoothedRate = SmoothedRate()
        self.granted_rate: SmoothedRate = SmoothedRate()
        self.fallback_level: float = 0.0
        self.fallback_updated_at: float = NEVER
        self.queue: deque[StatementRequest] = deque()
        self.reservations: deque[float] = deque()
        self.pending_request: _PendingTokenRequest | None = None
        self.next_token_at: float = NEVER

    @property
    def n_waiting(self) -> int:
        """Number of queued operations without a reserved token."""
        return max(0, len(self.queue) - len(self.reservations))

    def discard_expired_tokens(self, now: float) -> None:
        """Discard unspent tokens whose lifetime has ended."""
        if self.expires_at <= now:
            self.level = 0.0

    def add_tokens(self, n_tokens: float, now: float) -> None:
        """Add tokens; all unspent ones then expire together."""
        self.discard_expired_tokens(now)
        self.level += n_tokens
        self.expires_at = now + TOKEN_LIFETIME_SECONDS


@dataclass(frozen=True, slots=True)
class _PendingTokenRequest:
    """Token request without an answer.

    :param n_waiting: operations that it asks tokens for.
    """

    number: int
    lender: str
    sent_at: float
    n_waiting: int


class Admission:
    """Holds an operation until a token is available, or refuses it.

    Outlets: ``next`` (:class:`StatementRequest`, :class:`RequestRevoked`), ``result``
    (:class:`StatementResult`), ``peers`` (:class:`TokenRequest`).

    :param instance: name of this instance.
    :param tolerance: of the rate limits.
    """

    def __init__(
        self, instance: str = "", tolerance: RateTolerance = DEFAULT_TOLERANCE
    ) -> None:
        self._instance = instance
        self._tolerance = tolerance
        self._silent_until: dict[str, float] = {}
        self._max_wait_seconds = 0.0
        self._route_table = EMPTY_ROUTE_TABLE
        self._coordinators: tuple[str, ...] = ()
        self._n_instances = 1
        self._limiters: dict[str, _WorkspaceLimiter] = {}
        self._n_requests = 0
        self._next_tick: float | None = None

    @property
    def next_tick(self) -> float | None:
        return self._next_tick

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, StatementRequest):
            return self._handle_request(message, now)
        if isinstance(message, RequestRevoked):
            return self._revoke(message)
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, TokenGrant):
                self._silent_until.pop(message.peer, None)
                return self._handle_grant(message.message, now)
        elif isinstance(message, StatementResult):
            self._handle_result(message, now)
        elif isinstance(message, RoutesChanged):
            self._route_table = message.table
            self._max_wait_seconds = _compute_max_wait(message.table)
        elif isinstance(message, ReachableCoordinatorsChanged):
            self._coordinators = message.names
            self._n_instances = max(1, message.n_instances)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        self._next_tick = None
        emissions: list[Emission] = []
        for workspace, limiter in self._limiters.items():
            emissions += self._admit_reserved(limiter, now)
            pending = limiter.pending_request
            if pending is None:
                continue
            expires_at = pending.sent_at + GRANT_TIMEOUT_SECONDS
            if now >= expires_at:
                limiter.pending_request = None
                self._silent_until[pending.lender] = now + LENDER_BACKOFF_SECONDS
                emissions += self._try_next_lender(workspace, limiter, now)
            else:
                self._schedule_tick(expires_at)
        return emissions

    def _try_next_lender(
        self, workspace: str, limiter: _WorkspaceLimiter, now: float
    ) -> list[Emission]:
        """Ask the next lender for the waiting operations.

        The first one decides for all: if it has waited for two lenders, they wait for
        no third one.
        """
        waiting = list(limiter.queue)[len(limiter.reservations) :]
        if waiting and now - waiting[0].received_at >= 2 * GRANT_TIMEOUT_SECONDS:
            return self._admit_without_lender(workspace, limiter, now)
        return self._request_tokens(workspace, limiter, now)

    def _admit_reserved(self, limiter: _WorkspaceLimiter, now: float) -> list[Emission]:
        """Spend the reserved tokens that are valid by now."""
        emissions: list[Emission] = []
        while limiter.reservations and limiter.reservations[0] <= now:
            limiter.reservations.popleft()
            if limiter.queue:
                emissions.append(self._admit(limiter, limiter.queue.popleft(), now))
            else:
                limiter.add_tokens(1.0, now)
        if limiter.reservations:
            self._schedule_tick(limiter.reservations[0])
        return emissions

    def _admit(
        self, limiter: _WorkspaceLimiter, request: StatementRequest, now: float
    ) -> Emission:
        limiter.granted_rate.add(now)
        return Emission("next", request)

    def _schedule_tick(self, tick_at: float) -> None:
        if self._next_tick is None or tick_at < self._next_tick:
            self._next_tick = tick_at

    def _handle_request(self, request: StatementRequest, now: float) -> list[Emission]:
        if request.workspace == UNUSABLE_WORKSPACE:
            text = "the workspace's name cannot be sent to a database"
            result = StatementResult(
                request=request, code=ErrorCode.ACCESS_DENIED, message=text
            )
            return [Emission("result", result)]
        plan = self._route_table.plans.get(request.workspace)
        if not request.starts_operation or plan is None:
            return [Emission("next", request)]
        limiter = self._limiters.setdefault(plan.name, _WorkspaceLimiter())
        limiter.demand_rate.add(now)
        limiter.discard_expired_tokens(now)
        if limiter.level >= 1.0 and not limiter.queue:
            limiter.level -= 1.0
            emissions = [self._admit(limiter, request, now)]
            if limiter.level < self._compute_prefetch(limiter, now) / 2:
                emissions += self._request_tokens(plan.name, limiter, now)
            return emissions
        if now + self._find_max_wait(request, now) < limiter.next_token_at:
            return [self._refuse(request, "plan used up", limiter.next_token_at - now)]
        if len(limiter.queue) >= MAX_QUEUED_OPERATIONS:
            return [
                self._refuse(request, "too many wait for tokens", GRANT_TIMEOUT_SECONDS)
            ]
        limiter.queue.append(request)
        return self._request_tokens(plan.name, limiter, now)

    def _revoke(self, revoked: RequestRevoked) -> list[Emission]:
        """Refuse an operation that waits for a token, or pass the message on."""
        request = revoked.request
        limiter = self._limiters.get(request.workspace)
        if limiter is None or request not in limiter.queue:
            return [Emission("next", revoked)]
        # Its reserved token, if it has one, admits the next operation.
        place = limiter.queue.index(request) - len(limiter.reservations)
        limiter.queue.remove(request)
        pending = limiter.pending_request
        if pending is not None and 0 <= place < pending.n_waiting:
            limiter.pending_request = replace(pending, n_waiting=pending.n_waiting - 1)
        result = StatementResult(
            request=request, code=revoked.code, message=revoked.message
        )
        return [Emission("result", result)]

    def _handle_result(self, result: StatementResult, now: float) -> None:
        """Restore the token of an operation that did not run."""
        limiter = self._limiters.get(result.request.workspace)
        has_run = result.code is None or result.effect is not Effect.NOT_RUN
        if limiter is None or has_run or not result.request.starts_operation:
            return
        limiter.add_tokens(1.0, now)

    def _compute_prefetch(self, limiter: _WorkspaceLimiter, now: float) -> int:
        wanted = math.floor(limiter.demand_rate.estimate(now) * PREFETCH_SECONDS)
        return min(MAX_PREFETCH_TOKENS, wanted)

    def _request_tokens(
        self, workspace: str, limiter: _WorkspaceLimiter, now: float
    ) -> list[Emission]:
        if limiter.pending_request is not None:
            return []
        lenders = [
            name
            for name in rank_candidates(workspace, self._coordinators)
            if now >= self._silent_until.get(name, NEVER)
        ]
        if not lenders:
            return self._admit_without_lender(workspace, limiter, now)
        n_waiting = limiter.n_waiting
        n_tokens = n_waiting + self._compute_prefetch(limiter, now)
        if n_tokens <= 0:
            return []
        waiting = list(limiter.queue)[len(limiter.reservations) :]
        max_wait = max(
            (self._find_max_wait(item, now) for item in waiting), default=0.0
        )
        self._n_requests += 1
        limiter.pending_request = _PendingTokenRequest(
            self._n_requests, lenders[0], now, n_waiting
        )
        self._schedule_tick(now + GRANT_TIMEOUT_SECONDS)
        request = TokenRequest(
            number=self._n_requests,
            workspace=workspace,
            n_tokens=n_tokens,
            n_waiting=n_waiting,
            max_wait_seconds=round(max_wait, 3),
        )
        return [Emission("peers", PeerEnvelope(peer=lenders[0], message=request))]

    def _handle_grant(self, grant: TokenGrant, now: float) -> list[Emission]:
        limiter = self._limiters.get(grant.workspace)
        pending = None if limiter is None else limiter.pending_request
        if limiter is None or pending is None or pending.number != grant.number:
            return []
        limiter.pending_request = None
        limiter.add_tokens(grant.n_tokens, now)
        first_at = now + grant.reserved_wait_seconds
        limiter.reservations.extend(
            first_at + number * grant.interval_seconds
            for number in range(grant.n_reserved)
        )
        emissions: list[Emission] = []
        while limiter.queue and limiter.level >= 1.0:
            limiter.level -= 1.0
            emissions.append(self._admit(limiter, limiter.queue.popleft(), now))
        n_refused = pending.n_waiting - grant.n_tokens - grant.n_reserved
        if n_refused > 0:
            delay = grant.retry_after_seconds
            limiter.next_token_at = now + delay
            emissions += self._refuse_waiting(limiter, n_refused, delay)
        if limiter.reservations:
            self._schedule_tick(limiter.reservations[0])
        if limiter.n_waiting:
            emissions += self._request_tokens(grant.workspace, limiter, now)
        return emissions

    def _refuse_waiting(
        self, limiter: _WorkspaceLimiter, n_refused: int, delay: float
    ) -> list[Emission]:
        """Refuse the first queued operations that have no reserved token."""
        first = len(limiter.reservations)
        waiting = list(limiter.queue)
        refused = waiting[first : first + n_refused]
        limiter.queue = deque(waiting[:first] + waiting[first + n_refused :])
        return [self._refuse(item, "plan used up", delay) for item in refused]

    def _admit_without_lender(
        self, workspace: str, limiter: _WorkspaceLimiter, now: float
    ) -> list[Emission]:
        """Admit or refuse the queued operations without a lender."""
        plan = self._route_table.plans.get(workspace)
        if plan is not None:
            self._refill_fallback(plan, limiter, now)
        emissions: list[Emission] = []
        while limiter.n_waiting and limiter.fallback_level >= 1.0:
            limiter.fallback_level -= 1.0
            emissions.append(Emission("next", limiter.queue.popleft()))
        while limiter.n_waiting:
            refused = limiter.queue.pop()
            emissions.append(self._refuse(refused, "no lender", GRANT_TIMEOUT_SECONDS))
        return emissions

    def _refill_fallback(
        self, plan: WorkspacePlan, limiter: _WorkspaceLimiter, now: float
    ) -> None:
        """Add the tokens for admission without a lender that accrued.

        All instances share a small number of first operations. If there are more
        instances, those with the lowest hash of workspace and instance have one.
        """
        limits = compute_fallback_limits(plan, self._tolerance)
        rate = max(
            FALLBACK_FRACTION * limiter.granted_rate.estimate(now),
            limits.rate / self._n_instances,
        )
        elapsed = now - limiter.fallback_updated_at
        if elapsed > FALLBACK_RESET_SECONDS:
            share = limits.n_first / self._n_instances
            limiter.fallback_level = (
                1.0 if self._compute_sample(plan.name) < share else 0.0
            )
        else:
            level = limiter.fallback_level + elapsed * rate
            limiter.fallback_level = min(max(1.0, rate), level)
        limiter.fallback_updated_at = now

    def _compute_sample(self, workspace: str) -> float:
        """Return a number from 0 to 1 that differs between the instances."""
        name = f"{workspace}\0{self._instance}"
        return xxhash.xxh32_intdigest(name.encode()) / 2**32

    def _find_max_wait(self, request: StatementRequest, now: float) -> float:
        """Return how long an operation may still wait for a token, in seconds."""
        if not request.route.target_seconds:
            return 0.0
        return max(0.0, self._max_wait_seconds - (now - request.received_at))

    def _refuse(self, request: StatementRequest, reason: str, delay: float) -> Emission:
        result = StatementResult(
            request=request,
            code=ErrorCode.BUSY,
            message=f"rate limit, {reason}; retry after {max(delay, 0.01):.2f} s",
        )
        return Emission("result", result)


def _compute_max_wait(table: RouteTable) -> float:
    """Return how long operations may wait for a token, in seconds."""
    targets = [
        route.target_seconds for route in table.routes.values() if route.target_seconds
    ]
    return MAX_WAIT_FRACTION * min(targets, default=0.0)
