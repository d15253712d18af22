"""Builders of messages with default values for the fields irrelevant to a test."""

from sardinemill.groups import Address, DatabaseDescription, GroupDescription
from sardinemill.members import InstanceInfo
from sardinemill.messages import (
    Action,
    Refusal,
    Request,
    RoutedRequest,
    Statement,
    StatementKind,
)
from sardinemill.positions import ORIGIN

ADDRESS = Address("127.0.0.1", 0)
# One home instance may open a quarter of the connections, that is two.
DATABASE = DatabaseDescription("d", "g", 0, "x", ADDRESS, 8)
GROUP = GroupDescription("g", 1, (DATABASE,))


def make_info(name, data_centre="x", peer_address=ADDRESS):
    return InstanceInfo(
        name=name,
        data_centre=data_centre,
        peer_address=peer_address,
        front_address=ADDRESS,
    )


def make_statement(sql="", parameters=(), kind="write"):
    return Statement(
        sql=sql, parameters=parameters, kind=StatementKind(kind), idempotent=False
    )


def make_request(request_id, action=Action.STATEMENT, *, kind="write", **fields):
    """Make a request; begin, commit and rollback carry no statement."""
    statement = make_statement(kind=kind) if "statement" in action.value else None
    defaults = {"workspace": "w", "key_id": "k", "group": "g", "deadline": 10.0}
    defaults["statement"] = statement
    return Request(request_id=request_id, action=action, **{**defaults, **fields})


def make_routed(request):
    return RoutedRequest(
        request=request, database="d", minimum_position=ORIGIN, is_replica=False
    )


def make_refusal(request_id, code, outcome):
    return Refusal(request_id=request_id, code=code, outcome=outcome, step="test")
