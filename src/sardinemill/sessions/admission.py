"""Filter that admits operations within the rate limit of their workspace."""

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

# Tokens that are not spent by then are gone, so that they do not pile up into a burst.
TOKEN_LIFETIME_SECONDS = 1.0
# Tokens for this much of the recent rate are asked for ahead of need.
PREFETCH_SECONDS = 0.5
MAX_PREFETCH = 16
# A lender answers within a few milliseconds; after this time it counts as lost.
GRANT_TIMEOUT_SECONDS = 0.25
RATE_WINDOW_SECONDS = 2.0
# Operations of one workspace that may wait for tokens.
MAX_WAITING = 64
# Without a lender an instance admits this part of what the workspace was lent here,
# or of an equal share. All instances together stay within the tolerance of the limit.
ALONE_FRACTION = 0.25
NEVER = float("-inf")


class SmoothedRate:
    """Events a second over the last seconds, older ones weighing less."""

    def __init__(self) -> None:
        self.value: float = 0.0
        self.updated_at: float = NEVER

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.read(now) + 1.0 / RATE_WINDOW_SECONDS
        self.updated_at = now

    def read(self, now: float) -> float:
        """The rate as of now."""
        if self.updated_at == NEVER:
            return 0.0
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / RATE_WINDOW_SECONDS)


class _Account:
    """Tokens and demand of one workspace at this instance.

    :ivar asked_rate: of the operations that asked to be admitted.
    :ivar lent_rate: of those that a lender's tokens admitted; over all instances it
        adds up to no more than the limit.
    :ivar alone_level: tokens for admission without a lender.
    """

    def __init__(self) -> None:
        self.level: float = 0.0
        self.expires_at: float = NEVER
        self.asked_rate: SmoothedRate = SmoothedRate()
        self.lent_rate: SmoothedRate = SmoothedRate()
        self.alone_level: float = 1.0
        self.alone_at: float = NEVER
        self.waiting: deque[StatementRequest] = deque()
        self.asked: tuple[int, float] | None = None
        self.refused_until: float = NEVER


class Admission:
    """Holds an operation until a token for it is here, or refuses it.

    Outlets: ``next`` (:class:`StatementRequest`), ``result``
    (:class:`StatementResult`), ``peers`` (:class:`TokenRequest`).
    """

    def __init__(self) -> None:
        self._table = EMPTY_ROUTE_TABLE
        self._coordinators: tuple[str, ...] = ()
        self._n_instances = 1
        self._accounts: dict[str, _Account] = {}
        self._n_requests = 0
        self._next_tick: float | None = None

    @property
    def next_tick(self) -> float | None:
        return self._next_tick

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, StatementRequest):
            return self._take_request(message, now)
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, TokenGrant):
                return self._take_grant(message.message, now)
        elif isinstance(message, StatementResult):
            self._take_back(message, now)
        elif isinstance(message, RoutesChanged):
            self._table = message.table
        elif isinstance(message, ReachableCoordinatorsChanged):
            self._coordinators = message.names
            self._n_instances = max(1, message.n_instances)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        self._next_tick = None
        emissions: list[Emission] = []
        for workspace, account in self._accounts.items():
            asked = account.asked
            if asked is not None and now - asked[1] >= GRANT_TIMEOUT_SECONDS:
                account.asked = None
                emissions += self._admit_alone(workspace, account, now)
            elif asked is not None:
                self._wake_at(asked[1] + GRANT_TIMEOUT_SECONDS)
        return emissions

    def _wake_at(self, at: float) -> None:
        if self._next_tick is None or at < self._next_tick:
            self._next_tick = at

    def _take_request(self, request: StatementRequest, now: float) -> list[Emission]:
        plan = self._table.plans.get(request.workspace)
        if not request.starts_operation or plan is None:
            return [Emission("next", request)]
        account = self._accounts.setdefault(plan.name, _Account())
        account.asked_rate.add(now)
        if account.expires_at <= now:
            account.level = 0.0
        if account.level >= 1.0 and not account.waiting:
            account.level -= 1.0
            account.lent_rate.add(now)
            emissions = [Emission("next", request)]
            if account.level < self._find_prefetch(account, now) / 2:
                emissions += self._ask(plan.name, account, now)
            return emissions
        if now < account.refused_until:
            return [self._refuse(request, "plan used up", account.refused_until - now)]
        if len(account.waiting) >= MAX_WAITING:
            return [
                self._refuse(request, "too many wait for tokens", GRANT_TIMEOUT_SECONDS)
            ]
        account.waiting.append(request)
        return self._ask(plan.name, account, now)

    def _take_back(self, result: StatementResult, now: float) -> None:
        """Keep the token of an operation that did not run for the next one."""
        account = self._accounts.get(result.request.workspace)
        has_run = result.code is None or result.effect is not Effect.NOT_RUN
        if account is None or has_run or not result.request.starts_operation:
            return
        if account.expires_at <= now:
            account.level = 0.0
        account.level += 1.0
        account.expires_at = now + TOKEN_LIFETIME_SECONDS

    def _find_prefetch(self, account: _Account, now: float) -> int:
        wanted = math.floor(account.asked_rate.read(now) * PREFETCH_SECONDS)
        return min(MAX_PREFETCH, wanted)

    def _ask(self, workspace: str, account: _Account, now: float) -> list[Emission]:
        if account.asked is not None:
            return []
        lenders = rank_candidates(workspace, self._coordinators)
        if not lenders:
            return self._admit_alone(workspace, account, now)
        n_tokens = len(account.waiting) + self._find_prefetch(account, now)
        if n_tokens <= 0:
            return []
        self._n_requests += 1
        account.asked = (self._n_requests, now)
        self._wake_at(now + GRANT_TIMEOUT_SECONDS)
        request = TokenRequest(
            number=self._n_requests, workspace=workspace, n_tokens=n_tokens
        )
        return [Emission("peers", PeerEnvelope(peer=lenders[0], message=request))]

    def _take_grant(self, grant: TokenGrant, now: float) -> list[Emission]:
        account = self._accounts.get(grant.workspace)
        if account is None or account.asked is None:
            return []
        if account.asked[0] != grant.number:
            return []
        account.asked = None
        if account.expires_at <= now:
            account.level = 0.0
        account.level += grant.n_tokens
        account.expires_at = now + TOKEN_LIFETIME_SECONDS
        emissions: list[Emission] = []
        while account.waiting and account.level >= 1.0:
            account.level -= 1.0
            account.lent_rate.add(now)
            emissions.append(Emission("next", account.waiting.popleft()))
        if grant.n_tokens == 0:
            wait = grant.retry_after_seconds
            account.refused_until = now + wait
            while account.waiting:
                refused = account.waiting.popleft()
                emissions.append(self._refuse(refused, "plan used up", wait))
        elif account.waiting:
            emissions += self._ask(grant.workspace, account, now)
        return emissions

    def _admit_alone(
        self, workspace: str, account: _Account, now: float
    ) -> list[Emission]:
        """Decide without a lender."""
        plan = self._table.plans.get(workspace)
        rate = 0.0 if plan is None else self._find_alone_rate(plan, account, now)
        if account.alone_at > NEVER:
            gained = (now - account.alone_at) * rate
            account.alone_level = min(max(1.0, rate), account.alone_level + gained)
        account.alone_at = now
        emissions: list[Emission] = []
        while account.waiting:
            request = account.waiting.popleft()
            if account.alone_level >= 1.0:
                account.alone_level -= 1.0
                emissions.append(Emission("next", request))
            else:
                emissions.append(
                    self._refuse(request, "no lender", GRANT_TIMEOUT_SECONDS)
                )
        return emissions

    def _find_alone_rate(
        self, plan: WorkspacePlan, account: _Account, now: float
    ) -> float:
        limit = plan.operations_per_second
        if limit <= 0:
            return 0.0
        lent_share = min(1.0, account.lent_rate.read(now) / limit)
        share = max(lent_share, 1.0 / self._n_instances)
        return ALONE_FRACTION * share * limit

    def _refuse(self, request: StatementRequest, cause: str, wait: float) -> Emission:
        result = StatementResult(
            request=request,
            code=ErrorCode.BUSY,
            message=f"rate limit, {cause}; retry after {max(wait, 0.01):.2f} s",
        )
        return Emission("result", result)
