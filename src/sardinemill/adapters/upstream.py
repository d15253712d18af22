"""Connections to databases over WebSocket and MessagePack."""

import asyncio
from dataclasses import replace
from typing import TypeVar

import aiohttp

from ..errors import (
    CodecError,
    Outcome,
    StatementError,
    UpstreamBusy,
    UpstreamError,
    UpstreamUnavailable,
)
from ..groups import DatabaseDescription
from ..interfaces import Clock
from ..messages import Action, StatementKind, UpstreamCall, UpstreamResult
from ..positions import LogPosition
from ..replication import (
    AdmitRequest,
    DatabaseReport,
    FenceAnswer,
    FenceRequest,
    PromoteAnswer,
    PromoteRequest,
)
from .upstream_channel import CallLost, Channel
from .upstream_frames import (
    ADMIT,
    ERROR,
    FENCE,
    MAX_FRAME_BYTES,
    PROMOTE,
    REPORT,
    RUN,
    Frame,
    ReportRequest,
    decode_body,
    decode_error,
    make_request_ids,
)

HEARTBEAT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 10.0
CONTROL_REQUEST_TIMEOUT_SECONDS = 1.0
# Time for the answer in addition to the time of the long poll.
POLL_MARGIN_SECONDS = 1.0
# The peer may be unresponsive, so the closing handshake is given little time.
CLOSE_TIMEOUT_SECONDS = 0.5

T = TypeVar("T")


def _has_no_effect(call: UpstreamCall) -> bool:
    """Return whether a call without an answer has certainly changed no data.

    A begin changes nothing, since a broken connection rolls the transaction back.
    """
    if call.action is Action.BEGIN:
        return True
    return call.statement is not None and call.statement.kind is StatementKind.READ


def _decode(frame: Frame, body_type: type[T], step: str, peer: str) -> T:
    if frame.kind == ERROR:
        raise decode_error(frame, step, peer)
    return decode_body(frame, body_type, peer)


class WebSocketConnection:
    """Database connection for one call at a time."""

    def __init__(self, channel: Channel, call_timeout_seconds: float) -> None:
        self._channel = channel
        self._call_timeout_seconds = call_timeout_seconds

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        """Run a call.

        :raises UpstreamError: when the call fails. Without an answer, the connection is
            closed, and the outcome of a call that may have changed data is *unknown*.
        """
        has_answer = False
        try:
            frame = await self._channel.call(RUN, call, self._call_timeout_seconds)
            result = self._decode_result(call, frame)
            has_answer = True
            return result
        except CallLost as error:
            is_not_run = not error.is_sent or _has_no_effect(call)
            raise self._make_unavailable(error.reason, is_not_run) from error
        except CodecError as error:
            # Values that MessagePack cannot represent are refused before sending.
            has_answer = True
            raise StatementError(
                error.message, step="encode", peer=self._channel.peer
            ) from error
        except UpstreamError as error:
            has_answer = not isinstance(error, UpstreamUnavailable)
            raise
        finally:
            # A late answer, after a time-out or cancellation, must not be taken for the
            # answer to the next call.
            if not has_answer:
                self._channel.close()

    async def close(self) -> None:
        self._channel.close()

    def _decode_result(self, call: UpstreamCall, frame: Frame) -> UpstreamResult:
        peer = self._channel.peer
        try:
            result = _decode(frame, UpstreamResult, "run", peer)
        except CodecError as error:
            raise self._make_unavailable(error.message, _has_no_effect(call)) from error
        if result.call_id != call.call_id:
            raise self._make_unavailable("the answer is for another call", False)
        return result

    def _make_unavailable(self, reason: str, is_not_run: bool) -> UpstreamUnavailable:
        return UpstreamUnavailable(
            reason,
            step="run",
            peer=self._channel.peer,
            outcome=Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN,
        )


class WebSocketControl:
    """Control connection to one database; calls may overlap."""

    def __init__(self, channel: Channel, clock: Clock) -> None:
        self._channel = channel
        self._clock = clock

    async def report(
        self, *, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        asked_at = self._clock.now()
        body = ReportRequest(wait_for=wait_for, timeout_seconds=timeout_seconds)
        limit_seconds = timeout_seconds + POLL_MARGIN_SECONDS
        report = await self._call(
            REPORT, body, DatabaseReport, limit_seconds, Outcome.NOT_RUN
        )
        # ``replace`` keeps all fields. Listing them here would be faster, but such code
        # once omitted ``is_recovering``.
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def fence(self, request: FenceRequest) -> FenceAnswer:
        return await self._call(
            FENCE,
            request,
            FenceAnswer,
            CONTROL_REQUEST_TIMEOUT_SECONDS,
            Outcome.UNKNOWN,
        )

    async def admit(self, request: AdmitRequest) -> DatabaseReport:
        asked_at = self._clock.now()
        report = await self._call(
            ADMIT,
            request,
            DatabaseReport,
            CONTROL_REQUEST_TIMEOUT_SECONDS,
            Outcome.UNKNOWN,
        )
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def promote(self, request: PromoteRequest) -> PromoteAnswer:
        return await self._call(
            PROMOTE,
            request,
            PromoteAnswer,
            CONTROL_REQUEST_TIMEOUT_SECONDS,
            Outcome.UNKNOWN,
        )

    async def close(self) -> None:
        self._channel.close()

    async def _call(
        self,
        step: str,
        body: object,
        body_type: type[T],
        timeout_seconds: float,
        lost_outcome: Outcome,
    ) -> T:
        peer = self._channel.peer
        try:
            frame = await self._channel.call(step, body, timeout_seconds)
            return _decode(frame, body_type, step, peer)
        except CallLost as error:
            outcome = lost_outcome if error.is_sent else Outcome.NOT_RUN
            raise UpstreamUnavailable(
                error.reason, step=step, peer=peer, outcome=outcome
            ) from error
        except CodecError as error:
            raise UpstreamUnavailable(
                error.message, step=step, peer=peer, outcome=lost_outcome
            ) from error


class WebSocketConnector:
    """Connector over WebSocket; owns the client session.

    :param heartbeat_seconds: interval of pings; a connection is closed when no pong
        arrives within half of it.
    :param call_timeout_seconds: time limit of one statement or commit.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        heartbeat_seconds: float = HEARTBEAT_SECONDS,
        call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._clock = clock
        self._heartbeat_seconds = heartbeat_seconds
        self._call_timeout_seconds = call_timeout_seconds
        self._request_ids = make_request_ids()
        self._session: aiohttp.ClientSession | None = None
        self._channels: set[Channel] = set()

    async def start(self) -> None:
        """Open the client session; without it, the first connection opens it."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            )

    async def drain(self) -> None:
        """Do nothing: the owners of the connections finish their calls."""

    async def stop(self) -> None:
        """Close all connections and the client session."""
        channels = list(self._channels)
        for channel in channels:
            channel.close()
        readers = [channel.reader for channel in channels]
        await asyncio.gather(*readers, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> WebSocketConnection:
        channel = await self._open(database, "connection", timeout_seconds)
        return WebSocketConnection(channel, self._call_timeout_seconds)

    async def connect_control(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> WebSocketControl:
        channel = await self._open(database, "control", timeout_seconds)
        return WebSocketControl(channel, self._clock)

    async def _open(
        self, database: DatabaseDescription, path: str, timeout_seconds: float
    ) -> Channel:
        await self.start()
        assert self._session is not None
        url = f"http://{database.address}/{path}"
        try:
            async with asyncio.timeout(timeout_seconds):
                socket = await self._session.ws_connect(
                    url,
                    heartbeat=self._heartbeat_seconds,
                    max_msg_size=MAX_FRAME_BYTES,
                    timeout=aiohttp.ClientWSTimeout(ws_close=CLOSE_TIMEOUT_SECONDS),
                )
        except aiohttp.WSServerHandshakeError as error:
            error_type = UpstreamBusy if error.status == 503 else UpstreamUnavailable
            raise error_type(
                f"refused with status {error.status}",
                step="connect",
                peer=database.name,
            ) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise UpstreamUnavailable(
                "the database does not answer", step="connect", peer=database.name
            ) from error
        channel = Channel(socket, database.name, self._request_ids)
        self._channels.add(channel)
        channel.reader.add_done_callback(lambda _: self._channels.discard(channel))
        return channel
