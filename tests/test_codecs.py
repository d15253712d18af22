"""Encoding of messages between instances."""

from builders import make_refusal, make_request, make_statement
from sardinemill.codecs import decode_message, encode_message
from sardinemill.control import ForwardedReply, ForwardedRequest
from sardinemill.errors import Outcome
from sardinemill.messages import Answer, RefusalCode


def test_requests_and_replies_keep_every_value():
    """Guards against values that change type on the way, such as bytes and text."""
    values = (None, True, 1, 1.5, "x", b"x")
    statement = make_statement("s", values)
    request = make_request("1", statement=statement)
    refusal = make_refusal("1", RefusalCode.NO_HOME, Outcome.NOT_RUN)
    for message in (
        ForwardedRequest(request=request, entry="a", remaining_seconds=1.0),
        ForwardedReply(reply=Answer(request_id="1", rows=(values,))),
        ForwardedReply(reply=refusal),
    ):
        decoded = decode_message(encode_message(message), "a")
        assert decoded == message
        assert repr(decoded) == repr(message)
