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
from .rate_tolerance import (
    DEFAULT_TOLERANCE,
    LenderLimits,
    RateTolerance,
    compute_lender_limits,
)
from .views import RecordConfirmed

# Part of the burst that a new bucket starts with. A lender does not know what its
# predecessor lent just before; this way both together stay within the tolerance.
INITIAL_LEVEL_FRACTION = 0.25


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

    def reserve(self, n_tokens: int, max_wait_seconds: float) -> int:
        """Remove up to ``n_tokens`` tokens that will accrue within a time.

        The level becomes negative, so that later requests queue behind these. Call it
        right after :meth:`take`.

        :returns: the number removed.
        """
        accruing = math.floor(self.level + self.rate * max_wait_seconds)
        reserved = max(0, min(n_tokens, accruing))
        self.level -= reserved
        return reserved

    def find_wait_seconds(self) -> float:
        """Return the seconds until the next token, 1 if the rate is 0."""
        if self.rate <= 0:
            return 1.0
        return max(0.0, (1.0 - self.level) / self.rate)


class TokenLender:
    """Answers requests for tokens. Outlets: ``peers``.

    :param instance: own name.
    :param tolerance: of the rate limits.
    """

    def __init__(
        self, instance: str, tolerance: RateTolerance = DEFAULT_TOLERANCE
    ) -> None:
        self._instance = instance
        self._tolerance = tolerance
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
        grant = TokenGrant(
            number=request.number,
            workspace=request.workspace,
            n_tokens=0,
            retry_after_seconds=1.0,
        )
        if plan is not None and self._instance in self._coordinators:
            bucket = self._find_bucket(plan, now)
            n_tokens = bucket.take(request.n_tokens, now)
            wait = bucket.find_wait_seconds()
            n_reserved = bucket.reserve(
                request.n_waiting - n_tokens, request.max_wait_seconds
            )
            grant = TokenGrant(
                number=request.number,
                workspace=request.workspace,
                n_tokens=n_tokens,
                retry_after_seconds=round(bucket.find_wait_seconds(), 3),
                n_reserved=n_reserved,
                reserved_wait_seconds=round(wait, 3) if n_reserved else 0.0,
                interval_seconds=round(1 / bucket.rate, 4) if n_reserved > 1 else 0.0,
            )
        return Emission("peers", PeerEnvelope(peer=peer, message=grant))

    def _find_bucket(self, plan: WorkspacePlan, now: float) -> TokenBucket:
        """Return the bucket of a workspace; make it on its first request."""
        bucket = self._buckets.get(plan.name)
        if bucket is None:
            limits = self._compute_limits(plan)
            level = min(limits.capacity, plan.burst * INITIAL_LEVEL_FRACTION)
            bucket = TokenBucket(limits.rate, limits.capacity, level, now)
            self._buckets[plan.name] = bucket
        return bucket

    def _compute_limits(self, plan: WorkspacePlan) -> LenderLimits:
        """Return the limits of a workspace's bucket at this lender."""
        ranked = rank_candidates(plan.name, self._coordinators)
        is_primary = not ranked or ranked[0] == self._instance
        return compute_lender_limits(plan, self._tolerance, is_primary=is_primary)

    def _update_buckets(self, now: float) -> None:
        for name, bucket in list(self._buckets.items()):
            plan = self._route_table.plans.get(name)
            if plan is None:
                del self._buckets[name]
                continue
            limits = self._compute_limits(plan)
            bucket.set_limits(limits.rate, limits.capacity, now)
