"""One WebSocket to a database, owned by one task; answers are matched by id."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp

from ..errors import CodecError
from .upstream_frames import Frame, decode_frame, encode_frame

# Ids of calls that were given up; their late answers are expected and dropped.
N_ABANDONED = 1024


class CallLost(Exception):
    """The channel broke or the time ran out before the answer came.

    :param is_sent: whether the request may have reached the database.
    """

    def __init__(self, reason: str, *, is_sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_sent = is_sent


@dataclass(frozen=True, slots=True)
class _Call:
    """Call whose answer has not come.

    :param due: seconds on the event loop's clock at which it is given up.
    """

    answer: asyncio.Future[Frame]
    due: float


class Channel:
    """Overlapping calls over one socket.

    One timer serves all calls. It is left running when a call ends, because setting
    and cancelling one for each call costs more than the wake-up saved.

    :param peer: database name, for errors.
    :param request_ids: shared by all channels of the process.
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
        self.reader = asyncio.create_task(self._read(), name=f"upstream {peer}")

    @property
    def is_open(self) -> bool:
        """Whether a call may be sent."""
        return self._is_open and not self._socket.closed

    def close(self) -> None:
        """Stop; the reader task closes the socket without holding up the caller."""
        self._end("the connection was closed")
        self.reader.cancel()

    async def call(self, kind: str, body: object, timeout_seconds: float) -> Frame:
        """Send a request and return its answer.

        :raises CallLost: when there is no answer.
        :raises CodecError: when the body cannot be encoded; nothing was sent.
        """
        request_id = next(self._request_ids)
        data = encode_frame(request_id, kind, body)
        if not self.is_open:
            raise CallLost("the connection is closed", is_sent=False)
        answer: asyncio.Future[Frame] = self._loop.create_future()
        due = self._loop.time() + timeout_seconds
        self._pending[request_id] = _Call(answer, due)
        self._set_timer(due)
        try:
            await self._socket.send_bytes(data)
            return await answer
        except (aiohttp.ClientError, OSError) as error:
            self._end("sending failed")
            raise CallLost("sending failed", is_sent=True) from error
        finally:
            self._forget(request_id)

    def _set_timer(self, due: float) -> None:
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._expire)

    def _expire(self) -> None:
        """Give up the calls whose time is over."""
        self._timer = None
        now = self._loop.time()
        for call in self._pending.values():
            if call.due <= now and not call.answer.done():
                call.answer.set_exception(CallLost("no answer in time", is_sent=True))
                # The caller may still be sending and be cancelled there.
                call.answer.exception()
        due = min(
            (call.due for call in self._pending.values() if call.due > now),
            default=None,
        )
        if due is not None:
            self._set_timer(due)

    def _forget(self, request_id: int) -> None:
        """Expect the answer of a call that was given up no more."""
        if self._pending.pop(request_id, None) is None or not self._is_open:
            return
        self._abandoned[request_id] = None
        if len(self._abandoned) > N_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    async def _read(self) -> None:
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
            self._end(reason)
            await self._socket.close()

    def _deliver(self, frame: Frame) -> bool:
        if frame.request_id in self._abandoned:
            del self._abandoned[frame.request_id]
            return True
        call = self._pending.pop(frame.request_id, None)
        if call is None:
            return False
        if call.answer.done():
            # Given up a moment ago; its task has not run yet.
            return True
        call.answer.set_result(frame)
        return True

    def _end(self, reason: str) -> None:
        self._is_open = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pending, self._pending = self._pending, {}
        for call in pending.values():
            if not call.answer.done():
                call.answer.set_exception(CallLost(reason, is_sent=True))
                # A caller that was cancelled never retrieves it.
                call.answer.exception()
