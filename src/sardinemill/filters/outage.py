"""Evidence that the platform's store is unreachable from every data centre."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..control import VersionAnswer

MAX_EVIDENCE_AGE_SECONDS = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OutageReport:
    """State of one relay's store calls.

    :param version: configuration version that the relay knows.
    :param asked_at: local time at which the relay was asked.
    :param began_at: latest local time at which its outage can have begun.
    :param lasted_until: earliest local time until which its outage lasted; ``None``
        when the relay reaches the store.
    """

    data_centre: str
    version: int
    asked_at: float
    began_at: float = 0.0
    lasted_until: float | None = None


def make_outage_report(
    answer: VersionAnswer, asked_at: float, now: float
) -> OutageReport:
    """Convert the answer of a relay into a report with local times.

    The relay answered at an unknown time between the query and the receipt, so the
    report has the latest possible start of the outage and the earliest possible last
    failure.

    :param asked_at: local time at which the query was sent.
    """
    is_unreachable = answer.store_unreachable_seconds > 0
    return OutageReport(
        data_centre=answer.data_centre,
        version=answer.version,
        asked_at=asked_at,
        began_at=now - answer.store_unreachable_seconds,
        lasted_until=asked_at - answer.store_failure_age_seconds
        if is_unreachable
        else None,
    )


class OutageEvidence:
    """Reports of relays, one or more of which are needed from each known data centre.

    A data centre that has disappeared from the membership may be cut off and still
    reach the store, so it stays known until this process ends.
    """

    def __init__(self, data_centre: str) -> None:
        self._known_data_centres = {data_centre}
        self._reports: dict[str, OutageReport] = {}

    def add_data_centres(self, names: Iterable[str]) -> None:
        """Add data centres from which a report is needed."""
        self._known_data_centres.update(names)

    def add(self, source: str, report: OutageReport) -> None:
        """Record a relay's report unless a later one is known."""
        previous = self._reports.get(source)
        if previous is None or previous.asked_at <= report.asked_at:
            self._reports[source] = report

    def evaluate(self, own: OutageReport, version: int, now: float) -> float | None:
        """Return a time at which no relay of any data centre reached the store.

        All reported outages must overlap, and no relay may know a higher version.

        :param own: report on this relay's own calls.
        :param version: configuration version that this relay knows.
        :returns: latest local time that all outages cover, or ``None`` without
            evidence.
        """
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.asked_at <= MAX_EVIDENCE_AGE_SECONDS
        }
        reports = [own, *self._reports.values()]
        # Version 0 means that no configuration, which lists the data centres, is known.
        if version == 0 or not self._known_data_centres <= {
            item.data_centre for item in reports
        }:
            return None
        if any(report.version > version for report in reports):
            return None
        last_failures = [report.lasted_until for report in reports]
        oldest = min((end for end in last_failures if end is not None), default=now)
        if None in last_failures or max(report.began_at for report in reports) > oldest:
            return None
        return oldest
