"""Outgoing connection to one peer: a DEALER socket and its backlog."""

import asyncio
from collections.abc import Callable, Sequence

import zmq

from ..errors import CodecError
from ..groups import Address

# Messages queued for one peer; more than a busy entry instance sends to a home within
# the time-out of a silent connection.
SEND_QUEUE_LENGTH = 10_000
RECONNECT_DELAY_SECONDS = 0.1
MAX_RECONNECT_DELAY_SECONDS = 1.0
# ZeroMQ starts an attempt to connect anew after this time. The kernel alone sends an
# unanswered SYN again after 1, 3, 7 and 15 s, long after a partition has ended.
CONNECT_ATTEMPT_SECONDS = 1.0
# Messages are kept this long for a new connection; after that they are dropped at once,
# because a peer that returns would otherwise get requests that have long timed out.
CONNECT_TIMEOUT_SECONDS = 1.0
PING_INTERVAL_SECONDS = 1.0
MAX_PING_INTERVAL_SECONDS = 5.0
# Rate of pings from one instance to all its peers. A ping costs each end about 20
# microseconds, so the interval grows with the number of connections.
PINGS_PER_SECOND = 100


def choose_ping_interval_seconds(n_connections: int) -> float:
    """Return the ping interval for a new connection.

    :param n_connections: number of connections that are already open.
    """
    return min(
        max(PING_INTERVAL_SECONDS, n_connections / PINGS_PER_SECOND),
        MAX_PING_INTERVAL_SECONDS,
    )


class PeerConnection:
    """DEALER socket to one peer, with a backlog until it is connected.

    :param routing_id: routing id of the socket; the receiver gets it as the first frame
        of each message.
    :param response_timeout_seconds: time without a message from the peer, counted from
        the first unanswered request, after which the link replaces the connection.
    :param ping_timeout_seconds: time without an answer to a ping after which ZeroMQ
        closes the connection.
    :param on_ready: called from the event loop when the socket may have connected.
    :raises CodecError: when the address cannot be used.
    :ivar sent_at: time of the last message sent, in monotonic seconds.
    :ivar has_unsent_replies: messages that are no requests wait for the socket to
        connect.
    :ivar unanswered_since: time of the first request sent since the last message from
        the peer, or ``None``.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        address: Address,
        routing_id: bytes,
        *,
        now: float,
        ping_interval_seconds: float,
        response_timeout_seconds: float,
        ping_timeout_seconds: float,
        send_queue_length: int,
        on_ready: Callable[[], None],
    ) -> None:
        self.address = address
        self.response_timeout_seconds = response_timeout_seconds
        self.sent_at = now
        self.has_unsent_replies = False
        self.unanswered_since: float | None = None
        self._opened_at = now
        self._is_connecting = True
        self._has_reader = False
        self._backlog: list[bytes] = []
        self._on_ready = on_ready
        self._send_queue_length = send_queue_length
        self._socket = context.socket(zmq.DEALER)
        self._set_options(routing_id, ping_interval_seconds, ping_timeout_seconds)
        try:
            self._socket.connect(f"tcp://{address}")
        except (zmq.ZMQError, ValueError) as error:
            self._socket.close()
            raise CodecError("unusable address", step="connect") from error
        self._add_reader()

    def _set_options(
        self,
        routing_id: bytes,
        ping_interval_seconds: float,
        ping_timeout_seconds: float,
    ) -> None:
        seconds_by_option = {
            zmq.HEARTBEAT_IVL: ping_interval_seconds,
            zmq.HEARTBEAT_TIMEOUT: ping_timeout_seconds,
            # The receiver closes the connection when it gets no ping for this time.
            zmq.HEARTBEAT_TTL: ping_interval_seconds + ping_timeout_seconds,
            zmq.CONNECT_TIMEOUT: CONNECT_ATTEMPT_SECONDS,
            zmq.RECONNECT_IVL: RECONNECT_DELAY_SECONDS,
            zmq.RECONNECT_IVL_MAX: MAX_RECONNECT_DELAY_SECONDS,
        }
        for option, seconds in seconds_by_option.items():
            self._socket.setsockopt(option, int(seconds * 1000))
        self._socket.setsockopt(zmq.ROUTING_ID, routing_id)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, self._send_queue_length)
        # Without a connection, ZeroMQ refuses a message instead of queueing it.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)

    def send(
        self, messages: Sequence[bytes], now: float, *, expects_answer: bool
    ) -> int:
        """Send encoded messages as the frames of one ZeroMQ message.

        :param expects_answer: whether the peer answers one of them at once.
        :returns: number of messages that were dropped.
        """
        self.sent_at = now
        if expects_answer and self.unanswered_since is None:
            self.unanswered_since = now
        if not self._is_connecting:
            return self._send_now(messages)
        self.has_unsent_replies = self.has_unsent_replies or not expects_answer
        n_free = self._send_queue_length - len(self._backlog)
        self._backlog.extend(messages[:n_free])
        return max(0, len(messages) - n_free)

    def _send_now(self, messages: Sequence[bytes]) -> int:
        try:
            self._socket.send_multipart(messages, zmq.DONTWAIT)
        except zmq.Again:
            return len(messages)
        return 0

    def handle_ready(self) -> int:
        """Send the backlog if the socket has connected.

        :returns: number of messages that were dropped.
        """
        if not self._is_connecting:
            return 0
        if int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLOUT:
            return self._end_connecting()
        self._add_reader()
        return 0

    def check_connect_timeout(self, now: float) -> int:
        """End the attempt to connect after the time-out.

        The backlog is dropped unless the socket has connected by now.

        :returns: number of messages that were dropped.
        """
        if not self._is_connecting or now - self._opened_at < CONNECT_TIMEOUT_SECONDS:
            return 0
        return self._end_connecting()

    def _end_connecting(self) -> int:
        self._is_connecting = False
        self.has_unsent_replies = False
        self._remove_reader()
        backlog, self._backlog = self._backlog, []
        return self._send_now(backlog) if backlog else 0

    def record_received(self, base_timeout_seconds: float) -> None:
        """Reset the response time-out after a message from the peer."""
        self.unanswered_since = None
        self.response_timeout_seconds = base_timeout_seconds

    def is_silent(self, now: float) -> bool:
        """Return whether a request has been unanswered for longer than the time-out."""
        since = self.unanswered_since
        return since is not None and now - since > self.response_timeout_seconds

    def close(self, linger_milliseconds: int = 0) -> None:
        """Close the socket, after sending for at most ``linger_milliseconds``."""
        self._remove_reader()
        if self._backlog and linger_milliseconds:
            self._send_now(self._backlog)
        self._socket.close(linger=linger_milliseconds)

    # ZeroMQ's descriptor becomes readable when the socket's state changes and stays so
    # until the state is read; the reader is therefore removed when it fires.

    def _add_reader(self) -> None:
        self._has_reader = True
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._handle_readable)

    def _remove_reader(self) -> None:
        if self._has_reader:
            self._has_reader = False
            asyncio.get_running_loop().remove_reader(self._socket.fileno())

    def _handle_readable(self) -> None:
        self._remove_reader()
        self._on_ready()
