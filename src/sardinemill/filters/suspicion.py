"""Which instances are silent: own observation and the reports of monitors."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from ..control import Heartbeat, InstanceInfo, InstanceState, SuspicionReport
from .monitors import MonitorTable

# Three heartbeats; a single lost or late one must not move the homes of groups.
SILENCE_SECONDS = 3.0
# Reports of monitors follow a silence by about half a second, so an instance that
# hears nothing at all waits one heartbeat more before it takes itself for cut off.
ISOLATION_SECONDS = 4.0
# Without a subject to listen for, only the relays' digests come, every 10 s.
QUIET_ISOLATION_SECONDS = 25.0
# A sign of another incarnation refutes reports for this long; an instance that misses
# the announcement of a restart must still learn the failure of the new process.
INCARNATION_SECONDS = 15.0
# Cap of the lifetime that a report states for itself.
MAX_REPORT_SECONDS = 60.0
# Characters of an incarnation in a report; chance matches are harmless.
N_INCARNATION = 8
# A change of the suspected moves the monitors of others; the remaining rounds follow
# at the next check.
N_ROUNDS = 4
ROUND_SECONDS = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Sign:
    """Last sign of life of an instance.

    :param info: the instance as it last introduced itself.
    :param direct_at: last heartbeat that was not an announcement; it shows that the
        source counts this instance among its monitors.
    :param previous: incarnation before this one, whose late messages don't count.
    """

    heartbeat: Heartbeat
    heard_at: float
    info: InstanceInfo | None = None
    direct_at: float = -math.inf
    previous: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Watch:
    """Subject that this instance listens for.

    :param limit: monotonic seconds before which the subject is never absent.
    """

    since: float
    limit: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Received:
    """Last report of a monitor."""

    incarnation: str
    sequence: int
    suspects: Mapping[str, str]
    received_at: float
    valid_until: float
    previous: str = ""


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
        self._reports: dict[str, _Received] = {}
        self._watched: dict[str, _Watch] = {}
        self._absent: set[str] = set()
        self._unchecked: set[str] = set()
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
                self._watched[name] = _Watch(since=now, limit=limit)
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

    def take_report(self, report: SuspicionReport, now: float) -> bool:
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
        self._reports[source] = _Received(
            incarnation=report.incarnation,
            sequence=report.sequence,
            suspects=suspects,
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
        self.check_at = min(self.check_at, now + valid_seconds)
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
        return bool(judges) and all(
            self._reports_silence(judge, name, now)
            for judge in judges
            if judge != self._instance
        )

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
                # is gone, hence twice the time.
                known = _Watch(since=now, limit=now + 2 * SILENCE_SECONDS)
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
        has_subjects = any(self._is_sent_here(name) for name in self._watched)
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

    def _find_expiry(self, report: _Received) -> float:
        """After a pause, the monitors get the time to repeat their reports."""
        return max(report.valid_until, self._resumed_at + INCARNATION_SECONDS)

    def _find_check(self, now: float) -> float:
        times = [self._find_limit(name) for name in self._watched]
        times.append(self._find_isolation())
        times.extend(self._find_expiry(item) for item in self._reports.values())
        later = min((item for item in times if item > now), default=math.inf)
        return min(later, now + ROUND_SECONDS) if self._unchecked else later
