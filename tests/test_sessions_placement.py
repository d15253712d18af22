"""Choice of database and connection, with a hand-moved clock."""

from sardinemill.fleet.primary_lease import PRIMARY_LEASE_SECONDS
from sardinemill.fleet.records import GroupPhase
from sardinemill.fleet.views import DatabaseContact, PositionSeen
from sardinemill.positions import LogPosition
from sardinemill.sessions.connection_messages import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    OpenConnection,
    RollBack,
    RunStatement,
    StatementFinished,
)
from sardinemill.sessions.messages import (
    Effect,
    ErrorCode,
    StatementResult,
    TransactionAbandoned,
    TransactionStep,
)
from sardinemill.sessions.placement import Placement
from session_builders import (
    BOOKINGS_ROUTE,
    COMMIT,
    DATABASES,
    LOGS_ROUTE,
    STATUS_ROUTE,
    WRITE,
    make_confirmed,
    make_database,
    make_directory,
    make_routes_changed,
    make_statement_request,
    select,
)

NOW = 100.0
POSITION = LogPosition(3, 1207)


def make_placement(confirmed_at=NOW, seen_at=NOW, **fields):
    """Placement in data centre x that knows three databases."""
    placement = Placement("x")
    placement.handle(make_routes_changed(), NOW)
    placement.handle(make_directory(), NOW)
    placement.handle(make_confirmed(confirmed_at, **fields), NOW)
    if seen_at is not None:
        placement.handle(PositionSeen("g", POSITION, seen_at), NOW)
    return placement


def open_all(placement, emissions, now=NOW):
    """Open what was asked for.

    :returns: the statements that run then.
    """
    runs = select(emissions, "connections", RunStatement)
    for command in select(emissions, "connections", OpenConnection):
        opened = ConnectionOpened(command.number, POSITION, now)
        runs += select(placement.handle(opened, now), "connections", RunStatement)
    return runs


def ask(placement, request, now=NOW):
    """Hand in a request.

    :returns: the one statement that runs for it.
    """
    (run,) = open_all(placement, placement.handle(request, now), now)
    return run


def finish(run, **fields):
    """Successful outcome of a statement, or another one."""
    return StatementFinished(
        number=run.number,
        is_answered=fields.pop("is_answered", True),
        is_usable=fields.pop("is_usable", True),
        n_setup=fields.pop("n_setup", len(run.setup)),
        asked_at=fields.pop("asked_at", NOW),
        **fields,
    )


def test_bounded_read_goes_to_a_replica_with_the_position_seen():
    """Guards against a replica read that lacks a commit older than the bound."""
    run = ask(make_placement(), make_statement_request())
    assert run.dispatch.database in ("r1", "r2")
    assert run.dispatch.minimum_position == POSITION


def test_own_write_raises_the_floor():
    """Guards against a session that does not read its own write."""
    own = LogPosition(3, 1300)
    request = make_statement_request(route=LOGS_ROUTE, minimum_position=own)
    assert ask(make_placement(), request).dispatch.minimum_position == own


def test_old_evidence_sends_a_read_to_the_primary():
    """Guards against a replica read whose floor is older than the route accepts."""
    placement = make_placement(seen_at=NOW - 1.5)
    run = ask(placement, make_statement_request())
    assert (run.dispatch.database, run.dispatch.minimum_position) == ("p", None)


def test_no_evidence_and_no_right_refuses_a_read_as_not_run():
    """Guards against any read when nothing is known of the primary."""
    placement = make_placement(
        confirmed_at=NOW - PRIMARY_LEASE_SECONDS - 0.01, seen_at=None
    )
    (result,) = select(
        placement.handle(make_statement_request(), NOW), "result", StatementResult
    )
    assert (result.code, result.effect) == (ErrorCode.BUSY, Effect.NOT_RUN)


def test_primary_is_not_used_without_fresh_evidence():
    """Guards against writes and reads at a primary that may have been replaced."""
    placement = make_placement(confirmed_at=NOW - PRIMARY_LEASE_SECONDS - 0.01)
    request = make_statement_request(statement=WRITE, route=BOOKINGS_ROUTE)
    (result,) = select(placement.handle(request, NOW), "result", StatementResult)
    assert result.code is ErrorCode.BUSY


def test_primary_is_not_used_while_it_changes():
    """Guards against use of a primary after a change was written."""
    placement = make_placement(phase=GroupPhase.CHANGING)
    request = make_statement_request(statement=WRITE, route=BOOKINGS_ROUTE)
    (result,) = select(placement.handle(request, NOW), "result", StatementResult)
    assert result.code is ErrorCode.BUSY


def test_primary_that_restarted_empty_is_not_used():
    """Guards against a database that took its old name and lost its log."""
    placement = make_placement()
    reborn = make_database("p", "x", is_primary=True, born_ms=2)
    placement.handle(make_directory((reborn, *DATABASES[1:])), NOW)
    request = make_statement_request(statement=WRITE, route=BOOKINGS_ROUTE)
    (result,) = select(placement.handle(request, NOW), "result", StatementResult)
    assert result.code is ErrorCode.BUSY


def test_commit_of_writes_needs_the_right_again():
    """Guards against a commit at a primary that was replaced in the meantime."""
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    placement.handle(finish(ask(placement, first)), NOW)
    later = NOW + PRIMARY_LEASE_SECONDS + 0.01
    commit = make_statement_request(
        2, COMMIT, BOOKINGS_ROUTE, step=TransactionStep.COMMIT, session_id=7
    )
    (result,) = select(placement.handle(commit, later), "result", StatementResult)
    assert result.code is ErrorCode.ABORTED


def test_transaction_stays_on_its_connection():
    """Guards against statements of one transaction on different connections."""
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    run = ask(placement, first)
    placement.handle(finish(run), NOW)
    other = ask(placement, make_statement_request(2, WRITE, BOOKINGS_ROUTE))
    later = make_statement_request(
        3, WRITE, BOOKINGS_ROUTE, step=TransactionStep.LATER, session_id=7
    )
    assert ask(placement, later).number == run.number
    assert other.number != run.number


def test_abandoned_transaction_is_rolled_back_before_reuse():
    """Guards against a statement inside the transaction of a client that left."""
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    run = ask(placement, first)
    placement.handle(finish(run), NOW)
    emissions = placement.handle(TransactionAbandoned(7), NOW)
    assert select(emissions, "connections") == [RollBack(run.number)]
    other = ask(placement, make_statement_request(2, WRITE, BOOKINGS_ROUTE))
    assert other.number != run.number


def test_connection_gets_the_values_of_the_session():
    """Guards against a statement that runs with another session's values."""
    placement = make_placement()
    run = ask(
        placement,
        make_statement_request(
            1, WRITE, BOOKINGS_ROUTE, session_variables=(("zone", "a"),)
        ),
    )
    assert [step.statement.argument for step in run.setup] == ["a"]
    placement.handle(finish(run), NOW)
    same = ask(
        placement,
        make_statement_request(
            2, WRITE, BOOKINGS_ROUTE, session_variables=(("zone", "a"),)
        ),
    )
    assert (same.number, same.setup) == (run.number, ())
    placement.handle(finish(same), NOW)
    plain = ask(placement, make_statement_request(3, WRITE, BOOKINGS_ROUTE))
    assert [step.statement.kind.value for step in plain.setup] == ["reset"]


def test_read_without_an_answer_goes_to_another_database():
    """Guards against a read that is lost with one answer of a database."""
    placement = make_placement()
    run = ask(placement, make_statement_request())
    lost = finish(run, is_answered=False, is_usable=False)
    (again,) = open_all(placement, placement.handle(lost, NOW + 0.4))
    assert again.dispatch.database != run.dispatch.database


def test_write_without_an_answer_is_not_repeated():
    """Guards against a write that takes effect twice."""
    placement = make_placement()
    run = ask(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    lost = finish(run, is_answered=False, is_usable=False)
    emissions = placement.handle(lost, NOW + 1.0)
    (result,) = select(emissions, "result", StatementResult)
    assert result.effect is Effect.UNKNOWN
    assert open_all(placement, emissions) == []


def test_replica_that_lags_is_passed_over_for_a_while():
    """Guards against a read that fails because one replica lacks a position."""
    placement = make_placement()
    run = ask(placement, make_statement_request())
    stale = finish(run, code=ErrorCode.STALE)
    (again,) = open_all(placement, placement.handle(stale, NOW))
    assert again.dispatch.database != run.dispatch.database


def test_position_of_the_primary_is_told_with_the_time_of_the_question():
    """Guards against a floor that claims to be younger than it is."""
    placement = make_placement()
    run = ask(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    newer = LogPosition(3, 1210)
    emissions = placement.handle(finish(run, position=newer), NOW + 0.3)
    assert select(emissions, "seen", PositionSeen) == [PositionSeen("g", newer, NOW)]


def test_position_of_a_primary_without_right_is_not_told():
    """Guards against a floor taken from a primary that was replaced."""
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    placement.handle(finish(ask(placement, first)), NOW)
    later = NOW + PRIMARY_LEASE_SECONDS + 0.01
    read = make_statement_request(
        2,
        WRITE,
        BOOKINGS_ROUTE,
        step=TransactionStep.LATER,
        session_id=7,
        received_at=later,
    )
    run = ask(placement, read, later)
    emissions = placement.handle(finish(run, position=POSITION), later)
    assert select(emissions, "seen", PositionSeen) == []


def test_failed_connection_reports_the_database_and_moves_the_read():
    """Guards against reads that wait for a database that does not answer."""
    placement = make_placement()
    (command,) = select(
        placement.handle(make_statement_request(), NOW), "connections", OpenConnection
    )
    emissions = placement.handle(ConnectionFailed(command.number, None, "refused"), NOW)
    name = command.database.name
    assert select(emissions, "seen") == [DatabaseContact(name, False, NOW)]
    (again,) = open_all(placement, emissions)
    assert again.dispatch.database != name


def test_full_database_is_asked_again_without_an_error():
    """Guards against a refused write because other instances hold all connections."""
    placement = make_placement()
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    (command,) = select(placement.handle(request, NOW), "connections", OpenConnection)
    full = ConnectionFailed(command.number, ErrorCode.TOO_MANY_CONNECTIONS, "full")
    assert select(placement.handle(full, NOW), "result") == []
    (run,) = open_all(placement, placement.tick(NOW + 0.06), NOW + 0.06)
    assert run.dispatch.request is request


def test_idle_connections_above_the_share_are_closed_soon():
    """Guards against connections that one instance keeps from all others.

    49 connections among 19 instances leave two for each.
    """
    from sardinemill.fleet.state import ReachableCoordinatorsChanged

    placement = make_placement()
    placement.handle(ReachableCoordinatorsChanged(("a",), 19), NOW)
    requests = [
        make_statement_request(number, WRITE, BOOKINGS_ROUTE) for number in range(4)
    ]
    runs = [ask(placement, request) for request in requests]
    for run in runs:
        placement.handle(finish(run), NOW)
    closed = select(placement.tick(NOW + 0.5), "connections", CloseConnection)
    assert len(closed) == 2


def test_connections_are_not_shared_between_workspaces():
    """Guards against a statement that runs under another workspace's name."""
    placement = make_placement()
    run = ask(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    placement.handle(finish(run), NOW)
    other = make_statement_request(2, WRITE, BOOKINGS_ROUTE, workspace="other")
    (command,) = select(placement.handle(other, NOW), "connections", OpenConnection)
    assert command.workspace == "other"


def test_statement_that_waits_too_long_is_refused_as_not_run():
    """Guards against a request that is held after its time without being run."""
    placement = make_placement()
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    placement.handle(request, NOW)
    (result,) = select(placement.tick(NOW + 1.01), "result", StatementResult)
    assert (result.code, result.effect) == (ErrorCode.BUSY, Effect.NOT_RUN)


def test_leaving_databases_get_no_reads():
    """Guards against new work for a database that is about to stop."""
    placement = make_placement()
    leaving = make_database("r1", "y", is_leaving=True)
    placement.handle(make_directory((DATABASES[0], leaving, DATABASES[2])), NOW)
    for number in range(5):
        run = ask(placement, make_statement_request(number, route=STATUS_ROUTE))
        assert run.dispatch.database != "r1"


def test_write_that_is_answered_after_the_right_ended_is_not_acknowledged():
    """Guards against an acknowledged write at a primary that was replaced."""
    placement = make_placement()
    run = ask(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    emissions = placement.handle(finish(run), NOW + PRIMARY_LEASE_SECONDS + 0.01)
    (result,) = select(emissions, "result", StatementResult)
    assert (result.is_answered, result.effect) == (False, Effect.UNKNOWN)


def test_commit_is_aborted_when_the_connection_of_its_transaction_was_lost():
    """Guards against a commit that runs in an empty transaction on another connection
    and tells the client that its lost writes are kept.

    Found by a hunted day: reborn-behind-a-cut, seed 600334604301, rule PINNED.
    """
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    run = ask(placement, first)
    placement.handle(finish(run), NOW)
    placement.handle(ConnectionFailed(run.number, None, "ended while idle"), NOW)
    commit = make_statement_request(
        2,
        COMMIT,
        BOOKINGS_ROUTE,
        step=TransactionStep.COMMIT,
        session_id=7,
        has_begun=True,
    )
    emissions = placement.handle(commit, NOW)
    (result,) = select(emissions, "result", StatementResult)
    assert result.code is ErrorCode.ABORTED
    assert select(emissions, "connections") == []
