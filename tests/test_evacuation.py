"""Evacuation of data centres: use of their databases, and moves of primaries."""

import asyncio
from dataclasses import replace

import pytest
from soak.evacuations import EvacuationPeriod, check_evacuations
from soak.runs import SoakPlan, SoakRun

from sardinemill.fleet.configuration_cache import ConfigurationCache, make_digest
from sardinemill.fleet.records import Directory, GroupPhase
from sardinemill.fleet.views import DirectoryChanged, PositionSeen
from sardinemill.overview import read_overview
from sardinemill.platform.store_documents import decode_evacuations
from sardinemill.positions import LogPosition
from sardinemill.presentation import format_overview
from sardinemill.sessions.connection_messages import (
    CloseConnection,
    OpenConnection,
    RollBack,
    RunStatement,
)
from sardinemill.sessions.database_usage import (
    DatabaseCondition,
    GracePeriods,
    Usage,
    compute_grace_period,
    decide_usage,
)
from sardinemill.sessions.gateway import Gateway
from sardinemill.sessions.messages import ErrorCode, StatementResult, TransactionStep
from sardinemill.sessions.placement import Placement
from session_builders import (
    BOOKINGS_ROUTE,
    COMMIT,
    DATABASES,
    WRITE,
    make_confirmed,
    make_directory,
    make_record,
    make_routes_changed,
    make_statement_request,
    select,
)
from test_fleet_failover import make_harness
from test_gateways import GATEWAYS, make_network, make_write
from test_overview import FakeCountersSource, FakeFleetReader
from test_sessions_placement import NOW, POSITION, make_finished, open_all

GRACE_SECONDS = 1.0
GRACE_PERIODS = GracePeriods(
    evacuation_seconds=GRACE_SECONDS, leave_seconds=GRACE_SECONDS
)


def make_evacuated(*data_centres, databases=DATABASES):
    """Return the message that announces evacuated data centres."""
    directory = Directory(
        databases=tuple(databases), evacuated_data_centres=tuple(data_centres)
    )
    return DirectoryChanged(directory)


def make_placement():
    """Return a placement in data centre x that knows three databases."""
    placement = Placement("x", grace_periods=GRACE_PERIODS)
    placement.handle(make_routes_changed(), NOW)
    placement.handle(make_directory(), NOW)
    keep_lease(placement, NOW)
    return placement


def keep_lease(placement, now):
    """Renew the primary lease and the position of the primary."""
    placement.handle(make_confirmed(now), now)
    placement.handle(PositionSeen("g", POSITION, now), now)


def find_databases(emissions):
    """Return the databases to which connections are opened."""
    commands = select(emissions, "connections", OpenConnection)
    return [command.database.name for command in commands]


@pytest.mark.parametrize(
    ("condition", "expected"),
    [
        ({}, Usage.NEW_WORK),
        ({"leaving_seconds": 0.0}, Usage.PRIMARY_WORK),
        ({"leaving_seconds": GRACE_SECONDS}, Usage.OPEN_TRANSACTIONS),
        ({"is_lagging": True}, Usage.PRIMARY_WORK),
        ({"evacuated_seconds": 0.0}, Usage.PRIMARY_WORK),
        (
            {"evacuated_seconds": 0.0, "leaving_seconds": GRACE_SECONDS},
            Usage.OPEN_TRANSACTIONS,
        ),
        ({"evacuated_seconds": GRACE_SECONDS}, Usage.NOTHING),
        ({"evacuated_seconds": 9.0, "leaving_seconds": 0.0}, Usage.NOTHING),
    ],
)
def test_usage_of_a_database_follows_from_its_condition(condition, expected):
    """Guards against work at a database that must get none, and against a refusal
    without a reason.
    """
    decision = decide_usage(DatabaseCondition(**condition), GRACE_PERIODS)
    assert decision.usage is expected
    assert bool(decision.reason) == (expected is not Usage.NEW_WORK)


def test_grace_period_leaves_time_to_learn_of_an_evacuation():
    """Guards against a grace period that ends after the granted time at an instance
    which learned of the evacuation last.
    """
    assert compute_grace_period(5.0) == 1.0
    assert compute_grace_period(2.0) == 0.0


def test_reads_leave_an_evacuated_replica_at_once():
    """Guards against reads at a replica whose data centre is evacuated."""
    placement = make_placement()
    near = [replace(item, data_centre="x") for item in DATABASES]
    placement.handle(make_directory(near), NOW)
    moved = [replace(near[0], data_centre="y"), *near[1:-1], DATABASES[-1]]
    placement.handle(make_evacuated("x", databases=moved), NOW)
    assert find_databases(placement.handle(make_statement_request(), NOW)) == ["r2"]


def test_primary_serves_until_the_grace_period_ends():
    """Guards against refused writes while the failover has not begun, and against
    writes at an evacuated primary after the granted time.
    """
    placement = make_placement()
    placement.handle(make_evacuated("x"), NOW)
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    assert find_databases(placement.handle(request, NOW)) == ["p"]
    later = NOW + GRACE_SECONDS
    keep_lease(placement, later)
    request = make_statement_request(2, WRITE, BOOKINGS_ROUTE)
    (result,) = select(placement.handle(request, later), "result", StatementResult)
    assert (result.code, result.database) == (ErrorCode.BUSY, "")


def test_instance_that_starts_during_an_evacuation_uses_no_database_there():
    """Guards against a grace period that begins anew with each start."""
    placement = Placement("x", grace_periods=GRACE_PERIODS)
    placement.handle(make_routes_changed(), NOW)
    placement.handle(make_evacuated("x"), NOW)
    keep_lease(placement, NOW)
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    (result,) = select(placement.handle(request, NOW), "result", StatementResult)
    assert result.code is ErrorCode.BUSY


def test_evacuation_that_is_taken_back_ends_at_once():
    """Guards against a database that stays unused after the end of an evacuation."""
    placement = make_placement()
    placement.handle(make_evacuated("x"), NOW)
    later = NOW + 10.0
    placement.handle(make_directory(), later)
    keep_lease(placement, later)
    request = make_statement_request(2, WRITE, BOOKINGS_ROUTE)
    assert find_databases(placement.handle(request, later)) == ["p"]


def test_queued_statement_is_placed_again():
    """Guards against a statement that waits for a connection to an evacuated database
    and is sent there when the connection opens.
    """
    placement = make_placement()
    opened = placement.handle(make_statement_request(), NOW)
    (database,) = find_databases(opened)
    entry = next(item for item in DATABASES if item.name == database)
    emissions = placement.handle(make_evacuated(entry.data_centre), NOW)
    (other,) = find_databases(emissions)
    assert other != database
    late = open_all(placement, [*opened, *emissions])
    assert [run.dispatch.database for run in late] == [other]


def test_transaction_ends_with_its_connection_at_the_end_of_the_grace_period():
    """Guards against statements, a ROLLBACK included, that reach an evacuated database
    through an open transaction.
    """
    placement = make_placement()
    request = make_statement_request(
        1, WRITE, BOOKINGS_ROUTE, step=TransactionStep.FIRST
    )
    (run,) = open_all(placement, placement.handle(request, NOW))
    placement.handle(make_finished(run), NOW)
    placement.handle(make_evacuated("x"), NOW)
    second = make_statement_request(
        2,
        WRITE,
        BOOKINGS_ROUTE,
        step=TransactionStep.LATER,
        session_id=1,
        has_begun=True,
    )
    within = NOW + GRACE_SECONDS / 2
    (run,) = select(placement.handle(second, within), "connections", RunStatement)
    placement.handle(make_finished(run), within)
    later = NOW + GRACE_SECONDS
    keep_lease(placement, later)
    commit = make_statement_request(
        3,
        COMMIT,
        BOOKINGS_ROUTE,
        step=TransactionStep.COMMIT,
        session_id=1,
        has_begun=True,
    )
    emissions = placement.handle(commit, later)
    (result,) = select(emissions, "result", StatementResult)
    assert result.code is ErrorCode.ABORTED
    assert select(emissions, "connections", CloseConnection)
    assert not select(emissions, "connections", RunStatement | RollBack)


def test_write_that_is_answered_after_the_grace_period_is_acknowledged():
    """Guards against a write in doubt although its primary still leads."""
    placement = make_placement()
    placement.handle(make_evacuated("x"), NOW)
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    (run,) = open_all(placement, placement.handle(request, NOW))
    later = NOW + GRACE_SECONDS
    keep_lease(placement, later)
    emissions = placement.handle(make_finished(run), later)
    (result,) = select(emissions, "result", StatementResult)
    assert result.code is None and result.is_answered


def test_gateway_passes_statements_for_an_evacuated_database_back():
    """Guards against an instance that learns of an evacuation late and forwards."""
    network = make_network()
    gateway = network.instances[GATEWAYS["p"]].gateway
    assert isinstance(gateway, Gateway)
    gateway.handle(make_evacuated("x"), network.now)
    (result,) = network.request("e0", make_write())
    assert (result.code, result.gateway) == (None, "")
    assert network.instances[GATEWAYS["p"]].runs == []


def test_primary_of_an_evacuated_data_centre_moves_out():
    """Guards against a primary that stays, and against the loss of what it acknowledged
    last: the replica has to receive it first.
    """
    harness = make_harness()
    harness.statuses["p"] = replace(harness.statuses["r2"], database="p")
    harness.statuses["r2"] = replace(harness.statuses["r1"], database="r2")
    harness.failover.handle(make_evacuated("x"), harness.now)
    harness.run(2.5, alive=["p", "r1", "r2"])
    assert harness.promotions == []
    harness.statuses["r2"] = replace(harness.statuses["p"], database="r2")
    harness.run(1.5)
    assert [command.database for _, command in harness.promotions] == ["r2"]
    assert (harness.group.primary, harness.group.phase) == ("r2", GroupPhase.STEADY)


def test_database_of_an_evacuated_data_centre_is_not_promoted():
    """Guards against a new primary that may get nothing."""
    harness = make_harness()
    harness.statuses["r1"] = replace(harness.statuses["r2"], database="r1")
    harness.failover.handle(make_evacuated("z"), harness.now)
    harness.run(6.0, failing=["p"])
    assert [command.database for _, command in harness.promotions] == ["r1"]


def test_evacuated_replica_that_received_most_leads_until_another_has_caught_up():
    """Guards against the loss of acknowledged writes of a primary that crashed, which
    only a replica in an evacuated data centre has received.
    """
    harness = make_harness()
    harness.failover.handle(make_evacuated("z"), harness.now)
    harness.run(4.0, failing=["p"])
    assert harness.group.primary == "r2"
    harness.statuses["r1"] = replace(
        harness.statuses["r2"], database="r1", is_primary=False
    )
    harness.run(4.0)
    assert harness.group.primary == "r1"
    assert [command.database for _, command in harness.promotions] == ["r2", "r1"]


def test_evacuated_primary_is_kept_while_no_candidate_has_received_all_entries():
    """Guards against the loss of acknowledged writes for a move that can wait; what
    only the primary can run is refused meanwhile.
    """
    harness = make_harness()
    harness.statuses["p"] = replace(
        harness.statuses["r2"], database="p", received=LogPosition(3, 20)
    )
    harness.failover.handle(make_evacuated("x"), harness.now)
    harness.run(6.0, alive=["p", "r1", "r2"])
    assert harness.promotions == []
    assert harness.group.primary == "p"


def test_superseded_primary_is_demoted_after_the_evacuation():
    """Guards against an order to a database that must get nothing, and against a
    superseded primary that is forgotten.
    """
    harness = make_harness(record=make_record("r2", term=4))
    harness.failover.handle(make_evacuated("x"), harness.now)
    harness.run(3.0, alive=["r2"])
    assert harness.demotions == []
    harness.failover.handle(make_directory(), harness.now)
    harness.run(1.0, alive=["r2"])
    assert [command.database.name for command in harness.demotions][:1] == ["p"]


def test_primary_stays_when_all_data_centres_are_evacuated():
    """Guards against a group without a primary after the end of the evacuations."""
    harness = make_harness()
    harness.failover.handle(make_evacuated("x", "y", "z"), harness.now)
    harness.run(6.0, alive=["p"])
    assert (harness.promotions, harness.proposals) == ([], [])


def test_primary_is_kept_when_the_candidates_are_evacuated_during_the_failover():
    """Guards against a failover that waits for a candidate and keeps the group without
    a primary meanwhile.
    """
    harness = make_harness()
    harness.failover.handle(make_evacuated("x"), harness.now)
    harness.run(0.5, alive=["p"])
    assert harness.group.phase is GroupPhase.CHANGING
    harness.failover.handle(make_evacuated("x", "y", "z"), harness.now)
    harness.run(3.0, alive=["p"])
    assert harness.promotions == []
    assert (harness.group.primary, harness.group.phase) == ("p", GroupPhase.STEADY)


def test_evacuation_that_is_taken_back_before_the_failover_moves_nothing():
    """Guards against a move that nobody asks for any more."""
    harness = make_harness(rank=1)
    harness.failover.handle(make_evacuated("x"), harness.now)
    harness.run(0.2, alive=["p"])
    harness.failover.handle(make_directory(), harness.now)
    harness.run(3.0, alive=["p"])
    assert harness.proposals == []


def test_evacuations_are_part_of_the_directory_that_instances_compare():
    """Guards against an instance that is not told of an evacuation, and against
    directories that instances of the previous version send with each answer.
    """
    directory = Directory(databases=DATABASES)
    assert make_digest(directory) == "d17450fb91f00c92"
    evacuated = replace(directory, evacuated_data_centres=("x",))
    assert make_digest(evacuated) != make_digest(directory)
    cache = ConfigurationCache()
    cache.adopt_directory(directory, 1.0)
    names = [
        event.name.name
        for read_at, changed in ((2.0, evacuated), (3.0, directory))
        for event in select(cache.adopt_directory(changed, read_at), "events")
    ]
    assert names == [
        "DATABASES_CHANGED",
        "EVACUATION_STARTED",
        "DATABASES_CHANGED",
        "EVACUATION_ENDED",
    ]


def test_names_of_evacuations_that_are_no_data_centre_are_skipped():
    """Guards against an object of another writer that stops the reading."""
    assert decode_evacuations(["y", "", "a b", "x", "\ud800", "x"]) == ("x", "y")


def test_check_of_the_soak_finds_a_late_statement():
    """Guards against a check that passes whatever databases get."""
    periods = [EvacuationPeriod("x", 100.0, 110.0)]
    data_centres = {"db1": "x", "db2": "y"}
    times = {"db1": [104.9, 105.1, 110.1], "db2": [105.1]}
    (violation,) = check_evacuations(periods, data_centres, times)
    assert "db1 got a statement 5.10 s" in violation.detail


def test_processes_leave_an_evacuated_data_centre_and_return(tmp_path):
    """Guards against statements at an evacuated database after the granted time, and
    against a group that does not serve meanwhile or afterwards; real processes.
    """
    plan = SoakPlan(
        seed=32, n_instances=3, n_clients=6, seconds=8.0, has_only_evacuations=True
    )
    run = SoakRun(plan, tmp_path)
    report = asyncio.run(run.run())
    assert report.violations == ()
    assert report.n_served > 0


@pytest.mark.parametrize(
    ("data_centres", "phase"),
    [
        (("y",), "steady"),
        (("x",), "evacuated, moving"),
        (("x", "y", "z"), "evacuated, no database elsewhere"),
    ],
)
def test_overview_shows_what_an_evacuation_waits_for(data_centres, phase):
    """Guards against an operator who cannot tell a slow move from an impossible one."""
    directory = make_evacuated(*data_centres).directory
    reader = FakeFleetReader(make_record(), directory)
    fleet = asyncio.run(read_overview(reader, FakeCountersSource(), []))
    assert fleet.evacuated_data_centres == data_centres
    text = format_overview(fleet)
    assert phase in text
    assert f"evacuated data centres: {', '.join(data_centres)}" in text
