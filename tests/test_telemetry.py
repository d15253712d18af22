"""Metrics of the OpenTelemetry SDK, read from memory and from a file."""

import asyncio
import json
from pathlib import Path

from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from memory_fleet import MemoryFleet, post
from sardinemill.adapters.clocks import SystemClock
from sardinemill.adapters.metrics_file import MetricsFile
from sardinemill.measurements import Measurements
from sardinemill.opentelemetry_metrics import (
    MAX_LABEL_VALUES,
    OpenTelemetryMetrics,
    read_metrics,
)
from sardinemill.settings import Settings
from sardinemill.telemetry import SESSION_METRICS, Metric


def test_labels_are_bounded_and_measurements_arrive():
    """Guards against unbounded label values from outside, which exhaust the collector,
    and against a metric without a unit.
    """
    reader = InMemoryMetricReader()
    metrics = OpenTelemetryMetrics([reader], instance="a", data_centre="b")
    for number in range(MAX_LABEL_VALUES + 50):
        labels = {"code": f"c{number}", "sql": "select 1"}
        metrics.record(Metric.REFUSALS, 0.5, labels)
    metrics.record(Metric.REQUESTS, 2, {"kind": "read"})
    metrics.record(Metric.REQUESTS, 3, {"kind": "read"})
    metrics.record(Metric.CONFIGURATION_VERSION, 7)
    values = read_metrics(reader)
    metrics.shutdown()
    refused = {key: value for key, value in values.items() if "refusals" in key[0]}
    assert len(refused) == MAX_LABEL_VALUES + 1
    other = (("code", "other"),)
    assert refused["sardinemill.refusals", other] == 25.0
    assert values["sardinemill.requests", (("kind", "read"),)] == 5.0
    assert values["sardinemill.configuration_version", ()] == 7.0
    assert all(metric.value.unit for metric in Metric)


def test_page_lists_every_metric():
    """Guards against a documentation page of metrics that differs from the code."""
    page = Path(__file__).parents[1].joinpath("docs/metrics.md").read_text()
    rows = [line for line in page.splitlines() if line.startswith("| `")]
    assert rows == [
        f"| `sardinemill.{metric.name.lower()}` | {kind.instrument} | `{kind.unit}` "
        f"| {', '.join(kind.labels)} | {kind.description} |"
        for metric in Metric
        for kind in [metric.value]
    ]


def read_points(path):
    """Map metric names to the data points of the last export."""
    last = json.loads(path.read_text().splitlines()[-1])
    return {
        metric["name"]: metric["data"]["data_points"]
        for resource in last["resource_metrics"]
        for scope in resource["scope_metrics"]
        for metric in scope["metrics"]
    }


def test_instance_writes_its_metrics_to_a_file(tmp_path, caplog):
    """Guards against metrics that are declared but never recorded, against a final
    export that is lost at shutdown, against values that the SDK rejects (such as an
    infinite age), and against callers' data in labels.
    """
    path = tmp_path / "metrics.jsonl"
    settings = Settings(
        name="i0",
        data_centre="x",
        fleet_secret=b"f" * 32,
        metrics_file=str(path),
        metrics_seconds=3600.0,
    )
    metrics = MetricsFile(settings)
    measured = Measurements(metrics, SystemClock())

    async def scenario(fleet, client):
        for _ in range(200):
            status, _, _ = await post(client, fleet.url("i0"), "select 'marked' as m")
            if status == 200:
                break
        assert status == 200
        status, _, _ = await post(client, fleet.url("i0"), "select 1", key="wrong-key")
        assert status == 401

    asyncio.run(MemoryFleet(1, parts=(metrics,), observer=measured).run(scenario))
    assert not [item for item in caplog.records if "opentelemetry" in item.name]
    points = read_points(path)
    kinds = {point["attributes"]["kind"] for point in points["sardinemill.requests"]}
    assert kinds == {"read"}
    refused = [point["attributes"] for point in points["sardinemill.refusals"]]
    assert {"code": "unauthorized", "outcome": "not run"} in refused
    # The metrics of sessions are covered by test_session_measurements.
    expected = {
        f"sardinemill.{metric.name.lower()}" for metric in set(Metric) - SESSION_METRICS
    }
    assert expected - set(points) <= {"sardinemill.cancellations"}
    text = path.read_text()
    assert not any(word in text for word in ("marked", "wrong-key", "key bees"))
