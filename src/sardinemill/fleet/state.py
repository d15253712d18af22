"""Filter that keeps an instance's view of the fleet.

Three instances are coordinators: they read the store and answer the others. An
instance that hears from no coordinator reads the store itself. Whoever knows something
newer passes it on, so that instances which the store turns away learn it from others.
"""

from collections.abc import Sequence

from ..control import PeerEnvelope
from ..events import Event, EventName
from ..groups import Address
from ..interfaces import Emission, RandomSource
from ..members import InstanceInfo, MembershipChanged
from ..sessions.messages import DrainStarted
from .configuration_cache import KnownLists
from .coordinator_membership import CoordinatorMembership
from .known_positions import KnownPositions
from .messages import (
    ContactReport,
    FleetAnswer,
    FleetQuestion,
    Introduction,
    PositionReport,
)
from .primary_lease import (
    PRIMARY_LEASE_SECONDS,
    CoordinatorConfirmation,
    find_unanimous_confirmation_time,
)
from .questions import IncomingQuestions, OutgoingQuestions, make_instance_info
from .record_writer import RecordWriting
from .records import FleetRecord
from .store_messages import (
    ConfigurationRead,
    DirectoryRead,
    RecordRead,
    RecordWritten,
    StoreFault,
    StoreRequestFailed,
    WriteRecord,
)
from .store_reads import StoreChecks, round_age
from .views import (
    CoordinatorRoleChanged,
    DatabaseContact,
    FailoversInProgress,
    GroupProposal,
    Identity,
    InitialSyncCompleted,
    IsolationChanged,
    PositionSeen,
    ReachableCoordinatorsChanged,
    RecordConfirmed,
)

TICK_SECONDS = 0.1
# Three questions fit into the time for which a right lasts.
ASK_SECONDS = 0.4
# An instance that knows everything but no coordinator becomes ready after this time.
ALONE_SECONDS = 2.0
# A coordinator that is told to stop ends its changes first, for at most this time. It
# leaves time to change the list before the process is killed, 6 s after the order.
LEAVE_SECONDS = 4.0
# A tick that is late by more than this means that the instance was paused.
PAUSE_SECONDS = 1.0
NEVER = float("-inf")


class FleetState:
    """Keeps record, configuration, directory and positions up to date.

    Outlets: ``store``, ``peers``, ``links``, ``routes``, ``directory``, ``record``,
    ``positions``, ``contacts``, ``coordination``, ``coordinators``, ``known``,
    ``isolation``, ``events``.
    """

    def __init__(self, identity: Identity, random: RandomSource) -> None:
        self._identity = identity
        self._joining = CoordinatorMembership(identity, random)
        self._writing = RecordWriting(identity, self._joining)
        self._checks = StoreChecks(random)
        self._positions = KnownPositions()
        self._next_tick = 0.0
        self._record = FleetRecord()
        self._revision = 0
        self._has_record = False
        self._confirmed_at = NEVER
        self._confirmed_by_store_at = NEVER
        self._lists = KnownLists()
        self._words: dict[str, CoordinatorConfirmation] = {}
        self._asking = OutgoingQuestions()
        self._askers = IncomingQuestions()
        self._ask_at = NEVER
        self._leave_at: float | None = None
        self._n_changes = 0
        self._known_peers: tuple[InstanceInfo, ...] = ()
        self._contacts: dict[str, DatabaseContact] = {}
        self._is_known = False
        self._complete_at: float | None = None
        self._is_store_lost = False
        self._n_instances = 1
        self._n_members = 1
        self._told_coordination: CoordinatorRoleChanged | None = None
        self._told_heard: ReachableCoordinatorsChanged | None = None
        self._told_isolation = IsolationChanged(False)

    @property
    def next_tick(self) -> float | None:
        return self._next_tick

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            return self._take_envelope(message, now)
        if isinstance(message, PositionSeen):
            self._positions.merge(message, now)
            return ()
        if isinstance(message, DatabaseContact):
            return self._take_contact(message)
        if isinstance(message, GroupProposal):
            self._writing.propose(message)
            return self._start_write(now)
        if isinstance(message, FailoversInProgress):
            self._n_changes = message.n_failovers
            return self._leave_list(now)
        if isinstance(message, DrainStarted):
            self._leave_at = now + LEAVE_SECONDS
            return self._leave_list(now)
        if isinstance(message, StoreRequestFailed):
            return self._take_failure(message, now)
        return self._take_store_outcome(message, now)

    def _take_store_outcome(self, message: object, now: float) -> list[Emission]:
        emissions = self._note_store_answer()
        if isinstance(message, RecordRead):
            self._checks.end("record")
            emissions += self._adopt_record(message.record, message.revision, now)
            if message.revision == self._revision:
                emissions += self._confirm_by_store(message.asked_at)
            self._writing.resolve(self._revision)
            emissions += self._start_write(now)
        elif isinstance(message, RecordWritten):
            self._writing.end()
            emissions += self._adopt_record(message.record, message.revision, now)
            if message.revision == self._revision:
                emissions += self._confirm_by_store(message.asked_at)
            emissions += self._start_write(now)
        elif isinstance(message, DirectoryRead):
            self._checks.end("directory")
            emissions += self._lists.adopt_directory(
                message.directory, message.asked_at
            )
            self._checks.note("directory", message.asked_at)
        elif isinstance(message, ConfigurationRead):
            self._checks.end("configuration")
            if message.configuration is not None:
                emissions += self._lists.adopt_configuration(message.configuration)
                self._checks.note("configuration", message.asked_at)
        return emissions

    def tick(self, now: float) -> Sequence[Emission]:
        if now - self._next_tick > PAUSE_SECONDS:
            self._joining.note_pause()
        self._next_tick = now + TICK_SECONDS
        emissions: list[Emission] = []
        if self._has_record and now >= self._ask_at:
            self._ask_at = now + ASK_SECONDS
            emissions += self._ask_coordinators(now)
        emissions += self._read_store(now)
        if self._joining.is_coordinator(self._record):
            # A coordinator without others has no answers to learn this from.
            emissions += self._confirm_by_words(now)
        emissions += self._leave_list(now)
        if self._has_record:
            self._joining.consider(self._record, now)
        emissions += self._start_write(now)
        emissions += self._tell_coordination(now)
        emissions += self._tell_isolation(now)
        emissions += self._learn_known(now)
        return emissions

    # The store

    def _read_store(self, now: float) -> list[Emission]:
        rank = self._joining.find_rank(self._record)
        return [
            Emission("store", request) for request in self._checks.list_due(rank, now)
        ]

    def _note_store_answer(self) -> list[Emission]:
        if not self._is_store_lost:
            return []
        self._is_store_lost = False
        return [Emission("events", Event(EventName.STORE_CALLS_RECOVERED))]

    def _take_failure(self, message: StoreRequestFailed, now: float) -> list[Emission]:
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
            if self._writing.fail(message, now):
                self._checks.hurry("record")
                emissions += self._read_store(now)
            return emissions
        self._checks.fail(message.request, now)
        return emissions

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
        self._joining.note_record(record, revision, now)
        names = {item.name for item in record.coordinators}
        self._words = {name: w for name, w in self._words.items() if name in names}
        # No write later than the old revision existed at the time that confirmed it, so
        # none later than the new one did.
        confirmed = RecordConfirmed(record, revision, self._confirmed_at)
        emissions = [Emission("record", confirmed), *self._update_links()]
        if {item.name for item in before.coordinators} != names:
            fields = {"coordinators": sorted(names), "revision": revision}
            emissions.append(
                Emission("events", Event(EventName.COORDINATORS_CHANGED, fields))
            )
        return emissions

    def _confirm_by_store(self, at: float) -> list[Emission]:
        self._confirmed_by_store_at = max(self._confirmed_by_store_at, at)
        self._checks.note("record", at)
        return self._confirm(at)

    def _confirm(self, at: float) -> list[Emission]:
        if at <= self._confirmed_at:
            return []
        self._confirmed_at = at
        confirmed = RecordConfirmed(self._record, self._revision, at)
        return [Emission("record", confirmed)]

    def _learn_known(self, now: float) -> list[Emission]:
        if self._is_known or not (
            self._lists.is_complete and self._record.coordinators
        ):
            return []
        if self._complete_at is None:
            self._complete_at = now
        # Without a coordinator there are no tokens to admit operations with. Behind a
        # cut there may be none for long, and a part of the load is served all the same.
        is_alone = self._joining.hears_nobody and not self._joining.is_coordinator(
            self._record
        )
        if is_alone and now - self._complete_at < ALONE_SECONDS:
            return []
        self._is_known = True
        return [Emission("known", InitialSyncCompleted())]

    # Writes of the record

    def _start_write(self, now: float) -> list[Emission]:
        if not self._has_record:
            return []
        write = self._writing.start(self._record, self._revision, now)
        return [] if write is None else [Emission("store", write)]

    def _leave_list(self, now: float) -> list[Emission]:
        """Leave the list of coordinators once told to stop and no change runs."""
        if self._leave_at is None or self._joining.is_leaving:
            return []
        if self._n_changes and now < self._leave_at:
            return []
        self._joining.is_leaving = True
        return [*self._start_write(now), *self._tell_coordination(now)]

    # Positions and contacts

    def _take_contact(self, contact: DatabaseContact) -> list[Emission]:
        known = self._contacts.get(contact.database)
        if known is None or contact.at >= known.at:
            self._contacts[contact.database] = contact
        return [Emission("contacts", contact)]

    def _tell_positions(
        self, reports: Sequence[PositionReport], sent_at: float, now: float
    ) -> list[Emission]:
        new = self._positions.take_reports(reports, sent_at, now)
        return [Emission("positions", seen) for seen in new]

    # Questions and answers

    def _ask_coordinators(self, now: float) -> list[Emission]:
        self._asking.forget_old(now)
        contacts = self._list_contacts(now)
        others = [
            item.name
            for item in self._record.coordinators
            if item.name != self._identity.name
        ]
        return [
            self._make_question(name, now, contacts=contacts, exchanges=exchanges)
            for name, exchanges in self._choose_exchanges(others, now)
        ]

    def _choose_exchanges(
        self, others: Sequence[str], now: float
    ) -> list[tuple[str, bool]]:
        """Choose the coordinators to exchange positions with.

        One is enough, and the same one for all instances brings the youngest
        positions. Coordinators exchange them with each other.
        """
        heard = self._joining.list_heard(self._record, now)
        if self._joining.is_coordinator(self._record) or not heard:
            return [(name, True) for name in others]
        if not self._asking.is_answered(heard[0]):
            return [(name, True) for name in others]
        return [(name, name == heard[0]) for name in others]

    def _list_contacts(self, now: float) -> tuple[ContactReport, ...]:
        """Contacts with primaries since the last questions; only those are judged."""
        primaries = {item.primary for item in self._record.groups}
        contacts = tuple(
            ContactReport(
                database=item.database,
                is_alive=item.is_alive,
                age_seconds=round(now - item.at, 3),
            )
            for item in self._contacts.values()
            if item.database in primaries
        )
        self._contacts.clear()
        return contacts

    def _make_question(
        self,
        peer: str,
        now: float,
        *,
        contacts: tuple[ContactReport, ...] = (),
        exchanges: bool = True,
    ) -> Emission:
        """Make a question.

        :param exchanges: whether positions go along and are asked for.
        """
        echo = self._asking.find_echo(peer)
        is_known = self._asking.is_answered(peer)
        self._joining.note_asked(peer, now)
        positions: tuple[PositionReport, ...] = ()
        if exchanges:
            # Coordinators pass on what they heard, the others what they saw.
            positions = self._positions.make_reports(
                now,
                since=self._asking.find_exchanged_at(peer),
                is_own_only=not self._joining.is_coordinator(self._record),
            )
        question = FleetQuestion(
            number=self._asking.begin(peer, now, exchanges=exchanges),
            record_revision=self._revision,
            configuration_version=self._lists.configuration.version,
            directory_digest=self._lists.digest,
            echo_number=echo.number,
            echo_seconds=echo.find_age(now),
            introduction=None if is_known else self._introduce(),
            wants_positions=exchanges,
            positions=positions,
            contacts=contacts,
        )
        return Emission("peers", PeerEnvelope(peer=peer, message=question))

    def _introduce(self) -> Introduction:
        return Introduction(
            instance=self._identity.name,
            data_centre=self._identity.data_centre,
            host=self._identity.address.host,
            port=self._identity.address.port,
        )

    def _take_envelope(self, envelope: PeerEnvelope, now: float) -> list[Emission]:
        if isinstance(envelope.message, FleetQuestion):
            return self._take_question(envelope.peer, envelope.message, now)
        if isinstance(envelope.message, FleetAnswer):
            return self._take_answer(envelope.peer, envelope.message, now)
        return []

    def _take_question(
        self, peer: str, question: FleetQuestion, now: float
    ) -> list[Emission]:
        arrival = self._askers.take(peer, question, now)
        if arrival is None:
            return []
        # Going through all askers for each question would grow with their square.
        emissions = self._update_links() if self._askers.has_changed else []
        emissions += self._tell_positions(question.positions, arrival.sent_at, now)
        for contact in question.contacts:
            heard = DatabaseContact(
                contact.database, contact.is_alive, now - contact.age_seconds
            )
            emissions.append(Emission("contacts", heard))
        answer = FleetAnswer(
            number=question.number,
            incarnation=self._identity.incarnation,
            record_revision=self._revision,
            record_age_seconds=round_age(self._confirmed_by_store_at, now),
            record=self._record if question.record_revision < self._revision else None,
            configuration=self._lists.configuration
            if question.configuration_version < self._lists.configuration.version
            else None,
            configuration_version=self._lists.configuration.version,
            configuration_age_seconds=self._checks.find_age("configuration", now),
            directory=self._lists.directory
            if question.directory_digest != self._lists.digest
            else None,
            directory_age_seconds=self._checks.find_age("directory", now),
            positions=self._positions.make_reports(now, since=arrival.exchanged_at)
            if question.wants_positions
            else (),
            n_instances=self._n_members,
        )
        emissions.append(Emission("peers", PeerEnvelope(peer=peer, message=answer)))
        if question.configuration_version > self._lists.configuration.version or (
            question.record_revision > self._revision
        ):
            emissions.append(self._make_question(peer, now))
        return emissions

    def _take_answer(
        self, peer: str, answer: FleetAnswer, now: float
    ) -> list[Emission]:
        asked_at = self._asking.end(peer, answer.number, now)
        if asked_at is None:
            return []
        emissions: list[Emission] = []
        if answer.record is not None:
            emissions += self._adopt_record(answer.record, answer.record_revision, now)
        coordinator = self._record.find_coordinator(peer)
        if coordinator is not None and coordinator.incarnation == answer.incarnation:
            self._joining.note_heard(peer, now)
            self._joining.note_word(coordinator, answer.record_revision, now)
            self._n_instances = max(answer.n_instances, 1)
            self._words[peer] = CoordinatorConfirmation(
                answer.incarnation,
                asked_at,
                answer.record_revision,
            )
        if answer.record_revision == self._revision:
            read_at = asked_at - answer.record_age_seconds
            emissions += self._confirm_by_store(read_at)
            emissions += self._confirm_by_words(now)
        if answer.configuration is not None:
            emissions += self._lists.adopt_configuration(answer.configuration)
        if answer.configuration_version == self._lists.configuration.version:
            checked_at = asked_at - answer.configuration_age_seconds
            self._checks.note("configuration", checked_at)
        read_at = asked_at - answer.directory_age_seconds
        if answer.directory is not None:
            emissions += self._lists.adopt_directory(answer.directory, read_at)
        if answer.directory is None or answer.directory == self._lists.directory:
            self._checks.note("directory", read_at)
        emissions += self._tell_positions(answer.positions, asked_at, now)
        self._writing.resolve(self._revision)
        return emissions

    def _confirm_by_words(self, now: float) -> list[Emission]:
        words = dict(self._words)
        if self._joining.is_coordinator(self._record):
            words[self._identity.name] = CoordinatorConfirmation(
                self._identity.incarnation,
                now,
                self._revision,
            )
        at = find_unanimous_confirmation_time(
            self._record, self._revision, words, self._confirmed_by_store_at, now
        )
        return [] if at is None else self._confirm(at)

    # Other instances

    def _update_links(self) -> list[Emission]:
        peers = {
            item.name: make_instance_info(
                item.name, item.data_centre, Address(item.host, item.port)
            )
            for item in self._record.coordinators
        }
        peers |= {item.name: item for item in self._askers.list_instances()}
        peers.pop(self._identity.name, None)
        known = tuple(peers[name] for name in sorted(peers))
        if known == self._known_peers:
            return []
        self._known_peers = known
        changed = MembershipChanged(live=known, leaving=(), candidates=known)
        return [Emission("links", changed)]

    def _tell_coordination(self, now: float) -> list[Emission]:
        emissions = []
        self._n_members = 1 + self._askers.count(now)
        rank = self._joining.find_rank(self._record)
        own = self._record.find_coordinator(self._identity.name)
        if self._joining.is_leaving:
            rank = None
        is_established = rank is not None and own is not None and own.is_established
        changed = CoordinatorRoleChanged(rank, is_established)
        if changed != self._told_coordination:
            self._told_coordination = changed
            emissions.append(Emission("coordination", changed))
        heard = ReachableCoordinatorsChanged(
            self._joining.list_heard(self._record, now),
            max(self._n_instances, self._n_members),
        )
        if heard != self._told_heard:
            self._told_heard = heard
            emissions.append(Emission("coordinators", heard))
        return emissions

    def _tell_isolation(self, now: float) -> list[Emission]:
        """Tell when this instance alone may have lost its right to primaries.

        While all coordinators answer, nobody else has the right either, and sessions
        are as well off here.
        """
        heard = self._joining.list_heard(self._record, now)
        has_right = now - self._confirmed_at <= PRIMARY_LEASE_SECONDS
        is_cut_off = len(heard) < len(self._record.coordinators)
        changed = IsolationChanged(not has_right and is_cut_off)
        if changed == self._told_isolation:
            return []
        self._told_isolation = changed
        fields = {"n_heard": len(heard), "n_instances": self._n_instances}
        name = EventName.ISOLATED if changed.is_isolated else EventName.ISOLATION_ENDED
        return [Emission("isolation", changed), Emission("events", Event(name, fields))]
