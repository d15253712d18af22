"""Asynchronous replication from a primary: one task and one socket for each peer."""

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
RETRY_SECONDS = 0.2
# An idle primary sends an empty message, so that a replica that restarted empty or
# missed the change of primary catches up.
HEARTBEAT_SECONDS = 0.5


class Replicator:
    """Sends the log of a primary to one peer; idle while this is no primary.

    :param read_faults: faults in force, for cut links and lag.
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
        # Times at which this task first saw the log at an offset, for the lag.
        self._seen: deque[tuple[float, int]] = deque()
        self._due_offset = 0

    async def run(self) -> None:
        """Replicate until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                if not self._is_active():
                    await self._wait(HEARTBEAT_SECONDS)
                    continue
                try:
                    await self._connect(session)
                except (aiohttp.ClientError, OSError, TimeoutError, CodecError):
                    await self._clock.sleep(RETRY_SECONDS)

    def _is_active(self) -> bool:
        faults = self._read_faults()
        is_linked = self._peer not in faults.cut_peers and not faults.is_frozen
        return self._member.is_primary and is_linked

    async def _connect(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            socket = await session.ws_connect(
                self._url,
                max_msg_size=MAX_FRAME_BYTES,
                timeout=aiohttp.ClientWSTimeout(ws_close=RETRY_SECONDS),
            )
        try:
            await self._replicate(socket)
        finally:
            await socket.close()

    async def _replicate(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        next_offset = self._member.position.offset + 1
        while self._is_active():
            self._observe()
            last_offset = self._due_offset
            next_offset = min(next_offset, self._member.position.offset + 1)
            order = self._member.make_append(next_offset, last_offset)
            answer = await self._exchange(socket, order)
            if answer.fenced_term > order.term:
                # Superseded: the new primary will tell this database.
                await self._wait(HEARTBEAT_SECONDS)
                continue
            next_offset = answer.next_offset
            pause_seconds = self._observe()
            if answer.accepted and next_offset > self._due_offset:
                await self._wait(pause_seconds)

    def _observe(self) -> float:
        """Note the end of the log and find what is due.

        :returns: seconds until more is due.
        """
        now = self._clock.now()
        if self._member.fenced_term != self._term:
            self._term = self._member.fenced_term
            self._seen.clear()
            self._due_offset = 0
        offset = self._member.position.offset
        if offset > (self._seen[-1][1] if self._seen else self._due_offset):
            self._seen.append((now, offset))
        lag_seconds = self._read_faults().lag_seconds.get(self._peer, 0.0)
        while self._seen and self._seen[0][0] + lag_seconds <= now:
            self._due_offset = self._seen.popleft()[1]
        if not self._seen:
            return HEARTBEAT_SECONDS
        return min(HEARTBEAT_SECONDS, self._seen[0][0] + lag_seconds - now)

    async def _exchange(
        self, socket: aiohttp.ClientWebSocketResponse, order: AppendOrder
    ) -> AppendAnswer:
        request_id = next(self._request_ids)
        await socket.send_bytes(encode_frame(request_id, APPEND, order))
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            data = await socket.receive_bytes()
        frame = decode_frame(data, self._peer)
        if frame.request_id != request_id or frame.kind != DONE:
            raise CodecError("not the answer", step=APPEND, peer=self._peer)
        return decode_body(frame, AppendAnswer, self._peer)

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(max(seconds, 0.001)):
                await self._service.changed.wait()
        except TimeoutError:
            pass
