"""Loopback proxy between two parties, with faults that can be switched on."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

CHUNK_BYTES = 64 * 1024
# On, with no time to linger: closing sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkFaults:
    """Faults of one link.

    Bytes that are held back arrive when the fault ends, as after a cut of a network.

    :param delay_seconds: added to each chunk, in both directions.
    :param holds_requests: bytes of the party that connects are held back.
    :param holds_answers: bytes of the party that listens are held back.
    :param refuses: new connections are closed at once.
    """

    delay_seconds: float = 0.0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


HEALTHY = LinkFaults()


class LinkProxy:
    """Listens on a port of its own and connects to the target for each connection.

    :param port: of the target.
    :param host: of the target.
    """

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self._faults = HEALTHY
        # Set while bytes of the direction pass; True for requests.
        self._passes = {True: asyncio.Event(), False: asyncio.Event()}
        self.set_faults(HEALTHY)
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Port to connect to."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on a port that the kernel picks."""
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
        """Change the faults of open and new connections from now on."""
        self._faults = faults
        held = {True: faults.holds_requests, False: faults.holds_answers}
        for is_request, is_held in held.items():
            if is_held:
                self._passes[is_request].clear()
            else:
                self._passes[is_request].set()

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
        pumps = [
            asyncio.create_task(self._pump(reader, target[1], is_request=True)),
            asyncio.create_task(self._pump(target[0], writer, is_request=False)),
        ]
        self._tasks |= set(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for end in (writer, target[1]):
                self._writers.discard(end)
                end.close()
            for pump in pumps:
                pump.cancel()
            self._tasks -= set(pumps)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._passes[is_request].wait()
                if self._faults.delay_seconds:
                    await asyncio.sleep(self._faults.delay_seconds)
                writer.write(data)
                await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its other end sees a reset."""
    connection = writer.get_extra_info("socket")
    # The other end may have closed the connection a moment ago.
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
