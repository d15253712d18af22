"""Metrics of an instance as JSON lines in a file."""

import asyncio
from collections.abc import Mapping
from typing import TextIO

from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    PeriodicExportingMetricReader,
)

from ..settings import Settings
from ..telemetry import Metric, NoTelemetry, OpenTelemetryMetrics, Telemetry


class MetricsFile:
    """Part that exports to ``metrics_file`` every ``metrics_seconds``.

    Measurements outside of its life cycle are dropped.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._telemetry: Telemetry = NoTelemetry()
        self._metrics: OpenTelemetryMetrics | None = None
        self._file: TextIO | None = None

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        """Take a measurement, as in :class:`~sardinemill.telemetry.Telemetry`."""
        self._telemetry.record(metric, value, labels)

    async def start(self) -> None:
        """Open the file and start the exporter.

        :raises OSError: when the file cannot be opened.
        """
        settings = self._settings
        self._file = open(settings.metrics_file, "a", encoding="utf-8")  # noqa: ASYNC230, SIM115
        exporter = ConsoleMetricExporter(
            out=self._file,
            # One document a line, so that a reader can follow the file.
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
        """Measurements of work in flight are still taken."""

    async def stop(self) -> None:
        """Export once more and close the file."""
        self._telemetry = NoTelemetry()
        if self._metrics is not None:
            # Joins the exporter's thread, which may be writing.
            await asyncio.to_thread(self._metrics.shutdown)
            self._metrics = None
        if self._file is not None:
            self._file.close()
            self._file = None
