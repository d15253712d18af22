"""Metrics through the OpenTelemetry SDK with a reader in memory."""

from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from sardinemill.telemetry import (
    MAX_LABEL_VALUES,
    Metric,
    OpenTelemetryMetrics,
    read_metrics,
)


def test_labels_are_bounded_and_measurements_arrive():
    """Guards against labels from outside that fill the collector, and against a metric
    without a unit.
    """
    reader = InMemoryMetricReader()
    metrics = OpenTelemetryMetrics([reader], instance="a", data_centre="b")
    for number in range(MAX_LABEL_VALUES + 50):
        labels = {"workspace": f"w{number}", "sql": "select 1"}
        metrics.record(Metric.QUEUE_SECONDS, 0.5, labels)
    metrics.record(Metric.REQUESTS, 2, {"kind": "read"})
    metrics.record(Metric.REQUESTS, 3, {"kind": "read"})
    metrics.record(Metric.CONFIGURATION_VERSION, 7)
    values = read_metrics(reader)
    metrics.shutdown()
    queue = {key: value for key, value in values.items() if "queue" in key[0]}
    assert len(queue) == MAX_LABEL_VALUES + 1
    other = (("workspace", "other"),)
    assert queue["sardinemill.queue_seconds", other] == 25.0
    assert values["sardinemill.requests", (("kind", "read"),)] == 5.0
    assert values["sardinemill.configuration_version", ()] == 7.0
    assert all(metric.value.unit for metric in Metric)
