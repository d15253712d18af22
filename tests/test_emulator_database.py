"""Rules of a database group: terms, fences, promotion, transactions, idempotency."""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sardinemill.adapters.memory_upstream import MemoryGroup
from sardinemill.control import FenceOrder, PromoteOrder
from sardinemill.emulator.database import (
    IDEMPOTENCY_KEPT_SECONDS,
    TRANSACTION_IDLE_SECONDS,
    Database,
)
from sardinemill.errors import (
    IdempotencyKeyReused,
    Outcome,
    StatementError,
    TransactionClosed,
    UpstreamBusy,
    UpstreamError,
    UpstreamFenced,
)
from sardinemill.messages import Action, Statement, StatementKind, UpstreamCall
from sardinemill.positions import LogPosition

NAMES = ("a", "b", "c")
N_MAJORITY = 2


def make_call(sql="", *parameters, action=Action.STATEMENT, **fields):
    kind = StatementKind.READ if sql.startswith("select") else StatementKind.WRITE
    statement = Statement(sql=sql, parameters=parameters, kind=kind, idempotent=False)
    return UpstreamCall(
        call_id="1",
        action=action,
        workspace="bees",
        statement=statement if sql else None,
        **fields,
    )


def make_primary():
    database = Database("a", "hives", "a/1", is_initial_primary=True)
    database.run(1, make_call("create table hive (name text unique)"), 0.0)
    return database


def read_names(database):
    rows = database.run(99, make_call("select name from hive order by 1"), 0.0).rows
    return [row[0] for row in rows]


class GroupRules(RuleBasedStateMachine):
    """Three databases, two orderers and a network that delivers what it likes.

    ``acknowledged`` holds each write that a majority held in its own term at some time.
    """

    def __init__(self):
        super().__init__()
        self.group = MemoryGroup("hives", NAMES, read_time=lambda: 0.0)
        self.group.get_database("a").run(
            1, make_call("create table hive (name text unique)"), 0.0
        )
        self.written = {}
        self.acknowledged = {}
        # Answers to fences: (term, orderer) -> database -> last position.
        self.fenced = {}
        self.promoted = {}
        self.saved_appends = []
        self.n_writes = 0

    @rule(name=st.sampled_from(NAMES), n_writes=st.integers(1, 3))
    def write(self, name, n_writes):
        for _ in range(n_writes):
            self.n_writes += 1
            text = f"north-{self.n_writes}"
            call = make_call("insert into hive values (?)", text)
            try:
                result = self.group.get_database(name).run(1, call, 0.0)
            except UpstreamFenced as error:
                assert error.outcome is Outcome.NOT_RUN
                return
            except StatementError:
                return  # this database was promoted before the table reached it
            self.written[text] = result.position

    @rule(
        source=st.sampled_from(NAMES),
        receiver=st.sampled_from(NAMES),
        n_missing=st.integers(0, 2),
    )
    def replicate(self, source, receiver, n_missing):
        if source == receiver:
            return
        last = self.group.get_database(source).position.offset - n_missing
        self.group.replicate(source, receiver, last_offset=max(0, last))

    @rule(source=st.sampled_from(NAMES), next_offset=st.integers(1, 8))
    def save_append(self, source, next_offset):
        sender = self.group.get_database(source)
        last = sender.position.offset
        if sender.is_primary and next_offset <= last + 1:
            self.saved_appends.append(sender.member.make_append(next_offset, last))

    @rule(receiver=st.sampled_from(NAMES), index=st.integers(0, 99))
    def deliver_late(self, receiver, index):
        if not self.saved_appends:
            return
        order = self.saved_appends[index % len(self.saved_appends)]
        if order.source != receiver:
            self.group.get_database(receiver).append(order)

    @rule(
        receiver=st.sampled_from(NAMES),
        term=st.integers(1, 6),
        orderer=st.sampled_from(("north", "south")),
    )
    def fence(self, receiver, term, orderer):
        order = FenceOrder(group="hives", database=receiver, term=term, orderer=orderer)
        answer = self.group.get_database(receiver).fence(order)
        if answer.accepted:
            # The first answer decides, as for an orderer that counts each one once.
            votes = self.fenced.setdefault((term, orderer), {})
            votes.setdefault(receiver, answer.position)

    @rule(index=st.integers(0, 99))
    def promote(self, index):
        """An orderer with a majority promotes the best database, perhaps again."""
        ready = sorted(
            key for key, votes in self.fenced.items() if len(votes) >= N_MAJORITY
        )
        if not ready:
            return
        term, orderer = ready[index % len(ready)]
        votes = self.fenced[(term, orderer)]
        best = max(votes, key=lambda name: (votes[name], name))
        best = self.promoted.setdefault((term, orderer), best)
        order = PromoteOrder(group="hives", database=best, term=term, orderer=orderer)
        database = self.group.get_database(best)
        answer = database.promote(order)
        if answer.accepted:
            assert database.is_primary and database.fenced_term == term
            for text in self.acknowledged:
                assert text in read_names(database)

    @invariant()
    def record_acknowledged(self):
        reports = [self.group.get_database(name).report() for name in NAMES]
        for text, position in self.written.items():
            holders = [
                report
                for report in reports
                if report.position.term == position.term
                and report.position.offset >= position.offset
            ]
            if len(holders) >= N_MAJORITY:
                self.acknowledged[text] = position

    @invariant()
    def check_one_primary_for_each_term(self):
        terms = [
            database.fenced_term
            for database in map(self.group.get_database, NAMES)
            if database.is_primary
        ]
        assert len(terms) == len(set(terms))

    @invariant()
    def check_data_equals_log(self):
        """Truncation must remove the effect of the entries from the tables."""
        for name in NAMES:
            database = self.group.get_database(name)
            logged = sorted(
                str(entry.statements[0].parameters[0])
                for entry in database.member.entries
                if entry.statements and entry.statements[0].parameters
            )
            if any(entry.statements for entry in database.member.entries):
                assert read_names(database) == logged


TestGroupRules = GroupRules.TestCase
TestGroupRules.__doc__ = "Guards against loss of an acknowledged write in a failover."
TestGroupRules.settings = settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_transaction_is_isolated_and_undone():
    """Guards against mixed transactions, dirty reads and locks held for ever."""
    database = make_primary()
    insert = make_call(
        "insert into hive values ('x')", action=Action.TRANSACTION_STATEMENT
    )
    commit = make_call(action=Action.COMMIT)
    database.run(1, make_call(action=Action.BEGIN), 0.0)
    database.run(1, insert, 0.0)
    assert read_names(database) == []
    for call in (
        make_call("insert into hive values ('y')"),
        make_call(action=Action.BEGIN),
    ):
        with pytest.raises(UpstreamBusy):
            database.run(2, call, 0.0)
    with pytest.raises(TransactionClosed):
        database.run(2, insert, 0.0)
    database.close_connection(1)
    with pytest.raises(TransactionClosed):
        database.run(1, commit, 0.0)

    database.run(1, make_call(action=Action.BEGIN), 0.0)
    database.expire_transactions(TRANSACTION_IDLE_SECONDS)
    with pytest.raises(TransactionClosed):
        database.run(1, insert, TRANSACTION_IDLE_SECONDS)

    database.run(2, make_call(action=Action.BEGIN), 0.0)
    database.run(2, insert, 0.0)
    before = database.position
    result = database.run(2, commit, 0.0)
    assert result.position == LogPosition(1, before.offset + 1)
    assert read_names(database) == ["x"]


def test_fence_ends_writes_and_transactions_not_run():
    """Guards against a write that a superseded primary accepts."""
    database = make_primary()
    insert = make_call("insert into hive values ('x')", expected_term=1)
    database.run(1, make_call(action=Action.BEGIN), 0.0)
    database.fence(FenceOrder(group="hives", database="a", term=2, orderer="north"))
    before = database.position
    for connection, call in ((2, insert), (1, make_call(action=Action.COMMIT))):
        with pytest.raises(UpstreamFenced) as caught:
            database.run(connection, call, 0.0)
        assert caught.value.outcome is Outcome.NOT_RUN
    order = PromoteOrder(group="hives", database="a", term=2, orderer="south")
    assert not database.promote(order).accepted
    order = PromoteOrder(group="hives", database="a", term=2, orderer="north")
    assert database.promote(order).position == LogPosition(2, before.offset + 1)
    with pytest.raises(UpstreamFenced):
        database.run(2, insert, 0.0)
    with pytest.raises(UpstreamError):
        late = make_call("select 1", minimum_position=LogPosition(2, 99))
        database.run(2, late, 0.0)
    assert read_names(database) == []


def test_idempotency_key_survives_a_change_of_primary():
    """Guards against a second run of a write that is retried with its key."""
    group = MemoryGroup("hives", NAMES, read_time=lambda: 0.0)
    old, new = group.get_database("a"), group.get_database("b")
    old.run(1, make_call("create table hive (name text)"), 0.0)
    keyed = make_call(
        "insert into hive values ('x') returning name",
        idempotency_key="k",
        body_hash="h",
    )
    first = old.run(1, keyed, 0.0)
    group.replicate_all()
    for name in ("b", "c"):
        order = FenceOrder(group="hives", database=name, term=2, orderer="north")
        group.get_database(name).fence(order)
    new.promote(PromoteOrder(group="hives", database="b", term=2, orderer="north"))

    repeat = new.run(1, keyed, 1.0)
    assert repeat.is_repeat and repeat.rows == first.rows == (("x",),)
    # The new primary's position covers the write of the old one.
    assert repeat.position == new.position
    with pytest.raises(IdempotencyKeyReused) as caught:
        new.run(
            1, make_call("delete from hive", idempotency_key="k", body_hash="o"), 1.0
        )
    assert caught.value.outcome is Outcome.NOT_RUN
    assert read_names(new) == ["x"]
    later = IDEMPOTENCY_KEPT_SECONDS + 2.0
    new.run(1, make_call("delete from hive", idempotency_key="n", body_hash="n"), later)
    assert not new.run(1, keyed, later).is_repeat


def test_commit_with_a_key_can_be_asked_again():
    """Guards against a commit whose outcome stays unknown although it has a key."""
    database = make_primary()
    commit = make_call(action=Action.COMMIT, idempotency_key="k", body_hash="h")
    database.run(1, make_call(action=Action.BEGIN), 0.0)
    insert = make_call(
        "insert into hive values ('x')", action=Action.TRANSACTION_STATEMENT
    )
    database.run(1, insert, 0.0)
    database.run(1, commit, 0.0)
    assert database.run(2, commit, 0.0).is_repeat
    assert read_names(database) == ["x"]


@pytest.mark.parametrize(
    "sql",
    [
        "attach ':memory:' as other",
        "vacuum into '/nonexistent/copy'",
        "pragma writable_schema = 1",
        "begin",
        "commit",
        "savepoint mine",
        "create temp table t (x)",
        "delete from sardinemill_idempotency",
        "drop table sardinemill_idempotency",
        "insert into hive values (random())",
        "insert into hive values ('p') returning cast(x'ff' as text)",
        "insert or rollback into hive values ('p'), ('p')",
        "insert into hive values ('p'); delete from hive",
        "with recursive r(x) as (select 1 union all select x+1 from r) "
        "insert into hive select x from r where x < 0",
    ],
)
def test_refused_statement_has_no_effect(sql):
    """Guards against a way out of the workspace and against partial writes."""
    database = make_primary()
    before = database.position
    for kind in StatementKind:
        statement = Statement(sql=sql, parameters=(), kind=kind, idempotent=False)
        call = UpstreamCall(
            call_id="1", action=Action.STATEMENT, workspace="bees", statement=statement
        )
        with pytest.raises(StatementError):
            database.run(1, call, 0.0)
    assert database.position == before
    assert read_names(database) == []
    database.run(1, make_call("insert into hive values ('after')"), 0.0)
    assert read_names(database) == ["after"]
