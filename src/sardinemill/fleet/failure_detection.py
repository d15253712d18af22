"""Why a primary has to be replaced, from what all instances report of it."""

from .records import Directory, GroupRecord
from .views import DatabaseContact

# Time for the failures of other instances to arrive with their questions.
FAILURE_MEMORY_SECONDS = 2.0
# A primary that nobody reached for this time, while somebody tried, is replaced.
# Shorter silences are mostly a dropped packet or a restart of the database.
DEAD_SECONDS = 0.8
# A database that left the list is not replaced before its entry may be back.
ABSENT_SECONDS = 2.5
UNREACHABLE = "unreachable"
LEAVING = "leaving"
NEVER = float("-inf")


class PrimaryWatch:
    """Last signs of all databases."""

    def __init__(self) -> None:
        self._alive_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._absent_since: dict[str, float] = {}

    def note(self, contact: DatabaseContact) -> None:
        """Take the outcome of a use of a database."""
        times = self._alive_at if contact.is_alive else self._failed_at
        times[contact.database] = max(times.get(contact.database, NEVER), contact.at)

    def find_alive_at(self, database: str) -> float:
        """When a database last answered anybody."""
        return self._alive_at.get(database, NEVER)

    def find_reason(
        self, record: GroupRecord, directory: Directory, now: float
    ) -> str | None:
        """Why the primary of a group should be replaced, ``None`` if it should not."""
        entry = directory.find(record.primary)
        alive_at = self.find_alive_at(record.primary)
        failed_at = self._failed_at.get(record.primary, NEVER)
        if entry is None:
            since = self._absent_since.setdefault(record.primary, now)
            if now - since > ABSENT_SECONDS and now - alive_at > DEAD_SECONDS:
                return "absent"
        else:
            self._absent_since.pop(record.primary, None)
            if entry.is_leaving:
                return LEAVING
            if record.primary_born_ms and entry.born_ms != record.primary_born_ms:
                return "restarted empty"
        is_failing = failed_at > alive_at and now - failed_at < FAILURE_MEMORY_SECONDS
        return UNREACHABLE if is_failing else None
