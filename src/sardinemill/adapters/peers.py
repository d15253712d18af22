"""Peer link over TCP with ZeroMQ sockets."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import zmq
import zmq.asyncio

from ..codecs import encode_message
from ..control import InstanceInfo, MembershipChanged, PeerEnvelope
from ..errors import CodecError
from ..events import Event, EventName
from ..groups import Address
from ..interfaces import Clock, Outlet, RandomSource
from ..pipeline import Inbox
from .peer_traffic import PeerCounters, Receiver

# Messages that wait for one peer; more than a busy entry sends to a home in the 3 s
# until a silent connection is given up.
SEND_QUEUE_LENGTH = 10_000
# Envelopes that wait for the sending task, over all peers.
OUTBOX_CAPACITY = 50_000
# A larger message could hold up all others of its connection.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
PING_SECONDS = 1.0
# Peers in the same region take what was sent within a few milliseconds.
STOP_LINGER_MILLISECONDS = 500
SILENCE_SECONDS = 3.0
RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 1.0
# Messages received before other tasks run.
BATCH_SIZE = 64


@dataclass(slots=True)
class _Connection:
    """Socket to one peer.

    :ivar used_at: when the peer was last heard, or the socket was made.
    """

    address: Address
    socket: zmq.Socket[bytes]
    used_at: float


def _parse_sender(frame: bytes) -> str:
    """Name in an envelope frame: name, zero byte, random part."""
    return frame.partition(b"\0")[0].decode(errors="replace")


class ZmqPeerLink:
    """One bound ROUTER socket for receiving, one DEALER socket for each peer.

    A socket's routing id is the envelope frame that names the sender. Its random part
    lets a replacement connect while the receiver still holds the silent connection.

    :param instance: own name.
    :param address: own peer address; port 0 lets the kernel choose.
    :param sink: receives :class:`PeerEnvelope` from peers and from this instance.
    :param events: receives log events, or ``None``.
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
        silence_seconds: float = SILENCE_SECONDS,
        send_queue_length: int = SEND_QUEUE_LENGTH,
    ) -> None:
        self.counters = PeerCounters()
        self.address = address
        self._instance = instance
        self._sink = sink
        self._clock = clock
        self._random = random
        self._events = events
        self._silence_seconds = silence_seconds
        self._send_queue_length = send_queue_length
        self._receiver = Receiver(sink, self.counters)
        self._outbox = Inbox()
        self._peers: dict[str, Address] = {}
        self._connections: dict[str, _Connection] = {}
        self._context: zmq.Context[zmq.Socket[bytes]] | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._tasks: list[asyncio.Task[None]] = []
        # Dropped messages by peer since the last log line.
        self._dropped: Counter[str] = Counter()

    # Life cycle

    async def start(self) -> None:
        """Bind the own address; :attr:`address` then holds the port in use."""
        self._context = zmq.Context()
        router = zmq.asyncio.Socket(self._context, zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.RCVHWM, self._send_queue_length)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._set_pings(router)
        router.bind(f"tcp://{self.address}")
        endpoint = router.get_string(zmq.LAST_ENDPOINT).rstrip("\0")
        self.address = Address(self.address.host, int(endpoint.rpartition(":")[2]))
        self._router = router
        self._tasks = [
            asyncio.create_task(self._send_all(), name="peer sender"),
            asyncio.create_task(self._receive_all(router), name="peer receiver"),
            asyncio.create_task(self._watch_silence(), name="peer watch"),
        ]

    async def drain(self) -> None:
        """Nothing to do: replies leave while the stages drain."""

    async def stop(self) -> None:
        """Send what was offered, then close all sockets.

        The last replies of a drain are offered shortly before.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._send_waiting()
        for connection in self._connections.values():
            connection.socket.close(linger=STOP_LINGER_MILLISECONDS)
        self._connections.clear()
        if self._router is not None:
            self._router.close(linger=0)
        if self._context is not None:
            # Waits for the lingering sockets, so it must not hold up the event loop.
            await asyncio.to_thread(self._context.term)

    def _set_pings(self, socket: zmq.Socket[bytes] | zmq.asyncio.Socket) -> None:
        """Let the library close connections whose other end is silent."""
        silence = int(self._silence_seconds * 1000)
        socket.setsockopt(zmq.HEARTBEAT_IVL, int(PING_SECONDS * 1000))
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, silence)
        socket.setsockopt(zmq.HEARTBEAT_TTL, silence)

    # Peers

    def set_peers(self, instances: Sequence[InstanceInfo]) -> None:
        """Set the instances that this one talks to."""
        self._peers = {
            item.name: item.peer_address
            for item in instances
            if item.name != self._instance
        }
        # The sending task owns the sockets and applies the change in order.
        self._outbox.offer(self._peers)

    def _apply_peers(self) -> None:
        for name, connection in list(self._connections.items()):
            if self._peers.get(name) != connection.address:
                self._close(name)
        for name, address in self._peers.items():
            if name not in self._connections:
                self._connect(name, address)

    def _connect(self, name: str, address: Address) -> None:
        assert self._context is not None
        socket = self._context.socket(zmq.DEALER)
        frame = f"{self._instance}\0{self._random.make_id()}".encode()
        socket.setsockopt(zmq.ROUTING_ID, frame)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, self._send_queue_length)
        # Without a connection a message is dropped at once; kept back, it would reach
        # a peer that comes back long after its sender gave it up.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, int(RECONNECT_SECONDS * 1000))
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, int(MAX_RECONNECT_SECONDS * 1000))
        self._set_pings(socket)
        socket.connect(f"tcp://{address}")
        self._connections[name] = _Connection(address, socket, self._clock.now())

    def _close(self, name: str) -> None:
        self._connections.pop(name).socket.close(linger=0)

    # Sending

    def offer(self, message: object) -> bool:
        """Take a :class:`PeerEnvelope` to send, or a change of membership.

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
            self._count_full(message.peer)
            return False
        return self._outbox.offer(message)

    async def _send_all(self) -> None:
        while True:
            await self._outbox.wait(None)
            self._send_waiting()
            await asyncio.sleep(0)

    def _send_waiting(self) -> None:
        while (message := self._outbox.take()) is not None:
            if isinstance(message, PeerEnvelope):
                self._send(message)
            else:
                self._apply_peers()

    def _send(self, envelope: PeerEnvelope) -> None:
        try:
            data = encode_message(envelope.message)
        except CodecError:
            self.counters.n_malformed += 1
            return
        names = [envelope.peer] if envelope.peer != "*" else list(self._connections)
        if len(data) > MAX_MESSAGE_BYTES:
            self._count_full(envelope.peer)
            return
        for name in names:
            connection = self._connections.get(name)
            if connection is None:
                self._count_full(name)
                continue
            try:
                connection.socket.send(data, zmq.DONTWAIT)
                self.counters.n_sent += 1
            except zmq.Again:
                self._count_full(name)

    def _count_full(self, peer: str) -> None:
        self.counters.n_full += 1
        self._dropped[peer] += 1

    def _log(self, name: EventName, peer: str, n_messages: int = 0) -> None:
        if self._events is not None:
            self._events.offer(Event(name, {"peer": peer, "n_messages": n_messages}))

    # Receiving

    async def _receive_all(self, router: zmq.asyncio.Socket) -> None:
        while True:
            await router.poll()
            for _ in range(BATCH_SIZE):
                with contextlib.suppress(zmq.Again):
                    frames = await router.recv_multipart(zmq.DONTWAIT)
                    self._take(frames)
                    continue
                break
            await asyncio.sleep(0)

    def _take(self, frames: Sequence[bytes]) -> None:
        sender = _parse_sender(frames[0])
        if len(frames) != 2:
            self.counters.n_malformed += 1
            self._dropped[sender] += 1
            return
        if not self._receiver.receive(sender, sender in self._peers, frames[1]):
            self._dropped[sender] += 1
            return
        connection = self._connections.get(sender)
        if connection is not None:
            connection.used_at = self._clock.now()

    async def _watch_silence(self) -> None:
        """Replace the sockets of peers that are not heard from.

        Pings find a connection whose other end is gone; this also covers a peer that
        answers pings but no longer gets messages through.
        """
        while True:
            await self._clock.sleep(self._silence_seconds / 3)
            # One line for each peer and interval, however much was dropped.
            for name, n_messages in self._dropped.items():
                self._log(EventName.PEER_MESSAGE_DROPPED, name, n_messages)
            self._dropped.clear()
            limit = self._clock.now() - self._silence_seconds
            for name, connection in list(self._connections.items()):
                if connection.used_at < limit:
                    self._close(name)
                    self._connect(name, connection.address)
                    self.counters.n_replaced += 1
                    self._log(EventName.PEER_LINK_REPLACED, name)
