"""Metrics in the Prometheus text format, exported by a library that loads late."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..telemetry import Metric, Telemetry

# The library takes as long to load as the rest of the program, and metrics can wait
# until the instance serves and the fleet has settled after a common restart.
LOAD_DELAY_SECONDS = 8.0
# Measurements that are kept until the library is loaded; further ones are counted.
MAX_PENDING_MEASUREMENTS = 20_000


class MetricsExporter(Telemetry, Protocol):
    """Telemetry that can return its metrics as text."""

    def format(self) -> str:
        """Return all metrics in the Prometheus text format."""
        ...


@dataclass(frozen=True, slots=True)
class _Measurement:
    metric: Metric
    value: float
    labels: Mapping[str, str] | None


class DeferredMetrics:
    """Telemetry that keeps measurements until its exporter is loaded.

    The exporter loads in a thread some time after the start, or at the first request
    for the metrics.

    :param load: imports the exporter's library and returns the exporter.
    """

    def __init__(self, load: Callable[[], MetricsExporter]) -> None:
        self._load = load
        self._exporter: MetricsExporter | None = None
        self._pending: list[_Measurement] = []
        self._n_dropped = 0
        self._task: asyncio.Task[None] | None = None
        self._loading: asyncio.Task[MetricsExporter] | None = None

    async def start(self) -> None:
        """Schedule the load."""
        self._task = asyncio.create_task(self._load_later(), name="metrics loader")

    async def drain(self) -> None:
        """Do nothing: the metrics stay available until the stop."""

    async def stop(self) -> None:
        """Cancel the load."""
        tasks = [task for task in (self._task, self._loading) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        if self._exporter is not None:
            self._exporter.record(metric, value, labels)
        elif len(self._pending) < MAX_PENDING_MEASUREMENTS:
            self._pending.append(_Measurement(metric, value, labels))
        else:
            self._n_dropped += 1

    async def format(self) -> str:
        """Return all metrics in the Prometheus text format."""
        exporter = await self._ensure_loaded()
        return exporter.format()

    async def _load_later(self) -> None:
        await asyncio.sleep(LOAD_DELAY_SECONDS)
        await self._ensure_loaded()

    async def _ensure_loaded(self) -> MetricsExporter:
        if self._loading is None:
            self._loading = asyncio.create_task(self._load_exporter())
        return await asyncio.shield(self._loading)

    async def _load_exporter(self) -> MetricsExporter:
        exporter = await asyncio.to_thread(self._load)
        for item in self._pending:
            exporter.record(item.metric, item.value, item.labels)
        if self._n_dropped:
            exporter.record(Metric.DROPPED_MEASUREMENTS, float(self._n_dropped))
        self._pending.clear()
        self._exporter = exporter
        return exporter


def make_metrics(instance: str, data_centre: str) -> DeferredMetrics:
    """Return metrics of an instance that are exported through OpenTelemetry.

    :param instance: name of the instance, an attribute of the metrics' resource.
    :param data_centre: of the instance, likewise.
    """

    def load() -> MetricsExporter:
        # Imported late, see LOAD_DELAY_SECONDS.
        from .prometheus_exporter import PrometheusExporter

        return PrometheusExporter(instance, data_centre)

    return DeferredMetrics(load)
