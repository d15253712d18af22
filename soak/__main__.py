"""Command line: ``python -m soak --first 1 --n-seeds 50``."""

import asyncio
import json
import shutil
import sys
import time
from pathlib import Path

import defopt

from .regressions import REGRESSIONS
from .runs import SoakPlan, SoakReport, SoakRun


def run_seeds(
    *,
    first: int | None = None,
    n_seeds: int = 1,
    n_instances: int = 4,
    n_clients: int = 9,
    seconds: float = 30.0,
    directory: Path = Path("soak-logs"),
    regressions: bool = False,
    stops_only: bool = False,
    evacuations_only: bool = False,
    texts_only: bool = False,
    n_text_clients: int = 6,
    drills: bool = False,
) -> int:
    """Run seeds one after the other and print a line for each.

    :param first: first seed; the time of day when left out.
    :param n_seeds: number of seeds, counted up.
    :param n_instances: instances of each run.
    :param n_clients: clients of each run.
    :param seconds: time with faults.
    :param directory: receives the logs of each seed that failed.
    :param stops_only: stop instances by SIGTERM in overlapping series, and disturb
        nothing else.
    :param evacuations_only: evacuate data centres one after the other, and disturb
        nothing else.
    :param texts_only: disturb nothing, to see only what happens to texts.
    :param n_text_clients: further clients that send unusual texts; none with
        ``stops_only`` and ``evacuations_only``, which keep their load.
    :param drills: let the store come back from older copies besides.
    :param regressions: run the seeds that once failed instead, as they were.
    :returns: 1 when a promise was broken.
    """
    first = int(time.time()) if first is None else first
    plans = [
        SoakPlan(
            seed=seed,
            n_instances=n_instances,
            n_clients=n_clients,
            seconds=seconds,
            has_only_stops=stops_only,
            has_evacuations=not stops_only,
            has_only_evacuations=evacuations_only,
            n_text_clients=0 if stops_only or evacuations_only else n_text_clients,
            has_only_texts=texts_only,
            has_drills=drills,
        )
        for seed in range(first, first + n_seeds)
    ]
    if regressions:
        plans = [item.plan for item in REGRESSIONS]
    outcomes = [run_plan(plan, directory / str(plan.seed)) for plan in plans]
    return int(not all(outcomes))


def run_plan(plan: SoakPlan, directory: Path) -> bool:
    """Run one plan and print its report.

    :param directory: receives the logs; removed after a run without violations.
    :returns: whether the run had no violations.
    """
    report = asyncio.run(SoakRun(plan, directory).run())
    print(format_report(report), flush=True)
    if not report.violations:
        shutil.rmtree(directory)
    return not report.violations


def format_report(report: SoakReport) -> str:
    """Return the report as one line of JSON, with the first ten violations."""
    return json.dumps(
        {
            "seed": report.plan.seed,
            "n_instances": report.plan.n_instances,
            "seconds": report.plan.seconds,
            "n_served": report.n_served,
            "n_failed": report.n_failed,
            "n_faults": report.n_faults,
            "n_promotions": report.n_promotions,
            "n_stops": report.n_stops,
            "n_answered_in_stops": report.n_answered_in_stops,
            "n_unanswered": report.n_unanswered,
            "n_statements": report.n_statements,
            "n_executed": report.n_executed,
            "rules": report.rules,
            "recovery_seconds": round(report.recovery_seconds, 2),
            "violations": [f"{v.rule}: {v.detail}" for v in report.violations[:10]],
            "n_violations": len(report.violations),
        }
    )


if __name__ == "__main__":
    sys.exit(defopt.run(run_seeds))
