"""Metrics of an instance, behind a small protocol."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader, MetricReader
from opentelemetry.sdk.resources import Resource

# A label with more values than this shows the rest as "other", so that names from
# outside cannot fill the memory of the collector.
MAX_LABEL_VALUES = 200
# The default boundaries suit milliseconds; requests take 1 ms to 10 s.
SECONDS_BOUNDARIES = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


@dataclass(frozen=True, slots=True)
class MetricKind:
    """Description of a metric.

    :param instrument: ``counter``, ``histogram`` or ``gauge``.
    :param unit: in the notation of UCUM, as OpenTelemetry asks.
    :param labels: the only labels that the metric takes.
    """

    instrument: str
    unit: str
    description: str
    labels: tuple[str, ...] = ()


class Metric(Enum):
    """All metrics; the name on the wire is ``sardinemill.`` and the lower-case name."""

    REQUESTS = MetricKind(
        "counter", "{request}", "Answered requests.", ("kind", "role")
    )
    REFUSALS = MetricKind(
        "counter", "{request}", "Refused requests.", ("code", "outcome")
    )
    CANCELLATIONS = MetricKind(
        "counter", "{request}", "Requests that ended without a reply."
    )
    REQUEST_SECONDS = MetricKind(
        "histogram", "s", "Time from receipt to reply.", ("kind",)
    )
    QUEUED = MetricKind("gauge", "{request}", "Requests in queues.", ("database",))
    RUNNING = MetricKind("gauge", "{request}", "Requests that run.", ("database",))
    SERVICE_SECONDS = MetricKind(
        "gauge", "s", "Smoothed time of a request on a connection.", ("database",)
    )
    PRIMARY_CHANGES = MetricKind(
        "counter", "{change}", "Primaries learned of a higher term.", ("group",)
    )
    PRIMARY_TERM = MetricKind("gauge", "1", "Term of the primary.", ("group",))
    HOME_GROUPS = MetricKind(
        "gauge", "{group}", "Database groups whose home the instance is."
    )
    LIVE_INSTANCES = MetricKind("gauge", "{instance}", "Instances that take new work.")
    LEAVING_INSTANCES = MetricKind("gauge", "{instance}", "Instances that drain.")
    CONFIGURATION_VERSION = MetricKind("gauge", "1", "Configuration in force.")
    CONFIRMED_AGE_SECONDS = MetricKind(
        "gauge", "s", "Age of the confirmation when it arrived."
    )
    STATEMENTS = MetricKind(
        "counter", "{statement}", "Statements with a result.", ("kind", "code", "step")
    )
    STATEMENT_SECONDS = MetricKind(
        "histogram", "s", "Time from receipt to result of a statement.", ("kind",)
    )
    STORE_FAILURES = MetricKind(
        "counter", "{call}", "Calls of the store that gave nothing.", ("call", "fault")
    )


# Measured by instances that serve sessions; the others are those of the HTTP front end.
SESSION_METRICS = frozenset(
    {Metric.STATEMENTS, Metric.STATEMENT_SECONDS, Metric.STORE_FAILURES}
)


class Telemetry(Protocol):
    """Takes measurements."""

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        """Add to a counter, note a value for a histogram, or set a gauge.

        :param labels: only those that the metric names; others are dropped.
        """
        ...


class NoTelemetry:
    """Drops all measurements."""

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        return


class OpenTelemetryMetrics:
    """Measurements through the OpenTelemetry SDK.

    :param readers: exporters of the metrics.
    """

    def __init__(
        self, readers: Sequence[MetricReader], *, instance: str, data_centre: str
    ) -> None:
        resource = Resource.create(
            {
                "service.name": "sardinemill",
                "service.instance.id": instance,
                "cloud.availability_zone": data_centre,
            }
        )
        self._provider = MeterProvider(
            metric_readers=readers, resource=resource, shutdown_on_exit=False
        )
        meter = self._provider.get_meter("sardinemill")
        self._record = {metric: _make_instrument(meter, metric) for metric in Metric}
        self._label_values: dict[tuple[Metric, str], set[str]] = {}

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        attributes = {
            name: self._limit_label_value(metric, name, (labels or {})[name])
            for name in metric.value.labels
            if name in (labels or {})
        }
        self._record[metric](value, attributes)

    def shutdown(self) -> None:
        """Flush and close the readers."""
        self._provider.shutdown()

    def _limit_label_value(self, metric: Metric, name: str, value: str) -> str:
        known_values = self._label_values.setdefault((metric, name), set())
        if value not in known_values:
            if len(known_values) >= MAX_LABEL_VALUES:
                return "other"
            known_values.add(value)
        return value


class _RecordFunction(Protocol):
    """Method of an instrument that takes one measurement."""

    def __call__(self, amount: float, attributes: Mapping[str, str], /) -> None: ...


def _make_instrument(meter: Meter, metric: Metric) -> _RecordFunction:
    kind = metric.value
    name = f"sardinemill.{metric.name.lower()}"
    if kind.instrument == "counter":
        return meter.create_counter(name, kind.unit, kind.description).add
    if kind.instrument == "histogram":
        return meter.create_histogram(
            name,
            kind.unit,
            kind.description,
            explicit_bucket_boundaries_advisory=SECONDS_BOUNDARIES,
        ).record
    return meter.create_gauge(name, kind.unit, kind.description).set


def read_metrics(
    reader: InMemoryMetricReader,
) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    """Read what an in-memory reader collected, for tests and demonstrations.

    :returns: metric name and sorted labels to value; the sum for a histogram.
    """
    values: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
    data = reader.get_metrics_data()
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                for point in metric.data.data_points:
                    labels = tuple(
                        sorted((k, str(v)) for k, v in (point.attributes or {}).items())
                    )
                    value = getattr(point, "value", None)
                    total = point.sum if value is None else value  # type: ignore
                    values[metric.name, labels] = float(total)
    return values
