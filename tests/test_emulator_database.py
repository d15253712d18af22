"""Rules of a database group: terms, fences, promotion, transactions, idempotency."""

from dataclasses import replace
from itertools import permutations, product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from replication_world import GROUP as WORLD_GROUP
from sardinemill.adapters.memory_upstream import MemoryGroup
from sardinemill.emulator.database import (
    IDEMPOTENCY_RETENTION_SECONDS,
    TRANSACTION_IDLE_TIMEOUT_SECONDS,
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
from sardinemill.filters.readmission import Readmission
from sardinemill.messages import Action, Statement, StatementKind, UpstreamCall
from sardinemill.positions import LogPosition
from sardinemill.replication import AdmitRequest, FenceRequest, PromoteRequest

NAMES = ("a", "b", "c")
ORDERERS = ("north", "south")
N_MAJORITY = 2
# The first entry of the term and the table; a restarted database lacks them at first.
N_SETUP_ENTRIES = 2
GROUP = replace(
    WORLD_GROUP,
    databases=tuple(
        replace(item, name=name)
        for item, name in zip(WORLD_GROUP.databases, NAMES, strict=True)
    ),
)


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


class GroupHistory:
    """Three databases, two orderers and a network that delivers what it likes.

    ``acknowledged`` holds each write that a majority held in its own term at some time.
    """

    def __init__(self):
        self.group = MemoryGroup("hives", NAMES, read_time=lambda: 0.0)
        self.readmission = Readmission()
        self.now = 0.0
        self.databases[0].run(1, make_call("create table hive (name text unique)"), 0.0)
        self.group.replicate_all()
        self.written = {}
        self.acknowledged = set()
        self.terms = dict.fromkeys(ORDERERS, 0)
        # Accepted fences: (term, orderer) -> database -> first answer.
        self.votes = {}
        # The majority that is asked to confirm, and those of it that have.
        self.voters = {}
        self.confirmed = {}
        self.chosen = {}
        self.delayed = []

    @property
    def databases(self):
        return [self.group.get_database(name) for name in NAMES]

    def restart(self, name):
        """A database loses its state, unless another one has not recovered yet."""
        if not any(database.report().is_recovering for database in self.databases):
            self.group.restart(name)
            self.observe(name)

    def observe(self, name):
        """The home sees a report; an order that follows is carried out at once."""
        self.now += 1.0
        database = self.group.get_database(name)
        report = replace(database.report(), asked_at=self.now, received_at=self.now)
        for emission in self.readmission.handle_report(GROUP, report):
            if isinstance(emission.message, AdmitRequest):
                database.admit(emission.message)

    def write(self, n_writes):
        """Each primary takes writes, also one that does not know its successor."""
        for database in self._find_primaries():
            for _ in range(n_writes):
                text = f"north-{len(self.written)}"
                call = make_call("insert into hive values (?)", text)
                self.written[text] = database.run(1, call, 0.0).position

    def replicate(self, index, receiver, n_missing):
        """A primary sends its log, perhaps without the end; a copy may come late."""
        primaries = self._find_primaries()
        if not primaries or primaries[index % len(primaries)].name == receiver:
            return
        database = primaries[index % len(primaries)]
        last = max(0, database.position.offset - n_missing)
        self.delayed.append(database.member.make_append(max(1, last - 1), last))
        self.group.replicate(database.name, receiver, last_offset=last)

    def deliver_late(self, index, receiver):
        """A copy of an earlier replication message arrives."""
        if index < len(self.delayed):
            order = self.delayed[-1 - index]
            if order.source != receiver:
                self.group.get_database(receiver).append(order)

    def elect(self, orderer, receivers, is_promoting):
        """An orderer learns a term from one database and fences some at the next."""
        self.terms[orderer] = self.group.get_database(receivers[0]).fenced_term + 1
        for ask in (self.fence, self.confirm):
            for receiver in receivers:
                ask(orderer, receiver)
        if is_promoting:
            self.promote(orderer)

    def fence(self, orderer, receiver):
        """An orderer goes on with its election, or a fence arrives again."""
        term = self.terms[orderer]
        order = FenceRequest(
            group="hives", database=receiver, term=term, orderer=orderer
        )
        answer = self.group.get_database(receiver).fence(order)
        if answer.accepted:
            votes = self.votes.setdefault((term, orderer), {})
            votes.setdefault(receiver, answer)
            if len(votes) >= N_MAJORITY:
                self.voters.setdefault((term, orderer), set(votes))

    def confirm(self, orderer, receiver):
        """An orderer whose fences a majority accepted asks one of it again."""
        term = self.terms[orderer]
        if receiver not in self.voters.get((term, orderer), ()):
            return
        order = FenceRequest(
            group="hives",
            database=receiver,
            term=term,
            orderer=orderer,
            is_confirming=True,
        )
        answer = self.group.get_database(receiver).fence(order)
        first = self.votes[term, orderer][receiver]
        if answer.accepted and answer.incarnation == first.incarnation:
            self.confirmed.setdefault((term, orderer), set()).add(receiver)

    def promote(self, orderer):
        """An orderer with a majority promotes the best database, perhaps again."""
        key = (self.terms[orderer], orderer)
        names = self.confirmed.get(key, ())
        if len(names) < N_MAJORITY:
            return
        votes = self.votes[key]
        best = max(names, key=lambda name: (votes[name].position, name))
        best = self.chosen.setdefault(key, best)
        order = PromoteRequest(
            group="hives", database=best, term=key[0], orderer=orderer
        )
        if self.group.get_database(best).promote(order).accepted:
            held = read_names(self.group.get_database(best))
            assert self.acknowledged <= set(held)

    def check(self):
        """Check the state after each step."""
        self._record_acknowledged()
        terms = [database.fenced_term for database in self._find_primaries()]
        assert len(terms) == len(set(terms))
        for database in self.databases:
            if database.position.offset < N_SETUP_ENTRIES:
                continue
            logged = [
                entry.statements[0].parameters[0]
                for entry in database.member.entries
                if entry.statements and entry.statements[0].parameters
            ]
            # Truncation must remove the effect of the entries from the tables.
            assert read_names(database) == sorted(logged)

    def _find_primaries(self):
        return [database for database in self.databases if database.is_primary]

    def _record_acknowledged(self):
        positions = [
            database.position
            for database in self.databases
            if not database.report().is_recovering
        ]
        for text, position in self.written.items():
            n_holders = sum(
                held.term == position.term and held >= position for held in positions
            )
            if n_holders >= N_MAJORITY:
                self.acknowledged.add(text)


STEPS = (
    *[("write", n_writes) for n_writes in (1, 2)] * 6,
    *[("replicate", *item) for item in product((0, 1), NAMES, (0, 1))],
    *[("deliver_late", *item) for item in product((0, 1, 2), NAMES)],
    *[
        ("elect", *item)
        for item in product(ORDERERS, permutations(NAMES, 2), (False, True))
    ],
    *[("restart", name) for name in NAMES] * 2,
    *[("observe", name) for name in NAMES] * 6,
    *[("confirm", *item) for item in product(ORDERERS, NAMES)],
    *[("fence", *item) for item in product(ORDERERS, NAMES)],
    *[("promote", orderer) for orderer in ORDERERS] * 2,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(steps=st.lists(st.sampled_from(STEPS), min_size=25, max_size=25))
def test_acknowledged_write_survives_every_promotion(steps):
    """Guards against loss of an acknowledged write in a failover."""
    history = GroupHistory()
    for name, *arguments in steps:
        getattr(history, name)(*arguments)
        history.check()


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
    database.expire_transactions(TRANSACTION_IDLE_TIMEOUT_SECONDS)
    with pytest.raises(TransactionClosed):
        database.run(1, insert, TRANSACTION_IDLE_TIMEOUT_SECONDS)

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
    database.fence(FenceRequest(group="hives", database="a", term=2, orderer="north"))
    before = database.position
    for connection, call in ((2, insert), (1, make_call(action=Action.COMMIT))):
        with pytest.raises(UpstreamFenced) as caught:
            database.run(connection, call, 0.0)
        assert caught.value.outcome is Outcome.NOT_RUN
    order = PromoteRequest(group="hives", database="a", term=2, orderer="south")
    assert not database.promote(order).accepted
    order = PromoteRequest(group="hives", database="a", term=2, orderer="north")
    assert database.promote(order).position == LogPosition(2, before.offset + 1)
    with pytest.raises(UpstreamFenced):
        database.run(2, insert, 0.0)
    with pytest.raises(UpstreamError):
        late = make_call("select 1", minimum_position=LogPosition(2, 99))
        database.run(2, late, 0.0)
    assert read_names(database) == []


def test_superseded_member_is_not_promoted():
    """Guards against two primaries of one term after an orderer repeats itself."""
    group = MemoryGroup("hives", NAMES, read_time=lambda: 0.0)
    for name in ("b", "c"):
        order = FenceRequest(group="hives", database=name, term=2, orderer="north")
        assert group.get_database(name).fence(order).accepted
    orders = {
        name: PromoteRequest(group="hives", database=name, term=2, orderer="north")
        for name in NAMES
    }
    assert group.get_database("b").promote(orders["b"]).accepted
    assert group.replicate("b", "c")
    assert not group.get_database("c").promote(orders["c"]).accepted
    # The old primary learns the term from the log, not from a fence.
    assert group.replicate("b", "a")
    assert not group.get_database("a").promote(orders["a"]).accepted
    group.restart("c")
    assert group.replicate("b", "c")
    assert group.get_database("c").position == group.get_database("b").position


def test_restarted_member_takes_entries_but_has_no_vote():
    """Guards against a vote by a database that has forgotten its earlier votes."""
    group = MemoryGroup("hives", NAMES, read_time=lambda: 0.0)
    group.replicate_all()
    group.restart("b")
    database = group.get_database("b")
    order_fence = FenceRequest(group="hives", database="b", term=2, orderer="north")
    answer = database.fence(order_fence)
    assert (answer.accepted, answer.fenced_term) == (False, 0)
    assert group.replicate("a", "b")
    # The term and the orderer of the log don't give the vote back either.
    assert database.fenced_term == 1
    order = PromoteRequest(group="hives", database="b", term=1, orderer="initial")
    assert not database.promote(order).accepted
    assert database.report().is_recovering and not database.is_primary
    assert database.position == group.get_database("a").position

    admission = AdmitRequest(
        group="hives",
        database="b",
        term=1,
        position=database.position,
        incarnation=database.report().incarnation,
    )
    for change in (
        {"incarnation": "b/0"},
        {"term": 2},
        {"position": LogPosition(1, database.position.offset + 1)},
    ):
        assert database.admit(replace(admission, **change)).is_recovering
    for _ in range(2):
        assert not database.admit(admission).is_recovering
    assert database.fence(order_fence).accepted


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
        order = FenceRequest(group="hives", database=name, term=2, orderer="north")
        group.get_database(name).fence(order)
    new.promote(PromoteRequest(group="hives", database="b", term=2, orderer="north"))

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
    later = IDEMPOTENCY_RETENTION_SECONDS + 2.0
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
