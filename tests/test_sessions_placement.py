"""Choice of database and connection, with a simulated clock."""

from collections import Counter

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
    READ,
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
    """Return a placement in data centre x that knows three databases."""
    placement = Placement("x")
    placement.handle(make_routes_changed(), NOW)
    placement.handle(make_directory(), NOW)
    placement.handle(make_confirmed(confirmed_at, **fields), NOW)
    if seen_at is not None:
        placement.handle(PositionSeen("g", POSITION, seen_at), NOW)
    return placement


def open_all(placement, emissions, now=NOW):
    """Open the requested connections.

    :returns: the commands to run statements, also those that follow.
    """
    runs = select(emissions, "connections", RunStatement)
    for command in select(emissions, "connections", OpenConnection):
        opened = ConnectionOpened(command.connection_id, POSITION, now)
        runs += select(placement.handle(opened, now), "connections", RunStatement)
    return runs


def run_request(placement, request, now=NOW):
    """Handle a request and open the connection that it needs.

    :returns: the only command to run a statement.
    """
    (run,) = open_all(placement, placement.handle(request, now), now)
    return run


def make_finished(run, **fields):
    """Return the outcome of a statement, successful unless fields say otherwise."""
    return StatementFinished(
        connection_id=run.connection_id,
        is_answered=fields.pop("is_answered", True),
        is_usable=fields.pop("is_usable", True),
        n_setup=fields.pop("n_setup", len(run.setup)),
        asked_at=fields.pop("asked_at", NOW),
        **fields,
    )


def test_bounded_read_requires_the_known_position_of_the_primary():
    """Guards against a replica read that misses a commit older than the bound."""
    run = run_request(make_placement(), make_statement_request())
    assert run.dispatch.database in ("r1", "r2")
    assert run.dispatch.minimum_position == POSITION


def test_own_write_raises_the_minimum_position():
    """Guards against a session that does not read its own write."""
    own = LogPosition(3, 1300)
    request = make_statement_request(route=LOGS_ROUTE, minimum_position=own)
    assert run_request(make_placement(), request).dispatch.minimum_position == own


def test_old_evidence_sends_a_read_to_the_primary():
    """Guards against a replica read at a position older than the route accepts."""
    placement = make_placement(seen_at=NOW - 1.5)
    run = run_request(placement, make_statement_request())
    assert (run.dispatch.database, run.dispatch.minimum_position) == ("p", None)


def test_read_without_evidence_and_lease_is_refused_as_not_run():
    """Guards against a read while nothing is known of the primary."""
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


def test_primary_is_not_used_during_its_change():
    """Guards against use of a primary after the record states its change."""
    placement = make_placement(phase=GroupPhase.CHANGING)
    request = make_statement_request(statement=WRITE, route=BOOKINGS_ROUTE)
    (result,) = select(placement.handle(request, NOW), "result", StatementResult)
    assert result.code is ErrorCode.BUSY


def test_primary_that_restarted_empty_is_not_used():
    """Guards against a primary that restarted under its name and lost its log."""
    placement = make_placement()
    restarted = make_database("p", "x", is_primary=True, born_ms=2)
    placement.handle(make_directory((restarted, *DATABASES[1:])), NOW)
    request = make_statement_request(statement=WRITE, route=BOOKINGS_ROUTE)
    (result,) = select(placement.handle(request, NOW), "result", StatementResult)
    assert result.code is ErrorCode.BUSY


def test_commit_of_writes_requires_the_primary_lease():
    """Guards against a commit at a primary that was replaced in the meantime."""
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    placement.handle(make_finished(run_request(placement, first)), NOW)
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
    run = run_request(placement, first)
    placement.handle(make_finished(run), NOW)
    other = run_request(placement, make_statement_request(2, WRITE, BOOKINGS_ROUTE))
    later = make_statement_request(
        3, WRITE, BOOKINGS_ROUTE, step=TransactionStep.LATER, session_id=7
    )
    assert run_request(placement, later).connection_id == run.connection_id
    assert other.connection_id != run.connection_id


def test_abandoned_transaction_is_rolled_back_before_reuse():
    """Guards against a statement inside the transaction of a closed session."""
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    run = run_request(placement, first)
    placement.handle(make_finished(run), NOW)
    emissions = placement.handle(TransactionAbandoned(7), NOW)
    assert select(emissions, "connections") == [RollBack(run.connection_id)]
    other = run_request(placement, make_statement_request(2, WRITE, BOOKINGS_ROUTE))
    assert other.connection_id != run.connection_id


def test_connection_gets_the_variables_of_the_session():
    """Guards against a statement that runs with another session's variables."""
    placement = make_placement()
    run = run_request(
        placement,
        make_statement_request(
            1, WRITE, BOOKINGS_ROUTE, session_variables=(("zone", "a"),)
        ),
    )
    assert [step.statement.argument for step in run.setup] == ["a"]
    placement.handle(make_finished(run), NOW)
    same = run_request(
        placement,
        make_statement_request(
            2, WRITE, BOOKINGS_ROUTE, session_variables=(("zone", "a"),)
        ),
    )
    assert (same.connection_id, same.setup) == (run.connection_id, ())
    placement.handle(make_finished(same), NOW)
    without_variables = run_request(
        placement, make_statement_request(3, WRITE, BOOKINGS_ROUTE)
    )
    assert [step.statement.kind.value for step in without_variables.setup] == ["reset"]


def test_read_without_an_answer_goes_to_another_database():
    """Guards against a read that fails because one database did not answer."""
    placement = make_placement()
    run = run_request(placement, make_statement_request())
    lost = make_finished(run, is_answered=False, is_usable=False)
    (retry,) = open_all(placement, placement.handle(lost, NOW + 0.4))
    assert retry.dispatch.database != run.dispatch.database


def test_write_without_an_answer_is_not_repeated():
    """Guards against a write that takes effect twice."""
    placement = make_placement()
    run = run_request(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    lost = make_finished(run, is_answered=False, is_usable=False)
    emissions = placement.handle(lost, NOW + 1.0)
    (result,) = select(emissions, "result", StatementResult)
    assert result.effect is Effect.UNKNOWN
    assert open_all(placement, emissions) == []


def test_lagging_replica_is_skipped_during_its_backoff():
    """Guards against a read that fails because one replica lags."""
    placement = make_placement()
    run = run_request(placement, make_statement_request())
    stale = make_finished(run, code=ErrorCode.STALE)
    (retry,) = open_all(placement, placement.handle(stale, NOW))
    assert retry.dispatch.database != run.dispatch.database


def test_position_of_the_primary_is_reported_with_the_send_time():
    """Guards against a position with a later time than it was valid for."""
    placement = make_placement()
    run = run_request(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    newer = LogPosition(3, 1210)
    emissions = placement.handle(make_finished(run, position=newer), NOW + 0.3)
    assert select(emissions, "seen", PositionSeen) == [PositionSeen("g", newer, NOW)]


def test_position_of_a_primary_without_lease_is_not_reported():
    """Guards against a position taken from a primary that was replaced."""
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    placement.handle(make_finished(run_request(placement, first)), NOW)
    later = NOW + PRIMARY_LEASE_SECONDS + 0.01
    read = make_statement_request(
        2,
        WRITE,
        BOOKINGS_ROUTE,
        step=TransactionStep.LATER,
        session_id=7,
        received_at=later,
    )
    run = run_request(placement, read, later)
    emissions = placement.handle(make_finished(run, position=POSITION), later)
    assert select(emissions, "seen", PositionSeen) == []


def test_failed_connection_reports_the_database_and_moves_the_read():
    """Guards against reads that wait for a database that does not answer."""
    placement = make_placement()
    (command,) = select(
        placement.handle(make_statement_request(), NOW), "connections", OpenConnection
    )
    emissions = placement.handle(
        ConnectionFailed(command.connection_id, None, "refused"), NOW
    )
    name = command.database.name
    assert select(emissions, "seen") == [DatabaseContact(name, False, NOW)]
    (retry,) = open_all(placement, emissions)
    assert retry.dispatch.database != name


def test_connection_to_a_full_database_is_retried_without_an_error():
    """Guards against a write refused because other instances hold all connections."""
    placement = make_placement()
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    (command,) = select(placement.handle(request, NOW), "connections", OpenConnection)
    full = ConnectionFailed(
        command.connection_id, ErrorCode.TOO_MANY_CONNECTIONS, "full"
    )
    assert select(placement.handle(full, NOW), "result") == []
    (run,) = open_all(placement, placement.tick(NOW + 0.06), NOW + 0.06)
    assert run.dispatch.request is request


def test_idle_connections_above_the_quota_are_closed_soon():
    """Guards against idle connections that block the slots of other instances.

    49 connections among 19 instances leave two for each.
    """
    from sardinemill.fleet.state import ReachableCoordinatorsChanged

    placement = make_placement()
    placement.handle(ReachableCoordinatorsChanged(("a",), 19), NOW)
    requests = [
        make_statement_request(number, WRITE, BOOKINGS_ROUTE) for number in range(4)
    ]
    runs = [run_request(placement, request) for request in requests]
    for run in runs:
        placement.handle(make_finished(run), NOW)
    closed = select(placement.tick(NOW + 0.5), "connections", CloseConnection)
    assert len(closed) == 2


def test_connections_are_not_shared_between_workspaces():
    """Guards against a statement that runs as another workspace."""
    placement = make_placement()
    run = run_request(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    placement.handle(make_finished(run), NOW)
    other = make_statement_request(2, WRITE, BOOKINGS_ROUTE, workspace="other")
    (command,) = select(placement.handle(other, NOW), "connections", OpenConnection)
    assert command.workspace == "other"


def test_statement_queued_past_its_deadline_is_refused_as_not_run():
    """Guards against a request that stays queued after its deadline."""
    placement = make_placement()
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    placement.handle(request, NOW)
    (result,) = select(placement.tick(NOW + 1.01), "result", StatementResult)
    assert (result.code, result.effect) == (ErrorCode.BUSY, Effect.NOT_RUN)


def test_leaving_database_gets_no_reads():
    """Guards against new statements for a database that is about to stop."""
    placement = make_placement()
    leaving = make_database("r1", "y", is_leaving=True)
    placement.handle(make_directory((DATABASES[0], leaving, DATABASES[2])), NOW)
    for number in range(5):
        run = run_request(placement, make_statement_request(number, route=STATUS_ROUTE))
        assert run.dispatch.database != "r1"


def test_write_answered_after_the_lease_ended_is_not_acknowledged():
    """Guards against an acknowledged write at a primary that was replaced."""
    placement = make_placement()
    run = run_request(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    emissions = placement.handle(make_finished(run), NOW + PRIMARY_LEASE_SECONDS + 0.01)
    (result,) = select(emissions, "result", StatementResult)
    assert (result.is_answered, result.effect) == (False, Effect.UNKNOWN)


def test_commit_is_aborted_when_the_connection_of_its_transaction_was_lost():
    """Guards against a commit that runs as an empty transaction on another connection
    and acknowledges lost writes to the client.

    Found by a fault-injection run: reborn-behind-a-cut, seed 600334604301, rule PINNED.
    """
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    run = run_request(placement, first)
    placement.handle(make_finished(run), NOW)
    placement.handle(ConnectionFailed(run.connection_id, None, "ended while idle"), NOW)
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


def test_instances_of_a_data_centre_without_databases_spread_their_reads():
    """Guards against a fleet in which all instances prefer the same one of several
    equally near replicas, so that it is busy while the others idle.
    """
    chosen = Counter()
    for number in range(60):
        placement = Placement("other", f"front-{number}")
        placement.handle(make_routes_changed(), NOW)
        placement.handle(make_directory(), NOW)
        placement.handle(make_confirmed(NOW), NOW)
        placement.handle(PositionSeen("g", POSITION, NOW), NOW)
        run = run_request(placement, make_statement_request())
        chosen[run.dispatch.database] += 1
    assert set(chosen) == {"r1", "r2"}
    assert min(chosen.values()) >= 15


def open_idle_connection(placement):
    """Run a write and return the connection that it leaves idle."""
    run = run_request(placement, make_statement_request(1, WRITE, BOOKINGS_ROUTE))
    placement.handle(make_finished(run), NOW)
    return run.connection_id


def test_statement_on_a_connection_that_ended_meanwhile_is_repeated():
    """Guards against a statement without any result: its connection has ended while it
    was idle, and the statement was assigned before that was known. It was not sent, so
    even a write may use another connection.
    """
    placement = make_placement()
    connection_id = open_idle_connection(placement)
    request = make_statement_request(2, WRITE, BOOKINGS_ROUTE)
    emissions = placement.handle(request, NOW)
    (run,) = select(emissions, "connections", RunStatement)
    assert run.connection_id == connection_id
    lost = ConnectionFailed(connection_id, None, "ended while idle")
    emissions = placement.handle(lost, NOW)
    assert select(emissions, "result") == []
    (again,) = open_all(placement, emissions)
    assert again.dispatch.request == request
    # The connection task may report the lost command as well.
    late = make_finished(run, is_answered=False, is_usable=False, asked_at=0.0)
    assert placement.handle(late, NOW) == []


def test_transaction_on_a_connection_that_ended_meanwhile_fails():
    """Guards against a transaction that continues on another connection, and against
    its statement getting no result.
    """
    placement = make_placement()
    first = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST, session_id=7
    )
    run = run_request(placement, first)
    placement.handle(make_finished(run), NOW)
    later = make_statement_request(
        2, WRITE, BOOKINGS_ROUTE, step=TransactionStep.LATER, session_id=7
    )
    placement.handle(later, NOW)
    lost = ConnectionFailed(run.connection_id, None, "ended while idle")
    (result,) = select(placement.handle(lost, NOW), "result", StatementResult)
    assert (result.request, result.effect) == (later, Effect.NOT_RUN)
    assert result.code is ErrorCode.BUSY


def test_read_on_a_connection_that_ended_meanwhile_is_repeated():
    """Guards against a refusal where another connection can run the read."""
    placement = make_placement(seen_at=None)
    connection_id = open_idle_connection(placement)
    request = make_statement_request(2, READ, BOOKINGS_ROUTE)
    placement.handle(request, NOW)
    lost = ConnectionFailed(connection_id, None, "ended while idle")
    emissions = placement.handle(lost, NOW)
    assert select(emissions, "result") == []
    (run,) = open_all(placement, emissions)
    assert run.dispatch.request == request
