"""Acknowledgement of writes once a majority has replicated them."""

from dataclasses import replace

from replication_simulation import (
    GROUP,
    HOMES,
    make_execution,
    make_report,
    make_request,
)
from sardinemill.errors import Outcome
from sardinemill.filters.acknowledgement import Acknowledgement
from sardinemill.messages import Action, Answer, RoutedRequest, StatementKind
from sardinemill.positions import ORIGIN, LogPosition
from sardinemill.replication import GroupsChanged, ReportQuery

WRITE = make_request("w1", StatementKind.WRITE, deadline=5.0)


def start(request=WRITE, *, reports=(), **fields) -> tuple[Acknowledgement, list]:
    """Handle some reports, then an execution by ``db0`` at position (2, 10)."""
    acknowledgement = Acknowledgement()
    acknowledgement.handle(
        GroupsChanged(groups=(GROUP,), homes=(("hives", HOMES),)), 0.0
    )
    for report in reports:
        acknowledgement.handle(report, 0.5)
    routed = RoutedRequest(
        request=request, database="db0", minimum_position=ORIGIN, is_replica=False
    )
    execution = make_execution(
        routed, position=LogPosition(2, 10), is_primary=True, **fields
    )
    return acknowledgement, list(acknowledgement.handle(execution, 1.0))


def list_replies(emissions) -> list:
    return [item.message for item in emissions if item.outlet == "reply"]


def test_only_a_position_of_the_same_term_counts():
    """Guards against counting a longer log of an old primary, a shorter log, or a
    replica that is fenced above the term.
    """
    acknowledgement, emissions = start()
    assert [item.message.database for item in emissions] == ["db1", "db2"]
    useless = [
        make_report("db1", 1, 50, 1, asked_at=1.0),
        make_report("db1", 2, 9, 2, asked_at=1.0),
        make_report("db2", 2, 12, 3, asked_at=1.0),
    ]
    for report in useless:
        assert not list_replies(acknowledgement.handle(report, 1.1)), report
    (reply,) = list_replies(acknowledgement.handle(make_report("db1", 2, 10, 2), 1.2))
    assert isinstance(reply, Answer)
    assert reply.session.position == LogPosition(2, 10)


def test_repeat_needs_reports_requested_after_it():
    """Guards against answering a repeated write, or a commit without changes, from a
    primary that was superseded after the majority had reported the position.
    """
    commit = replace(WRITE, action=Action.COMMIT, transaction_id="t1", statement=None)
    for request in (WRITE, commit):
        known = [make_report("db1", 2, 10, 2, asked_at=0.4)]
        acknowledgement, emissions = start(
            request, reports=known, is_repeat=request is WRITE
        )
        assert not list_replies(emissions)
        late = make_report("db1", 2, 10, 2, asked_at=0.9)
        assert not list_replies(acknowledgement.handle(late, 1.1))
        fresh = make_report("db2", 2, 10, 2, asked_at=1.0)
        assert isinstance(list_replies(acknowledgement.handle(fresh, 1.2))[0], Answer)


def test_outcome_is_unknown_after_a_change_of_term_or_the_deadline():
    """Guards against *not run* for a write that may survive, and against a late
    acknowledgement after a higher term is known.
    """
    acknowledgement, _ = start()
    (changed,) = list_replies(acknowledgement.handle(make_report("db2", 3, 9, 3), 1.1))
    acknowledgement, _ = start()
    while not (
        expired := list_replies(acknowledgement.tick(acknowledgement.next_tick))
    ):
        pass
    for reply in (changed, expired[0]):
        assert reply.outcome is Outcome.UNKNOWN
        assert reply.session.position == LogPosition(2, 10)


def test_replica_that_is_fenced_above_the_term_is_not_queried_again():
    """Guards against a loop of queries: a replica fenced above the term answers at
    once.
    """
    acknowledgement, _ = start()
    fenced = make_report("db1", 2, 5, 3, asked_at=1.0)
    for _ in range(3):
        emissions = acknowledgement.handle(fenced, 1.1)
        assert not [item for item in emissions if isinstance(item.message, ReportQuery)]
