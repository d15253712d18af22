"""TCP proxy on the loopback interface that injects network faults."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

CHUNK_BYTES = 64 * 1024
# Closing a socket with SO_LINGER on and a zero time-out sends a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkFaults:
    """Faults of one link.

    Bytes that are held back arrive when the fault ends, as after a network partition.

    :param delay_seconds: delay of each chunk, in both directions.
    :param holds_requests: whether bytes from the client are held back.
    :param holds_answers: whether bytes from the server are held back.
    :param refuses: whether new connections are reset.
    """

    delay_seconds: float = 0.0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


HEALTHY = LinkFaults()


class LinkProxy:
    """Forwards each connection to a port of its own to the target.

    :param port: of the target.
    :param host: of the target.
    :param choose_latency: returns the delay of a chunk on a link without faults.
    """

    def __init__(
        self,
        port: int,
        host: str = "127.0.0.1",
        choose_latency: Callable[[bytes], float] = lambda data: 0.0,
    ) -> None:
        self._choose_latency = choose_latency
        self._faults = HEALTHY
        # Set while bytes may flow in a direction; the key is True for requests.
        self._flow_events = {True: asyncio.Event(), False: asyncio.Event()}
        self.set_faults(HEALTHY)
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Port on which the proxy listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults of open and new connections."""
        self._faults = faults
        held = {True: faults.holds_requests, False: faults.holds_answers}
        for is_request, is_held in held.items():
            if is_held:
                self._flow_events[is_request].clear()
            else:
                self._flow_events[is_request].set()

    def reset(self) -> None:
        """Reset all open connections at both ends."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._faults.refuses:
            _reset(writer)
            return
        try:
            target = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, target[1]}
        forwarders = [
            asyncio.create_task(self._forward(reader, target[1], is_request=True)),
            asyncio.create_task(self._forward(target[0], writer, is_request=False)),
        ]
        self._tasks |= set(forwarders)
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for end in (writer, target[1]):
                self._writers.discard(end)
                end.close()
            for forwarder in forwarders:
                forwarder.cancel()
            self._tasks -= set(forwarders)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._flow_events[is_request].wait()
                delay_seconds = self._faults.delay_seconds + self._choose_latency(data)
                if delay_seconds:
                    await asyncio.sleep(delay_seconds)
                writer.write(data)
                await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    # The peer may already have closed the connection.
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
