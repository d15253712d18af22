"""Failure detection of instances by heartbeats and the reports of monitors."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import replace

from ..members import Heartbeat, InstanceState, SuspicionReport
from .liveness import LivenessRecord, MonitoredSubject, ReceivedReport
from .monitors import MonitorTable

# Three heartbeat intervals; a single lost or late heartbeat must not change the homes
# of groups.
SILENCE_SECONDS = 3.0
# Reports of monitors follow a silence by about half a second, so an instance that
# receives nothing at all waits one more heartbeat interval before it considers itself
# isolated.
ISOLATION_SECONDS = 4.0
# Fewer subjects than this may all have failed at once; then only the digests of the
# relays are certain to arrive, every 10 s, and the longer time applies.
N_ISOLATION_SUBJECTS = 5
FEW_SUBJECTS_ISOLATION_SECONDS = 25.0
# A heartbeat of an incarnation other than the reported one refutes reports for this
# long; an instance that misses the announcement of a restart must still learn of the
# failure of the new process.
INCARNATION_REFUTATION_SECONDS = 15.0
# A reported monitor is presumed failed unless it sends a heartbeat within this time.
REFUTATION_TIMEOUT_SECONDS = 2.0
# Upper bound of the lifetime that a report states.
MAX_REPORT_LIFETIME_SECONDS = 60.0
# Multiple of SILENCE_SECONDS that a monitor waits for the first heartbeat of a subject
# taken over from a suspected monitor. The subject sends to the new monitor only after
# its own data centre has detected the same failure.
N_TAKEOVER_SILENCES = 4
# Characters of an incarnation in a report; accidental matches are harmless.
N_INCARNATION_CHARACTERS = 8
# A change of the suspected instances changes the active monitors of others, so the
# evaluation runs in rounds; further rounds follow at the next check.
N_EVALUATION_ROUNDS = 4
EVALUATION_RETRY_SECONDS = 0.1


class Suspicion:
    """State of the failure detection of one instance.

    A first monitor that receives the heartbeats of a subject relies on its own
    observation. For all other instances a subject is silent when each of its active
    monitors in the local data centre reports it; the active monitors are those of the
    first two that this instance does not suspect. So one wrong report changes nothing
    while the other monitor hears the subject, and a report about a subject that its
    sender does not monitor is ignored.

    :param instance: name of this instance.
    :param table: assignment of monitors; updated with the members.
    :ivar suspected: candidates that are suspected of having failed.
    :ivar check_at: lower bound of the time at which another candidate may become
        suspected, in monotonic seconds.
    :ivar liveness_records: last heartbeat of each instance by name.
    """

    def __init__(self, instance: str, table: MonitorTable) -> None:
        self.suspected: set[str] = set()
        self.check_at = math.inf
        self.liveness_records: dict[str, LivenessRecord] = {}
        self._instance = instance
        self._table = table
        self._members: set[str] = set()
        self._reports: dict[str, ReceivedReport] = {}
        self._monitored: dict[str, MonitoredSubject] = {}
        self._unheard: set[str] = set()
        self._unevaluated: set[str] = set()
        # Reported instances: deadlines for a refutation, and those that missed it.
        self._refutation_due_at: dict[str, float] = {}
        self._unrefuted: set[str] = set()
        self._heard_at = math.inf
        self._resumed_at = -math.inf
        self._is_isolated = False

    # Input

    def set_members(self, members: Mapping[str, str], now: float) -> None:
        """Replace the candidates.

        :param members: data centre of each other instance by name.
        """
        added = members.keys() - self._members
        self._members = set(members)
        self._table.set_members(members)
        self.suspected &= self._members
        self._reports = {
            name: item for name, item in self._reports.items() if name in self._members
        }
        for name in self._list_monitored():
            if name in added:
                grace_until = now + SILENCE_SECONDS
                self._monitored[name] = MonitoredSubject(
                    monitored_since=now, grace_until=grace_until
                )
        self._unevaluated = set(members)

    def record_peer_message(self, now: float) -> bool:
        """Record that a message of another instance has arrived.

        :returns: whether this instance was isolated until now.
        """
        was_isolated = self._is_isolated
        self._heard_at = now
        if self._is_isolated:
            self._resumed_at = now
            self._set_isolated(False)
        return was_isolated

    def record_pause(self, now: float) -> None:
        """Record that this process was paused, so earlier silence proves nothing."""
        self._resumed_at = now

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool | None:
        """Record a heartbeat.

        :returns: whether it changes what is known of its source; ``None`` when it is
            late or a duplicate and proves nothing about the present state.
        """
        name = heartbeat.source
        known = self.liveness_records.get(name)
        if name in self._unrefuted:
            self._unrefuted.discard(name)
            self._unevaluated.update(self._table.list_subjects(name))
            self.check_at = min(self.check_at, now)
        direct_heard_at = now if heartbeat.info is None else -math.inf
        if known is None:
            self.liveness_records[name] = LivenessRecord(
                heartbeat=heartbeat,
                heard_at=now,
                info=heartbeat.info,
                direct_heard_at=direct_heard_at,
            )
            self._unevaluated.add(name)
            return True
        last = known.heartbeat
        is_same = last.incarnation == heartbeat.incarnation
        if (is_same and last.sequence >= heartbeat.sequence) or (
            heartbeat.incarnation == known.previous_incarnation
        ):
            return None
        self.liveness_records[name] = LivenessRecord(
            heartbeat=heartbeat,
            heard_at=now,
            info=heartbeat.info or known.info,
            direct_heard_at=max(direct_heard_at, known.direct_heard_at),
            previous_incarnation=known.previous_incarnation
            if is_same
            else last.incarnation,
        )
        if (
            is_same
            and last.state is heartbeat.state
            and name not in self.suspected
            and heartbeat.info in (None, known.info)
        ):
            return False
        self._unevaluated.add(name)
        return True

    def handle_report(self, report: SuspicionReport, now: float) -> bool:
        """Record a report of an instance of the local data centre.

        :returns: whether the suspected instances may change.
        """
        source = report.source
        known = self._reports.get(source)
        previous_incarnation = ""
        if known is not None:
            if report.incarnation == known.previous_incarnation:
                return False
            if report.incarnation == known.incarnation:
                if report.sequence <= known.sequence:
                    return False
                previous_incarnation = known.previous_incarnation
            else:
                previous_incarnation = known.incarnation
        subjects = self._table.list_subjects(source)
        suspects = {
            name: incarnation
            for name, incarnation in report.suspects
            if name in subjects and name != self._instance
        }
        valid_seconds = min(report.valid_seconds, MAX_REPORT_LIFETIME_SECONDS)
        self._reports[source] = ReceivedReport(
            incarnation=report.incarnation,
            sequence=report.sequence,
            suspects=suspects,
            reported_since={
                name: self._find_reported_since(known, name, now) for name in suspects
            },
            received_at=now,
            valid_until=now + valid_seconds,
            previous_incarnation=previous_incarnation,
        )
        before: Mapping[str, str] = known.suspects if known is not None else {}
        changed = {
            name
            for name in suspects.keys() | before.keys()
            if self._reports_silence(source, name, now) != (name in self.suspected)
        }
        self._unevaluated |= changed & self._members
        for name in suspects.keys() - before.keys():
            self._refutation_due_at[name] = now + REFUTATION_TIMEOUT_SECONDS
        self.check_at = min(
            self.check_at, now + min(valid_seconds, REFUTATION_TIMEOUT_SECONDS)
        )
        return bool(changed)

    def forget(self, name: str) -> None:
        """Remove the liveness record of an instance."""
        self.liveness_records.pop(name, None)

    def reset_state(self, name: str) -> None:
        """Set the state of an instance to live without a new heartbeat."""
        record = self.liveness_records[name]
        heartbeat = replace(record.heartbeat, state=InstanceState.LIVE)
        self.liveness_records[name] = replace(record, heartbeat=heartbeat)

    # Evaluation

    def evaluate(self, now: float) -> set[str]:
        """Re-evaluate the candidates whose status may have changed.

        :returns: instances that became suspected or are no longer suspected.
        """
        isolated = now >= self._find_isolation_time()
        if isolated != self._is_isolated:
            self._set_isolated(isolated)
        self._expire_reports(now)
        self._expire_refutation_times(now)
        before = set(self.suspected)
        self._update_monitored(now)
        for _ in range(N_EVALUATION_ROUNDS):
            names, self._unevaluated = self._unevaluated & self._members, set()
            if not names:
                break
            for name in names:
                self._evaluate_member(name, now)
            self._update_monitored(now)
        self.check_at = self._find_next_check(now)
        return before ^ self.suspected

    def list_unheard(self) -> tuple[tuple[str, str], ...]:
        """List the subjects that this instance monitors and does not hear.

        :returns: pairs of name and shortened incarnation, sorted.
        """
        return tuple(
            (name, self._shorten_incarnation(name)) for name in sorted(self._unheard)
        )

    def _evaluate_member(self, name: str, now: float) -> None:
        is_silent = self._is_silent(name, now)
        if is_silent == (name in self.suspected):
            return
        if is_silent:
            self.suspected.add(name)
        else:
            self.suspected.discard(name)
        self._unevaluated.update(self._table.list_subjects(name))

    def _is_silent(self, name: str, now: float) -> bool:
        if self._is_isolated:
            return True
        monitors = self._table.list_active_monitors(name, self.suspected)
        if self._instance in monitors:
            if name not in self._unheard:
                return False
            if self._receives_direct_heartbeats(name):
                return True
        confirming = {
            monitor
            for monitor in monitors
            if monitor == self._instance or self._reports_silence(monitor, name, now)
        }
        return bool(confirming) and all(
            monitor in confirming or self._is_presumed_failed(monitor, now)
            for monitor in monitors
        )

    def _is_presumed_failed(self, monitor: str, now: float) -> bool:
        """Return whether a monitor is itself reported and has not refuted the report.

        If two instances that monitor each other fail together, neither can report the
        other, so neither would ever become suspected without this rule.
        """
        return any(
            self._reports_silence(source, monitor, now)
            and now
            >= self._reports[source].reported_since[monitor]
            + REFUTATION_TIMEOUT_SECONDS
            for source in self._table.list_active_monitors(monitor, self.suspected)
        )

    def _find_reported_since(
        self, known: ReceivedReport | None, name: str, now: float
    ) -> float:
        """Return since when a source reports an instance without a heartbeat of it."""
        if known is None or name not in known.suspects:
            return now
        record = self.liveness_records.get(name)
        if record is not None and record.heard_at > known.received_at:
            return now
        return known.reported_since[name]

    def _expire_refutation_times(self, now: float) -> None:
        for name, due_at in list(self._refutation_due_at.items()):
            if due_at <= now:
                del self._refutation_due_at[name]
                self._unrefuted.add(name)
                self._unevaluated.update(self._table.list_subjects(name))

    def _reports_silence(self, source: str, name: str, now: float) -> bool:
        report = self._reports.get(source)
        if report is None or name not in report.suspects:
            return False
        record = self.liveness_records.get(name)
        if record is None:
            return True
        if record.heard_at > report.received_at:
            return False
        is_same = self._shorten_incarnation(name) == report.suspects[name]
        return is_same or now >= record.heard_at + INCARNATION_REFUTATION_SECONDS

    def _shorten_incarnation(self, name: str) -> str:
        record = self.liveness_records.get(name)
        return (
            record.heartbeat.incarnation[:N_INCARNATION_CHARACTERS]
            if record is not None
            else ""
        )

    # Own observation

    def _list_monitored(self) -> Iterator[str]:
        for name in self._table.list_subjects(self._instance):
            if self._instance in self._table.list_active_monitors(name, self.suspected):
                yield name

    def _update_monitored(self, now: float) -> None:
        """Update which subjects this instance monitors and which of them are silent."""
        monitored = {}
        for name in self._list_monitored():
            known = self._monitored.get(name)
            if known is None:
                # The subject may detect the failure of its monitor later than this
                # instance does, hence the longer time.
                grace_until = now + N_TAKEOVER_SILENCES * SILENCE_SECONDS
                known = MonitoredSubject(monitored_since=now, grace_until=grace_until)
            monitored[name] = known
        self._monitored = monitored
        unheard = {
            name for name in monitored if now >= self._find_silence_deadline(name)
        }
        self._unevaluated |= unheard ^ self._unheard
        self._unheard = unheard

    def _receives_direct_heartbeats(self, name: str) -> bool:
        """Return whether this first monitor got an ordinary heartbeat of a subject."""
        record = self.liveness_records.get(name)
        return (
            record is not None
            and self._table.is_first_monitor(name)
            and record.direct_heard_at >= self._monitored[name].monitored_since
        )

    def _find_silence_deadline(self, name: str) -> float:
        """Return when a monitored subject becomes silent without a new heartbeat."""
        record = self.liveness_records.get(name)
        heard_at = record.heard_at if record is not None else -math.inf
        return max(
            self._monitored[name].grace_until,
            max(heard_at, self._resumed_at) + SILENCE_SECONDS,
        )

    def _find_isolation_time(self) -> float:
        n_subjects = sum(
            self._receives_direct_heartbeats(name) for name in self._monitored
        )
        has_subjects = n_subjects >= max(
            1, min(N_ISOLATION_SUBJECTS, len(self._members) // 2)
        )
        seconds = ISOLATION_SECONDS if has_subjects else FEW_SUBJECTS_ISOLATION_SECONDS
        return max(self._heard_at, self._resumed_at) + seconds

    def _set_isolated(self, is_isolated: bool) -> None:
        self._is_isolated = is_isolated
        self._unevaluated = set(self._members)
        self.check_at = -math.inf

    def _expire_reports(self, now: float) -> None:
        for source, report in list(self._reports.items()):
            if now >= self._find_expiry(report):
                del self._reports[source]
                self._unevaluated.update(report.suspects)

    def _find_expiry(self, report: ReceivedReport) -> float:
        """Return when a report expires; a pause extends it until monitors repeat it."""
        return max(
            report.valid_until, self._resumed_at + INCARNATION_REFUTATION_SECONDS
        )

    def _find_next_check(self, now: float) -> float:
        times = [self._find_silence_deadline(name) for name in self._monitored]
        times.append(self._find_isolation_time())
        times.extend(self._find_expiry(item) for item in self._reports.values())
        times.extend(self._refutation_due_at.values())
        later = min((item for item in times if item > now), default=math.inf)
        return (
            min(later, now + EVALUATION_RETRY_SECONDS) if self._unevaluated else later
        )
