"""Demotions of databases that act as primary although the record names another one."""

from collections.abc import Sequence

from .failover_messages import DatabaseStatus, DemoteDatabase
from .records import DatabaseEntry, Directory, FleetRecord, GroupPhase, GroupRecord

DEMOTION_INTERVAL_SECONDS = 0.5
# Coordinators further down the list wait longer, so that usually only one acts.
DEMOTION_RANK_DELAY_SECONDS = 1.0
# A database that has stepped down is not told again for this time, in which the
# directory may still show its former role.
DIRECTORY_DELAY_SECONDS = 5.0


class DemotionSchedule:
    """Decides which databases are told to become replicas, and when.

    Which ones follows from the fleet record and the directory alone, so any coordinator
    acts on it at any time, whoever carried out the failover. A database follows a
    demotion only if its own term is lower than that of the record, so one that was
    promoted later is not affected by an old copy of the record. Databases of evacuated
    data centres get nothing; no instance uses them.
    """

    def __init__(self) -> None:
        self._due_at: dict[tuple[str, int], float] = {}

    def list_due(
        self, record: FleetRecord, directory: Directory, rank: int, now: float
    ) -> Sequence[DemoteDatabase]:
        """Return the demotions that are due.

        :param rank: place of this instance among the coordinators.
        """
        groups = {group.group: group for group in record.groups}
        claims = {
            (entry.name, groups[entry.group].term): entry
            for entry in directory.databases
            if entry.is_primary
            and not directory.is_evacuated(entry)
            and _is_superseded(entry, groups.get(entry.group))
        }
        first_due_at = now + rank * DEMOTION_RANK_DELAY_SECONDS
        self._due_at = {key: self._due_at.get(key, first_due_at) for key in claims}
        due = [key for key, due_at in self._due_at.items() if now >= due_at]
        for key in due:
            self._due_at[key] = now + DEMOTION_INTERVAL_SECONDS
        return [DemoteDatabase(claims[name, term], term) for name, term in due]

    def record_status(self, status: DatabaseStatus, now: float) -> None:
        """Record the role that a database reported."""
        if not status.is_alive or status.is_primary:
            return
        for key in self._due_at:
            if key[0] == status.database:
                self._due_at[key] = now + DIRECTORY_DELAY_SECONDS

    def clear(self) -> None:
        """Forget all demotions, since this instance is no coordinator any more."""
        self._due_at.clear()


def _is_superseded(entry: DatabaseEntry, group: GroupRecord | None) -> bool:
    """Return whether the record names another primary than a database that claims it.

    While a failover is under way the record does not name its target yet, and without a
    recorded term no database would follow a demotion.
    """
    return (
        group is not None
        and group.phase is GroupPhase.STEADY
        and group.term > 0
        and entry.name != group.primary
    )
