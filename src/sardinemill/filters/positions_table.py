"""Log positions, roles and terms of one group's databases as known to a home."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..groups import GroupDescription
from ..positions import ORIGIN, LogPosition, Watermark
from ..replication import DatabaseReport, PrimaryChanged, ReportFailure, Role

# Watermarks closer together than this replace each other; the history then covers a
# minute of accepted staleness with 1,200 entries.
WATERMARK_SPACING_SECONDS = 0.05
N_WATERMARKS = 1200
N_PRIMARY_POSITIONS = 256
# Weight of the newest sample in the smoothed replication lag.
LAG_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class Primary:
    """Primary of a group in one term."""

    database: str
    term: int


@dataclass(frozen=True, slots=True)
class DatabaseState:
    """Last known state of one database.

    :param report: report with the latest request time.
    :param position: highest position known; may be ahead of the report.
    :param lag_seconds: smoothed replication lag, ``None`` before the first sample.
    :param failed_at: monotonic seconds of the last failed report or call.
    """

    report: DatabaseReport | None = None
    position: LogPosition = ORIGIN
    lag_seconds: float | None = None
    failed_at: float = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the database is draining and should get no new requests."""
        return self.report is not None and self.report.is_leaving

    @property
    def is_reachable(self) -> bool:
        """Whether the last attempt to reach the database succeeded."""
        return self.report is not None and self.report.received_at >= self.failed_at


def is_active_primary(report: DatabaseReport) -> bool:
    """Return whether the database is a primary that no fence has superseded.

    A primary begins its term with an entry of that term, so its last position has the
    term of its own election; a later fence raises only the fenced term.
    """
    return report.role is Role.PRIMARY and report.fenced_term == report.position.term


def is_no_longer_primary(
    report: DatabaseReport, primary: Primary, learned_at: float, incarnation: str
) -> bool:
    """Return whether a report shows that the known primary has lost its role.

    A primary that restarts may have lost its log, so another incarnation is not the
    same primary even if it claims the same term.

    :param learned_at: time at which the primary became known; a report requested
        earlier may predate the promotion.
    :param incarnation: incarnation that was seen as the active primary, or ``""``.
    """
    if report.database != primary.database:
        return False
    if is_active_primary(report) and report.fenced_term == primary.term:
        return incarnation not in ("", report.incarnation)
    return report.fenced_term >= primary.term or report.asked_at >= learned_at


def derive_watermark(
    group: GroupDescription, reports: dict[str, DatabaseReport]
) -> Watermark | None:
    """Return the latest watermark that a set of reports proves.

    Before a write is acknowledged in a higher term than the primary's, a majority has
    accepted that term's fence and replicated the write, so every majority of reports
    would show that term. A write acknowledged in the primary's term or below is in the
    primary's log. A recovering database confirms nothing, as it may have forgotten a
    higher term.

    :param reports: last report of each database.
    :returns: the watermark, which starts when the earliest of the needed reports was
        requested, or ``None`` without a primary that a majority confirms.
    """
    primaries = [item for item in reports.values() if is_active_primary(item)]
    if not primaries:
        return None
    primary = max(primaries, key=lambda item: item.fenced_term)
    term = primary.fenced_term
    confirmations: dict[int, float] = {}
    for database in group.databases:
        report = reports.get(database.name)
        if report is None or report.is_recovering:
            continue
        if database.name == primary.database:
            continue
        if report.fenced_term <= term and report.position.term <= term:
            asked_at = confirmations.get(database.slot, report.asked_at)
            confirmations[database.slot] = max(asked_at, report.asked_at)
    latest = sorted(confirmations.values(), reverse=True)[: group.n_majority - 1]
    if len(latest) < group.n_majority - 1:
        return None
    return Watermark(min([primary.asked_at, *latest]), primary.position)


def _merge_position(state: DatabaseState, report: DatabaseReport) -> LogPosition:
    """Return the log position of a database after a report.

    A log shrinks only when its term changes or the database restarts.
    """
    previous = state.report
    is_same_log = (
        previous is not None
        and previous.incarnation == report.incarnation
        and state.position.term == report.position.term
    )
    return max(state.position, report.position) if is_same_log else report.position


class PositionsTable:
    """Positions, roles and terms of the databases of one group, and its watermarks.

    Known positions only guide the choice of a database; the position that comes with
    an answer decides whether the answer may be used.

    :ivar primary: primary with the highest term, ``None`` while that is unknown.
    """

    def __init__(self, group: GroupDescription) -> None:
        self.group = group
        self.primary: Primary | None = None
        self._highest_term = 0
        self._primary_lost_at = float("-inf")
        self._learned_at = float("-inf")
        self._primary_incarnation = ""
        self._states = {item.name: DatabaseState() for item in group.databases}
        self._watermarks: list[Watermark] = []
        self._primary_positions: list[LogPosition] = []
        self._primary_times: list[float] = []

    def update_group(self, group: GroupDescription) -> None:
        """Apply a changed group description; removed databases are dropped."""
        self.group = group
        self._states = {
            item.name: self._states.get(item.name, DatabaseState())
            for item in group.databases
        }
        if self.primary is not None and self.primary.database not in self._states:
            self.primary = None

    def find_state(self, database: str) -> DatabaseState:
        """Return the state of a database of the group."""
        return self._states.get(database, DatabaseState())

    def iterate_replicas(self) -> Iterator[tuple[str, DatabaseState]]:
        """Yield databases other than the primary."""
        for name, state in self._states.items():
            if self.primary is None or name != self.primary.database:
                yield name, state

    def handle_report(self, report: DatabaseReport) -> Watermark | None:
        """Record a report.

        :returns: the new watermark if the report proves a later one, else ``None``.
        """
        state = self._states.get(report.database)
        if state is None:
            return None
        if state.report is not None and report.asked_at < state.report.asked_at:
            return None
        # Constructed directly because ``replace`` costs several times as much, and
        # this runs for each report.
        self._states[report.database] = DatabaseState(
            report=report,
            position=_merge_position(state, report),
            lag_seconds=state.lag_seconds,
            failed_at=state.failed_at,
        )
        self._update_primary(report)
        self._record_position(report.database, report.position, report.received_at)
        return self._extend_watermarks()

    def handle_report_failure(self, failure: ReportFailure) -> None:
        """Record that a report call failed."""
        self.mark_failed(failure.database, failure.failed_at)

    def mark_failed(self, database: str, failed_at: float) -> None:
        """Treat a database as unreachable until it reports again."""
        state = self._states.get(database)
        if state is not None:
            self._states[database] = replace(
                state, failed_at=max(failed_at, state.failed_at)
            )

    def record_result(
        self, database: str, position: LogPosition, is_primary: bool, now: float
    ) -> None:
        """Record the position that a database returned with an answer."""
        state = self._states.get(database)
        if state is None:
            return
        if position > state.position:
            self._states[database] = replace(state, position=position)
        if is_primary and position.term > self._highest_term:
            self._set_primary(Primary(database, position.term), now)
        self._record_position(database, position, now)

    def handle_primary_changed(self, change: PrimaryChanged, now: float) -> bool:
        """Record a change of primary.

        :returns: whether its term is higher than all known ones.
        """
        if change.database not in self._states or change.term <= self._highest_term:
            return False
        self._set_primary(Primary(change.database, change.term), now)
        return True

    def mark_superseded(self, database: str, term: int, now: float) -> None:
        """Drop a primary that refused a write; only a later report restores it."""
        if self.primary == Primary(database, term):
            self.primary = None
            self._primary_lost_at = now

    def find_watermark(self, started_at: float) -> Watermark | None:
        """Return the earliest watermark that started at ``started_at`` or later."""
        if not self._watermarks or self._watermarks[-1].started_at < started_at:
            return None
        index = bisect_left(
            self._watermarks, started_at, key=lambda item: item.started_at
        )
        return self._watermarks[index]

    def estimate_catch_up_seconds(
        self, database: str, minimum_position: LogPosition, now: float
    ) -> float | None:
        """Estimate the seconds until a replica has applied ``minimum_position``.

        :returns: ``None`` while the replica's lag is not known.
        """
        state = self.find_state(database)
        if state.position >= minimum_position:
            return 0.0
        if state.lag_seconds is None:
            return None
        index = bisect_left(self._primary_positions, minimum_position)
        known = index < len(self._primary_times)
        written_at = self._primary_times[index] if known else now
        return max(0.0, written_at + state.lag_seconds - now)

    def _update_primary(self, report: DatabaseReport) -> None:
        known = self.primary
        if known is not None and is_no_longer_primary(
            report, known, self._learned_at, self._primary_incarnation
        ):
            self.primary = None
            self._primary_lost_at = report.asked_at
        if not is_active_primary(report):
            return
        is_restored = (
            self.primary is None
            and report.fenced_term == self._highest_term
            and report.asked_at >= self._primary_lost_at
            and self._primary_incarnation in ("", report.incarnation)
        )
        if report.fenced_term > self._highest_term or is_restored:
            primary = Primary(report.database, report.fenced_term)
            self._set_primary(primary, report.received_at)
        if self.primary == Primary(report.database, report.fenced_term):
            self._primary_incarnation = report.incarnation

    def _set_primary(self, primary: Primary, now: float) -> None:
        if primary.term > self._highest_term:
            self._primary_incarnation = ""
        self.primary = primary
        self._highest_term = primary.term
        self._learned_at = now

    def _extend_watermarks(self) -> Watermark | None:
        reports = {
            name: state.report
            for name, state in self._states.items()
            if state.report is not None
        }
        watermark = derive_watermark(self.group, reports)
        history = self._watermarks
        if watermark is None:
            return None
        if history and watermark.started_at <= history[-1].started_at:
            return None
        if (
            len(history) > 1
            and history[-1].started_at - history[-2].started_at
            < WATERMARK_SPACING_SECONDS
        ):
            history.pop()
        history.append(watermark)
        if len(history) > 2 * N_WATERMARKS:
            del history[:N_WATERMARKS]
        return watermark

    def _record_position(
        self, database: str, position: LogPosition, seen_at: float
    ) -> None:
        if self.primary is not None and self.primary.database == database:
            self._record_primary_position(position, seen_at)
        else:
            self._update_lag(database, position, seen_at)

    def _record_primary_position(self, position: LogPosition, seen_at: float) -> None:
        if self._primary_positions and position <= self._primary_positions[-1]:
            return
        self._primary_positions.append(position)
        self._primary_times.append(seen_at)
        if len(self._primary_times) > 2 * N_PRIMARY_POSITIONS:
            del self._primary_positions[:N_PRIMARY_POSITIONS]
            del self._primary_times[:N_PRIMARY_POSITIONS]

    def _update_lag(self, database: str, position: LogPosition, at: float) -> None:
        index = bisect_right(self._primary_positions, position)
        missing = index < len(self._primary_times)
        lag = max(0.0, at - self._primary_times[index]) if missing else 0.0
        state = self._states[database]
        if state.lag_seconds is not None:
            lag = state.lag_seconds + LAG_WEIGHT * (lag - state.lag_seconds)
        if lag != state.lag_seconds:
            self._states[database] = DatabaseState(
                report=state.report,
                position=state.position,
                lag_seconds=lag,
                failed_at=state.failed_at,
            )
