"""Which instances are in use: the platform's list, heartbeats and reports."""

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace

from ..configuration import ConfigurationChanged
from ..control import DrainStarted, PeerEnvelope
from ..events import Event, EventName
from ..interfaces import Emission, RandomSource
from ..members import (
    Heartbeat,
    InstanceInfo,
    InstanceList,
    InstanceListChange,
    InstanceListQuery,
    InstanceState,
    MembershipChanged,
    SuspicionReport,
)
from ..store_calls import StoreReply
from .heartbeats import HEARTBEAT_SECONDS, LISTED_ANNOUNCEMENT_SECONDS, Heartbeats
from .instance_list_cache import InstanceListCache
from .monitors import MonitorTable
from .signs import Sign
from .suspicion import SILENCE_SECONDS, Suspicion
from .suspicion_reports import ReportSchedule

# An instance that the list does not hold is given up after this time as suspected, or
# after two announcements are missing that no monitor misses.
FORGET_SECONDS = 60.0
UNHEARD_SECONDS = 2 * LISTED_ANNOUNCEMENT_SECONDS + FORGET_SECONDS
FORGET_CHECK_SECONDS = 10.0
# A fault of many instances shows within seconds; receivers of the membership compute
# the homes of all groups for each change. The first changes pass at once.
UPDATE_SPACING_SECONDS = 0.5
N_QUICK_UPDATES = 4
# A call this long after the due tick means that the process was held up.
PAUSE_SECONDS = 1.0


class Membership:
    """Filter from list, heartbeats and reports to the instances in use.

    Outlets: ``store`` for polls of the list, ``peers`` for :class:`Heartbeat`,
    :class:`SuspicionReport` and the messages of the list, ``membership`` for
    :class:`MembershipChanged`, ``events``.

    Hearing an ordinary heartbeat changes nothing but the time of the last sign of
    life. While the store is down, the last list, the heartbeats and the reports go on.

    :param info: this instance.
    :param incarnation: differs between two processes of the same instance name.
    :param random: for jitter and call ids.
    """

    def __init__(
        self, info: InstanceInfo, incarnation: str, random: RandomSource
    ) -> None:
        self._name = info.name
        self._heartbeats = Heartbeats(info, incarnation, random)
        self._lists = InstanceListCache(info, random)
        self._table = MonitorTable(info.name, info.data_centre)
        self._suspicion = Suspicion(info.name, self._table)
        self._reports = ReportSchedule(info.name, incarnation)
        self._suspected_at: dict[str, float] = {}
        self._members: dict[str, str] = {}
        self._listed = self._lists.entries
        self._forget_at = 0.0
        self._update_at = -math.inf
        self._is_stale = True
        self._expected_at = -math.inf
        self._current = MembershipChanged(live=(), leaving=())

    @property
    def next_tick(self) -> float | None:
        return self._find_next_tick()

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        self._notice_pause(now)
        emissions = tuple(self._handle(message, now))
        self._expected_at = self._find_next_tick()
        return emissions

    def tick(self, now: float) -> Sequence[Emission]:
        self._notice_pause(now)
        emissions = tuple(self._tick(now))
        self._expected_at = self._find_next_tick()
        return emissions

    def _find_next_tick(self) -> float:
        return min(
            self._heartbeats.next_tick,
            self._reports.due_at,
            self._lists.next_tick,
            self._suspicion.check_at,
            self._update_at if self._is_stale else math.inf,
        )

    def _notice_pause(self, now: float) -> None:
        late_seconds = now - self._expected_at
        if math.isinf(late_seconds) or late_seconds <= PAUSE_SECONDS:
            return
        self._suspicion.notice_pause(now)
        if late_seconds > SILENCE_SECONDS - HEARTBEAT_SECONDS:
            self._heartbeats.hasten_announcement(now)

    def _handle(self, message: object, now: float) -> Iterator[Emission]:
        if isinstance(message, PeerEnvelope):
            if message.peer != self._name:
                yield from self._receive(message.peer, message.message, now)
        elif isinstance(message, StoreReply):
            yield from self._lists.handle_reply(message, now)
            yield from self._follow_list(now)
        elif isinstance(message, ConfigurationChanged):
            version = message.configuration.version
            self._heartbeats.version = max(self._heartbeats.version, version)
        elif isinstance(message, DrainStarted):
            self._heartbeats.leave()
            yield self._heartbeats.announce(now)
            yield from self._update(now)

    def _receive(self, peer: str, message: object, now: float) -> Iterator[Emission]:
        if self._suspicion.notice_peer(now):
            self._heartbeats.hasten_announcement(now)
            self._is_stale = True
        if isinstance(message, Heartbeat):
            if message.source == peer:
                yield from self._hear(message, now)
        elif isinstance(message, SuspicionReport):
            if message.source == peer and peer in self._table.near:
                yield from self._handle_report(message, now)
        elif isinstance(message, InstanceListQuery):
            yield from self._lists.answer(peer, message)
        elif isinstance(message, InstanceListChange):
            if peer in self._table.near:
                yield from self._lists.handle_change(peer, message, now)
                yield from self._follow_list(now)
        elif isinstance(message, InstanceList):
            self._lists.handle_list(peer, message.instances)
            yield from self._follow_list(now)

    def _tick(self, now: float) -> Iterator[Emission]:
        if now >= self._forget_at:
            self._forget(now)
        if self._is_stale and now >= self._update_at:
            yield from self._update(now)
        elif now >= self._suspicion.check_at:
            yield from self._review(now)
        suspected = self._suspicion.suspected
        yield from self._heartbeats.tick(self._table, suspected, now)
        if now >= self._reports.due_at:
            near = sorted(self._table.near - {self._name})
            report = self._reports.make(len(near), now)
            for name in near:
                yield Emission("peers", PeerEnvelope(peer=name, message=report))
        yield from self._lists.tick(now)

    def _hear(self, heartbeat: Heartbeat, now: float) -> Iterator[Emission]:
        name = heartbeat.source
        known = self._suspicion.signs.get(name)
        is_news = self._suspicion.hear(heartbeat, now)
        if not is_news:
            return
        if known is None:
            yield _log(EventName.INSTANCE_HEARD, name)
        elif known.heartbeat.incarnation != heartbeat.incarnation:
            # The new process may know nobody.
            self._greet(name, now)
        if self._moves_view(known, heartbeat):
            yield from self._refresh(now)

    def _moves_view(self, known: Sign | None, heartbeat: Heartbeat) -> bool:
        """Whether the instances in use may change; an update goes over all of them."""
        name = heartbeat.source
        last_state = InstanceState.LIVE if known is None else known.heartbeat.state
        return (
            name not in self._members
            or name in self._suspicion.suspected
            or heartbeat.state is not last_state
            or name not in self._lists.entries
        )

    def _handle_report(self, report: SuspicionReport, now: float) -> Iterator[Emission]:
        if any(name == self._name for name, _ in report.suspects):
            near = sorted(self._table.near - {self._name})
            yield from self._heartbeats.refute(near, now)
        if self._suspicion.handle_report(report, now):
            yield from self._review(now)

    def _greet(self, name: str, now: float) -> None:
        self._heartbeats.plan_greeting(name, now)
        if name in self._table.near:
            self._reports.repeat(now)

    def _follow_list(self, now: float) -> Iterator[Emission]:
        if self._lists.entries is not self._listed:
            self._listed = self._lists.entries
            self._heartbeats.set_listed(self._name in self._listed, now)
            yield from self._refresh(now)

    # Instances in use

    def _refresh(self, now: float) -> Iterator[Emission]:
        """Update, now or as soon as the last change is old enough."""
        self._is_stale = True
        if now >= self._update_at:
            yield from self._update(now)

    def _review(self, now: float) -> Iterator[Emission]:
        """Judge who is silent; update only if that moved somebody."""
        changed = self._suspicion.review(now)
        self._reports.update(self._suspicion.list_absent(), now)
        yield from self._note_changes(changed, now)
        if changed:
            yield from self._refresh(now)

    def _note_changes(self, changed: Iterable[str], now: float) -> Iterator[Emission]:
        for name in sorted(changed):
            if name in self._suspicion.suspected:
                self._suspected_at[name] = now
                yield _log(EventName.INSTANCE_SUSPECTED, name)
                continue
            self._suspected_at.pop(name, None)
            yield _log(EventName.INSTANCE_HEARD, name)
            sign = self._suspicion.signs.get(name)
            if sign is not None and now >= sign.heard_at + SILENCE_SECONDS:
                # Back by the word of its monitors: probably another process, so the
                # state of the last one, such as leaving, no longer holds.
                self._suspicion.forget_state(name)

    def _update(self, now: float) -> Iterator[Emission]:
        self._is_stale = False
        members = {
            item.name: item.data_centre for item in self._merge_candidates().values()
        }
        if members != self._members:
            added = members.keys() - self._members.keys()
            self._members = members
            self._suspicion.set_members(members, now)
            for name in sorted(added):
                self._greet(name, now)
        changed = self._suspicion.review(now)
        self._reports.update(self._suspicion.list_absent(), now)
        yield from self._note_changes(changed, now)
        yield from self._emit(now)

    def _emit(self, now: float) -> Iterator[Emission]:
        candidates = self._merge_candidates()
        in_use = {
            name: item
            for name, item in candidates.items()
            if name not in self._suspicion.suspected
        }
        in_use[self._name] = self._heartbeats.info
        changed = MembershipChanged(
            live=_select(in_use.values(), InstanceState.LIVE),
            leaving=_select(in_use.values(), InstanceState.LEAVING),
            candidates=_select(candidates.values()),
        )
        if changed == self._current:
            return
        self._current = changed
        earliest = now - N_QUICK_UPDATES * UPDATE_SPACING_SECONDS
        self._update_at = max(self._update_at, earliest) + UPDATE_SPACING_SECONDS
        self._lists.set_instances(changed.live, changed.candidates)
        yield Emission("membership", changed)

    def _merge_candidates(self) -> dict[str, InstanceInfo]:
        """Listed and heard instances; leaving if the list or the instance says so."""
        merged = dict(self._lists.entries)
        merged.pop(self._name, None)
        for name, sign in self._suspicion.signs.items():
            if name not in merged and sign.info is not None:
                merged[name] = sign.info
            if name in merged and sign.heartbeat.state is InstanceState.LEAVING:
                merged[name] = replace(merged[name], state=InstanceState.LEAVING)
        return merged

    def _forget(self, now: float) -> None:
        """Drop the signs of instances that the list does not hold and nobody hears."""
        self._forget_at = now + FORGET_CHECK_SECONDS
        for name, sign in list(self._suspicion.signs.items()):
            if name in self._lists.entries:
                continue
            silent_seconds = now - self._suspected_at.get(name, now)
            unheard_seconds = now - sign.heard_at
            if silent_seconds >= FORGET_SECONDS or unheard_seconds >= UNHEARD_SECONDS:
                self._suspicion.forget(name)
                self._suspected_at.pop(name, None)
                self._is_stale = True


def _select(
    instances: Iterable[InstanceInfo], state: InstanceState | None = None
) -> tuple[InstanceInfo, ...]:
    chosen = (item for item in instances if state in (None, item.state))
    return tuple(sorted(chosen, key=lambda item: item.name))


def _log(name: EventName, instance: str) -> Emission:
    return Emission("events", Event(name, {"instance": instance}))
