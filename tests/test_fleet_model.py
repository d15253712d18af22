"""Random interleavings of faults over the real decisions, against naive promises.

A small world: instances with :class:`FleetState` and :class:`PrimaryFailover`, a store
with conditional writes whose answers may be lost or whose writes may be late, one group
of three databases. A client at every instance uses the primary whenever the instance
has the right to. The world checks:

* no two databases are used as primary at once, once the second may take writes (STALE,
  and a write acknowledged by a replaced primary);
* fences of promotion orders never fall, and no fence has two holders (ONE).

Each guard taken out has to be found again, see the last test.
"""

import random
from dataclasses import dataclass, field

import pytest

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.control import PeerEnvelope
from sardinemill.fleet import coordinator_membership, failover, primary_lease
from sardinemill.fleet.failover import PrimaryFailover
from sardinemill.fleet.failover_messages import (
    DatabaseStatus,
    ProbeDatabase,
    PromoteDatabase,
    PromotionResult,
    QueryDatabaseStatus,
)
from sardinemill.fleet.primary_lease import PRIMARY_LEASE_SECONDS
from sardinemill.fleet.records import FleetRecord, GroupPhase
from sardinemill.fleet.state import FleetState
from sardinemill.fleet.store_messages import (
    ReadRecord,
    RecordRead,
    RecordWritten,
    StoreFault,
    StoreRequestFailed,
    WriteRecord,
)
from sardinemill.fleet.views import (
    CoordinatorRoleChanged,
    DatabaseContact,
    FailoversInProgress,
    GroupProposal,
    Identity,
    RecordConfirmed,
)
from sardinemill.groups import Address
from sardinemill.positions import LogPosition
from sardinemill.sessions.messages import DrainStarted
from session_builders import make_directory

STEP_SECONDS = 0.1
PROMOTE_SECONDS = 0.3
N_STEPS = 600
N_SEEDS = 30
# Weight of each fault in a step.
FAULTS = {
    "none": 400,
    "store": 4,
    "peers": 4,
    "freeze": 10,
    "restart": 3,
    "crash": 4,
    "all": 3,
    "zone": 8,
    "island": 6,
    "leave": 6,
}


class BrokenPromise(AssertionError):
    """A promise was broken."""


@dataclass
class Node:
    """One instance of the world."""

    state: FleetState
    promotion: PrimaryFailover
    frozen_until: float = 0.0
    stops_at: float | None = None
    confirmed_at: float = float("-inf")
    record: FleetRecord = field(default_factory=FleetRecord)

    def find_primary(self, now):
        """Primary that the instance would use now."""
        group = self.record.find_group("g")
        if group is None or group.phase is not GroupPhase.STEADY:
            return None
        return (
            group.primary if now - self.confirmed_at <= PRIMARY_LEASE_SECONDS else None
        )


class World:
    """Instances, store and databases under random faults."""

    def __init__(self, seed, n_instances=4):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.record, self.revision = FleetRecord(), 0
        self.store_cut, self.peer_cut, self.primary_cut = {}, {}, {}
        self.late_writes = []
        self.nodes = {}
        self.incarnations = 0
        self.n_instances = n_instances
        self.leader, self.term = "p", 1
        self.coming = None
        self.fences = []
        self.crashed = {}
        for number in range(n_instances):
            self.start(f"n{number}")

    def start(self, name):
        """Start an instance, or start it again without memory."""
        self.incarnations += 1
        identity = Identity(
            name=name,
            data_centre=name,
            address=Address("10.0.0.1", 7000 + int(name[1:])),
            incarnation=str(self.incarnations),
        )
        node = Node(
            FleetState(identity, SeededRandom(self.incarnations)), PrimaryFailover(name)
        )
        node.promotion.handle(make_directory(), self.now)
        self.nodes[name] = node

    def run(self, n_steps=N_STEPS):
        """Let time pass with faults."""
        for _ in range(n_steps):
            self.now += STEP_SECONDS
            self.inject()
            self.apply_late_writes()
            self.finish_promotion()
            for name in list(self.nodes):
                node = self.nodes[name]
                if node.frozen_until > self.now:
                    continue
                if node.stops_at is not None and self.now >= node.stops_at:
                    self.start(name)
                    continue
                self.take(name, node.state.tick(self.now))
                self.take(name, node.promotion.tick(self.now))
                self.use_primary(name, node)

    def inject(self):
        """Start a random fault now and then."""
        until = self.now + self.random.uniform(0.5, 9.0)
        name = f"n{self.random.randrange(self.n_instances)}"
        kind = self.random.choices(list(FAULTS), list(FAULTS.values()))[0]
        if kind == "store":
            self.store_cut[name] = until
        elif kind == "peers":
            self.peer_cut[name] = until
        elif kind == "zone":
            # One instance is left alone with the primary.
            self.peer_cut[name] = until
            if self.random.random() < 0.7:
                self.store_cut[name] = until
            for other in self.nodes:
                if other != name:
                    self.primary_cut[other] = until
        elif kind == "freeze":
            group = self.record.find_group("g")
            if group is not None and group.phase is GroupPhase.CHANGING:
                # The worst moment for the holder of a change.
                name = self.record.holder
            self.nodes[name].frozen_until = until + self.random.choice([0.0, 12.0])
        elif kind == "restart":
            self.start(name)
        elif kind == "leave":
            self.leave(name)
        elif kind == "island":
            # All but one lose the store, and that one loses all others.
            self.peer_cut[name] = self.primary_cut[name] = until + 8.0
            for other in self.nodes:
                if other != name:
                    self.store_cut[other] = until + 8.0
        elif kind == "crash":
            self.crashed[self.leader] = until
        elif kind == "all":
            for other in self.nodes:
                self.store_cut[other] = until

    def leave(self, name):
        """Stop an instance gracefully; another one starts at its address later."""
        node = self.nodes[name]
        if node.stops_at is None:
            node.stops_at = self.now + 5.0
            self.take(name, node.promotion.handle(DrainStarted(self.now), self.now))
            self.take(name, node.state.handle(DrainStarted(self.now), self.now))

    def is_cut(self, table, name):
        """Whether a cut is in force."""
        return table.get(name, 0.0) > self.now

    def take(self, name, emissions):
        """Carry out what a decision asks for."""
        node = self.nodes[name]
        for item in emissions:
            message = item.message
            if item.outlet == "store":
                self.call(name, message)
            elif item.outlet == "peers":
                self.send(name, message)
            elif isinstance(message, RecordConfirmed):
                node.record = message.record
                node.confirmed_at = max(node.confirmed_at, message.confirmed_at)
                node.promotion.handle(message, self.now)
            elif isinstance(message, CoordinatorRoleChanged | DatabaseContact):
                node.promotion.handle(message, self.now)
            elif isinstance(message, GroupProposal | FailoversInProgress):
                self.take(name, node.state.handle(message, self.now))
            elif isinstance(message, PromoteDatabase):
                self.order(name, message)
            elif isinstance(message, QueryDatabaseStatus | ProbeDatabase):
                self.ask_database(name, message)

    def send(self, name, envelope):
        """Carry a message unless one end is cut off or frozen."""
        other = self.nodes.get(envelope.peer)
        if other is None or other.frozen_until > self.now:
            return
        cut = self.is_cut(self.peer_cut, name) or self.is_cut(
            self.peer_cut, envelope.peer
        )
        if not cut:
            received = PeerEnvelope(peer=name, message=envelope.message)
            self.take(envelope.peer, other.state.handle(received, self.now))

    def call(self, name, request):
        """Answer a call of the store."""
        handle = self.nodes[name].state.handle
        failed = StoreRequestFailed(request, StoreFault.NO_ANSWER, "cut")
        if self.is_cut(self.store_cut, name):
            if isinstance(request, WriteRecord) and self.random.random() < 0.3:
                self.late_writes.append((self.now + 3.0, request))
            self.take(name, handle(failed, self.now))
        elif isinstance(request, ReadRecord):
            read = RecordRead(self.record, self.revision, self.now)
            self.take(name, handle(read, self.now))
        elif isinstance(request, WriteRecord):
            if request.revision != self.revision:
                failed = StoreRequestFailed(request, StoreFault.CONFLICT, "revision")
                self.take(name, handle(failed, self.now))
                return
            self.record, self.revision = request.record, self.revision + 1
            if self.random.random() < 0.15:
                self.take(name, handle(failed, self.now))
                return
            written = RecordWritten(self.record, self.revision, self.now)
            self.take(name, handle(written, self.now))

    def apply_late_writes(self):
        """Writes without an answer take effect if their condition still holds."""
        due = [item for item in self.late_writes if item[0] <= self.now]
        self.late_writes = [item for item in self.late_writes if item[0] > self.now]
        for _, request in due:
            if request.revision == self.revision:
                self.record, self.revision = request.record, self.revision + 1

    def ask_database(self, name, question):
        """A database answers unless it is down or cut off."""
        database = question.database.name
        down = self.is_cut(self.crashed, database) or (
            database == self.leader and self.is_cut(self.primary_cut, name)
        )
        handle = self.nodes[name].promotion.handle
        if down:
            if isinstance(question, ProbeDatabase):
                contact = DatabaseContact(database, False, self.now)
                self.take(name, handle(contact, self.now))
            return
        self.take(name, handle(DatabaseContact(database, True, self.now), self.now))
        if isinstance(question, QueryDatabaseStatus):
            is_leader = database == self.leader
            term = self.term if is_leader else max(1, self.term - 1)
            status = DatabaseStatus(
                database, True, is_leader, term, LogPosition(term, 5)
            )
            self.take(name, handle(status, self.now))

    def order(self, name, order):
        """The platform takes an order; it takes effect a moment later."""
        if order.deadline <= self.now:
            return
        if self.fences and order.fence < self.fences[-1][0]:
            raise BrokenPromise("a lower fence than before")
        if any(f == order.fence and h != order.holder for f, h in self.fences):
            raise BrokenPromise("two holders with one fence")
        self.fences.append((order.fence, order.holder))
        handle = self.nodes[name].promotion.handle
        if self.is_cut(self.crashed, order.database):
            self.take(name, handle(PromotionResult(order, False), self.now))
            return
        if order.database != self.leader:
            self.coming = (self.now + PROMOTE_SECONDS, order.database)
        self.take(name, handle(PromotionResult(order, True), self.now))

    def finish_promotion(self):
        """Let an ordered promotion take effect."""
        if self.coming is not None and self.now >= self.coming[0]:
            self.leader, self.coming = self.coming[1], None
            self.term += 1

    def use_primary(self, name, node):
        """A client's write at the primary that its instance would use."""
        primary = node.find_primary(self.now)
        if primary is None:
            return
        cut = primary == self.leader and self.is_cut(self.primary_cut, name)
        if cut or self.is_cut(self.crashed, primary):
            contact = DatabaseContact(primary, False, self.now)
        else:
            if primary != self.leader:
                raise BrokenPromise(f"{name} uses {primary}, {self.leader} leads")
            contact = DatabaseContact(primary, True, self.now)
        self.take(name, node.state.handle(contact, self.now))


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_replaced_primaries_are_not_used(seed):
    """Guards against use of a replaced primary under any mix of cuts, freezes,
    restarts, crashes, lost answers and late writes.
    """
    World(seed).run()


def test_the_worlds_do_change_primaries():
    """Guards against a model in which nothing happens."""
    worlds = [World(seed) for seed in range(N_SEEDS)]
    for world in worlds:
        world.run()
    assert sum(world.term - 1 for world in worlds) >= N_SEEDS


def find_break(n_seeds=200):
    """Whether some seed breaks a promise."""
    for seed in range(n_seeds):
        try:
            World(seed).run()
        except BrokenPromise:
            return True
    return False


def note_any_word(joining, coordinator, revision, now):
    """Count on the word of a coordinator that itself is not established."""
    joining._known_at = now if joining._known_at is None else joining._known_at


@pytest.mark.parametrize("guard", ["wait", "deadline", "words", "awareness"])
def test_model_finds_a_guard_that_is_taken_out(guard, monkeypatch):
    """Guards against a model that is blind to what it is there for."""
    if guard == "wait":
        monkeypatch.setattr(failover, "PRIMARY_LEASE_SECONDS", -0.3)
    elif guard == "deadline":
        monkeypatch.setattr(failover, "HOLDER_TIMEOUT_SECONDS", 1000.0)
    elif guard == "awareness":
        monkeypatch.setattr(primary_lease, "MAX_COORDINATOR_LIST_AGE_SECONDS", 1000.0)
        monkeypatch.setattr(
            coordinator_membership.CoordinatorMembership, "note_word", note_any_word
        )
    else:
        monkeypatch.setattr(primary_lease, "MAX_COORDINATOR_LIST_AGE_SECONDS", 1000.0)
        monkeypatch.setattr(coordinator_membership, "ESTABLISHMENT_DELAY_SECONDS", 0.0)
    assert find_break()
