"""Benchmark of two reference deployments in processes.

Measures failover gaps, reads at replicas, the worst-served workspace and wrongful
refusals, under a steady load and with one workspace above its rate.

``python -m bench.measures [kaptal|associazione] ...`` prints a table and appends JSON
lines to ``bench/results/measures.jsonl``.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path

from sardinemill.adapters.clocks import SystemClock
from sardinemill.configuration import Plan
from sardinemill.emulator.load import (
    LoadGenerator,
    LoadPlan,
    LoadReport,
    Sample,
    WorkspaceLoad,
    make_histogram,
)

from .deployment import Deployment, DeploymentSize, make_workspaces
from .failovers import measure_failovers
from .results import print_table, write_results

RANDOM_STATE = 20261204
LOAD_SECONDS = 15.0
WARM_UP_SECONDS = 12.0
# Rate limits of the workspaces in requests a second; a few are large.
PLAN_RATES = (40.0, 32.0, 24.0, 6.0, 6.0, 6.0, 6.0, 6.0)
LOAD_FRACTION = 0.8
SURGE_FACTOR = 5.0
# Small workspace that exceeds its rate; a large one is in the same group.
SURGING_WORKSPACE = 3

DATA_CENTRES: Mapping[str, tuple[str, ...]] = {
    "kaptal": ("almaty-1", "almaty-2", "almaty-3", "almaty-4"),
    "associazione": ("milano", "bergamo", "brescia"),
}
N_INSTANCES: Mapping[str, int] = {"kaptal": 16, "associazione": 18}
N_CONNECTIONS: Mapping[str, int] = {"kaptal": 50, "associazione": 80}
ONE_WAY_DELAY_SECONDS: Mapping[str, float] = {"kaptal": 0.0015, "associazione": 0.0005}


def make_size(deployment: str) -> DeploymentSize:
    """Return the current size of a deployment."""
    rates = [(f"w{number}", rate) for number, rate in enumerate(PLAN_RATES)]
    plans, workspaces = make_workspaces(rates, 3)
    return DeploymentSize(
        data_centres=DATA_CENTRES[deployment],
        n_instances=N_INSTANCES[deployment],
        n_groups=3,
        n_connections=N_CONNECTIONS[deployment],
        plans=plans,
        workspaces=workspaces,
        delay_seconds=ONE_WAY_DELAY_SECONDS[deployment],
    )


def make_plan(deployment: Deployment, *, is_surge: bool) -> LoadPlan:
    """Return a load within all rates; in a surge, one workspace exceeds its rate."""
    loads = [
        WorkspaceLoad(
            workspace=item.name,
            key=deployment.keys[item.name],
            rate_per_second=rate * LOAD_FRACTION,
            n_sessions=8,
        )
        for item, rate in zip(deployment.size.workspaces, PLAN_RATES, strict=True)
    ]
    if is_surge:
        rate = PLAN_RATES[SURGING_WORKSPACE] * SURGE_FACTOR
        loads[SURGING_WORKSPACE] = replace(
            loads[SURGING_WORKSPACE], rate_per_second=rate, n_sessions=int(rate)
        )
    return LoadPlan(
        workspaces=tuple(loads),
        urls=tuple(deployment.front_url(name) for name in deployment.instances),
        duration_seconds=LOAD_SECONDS,
        random_state=RANDOM_STATE,
        name="surge" if is_surge else "steady",
    )


def count_naive_admissions(samples: Sequence[Sample], plan: Plan) -> int:
    """Count the requests that one central token bucket would have admitted."""
    level, updated_at, n_admitted = plan.burst, None, 0
    for arrived_at in sorted(sample.started_at for sample in samples):
        if updated_at is not None:
            level += (arrived_at - updated_at) * plan.rate_per_second
        level, updated_at = min(level, plan.burst), arrived_at
        if level >= 1.0:
            level -= 1.0
            n_admitted += 1
    return n_admitted


def summarise(name: str, deployment: Deployment, report: LoadReport) -> dict:
    """Return a row: replica reads, worst-served workspace, wrongful refusals."""
    answered = [sample for sample in report.samples if not sample.error]
    reads = [sample for sample in answered if sample.is_read]
    n_wrongful = 0
    shares, tails_ms = {}, {}
    for number, workspace in enumerate(deployment.size.workspaces):
        own_samples = [s for s in report.samples if s.workspace == workspace.name]
        plan = deployment.size.plans[number]
        n_allowed = count_naive_admissions(own_samples, plan)
        n_limited = sum(sample.error == "rate limited" for sample in own_samples)
        n_wrongful += max(0, n_limited - (len(own_samples) - n_allowed))
        n_served = sum(not sample.error for sample in own_samples)
        shares[workspace.name] = n_served / max(1, n_allowed)
        histogram = make_histogram(own_samples)
        tails_ms[workspace.name] = histogram.get_value_at_percentile(99) / 1000
    worst = min(shares, key=lambda item: shares[item])
    slowest = max(tails_ms, key=lambda item: tails_ms[item])
    histogram = make_histogram(report.samples)
    return {
        "scenario": name,
        "requests": len(report.samples),
        "replica_reads": sum(s.from_replica for s in reads) / max(1, len(reads)),
        "worst_served": worst,
        "served_share": shares[worst],
        "slowest": slowest,
        "slowest_p99_ms": tails_ms[slowest],
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "wrongful_refusals": n_wrongful,
        "errors": sum(bool(s.error) and s.error != "rate limited" for s in reads),
        "violations": len(report.violations),
    }


def run_load(deployment: Deployment, *, is_surge: bool) -> LoadReport:
    """Run the load of a scenario."""
    plan = make_plan(deployment, is_surge=is_surge)
    return asyncio.run(LoadGenerator(plan, SystemClock()).run())


def measure(name: str) -> list[dict]:
    """Measure one deployment and return its rows."""
    with (
        tempfile.TemporaryDirectory() as logs,
        Deployment(make_size(name), Path(logs)) as deployment,
    ):
        asyncio.run(deployment.put_configuration())
        deployment.start_instances()
        time.sleep(WARM_UP_SECONDS)
        rows = []
        for scenario, is_surge in (("steady", False), ("surge", True)):
            report = run_load(deployment, is_surge=is_surge)
            rows.append(summarise(scenario, deployment, report))
            for violation in report.violations[:5]:
                print(violation)
        gaps = asyncio.run(measure_failovers(deployment))
    common_columns = {
        "deployment": name,
        "seed": RANDOM_STATE,
        "instances": N_INSTANCES[name],
        "databases": 9,
    }
    sorted_gaps = sorted(item.gap_seconds for item in gaps)
    print(
        f"{name}: failover gap median {statistics.median(sorted_gaps):.3f} s, ",
        end="",
    )
    print(f"worst {sorted_gaps[-1]:.3f} s")
    print_table([item.make_row() for item in gaps])
    print_table(rows)
    return [{**common_columns, **row} for row in rows] + [
        {**common_columns, "scenario": "failover", **item.make_row()} for item in gaps
    ]


def run_measures(names: Sequence[str]) -> None:
    """Measure the named deployments, by default both."""
    rows: list[Mapping[str, object]] = []
    for name in names or list(DATA_CENTRES):
        rows += measure(name)
    print(f"written to {write_results('measures', rows).name}")


if __name__ == "__main__":
    run_measures(sys.argv[1:])
