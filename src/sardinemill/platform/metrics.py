"""Metrics in the Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import REGISTRY, generate_latest

from ..telemetry import OpenTelemetryMetrics


def make_metrics(instance: str, data_centre: str) -> OpenTelemetryMetrics:
    """Return metrics that :func:`format_metrics` includes.

    :param instance: name of the instance, an attribute of the metrics' resource.
    :param data_centre: of the instance, likewise.
    """
    reader = PrometheusMetricReader()
    return OpenTelemetryMetrics([reader], instance=instance, data_centre=data_centre)


def format_metrics() -> str:
    """Return all metrics of the process in the Prometheus text format."""
    return generate_latest(REGISTRY).decode()
