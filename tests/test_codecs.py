"""Encoding of messages between instances."""

from sardinemill.codecs import decode_message, encode_message
from sardinemill.control import ForwardedReply, ForwardedRequest
from sardinemill.errors import Outcome
from sardinemill.messages import (
    Action,
    Answer,
    Refusal,
    RefusalCode,
    Request,
    Statement,
    StatementKind,
)


def test_requests_and_replies_keep_every_value():
    """Guards against values that change type on the way, such as bytes and text."""
    values = (None, True, 1, 1.5, "x", b"x")
    statement = Statement(
        sql="s", parameters=values, kind=StatementKind.READ, idempotent=False
    )
    request = Request(
        request_id="1",
        action=Action.STATEMENT,
        workspace="w",
        key_id="k",
        group="g",
        statement=statement,
        deadline=1.0,
    )
    refusal = Refusal(
        request_id="1",
        code=RefusalCode.NO_HOME,
        outcome=Outcome.NOT_RUN,
        step="s",
    )
    for message in (
        ForwardedRequest(request=request, entry="a", remaining_seconds=1.0),
        ForwardedReply(reply=Answer(request_id="1", rows=(values,))),
        ForwardedReply(reply=refusal),
    ):
        decoded = decode_message(encode_message(message), "a")
        assert decoded == message
        assert repr(decoded) == repr(message)
