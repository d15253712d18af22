"""Databases that leave: use until a deadline, and failovers without a candidate."""

from dataclasses import replace

import pytest

from sardinemill.fleet.failover import (
    MAX_RECORDED_TERM_WAIT_SECONDS,
    TAKEOVER_DELAY_SECONDS,
)
from sardinemill.fleet.failover_messages import DatabaseStatus
from sardinemill.fleet.records import GroupPhase
from sardinemill.fleet.views import PositionSeen
from sardinemill.sessions.connection_messages import OpenConnection, RunStatement
from sardinemill.sessions.database_usage import GracePeriods
from sardinemill.sessions.databases import REMOVAL_GRACE_SECONDS
from sardinemill.sessions.gateway import Gateway
from sardinemill.sessions.messages import (
    Effect,
    ErrorCode,
    StatementResult,
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
    make_directory,
    make_record,
    make_routes_changed,
    make_statement_request,
    select,
)
from test_fleet_failover import make_harness, make_status
from test_gateways import GATEWAYS, make_network, make_write
from test_sessions_placement import NOW, POSITION, make_finished, open_all

GRACE_SECONDS = 1.0
LATER = NOW + GRACE_SECONDS
SLOW_STATUS_ROUTE = replace(STATUS_ROUTE, timeout_seconds=9.0)
GRACE_PERIODS = GracePeriods(leave_seconds=GRACE_SECONDS)


def make_leaving(*names):
    """Return the message that announces the databases, some of which leave."""
    return make_directory(
        replace(item, is_leaving=item.name in names) for item in DATABASES
    )


def keep_lease(placement, now):
    """Renew the primary lease and the position of the primary."""
    placement.handle(make_confirmed(now), now)
    placement.handle(PositionSeen("g", POSITION, now), now)


def make_placement(directory=None):
    """Return a placement that knows three databases and leases the primary."""
    placement = Placement("x", grace_periods=GRACE_PERIODS)
    placement.handle(make_routes_changed(), NOW)
    placement.handle(directory or make_directory(), NOW)
    keep_lease(placement, NOW)
    return placement


def find_opened(emissions):
    """Return the databases to which connections are opened."""
    commands = select(emissions, "connections", OpenConnection)
    return [command.database.name for command in commands]


def find_refusals(emissions):
    """Return code, effect and database of the results."""
    return [
        (item.code, item.effect, item.database)
        for item in select(emissions, "result", StatementResult)
    ]


def make_transaction_request(number, statement, step, **fields):
    """Return a request of the only transaction."""
    has_begun = step is not TransactionStep.FIRST
    return make_statement_request(
        number,
        statement,
        BOOKINGS_ROUTE,
        step=step,
        session_id=1,
        has_begun=has_begun,
        is_read_only=False,
        **fields,
    )


@pytest.mark.parametrize(
    ("route", "statement", "step"),
    [
        (BOOKINGS_ROUTE, WRITE, TransactionStep.NONE),
        (BOOKINGS_ROUTE, WRITE, TransactionStep.FIRST),
        (BOOKINGS_ROUTE, READ, TransactionStep.NONE),
        (STATUS_ROUTE, READ, TransactionStep.NONE),
        (LOGS_ROUTE, READ, TransactionStep.NONE),
    ],
)
def test_group_that_leaves_serves_until_the_deadline_and_then_refuses(
    route, statement, step
):
    """Guards against new work at a leaving database after its deadline (review/7),
    against a wait for work that cannot run, and against a refusal before it.
    """
    placement = make_placement()
    placement.handle(make_leaving("p", "r1", "r2"), NOW)
    request = make_statement_request(1, statement, route, step=step)
    (run,) = open_all(placement, placement.handle(request, NOW))
    assert run.dispatch.database == "p"
    keep_lease(placement, LATER)
    request = make_statement_request(
        2, statement, route, step=step, received_at=LATER, session_id=2
    )
    emissions = placement.handle(request, LATER)
    assert find_refusals(emissions) == [(ErrorCode.BUSY, Effect.NOT_RUN, "")]


def test_open_transaction_ends_after_the_deadline():
    """Guards against a transaction that is broken off while its database serves it."""
    placement = make_placement()
    first = make_transaction_request(1, WRITE, TransactionStep.FIRST)
    (run,) = open_all(placement, placement.handle(first, NOW))
    placement.handle(make_finished(run), NOW)
    placement.handle(make_leaving("p"), NOW)
    keep_lease(placement, LATER)
    for number, statement, step in (
        (2, WRITE, TransactionStep.LATER),
        (3, COMMIT, TransactionStep.COMMIT),
    ):
        request = make_transaction_request(number, statement, step, received_at=LATER)
        emissions = placement.handle(request, LATER)
        (run,) = select(emissions, "connections", RunStatement)
        emissions = placement.handle(make_finished(run), LATER)
        (result,) = select(emissions, "result", StatementResult)
        assert result.code is None and result.is_answered


def test_instance_that_starts_while_a_primary_leaves_sends_it_no_new_work():
    """Guards against a deadline that begins anew with each start."""
    placement = make_placement(make_leaving("p"))
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    assert [code for code, _, _ in find_refusals(placement.handle(request, NOW))] == [
        ErrorCode.BUSY
    ]


def test_database_that_started_again_has_no_deadline():
    """Guards against the deadline of an earlier process with the same name."""
    placement = make_placement()
    placement.handle(make_leaving("r1"), NOW)
    reborn = [replace(item, born_ms=2) for item in DATABASES if item.name == "r1"]
    placement.handle(make_directory([DATABASES[0], *reborn]), LATER)
    keep_lease(placement, LATER)
    request = make_statement_request(1, received_at=LATER)
    assert find_opened(placement.handle(request, LATER)) == ["r1"]


def test_statements_that_wait_for_a_leaving_primary_are_refused_at_the_deadline():
    """Guards against a statement that is sent after the deadline because it waited for
    a connection, and against one that waits on although it cannot run.
    """
    placement = make_placement()
    placement.handle(make_leaving("p", "r1", "r2"), NOW)
    route = replace(BOOKINGS_ROUTE, timeout_seconds=9.0)
    opening = placement.handle(make_statement_request(1, WRITE, route), NOW)
    within = NOW + GRACE_SECONDS / 2
    assert find_refusals(placement.tick(within)) == []
    keep_lease(placement, LATER)
    refusals = find_refusals(placement.tick(LATER))
    assert refusals == [(ErrorCode.BUSY, Effect.NOT_RUN, "")]
    assert open_all(placement, opening, LATER) == []


@pytest.mark.parametrize(
    ("is_gone", "seconds"), [(False, 0.0), (True, REMOVAL_GRACE_SECONDS)]
)
def test_read_that_waits_for_a_replica_is_placed_again_when_it_leaves(is_gone, seconds):
    """Guards against a read that is sent to a replica which leaves or has left."""
    placement = make_placement()
    request = make_statement_request(1, route=SLOW_STATUS_ROUTE)
    opening = placement.handle(request, NOW)
    (name,) = find_opened(opening)
    rest = [item for item in DATABASES if item.name != name]
    changed = make_directory(rest) if is_gone else make_leaving(name)
    emissions = list(placement.handle(changed, NOW))
    now = NOW + seconds
    keep_lease(placement, now)
    emissions += placement.tick(now)
    (other,) = find_opened(emissions)
    assert other != name
    runs = open_all(placement, [*opening, *emissions], now)
    assert [run.dispatch.database for run in runs] == [other]


def test_gateway_passes_back_what_waits_for_a_primary_after_the_deadline():
    """Guards against a gateway that learns late, and queues what others forward."""
    network = make_network()
    gateway = Gateway("x", GRACE_PERIODS)
    gateway.handle(make_routes_changed(), network.now)
    gateway.handle(make_directory(), network.now)
    network.instances[GATEWAYS["p"]].gateway = gateway
    gateway.handle(make_leaving("p"), network.now - GRACE_SECONDS)
    (result,) = network.request("e0", make_write())
    assert (result.code, result.gateway) == (None, "")


def lose(harness, *names):
    """Let databases answer no status query."""
    for name in names:
        harness.statuses[name] = DatabaseStatus(name, is_alive=False)


def test_leaving_primary_is_kept_while_its_candidates_are_cut_off():
    """Guards against a group without a primary because the candidate of a planned
    failover is listed but does not answer, and against a primary that stays once the
    candidate is back.
    """
    harness = make_harness()
    harness.failover.handle(make_leaving("p", "r1"), harness.now)
    harness.statuses["p"] = make_status("p", 9, is_primary=True)
    lose(harness, "r2")
    harness.run(5.0, alive=["p"])
    assert (harness.proposals, harness.group.phase) == ([], GroupPhase.STEADY)
    harness.statuses["r2"] = make_status("r2", 9)
    harness.run(3.0, alive=["p"])
    assert harness.group.primary == "r2"


def test_leaving_primary_is_kept_when_its_candidate_is_cut_off_during_the_failover():
    """Guards against a failover that waits for a lost candidate for 6 s, although the
    primary still serves.
    """
    harness = make_harness()
    harness.failover.handle(make_leaving("p", "r1"), harness.now)
    harness.statuses["p"] = make_status("p", 9, is_primary=True)
    harness.run(1.0, alive=["p"])
    assert harness.group.phase is GroupPhase.CHANGING
    lose(harness, "r2")
    harness.run(4.0, alive=["p"])
    assert harness.promotions == []
    assert (harness.group.primary, harness.group.phase) == ("p", GroupPhase.STEADY)


def test_leaving_primary_is_not_replaced_by_a_replica_that_lacks_entries():
    """Guards against the loss of acknowledged writes while the primary still has
    them.
    """
    harness = make_harness()
    harness.failover.handle(make_leaving("p"), harness.now)
    harness.statuses["p"] = make_status("p", 20, is_primary=True)
    harness.run(6.0, alive=["p"])
    assert harness.promotions == []


def test_primary_stays_while_its_whole_group_leaves():
    """Guards against a failover to a database that is about to end."""
    harness = make_harness()
    harness.failover.handle(make_leaving("p", "r1", "r2"), harness.now)
    harness.run(6.0, alive=["p"])
    assert (harness.promotions, harness.proposals) == ([], [])


def make_superseded_harness(**fields):
    """Return a harness in which r2 leads term 4, and only p of term 3 answers."""
    harness = make_harness(record=make_record("r2", term=4, **fields))
    harness.statuses = {"p": make_status("p", 20, term=3, is_primary=True)}
    lose(harness, "r1", "r2")
    return harness


def test_recorded_primary_that_was_dark_is_kept_over_a_superseded_one():
    """Guards against the promotion of an older term while the recorded primary is dark
    for 8.6 s (review/6, review/7).
    """
    harness = make_superseded_harness()
    harness.run(8.6, failing=["r2"])
    assert (harness.promotions, harness.group.phase) == ([], GroupPhase.CHANGING)
    harness.statuses["r2"] = make_status("r2", 9, term=4, is_primary=True)
    harness.run(1.0, alive=["r2"])
    assert harness.promotions == []
    assert (harness.group.primary, harness.group.phase) == ("r2", GroupPhase.STEADY)


def test_takeover_promotes_the_recorded_primary_rather_than_a_superseded_one():
    """Guards against the promotion of an older term by a coordinator that does not know
    what the first holder has ordered.
    """
    harness = make_superseded_harness(phase=GroupPhase.CHANGING)
    harness.statuses["r2"] = make_status("r2", 9, term=4, is_primary=True)
    harness.accepts_promotions = False
    harness.run(TAKEOVER_DELAY_SECONDS + 3.0, alive=["r2"])
    assert [command.database for _, command in harness.promotions] == ["r2"]


def test_superseded_database_is_promoted_when_no_other_one_returns():
    """Guards against a group that stays without a primary for ever."""
    harness = make_superseded_harness()
    harness.run(MAX_RECORDED_TERM_WAIT_SECONDS, failing=["r2"])
    assert harness.promotions == []
    harness.run(2.0, failing=["r2"])
    assert [command.database for _, command in harness.promotions] == ["p"]
