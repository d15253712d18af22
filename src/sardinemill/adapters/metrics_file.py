"""Export of metrics to a file as JSON lines."""

import asyncio
from collections.abc import Mapping
from typing import TextIO

from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    PeriodicExportingMetricReader,
)

from ..opentelemetry_metrics import OpenTelemetryMetrics
from ..settings import Settings
from ..telemetry import Metric, NoTelemetry, Telemetry


class MetricsFile:
    """Exporter that writes to ``metrics_file`` every ``metrics_seconds``.

    Measurements before its start and after its stop are dropped.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._telemetry: Telemetry = NoTelemetry()
        self._metrics: OpenTelemetryMetrics | None = None
        self._file: TextIO | None = None

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        """Record a measurement; see :class:`~sardinemill.telemetry.Telemetry`."""
        self._telemetry.record(metric, value, labels)

    async def start(self) -> None:
        """Open the file and start the exporter.

        :raises OSError: when the file cannot be opened.
        """
        settings = self._settings
        self._file = open(settings.metrics_file, "a", encoding="utf-8")  # noqa: ASYNC230, SIM115
        exporter = ConsoleMetricExporter(
            out=self._file,
            # One JSON document per line, so that a reader can follow the file.
            formatter=lambda data: data.to_json(indent=None) + "\n",
        )
        reader = PeriodicExportingMetricReader(
            exporter, export_interval_millis=settings.metrics_seconds * 1000
        )
        self._metrics = OpenTelemetryMetrics(
            [reader], instance=settings.name, data_centre=settings.data_centre
        )
        self._telemetry = self._metrics

    async def drain(self) -> None:
        """Do nothing: requests in flight are still measured."""

    async def stop(self) -> None:
        """Export once more and close the file."""
        self._telemetry = NoTelemetry()
        if self._metrics is not None:
            # Blocks until the exporter's thread has finished writing.
            await asyncio.to_thread(self._metrics.shutdown)
            self._metrics = None
        if self._file is not None:
            self._file.close()
            self._file = None
