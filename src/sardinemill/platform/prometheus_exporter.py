"""Exporter of OpenTelemetry metrics in the Prometheus text format."""

from collections.abc import Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import REGISTRY, generate_latest

from ..opentelemetry_metrics import OpenTelemetryMetrics
from ..telemetry import Metric


class PrometheusExporter:
    """Records metrics with the SDK and formats those of the process.

    :param instance: name of the instance, an attribute of the metrics' resource.
    :param data_centre: of the instance, likewise.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        reader = PrometheusMetricReader()
        self._metrics = OpenTelemetryMetrics(
            [reader], instance=instance, data_centre=data_centre
        )

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        self._metrics.record(metric, value, labels)

    def format(self) -> str:
        """Return all metrics of the process in the Prometheus text format."""
        return generate_latest(REGISTRY).decode()
