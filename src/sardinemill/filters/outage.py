"""Evidence that no data centre reaches the platform's store."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..control import VersionAnswer

MAX_EVIDENCE_AGE_SECONDS = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OutageReport:
    """What one relay said about its store calls.

    :param began_at: latest time at which its outage can have begun; local seconds.
    :param lasted_until: earliest time until which it lasted; ``None`` when the relay
        reaches the store.
    """

    data_centre: str
    version: int
    asked_at: float
    began_at: float = 0.0
    lasted_until: float | None = None


def make_report(answer: VersionAnswer, asked_at: float, now: float) -> OutageReport:
    """Read a report from an answer.

    The relay spoke at an unknown time between question and receipt; the times are the
    latest possible beginning and the earliest possible last failure.
    """
    is_down = answer.store_unreachable_seconds > 0
    return OutageReport(
        data_centre=answer.data_centre,
        version=answer.version,
        asked_at=asked_at,
        began_at=now - answer.store_unreachable_seconds,
        lasted_until=asked_at - answer.store_failure_age_seconds if is_down else None,
    )


class OutageEvidence:
    """Reports of the relays of all data centres that were ever known.

    A data centre that membership no longer shows may be cut off and reach the store,
    so it stays known until this process ends.
    """

    def __init__(self, data_centre: str) -> None:
        self._known = {data_centre}
        self._reports: dict[str, OutageReport] = {}

    def add_data_centres(self, names: Iterable[str]) -> None:
        """Remember data centres whose relays must report."""
        self._known.update(names)

    def add(self, source: str, report: OutageReport) -> None:
        """Take a relay's report; an older one does not replace a later one."""
        previous = self._reports.get(source)
        if previous is None or previous.asked_at <= report.asked_at:
            self._reports[source] = report

    def evaluate(self, own: OutageReport, version: int, now: float) -> float | None:
        """Find the time at which no relay of any data centre reached the store.

        All reported outages must overlap, and no relay may know a higher version.

        :param own: state of this relay's own calls.
        :returns: local seconds of the oldest report, or ``None`` without evidence.
        """
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.asked_at <= MAX_EVIDENCE_AGE_SECONDS
        }
        reports = [own, *self._reports.values()]
        # Without a configuration the data centres are not known.
        if version == 0 or not self._known <= {item.data_centre for item in reports}:
            return None
        if any(report.version > version for report in reports):
            return None
        ends = [report.lasted_until for report in reports]
        oldest = min((end for end in ends if end is not None), default=now)
        if None in ends or max(report.began_at for report in reports) > oldest:
            return None
        return oldest
