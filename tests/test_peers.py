"""Peer links over TCP and in memory."""

import asyncio

import pytest
import zmq

from builders import ADDRESS, make_info
from sardinemill.adapters.clocks import SeededRandom, SystemClock, SystemRandom
from sardinemill.adapters.memory_peers import MemoryNetwork, MemoryPeerLink
from sardinemill.adapters.peers import STOP_LINGER_MILLISECONDS, ZmqPeerLink
from sardinemill.control import ForwardedCancellation, PeerEnvelope, VersionQuery
from sardinemill.groups import Address
from sardinemill.members import Heartbeat, InstanceState


class Collector:
    """Queues the messages that a link receives."""

    def __init__(self):
        self.queue = asyncio.Queue()

    def offer(self, message):
        self.queue.put_nowait(message)
        return True


class ZmqFleet:
    """Peer links over TCP, on ports assigned by the kernel."""

    async def start_link(self, name, **settings):
        sink = Collector()
        link = ZmqPeerLink(
            name, ADDRESS, sink, SystemClock(), SystemRandom(), **settings
        )
        await link.start()
        return link, sink.queue, make_info(name, peer_address=link.address)


class MemoryFleet:
    """Peer links over a simulated network."""

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
    """Send a message repeatedly until one arrives.

    Messages sent before the connection is established are dropped.
    """
    for _ in range(500):
        link.offer(envelope)
        try:
            return await asyncio.wait_for(queue.get(), 0.02)
        except TimeoutError:
            continue
    raise AssertionError("no message received")


async def wait_until(condition):
    """Poll a condition for at most 10 s."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met within 10 s")


@pytest.mark.parametrize("fleet_type", [ZmqFleet, MemoryFleet])
def test_messages_of_known_peers_alone_arrive(fleet_type):
    """Guards against accepted messages of unknown peers, and against loss between known
    peers.
    """

    async def run():
        fleet = fleet_type()
        first, first_queue, first_info = await fleet.start_link("a")
        second, second_queue, second_info = await fleet.start_link("b")
        unknown_peer, _, unknown_info = await fleet.start_link("c")
        first.set_peers([first_info, second_info])
        second.set_peers([first_info, second_info])
        unknown_peer.set_peers([second_info])
        cancellation = ForwardedCancellation(request_id="1")

        received = await send_until_received(
            first, PeerEnvelope(peer="*", message=cancellation), second_queue
        )
        assert received == PeerEnvelope(peer="a", message=cancellation)
        first.offer(PeerEnvelope(peer="a", message=cancellation))
        loopback = await asyncio.wait_for(first_queue.get(), 5)
        assert loopback == PeerEnvelope(peer="a", message=cancellation)

        # From an unknown peer, only its own introduction is accepted. Messages stay in
        # order, so its arrival shows that the earlier ones arrived and were refused.
        unknown_peer.offer(PeerEnvelope(peer="b", message=cancellation))
        introduction = make_heartbeat("c", info=unknown_info)
        received = await send_until_received(
            unknown_peer, PeerEnvelope(peer="b", message=introduction), second_queue
        )
        while received.peer == "a":
            received = await second_queue.get()
        assert received == PeerEnvelope(peer="c", message=introduction)
        spoofed = make_heartbeat("a", info=first_info)
        unknown_peer.offer(PeerEnvelope(peer="b", message=spoofed))
        unknown_peer.offer(PeerEnvelope(peer="b", message=introduction))
        while (
            received.message == introduction
            and second.counters.n_from_unknown_senders == 0
        ):
            received = await asyncio.wait_for(second_queue.get(), 5)
        assert received.message == introduction
        for link in (first, second, unknown_peer):
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
        # Envelopes to an unknown peer count as dropped.
        link.offer(PeerEnvelope(peer="z", message=make_heartbeat("a")))
        await wait_until(lambda: link.counters.n_dropped > 0)
        await link.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


def test_restarted_and_silent_peers_are_reached_again():
    """Guards against a silent connection that is not replaced, and against the
    replacement of a connection whose messages need no answer.
    """

    async def run():
        link, _, info = await ZmqFleet().start_link("a", silence_timeout_seconds=0.3)
        other, queue, other_info = await ZmqFleet().start_link("b")
        link.set_peers([other_info])
        other.set_peers([info])
        message = PeerEnvelope(peer="b", message=make_heartbeat("a"))
        await send_until_received(link, message, queue)
        await asyncio.sleep(1.0)
        assert link.counters.n_replaced == 0
        # The other side never answers, so the link replaces the connection.
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


def test_first_message_to_a_peer_arrives_although_the_link_stops():
    """Guards against a last reply that is lost because the connection for it is still
    being established when the link stops.
    """

    async def run():
        link, _, info = await ZmqFleet().start_link("a")
        other, queue, other_info = await ZmqFleet().start_link("b")
        other.set_peers([info])
        link.set_peers([other_info])
        message = PeerEnvelope(peer="b", message=make_heartbeat("a"))
        link.offer(message)
        await link.stop()
        received = await asyncio.wait_for(queue.get(), 5)
        assert received.message == message.message
        await other.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


def test_link_stops_in_time_although_a_peer_is_unreachable():
    """Guards against a stop that waits for a peer which is gone."""

    async def run():
        link, _, _ = await ZmqFleet().start_link("a")
        gone, _, gone_info = await ZmqFleet().start_link("b")
        await gone.stop()
        link.set_peers([gone_info])
        link.offer(PeerEnvelope(peer="b", message=make_heartbeat("a")))
        clock = SystemClock()
        started_at = clock.now()
        await link.stop()
        assert clock.now() - started_at < 2 * STOP_LINGER_MILLISECONDS / 1000

    asyncio.run(asyncio.wait_for(run(), 30))


def test_idle_connections_close_and_first_messages_arrive_in_order():
    """Guards against idle connections that stay open, and against loss of the messages
    that are sent while a connection is established.
    """

    async def run():
        link, _, info = await ZmqFleet().start_link(
            "a", silence_timeout_seconds=0.3, idle_timeout_seconds=0.1
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
            # An answer, so that the connection counts as idle and not as silent.
            other.offer(PeerEnvelope(peer="a", message=make_heartbeat("b")))
            await wait_until(lambda: link.n_connections == 0)
        await link.stop()
        await other.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


@pytest.mark.parametrize("host", ["a b", "\ud800", "a\0"])
def test_peer_whose_address_cannot_be_used_does_not_affect_others(host):
    """Guards against one odd address, such as a coordinator's in the store, that ends
    the task which sends to all peers.
    """

    async def run():
        fleet = ZmqFleet()
        one, _, info_one = await fleet.start_link("one")
        two, queue, info_two = await fleet.start_link("two")
        try:
            odd = make_info("odd", peer_address=Address(host, 1))
            one.set_peers([odd, info_two])
            two.set_peers([info_one])
            one.offer(PeerEnvelope(peer="odd", message=make_heartbeat("one")))
            await asyncio.sleep(0.05)
            envelope = PeerEnvelope(peer="two", message=make_heartbeat("one"))
            received = await send_until_received(one, envelope, queue)
            assert received.peer == "one"
            assert one.counters.n_dropped > 0
        finally:
            await asyncio.wait_for(one.stop(), 5.0)
            await asyncio.wait_for(two.stop(), 5.0)

    asyncio.run(run())


class SilencingProxy:
    """Forwards TCP connections to an address until they go silent.

    A silent connection stays open for the receiver, but nothing arrives on it any more.

    :ivar last_chunk: last bytes sent by the side that connected.
    """

    def __init__(self, target):
        self._target = target
        self._connections = []
        self._n_silent = 0
        self.last_chunk = b""

    async def start(self):
        """Listen and return the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])

    def silence(self):
        """Make the connections that are open now silent."""
        self._n_silent = len(self._connections)

    async def _serve(self, reader, writer):
        number = len(self._connections)
        host, port = self._target.host, self._target.port
        near, far = (reader, writer), await asyncio.open_connection(host, port)
        self._connections.append((near, far))
        await asyncio.gather(
            self._forward(number, near, far), self._forward(number, far, near)
        )

    async def _forward(self, number, source, target):
        while (data := await source[0].read(65536)) and number >= self._n_silent:
            if source is self._connections[number][0]:
                self.last_chunk = data
            target[1].write(data)


def test_replies_arrive_after_their_connection_went_silent():
    """Guards against a receiver that ignores all messages of a peer which connects
    again, because it still holds the connection that went silent.
    """

    async def run():
        fleet = ZmqFleet()
        first, _, first_info = await fleet.start_link("a")
        second, received, second_info = await fleet.start_link("b")
        proxy = SilencingProxy(second_info.peer_address)
        first.set_peers([make_info("b", peer_address=await proxy.start())])
        second.set_peers([first_info])

        async def send_reply():
            message = make_heartbeat("a", info=first_info)
            first.offer(PeerEnvelope(peer="b", message=message))
            await asyncio.sleep(0.05)

        while b"PING" not in proxy.last_chunk:
            await send_reply()
        # The receiver closes a connection only when a ping was the last it got.
        while b"PING" in proxy.last_chunk:
            await send_reply()
        proxy.silence()
        await send_reply()
        while not received.empty():
            received.get_nowait()
        while received.empty():
            await send_reply()
        await asyncio.gather(first.stop(), second.stop())

    asyncio.run(asyncio.wait_for(run(), 30))


def test_attempts_to_connect_are_short():
    """Guards against a link that comes back only when the kernel sends its unanswered
    SYN again, up to 8 s after a partition of 12 s.
    """

    async def run():
        link, _, info = await ZmqFleet().start_link("a")
        other = make_info("b", peer_address=link.address)
        link.set_peers([info, other])
        link.offer(PeerEnvelope(peer="b", message=make_heartbeat("a")))
        await wait_until(lambda: link.n_connections)
        connection = link._connections["b"]
        assert 0 < connection._socket.getsockopt(zmq.CONNECT_TIMEOUT) <= 1000
        await link.stop()

    asyncio.run(asyncio.wait_for(run(), 30))
