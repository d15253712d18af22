"""Demotions that follow from the fleet record and the directory."""

import pytest

from sardinemill.fleet.demotions import (
    DEMOTION_INTERVAL_SECONDS,
    DEMOTION_RANK_DELAY_SECONDS,
    DIRECTORY_DELAY_SECONDS,
    DemotionSchedule,
)
from sardinemill.fleet.failover_messages import DatabaseStatus
from sardinemill.fleet.records import Directory, GroupPhase
from sardinemill.positions import LogPosition
from session_builders import DATABASES, make_database, make_record

RECORD = make_record("r2", term=4)
DIRECTORY = Directory(databases=DATABASES)
STEPPED_DOWN = DatabaseStatus("p", True, False, 3, LogPosition(3, 9))


def list_names(schedule, now, record=RECORD, directory=DIRECTORY, rank=0):
    """Return the databases that are told to step down."""
    due = schedule.list_due(record, directory, rank, now)
    return [item.database.name for item in due]


def test_superseded_primary_is_told_until_it_steps_down():
    """Guards against a demotion that is lost and not repeated."""
    schedule = DemotionSchedule()
    assert list_names(schedule, 100.0) == ["p"]
    assert list_names(schedule, 100.0 + DEMOTION_INTERVAL_SECONDS / 2) == []
    assert list_names(schedule, 100.0 + DEMOTION_INTERVAL_SECONDS) == ["p"]
    assert list_names(schedule, 160.0) == ["p"]


def test_database_that_stepped_down_is_not_told_again():
    """Guards against demotions that only the delay of the directory causes."""
    schedule = DemotionSchedule()
    list_names(schedule, 100.0)
    schedule.record_status(STEPPED_DOWN, 100.0)
    assert list_names(schedule, 99.9 + DIRECTORY_DELAY_SECONDS) == []


def test_claim_that_remains_after_stepping_down_is_told_again():
    """Guards against a primary that takes its role again and is left alone."""
    schedule = DemotionSchedule()
    list_names(schedule, 100.0)
    schedule.record_status(STEPPED_DOWN, 100.0)
    assert list_names(schedule, 100.0 + DIRECTORY_DELAY_SECONDS) == ["p"]


@pytest.mark.parametrize("status", ["silent", "primary"])
def test_database_that_did_not_step_down_is_told_again(status):
    """Guards against a demotion that counts as done without evidence."""
    schedule = DemotionSchedule()
    list_names(schedule, 100.0)
    schedule.record_status(DatabaseStatus("p", status != "silent", True, 3), 100.1)
    assert list_names(schedule, 100.0 + DEMOTION_INTERVAL_SECONDS) == ["p"]


def test_coordinators_of_lower_rank_wait():
    """Guards against demotions by all coordinators at once, and by none when the first
    one does not reach the database.
    """
    schedule = DemotionSchedule()
    assert list_names(schedule, 100.0, rank=2) == []
    assert list_names(schedule, 100.0 + 2 * DEMOTION_RANK_DELAY_SECONDS, rank=2) == [
        "p"
    ]


def test_recorded_primary_and_groups_in_change_are_left_alone():
    """Guards against the demotion of the primary in use, of the target of a failover
    that the record does not name yet, and by a record without a term.
    """
    schedule = DemotionSchedule()
    assert list_names(schedule, 100.0, record=make_record("p", term=4)) == []
    changing = make_record("r2", term=4, phase=GroupPhase.CHANGING)
    assert list_names(schedule, 100.0, record=changing) == []
    assert list_names(schedule, 100.0, record=make_record("r2")) == []


def test_role_of_another_database_changes_nothing():
    """Guards against a demotion that ends because another database stepped down."""
    schedule = DemotionSchedule()
    list_names(schedule, 100.0)
    schedule.record_status(DatabaseStatus("r1", True, False, 4), 100.0)
    assert list_names(schedule, 100.0 + DEMOTION_INTERVAL_SECONDS) == ["p"]


def test_claim_of_a_later_term_starts_anew():
    """Guards against a database that was demoted in an earlier term and is left alone
    when it is superseded again.
    """
    schedule = DemotionSchedule()
    list_names(schedule, 100.0)
    schedule.record_status(STEPPED_DOWN, 100.0)
    replicas = Directory(databases=tuple(make_database(n, "x") for n in ("p", "r2")))
    assert list_names(schedule, 101.0, directory=replicas) == []
    assert list_names(schedule, 102.0) == ["p"]
