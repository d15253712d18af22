"""Changes of primary, step by step with a hand-moved clock."""

from dataclasses import replace

from sardinemill.fleet.failover import (
    HOLDER_TIMEOUT_SECONDS,
    TAKEOVER_DELAY_SECONDS,
    PrimaryFailover,
)
from sardinemill.fleet.failover_messages import (
    DatabaseStatus,
    DemoteDatabase,
    PromoteDatabase,
    PromotionResult,
    QueryDatabaseStatus,
)
from sardinemill.fleet.primary_lease import PRIMARY_LEASE_SECONDS
from sardinemill.fleet.records import GroupPhase
from sardinemill.fleet.views import (
    CoordinatorRoleChanged,
    DatabaseContact,
    GroupProposal,
    RecordConfirmed,
)
from sardinemill.positions import LogPosition
from session_builders import (
    DATABASES,
    make_database,
    make_directory,
    make_record,
    select,
)


class Desk:
    """One coordinator's promotion filter and a record that takes its proposals."""

    def __init__(self, rank=0, record=None, name="a"):
        self.now = 100.0
        self.name = name
        self.promotion = PrimaryFailover(name)
        self.record = record or make_record()
        self.revision = 1
        self.loses_writes = False
        self.orders = []
        self.asked = []
        self.demotions = []
        self.proposals = []
        self.statuses = {}
        self.takes_orders = True
        self.promotion.handle(make_directory(), self.now)
        self.promotion.handle(CoordinatorRoleChanged(rank, True), self.now)
        self.confirm()

    def confirm(self):
        """Show the record as it is."""
        confirmed = RecordConfirmed(self.record, self.revision, self.now)
        self.promotion.handle(confirmed, self.now)

    def note(self, database, is_alive):
        """Report a use of a database."""
        contact = DatabaseContact(database, is_alive, self.now)
        self.promotion.handle(contact, self.now)

    def run(self, seconds, failing=(), alive=()):
        """Let time pass; each step reports databases."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.1, 3)
            for name in failing:
                self.note(name, False)
            for name in alive:
                self.note(name, True)
            self.take(self.promotion.tick(self.now))

    def take(self, emissions):
        """Carry out what the filter asks for."""
        for proposal in select(emissions, "proposals", GroupProposal):
            self.proposals.append((self.now, proposal))
            if not self.loses_writes:
                self.apply(proposal)
        for question in select(emissions, "databases", QueryDatabaseStatus):
            self.asked.append(question.database.name)
            status = self.statuses.get(question.database.name)
            if status is not None:
                self.take(self.promotion.handle(status, self.now))
        for order in select(emissions, "platform", PromoteDatabase):
            self.orders.append((self.now, order))
            if self.takes_orders:
                self.answer(order, True)
        self.demotions += select(emissions, "databases", DemoteDatabase)

    def answer(self, order, is_accepted):
        """The platform answers an order; an accepted one takes effect."""
        if is_accepted:
            self.statuses[order.database] = DatabaseStatus(
                order.database, True, True, 4, LogPosition(3, 9)
            )
        answered = PromotionResult(order, is_accepted)
        self.take(self.promotion.handle(answered, self.now))

    def apply(self, proposal):
        """Write a proposal to the record as the store would."""
        current = self.record.find_group(proposal.group.group)
        if current != proposal.expected:
            return
        groups = tuple(
            item for item in self.record.groups if item.group != proposal.group.group
        )
        self.record = replace(self.record, groups=(*groups, proposal.group))
        if proposal.acquires_fencing_token and self.record.holder != self.name:
            self.record = replace(
                self.record,
                holder=self.name,
                holder_incarnation="1",
                fence=self.record.fence + 1,
            )
        self.revision += 1
        self.confirm()

    @property
    def group(self):
        """Record of the group."""
        return self.record.find_group("g")


def make_status(name, offset, term=3, is_primary=False):
    """Status of a database in term 3."""
    return DatabaseStatus(name, True, is_primary, term, LogPosition(term, offset))


def make_desk(**fields):
    """Desk whose replicas answer; r2 has received more."""
    desk = Desk(**fields)
    desk.statuses = {"r1": make_status("r1", 5), "r2": make_status("r2", 9)}
    return desk


def test_dead_primary_is_replaced_by_the_replica_that_received_most():
    """Guards against acknowledged commits that are lost although a replica has them."""
    desk = make_desk()
    desk.run(6, failing=("p",))
    ((_, order),) = desk.orders
    assert (order.database, order.fence) == ("r2", 1)
    assert (desk.group.primary, desk.group.phase) == ("r2", GroupPhase.STEADY)


def test_order_waits_until_all_rights_have_ended():
    """Guards against two primaries in use at once."""
    desk = make_desk()
    desk.run(6, failing=("p",))
    marked_at = desk.proposals[0][0]
    assert desk.orders[0][0] - marked_at > PRIMARY_LEASE_SECONDS


def test_change_takes_at_most_five_seconds():
    """Guards against a gap longer than the target of 5 s."""
    desk = make_desk()
    desk.run(5, failing=("p",))
    assert desk.group.primary == "r2"


def test_primary_that_others_reach_is_kept():
    """Guards against the replacement of a primary that only some cannot reach."""
    desk = make_desk()
    desk.run(10, failing=("p",), alive=("p",))
    assert desk.proposals == []


def test_primary_that_answers_again_is_kept():
    """Guards against a needless loss of commits after a short restart."""
    desk = make_desk()
    desk.run(1.5, failing=("p",))
    desk.statuses["p"] = make_status("p", 12, is_primary=True)
    desk.run(3, alive=("p",))
    assert desk.orders == []
    assert (desk.group.primary, desk.group.phase) == ("p", GroupPhase.STEADY)


def test_leaving_primary_is_replaced_once_a_replica_has_everything():
    """Guards against a planned change that loses commits."""
    desk = make_desk()
    leaving = make_database("p", "x", is_primary=True, is_leaving=True)
    desk.promotion.handle(make_directory((leaving, *DATABASES[1:])), desk.now)
    desk.statuses["p"] = make_status("p", 12, is_primary=True)
    desk.run(3, alive=("p",))
    assert desk.orders == []
    desk.statuses["r1"] = make_status("r1", 12)
    desk.run(2, alive=("p",))
    assert desk.group.primary == "r1"


def test_restarted_empty_primary_is_replaced():
    """Guards against a database that lost its log and still counts as primary."""
    desk = make_desk()
    reborn = make_database("p", "x", is_primary=True, born_ms=2)
    desk.promotion.handle(make_directory((reborn, *DATABASES[1:])), desk.now)
    desk.run(6, alive=("p",))
    assert desk.group.primary == "r2"


def test_old_primary_is_told_to_step_down():
    """Guards against a replaced primary that goes on after it was cut off."""
    desk = make_desk()
    desk.run(6, failing=("p",))
    assert desk.demotions
    assert {(item.database.name, item.term) for item in desk.demotions} == {("p", 4)}


def test_holder_that_wakes_late_orders_nothing():
    """Guards against an order after another coordinator may have taken over."""
    desk = make_desk()
    desk.run(2, failing=("p",))
    assert desk.group.phase is GroupPhase.CHANGING
    desk.now += HOLDER_TIMEOUT_SECONDS
    desk.run(0.3)
    assert desk.orders == []


def test_order_carries_its_last_moment():
    """Guards against a call that is sent after the holder's time."""
    desk = make_desk()
    desk.run(6, failing=("p",))
    marked_at = desk.proposals[0][0]
    assert desk.orders[0][1].deadline <= marked_at + HOLDER_TIMEOUT_SECONDS


def test_unfinished_change_is_taken_over_with_a_higher_fence():
    """Guards against a group without a primary after its holder died."""
    record = replace(make_record(phase=GroupPhase.CHANGING), holder="dead", fence=7)
    desk = make_desk(rank=1, record=record)
    desk.run(TAKEOVER_DELAY_SECONDS)
    assert desk.orders == []
    desk.run(6)
    ((_, order),) = desk.orders
    assert (order.fence, order.holder) == (8, "a")
    assert desk.group.primary == "r2"


def test_change_of_a_holder_that_restarted_is_taken_over_soon():
    """Guards against a group that stands still for long after all lost power."""
    record = replace(
        make_record(phase=GroupPhase.CHANGING),
        holder="b",
        holder_incarnation="before",
        fence=7,
    )
    desk = make_desk(record=record)
    desk.run(5)
    assert desk.group.primary == "r2"


def test_takeover_keeps_a_primary_that_was_promoted_already():
    """Guards against a second promotion after the first holder died too early."""
    record = replace(make_record(phase=GroupPhase.CHANGING), holder="dead", fence=7)
    desk = make_desk(record=record)
    desk.statuses["r1"] = make_status("r1", 5, term=4, is_primary=True)
    desk.run(TAKEOVER_DELAY_SECONDS + 6)
    assert desk.group.primary == "r1"


def test_refused_target_is_replaced_by_the_next():
    """Guards against a change that hangs on a replica that does not run."""
    desk = make_desk()
    desk.takes_orders = False
    desk.run(4, failing=("p",))
    desk.answer(desk.orders[0][1], False)
    desk.takes_orders = True
    desk.run(3)
    assert desk.group.primary == "r1"


def test_order_without_an_answer_is_given_again():
    """Guards against a change that ends because one answer was lost."""
    desk = make_desk()
    desk.takes_orders = False
    desk.run(4, failing=("p",))
    desk.answer(desk.orders[0][1], None)
    desk.takes_orders = True
    desk.run(3)
    assert [order.database for _, order in desk.orders] == ["r2", "r2"]
    assert desk.group.primary == "r2"


def test_lost_write_of_the_record_orders_nothing():
    """Guards against an order by a coordinator whose mark was not written."""
    desk = make_desk()
    desk.loses_writes = True
    desk.run(6, failing=("p",))
    assert desk.orders == []


def test_coordinator_that_is_not_established_changes_nothing():
    """Guards against a change that instances without the new list do not expect."""
    desk = make_desk()
    desk.promotion.handle(CoordinatorRoleChanged(0, False), desk.now)
    desk.run(4.9, failing=("p",))
    assert desk.proposals == []


def test_first_primary_is_the_one_that_the_databases_name():
    """Guards against a group that never gets a primary."""
    desk = make_desk(record=replace(make_record(), groups=()))
    desk.run(1)
    assert desk.group.primary == "p"


def test_two_databases_that_call_themselves_primary_name_none():
    """Guards against a first primary picked among two by chance."""
    desk = make_desk(record=replace(make_record(), groups=()))
    other = make_database("r1", "y", is_primary=True)
    desk.promotion.handle(make_directory((DATABASES[0], other, DATABASES[2])), desk.now)
    desk.run(1)
    assert desk.group is None
