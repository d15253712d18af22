"""Failover of a group's primary: detect, fence, choose, promote, publish.

Any home of the group may start a failover. A delay by rank makes concurrent elections
rare; the term and the name of the home that runs the election (the *orderer*) make
them safe.
"""

from collections.abc import Sequence

from ..control import PeerEnvelope, PromotionOrdered
from ..events import Event, EventName
from ..groups import GroupDescription
from ..interfaces import Emission, RandomSource
from ..replication import (
    DatabaseReport,
    FenceAnswer,
    GroupsChanged,
    PrimaryChanged,
    PrimaryOpinion,
    PromoteAnswer,
    ReportQuery,
)
from .detection import FailureDetector
from .election import Election, ElectionRequest, Phase
from .positions_table import Primary
from .primary_health import PrimaryHealth
from .readmission import Readmission

# Four queries a second detect a silent primary within 1.25 s and cost a home with two
# groups of three databases 24 small messages a second.
PROBE_SECONDS = 0.25
# Delay per rank before a home starts a failover, so that homes don't start together.
RANK_DELAY_SECONDS = 0.15
# A tick this long after its due time means that the process was paused.
PAUSE_SECONDS = 0.5
BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 3.0
# Least time between two failovers for stalled replication. If the replicas are also
# partitioned from each other, replication to a new primary would stall as well.
STALL_SPACING_SECONDS = 10.0


class GroupFailoverState:
    """Failover state of one group at this home. Times are monotonic seconds.

    :ivar rank: position of this instance in the ranking of homes, from 0.
    :ivar election: running attempt to promote a primary, if any.
    :ivar failover_at: time at which the failover starts, once there is a reason.
    :ivar backoff_until: time before which this home starts no failover.
    :ivar next_stall_failover_at: time before which stalled replication is no reason.
    :ivar n_abandoned: elections abandoned since the last primary was learned.
    :ivar logged_term: term whose choice of a candidate was logged.
    """

    def __init__(
        self,
        health: PrimaryHealth,
        homes: tuple[str, ...],
        rank: int,
        next_probe_at: float,
        backoff_until: float = float("-inf"),
        next_stall_failover_at: float = float("-inf"),
    ) -> None:
        self.health = health
        self.homes = homes
        self.rank = rank
        self.next_probe_at = next_probe_at
        self.readmission: Readmission = Readmission()
        self.election: Election | None = None
        self.failover_at: float | None = None
        self.backoff_until = backoff_until
        self.next_stall_failover_at = next_stall_failover_at
        self.n_abandoned = 0
        self.logged_term = 0

    @property
    def next_due(self) -> float:
        """Monotonic seconds at which the group's next action is due."""
        due = [self.next_probe_at]
        if self.failover_at is not None:
            due.append(self.failover_at)
        if self.election is not None:
            due.append(self.election.next_due)
        return min(due)


class Failover:
    """Filter at the home instance: monitors its groups' primaries, runs failovers.

    Outlets: ``probe``, ``primary``, ``peers``, ``events``.

    :param instance: name of this instance.
    :param incarnation: differs between runs of the instance, so that databases can tell
        a restarted home from its earlier run.
    :param detector: failure detector of the databases.
    :param random_source: for the jitter of backoff times.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        detector: FailureDetector,
        random_source: RandomSource,
    ) -> None:
        self._instance = instance
        self._orderer = f"{instance}/{incarnation}"
        self._detector = detector
        self._random = random_source
        self._groups: dict[str, GroupFailoverState] = {}

    @property
    def next_tick(self) -> float | None:
        return min((item.next_due for item in self._groups.values()), default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            return self._handle_peer_message(message.message, now)
        if isinstance(message, GroupsChanged):
            self._handle_groups_changed(message, now)
        elif isinstance(message, DatabaseReport):
            return self._handle_report(message, now)
        elif isinstance(message, FenceAnswer | PromoteAnswer):
            return self._handle_answer(message, now)
        elif isinstance(message, PrimaryChanged):
            return self._handle_primary_changed(message, now)
        elif isinstance(message, PromotionOrdered):
            state = self._groups.get(message.group)
            if state is not None and state.election is None:
                return self._start_election(state, "ordered", now)
        # Failed reports and requests need no action: detectors time out silent
        # databases, and requests without an answer are repeated by time.
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for state in self._groups.values():
            if state.next_due > now:
                continue
            if now - state.next_due > PAUSE_SECONDS:
                state.health.reset(now)
                state.failover_at = None
            if state.next_probe_at <= now:
                state.next_probe_at = now + PROBE_SECONDS
                emissions += _emit_probes(state.health.group)
                emissions += self._request_opinions(state, now)
            emissions += self._advance(state, now)
        return emissions

    # Incoming messages

    def _handle_groups_changed(self, message: GroupsChanged, now: float) -> None:
        homes = dict(message.homes)
        changed: dict[str, GroupFailoverState] = {}
        for group in message.groups:
            names = homes.get(group.name, ())
            rank = names.index(self._instance) if self._instance in names else 0
            state = self._groups.get(group.name)
            if state is None:
                health = PrimaryHealth(group, self._detector, now)
                state = GroupFailoverState(health, names, rank, next_probe_at=now)
            state.health.group = group
            state.homes = names
            state.rank = rank
            changed[group.name] = state
        self._groups = changed

    def _handle_report(self, report: DatabaseReport, now: float) -> list[Emission]:
        state = self._groups.get(report.group)
        if state is None:
            return []
        health = state.health
        admissions = state.readmission.handle_report(health.group, report)
        highest_term = health.highest_term
        if health.handle_report(report):
            assert health.primary is not None
            return admissions + self._publish_primary(state, health.primary)
        if health.highest_term > highest_term and state.election is None:
            # Another home has started an election; it gets time to complete it.
            self._back_off(state, now, 0.7)
        return admissions

    def _handle_primary_changed(
        self, change: PrimaryChanged, now: float
    ) -> list[Emission]:
        state = self._groups.get(change.group)
        if state is None:
            return []
        primary = Primary(change.database, change.term)
        if not state.health.handle_primary(primary, now):
            return []
        return self._publish_primary(state, primary)

    def _handle_peer_message(self, message: object, now: float) -> list[Emission]:
        if isinstance(message, PrimaryChanged):
            return self._handle_primary_changed(message, now)
        if not isinstance(message, PrimaryOpinion):
            return []
        state = self._groups.get(message.group)
        if state is None:
            return []
        self._detector.record_opinion(message, now)
        if not message.wants_answer:
            return []
        opinion = PrimaryOpinion(
            group=message.group,
            database=message.database,
            observer=self._instance,
            is_suspected=self._detector.is_locally_suspected(message.database, now),
        )
        return [Emission("peers", PeerEnvelope(peer=message.observer, message=opinion))]

    def _publish_primary(
        self, state: GroupFailoverState, primary: Primary
    ) -> list[Emission]:
        """Publish a primary of a higher term to the filters of this instance."""
        state.failover_at = None
        state.n_abandoned = 0
        if state.election is not None and primary.term > state.election.term:
            state.election = None
        group = state.health.group.name
        change = PrimaryChanged(
            group=group, database=primary.database, term=primary.term
        )
        return [
            Emission("primary", change),
            _make_event(
                EventName.PRIMARY_LEARNED,
                state,
                term=primary.term,
                database=primary.database,
            ),
        ]

    def _request_opinions(
        self, state: GroupFailoverState, now: float
    ) -> list[Emission]:
        """Ask the other homes for their opinion if this home suspects the primary."""
        primary = state.health.primary
        if primary is None or not self._detector.is_locally_suspected(
            primary.database, now
        ):
            return []
        opinion = PrimaryOpinion(
            group=state.health.group.name,
            database=primary.database,
            observer=self._instance,
            is_suspected=True,
            wants_answer=True,
        )
        return [
            Emission("peers", PeerEnvelope(peer=home, message=opinion))
            for home in state.homes
            if home != self._instance
        ]

    # Elections

    def _advance(self, state: GroupFailoverState, now: float) -> list[Emission]:
        if state.election is not None:
            requests = state.election.advance(now)
            return self._handle_phase(state, state.election, requests, now)
        if now < state.backoff_until:
            state.failover_at = None
            return []
        reason = state.health.find_failover_reason(now)
        if reason is None or (
            reason == "stalled" and now < state.next_stall_failover_at
        ):
            state.failover_at = None
            return []
        if state.failover_at is None:
            state.failover_at = now + state.rank * RANK_DELAY_SECONDS
        if now < state.failover_at:
            return []
        state.failover_at = None
        return self._start_election(state, reason, now)

    def _start_election(
        self, state: GroupFailoverState, reason: str, now: float
    ) -> list[Emission]:
        health = state.health
        avoided = set(health.list_leaving())
        if reason in ("stalled", "ordered") and health.primary is not None:
            avoided.add(health.primary.database)
        if reason == "stalled":
            state.next_stall_failover_at = now + STALL_SPACING_SECONDS
        health.highest_term += 1
        election = Election(
            health.group,
            health.highest_term,
            self._orderer,
            avoided=avoided,
            non_voters=health.list_non_voters(),
            now=now,
        )
        state.election = election
        suspect = "" if health.primary is None else health.primary.database
        return [
            _make_event(
                EventName.PRIMARY_SUSPECTED,
                state,
                term=health.highest_term - 1,
                database=suspect,
                reason=reason,
            ),
            _make_event(EventName.FENCE_STARTED, state, term=election.term),
            *_emit_requests(election.list_requests()),
        ]

    def _handle_answer(
        self, answer: FenceAnswer | PromoteAnswer, now: float
    ) -> list[Emission]:
        state = self._groups.get(answer.group)
        if state is None:
            return []
        health = state.health
        health.highest_term = max(health.highest_term, answer.fenced_term)
        election = state.election
        if election is None:
            return []
        requests: Sequence[ElectionRequest] = ()
        if isinstance(answer, FenceAnswer):
            requests = election.handle_fence_answer(answer, now)
        else:
            election.handle_promote_answer(answer)
        return self._handle_phase(state, election, requests, now)

    def _handle_phase(
        self,
        state: GroupFailoverState,
        election: Election,
        requests: Sequence[ElectionRequest],
        now: float,
    ) -> list[Emission]:
        """Emit the requests and events of the phase that an election has reached."""
        emissions = _emit_requests(requests)
        if election.phase is Phase.PROMOTING and state.logged_term != election.term:
            state.logged_term = election.term
            emissions = [*_make_choice_events(state, election), *emissions]
        elif election.phase is Phase.ABANDONED:
            state.election = None
            state.n_abandoned += 1
            delay = BACKOFF_SECONDS * 2 ** min(state.n_abandoned - 1, 10)
            self._back_off(state, now, min(delay, MAX_BACKOFF_SECONDS))
            emissions.append(
                _make_event(EventName.FAILOVER_ABANDONED, state, term=election.term)
            )
        elif election.phase is Phase.COMPLETED:
            state.election = None
            emissions += self._complete(state, election, now)
        return emissions

    def _complete(
        self, state: GroupFailoverState, election: Election, now: float
    ) -> list[Emission]:
        primary = Primary(election.candidate, election.term)
        change = PrimaryChanged(
            group=state.health.group.name,
            database=primary.database,
            term=primary.term,
        )
        emissions = [
            Emission("peers", PeerEnvelope(peer="*", message=change)),
            _make_event(
                EventName.PRIMARY_PROMOTED,
                state,
                term=election.term,
                database=election.candidate,
            ),
        ]
        if state.health.handle_primary(primary, now):
            emissions += self._publish_primary(state, primary)
        return emissions

    def _back_off(self, state: GroupFailoverState, now: float, seconds: float) -> None:
        jitter = 1.0 + 0.5 * self._random.random()
        state.backoff_until = max(state.backoff_until, now + seconds * jitter)


def _emit_probes(group: GroupDescription) -> list[Emission]:
    return [
        Emission("probe", ReportQuery(group=group.name, database=item.name))
        for item in group.databases
    ]


def _emit_requests(requests: Sequence[ElectionRequest]) -> list[Emission]:
    return [Emission("probe", request) for request in requests]


def _make_choice_events(
    state: GroupFailoverState, election: Election
) -> list[Emission]:
    position = election.positions[election.candidate]
    return [
        _make_event(
            EventName.FENCE_COMPLETED,
            state,
            term=election.term,
            n_fenced=len(election.positions),
        ),
        _make_event(
            EventName.PRIMARY_CHOSEN,
            state,
            term=election.term,
            database=election.candidate,
            position_term=position.term,
            position_offset=position.offset,
        ),
    ]


def _make_event(
    name: EventName, state: GroupFailoverState, **fields: object
) -> Emission:
    return Emission("events", Event(name, {"group": state.health.group.name, **fields}))
