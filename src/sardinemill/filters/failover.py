"""Replaces the primary of a group: detect, fence, choose, promote, learn.

Any home may order a failover. The waiting time by rank makes races rare; the term and
the orderer's name make them safe.
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
from .election import Election, Order, Phase
from .positions_table import Primary
from .primary_watch import PrimaryWatch
from .readmission import Readmission

# Four questions a second find a silent primary within 1.25 s and cost a home with two
# groups of three databases 24 small messages a second.
PROBE_SECONDS = 0.25
RANK_SECONDS = 0.15
# A tick that comes this late shows that the process was paused.
PAUSE_SECONDS = 0.5
BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 3.0
# Least time between two failovers because replicas don't follow: when the replicas
# are cut off from each other as well, a new primary does no better.
STALL_SPACING_SECONDS = 10.0


class GroupControl:
    """Schedule of one group at this home.

    :ivar rank: place of this instance among the homes.
    :ivar start_at: time at which the failover begins, once there is a reason.
    :ivar quiet_until: time before which this home begins none.
    :ivar reported_term: term whose choice was logged.
    """

    def __init__(
        self,
        watch: PrimaryWatch,
        homes: tuple[str, ...],
        rank: int,
        next_probe: float,
        quiet_until: float = float("-inf"),
        stall_allowed_at: float = float("-inf"),
    ) -> None:
        self.watch = watch
        self.homes = homes
        self.rank = rank
        self.next_probe = next_probe
        self.readmission: Readmission = Readmission()
        self.election: Election | None = None
        self.start_at: float | None = None
        self.quiet_until = quiet_until
        self.stall_allowed_at = stall_allowed_at
        self.n_abandoned = 0
        self.reported_term = 0

    @property
    def next_due(self) -> float:
        """Time at which the group needs attention."""
        due = [self.next_probe]
        if self.start_at is not None:
            due.append(self.start_at)
        if self.election is not None:
            due.append(self.election.next_due)
        return min(due)


class Failover:
    """Filter at the home: watches primaries and orders failovers.

    Outlets: ``probe``, ``primary``, ``peers``, ``events``.

    :param instance: name of this instance.
    :param incarnation: differs between runs of the instance, so that a restarted
        orderer is not taken for its predecessor.
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
        self._groups: dict[str, GroupControl] = {}

    @property
    def next_tick(self) -> float | None:
        return min((item.next_due for item in self._groups.values()), default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            return self._handle_peer_message(message.message, now)
        if isinstance(message, GroupsChanged):
            self._change_groups(message, now)
        elif isinstance(message, DatabaseReport):
            return self._handle_report(message, now)
        elif isinstance(message, FenceAnswer | PromoteAnswer):
            return self._handle_answer(message, now)
        elif isinstance(message, PrimaryChanged):
            return self._handle_primary_changed(message, now)
        elif isinstance(message, PromotionOrdered):
            control = self._groups.get(message.group)
            if control is not None and control.election is None:
                return self._start_election(control, "ordered", now)
        # Failed reports and orders need no action: detectors count the silence, and
        # orders without an answer are repeated by time.
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for control in self._groups.values():
            if control.next_due > now:
                continue
            if now - control.next_due > PAUSE_SECONDS:
                control.watch.reset(now)
                control.start_at = None
            if control.next_probe <= now:
                control.next_probe = now + PROBE_SECONDS
                emissions += _probe(control.watch.group)
                emissions += self._share_doubt(control, now)
            emissions += self._advance(control, now)
        return emissions

    # News

    def _change_groups(self, message: GroupsChanged, now: float) -> None:
        homes = dict(message.homes)
        changed: dict[str, GroupControl] = {}
        for group in message.groups:
            names = homes.get(group.name, ())
            rank = names.index(self._instance) if self._instance in names else 0
            control = self._groups.get(group.name)
            if control is None:
                watch = PrimaryWatch(group, self._detector, now)
                control = GroupControl(watch, names, rank, next_probe=now)
            control.watch.group = group
            control.homes = names
            control.rank = rank
            changed[group.name] = control
        self._groups = changed

    def _handle_report(self, report: DatabaseReport, now: float) -> list[Emission]:
        control = self._groups.get(report.group)
        if control is None:
            return []
        watch = control.watch
        admissions = control.readmission.handle_report(watch.group, report)
        highest_term = watch.highest_term
        if watch.handle_report(report):
            assert watch.primary is not None
            return admissions + self._learn(control, watch.primary)
        if watch.highest_term > highest_term and control.election is None:
            # Another home has begun to order; it is given time to complete.
            self._keep_quiet(control, now, 0.7)
        return admissions

    def _handle_primary_changed(
        self, news: PrimaryChanged, now: float
    ) -> list[Emission]:
        control = self._groups.get(news.group)
        if control is None:
            return []
        primary = Primary(news.database, news.term)
        if not control.watch.handle_primary(primary, now):
            return []
        return self._learn(control, primary)

    def _handle_peer_message(self, message: object, now: float) -> list[Emission]:
        if isinstance(message, PrimaryChanged):
            return self._handle_primary_changed(message, now)
        if not isinstance(message, PrimaryOpinion):
            return []
        control = self._groups.get(message.group)
        if control is None:
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

    def _learn(self, control: GroupControl, primary: Primary) -> list[Emission]:
        """Publish a primary of a higher term within this instance."""
        control.start_at = None
        control.n_abandoned = 0
        if control.election is not None and primary.term > control.election.term:
            control.election = None
        group = control.watch.group.name
        news = PrimaryChanged(group=group, database=primary.database, term=primary.term)
        return [
            Emission("primary", news),
            _make_event(
                EventName.PRIMARY_LEARNED,
                control,
                term=primary.term,
                database=primary.database,
            ),
        ]

    def _share_doubt(self, control: GroupControl, now: float) -> list[Emission]:
        """Ask the other homes for their opinion while this home has doubts."""
        primary = control.watch.primary
        if primary is None or not self._detector.is_locally_suspected(
            primary.database, now
        ):
            return []
        opinion = PrimaryOpinion(
            group=control.watch.group.name,
            database=primary.database,
            observer=self._instance,
            is_suspected=True,
            wants_answer=True,
        )
        return [
            Emission("peers", PeerEnvelope(peer=home, message=opinion))
            for home in control.homes
            if home != self._instance
        ]

    # Elections

    def _advance(self, control: GroupControl, now: float) -> list[Emission]:
        if control.election is not None:
            orders = control.election.advance(now)
            return self._follow(control, control.election, orders, now)
        if now < control.quiet_until:
            control.start_at = None
            return []
        reason = control.watch.find_reason(now)
        if reason is None or (reason == "stalled" and now < control.stall_allowed_at):
            control.start_at = None
            return []
        if control.start_at is None:
            control.start_at = now + control.rank * RANK_SECONDS
        if now < control.start_at:
            return []
        control.start_at = None
        return self._start_election(control, reason, now)

    def _start_election(
        self, control: GroupControl, reason: str, now: float
    ) -> list[Emission]:
        watch = control.watch
        avoided = set(watch.list_leaving())
        if reason in ("stalled", "ordered") and watch.primary is not None:
            avoided.add(watch.primary.database)
        if reason == "stalled":
            control.stall_allowed_at = now + STALL_SPACING_SECONDS
        watch.highest_term += 1
        election = Election(
            watch.group,
            watch.highest_term,
            self._orderer,
            avoided=avoided,
            uncounted=watch.list_forgetful(),
            now=now,
        )
        control.election = election
        suspect = "" if watch.primary is None else watch.primary.database
        return [
            _make_event(
                EventName.PRIMARY_SUSPECTED,
                control,
                term=watch.highest_term - 1,
                database=suspect,
                reason=reason,
            ),
            _make_event(EventName.FENCE_STARTED, control, term=election.term),
            *_emit_orders(election.list_orders()),
        ]

    def _handle_answer(
        self, answer: FenceAnswer | PromoteAnswer, now: float
    ) -> list[Emission]:
        control = self._groups.get(answer.group)
        if control is None:
            return []
        watch = control.watch
        watch.highest_term = max(watch.highest_term, answer.fenced_term)
        election = control.election
        if election is None:
            return []
        orders: Sequence[Order] = ()
        if isinstance(answer, FenceAnswer):
            orders = election.handle_fence_answer(answer, now)
        else:
            election.handle_promote_answer(answer)
        return self._follow(control, election, orders, now)

    def _follow(
        self,
        control: GroupControl,
        election: Election,
        orders: Sequence[Order],
        now: float,
    ) -> list[Emission]:
        """Act on the phase that an election has reached."""
        emissions = _emit_orders(orders)
        if election.phase is Phase.PROMOTING and control.reported_term != election.term:
            control.reported_term = election.term
            emissions = [*_report_choice(control, election), *emissions]
        elif election.phase is Phase.ABANDONED:
            control.election = None
            control.n_abandoned += 1
            delay = BACKOFF_SECONDS * 2 ** min(control.n_abandoned - 1, 10)
            self._keep_quiet(control, now, min(delay, MAX_BACKOFF_SECONDS))
            emissions.append(
                _make_event(EventName.FAILOVER_ABANDONED, control, term=election.term)
            )
        elif election.phase is Phase.COMPLETED:
            control.election = None
            emissions += self._complete(control, election, now)
        return emissions

    def _complete(
        self, control: GroupControl, election: Election, now: float
    ) -> list[Emission]:
        primary = Primary(election.candidate, election.term)
        news = PrimaryChanged(
            group=control.watch.group.name,
            database=primary.database,
            term=primary.term,
        )
        emissions = [
            Emission("peers", PeerEnvelope(peer="*", message=news)),
            _make_event(
                EventName.PRIMARY_PROMOTED,
                control,
                term=election.term,
                database=election.candidate,
            ),
        ]
        if control.watch.handle_primary(primary, now):
            emissions += self._learn(control, primary)
        return emissions

    def _keep_quiet(self, control: GroupControl, now: float, seconds: float) -> None:
        jitter = 1.0 + 0.5 * self._random.random()
        control.quiet_until = max(control.quiet_until, now + seconds * jitter)


def _probe(group: GroupDescription) -> list[Emission]:
    return [
        Emission("probe", ReportQuery(group=group.name, database=item.name))
        for item in group.databases
    ]


def _emit_orders(orders: Sequence[Order]) -> list[Emission]:
    return [Emission("probe", order) for order in orders]


def _report_choice(control: GroupControl, election: Election) -> list[Emission]:
    position = election.positions[election.candidate]
    return [
        _make_event(
            EventName.FENCE_COMPLETED,
            control,
            term=election.term,
            n_fenced=len(election.positions),
        ),
        _make_event(
            EventName.PRIMARY_CHOSEN,
            control,
            term=election.term,
            database=election.candidate,
            position_term=position.term,
            position_offset=position.offset,
        ),
    ]


def _make_event(name: EventName, control: GroupControl, **fields: object) -> Emission:
    return Emission(
        "events", Event(name, {"group": control.watch.group.name, **fields})
    )
