"""Peer links in one process, with faults that a test switches on."""

import asyncio
import heapq
from collections.abc import Sequence
from itertools import count

from ..codecs import encode_message
from ..control import PeerEnvelope
from ..interfaces import Clock, Outlet, RandomSource
from ..members import InstanceInfo, MembershipChanged
from .peer_traffic import PeerCounters, Receiver


class MemoryNetwork:
    """Network between links in memory.

    :param random: decides on loss, duplication and delay.
    :ivar loss: share of messages that are lost.
    :ivar duplication: share of messages that arrive twice.
    :ivar max_delay_seconds: messages arrive after a random time up to this one, and so
        out of order.
    """

    def __init__(self, clock: Clock, random: RandomSource) -> None:
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_seconds = 0.0
        self._clock = clock
        self._random = random
        self._links: dict[str, MemoryPeerLink] = {}
        self._cuts: set[frozenset[str]] = set()
        self._under_way: list[tuple[float, int, str, str, bytes]] = []
        self._numbers = count()

    def cut(self, one: str, other: str) -> None:
        """Lose everything between two instances."""
        self._cuts.add(frozenset({one, other}))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def attach(self, name: str, link: "MemoryPeerLink") -> None:
        """Connect a link."""
        self._links[name] = link

    def detach(self, name: str) -> None:
        """Disconnect a link; messages under way to it are lost."""
        self._links.pop(name, None)

    def carry(self, sender: str, receiver: str, data: bytes) -> bool:
        """Take a message.

        :returns: ``False`` when there is no connection to the receiver.
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
                next(self._numbers),
                sender,
                receiver,
                data,
            )
            heapq.heappush(self._under_way, item)
        return True

    @property
    def next_delivery(self) -> float | None:
        """Monotonic seconds at which the next message arrives, or ``None``."""
        return self._under_way[0][0] if self._under_way else None

    def deliver_due(self) -> None:
        """Hand over the messages whose time has come."""
        while self._under_way and self._under_way[0][0] <= self._clock.now():
            _, _, sender, receiver, data = heapq.heappop(self._under_way)
            link = self._links.get(receiver)
            if link is not None and frozenset({sender, receiver}) not in self._cuts:
                link.receive(sender, data)


class MemoryPeerLink:
    """Peer link to the other links of a hub.

    Messages go through the same codec as those between processes.

    :param sink: receives :class:`PeerEnvelope`.
    """

    def __init__(self, instance: str, network: MemoryNetwork, sink: Outlet) -> None:
        self.counters = PeerCounters()
        self._instance = instance
        self._network = network
        self._sink = sink
        self._receiver = Receiver(sink, self.counters)
        self._peers: set[str] = set()

    async def start(self) -> None:
        self._network.attach(self._instance, self)

    async def drain(self) -> None:
        """Nothing to do: messages are with the hub at once."""

    async def stop(self) -> None:
        self._network.detach(self._instance)

    def set_peers(self, instances: Sequence[InstanceInfo]) -> None:
        """Set the instances that this one talks to."""
        self._peers = {item.name for item in instances} - {self._instance}

    def offer(self, message: object) -> bool:
        """Take a :class:`PeerEnvelope` to send, or a change of membership."""
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
            if name in self._peers and self._network.carry(self._instance, name, data):
                self.counters.n_sent += 1
            else:
                self.counters.n_full += 1
        self._schedule_delivery()
        return True

    def receive(self, sender: str, data: bytes) -> None:
        """Take a message from the hub."""
        self._receiver.receive(sender, sender in self._peers, data)

    def _schedule_delivery(self) -> None:
        """Deliver from the event loop; without one, a test calls ``deliver_due``."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        loop.call_soon(self._network.deliver_due)
