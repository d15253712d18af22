"""Fleet state of several instances on a simulated network."""

from dataclasses import replace

import pytest

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.control import PeerEnvelope
from sardinemill.fleet.coordinator_membership import CoordinatorMembership
from sardinemill.fleet.gateway_table import GatewaysChanged
from sardinemill.fleet.messages import FleetAnswer, FleetQuestion
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
from sardinemill.fleet.store_reads import RECORD, StoreReadScheduler
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
from session_builders import (
    make_configuration,
    make_coordinator,
    make_directory,
    select,
)

STEP_SECONDS = 0.05


class Network:
    """Instances, a store and the links between them, without delays."""

    def __init__(self, names="abcdef"):
        self.now = 100.0
        self.record, self.revision = FleetRecord(), 0
        self.configuration = make_configuration()
        self.store_cut = set()
        self.peer_cut = set()
        self.lost_answers = 0
        self.n_store_calls = 0
        self.requests = []
        self.writes = []
        self.states = {}
        self.confirmed = {}
        self.versions = {}
        self.positions = {}
        self.synced_at = {}
        self.sent = []
        self.joined_at = {}
        self.isolation = {}
        self.gateways = {}
        for number, name in enumerate(names):
            self.start(name, number)

    def start(self, name, seed, incarnation="1"):
        """Start or restart an instance."""
        identity = Identity(
            name=name,
            data_centre="xyz"[ord(name) % 3],
            address=Address("10.0.0.1", 7000),
            incarnation=incarnation,
            gateway_capacity=5,
        )
        self.states[name] = FleetState(identity, SeededRandom(seed))
        self.confirmed[name] = None
        self.versions[name] = 0

    def stop(self, name):
        """Kill an instance."""
        del self.states[name]

    def run(self, seconds):
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP_SECONDS, 3)
            for name in list(self.states):
                state = self.states[name]
                if state.next_tick <= self.now:
                    self.process(name, state.tick(self.now))

    def deliver(self, name, message):
        """Deliver a message to an instance."""
        if name in self.states:
            self.process(name, self.states[name].handle(message, self.now))

    def process(self, name, emissions):
        """Process what an instance emits."""
        for item in emissions:
            message = item.message
            if item.outlet == "store":
                self.call_store(name, message)
            elif item.outlet == "peers":
                self.sent.append((name, message.peer, message.message))
                if {name, message.peer} & self.peer_cut:
                    continue
                received = PeerEnvelope(peer=name, message=message.message)
                self.deliver(message.peer, received)
            elif isinstance(message, RecordConfirmed):
                self.confirmed[name] = message
            elif isinstance(message, RoutesChanged):
                assert message.table.version > self.versions[name]
                self.versions[name] = message.table.version
            elif isinstance(message, InitialSyncCompleted):
                heard = self.states[name]._membership._last_answer_at
                assert heard or name in self.coordinators or name in self.peer_cut
                self.synced_at[name] = self.now
            elif isinstance(message, IsolationChanged):
                self.isolation[name] = message.is_isolated
            elif isinstance(message, PositionSeen):
                self.positions[name] = message
            elif isinstance(message, GatewaysChanged):
                self.gateways[name] = message.table

    def call_store(self, name, request):
        """Answer a request to the store."""
        self.n_store_calls += 1
        self.requests.append((name, request))
        if name in self.store_cut:
            failed = StoreRequestFailed(request, StoreFault.NO_ANSWER, "cut")
            self.deliver(name, failed)
        elif isinstance(request, ReadRecord):
            read = RecordRead(
                self.record, self.revision, self.now, request.may_be_stale
            )
            self.deliver(name, read)
        elif isinstance(request, ReadDirectory):
            read = DirectoryRead(make_directory().directory, self.now)
            self.deliver(name, read)
        elif isinstance(request, ReadConfiguration):
            self.deliver(name, ConfigurationRead(self.configuration, self.now))
        elif isinstance(request, WriteRecord):
            self.write(name, request)

    def write(self, name, request):
        """Replace the record if its revision is the expected one."""
        if request.revision != self.revision:
            failed = StoreRequestFailed(request, StoreFault.CONFLICT, "revision")
            self.deliver(name, failed)
            return
        before = set(self.coordinators)
        self.record, self.revision = request.record, self.revision + 1
        for joined in set(self.coordinators) - before:
            self.joined_at[joined] = self.now
        self.writes.append(request)
        if self.lost_answers:
            self.lost_answers -= 1
            failed = StoreRequestFailed(request, StoreFault.NO_ANSWER, "lost")
            self.deliver(name, failed)
            return
        written = RecordWritten(self.record, self.revision, self.now)
        self.deliver(name, written)

    @property
    def coordinators(self):
        """Return the names of the coordinators in the record."""
        return [item.name for item in self.record.coordinators]

    def find_age(self, name):
        """Return the time since the record was last confirmed at an instance."""
        return self.now - self.confirmed[name].confirmed_at


@pytest.fixture
def network():
    """Six instances after a start without faults."""
    started = Network()
    started.run(5)
    return started


def test_three_coordinators_from_different_data_centres(network):
    """Guards against one partition that separates all coordinators."""
    assert len(network.coordinators) == 3
    data_centres = {item.data_centre for item in network.record.coordinators}
    assert len(data_centres) == 3


def test_all_instances_keep_their_leases_with_few_store_calls(network):
    """Guards against store requests that grow with the number of instances."""
    network.n_store_calls = 0
    network.run(10)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )
    # One coordinator reads all, the others sometimes the record.
    assert network.n_store_calls <= 2 * (10 / 0.4 + 10 / 1.5 + 10 / 1.0)


def test_leases_need_few_questions_and_few_reads_of_the_store(network):
    """Guards against traffic between data centres and store calls that the leases do
    not need: an instance asks one coordinator in each round and the others in every
    second one, and the coordinators confirm the record to each other.
    """
    network.n_store_calls = 0
    questions = list_questions(network, "f", 8)
    own = find_own_coordinator(network, "f")
    n_others = sum(peer != own for peer, _ in questions)
    assert n_others <= 2 * 8 / 0.8 + 2
    assert network.n_store_calls <= 8 / 1.2 + 8 / 1.5 + 8 / 1.0 + 3
    assert all(network.find_age(name) < 0.8 for name in network.states)


def test_failed_database_is_reported_to_all_coordinators_at_once(network):
    """Guards against a failover that waits for the next full round of questions."""
    network.record = replace(
        network.record, groups=(GroupRecord(group="g", primary="p"),)
    )
    network.revision += 1
    network.run(2)
    network.deliver("f", DatabaseContact("p", False, network.now))
    questions = list_questions(network, "f", 0.45)
    told = {peer for peer, question in questions if question.contacts}
    assert told == set(network.coordinators)


def test_stale_read_renews_no_lease():
    """Guards against a lease that rests on a record that was already replaced."""
    state = FleetState(
        Identity(
            name="a",
            data_centre="x",
            address=Address("10.0.0.1", 7000),
            incarnation="1",
        ),
        SeededRandom(1),
    )
    state.tick(100.0)
    record = FleetRecord(coordinators=(make_coordinator("b"),))
    emissions = state.handle(RecordRead(record, 4, 100.0, may_be_stale=True), 100.1)
    (confirmed,) = select(emissions, "record", RecordConfirmed)
    assert confirmed.confirmed_at < 0
    emissions = state.handle(RecordRead(record, 4, 100.2), 100.3)
    (confirmed,) = select(emissions, "record", RecordConfirmed)
    assert confirmed.confirmed_at == 100.2


def test_restarted_instances_learn_from_the_coordinators(network):
    """Guards against a fleet that reads everything from the store when it returns: each
    instance reads the record, which may be stale, and asks for the rest.
    """
    others = [name for name in network.states if name not in network.coordinators]
    network.requests.clear()
    for name in others:
        network.start(name, 9, incarnation="2")
    network.run(2)
    assert set(others) <= set(network.synced_at)
    by_others = [request for name, request in network.requests if name in others]
    assert by_others == [ReadRecord(may_be_stale=True)] * len(others)


def test_instances_of_a_restarted_fleet_wait_for_their_coordinators(network):
    """Guards against a fleet that reads everything from the store because coordinators
    that have just started themselves answer without data.
    """
    coordinators = set(network.coordinators)
    network.requests.clear()
    for number, name in enumerate(list(network.states)):
        network.start(name, number, incarnation="2")
    network.run(2)
    assert set(network.synced_at) == set(network.states)
    by_others = {
        type(request) for name, request in network.requests if name not in coordinators
    }
    assert by_others == {ReadRecord}


def test_record_is_read_at_once_after_a_rejected_write():
    """Guards against an instance that learns only after most of a second that another
    one has joined the coordinators before it.
    """
    scheduler = StoreReadScheduler(SeededRandom(1))
    scheduler.list_due(None, 100.0)
    scheduler.record_success(RECORD)
    scheduler.record_current(RECORD, 100.0)
    scheduler.evidence_at = 100.0
    assert ReadRecord() not in scheduler.list_due(None, 100.1)
    scheduler.force(RECORD)
    assert ReadRecord() in scheduler.list_due(None, 100.2)
    assert ReadRecord() not in scheduler.list_due(None, 100.3)


def test_new_configuration_reaches_all_instances(network):
    """Guards against instances that keep an old configuration."""
    network.configuration = make_configuration(version=2)
    network.run(2)
    assert set(network.versions.values()) == {2}


def test_new_configuration_is_in_force_in_time_when_the_first_coordinator_stops(
    network,
):
    """Guards against a configuration that is delayed by the loss of a coordinator."""
    network.configuration = make_configuration(version=2)
    network.stop(network.coordinators[0])
    network.run(2.7)
    assert {network.versions[name] for name in network.states} == {2}


def test_configuration_reaches_coordinators_that_cannot_read_the_store(network):
    """Guards against instances without store access that learn nothing from others."""
    network.store_cut = set(network.coordinators)
    network.run(1)
    (outside, *_) = [name for name in network.states if name not in network.store_cut]
    network.configuration = make_configuration(version=2)
    network.deliver(outside, ConfigurationRead(network.configuration, network.now))
    network.run(1)
    assert set(network.versions.values()) == {2}


def test_store_that_rejects_all_coordinators_delays_no_configuration(network):
    """Guards against instances that rely on coordinators without store access."""
    network.store_cut = set(network.coordinators)
    network.configuration = make_configuration(version=2)
    network.run(2.8)
    assert set(network.versions.values()) == {2}


def test_silent_coordinator_is_replaced(network):
    """Guards against a fleet that loses its coordinators one after the other."""
    gone = network.coordinators[0]
    network.stop(gone)
    network.run(4)
    assert gone not in network.coordinators
    assert len(network.coordinators) == 3


def test_partitioned_instance_does_not_replace_the_coordinators(network):
    """Guards against an instance that takes its own partition for others' failures."""
    (outside, *_) = [n for n in network.states if n not in network.coordinators]
    before = network.coordinators
    network.peer_cut = {outside}
    network.run(4.5)
    assert network.coordinators == before


def test_all_coordinators_lost_at_once(network):
    """Guards against a fleet that keeps waiting for coordinators that have ended."""
    for name in network.coordinators:
        network.stop(name)
    network.run(8)
    assert network.coordinators
    assert set(network.coordinators) <= set(network.states)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_confirmations_bridge_a_store_outage(network):
    """Guards against unusable primaries while the store is unavailable for seconds."""
    network.store_cut = set(network.states)
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS - 1.0)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_sole_instance_bridges_a_store_outage():
    """Guards against a sole coordinator that waits for confirmations of others and
    loses its lease.
    """
    network = Network("a")
    network.run(3)
    network.store_cut = {"a"}
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS - 1.0)
    assert network.find_age("a") < PRIMARY_LEASE_SECONDS


def test_instance_is_ready_once_it_hears_a_coordinator(network):
    """Guards against an instance that refuses its first operations for lack of tokens.

    The network asserts that ready instances have heard a coordinator.
    """
    assert set(network.synced_at) == set(network.states)


def test_partitioned_instance_becomes_ready_late(network):
    """Guards against a partitioned instance that never becomes ready."""
    network.peer_cut = {"z"}
    network.start("z", 9)
    network.run(1.0)
    assert "z" not in network.synced_at
    network.run(2.0)
    assert "z" in network.synced_at


def test_leases_end_in_a_long_store_outage(network):
    """Guards against leases that rest on a list of coordinators that is too old."""
    network.store_cut = set(network.states)
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS + PRIMARY_LEASE_SECONDS + 0.5)
    assert all(
        network.find_age(name) > PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_partitioned_instance_loses_its_lease(network):
    """Guards against the use of a replaced primary during a partition."""
    (outside, *_) = [n for n in network.states if n not in network.coordinators]
    network.peer_cut = {outside}
    network.store_cut = {outside}
    network.run(PRIMARY_LEASE_SECONDS + 1.0)
    assert network.find_age(outside) > PRIMARY_LEASE_SECONDS


def test_pending_write_ends_no_lease_before_it_is_known(network):
    """Guards against a store outage in which the failover of one primary ends the
    leases on all others.
    """
    writer = network.coordinators[0]
    network.store_cut = set(network.states)
    group = GroupRecord(group="g", primary="p")
    network.deliver(writer, GroupProposal(group, None))
    network.run(PRIMARY_LEASE_SECONDS + 0.6)
    assert all(
        network.find_age(name) < PRIMARY_LEASE_SECONDS for name in network.states
    )


def test_lost_answer_of_a_write_is_found_in_the_record(network):
    """Guards against a write that took effect without its author learning of it."""
    writer = network.coordinators[0]
    network.lost_answers = 1
    network.deliver(writer, GroupProposal(GroupRecord(group="g", primary="p"), None))
    network.run(2)
    assert network.confirmed[writer].record.find_group("g") is not None
    assert sum(item.record.find_group("g") is not None for item in network.writes) == 1


def test_restarted_coordinator_joins_again(network):
    """Guards against confirmations of a process that lost track of its writes."""
    name = network.coordinators[0]
    network.stop(name)
    network.start(name, 77, incarnation="2")
    network.run(3)
    (entry,) = [item for item in network.record.coordinators if item.name == name]
    assert entry.incarnation == "2"


def test_coordinators_that_restart_in_their_place_stay_established(network):
    """Guards against a fleet that cannot fail over primaries after a power failure."""
    network.run(10)
    assert all(item.is_established for item in network.record.coordinators)
    for number, name in enumerate(list(network.states)):
        network.stop(name)
        network.start(name, 50 + number, incarnation="2")
    network.run(3)
    assert {item.incarnation for item in network.record.coordinators} == {"2"}
    assert all(item.is_established for item in network.record.coordinators)


def find_new_coordinator(network):
    """Stop a coordinator and return the name of the one that replaced it."""
    network.run(10)
    network.stop(network.coordinators[0])
    network.run(3)
    known = [item for item in network.record.coordinators if not item.is_established]
    (new,) = known
    return new.name


def test_new_coordinator_is_established_soon_by_an_established_one(network):
    """Guards against a fleet without established coordinators during a rolling
    restart, and against a failover that instances with an older list do not notice.
    """
    name = find_new_coordinator(network)
    joined_at = network.joined_at[name]
    network.run(joined_at + PRIMARY_LEASE_SECONDS - network.now)
    assert not network.record.find_coordinator(name).is_established
    network.run(1.2)
    assert network.record.find_coordinator(name).is_established


def test_new_coordinator_without_confirmation_is_established_late(network, monkeypatch):
    """Guards against a failover that instances with an older list do not notice."""
    monkeypatch.setattr(
        CoordinatorMembership, "record_confirmation", lambda *arguments: None
    )
    name = find_new_coordinator(network)
    joined_at = network.joined_at[name]
    network.run(joined_at + ESTABLISHMENT_DELAY_SECONDS - 0.5 - network.now)
    assert not network.record.find_coordinator(name).is_established
    network.run(1.5)
    assert network.record.find_coordinator(name).is_established


@pytest.mark.parametrize(
    ("is_established", "revision", "expected"),
    [(True, 7, True), (True, 6, False), (False, 7, False)],
)
def test_only_confirmations_of_established_coordinators_count(
    is_established, revision, expected
):
    """Guards against a confirmation that leaves an older list valid: one by a
    coordinator that is not established or that does not know the newer list.
    """
    identity = Identity(
        name="a", data_centre="x", address=Address("h", 1), incarnation="1"
    )
    membership = CoordinatorMembership(identity, SeededRandom(0))
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
    membership.update_record(record, 7, 100.0)
    membership.record_confirmation(other, revision, 100.2)
    later = membership.apply(
        record, 100.2 + PRIMARY_LEASE_SECONDS + PRIMARY_LEASE_MARGIN_SECONDS + 0.1
    )
    assert later.find_coordinator("a").is_established is expected


def test_leaving_coordinator_finishes_its_failovers_first(network):
    """Guards against a group without a primary because the holder of its failover
    drains: the others have to wait until no call of it can be in flight.
    """
    name = network.coordinators[0]
    network.deliver(name, FailoversInProgress(1))
    network.deliver(name, DrainStarted(network.now))
    network.run(2)
    assert name in network.coordinators
    network.deliver(name, FailoversInProgress(0))
    network.run(0.5)
    assert name not in network.coordinators


def test_leaving_coordinator_leaves_before_it_is_killed(network):
    """Guards against a list that contains a process that has ended."""
    name = network.coordinators[0]
    network.deliver(name, FailoversInProgress(1))
    network.deliver(name, DrainStarted(network.now))
    network.run(4.5)
    assert name not in network.coordinators


def test_leases_survive_a_change_of_coordinators(network):
    """Guards against unusable primaries after each change of the record."""
    worst = 0.0
    network.stop(network.coordinators[0])
    for _ in range(60):
        network.run(0.1)
        worst = max(worst, *(network.find_age(name) for name in network.states))
    assert worst < PRIMARY_LEASE_SECONDS


def test_leaving_coordinator_is_replaced_at_once(network):
    """Guards against a planned stop that is noticed only by a timeout."""
    name = network.coordinators[0]
    network.deliver(name, DrainStarted(network.now + 3))
    network.run(2)
    assert name not in network.coordinators
    assert len(network.coordinators) == 3


def test_forwarded_positions_do_not_look_newer(network):
    """Guards against a position that claims to include later commits than it does."""
    names = [n for n in network.states if n not in network.coordinators]
    seen_at = network.now - 0.2
    seen = PositionSeen("g", LogPosition(3, 7), seen_at)
    network.deliver(names[0], seen)
    network.run(1.2)
    learned = network.positions[names[1]]
    assert learned.position == LogPosition(3, 7)
    assert seen_at - 0.1 < learned.seen_at <= seen_at


def test_older_configuration_is_never_adopted(network):
    """Guards against a configuration that reverts."""
    network.configuration = make_configuration(version=5)
    for name in network.states:
        network.deliver(name, ConfigurationRead(network.configuration, network.now))
    for name in network.states:
        read = ConfigurationRead(make_configuration(version=3), network.now)
        network.deliver(name, read)
    assert set(network.versions.values()) == {5}


def test_proposal_for_an_outdated_group_record_is_dropped(network):
    """Guards against a proposal that overwrites a concurrent change."""
    writer = network.coordinators[0]
    network.deliver(writer, GroupProposal(GroupRecord(group="g", primary="p"), None))
    network.run(1)
    network.deliver(writer, GroupProposal(GroupRecord(group="g", primary="q"), None))
    network.run(1)
    assert network.record.find_group("g").primary == "p"


def test_each_part_is_read_by_one_request_at_a_time():
    """Guards against requests that accumulate while the store does not answer."""
    state = Network("a").states["a"]
    emissions = state.tick(200.0)
    kinds = [type(item) for item in select(emissions, "store")]
    assert len(kinds) == len(set(kinds))


def test_question_of_a_known_instance_does_not_update_all_links(network, monkeypatch):
    """Guards against work at a coordinator that grows with the square of the fleet."""
    name = network.coordinators[0]
    calls = []
    update = FleetState._update_links
    monkeypatch.setattr(
        FleetState,
        "_update_links",
        lambda state: calls.append(state._identity.name) or update(state),
    )
    monkeypatch.setattr(
        IncomingQuestions, "count_active", lambda questions, now: calls.append("count")
    )
    envelope = network.states["f"]._make_question(name, network.now).message
    received = PeerEnvelope(peer="f", message=envelope.message)
    network.states[name].handle(received, network.now)
    assert calls == []


def list_questions(network, name, seconds):
    """Return the questions that one instance sends in a time, with their receivers."""
    network.sent.clear()
    network.run(seconds)
    return [
        (peer, message)
        for sender, peer, message in network.sent
        if sender == name and isinstance(message, FleetQuestion)
    ]


def find_own_coordinator(network, name):
    """Return the coordinator of an instance's data centre."""
    data_centre = network.states[name]._identity.data_centre
    (own,) = [
        item.name
        for item in network.record.coordinators
        if item.data_centre == data_centre
    ]
    return own


def test_positions_are_exchanged_with_one_coordinator(network):
    """Guards against traffic between data centres that repeats each position: they go
    to the coordinator of the own data centre only.
    """
    own = find_own_coordinator(network, "f")
    seen = PositionSeen("g", LogPosition(1, 5), network.now)
    network.deliver("f", seen)
    questions = list_questions(network, "f", 2)
    assert {peer for peer, _ in questions} == set(network.coordinators)
    for peer, question in questions:
        assert question.wants_positions == (peer == own)
    carriers = [peer for peer, question in questions if question.positions]
    assert carriers == [own]
    assert all(network.positions[name].position == seen.position for name in "abcde")


def test_positions_are_repeated_until_they_are_answered(network):
    """Guards against a position that is lost with one message."""
    network.peer_cut.add("f")
    network.deliver("f", PositionSeen("g", LogPosition(1, 5), network.now))
    network.run(1)
    assert "a" not in network.positions
    network.peer_cut.clear()
    network.run(1.5)
    assert set(network.positions) >= set("abcde")


def test_new_instance_learns_all_positions(network):
    """Guards against an instance that knows only what changes after its start."""
    network.deliver("f", PositionSeen("g", LogPosition(1, 5), network.now))
    network.run(2)
    network.start("z", 30)
    network.run(2)
    assert network.positions["z"].position == LogPosition(1, 5)


def test_positions_go_to_all_coordinators_while_the_own_one_is_silent(network):
    """Guards against positions that are not sent until a coordinator is replaced."""
    network.stop(find_own_coordinator(network, "f"))
    network.deliver("f", PositionSeen("g", LogPosition(1, 5), network.now))
    network.run(0.5)
    network.deliver("f", PositionSeen("g", LogPosition(1, 6), network.now))
    questions = list_questions(network, "f", 0.5)
    assert {peer for peer, _ in questions} == set(network.coordinators)
    assert all(question.wants_positions for _, question in questions)
    assert all(question.positions for _, question in questions)


def test_instance_introduces_itself_until_it_is_answered(network):
    """Guards against a restarted coordinator that cannot answer what it is asked."""
    settled = list_questions(network, "f", 1)
    assert settled
    assert all(question.introduction is None for _, question in settled)
    restarted = network.coordinators[0]
    network.start(restarted, seed=9, incarnation="2")
    asked = [
        question
        for peer, question in list_questions(network, "f", 2)
        if peer == restarted
    ]
    assert asked[-1].introduction is None
    assert any(question.introduction is not None for question in asked)


def test_contacts_with_replicas_are_not_sent(network):
    """Guards against traffic for databases that are not monitored."""
    network.deliver(
        network.coordinators[0],
        GroupProposal(GroupRecord(group="g", primary="p"), None),
    )
    network.run(2)
    for database in ("p", "q"):
        network.deliver("f", DatabaseContact(database, True, network.now))
    questions = list_questions(network, "f", 0.5)
    contacts = [
        item.database for _, question in questions for item in question.contacts
    ]
    assert set(contacts) == {"p"}


def test_partitioned_instance_reports_isolation_until_the_partition_ends(network):
    """Guards against sessions that stay at an instance that can use no primary."""
    network.peer_cut.add("f")
    network.store_cut.add("f")
    network.run(PRIMARY_LEASE_SECONDS + 0.5)
    assert network.isolation == {"f": True}
    network.peer_cut.clear()
    network.store_cut.clear()
    network.run(1.5)
    assert network.isolation == {"f": False}


def test_no_instance_is_isolated_in_a_long_store_outage(network):
    """Guards against a fleet in which every instance sends its sessions away."""
    network.store_cut |= set("abcdef")
    network.run(MAX_COORDINATOR_LIST_AGE_SECONDS + 5)
    assert network.isolation == {}


@pytest.fixture
def scarce_network():
    """Nine instances, before databases that accept two connections each."""
    started = Network("abcdefghi")
    started.configuration = replace(started.configuration, max_connections=(("g", 2),))
    started.run(6)
    return started


def list_gateways(network, name):
    """Return the gateways in the table that an instance uses."""
    return {item.instance for item in network.gateways[name].gateways}


def test_all_instances_use_the_same_gateways(scarce_network):
    """Guards against instances that use different gateways for one database, which
    shares its connections less.
    """
    tables = {scarce_network.gateways[name] for name in scarce_network.states}
    assert len(tables) == 1
    (table,) = tables
    assert sorted(name for item in table.gateways for name in item.databases) == [
        "p",
        "r1",
        "r2",
    ]
    assert not list_gateways(scarce_network, "a") & set(scarce_network.coordinators)


def test_table_of_gateways_is_sent_only_when_it_changes(scarce_network):
    """Guards against a table of a thousand bytes in each answer."""
    scarce_network.sent.clear()
    scarce_network.run(3)
    answers = [
        message
        for *_, message in scarce_network.sent
        if isinstance(message, FleetAnswer)
    ]
    assert answers
    assert all(answer.gateways is None for answer in answers)


def test_draining_gateway_is_replaced_before_it_stops(scarce_network):
    """Guards against statements that are in doubt because their gateway stops. It
    drains for 2.2 s at least.
    """
    name = min(list_gateways(scarce_network, "a"))
    scarce_network.deliver(name, DrainStarted(scarce_network.now + 3))
    scarce_network.run(1.6)
    for other in scarce_network.states:
        assert name not in list_gateways(scarce_network, other)


def test_lost_gateway_is_replaced(scarce_network):
    """Guards against statements that wait for an instance that is gone."""
    name = min(list_gateways(scarce_network, "a"))
    scarce_network.stop(name)
    scarce_network.run(3.2)
    for other in scarce_network.states:
        assert name not in list_gateways(scarce_network, other)


def test_small_fleet_uses_no_gateways(network):
    """Guards against a hop for each statement where instances keep connections."""
    assert network.gateways == {}
