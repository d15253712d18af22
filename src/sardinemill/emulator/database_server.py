"""WebSocket server of a database stand-in: connections, control channel, faults."""

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
from .database import Database
from .fault_injection import FaultInjector
from .faults import decode_change
from .log import AppendOrder
from .replication import Replicator
from .service import DatabaseService

CONNECT_SECONDS = 0.010
EXPIRY_INTERVAL_SECONDS = 1.0
# Clients ping every second; a socket that receives nothing for this long is aborted and
# its connection freed.
CLIENT_IDLE_TIMEOUT_SECONDS = 10.0

Send = Callable[[web.WebSocketResponse, bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseOptions:
    """Start-up arguments of a database stand-in.

    :param description: name, group, slot, address and connection limit; port 0 takes
        any free port.
    :param incarnation: changes with each restart, since the data is in memory.
    :param peers: the other databases of the group.
    :param is_initial_primary: starts a new group as primary of term 1.
    :param is_rejoining: see :class:`~sardinemill.emulator.member.GroupMember`.
    :param connect_seconds: time that opening a database connection takes.
    """

    description: DatabaseDescription
    incarnation: str
    peers: Mapping[str, Address] = field(default_factory=dict)
    is_initial_primary: bool = False
    is_rejoining: bool = False
    connect_seconds: float = CONNECT_SECONDS


class DatabaseServer:
    """Server of one database; a component of an application.

    :param log_event: receives events about changes of role and faults.
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
        # Wall-clock time, since the databases of a group are separate processes.
        self.service = DatabaseService(database, time.time)
        self._options = options
        self._clock = clock
        self._log_event = log_event
        self._injector = FaultInjector(clock, self._apply_faults)
        self._connection_ids = itertools.count(1)
        self._sockets: set[web.WebSocketResponse] = set()
        self._n_connections = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._port = description.address.port

    @property
    def description(self) -> DatabaseDescription:
        """Description with the port that the server listens on."""
        address = Address(self._options.description.address.host, self._port)
        return replace(self._options.description, address=address)

    async def start(self) -> None:
        """Start to listen and to replicate to the peers."""
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
        """Start replication to a peer."""
        replicator = Replicator(
            self.service, peer, address, self._clock, lambda: self._injector.faults
        )
        self._start_task(f"replication to {peer}", replicator.run())

    async def drain(self) -> None:
        """Report that this database is leaving its group."""
        self._injector.set_faults(replace(self._injector.faults, is_leaving=True))

    async def stop(self) -> None:
        """Close all sockets and roll back open transactions."""
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
        self.service.database.member.is_leaving = self._injector.faults.is_leaving
        self.service.changed.notify()

    async def _change_faults(self, request: web.Request) -> web.Response:
        try:
            change = decode_change(await request.read(), self._injector.faults)
        except (ValueError, msgspec.MsgspecError) as error:
            return web.json_response({"error": str(error)}, status=400)
        if change.is_silencing:
            self._injector.silence(set(self._sockets))
        self._injector.set_faults(change.faults)
        fields = {"database": self.description.name, "faults": str(change.faults)}
        self._log_event(Event(EventName.FAULTS_CHANGED, fields))
        return await self._show_faults(request)

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self._injector.faults),
            content_type="application/json",
        )

    # Sockets

    async def _serve_connection(self, request: web.Request) -> web.StreamResponse:
        await self._injector.wait_until_served()
        if self._n_connections >= self._options.description.n_connections:
            return web.json_response({"error": "no free connection"}, status=503)
        self._n_connections += 1
        connection_id = next(self._connection_ids)

        async def run(frame: Frame) -> object:
            call = decode_body(frame, UpstreamCall, "client")
            return await self.service.run(connection_id, call)

        try:
            await self._clock.sleep(self._options.connect_seconds)
            return await self._serve(request, run, self._injector.answer)
        finally:
            self._n_connections -= 1
            self.service.close_connection(connection_id)

    async def _serve_control(self, request: web.Request) -> web.StreamResponse:
        await self._injector.wait_until_served()
        return await self._serve(
            request, self._run_control_call, self._injector.answer_control
        )

    async def _run_control_call(self, frame: Frame) -> object:
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
        if order.source in self._injector.faults.cut_peers:
            # The link is cut, so the message counts as never received.
            await asyncio.get_running_loop().create_future()
        return self.service.append(order)

    async def _serve(
        self,
        request: web.Request,
        run: Callable[[Frame], Awaitable[object]],
        send: Send,
    ) -> web.StreamResponse:
        """Read one socket; calls run as tasks, so pings are answered meanwhile."""
        # Automatic pongs are off, since a frozen or silenced socket must send none.
        socket = web.WebSocketResponse(autoping=False, max_msg_size=MAX_FRAME_BYTES)
        await socket.prepare(request)
        self._sockets.add(socket)
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                # Frames that arrive while the database is frozen run afterwards, even
                # if their client has timed out, as with a paused process.
                await self._injector.wait_until_served()
                message = await socket.receive(timeout=CLIENT_IDLE_TIMEOUT_SECONDS)
                if message.type is WSMsgType.PING:
                    work = self._injector.answer_ping(socket, message.data)
                elif message.type is WSMsgType.BINARY:
                    work = self._answer(socket, message.data, run, send)
                elif message.type is WSMsgType.PONG:
                    continue
                else:
                    break
                call = asyncio.create_task(work)
                calls.add(call)
                call.add_done_callback(calls.discard)
                # Lets the call start before a following close frame cancels it.
                await asyncio.sleep(0)
        except TimeoutError:
            # A client that sends no pings would not answer a closing handshake either.
            if request.transport is not None:
                request.transport.abort()
        finally:
            for call in list(calls):
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            self._sockets.discard(socket)
            self._injector.remove_socket(socket)
        return socket

    async def _answer(
        self,
        socket: web.WebSocketResponse,
        data: bytes,
        run: Callable[[Frame], Awaitable[object]],
        send: Send,
    ) -> None:
        if not await self._injector.wait_until_served(socket):
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
            # The client disconnected; the reading task rolls back its transaction.
            return
