"""Ends of API keys at what outlives their check: transactions, waiting and retries."""

from dataclasses import replace

import pytest

from sardinemill.control import PeerEnvelope
from sardinemill.fleet.messages import TokenGrant
from sardinemill.fleet.views import ReachableCoordinatorsChanged
from sardinemill.sessions.admission import Admission
from sardinemill.sessions.connection_messages import OpenConnection, RunStatement
from sardinemill.sessions.gateway import Gateway
from sardinemill.sessions.gateway_messages import GatewayOutcome, GatewayWithdrawal
from sardinemill.sessions.messages import (
    Effect,
    ErrorCode,
    RequestRevoked,
    SessionState,
    StatementResult,
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
    make_directory,
    make_route,
    make_routes_changed,
    make_statement_request,
    select,
)
from test_gateways import GATEWAYS, make_network, make_write
from test_sessions_manager import complete, get_answer, get_request, open_session, send
from test_sessions_placement import NOW, make_finished, make_placement, open_all

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
REVOKED = (ErrorCode.ACCESS_DENIED, "unknown key")


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


@each_end
@pytest.mark.parametrize("in_transaction", [False, True])
def test_request_in_progress_is_revoked_with_its_key(changes, code, in_transaction):
    """Guards against a statement that waits and then runs after its key has ended."""
    manager = open_session()
    if in_transaction:
        send(manager, BEGIN)
    elif code is ErrorCode.ABORTED:
        code = ErrorCode.BUSY
    request = get_request(send(manager, WRITE))
    revoked = select(apply_changes(manager, changes), "next", RequestRevoked)
    assert {(item.request, item.code) for item in revoked} == {(request, code)}
    result = StatementResult(request=request, code=code, message=revoked[0].message)
    assert get_answer(manager.handle(result, NOW)).code is code


def test_other_requests_in_progress_are_not_revoked():
    """Guards against refusals of statements whose key stays."""
    manager = open_session()
    send(manager, WRITE)
    plan = WorkspacePlan(name="hives", keys=(KEY,))
    assert apply_changes(manager, [change_plans(plan)]) == []


def find_result(emissions):
    """Return code and effect of the only result."""
    (result,) = select(emissions, "result", StatementResult)
    return result.code, result.effect


def test_operation_that_waits_for_a_token_is_refused():
    """Guards against a token for an operation whose key has ended, and against the
    refusal in its place of the one behind it.
    """
    admission = Admission("i")
    admission.handle(make_routes_changed(), NOW)
    admission.handle(ReachableCoordinatorsChanged(("a",), 1), NOW)
    first, second = make_statement_request(1), make_statement_request(2)
    (asked,) = select(admission.handle(first, NOW), "peers", PeerEnvelope)
    admission.handle(second, NOW)
    emissions = admission.handle(RequestRevoked(first, *REVOKED), NOW)
    assert find_result(emissions) == (ErrorCode.ACCESS_DENIED, Effect.NOT_RUN)
    grant = TokenGrant(number=asked.message.number, workspace="hives", n_tokens=0)
    emissions = admission.handle(PeerEnvelope(peer="a", message=grant), NOW)
    assert select(emissions, "result") == []
    (asked,) = select(emissions, "peers", PeerEnvelope)
    grant = replace(grant, number=asked.message.number, n_tokens=1)
    emissions = admission.handle(PeerEnvelope(peer="a", message=grant), NOW)
    assert select(emissions, "next") == [second]


def test_revocation_follows_its_request_through_admission():
    """Guards against a revocation that ends at the filter that its request has left."""
    admission = Admission("i")
    admission.handle(make_routes_changed(), NOW)
    revoked = RequestRevoked(make_statement_request(), *REVOKED)
    assert select(admission.handle(revoked, NOW), "next") == [revoked]


def test_statement_that_waits_for_a_connection_is_refused():
    """Guards against a statement that is sent when its connection opens, after its key
    has ended.
    """
    placement = make_placement()
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    opening = placement.handle(request, NOW)
    emissions = placement.handle(RequestRevoked(request, *REVOKED), NOW)
    assert find_result(emissions) == (ErrorCode.ACCESS_DENIED, Effect.NOT_RUN)
    assert open_all(placement, opening) == []


@pytest.mark.parametrize("failure", [ErrorCode.STALE, ErrorCode.BUSY, None])
def test_read_is_not_repeated_after_the_end_of_its_key(failure):
    """Guards against a retry of a statement whose key has ended."""
    placement = make_placement()
    request = make_statement_request()
    (run,) = open_all(placement, placement.handle(request, NOW))
    assert placement.handle(RequestRevoked(request, *REVOKED), NOW) == []
    finished = make_finished(run, code=failure, is_answered=failure is not None)
    emissions = placement.handle(finished, NOW)
    assert select(emissions, "connections", (OpenConnection, RunStatement)) == []
    code, _ = find_result(emissions)
    assert code is (None if failure is None else ErrorCode.ACCESS_DENIED)


def test_answer_that_is_ready_is_delivered_after_the_end_of_its_key():
    """Guards against a refusal as not run of a write that ran."""
    placement = make_placement()
    request = make_statement_request(1, WRITE, BOOKINGS_ROUTE)
    (run,) = open_all(placement, placement.handle(request, NOW))
    placement.handle(RequestRevoked(request, *REVOKED), NOW)
    (result,) = select(
        placement.handle(make_finished(run), NOW), "result", StatementResult
    )
    assert result.code is None and result.is_answered


def test_statement_that_waits_at_a_gateway_is_withdrawn():
    """Guards against a gateway that runs a statement after the end of its key."""
    network = make_network()
    entry = network.instances["e0"].placement
    gateway = Gateway("x")
    gateway.handle(make_routes_changed(), NOW)
    gateway.handle(make_directory(), NOW)
    request = make_write()
    (forwarded,) = select(entry.handle(request, NOW), "peers", PeerEnvelope)
    assert forwarded.peer == GATEWAYS["p"]
    opening = gateway.handle(PeerEnvelope(peer="e0", message=forwarded.message), NOW)
    (withdrawal,) = select(
        entry.handle(RequestRevoked(request, *REVOKED), NOW), "peers", PeerEnvelope
    )
    assert isinstance(withdrawal.message, GatewayWithdrawal)
    emissions = gateway.handle(PeerEnvelope(peer="e0", message=withdrawal.message), NOW)
    (outcome,) = select(emissions, "peers", PeerEnvelope)
    assert isinstance(outcome.message, GatewayOutcome)
    assert open_all(gateway, opening) == []
    returned = PeerEnvelope(peer=GATEWAYS["p"], message=outcome.message)
    assert find_result(entry.handle(returned, NOW)) == (
        ErrorCode.ACCESS_DENIED,
        Effect.NOT_RUN,
    )


def test_withdrawal_of_another_instance_or_of_a_running_statement_changes_nothing():
    """Guards against a wrong "not run", and against a statement that is withdrawn by
    the number of another instance.
    """
    network = make_network()
    gateway = Gateway("x")
    gateway.handle(make_routes_changed(), NOW)
    gateway.handle(make_directory(), NOW)
    entry = network.instances["e0"].placement
    (forwarded,) = select(entry.handle(make_write(), NOW), "peers", PeerEnvelope)
    number = forwarded.message.number
    opening = gateway.handle(PeerEnvelope(peer="e0", message=forwarded.message), NOW)
    other = PeerEnvelope(peer="e1", message=GatewayWithdrawal(number))
    assert select(gateway.handle(other, NOW), "peers") == []
    (run,) = open_all(gateway, opening)
    own = PeerEnvelope(peer="e0", message=GatewayWithdrawal(number))
    assert select(gateway.handle(own, NOW), "peers") == []
    (outcome,) = select(gateway.handle(make_finished(run), NOW), "peers", PeerEnvelope)
    assert outcome.message.is_answered
