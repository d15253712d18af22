"""Readmission of databases that restarted with an empty log, so that they vote again.

The restart has lost the database's log and its fenced term. All acknowledged entries
that it held are in the log of a later primary, so a log that has caught up replaces the
lost one. The lost fenced term is replaced by a proof that no election has used a vote
of the database in a higher term:

* An election counts a vote only if the same incarnation confirms it after a majority
  was fenced. If the lost vote was used, a majority was fenced at its term before the
  restart.
* That majority has ``n_majority`` slots and intersects every set of more than
  ``n_slots - n_majority`` slots. With 3 slots, 2 suffice: the majority used the lost
  vote and at least one of the other two.
* If databases in that many slots report, none of them recovering and each queried after
  the restart was detected, and none knows a term above the primary's, no such majority
  exists. A database that was readmitted earlier counts, because its own readmission has
  restored the highest term in which its lost vote was used.

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
    """Recovery of a database after a restart with an empty log.

    :param first_seen_at: monotonic seconds at which this incarnation first reported.
    :param position: position of a primary that was confirmed after that, or ``None``.
    """

    incarnation: str
    first_seen_at: float
    position: LogPosition | None = None


def count_confirming_slots(group: GroupDescription) -> int:
    """Return the number of slots that intersect every majority and form one."""
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
    highest_term = max(max(item.fenced_term, item.position.term) for item in reports)
    names = {item.database for item in reports}
    slots = {item.slot for item in group.databases if item.name in names}
    is_confirmed = len(slots) >= count_confirming_slots(group)
    return position if is_confirmed and highest_term == position.term else None


class Readmission:
    """Tracks the recovering databases of one group at one home."""

    def __init__(self) -> None:
        self._reports: dict[str, DatabaseReport] = {}
        self._recoveries: dict[str, Recovery] = {}

    def handle_report(
        self, group: GroupDescription, report: DatabaseReport
    ) -> list[Emission]:
        """Record a report.

        :returns: an admission request and its event if the reporting database may vote
            again. They are returned with each report until the database has executed
            the request.
        """
        name = report.database
        previous = self._reports.get(name)
        if previous is not None and report.asked_at < previous.asked_at:
            return []
        self._reports[name] = report
        self._record_recovery(report)
        self._recoveries = {
            database: self._confirm_recovery(group, item)
            for database, item in self._recoveries.items()
        }
        recovery = self._recoveries.get(name)
        if recovery is None or recovery.position is None:
            return []
        position = recovery.position
        if report.fenced_term != position.term or report.position < position:
            return []
        request = AdmitRequest(
            group=group.name,
            database=name,
            term=position.term,
            position=position,
            incarnation=report.incarnation,
        )
        fields = {"group": group.name, "database": name, "term": position.term}
        event = Event(EventName.ADMISSION_ORDERED, fields)
        return [Emission("probe", request), Emission("events", event)]

    def _record_recovery(self, report: DatabaseReport) -> None:
        known = self._recoveries.get(report.database)
        if not report.is_recovering:
            self._recoveries.pop(report.database, None)
        elif known is None or known.incarnation != report.incarnation:
            self._recoveries[report.database] = Recovery(
                report.incarnation, report.received_at
            )

    def _confirm_recovery(
        self, group: GroupDescription, recovery: Recovery
    ) -> Recovery:
        """Record the position that the database must reach.

        Only the first confirmed position of a term is kept: the position of a primary
        that keeps writing would move on before the database reaches it.
        """
        reports = [
            item
            for item in self._reports.values()
            if item.asked_at >= recovery.first_seen_at and not item.is_recovering
        ]
        found = find_confirmed_position(group, reports)
        known = recovery.position
        if found is None or (known is not None and found.term <= known.term):
            return recovery
        return Recovery(recovery.incarnation, recovery.first_seen_at, found)
