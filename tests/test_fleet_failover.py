"""Failovers, step by step with a manual clock."""

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


class CoordinatorHarness:
    """One coordinator's failover filter and a record to which proposals are applied."""

    def __init__(self, rank=0, record=None, name="a"):
        self.now = 100.0
        self.name = name
        self.failover = PrimaryFailover(name)
        self.record = record or make_record()
        self.revision = 1
        self.loses_writes = False
        self.promotions = []
        self.queried = []
        self.demotions = []
        self.proposals = []
        self.statuses = {}
        self.accepts_promotions = True
        self.failover.handle(make_directory(), self.now)
        self.failover.handle(CoordinatorRoleChanged(rank, True), self.now)
        self.confirm()

    def confirm(self):
        """Confirm the current record to the filter."""
        confirmed = RecordConfirmed(self.record, self.revision, self.now)
        self.failover.handle(confirmed, self.now)

    def report(self, database, is_alive):
        """Report the outcome of a use of a database."""
        contact = DatabaseContact(database, is_alive, self.now)
        self.failover.handle(contact, self.now)

    def run(self, seconds, failing=(), alive=()):
        """Advance the time; each step reports the databases."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.1, 3)
            for name in failing:
                self.report(name, False)
            for name in alive:
                self.report(name, True)
            self.process(self.failover.tick(self.now))

    def process(self, emissions):
        """Process what the filter emits."""
        for proposal in select(emissions, "proposals", GroupProposal):
            self.proposals.append((self.now, proposal))
            if not self.loses_writes:
                self.apply(proposal)
        for question in select(emissions, "databases", QueryDatabaseStatus):
            self.queried.append(question.database.name)
            status = self.statuses.get(question.database.name)
            if status is not None:
                self.process(self.failover.handle(status, self.now))
        for command in select(emissions, "platform", PromoteDatabase):
            self.promotions.append((self.now, command))
            if self.accepts_promotions:
                self.answer(command, True)
        self.demotions += select(emissions, "databases", DemoteDatabase)

    def answer(self, command, is_accepted):
        """Answer a promotion request; an accepted one takes effect."""
        if is_accepted:
            self.statuses[command.database] = DatabaseStatus(
                command.database, True, True, 4, LogPosition(3, 9)
            )
        answered = PromotionResult(command, is_accepted)
        self.process(self.failover.handle(answered, self.now))

    def apply(self, proposal):
        """Apply a proposal to the record as the store would."""
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

    def let_another_write(self, **fields):
        """Change the group's record as another coordinator with a newer token would."""
        self.record = replace(
            self.record,
            groups=(replace(self.group, **fields),),
            holder="b",
            fence=self.record.fence + 1,
        )
        self.revision += 1
        self.confirm()

    @property
    def group(self):
        """Return the record of the group."""
        return self.record.find_group("g")


def make_status(name, offset, term=3, is_primary=False):
    """Make the status of a database in term 3."""
    return DatabaseStatus(name, True, is_primary, term, LogPosition(term, offset))


def make_harness(**fields):
    """Make a harness whose replicas answer; r2 has received more."""
    harness = CoordinatorHarness(**fields)
    harness.statuses = {"r1": make_status("r1", 5), "r2": make_status("r2", 9)}
    return harness


def test_dead_primary_is_replaced_by_the_replica_that_received_most():
    """Guards against the loss of acknowledged commits that a replica has."""
    harness = make_harness()
    harness.run(6, failing=("p",))
    ((_, command),) = harness.promotions
    assert (command.database, command.fence) == ("r2", 1)
    assert (harness.group.primary, harness.group.phase) == ("r2", GroupPhase.STEADY)


def test_promotion_waits_until_all_leases_have_expired():
    """Guards against two primaries in use at once."""
    harness = make_harness()
    harness.run(6, failing=("p",))
    marked_at = harness.proposals[0][0]
    assert harness.promotions[0][0] - marked_at > PRIMARY_LEASE_SECONDS


def test_failover_takes_at_most_five_seconds():
    """Guards against a gap longer than the target of 5 s."""
    harness = make_harness()
    harness.run(5, failing=("p",))
    assert harness.group.primary == "r2"


def test_primary_that_others_reach_is_kept():
    """Guards against the replacement of a primary that only some cannot reach."""
    harness = make_harness()
    harness.run(10, failing=("p",), alive=("p",))
    assert harness.proposals == []


def test_primary_that_answers_again_is_kept():
    """Guards against a failover that loses commits after a short restart."""
    harness = make_harness()
    harness.run(1.5, failing=("p",))
    harness.statuses["p"] = make_status("p", 12, is_primary=True)
    harness.run(3, alive=("p",))
    assert harness.promotions == []
    assert (harness.group.primary, harness.group.phase) == ("p", GroupPhase.STEADY)


def test_leaving_primary_is_replaced_once_a_replica_has_everything():
    """Guards against a planned failover that loses commits."""
    harness = make_harness()
    leaving = make_database("p", "x", is_primary=True, is_leaving=True)
    harness.failover.handle(make_directory((leaving, *DATABASES[1:])), harness.now)
    harness.statuses["p"] = make_status("p", 12, is_primary=True)
    harness.run(3, alive=("p",))
    assert harness.promotions == []
    harness.statuses["r1"] = make_status("r1", 12)
    harness.run(2, alive=("p",))
    assert harness.group.primary == "r1"


def test_restarted_empty_primary_is_replaced():
    """Guards against a database that lost its log and remains primary."""
    harness = make_harness()
    reborn = make_database("p", "x", is_primary=True, born_ms=2)
    harness.failover.handle(make_directory((reborn, *DATABASES[1:])), harness.now)
    harness.run(6, alive=("p",))
    assert harness.group.primary == "r2"


def test_restarted_empty_primary_that_reports_its_role_is_replaced():
    """Guards against a database that lost its log and is kept because it answers as
    primary (review/1).
    """
    harness = make_harness()
    reborn = make_database("p", "x", is_primary=True, born_ms=2)
    harness.failover.handle(make_directory((reborn, *DATABASES[1:])), harness.now)
    harness.statuses["p"] = make_status("p", 0, term=1, is_primary=True)
    harness.run(6, alive=("p",))
    assert harness.group.primary == "r2"


def test_primary_of_an_older_term_is_not_kept():
    """Guards against a primary that is kept by its role alone, although the record
    says that it led a newer term.
    """
    harness = make_harness(record=make_record(term=3))
    harness.statuses["p"] = make_status("p", 20, term=2, is_primary=True)
    harness.run(6, failing=("p",))
    assert harness.group.primary == "r2"


def test_old_primary_is_demoted():
    """Guards against a replaced primary that continues after a partition ends."""
    harness = make_harness()
    harness.run(6, failing=("p",))
    assert harness.demotions
    assert {(item.database.name, item.term) for item in harness.demotions} == {("p", 4)}


def test_superseded_primary_is_demoted_by_a_coordinator_that_did_not_replace_it():
    """Guards against a superseded primary that keeps its role because the instance that
    replaced it has ended (review/4).
    """
    harness = make_harness(record=make_record("r2", term=4))
    harness.run(1)
    assert {(item.database.name, item.term) for item in harness.demotions} == {("p", 4)}


def test_replica_of_the_newer_term_is_promoted_over_a_superseded_primary():
    """Guards against the loss of acknowledged commits of the newer term when the new
    primary fails before the superseded one was demoted (review/4).
    """
    harness = make_harness(record=make_record("r2", term=4))
    harness.statuses = {
        "p": make_status("p", 20, term=3, is_primary=True),
        "r1": DatabaseStatus("r1", True, False, 4, LogPosition(4, 9)),
    }
    harness.run(6, failing=("r2",))
    assert harness.promotions[0][1].database == "r1"


def test_replica_of_the_newer_term_without_commits_is_promoted():
    """Guards against a choice by the received position alone: the replica has followed
    the recorded primary, which has not written yet, and the superseded one has not.
    """
    harness = make_harness(record=make_record("r2", term=4))
    harness.statuses = {
        "p": make_status("p", 20, term=3, is_primary=True),
        "r1": make_status("r1", 9, term=4),
    }
    harness.run(6, failing=("r2",))
    assert harness.promotions[0][1].database == "r1"


def test_replica_of_the_newer_term_is_waited_for():
    """Guards against the promotion of a superseded primary because the replica that
    holds the commits of the newer term answers a little later.
    """
    harness = make_harness(record=make_record("r2", term=4))
    harness.statuses = {"p": make_status("p", 20, term=3, is_primary=True)}
    harness.run(3.5, failing=("r2",))
    assert harness.promotions == []
    harness.statuses["r1"] = make_status("r1", 9, term=4)
    harness.run(2, failing=("r2",))
    assert harness.promotions[0][1].database == "r1"


def test_superseded_primary_is_promoted_if_no_other_database_answers():
    """Guards against a group that stays without a primary because only a superseded one
    is left; its old status does not confirm the promotion.
    """
    harness = make_harness(record=make_record("r2", term=4))
    harness.statuses = {"p": make_status("p", 20, term=3, is_primary=True)}
    harness.accepts_promotions = False
    while not harness.promotions:
        harness.run(0.1, failing=("r2",))
    command = harness.promotions[0][1]
    harness.failover.handle(PromotionResult(command, True), harness.now)
    harness.run(0.5)
    assert harness.group.phase is GroupPhase.CHANGING
    harness.statuses["p"] = make_status("p", 20, term=5, is_primary=True)
    harness.run(1)
    assert (harness.group.primary, harness.group.term) == ("p", 5)


def test_holder_that_resumes_late_promotes_nothing():
    """Guards against a promotion after another coordinator may have taken over."""
    harness = make_harness()
    harness.run(2, failing=("p",))
    assert harness.group.phase is GroupPhase.CHANGING
    harness.now += HOLDER_TIMEOUT_SECONDS
    harness.run(0.3)
    assert harness.promotions == []


def test_holder_that_was_replaced_promotes_nothing():
    """Guards against a promotion with an old fencing token after another coordinator
    has taken the failover over.
    """
    harness = make_harness()
    harness.run(2, failing=("p",))
    harness.let_another_write(attempt=1)
    harness.run(3)
    assert harness.promotions == []


def test_holder_promotes_nothing_once_another_one_has_finished():
    """Guards against a second promotion after a failover that another coordinator has
    completed.
    """
    harness = make_harness()
    harness.run(2, failing=("p",))
    harness.let_another_write(primary="r1", term=4, phase=GroupPhase.STEADY)
    harness.run(3)
    assert harness.promotions == []


def test_promotion_carries_its_deadline():
    """Guards against a promotion call that is sent after the holder's timeout."""
    harness = make_harness()
    harness.run(6, failing=("p",))
    marked_at = harness.proposals[0][0]
    assert harness.promotions[0][1].deadline <= marked_at + HOLDER_TIMEOUT_SECONDS


def test_unfinished_failover_is_taken_over_with_a_higher_fencing_token():
    """Guards against a group without a primary after its holder died."""
    record = replace(make_record(phase=GroupPhase.CHANGING), holder="dead", fence=7)
    harness = make_harness(rank=1, record=record)
    harness.run(TAKEOVER_DELAY_SECONDS)
    assert harness.promotions == []
    harness.run(6)
    ((_, command),) = harness.promotions
    assert (command.fence, command.holder) == (8, "a")
    assert harness.group.primary == "r2"


def test_failover_of_a_restarted_holder_is_taken_over_early():
    """Guards against a group without a primary for long after a power failure."""
    record = replace(
        make_record(phase=GroupPhase.CHANGING),
        holder="b",
        holder_incarnation="before",
        fence=7,
    )
    harness = make_harness(record=record)
    harness.run(5)
    assert harness.group.primary == "r2"


def test_takeover_keeps_a_primary_that_was_promoted_already():
    """Guards against a second promotion when the first holder ended after its own."""
    record = replace(make_record(phase=GroupPhase.CHANGING), holder="dead", fence=7)
    harness = make_harness(record=record)
    harness.statuses["r1"] = make_status("r1", 5, term=4, is_primary=True)
    harness.run(TAKEOVER_DELAY_SECONDS + 6)
    assert harness.group.primary == "r1"


def test_primary_that_returned_under_another_name_is_recorded_in_its_term():
    """Guards against a group without a primary because the platform changes nothing:
    the target is its primary already, in the recorded term.
    """
    harness = make_harness(record=make_record("gone", term=4))
    harness.statuses = {
        "p": make_status("p", 9, term=4, is_primary=True),
        "r1": make_status("r1", 9, term=4),
    }
    harness.accepts_promotions = False
    while not harness.promotions:
        harness.run(0.1, failing=("gone",))
    command = harness.promotions[0][1]
    harness.failover.handle(PromotionResult(command, True), harness.now)
    harness.run(1)
    assert (harness.group.primary, harness.group.term) == ("p", 4)
    assert harness.group.phase is GroupPhase.STEADY


def test_refused_target_is_replaced_by_the_next():
    """Guards against a failover that never ends because the chosen replica is down."""
    harness = make_harness()
    harness.accepts_promotions = False
    harness.run(4, failing=("p",))
    harness.answer(harness.promotions[0][1], False)
    harness.accepts_promotions = True
    harness.run(3)
    assert harness.group.primary == "r1"


def test_promotion_without_an_answer_is_retried():
    """Guards against a failover that ends because one answer was lost."""
    harness = make_harness()
    harness.accepts_promotions = False
    harness.run(4, failing=("p",))
    harness.answer(harness.promotions[0][1], None)
    harness.accepts_promotions = True
    harness.run(3)
    assert [command.database for _, command in harness.promotions] == ["r2", "r2"]
    assert harness.group.primary == "r2"


def test_old_primary_is_not_kept_after_a_promotion_without_an_answer():
    """Guards against a replaced primary that is recorded again because it still answers
    in its role (review/3).
    """
    harness = make_harness()
    harness.accepts_promotions = False
    harness.run(4, failing=("p",))
    harness.statuses["p"] = make_status("p", 9, is_primary=True)
    # A candidate without a status makes the failover query the databases again.
    busy = make_database("r3", "y")
    harness.failover.handle(make_directory((*DATABASES, busy)), harness.now)
    harness.answer(harness.promotions[0][1], None)
    harness.accepts_promotions = True
    harness.run(3)
    assert harness.group.primary == "r2"


def test_lost_write_of_the_record_promotes_nothing():
    """Guards against a promotion by a coordinator whose write was lost."""
    harness = make_harness()
    harness.loses_writes = True
    harness.run(6, failing=("p",))
    assert harness.promotions == []


def test_coordinator_that_is_not_established_starts_no_failover():
    """Guards against a failover that instances with an older list do not notice."""
    harness = make_harness()
    harness.failover.handle(CoordinatorRoleChanged(0, False), harness.now)
    harness.run(4.9, failing=("p",))
    assert harness.proposals == []


def test_first_primary_is_the_only_database_that_claims_the_role():
    """Guards against a group that never gets a primary."""
    harness = make_harness(record=replace(make_record(), groups=()))
    harness.run(1)
    assert harness.group.primary == "p"


def test_two_databases_that_claim_to_be_primary_make_neither_primary():
    """Guards against an arbitrary choice between two candidates."""
    harness = make_harness(record=replace(make_record(), groups=()))
    other = make_database("r1", "y", is_primary=True)
    harness.failover.handle(
        make_directory((DATABASES[0], other, DATABASES[2])), harness.now
    )
    harness.run(1)
    assert harness.group is None


def test_terms_of_another_group_do_not_enter_the_record():
    """Guards against a recorded term above that of the new primary, which came from
    the status of a database of another group.
    """
    harness = make_harness()
    other = make_database("q", "x", group="h")
    harness.failover.handle(make_directory((*DATABASES, other)), harness.now)
    while not harness.promotions:
        harness.failover.handle(make_status("q", 1, term=9), harness.now)
        harness.run(0.1, failing=("p",))
    harness.run(2)
    assert (harness.group.primary, harness.group.term) == ("r2", 4)
