"""Compares the failure detectors over seeded traces of report times.

``python -m bench.detectors`` feeds each detector the reports of one primary at three
homes, on a hand-moved clock, and prints the failover gap (from the fault until the
first home suspects the primary, without the fence and promotion that follow) and the
number of false failovers.

* ``healthy``: answers within milliseconds; 0.5% of the questions are lost.
* ``slow``: pauses of 0.2 to 0.9 s, as of a garbage collection or a busy disk.
* ``half-cut``: one home loses the primary for 5 s, the others hear it.
* ``mostly cut``: two of three homes lose it for good.
* ``dead``: it stops for good.
"""

import json
import random
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass

import defopt

from sardinemill.filters.detection import (
    AccrualDetector,
    FailureDetector,
    ObserverDetector,
    TimeoutDetector,
)
from sardinemill.filters.failover import PROBE_SECONDS
from sardinemill.replication import PrimaryOpinion

N_HOMES = 3
DATABASE = "hives-1"
FAULT_AT_SECONDS = 60.0
END_SECONDS = 70.0
LOSS = 0.005
# One way between data centres, as in the larger of the current deployments.
DELAY_SECONDS = 0.0015
STEP_SECONDS = 0.05

DETECTORS: dict[str, Callable[[], FailureDetector]] = {
    "timeout": TimeoutDetector,
    "observers": lambda: ObserverDetector(TimeoutDetector()),
    "accrual": AccrualDetector,
    "accrual+observers": lambda: ObserverDetector(AccrualDetector()),
}
# Homes that lose the primary at the fault, and for how many seconds.
CUTS: dict[str, tuple[int, float]] = {
    "healthy": (0, 0.0),
    "slow": (0, 0.0),
    "half-cut": (1, 5.0),
    "mostly cut": (2, END_SECONDS),
    "dead": (3, END_SECONDS),
}
# Faults after which a failover is right.
REAL_FAULTS = ("mostly cut", "dead")


@dataclass(frozen=True)
class Result:
    """Outcome of one detector on one kind of trace.

    :param n_traces: size of the experiment.
    :param random_state: seed of the first trace.
    """

    detector: str
    trace: str
    n_traces: int
    random_state: int
    n_false: int
    n_missed: int
    mean_gap_seconds: float | None
    max_gap_seconds: float | None


def make_reports(
    trace: str, home: int, pauses: list[tuple[float, float]], source: random.Random
) -> Iterator[float]:
    """Yield the times at which one home receives reports of the primary."""
    n_cut, cut_seconds = CUTS[trace]
    asked_at = source.uniform(0.0, PROBE_SECONDS)
    while asked_at < END_SECONDS:
        answered_at = asked_at + source.uniform(0.0, 2 * DELAY_SECONDS)
        for start, end in pauses:
            if start <= answered_at < end:
                answered_at = end
        is_cut = home < n_cut and 0 <= asked_at - FAULT_AT_SECONDS < cut_seconds
        if not is_cut and source.random() >= LOSS:
            yield answered_at + 2 * DELAY_SECONDS
        asked_at += PROBE_SECONDS


def make_pauses(trace: str, source: random.Random) -> list[tuple[float, float]]:
    """Return the pauses of the primary as pairs of start and end."""
    if trace != "slow":
        return []
    pauses = []
    start = source.uniform(5.0, 10.0)
    while start < END_SECONDS:
        pauses.append((start, start + source.uniform(0.2, 0.9)))
        start += source.uniform(2.0, 10.0)
    return pauses


def find_suspicion(
    detectors: list[FailureDetector], reports: list[list[float]]
) -> float | None:
    """Move the clock over a trace; return when the first home suspects."""
    now = 0.0
    for detector in detectors:
        detector.reset([DATABASE], now)
    while now < END_SECONDS:
        now += STEP_SECONDS
        for detector, times in zip(detectors, reports, strict=True):
            while times and times[0] <= now:
                detector.record_report(DATABASE, times.pop(0))
        doubts = [
            detector.is_locally_suspected(DATABASE, now) for detector in detectors
        ]
        if any(doubts):
            exchange_opinions(detectors, doubts, now)
        if any(detector.is_suspected(DATABASE, now) for detector in detectors):
            return now
    return None


def exchange_opinions(
    detectors: list[FailureDetector], doubts: list[bool], now: float
) -> None:
    """Give each home the opinions of the others, as ``Failover`` does by messages."""
    for observer, is_suspected in enumerate(doubts):
        opinion = PrimaryOpinion(
            group="hives",
            database=DATABASE,
            observer=f"home{observer}",
            is_suspected=is_suspected,
        )
        for home, detector in enumerate(detectors):
            if home != observer:
                detector.record_opinion(opinion, now)


def measure(detector: str, trace: str, n_traces: int, random_state: int) -> Result:
    """Run one detector over all traces of one kind."""
    gaps: list[float] = []
    n_false = n_missed = 0
    for number in range(n_traces):
        source = random.Random(f"{random_state + number}/{trace}")
        pauses = make_pauses(trace, source)
        reports = [
            sorted(make_reports(trace, home, pauses, source)) for home in range(N_HOMES)
        ]
        detectors = [DETECTORS[detector]() for _ in range(N_HOMES)]
        found_at = find_suspicion(detectors, reports)
        is_right = trace in REAL_FAULTS
        if found_at is not None and (not is_right or found_at < FAULT_AT_SECONDS):
            n_false += 1
        elif found_at is None and is_right:
            n_missed += 1
        elif found_at is not None:
            gaps.append(found_at - FAULT_AT_SECONDS)
    return Result(
        detector=detector,
        trace=trace,
        n_traces=n_traces,
        random_state=random_state,
        n_false=n_false,
        n_missed=n_missed,
        mean_gap_seconds=round(sum(gaps) / len(gaps), 3) if gaps else None,
        max_gap_seconds=round(max(gaps), 3) if gaps else None,
    )


def main(*, n_traces: int = 50, random_state: int = 1) -> None:
    """Print a table, then the same results as JSON lines.

    :param n_traces: traces of each kind.
    :param random_state: seed of the first trace.
    """
    results = [
        measure(detector, trace, n_traces, random_state)
        for detector in DETECTORS
        for trace in CUTS
    ]
    print(f"{'detector':18} {'trace':11} false missed mean gap  max gap")
    for result in results:
        gaps = [
            "-" if gap is None else f"{gap:.3f}"
            for gap in (result.mean_gap_seconds, result.max_gap_seconds)
        ]
        print(
            f"{result.detector:18} {result.trace:11} {result.n_false:5d} "
            f"{result.n_missed:6d} {gaps[0]:>8} {gaps[1]:>8}"
        )
    for result in results:
        print(json.dumps(asdict(result)))


if __name__ == "__main__":
    defopt.run(main)
