"""HTTP/1.1 on asyncio streams: client connections and a small server.

The messages are parsed and framed by h11. A full HTTP framework would double the time
that an instance needs to start, since it has a fraction of a core.
"""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

import h11

from ..errors import SardinemillError
from ..groups import Address
from .sockets import set_keep_alive

READ_SIZE_BYTES = 65536
# A read on a reused connection that is not answered by then is also sent on a new one,
# since connections can go silent for good. A slow store answers in about 0.25 s.
SECOND_ATTEMPT_DELAY_SECONDS = 0.5
# A client of the server that sends no request for this time is disconnected.
IDLE_TIMEOUT_SECONDS = 30.0


class HttpError(SardinemillError):
    """A call got no complete answer; the other side may have acted on it."""

    code = "no http answer"


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Answer to a request.

    :param status: HTTP status code.
    :param headers: of a received answer, by their names in lower case; of repeated
        ones the last.
    """

    status: int
    body: bytes = field(default=b"", repr=False)
    headers: Mapping[str, str] = field(default_factory=dict, compare=False)


@dataclass(frozen=True, slots=True)
class _Request:
    """Request of a client.

    :param target: path and query.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes = field(repr=False)


class _ClientConnection:
    """Open connection; owns the socket."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(our_role=h11.CLIENT)

    @property
    def is_reusable(self) -> bool:
        """Whether the last answer is complete and the server keeps the connection."""
        return self._protocol.our_state is h11.IDLE and not self._reader.at_eof()

    def close(self) -> None:
        """Close the socket."""
        self._writer.close()

    async def request(self, request: _Request) -> HttpAnswer:
        """Send a request and read the whole answer.

        :raises OSError: when the connection fails.
        :raises h11.ProtocolError: when the answer is incomplete or malformed.
        """
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        data = self._protocol.send(head) or b""
        if request.body:
            data += self._protocol.send(h11.Data(data=request.body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        status, parts, fields = 0, [], {}
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                received = await self._reader.read(READ_SIZE_BYTES)
                self._protocol.receive_data(received)
            elif isinstance(event, h11.Response):
                status = event.status_code
                fields = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the answer")
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        return HttpAnswer(status, b"".join(parts), fields)


class HttpClient:
    """Sends JSON requests to one address; owns its connections, which it reuses.

    :param connect_timeout_seconds: limit for opening a connection.
    """

    def __init__(self, address: Address, connect_timeout_seconds: float) -> None:
        self._address = address
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle: list[_ClientConnection] = []

    def close(self) -> None:
        """Close the idle connections; calls in progress close theirs."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def request(
        self,
        method: str,
        target: str,
        *,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        timeout_seconds: float,
    ) -> HttpAnswer:
        """Send a request, with a JSON body unless it is ``None``.

        :param target: path and query.
        :param headers: sent in UTF-8; the protocol allows no blank at the ends of a
            value and no line end.
        :raises HttpError: without a complete answer in time, or when a header has no
            valid form.
        """
        data = b"" if body is None else json.dumps(body).encode()
        texts = [("Host", str(self._address)), ("Accept", "application/json")]
        if data:
            texts.append(("Content-Type", "application/json"))
        if data or method != "GET":
            texts.append(("Content-Length", str(len(data))))
        texts += list((headers or {}).items())
        try:
            fields = [(name.encode(), value.encode()) for name, value in texts]
            async with asyncio.timeout(timeout_seconds):
                return await self._request(_Request(method, target, fields, data))
        except (OSError, TimeoutError, UnicodeEncodeError, h11.ProtocolError) as error:
            raise HttpError(
                type(error).__name__, step=method, peer=str(self._address)
            ) from error

    async def _request(self, request: _Request) -> HttpAnswer:
        connection = self._take_idle()
        if connection is None:
            return await self._use_new(request)
        if request.method != "GET":
            # Not repeated, since the server may have acted on it.
            return await self._use(connection, request)
        return await self._read(connection, request)

    async def _read(
        self, connection: _ClientConnection, request: _Request
    ) -> HttpAnswer:
        """Read on a reused connection, and on a new one if that fails or takes long.

        :raises OSError: when both attempts fail.
        :raises h11.ProtocolError: likewise.
        """
        first = asyncio.create_task(self._use(connection, request))
        attempts = [first]
        try:
            await asyncio.wait(attempts, timeout=SECOND_ATTEMPT_DELAY_SECONDS)
            if not first.done():
                # The idle connections may have gone silent at the same time.
                self.close()
            if not first.done() or first.exception() is not None:
                attempts.append(asyncio.create_task(self._use_new(request)))
            return await _wait_for_answer(attempts)
        finally:
            # An attempt that is not needed any more closes its connection.
            for attempt in attempts:
                attempt.cancel()
            await asyncio.gather(*attempts, return_exceptions=True)

    async def _use_new(self, request: _Request) -> HttpAnswer:
        return await self._use(await self._connect(), request)

    async def _use(
        self, connection: _ClientConnection, request: _Request
    ) -> HttpAnswer:
        """Run a request on a connection and keep or close the connection."""
        try:
            answer = await connection.request(request)
        except BaseException:
            connection.close()
            raise
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def _take_idle(self) -> _ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None

    async def _connect(self) -> _ClientConnection:
        async with asyncio.timeout(self._connect_timeout_seconds):
            reader, writer = await asyncio.open_connection(
                self._address.host, self._address.port
            )
        set_keep_alive(writer.get_extra_info("socket"))
        return _ClientConnection(reader, writer)


async def _wait_for_answer(attempts: Sequence[asyncio.Task[HttpAnswer]]) -> HttpAnswer:
    """Return the first answer, or raise the error of the last attempt."""
    pending = set(attempts)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            if attempt.exception() is None:
                return attempt.result()
    return attempts[-1].result()


class HttpServer:
    """Serves GET requests on one address; one task per connection owns its socket.

    :param respond: returns the answer for a path.
    """

    def __init__(
        self, address: Address, respond: Callable[[str], Awaitable[HttpAnswer]]
    ) -> None:
        self._address = address
        self._respond = respond
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Port that the server listens on, after the start."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen for connections."""
        self._server = await asyncio.start_server(
            self._serve, self._address.host, self._address.port
        )

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._answer_requests(reader, writer)
        except (OSError, TimeoutError, h11.ProtocolError):
            # The client left, sends nothing, or sends something other than HTTP.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def _answer_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        protocol = h11.Connection(our_role=h11.SERVER)
        path = ""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                    protocol.receive_data(await reader.read(READ_SIZE_BYTES))
            elif isinstance(event, h11.Request):
                path = event.target.decode("ascii").partition("?")[0]
            elif isinstance(event, h11.EndOfMessage):
                writer.write(_format_answer(protocol, await self._respond(path)))
                await writer.drain()
                if protocol.our_state is not h11.DONE:
                    return
                protocol.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return


def _format_answer(protocol: h11.Connection, answer: HttpAnswer) -> bytes:
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(answer.body))),
    ]
    head = h11.Response(status_code=answer.status, headers=headers)
    data = protocol.send(head) or b""
    if answer.body:
        data += protocol.send(h11.Data(data=answer.body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")
