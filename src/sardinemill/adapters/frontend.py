"""HTTP/1.1 front end for clients."""

import asyncio
import contextlib
from collections.abc import Sequence

from aiohttp import web

from ..errors import CodecError, Outcome, TokenError
from ..interfaces import Clock, Outlet, RandomSource
from ..messages import (
    Action,
    Answer,
    CallerRequest,
    Cancellation,
    Refusal,
    RefusalCode,
    Reply,
)
from ..pipeline import make_overload_refusal
from ..status import StatusBoard
from ..token_signer import TokenSigner
from . import http_codec

MAX_BODY_BYTES = 1_000_000
MAX_ANSWER_BYTES = 8_000_000
# Time after the deadline at which a request without a reply is answered with outcome
# unknown.
REPLY_GRACE_SECONDS = 1.0
# A request whose body has not arrived after this time is refused.
BODY_TIMEOUT_SECONDS = 10.0
# Longer than the longest time-out of a request and of its body, so that all requests
# that were read can finish.
SHUTDOWN_TIMEOUT_SECONDS = 75.0
# Ample for clients that read their response.
FLUSH_TIMEOUT_SECONDS = 5.0
FLUSH_POLL_SECONDS = 0.02

_ROUTES = (
    ("/v1/statement", Action.STATEMENT),
    ("/v1/transaction", Action.BEGIN),
    ("/v1/transaction/{transaction}/statement", Action.TRANSACTION_STATEMENT),
    ("/v1/transaction/{transaction}/commit", Action.COMMIT),
    ("/v1/transaction/{transaction}/rollback", Action.ROLLBACK),
)


class HttpFrontEnd:
    """HTTP server for clients: offers requests to ``pipeline`` and awaits the replies.

    :param pipeline: first filter of the request path.
    :param board: supplies the responses of the unauthenticated status routes.
    :param drain_seconds: time for which the listener stays open after a drain begins,
        because the load balancer notices the drain with a delay.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        pipeline: Outlet,
        board: StatusBoard,
        signer: TokenSigner,
        clock: Clock,
        random_source: RandomSource,
        drain_seconds: float,
    ) -> None:
        self._host = host
        self._port = port
        self._pipeline = pipeline
        self._board = board
        self._signer = signer
        self._clock = clock
        self._random_source = random_source
        self._drain_seconds = drain_seconds
        self._pending: dict[str, asyncio.Future[Reply]] = {}
        # One for each request whose head was read, done when its response is made.
        self._unanswered: set[asyncio.Future[None]] = set()
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Port of the listener; replaces a configured 0 once the listener is open."""
        return self._port

    def offer(self, message: object) -> bool:
        """Pass a reply to its request, if that is pending, and update the status."""
        if isinstance(message, Answer | Refusal):
            future = self._pending.get(message.request_id)
            if future is not None and not future.done():
                future.set_result(message)
        self._board.update(message)
        return True

    async def start(self) -> None:
        """Open the listener."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        for path, action in _ROUTES:
            application.router.add_post(path, self._make_handler(action))
        application.router.add_get("/v1/health", self._handle_health)
        application.router.add_get("/v1/ready", self._handle_ready)
        application.router.add_get("/v1/status", self._handle_status)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port, backlog=1024)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def drain(self) -> None:
        """Serve until the load balancer has noticed, then finish what was read."""
        await self._clock.sleep(self._drain_seconds)
        if self._runner is not None:
            for site in list(self._runner.sites):
                await site.stop()
        await self._finish_requests()

    async def _finish_requests(self) -> None:
        """Wait for the responses to all requests that were read."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_SECONDS):
                while self._unanswered:
                    await asyncio.wait(self._unanswered)
                    # Yields, so that the handlers can write their responses.
                    await asyncio.sleep(0)

    async def stop(self) -> None:
        """Finish the requests that were read, then close all connections.

        The clean-up of the runner discards what arrives during it, also the rest of a
        body, so that it begins when no request is incomplete.
        """
        if self._runner is not None:
            await self._finish_requests()
            transports = self._list_transports()
            await self._runner.cleanup()
            self._runner = None
            await self._flush(transports)

    def _list_transports(self) -> list[asyncio.Transport]:
        server = None if self._runner is None else self._runner.server
        if server is None:
            return []
        transports = [item.transport for item in server.connections]
        return [item for item in transports if item is not None]

    async def _flush(self, transports: Sequence[asyncio.Transport]) -> None:
        """Wait until the kernel has taken all responses.

        A closed transport sends what is in its buffer, but only while the event loop
        runs.
        """
        end = self._clock.now() + FLUSH_TIMEOUT_SECONDS
        while self._clock.now() < end and any(
            item.get_write_buffer_size() for item in transports
        ):
            await self._clock.sleep(FLUSH_POLL_SECONDS)

    def _make_handler(self, action: Action):  # type: ignore[no-untyped-def]
        async def handle(http_request: web.Request) -> web.Response:
            answered = asyncio.get_running_loop().create_future()
            self._unanswered.add(answered)
            try:
                return await self._handle(http_request, action)
            finally:
                self._unanswered.discard(answered)
                answered.set_result(None)

        return handle

    async def _handle(self, http_request: web.Request, action: Action) -> web.Response:
        request_id = self._random_source.make_id()
        try:
            request = await self._decode(http_request, action, request_id)
        except TimeoutError:
            reply: Reply = _make_refusal(
                request_id, RefusalCode.DEADLINE, "the body did not arrive in time"
            )
        except web.HTTPRequestEntityTooLarge:
            reply = _make_refusal(
                request_id, RefusalCode.TOO_LARGE, "the body is over 1 MB"
            )
        except TokenError as error:
            reply = _make_refusal(request_id, RefusalCode.BAD_TOKEN, error.message)
        except CodecError as error:
            reply = _make_refusal(request_id, RefusalCode.BAD_REQUEST, error.message)
        else:
            reply = await self._run_request(request)
        return self._make_response(reply)

    async def _decode(
        self, http_request: web.Request, action: Action, request_id: str
    ) -> CallerRequest:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            body = await http_request.read()
        return http_codec.decode_request(
            request_id=request_id,
            action=action,
            headers=http_request.headers,
            body=body,
            transaction=http_request.match_info.get("transaction"),
            signer=self._signer,
            now=self._clock.now(),
        )

    async def _run_request(self, request: CallerRequest) -> Reply:
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[request.request_id] = future
        timeout_seconds = request.deadline - self._clock.now() + REPLY_GRACE_SECONDS
        try:
            if not self._pipeline.offer(request):
                refusal = make_overload_refusal(request, "frontend")
                if refusal is not None:
                    self._board.update(refusal)
                    return refusal
            async with asyncio.timeout(timeout_seconds):
                return await future
        except TimeoutError:
            self._pipeline.offer(Cancellation(request_id=request.request_id))
            return Refusal(
                request_id=request.request_id,
                code=RefusalCode.DEADLINE,
                outcome=Outcome.UNKNOWN,
                step="frontend",
                message="no reply before the deadline",
            )
        except asyncio.CancelledError:
            self._pipeline.offer(Cancellation(request_id=request.request_id))
            raise
        finally:
            del self._pending[request.request_id]

    def _make_response(self, reply: Reply) -> web.Response:
        if isinstance(reply, Answer):
            body, headers = http_codec.encode_answer(reply, self._signer)
            if len(body) > MAX_ANSWER_BYTES:
                return self._make_response(_make_large_answer_refusal(reply))
            status = 200
        else:
            status, body, headers = http_codec.encode_refusal(reply, self._signer)
        response = web.Response(
            status=status, body=body, headers=headers, content_type="application/json"
        )
        if self._board.is_draining:
            response.force_close()
        return response

    async def _handle_health(self, http_request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _handle_ready(self, http_request: web.Request) -> web.Response:
        is_ready = self._board.is_ready(self._clock.now())
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def _handle_status(self, http_request: web.Request) -> web.Response:
        status = self._board.make_status(self._clock.now())
        return web.Response(
            body=http_codec.encode_status(status), content_type="application/json"
        )


def _make_refusal(request_id: str, code: RefusalCode, text: str) -> Refusal:
    return Refusal(
        request_id=request_id,
        code=code,
        outcome=Outcome.NOT_RUN,
        step="frontend",
        message=text,
    )


def _make_large_answer_refusal(answer: Answer) -> Refusal:
    return Refusal(
        request_id=answer.request_id,
        code=RefusalCode.TOO_LARGE,
        outcome=Outcome.DONE,
        step="frontend",
        peer=answer.served_by,
        message="the answer is too large; the statement has run",
        session=answer.session,
    )
