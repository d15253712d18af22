"""Compares the distributed rate limit of a fleet with one central token bucket.

Runs the real filters of 18 instances on simulated time, with 8 workspaces and peer
delays of 0.5 to 1.5 ms. ``python -m bench.limits --help`` lists the options. Prints a
table; ``--output`` appends JSON lines with seed and size.

The central bucket is called naive. A refusal is wrongful when the naive bucket, full at
the start, would have admitted the request. The share is the number of admitted requests
divided by that of the naive bucket.
"""

import argparse
import json
import random
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from sardinemill.configuration import Configuration, Plan, Workspace
from sardinemill.limits import LimitSettings, find_shard
from sardinemill.messages import Refusal

from .limits_fleet import Fleet, FleetSettings

N_INSTANCES = 18
WARM_UP_SECONDS = 25.0
# Rate limit of each workspace; a few are large.
RATES_PER_SECOND = (200.0, 200.0, 60.0, 60.0, 60.0, 20.0, 20.0, 20.0)
LOADS = (0.5, 0.9, 1.0, 3.0)
CONDITION_SECONDS = {
    "healthy": 30.0,
    "store down 60 s": 80.0,
    "owners killed": 40.0,
    "owners drained": 40.0,
}
BURST_FRACTION = 0.8
FAULT_DELAY_SECONDS = 5.0
FAILURE_DETECTION_SECONDS = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """Parameters of one run.

    :param entry: distribution of requests over instances: even, uneven or bursts.
    :param load: offered load relative to the rate limit.
    """

    condition: str
    entry: str
    load: float
    reserve_fraction: float
    burst_seconds: float
    random_state: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Counts of one run, after the warm-up."""

    cell: Cell
    n_instances: int
    n_workspaces: int
    n_requests: int
    n_admitted: int
    n_naive: int
    n_wrongful: int
    n_peer_messages: int
    n_store_calls: int

    @property
    def share(self) -> float:
        """Admitted requests relative to the naive bucket."""
        return self.n_admitted / self.n_naive

    @property
    def wrongful(self) -> float:
        """Wrongful refusals relative to the naive bucket's admissions."""
        return self.n_wrongful / self.n_naive

    @property
    def messages(self) -> float:
        """Peer messages for each admitted request."""
        return self.n_peer_messages / max(1, self.n_admitted)


class NaiveBucket:
    """Central token bucket that sees all requests in order."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst = rate, burst
        self._level, self._at = burst, now

    def admit(self, now: float) -> bool:
        """Take a token if there is one.

        :returns: whether the request is admitted.
        """
        refill = (now - self._at) * self._rate
        self._level = min(self._burst, self._level + refill)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class OutcomeCounter:
    """Counts outcomes of the requests after the warm-up.

    :ivar naive: ids of the requests that the naive bucket admits.
    """

    def __init__(self) -> None:
        self.naive: set[str] = set()
        self.n_admitted = 0
        self.n_wrongful = 0

    def __call__(self, now: float, request_id: str, refusal: Refusal | None) -> None:
        if refusal is None:
            self.n_admitted += 1
        elif request_id in self.naive:
            self.n_wrongful += 1


def make_configuration(burst_seconds: float) -> Configuration:
    """Return a configuration of eight workspaces, each with its own plan.

    :param burst_seconds: burst, in seconds of the plan's rate.
    """
    names = [f"workspace-{number}" for number in range(len(RATES_PER_SECOND))]
    return Configuration(
        version=1,
        plans={
            name: Plan(
                name=name,
                rate_per_second=rate_per_second,
                burst=rate_per_second * burst_seconds,
            )
            for name, rate_per_second in zip(names, RATES_PER_SECOND, strict=True)
        },
        workspaces={
            name: Workspace(name=name, plan=name, group="group") for name in names
        },
        keys={},
        groups={},
    )


def make_arrivals(
    random_source: random.Random,
    cell: Cell,
    rate_per_second: float,
    start: float,
    seconds: float,
) -> Iterator[tuple[float, int]]:
    """Yield times and entry instances of the requests of one workspace.

    Even and uneven entry have Poisson arrivals; uneven entry sends nine in ten to one
    instance. Bursts of 0.8 times the plan's burst come within 50 ms at one instance.
    """
    preferred_entry = random_source.randrange(N_INSTANCES)
    time = start
    while cell.entry == "bursts":
        time += BURST_FRACTION * cell.burst_seconds / cell.load
        if time >= start + seconds:
            return
        entry = random_source.randrange(N_INSTANCES)
        n_requests = int(rate_per_second * BURST_FRACTION * cell.burst_seconds)
        offsets = sorted(random_source.uniform(0, 0.05) for _ in range(n_requests))
        yield from ((time + offset, entry) for offset in offsets)
    while (
        time := time + random_source.expovariate(rate_per_second * cell.load)
    ) < start + seconds:
        is_uneven = cell.entry == "uneven" and random_source.random() < 0.9
        yield (
            time,
            preferred_entry if is_uneven else random_source.randrange(N_INSTANCES),
        )


def schedule_requests(
    fleet: Fleet, cell: Cell, outcome_counter: OutcomeCounter, seconds: float
) -> int:
    """Schedule the arrivals of all workspaces and run the naive buckets on them."""
    random_source = random.Random(cell.random_state)
    n_requests = 0
    for number, rate_per_second in enumerate(RATES_PER_SECOND):
        workspace = f"workspace-{number}"
        naive = NaiveBucket(
            rate_per_second, rate_per_second * cell.burst_seconds, fleet.now
        )
        for time, entry in make_arrivals(
            random_source, cell, rate_per_second, fleet.now, seconds
        ):
            n_requests += 1
            request_id = str(n_requests)
            if naive.admit(time):
                outcome_counter.naive.add(request_id)
            name = f"instance-{entry}"
            fleet.schedule(
                time,
                lambda name=name, request_id=request_id, workspace=workspace: (
                    fleet.submit(name, request_id, workspace)
                ),
            )
    return n_requests


def start_fault(fleet: Fleet, cell: Cell) -> None:
    """Start a store outage, or kill or drain the owners of two large workspaces."""
    if cell.condition.startswith("store"):
        fleet.is_store_down = True

        def recover() -> None:
            fleet.is_store_down = False

        fleet.schedule(fleet.now + 60.0, recover)
    elif cell.condition.startswith("owners"):
        n_shards = LimitSettings().n_shards
        for number in range(2):
            shard = find_shard(f"workspace-{number}", n_shards)
            owner = fleet.find_owner(shard)
            if owner not in fleet.nodes:
                continue
            if cell.condition == "owners drained":
                fleet.drain_node(owner)
                remove_from_membership(fleet, owner)
                continue
            fleet.kill_lending(owner)
            fleet.schedule(
                fleet.now + FAILURE_DETECTION_SECONDS,
                lambda owner=owner: remove_from_membership(fleet, owner),
            )


def remove_from_membership(fleet: Fleet, name: str) -> None:
    """Remove an instance from the membership and announce it."""
    fleet.not_live.add(name)
    fleet.announce_members()


def run_cell(cell: Cell) -> Result:
    """Run one combination of parameters."""
    outcome_counter = OutcomeCounter()
    fleet = Fleet(
        FleetSettings(
            n_instances=N_INSTANCES,
            random_state=cell.random_state,
            limits=LimitSettings(reserve_fraction=cell.reserve_fraction),
        ),
        make_configuration(cell.burst_seconds),
        outcome_counter,
    )
    fleet.run_until(WARM_UP_SECONDS)
    fleet.n_peer_messages = fleet.n_store_calls = 0
    seconds = CONDITION_SECONDS[cell.condition]
    n_requests = schedule_requests(fleet, cell, outcome_counter, seconds)
    fleet.schedule(fleet.now + FAULT_DELAY_SECONDS, lambda: start_fault(fleet, cell))
    fleet.run_until(fleet.now + seconds + 1.0)
    return Result(
        cell=cell,
        n_instances=N_INSTANCES,
        n_workspaces=len(RATES_PER_SECOND),
        n_requests=n_requests,
        n_admitted=outcome_counter.n_admitted,
        n_naive=len(outcome_counter.naive),
        n_wrongful=outcome_counter.n_wrongful,
        n_peer_messages=fleet.n_peer_messages,
        n_store_calls=fleet.n_store_calls,
    )


def format_table(results: list[Result]) -> str:
    """Format the results as a Markdown table."""
    lines = [
        "| condition | entry | load | requests | wrongful refusals | admitted / naive "
        "| peer messages / admitted | store calls |",
        "|---|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {item.cell.condition} | {item.cell.entry} | {item.cell.load} "
        f"| {item.n_requests} | {item.wrongful:.2%} | {item.share:.3f} "
        f"| {item.messages:.2f} | {item.n_store_calls} |"
        for item in results
    ]
    return "\n".join(lines)


def main() -> None:
    """Run all combinations of parameters and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--reserve", type=float, default=LimitSettings().reserve_fraction
    )
    parser.add_argument("--burst-seconds", type=float, default=1.0)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--condition", choices=list(CONDITION_SECONDS), action="append")
    parser.add_argument("--output", help="file to which JSON lines are appended")
    options = parser.parse_args()
    cells = [
        Cell(
            condition=condition,
            entry=entry,
            load=load,
            reserve_fraction=options.reserve,
            burst_seconds=options.burst_seconds,
            random_state=options.seed,
        )
        for condition in options.condition or CONDITION_SECONDS
        for entry in ("even", "uneven", "bursts")
        for load in LOADS
    ]
    with ProcessPoolExecutor(max_workers=options.processes) as pool:
        results = list(pool.map(run_cell, cells))
    print(format_table(results))
    if options.output:
        with open(options.output, "a", encoding="utf-8") as file:
            file.writelines(json.dumps(asdict(item)) + "\n" for item in results)


if __name__ == "__main__":
    main()
