"""Readmission of a database that restarted with an empty log, report by report."""

from dataclasses import replace

import pytest

from replication_simulation import GROUP, make_report
from sardinemill.filters.readmission import Readmission
from sardinemill.groups import GroupDescription
from sardinemill.positions import LogPosition
from sardinemill.replication import AdmitRequest, Role


def make_group(n_slots: int) -> GroupDescription:
    databases = tuple(
        replace(GROUP.databases[0], name=f"db{slot}", slot=slot)
        for slot in range(n_slots)
    )
    return replace(GROUP, n_slots=n_slots, databases=databases)


def find_orders(n_slots: int, reports) -> list[AdmitRequest]:
    """Return the orders for ``db0``, which recovers since 10 s and caught up at 20 s.

    :param reports: handled between these two reports of ``db0``.
    """
    group, readmission = make_group(n_slots), Readmission()
    recovering = make_report("db0", 2, 7, 2, is_recovering=True, incarnation="2")
    seen = replace(recovering, asked_at=9.0, received_at=10.0)
    caught_up = replace(recovering, asked_at=20.0, received_at=20.0)
    emissions = [
        emission
        for report in (seen, *reports, caught_up)
        for emission in readmission.handle_report(group, report)
    ]
    return [item.message for item in emissions if item.outlet == "probe"]


def make_round(n_reports: int, asked_at: float = 11.0, **fields) -> list:
    """Return reports of the primary ``db1`` at (2, 7) and of replicas behind it.

    :param fields: changed fields of the last replica's report.
    """
    primary = make_report("db1", 2, 7, 2, role=Role.PRIMARY, asked_at=asked_at)
    replicas = [
        make_report(f"db{number}", 2, 3, 2, asked_at=asked_at)
        for number in range(2, 1 + n_reports)
    ]
    return [primary, *replicas[:-1], replace(replicas[-1], **fields)]


@pytest.mark.parametrize(
    ("n_slots", "n_needed"), [(3, 2), (4, 3), (5, 3), (6, 4), (7, 4)]
)
def test_admission_needs_a_round_that_meets_every_majority(n_slots, n_needed):
    """Guards against a readmission while a majority that used the lost vote may consist
    of databases that were not queried, were queried before the restart, or recover too.
    """
    orders = find_orders(n_slots, make_round(n_needed))
    position = LogPosition(2, 7)
    assert [(item.position, item.incarnation) for item in orders] == [(position, "2")]
    if n_needed > 2:
        assert not find_orders(n_slots, make_round(n_needed - 1))
    assert not find_orders(n_slots, make_round(n_needed, asked_at=9.5))
    assert not find_orders(n_slots, make_round(n_needed, is_recovering=True))
    assert not find_orders(n_slots, make_round(n_needed, fenced_term=3))


def test_admission_needs_the_term_and_position_of_the_primary():
    """Guards against a database that votes although its log lacks lost entries."""
    primary, replica = make_round(2)
    further = replace(primary, position=LogPosition(2, 8))
    assert not find_orders(3, [further, replica])
    later = replace(primary, position=LogPosition(3, 5), fenced_term=3)
    assert not find_orders(3, [later, replica])
    # A primary that continues to write does not delay the readmission.
    assert find_orders(3, [primary, replica, replace(further, asked_at=12.0)])
