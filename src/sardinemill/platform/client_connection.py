"""Connection to one client: bounded reading of messages, and writing of answers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

from ..errors import CodecError
from ..sessions.client_limits import MESSAGE_TIMEOUT_SECONDS, SMALL_MESSAGE_BYTES
from .sockets import set_keep_alive
from .wire import LINE_END, MAX_LINE_BYTES, Line, parse_line

# What one read takes at most. More would let each of many clients fill that much memory
# before its connection is paused.
READ_BYTES = 8 * 1024
# Unsent bytes above which the next request waits.
WRITE_BUFFER_BYTES = 16 * 1024


class ClientConnection(asyncio.BufferedProtocol):
    """Reads messages and writes answers; owns the socket.

    The connection is paused while more than a small message has been received. Only a
    permit lets it receive the rest of a larger one.

    :param chunk: buffer for received bytes, shared by all connections of a listener:
        each read is copied out of it at once.
    :param on_connected: called when the socket is ready.
    """

    def __init__(
        self,
        chunk: bytearray,
        on_connected: Callable[["ClientConnection"], None],
    ) -> None:
        self._chunk = memoryview(chunk)
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._n_searched = 0
        self._limit_bytes = SMALL_MESSAGE_BYTES
        self._is_paused = False
        self._has_ended = False
        self._is_lost = False
        self._waiter: asyncio.Future[None] | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._closed = asyncio.Event()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new socket."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        set_keep_alive(transport.get_extra_info("socket"))
        self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._chunk

    def buffer_updated(self, nbytes: int) -> None:
        """Copy received bytes; ignore what follows the end of the stream."""
        if self._has_ended:
            return
        self._buffer += self._chunk[:nbytes]
        if len(self._buffer) > self._limit_bytes:
            self._pause()
        self._wake()

    def eof_received(self) -> bool:
        """End the stream; answers may still be written."""
        self._has_ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream and all waiting; drop requests that nobody awaits any more."""
        self._buffer.clear()
        self._n_searched = 0
        self._has_ended = self._is_lost = True
        self._wake()
        self._may_write.set()
        self._closed.set()

    def pause_writing(self) -> None:
        """Let the next request wait until the client takes its answers."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Go on with the next request."""
        self._may_write.set()

    # State

    @property
    def n_unsent(self) -> int:
        """Number of bytes that wait for the client to receive."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def has_partial_message(self) -> bool:
        """Whether something has been received that is no complete message yet."""
        return bool(self._buffer) and LINE_END not in self._buffer

    @property
    def is_paused(self) -> bool:
        """Whether nothing more is received at the moment."""
        return self._is_paused

    # Reading

    def end(self) -> None:
        """End the stream after what has been received; ignore what follows."""
        self._has_ended = True
        self._pause()
        self._wake()

    async def read_message(
        self, request_permit: Callable[[], Awaitable[None]]
    ) -> Line | None:
        """Read one message.

        :param request_permit: waits for the permit to receive a large message.
        :returns: ``None`` at the end of the stream; an incomplete message is dropped.
        :raises CodecError: when the message is too long.
        :raises TimeoutError: when a message that has begun is not completed in time.
        """
        while (line := self._take_line()) is None and not self._buffer:
            if self._has_ended:
                return None
            await self._wait()
        if line is not None:
            return parse_line(line)
        async with asyncio.timeout(MESSAGE_TIMEOUT_SECONDS):
            while (line := self._take_line()) is None:
                if self._has_ended:
                    return None
                if len(self._buffer) > MAX_LINE_BYTES:
                    raise CodecError("message too long", step="read", peer="client")
                if len(self._buffer) > self._limit_bytes:
                    await request_permit()
                    self._limit_bytes = MAX_LINE_BYTES
                    self._resume()
                await self._wait_for_more()
        return parse_line(line)

    def _take_line(self) -> bytes | None:
        """Remove and return the first line without its end, if it is complete."""
        end = self._buffer.find(LINE_END, max(0, self._n_searched - 1))
        if end < 0:
            self._n_searched = len(self._buffer)
            return None
        if end + len(LINE_END) > MAX_LINE_BYTES:
            raise CodecError("message too long", step="read", peer="client")
        line = bytes(memoryview(self._buffer)[:end])
        del self._buffer[: end + len(LINE_END)]
        self._n_searched = 0
        self._limit_bytes = SMALL_MESSAGE_BYTES
        if len(self._buffer) <= self._limit_bytes:
            self._resume()
        return line

    async def _wait_for_more(self) -> None:
        n_bytes = len(self._buffer)
        while len(self._buffer) == n_bytes and not self._has_ended:
            await self._wait()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _pause(self) -> None:
        if not self._is_paused and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._is_paused and not self._has_ended and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    # Writing

    def write(self, data: bytes) -> None:
        """Write bytes; they are dropped if the connection is lost."""
        if self._transport is not None and not self._is_lost:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the client has taken nearly all answers.

        :raises ConnectionError: when the connection is lost.
        """
        await self._may_write.wait()
        if self._is_lost:
            raise ConnectionResetError("connection lost")

    def close(self) -> None:
        """Close the socket once the answers are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the socket at once."""
        if self._transport is not None:
            self._transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the socket is closed."""
        await self._closed.wait()
