"""Random interleavings of faults over the real filters, checked against invariants.

The simulation has instances with :class:`FleetState` and :class:`PrimaryFailover`, a
store with conditional writes whose answers may be lost or whose writes may be late, and
one group of three databases. A client at every instance uses the primary whenever the
instance holds a lease on it. The invariants:

* no instance uses another database as primary than the one that leads, so that no write
  is acknowledged by a replaced primary;
* fencing tokens of promotion requests never decrease, and none has two holders;
* no database that has not followed the recorded primary is promoted while one that has
  answers, and the database that leads is not demoted;
* no database of an evacuated data centre is promoted while one elsewhere answers that
  has received as much;
* no instance calls the store without a pause;
* some time after the last fault, every instance uses the primary that leads.

With drills, the store may come back from a copy that is some seconds old and give its
revisions out again. The same invariants hold then.

A replaced primary reports its role, with its old term and more entries than the others,
until it is demoted or has reached the new one for a second.

The last test removes each safeguard and expects a violation.
"""

import random
from dataclasses import dataclass, field, replace

import pytest

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.control import PeerEnvelope
from sardinemill.fleet import (
    coordinator_membership,
    demotions,
    failover,
    primary_lease,
    record_merge,
)
from sardinemill.fleet.failover import PrimaryFailover
from sardinemill.fleet.failover_messages import (
    DatabaseStatus,
    DemoteDatabase,
    ProbeDatabase,
    PromoteDatabase,
    PromotionResult,
    QueryDatabaseStatus,
)
from sardinemill.fleet.primary_lease import PRIMARY_LEASE_SECONDS
from sardinemill.fleet.records import Directory, FleetRecord, GroupPhase
from sardinemill.fleet.state import FleetState
from sardinemill.fleet.store_era import StoreEra
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
    DirectoryChanged,
    FailoversInProgress,
    GroupProposal,
    Identity,
    RecordConfirmed,
)
from sardinemill.groups import Address
from sardinemill.positions import LogPosition
from sardinemill.sessions.messages import DrainStarted
from session_builders import DATABASES

STEP_SECONDS = 0.1
PROMOTE_SECONDS = 0.3
# A replaced primary that reaches the new one steps down after this time.
STEP_DOWN_SECONDS = 1.0
# A database that was reachable for this time has answered a holder that asks for
# positions.
ANSWER_SECONDS = 0.6
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
    "evacuate": 5,
}
# Probability in a step that the successor of a superseded primary crashes.
SUCCESSOR_CRASH_PROBABILITY = 0.03
# The store comes back from a copy of at most this age.
MAX_COPY_AGE_SECONDS = 8.0
DRILL_WEIGHT = 5
MAX_CALLS_PER_STEP = 20
# Probability that all instances restart in a drill, and know only the copy.
FORGETFUL_DRILL_PROBABILITY = 0.2
# With drills, some answers of the store arrive late and are overtaken by others.
LATE_ANSWER_PROBABILITY = 0.05
MAX_ANSWER_SECONDS = 1.4
# Time without faults after which all instances have to use the primary. The longest
# fault lasts 21 s from its start.
SETTLE_SECONDS = 50.0


class InvariantViolation(AssertionError):
    """An invariant was violated."""


@dataclass
class Node:
    """One instance of the simulation."""

    state: FleetState
    failover: PrimaryFailover
    frozen_until: float = 0.0
    stops_at: float | None = None
    confirmed_at: float = float("-inf")
    record: FleetRecord = field(default_factory=FleetRecord)

    def find_primary(self, now):
        """Return the primary that the instance would use now."""
        group = self.record.find_group("g")
        if group is None or group.phase is not GroupPhase.STEADY:
            return None
        return (
            group.primary if now - self.confirmed_at <= PRIMARY_LEASE_SECONDS else None
        )


class World:
    """Simulated instances, store and databases under random faults.

    :param has_drills: the store may come back from an older copy.
    """

    def __init__(self, seed, n_instances=4, has_drills=False):
        self.random = random.Random(seed)
        self.faults = {**FAULTS, "drill": DRILL_WEIGHT} if has_drills else FAULTS
        self.now = 1000.0
        self.record, self.revision = FleetRecord(), 0
        # Time, record and revision of all that can be a copy.
        self.copies = [(self.now, self.record, self.revision)]
        self.era = 1
        # Of the highest term that was ever recorded.
        self.recorded_group = None
        self.n_calls = dict.fromkeys((f"n{i}" for i in range(n_instances)), 0)
        self.store_cut, self.peer_cut, self.primary_cut = {}, {}, {}
        self.late_writes = []
        self.has_drills = has_drills
        self.late_answers = []
        self.nodes = {}
        self.n_incarnations = 0
        self.n_instances = n_instances
        self.leader, self.term = "p", 1
        self.pending_promotion = None
        self.fences = []
        self.crashed = {}
        self.terms = {item.name: 1 for item in DATABASES}
        self.positions = {item.name: LogPosition(1, 5) for item in DATABASES}
        # Databases that report to be primary, and from whom replaced ones are cut off.
        self.claims = {"p"}
        self.database_cut = {}
        self.reached_since = {}
        self.n_superseded = 0
        self.evacuated_until = {}
        self.n_evacuated_primaries = 0
        for number in range(n_instances):
            self.start(f"n{number}")

    def start(self, name):
        """Start an instance, or restart it without its state."""
        self.n_incarnations += 1
        identity = Identity(
            name=name,
            data_centre=name,
            address=Address("10.0.0.1", 7000 + int(name[1:])),
            incarnation=str(self.n_incarnations),
        )
        node = Node(
            FleetState(identity, SeededRandom(self.n_incarnations)),
            PrimaryFailover(name),
        )
        self.nodes[name] = node
        node.failover.handle(self.make_directory(), self.now)

    def run(self, n_steps=N_STEPS, has_faults=True):
        """Advance the time step by step, with faults."""
        for _ in range(n_steps):
            self.now += STEP_SECONDS
            self.n_calls = dict.fromkeys(self.n_calls, 0)
            self.copies = [
                item
                for item in self.copies
                if item[0] > self.now - MAX_COPY_AGE_SECONDS
            ]
            self.copies.append((self.now, self.record, self.revision))
            if has_faults:
                self.inject()
            self.end_evacuations()
            self.apply_late_writes()
            self.deliver_late_answers()
            self.finish_promotion()
            self.follow_leader()
            for name in list(self.nodes):
                node = self.nodes[name]
                if node.frozen_until > self.now:
                    continue
                if node.stops_at is not None and self.now >= node.stops_at:
                    self.start(name)
                    continue
                self.process(name, node.state.tick(self.now))
                self.process(name, node.failover.tick(self.now))
                self.use_primary(name, node)

    def settle(self):
        """Let all faults end and check that every instance uses the primary."""
        self.run(round(SETTLE_SECONDS / STEP_SECONDS), has_faults=False)
        for name, node in self.nodes.items():
            if node.find_primary(self.now) != self.leader:
                raise InvariantViolation(f"{name} does not use {self.leader}")

    def replace_record(self, record):
        """Replace the record in the store."""
        self.record, self.revision = record, self.revision + 1
        group = record.find_group("g")
        known = self.recorded_group
        if group is not None and (known is None or group.term >= known.term):
            self.recorded_group = group

    def inject(self):
        """Inject a random fault in some of the steps."""
        until = self.now + self.random.uniform(0.5, 9.0)
        name = f"n{self.random.randrange(self.n_instances)}"
        kind = self.random.choices(list(self.faults), list(self.faults.values()))[0]
        superseded = self.claims - {self.leader}
        if superseded and self.random.random() < SUCCESSOR_CRASH_PROBABILITY:
            kind = "successor"
        if kind == "store":
            self.store_cut[name] = until
        elif kind == "peers":
            self.peer_cut[name] = until
        elif kind == "zone":
            # One instance and the primary are partitioned from the other instances.
            self.peer_cut[name] = until
            if self.random.random() < 0.7:
                self.store_cut[name] = until
            for other in self.nodes:
                if other != name:
                    self.primary_cut[other] = until
        elif kind == "freeze":
            group = self.record.find_group("g")
            if group is not None and group.phase is GroupPhase.CHANGING:
                # The most critical time to freeze the holder is during its failover.
                name = self.record.holder or name
            self.nodes[name].frozen_until = until + self.random.choice([0.0, 12.0])
        elif kind == "restart":
            self.start(name)
        elif kind == "leave":
            self.leave(name)
        elif kind == "evacuate":
            data_centre = self.random.choice([item.data_centre for item in DATABASES])
            self.evacuated_until[data_centre] = until
            self.n_evacuated_primaries += data_centre == self.find_data_centre(
                self.leader
            )
            self.announce_directory()
        elif kind == "island":
            # All instances but one lose the store, and that one loses all others.
            self.peer_cut[name] = self.primary_cut[name] = until + 8.0
            for other in self.nodes:
                if other != name:
                    self.store_cut[other] = until + 8.0
        elif kind == "crash":
            self.crashed[self.leader] = until
        elif kind == "successor":
            # The most critical time for a superseded primary to be reachable again is
            # during the failover of its crashed successor.
            self.crashed[self.leader] = until + 5.0
            heals_at = self.now + self.random.uniform(0.5, 4.0)
            for database in superseded:
                cut = self.database_cut.get(database, {})
                self.database_cut[database] = dict.fromkeys(cut, heals_at)
        elif kind == "all":
            for other in self.nodes:
                self.store_cut[other] = until
        elif kind == "drill":
            self.roll_store_back()

    def roll_store_back(self):
        """Let the store be away for a moment and return from a copy."""
        _, self.record, self.revision = self.random.choice(self.copies)
        # Copies of the time between are not part of its history any more.
        self.copies = [(self.now, self.record, self.revision)]
        self.era += 1
        until = self.now + self.random.uniform(0.0, 2.0)
        is_forgetful = self.random.random() < FORGETFUL_DRILL_PROBABILITY
        for name in self.nodes:
            if is_forgetful:
                self.start(name)
            self.store_cut[name] = max(until, self.store_cut.get(name, 0.0))

    def end_evacuations(self):
        """Take back the evacuations whose time has passed."""
        ended = [
            name for name, until in self.evacuated_until.items() if until <= self.now
        ]
        for name in ended:
            del self.evacuated_until[name]
        if ended:
            self.announce_directory()

    def find_data_centre(self, database):
        """Return the data centre of a database."""
        return next(item.data_centre for item in DATABASES if item.name == database)

    def announce_directory(self):
        """Tell all instances of the databases and evacuations."""
        for name, node in self.nodes.items():
            self.process(name, node.failover.handle(self.make_directory(), self.now))

    def leave(self, name):
        """Stop an instance gracefully; another one starts at its address later."""
        node = self.nodes[name]
        if node.stops_at is None:
            node.stops_at = self.now + 5.0
            self.process(name, node.failover.handle(DrainStarted(self.now), self.now))
            self.process(name, node.state.handle(DrainStarted(self.now), self.now))

    def is_active(self, faults, name):
        """Return whether a fault is active."""
        return faults.get(name, 0.0) > self.now

    def process(self, name, emissions):
        """Process what a filter emits."""
        node = self.nodes[name]
        for item in emissions:
            message = item.message
            if item.outlet == "store":
                self.call_store(name, message)
            elif item.outlet == "peers":
                self.send(name, message)
            elif isinstance(message, RecordConfirmed):
                node.record = message.record
                node.confirmed_at = max(node.confirmed_at, message.confirmed_at)
                node.failover.handle(message, self.now)
            elif isinstance(message, CoordinatorRoleChanged | DatabaseContact):
                node.failover.handle(message, self.now)
            elif isinstance(message, GroupProposal | FailoversInProgress):
                self.process(name, node.state.handle(message, self.now))
            elif isinstance(message, PromoteDatabase):
                self.request_promotion(name, message)
            elif isinstance(message, QueryDatabaseStatus | ProbeDatabase):
                self.query_database(name, message)
            elif isinstance(message, DemoteDatabase):
                self.demote(name, message)

    def send(self, name, envelope):
        """Deliver a message unless one end is partitioned or frozen."""
        other = self.nodes.get(envelope.peer)
        if other is None or other.frozen_until > self.now:
            return
        cut = self.is_active(self.peer_cut, name) or self.is_active(
            self.peer_cut, envelope.peer
        )
        if not cut:
            received = PeerEnvelope(peer=name, message=envelope.message)
            self.process(envelope.peer, other.state.handle(received, self.now))

    def call_store(self, name, request):
        """Answer a request to the store."""
        handle = self.nodes[name].state.handle
        self.n_calls[name] += 1
        if self.n_calls[name] > MAX_CALLS_PER_STEP:
            raise InvariantViolation(f"{name} floods the store")
        failed = StoreRequestFailed(request, StoreFault.NO_ANSWER, "cut")
        if self.is_active(self.store_cut, name):
            if isinstance(request, WriteRecord) and self.random.random() < 0.3:
                self.late_writes.append((self.now + 3.0, request))
            self.process(name, handle(failed, self.now))
        elif isinstance(request, ReadRecord):
            read = RecordRead(self.record, self.revision, self.now, era=self.era)
            self.answer(name, read)
        elif isinstance(request, WriteRecord):
            if request.revision != self.revision:
                failed = StoreRequestFailed(
                    request, StoreFault.CONFLICT, "revision", self.now, self.era
                )
                self.answer(name, failed)
                return
            self.replace_record(request.record)
            if self.random.random() < 0.15:
                self.process(name, handle(failed, self.now))
                return
            written = RecordWritten(self.record, self.revision, self.now, self.era)
            self.answer(name, written)

    def answer(self, name, outcome):
        """Deliver an outcome of a store request, some of them late."""
        node = self.nodes[name]
        if self.has_drills and self.random.random() < LATE_ANSWER_PROBABILITY:
            due_at = self.now + self.random.uniform(0.1, MAX_ANSWER_SECONDS)
            self.late_answers.append((due_at, name, node, outcome))
        else:
            self.process(name, node.state.handle(outcome, self.now))

    def deliver_late_answers(self):
        """Deliver late answers to the processes that asked, if they still run."""
        answers, self.late_answers = self.late_answers, []
        for due_at, name, node, outcome in answers:
            if max(due_at, node.frozen_until) > self.now:
                self.late_answers.append((due_at, name, node, outcome))
            elif self.nodes[name] is node:
                self.process(name, node.state.handle(outcome, self.now))

    def apply_late_writes(self):
        """Apply late writes whose condition still holds."""
        due = [item for item in self.late_writes if item[0] <= self.now]
        self.late_writes = [item for item in self.late_writes if item[0] > self.now]
        for _, request in due:
            if request.revision == self.revision:
                self.replace_record(request.record)

    def query_database(self, name, question):
        """Answer for a database unless it is down or partitioned."""
        database = question.database.name
        down = not self.is_reachable(name, database)
        handle = self.nodes[name].failover.handle
        if down:
            if isinstance(question, ProbeDatabase):
                contact = DatabaseContact(database, False, self.now)
                self.process(name, handle(contact, self.now))
            return
        self.process(name, handle(DatabaseContact(database, True, self.now), self.now))
        if isinstance(question, QueryDatabaseStatus):
            is_primary = database in self.claims
            term = self.terms[database]
            status = DatabaseStatus(
                database, True, is_primary, term, self.positions[database]
            )
            self.process(name, handle(status, self.now))

    def is_reachable(self, name, database, seconds=0.0):
        """Return whether an instance has reached a database for some time."""
        cut = (
            self.primary_cut
            if database == self.leader
            else self.database_cut.get(database, {})
        )
        ended_at = max(self.crashed.get(database, 0.0), cut.get(name, 0.0))
        return ended_at <= self.now - seconds

    def demote(self, name, command):
        """Let a database step down if its term is lower."""
        database = command.database.name
        if not self.is_reachable(name, database):
            return
        if command.term > self.terms[database]:
            if database == self.leader:
                raise InvariantViolation(f"{database} leads and is demoted")
            self.set_claim(database, False)

    def set_claim(self, database, is_primary):
        """Change the role that a database reports, also in the directory."""
        if is_primary == (database in self.claims):
            return
        self.claims ^= {database}
        self.announce_directory()

    def make_directory(self):
        """Return the list of databases with the roles that they report."""
        databases = tuple(
            replace(item, is_primary=item.name in self.claims) for item in DATABASES
        )
        evacuated = tuple(sorted(self.evacuated_until))
        return DirectoryChanged(
            Directory(databases=databases, evacuated_data_centres=evacuated)
        )

    def follow_leader(self):
        """Let databases that reach the leader follow it."""
        for database in self.terms:
            until = max(self.database_cut.get(database, {}).values(), default=0.0)
            reaches = (
                until <= self.now
                and not self.is_active(self.crashed, database)
                and not self.is_active(self.crashed, self.leader)
            )
            if database == self.leader or not reaches:
                self.reached_since.pop(database, None)
                continue
            since = self.reached_since.setdefault(database, self.now)
            if database in self.claims and self.now - since < STEP_DOWN_SECONDS:
                continue
            self.set_claim(database, False)
            self.terms[database] = self.term
            self.positions[database] = LogPosition(self.term, 5)

    def request_promotion(self, name, command):
        """Accept a promotion request, which takes effect after a delay."""
        if command.deadline <= self.now:
            return
        if self.fences and command.fence < self.fences[-1][0]:
            raise InvariantViolation("a lower fencing token than before")
        if any(f == command.fence and h != command.holder for f, h in self.fences):
            raise InvariantViolation("two holders with one fencing token")
        self.fences.append((command.fence, command.holder))
        self.check_choice(name, command.database)
        self.check_evacuations(name, command.database)
        handle = self.nodes[name].failover.handle
        if self.is_active(self.crashed, command.database):
            self.process(name, handle(PromotionResult(command, False), self.now))
            return
        if command.database != self.leader:
            self.pending_promotion = (self.now + PROMOTE_SECONDS, command.database)
        self.process(name, handle(PromotionResult(command, True), self.now))

    def check_choice(self, name, chosen):
        """Raise if a database that followed the recorded primary was passed over."""
        group = self.recorded_group
        if self.terms[chosen] >= group.term:
            return
        for database, term in self.terms.items():
            if (
                database != group.primary
                and term >= group.term
                and self.is_reachable(name, database, ANSWER_SECONDS)
            ):
                raise InvariantViolation(f"{chosen} is promoted over {database}")

    def check_evacuations(self, name, chosen):
        """Raise if an evacuated database is promoted without a reason."""
        if self.find_data_centre(chosen) not in self.evacuated_until:
            return
        group = self.recorded_group
        if chosen == self.leader != group.primary:
            # The record does not name it (yet); naming it again promotes nobody.
            return
        for database, term in self.terms.items():
            if (
                database != group.primary
                and self.find_data_centre(database) not in self.evacuated_until
                and (term, self.positions[database])
                >= (self.terms[chosen], self.positions[chosen])
                and self.is_reachable(name, database, ANSWER_SECONDS)
            ):
                raise InvariantViolation(f"{chosen} is evacuated, {database} is not")

    def finish_promotion(self):
        """Let a requested promotion take effect."""
        if self.pending_promotion is not None and self.now >= self.pending_promotion[0]:
            old = self.leader
            self.leader, self.pending_promotion = self.pending_promotion[1], None
            self.term += 1
            self.terms[self.leader] = self.term
            self.positions[self.leader] = LogPosition(self.term, 5)
            self.database_cut[old] = dict(self.primary_cut)
            self.database_cut.pop(self.leader, None)
            self.set_claim(self.leader, True)
            # A crashed primary comes back as a replica.
            if self.is_active(self.crashed, old):
                self.set_claim(old, False)
            if old in self.claims:
                self.n_superseded += 1
                self.positions[old] = LogPosition(self.terms[old], 20)

    def use_primary(self, name, node):
        """Write as a client to the primary that the instance would use."""
        primary = node.find_primary(self.now)
        if primary is None:
            return
        cut = primary == self.leader and self.is_active(self.primary_cut, name)
        if cut or self.is_active(self.crashed, primary):
            contact = DatabaseContact(primary, False, self.now)
        else:
            if primary != self.leader:
                raise InvariantViolation(f"{name} uses {primary}, {self.leader} leads")
            contact = DatabaseContact(primary, True, self.now)
        self.process(name, node.state.handle(contact, self.now))


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_replaced_primaries_are_not_used(seed):
    """Guards against use of a replaced primary under any mix of partitions, freezes,
    restarts, crashes, lost answers and late writes.
    """
    world = World(seed)
    world.run()
    world.settle()


def find_drill_violations(n_seeds=N_SEEDS):
    """Return the violated invariant of each seed with drills that violates one."""
    violations = {}
    for seed in range(n_seeds):
        world = World(seed, has_drills=True)
        try:
            world.run()
            world.settle()
        except InvariantViolation as error:
            violations[seed] = str(error)
    return violations


def test_invariants_hold_when_the_store_comes_back_from_a_copy():
    """Guards against a fence that is used again, a replaced primary that comes back and
    a group without a primary, after the store lost what it had acknowledged.
    """
    assert not find_drill_violations()


def test_simulations_fail_over_primaries():
    """Guards against a simulation without failovers, which would check nothing."""
    worlds = [World(seed) for seed in range(N_SEEDS)]
    for world in worlds:
        world.run()
    assert sum(world.term - 1 for world in worlds) >= N_SEEDS
    assert sum(world.n_superseded for world in worlds) >= N_SEEDS / 2
    assert sum(world.n_evacuated_primaries for world in worlds) >= N_SEEDS / 2


def finds_violation(n_seeds=200):
    """Return whether any seed violates an invariant."""
    for seed in range(n_seeds):
        try:
            World(seed).run()
        except InvariantViolation:
            return True
    return False


def record_any_confirmation(joining, coordinator, revision, now):
    """Accept the confirmation of a coordinator that itself is not established."""
    joining._acknowledged_at = (
        now if joining._acknowledged_at is None else joining._acknowledged_at
    )


def demote_any_term(database, term):
    """Order a demotion that the primary of a newer term follows too."""
    return DemoteDatabase(database, term + 1000)


def choose_by_role(statuses, evacuated=()):
    """Choose the candidate that reports to be primary, whatever its term."""
    return max(
        (item for item in statuses if item.is_alive),
        key=lambda item: (item.is_primary, item.received, item.database),
        default=None,
    )


@pytest.mark.parametrize(
    "guard",
    ["wait", "deadline", "words", "awareness", "term", "recorded term", "evacuation"],
)
def test_model_detects_a_removed_safeguard(guard, monkeypatch):
    """Guards against a simulation that does not detect missing safeguards."""
    if guard == "term":
        monkeypatch.setattr(failover, "choose_candidate", choose_by_role)
    elif guard == "recorded term":
        monkeypatch.setattr(demotions, "DemoteDatabase", demote_any_term)
    elif guard == "evacuation":
        monkeypatch.setattr(Directory, "is_evacuated", lambda *_: False)
    elif guard == "wait":
        monkeypatch.setattr(failover, "PRIMARY_LEASE_SECONDS", -0.3)
    elif guard == "deadline":
        monkeypatch.setattr(failover, "HOLDER_TIMEOUT_SECONDS", 1000.0)
    elif guard == "awareness":
        monkeypatch.setattr(primary_lease, "MAX_COORDINATOR_LIST_AGE_SECONDS", 1000.0)
        monkeypatch.setattr(
            coordinator_membership.CoordinatorMembership,
            "record_confirmation",
            record_any_confirmation,
        )
    else:
        monkeypatch.setattr(primary_lease, "MAX_COORDINATOR_LIST_AGE_SECONDS", 1000.0)
        monkeypatch.setattr(coordinator_membership, "ESTABLISHMENT_DELAY_SECONDS", 0.0)
    assert finds_violation()


@pytest.mark.parametrize("guard", ["fences", "hearing"])
def test_model_detects_a_removed_safeguard_of_drills(guard, monkeypatch):
    """Guards against a simulation of drills that does not detect missing safeguards:
    fences above those of the eras before, and the wait for what others know before the
    record is restored.
    """
    if guard == "fences":
        monkeypatch.setattr(record_merge, "FENCES_PER_ERA", 0)
    else:
        monkeypatch.setattr(StoreEra, "may_restore", lambda *_: True)
        monkeypatch.setattr(StoreEra, "knows_newest_record", True)
    assert find_drill_violations(n_seeds=40)
