"""Filter that replaces primaries; acts only while this instance is a coordinator.

A change goes through the fleet record: the group is marked as changing, which ends
every right to its primary within ``PRIMARY_LEASE_SECONDS``. Only after that are the
replicas asked for their positions and the one that received most is promoted. A
coordinator that stops in between is followed by another one with a higher fencing
token.
"""

from collections.abc import Sequence
from dataclasses import replace
from enum import StrEnum

from ..events import Event, EventName
from ..interfaces import Emission
from ..sessions.messages import DrainStarted
from .failover_messages import (
    DatabaseStatus,
    DemoteDatabase,
    ProbeDatabase,
    PromoteDatabase,
    PromotionResult,
    QueryDatabaseStatus,
)
from .failure_detection import DEAD_SECONDS, LEAVING, UNREACHABLE, PrimaryWatch
from .primary_lease import PRIMARY_LEASE_MARGIN_SECONDS, PRIMARY_LEASE_SECONDS
from .records import (
    DatabaseEntry,
    Directory,
    FleetRecord,
    GroupPhase,
    GroupRecord,
)
from .views import (
    CoordinatorRoleChanged,
    DatabaseContact,
    DirectoryChanged,
    FailoversInProgress,
    GroupProposal,
    RecordConfirmed,
)

TICK_SECONDS = 0.1
# Coordinators further down the list wait longer, so that mostly one acts.
RANK_DELAY_SECONDS = 0.4
# A holder acts within this time of its write, or not at all.
HOLDER_TIMEOUT_SECONDS = 6.0
# Another coordinator takes over after this time; longer than the holder may act.
TAKEOVER_DELAY_SECONDS = HOLDER_TIMEOUT_SECONDS + 2.0
# A holder that abandoned its change tries again sooner, as does another coordinator
# once the holder's process has ended; a call of it may still be on its way.
RETRY_SECONDS = 1.5
# Replicas are asked again at this interval.
MEASURE_SECONDS = 0.25
# Answers of replicas are waited for this long before the best of them is chosen.
MEASURE_WAIT_SECONDS = 0.6
# A planned change waits this long for a replica to receive everything.
CATCH_UP_SECONDS = 2.0
PROBE_SECONDS = 0.25
# The old primary is told to step down at this interval until it does.
DEMOTE_SECONDS = 0.5
DEMOTE_LIMIT_SECONDS = 10.0
NEVER = float("-inf")


class Step(StrEnum):
    """Step of a change at the holder."""

    WAIT = "wait for rights to end"
    MEASURE = "ask replicas for positions"
    PROMOTE = "order the promotion"
    CONFIRM = "wait for the new primary"
    RECORD = "record the new primary"


class _Change:
    """Change that this instance carries out.

    :ivar began_at: before the write that marked the group.
    :ivar is_fresh: no holder before this one may have ordered a promotion.
    """

    def __init__(
        self,
        began_at: float,
        record: GroupRecord,
        reason: str,
        is_planned: bool,
        is_fresh: bool = True,
    ) -> None:
        self.began_at = began_at
        self.record = record
        self.reason = reason
        self.is_planned = is_planned
        self.fence = 0
        self.is_fresh = is_fresh
        self.step: Step = Step.WAIT
        self.due_at: float = 0.0
        self.measured_since: float = 0.0
        self.statuses: dict[str, DatabaseStatus] = {}
        self.refused: set[str] = set()
        self.target = ""
        self.term = 0


class _Group:
    """What is known about the primary of a group."""

    def __init__(self) -> None:
        self.suspected_since: float | None = None
        self.probe_due_at: float = NEVER
        self.proposed_at: float = NEVER
        self.changing_since: float | None = None
        self.changing_key: tuple[str, int, int] = ("", 0, 0)


class PrimaryFailover:
    """Decides when a primary is replaced and by which database.

    Outlets: ``proposals`` (:class:`GroupProposal`), ``running``
    (:class:`FailoversInProgress`), ``databases`` (:class:`QueryDatabaseStatus`,
    :class:`ProbeDatabase`, :class:`DemoteDatabase`), ``platform``
    (:class:`PromoteDatabase`), ``events``.

    :param instance: own name, the holder of what it changes.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._next_tick = 0.0
        self._record = FleetRecord()
        self._confirmed_at = NEVER
        self._directory = Directory()
        self._rank: int | None = None
        self._is_established = False
        self._is_leaving = False
        self._n_told = 0
        self._watch = PrimaryWatch()
        self._groups: dict[str, _Group] = {}
        self._changes: dict[str, _Change] = {}
        # Old primaries to step down: term, next order, end.
        self._demotions: dict[str, tuple[int, float, float]] = {}

    @property
    def next_tick(self) -> float | None:
        return self._next_tick

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, RecordConfirmed):
            self._record = message.record
            self._confirmed_at = message.confirmed_at
        elif isinstance(message, DirectoryChanged):
            self._directory = message.directory
        elif isinstance(message, CoordinatorRoleChanged):
            self._rank = message.rank
            self._is_established = message.is_established
        elif isinstance(message, DrainStarted):
            self._is_leaving = True
        elif isinstance(message, DatabaseContact):
            self._watch.note(message)
        elif isinstance(message, DatabaseStatus):
            return self._take_status(message, now)
        elif isinstance(message, PromotionResult):
            return self._take_answer(message, now)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        self._next_tick = now + TICK_SECONDS
        if self._rank is None:
            self._changes.clear()
            self._groups.clear()
            return self._tell_running()
        emissions: list[Emission] = []
        for name in sorted({item.group for item in self._directory.databases}):
            emissions += self._watch_group(name, now)
        for name in list(self._changes):
            emissions += self._advance(name, now)
        emissions += self._order_demotions(now)
        return [*self._tell_running(), *emissions]

    def _tell_running(self) -> list[Emission]:
        if len(self._changes) == self._n_told:
            return []
        self._n_told = len(self._changes)
        return [Emission("running", FailoversInProgress(self._n_told))]

    # Whether a change is needed

    def _watch_group(self, name: str, now: float) -> list[Emission]:
        state = self._groups.setdefault(name, _Group())
        record = self._record.find_group(name)
        if record is None or not record.primary:
            return self._introduce(name, record, state, now)
        if record.phase is GroupPhase.CHANGING:
            return self._watch_change(record, state, now)
        state.changing_since = None
        if name in self._changes and self._changes[name].step is Step.RECORD:
            return [self._tell_completed(self._changes.pop(name), record, now)]
        emissions: list[Emission] = []
        reason = self._watch.find_reason(record, self._directory, now)
        if reason is None:
            state.suspected_since = None
            return emissions
        if state.suspected_since is None:
            state.suspected_since = now
        if reason == UNREACHABLE:
            emissions += self._probe(record.primary, state, now)
        assert self._rank is not None
        wait = self._rank * RANK_DELAY_SECONDS
        wait += DEAD_SECONDS if reason == UNREACHABLE else 0.0
        silent_since = state.suspected_since
        if reason == UNREACHABLE:
            alive_at = self._watch.find_alive_at(record.primary)
            silent_since = silent_since if alive_at == NEVER else alive_at
        if now - silent_since >= wait and self._has_replica(record):
            emissions += self._propose_change(record, state, reason, now)
        return emissions

    def _introduce(
        self, name: str, record: GroupRecord | None, state: _Group, now: float
    ) -> list[Emission]:
        """Record the primary that the databases themselves name."""
        named = [item for item in self._directory.list_group(name) if item.is_primary]
        if len(named) != 1 or now - state.proposed_at < 1.0:
            return []
        state.proposed_at = now
        group = GroupRecord(
            group=name, primary=named[0].name, primary_born_ms=named[0].born_ms
        )
        return [Emission("proposals", GroupProposal(group, record))]

    def _has_replica(self, record: GroupRecord) -> bool:
        return any(self._list_targets(record.group, record.primary))

    def _list_targets(self, group: str, primary: str) -> list[DatabaseEntry]:
        return [
            item
            for item in self._directory.list_group(group)
            if item.name != primary and not item.is_leaving
        ]

    def _probe(self, database: str, state: _Group, now: float) -> list[Emission]:
        entry = self._directory.find(database)
        if entry is None or now < state.probe_due_at:
            return []
        state.probe_due_at = now + PROBE_SECONDS
        return [Emission("databases", ProbeDatabase(entry))]

    @property
    def _may_begin(self) -> bool:
        return self._is_established and not self._is_leaving

    def _propose_change(
        self, record: GroupRecord, state: _Group, reason: str, now: float
    ) -> list[Emission]:
        if not self._may_begin or now - state.proposed_at < 1.0:
            return []
        state.proposed_at = now
        marked = replace(record, phase=GroupPhase.CHANGING)
        self._changes[record.group] = _Change(
            began_at=now,
            record=marked,
            reason=reason,
            is_planned=reason == LEAVING,
        )
        return [
            Emission(
                "proposals", GroupProposal(marked, record, acquires_fencing_token=True)
            )
        ]

    def _watch_change(
        self, record: GroupRecord, state: _Group, now: float
    ) -> list[Emission]:
        """Take over a change whose holder has not ended it in time."""
        key = (self._record.holder, self._record.fence, record.attempt)
        if state.changing_since is None or state.changing_key != key:
            state.changing_since = now
            state.changing_key = key
        if record.group in self._changes or not self._may_begin:
            return []
        assert self._rank is not None
        wait = TAKEOVER_DELAY_SECONDS + self._rank * RANK_DELAY_SECONDS
        if self._is_holder_gone():
            wait = RETRY_SECONDS + self._rank * RANK_DELAY_SECONDS
        if now - state.changing_since < wait or now - state.proposed_at < 1.0:
            return []
        state.proposed_at = now
        again = replace(record, attempt=record.attempt + 1)
        self._changes[record.group] = _Change(
            began_at=now,
            record=again,
            reason=f"{self._record.holder} did not finish",
            is_planned=False,
            is_fresh=False,
        )
        return [
            Emission(
                "proposals", GroupProposal(again, record, acquires_fencing_token=True)
            )
        ]

    def _is_holder_gone(self) -> bool:
        """Tell whether the holder's process has ended, or is this one."""
        holder = self._record.find_coordinator(self._record.holder)
        if self._record.holder == self._instance:
            return True
        incarnation = self._record.holder_incarnation
        return holder is not None and holder.incarnation != incarnation

    # Steps of a change

    def _advance(self, name: str, now: float) -> list[Emission]:
        change = self._changes[name]
        # Recording what the databases say is safe at any time, ordering is not.
        is_ordered = change.step in (Step.CONFIRM, Step.RECORD)
        limit = 2 * HOLDER_TIMEOUT_SECONDS if is_ordered else HOLDER_TIMEOUT_SECONDS
        if now - change.began_at > limit:
            return self._abandon(name, "out of time")
        if change.step is Step.WAIT:
            return self._wait_for_rights(name, change, now)
        if change.step is Step.MEASURE:
            return self._measure(name, change, now)
        if change.step is Step.CONFIRM and now >= change.due_at:
            change.due_at = now + MEASURE_SECONDS
            entry = self._directory.find(change.target)
            return (
                []
                if entry is None
                else [Emission("databases", QueryDatabaseStatus(entry))]
            )
        if change.step is Step.RECORD and now >= change.due_at:
            change.due_at = now + 0.5
            return [Emission("proposals", self._make_new_record(change))]
        return []

    def _wait_for_rights(
        self, name: str, change: _Change, now: float
    ) -> list[Emission]:
        if change.fence == 0:
            current = self._record.find_group(name)
            if current == change.record and self._record.holder == self._instance:
                # The write has taken effect: later evidence shows it.
                change.fence = self._record.fence
                change.due_at = (
                    now + PRIMARY_LEASE_SECONDS + PRIMARY_LEASE_MARGIN_SECONDS
                )
                return [self._tell_started(change, now)]
            elif now - change.began_at > HOLDER_TIMEOUT_SECONDS / 3:
                del self._changes[name]
            return []
        if now < change.due_at:
            return []
        change.step = Step.MEASURE
        change.measured_since = now
        change.due_at = now
        return self._measure(name, change, now)

    def _tell_started(self, change: _Change, now: float) -> Emission:
        primary = change.record.primary
        alive_at = self._watch.find_alive_at(primary)
        fields = {
            "group": change.record.group,
            "primary": primary,
            "reason": change.reason,
            "rank": self._rank,
            "fence": change.fence,
            "silent_seconds": round(min(now - alive_at, 999.0), 3),
        }
        return Emission("events", Event(EventName.CHANGE_STARTED, fields))

    def _measure(self, name: str, change: _Change, now: float) -> list[Emission]:
        targets = [
            item
            for item in self._list_targets(name, change.record.primary)
            if item.name not in change.refused
        ]
        old = self._directory.find(change.record.primary)
        waited = now - change.measured_since
        returned = change.statuses.get(change.record.primary)
        may_revert = change.is_fresh and not change.is_planned and old is not None
        if may_revert and returned is not None and returned.is_primary:
            return self._revert(name, change, now)
        best = self._choose_target(targets, change)
        is_complete = all(item.name in change.statuses for item in targets)
        if best is not None and (is_complete or waited > MEASURE_WAIT_SECONDS):
            behind = self._find_missing(change, best)
            if not behind or waited > CATCH_UP_SECONDS:
                return self._order(name, change, best.database, now)
        if now < change.due_at:
            return []
        change.due_at = now + MEASURE_SECONDS
        asked = targets if old is None else [*targets, old]
        return [Emission("databases", QueryDatabaseStatus(item)) for item in asked]

    def _revert(self, name: str, change: _Change, now: float) -> list[Emission]:
        """Keep a primary that answers again before anything was ordered."""
        change.step = Step.RECORD
        change.target = change.record.primary
        change.due_at = now + 0.5
        fields = {"group": name, "reason": "the primary answers again"}
        return [
            Emission("proposals", self._make_new_record(change)),
            Emission("events", Event(EventName.CHANGE_ABANDONED, fields)),
        ]

    def _choose_target(
        self, targets: Sequence[DatabaseEntry], change: _Change
    ) -> DatabaseStatus | None:
        names = {item.name for item in targets}
        found = [
            item
            for item in change.statuses.values()
            if item.is_alive and item.database in names
        ]
        return max(
            found,
            key=lambda item: (item.is_primary, item.received, item.database),
            default=None,
        )

    def _find_missing(self, change: _Change, best: DatabaseStatus) -> bool:
        """Tell whether the old primary holds more than the best replica."""
        old = change.statuses.get(change.record.primary)
        return (
            change.is_planned
            and (old is None or old.is_alive)
            and (old is None or old.received > best.received)
        )

    def _order(
        self, name: str, change: _Change, target: str, now: float
    ) -> list[Emission]:
        change.step = Step.PROMOTE
        change.target = target
        change.term = max(
            [item.term for item in change.statuses.values()]
            + [item.received.term for item in change.statuses.values()]
            + [0]
        )
        order = PromoteDatabase(
            name,
            target,
            self._instance,
            change.fence,
            change.began_at + HOLDER_TIMEOUT_SECONDS,
        )
        status = change.statuses[target]
        fields = {
            "group": name,
            "database": target,
            "fence": change.fence,
            "received": f"{status.received.term}.{status.received.offset}",
            "n_statuses": sum(item.is_alive for item in change.statuses.values()),
            "seconds": round(now - change.began_at, 3),
        }
        return [
            Emission("platform", order),
            Emission("events", Event(EventName.PROMOTION_ORDERED, fields)),
        ]

    def _take_answer(self, answer: PromotionResult, now: float) -> list[Emission]:
        change = self._changes.get(answer.order.group)
        if change is None or change.step is not Step.PROMOTE:
            return []
        if answer.is_accepted:
            change.step = Step.CONFIRM
            change.due_at = now + MEASURE_SECONDS
            return []
        fields = {
            "group": answer.order.group,
            "database": answer.order.database,
            "reason": answer.message,
        }
        if answer.is_accepted is False:
            change.refused.add(answer.order.database)
            change.statuses.pop(answer.order.database, None)
        change.step = Step.MEASURE
        change.measured_since = now
        change.due_at = now
        return [Emission("events", Event(EventName.PROMOTION_FAILED, fields))]

    def _take_status(self, status: DatabaseStatus, now: float) -> list[Emission]:
        self._watch.note(DatabaseContact(status.database, status.is_alive, now))
        for change in self._changes.values():
            if change.step is Step.MEASURE:
                change.statuses[status.database] = status
            is_target = status.database == change.target and status.is_alive
            if change.step is Step.CONFIRM and is_target and status.is_primary:
                change.step = Step.RECORD
                change.term = max(change.term, status.term)
                change.due_at = now + 0.5
                return [Emission("proposals", self._make_new_record(change))]
        if status.is_alive and not status.is_primary:
            self._demotions.pop(status.database, None)
        return []

    def _make_new_record(self, change: _Change) -> GroupProposal:
        entry = self._directory.find(change.target)
        new = GroupRecord(
            group=change.record.group,
            primary=change.target,
            primary_born_ms=0 if entry is None else entry.born_ms,
            term=max(change.term, change.record.term),
        )
        old = change.record.primary
        if old != change.target:
            limit = change.began_at + DEMOTE_LIMIT_SECONDS
            self._demotions[old] = (change.term, NEVER, limit)
        return GroupProposal(new, change.record)

    def _tell_completed(
        self, change: _Change, record: GroupRecord, now: float
    ) -> Emission:
        fields = {
            "group": record.group,
            "primary": record.primary,
            "term": record.term,
            "seconds": round(now - change.began_at, 3),
        }
        return Emission("events", Event(EventName.CHANGE_COMPLETED, fields))

    def _abandon(self, name: str, reason: str) -> list[Emission]:
        change = self._changes.pop(name)
        fields = {"group": name, "step": change.step.value, "reason": reason}
        return [Emission("events", Event(EventName.CHANGE_ABANDONED, fields))]

    def _order_demotions(self, now: float) -> list[Emission]:
        emissions = []
        for name, (term, due_at, limit) in list(self._demotions.items()):
            entry = self._directory.find(name)
            if now > limit or (entry is not None and not entry.is_primary):
                del self._demotions[name]
            elif entry is not None and now >= due_at:
                self._demotions[name] = (term, now + DEMOTE_SECONDS, limit)
                emissions.append(Emission("databases", DemoteDatabase(entry, term)))
        return emissions
