"""View of the databases, and the choice of one that may serve a statement.

Plain state without I/O; :class:`~sardinemill.sessions.placement.Placement` owns it.
"""

from collections.abc import Callable, Collection

from ..fleet.primary_lease import PRIMARY_LEASE_SECONDS
from ..fleet.records import DatabaseEntry, Directory, FleetRecord, GroupPhase
from ..fleet.views import PositionSeen, RecordConfirmed, merge_positions
from ..groups import rank_candidates
from ..positions import LogPosition
from .database_usage import (
    DEFAULT_GRACE_PERIODS,
    DatabaseCondition,
    GracePeriods,
    Usage,
    UsageDecision,
    decide_usage,
)
from .messages import StatementRequest

# A replica that lacked the minimum position of a read gets no reads for this time.
LAG_BACKOFF_SECONDS = 0.15
# A database that did not answer is used only as a last resort for this time.
FAILURE_BACKOFF_SECONDS = 1.0
# Deducted from the staleness that a route accepts, to cover the resolution of timers.
STALENESS_MARGIN_SECONDS = 0.05
# A database that disappears from the directory stays in use for this time, since it
# may be listed again.
REMOVAL_GRACE_SECONDS = 2.0
# A removed database is forgotten after this time, when no statement waits for it.
REMOVAL_RETENTION_SECONDS = 60.0

# Costs in the choice of a database, in units of one waiting statement. The database
# with the lowest sum serves the read.
REMOTE_COST = 0.4
PRIMARY_COST = 0.6
FAILED_COST = 100.0
NEVER = float("-inf")


class DatabaseView:
    """What this instance knows of databases: directory, primaries, positions, failures.

    :param data_centre: of this instance; databases of other data centres cost more.
    :param instance: name of this instance; instances order databases of equal cost
        differently, so that they do not all use the same one.
    :param grace_periods: for work at databases that are about to get none.
    """

    def __init__(
        self,
        data_centre: str,
        instance: str = "",
        grace_periods: GracePeriods = DEFAULT_GRACE_PERIODS,
    ) -> None:
        self._data_centre = data_centre
        self._instance = instance
        self._grace_periods = grace_periods
        self._evacuated_since: dict[str, float] = {}
        # By name and start: a database may start again under its name.
        self._leaving_since: dict[tuple[str, int], float] = {}
        self._preferences: dict[str, int] = {}
        self._record = FleetRecord()
        self._confirmed_at = NEVER
        self._directory = Directory()
        self._removed: dict[str, tuple[DatabaseEntry, float]] = {}
        self._positions: dict[str, PositionSeen] = {}
        self._lagging_until: dict[str, float] = {}
        self._failing_until: dict[str, float] = {}

    @property
    def directory(self) -> Directory:
        """Databases of the latest list, without removed ones."""
        return self._directory

    # Updates

    def confirm_record(self, confirmed: RecordConfirmed) -> None:
        """Store the fleet record and the latest time at which it was in force."""
        self._record = confirmed.record
        self._confirmed_at = max(self._confirmed_at, confirmed.confirmed_at)

    def update_directory(self, directory: Directory, now: float) -> None:
        """Replace the directory and remember the databases that are no longer in it."""
        present = {item.name for item in directory.databases}
        for entry in self._directory.databases:
            if entry.name not in present and entry.name not in self._removed:
                self._removed[entry.name] = (entry, now)
        self._removed = {
            name: item
            for name, item in self._removed.items()
            if name not in present and now - item[1] < REMOVAL_RETENTION_SECONDS
        }
        # For an instance that starts later the time may be over already, and it has
        # nothing under way there.
        learned_at = now if self._directory.databases else NEVER
        self._directory = directory
        self._evacuated_since = {
            name: self._evacuated_since.get(name, learned_at)
            for name in directory.evacuated_data_centres
        }
        removed = [entry for entry, _ in self._removed.values()]
        leaving = [
            (item.name, item.born_ms)
            for item in (*directory.databases, *removed)
            if item.is_leaving
        ]
        self._leaving_since = {
            key: self._leaving_since.get(key, learned_at) for key in leaving
        }
        ranked = rank_candidates(self._instance, present)
        self._preferences = {name: rank for rank, name in enumerate(ranked)}

    def merge_position(self, seen: PositionSeen) -> None:
        """Merge a reported position of a primary."""
        known = self._positions.get(seen.group)
        self._positions[seen.group] = merge_positions(known, seen)

    def record_lag(self, database: str, now: float) -> None:
        """Record that a replica lacked the minimum position of a read."""
        self._lagging_until[database] = now + LAG_BACKOFF_SECONDS

    def record_failure(self, database: str, now: float) -> None:
        """Record that a database did not answer."""
        self._failing_until[database] = now + FAILURE_BACKOFF_SECONDS

    def record_success(self, database: str) -> None:
        """Record that a database accepted a connection."""
        self._failing_until.pop(database, None)

    # Queries

    def find_entry(self, name: str, now: float) -> DatabaseEntry | None:
        """Return the entry of a database, also within its removal grace period."""
        entry = self._directory.find(name)
        if entry is None and name in self._removed:
            removed_entry, removed_at = self._removed[name]
            entry = removed_entry if now - removed_at < REMOVAL_GRACE_SECONDS else None
        return entry

    def decide_usage(
        self, entry: DatabaseEntry, now: float, *, is_primary: bool = False
    ) -> UsageDecision:
        """Return for what a database may be used now, and why.

        :param is_primary: it leads its group, so that it cannot lag.
        """
        since = self._evacuated_since.get(entry.data_centre)
        leaving_since = self._leaving_since.get((entry.name, entry.born_ms))
        condition = DatabaseCondition(
            leaving_seconds=None if leaving_since is None else now - leaving_since,
            is_lagging=not is_primary
            and now < self._lagging_until.get(entry.name, NEVER),
            evacuated_seconds=None if since is None else now - since,
        )
        return decide_usage(condition, self._grace_periods)

    def list_ending(self) -> list[DatabaseEntry]:
        """Return the databases that are evacuated, leave or have left."""
        present = [
            entry
            for entry in self._directory.databases
            if entry.is_leaving or entry.data_centre in self._evacuated_since
        ]
        return [*present, *(entry for entry, _ in self._removed.values())]

    def may_run_queued(self, entry: DatabaseEntry, now: float) -> bool:
        """Return whether statements that wait for a database may still run there."""
        if self.find_entry(entry.name, now) is None:
            return False
        usage = self.decide_usage(entry, now).usage
        if usage is Usage.PRIMARY_WORK:
            primary = self.find_primary(entry.group, now)
            return primary is not None and primary.name == entry.name
        return usage is Usage.NEW_WORK

    def is_local(self, entry: DatabaseEntry) -> bool:
        """Return whether a database is in the data centre of this instance."""
        return entry.data_centre == self._data_centre

    def find_primary(self, group: str, now: float) -> DatabaseEntry | None:
        """Return the primary of a group if this instance may send work to it now.

        :returns: ``None`` when there is no leased primary, or when it must get no new
            work any more, because it leaves or is evacuated.
        """
        entry = self.find_leased_primary(group, now)
        if entry is None:
            return None
        usage = self.decide_usage(entry, now, is_primary=True).usage
        return entry if usage in (Usage.NEW_WORK, Usage.PRIMARY_WORK) else None

    def describe_primary(self, group: str, now: float) -> str:
        """Return why a group's primary may not be used, for messages."""
        entry = self.find_leased_primary(group, now)
        if entry is not None:
            reason = self.decide_usage(entry, now, is_primary=True).reason
            if reason:
                return f"primary {entry.name}: {reason}"
        record = self._record.find_group(group)
        return f"primary {'none' if record is None else record.phase.value}"

    def find_leased_primary(self, group: str, now: float) -> DatabaseEntry | None:
        """Return the primary of a group on which this instance holds a lease.

        :returns: ``None`` without a primary lease, during a failover, when the
            primary is unknown, or when it restarted since the record named it.
        """
        record = self._record.find_group(group)
        if record is None or record.phase is not GroupPhase.STEADY:
            return None
        if not self.has_primary_lease(now):
            return None
        entry = self.find_entry(record.primary, now)
        if entry is not None and record.primary_born_ms not in (0, entry.born_ms):
            return None
        return entry

    def has_primary_lease(self, now: float) -> bool:
        """Return whether this instance holds the lease on all groups' primaries."""
        return now - self._confirmed_at <= PRIMARY_LEASE_SECONDS

    def find_lease_evidence_age(self, now: float) -> float:
        """Return the age of the evidence for the primary lease, at most 9999 s."""
        return min(now - self._confirmed_at, 9999.0)

    def find_position_age(self, group: str, now: float) -> float | None:
        """Return the age in seconds of the known position of a group's primary."""
        seen = self._positions.get(group)
        return None if seen is None else now - seen.seen_at

    def find_minimum_position(
        self, request: StatementRequest, now: float
    ) -> LogPosition | None:
        """Return the lowest log position that a replica must have applied for a read.

        :returns: ``None`` when the position of the primary is unknown, or older than
            the staleness that the route accepts, so that only the primary may serve it.
        """
        seen = self._positions.get(request.route.group)
        if seen is None:
            return None
        max_age = request.route.staleness_seconds - STALENESS_MARGIN_SECONDS
        if now - seen.seen_at > max_age:
            return None
        return max(seen.position, request.minimum_position)

    def choose_read_database(
        self,
        group: str,
        tried: Collection[str],
        estimate_load: Callable[[DatabaseEntry], float],
        now: float,
        *,
        should_leave: bool = False,
    ) -> DatabaseEntry | None:
        """Return the database with the lowest cost among those that may serve a read.

        The recorded primary is omitted while this instance may not use it as primary.

        :param tried: databases that already failed the statement.
        :param estimate_load: returns the expected wait at a database, in the unit of
            the costs.
        :param should_leave: databases of other data centres cost less instead of more.
        """
        remote_cost = -REMOTE_COST if should_leave else REMOTE_COST
        primary = self.find_primary(group, now)
        record = self._record.find_group(group)
        unusable_primary = (
            "" if record is None or primary is not None else record.primary
        )
        costs: dict[DatabaseEntry, float] = {}
        for entry in self._list_group(group, now):
            is_primary = primary is not None and entry.name == primary.name
            if entry.name in tried or entry.name == unusable_primary:
                continue
            decision = self.decide_usage(entry, now, is_primary=is_primary)
            if decision.usage is not Usage.NEW_WORK:
                continue
            cost = estimate_load(entry) + self._estimate_cost(entry, now)
            cost += 0.0 if self.is_local(entry) else remote_cost
            cost += PRIMARY_COST if is_primary else 0.0
            costs[entry] = cost
        n_known = len(self._preferences)
        return min(
            costs,
            key=lambda entry: (
                costs[entry],
                self._preferences.get(entry.name, n_known),
            ),
            default=None,
        )

    def _estimate_cost(self, entry: DatabaseEntry, now: float) -> float:
        is_failing = now < self._failing_until.get(entry.name, NEVER)
        return FAILED_COST if is_failing else 0.0

    def _list_group(self, group: str, now: float) -> list[DatabaseEntry]:
        removed = [
            entry
            for entry, removed_at in self._removed.values()
            if entry.group == group and now - removed_at < REMOVAL_GRACE_SECONDS
        ]
        return [*self._directory.list_group(group), *removed]
