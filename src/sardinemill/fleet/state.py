"""Filter that keeps an instance's view of the fleet up to date.

Three instances are coordinators: they read the store and answer questions of the
others. An instance that cannot reach a coordinator reads the store itself. Newer data
passes in both directions: an answer contains what the sender of the question lacks, and
a coordinator with an older record or configuration asks that sender in turn. So
instances whose requests the store rejects learn it from others.
"""

import math
from collections.abc import Sequence

from ..control import PeerEnvelope
from ..events import Event, EventName
from ..interfaces import Emission, RandomSource
from ..sessions.gateway_messages import PeerIntroduced
from ..sessions.messages import DrainStarted
from .configuration_cache import ConfigurationCache
from .configuration_evidence import ConfigurationEvidence
from .contact_log import ContactLog
from .coordinator_membership import CoordinatorMembership
from .gateway_table import GatewayAssignment, list_scarce_databases
from .isolation import IsolationDetector
from .known_positions import KnownPositions
from .known_record import KnownRecord
from .messages import (
    MAX_AGE_SECONDS,
    NO_ERA,
    ContactReport,
    FleetAnswer,
    FleetQuestion,
    Introduction,
    PositionReport,
)
from .peer_links import PeerLinks
from .primary_lease import CoordinatorConfirmation, find_unanimous_confirmation_time
from .question_schedule import MAX_EVIDENCE_AGE_SECONDS, QuestionSchedule
from .questions import (
    IncomingQuestions,
    OutgoingQuestions,
    choose_first_number,
)
from .record_merge import VersionedRecord
from .record_writer import RecordWriter
from .records import Directory, FleetRecord
from .store_era import RESTORE_TIMEOUT_SECONDS, EraDecision, StoreEra
from .store_messages import (
    DirectoryRead,
    RecordRead,
    RecordWritten,
    StoreFault,
    StoreOutcome,
    StoreRequestFailed,
    WriteRecord,
)
from .store_reads import (
    CONFIGURATION,
    DIRECTORY,
    RECORD,
    StoreReadScheduler,
    round_age,
)
from .store_versions import StoreVersion
from .views import (
    CoordinatorRoleChanged,
    DatabaseContact,
    FailoversInProgress,
    GroupProposal,
    Identity,
    InitialSyncCompleted,
    PositionSeen,
    ReachableCoordinatorsChanged,
    RecordConfirmed,
)

TICK_SECONDS = 0.1
# How often a coordinator assigns gateways, about as often as questions arrive that show
# which instances are there.
GATEWAY_ASSIGNMENT_SECONDS = 0.4
# An instance that has read everything but reached no coordinator becomes ready this
# time after it learned which instances are coordinators.
READY_WITHOUT_COORDINATOR_SECONDS = 2.0
# Likewise if the store came back from an older copy and nobody restores the record;
# longer than the time after which any coordinator does so.
MAX_RESTORE_WAIT_SECONDS = RESTORE_TIMEOUT_SECONDS + 2.0
# A coordinator that drains finishes its failovers first, for at most this time. That
# leaves time to update the list before the process is killed, 6 s after the request.
MAX_LEAVE_DELAY_SECONDS = 4.0
# A tick that is delayed by more than this means that the process was paused.
PAUSE_THRESHOLD_SECONDS = 1.0
NEVER = float("-inf")
# Names the store as the source of what an instance knows.
STORE_SOURCE = "store"


class FleetState:
    """Keeps the fleet record, configuration, directory and positions up to date.

    Outlets: ``store``, ``peers``, ``links``, ``routes``, ``directory``, ``record``,
    ``positions``, ``contacts``, ``coordination``, ``coordinators``, ``gateways``,
    ``known``, ``isolation``, ``evidence``, ``events``.

    :param configuration_limit_seconds: time within which a configuration has to be in
        force after its acknowledgement.
    """

    def __init__(
        self,
        identity: Identity,
        random: RandomSource,
        configuration_limit_seconds: float = math.inf,
    ) -> None:
        self._identity = identity
        self._membership = CoordinatorMembership(identity, random)
        self._writer = RecordWriter(identity, self._membership)
        self._read_scheduler = StoreReadScheduler(random)
        self._positions = KnownPositions()
        self._next_tick = 0.0
        self._era = StoreEra()
        self._known = KnownRecord(self._era)
        self._has_record = False
        self._confirmed_at = NEVER
        self._confirmed_by_store_at = NEVER
        self._cache = ConfigurationCache()
        self._evidence = ConfigurationEvidence(configuration_limit_seconds)
        self._confirmations: dict[str, CoordinatorConfirmation] = {}
        self._outgoing = OutgoingQuestions(choose_first_number(identity))
        self._incoming = IncomingQuestions()
        self._schedule = QuestionSchedule(identity)
        self._gateways = GatewayAssignment()
        self._next_assignment_at = NEVER
        self._leave_deadline: float | None = None
        self._n_failovers = 0
        self._links = PeerLinks(identity.name)
        self._contacts = ContactLog()
        self._is_synced = False
        self._discovered_at: float | None = None
        self._is_store_unavailable = False
        self._is_wrong_era_reported = False
        self._n_reported_instances = 1
        self._n_active_instances = 1
        self._emitted_role: CoordinatorRoleChanged | None = None
        self._emitted_reachable: ReachableCoordinatorsChanged | None = None
        self._isolation = IsolationDetector()

    @property
    def next_tick(self) -> float | None:
        return self._next_tick

    @property
    def _record(self) -> FleetRecord:
        return self._known.record

    @property
    def _version(self) -> StoreVersion:
        return self._known.version

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            return self._handle_envelope(message, now)
        if isinstance(message, PositionSeen):
            self._positions.merge(message, now)
            return ()
        if isinstance(message, DatabaseContact):
            return self._handle_contact(message)
        if isinstance(message, GroupProposal):
            self._writer.propose(message)
            return self._start_write(now)
        if isinstance(message, FailoversInProgress):
            self._n_failovers = message.n_failovers
            return self._leave_coordinators(now)
        if isinstance(message, DrainStarted):
            self._leave_deadline = now + MAX_LEAVE_DELAY_SECONDS
            return self._leave_coordinators(now)
        if isinstance(message, PeerIntroduced):
            return self._link_introduced(message.introduction)
        if isinstance(message, StoreOutcome):
            return self._handle_store_outcome(message, now)
        return ()

    def _handle_store_outcome(
        self, message: StoreOutcome, now: float
    ) -> list[Emission]:
        decision = self._era.admit(message, now)
        emissions = self._report_era(message, decision, now)
        if isinstance(message, StoreRequestFailed):
            return [*emissions, *self._handle_store_failure(message, now)]
        emissions += self._record_store_available()
        if isinstance(message, RecordRead):
            self._read_scheduler.record_success(RECORD)
            if decision.is_used:
                emissions += self._handle_record_read(message, now)
        elif isinstance(message, RecordWritten):
            is_used = decision.is_used
            emissions += self._handle_record_written(message, now, is_used=is_used)
        elif isinstance(message, DirectoryRead):
            self._read_scheduler.record_success(DIRECTORY)
            if decision.is_used:
                directory, read_at = message.directory, message.asked_at
                emissions += self._adopt_directory(directory, read_at)
                self._read_scheduler.record_current(DIRECTORY, read_at)
        else:
            self._read_scheduler.record_success(CONFIGURATION)
            if decision.is_used and message.configuration is not None:
                age = now - message.asked_at
                emissions += self._cache.adopt_configuration(
                    message.configuration, STORE_SOURCE, age
                )
                emissions += self._confirm_configuration(
                    message.asked_at, STORE_SOURCE, now
                )
        return emissions

    def _handle_record_read(self, message: RecordRead, now: float) -> list[Emission]:
        read = self._known.identify_read(message.record, message.revision)
        emissions = self._learn_era(read.version.era, now)
        emissions += self._adopt_record(read, now)
        self._known.note_read(read, now)
        emissions += self._update_links()
        is_confirmed = (
            read.version == self._version
            and not message.may_be_stale
            and self._era.is_restored(self._record, now)
        )
        if is_confirmed:
            emissions += self._confirm_by_store(message.asked_at)
        self._writer.discard_superseded(self._version)
        return [*emissions, *self._start_write(now)]

    def _handle_record_written(
        self, message: RecordWritten, now: float, *, is_used: bool
    ) -> list[Emission]:
        self._writer.record_success(message.record)
        if not is_used or message.record.era != self._era.current:
            # The store may have lost it, or it has replaced a record of a newer era.
            self._read_scheduler.force(RECORD)
            return self._read_store(now)
        version = StoreVersion(message.record.era, message.revision)
        written = VersionedRecord(message.record, version)
        restored = self._known.describe_restoration(message.record)
        emissions = self._adopt_record(written, now)
        if restored is not None:
            event = Event(EventName.RECORD_RESTORED, restored)
            emissions.append(Emission("events", event))
        if version == self._version:
            self._known.forget_copy()
            emissions += self._confirm_by_store(message.asked_at)
        return [*emissions, *self._start_write(now)]

    def _adopt_directory(self, directory: Directory, read_at: float) -> list[Emission]:
        """Adopt a directory, unless the store may have held an older copy of it."""
        if self._era.is_settling(read_at) and self._cache.directory.databases:
            return []
        return self._cache.adopt_directory(directory, read_at)

    def tick(self, now: float) -> Sequence[Emission]:
        if now - self._next_tick > PAUSE_THRESHOLD_SECONDS:
            self._membership.record_pause()
        self._next_tick = now + TICK_SECONDS
        emissions: list[Emission] = []
        if self._has_record and self._schedule.is_due(now):
            emissions += self._ask_coordinators(now)
        emissions += self._read_store(now)
        if self._membership.is_coordinator(self._record):
            # A sole coordinator receives no answers that would trigger this.
            emissions += self._confirm_by_coordinators(now)
            emissions += self._assign_gateways(now)
        emissions += self._leave_coordinators(now)
        if self._has_record:
            self._membership.schedule_join(self._record, now)
        self._update_era_progress(now)
        emissions += self._start_write(now)
        emissions += self._emit_role(now)
        emissions += self._emit_isolation(now)
        emissions += self._emit_initial_sync(now)
        emissions += self._evidence.check(self._cache.configuration.version, now)
        return emissions

    # The store

    def _read_store(self, now: float) -> list[Emission]:
        rank = self._membership.find_rank(self._record)
        return [
            Emission("store", request)
            for request in self._read_scheduler.list_due(
                rank, now, has_coordinators=bool(self._record.coordinators)
            )
        ]

    def _record_store_available(self) -> list[Emission]:
        if not self._is_store_unavailable:
            return []
        self._is_store_unavailable = False
        return [Emission("events", Event(EventName.STORE_CALLS_RECOVERED))]

    def _handle_store_failure(
        self, message: StoreRequestFailed, now: float
    ) -> list[Emission]:
        emissions: list[Emission] = []
        if not self._is_store_unavailable and message.fault is not StoreFault.CONFLICT:
            self._is_store_unavailable = True
            fields = {
                "call": type(message.request).__name__,
                "fault": message.fault.value,
                "reason": message.message,
            }
            emissions.append(
                Emission("events", Event(EventName.STORE_CALLS_FAILED, fields))
            )
        if isinstance(message.request, WriteRecord):
            if self._writer.record_failure(message, now):
                self._read_scheduler.force(RECORD)
                emissions += self._read_store(now)
            return emissions
        self._read_scheduler.record_failure(message.request, now)
        return emissions

    # Fleet record

    def _adopt_record(self, record: VersionedRecord, now: float) -> list[Emission]:
        """Adopt a later record, unless it lacks something that this instance knows."""
        self._has_record = True
        previous = self._record
        if not self._known.adopt(record, now):
            return []
        self._membership.update_record(record.record, record.version, now)
        names = {item.name for item in record.record.coordinators}
        self._confirmations = {
            name: confirmation
            for name, confirmation in self._confirmations.items()
            if name in names
        }
        # No write later than the old version existed when that was confirmed, hence
        # none later than the new one, so the time of confirmation still holds.
        revision = record.version.revision
        confirmed = RecordConfirmed(record.record, revision, self._confirmed_at)
        emissions = [Emission("record", confirmed), *self._update_links()]
        if {item.name for item in previous.coordinators} != names:
            fields = {"coordinators": sorted(names), "revision": revision}
            emissions.append(
                Emission("events", Event(EventName.COORDINATORS_CHANGED, fields))
            )
        return emissions

    def _confirm_by_store(self, at: float) -> list[Emission]:
        self._confirmed_by_store_at = max(self._confirmed_by_store_at, at)
        self._read_scheduler.record_current(RECORD, at)
        return self._confirm(at)

    def _confirm(self, at: float) -> list[Emission]:
        if at <= self._confirmed_at:
            return []
        self._confirmed_at = at
        self._read_scheduler.evidence_at = at
        confirmed = RecordConfirmed(self._record, self._version.revision, at)
        return [Emission("record", confirmed)]

    def _emit_initial_sync(self, now: float) -> list[Emission]:
        if self._is_synced or not self._record.coordinators:
            return []
        if self._discovered_at is None:
            self._discovered_at = now
        is_restored = self._era.is_restored(self._record, now)
        if not is_restored and now - self._discovered_at < MAX_RESTORE_WAIT_SECONDS:
            # The copy in the store may be all that this instance knows.
            return []
        if not self._cache.is_complete:
            return []
        # Without a coordinator there are no rate-limit tokens to admit operations with.
        # A partition can last long, so part of the load is served even without them.
        has_no_coordinator = (
            self._membership.has_heard_no_coordinator
            and not self._membership.is_coordinator(self._record)
        )
        if (
            has_no_coordinator
            and now - self._discovered_at < READY_WITHOUT_COORDINATOR_SECONDS
        ):
            return []
        self._is_synced = True
        return [Emission("known", InitialSyncCompleted())]

    # Eras of the store

    def _report_era(
        self, message: StoreOutcome, decision: EraDecision, now: float
    ) -> list[Emission]:
        is_reported, self._is_wrong_era_reported = (
            self._is_wrong_era_reported,
            decision.is_wrong,
        )
        if decision.is_wrong and not is_reported:
            fields = {"value": message.era, "reason": "lower than before"}
            return [Emission("events", Event(EventName.STORE_ERA_IGNORED, fields))]
        return self._start_era(now) if decision.has_raised else []

    def _learn_era(self, era: int, now: float) -> list[Emission]:
        """Learn an era from a record or from another instance."""
        return self._start_era(now) if self._era.learn(era, now) else []

    def _start_era(self, now: float) -> list[Emission]:
        """Give up what rests on the older era; coordinators look at the copy."""
        self._writer.reset()
        self._known.forget_copy()
        self._era.record_proof(self._confirmed_at)
        if self._membership.is_coordinator(self._record):
            self._read_scheduler.force(RECORD)
        fields = {
            "era": self._era.current,
            "record_era": self._version.era,
            "revision": self._version.revision,
        }
        return [
            Emission("events", Event(EventName.STORE_ERA_RAISED, fields)),
            *self._emit_role(now),
        ]

    def _update_era_progress(self, now: float) -> None:
        others = [
            item.name
            for item in self._record.coordinators
            if item.name != self._identity.name
        ]
        self._era.update_progress(
            self._record,
            others,
            [
                self._confirmations[name].version.era
                if name in self._confirmations
                else NO_ERA
                for name in others
            ],
            now,
        )

    def _merge_answered_record(
        self, record: FleetRecord, version: StoreVersion, now: float
    ) -> list[Emission]:
        """Adopt another instance's record, or note that a write has to merge it."""
        answered = self._known.identify_answered(record, version)
        emissions = self._adopt_record(answered, now)
        if self._known.note_answered(answered):
            emissions += self._start_write(now)
        return [*emissions, *self._update_links()]

    # Writes of the record

    def _start_write(self, now: float) -> list[Emission]:
        rank = self._membership.find_rank(self._record)
        base = self._known.choose_write_base(rank, now) if self._has_record else None
        write = None if base is None else self._writer.start_write(base, now)
        return [] if write is None else [Emission("store", write)]

    def _leave_coordinators(self, now: float) -> list[Emission]:
        """Leave the list of coordinators when draining and no failover is running."""
        if self._leave_deadline is None or self._membership.is_leaving:
            return []
        if self._n_failovers and now < self._leave_deadline:
            return []
        self._membership.is_leaving = True
        return [*self._start_write(now), *self._emit_role(now)]

    # Positions and contacts

    def _handle_contact(self, contact: DatabaseContact) -> list[Emission]:
        self._contacts.record(contact)
        return [Emission("contacts", contact)]

    def _emit_positions(
        self, reports: Sequence[PositionReport], sent_at: float, now: float
    ) -> list[Emission]:
        new = self._positions.merge_reports(reports, sent_at, now)
        return [Emission("positions", seen) for seen in new]

    # Questions and answers

    def _ask_coordinators(self, now: float) -> list[Emission]:
        self._outgoing.discard_expired(now)
        has_old_evidence = now - self._confirmed_at > MAX_EVIDENCE_AGE_SECONDS
        receivers = self._schedule.start_round(
            self._known.add_found_coordinators(),
            self._membership.list_reachable(self._record, now),
            self._outgoing.is_last_answered,
            is_coordinator=self._membership.is_coordinator(self._record),
            is_urgent=has_old_evidence or self._contacts.has_failure,
            now=now,
        )
        if len(receivers) > 1:
            self._contacts.clear_failure()
        return [
            self._make_question(
                receiver.name,
                now,
                contacts=self._list_contacts(receiver.name, now),
                with_positions=receiver.with_positions,
            )
            for receiver in receivers
        ]

    def _list_contacts(self, peer: str, now: float) -> tuple[ContactReport, ...]:
        """Return contacts with primaries since the last question to a coordinator.

        Contacts with replicas are omitted, since only primaries are monitored.
        """
        primaries = {item.primary for item in self._record.groups}
        return tuple(
            ContactReport(
                database=item.database,
                is_alive=item.is_alive,
                age_seconds=round(now - item.at, 3),
            )
            for item in self._contacts.list_unreported(peer)
            if item.database in primaries
        )

    def _make_question(
        self,
        peer: str,
        now: float,
        *,
        contacts: tuple[ContactReport, ...] = (),
        with_positions: bool = True,
    ) -> Emission:
        """Make a question to a peer.

        :param with_positions: whether positions are sent and requested.
        """
        echo = self._outgoing.find_echo(peer)
        is_introduced = self._outgoing.is_last_answered(peer)
        self._membership.record_question(peer, now)
        positions: tuple[PositionReport, ...] = ()
        if with_positions:
            # Coordinators also forward what others reported to them.
            positions = self._positions.make_reports(
                now,
                since=self._outgoing.find_positions_synced_at(peer),
                is_first_hand_only=not self._membership.is_coordinator(self._record),
            )
        question = FleetQuestion(
            number=self._outgoing.register(peer, now, with_positions=with_positions),
            record_revision=self._version.revision,
            configuration_version=self._cache.configuration.version,
            directory_digest=self._cache.digest,
            echo_number=echo.number,
            echo_seconds=echo.find_age(now),
            introduction=None if is_introduced else self._make_introduction(),
            wants_positions=with_positions,
            positions=positions,
            contacts=contacts,
            gateway_capacity=self._find_gateway_capacity(),
            gateways_digest=self._gateways.digest if with_positions else 0,
            record_era=self._version.era,
            restored=self._record.restored,
            store_era=self._era.current,
        )
        return Emission("peers", PeerEnvelope(peer=peer, message=question))

    def _make_introduction(self) -> Introduction:
        return Introduction(
            instance=self._identity.name,
            data_centre=self._identity.data_centre,
            host=self._identity.address.host,
            port=self._identity.address.port,
        )

    def _handle_envelope(self, envelope: PeerEnvelope, now: float) -> list[Emission]:
        if isinstance(envelope.message, FleetQuestion):
            return self._handle_question(envelope.peer, envelope.message, now)
        if isinstance(envelope.message, FleetAnswer):
            return self._handle_answer(envelope.peer, envelope.message, now)
        return []

    def _handle_question(
        self, peer: str, question: FleetQuestion, now: float
    ) -> list[Emission]:
        timing = self._incoming.record(peer, question, now)
        if timing is None:
            return []
        # Updating the links for each question would cost quadratic time in the number
        # of instances.
        emissions = self._update_links() if self._incoming.has_new_addresses else []
        emissions += self._learn_era(max(question.store_era, question.record_era), now)
        emissions += self._emit_positions(question.positions, timing.sent_at, now)
        for contact in question.contacts:
            reported = DatabaseContact(
                contact.database, contact.is_alive, now - contact.age_seconds
            )
            emissions.append(Emission("contacts", reported))
        answer = FleetAnswer(
            number=question.number,
            incarnation=self._identity.incarnation,
            record_revision=self._version.revision,
            record_age_seconds=round_age(self._confirmed_by_store_at, now),
            record=self._record if self._known.is_lacking(question) else None,
            configuration=self._cache.configuration
            if question.configuration_version < self._cache.configuration.version
            else None,
            configuration_version=self._cache.configuration.version,
            configuration_age_seconds=self._read_scheduler.find_age(CONFIGURATION, now),
            directory=self._cache.directory
            if question.directory_digest != self._cache.digest
            else None,
            directory_age_seconds=self._read_scheduler.find_age(DIRECTORY, now),
            positions=self._positions.make_reports(
                now, since=timing.positions_synced_at
            )
            if question.wants_positions
            else (),
            n_instances=self._n_active_instances,
            confirmed_age_seconds=round_age(self._confirmed_at, now),
            gateways=self._gateways.table
            if question.wants_positions
            and question.gateways_digest != self._gateways.digest
            else None,
            record_era=self._version.era,
            store_era=self._era.current,
        )
        emissions.append(Emission("peers", PeerEnvelope(peer=peer, message=answer)))
        is_coordinator = self._membership.is_coordinator(self._record)
        if question.configuration_version > self._cache.configuration.version or (
            self._known.is_wanted(question, is_coordinator=is_coordinator)
        ):
            emissions.append(self._make_question(peer, now))
        return emissions

    def _handle_answer(
        self, peer: str, answer: FleetAnswer, now: float
    ) -> list[Emission]:
        asked_at = self._outgoing.record_answer(peer, answer.number, now)
        if asked_at is None:
            return []
        emissions = self._learn_era(max(answer.store_era, answer.record_era), now)
        version = self._known.find_peer_version(answer)
        if answer.record is not None:
            emissions += self._merge_answered_record(answer.record, version, now)
        self._era.record_answer(peer, answer.store_era)
        coordinator = self._record.find_coordinator(peer)
        if coordinator is not None and coordinator.incarnation == answer.incarnation:
            self._membership.record_answer(peer, now)
            self._membership.record_confirmation(coordinator, version, now)
            self._n_reported_instances = max(answer.n_instances, 1)
            self._confirmations[peer] = CoordinatorConfirmation(
                answer.incarnation,
                asked_at,
                version,
            )
        if version == self._version:
            read_at = asked_at - answer.record_age_seconds
            emissions += self._confirm_by_store(read_at)
            emissions += self._confirm_by_coordinators(now)
            # What proves to a coordinator that no later record existed at some time
            # proves it to every instance.
            emissions += self._confirm(asked_at - answer.confirmed_age_seconds)
        confirmed_at = asked_at - answer.configuration_age_seconds
        if answer.configuration is not None:
            emissions += self._cache.adopt_configuration(
                answer.configuration, peer, now - confirmed_at
            )
        has_same_version = (
            answer.configuration_version == self._cache.configuration.version
        )
        if has_same_version and answer.configuration_age_seconds < MAX_AGE_SECONDS:
            emissions += self._confirm_configuration(confirmed_at, peer, now)
        read_at = asked_at - answer.directory_age_seconds
        if answer.directory is not None:
            emissions += self._adopt_directory(answer.directory, read_at)
        has_same_directory = (
            answer.directory is None or answer.directory == self._cache.directory
        )
        if has_same_directory and answer.directory_age_seconds < MAX_AGE_SECONDS:
            self._read_scheduler.record_current(DIRECTORY, read_at)
        emissions += self._emit_positions(answer.positions, asked_at, now)
        is_coordinator = self._membership.is_coordinator(self._record)
        if answer.gateways is not None and not is_coordinator:
            emissions += self._gateways.adopt(answer.gateways)
            emissions += self._update_links()
        self._writer.discard_superseded(self._version)
        return emissions

    def _confirm_configuration(
        self, at: float, source: str, now: float
    ) -> list[Emission]:
        """Record that the known configuration was the newest one at some time."""
        self._read_scheduler.record_current(CONFIGURATION, at)
        if self._era.is_settling(at):
            # The store may hold an older version than it has acknowledged.
            return []
        version = self._cache.configuration.version
        return self._evidence.record(version, at, source, now)

    def _confirm_by_coordinators(self, now: float) -> list[Emission]:
        confirmations = dict(self._confirmations)
        if self._membership.is_coordinator(self._record):
            confirmations[self._identity.name] = CoordinatorConfirmation(
                self._identity.incarnation,
                now,
                self._version,
            )
        at = find_unanimous_confirmation_time(
            self._record,
            self._version,
            confirmations,
            self._confirmed_by_store_at,
            now,
        )
        return [] if at is None else self._confirm(at)

    # Gateways

    def _find_gateway_capacity(self) -> int:
        """Return the capacity to offer to other instances, 0 while it serves none."""
        is_serving = self._is_synced and self._leave_deadline is None
        return self._identity.gateway_capacity if is_serving else 0

    def _assign_gateways(self, now: float) -> list[Emission]:
        """Assign the gateways as a coordinator, if the fleet is large enough."""
        if now < self._next_assignment_at:
            return []
        self._next_assignment_at = now + GATEWAY_ASSIGNMENT_SECONDS
        databases = list_scarce_databases(
            self._cache.directory,
            dict(self._cache.configuration.max_connections),
            self._n_active_instances,
        )
        candidates = self._incoming.list_gateway_candidates(now) if databases else []
        coordinators = {item.name for item in self._record.coordinators}
        emissions = self._gateways.update(databases, candidates, coordinators)
        return [*emissions, *self._update_links()] if emissions else []

    def _link_introduced(self, introduction: Introduction) -> list[Emission]:
        self._links.add_introduced(introduction)
        return self._update_links()

    # Other instances

    def _update_links(self) -> list[Emission]:
        coordinators = self._known.add_found_coordinators().coordinators
        return self._links.update(coordinators, self._gateways.table, self._incoming)

    def _emit_role(self, now: float) -> list[Emission]:
        emissions = []
        self._n_active_instances = 1 + self._incoming.count_active(now)
        rank = self._membership.find_rank(self._record)
        own = self._record.find_coordinator(self._identity.name)
        if self._membership.is_leaving:
            rank = None
        is_established = rank is not None and own is not None and own.is_established
        is_established = is_established and self._era.may_fail_over(self._record, now)
        changed = CoordinatorRoleChanged(rank, is_established)
        if changed != self._emitted_role:
            self._emitted_role = changed
            emissions.append(Emission("coordination", changed))
        reachable = ReachableCoordinatorsChanged(
            self._membership.list_reachable(self._record, now),
            max(self._n_reported_instances, self._n_active_instances),
        )
        if reachable != self._emitted_reachable:
            self._emitted_reachable = reachable
            emissions.append(Emission("coordinators", reachable))
        return emissions

    def _emit_isolation(self, now: float) -> list[Emission]:
        if not self._is_synced:
            # It has no sessions and no evidence yet.
            return []
        return self._isolation.update(
            n_reachable=len(self._membership.list_reachable(self._record, now)),
            n_coordinators=len(self._record.coordinators),
            n_instances=self._n_reported_instances,
            evidence_age_seconds=now - self._confirmed_at,
        )
