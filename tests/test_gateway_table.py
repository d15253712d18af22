"""Assignment of gateways to databases."""

from collections import Counter

from sardinemill.fleet.gateway_table import (
    GatewayAssignment,
    GatewayCandidate,
    GatewaysChanged,
    assign_gateways,
    list_scarce_databases,
)
from sardinemill.fleet.records import Directory
from session_builders import make_database, select

DATA_CENTRES = "abcdef"


def make_candidates(n_instances, capacity=5, data_centres=DATA_CENTRES):
    """Return candidates that are spread over the data centres."""
    return [
        GatewayCandidate(
            instance=f"i{number:03}",
            data_centre=data_centres[number % len(data_centres)],
            host=f"10.0.0.{number}",
            port=7000,
            capacity=capacity,
        )
        for number in range(n_instances)
    ]


def make_databases(n_groups, data_centres="abc"):
    """Return the databases of groups that have one in each data centre."""
    return [
        make_database(f"d{group:02}-{place}", place, group=f"g{group:02}")
        for group in range(n_groups)
        for place in data_centres
    ]


def index_table(table):
    """Return the gateway of each database."""
    return {
        database: gateway.instance
        for gateway in table.gateways
        for database in gateway.databases
    }


def test_only_fleets_with_scarce_connections_use_gateways():
    """Guards against a hop for each statement where pools suffice, as they do at 195
    instances, and against statements that open a connection each where the databases
    lack the slots for it.
    """
    sizes = {
        "small": (19, 49),
        "grown": (128, 493),
        "large": (195, 135),
        "target": (620, 50),
    }
    scarce = {}
    for name, (n_instances, limit) in sizes.items():
        directory = Directory(databases=tuple(make_databases(2)))
        limits = {"g00": limit, "g01": limit}
        scarce[name] = list_scarce_databases(directory, limits, n_instances)
    assert {name: len(items) for name, items in scarce.items()} == {
        "small": 0,
        "grown": 0,
        "large": 0,
        "target": 6,
    }


def test_databases_without_a_known_limit_or_that_leave_get_no_gateway():
    """Guards against forwarding to a gateway without need, and to a database that must
    get no new work.
    """
    leaving = make_database("d-leaving", is_leaving=True, group="known")
    other = make_database("d-other", group="unknown")
    directory = Directory(databases=(leaving, other))
    assert list_scarce_databases(directory, {"known": 10}, 100) == ()


def test_gateways_are_near_and_share_the_databases():
    """Guards against a gateway behind a link between data centres, and against one
    instance that serves several databases while others serve none.
    """
    databases = make_databases(10)
    candidates = make_candidates(195)
    table = assign_gateways(databases, candidates, ())
    places = {item.instance: item.data_centre for item in candidates}
    by_database = index_table(table)
    for database in databases:
        assert places[by_database[database.name]] == database.data_centre
    assert max(Counter(by_database.values()).values()) == 1


def test_gateways_are_shared_evenly_when_databases_outnumber_instances():
    """Guards against overloaded gateways at the target size, 910 databases before 620
    instances.
    """
    databases = make_databases(30)
    table = assign_gateways(databases, make_candidates(12, data_centres="abc"), ())
    assert {len(item.databases) for item in table.gateways} == {7, 8}


def test_coordinators_are_gateways_only_without_other_instances():
    """Guards against coordinators that are busy with statements."""
    databases, candidates = make_databases(1), make_candidates(6)
    coordinators = {"i000", "i001"}
    table = assign_gateways(databases, candidates, coordinators)
    assert not coordinators & set(index_table(table).values())
    table = assign_gateways(databases, candidates[:2], coordinators)
    assert set(index_table(table).values()) == coordinators


def test_loss_of_a_candidate_moves_few_databases():
    """Guards against a restart that discards the connections of many gateways."""
    databases, candidates = make_databases(10), make_candidates(195)
    before = index_table(assign_gateways(databases, candidates, ()))
    lost = before["d03-b"]
    remaining = [item for item in candidates if item.instance != lost]
    after = index_table(assign_gateways(databases, remaining, ()))
    moved = [name for name in before if before[name] != after[name]]
    assert "d03-b" in moved
    assert len(moved) <= 3


def test_larger_instances_are_preferred():
    """Guards against a busy database behind the slowest machine while larger ones are
    not used.
    """
    large = {"i000", "i006", "i012"}
    candidates = [
        item
        if item.instance not in large
        else GatewayCandidate(
            instance=item.instance,
            data_centre=item.data_centre,
            host=item.host,
            port=item.port,
            capacity=400,
        )
        for item in make_candidates(60)
    ]
    databases = [item for item in make_databases(3) if item.data_centre == "a"]
    table = assign_gateways(databases, candidates, ())
    assert set(index_table(table).values()) <= large


def test_table_is_announced_once():
    """Guards against updates of all links in each round."""
    assignment = GatewayAssignment()
    databases, candidates = make_databases(1), make_candidates(6)
    changed = assignment.update(databases, candidates, ())
    (message,) = select(changed, "gateways", GatewaysChanged)
    assert message.table == assignment.table
    assert assignment.digest
    assert assignment.update(databases, candidates, ()) == []
    assert assignment.update([], candidates, ())
    assert assignment.digest == 0
