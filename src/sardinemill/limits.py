"""Settings and calculations of the rate limit that several filters share."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .configuration import Configuration, Plan
from .groups import rank_candidates

# Maximum relative drift of a clock from true time.
MAX_CLOCK_DRIFT = 0.01
LOAN_LIFETIME_SECONDS = 1.0
# Loans for waiting requests are spent on arrival, so a short lifetime suffices.
SHORT_LOAN_LIFETIME_SECONDS = 0.25
# An instance may hold a second seat as a spare.
MAX_SEATS_PER_INSTANCE = 2
# A higher share takes effect only after every instance has the new plan in force.
PLAN_CHANGE_DELAY_SECONDS = 4.0
# Candidates of a shard that are queried, and the number that is cached so that the
# departure of some instances needs no new ranking.
MIN_RANKED_CANDIDATES = 2
MAX_RANKED_CANDIDATES = 6


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Rate limit settings; they must be equal at all instances of a deployment.

    :param n_shards: number of shards of the token buckets; 16 by default, 256 for the
        target fleet size.
    :param n_seats: number of seats among which the static reserve is divided; at least
        the number of instances.
    :param reserve_fraction: fraction of rate and burst that seats hold. While the owner
        reaches the instances it lends their shares too, so a large fraction costs
        little in a healthy fleet and admits more requests without an owner. Above one
        half, the owner can lend too few tokens at once.
    """

    n_shards: int = 16
    n_seats: int = 32
    reserve_fraction: float = 0.5


@dataclass(frozen=True, slots=True)
class Share:
    """Share of a plan: rate and capacity of a token bucket."""

    rate_per_second: float
    burst: float

    def limit_to(self, other: "Share") -> "Share":
        """Return the minimum of both rates and of both capacities."""
        return Share(
            min(self.rate_per_second, other.rate_per_second),
            min(self.burst, other.burst),
        )


NO_SHARE = Share(0.0, 0.0)


def has_reserve(plan: Plan, settings: LimitSettings) -> bool:
    """Return whether a seat's share of the burst can admit a request.

    A share below one token admits none, so the owner then holds the whole plan.
    """
    return plan.burst * settings.reserve_fraction >= settings.n_seats


def compute_owner_share(plan: Plan, settings: LimitSettings) -> Share:
    """Return the share of a plan that the owner of the shard always holds."""
    fraction = 1.0
    if has_reserve(plan, settings):
        fraction -= settings.reserve_fraction
    return Share(plan.rate_per_second * fraction, plan.burst * fraction)


def compute_seat_share(plan: Plan, settings: LimitSettings) -> Share:
    """Return the share of a plan that each seat holds."""
    if not has_reserve(plan, settings):
        return NO_SHARE
    fraction = settings.reserve_fraction / settings.n_seats
    return Share(plan.rate_per_second * fraction, plan.burst * fraction)


class ShareSchedule:
    """Share in force: a decrease takes effect at once, an increase after a delay.

    While a change propagates, some instances still use the old plan. Using the minimum
    until all know the new one keeps the sum of all shares within the larger plan.

    :param share: initial share, in force at once.
    """

    def __init__(self, share: Share) -> None:
        self._current = share
        self._next = share
        self._next_at = float("-inf")

    def set(self, share: Share, now: float) -> None:
        """Schedule a new share."""
        if share == self._next:
            return
        self._current = self.get(now).limit_to(share)
        self._next = share
        self._next_at = now + PLAN_CHANGE_DELAY_SECONDS

    def get(self, now: float) -> Share:
        """Return the share in force."""
        if now >= self._next_at:
            self._current = self._next
        return self._current


def reduce_rate_for_drift(rate_per_second: float) -> float:
    """Return a local rate that stays within the true rate even if the clock is fast."""
    return rate_per_second / (1 + MAX_CLOCK_DRIFT)


def extend_wait_for_drift(seconds: float) -> float:
    """Return a local wait that lasts at least ``seconds`` on any other clock."""
    return seconds * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)


def shorten_wait_for_drift(seconds: float) -> float:
    """Return a local wait that lasts at most ``seconds`` on any other clock."""
    return seconds * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)


def find_shard(workspace: str, n_shards: int) -> int:
    """Return the shard that holds the token bucket of a workspace."""
    return xxhash.xxh64_intdigest(workspace.encode()) % n_shards


def find_plan(configuration: Configuration, workspace: str) -> Plan | None:
    """Return the plan of a workspace, or ``None`` when it was removed."""
    workspace_entry = configuration.workspaces.get(workspace)
    return (
        None
        if workspace_entry is None
        else configuration.plans.get(workspace_entry.plan)
    )


class ShardRanking:
    """Ranking of the live instances for each shard by rendezvous hashing.

    Caches the best candidates of each shard, so that a change of one instance costs a
    few hashes per shard; ranking 620 instances for 256 shards takes 0.1 s.
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
            if len(kept) < MIN_RANKED_CANDIDATES:
                del self._ranked[shard]
                continue
            # Instances that rank below the last cached one are not known, so the
            # merged ranking is valid only down to it.
            merged = rank_candidates(f"shard {shard}", [*kept, *added])
            n_known = merged.index(kept[-1]) + 1
            self._ranked[shard] = merged[: min(n_known, MAX_RANKED_CANDIDATES)]
        return True

    def has(self, name: str) -> bool:
        """Return whether an instance is a candidate."""
        return name in self._instances

    @property
    def instances(self) -> frozenset[str]:
        """All candidates."""
        return self._instances

    def rank(self, shard: int) -> list[str]:
        """Return the two best candidates of a shard, best first."""
        ranked = self._ranked.get(shard)
        if ranked is None:
            ranked = rank_candidates(f"shard {shard}", self._instances)
            self._ranked[shard] = ranked[:MAX_RANKED_CANDIDATES]
        return ranked[:MIN_RANKED_CANDIDATES]
