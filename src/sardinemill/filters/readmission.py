"""Decides when a database that restarted empty may vote again.

The restart has cost the database its log and its fenced term. Whatever it held is in
the log of a later primary, so a log that has caught up replaces the lost one. The lost
fenced term is replaced by proof that no election has used a vote for a higher one:

* An election counts a vote only if the same incarnation confirms it after a majority
  was fenced. If the lost vote was used, a majority was fenced at its term before the
  restart.
* That majority has ``n_majority`` slots and intersects every set of more than
  ``n_slots - n_majority`` slots. With 3 slots, 2 suffice: the majority used the lost
  vote and at least one of the other two.
* If so many databases that don't recover report, each asked after the restart was
  seen, and none knows a term above the primary's, no such majority exists. A database
  that was admitted earlier counts, because its own admission has given it back the
  highest term for which its lost vote was used.

A majority of the slots is always enough, since two majorities intersect.
"""

from dataclasses import dataclass

from ..events import Event, EventName
from ..groups import GroupDescription
from ..interfaces import Emission
from ..positions import LogPosition
from ..replication import AdmitRequest, DatabaseReport
from .positions_table import is_active_primary


@dataclass(frozen=True, slots=True)
class Recovery:
    """Database that recovers.

    :param seen_at: time at which this incarnation was first seen.
    :param position: position of a primary confirmed after that, or ``None``.
    """

    incarnation: str
    seen_at: float
    position: LogPosition | None = None


def count_confirming_slots(group: GroupDescription) -> int:
    """Slots that intersect every majority, and are a majority themselves."""
    return max(group.n_majority, group.n_slots - group.n_majority + 1)


def find_confirmed_position(
    group: GroupDescription, reports: list[DatabaseReport]
) -> LogPosition | None:
    """Return the position of the primary that the reports confirm, or ``None``.

    :param reports: at most one for each database, none from a recovering one.
    """
    primaries = [item for item in reports if is_active_primary(item)]
    if not primaries:
        return None
    position = max(item.position for item in primaries)
    highest = max(max(item.fenced_term, item.position.term) for item in reports)
    names = {item.database for item in reports}
    slots = {item.slot for item in group.databases if item.name in names}
    is_confirmed = len(slots) >= count_confirming_slots(group)
    return position if is_confirmed and highest == position.term else None


class Readmission:
    """Recovering databases of one group, as one home sees them."""

    def __init__(self) -> None:
        self._reports: dict[str, DatabaseReport] = {}
        self._recoveries: dict[str, Recovery] = {}

    def handle_report(
        self, group: GroupDescription, report: DatabaseReport
    ) -> list[Emission]:
        """Record a report.

        :returns: an order and its event if the reporting database may vote again. It
            is given again with the next report until the database has carried it out.
        """
        name = report.database
        previous = self._reports.get(name)
        if previous is not None and report.asked_at < previous.asked_at:
            return []
        self._reports[name] = report
        self._record_recovery(report)
        self._recoveries = {
            database: self._confirm(group, item)
            for database, item in self._recoveries.items()
        }
        recovery = self._recoveries.get(name)
        if recovery is None or recovery.position is None:
            return []
        position = recovery.position
        if report.fenced_term != position.term or report.position < position:
            return []
        order = AdmitRequest(
            group=group.name,
            database=name,
            term=position.term,
            position=position,
            incarnation=report.incarnation,
        )
        fields = {"group": group.name, "database": name, "term": position.term}
        event = Event(EventName.ADMISSION_ORDERED, fields)
        return [Emission("probe", order), Emission("events", event)]

    def _record_recovery(self, report: DatabaseReport) -> None:
        known = self._recoveries.get(report.database)
        if not report.is_recovering:
            self._recoveries.pop(report.database, None)
        elif known is None or known.incarnation != report.incarnation:
            self._recoveries[report.database] = Recovery(
                report.incarnation, report.received_at
            )

    def _confirm(self, group: GroupDescription, recovery: Recovery) -> Recovery:
        """Keep the first position of a term, which a busy primary soon leaves."""
        reports = [
            item
            for item in self._reports.values()
            if item.asked_at >= recovery.seen_at and not item.is_recovering
        ]
        found = find_confirmed_position(group, reports)
        known = recovery.position
        if found is None or (known is not None and found.term <= known.term):
            return recovery
        return Recovery(recovery.incarnation, recovery.seen_at, found)
