"""Filter that keeps an instance's view of the fleet.

Three instances are coordinators: they read the store and answer the others. An
instance that hears from no coordinator reads the store itself. Whoever knows something
newer passes it on, so that instances which the store turns away learn it from others.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import msgspec
import xxhash

from ..control import PeerEnvelope
from ..events import Event, EventName
from ..groups import Address
from ..interfaces import Emission, RandomSource
from ..members import InstanceInfo, MembershipChanged
from ..positions import LogPosition
from ..sessions.messages import DrainStarted
from ..sessions.routes import (
    Configuration,
    RoutesChanged,
    make_route_table,
)
from .evidence import JOIN_SECONDS, CoordinatorWord, find_unanimous_word
from .messages import ContactReport, FleetAnswer, FleetQuestion, PositionReport
from .records import (
    Coordinator,
    DatabaseContact,
    Directory,
    DirectoryChanged,
    FleetRecord,
    GroupRecord,
    PositionSeen,
    RecordConfirmed,
)
from .store_messages import (
    ConfigurationRead,
    DirectoryRead,
    ReadConfiguration,
    ReadDirectory,
    ReadRecord,
    RecordRead,
    RecordWritten,
    StoreFailed,
    StoreFault,
    StoreRequest,
    WriteRecord,
)

TICK_SECONDS = 0.1
# Four questions fit into the time for which a right lasts.
ASK_SECONDS = 0.5
# Without an answer for this time a coordinator counts as out of reach.
LONELY_SECONDS = 1.2
# Ages in messages; what was never seen has this one.
MAX_AGE_SECONDS = 1e9
# A coordinator that is silent for this time is replaced.
SILENCE_SECONDS = 2.0
# An instance that hears no coordinator at all is more likely to be cut off itself.
ISOLATION_SECONDS = 5.0
# Spreads instances that find the same thing to do.
MAX_JITTER_SECONDS = 0.8
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 2.0
N_COORDINATORS = 3
# An instance that is not heard from for this time no longer counts as part of it.
MEMBER_SECONDS = 5.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckPlan:
    """Ages of knowledge at which instances read the store.

    The first coordinator reads, and the others learn from answers how old its reading
    is. Whoever learns nothing in time reads by itself, so that it does no harm when
    the store turns some instances away.

    :param seconds: at the first coordinator.
    :param rank_seconds: added for each place further down the list.
    :param other_seconds: at all other instances; above the age that an answer has in
        calm times, which is ``seconds`` and the interval of questions.
    """

    seconds: float
    rank_seconds: float
    other_seconds: float


# Watches of the store may hear nothing for seconds, so everything is read.
CHECK_PLANS = {
    # Rights to primaries last 1.8 s from here.
    "record": CheckPlan(seconds=0.8, rank_seconds=0.25, other_seconds=1.5),
    # A leaving database must get no more work 7 s after its entry changed.
    "directory": CheckPlan(seconds=1.5, rank_seconds=0.5, other_seconds=3.0),
    # A configuration has to be in force everywhere within 3 s.
    "configuration": CheckPlan(seconds=1.0, rank_seconds=0.3, other_seconds=2.0),
}
CHECK_JITTER_SECONDS = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """This instance, as others know it."""

    name: str
    data_centre: str
    address: Address
    incarnation: str


@dataclass(frozen=True, slots=True)
class GroupProposed:
    """Asks for a change of one group in the record.

    :param expected: the group's record that it replaces, ``None`` to add it.
    :param takes_fence: the proposer becomes the holder, with a new fence if another
        instance was it.
    """

    group: GroupRecord
    expected: GroupRecord | None
    takes_fence: bool = False


@dataclass(frozen=True, slots=True)
class CoordinationChanged:
    """Whether this instance is a coordinator and may change primaries.

    :param rank: place among the coordinators, ``None`` if it is none.
    """

    rank: int | None
    is_established: bool


@dataclass(frozen=True, slots=True)
class CoordinatorsHeard:
    """Coordinators that answered recently, in the order of the record."""

    names: tuple[str, ...]
    n_instances: int


@dataclass(frozen=True, slots=True)
class FleetKnown:
    """The instance knows all that it needs to serve."""


@dataclass(slots=True)
class _Poll:
    """One repeated call of the store.

    :ivar is_running: a call is in progress.
    :ivar due_at: when the next one may begin.
    """

    is_running: bool = False
    due_at: float = NEVER
    n_failures: int = 0


class FleetState:
    """Keeps record, configuration, directory and positions up to date.

    Outlets: ``store``, ``peers``, ``links``, ``routes``, ``directory``, ``record``,
    ``positions``, ``contacts``, ``coordination``, ``coordinators``, ``known``,
    ``events``.
    """

    def __init__(self, identity: Identity, random: RandomSource) -> None:
        self._identity = identity
        self._random = random
        self._next_tick = 0.0
        self._record = FleetRecord()
        self._revision = 0
        self._has_record = False
        self._confirmed_at = NEVER
        self._confirmed_by_store_at = NEVER
        self._pending_groups: frozenset[str] = frozenset()
        self._configuration = Configuration()
        # When each part was known to be current in the store.
        self._checked_at = dict.fromkeys(CHECK_PLANS, NEVER)
        self._check_jitter = CHECK_JITTER_SECONDS * random.random()
        self._directory = Directory()
        self._digest = ""
        self._directory_read_at = NEVER
        self._polls = {kind: _Poll() for kind in CHECK_PLANS}
        self._write: WriteRecord | None = None
        self._write_retry_at = NEVER
        self._words: dict[str, CoordinatorWord] = {}
        self._asked: dict[int, tuple[str, float]] = {}
        self._first_asked: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._n_questions = 0
        # Number and arrival of the last answer of each peer.
        self._echoes: dict[str, tuple[int, float]] = {}
        self._ask_at = NEVER
        self._members: dict[str, tuple[FleetQuestion, float]] = {}
        self._known_peers: tuple[InstanceInfo, ...] = ()
        self._positions: dict[str, PositionSeen] = {}
        self._contacts: dict[str, DatabaseContact] = {}
        self._joined_at: float | None = None
        self._join_due_at: float | None = None
        self._proposals: dict[str, GroupProposed] = {}
        self._is_leaving = False
        self._is_known = False
        self._is_store_lost = False
        self._n_instances = 1
        self._told_coordination: CoordinationChanged | None = None
        self._told_heard: CoordinatorsHeard | None = None

    @property
    def next_tick(self) -> float | None:
        return self._next_tick

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            return self._take_envelope(message, now)
        if isinstance(message, PositionSeen):
            self._merge_position(message)
            return ()
        if isinstance(message, DatabaseContact):
            return self._take_contact(message)
        if isinstance(message, GroupProposed):
            self._proposals[message.group.group] = message
            return self._start_write(now)
        if isinstance(message, DrainStarted):
            self._is_leaving = True
            return self._start_write(now)
        if isinstance(message, StoreFailed):
            return self._take_failure(message, now)
        return self._take_store_outcome(message, now)

    def _take_store_outcome(self, message: object, now: float) -> list[Emission]:
        emissions = self._note_store_answer()
        if isinstance(message, RecordRead):
            self._end_poll("record")
            emissions += self._adopt_record(message.record, message.revision, now)
            if message.revision == self._revision:
                emissions += self._confirm_by_store(message.asked_at)
            emissions += self._resolve_write(now)
            emissions += self._start_write(now)
        elif isinstance(message, RecordWritten):
            self._write = None
            emissions += self._adopt_record(message.record, message.revision, now)
            if message.revision == self._revision:
                emissions += self._confirm_by_store(message.asked_at)
            emissions += self._start_write(now)
        elif isinstance(message, DirectoryRead):
            self._end_poll("directory")
            emissions += self._adopt_directory(message.directory, message.asked_at)
            self._note_check("directory", message.asked_at)
        elif isinstance(message, ConfigurationRead):
            self._end_poll("configuration")
            if message.configuration is not None:
                emissions += self._adopt_configuration(message.configuration)
                self._note_check("configuration", message.asked_at)
        return emissions

    def tick(self, now: float) -> Sequence[Emission]:
        if now - self._next_tick > SILENCE_SECONDS / 2:
            # This instance was paused; the others' silence says nothing.
            self._first_asked.clear()
            self._join_due_at = None
        self._next_tick = now + TICK_SECONDS
        emissions: list[Emission] = []
        if self._has_record and now >= self._ask_at:
            self._ask_at = now + ASK_SECONDS
            emissions += self._ask_coordinators(now)
        emissions += self._poll_store(now)
        emissions += self._consider_joining(now)
        emissions += self._start_write(now)
        emissions += self._tell_coordination(now)
        return emissions

    # The store

    def _is_coordinator(self) -> bool:
        own = self._record.find_coordinator(self._identity.name)
        return own is not None and own.incarnation == self._identity.incarnation

    def _poll_store(self, now: float) -> list[Emission]:
        requests: tuple[tuple[str, StoreRequest], ...] = (
            ("record", ReadRecord()),
            ("directory", ReadDirectory()),
            ("configuration", ReadConfiguration()),
        )
        emissions = []
        for kind, request in requests:
            poll = self._polls[kind]
            due_at = max(poll.due_at, self._find_check_time(kind))
            if not poll.is_running and now >= due_at:
                poll.is_running = True
                # A reading that shows nothing is not repeated at once.
                poll.due_at = now + CHECK_PLANS[kind].seconds
                emissions.append(Emission("store", request))
        return emissions

    def _find_check_time(self, kind: str) -> float:
        """When this instance has to look by itself."""
        plan = CHECK_PLANS[kind]
        rank = self._find_rank()
        wait = plan.other_seconds + self._check_jitter
        if rank is not None:
            wait = plan.seconds + rank * plan.rank_seconds
        return self._checked_at[kind] + wait

    def _note_check(self, kind: str, at: float) -> None:
        self._checked_at[kind] = max(self._checked_at[kind], at)

    def _find_rank(self) -> int | None:
        """Place among the coordinators, ``None`` if it is none."""
        if not self._is_coordinator():
            return None
        names = [item.name for item in self._record.coordinators]
        return names.index(self._identity.name)

    def _end_poll(self, kind: str) -> None:
        poll = self._polls[kind]
        poll.is_running = False
        poll.n_failures = 0

    def _note_store_answer(self) -> list[Emission]:
        if not self._is_store_lost:
            return []
        self._is_store_lost = False
        return [Emission("events", Event(EventName.STORE_CALLS_RECOVERED))]

    def _take_failure(self, message: StoreFailed, now: float) -> list[Emission]:
        emissions: list[Emission] = []
        if not self._is_store_lost and message.fault is not StoreFault.CONFLICT:
            self._is_store_lost = True
            fields = {
                "call": type(message.request).__name__,
                "fault": message.fault.value,
                "reason": message.message,
            }
            emissions.append(
                Emission("events", Event(EventName.STORE_CALLS_FAILED, fields))
            )
        if isinstance(message.request, WriteRecord):
            return emissions + self._take_write_failure(message, now)
        kinds = {ReadRecord: "record", ReadDirectory: "directory"}
        poll = self._polls[kinds.get(type(message.request), "configuration")]
        poll.is_running = False
        poll.n_failures += 1
        poll.due_at = now + self._choose_retry_wait(poll.n_failures)
        return emissions

    def _choose_retry_wait(self, n_failures: int) -> float:
        wait = min(MIN_RETRY_SECONDS * 2 ** (n_failures - 1), MAX_RETRY_SECONDS)
        return wait * (0.5 + 0.5 * self._random.random())

    # Record

    def _adopt_record(
        self, record: FleetRecord, revision: int, now: float
    ) -> list[Emission]:
        self._has_record = True
        if revision <= self._revision:
            return []
        before = self._record
        self._record = record
        self._revision = revision
        # Another list of coordinators changes who should join, and when.
        self._join_due_at = None
        self._note_joining(now)
        names = {item.name for item in record.coordinators}
        self._words = {name: w for name, w in self._words.items() if name in names}
        self._heard = {name: at for name, at in self._heard.items() if name in names}
        self._first_asked = {
            name: at for name, at in self._first_asked.items() if name in names
        }
        # No write later than the old revision existed at the time that confirmed it, so
        # none later than the new one did.
        confirmed = RecordConfirmed(
            record, revision, self._confirmed_at, self._pending_groups
        )
        emissions = [Emission("record", confirmed), *self._update_links()]
        if {item.name for item in before.coordinators} != names:
            fields = {"coordinators": sorted(names), "revision": revision}
            emissions.append(
                Emission("events", Event(EventName.COORDINATORS_CHANGED, fields))
            )
        return emissions

    def _note_joining(self, now: float) -> None:
        """Note since when this instance is a coordinator."""
        if not self._is_coordinator():
            self._joined_at = None
            return
        if self._joined_at is None:
            self._joined_at = now

    def _confirm_by_store(self, at: float) -> list[Emission]:
        self._confirmed_by_store_at = max(self._confirmed_by_store_at, at)
        self._note_check("record", at)
        return self._confirm(at) + self._learn_known()

    def _confirm(
        self, at: float, pending_groups: frozenset[str] = frozenset()
    ) -> list[Emission]:
        if at <= self._confirmed_at and not self._pending_groups:
            return []
        self._confirmed_at = max(at, self._confirmed_at)
        self._pending_groups = pending_groups
        confirmed = RecordConfirmed(self._record, self._revision, at, pending_groups)
        return [Emission("record", confirmed)]

    def _learn_known(self) -> list[Emission]:
        if self._is_known or not (
            self._configuration.version
            and self._directory.databases
            and self._record.coordinators
        ):
            return []
        self._is_known = True
        return [Emission("known", FleetKnown())]

    # Writes of the record

    def _start_write(self, now: float) -> list[Emission]:
        """Write the next change, one at a time."""
        if self._write is not None:
            if now >= self._write_retry_at:
                # The same write again: at most one of them can take effect.
                self._write_retry_at = now + MAX_RETRY_SECONDS
                return [Emission("store", self._write)]
            return []
        if not self._has_record:
            return []
        record = self._apply_changes(now)
        if record == self._record:
            return []
        self._write = WriteRecord(record, self._revision)
        self._write_retry_at = now + MAX_RETRY_SECONDS
        return [Emission("store", self._write)]

    def _apply_changes(self, now: float) -> FleetRecord:
        record = self._apply_membership(self._record, now)
        for name, proposal in list(self._proposals.items()):
            del self._proposals[name]
            if not self._is_coordinator():
                continue
            if self._record.find_group(name) != proposal.expected:
                continue
            others = tuple(item for item in record.groups if item.group != name)
            groups = (*others, proposal.group)
            record = replace(
                record, groups=tuple(sorted(groups, key=lambda item: item.group))
            )
            is_holder = (record.holder, record.holder_incarnation) == (
                self._identity.name,
                self._identity.incarnation,
            )
            if proposal.takes_fence and not is_holder:
                record = replace(
                    record,
                    holder=self._identity.name,
                    holder_incarnation=self._identity.incarnation,
                    fence=record.fence + 1,
                )
        return record

    def _apply_membership(self, record: FleetRecord, now: float) -> FleetRecord:
        name = self._identity.name
        own = record.find_coordinator(name)
        others = tuple(item for item in record.coordinators if item.name != name)
        if self._is_leaving:
            return record if own is None else replace(record, coordinators=others)
        me = Coordinator(
            name=name,
            data_centre=self._identity.data_centre,
            host=self._identity.address.host,
            port=self._identity.address.port,
            incarnation=self._identity.incarnation,
            is_established=self._is_established(own, record, now),
        )
        if own == me:
            return record
        if own is not None:
            return replace(record, coordinators=(*others, me))
        if self._join_due_at is None or now < self._join_due_at:
            return record
        kept = [item for item in others if not self._is_silent(item.name, now)]
        if len(kept) >= N_COORDINATORS:
            return record
        return replace(record, coordinators=(*kept, me))

    def _is_established(
        self, own: Coordinator | None, record: FleetRecord, now: float
    ) -> bool:
        """Tell whether nobody counts on a list of coordinators without this one."""
        if not record.coordinators and not record.groups:
            # Nobody can have used a primary before the first coordinator.
            return True
        if own is None:
            return False
        if own.incarnation == self._identity.incarnation:
            has_waited = (
                self._joined_at is not None and now - self._joined_at > JOIN_SECONDS
            )
            return own.is_established or has_waited
        # This process has the address of its predecessor, which is dead: no list that
        # names the predecessor can be unanimous any more.
        is_same_place = (own.host, own.port) == (
            self._identity.address.host,
            self._identity.address.port,
        )
        return own.is_established and is_same_place

    def _is_silent(self, name: str, now: float) -> bool:
        first = self._first_asked.get(name)
        last = max(self._heard.get(name, NEVER), NEVER if first is None else first)
        return first is not None and now - last > SILENCE_SECONDS

    def _consider_joining(self, now: float) -> list[Emission]:
        if not self._has_record or self._is_coordinator() or self._is_leaving:
            self._join_due_at = None
            return []
        names = [item.name for item in self._record.coordinators]
        silent = [name for name in names if self._is_silent(name, now)]
        is_wanted = len(names) - len(silent) < N_COORDINATORS
        if names and len(silent) == len(names):
            last = max(
                max(self._heard.get(name, NEVER), self._first_asked[name])
                for name in silent
            )
            is_wanted = now - last > ISOLATION_SECONDS
        if not is_wanted:
            self._join_due_at = None
        elif self._join_due_at is None:
            places = {item.data_centre for item in self._record.coordinators}
            # Instances of data centres without a coordinator go first.
            penalty = 1.0 if self._identity.data_centre in places else 0.0
            wait = MAX_JITTER_SECONDS * (self._random.random() + penalty)
            self._join_due_at = now + (wait if names else wait / 4)
        return []

    def _take_write_failure(self, message: StoreFailed, now: float) -> list[Emission]:
        if message.request != self._write:
            return []
        if message.fault is StoreFault.NO_ANSWER:
            # It may still take effect. The record tells.
            self._write_retry_at = now + MAX_RETRY_SECONDS
        else:
            self._write = None
            self._join_due_at = None
        self._polls["record"].due_at = NEVER
        return self._poll_store(now)

    def _resolve_write(self, now: float) -> list[Emission]:
        """Forget a write that can no longer take effect."""
        if self._write is not None and self._revision > self._write.revision:
            self._write = None
        return []

    # Configuration and databases

    def _adopt_configuration(self, configuration: Configuration) -> list[Emission]:
        if configuration.version <= self._configuration.version:
            return []
        self._configuration = configuration
        fields = {"version": configuration.version}
        return [
            Emission("routes", RoutesChanged(make_route_table(configuration))),
            Emission("events", Event(EventName.CONFIGURATION_ADOPTED, fields)),
            *self._learn_known(),
        ]

    def _adopt_directory(self, directory: Directory, read_at: float) -> list[Emission]:
        if read_at <= self._directory_read_at:
            return []
        self._directory_read_at = read_at
        if directory == self._directory:
            return []
        self._directory = directory
        self._digest = make_digest(directory)
        return [
            Emission("directory", DirectoryChanged(directory)),
            Emission(
                "events",
                Event(
                    EventName.DATABASES_CHANGED,
                    {"n_databases": len(directory.databases), "digest": self._digest},
                ),
            ),
            *self._learn_known(),
        ]

    # Positions and contacts

    def _merge_position(self, seen: PositionSeen) -> bool:
        """Keep the higher position and the later time.

        A log that holds the higher position holds all that was acknowledged before
        either time.

        :returns: whether anything is new.
        """
        known = self._positions.get(seen.group)
        if known is not None:
            seen = PositionSeen(
                seen.group,
                max(seen.position, known.position),
                max(seen.seen_at, known.seen_at),
            )
        self._positions[seen.group] = seen
        return seen != known

    def _take_contact(self, contact: DatabaseContact) -> list[Emission]:
        known = self._contacts.get(contact.database)
        if known is None or contact.at >= known.at:
            self._contacts[contact.database] = contact
        return [Emission("contacts", contact)]

    def _make_position_reports(self, now: float) -> tuple[PositionReport, ...]:
        return tuple(
            PositionReport(
                group=item.group,
                term=item.position.term,
                offset=item.position.offset,
                age_seconds=_find_age(item.seen_at, now),
            )
            for item in self._positions.values()
        )

    def _take_positions(
        self, reports: Sequence[PositionReport], sent_at: float
    ) -> list[Emission]:
        emissions = []
        for report in reports:
            seen = PositionSeen(
                report.group,
                LogPosition(report.term, report.offset),
                sent_at - report.age_seconds,
            )
            if self._merge_position(seen):
                emissions.append(Emission("positions", self._positions[report.group]))
        return emissions

    # Questions and answers

    def _ask_coordinators(self, now: float) -> list[Emission]:
        self._asked = {
            number: (name, at)
            for number, (name, at) in self._asked.items()
            if now - at < MEMBER_SECONDS
        }
        emissions = []
        contacts = tuple(
            ContactReport(
                database=item.database,
                is_alive=item.is_alive,
                age_seconds=round(now - item.at, 3),
            )
            for item in self._contacts.values()
        )
        self._contacts.clear()
        for coordinator in self._record.coordinators:
            if coordinator.name != self._identity.name:
                question = self._make_question(coordinator.name, now, contacts)
                emissions.append(question)
        return emissions

    def _make_question(
        self, peer: str, now: float, contacts: tuple[ContactReport, ...] = ()
    ) -> Emission:
        self._n_questions += 1
        self._asked[self._n_questions] = (peer, now)
        self._first_asked.setdefault(peer, now)
        question = FleetQuestion(
            number=self._n_questions,
            instance=self._identity.name,
            data_centre=self._identity.data_centre,
            host=self._identity.address.host,
            port=self._identity.address.port,
            record_revision=self._revision,
            configuration_version=self._configuration.version,
            directory_digest=self._digest,
            echo_number=self._echoes.get(peer, (0, now))[0],
            echo_seconds=round(now - self._echoes.get(peer, (0, now))[1], 4),
            positions=self._make_position_reports(now),
            contacts=contacts,
        )
        return Emission("peers", PeerEnvelope(peer=peer, message=question))

    def _take_envelope(self, envelope: PeerEnvelope, now: float) -> list[Emission]:
        if isinstance(envelope.message, FleetQuestion):
            return self._take_question(envelope.message, now)
        if isinstance(envelope.message, FleetAnswer):
            return self._take_answer(envelope.peer, envelope.message, now)
        return []

    def _take_question(self, question: FleetQuestion, now: float) -> list[Emission]:
        before = self._members.get(question.instance)
        self._members[question.instance] = (question, now)
        emissions = self._update_links()
        sent_at = NEVER
        if before is not None and before[0].number == question.echo_number:
            # The asker had the answer to its earlier question for this time already.
            sent_at = before[1] + question.echo_seconds
        emissions += self._take_positions(question.positions, sent_at)
        for contact in question.contacts:
            heard = DatabaseContact(
                contact.database, contact.is_alive, now - contact.age_seconds
            )
            emissions.append(Emission("contacts", heard))
        answer = FleetAnswer(
            number=question.number,
            incarnation=self._identity.incarnation,
            record_revision=self._revision,
            record_age_seconds=_find_age(self._confirmed_by_store_at, now),
            pending_groups=self._list_pending_groups(),
            record=self._record if question.record_revision < self._revision else None,
            configuration=self._configuration
            if question.configuration_version < self._configuration.version
            else None,
            configuration_version=self._configuration.version,
            configuration_age_seconds=_find_age(self._checked_at["configuration"], now),
            directory=self._directory
            if question.directory_digest != self._digest
            else None,
            directory_age_seconds=_find_age(self._checked_at["directory"], now),
            positions=self._make_position_reports(now),
            n_instances=self._count_members(now),
        )
        emissions.append(
            Emission("peers", PeerEnvelope(peer=question.instance, message=answer))
        )
        if question.configuration_version > self._configuration.version or (
            question.record_revision > self._revision
        ):
            emissions.append(self._make_question(question.instance, now))
        return emissions

    def _count_members(self, now: float) -> int:
        return 1 + sum(now - at < MEMBER_SECONDS for _, at in self._members.values())

    def _take_answer(
        self, peer: str, answer: FleetAnswer, now: float
    ) -> list[Emission]:
        asked = self._asked.pop(answer.number, None)
        if asked is None or asked[0] != peer:
            return []
        asked_at = asked[1]
        self._echoes[peer] = (answer.number, now)
        emissions: list[Emission] = []
        if answer.record is not None:
            emissions += self._adopt_record(answer.record, answer.record_revision, now)
        coordinator = self._record.find_coordinator(peer)
        is_coordinator = (
            coordinator is not None and coordinator.incarnation == answer.incarnation
        )
        if is_coordinator:
            self._heard[peer] = max(self._heard.get(peer, NEVER), now)
            self._n_instances = max(answer.n_instances, 1)
            self._words[peer] = CoordinatorWord(
                answer.incarnation,
                asked_at,
                answer.record_revision,
                answer.pending_groups,
            )
        if answer.record_revision == self._revision:
            read_at = asked_at - answer.record_age_seconds
            emissions += self._confirm_by_store(read_at)
            emissions += self._confirm_by_words(now)
        if answer.configuration is not None:
            emissions += self._adopt_configuration(answer.configuration)
        if answer.configuration_version == self._configuration.version:
            checked_at = asked_at - answer.configuration_age_seconds
            self._note_check("configuration", checked_at)
        read_at = asked_at - answer.directory_age_seconds
        if answer.directory is not None:
            emissions += self._adopt_directory(answer.directory, read_at)
        if answer.directory is None or answer.directory == self._directory:
            self._note_check("directory", read_at)
        emissions += self._take_positions(answer.positions, asked_at)
        emissions += self._resolve_write(now)
        return emissions

    def _confirm_by_words(self, now: float) -> list[Emission]:
        words = dict(self._words)
        if self._is_coordinator():
            words[self._identity.name] = CoordinatorWord(
                self._identity.incarnation,
                now,
                self._revision,
                self._list_pending_groups(),
            )
        word = find_unanimous_word(
            self._record, self._revision, words, self._confirmed_by_store_at, now
        )
        return [] if word is None else self._confirm(word.at, word.pending_groups)

    def _list_pending_groups(self) -> tuple[str, ...]:
        """Groups that a write of this instance may still change."""
        if self._write is None:
            return ()
        return tuple(
            item.group
            for item in self._write.record.groups
            if item != self._record.find_group(item.group)
        )

    # Other instances

    def _update_links(self) -> list[Emission]:
        peers = {
            item.name: InstanceInfo(
                name=item.name,
                data_centre=item.data_centre,
                peer_address=Address(item.host, item.port),
                front_address=Address(item.host, item.port),
            )
            for item in self._record.coordinators
        }
        for name, (question, _) in self._members.items():
            address = Address(question.host, question.port)
            peers[name] = InstanceInfo(
                name=name,
                data_centre=question.data_centre,
                peer_address=address,
                front_address=address,
            )
        peers.pop(self._identity.name, None)
        known = tuple(peers[name] for name in sorted(peers))
        if known == self._known_peers:
            return []
        self._known_peers = known
        changed = MembershipChanged(live=known, leaving=(), candidates=known)
        return [Emission("links", changed)]

    def _tell_coordination(self, now: float) -> list[Emission]:
        emissions = []
        names = [item.name for item in self._record.coordinators]
        rank = self._find_rank()
        own = self._record.find_coordinator(self._identity.name)
        if self._is_leaving:
            rank = None
        is_established = rank is not None and own is not None and own.is_established
        changed = CoordinationChanged(rank, is_established)
        if changed != self._told_coordination:
            self._told_coordination = changed
            emissions.append(Emission("coordination", changed))
        heard = CoordinatorsHeard(
            tuple(
                name
                for name in names
                if name == self._identity.name
                or now - self._heard.get(name, NEVER) < LONELY_SECONDS
            ),
            max(self._n_instances, self._count_members(now)),
        )
        if heard != self._told_heard:
            self._told_heard = heard
            emissions.append(Emission("coordinators", heard))
        return emissions


def _find_age(at: float, now: float) -> float:
    """Age for a message, rounded up to its resolution."""
    return min(round(now - at + 0.0005, 3), MAX_AGE_SECONDS)


def make_digest(directory: Directory) -> str:
    """Short text that differs between different directories."""
    return xxhash.xxh64_hexdigest(msgspec.msgpack.encode(directory))
