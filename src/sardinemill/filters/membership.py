"""Membership: the instances in use, by the platform's list, heartbeats and reports."""

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
from .heartbeats import (
    HEARTBEAT_SECONDS,
    LISTED_ANNOUNCEMENT_INTERVAL_SECONDS,
    Heartbeats,
)
from .instance_list_cache import InstanceListCache
from .liveness import LivenessRecord
from .monitors import MonitorTable
from .suspicion import SILENCE_SECONDS, Suspicion
from .suspicion_reports import ReportSchedule

# An instance that the platform's list does not hold is removed after it was suspected
# for this time, or after two missing announcements if no monitor reports it.
FORGET_SECONDS = 60.0
UNHEARD_SECONDS = 2 * LISTED_ANNOUNCEMENT_INTERVAL_SECONDS + FORGET_SECONDS
FORGET_CHECK_SECONDS = 10.0
# A fault of many instances is detected over some seconds, and receivers compute the
# homes of all groups for each change, so changes are spaced. A burst of the first few
# passes without delay.
UPDATE_SPACING_SECONDS = 0.5
N_BURST_UPDATES = 4
# A call this long after the due tick means that the process was paused.
PAUSE_SECONDS = 1.0


class Membership:
    """Filter that determines the instances in use.

    Its input is the platform's list of instances, heartbeats and suspicion reports.
    Candidates are the other instances that are listed or were heard; those that are not
    suspected are in use.

    Outlets: ``store`` for polls of the list, ``peers`` for :class:`Heartbeat`,
    :class:`SuspicionReport` and the messages of the list, ``membership`` for
    :class:`MembershipChanged`, ``events``.

    An ordinary heartbeat updates only the liveness record of its source, which keeps
    heartbeats cheap. While the store is down, the last list, the heartbeats and the
    reports remain in use.

    :param info: description of this instance.
    :param incarnation: differs between two processes of the same instance name.
    :param random: for jitter and call ids.
    """

    def __init__(
        self, info: InstanceInfo, incarnation: str, random: RandomSource
    ) -> None:
        self._name = info.name
        self._heartbeats = Heartbeats(info, incarnation, random)
        self._list_cache = InstanceListCache(info, random)
        self._table = MonitorTable(info.name, info.data_centre)
        self._suspicion = Suspicion(info.name, self._table)
        self._report_schedule = ReportSchedule(info.name, incarnation)
        self._suspected_at: dict[str, float] = {}
        self._members: dict[str, str] = {}
        self._applied_entries = self._list_cache.entries
        self._forget_at = 0.0
        self._update_at = -math.inf
        self._needs_update = True
        self._due_at = -math.inf
        self._last_emitted = MembershipChanged(live=(), leaving=())

    @property
    def next_tick(self) -> float | None:
        return self._find_next_tick()

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        self._detect_pause(now)
        emissions = tuple(self._handle(message, now))
        self._due_at = self._find_next_tick()
        return emissions

    def tick(self, now: float) -> Sequence[Emission]:
        self._detect_pause(now)
        emissions = tuple(self._tick(now))
        self._due_at = self._find_next_tick()
        return emissions

    def _find_next_tick(self) -> float:
        return min(
            self._heartbeats.next_tick,
            self._report_schedule.due_at,
            self._list_cache.next_tick,
            self._suspicion.check_at,
            self._update_at if self._needs_update else math.inf,
        )

    def _detect_pause(self, now: float) -> None:
        late_seconds = now - self._due_at
        if math.isinf(late_seconds) or late_seconds <= PAUSE_SECONDS:
            return
        self._suspicion.record_pause(now)
        if late_seconds > SILENCE_SECONDS - HEARTBEAT_SECONDS:
            self._heartbeats.schedule_announcement(now)

    def _handle(self, message: object, now: float) -> Iterator[Emission]:
        if isinstance(message, PeerEnvelope):
            if message.peer != self._name:
                yield from self._handle_peer_message(message.peer, message.message, now)
        elif isinstance(message, StoreReply):
            yield from self._list_cache.handle_reply(message, now)
            yield from self._apply_list(now)
        elif isinstance(message, ConfigurationChanged):
            version = message.configuration.version
            self._heartbeats.version = max(self._heartbeats.version, version)
        elif isinstance(message, DrainStarted):
            self._heartbeats.set_leaving()
            yield self._heartbeats.announce(now)
            yield from self._update(now)

    def _handle_peer_message(
        self, peer: str, message: object, now: float
    ) -> Iterator[Emission]:
        if self._suspicion.record_peer_message(now):
            self._heartbeats.schedule_announcement(now)
            self._needs_update = True
        if isinstance(message, Heartbeat):
            if message.source == peer:
                yield from self._handle_heartbeat(message, now)
        elif isinstance(message, SuspicionReport):
            if message.source == peer and peer in self._table.local_members:
                yield from self._handle_report(message, now)
        elif isinstance(message, InstanceListQuery):
            yield from self._list_cache.handle_query(peer, message)
        elif isinstance(message, InstanceListChange):
            if peer in self._table.local_members:
                yield from self._list_cache.handle_change(peer, message, now)
                yield from self._apply_list(now)
        elif isinstance(message, InstanceList):
            self._list_cache.handle_list(peer, message.instances)
            yield from self._apply_list(now)

    def _tick(self, now: float) -> Iterator[Emission]:
        if now >= self._forget_at:
            self._forget_unheard(now)
        if self._needs_update and now >= self._update_at:
            yield from self._update(now)
        elif now >= self._suspicion.check_at:
            yield from self._evaluate(now)
        suspected = self._suspicion.suspected
        yield from self._heartbeats.tick(self._table, suspected, now)
        if now >= self._report_schedule.due_at:
            local_members = sorted(self._table.local_members - {self._name})
            report = self._report_schedule.make_report(len(local_members), now)
            for name in local_members:
                yield Emission("peers", PeerEnvelope(peer=name, message=report))
        yield from self._list_cache.tick(now)

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> Iterator[Emission]:
        name = heartbeat.source
        known = self._suspicion.liveness_records.get(name)
        is_change = self._suspicion.handle_heartbeat(heartbeat, now)
        if not is_change:
            return
        if known is None:
            yield _make_event(EventName.INSTANCE_HEARD, name)
        elif known.heartbeat.incarnation != heartbeat.incarnation:
            # The new process may not know any peer.
            self._introduce_to(name, now)
        if self._may_change_membership(known, heartbeat):
            yield from self._schedule_update(now)

    def _may_change_membership(
        self, known: LivenessRecord | None, heartbeat: Heartbeat
    ) -> bool:
        """Return whether the instances in use may change; an update scans them all."""
        name = heartbeat.source
        last_state = InstanceState.LIVE if known is None else known.heartbeat.state
        return (
            name not in self._members
            or name in self._suspicion.suspected
            or heartbeat.state is not last_state
            or name not in self._list_cache.entries
        )

    def _handle_report(self, report: SuspicionReport, now: float) -> Iterator[Emission]:
        if any(name == self._name for name, _ in report.suspects):
            local_members = sorted(self._table.local_members - {self._name})
            yield from self._heartbeats.refute(local_members, now)
        if self._suspicion.handle_report(report, now):
            yield from self._evaluate(now)

    def _introduce_to(self, name: str, now: float) -> None:
        self._heartbeats.schedule_introduction(name, now)
        if name in self._table.local_members:
            self._report_schedule.schedule_repeat(now)

    def _apply_list(self, now: float) -> Iterator[Emission]:
        if self._list_cache.entries is not self._applied_entries:
            self._applied_entries = self._list_cache.entries
            self._heartbeats.set_listed(self._name in self._applied_entries, now)
            yield from self._schedule_update(now)

    # Instances in use

    def _schedule_update(self, now: float) -> Iterator[Emission]:
        """Update now, or as soon as the spacing of changes allows."""
        self._needs_update = True
        if now >= self._update_at:
            yield from self._update(now)

    def _evaluate(self, now: float) -> Iterator[Emission]:
        """Evaluate the suspicions; update only if an instance changed its status."""
        changed = self._suspicion.evaluate(now)
        self._report_schedule.set_suspects(self._suspicion.list_unheard(), now)
        yield from self._record_changes(changed, now)
        if changed:
            yield from self._schedule_update(now)

    def _record_changes(self, changed: Iterable[str], now: float) -> Iterator[Emission]:
        for name in sorted(changed):
            if name in self._suspicion.suspected:
                self._suspected_at[name] = now
                yield _make_event(EventName.INSTANCE_SUSPECTED, name)
                continue
            self._suspected_at.pop(name, None)
            yield _make_event(EventName.INSTANCE_HEARD, name)
            record = self._suspicion.liveness_records.get(name)
            if record is not None and now >= record.heard_at + SILENCE_SECONDS:
                # Its monitors withdrew their reports, but this instance has no new
                # heartbeat. It is probably another process, so the state of the last
                # one, such as leaving, no longer holds.
                self._suspicion.reset_state(name)

    def _update(self, now: float) -> Iterator[Emission]:
        self._needs_update = False
        members = {
            item.name: item.data_centre for item in self._merge_candidates().values()
        }
        if members != self._members:
            added = members.keys() - self._members.keys()
            self._members = members
            self._suspicion.set_members(members, now)
            for name in sorted(added):
                self._introduce_to(name, now)
        changed = self._suspicion.evaluate(now)
        self._report_schedule.set_suspects(self._suspicion.list_unheard(), now)
        yield from self._record_changes(changed, now)
        yield from self._emit_membership(now)

    def _emit_membership(self, now: float) -> Iterator[Emission]:
        candidates = self._merge_candidates()
        in_use = {
            name: item
            for name, item in candidates.items()
            if name not in self._suspicion.suspected
        }
        in_use[self._name] = self._heartbeats.info
        changed = MembershipChanged(
            live=_select_instances(in_use.values(), InstanceState.LIVE),
            leaving=_select_instances(in_use.values(), InstanceState.LEAVING),
            candidates=_select_instances(candidates.values()),
        )
        if changed == self._last_emitted:
            return
        self._last_emitted = changed
        earliest = now - N_BURST_UPDATES * UPDATE_SPACING_SECONDS
        self._update_at = max(self._update_at, earliest) + UPDATE_SPACING_SECONDS
        self._list_cache.set_instances(changed.live, changed.candidates)
        yield Emission("membership", changed)

    def _merge_candidates(self) -> dict[str, InstanceInfo]:
        """Return listed and heard instances by name.

        An instance is leaving if the list or its last heartbeat states so.
        """
        merged = dict(self._list_cache.entries)
        merged.pop(self._name, None)
        for name, record in self._suspicion.liveness_records.items():
            if name not in merged and record.info is not None:
                merged[name] = record.info
            if name in merged and record.heartbeat.state is InstanceState.LEAVING:
                merged[name] = replace(merged[name], state=InstanceState.LEAVING)
        return merged

    def _forget_unheard(self, now: float) -> None:
        """Remove the records of unlisted instances that are no longer heard."""
        self._forget_at = now + FORGET_CHECK_SECONDS
        for name, record in list(self._suspicion.liveness_records.items()):
            if name in self._list_cache.entries:
                continue
            silent_seconds = now - self._suspected_at.get(name, now)
            unheard_seconds = now - record.heard_at
            if silent_seconds >= FORGET_SECONDS or unheard_seconds >= UNHEARD_SECONDS:
                self._suspicion.forget(name)
                self._suspected_at.pop(name, None)
                self._needs_update = True


def _select_instances(
    instances: Iterable[InstanceInfo], state: InstanceState | None = None
) -> tuple[InstanceInfo, ...]:
    chosen = (item for item in instances if state in (None, item.state))
    return tuple(sorted(chosen, key=lambda item: item.name))


def _make_event(name: EventName, instance: str) -> Emission:
    return Emission("events", Event(name, {"instance": instance}))
