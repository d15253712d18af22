"""Filter that fails over primaries; acts only while this instance is a coordinator.

A failover goes through the fleet record: the group is marked as changing, which lets
all leases on its primary expire within ``PRIMARY_LEASE_SECONDS``. Only then does the
coordinator query the replicas for their terms and log positions and promote the one of
the highest term that received most. If the coordinator stops in between, another one
takes over with a higher fencing token.
"""

from collections.abc import Sequence
from dataclasses import replace
from enum import StrEnum

from ..events import Event, EventName
from ..interfaces import Emission
from ..sessions.messages import DrainStarted
from .candidates import choose_candidate, is_behind_record, is_recorded_process
from .demotions import DemotionSchedule
from .failover_messages import (
    DatabaseStatus,
    ProbeDatabase,
    PromoteDatabase,
    PromotionResult,
    QueryDatabaseStatus,
)
from .failure_detection import (
    EVACUATED,
    PLANNED_REASONS,
    UNREACHABLE,
    UNREACHABLE_SECONDS,
    PrimaryFailureDetector,
)
from .primary_lease import PRIMARY_LEASE_MARGIN_SECONDS, PRIMARY_LEASE_SECONDS
from .records import (
    WITHDRAWN,
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
# Coordinators further down the list wait longer, so that usually only one acts.
RANK_DELAY_SECONDS = 0.4
# The holder of a failover acts within this time of its write, or not at all.
HOLDER_TIMEOUT_SECONDS = 6.0
# Another coordinator takes over after this time, which is longer than the holder may
# act.
TAKEOVER_DELAY_SECONDS = HOLDER_TIMEOUT_SECONDS + 2.0
# Applies if the holder itself abandoned the failover or if its process has ended. Not
# zero, because a call of the old process may still be in flight.
EARLY_TAKEOVER_DELAY_SECONDS = 1.5
STATUS_QUERY_INTERVAL_SECONDS = 0.25
# Maximum wait for all replicas to answer; then the best of those that did is promoted.
MAX_STATUS_WAIT_SECONDS = 0.6
# Maximum wait of a planned failover for a replica to receive all entries.
MAX_CATCH_UP_SECONDS = 2.0
# Maximum time of a group without a primary in which a failover waits for a database
# that has followed the recorded primary. Regions lose each other for minutes, and a
# promotion of an older term loses all that was acknowledged since.
MAX_RECORDED_TERM_WAIT_SECONDS = 300.0
# A planned failover starts if a candidate has answered within this time.
CANDIDATE_ANSWER_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 0.25
NEVER = float("-inf")


class FailoverStep(StrEnum):
    """Step of a failover at its holder."""

    AWAIT_LEASE_EXPIRY = "wait for leases to expire"
    QUERY_REPLICAS = "ask replicas for positions"
    PROMOTE = "order the promotion"
    CONFIRM = "wait for the new primary"
    RECORD = "record the new primary"


class _Failover:
    """Failover that this instance carries out.

    :ivar started_at: time before the write that marked the group.
    :ivar record: group record of that write.
    :ivar is_planned: the primary is leaving and still serves.
    :ivar fence: fencing token, 0 until the write has taken effect.
    :ivar may_have_promoted: a promotion may have taken effect or may still do so: an
        earlier holder may have requested one, or the outcome of an own one is unknown.
    :ivar due_at: time of the next action of the current step.
    :ivar queried_since: when the current round of status queries started.
    :ivar refused_targets: databases that the platform refused to promote.
    :ivar is_renewed: the group was marked before by this process, so that no lease on
        its primary is left.
    :ivar target: database that is to be the primary.
    :ivar term: highest log term that the databases reported before the promotion, then
        that of the new primary.
    """

    def __init__(
        self,
        started_at: float,
        record: GroupRecord,
        reason: str,
        is_planned: bool,
        may_have_promoted: bool = False,
        is_renewed: bool = False,
    ) -> None:
        self.started_at = started_at
        self.record = record
        self.reason = reason
        self.is_planned = is_planned
        self.fence = 0
        self.may_have_promoted = may_have_promoted
        self.is_renewed = is_renewed
        self.step: FailoverStep = FailoverStep.AWAIT_LEASE_EXPIRY
        self.due_at: float = 0.0
        self.queried_since: float = 0.0
        self.statuses: dict[str, DatabaseStatus] = {}
        self.refused_targets: set[str] = set()
        self.target = ""
        self.term = 0


class _GroupState:
    """Observations of a group, and when this instance last acted on them.

    :ivar suspected_since: since when there is a reason to replace the primary.
    :ivar proposed_at: time of the last proposal; the next one follows after 1 s at the
        earliest.
    :ivar changing_since: since when the failover in the record has had its current
        ``changing_key``.
    :ivar changing_key: holder, fencing token and attempt of that failover.
    :ivar unserved_since: since when the group has been marked as changing.
    :ivar statuses: last answers of the databases since there is a reason to replace the
        primary, with their times.
    :ivar queried_at: time of the last status queries before a planned failover.
    :ivar is_wait_reported: the log says that this failover waits.
    """

    def __init__(self) -> None:
        self.suspected_since: float | None = None
        self.probe_due_at: float = NEVER
        self.proposed_at: float = NEVER
        self.changing_since: float | None = None
        self.changing_key: tuple[str, int, int] = ("", 0, 0)
        self.unserved_since: float | None = None
        self.statuses: dict[str, tuple[DatabaseStatus, float]] = {}
        self.queried_at: float = NEVER
        self.is_wait_reported = False


class PrimaryFailover:
    """Decides when to fail over a primary and to which database.

    Outlets: ``proposals`` (:class:`GroupProposal`), ``running``
    (:class:`FailoversInProgress`), ``databases`` (:class:`QueryDatabaseStatus`,
    :class:`ProbeDatabase`, :class:`DemoteDatabase`), ``platform``
    (:class:`PromoteDatabase`), ``events``.

    :param instance: own name, recorded as the holder of its failovers.
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
        self._n_emitted = 0
        self._detector = PrimaryFailureDetector()
        self._groups: dict[str, _GroupState] = {}
        self._failovers: dict[str, _Failover] = {}
        self._demotions = DemotionSchedule()

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
            self._detector.record_contact(message)
        elif isinstance(message, DatabaseStatus):
            return self._handle_status(message, now)
        elif isinstance(message, PromotionResult):
            return self._handle_promotion_result(message, now)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        self._next_tick = now + TICK_SECONDS
        if self._rank is None:
            self._failovers.clear()
            self._groups.clear()
            self._demotions.clear()
            return self._emit_in_progress()
        emissions: list[Emission] = []
        for name in sorted({item.group for item in self._directory.databases}):
            emissions += self._check_group(name, now)
        for name in list(self._failovers):
            emissions += self._advance(name, now)
        emissions += self._demote_superseded(now)
        return [*self._emit_in_progress(), *emissions]

    def _emit_in_progress(self) -> list[Emission]:
        if len(self._failovers) == self._n_emitted:
            return []
        self._n_emitted = len(self._failovers)
        return [Emission("running", FailoversInProgress(self._n_emitted))]

    # Detection

    def _check_group(self, name: str, now: float) -> list[Emission]:
        state = self._groups.setdefault(name, _GroupState())
        record = self._record.find_group(name)
        if record is not None and record.phase is GroupPhase.CHANGING:
            if state.unserved_since is None:
                state.unserved_since = now
            return self._take_over_stalled(record, state, now)
        state.unserved_since = None
        if record is None or not record.primary:
            return self._propose_first_primary(name, record, state, now)
        state.changing_since = None
        if (
            name in self._failovers
            and self._failovers[name].step is FailoverStep.RECORD
        ):
            return [self._make_completed_event(self._failovers.pop(name), record, now)]
        emissions: list[Emission] = []
        reason = self._detector.find_reason(record, self._directory, now)
        if reason is None:
            state.suspected_since = None
            state.is_wait_reported = False
            state.statuses.clear()
            return emissions
        if state.suspected_since is None:
            state.suspected_since = now
        if reason == UNREACHABLE:
            emissions += self._probe(record.primary, state, now)
        assert self._rank is not None
        wait = self._rank * RANK_DELAY_SECONDS
        wait += UNREACHABLE_SECONDS if reason == UNREACHABLE else 0.0
        silent_since = state.suspected_since
        if reason == UNREACHABLE:
            alive_at = self._detector.find_alive_at(record.primary)
            silent_since = silent_since if alive_at == NEVER else alive_at
        if now - silent_since < wait:
            return emissions
        if reason in PLANNED_REASONS:
            is_ready, queries = self._find_ready_candidate(record, state, now)
            emissions += queries
            if not is_ready:
                statuses = [status for status, _ in state.statuses.values()]
                emissions += self._report_wait(record, state, reason, statuses, now)
                return emissions
        if self._has_candidate(record):
            emissions += self._propose_failover(record, state, reason, now)
        return emissions

    def _find_ready_candidate(
        self, record: GroupRecord, state: _GroupState, now: float
    ) -> tuple[bool, list[Emission]]:
        """Return whether a planned failover has a candidate, and status queries.

        The primary still serves, so it is kept until a database that has followed it
        answers: a candidate may be listed while it is cut off.
        """
        candidates = [
            item
            for item in self._list_candidates(record.group, record.primary)
            if not self._directory.is_evacuated(item)
        ]
        names = {item.name for item in candidates}
        is_ready = any(
            name in names
            and now - answered_at <= CANDIDATE_ANSWER_SECONDS
            and status.is_alive
            and not is_behind_record(status, record)
            for name, (status, answered_at) in state.statuses.items()
        )
        if is_ready or now - state.queried_at < STATUS_QUERY_INTERVAL_SECONDS:
            return is_ready, []
        state.queried_at = now
        queries = [
            Emission("databases", QueryDatabaseStatus(item)) for item in candidates
        ]
        return is_ready, queries

    def _report_wait(
        self,
        record: GroupRecord,
        state: _GroupState,
        reason: str,
        statuses: Sequence[DatabaseStatus],
        now: float,
    ) -> list[Emission]:
        """Log once that a failover has no database to promote, and why."""
        since = state.suspected_since if state.suspected_since is not None else now
        if state.unserved_since is not None:
            since = state.unserved_since
        if state.is_wait_reported or now - since < MAX_STATUS_WAIT_SECONDS:
            return []
        state.is_wait_reported = True
        fields = {
            "group": record.group,
            "primary": record.primary,
            "recorded_term": record.term,
            "phase": record.phase.value,
            "reason": reason,
            "statuses": [_describe_status(item) for item in statuses],
            "seconds": round(now - since, 3),
        }
        return [Emission("events", Event(EventName.CANDIDATE_AWAITED, fields))]

    def _propose_first_primary(
        self, name: str, record: GroupRecord | None, state: _GroupState, now: float
    ) -> list[Emission]:
        """Propose the first primary: the only database that claims to be one."""
        named = [item for item in self._directory.list_group(name) if item.is_primary]
        if len(named) != 1 or now - state.proposed_at < 1.0:
            return []
        state.proposed_at = now
        group = GroupRecord(
            group=name, primary=named[0].name, primary_born_ms=named[0].born_ms
        )
        return [Emission("proposals", GroupProposal(group, record))]

    def _has_candidate(self, record: GroupRecord) -> bool:
        """Return whether a database could serve as the new primary."""
        candidates = self._list_candidates(record.group, record.primary)
        return any(not self._directory.is_evacuated(item) for item in candidates)

    def _list_candidates(self, group: str, primary: str) -> list[DatabaseEntry]:
        return [
            item
            for item in self._directory.list_group(group)
            if item.name != primary and not item.is_leaving
        ]

    def _probe(self, database: str, state: _GroupState, now: float) -> list[Emission]:
        entry = self._directory.find(database)
        if entry is None or now < state.probe_due_at:
            return []
        state.probe_due_at = now + PROBE_INTERVAL_SECONDS
        return [Emission("databases", ProbeDatabase(entry))]

    @property
    def _may_start(self) -> bool:
        return self._is_established and not self._is_leaving

    def _propose_failover(
        self, record: GroupRecord, state: _GroupState, reason: str, now: float
    ) -> list[Emission]:
        if not self._may_start or now - state.proposed_at < 1.0:
            return []
        state.proposed_at = now
        marked = replace(record, phase=GroupPhase.CHANGING)
        self._failovers[record.group] = _Failover(
            started_at=now,
            record=marked,
            reason=reason,
            is_planned=reason in PLANNED_REASONS,
        )
        return [
            Emission(
                "proposals", GroupProposal(marked, record, acquires_fencing_token=True)
            )
        ]

    def _take_over_stalled(
        self, record: GroupRecord, state: _GroupState, now: float
    ) -> list[Emission]:
        """Take over a failover that its holder did not finish in time."""
        key = (self._record.holder, self._record.fence, record.attempt)
        if state.changing_since is None or state.changing_key != key:
            state.changing_since = now
            state.changing_key = key
        if record.group in self._failovers or not self._may_start:
            return []
        assert self._rank is not None
        wait = TAKEOVER_DELAY_SECONDS + self._rank * RANK_DELAY_SECONDS
        if self._may_take_over_early():
            wait = EARLY_TAKEOVER_DELAY_SECONDS + self._rank * RANK_DELAY_SECONDS
        if now - state.changing_since < wait or now - state.proposed_at < 1.0:
            return []
        state.proposed_at = now
        retried = replace(record, attempt=record.attempt + 1)
        self._failovers[record.group] = _Failover(
            started_at=now,
            record=retried,
            reason=f"{self._record.holder} did not finish",
            is_planned=False,
            may_have_promoted=True,
        )
        return [
            Emission(
                "proposals", GroupProposal(retried, record, acquires_fencing_token=True)
            )
        ]

    def _may_take_over_early(self) -> bool:
        """Return whether nobody has to wait for the holder.

        It has restarted, is this instance, or was withdrawn when the record was
        restored.
        """
        if self._record.holder_incarnation == WITHDRAWN:
            return True
        holder = self._record.find_coordinator(self._record.holder)
        if self._record.holder == self._instance:
            return True
        incarnation = self._record.holder_incarnation
        return holder is not None and holder.incarnation != incarnation

    # Steps of a failover

    def _advance(self, name: str, now: float) -> list[Emission]:
        failover = self._failovers[name]
        may_have_ordered = failover.step in (
            FailoverStep.PROMOTE,
            FailoverStep.CONFIRM,
            FailoverStep.RECORD,
        )
        if not self._is_established and not may_have_ordered:
            # The store came back from an older copy: the mark may be lost.
            return self._abandon(name, "the store has lost records")
        if failover.fence and self._record.find_group(name) != failover.record:
            return self._abandon(name, "the record has changed")
        # Recording what the databases report is safe at any time, promoting is not.
        is_promotion_accepted = failover.step in (
            FailoverStep.CONFIRM,
            FailoverStep.RECORD,
        )
        limit = (
            2 * HOLDER_TIMEOUT_SECONDS
            if is_promotion_accepted
            else HOLDER_TIMEOUT_SECONDS
        )
        if now - failover.started_at > limit:
            has_ordered = may_have_ordered or failover.may_have_promoted
            if failover.step is FailoverStep.QUERY_REPLICAS and not has_ordered:
                return self._renew(name, failover, now)
            return self._abandon(name, "out of time")
        if failover.step is FailoverStep.AWAIT_LEASE_EXPIRY:
            return self._await_lease_expiry(name, failover, now)
        if failover.step is FailoverStep.QUERY_REPLICAS:
            return self._query_replicas(name, failover, now)
        if failover.step is FailoverStep.CONFIRM and now >= failover.due_at:
            failover.due_at = now + STATUS_QUERY_INTERVAL_SECONDS
            entry = self._directory.find(failover.target)
            return (
                []
                if entry is None
                else [Emission("databases", QueryDatabaseStatus(entry))]
            )
        if failover.step is FailoverStep.RECORD and now >= failover.due_at:
            failover.due_at = now + 0.5
            return [Emission("proposals", self._make_final_proposal(failover))]
        return []

    def _renew(self, name: str, failover: _Failover, now: float) -> list[Emission]:
        """Go on with a failover that has ordered no promotion, for another period."""
        renewed = replace(failover.record, attempt=failover.record.attempt + 1)
        self._failovers[name] = _Failover(
            started_at=now,
            record=renewed,
            reason=failover.reason,
            is_planned=failover.is_planned,
            is_renewed=True,
        )
        proposal = GroupProposal(renewed, failover.record, acquires_fencing_token=True)
        return [Emission("proposals", proposal)]

    def _await_lease_expiry(
        self, name: str, failover: _Failover, now: float
    ) -> list[Emission]:
        if failover.fence == 0:
            current = self._record.find_group(name)
            if current == failover.record and self._record.holder == self._instance:
                # The write has taken effect: later evidence renews no lease.
                failover.fence = self._record.fence
                failover.due_at = now
                if failover.is_renewed:
                    return []
                failover.due_at += PRIMARY_LEASE_SECONDS + PRIMARY_LEASE_MARGIN_SECONDS
                return [self._make_started_event(failover, now)]
            elif now - failover.started_at > HOLDER_TIMEOUT_SECONDS / 3:
                del self._failovers[name]
            return []
        if now < failover.due_at:
            return []
        failover.step = FailoverStep.QUERY_REPLICAS
        failover.queried_since = now
        failover.due_at = now
        return self._query_replicas(name, failover, now)

    def _make_started_event(self, failover: _Failover, now: float) -> Emission:
        primary = failover.record.primary
        alive_at = self._detector.find_alive_at(primary)
        fields = {
            "group": failover.record.group,
            "primary": primary,
            "reason": failover.reason,
            "rank": self._rank,
            "fence": failover.fence,
            "silent_seconds": round(min(now - alive_at, 999.0), 3),
        }
        return Emission("events", Event(EventName.CHANGE_STARTED, fields))

    def _query_replicas(
        self, name: str, failover: _Failover, now: float
    ) -> list[Emission]:
        candidates = [
            item
            for item in self._list_candidates(name, failover.record.primary)
            if item.name not in failover.refused_targets
        ]
        old = self._directory.find(failover.record.primary)
        waited = now - failover.queried_since
        if self._may_keep_primary(failover):
            reason = "the primary answers again"
            return self._keep_primary(name, failover, reason, now)
        has_no_candidate = not self._has_candidate(failover.record)
        if has_no_candidate and failover.is_planned and not failover.may_have_promoted:
            # Also the last candidate is evacuated or leaves. The primary still serves.
            return self._keep_primary(name, failover, "there is no candidate", now)
        names = {item.name for item in candidates}
        evacuated = {
            item.name for item in candidates if self._directory.is_evacuated(item)
        }
        if failover.is_planned and self._is_old_primary_alive(failover):
            # The others receive from it what they lack.
            names -= evacuated
        best = choose_candidate(
            (item for item in failover.statuses.values() if item.database in names),
            evacuated,
        )
        is_complete = all(item.name in failover.statuses for item in candidates)
        has_waited = is_complete or waited > MAX_STATUS_WAIT_SECONDS
        if best is None or is_behind_record(best, failover.record):
            target = self._find_target_behind_record(failover, best, now)
        elif has_waited and not self._is_missing_entries(failover, best):
            target = best.database
        else:
            target = best.database if waited > MAX_CATCH_UP_SECONDS else None
        if waited > MAX_CATCH_UP_SECONDS and self._may_keep_planned(failover, best):
            # It is healthy, and a promotion would lose what it acknowledged.
            reason = "no candidate has received all entries"
            return self._keep_primary(name, failover, reason, now)
        if target is not None and has_waited:
            return self._promote(name, failover, target, now)
        emissions = []
        if waited > MAX_STATUS_WAIT_SECONDS:
            statuses = list(failover.statuses.values())
            emissions += self._report_wait(
                failover.record, self._groups[name], failover.reason, statuses, now
            )
        if now < failover.due_at:
            return emissions
        failover.due_at = now + STATUS_QUERY_INTERVAL_SECONDS
        queried = candidates if old is None else [*candidates, old]
        queries = [Emission("databases", QueryDatabaseStatus(item)) for item in queried]
        return [*emissions, *queries]

    def _find_target_behind_record(
        self, failover: _Failover, best: DatabaseStatus | None, now: float
    ) -> str | None:
        """Return what to promote while no candidate has followed the recorded primary.

        A candidate of an older term may hold commits that were rolled back for those
        who read in the recorded term, and lacks those of that term. So the recorded
        primary, or a database that has followed it, is waited for.

        :returns: ``None`` to wait.
        """
        record = failover.record
        if now - failover.queried_since <= MAX_STATUS_WAIT_SECONDS:
            return None
        entry = self._directory.find(record.primary)
        status = failover.statuses.get(record.primary)
        if (
            failover.may_have_promoted
            and entry is not None
            and is_recorded_process(entry, record)
            and not entry.is_leaving
            and not self._directory.is_evacuated(entry)
            and entry.name not in failover.refused_targets
            and status is not None
            and status.is_alive
            and not is_behind_record(status, record)
        ):
            # An order of an earlier holder may be under way, so it is promoted again.
            return record.primary
        unserved_since = self._groups[record.group].unserved_since
        has_expired = (
            unserved_since is not None
            and now - unserved_since > MAX_RECORDED_TERM_WAIT_SECONDS
        )
        return best.database if best is not None and has_expired else None

    def _may_keep_planned(
        self, failover: _Failover, best: DatabaseStatus | None
    ) -> bool:
        """Return whether a planned failover can end without a new primary.

        The old one still serves, and no candidate has received all of its entries.
        """
        if not failover.is_planned or failover.may_have_promoted:
            return False
        is_behind = (
            best is None
            or is_behind_record(best, failover.record)
            or self._is_missing_entries(failover, best)
        )
        old = failover.statuses.get(failover.record.primary)
        is_serving = old is not None and old.is_alive
        return is_behind and (is_serving or failover.reason == EVACUATED)

    def _may_keep_primary(self, failover: _Failover) -> bool:
        """Return whether the primary answers again and is the recorded one."""
        record = failover.record
        entry = self._directory.find(record.primary)
        status = failover.statuses.get(record.primary)
        return (
            not failover.may_have_promoted
            and not failover.is_planned
            and entry is not None
            and is_recorded_process(entry, record)
            and status is not None
            and status.is_primary
            and not is_behind_record(status, record)
        )

    def _keep_primary(
        self, name: str, failover: _Failover, reason: str, now: float
    ) -> list[Emission]:
        """Keep the primary, since no promotion was requested."""
        failover.step = FailoverStep.RECORD
        failover.target = failover.record.primary
        failover.due_at = now + 0.5
        fields = {"group": name, "reason": reason}
        return [
            Emission("proposals", self._make_final_proposal(failover)),
            Emission("events", Event(EventName.CHANGE_ABANDONED, fields)),
        ]

    def _is_missing_entries(self, failover: _Failover, best: DatabaseStatus) -> bool:
        """Return whether the old primary may hold entries that the best replica lacks.

        Matters for planned failovers only; otherwise the old primary is not waited for.
        """
        old = failover.statuses.get(failover.record.primary)
        return (
            failover.is_planned
            and self._is_old_primary_alive(failover)
            and (old is None or old.received > best.received)
        )

    def _is_old_primary_alive(self, failover: _Failover) -> bool:
        """Return whether the old primary has answered or not been asked yet."""
        old = failover.statuses.get(failover.record.primary)
        return old is None or old.is_alive

    def _promote(
        self, name: str, failover: _Failover, target: str, now: float
    ) -> list[Emission]:
        failover.step = FailoverStep.PROMOTE
        failover.target = target
        failover.term = max(
            [item.term for item in failover.statuses.values()]
            + [item.received.term for item in failover.statuses.values()]
            + [0]
        )
        command = PromoteDatabase(
            name,
            target,
            self._instance,
            failover.fence,
            failover.started_at + HOLDER_TIMEOUT_SECONDS,
        )
        fields = {
            "group": name,
            "database": target,
            "fence": failover.fence,
            "recorded_term": failover.record.term,
            "received": str(failover.statuses[target].received),
            "statuses": [
                _describe_status(failover.statuses[item])
                for item in sorted(failover.statuses)
            ],
            "seconds": round(now - failover.started_at, 3),
        }
        return [
            Emission("platform", command),
            Emission("events", Event(EventName.PROMOTION_ORDERED, fields)),
        ]

    def _handle_promotion_result(
        self, result: PromotionResult, now: float
    ) -> list[Emission]:
        failover = self._failovers.get(result.command.group)
        if failover is None or failover.step is not FailoverStep.PROMOTE:
            return []
        if result.is_accepted:
            failover.step = FailoverStep.CONFIRM
            failover.due_at = now + STATUS_QUERY_INTERVAL_SECONDS
            return []
        fields = {
            "group": result.command.group,
            "database": result.command.database,
            "reason": result.message,
        }
        if result.is_accepted is False:
            failover.refused_targets.add(result.command.database)
            failover.statuses.pop(result.command.database, None)
        else:
            failover.may_have_promoted = True
        failover.step = FailoverStep.QUERY_REPLICAS
        failover.queried_since = now
        failover.due_at = now
        return [Emission("events", Event(EventName.PROMOTION_FAILED, fields))]

    def _handle_status(self, status: DatabaseStatus, now: float) -> list[Emission]:
        self._detector.record_contact(
            DatabaseContact(status.database, status.is_alive, now)
        )
        self._demotions.record_status(status, now)
        entry = self._directory.find(status.database)
        # Each group counts its own terms, so a status concerns its own group only.
        failover = None if entry is None else self._failovers.get(entry.group)
        if entry is not None and entry.group in self._groups:
            self._groups[entry.group].statuses[status.database] = (status, now)
        if failover is None:
            return []
        if failover.step is FailoverStep.QUERY_REPLICAS:
            failover.statuses[status.database] = status
        is_target = status.database == failover.target and status.is_alive
        # A superseded primary that is promoted again reports its role, with its old
        # term, before the promotion takes effect. The recorded term itself counts: a
        # crashed primary may return with its log under another name.
        is_promoted = (
            is_target
            and status.is_primary
            and status.term >= max(failover.term, failover.record.term)
        )
        if failover.step is FailoverStep.CONFIRM and is_promoted:
            failover.step = FailoverStep.RECORD
            failover.term = status.term
            failover.due_at = now + 0.5
            return [Emission("proposals", self._make_final_proposal(failover))]
        return []

    def _make_final_proposal(self, failover: _Failover) -> GroupProposal:
        entry = self._directory.find(failover.target)
        new = GroupRecord(
            group=failover.record.group,
            primary=failover.target,
            primary_born_ms=0 if entry is None else entry.born_ms,
            term=max(failover.term, failover.record.term),
        )
        return GroupProposal(new, failover.record)

    def _make_completed_event(
        self, failover: _Failover, record: GroupRecord, now: float
    ) -> Emission:
        fields = {
            "group": record.group,
            "primary": record.primary,
            "term": record.term,
            "seconds": round(now - failover.started_at, 3),
        }
        return Emission("events", Event(EventName.CHANGE_COMPLETED, fields))

    def _abandon(self, name: str, reason: str) -> list[Emission]:
        failover = self._failovers.pop(name)
        fields = {"group": name, "step": failover.step.value, "reason": reason}
        return [Emission("events", Event(EventName.CHANGE_ABANDONED, fields))]

    def _demote_superseded(self, now: float) -> list[Emission]:
        assert self._rank is not None
        emissions = []
        for command in self._demotions.list_due(
            self._record, self._directory, self._rank, now
        ):
            fields = {
                "group": command.database.group,
                "database": command.database.name,
                "recorded_term": command.term,
                "rank": self._rank,
            }
            emissions += [
                Emission("databases", command),
                Emission("events", Event(EventName.DEMOTION_ORDERED, fields)),
            ]
        return emissions


def _describe_status(status: DatabaseStatus) -> str:
    """Return what a database reported, as text for the log."""
    if not status.is_alive:
        return f"{status.database}: no answer"
    role = "primary" if status.is_primary else "replica"
    return f"{status.database}: {role}, term {status.term}, received {status.received}"
