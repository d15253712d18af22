"""Which instances are silent: own observation and the reports of monitors."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import replace

from ..members import Heartbeat, InstanceState, SuspicionReport
from .monitors import MonitorTable
from .signs import ReceivedReport, Sign, Watch

# Three heartbeats; a single lost or late one must not move the homes of groups.
SILENCE_SECONDS = 3.0
# Reports of monitors follow a silence by about half a second, so an instance that
# hears nothing at all waits one heartbeat more before it takes itself for cut off.
ISOLATION_SECONDS = 4.0
# Fewer subjects may all have failed; then only the relays' digests are sure to come,
# every 10 s.
N_SUBJECTS = 5
QUIET_ISOLATION_SECONDS = 25.0
# A sign of another incarnation refutes reports for this long; an instance that misses
# the announcement of a restart must still learn the failure of the new process.
INCARNATION_SECONDS = 15.0
# A monitor that a report names has this time to show that it lives.
DOUBT_SECONDS = 2.0
# Cap of the lifetime that a report states for itself.
MAX_REPORT_SECONDS = 60.0
# Silences before a monitor that replaces a suspected one misses a subject. The subject
# sends to it only once its own data centre has noticed the same failure.
N_TAKEOVER_SILENCES = 4
# Characters of an incarnation in a report; chance matches are harmless.
N_INCARNATION = 8
# A change of the suspected moves the monitors of others; the remaining rounds follow
# at the next check.
N_ROUNDS = 4
ROUND_SECONDS = 0.1


class Suspicion:
    """State of the failure detection of one instance.

    A first monitor that the subject sends to goes by its own observation. For everybody
    else a subject is silent when each of its judges in the own data centre says so;
    the judges are the first two monitors that this instance does not suspect itself.
    Hence one wrong report moves no view while the other judge hears the subject, and
    no report counts about a subject that its sender does not monitor.

    :param instance: own name.
    :ivar suspected: silent candidates.
    :ivar check_at: lower bound of the time at which a candidate may become silent.
    """

    def __init__(self, instance: str, table: MonitorTable) -> None:
        self.suspected: set[str] = set()
        self.check_at = math.inf
        self.signs: dict[str, Sign] = {}
        self._instance = instance
        self._table = table
        self._members: set[str] = set()
        self._reports: dict[str, ReceivedReport] = {}
        self._watched: dict[str, Watch] = {}
        self._absent: set[str] = set()
        self._unchecked: set[str] = set()
        # Reported instances: when they become doubtful, and those that are.
        self._doubt_at: dict[str, float] = {}
        self._doubtful: set[str] = set()
        self._heard_at = math.inf
        self._resumed_at = -math.inf
        self._is_isolated = False

    # Input

    def set_members(self, members: Mapping[str, str], now: float) -> None:
        """Take the candidates: data centre of each other instance by name."""
        added = members.keys() - self._members
        self._members = set(members)
        self._table.set_members(members)
        self.suspected &= self._members
        self._reports = {
            name: item for name, item in self._reports.items() if name in self._members
        }
        for name in self._list_watched():
            if name in added:
                limit = now + SILENCE_SECONDS
                self._watched[name] = Watch(since=now, limit=limit)
        self._unchecked = set(members)

    def notice_peer(self, now: float) -> bool:
        """Note that some message of another instance has arrived.

        :returns: whether this ends a time in which nothing was heard.
        """
        was_isolated = self._is_isolated
        self._heard_at = now
        if self._is_isolated:
            self._resumed_at = now
            self._set_isolated(False)
        return was_isolated

    def notice_pause(self, now: float) -> None:
        """Note that this process did not run; what it did not hear proves nothing."""
        self._resumed_at = now

    def hear(self, heartbeat: Heartbeat, now: float) -> bool | None:
        """Take a heartbeat.

        :returns: whether it changes what is known of its source, ``None`` when it is
            late or doubled and says nothing about the present.
        """
        name = heartbeat.source
        known = self.signs.get(name)
        if name in self._doubtful:
            self._doubtful.discard(name)
            self._unchecked.update(self._table.list_subjects(name))
            self.check_at = min(self.check_at, now)
        direct_at = now if heartbeat.info is None else -math.inf
        if known is None:
            self.signs[name] = Sign(
                heartbeat=heartbeat,
                heard_at=now,
                info=heartbeat.info,
                direct_at=direct_at,
            )
            self._unchecked.add(name)
            return True
        last = known.heartbeat
        is_same = last.incarnation == heartbeat.incarnation
        if (is_same and last.sequence >= heartbeat.sequence) or (
            heartbeat.incarnation == known.previous
        ):
            return None
        self.signs[name] = Sign(
            heartbeat=heartbeat,
            heard_at=now,
            info=heartbeat.info or known.info,
            direct_at=max(direct_at, known.direct_at),
            previous=known.previous if is_same else last.incarnation,
        )
        if (
            is_same
            and last.state is heartbeat.state
            and name not in self.suspected
            and heartbeat.info in (None, known.info)
        ):
            return False
        self._unchecked.add(name)
        return True

    def handle_report(self, report: SuspicionReport, now: float) -> bool:
        """Take a report of an instance of the own data centre.

        :returns: whether a view may change.
        """
        source = report.source
        known = self._reports.get(source)
        previous = ""
        if known is not None:
            if report.incarnation == known.previous:
                return False
            if report.incarnation == known.incarnation:
                if report.sequence <= known.sequence:
                    return False
                previous = known.previous
            else:
                previous = known.incarnation
        subjects = self._table.list_subjects(source)
        suspects = {
            name: incarnation
            for name, incarnation in report.suspects
            if name in subjects and name != self._instance
        }
        valid_seconds = min(report.valid_seconds, MAX_REPORT_SECONDS)
        self._reports[source] = ReceivedReport(
            incarnation=report.incarnation,
            sequence=report.sequence,
            suspects=suspects,
            since={name: self._find_since(known, name, now) for name in suspects},
            received_at=now,
            valid_until=now + valid_seconds,
            previous=previous,
        )
        before: Mapping[str, str] = known.suspects if known is not None else {}
        moved = {
            name
            for name in suspects.keys() | before.keys()
            if self._reports_silence(source, name, now) != (name in self.suspected)
        }
        self._unchecked |= moved & self._members
        for name in suspects.keys() - before.keys():
            self._doubt_at[name] = now + DOUBT_SECONDS
        self.check_at = min(self.check_at, now + min(valid_seconds, DOUBT_SECONDS))
        return bool(moved)

    def forget(self, name: str) -> None:
        """Drop the sign of an instance."""
        self.signs.pop(name, None)

    def forget_state(self, name: str) -> None:
        """Take the state of an instance as live, without a new sign of life."""
        sign = self.signs[name]
        heartbeat = replace(sign.heartbeat, state=InstanceState.LIVE)
        self.signs[name] = replace(sign, heartbeat=heartbeat)

    # Verdicts

    def review(self, now: float) -> set[str]:
        """Judge what may have changed.

        :returns: instances that became suspected or came back.
        """
        isolated = now >= self._find_isolation()
        if isolated != self._is_isolated:
            self._set_isolated(isolated)
        self._expire_reports(now)
        self._check_doubts(now)
        before = set(self.suspected)
        self._watch(now)
        for _ in range(N_ROUNDS):
            names, self._unchecked = self._unchecked & self._members, set()
            if not names:
                break
            for name in names:
                self._judge(name, now)
            self._watch(now)
        self.check_at = self._find_check(now)
        return before ^ self.suspected

    def list_absent(self) -> tuple[tuple[str, str], ...]:
        """List the subjects that this instance watches and does not hear, for a report.

        :returns: pairs of name and shortened incarnation, sorted.
        """
        return tuple((name, self._shorten(name)) for name in sorted(self._absent))

    def _judge(self, name: str, now: float) -> None:
        is_silent = self._is_silent(name, now)
        if is_silent == (name in self.suspected):
            return
        if is_silent:
            self.suspected.add(name)
        else:
            self.suspected.discard(name)
        self._unchecked.update(self._table.list_subjects(name))

    def _is_silent(self, name: str, now: float) -> bool:
        if self._is_isolated:
            return True
        judges = self._table.list_judges(name, self.suspected)
        if self._instance in judges:
            if name not in self._absent:
                return False
            if self._is_sent_here(name):
                return True
        sure = {
            judge
            for judge in judges
            if judge == self._instance or self._reports_silence(judge, name, now)
        }
        return bool(sure) and all(
            judge in sure or self._is_doubtful(judge, now) for judge in judges
        )

    def _is_doubtful(self, judge: str, now: float) -> bool:
        """Whether a judge is reported itself and has not shown that it lives.

        Two instances that monitor each other and fail together would otherwise each
        wait for the other's report.
        """
        return any(
            self._reports_silence(source, judge, now)
            and now >= self._reports[source].since[judge] + DOUBT_SECONDS
            for source in self._table.list_judges(judge, self.suspected)
        )

    def _find_since(self, known: ReceivedReport | None, name: str, now: float) -> float:
        """When a report first named an instance that has not been heard since."""
        if known is None or name not in known.suspects:
            return now
        sign = self.signs.get(name)
        if sign is not None and sign.heard_at > known.received_at:
            return now
        return known.since[name]

    def _check_doubts(self, now: float) -> None:
        for name, due_at in list(self._doubt_at.items()):
            if due_at <= now:
                del self._doubt_at[name]
                self._doubtful.add(name)
                self._unchecked.update(self._table.list_subjects(name))

    def _reports_silence(self, source: str, name: str, now: float) -> bool:
        report = self._reports.get(source)
        if report is None or name not in report.suspects:
            return False
        sign = self.signs.get(name)
        if sign is None:
            return True
        if sign.heard_at > report.received_at:
            return False
        is_same = self._shorten(name) == report.suspects[name]
        return is_same or now >= sign.heard_at + INCARNATION_SECONDS

    def _shorten(self, name: str) -> str:
        sign = self.signs.get(name)
        return sign.heartbeat.incarnation[:N_INCARNATION] if sign is not None else ""

    # Own observation

    def _list_watched(self) -> Iterator[str]:
        for name in self._table.list_subjects(self._instance):
            if self._instance in self._table.list_judges(name, self.suspected):
                yield name

    def _watch(self, now: float) -> None:
        """Follow the changes of the own subjects and of their signs."""
        watched = {}
        for name in self._list_watched():
            known = self._watched.get(name)
            if known is None:
                # A subject may learn later than this instance that one of its monitors
                # is gone, hence the longer time.
                limit = now + N_TAKEOVER_SILENCES * SILENCE_SECONDS
                known = Watch(since=now, limit=limit)
            watched[name] = known
        self._watched = watched
        absent = {name for name in watched if now >= self._find_limit(name)}
        self._unchecked |= absent ^ self._absent
        self._absent = absent

    def _is_sent_here(self, name: str) -> bool:
        """Whether a first monitor has had an ordinary heartbeat of a subject."""
        sign = self.signs.get(name)
        return (
            sign is not None
            and self._table.is_monitor(name)
            and sign.direct_at >= self._watched[name].since
        )

    def _find_limit(self, name: str) -> float:
        """Monotonic seconds until which a watched subject counts without a new sign."""
        sign = self.signs.get(name)
        heard_at = sign.heard_at if sign is not None else -math.inf
        return max(
            self._watched[name].limit,
            max(heard_at, self._resumed_at) + SILENCE_SECONDS,
        )

    def _find_isolation(self) -> float:
        n_subjects = sum(self._is_sent_here(name) for name in self._watched)
        has_subjects = n_subjects >= max(1, min(N_SUBJECTS, len(self._members) // 2))
        seconds = ISOLATION_SECONDS if has_subjects else QUIET_ISOLATION_SECONDS
        return max(self._heard_at, self._resumed_at) + seconds

    def _set_isolated(self, is_isolated: bool) -> None:
        self._is_isolated = is_isolated
        self._unchecked = set(self._members)
        self.check_at = -math.inf

    def _expire_reports(self, now: float) -> None:
        for source, report in list(self._reports.items()):
            if now >= self._find_expiry(report):
                del self._reports[source]
                self._unchecked.update(report.suspects)

    def _find_expiry(self, report: ReceivedReport) -> float:
        """After a pause, the monitors get the time to repeat their reports."""
        return max(report.valid_until, self._resumed_at + INCARNATION_SECONDS)

    def _find_check(self, now: float) -> float:
        times = [self._find_limit(name) for name in self._watched]
        times.append(self._find_isolation())
        times.extend(self._find_expiry(item) for item in self._reports.values())
        times.extend(self._doubt_at.values())
        later = min((item for item in times if item > now), default=math.inf)
        return min(later, now + ROUND_SECONDS) if self._unchecked else later
