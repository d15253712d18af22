"""Connections of one home to one database, one owning task each."""

import asyncio
from collections import deque
from dataclasses import replace

from ..errors import Outcome, SardinemillError, StatementError, UpstreamError
from ..groups import DatabaseDescription
from ..interfaces import Clock, Outlet, UpstreamConnection, UpstreamConnector
from ..messages import (
    Dispatch,
    Execution,
    Refusal,
    RefusalCode,
    RoutedRequest,
    UpstreamResult,
)

CONNECT_TIMEOUT_SECONDS = 1.0


class ConnectionPool:
    """Runs dispatched work on at most ``n_connections`` connections.

    Each connection belongs to one worker task; the workers share an inbox. The
    scheduling filter dispatches no more work than there are workers, so work does not
    wait here for longer than a connection takes to open.

    :param sink: receives an :class:`Execution` for each :class:`Dispatch`.
    """

    def __init__(
        self,
        database: DatabaseDescription,
        n_connections: int,
        connector: UpstreamConnector,
        clock: Clock,
        sink: Outlet,
    ) -> None:
        self._database = database
        self._n_connections = n_connections
        self._connector = connector
        self._clock = clock
        self._sink = sink
        self._waiting: deque[Dispatch] = deque()
        self._ready = asyncio.Semaphore(0)
        self._workers: list[asyncio.Task[None]] = []

    def offer(self, message: object) -> bool:
        """Accept a dispatch."""
        if not isinstance(message, Dispatch):
            return True
        self._waiting.append(message)
        self._ready.release()
        return True

    async def start(self) -> None:
        for number in range(self._n_connections):
            name = f"connection {self._database.name}/{number}"
            self._workers.append(asyncio.create_task(self._work(), name=name))

    async def drain(self) -> None:
        """Nothing to do: the scheduler empties the pool."""

    async def stop(self) -> None:
        for worker in self._workers:
            worker.cancel()
        await asyncio.gather(*self._workers, return_exceptions=True)
        self._workers.clear()

    async def _work(self) -> None:
        connection: UpstreamConnection | None = None
        try:
            while True:
                await self._ready.acquire()
                connection = await self._serve(self._waiting.popleft(), connection)
        finally:
            if connection is not None:
                await connection.close()

    async def _serve(
        self, dispatch: Dispatch, connection: UpstreamConnection | None
    ) -> UpstreamConnection | None:
        started_at = self._clock.now()
        result: UpstreamResult | None = None
        failure: Refusal | None = None
        try:
            if connection is None:
                connection = await self._connector.connect(
                    self._database, timeout_seconds=CONNECT_TIMEOUT_SECONDS
                )
            call = replace(dispatch.call, call_id=dispatch.routed.request.request_id)
            result = await connection.run(call)
        except SardinemillError as error:
            failure = self._make_refusal(dispatch.routed, error)
            if connection is not None and not isinstance(error, StatementError):
                await connection.close()
                connection = None
        self._sink.offer(
            Execution(
                routed=dispatch.routed,
                result=result,
                failure=failure,
                service_seconds=self._clock.now() - started_at,
            )
        )
        return connection

    def _make_refusal(self, routed: RoutedRequest, error: SardinemillError) -> Refusal:
        code = RefusalCode.INTERNAL
        if isinstance(error, StatementError):
            code = RefusalCode.STATEMENT
        elif isinstance(error, UpstreamError):
            code = RefusalCode.UPSTREAM
        return Refusal(
            request_id=routed.request.request_id,
            code=code,
            outcome=Outcome(error.outcome),
            step="execution",
            peer=self._database.name,
            message=error.message,
        )
