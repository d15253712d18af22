"""WebSocket to a database that matches answers to overlapping calls by id."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp

from ..errors import CodecError
from .upstream_frames import Frame, decode_frame, encode_frame

# Number of ids of timed-out or cancelled calls that are kept to recognize and drop
# their late answers.
MAX_ABANDONED_IDS = 1024


class CallLost(Exception):
    """The connection broke or the call timed out before the answer came.

    :param is_sent: whether the request may have reached the database.
    """

    def __init__(self, reason: str, *, is_sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_sent = is_sent


@dataclass(frozen=True, slots=True)
class _Call:
    """Pending call.

    :param deadline: time on the event loop's clock at which the call times out.
    """

    answer: asyncio.Future[Frame]
    deadline: float


class Channel:
    """Overlapping calls over one WebSocket, which is owned by a reader task.

    One timer serves all calls. It is left running when a call ends, because setting
    and cancelling a timer for each call costs more than the saved wake-up.

    :param peer: name of the database, for error messages.
    :param request_ids: source of ids, shared by all channels of the process.
    """

    def __init__(
        self,
        socket: aiohttp.ClientWebSocketResponse,
        peer: str,
        request_ids: Iterator[int],
    ) -> None:
        self.peer = peer
        self._socket = socket
        self._request_ids = request_ids
        self._pending: dict[int, _Call] = {}
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._abandoned: dict[int, None] = {}
        self._is_open = True
        self.reader = asyncio.create_task(self._read_frames(), name=f"upstream {peer}")

    @property
    def is_open(self) -> bool:
        """Whether a call may be sent."""
        return self._is_open and not self._socket.closed

    def close(self) -> None:
        """Fail the pending calls; the reader task then closes the socket."""
        self._shut_down("the connection was closed")
        self.reader.cancel()

    async def call(self, kind: str, body: object, timeout_seconds: float) -> Frame:
        """Send a request and return its answer.

        :raises CallLost: when no answer arrives.
        :raises CodecError: when the body cannot be encoded; nothing was sent.
        """
        request_id = next(self._request_ids)
        data = encode_frame(request_id, kind, body)
        if not self.is_open:
            raise CallLost("the connection is closed", is_sent=False)
        answer: asyncio.Future[Frame] = self._loop.create_future()
        deadline = self._loop.time() + timeout_seconds
        self._pending[request_id] = _Call(answer, deadline)
        self._set_timer(deadline)
        try:
            await self._socket.send_bytes(data)
            return await answer
        except (aiohttp.ClientError, OSError) as error:
            self._shut_down("sending failed")
            raise CallLost("sending failed", is_sent=True) from error
        finally:
            self._abandon(request_id)

    def _set_timer(self, deadline: float) -> None:
        if self._timer is not None:
            if self._timer.when() <= deadline:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline, self._expire)

    def _expire(self) -> None:
        """Fail the calls that have timed out."""
        self._timer = None
        now = self._loop.time()
        for call in self._pending.values():
            if call.deadline <= now and not call.answer.done():
                call.answer.set_exception(CallLost("no answer in time", is_sent=True))
                # Marks the error as retrieved: the caller may be cancelled while it is
                # still sending, and then never awaits the answer.
                call.answer.exception()
        deadline = min(
            (call.deadline for call in self._pending.values() if call.deadline > now),
            default=None,
        )
        if deadline is not None:
            self._set_timer(deadline)

    def _abandon(self, request_id: int) -> None:
        """Remove a call; a late answer to it will be dropped."""
        if self._pending.pop(request_id, None) is None or not self._is_open:
            return
        self._abandoned[request_id] = None
        if len(self._abandoned) > MAX_ABANDONED_IDS:
            del self._abandoned[next(iter(self._abandoned))]

    async def _read_frames(self) -> None:
        reason = "the connection broke"
        try:
            async for message in self._socket:
                if message.type is not aiohttp.WSMsgType.BINARY:
                    break
                if not self._deliver(decode_frame(message.data, self.peer)):
                    reason = "an answer to another call arrived"
                    break
        except (CodecError, aiohttp.ClientError, OSError) as error:
            reason = str(error) or reason
        finally:
            self._shut_down(reason)
            await self._socket.close()

    def _deliver(self, frame: Frame) -> bool:
        if frame.request_id in self._abandoned:
            del self._abandoned[frame.request_id]
            return True
        call = self._pending.pop(frame.request_id, None)
        if call is None:
            return False
        if call.answer.done():
            # The call has just timed out, and its task has not run yet.
            return True
        call.answer.set_result(frame)
        return True

    def _shut_down(self, reason: str) -> None:
        self._is_open = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pending, self._pending = self._pending, {}
        for call in pending.values():
            if not call.answer.done():
                call.answer.set_exception(CallLost(reason, is_sent=True))
                # Marks the error as retrieved: a cancelled caller never awaits it.
                call.answer.exception()
