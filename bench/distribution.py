"""Cost of the distribution of configurations: ``python -m bench.distribution``.

Runs the real filters on a simulated clock and counts store calls, peer messages and
their encoded bytes: idle, after a change, in a store outage and the minute after it.
Times are those of the simulated clock; links take 1.5 ms, the store 3 ms.
"""

import json
import statistics
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import defopt

from sardinemill.changes import IssueKey, PutPlan, ReplaceLists
from sardinemill.configuration import Configuration, Key, Plan, Workspace, hash_key
from sardinemill.groups import Address, DatabaseDescription, GroupDescription

from .fleet import Fleet

DATA_CENTRES = ("dc-1", "dc-2", "dc-3", "dc-4", "dc-5")
IDLE_SECONDS = 30.0
OUTAGE_SECONDS = 60.0
N_CHANGES = 20
CHANGE_TIMEOUT_SECONDS = 20.0
RESULTS_PATH = Path("bench/results/distribution.jsonl")


@dataclass(frozen=True, slots=True, kw_only=True)
class PhaseCost:
    """Load in one phase.

    :param peak_store_calls: highest number of store calls in one second.
    :param messages_per_second: sent peer messages, mean of all instances.
    :param kilobytes_per_second: sent and received, mean of all instances.
    :param busiest_kilobytes_per_second: of the instance with the most traffic.
    """

    n_instances: int
    n_keys: int
    phase: str
    store_calls_per_second: float
    peak_store_calls: int
    messages_per_second: float
    kilobytes_per_second: float
    busiest_kilobytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeTimes:
    """Seconds until a change is in force at every instance."""

    n_instances: int
    n_keys: int
    median_seconds: float
    worst_seconds: float


def make_lists(n_keys: int) -> ReplaceLists:
    """Make one workspace for every four keys, and a group in all data centres."""
    databases = tuple(
        DatabaseDescription(
            name=f"database-{slot}",
            group="group",
            slot=slot,
            data_centre=data_centre,
            address=Address("127.0.0.1", 1),
            n_connections=50,
        )
        for slot, data_centre in enumerate(DATA_CENTRES)
    )
    return ReplaceLists(
        plans={"small": Plan(name="small", rate_per_second=5, burst=10)},
        workspaces={
            f"workspace-{number}": Workspace(
                name=f"workspace-{number}", plan="small", group="group"
            )
            for number in range(max(1, n_keys // 4))
        },
        groups={
            "group": GroupDescription(name="group", n_slots=5, databases=databases)
        },
    )


@dataclass(frozen=True, slots=True)
class AddKeys:
    """Edit that sets many API keys at once."""

    n_keys: int
    summary: str = "fill"

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the configuration with ``n_keys`` keys."""
        workspaces = sorted(configuration.workspaces)
        keys = {
            f"key-{number}": Key(
                key_id=f"key-{number}",
                workspace=workspaces[number % len(workspaces)],
                digest=hash_key(str(number)),
            )
            for number in range(self.n_keys)
        }
        return replace(configuration, keys=keys)


def measure_phase(
    fleet: Fleet, phase: str, n_keys: int, seconds: float, outage: bool = False
) -> PhaseCost:
    """Measure the load of the next seconds.

    :param outage: whether the store is unreachable from all data centres meanwhile.
    """
    counts_before = Counter(fleet.counts)
    traffic_before = Counter(fleet.traffic)
    peak_store_calls = 0
    if outage:
        fleet.cut_from_store.update(DATA_CENTRES)
    for _ in range(int(seconds)):
        calls = fleet.counts["store calls"]
        fleet.run_for(1.0)
        peak_store_calls = max(peak_store_calls, fleet.counts["store calls"] - calls)
    fleet.heal()
    phase_counts = Counter(fleet.counts) - counts_before
    phase_traffic = Counter(fleet.traffic) - traffic_before
    n_instances = len(fleet.members)
    return PhaseCost(
        n_instances=n_instances,
        n_keys=n_keys,
        phase=phase,
        store_calls_per_second=phase_counts["store calls"] / seconds,
        peak_store_calls=peak_store_calls,
        messages_per_second=phase_counts["peer messages"] / seconds / n_instances,
        kilobytes_per_second=sum(phase_traffic.values()) / seconds / n_instances / 1000,
        busiest_kilobytes_per_second=max(phase_traffic.values(), default=0)
        / seconds
        / 1000,
    )


def measure_changes(fleet: Fleet, n_keys: int) -> ChangeTimes:
    """Time changes, each at a different phase of the polling interval."""
    times = []
    for number in range(N_CHANGES):
        fleet.run_for(1.37)
        plan = Plan(name="small", rate_per_second=5 + number, burst=10)
        fleet.publish(PutPlan(plan, is_new=False))
        version = fleet.snapshot.head.version
        times.append(
            fleet.run_until(
                lambda version=version: all(  # type: ignore[misc]
                    member.version == version for member in fleet.members.values()
                ),
                CHANGE_TIMEOUT_SECONDS,
            )
        )
    return ChangeTimes(
        n_instances=len(fleet.members),
        n_keys=n_keys,
        median_seconds=statistics.median(times),
        worst_seconds=max(times),
    )


def measure_size(n_instances: int, n_keys: int) -> list[PhaseCost | ChangeTimes]:
    """Measure one size of the fleet."""
    fleet = Fleet(n_instances=n_instances, data_centres=DATA_CENTRES, random_state=7)
    fleet.publish(make_lists(n_keys))
    fleet.publish(AddKeys(n_keys))
    fleet.set_members()
    fleet.run_for(10.0)
    results: list[PhaseCost | ChangeTimes] = []
    results.append(measure_phase(fleet, "quiet", n_keys, IDLE_SECONDS))
    fleet.publish(
        IssueKey(Key(key_id="new", workspace="workspace-0", digest=hash_key("new")))
    )
    results.append(measure_phase(fleet, "one change in 5 s", n_keys, 5.0))
    results.append(
        measure_phase(fleet, "store outage", n_keys, OUTAGE_SECONDS, outage=True)
    )
    results.append(measure_phase(fleet, "minute after", n_keys, 60.0))
    results.append(measure_changes(fleet, n_keys))
    return results


def run(
    *, sizes: Sequence[int] = (19, 60, 200, 620), n_keys: Sequence[int] = (32,)
) -> None:
    """Measure the distribution of configurations.

    :param sizes: numbers of instances, in 5 data centres
    :param n_keys: numbers of keys in the configuration
    """
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    print(
        f"{'instances':>9} {'keys':>6} {'phase':<18} {'store/s':>8} {'peak':>5} "
        f"{'messages/s':>10} {'KB/s':>6} {'busiest KB/s':>12}"
    )
    with RESULTS_PATH.open("w") as file:
        for count in n_keys:
            for n_instances in sizes:
                begin = time.perf_counter()
                for result in measure_size(n_instances, count):
                    print(format_row(result))
                    print(json.dumps(asdict(result)), file=file)
                seconds = time.perf_counter() - begin
                print(f"(took {seconds:.1f} s)", file=sys.stderr)


def format_row(result: PhaseCost | ChangeTimes) -> str:
    """Format a result as a row of the table."""
    if isinstance(result, ChangeTimes):
        return (
            f"{result.n_instances:>9} {result.n_keys:>6} in force everywhere: median "
            f"{result.median_seconds:.2f} s, worst {result.worst_seconds:.2f} s "
            f"of {N_CHANGES}"
        )
    return (
        f"{result.n_instances:>9} {result.n_keys:>6} {result.phase:<18} "
        f"{result.store_calls_per_second:>8.1f} {result.peak_store_calls:>5} "
        f"{result.messages_per_second:>10.2f} {result.kilobytes_per_second:>6.2f} "
        f"{result.busiest_kilobytes_per_second:>12.2f}"
    )


if __name__ == "__main__":
    defopt.run(run)
