"""Detects from the reports of all instances that a primary has to be replaced."""

from .records import Directory, GroupRecord
from .views import DatabaseContact

# A failed use of a database counts for this time, so that the failures at other
# instances arrive with their questions before it expires.
FAILURE_RETENTION_SECONDS = 2.0
# A primary that no instance reached for this time, while at least one tried, is
# replaced. Shorter gaps are mostly a lost packet or a restart of the database.
UNREACHABLE_SECONDS = 0.8
# A primary that is missing from the directory is replaced only after this time, because
# its entry may return before.
ABSENCE_TIMEOUT_SECONDS = 2.5
UNREACHABLE = "unreachable"
LEAVING = "leaving"
EVACUATED = "its data centre is evacuated"
# Reasons for which a primary that still serves is replaced.
PLANNED_REASONS = (LEAVING, EVACUATED)
NEVER = float("-inf")


class PrimaryFailureDetector:
    """Tracks the last successful and failed use of each database, at any instance."""

    def __init__(self) -> None:
        self._alive_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._absent_since: dict[str, float] = {}

    def record_contact(self, contact: DatabaseContact) -> None:
        """Record the outcome of a use of a database."""
        times = self._alive_at if contact.is_alive else self._failed_at
        times[contact.database] = max(times.get(contact.database, NEVER), contact.at)

    def find_alive_at(self, database: str) -> float:
        """Return when a database last answered any instance."""
        return self._alive_at.get(database, NEVER)

    def find_reason(
        self, record: GroupRecord, directory: Directory, now: float
    ) -> str | None:
        """Return why to replace the primary of a group, ``None`` to keep it.

        :returns: ``UNREACHABLE`` from the first failed use on; the caller decides for
            how long the primary may be unreachable.
        """
        entry = directory.find(record.primary)
        alive_at = self.find_alive_at(record.primary)
        failed_at = self._failed_at.get(record.primary, NEVER)
        if entry is None:
            since = self._absent_since.setdefault(record.primary, now)
            if (
                now - since > ABSENCE_TIMEOUT_SECONDS
                and now - alive_at > UNREACHABLE_SECONDS
            ):
                return "absent"
        else:
            self._absent_since.pop(record.primary, None)
            if entry.is_leaving:
                return LEAVING
            if record.primary_born_ms and entry.born_ms != record.primary_born_ms:
                return "restarted empty"
            if directory.is_evacuated(entry):
                return EVACUATED
        is_failing = (
            failed_at > alive_at and now - failed_at < FAILURE_RETENTION_SECONDS
        )
        return UNREACHABLE if is_failing else None
