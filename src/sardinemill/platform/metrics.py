"""Metrics as text for the platform's reader."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import REGISTRY, generate_latest

from ..telemetry import OpenTelemetryMetrics


def make_metrics(instance: str, data_centre: str) -> OpenTelemetryMetrics:
    """Metrics that :func:`format_metrics` shows."""
    reader = PrometheusMetricReader()
    return OpenTelemetryMetrics([reader], instance=instance, data_centre=data_centre)


def format_metrics() -> str:
    """All metrics of the process in the text format."""
    return generate_latest(REGISTRY).decode()
