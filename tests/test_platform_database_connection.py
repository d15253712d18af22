"""Complete, truncated and malformed answers of databases."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinemill.errors import CodecError, UpstreamUnavailable
from sardinemill.platform.database_connection import DatabaseConnection
from sardinemill.positions import LogPosition
from sardinemill.sessions.messages import ErrorCode


def receive(data):
    """Return the answer in the bytes that a database sent before it closed."""

    async def run():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await DatabaseConnection(reader, None, "peer").receive()

    return asyncio.run(run())


def test_complete_answer():
    """Guards against rows, a signature or a position that get lost."""
    reply = receive(b"ROW a b\r\nROW c\r\nDONE 7.1f3\r\nREADY T 3.9\r\n")
    assert reply.rows == ("a b", "c")
    assert (reply.signature, reply.code, reply.state) == ("7.1f3", None, "T")
    assert reply.position == LogPosition(3, 9)


def test_error_keeps_its_code():
    """Guards against an error that is reported as a success."""
    reply = receive(b"ERROR LAGGING i-1\r\nREADY I 3.9\r\n")
    assert (reply.code, reply.signature) == (ErrorCode.STALE, None)


def test_unknown_code_counts_as_failed():
    """Guards against a statement that counts as not run, and so as safe to retry, for
    an error code of a later version.
    """
    assert receive(b"ERROR NEWCODE x\r\nREADY I -\r\n").code is ErrorCode.FAILED


@pytest.mark.parametrize(
    "data",
    [b"", b"ROW a\r\n", b"ROW a\r\nDONE 1\r\n", b"DONE 1\r\nREADY I 3.9", b"READY I"],
)
def test_truncated_answer_raises_upstream_unavailable(data):
    """Guards against a truncated answer that is treated as complete."""
    with pytest.raises(UpstreamUnavailable):
        receive(data)


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(
        st.sampled_from([b"ROW a", b"DONE 1", b"ERROR BUSY x", b"READY I 1.1", b"HUH"])
        | st.binary(max_size=20),
        max_size=6,
    )
)
def test_any_bytes_give_an_answer_or_an_expected_error(lines):
    """Guards against input that ends a connection task with an unexpected error."""
    data = b"".join(line + b"\r\n" for line in lines)
    try:
        reply = receive(data)
    except (CodecError, UpstreamUnavailable):
        return
    assert reply.state or reply.code is not None
