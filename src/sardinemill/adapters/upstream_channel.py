"""One WebSocket to a database, owned by one task; answers are matched by id."""

import asyncio
from collections.abc import Iterator

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


class Channel:
    """Overlapping calls over one socket.

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
        self._pending: dict[int, asyncio.Future[Frame]] = {}
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
        answer: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._socket.send_bytes(data)
                return await answer
        except TimeoutError as error:
            raise CallLost("no answer in time", is_sent=True) from error
        except (aiohttp.ClientError, OSError) as error:
            self._end("sending failed")
            raise CallLost("sending failed", is_sent=True) from error
        finally:
            self._forget(request_id)

    def _forget(self, request_id: int) -> None:
        answer = self._pending.pop(request_id, None)
        if answer is None or answer.done():
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
        answer = self._pending.pop(frame.request_id, None)
        if answer is None:
            return False
        if not answer.done():
            answer.set_result(frame)
        return True

    def _end(self, reason: str) -> None:
        self._is_open = False
        pending, self._pending = self._pending, {}
        for answer in pending.values():
            if not answer.done():
                answer.set_exception(CallLost(reason, is_sent=True))
                # A caller that was cancelled never retrieves it.
                answer.exception()
