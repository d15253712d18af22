"""Peer link over TCP with ZeroMQ sockets."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import zmq

from ..codecs import encode_message
from ..control import PeerEnvelope, VersionQuery
from ..errors import CodecError
from ..events import Event, EventName
from ..fleet.messages import FleetQuestion, TokenRequest
from ..groups import Address
from ..interfaces import Clock, Outlet, RandomSource
from ..loans import BorrowRequest, ReserveQuery
from ..members import InstanceInfo, InstanceListQuery, MembershipChanged
from ..pipeline import Inbox
from ..sessions.gateway_messages import GatewayGreeting, GatewayStatement
from .peer_connection import (
    SEND_QUEUE_LENGTH,
    PeerConnection,
    choose_ping_interval_seconds,
)
from .peer_receiver import PeerCounters, PeerReceiver

# Envelopes queued for the sending task, for all peers together.
OUTBOX_CAPACITY = 50_000
# A larger message would delay all others on its connection.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Ample for peers in the same region, which receive messages within a few milliseconds.
STOP_LINGER_MILLISECONDS = 500
# A connection is replaced when nothing arrives for this time after a request to the
# peer. Checks run every third of it, so detection takes up to 4/3 of it. Each
# replacement that also stays silent doubles the time-out, up to the maximum.
SILENCE_TIMEOUT_SECONDS = 3.0
MAX_SILENCE_TIMEOUT_SECONDS = 60.0
# A connection on which nothing was sent for this time is closed.
IDLE_TIMEOUT_SECONDS = 60.0
# ZeroMQ messages received before the receiving task yields to others.
MAX_MESSAGES_PER_BATCH = 64
# Envelopes sent as frames of one ZeroMQ message.
MAX_ENVELOPES_PER_MESSAGE = 64


# Messages that a peer answers at once. Most peers only get heartbeats or replies, to
# which no answer is due; pings detect the failure of those connections.
_REQUEST_TYPES = (
    BorrowRequest,
    FleetQuestion,
    GatewayGreeting,
    GatewayStatement,
    InstanceListQuery,
    ReserveQuery,
    TokenRequest,
    VersionQuery,
)


@dataclass(frozen=True, slots=True)
class _SocketReady:
    """The socket of a connection may have become connected."""

    peer: str
    connection: PeerConnection


def _parse_sender(routing_id: bytes) -> str:
    """Return the name in a routing id, which is name, zero byte, random part."""
    return routing_id.partition(b"\0")[0].decode(errors="replace")


class ZmqPeerLink:
    """Peer link with a ROUTER socket for receiving and a DEALER socket for each peer.

    A connection is opened for the first message to a peer and closed when it is idle.
    Envelopes queued for the same peer are sent as frames of one ZeroMQ message.

    The routing id of a socket names the sender. Its random part lets a replacement
    connect while the receiver still holds the old connection.

    :param instance: name of this instance.
    :param address: address to bind; with port 0 the kernel assigns a port.
    :param sink: receives :class:`PeerEnvelope` from peers and from this instance.
    :param events: receives log events; ``None`` disables them.
    :param silence_timeout_seconds: time without an answer to a request or a ping after
        which a connection is replaced.
    :param idle_timeout_seconds: time without outgoing messages after which a
        connection is closed.
    :param send_queue_length: limit of messages queued for one peer.
    """

    def __init__(
        self,
        instance: str,
        address: Address,
        sink: Outlet,
        clock: Clock,
        random: RandomSource,
        *,
        events: Outlet | None = None,
        silence_timeout_seconds: float = SILENCE_TIMEOUT_SECONDS,
        idle_timeout_seconds: float = IDLE_TIMEOUT_SECONDS,
        send_queue_length: int = SEND_QUEUE_LENGTH,
    ) -> None:
        self.counters = PeerCounters()
        self.address = address
        self._instance = instance
        self._sink = sink
        self._clock = clock
        self._random = random
        self._events = events
        self._silence_timeout_seconds = silence_timeout_seconds
        self._idle_timeout_seconds = idle_timeout_seconds
        self._send_queue_length = send_queue_length
        self._receiver = PeerReceiver(sink, self.counters)
        self._outbox = Inbox()
        self._peers: dict[str, Address] = {}
        # Peers that get a request in the current batches.
        self._queried_peers: set[str] = set()
        self._connections: dict[str, PeerConnection] = {}
        self._context: zmq.Context[zmq.Socket[bytes]] | None = None
        self._router: zmq.Socket[bytes] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        # Number of messages dropped or refused, by peer, since the last log event.
        self._dropped: Counter[str] = Counter()

    @property
    def n_connections(self) -> int:
        """Number of open connections to peers."""
        return len(self._connections)

    # Life cycle

    async def start(self) -> None:
        """Bind the address; :attr:`address` then holds the port in use."""
        self._context = zmq.Context()
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        # A peer that connects again takes its routing id over from a connection that
        # has gone silent; otherwise all its further messages are ignored.
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        router.setsockopt(zmq.RCVHWM, self._send_queue_length)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        router.bind(f"tcp://{self.address}")
        endpoint = router.get_string(zmq.LAST_ENDPOINT).rstrip("\0")
        self.address = Address(self.address.host, int(endpoint.rpartition(":")[2]))
        self._router = router
        self._tasks = [
            asyncio.create_task(self._send_all(), name="peer sender"),
            asyncio.create_task(self._receive_all(router), name="peer receiver"),
        ]

    async def drain(self) -> None:
        """Do nothing: replies are sent while the filters drain."""

    async def stop(self) -> None:
        """Send the queued envelopes, then close all sockets.

        The last replies of a drain are offered shortly before the stop.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        deadline = self._clock.now() + STOP_LINGER_MILLISECONDS / 1000
        self._send_outbox()
        await self._send_unsent_replies(deadline)
        linger = max(0, round((deadline - self._clock.now()) * 1000))
        for connection in self._connections.values():
            connection.close(linger)
        self._connections.clear()
        if self._router is not None:
            self._router.close(linger=0)
        if self._context is not None:
            # Blocks until the sockets have lingered, so it runs outside the event loop.
            await asyncio.to_thread(self._context.term)

    async def _send_unsent_replies(self, deadline: float) -> None:
        """Wait until the connections that have to send replies are established.

        Requests are not waited for: nobody would handle the answers.
        """
        while self._clock.now() < deadline and any(
            item.has_unsent_replies for item in self._connections.values()
        ):
            await self._outbox.wait(deadline - self._clock.now())
            self._send_outbox()

    # Peers

    def set_peers(self, instances: Sequence[InstanceInfo]) -> None:
        """Set the instances that are known peers."""
        self._peers = {
            item.name: item.peer_address
            for item in instances
            if item.name != self._instance
        }
        # The sending task owns the sockets and applies the change in queue order.
        self._outbox.offer(self._peers)

    def _apply_peers(self) -> None:
        for name, connection in list(self._connections.items()):
            if self._peers.get(name) != connection.address:
                self._close(name)

    def _open(self, name: str, response_timeout_seconds: float) -> PeerConnection:
        assert self._context is not None
        connection = PeerConnection(
            self._context,
            self._peers[name],
            f"{self._instance}\0{self._random.make_id()}".encode(),
            now=self._clock.now(),
            ping_interval_seconds=choose_ping_interval_seconds(len(self._connections)),
            response_timeout_seconds=response_timeout_seconds,
            ping_timeout_seconds=self._silence_timeout_seconds,
            send_queue_length=self._send_queue_length,
            on_ready=lambda: self._offer_socket_ready(name),
        )
        self._connections[name] = connection
        return connection

    def _offer_socket_ready(self, name: str) -> None:
        # The sending task owns the socket.
        self._outbox.offer(_SocketReady(name, self._connections[name]))

    def _close(self, name: str) -> None:
        self._connections.pop(name).close()

    # Sending

    def offer(self, message: object) -> bool:
        """Accept a :class:`PeerEnvelope` to send, or a change of membership.

        :returns: ``False`` when the outbox is full; the envelope is then dropped.
        """
        if isinstance(message, MembershipChanged):
            self.set_peers(message.candidates)
            return True
        if not isinstance(message, PeerEnvelope):
            return True
        if message.peer == self._instance:
            return self._sink.offer(message)
        if len(self._outbox) >= OUTBOX_CAPACITY:
            self._count_one_dropped(message.peer)
            return False
        return self._outbox.offer(message)

    async def _send_all(self) -> None:
        interval_seconds = self._silence_timeout_seconds / 3
        next_check_at = self._clock.now() + interval_seconds
        while True:
            await self._outbox.wait(next_check_at - self._clock.now())
            self._send_outbox()
            now = self._clock.now()
            if now >= next_check_at:
                next_check_at = now + interval_seconds
                self._check_connections(now)
            if len(self._outbox):
                # Yields to other tasks also when the outbox never gets empty.
                await asyncio.sleep(0)

    def _send_outbox(self) -> None:
        """Send all queued envelopes, batched by peer, in the order of the queue."""
        batches: dict[str, list[bytes]] = {}
        while (message := self._outbox.take()) is not None:
            if isinstance(message, PeerEnvelope):
                self._add_to_batches(message, batches)
                continue
            self._send_batches(batches)
            if isinstance(message, _SocketReady):
                self._handle_socket_ready(message)
            else:
                self._apply_peers()
        self._send_batches(batches)

    def _handle_socket_ready(self, message: _SocketReady) -> None:
        if self._connections.get(message.peer) is message.connection:
            self._count_dropped(message.peer, message.connection.handle_ready())

    def _add_to_batches(
        self, envelope: PeerEnvelope, batches: dict[str, list[bytes]]
    ) -> None:
        try:
            data = encode_message(envelope.message)
        except CodecError:
            self.counters.n_malformed += 1
            return
        if len(data) > MAX_MESSAGE_BYTES:
            self._count_one_dropped(envelope.peer)
            return
        names = self._peers if envelope.peer == "*" else (envelope.peer,)
        if isinstance(envelope.message, _REQUEST_TYPES):
            self._queried_peers.update(names)
        for name in names:
            batch = batches.setdefault(name, [])
            batch.append(data)
            if len(batch) >= MAX_ENVELOPES_PER_MESSAGE:
                self._send(name, batches.pop(name))

    def _send_batches(self, batches: dict[str, list[bytes]]) -> None:
        for name, batch in batches.items():
            self._send(name, batch)
        batches.clear()

    def _send(self, name: str, batch: list[bytes]) -> None:
        if name not in self._peers:
            self._count_dropped(name, len(batch))
            return
        connection = self._connections.get(name)
        if connection is None:
            try:
                connection = self._open(name, self._silence_timeout_seconds)
            except CodecError:
                # Such an address may come from the store or from another instance.
                self._count_dropped(name, len(batch))
                return
        n_dropped = connection.send(
            batch, self._clock.now(), expects_answer=name in self._queried_peers
        )
        self._queried_peers.discard(name)
        self.counters.n_sent += len(batch) - n_dropped
        self._count_dropped(name, n_dropped)

    def _count_dropped(self, peer: str, n_messages: int) -> None:
        if n_messages:
            self.counters.n_dropped += n_messages
            self._dropped[peer] += n_messages

    def _count_one_dropped(self, peer: str) -> None:
        self._count_dropped(peer, 1)

    def _log(self, name: EventName, peer: str, n_messages: int = 0) -> None:
        if self._events is not None:
            self._events.offer(Event(name, {"peer": peer, "n_messages": n_messages}))

    # Receiving

    async def _receive_all(self, router: zmq.Socket[bytes]) -> None:
        """Receive messages until cancelled."""
        readable = asyncio.Event()
        loop = asyncio.get_running_loop()
        descriptor = router.fileno()

        def wake() -> None:
            # Level-triggered: the reader would fire again until the task has run.
            loop.remove_reader(descriptor)
            readable.set()

        try:
            while True:
                # The descriptor signals changes only, so the socket is drained first.
                if self._receive_batch(router):
                    await asyncio.sleep(0)
                    continue
                readable.clear()
                loop.add_reader(descriptor, wake)
                await readable.wait()
        finally:
            loop.remove_reader(descriptor)

    def _receive_batch(self, router: zmq.Socket[bytes]) -> bool:
        """Receive up to ``MAX_MESSAGES_PER_BATCH`` messages.

        :returns: whether more may have arrived.
        """
        for _ in range(MAX_MESSAGES_PER_BATCH):
            try:
                frames = router.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return False
            self._handle_frames(frames)
        return True

    def _handle_frames(self, frames: Sequence[bytes]) -> None:
        sender = _parse_sender(frames[0])
        is_known_peer = sender in self._peers
        is_accepted = False
        for data in frames[1:]:
            if self._receiver.receive(sender, is_known_peer, data):
                is_accepted = True
            else:
                self._dropped[sender] += 1
        connection = self._connections.get(sender)
        if is_accepted and connection is not None:
            connection.record_received(self._silence_timeout_seconds)

    def _check_connections(self, now: float) -> None:
        """Replace silent connections, close idle ones and log dropped messages.

        Pings detect a connection whose other end is gone. The response time-out also
        covers a peer that answers pings but from which no messages arrive.
        """
        for name, connection in list(self._connections.items()):
            self._count_dropped(name, connection.check_connect_timeout(now))
            if connection.is_silent(now):
                self._replace(name, connection)
            elif now - connection.sent_at > self._idle_timeout_seconds:
                self._close(name)
        # One event for each peer and interval, to bound the volume of the log.
        for name, n_messages in self._dropped.items():
            self._log(EventName.PEER_MESSAGE_DROPPED, name, n_messages)
        self._dropped.clear()

    def _replace(self, name: str, connection: PeerConnection) -> None:
        self._close(name)
        if self._peers.get(name) == connection.address:
            timeout_seconds = min(
                connection.response_timeout_seconds * 2, MAX_SILENCE_TIMEOUT_SECONDS
            )
            self._open(name, timeout_seconds)
        self.counters.n_replaced += 1
        self._log(EventName.PEER_LINK_REPLACED, name)
