"""Filter that admits operations within the rate limit of their workspace.

An operation is a transaction or a statement outside one. Instances request tokens in
batches from a coordinator that lends them, the lender. When no lender answers, an
instance admits operations at a low fallback rate of its own.
"""

import math
from collections import deque
from collections.abc import Sequence

from ..control import PeerEnvelope
from ..fleet.messages import TokenGrant, TokenRequest
from ..fleet.views import ReachableCoordinatorsChanged
from ..groups import rank_candidates
from ..interfaces import Emission
from .messages import Effect, ErrorCode, StatementRequest, StatementResult
from .routes import EMPTY_ROUTE_TABLE, RoutesChanged, WorkspacePlan

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
# Without a lender, an instance admits this fraction of the rate that was granted to it
# before, or of an equal share of the limit if that is more, so that all instances
# together stay within the tolerance of the limit.
FALLBACK_FRACTION = 0.25
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
    :ivar fallback_level: tokens for admission without a lender.
    :ivar queue: operations that wait for tokens.
    :ivar pending_request: number and send time of the token request without an answer.
    :ivar refused_until: when the lender expects the next token; operations without a
        token are refused until then.
    """

    def __init__(self) -> None:
        self.level: float = 0.0
        self.expires_at: float = NEVER
        self.demand_rate: SmoothedRate = SmoothedRate()
        self.granted_rate: SmoothedRate = SmoothedRate()
        self.fallback_level: float = 1.0
        self.fallback_updated_at: float = NEVER
        self.queue: deque[StatementRequest] = deque()
        self.pending_request: tuple[int, float] | None = None
        self.refused_until: float = NEVER


class Admission:
    """Holds an operation until a token is available, or refuses it.

    Outlets: ``next`` (:class:`StatementRequest`), ``result``
    (:class:`StatementResult`), ``peers`` (:class:`TokenRequest`).
    """

    def __init__(self) -> None:
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
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, TokenGrant):
                return self._handle_grant(message.message, now)
        elif isinstance(message, StatementResult):
            self._handle_result(message, now)
        elif isinstance(message, RoutesChanged):
            self._route_table = message.table
        elif isinstance(message, ReachableCoordinatorsChanged):
            self._coordinators = message.names
            self._n_instances = max(1, message.n_instances)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        self._next_tick = None
        emissions: list[Emission] = []
        for workspace, limiter in self._limiters.items():
            pending_request = limiter.pending_request
            if (
                pending_request is not None
                and now - pending_request[1] >= GRANT_TIMEOUT_SECONDS
            ):
                limiter.pending_request = None
                emissions += self._admit_without_lender(workspace, limiter, now)
            elif pending_request is not None:
                self._schedule_tick(pending_request[1] + GRANT_TIMEOUT_SECONDS)
        return emissions

    def _schedule_tick(self, tick_at: float) -> None:
        if self._next_tick is None or tick_at < self._next_tick:
            self._next_tick = tick_at

    def _handle_request(self, request: StatementRequest, now: float) -> list[Emission]:
        plan = self._route_table.plans.get(request.workspace)
        if not request.starts_operation or plan is None:
            return [Emission("next", request)]
        limiter = self._limiters.setdefault(plan.name, _WorkspaceLimiter())
        limiter.demand_rate.add(now)
        if limiter.expires_at <= now:
            limiter.level = 0.0
        if limiter.level >= 1.0 and not limiter.queue:
            limiter.level -= 1.0
            limiter.granted_rate.add(now)
            emissions = [Emission("next", request)]
            if limiter.level < self._compute_prefetch(limiter, now) / 2:
                emissions += self._request_tokens(plan.name, limiter, now)
            return emissions
        if now < limiter.refused_until:
            return [self._refuse(request, "plan used up", limiter.refused_until - now)]
        if len(limiter.queue) >= MAX_QUEUED_OPERATIONS:
            return [
                self._refuse(request, "too many wait for tokens", GRANT_TIMEOUT_SECONDS)
            ]
        limiter.queue.append(request)
        return self._request_tokens(plan.name, limiter, now)

    def _handle_result(self, result: StatementResult, now: float) -> None:
        """Restore the token of an operation that did not run."""
        limiter = self._limiters.get(result.request.workspace)
        has_run = result.code is None or result.effect is not Effect.NOT_RUN
        if limiter is None or has_run or not result.request.starts_operation:
            return
        if limiter.expires_at <= now:
            limiter.level = 0.0
        limiter.level += 1.0
        limiter.expires_at = now + TOKEN_LIFETIME_SECONDS

    def _compute_prefetch(self, limiter: _WorkspaceLimiter, now: float) -> int:
        wanted = math.floor(limiter.demand_rate.estimate(now) * PREFETCH_SECONDS)
        return min(MAX_PREFETCH_TOKENS, wanted)

    def _request_tokens(
        self, workspace: str, limiter: _WorkspaceLimiter, now: float
    ) -> list[Emission]:
        if limiter.pending_request is not None:
            return []
        lenders = rank_candidates(workspace, self._coordinators)
        if not lenders:
            return self._admit_without_lender(workspace, limiter, now)
        n_tokens = len(limiter.queue) + self._compute_prefetch(limiter, now)
        if n_tokens <= 0:
            return []
        self._n_requests += 1
        limiter.pending_request = (self._n_requests, now)
        self._schedule_tick(now + GRANT_TIMEOUT_SECONDS)
        request = TokenRequest(
            number=self._n_requests, workspace=workspace, n_tokens=n_tokens
        )
        return [Emission("peers", PeerEnvelope(peer=lenders[0], message=request))]

    def _handle_grant(self, grant: TokenGrant, now: float) -> list[Emission]:
        limiter = self._limiters.get(grant.workspace)
        if limiter is None or limiter.pending_request is None:
            return []
        if limiter.pending_request[0] != grant.number:
            return []
        limiter.pending_request = None
        if limiter.expires_at <= now:
            limiter.level = 0.0
        limiter.level += grant.n_tokens
        limiter.expires_at = now + TOKEN_LIFETIME_SECONDS
        emissions: list[Emission] = []
        while limiter.queue and limiter.level >= 1.0:
            limiter.level -= 1.0
            limiter.granted_rate.add(now)
            emissions.append(Emission("next", limiter.queue.popleft()))
        if grant.n_tokens == 0:
            delay = grant.retry_after_seconds
            limiter.refused_until = now + delay
            while limiter.queue:
                refused = limiter.queue.popleft()
                emissions.append(self._refuse(refused, "plan used up", delay))
        elif limiter.queue:
            emissions += self._request_tokens(grant.workspace, limiter, now)
        return emissions

    def _admit_without_lender(
        self, workspace: str, limiter: _WorkspaceLimiter, now: float
    ) -> list[Emission]:
        """Admit or refuse the queued operations without a lender."""
        plan = self._route_table.plans.get(workspace)
        rate = 0.0 if plan is None else self._compute_fallback_rate(plan, limiter, now)
        if limiter.fallback_updated_at > NEVER:
            n_refilled = (now - limiter.fallback_updated_at) * rate
            limiter.fallback_level = min(
                max(1.0, rate), limiter.fallback_level + n_refilled
            )
        limiter.fallback_updated_at = now
        emissions: list[Emission] = []
        while limiter.queue:
            request = limiter.queue.popleft()
            if limiter.fallback_level >= 1.0:
                limiter.fallback_level -= 1.0
                emissions.append(Emission("next", request))
            else:
                emissions.append(
                    self._refuse(request, "no lender", GRANT_TIMEOUT_SECONDS)
                )
        return emissions

    def _compute_fallback_rate(
        self, plan: WorkspacePlan, limiter: _WorkspaceLimiter, now: float
    ) -> float:
        limit = plan.operations_per_second
        if limit <= 0:
            return 0.0
        granted_share = min(1.0, limiter.granted_rate.estimate(now) / limit)
        share = max(granted_share, 1.0 / self._n_instances)
        return FALLBACK_FRACTION * share * limit

    def _refuse(self, request: StatementRequest, reason: str, delay: float) -> Emission:
        result = StatementResult(
            request=request,
            code=ErrorCode.BUSY,
            message=f"rate limit, {reason}; retry after {max(delay, 0.01):.2f} s",
        )
        return Emission("result", result)
