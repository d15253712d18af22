"""Asynchronous replication from a primary: one task and one socket per peer."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable

import aiohttp

from ..adapters.upstream_frames import (
    APPEND,
    DONE,
    MAX_FRAME_BYTES,
    decode_body,
    decode_frame,
    encode_frame,
)
from ..errors import CodecError
from ..groups import Address
from ..interfaces import Clock
from .faults import DatabaseFaults
from .log import AppendAnswer, AppendOrder
from .service import DatabaseService

ANSWER_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.2
# An idle primary sends empty messages, so that a replica that restarted without its log
# or missed the failover catches up.
HEARTBEAT_INTERVAL_SECONDS = 0.5


class Replicator:
    """Sends the log to one peer while this database is the primary.

    It sends nothing while the database is frozen or the link to the peer is cut.

    :param read_faults: returns the faults in force, for cut links and lag.
    """

    def __init__(
        self,
        service: DatabaseService,
        peer: str,
        address: Address,
        clock: Clock,
        read_faults: Callable[[], DatabaseFaults],
    ) -> None:
        self._service = service
        self._member = service.database.member
        self._peer = peer
        self._url = f"http://{address}/control"
        self._clock = clock
        self._read_faults = read_faults
        self._request_ids = itertools.count(1)
        self._term = 0
        # Ends of the log that are not due yet because of the lag, each as the time at
        # which this task first saw it and its offset.
        self._pending_offsets: deque[tuple[float, int]] = deque()
        self._due_offset = 0

    async def run(self) -> None:
        """Replicate until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                if not self._is_active():
                    await self._wait(HEARTBEAT_INTERVAL_SECONDS)
                    continue
                try:
                    await self._connect_and_replicate(session)
                except (aiohttp.ClientError, OSError, TimeoutError, CodecError):
                    await self._clock.sleep(RETRY_DELAY_SECONDS)

    def _is_active(self) -> bool:
        faults = self._read_faults()
        is_linked = self._peer not in faults.cut_peers and not faults.is_frozen
        return self._member.is_primary and is_linked

    async def _connect_and_replicate(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            socket = await session.ws_connect(
                self._url,
                max_msg_size=MAX_FRAME_BYTES,
                timeout=aiohttp.ClientWSTimeout(ws_close=RETRY_DELAY_SECONDS),
            )
        try:
            await self._replicate(socket)
        finally:
            await socket.close()

    async def _replicate(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        next_offset = self._member.position.offset + 1
        while self._is_active():
            self._update_due_offset()
            last_offset = self._due_offset
            # The log is shorter if it was truncated before a new promotion.
            next_offset = min(next_offset, self._member.position.offset + 1)
            order = self._member.make_append(next_offset, last_offset)
            answer = await self._send_append(socket, order)
            if answer.fenced_term > order.term:
                # Superseded by a higher term; the new primary will send its log.
                await self._wait(HEARTBEAT_INTERVAL_SECONDS)
                continue
            next_offset = answer.next_offset
            wait_seconds = self._update_due_offset()
            if answer.accepted and next_offset > self._due_offset:
                await self._wait(wait_seconds)

    def _update_due_offset(self) -> float:
        """Update the offset up to which entries are due after the lag.

        :returns: seconds until further entries are due.
        """
        now = self._clock.now()
        if self._member.fenced_term != self._term:
            self._term = self._member.fenced_term
            # The log may have been truncated in between.
            self._pending_offsets.clear()
            self._due_offset = 0
        offset = self._member.position.offset
        if offset > (
            self._pending_offsets[-1][1] if self._pending_offsets else self._due_offset
        ):
            self._pending_offsets.append((now, offset))
        lag_seconds = self._read_faults().lag_seconds.get(self._peer, 0.0)
        while (
            self._pending_offsets and self._pending_offsets[0][0] + lag_seconds <= now
        ):
            self._due_offset = self._pending_offsets.popleft()[1]
        if not self._pending_offsets:
            return HEARTBEAT_INTERVAL_SECONDS
        return min(
            HEARTBEAT_INTERVAL_SECONDS, self._pending_offsets[0][0] + lag_seconds - now
        )

    async def _send_append(
        self, socket: aiohttp.ClientWebSocketResponse, order: AppendOrder
    ) -> AppendAnswer:
        request_id = next(self._request_ids)
        await socket.send_bytes(encode_frame(request_id, APPEND, order))
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            data = await socket.receive_bytes()
        frame = decode_frame(data, self._peer)
        if frame.request_id != request_id or frame.kind != DONE:
            raise CodecError(
                "unexpected frame instead of the answer", step=APPEND, peer=self._peer
            )
        return decode_body(frame, AppendAnswer, self._peer)

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(max(seconds, 0.001)):
                await self._service.changed.wait()
        except TimeoutError:
            pass
