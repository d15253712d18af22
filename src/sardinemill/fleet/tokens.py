"""Filter of a coordinator that lends tokens of the workspaces' rate limits.

All instances rank the coordinators for a workspace in the same order. The first is its
primary lender; the others are secondary lenders, which lend a fraction of the rate to
instances that cannot reach the first.
"""

import math
from collections.abc import Sequence

from ..control import PeerEnvelope
from ..groups import rank_candidates
from ..interfaces import Emission
from ..sessions.routes import EMPTY_ROUTE_TABLE, RoutesChanged, WorkspacePlan
from .messages import TokenGrant, TokenRequest
from .views import RecordConfirmed

# Part of the burst that a lender's bucket holds. The rest covers tokens that are lent
# and not yet spent, and what instances without a lender admit on their own.
BURST_FRACTION = 0.5
# Part of the burst that a new bucket starts with. A lender does not know what its
# predecessor lent just before; this way both together stay within the whole burst.
INITIAL_LEVEL_FRACTION = 0.25
# Part of rate and burst that a secondary lender gets. Two lenders during a partition
# must stay within the tolerance of the limit together.
SECONDARY_LENDER_FRACTION = 0.2


class TokenBucket:
    """Token bucket of one workspace at a lender.

    :param rate: tokens per second.
    :param capacity: maximum number of tokens.
    :param level: tokens available at ``updated_at``.
    """

    def __init__(
        self, rate: float, capacity: float, level: float, updated_at: float
    ) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.updated_at = updated_at

    def refill(self, now: float) -> None:
        """Add the tokens that accrued since the last call."""
        refilled = max(0.0, now - self.updated_at) * self.rate
        self.level = min(self.capacity, self.level + refilled)
        self.updated_at = now

    def set_limits(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity from now on."""
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def take(self, n_tokens: int, now: float) -> int:
        """Remove up to ``n_tokens`` whole tokens and return the number removed."""
        self.refill(now)
        taken = max(0, min(n_tokens, math.floor(self.level)))
        self.level -= taken
        return taken

    def find_wait_seconds(self) -> float:
        """Return the seconds until the next token, 1 if the rate is 0."""
        if self.rate <= 0:
            return 1.0
        return max(0.0, (1.0 - self.level) / self.rate)


class TokenLender:
    """Answers requests for tokens. Outlets: ``peers``.

    :param instance: own name.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._route_table = EMPTY_ROUTE_TABLE
        self._coordinators: tuple[str, ...] = ()
        self._buckets: dict[str, TokenBucket] = {}

    @property
    def next_tick(self) -> float | None:
        return None

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, RoutesChanged):
            self._route_table = message.table
            self._update_buckets(now)
        elif isinstance(message, RecordConfirmed):
            names = tuple(item.name for item in message.record.coordinators)
            if names != self._coordinators:
                self._coordinators = names
                self._update_buckets(now)
        elif isinstance(message, PeerEnvelope) and isinstance(
            message.message, TokenRequest
        ):
            return [self._make_grant(message.peer, message.message, now)]
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        return ()

    def _make_grant(self, peer: str, request: TokenRequest, now: float) -> Emission:
        plan = self._route_table.plans.get(request.workspace)
        n_tokens, wait = 0, 1.0
        if plan is not None and self._instance in self._coordinators:
            bucket = self._buckets.get(request.workspace)
            if bucket is None:
                rate, capacity = self._find_limits(plan)
                level = min(capacity, plan.burst * INITIAL_LEVEL_FRACTION)
                bucket = TokenBucket(rate, capacity, level, now)
                self._buckets[request.workspace] = bucket
            n_tokens = bucket.take(request.n_tokens, now)
            wait = bucket.find_wait_seconds()
        grant = TokenGrant(
            number=request.number,
            workspace=request.workspace,
            n_tokens=n_tokens,
            retry_after_seconds=round(wait, 3),
        )
        return Emission("peers", PeerEnvelope(peer=peer, message=grant))

    def _find_limits(self, plan: WorkspacePlan) -> tuple[float, float]:
        """Return rate and capacity of a workspace's bucket at this lender."""
        share = 1.0
        ranked = rank_candidates(plan.name, self._coordinators)
        if ranked and ranked[0] != self._instance:
            share = SECONDARY_LENDER_FRACTION
        capacity = max(1.0, plan.burst * BURST_FRACTION * share)
        return plan.operations_per_second * share, capacity

    def _update_buckets(self, now: float) -> None:
        for name, bucket in list(self._buckets.items()):
            plan = self._route_table.plans.get(name)
            if plan is None:
                del self._buckets[name]
                continue
            rate, capacity = self._find_limits(plan)
            bucket.set_limits(rate, capacity, now)
