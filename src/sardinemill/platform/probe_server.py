"""HTTP server for the platform's readiness probe and for metrics."""

from collections.abc import Awaitable, Callable

from ..groups import Address
from .http import HttpAnswer, HttpServer

READINESS_PATH = "/sardinemill/readiness"
METRICS_PATH = "/metrics"


class ProbeServer:
    """Serves readiness and metrics, each on an address of its own.

    :param is_ready: returns whether the instance accepts new sessions.
    :param format_metrics: returns all metrics in the text format.
    """

    def __init__(
        self,
        ready_address: Address,
        metrics_address: Address,
        is_ready: Callable[[], bool],
        format_metrics: Callable[[], Awaitable[str]],
    ) -> None:
        self._is_ready = is_ready
        self._format_metrics = format_metrics
        self._servers = (
            HttpServer(ready_address, self._answer_readiness),
            HttpServer(metrics_address, self._answer_metrics),
        )

    @property
    def ports(self) -> tuple[int, int]:
        """Ports of readiness and metrics, after the start."""
        readiness, metrics = self._servers
        return readiness.port, metrics.port

    async def start(self) -> None:
        """Listen on both addresses."""
        for server in self._servers:
            await server.start()

    async def drain(self) -> None:
        """Do nothing: the readiness answer already says that the instance drains."""

    async def stop(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            await server.stop()

    async def _answer_readiness(self, path: str) -> HttpAnswer:
        if path != READINESS_PATH:
            return HttpAnswer(404)
        return HttpAnswer(200 if self._is_ready() else 503)

    async def _answer_metrics(self, path: str) -> HttpAnswer:
        if path != METRICS_PATH:
            return HttpAnswer(404)
        return HttpAnswer(200, (await self._format_metrics()).encode())
