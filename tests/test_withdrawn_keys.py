"""Ends of API keys at what outlives their check: transactions, waiting and retries."""

from dataclasses import replace

import pytest

from sardinemill.sessions.messages import (
    ErrorCode,
    SessionState,
    TransactionAbandoned,
)
from sardinemill.sessions.routes import RoutesChanged, WorkspacePlan, make_route_table
from session_builders import (
    BEGIN,
    BOOKINGS_ROUTE,
    COMMIT,
    KEY,
    READ,
    STATUS_ROUTE,
    WRITE,
    make_configuration,
    make_route,
    make_routes_changed,
    select,
)
from test_sessions_manager import complete, get_answer, get_request, open_session, send
from test_sessions_placement import NOW

OTHER_PLAN = WorkspacePlan(name="bees", keys=("other key",))
MOVED_PLANS = (
    WorkspacePlan(name="hives"),
    WorkspacePlan(name="bees", keys=(KEY,)),
)


def change_plans(*plans, has_route=True, version=2):
    """Return the message that announces other workspaces, and routes perhaps."""
    routes = (BOOKINGS_ROUTE, STATUS_ROUTE) if has_route else (STATUS_ROUTE,)
    configuration = make_configuration(version=version, routes=routes)
    return RoutesChanged(make_route_table(replace(configuration, workspaces=plans)))


# How a key ends, and the code of what it began.
ENDS = {
    "key": ([change_plans(WorkspacePlan(name="hives"))], ErrorCode.ACCESS_DENIED),
    "workspace": ([change_plans(OTHER_PLAN)], ErrorCode.ACCESS_DENIED),
    "moved": ([change_plans(*MOVED_PLANS)], ErrorCode.ABORTED),
    "key and route": (
        [change_plans(WorkspacePlan(name="hives"), has_route=False)],
        ErrorCode.ACCESS_DENIED,
    ),
    "moved and route": (
        [change_plans(*MOVED_PLANS, has_route=False)],
        ErrorCode.ABORTED,
    ),
    "route, then key": (
        [
            make_routes_changed(version=2, routes=(STATUS_ROUTE,)),
            change_plans(WorkspacePlan(name="hives"), has_route=False, version=3),
        ],
        ErrorCode.ACCESS_DENIED,
    ),
    "key, then route": (
        [
            change_plans(WorkspacePlan(name="hives")),
            change_plans(WorkspacePlan(name="hives"), has_route=False, version=3),
        ],
        ErrorCode.ACCESS_DENIED,
    ),
}
each_end = pytest.mark.parametrize(("changes", "code"), ENDS.values(), ids=ENDS)


def apply_changes(receiver, changes):
    """Let a filter handle configurations; return all that it emits."""
    return [item for change in changes for item in receiver.handle(change, NOW)]


def begin_transaction(has_written=True):
    """Return a session manager with an open transaction."""
    manager = open_session()
    send(manager, BEGIN)
    if has_written:
        complete(manager, get_request(send(manager, WRITE)))
    return manager


@each_end
@pytest.mark.parametrize("statement", [READ, WRITE, COMMIT])
@pytest.mark.parametrize("has_written", [False, True])
def test_open_transaction_ends_with_its_key(changes, code, statement, has_written):
    """Guards against statements and a COMMIT of a transaction whose key has ended, also
    if its route was removed (review/9).
    """
    manager = begin_transaction(has_written)
    apply_changes(manager, changes)
    emissions = send(manager, statement)
    assert select(emissions, "next") == []
    answer = get_answer(emissions)
    is_end = statement is COMMIT
    state = SessionState.IDLE if is_end else SessionState.FAILED_TRANSACTION
    assert (answer.code, answer.state) == (code, state)
    abandoned = [TransactionAbandoned(1)] if has_written else []
    assert select(emissions, "abandoned") == abandoned


def test_transaction_goes_on_if_its_key_stays_in_its_workspace():
    """Guards against transactions that any change of the configuration ends."""
    manager = begin_transaction()
    plan = WorkspacePlan(name="hives", keys=("another", KEY))
    apply_changes(manager, [change_plans(plan, has_route=False)])
    complete(manager, get_request(send(manager, WRITE)))
    assert complete(manager, get_request(send(manager, COMMIT))).code is None


def test_transaction_on_an_open_route_needs_no_key():
    """Guards against the end of anonymous transactions when a route is removed."""
    route = make_route("open", is_open=True)
    manager = open_session("open", "", routes=(route, BOOKINGS_ROUTE))
    send(manager, BEGIN)
    complete(manager, get_request(send(manager, WRITE)))
    apply_changes(manager, [change_plans(OTHER_PLAN)])
    complete(manager, get_request(send(manager, WRITE)))
    assert complete(manager, get_request(send(manager, COMMIT))).code is None
