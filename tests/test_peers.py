"""Peer links over TCP and in memory, through the same tests."""

import asyncio

import pytest
import zmq

from builders import ADDRESS, make_info
from sardinemill.adapters.clocks import SeededRandom, SystemClock, SystemRandom
from sardinemill.adapters.memory_peers import MemoryNetwork, MemoryPeerLink
from sardinemill.adapters.peers import ZmqPeerLink
from sardinemill.control import ForwardedCancellation, PeerEnvelope, VersionQuery
from sardinemill.members import Heartbeat, InstanceState


class Collector:
    """Keeps what a link received."""

    def __init__(self):
        self.queue = asyncio.Queue()

    def offer(self, message):
        self.queue.put_nowait(message)
        return True


class ZmqFleet:
    """Links over TCP on ports chosen by the kernel."""

    async def start_link(self, name, **settings):
        sink = Collector()
        link = ZmqPeerLink(
            name, ADDRESS, sink, SystemClock(), SystemRandom(), **settings
        )
        await link.start()
        return link, sink.queue, make_info(name, peer_address=link.address)


class MemoryFleet:
    """Links in memory."""

    def __init__(self):
        self.network = MemoryNetwork(SystemClock(), SeededRandom(1))

    async def start_link(self, name):
        sink = Collector()
        link = MemoryPeerLink(name, self.network, sink)
        await link.start()
        return link, sink.queue, make_info(name)


def make_heartbeat(name, sequence=1, info=None):
    return Heartbeat(
        source=name,
        incarnation="1",
        sequence=sequence,
        state=InstanceState.LIVE,
        configuration_version=0,
        info=info,
    )


async def send_until_received(link, envelope, queue):
    """Repeat a message until the connection is up; earlier ones are dropped."""
    for _ in range(500):
        link.offer(envelope)
        try:
            return await asyncio.wait_for(queue.get(), 0.02)
        except TimeoutError:
            continue
    raise AssertionError("nothing was received")


async def wait_until(condition):
    """Wait for a condition that the event loop brings about."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not come about")


@pytest.mark.parametrize("fleet_type", [ZmqFleet, MemoryFleet])
def test_messages_of_known_peers_alone_arrive(fleet_type):
    """Guards against traffic of strangers, and against loss between known peers."""

    async def run():
        fleet = fleet_type()
        first, first_queue, first_info = await fleet.start_link("a")
        second, second_queue, second_info = await fleet.start_link("b")
        stranger, _, stranger_info = await fleet.start_link("c")
        first.set_peers([first_info, second_info])
        second.set_peers([first_info, second_info])
        stranger.set_peers([second_info])
        cancellation = ForwardedCancellation(request_id="1")

        received = await send_until_received(
            first, PeerEnvelope(peer="*", message=cancellation), second_queue
        )
        assert received == PeerEnvelope(peer="a", message=cancellation)
        first.offer(PeerEnvelope(peer="a", message=cancellation))
        loopback = await asyncio.wait_for(first_queue.get(), 5)
        assert loopback == PeerEnvelope(peer="a", message=cancellation)

        # A stranger gets through with its own introduction only, which shows that its
        # earlier messages had arrived too.
        stranger.offer(PeerEnvelope(peer="b", message=cancellation))
        introduction = make_heartbeat("c", info=stranger_info)
        received = await send_until_received(
            stranger, PeerEnvelope(peer="b", message=introduction), second_queue
        )
        while received.peer == "a":
            received = await second_queue.get()
        assert received == PeerEnvelope(peer="c", message=introduction)
        false_name = make_heartbeat("a", info=first_info)
        stranger.offer(PeerEnvelope(peer="b", message=false_name))
        stranger.offer(PeerEnvelope(peer="b", message=introduction))
        while received.message == introduction and second.counters.n_foreign == 0:
            received = await asyncio.wait_for(second_queue.get(), 5)
        assert received.message == introduction
        for link in (first, second, stranger):
            await link.stop()

    asyncio.run(run())


def test_malformed_and_full_are_counted_and_dropped():
    """Guards against a link that fails or blocks on bad input or a stopped peer."""

    async def run():
        link, queue, info = await ZmqFleet().start_link("a")
        other, _, other_info = await ZmqFleet().start_link("b")
        link.set_peers([info, other_info])
        context = zmq.Context()
        socket = context.socket(zmq.DEALER)
        socket.setsockopt(zmq.ROUTING_ID, b"b\0x")
        socket.connect(f"tcp://{link.address}")
        for frames in ([b"garbage"], [b"a", b"b"], [b"\xff" * 10]):
            socket.send_multipart(frames)
        good = PeerEnvelope(peer="a", message=make_heartbeat("b"))
        other.set_peers([info])
        assert (await send_until_received(other, good, queue)).peer == "b"
        await wait_until(lambda: link.counters.n_malformed >= 3)
        socket.close(linger=0)
        context.term()
        await other.stop()
        # Envelopes to a name that is no peer count as undeliverable.
        link.offer(PeerEnvelope(peer="z", message=make_heartbeat("a")))
        await wait_until(lambda: link.counters.n_full > 0)
        await link.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


def test_restarted_and_silent_peers_are_reached_again():
    """Guards against a socket that stays on a connection which went silent, and against
    one that is replaced although its messages need no answer.
    """

    async def run():
        link, _, info = await ZmqFleet().start_link("a", silence_seconds=0.3)
        other, queue, other_info = await ZmqFleet().start_link("b")
        link.set_peers([other_info])
        other.set_peers([info])
        message = PeerEnvelope(peer="b", message=make_heartbeat("a"))
        await send_until_received(link, message, queue)
        await asyncio.sleep(1.0)
        assert link.counters.n_replaced == 0
        # The other side never answers, so the link takes its socket for silent.
        query = VersionQuery(query_id="1", source="a", known_version=0)
        link.offer(PeerEnvelope(peer="b", message=query))
        await wait_until(lambda: link.counters.n_replaced > 0)
        while not queue.empty():
            queue.get_nowait()
        await send_until_received(link, message, queue)
        await other.stop()
        other, queue, other_info = await ZmqFleet().start_link("b")
        other.set_peers([info])
        link.set_peers([other_info])
        await send_until_received(link, message, queue)
        # A drain ends with replies that are offered just before the stop.
        for _ in range(100):
            link.offer(message)
        await link.stop()
        for _ in range(100):
            await asyncio.wait_for(queue.get(), 5)
        await other.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


def test_idle_connections_close_and_first_messages_arrive_in_order():
    """Guards against links that stay open unused, and against loss on first use."""

    async def run():
        link, _, info = await ZmqFleet().start_link(
            "a", silence_seconds=0.3, idle_seconds=0.1
        )
        other, queue, other_info = await ZmqFleet().start_link("b")
        other.set_peers([info])
        link.set_peers([other_info])
        assert link.n_connections == 0
        for _ in range(2):
            sent = [make_heartbeat("a", sequence) for sequence in range(200)]
            for message in sent:
                link.offer(PeerEnvelope(peer="b", message=message))
            for message in sent:
                received = await asyncio.wait_for(queue.get(), 5)
                assert received.message == message
            # An answer shows that the connection is not silent, only idle.
            other.offer(PeerEnvelope(peer="a", message=make_heartbeat("b")))
            await wait_until(lambda: link.n_connections == 0)
        await link.stop()
        await other.stop()

    asyncio.run(asyncio.wait_for(run(), 30))
