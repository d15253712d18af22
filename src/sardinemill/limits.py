"""Quantities of the rate limit that borrowers, lenders and lease holders share."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .configuration import Configuration, Plan
from .groups import rank_candidates

# Each clock runs within this fraction of true time.
CLOCK_DRIFT = 0.01
LOAN_LIFETIME_SECONDS = 1.0
# Loans for waiting requests are spent on arrival, so they may end early.
SHORT_LIFETIME_SECONDS = 0.25
# Seats that one instance may hold: its own and a spare one.
MAX_SEATS_PER_INSTANCE = 2
# Growth of a share waits until every instance has the new plan in force.
PLAN_DELAY_SECONDS = 4.0
# Candidates of a shard that are asked, and that are kept to cover instances that go.
N_RANKED_AT_LEAST = 2
N_RANKED = 6


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Sizes that all instances of a deployment must share.

    :param n_shards: ledgers' shards; 16 today, 256 at the target size.
    :param n_seats: places that a static reserve is divided by; at least the number of
        instances.
    :param reserve_fraction: part of rate and burst that seats hold. While the owner
        reaches the instances it lends their parts too, so a large fraction costs
        little in a healthy fleet and serves more without an owner. Above a half, too
        few tokens may be lent at once.
    """

    n_shards: int = 16
    n_seats: int = 32
    reserve_fraction: float = 0.5


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a plan: a token bucket's rate and capacity."""

    rate_per_second: float
    burst: float

    def shrink_to(self, other: "Share") -> "Share":
        """Return the lower of both rates and of both capacities."""
        return Share(
            min(self.rate_per_second, other.rate_per_second),
            min(self.burst, other.burst),
        )


NO_SHARE = Share(0.0, 0.0)


def has_reserve(plan: Plan, settings: LimitSettings) -> bool:
    """Tell whether a seat's share of the burst can admit a request.

    A share below one token never does, so such plans leave all to the owner.
    """
    return plan.burst * settings.reserve_fraction >= settings.n_seats


def compute_owner_share(plan: Plan, settings: LimitSettings) -> Share:
    """Part of the plan that the owner of the shard always holds."""
    fraction = 1.0
    if has_reserve(plan, settings):
        fraction -= settings.reserve_fraction
    return Share(plan.rate_per_second * fraction, plan.burst * fraction)


def compute_seat_share(plan: Plan, settings: LimitSettings) -> Share:
    """Part of the plan that each seat holds."""
    if not has_reserve(plan, settings):
        return NO_SHARE
    fraction = settings.reserve_fraction / settings.n_seats
    return Share(plan.rate_per_second * fraction, plan.burst * fraction)


class ShareSchedule:
    """Share in force: a lower one at once, a higher one after a delay.

    While a change spreads, some instances still use the old plan. Taking the minimum
    until all know the new one keeps the sum of all shares below the larger plan.

    :param share: first share, in force at once.
    """

    def __init__(self, share: Share) -> None:
        self._current = share
        self._next = share
        self._next_at = float("-inf")

    def set(self, share: Share, now: float) -> None:
        """Change the share."""
        if share == self._next:
            return
        self._current = self.get(now).shrink_to(share)
        self._next = share
        self._next_at = now + PLAN_DELAY_SECONDS

    def get(self, now: float) -> Share:
        """Return the share in force."""
        if now >= self._next_at:
            self._current = self._next
        return self._current


def reduce_rate_for_drift(rate_per_second: float) -> float:
    """Rate on the local clock that stays below the true rate if the clock is fast."""
    return rate_per_second / (1 + CLOCK_DRIFT)


def extend_wait_for_drift(seconds: float) -> float:
    """Local wait that covers ``seconds`` on any other clock."""
    return seconds * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)


def shorten_wait_for_drift(seconds: float) -> float:
    """Local wait that ends before ``seconds`` on any other clock do."""
    return seconds * (1 - CLOCK_DRIFT) / (1 + CLOCK_DRIFT)


def find_shard(workspace: str, n_shards: int) -> int:
    """Return the shard that holds the ledger of a workspace."""
    return xxhash.xxh64_intdigest(workspace.encode()) % n_shards


def find_plan(configuration: Configuration, workspace: str) -> Plan | None:
    """Return the plan of a workspace, or ``None`` when it was removed."""
    entry = configuration.workspaces.get(workspace)
    return None if entry is None else configuration.plans.get(entry.plan)


class ShardRanking:
    """Live instances ranked for each shard by rendezvous hash.

    Each shard keeps its first few candidates. A change of one instance then costs a few
    hashes for each shard; ranking 620 instances for 256 shards takes 0.1 s.
    """

    def __init__(self) -> None:
        self._instances: frozenset[str] = frozenset()
        self._ranked: dict[int, list[str]] = {}

    def set_instances(self, names: Iterable[str]) -> bool:
        """Replace the candidates.

        :returns: whether they changed.
        """
        instances = frozenset(names)
        added = instances - self._instances
        if instances == self._instances:
            return False
        self._instances = instances
        for shard, ranked in list(self._ranked.items()):
            kept = [name for name in ranked if name in instances]
            if len(kept) < N_RANKED_AT_LEAST:
                del self._ranked[shard]
                continue
            # What ranks below the last one kept is not known, so no more are kept.
            merged = rank_candidates(f"shard {shard}", [*kept, *added])
            n_known = merged.index(kept[-1]) + 1
            self._ranked[shard] = merged[: min(n_known, N_RANKED)]
        return True

    def has(self, name: str) -> bool:
        """Tell whether an instance is a candidate."""
        return name in self._instances

    @property
    def instances(self) -> frozenset[str]:
        """All candidates."""
        return self._instances

    def rank(self, shard: int) -> list[str]:
        """Return the first two candidates of a shard, best first."""
        ranked = self._ranked.get(shard)
        if ranked is None:
            ranked = rank_candidates(f"shard {shard}", self._instances)
            self._ranked[shard] = ranked[:N_RANKED]
        return ranked[:N_RANKED_AT_LEAST]
