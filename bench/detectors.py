"""Compares the failure detectors over seeded traces of report times.

``python -m bench.detectors`` feeds each detector the reports of one primary at three
homes, on a simulated clock, and prints the failover gap (from the fault until the
first home suspects the primary, without the fencing and promotion that follow) and the
number of false failovers.

* ``healthy``: answers within milliseconds; 0.5% of the queries are lost.
* ``slow``: pauses of 0.2 to 0.9 s, as caused by garbage collection or a busy disk.
* ``half-cut``: one home loses contact with the primary for 5 s, the others do not.
* ``mostly cut``: two of three homes lose contact permanently.
* ``dead``: the primary stops permanently.
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
LOSS_RATE = 0.005
# Delay between data centres in the larger of the current deployments.
ONE_WAY_DELAY_SECONDS = 0.0015
STEP_SECONDS = 0.05

DETECTORS: dict[str, Callable[[], FailureDetector]] = {
    "timeout": TimeoutDetector,
    "observers": lambda: ObserverDetector(TimeoutDetector()),
    "accrual": AccrualDetector,
    "accrual+observers": lambda: ObserverDetector(AccrualDetector()),
}
# Number of homes that lose contact with the primary, and for how many seconds.
PARTITIONS: dict[str, tuple[int, float]] = {
    "healthy": (0, 0.0),
    "slow": (0, 0.0),
    "half-cut": (1, 5.0),
    "mostly cut": (2, END_SECONDS),
    "dead": (3, END_SECONDS),
}
# Faults that require a failover.
REAL_FAULTS = ("mostly cut", "dead")


@dataclass(frozen=True)
class Result:
    """Outcome of one detector on one kind of trace.

    :param n_traces: number of traces.
    :param random_state: seed of the first trace.
    :param n_false: traces with a failover that no fault required.
    :param n_missed: traces without a failover that the fault required.
    :param mean_gap_seconds: ``None`` without a required failover.
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
    trace: str,
    home: int,
    pauses: list[tuple[float, float]],
    random_source: random.Random,
) -> Iterator[float]:
    """Yield the times at which one home receives reports of the primary."""
    n_cut, cut_seconds = PARTITIONS[trace]
    requested_at = random_source.uniform(0.0, PROBE_SECONDS)
    while requested_at < END_SECONDS:
        answered_at = requested_at + random_source.uniform(
            0.0, 2 * ONE_WAY_DELAY_SECONDS
        )
        for start, end in pauses:
            if start <= answered_at < end:
                answered_at = end
        is_cut = home < n_cut and 0 <= requested_at - FAULT_AT_SECONDS < cut_seconds
        if not is_cut and random_source.random() >= LOSS_RATE:
            yield answered_at + 2 * ONE_WAY_DELAY_SECONDS
        requested_at += PROBE_SECONDS


def make_pauses(trace: str, random_source: random.Random) -> list[tuple[float, float]]:
    """Return the pauses of the primary as pairs of start and end."""
    if trace != "slow":
        return []
    pauses = []
    start = random_source.uniform(5.0, 10.0)
    while start < END_SECONDS:
        pauses.append((start, start + random_source.uniform(0.2, 0.9)))
        start += random_source.uniform(2.0, 10.0)
    return pauses


def find_suspicion_time(
    detectors: list[FailureDetector], reports: list[list[float]]
) -> float | None:
    """Return the time at which the first home suspects the primary.

    :param reports: times of received reports by home; emptied by the call.
    :returns: ``None`` if no home suspects it before the end of the trace.
    """
    now = 0.0
    for detector in detectors:
        detector.reset([DATABASE], now)
    while now < END_SECONDS:
        now += STEP_SECONDS
        for detector, times in zip(detectors, reports, strict=True):
            while times and times[0] <= now:
                detector.record_report(DATABASE, times.pop(0))
        suspicions = [
            detector.is_locally_suspected(DATABASE, now) for detector in detectors
        ]
        if any(suspicions):
            exchange_opinions(detectors, suspicions, now)
        if any(detector.is_suspected(DATABASE, now) for detector in detectors):
            return now
    return None


def exchange_opinions(
    detectors: list[FailureDetector], suspicions: list[bool], now: float
) -> None:
    """Give each home the opinions of the others, as ``Failover`` does by messages."""
    for observer, is_suspected in enumerate(suspicions):
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
        random_source = random.Random(f"{random_state + number}/{trace}")
        pauses = make_pauses(trace, random_source)
        reports = [
            sorted(make_reports(trace, home, pauses, random_source))
            for home in range(N_HOMES)
        ]
        detectors = [DETECTORS[detector]() for _ in range(N_HOMES)]
        suspected_at = find_suspicion_time(detectors, reports)
        is_failover_expected = trace in REAL_FAULTS
        if suspected_at is not None and (
            not is_failover_expected or suspected_at < FAULT_AT_SECONDS
        ):
            n_false += 1
        elif suspected_at is None and is_failover_expected:
            n_missed += 1
        elif suspected_at is not None:
            gaps.append(suspected_at - FAULT_AT_SECONDS)
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
        for trace in PARTITIONS
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
