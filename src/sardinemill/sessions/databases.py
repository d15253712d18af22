"""What an instance knows of the databases, and which one may serve a statement.

Plain state without I/O; :class:`~sardinemill.sessions.placement.Placement` owns it.
"""

import math
from collections.abc import Callable, Collection

from ..fleet.primary_lease import PRIMARY_LEASE_SECONDS
from ..fleet.records import DatabaseEntry, Directory, FleetRecord, GroupPhase
from ..fleet.views import PositionSeen, RecordConfirmed, merge_positions
from ..positions import LogPosition
from .messages import StatementRequest

# A replica that lacked a position is not asked again for this time.
LAG_SECONDS = 0.15
# A database that did not answer is used only if there is no other, for this time.
AVOID_SECONDS = 1.0
# Age that is taken off what a route accepts, for the resolution of timers.
STALENESS_MARGIN_SECONDS = 0.05
# Entries that vanish from the list, and come back, within this time are kept in use.
ABSENT_SECONDS = 2.0

# Costs that add up to the preference between databases, in statements that wait.
REMOTE_COST = 0.4
PRIMARY_COST = 0.6
AVOIDED_COST = 100.0
NEVER = float("-inf")


class DatabaseView:
    """Directory, primaries, positions and recent failures.

    :param data_centre: of this instance.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._record = FleetRecord()
        self._confirmed_at = NEVER
        self._directory = Directory()
        self._absent: dict[str, tuple[DatabaseEntry, float]] = {}
        self._positions: dict[str, PositionSeen] = {}
        self._lagging_until: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def directory(self) -> Directory:
        """Databases that are there."""
        return self._directory

    # What becomes known

    def confirm_record(self, confirmed: RecordConfirmed) -> None:
        """Take the fleet record and the time at which it was in force."""
        self._record = confirmed.record
        self._confirmed_at = max(self._confirmed_at, confirmed.confirmed_at)

    def change_directory(self, directory: Directory, now: float) -> None:
        """Take a list of databases."""
        present = {item.name for item in directory.databases}
        for entry in self._directory.databases:
            if entry.name not in present and entry.name not in self._absent:
                self._absent[entry.name] = (entry, now)
        self._absent = {
            name: item for name, item in self._absent.items() if name not in present
        }
        self._directory = directory

    def merge_position(self, seen: PositionSeen) -> None:
        """Take a position of a primary."""
        known = self._positions.get(seen.group)
        self._positions[seen.group] = merge_positions(known, seen)

    def note_lag(self, database: str, now: float) -> None:
        """A replica lacked a position."""
        self._lagging_until[database] = now + LAG_SECONDS

    def note_failure(self, database: str, now: float) -> None:
        """A database did not answer."""
        self._avoided_until[database] = now + AVOID_SECONDS

    def note_answer(self, database: str) -> None:
        """A database accepted a connection."""
        self._avoided_until.pop(database, None)

    # What follows

    def find_entry(self, name: str, now: float) -> DatabaseEntry | None:
        """Entry of a database, also for a moment after it has vanished."""
        entry = self._directory.find(name)
        if entry is None and name in self._absent:
            kept, since = self._absent[name]
            entry = kept if now - since < ABSENT_SECONDS else None
        return entry

    def find_primary(self, group: str, now: float) -> DatabaseEntry | None:
        """The primary, if this instance has the right to use it now."""
        record = self._record.find_group(group)
        if record is None or record.phase is not GroupPhase.STEADY:
            return None
        if not self.has_right(now):
            return None
        entry = self.find_entry(record.primary, now)
        if entry is not None and record.primary_born_ms not in (0, entry.born_ms):
            return None
        return entry

    def has_right(self, now: float) -> bool:
        """Tell whether the evidence for primaries is fresh enough."""
        return now - self._confirmed_at <= PRIMARY_LEASE_SECONDS

    def find_right_age(self, now: float) -> float:
        """Age of the evidence for primaries."""
        return min(now - self._confirmed_at, 9999.0)

    def find_position_age(self, group: str, now: float) -> float | None:
        """Age of the known position of a group's primary."""
        seen = self._positions.get(group)
        return None if seen is None else now - seen.seen_at

    def describe_group(self, group: str) -> str:
        """Phase of a group, for messages."""
        record = self._record.find_group(group)
        return "none" if record is None else record.phase.value

    def find_minimum_position(
        self, request: StatementRequest, now: float
    ) -> LogPosition | None:
        """Position that a replica needs, ``None`` when the evidence is too old."""
        seen = self._positions.get(request.route.group)
        if seen is None:
            return None
        accepted = request.route.staleness_seconds - STALENESS_MARGIN_SECONDS
        if now - seen.seen_at > accepted:
            return None
        return max(seen.position, request.minimum_position)

    def choose_reader(
        self,
        group: str,
        tried: Collection[str],
        estimate_load: Callable[[DatabaseEntry], float],
        now: float,
    ) -> DatabaseEntry | None:
        """Database with the least expected wait among those that may serve a read.

        :param tried: databases that failed the statement.
        :param estimate_load: expected wait at a database, in statements.
        """
        primary = self.find_primary(group, now)
        record = self._record.find_group(group)
        resting = "" if record is None or primary is not None else record.primary
        best: DatabaseEntry | None = None
        best_cost = math.inf
        for entry in self._list_group(group, now):
            is_primary = primary is not None and entry.name == primary.name
            is_lagging = now < self._lagging_until.get(entry.name, NEVER)
            if entry.name in tried or entry.is_leaving or entry.name == resting:
                continue
            if is_lagging and not is_primary:
                continue
            cost = estimate_load(entry) + self._estimate_cost(entry, now)
            cost += PRIMARY_COST if is_primary else 0.0
            if cost < best_cost:
                best, best_cost = entry, cost
        return best

    def _estimate_cost(self, entry: DatabaseEntry, now: float) -> float:
        cost = REMOTE_COST if entry.data_centre != self._data_centre else 0.0
        if now < self._avoided_until.get(entry.name, NEVER):
            cost += AVOIDED_COST
        return cost

    def _list_group(self, group: str, now: float) -> list[DatabaseEntry]:
        absent = [
            entry
            for entry, since in self._absent.values()
            if entry.group == group and now - since < ABSENT_SECONDS
        ]
        return [*self._directory.list_group(group), *absent]
