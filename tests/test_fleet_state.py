"""Views of the fleet of several instances, joined by a network under test control."""

import pytest

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.control import PeerEnvelope
from sardinemill.fleet.coordinator_membership import CoordinatorMembership
from sardinemill.fleet.messages import FleetQuestion
from sardinemill.fleet.primary_lease import (
    ESTABLISHMENT_DELAY_SECONDS,
    MAX_COORDINATOR_LIST_AGE_SECONDS,
    PRIMARY_LEASE_MARGIN_SECONDS,
    PRIMARY_LEASE_SECONDS,
)
from sardinemill.fleet.questions import IncomingQuestions
from sardinemill.fleet.records import Coordinator, FleetRecord, GroupRecord
from sardinemill.fleet.state import FleetState
from sardinemill.fleet.store_messages import (
    ConfigurationRead,
    DirectoryRead,
    ReadConfiguration,
    ReadDirectory,
    ReadRecord,
    RecordRead,
    RecordWritten,
    StoreFault,
    StoreRequestFailed,
    WriteRecord,
)
from sardinemill.fleet.views import (
    DatabaseContact,
    FailoversInProgress,
    GroupProposal,
    Identity,
    InitialSyncCompleted,
    IsolationChanged,
    PositionSeen,
    RecordConfirmed,
)
from sardinemill.groups import Address
from sardinemill.positions import LogPosition
from sardinemill.sessions.messages import DrainStarted
from sardinemill.sessions.routes import RoutesChanged
from session_builders import make_configuration, make_directory, select

STEP_SECONDS = 0.05


class Network:
    """Instances, a store and the links between them, all without delay."""

    def __init__(self, names="abcdef"):
        self.now = 100.0
        self.record, self.revision = FleetRecord(), 0
        self.configuration = make_configuration()
        self.store_cut = set()
        self.peer_cut = set()
        self.lost_answers = 0
        self.n_calls = 0
        self.writes = []
        self.states = {}
        self.confirmed = {}
        self.versions = {}
        self.positions = {}
        self.known_at = {}
        self.sent = []
        self.joined_at = {}
        self.isolated = {}
        for number, name in enumerate(names):
            self.start(name, number)

    def start(self, name, seed, incarnation="1"):
        """Start an instance, or start it again."""
        identity = Identity(
            name=name,
            data_centre="xyz"[ord(name) % 3],
            address=Address("10.0.0.1", 7000),
            incarnation=incarnation,
        )
        self.states[name] = FleetState(identity, SeededRandom(seed))
        self.confirmed[name] = None
        self.versions[name] = 0

    def stop(self, name):
        """Kill an instance."""
        del self.states[name]

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP_SECONDS, 3)
            for name in list(self.states):
                state = self.states[name]
                if state.next_tick <= self.now:
                    self.take(name, state.tick(self.now))

    def hand(self, name, message):
        """Give a message to an instance."""
        if name in self.states:
            self.take(name, self.states[name].handle(message, self.now))

    def take(self, name, emissions):
        """Carry out what an instance asks for."""
        for item in emissions:
            message = item.message
            if item.outlet == "store":
                self.call(name, message)
            elif item.outlet == "peers":
                self.sent.append((name, message.peer, message.message))
                if {name, message.peer} & self.peer_cut:
                    continue
                received = PeerEnvelope(peer=name, message=message.message)
                self.hand(message.peer, received)
            elif isinstance(message, RecordConfirmed):
                self.confirmed[name] = message
            elif isinstance(message, RoutesChanged):
                assert message.table.version > self.versions[name]
                self.versions[name] = message.table.version
            elif isinstance(message, InitialSyncCompleted):
                heard = self.states[name]._joining._heard
                assert heard or name in self.coordinators or name in self.peer_cut
                self.known_at[name] = self.now
            elif isinstance(message, IsolationChanged):
                self.isolated[name] = message.is_isolated
            elif isinstance(message, PositionSeen):
                self.positions[name] = message

    def call(self, name, request):
        """Answer a call of the store."""
        self.n_calls += 1
        if name in self.store_cut:
            failed = StoreRequestFailed(request, StoreFault.NO_ANSWER, "cut")
            self.hand(name, failed)
        elif isinstance(request, ReadRecord):
            self.hand(name, RecordRead(self.record, self.revision, self.now))
        elif isinstance(request, ReadDirectory):
            read = DirectoryRead(make_directory().directory, self.now)
            self.hand(name, read)
        elif isinstance(request, ReadConfiguration):
            self.hand(name, ConfigurationRead(self.configuration, self.now))
        elif isinstance(request, WriteRecord):
            self.write(name, request)

    def write(self, name, request):
        """Replace the record under its condition."""
        if request.revision != self.revision:
            failed = StoreRequestFailed(request, StoreFault.CONFLICT, "revision")
            self.hand(name, failed)
            return
        before = set(self.coordinators)
        self.record, self.revision = request.record, self.revision + 1
        for joined in set(self.coordinators) - before:
            self.joined_at[joined] = self.now
        self.writes.append(request)
        if self.lost_answers:
            self.lost_answers -= 1
            failed = StoreRequestFailed(request, StoreFault.NO_ANSWER, "lost")
            self.hand(name, failed)
            return
        written = RecordWritten(self.record, self.revision, self.now)
        self.hand(name, written)

    @property
    def coordinators(self):
        """Names in the record."""
        return [item.name for item in self.record.coordinators]

    def find_age(self, name):
        """Age of an instance's evidence."""
        return self.now - self.confirmed[name].confirmed_at


@pytest.fixture
def network():
    """Six instances after a calm start."""
    started = Network()
    started.run(5)
    return started


def test_three_coordinators_from_different_data_centres(network):
    """Guards against coordinators that one cut takes away together."""
    assert len(network.coordinators) == 3
    places = {item.data_centre for item in network.record.coordinators}
    assert len(places) == 3


def test_everybody_has_fresh_evidence_at_few_store_calls(network):
    """Guards against calls of the store that grow with the number of instances."""
    network.n_calls = 0
    network.run(10)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )
    # One coordinator reads all, the others sometimes the record.
    assert network.n_calls <= 2 * (10 / 0.4 + 10 / 1.5 + 10 / 1.0)


def test_new_configuration_reaches_everybody(network):
    """Guards against instances that keep an old configuration."""
    network.configuration = make_configuration(version=2)
    network.run(2)
    assert set(network.versions.values()) == {2}


def test_new_configuration_is_in_force_in_time_though_the_first_coordinator_dies(
    network,
):
    """Guards against a configuration that one coordinator's death holds up."""
    network.configuration = make_configuration(version=2)
    network.stop(network.coordinators[0])
    network.run(2.7)
    assert {network.versions[name] for name in network.states} == {2}


def test_configuration_reaches_coordinators_that_the_store_turns_away(network):
    """Guards against a part of the fleet that the store turns away and nobody tells."""
    network.store_cut = set(network.coordinators)
    network.run(1)
    (outside, *_) = [name for name in network.states if name not in network.store_cut]
    network.configuration = make_configuration(version=2)
    network.hand(outside, ConfigurationRead(network.configuration, network.now))
    network.run(1)
    assert set(network.versions.values()) == {2}


def test_store_that_turns_all_coordinators_away_delays_no_configuration(network):
    """Guards against instances that trust coordinators which the store turns away."""
    network.store_cut = set(network.coordinators)
    network.configuration = make_configuration(version=2)
    network.run(2.8)
    assert set(network.versions.values()) == {2}


def test_silent_coordinator_is_replaced(network):
    """Guards against a fleet whose coordinators die one after the other."""
    gone = network.coordinators[0]
    network.stop(gone)
    network.run(4)
    assert gone not in network.coordinators
    assert len(network.coordinators) == 3


def test_cut_off_instance_does_not_replace_the_coordinators(network):
    """Guards against an instance that takes its own cut for the others' failure."""
    (outside, *_) = [n for n in network.states if n not in network.coordinators]
    before = network.coordinators
    network.peer_cut = {outside}
    network.run(4.5)
    assert network.coordinators == before


def test_all_coordinators_lost_at_once(network):
    """Guards against a fleet that waits for coordinators which are gone."""
    for name in network.coordinators:
        network.stop(name)
    network.run(8)
    assert network.coordinators
    assert set(network.coordinators) <= set(network.states)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_words_bridge_an_outage_of_the_store(network):
    """Guards against primaries that stand still while the store is away for seconds."""
    network.store_cut = set(network.states)
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS - 1.0)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_words_bridge_an_outage_for_a_single_instance():
    """Guards against a coordinator that waits for the word of others, of which there
    are none.
    """
    network = Network("a")
    network.run(3)
    network.store_cut = {"a"}
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS - 1.0)
    assert network.find_age("a") < PRIMARY_LEASE_SECONDS


def test_instance_is_ready_once_it_hears_a_coordinator(network):
    """Guards against an instance that refuses its first operations for want of tokens.

    The network asserts that ready instances hear one.
    """
    assert set(network.known_at) == set(network.states)


def test_cut_off_instance_is_ready_late(network):
    """Guards against an instance behind a cut that never serves what it can."""
    network.peer_cut = {"z"}
    network.start("z", 9)
    network.run(1.0)
    assert "z" not in network.known_at
    network.run(2.0)
    assert "z" in network.known_at


def test_words_end_with_a_long_outage(network):
    """Guards against rights that outlive what the list of coordinators allows."""
    network.store_cut = set(network.states)
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS + PRIMARY_LEASE_SECONDS + 0.5)
    assert all(
        network.find_age(name) > PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_cut_off_instance_loses_its_right(network):
    """Guards against the use of a replaced primary behind a cut."""
    (outside, *_) = [n for n in network.states if n not in network.coordinators]
    network.peer_cut = {outside}
    network.store_cut = {outside}
    network.run(PRIMARY_LEASE_SECONDS + 1.0)
    assert network.find_age(outside) > PRIMARY_LEASE_SECONDS


def test_pending_write_ends_no_right_before_it_is_known(network):
    """Guards against an outage in which one dead primary stops all others."""
    writer = network.coordinators[0]
    network.store_cut = set(network.states)
    group = GroupRecord(group="g", primary="p")
    network.hand(writer, GroupProposal(group, None))
    network.run(PRIMARY_LEASE_SECONDS + 0.6)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_lost_answer_of_a_write_is_found_in_the_record(network):
    """Guards against a change that took effect and is not known to its writer."""
    writer = network.coordinators[0]
    network.lost_answers = 1
    network.hand(writer, GroupProposal(GroupRecord(group="g", primary="p"), None))
    network.run(2)
    assert network.confirmed[writer].record.find_group("g") is not None
    assert sum(item.record.find_group("g") is not None for item in network.writes) == 1


def test_restarted_coordinator_joins_again(network):
    """Guards against the word of a process that has forgotten its writes."""
    name = network.coordinators[0]
    network.stop(name)
    network.start(name, 77, incarnation="2")
    network.run(3)
    (entry,) = [item for item in network.record.coordinators if item.name == name]
    assert entry.incarnation == "2"


def test_coordinators_that_restart_in_their_place_stay_established(network):
    """Guards against a fleet that may change no primary after all lost power."""
    network.run(10)
    assert all(item.is_established for item in network.record.coordinators)
    for number, name in enumerate(list(network.states)):
        network.stop(name)
        network.start(name, 50 + number, incarnation="2")
    network.run(3)
    assert {item.incarnation for item in network.record.coordinators} == {"2"}
    assert all(item.is_established for item in network.record.coordinators)


def find_newcomer(network):
    """The coordinator that joined last, in the place of one that was stopped."""
    network.run(10)
    network.stop(network.coordinators[0])
    network.run(3)
    known = [item for item in network.record.coordinators if not item.is_established]
    (new,) = known
    return new.name


def test_newcomer_is_established_soon_by_the_word_of_an_established_one(network):
    """Guards against a fleet without anyone who may change a primary while instances
    are restarted in turn, and against a change that older lists do not expect.
    """
    name = find_newcomer(network)
    joined_at = network.joined_at[name]
    network.run(joined_at + PRIMARY_LEASE_SECONDS - network.now)
    assert not network.record.find_coordinator(name).is_established
    network.run(1.2)
    assert network.record.find_coordinator(name).is_established


def test_newcomer_without_word_of_an_established_one_is_established_late(
    network, monkeypatch
):
    """Guards against a change that instances without the new list do not expect."""
    monkeypatch.setattr(CoordinatorMembership, "note_word", lambda *arguments: None)
    name = find_newcomer(network)
    joined_at = network.joined_at[name]
    network.run(joined_at + ESTABLISHMENT_DELAY_SECONDS - 0.5 - network.now)
    assert not network.record.find_coordinator(name).is_established
    network.run(1.5)
    assert network.record.find_coordinator(name).is_established


@pytest.mark.parametrize(
    ("is_established", "revision", "expected"),
    [(True, 7, True), (True, 6, False), (False, 7, False)],
)
def test_only_the_word_of_an_established_one_that_knows_counts(
    is_established, revision, expected
):
    """Guards against trust in a coordinator that others may not count on either."""
    identity = Identity(
        name="a", data_centre="x", address=Address("h", 1), incarnation="1"
    )
    joining = CoordinatorMembership(identity, SeededRandom(0))
    other = Coordinator(
        name="b",
        data_centre="y",
        host="h",
        port=2,
        incarnation="1",
        is_established=is_established,
    )
    own = Coordinator(name="a", data_centre="x", host="h", port=1, incarnation="1")
    record = FleetRecord(coordinators=(other, own))
    joining.note_record(record, 7, 100.0)
    joining.note_word(other, revision, 100.2)
    later = joining.apply(
        record, 100.2 + PRIMARY_LEASE_SECONDS + PRIMARY_LEASE_MARGIN_SECONDS + 0.1
    )
    assert later.find_coordinator("a").is_established is expected


def test_leaving_coordinator_ends_its_changes_first(network):
    """Guards against a group without a primary because the holder of its change was
    told to stop: the others have to wait until no order of it can be on its way.
    """
    name = network.coordinators[0]
    network.hand(name, FailoversInProgress(1))
    network.hand(name, DrainStarted(network.now))
    network.run(2)
    assert name in network.coordinators
    network.hand(name, FailoversInProgress(0))
    network.run(0.5)
    assert name not in network.coordinators


def test_leaving_coordinator_leaves_before_it_is_killed(network):
    """Guards against a list that names a process which has ended."""
    name = network.coordinators[0]
    network.hand(name, FailoversInProgress(1))
    network.hand(name, DrainStarted(network.now))
    network.run(4.5)
    assert name not in network.coordinators


def test_right_survives_a_change_of_coordinators(network):
    """Guards against primaries that stand still at each change of the record."""
    worst = 0.0
    network.stop(network.coordinators[0])
    for _ in range(60):
        network.run(0.1)
        worst = max(worst, *(network.find_age(name) for name in network.states))
    assert worst < PRIMARY_LEASE_SECONDS


def test_leaving_coordinator_gives_its_place_away(network):
    """Guards against a planned stop that is noticed only by silence."""
    name = network.coordinators[0]
    network.hand(name, DrainStarted(network.now + 3))
    network.run(2)
    assert name not in network.coordinators
    assert len(network.coordinators) == 3


def test_positions_travel_without_looking_younger(network):
    """Guards against a floor that claims to cover more than it does."""
    names = [n for n in network.states if n not in network.coordinators]
    seen_at = network.now - 0.2
    seen = PositionSeen("g", LogPosition(3, 7), seen_at)
    network.hand(names[0], seen)
    network.run(1.2)
    learned = network.positions[names[1]]
    assert learned.position == LogPosition(3, 7)
    assert seen_at - 0.1 < learned.seen_at <= seen_at


def test_older_configuration_is_never_adopted(network):
    """Guards against a configuration that reverts."""
    network.configuration = make_configuration(version=5)
    for name in network.states:
        network.hand(name, ConfigurationRead(network.configuration, network.now))
    for name in network.states:
        read = ConfigurationRead(make_configuration(version=3), network.now)
        network.hand(name, read)
    assert set(network.versions.values()) == {5}


def test_proposal_for_another_state_of_the_group_is_dropped(network):
    """Guards against a change that overwrites one that it has not seen."""
    writer = network.coordinators[0]
    network.hand(writer, GroupProposal(GroupRecord(group="g", primary="p"), None))
    network.run(1)
    network.hand(writer, GroupProposal(GroupRecord(group="g", primary="q"), None))
    network.run(1)
    assert network.record.find_group("g").primary == "p"


def test_states_emit_no_store_calls_of_their_own_kind_twice():
    """Guards against calls that pile up while the store does not answer."""
    state = Network("a").states["a"]
    emissions = state.tick(200.0)
    kinds = [type(item) for item in select(emissions, "store")]
    assert len(kinds) == len(set(kinds))


def test_question_of_a_known_instance_costs_no_look_at_all_others(network, monkeypatch):
    """Guards against work of a coordinator that grows with the square of the fleet."""
    name = network.coordinators[0]
    looks = []
    update = FleetState._update_links
    monkeypatch.setattr(
        FleetState,
        "_update_links",
        lambda state: looks.append(state._identity.name) or update(state),
    )
    monkeypatch.setattr(
        IncomingQuestions, "count", lambda askers, now: looks.append("count")
    )
    envelope = network.states["f"]._make_question(name, network.now).message
    received = PeerEnvelope(peer="f", message=envelope.message)
    network.states[name].handle(received, network.now)
    assert looks == []


def list_questions(network, name, seconds):
    """Questions of one instance in some time, with their receivers."""
    network.sent.clear()
    network.run(seconds)
    return [
        (peer, message)
        for sender, peer, message in network.sent
        if sender == name and isinstance(message, FleetQuestion)
    ]


def test_positions_are_exchanged_with_one_coordinator(network):
    """Guards against traffic between data centres that repeats each position."""
    seen = PositionSeen("g", LogPosition(1, 5), network.now)
    network.hand("f", seen)
    questions = list_questions(network, "f", 2)
    assert {peer for peer, _ in questions} == set(network.coordinators)
    for peer, question in questions:
        assert question.wants_positions == (peer == network.coordinators[0])
    carriers = [peer for peer, question in questions if question.positions]
    assert carriers == [network.coordinators[0]]
    assert all(network.positions[name].position == seen.position for name in "abcde")


def test_positions_are_repeated_until_they_are_answered(network):
    """Guards against a position that is lost with one message."""
    network.peer_cut.add("f")
    network.hand("f", PositionSeen("g", LogPosition(1, 5), network.now))
    network.run(1)
    assert "a" not in network.positions
    network.peer_cut.clear()
    network.run(1.5)
    assert set(network.positions) >= set("abcde")


def test_new_instance_learns_all_positions(network):
    """Guards against an instance that knows only what changes after its start."""
    network.hand("f", PositionSeen("g", LogPosition(1, 5), network.now))
    network.run(2)
    network.start("z", 30)
    network.run(2)
    assert network.positions["z"].position == LogPosition(1, 5)


def test_positions_go_to_all_coordinators_while_the_first_is_silent(network):
    """Guards against positions that grow old until a dead coordinator is replaced."""
    network.stop(network.coordinators[0])
    network.hand("f", PositionSeen("g", LogPosition(1, 5), network.now))
    network.run(0.5)
    network.hand("f", PositionSeen("g", LogPosition(1, 6), network.now))
    questions = list_questions(network, "f", 0.5)
    assert {peer for peer, _ in questions} == set(network.coordinators)
    assert all(question.wants_positions for _, question in questions)
    assert all(question.positions for _, question in questions)


def test_instance_introduces_itself_until_it_is_answered(network):
    """Guards against a restarted coordinator that cannot answer what it is asked."""
    calm = list_questions(network, "f", 1)
    assert calm
    assert all(question.introduction is None for _, question in calm)
    restarted = network.coordinators[0]
    network.start(restarted, seed=9, incarnation="2")
    asked = [
        question
        for peer, question in list_questions(network, "f", 2)
        if peer == restarted
    ]
    assert asked[-1].introduction is None
    assert any(question.introduction is not None for question in asked)


def test_contacts_with_replicas_stay_at_home(network):
    """Guards against traffic for databases whose silence decides nothing."""
    network.hand(
        network.coordinators[0],
        GroupProposal(GroupRecord(group="g", primary="p"), None),
    )
    network.run(2)
    for database in ("p", "q"):
        network.hand("f", DatabaseContact(database, True, network.now))
    questions = list_questions(network, "f", 0.5)
    contacts = [
        item.database for _, question in questions for item in question.contacts
    ]
    assert set(contacts) == {"p"}


def test_instance_that_is_cut_off_says_so_until_the_cut_ends(network):
    """Guards against sessions that stay where no primary can be used."""
    network.peer_cut.add("f")
    network.store_cut.add("f")
    network.run(PRIMARY_LEASE_SECONDS + 0.5)
    assert network.isolated == {"f": True}
    network.peer_cut.clear()
    network.store_cut.clear()
    network.run(1.5)
    assert network.isolated == {"f": False}


def test_nobody_is_isolated_while_the_store_is_away_for_long(network):
    """Guards against a fleet that sends all sessions away, to nowhere."""
    network.store_cut |= set("abcdef")
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS + 5)
    assert network.isolated == {}
