"""In-process peer links over a simulated network with fault injection."""

import asyncio
import heapq
from collections.abc import Sequence
from itertools import count

from ..codecs import encode_message
from ..control import PeerEnvelope
from ..interfaces import Clock, Outlet, RandomSource
from ..members import InstanceInfo, MembershipChanged
from .peer_receiver import PeerCounters, PeerReceiver


class MemoryNetwork:
    """Simulated network between in-memory peer links.

    :param random: decides on loss, duplication and delay.
    :ivar loss: probability that a message is lost.
    :ivar duplication: probability that a message is delivered twice.
    :ivar max_delay_seconds: upper bound of the random delay of a message; messages are
        reordered by it.
    """

    def __init__(self, clock: Clock, random: RandomSource) -> None:
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_seconds = 0.0
        self._clock = clock
        self._random = random
        self._links: dict[str, MemoryPeerLink] = {}
        self._partitions: set[frozenset[str]] = set()
        self._in_flight: list[tuple[float, int, str, str, bytes]] = []
        self._sequence_numbers = count()

    def partition(self, one: str, other: str) -> None:
        """Drop all messages between two instances from now on."""
        self._partitions.add(frozenset({one, other}))

    def heal(self) -> None:
        """End all partitions."""
        self._partitions.clear()

    def attach(self, name: str, link: "MemoryPeerLink") -> None:
        """Connect a link under the name of its instance."""
        self._links[name] = link

    def detach(self, name: str) -> None:
        """Disconnect a link; messages in flight to it are lost."""
        self._links.pop(name, None)

    def send(self, sender: str, receiver: str, data: bytes) -> bool:
        """Send a message, which may get lost, duplicated or delayed.

        :returns: ``False`` when the receiver is not connected.
        """
        if receiver not in self._links:
            return False
        n_copies = 1 if self._random.random() >= self.loss else 0
        if n_copies and self._random.random() < self.duplication:
            n_copies = 2
        for _ in range(n_copies):
            delay = self._random.random() * self.max_delay_seconds
            item = (
                self._clock.now() + delay,
                next(self._sequence_numbers),
                sender,
                receiver,
                data,
            )
            heapq.heappush(self._in_flight, item)
        return True

    @property
    def next_delivery(self) -> float | None:
        """Time of the next delivery in monotonic seconds, or ``None``."""
        return self._in_flight[0][0] if self._in_flight else None

    def deliver_due(self) -> None:
        """Deliver the messages that are due."""
        while self._in_flight and self._in_flight[0][0] <= self._clock.now():
            _, _, sender, receiver, data = heapq.heappop(self._in_flight)
            link = self._links.get(receiver)
            if (
                link is not None
                and frozenset({sender, receiver}) not in self._partitions
            ):
                link.receive(sender, data)


class MemoryPeerLink:
    """Peer link over a :class:`MemoryNetwork`.

    Messages are encoded by the same codec as between processes.

    :param sink: receives :class:`PeerEnvelope`.
    """

    def __init__(self, instance: str, network: MemoryNetwork, sink: Outlet) -> None:
        self.counters = PeerCounters()
        self._instance = instance
        self._network = network
        self._sink = sink
        self._receiver = PeerReceiver(sink, self.counters)
        self._peers: set[str] = set()

    async def start(self) -> None:
        self._network.attach(self._instance, self)

    async def drain(self) -> None:
        """Do nothing: messages are not queued in the link."""

    async def stop(self) -> None:
        self._network.detach(self._instance)

    def set_peers(self, instances: Sequence[InstanceInfo]) -> None:
        """Set the instances that are known peers."""
        self._peers = {item.name for item in instances} - {self._instance}

    def offer(self, message: object) -> bool:
        """Accept a :class:`PeerEnvelope` to send, or a change of membership."""
        if isinstance(message, MembershipChanged):
            self.set_peers(message.candidates)
            return True
        if not isinstance(message, PeerEnvelope):
            return True
        if message.peer == self._instance:
            return self._sink.offer(message)
        data = encode_message(message.message)
        names = sorted(self._peers) if message.peer == "*" else [message.peer]
        for name in names:
            if name in self._peers and self._network.send(self._instance, name, data):
                self.counters.n_sent += 1
            else:
                self.counters.n_dropped += 1
        self._schedule_delivery()
        return True

    def receive(self, sender: str, data: bytes) -> None:
        """Accept a message from the network."""
        self._receiver.receive(sender, sender in self._peers, data)

    def _schedule_delivery(self) -> None:
        """Schedule a delivery; without an event loop, tests call ``deliver_due``."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        loop.call_soon(self._network.deliver_due)
