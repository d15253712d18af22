"""Division of a workspace's limit among lenders and instances without a lender.

The platform tolerates some operations beyond a plan in each window. The *allowance* is
all that may run in a window beyond the plan's rate: the burst and the tolerance. It is
divided so that all parts of a partitioned fleet together stay within the tolerance.
"""

from dataclasses import dataclass

from ..sessions.routes import WorkspacePlan

# The primary lender's bucket holds the whole burst if that takes no more than this part
# of the allowance, and otherwise this part, but at least half of the burst.
PRIMARY_ALLOWANCE_FRACTION = 0.25
MIN_BURST_FRACTION = 0.5
# Parts of the allowance that remains: for each of two secondary lenders, for the steady
# rate of all instances without a lender, and for their first operations.
SECONDARY_ALLOWANCE_FRACTION = 0.3
FALLBACK_RATE_ALLOWANCE_FRACTION = 0.15
FALLBACK_START_ALLOWANCE_FRACTION = 0.1
# Part of a secondary lender's allowance that is its burst.
SECONDARY_BURST_FRACTION = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class RateTolerance:
    """How far the operations of a workspace may exceed its plan.

    In each window at most ``(1 + fraction) * (rate * window + burst) + n_operations``
    operations may run.

    :param fraction: of the operations that the plan allows in a window.
    :param n_operations: that are allowed besides.
    """

    window_seconds: float = 5.0
    fraction: float = 0.1
    n_operations: float = 20.0


DEFAULT_TOLERANCE = RateTolerance()


@dataclass(frozen=True, slots=True)
class LenderLimits:
    """Limits of a lender's token bucket for one workspace.

    :param rate: tokens per second.
    :param capacity: maximum number of tokens.
    """

    rate: float
    capacity: float


@dataclass(frozen=True, slots=True)
class FallbackLimits:
    """What all instances without a lender may admit together for one workspace.

    :param rate: operations per second.
    :param n_first: operations that need no earlier token.
    """

    rate: float
    n_first: float


def compute_lender_limits(
    plan: WorkspacePlan, tolerance: RateTolerance, *, is_primary: bool
) -> LenderLimits:
    """Return the limits of the primary lender or of a secondary one."""
    capacity, remaining = _divide_allowance(plan, tolerance)
    if is_primary:
        return LenderLimits(plan.operations_per_second, max(1.0, capacity))
    n_secondary = SECONDARY_ALLOWANCE_FRACTION * remaining
    n_burst = SECONDARY_BURST_FRACTION * n_secondary
    rate = (n_secondary - n_burst) / tolerance.window_seconds
    return LenderLimits(
        min(plan.operations_per_second, rate), max(1.0, min(n_burst, plan.burst))
    )


def compute_fallback_limits(
    plan: WorkspacePlan, tolerance: RateTolerance
) -> FallbackLimits:
    """Return what instances without a lender may admit beside the lenders."""
    _, remaining = _divide_allowance(plan, tolerance)
    rate = FALLBACK_RATE_ALLOWANCE_FRACTION * remaining / tolerance.window_seconds
    return FallbackLimits(
        min(plan.operations_per_second, rate),
        FALLBACK_START_ALLOWANCE_FRACTION * remaining,
    )


def _divide_allowance(
    plan: WorkspacePlan, tolerance: RateTolerance
) -> tuple[float, float]:
    """Return the primary lender's burst and the allowance that remains."""
    n_in_window = plan.operations_per_second * tolerance.window_seconds
    allowance = (
        (1 + tolerance.fraction) * (n_in_window + plan.burst)
        + tolerance.n_operations
        - n_in_window
    )
    capacity = min(
        plan.burst,
        max(MIN_BURST_FRACTION * plan.burst, PRIMARY_ALLOWANCE_FRACTION * allowance),
    )
    return capacity, allowance - capacity
