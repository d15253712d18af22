"""Health of one group's primary, and the reasons to replace it."""

from ..groups import GroupDescription, has_majority
from ..positions import LogPosition
from ..replication import DatabaseReport
from .detection import FailureDetector
from .positions_table import Primary, is_active_primary, is_no_longer_primary

# Three probe intervals; a database whose last report is older counts as unreachable.
MAX_REPORT_AGE_SECONDS = 0.75
# Time for another orderer to complete the election that it started.
GRACE_SECONDS = 1.0
# Time without progress of the replicas' logs while the primary is ahead of a majority.
# It leaves two of the 5 s for a failover, and replicas that only lag make progress
# within it.
STALL_TIMEOUT_SECONDS = 3.0


class PrimaryHealth:
    """Reports of one group's databases and the state of its primary.

    :ivar primary: active primary of the highest term seen, or ``None``.
    :ivar highest_term: highest term seen in any message.
    """

    def __init__(
        self, group: GroupDescription, detector: FailureDetector, now: float
    ) -> None:
        self.group = group
        self.primary: Primary | None = None
        self.highest_term = 0
        self._detector = detector
        self._primary_term = 0
        self._learned_at = now
        self._incarnation = ""
        # Database to its log position before a restart, until it reaches it again.
        self._lost_positions: dict[str, LogPosition] = {}
        self._reports: dict[str, DatabaseReport] = {}
        self._without_primary_since = now
        self._superseded_since: float | None = None
        self._progress_at = now

    def handle_report(self, report: DatabaseReport) -> bool:
        """Record a report.

        :returns: whether it shows a primary of a higher term.
        """
        self._detector.record_report(report.database, report.received_at)
        previous = self._reports.get(report.database)
        if previous is not None and report.asked_at < previous.asked_at:
            return False
        self._reports[report.database] = report
        term = max(report.fenced_term, report.position.term)
        self.highest_term = max(self.highest_term, term)
        if previous is not None and previous.position != report.position:
            self._record_progress(report)
        self._record_loss(previous, report)
        is_new = self._update_primary(report)
        self._check_superseded(report.received_at)
        return is_new

    def handle_primary(self, primary: Primary, now: float) -> bool:
        """Record a primary.

        :returns: whether its term is higher than that of all known primaries.
        """
        self.highest_term = max(self.highest_term, primary.term)
        if primary.term <= self._primary_term:
            return False
        self.primary = primary
        self._primary_term = primary.term
        self._learned_at = now
        self._incarnation = ""
        self._superseded_since = None
        self.reset(now)
        return True

    def reset(self, now: float) -> None:
        """Restart all timeouts, as the time before now doesn't count."""
        names = [item.name for item in self.group.databases]
        self._detector.reset(names, now)
        self._progress_at = now
        self._without_primary_since = now
        if self._superseded_since is not None:
            self._superseded_since = now

    def find_failover_reason(self, now: float) -> str | None:
        """Return the reason why the group needs a new primary, or ``None``."""
        if not has_majority(self.group, self._list_reachable(now)):
            # Without a reachable majority no fence can succeed. Orders that arrive
            # after the partition would only disrupt a healthy primary.
            return None
        if self.primary is None:
            has_waited = now - self._without_primary_since > GRACE_SECONDS
            return "no primary" if has_waited else None
        if self._detector.is_suspected(self.primary.database, now):
            return "silent"
        since = self._superseded_since
        if since is not None and now - since > GRACE_SECONDS:
            return "superseded"
        report = self._reports.get(self.primary.database)
        if report is not None and report.is_leaving:
            return "leaving"
        if self._is_stalled(now):
            return "stalled"
        return None

    def list_leaving(self) -> list[str]:
        """List the databases that announced that they are leaving."""
        return [name for name, item in self._reports.items() if item.is_leaving]

    def _list_reachable(self, now: float) -> list[str]:
        return [
            name
            for name, report in self._reports.items()
            if now - report.received_at <= MAX_REPORT_AGE_SECONDS
            and not report.is_recovering
        ]

    def list_non_voters(self) -> list[str]:
        """List the databases whose votes must not count.

        Such a database is recovering, or lost log entries in a restart and has not
        replicated them again, so its answer to a fence proves nothing about earlier
        entries. If no majority exists without the databases that lost entries, their
        votes count all the same; the vote of a recovering database never counts.
        """
        names = {item.name for item in self.group.databases}
        has_other_majority = has_majority(
            self.group, names - self._lost_positions.keys()
        )
        non_voters = set(self._lost_positions) if has_other_majority else set()
        return sorted(non_voters.union(self._list_recovering()))

    def _list_recovering(self) -> list[str]:
        return [name for name, item in self._reports.items() if item.is_recovering]

    def _update_primary(self, report: DatabaseReport) -> bool:
        if self.primary is not None and is_no_longer_primary(
            report, self.primary, self._learned_at, self._incarnation
        ):
            self.primary = None
            self._without_primary_since = report.received_at
        if not is_active_primary(report):
            return False
        claimed = Primary(report.database, report.fenced_term)
        is_new = self.handle_primary(claimed, report.received_at)
        is_known = claimed.term == self._primary_term
        if is_known and self._incarnation in ("", report.incarnation):
            self.primary = claimed
            self._incarnation = report.incarnation
        return is_new

    def _record_loss(
        self, previous: DatabaseReport | None, report: DatabaseReport
    ) -> None:
        name = report.database
        if previous is not None and previous.incarnation != report.incarnation:
            lost = max(
                previous.position, self._lost_positions.get(name, previous.position)
            )
            self._lost_positions[name] = lost
        if (
            name in self._lost_positions
            and report.position >= self._lost_positions[name]
        ):
            del self._lost_positions[name]

    def _check_superseded(self, now: float) -> None:
        """Record since when a fence keeps the primary's writes from a majority.

        That is so when a majority is fenced at a higher term. It is also so when an
        abandoned election has fenced fewer, and those that still follow the primary are
        no majority because others restarted without their log: such a database is not
        readmitted while another one is fenced above the primary.
        """
        term = self._primary_term
        fenced = {
            name
            for name, report in self._reports.items()
            if report.fenced_term > term and not report.is_recovering
        }
        names = {item.name for item in self.group.databases}
        followers = names - fenced - set(self._list_recovering())
        if not fenced or has_majority(self.group, followers):
            self._superseded_since = None
        elif self._superseded_since is None:
            self._superseded_since = now

    def _record_progress(self, report: DatabaseReport) -> None:
        if self.primary is None or report.database != self.primary.database:
            self._progress_at = report.received_at

    def _is_stalled(self, now: float) -> bool:
        assert self.primary is not None
        written = self._reports.get(self.primary.database)
        if written is None:
            return False
        holders = [
            name
            for name, report in self._reports.items()
            if report.position >= written.position and not report.is_recovering
        ]
        if has_majority(self.group, holders):
            self._progress_at = now
        others = set(self._list_reachable(now)) - {self.primary.database}
        has_others = has_majority(self.group, others)
        return has_others and now - self._progress_at > STALL_TIMEOUT_SECONDS
