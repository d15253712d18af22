"""Metrics in the Prometheus text format, exported by a library that loads late."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from ..telemetry import Metric, Telemetry

# Values of histograms that are kept until the library is loaded. Further ones are
# dropped and counted.
MAX_PENDING_VALUES = 2000

_Key = tuple[Metric, tuple[tuple[str, str], ...]]


class MetricsExporter(Telemetry, Protocol):
    """Telemetry that can return its metrics as text."""

    def format(self) -> str:
        """Return all metrics in the Prometheus text format."""
        ...


class DeferredMetrics:
    """Telemetry that keeps measurements until metrics are requested for the first time.

    The exporter's library takes as long to load as the rest of the program and needs
    10 MB. Loading it in all instances some seconds after a common restart made requests
    late, so it loads when somebody asks.

    :param load: imports the exporter's library and returns the exporter.
    """

    def __init__(self, load: Callable[[], MetricsExporter]) -> None:
        self._load = load
        self._exporter: MetricsExporter | None = None
        self._totals: dict[_Key, float] = {}
        self._values: dict[_Key, list[float]] = {}
        self._n_values = 0
        self._n_dropped = 0
        self._loading: asyncio.Task[MetricsExporter] | None = None

    async def start(self) -> None:
        """Do nothing: the library loads on demand."""

    async def drain(self) -> None:
        """Do nothing: the metrics stay available until the stop."""

    async def stop(self) -> None:
        """Cancel a load in progress."""
        if self._loading is not None:
            self._loading.cancel()
            await asyncio.gather(self._loading, return_exceptions=True)

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        if self._exporter is not None:
            self._exporter.record(metric, value, labels)
            return
        key = (metric, tuple(sorted((labels or {}).items())))
        instrument = metric.value.instrument
        if instrument == "gauge":
            self._totals[key] = value
        elif instrument == "counter":
            self._totals[key] = self._totals.get(key, 0.0) + value
        elif self._n_values < MAX_PENDING_VALUES:
            self._n_values += 1
            self._values.setdefault(key, []).append(value)
        else:
            self._n_dropped += 1

    async def format(self) -> str:
        """Return all metrics in the Prometheus text format."""
        if self._loading is None:
            self._loading = asyncio.create_task(self._load_exporter())
        exporter = await asyncio.shield(self._loading)
        return exporter.format()

    async def _load_exporter(self) -> MetricsExporter:
        # In a thread, since the import would block the event loop.
        exporter = await asyncio.to_thread(self._load)
        for (metric, labels), total in self._totals.items():
            exporter.record(metric, total, dict(labels))
        for (metric, labels), values in self._values.items():
            for value in values:
                exporter.record(metric, value, dict(labels))
        if self._n_dropped:
            exporter.record(Metric.DROPPED_MEASUREMENTS, float(self._n_dropped))
        self._totals.clear()
        self._values.clear()
        self._exporter = exporter
        return exporter


def make_metrics(instance: str, data_centre: str) -> DeferredMetrics:
    """Return metrics of an instance that are exported through OpenTelemetry.

    :param instance: name of the instance, an attribute of the metrics' resource.
    :param data_centre: of the instance, likewise.
    """

    def load() -> MetricsExporter:
        from .prometheus_exporter import PrometheusExporter

        return PrometheusExporter(instance, data_centre)

    return DeferredMetrics(load)
