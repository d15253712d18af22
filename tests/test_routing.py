"""Routing of requests to databases, and retries after failed executions."""

from dataclasses import replace

from replication_simulation import (
    DATABASES,
    GROUP,
    HOMES,
    make_execution,
    make_report,
    make_request,
)
from sardinemill.errors import Outcome
from sardinemill.filters.positions_table import derive_watermark
from sardinemill.filters.routing import Routing
from sardinemill.messages import (
    Action,
    Execution,
    Refusal,
    RefusalCode,
    RoutedRequest,
    StatementKind,
)
from sardinemill.positions import LogPosition
from sardinemill.replication import GroupsChanged, Role

READ = make_request("r1", StatementKind.READ, deadline=5.0, staleness_seconds=1.0)
BEGIN = make_request("b1", StatementKind.WRITE, deadline=5.0)
BEGIN = replace(BEGIN, action=Action.BEGIN, statement=None)


def start(**leaving: bool) -> Routing:
    """Return a filter that knows ``db0`` as primary of term 2 and two replicas.

    All databases are at the same position.

    :param leaving: databases that are draining.
    """
    routing = Routing()
    routing.handle(GroupsChanged(groups=(GROUP,), homes=(("hives", HOMES),)), 0.0)
    for name in DATABASES:
        report = make_report(
            name,
            2,
            10,
            2,
            role=Role.PRIMARY if name == "db0" else Role.REPLICA,
            is_leaving=leaving.get(name, False),
            asked_at=0.5,
            received_at=0.6,
        )
        routing.handle(report, 0.6)
    return routing


def submit(routing: Routing, request, now: float = 1.0) -> RoutedRequest:
    """Handle a request and return the only message that it emits."""
    (emission,) = routing.handle(request, now)
    return emission.message


def fail(routed: RoutedRequest, outcome: Outcome) -> Execution:
    """Return the execution of a call that failed upstream."""
    refusal = Refusal(
        request_id=routed.request.request_id,
        code=RefusalCode.UPSTREAM,
        outcome=outcome,
        step="execution",
    )
    return Execution(routed=routed, result=None, failure=refusal, service_seconds=0.0)


def test_answer_below_the_minimum_position_is_not_used():
    """Guards against a replica whose log was truncated after its last report."""
    routing = start()
    routed = submit(routing, READ)
    assert routed.is_replica and routed.minimum_position == LogPosition(2, 10)
    tried = []
    while isinstance(routed, RoutedRequest):
        tried.append(routed.database)
        short = make_execution(routed, position=LogPosition(1, 30))
        emissions = routing.handle(short, 1.0 + len(tried))
        while not emissions:
            emissions = routing.tick(routing.next_tick)
        routed = emissions[0].message
    assert set(tried[:3]) == set(DATABASES)
    assert routed.outcome is Outcome.NOT_RUN


def test_stale_primary_and_fenced_replica_prove_no_watermark():
    """Guards against reads of a primary that a majority has superseded."""
    stale = make_report("db0", 1, 50, 1, role=Role.PRIMARY, asked_at=1.0)
    fenced = make_report("db1", 1, 40, 2, asked_at=1.0)
    up_to_date = make_report("db2", 1, 40, 1, asked_at=0.8)
    assert derive_watermark(GROUP, {"db0": stale, "db1": fenced}) is None
    assert derive_watermark(GROUP, {"db0": stale}) is None
    watermark = derive_watermark(GROUP, {"db0": stale, "db2": up_to_date})
    assert (watermark.started_at, watermark.position) == (0.8, LogPosition(1, 50))


def test_leaving_database_gets_no_new_work():
    """Guards against reads and writes that are routed to a draining database."""
    routing = start(db0=True, db1=True)
    assert {submit(routing, READ).database for _ in range(4)} == {"db2"}
    assert not routing.handle(BEGIN, 1.0)
    (refusal,) = routing.tick(routing.next_tick)
    assert refusal.message.outcome is Outcome.NOT_RUN


def test_transaction_stays_on_the_database_of_its_begin():
    """Guards against a statement of a transaction on another database after a
    failover, and against *not run* for a commit that may have taken effect.
    """
    routing = start()
    routed = submit(routing, BEGIN)
    assert (routed.database, routed.expected_term) == ("db0", 2)
    begun = make_execution(routed, transaction_id="t1", is_primary=True)
    routing.handle(begun, 1.1)
    report = make_report(
        "db1", 3, 11, 3, role=Role.PRIMARY, asked_at=1.2, received_at=1.3
    )
    routing.handle(report, 1.3)
    commit = replace(BEGIN, request_id="c1", action=Action.COMMIT, transaction_id="t1")
    last = submit(routing, commit, 1.4)
    assert last.database == "db0"
    routing.handle(fail(last, Outcome.UNKNOWN), 1.5)
    assert submit(routing, commit, 1.6).outcome is Outcome.UNKNOWN
    statement = replace(commit, action=Action.TRANSACTION_STATEMENT)
    assert submit(routing, statement, 1.6).outcome is Outcome.NOT_RUN


def test_write_is_repeated_only_when_it_certainly_did_not_run():
    """Guards against a write that runs twice."""
    routing = start()
    write = make_request("w1", StatementKind.WRITE, deadline=5.0)
    routed = submit(routing, write)
    (emission,) = routing.handle(fail(routed, Outcome.UNKNOWN), 1.1)
    assert emission.outlet == "executed"
    emissions = routing.handle(fail(routed, Outcome.NOT_RUN), 1.2)
    assert {item.outlet for item in emissions} == {"probe"}
    report = make_report(
        "db0", 2, 11, 2, role=Role.PRIMARY, asked_at=1.25, received_at=1.3
    )
    emissions = list(routing.handle(report, 1.3)) + list(routing.tick(1.4))
    assert [item.message.tried for item in emissions] == [("db0",)]
