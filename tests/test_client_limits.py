"""Decisions at the limits of what clients may make an instance hold."""

import asyncio
import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinemill.errors import CodecError
from sardinemill.platform.client_connection import ClientConnection
from sardinemill.platform.wire import MAX_LINE_BYTES, Line
from sardinemill.sessions.client_limits import (
    CONTENDED_MESSAGE_TIMEOUT_SECONDS,
    FREE_STATE_BYTES,
    MEGABYTE,
    MESSAGE_TIMEOUT_SECONDS,
    PERMIT_TIMEOUT_SECONDS,
    RESERVED_MEMORY_BYTES,
    LargeMessagePermits,
    SessionPhase,
    SessionStateBudget,
    SessionStatus,
    UnsentAnswer,
    choose_session_to_close,
    choose_unsent_answers,
    compute_client_limits,
    estimate_text_bytes,
)

NOW = 100.0


@pytest.mark.parametrize("memory_mb", [96, 152, 222, 552])
def test_limits_fit_the_memory_of_the_machine(memory_mb):
    """Guards against shares that add up to more than a machine has."""
    limits = compute_client_limits(memory_mb * MEGABYTE, 1605)
    held = limits.n_large_messages * 6 * MEGABYTE
    held += limits.answer_bytes + limits.state_bytes
    assert RESERVED_MEMORY_BYTES + held <= memory_mb * MEGABYTE
    assert limits.n_large_messages >= 1
    n_sockets = limits.n_sessions + limits.n_database_connections
    assert n_sockets + limits.n_gateway_connections <= 0.75 * (1605 - 200)


@pytest.mark.parametrize(("memory_mb", "n_descriptors"), [(91, 1605), (152, 220)])
def test_machine_that_is_too_small_is_refused(memory_mb, n_descriptors):
    """Guards against an instance that starts and is killed under load."""
    with pytest.raises(ValueError, match="an instance needs"):
        compute_client_limits(memory_mb * MEGABYTE, n_descriptors)


def make_status(session_id, phase, since=NOW, key="a"):
    """Return the status of a session."""
    return SessionStatus(session_id=session_id, key=key, phase=phase, since=since)


def test_session_that_gives_least_makes_room():
    """Replays connections without a word beside clients that work: the crowd gives way,
    the longest silent first. Guards against closed sessions with a request in progress.
    """
    busy = make_status(1, SessionPhase.BUSY, 0.0)
    idle = make_status(2, SessionPhase.IDLE, 0.0)
    stalled = make_status(3, SessionPhase.STALLED, 5.0)
    opening = [make_status(4, SessionPhase.OPENING, 9.0, "")]
    opening.append(make_status(5, SessionPhase.OPENING, 8.0, ""))
    assert choose_session_to_close([busy, idle, stalled, *opening]) == 5
    assert choose_session_to_close([busy, idle, stalled]) == 3
    assert choose_session_to_close([busy, idle]) == 2
    assert choose_session_to_close([busy]) is None


def test_idle_sessions_of_the_largest_crowd_give_way_first():
    """Guards against one key that takes the places of all others."""
    crowd = [make_status(n, SessionPhase.IDLE, 50.0 + n, "crowd") for n in range(5)]
    other = make_status(9, SessionPhase.IDLE, 0.0, "other")
    assert choose_session_to_close([other, *crowd]) == 0


def test_permits_go_by_turns_between_keys():
    """Replays a crowd of one key with large messages and one other client. Guards
    against a client that waits for the whole crowd.
    """
    permits = LargeMessagePermits(1)
    assert permits.request(1, "crowd", NOW)
    for session_id in (2, 3, 4):
        assert not permits.request(session_id, "crowd", NOW)
    assert not permits.request(5, "other", NOW)
    assert permits.release(1, NOW) == [2]
    assert permits.release(2, NOW) == [5]
    assert permits.release(3, NOW) == []
    assert permits.release(5, NOW) == [4]
    assert permits.release(4, NOW) == []
    assert permits.n_held == 0


def test_slow_senders_of_large_messages_give_way_to_those_that_wait():
    """Replays messages that stop half-way. Guards against permits that nobody gets any
    more, and against the end of a message that is complete and waits for a database.
    """
    permits = LargeMessagePermits(2)
    permits.request(1, "a", NOW)
    permits.request(2, "a", NOW)
    permits.record_received(2)
    contended = NOW + CONTENDED_MESSAGE_TIMEOUT_SECONDS + 0.1
    assert permits.list_overdue(contended) == []
    assert permits.list_overdue(NOW + MESSAGE_TIMEOUT_SECONDS + 0.1) == [1]
    permits.request(3, "a", contended - 0.1)
    assert permits.list_overdue(contended) == [1]
    late = contended + PERMIT_TIMEOUT_SECONDS
    assert permits.list_overdue(late) == [1, 3]


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.sampled_from("ab"), st.booleans()), max_size=60
    )
)
def test_permits_are_never_exceeded_nor_lost(steps):
    """Guards against more large messages than fit, and against permits that leak."""
    permits = LargeMessagePermits(2)
    active, waiting = set(), set()
    for session_id, key, is_request in steps:
        if not is_request:
            granted = permits.release(session_id, NOW)
            active.discard(session_id)
            waiting.discard(session_id)
            active |= set(granted)
            waiting -= set(granted)
        elif session_id not in waiting:
            if permits.request(session_id, key, NOW):
                active.add(session_id)
            else:
                waiting.add(session_id)
        assert permits.n_held == len(active) <= 2
        assert not waiting or len(active) == 2


def test_longest_unsent_answers_are_given_up_first():
    """Replays clients that read nothing. Guards against answers without a bound, and
    against closed clients that are still reading.
    """
    answers = {n: UnsentAnswer(100, NOW - n) for n in range(4)}
    assert choose_unsent_answers(answers, 400, NOW) == []
    assert choose_unsent_answers(answers, 250, NOW) == [3, 2]
    late = NOW + MESSAGE_TIMEOUT_SECONDS - 1.5
    assert choose_unsent_answers(answers, 400, late) == [3, 2]


def test_state_of_a_crowd_leaves_the_free_part_to_others():
    """Guards against session variables without a bound, and against a crowd that keeps
    others from setting theirs.
    """
    budget = SessionStateBudget(1000)
    assert budget.resize(1, FREE_STATE_BYTES + 1000)
    assert not budget.resize(1, 1)
    assert not budget.resize(2, FREE_STATE_BYTES + 1)
    assert budget.resize(2, FREE_STATE_BYTES)
    assert budget.resize(1, -500)
    assert budget.resize(3, FREE_STATE_BYTES + 500)
    budget.remove(1)
    assert budget.resize(2, 500)


def test_size_of_a_text_is_not_underestimated():
    """Guards against texts outside of ASCII that take four bytes a character."""
    assert estimate_text_bytes("abc", "a\U0001f600") == 3 + 8


class FakeTransport(asyncio.Transport):
    """Transport that only knows whether it is paused."""

    def __init__(self):
        super().__init__()
        self.is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_extra_info(self, name, default=None):
        return FakeSocket()


class FakeSocket:
    """Socket whose options do not matter."""

    def setsockopt(self, *_):
        pass


async def read_all(pieces):
    """Feed pieces of bytes to a connection and read until it ends.

    :returns: the messages, and ``error`` if the last one was malformed.
    """
    chunk = bytearray(8 * 1024)
    connection = ClientConnection(chunk, lambda _: None)
    transport = FakeTransport()
    connection.connection_made(transport)

    async def feed():
        for piece in pieces:
            for start in range(0, len(piece), len(chunk)):
                part = piece[start : start + len(chunk)]
                while transport.is_paused:  # noqa: ASYNC110
                    await asyncio.sleep(0)
                connection.get_buffer(len(part))[: len(part)] = part
                connection.buffer_updated(len(part))
            await asyncio.sleep(0)
        connection.eof_received()

    async def grant():
        await asyncio.sleep(0)

    feeding = asyncio.create_task(feed())
    messages = []
    try:
        while (line := await connection.read_message(grant)) is not None:
            messages.append(line)
    except CodecError:
        messages.append("error")
    feeding.cancel()
    await asyncio.gather(feeding, return_exceptions=True)
    return messages


@settings(derandomize=True, max_examples=200, deadline=None)
@given(data=st.data())
def test_any_split_of_any_bytes_gives_the_same_messages(data):
    """Guards against a message that is lost, joined with another or changed because of
    the pieces in which it arrives.
    """
    parts = st.sampled_from(
        [b"QUERY 1 READ a", b"\r\n", b"\r", b"\n", b" ", b"\xff", b"x" * 9000]
    )
    text = b"".join(data.draw(st.lists(parts, max_size=12)))
    cuts = data.draw(st.lists(st.integers(0, len(text)), max_size=6))
    ends = [0, *sorted(cuts), len(text)]
    pieces = [text[a:b] for a, b in itertools.pairwise(ends)]
    assert asyncio.run(read_all(pieces)) == asyncio.run(read_all([text]))


def test_requests_sent_ahead_end_with_their_connection():
    """Replays clients that send statements ahead and leave. Guards against an instance
    that goes on running them and serves nobody else meanwhile.
    """

    async def run():
        connection = ClientConnection(bytearray(64), lambda _: None)
        connection.connection_made(FakeTransport())
        data = b"QUERY 1 READ a\r\n" * 3
        connection.get_buffer(len(data))[: len(data)] = data
        connection.buffer_updated(len(data))
        assert await connection.read_message(lambda: asyncio.sleep(0)) is not None
        connection.connection_lost(None)
        assert await connection.read_message(lambda: asyncio.sleep(0)) is None

    asyncio.run(run())


def test_message_of_the_largest_size_is_read_and_a_larger_one_is_not():
    """Guards against a limit that differs from the protocol's."""
    payload = b"x" * (MAX_LINE_BYTES - len(b"QUERY \r\n"))
    (line,) = asyncio.run(read_all([b"QUERY " + payload + b"\r\n"]))
    assert line == Line("QUERY", payload.decode())
    assert asyncio.run(read_all([b"QUERY " + payload + b"x\r\n"])) == ["error"]
    assert asyncio.run(read_all([b"x" * (MAX_LINE_BYTES + 9000)])) == ["error"]
