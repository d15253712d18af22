"""Fault injection under load; each run checks the guarantees against the answers.

``python -m bench.faults [scenario ...]`` exits with 1 when a guarantee was violated.
"""

import asyncio
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

from sardinemill.adapters.clocks import SystemClock
from sardinemill.emulator.load import (
    LoadGenerator,
    LoadPlan,
    LoadReport,
    WorkspaceLoad,
    make_histogram,
)

from .deployment import Deployment, DeploymentSize, make_workspaces, send_json
from .results import print_table, write_results

RANDOM_STATE = 7
DATA_CENTRES = ("milano", "bergamo", "brescia")
N_INSTANCES = 6
WARM_UP_SECONDS = 8.0
LOAD_SECONDS = 20.0
FAULT_AT_SECONDS = 4.0
FAULT_SECONDS = 8.0
RATE_PER_SECOND = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Fault during a load.

    :param inject: injects the fault and ends it, concurrently with the load.
    :param uses_idempotency_keys: whether writes carry idempotency keys, so
        that callers can repeat writes of unknown outcome.
    """

    inject: Callable[[Deployment], None]
    uses_idempotency_keys: bool = False


def _do_nothing(deployment: Deployment) -> None:
    """Inject no fault."""


def _kill_instance(deployment: Deployment) -> None:
    name = "instance-1"
    deployment.instances[name].kill()
    deployment.put_instance_entry(name, DATA_CENTRES[1], "leaving")


def _pause_instance(deployment: Deployment) -> None:
    process = deployment.instances["instance-2"]
    process.send_signal(signal.SIGSTOP)
    time.sleep(FAULT_SECONDS)
    process.send_signal(signal.SIGCONT)


def _restart_half(deployment: Deployment) -> None:
    for number in range(0, N_INSTANCES, 2):
        name = f"instance-{number}"
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        deployment.put_instance_entry(name, data_centre, "leaving")
        deployment.instances[name].stop()
        deployment.start_instance(name, data_centre)
        deployment.wait_until_instance_ready(name)


def _kill_primary(deployment: Deployment) -> None:
    deployment.databases["group-0-0"].kill()


def _set_primary_faults(deployment: Deployment, **faults: object) -> None:
    deployment.set_database_faults("group-0-0", faults)


def _freeze_primary(deployment: Deployment) -> None:
    _set_primary_faults(deployment, is_frozen=True)
    time.sleep(FAULT_SECONDS)
    _set_primary_faults(deployment, is_frozen=False)


def _cut_primary_from_replicas(deployment: Deployment) -> None:
    others = ["group-0-1", "group-0-2"]
    _set_primary_faults(deployment, cut_peers=others)
    time.sleep(FAULT_SECONDS)
    _set_primary_faults(deployment, cut_peers=[])


def _lose_answers(deployment: Deployment) -> None:
    for _ in range(4):
        _set_primary_faults(deployment, n_lost_answers=3)
        time.sleep(FAULT_SECONDS / 4)


def _cross_answers(deployment: Deployment) -> None:
    for _ in range(4):
        for name in deployment.databases:
            deployment.set_database_faults(name, {"n_crossed_pairs": 2})
        time.sleep(FAULT_SECONDS / 4)


def _silence_connections(deployment: Deployment) -> None:
    for name in deployment.databases:
        deployment.set_database_faults(name, {"is_silencing": True})


def _lag_replicas(deployment: Deployment) -> None:
    lags = {f"group-0-{slot}": 1.0 for slot in range(3)}
    _set_primary_faults(deployment, lag_seconds=lags)
    time.sleep(FAULT_SECONDS)
    lags = dict.fromkeys(lags, deployment.size.lag_seconds)
    _set_primary_faults(deployment, lag_seconds=lags)


def _stop_platform(deployment: Deployment) -> None:
    url = f"{deployment.store_url}/faults"
    send_json(url, {"is_refusing": True})
    time.sleep(FAULT_SECONDS)
    send_json(url, {"is_refusing": False})


def _kill_primary_without_platform(deployment: Deployment) -> None:
    send_json(f"{deployment.store_url}/faults", {"is_refusing": True})
    time.sleep(2.0)
    _kill_primary(deployment)
    deployment.instances["instance-3"].kill()


SCENARIOS: Mapping[str, Scenario] = {
    "none": Scenario(inject=_do_nothing),
    "kill-instance": Scenario(inject=_kill_instance),
    "kill-instance-keys": Scenario(inject=_kill_instance, uses_idempotency_keys=True),
    "pause-instance": Scenario(inject=_pause_instance),
    "restart-half": Scenario(inject=_restart_half),
    "kill-primary": Scenario(inject=_kill_primary),
    "kill-primary-keys": Scenario(inject=_kill_primary, uses_idempotency_keys=True),
    "freeze-primary": Scenario(inject=_freeze_primary),
    "cut-primary": Scenario(inject=_cut_primary_from_replicas),
    "lost-answers": Scenario(inject=_lose_answers, uses_idempotency_keys=True),
    "crossed-answers": Scenario(inject=_cross_answers, uses_idempotency_keys=True),
    "silent-connections": Scenario(inject=_silence_connections),
    "lagging-replicas": Scenario(inject=_lag_replicas),
    "platform-outage": Scenario(inject=_stop_platform),
    "outage-and-kills": Scenario(inject=_kill_primary_without_platform),
}


def make_size() -> DeploymentSize:
    """Return one group and two workspaces whose load is far below their rates."""
    plans, workspaces = make_workspaces([("loans", 400.0), ("members", 400.0)], 1)
    return DeploymentSize(
        data_centres=DATA_CENTRES,
        n_instances=N_INSTANCES,
        n_groups=1,
        n_connections=80,
        plans=plans,
        workspaces=workspaces,
        delay_seconds=0.0005,
    )


def run_scenario(scenario: Scenario) -> LoadReport:
    """Run one load with its fault on a new deployment."""
    with (
        tempfile.TemporaryDirectory() as logs,
        Deployment(make_size(), Path(logs)) as deployment,
    ):
        asyncio.run(deployment.put_configuration())
        deployment.start_instances()
        time.sleep(WARM_UP_SECONDS)
        timer = threading.Timer(FAULT_AT_SECONDS, scenario.inject, [deployment])
        timer.start()
        plan = LoadPlan(
            workspaces=tuple(
                WorkspaceLoad(
                    workspace=item.name,
                    key=deployment.keys[item.name],
                    rate_per_second=RATE_PER_SECOND,
                    read_share=0.6,
                )
                for item in deployment.size.workspaces
            ),
            urls=tuple(deployment.front_url(name) for name in deployment.instances),
            duration_seconds=LOAD_SECONDS,
            random_state=RANDOM_STATE,
            uses_idempotency_keys=scenario.uses_idempotency_keys,
        )
        report = asyncio.run(LoadGenerator(plan, SystemClock()).run())
        timer.join()
    return report


def summarise(name: str, report: LoadReport) -> dict[str, object]:
    """Return a row of the table."""
    errors = Counter(sample.error for sample in report.samples if sample.error)
    outcomes = Counter(sample.outcome for sample in report.samples)
    histogram = make_histogram(report.samples)
    return {
        "scenario": name,
        "seed": RANDOM_STATE,
        "requests": len(report.samples),
        "done": outcomes["done"],
        "not_run": outcomes["not run"],
        "unknown": outcomes["unknown"],
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "max_ms": histogram.get_max_value() / 1000,
        "violations": len(report.violations),
        "errors": ", ".join(f"{text} {n}" for text, n in errors.most_common(4)),
    }


def run_faults(names: list[str]) -> int:
    """Run the named scenarios, by default all.

    :returns: exit status.
    """
    rows: list[Mapping[str, object]] = []
    n_violations = 0
    for name in names or list(SCENARIOS):
        report = run_scenario(SCENARIOS[name])
        row = summarise(name, report)
        rows.append(row)
        print(row, flush=True)
        for violation in report.violations[:5]:
            print(f"  {violation}", flush=True)
        n_violations += len(report.violations)
    print_table(rows)
    print(f"written to {write_results('faults', rows).name}")
    return 1 if n_violations else 0


if __name__ == "__main__":
    sys.exit(run_faults(sys.argv[1:]))
