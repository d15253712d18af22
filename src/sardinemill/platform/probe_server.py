"""HTTP server for the platform's readiness probe and for metrics."""

from collections.abc import Callable

from aiohttp import web

from ..groups import Address

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
        format_metrics: Callable[[], str],
    ) -> None:
        self._addresses = (ready_address, metrics_address)
        self._is_ready = is_ready
        self._format_metrics = format_metrics
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Listen on both addresses."""
        handlers = (self._serve_readiness, self._serve_metrics)
        for address, handler in zip(self._addresses, handlers, strict=True):
            runner = web.ServerRunner(web.Server(handler))
            await runner.setup()
            await web.TCPSite(runner, address.host, address.port).start()
            self._runners.append(runner)

    async def drain(self) -> None:
        """Do nothing: the readiness answer already says that the instance drains."""

    async def stop(self) -> None:
        """Close the listeners."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    async def _serve_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(text=self._format_metrics())
