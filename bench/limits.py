"""Experiment: rate limit of a fleet against one naive token bucket.

Runs the real filters of 18 instances on simulated time, with 8 workspaces and peer
delays of 0.5 to 1.5 ms. ``python -m bench.limits --help`` lists the options. Prints a
table; ``--output`` appends JSON lines with seed and size.

A refusal is wrongful when the naive bucket, full at the start, would have admitted the
request. The share is the number admitted divided by the naive bucket's.
"""

import argparse
import json
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from sardinemill.configuration import Configuration, Plan, Workspace
from sardinemill.limits import LimitSettings, find_shard
from sardinemill.messages import Refusal

from .limits_fleet import Fleet, FleetSettings

N_INSTANCES = 18
WARM_UP_SECONDS = 25.0
# Rate and burst of each workspace: a few are large.
SIZES = (200.0, 200.0, 60.0, 60.0, 60.0, 20.0, 20.0, 20.0)
LOADS = (0.5, 0.9, 1.0, 3.0)
CONDITIONS = {
    "healthy": 30.0,
    "store down 60 s": 80.0,
    "owners killed": 40.0,
    "owners drained": 40.0,
}
FAULT_AFTER_SECONDS = 5.0
MEMBER_LOST_SECONDS = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """One run of the experiment."""

    condition: str
    entry: str
    load: float
    reserve_fraction: float
    random_state: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Figures of one run, over the time after the warm-up."""

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
    """Token bucket that sees all requests in order."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate, self._level, self._at = rate, rate, now

    def admit(self, now: float) -> bool:
        """Spend a token if there is one."""
        refill = (now - self._at) * self._rate
        self._level = min(self._rate, self._level + refill)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Tally:
    """Counts outcomes of the requests after the warm-up."""

    def __init__(self) -> None:
        self.naive: set[str] = set()
        self.n_admitted = 0
        self.n_wrongful = 0

    def __call__(self, now: float, request_id: str, refusal: Refusal | None) -> None:
        if refusal is None:
            self.n_admitted += 1
        elif request_id in self.naive:
            self.n_wrongful += 1


def make_configuration() -> Configuration:
    """Eight workspaces, each with its own plan."""
    names = [f"workspace-{number}" for number in range(len(SIZES))]
    return Configuration(
        version=1,
        plans={
            name: Plan(name=name, rate_per_second=size, burst=size)
            for name, size in zip(names, SIZES, strict=True)
        },
        workspaces={
            name: Workspace(name=name, plan=name, group="group") for name in names
        },
        keys={},
        groups={},
    )


def schedule_requests(fleet: Fleet, cell: Cell, tally: Tally, seconds: float) -> int:
    """Schedule Poisson arrivals; uneven entry sends nine in ten to one instance."""
    source = random.Random(cell.random_state)
    n_requests = 0
    for number, size in enumerate(SIZES):
        workspace = f"workspace-{number}"
        favourite = source.randrange(N_INSTANCES)
        naive = NaiveBucket(size, fleet.now)
        time = fleet.now
        while (time := time + source.expovariate(size * cell.load)) < (
            fleet.now + seconds
        ):
            entry = source.randrange(N_INSTANCES)
            if cell.entry == "uneven" and source.random() < 0.9:
                entry = favourite
            n_requests += 1
            request_id = str(n_requests)
            if naive.admit(time):
                tally.naive.add(request_id)
            name = f"instance-{entry}"
            fleet.schedule(
                time,
                lambda name=name, request_id=request_id, workspace=workspace: (
                    fleet.submit(name, request_id, workspace)
                ),
            )
    return n_requests


def start_fault(fleet: Fleet, cell: Cell) -> None:
    """Take the store down, or kill or drain the owners of two large workspaces."""
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
                announce_loss(fleet, owner)
                continue
            fleet.kill_lending(owner)
            fleet.schedule(
                fleet.now + MEMBER_LOST_SECONDS,
                lambda owner=owner: announce_loss(fleet, owner),
            )


def announce_loss(fleet: Fleet, name: str) -> None:
    """Take an instance out of the membership."""
    fleet.not_live.add(name)
    fleet.announce_members()


def run_cell(cell: Cell) -> Result:
    """Run one cell of the experiment."""
    tally = Tally()
    fleet = Fleet(
        FleetSettings(
            n_instances=N_INSTANCES,
            random_state=cell.random_state,
            limits=LimitSettings(reserve_fraction=cell.reserve_fraction),
        ),
        make_configuration(),
        tally,
    )
    fleet.run_until(WARM_UP_SECONDS)
    fleet.n_peer_messages = fleet.n_store_calls = 0
    seconds = CONDITIONS[cell.condition]
    n_requests = schedule_requests(fleet, cell, tally, seconds)
    fleet.schedule(fleet.now + FAULT_AFTER_SECONDS, lambda: start_fault(fleet, cell))
    fleet.run_until(fleet.now + seconds + 1.0)
    return Result(
        cell=cell,
        n_instances=N_INSTANCES,
        n_workspaces=len(SIZES),
        n_requests=n_requests,
        n_admitted=tally.n_admitted,
        n_naive=len(tally.naive),
        n_wrongful=tally.n_wrongful,
        n_peer_messages=fleet.n_peer_messages,
        n_store_calls=fleet.n_store_calls,
    )


def format_table(results: list[Result]) -> str:
    """Return the results as a Markdown table."""
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
    """Run all cells and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reserve", type=float, default=0.2)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--condition", choices=list(CONDITIONS), action="append")
    parser.add_argument("--output", help="file to which JSON lines are appended")
    options = parser.parse_args()
    cells = [
        Cell(
            condition=condition,
            entry=entry,
            load=load,
            reserve_fraction=options.reserve,
            random_state=options.seed,
        )
        for condition in options.condition or CONDITIONS
        for entry in ("even", "uneven")
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
