"""Failure detectors for databases, based on the arrival times of their reports."""

import math
from collections import deque
from collections.abc import Collection
from typing import Protocol

from ..replication import PrimaryOpinion

TIMEOUT_SECONDS = 1.0
# Opinions expire after this time; a home that suspects the primary sends its opinion
# with every probe.
OPINION_LIFETIME_SECONDS = 1.0
# Time for the other homes to answer; several round trips between data centres.
OPINION_WAIT_SECONDS = 0.2
# Level phi at which a database is suspected: at 8, a silence of this length occurs once
# in 10**8 intervals.
PHI_THRESHOLD = 8.0
N_INTERVALS = 100
# With fewer intervals the estimate is less reliable than the fixed time-out.
N_MIN_INTERVALS = 10
# Lower bound of the standard deviation. Without it, a network with little jitter would
# make the first late report a suspicion.
MIN_DEVIATION_SECONDS = 0.1


class FailureDetector(Protocol):
    """Decides from the arrival of a database's reports whether it has failed."""

    def record_report(self, database: str, received_at: float) -> None:
        """Record the arrival of a report, in monotonic seconds."""
        ...

    def record_opinion(self, opinion: PrimaryOpinion, now: float) -> None:
        """Record the opinion of another home of the database's group."""
        ...

    def is_locally_suspected(self, database: str, now: float) -> bool:
        """Return whether this home alone suspects the database."""
        ...

    def is_suspected(self, database: str, now: float) -> bool:
        """Return whether the database is considered failed and must be replaced."""
        ...

    def reset(self, databases: Collection[str], now: float) -> None:
        """Reset the state as if each database had reported now.

        Called for a new primary, and after a pause of this process, in which missing
        reports prove nothing about the databases.
        """
        ...


class TimeoutDetector:
    """Suspects a database that has not reported for a fixed time.

    :param timeout_seconds: longest accepted time between two reports.
    """

    def __init__(self, timeout_seconds: float = TIMEOUT_SECONDS) -> None:
        self._timeout_seconds = timeout_seconds
        self._heard_at: dict[str, float] = {}

    def record_report(self, database: str, received_at: float) -> None:
        heard_at = self._heard_at.get(database, received_at)
        self._heard_at[database] = max(heard_at, received_at)

    def record_opinion(self, opinion: PrimaryOpinion, now: float) -> None:
        """Ignore the opinion; only the reports at this home count."""

    def is_locally_suspected(self, database: str, now: float) -> bool:
        heard_at = self._heard_at.setdefault(database, now)
        return now - heard_at > self._timeout_seconds

    def is_suspected(self, database: str, now: float) -> bool:
        return self.is_locally_suspected(database, now)

    def reset(self, databases: Collection[str], now: float) -> None:
        for database in databases:
            self._heard_at[database] = now


class ObserverDetector:
    """Suspects a database when a majority of the homes with an opinion suspects it.

    Only homes that give an opinion count, so homes that have failed themselves don't
    prevent a failover.

    :param local: detector for the suspicion of this home.
    :param wait_seconds: least duration of the local suspicion, while opinions arrive.
    :param lifetime_seconds: age at which an opinion expires.
    """

    def __init__(
        self,
        local: FailureDetector,
        *,
        wait_seconds: float = OPINION_WAIT_SECONDS,
        lifetime_seconds: float = OPINION_LIFETIME_SECONDS,
    ) -> None:
        self._local = local
        self._wait_seconds = wait_seconds
        self._lifetime_seconds = lifetime_seconds
        self._suspected_since: dict[str, float] = {}
        self._opinions: dict[str, dict[str, tuple[float, bool]]] = {}

    def record_report(self, database: str, received_at: float) -> None:
        self._local.record_report(database, received_at)

    def record_opinion(self, opinion: PrimaryOpinion, now: float) -> None:
        opinions = self._opinions.setdefault(opinion.database, {})
        opinions[opinion.observer] = (now, opinion.is_suspected)

    def is_locally_suspected(self, database: str, now: float) -> bool:
        is_locally_suspected = self._local.is_locally_suspected(database, now)
        if is_locally_suspected:
            self._suspected_since.setdefault(database, now)
        else:
            self._suspected_since.pop(database, None)
        return is_locally_suspected

    def is_suspected(self, database: str, now: float) -> bool:
        if not self.is_locally_suspected(database, now):
            return False
        if now - self._suspected_since[database] < self._wait_seconds:
            return False
        votes = [
            is_suspected
            for received_at, is_suspected in self._opinions.get(database, {}).values()
            if now - received_at <= self._lifetime_seconds
        ]
        n_suspecting = 1 + sum(votes)
        return n_suspecting > len(votes) + 1 - n_suspecting

    def reset(self, databases: Collection[str], now: float) -> None:
        self._local.reset(databases, now)
        for database in databases:
            self._suspected_since.pop(database, None)
            self._opinions.pop(database, None)


class AccrualDetector:
    """Suspects a database when its silence is improbable given its report intervals.

    Source: N. Hayashibara, X. Defago, R. Yared, T. Katayama, "The phi accrual failure
    detector", SRDS 2004. Intervals are taken as normally distributed.

    :param threshold: level phi above which a database is suspected.
    :param fallback: detector used until enough intervals are recorded.
    """

    def __init__(
        self,
        *,
        threshold: float = PHI_THRESHOLD,
        fallback: FailureDetector | None = None,
    ) -> None:
        self._threshold = threshold
        self._fallback = TimeoutDetector() if fallback is None else fallback
        self._heard_at: dict[str, float] = {}
        self._intervals: dict[str, deque[float]] = {}

    def record_report(self, database: str, received_at: float) -> None:
        self._fallback.record_report(database, received_at)
        heard_at = self._heard_at.get(database)
        if heard_at is not None:
            if received_at <= heard_at:
                return
            intervals = self._intervals.setdefault(database, deque(maxlen=N_INTERVALS))
            intervals.append(received_at - heard_at)
        self._heard_at[database] = received_at

    def record_opinion(self, opinion: PrimaryOpinion, now: float) -> None:
        """Ignore the opinion; only the reports at this home count."""

    def compute_phi(self, database: str, now: float) -> float | None:
        """Return the suspicion level, or ``None`` with too few intervals recorded."""
        intervals = self._intervals.get(database, ())
        if len(intervals) < N_MIN_INTERVALS:
            return None
        mean = math.fsum(intervals) / len(intervals)
        variance = math.fsum((item - mean) ** 2 for item in intervals) / len(intervals)
        deviation = max(math.sqrt(variance), MIN_DEVIATION_SECONDS)
        silence_seconds = now - self._heard_at[database]
        tail_probability = 0.5 * math.erfc(
            (silence_seconds - mean) / (deviation * math.sqrt(2.0))
        )
        return -math.log10(max(tail_probability, 1e-300))

    def is_locally_suspected(self, database: str, now: float) -> bool:
        phi = self.compute_phi(database, now)
        if phi is None:
            return self._fallback.is_locally_suspected(database, now)
        return phi > self._threshold

    def is_suspected(self, database: str, now: float) -> bool:
        return self.is_locally_suspected(database, now)

    def reset(self, databases: Collection[str], now: float) -> None:
        self._fallback.reset(databases, now)
        for database in databases:
            if database in self._heard_at:
                self._heard_at[database] = now
