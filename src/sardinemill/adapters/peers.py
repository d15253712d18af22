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
from .peer_connection import SEND_QUEUE_LENGTH, PeerConnection, choose_ping_seconds
from .peer_traffic import PeerCounters, Receiver

# Envelopes that wait for the sending task, over all peers.
OUTBOX_CAPACITY = 50_000
# A larger message could hold up all others of its connection.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Peers in the same region take what was sent within a few milliseconds.
STOP_LINGER_MILLISECONDS = 500
# A connection in use is replaced when its peer is not heard for this time after a
# message to it, at the next look of the watch: within 4/3 of this time. A peer that
# stays silent is tried again after twice the time, up to the maximum.
SILENCE_SECONDS = 3.0
MAX_SILENCE_SECONDS = 60.0
# Connections that nothing was sent on for this time are closed.
IDLE_SECONDS = 60.0
# Messages received before other tasks run.
BATCH_SIZE = 64
# Envelopes in one ZeroMQ message.
N_ENVELOPES = 64


# The peer answers these at once. Most peers only get heartbeats or replies, and their
# silence says nothing: connections that fail under those are found by the pings.
_QUESTIONS = (
    BorrowRequest,
    FleetQuestion,
    InstanceListQuery,
    ReserveQuery,
    TokenRequest,
    VersionQuery,
)


@dataclass(frozen=True, slots=True)
class _Ready:
    """The socket of a connection may have connected."""

    peer: str
    connection: PeerConnection


def _parse_sender(frame: bytes) -> str:
    """Name in an envelope frame: name, zero byte, random part."""
    return frame.partition(b"\0")[0].decode(errors="replace")


class ZmqPeerLink:
    """One bound ROUTER socket for receiving, one DEALER socket for each peer in use.

    Connections are opened by the first message and closed when they are idle. The
    envelopes that wait for one peer travel as one ZeroMQ message.

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
        idle_seconds: float = IDLE_SECONDS,
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
        self._idle_seconds = idle_seconds
        self._send_queue_length = send_queue_length
        self._receiver = Receiver(sink, self.counters)
        self._outbox = Inbox()
        self._peers: dict[str, Address] = {}
        # Peers that a question in the current batches goes to.
        self._asked: set[str] = set()
        self._connections: dict[str, PeerConnection] = {}
        self._context: zmq.Context[zmq.Socket[bytes]] | None = None
        self._router: zmq.Socket[bytes] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        # Dropped messages by peer since the last log line.
        self._dropped: Counter[str] = Counter()

    @property
    def n_connections(self) -> int:
        """Open connections to peers."""
        return len(self._connections)

    # Life cycle

    async def start(self) -> None:
        """Bind the own address; :attr:`address` then holds the port in use."""
        self._context = zmq.Context()
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
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
            connection.close(STOP_LINGER_MILLISECONDS)
        self._connections.clear()
        if self._router is not None:
            self._router.close(linger=0)
        if self._context is not None:
            # Waits for the lingering sockets, so it must not hold up the event loop.
            await asyncio.to_thread(self._context.term)

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

    def _open(self, name: str, patience_seconds: float) -> PeerConnection:
        assert self._context is not None
        connection = PeerConnection(
            self._context,
            self._peers[name],
            f"{self._instance}\0{self._random.make_id()}".encode(),
            now=self._clock.now(),
            ping_seconds=choose_ping_seconds(len(self._connections)),
            patience_seconds=patience_seconds,
            silence_seconds=self._silence_seconds,
            send_queue_length=self._send_queue_length,
            on_ready=lambda: self._report_ready(name),
        )
        self._connections[name] = connection
        return connection

    def _report_ready(self, name: str) -> None:
        # The sending task owns the socket.
        self._outbox.offer(_Ready(name, self._connections[name]))

    def _close(self, name: str) -> None:
        self._connections.pop(name).close()

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
        interval = self._silence_seconds / 3
        watch_at = self._clock.now() + interval
        while True:
            await self._outbox.wait(watch_at - self._clock.now())
            self._send_waiting()
            now = self._clock.now()
            if now >= watch_at:
                watch_at = now + interval
                self._watch_silence(now)
            if len(self._outbox):
                # Yields to other tasks even when there is always something to send.
                await asyncio.sleep(0)

    def _send_waiting(self) -> None:
        """Send all that waits, grouped by peer in the order of the offers."""
        batches: dict[str, list[bytes]] = {}
        while (message := self._outbox.take()) is not None:
            if isinstance(message, PeerEnvelope):
                self._collect(message, batches)
                continue
            self._send_batches(batches)
            if isinstance(message, _Ready):
                self._take_ready(message)
            else:
                self._apply_peers()
        self._send_batches(batches)

    def _take_ready(self, message: _Ready) -> None:
        if self._connections.get(message.peer) is message.connection:
            self._count_dropped(message.peer, message.connection.take_ready())

    def _collect(self, envelope: PeerEnvelope, batches: dict[str, list[bytes]]) -> None:
        try:
            data = encode_message(envelope.message)
        except CodecError:
            self.counters.n_malformed += 1
            return
        if len(data) > MAX_MESSAGE_BYTES:
            self._count_full(envelope.peer)
            return
        names = self._peers if envelope.peer == "*" else (envelope.peer,)
        if isinstance(envelope.message, _QUESTIONS):
            self._asked.update(names)
        for name in names:
            batch = batches.setdefault(name, [])
            batch.append(data)
            if len(batch) >= N_ENVELOPES:
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
            connection = self._open(name, self._silence_seconds)
        n_dropped = connection.send(
            batch, self._clock.now(), expects_answer=name in self._asked
        )
        self._asked.discard(name)
        self.counters.n_sent += len(batch) - n_dropped
        self._count_dropped(name, n_dropped)

    def _count_dropped(self, peer: str, n_messages: int) -> None:
        if n_messages:
            self.counters.n_full += n_messages
            self._dropped[peer] += n_messages

    def _count_full(self, peer: str) -> None:
        self._count_dropped(peer, 1)

    def _log(self, name: EventName, peer: str, n_messages: int = 0) -> None:
        if self._events is not None:
            self._events.offer(Event(name, {"peer": peer, "n_messages": n_messages}))

    # Receiving

    async def _receive_all(self, router: zmq.Socket[bytes]) -> None:
        """Take all that arrived at each wake-up."""
        readable = asyncio.Event()
        loop = asyncio.get_running_loop()
        descriptor = router.fileno()

        def wake() -> None:
            # Level-triggered: it would fire again until the task has run.
            loop.remove_reader(descriptor)
            readable.set()

        try:
            while True:
                # The descriptor tells of changes only, so the socket is emptied first.
                if self._receive_batch(router):
                    await asyncio.sleep(0)
                    continue
                readable.clear()
                loop.add_reader(descriptor, wake)
                await readable.wait()
        finally:
            loop.remove_reader(descriptor)

    def _receive_batch(self, router: zmq.Socket[bytes]) -> bool:
        """:returns: whether more may have arrived."""
        for _ in range(BATCH_SIZE):
            try:
                frames = router.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return False
            self._take(frames)
        return True

    def _take(self, frames: Sequence[bytes]) -> None:
        sender = _parse_sender(frames[0])
        is_known = sender in self._peers
        is_heard = False
        for data in frames[1:]:
            if self._receiver.receive(sender, is_known, data):
                is_heard = True
            else:
                self._dropped[sender] += 1
        connection = self._connections.get(sender)
        if is_heard and connection is not None:
            connection.take_sign(self._silence_seconds)

    def _watch_silence(self, now: float) -> None:
        """Look at all open connections: replace silent ones, close idle ones.

        Pings find a connection whose other end is gone; this also covers a peer that
        answers pings but no longer gets messages through.
        """
        for name, connection in list(self._connections.items()):
            self._count_dropped(name, connection.give_up_waiting(now))
            if connection.is_silent(now):
                self._replace(name, connection)
            elif now - connection.sent_at > self._idle_seconds:
                self._close(name)
        # One line for each peer and interval, however much was dropped.
        for name, n_messages in self._dropped.items():
            self._log(EventName.PEER_MESSAGE_DROPPED, name, n_messages)
        self._dropped.clear()

    def _replace(self, name: str, connection: PeerConnection) -> None:
        self._close(name)
        if self._peers.get(name) == connection.address:
            patience = min(connection.patience_seconds * 2, MAX_SILENCE_SECONDS)
            self._open(name, patience)
        self.counters.n_replaced += 1
        self._log(EventName.PEER_LINK_REPLACED, name)
