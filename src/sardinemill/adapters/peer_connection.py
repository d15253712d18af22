"""Outgoing connection to one peer: a DEALER socket and what waits for it."""

import asyncio
from collections.abc import Callable, Sequence

import zmq

from ..groups import Address

# Messages of one peer that may wait; more than a busy entry sends to a home in the
# time until a silent connection is given up.
SEND_QUEUE_LENGTH = 10_000
RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 1.0
# Messages wait this long for a new connection; later they are dropped at once, or they
# would reach a peer that comes back long after its sender gave it up.
CONNECT_SECONDS = 1.0
PING_SECONDS = 1.0
MAX_PING_SECONDS = 5.0
# Pings of one instance to all its peers. Each costs both ends some 20 microseconds, so
# the interval grows with the number of connections.
PINGS_PER_SECOND = 100


def choose_ping_seconds(n_connections: int) -> float:
    """Interval of pings on a new connection beside ``n_connections`` others."""
    return min(max(PING_SECONDS, n_connections / PINGS_PER_SECOND), MAX_PING_SECONDS)


class PeerConnection:
    """Socket to one peer, opened on first use.

    :param frame: routing id of the socket, the envelope frame at the receiver.
    :param patience_seconds: time without a message from the peer, counted from the
        first one sent, after which the link replaces the connection.
    :param silence_seconds: time without an answer to a ping that ends a connection.
    :param on_ready: called from the event loop when the socket may have connected.
    :ivar sent_at: monotonic seconds of the last message sent.
    :ivar unanswered_since: when the first question since the last sign of the peer was
        sent, or ``None``.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        address: Address,
        frame: bytes,
        *,
        now: float,
        ping_seconds: float,
        patience_seconds: float,
        silence_seconds: float,
        send_queue_length: int,
        on_ready: Callable[[], None],
    ) -> None:
        self.address = address
        self.patience_seconds = patience_seconds
        self.sent_at = now
        self.unanswered_since: float | None = None
        self._opened_at = now
        self._is_connecting = True
        self._is_watched = False
        self._backlog: list[bytes] = []
        self._on_ready = on_ready
        self._send_queue_length = send_queue_length
        self._socket = context.socket(zmq.DEALER)
        self._set_options(frame, ping_seconds, silence_seconds)
        self._socket.connect(f"tcp://{address}")
        self._watch()

    def _set_options(
        self, frame: bytes, ping_seconds: float, silence_seconds: float
    ) -> None:
        milliseconds = {
            zmq.HEARTBEAT_IVL: ping_seconds,
            zmq.HEARTBEAT_TIMEOUT: silence_seconds,
            # The receiver drops the connection when no ping comes for this time.
            zmq.HEARTBEAT_TTL: ping_seconds + silence_seconds,
            zmq.RECONNECT_IVL: RECONNECT_SECONDS,
            zmq.RECONNECT_IVL_MAX: MAX_RECONNECT_SECONDS,
        }
        for option, seconds in milliseconds.items():
            self._socket.setsockopt(option, int(seconds * 1000))
        self._socket.setsockopt(zmq.ROUTING_ID, frame)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, self._send_queue_length)
        # Without a connection the library refuses a message instead of keeping it.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)

    def send(
        self, messages: Sequence[bytes], now: float, *, expects_answer: bool
    ) -> int:
        """Send encoded messages, as one ZeroMQ message.

        :param expects_answer: whether the peer answers one of them soon.
        :returns: the number of those that were dropped.
        """
        self.sent_at = now
        if expects_answer and self.unanswered_since is None:
            self.unanswered_since = now
        if not self._is_connecting:
            return self._send_now(messages)
        n_free = self._send_queue_length - len(self._backlog)
        self._backlog.extend(messages[:n_free])
        return max(0, len(messages) - n_free)

    def _send_now(self, messages: Sequence[bytes]) -> int:
        try:
            self._socket.send_multipart(messages, zmq.DONTWAIT)
        except zmq.Again:
            return len(messages)
        return 0

    def take_ready(self) -> int:
        """Send what waits, if the socket has connected.

        :returns: the number of messages that were dropped.
        """
        if not self._is_connecting:
            return 0
        if int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLOUT:
            return self._end_connecting()
        self._watch()
        return 0

    def give_up_waiting(self, now: float) -> int:
        """Drop what waits when the socket has not connected in time.

        :returns: the number of messages that were dropped.
        """
        if not self._is_connecting or now - self._opened_at < CONNECT_SECONDS:
            return 0
        return self._end_connecting()

    def _end_connecting(self) -> int:
        self._is_connecting = False
        self._unwatch()
        backlog, self._backlog = self._backlog, []
        return self._send_now(backlog) if backlog else 0

    def take_sign(self, base_patience_seconds: float) -> None:
        """Note that the peer was heard."""
        self.unanswered_since = None
        self.patience_seconds = base_patience_seconds

    def is_silent(self, now: float) -> bool:
        """Whether messages went out and nothing came back for too long."""
        since = self.unanswered_since
        return since is not None and now - since > self.patience_seconds

    def close(self, linger_milliseconds: int = 0) -> None:
        """Close the socket, after sending for at most ``linger_milliseconds``."""
        self._unwatch()
        if self._backlog and linger_milliseconds:
            self._send_now(self._backlog)
        self._socket.close(linger=linger_milliseconds)

    # The library's descriptor becomes readable when the state of the socket changes,
    # and stays so until the state is read.

    def _watch(self) -> None:
        self._is_watched = True
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._report_ready)

    def _unwatch(self) -> None:
        if self._is_watched:
            self._is_watched = False
            asyncio.get_running_loop().remove_reader(self._socket.fileno())

    def _report_ready(self) -> None:
        self._unwatch()
        self._on_ready()
