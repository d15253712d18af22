"""Database stand-in over WebSocket: connections, control channel and faults."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace

import msgspec
from aiohttp import WSMsgType, web

from ..adapters.upstream_frames import (
    ADMIT,
    APPEND,
    DONE,
    FENCE,
    MAX_FRAME_BYTES,
    PROMOTE,
    REPORT,
    RUN,
    Frame,
    ReportRequest,
    decode_body,
    decode_frame,
    encode_error,
    encode_frame,
)
from ..errors import CodecError, UpstreamError
from ..events import Event, EventName
from ..groups import Address, DatabaseDescription
from ..interfaces import Clock
from ..messages import UpstreamCall
from ..replication import AdmitRequest, FenceRequest, PromoteRequest
from .answers import AnswerGate
from .database import Database
from .faults import decode_change
from .log import AppendOrder
from .replication import Replicator
from .service import DatabaseService

CONNECT_SECONDS = 0.010
EXPIRY_INTERVAL_SECONDS = 1.0
# Clients ping every second; a socket without any sign of life holds its connection no
# longer than this.
CLIENT_SILENCE_SECONDS = 10.0

Send = Callable[[web.WebSocketResponse, bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseOptions:
    """Start-up arguments of a database stand-in.

    :param description: name, group, slot, address and connection limit; port 0 takes
        any free port.
    :param peers: the other databases of the group.
    :param is_initial_primary: starts a new group as primary of term 1.
    :param is_rejoining: starts in place of a database whose state is lost.
    :param connect_seconds: time that opening a database connection takes.
    """

    description: DatabaseDescription
    incarnation: str
    peers: Mapping[str, Address] = field(default_factory=dict)
    is_initial_primary: bool = False
    is_rejoining: bool = False
    connect_seconds: float = CONNECT_SECONDS


class DatabaseServer:
    """Serves one database; a part of an application.

    :param log_event: receives changes of role and faults.
    """

    def __init__(
        self,
        options: DatabaseOptions,
        clock: Clock,
        log_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        description = options.description
        database = Database(
            description.name,
            description.group,
            options.incarnation,
            is_initial_primary=options.is_initial_primary,
            is_rejoining=options.is_rejoining,
        )
        self.service = DatabaseService(database, time.time)
        self._options = options
        self._clock = clock
        self._log_event = log_event
        self._gate = AnswerGate(clock, self._apply_faults)
        self._numbers = itertools.count(1)
        self._sockets: set[web.WebSocketResponse] = set()
        self._n_connections = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._port = description.address.port

    @property
    def description(self) -> DatabaseDescription:
        """Description with the port in use."""
        address = Address(self._options.description.address.host, self._port)
        return replace(self._options.description, address=address)

    async def start(self) -> None:
        """Listen, and start replication to the peers."""
        app = web.Application()
        app.router.add_get("/connection", self._serve_connection)
        app.router.add_get("/control", self._serve_control)
        app.router.add_post("/faults", self._change_faults)
        app.router.add_get("/faults", self._show_faults)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await self._runner.setup()
        address = self._options.description.address
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()
        self._port = self._runner.addresses[0][1]
        self._start_task("expiry", self._expire())
        self._start_task("role log", self._log_roles())
        for peer, peer_address in self._options.peers.items():
            self.add_peer(peer, peer_address)

    def add_peer(self, peer: str, address: Address) -> None:
        """Start to replicate to a peer."""
        replicator = Replicator(
            self.service, peer, address, self._clock, lambda: self._gate.faults
        )
        self._start_task(f"replication to {peer}", replicator.run())

    async def drain(self) -> None:
        """Report that this database leaves."""
        self._gate.set_faults(replace(self._gate.faults, is_leaving=True))

    async def stop(self) -> None:
        """Close all sockets; open transactions are rolled back."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def _start_task(self, name: str, loop: Awaitable[None]) -> None:
        async def run() -> None:
            await loop

        self._tasks.append(asyncio.create_task(run(), name=name))

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_SECONDS)
            self.service.expire()

    async def _log_roles(self) -> None:
        seen = None
        while True:
            report = self.service.database.report()
            if seen != (report.role, report.fenced_term):
                seen = (report.role, report.fenced_term)
                fields = {
                    "database": report.database,
                    "role": report.role,
                    "term": report.fenced_term,
                    "offset": report.position.offset,
                }
                self._log_event(Event(EventName.DATABASE_ROLE_CHANGED, fields))
            await self.service.changed.wait()

    # Faults

    def _apply_faults(self) -> None:
        self.service.database.member.is_leaving = self._gate.faults.is_leaving
        self.service.changed.notify()

    async def _change_faults(self, request: web.Request) -> web.Response:
        try:
            change = decode_change(await request.read(), self._gate.faults)
        except (ValueError, msgspec.MsgspecError) as error:
            return web.json_response({"error": str(error)}, status=400)
        if change.is_silencing:
            self._gate.silence(set(self._sockets))
        self._gate.set_faults(change.faults)
        fields = {"database": self.description.name, "faults": str(change.faults)}
        self._log_event(Event(EventName.FAULTS_CHANGED, fields))
        return await self._show_faults(request)

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self._gate.faults),
            content_type="application/json",
        )

    # Sockets

    async def _serve_connection(self, request: web.Request) -> web.StreamResponse:
        await self._gate.enter()
        if self._n_connections >= self._options.description.n_connections:
            return web.json_response({"error": "no free connection"}, status=503)
        self._n_connections += 1
        number = next(self._numbers)

        async def run(frame: Frame) -> object:
            call = decode_body(frame, UpstreamCall, "client")
            return await self.service.run(number, call)

        try:
            await self._clock.sleep(self._options.connect_seconds)
            return await self._serve(request, run, self._gate.answer)
        finally:
            self._n_connections -= 1
            self.service.close_connection(number)

    async def _serve_control(self, request: web.Request) -> web.StreamResponse:
        await self._gate.enter()
        return await self._serve(request, self._control, self._gate.answer_control)

    async def _control(self, frame: Frame) -> object:
        if frame.kind == REPORT:
            body = decode_body(frame, ReportRequest, "client")
            return await self.service.report(body.wait_for, body.timeout_seconds)
        if frame.kind == FENCE:
            return self.service.fence(decode_body(frame, FenceRequest, "client"))
        if frame.kind == ADMIT:
            return self.service.admit(decode_body(frame, AdmitRequest, "client"))
        if frame.kind == PROMOTE:
            return self.service.promote(decode_body(frame, PromoteRequest, "client"))
        order = decode_body(frame, AppendOrder, "client")
        if order.source in self._gate.faults.cut_peers:
            # The message never arrived.
            await asyncio.get_running_loop().create_future()
        return self.service.append(order)

    async def _serve(
        self,
        request: web.Request,
        run: Callable[[Frame], Awaitable[object]],
        send: Send,
    ) -> web.StreamResponse:
        """Read one socket; calls run as tasks, so that pings are answered meanwhile."""
        # Pings are answered here, so that a frozen or silent socket leaves them out.
        socket = web.WebSocketResponse(autoping=False, max_msg_size=MAX_FRAME_BYTES)
        await socket.prepare(request)
        self._sockets.add(socket)
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                # Frames that arrive while the database is frozen run afterwards, also
                # when their client has given up, as with a paused process.
                await self._gate.enter()
                message = await socket.receive(timeout=CLIENT_SILENCE_SECONDS)
                if message.type is WSMsgType.PING:
                    work = self._gate.answer_ping(socket, message.data)
                elif message.type is WSMsgType.BINARY:
                    work = self._answer(socket, message.data, run, send)
                elif message.type is WSMsgType.PONG:
                    continue
                else:
                    break
                call = asyncio.create_task(work)
                calls.add(call)
                call.add_done_callback(calls.discard)
                # Lets the call start before a close behind it cancels it.
                await asyncio.sleep(0)
        except TimeoutError:
            if request.transport is not None:
                request.transport.abort()
        finally:
            for call in list(calls):
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            self._sockets.discard(socket)
            self._gate.forget(socket)
        return socket

    async def _answer(
        self,
        socket: web.WebSocketResponse,
        data: bytes,
        run: Callable[[Frame], Awaitable[object]],
        send: Send,
    ) -> None:
        if not await self._gate.enter(socket):
            return
        try:
            frame = decode_frame(data, "client")
            if frame.kind not in (RUN, REPORT, FENCE, ADMIT, PROMOTE, APPEND):
                raise CodecError(f"unknown kind {frame.kind}", step="decode")
        except CodecError:
            await socket.close()
            return
        try:
            result = await run(frame)
        except UpstreamError as error:
            answer = encode_error(frame.request_id, error)
        except CodecError as error:
            refusal = UpstreamError(error.message, step="decode")
            answer = encode_error(frame.request_id, refusal)
        else:
            answer = encode_frame(frame.request_id, DONE, result)
        try:
            await send(socket, answer)
        except ConnectionError:
            # The client has gone; its transaction is rolled back by the reader.
            return
