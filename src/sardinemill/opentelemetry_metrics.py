"""Export of metrics through the OpenTelemetry SDK."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader, MetricReader
from opentelemetry.sdk.resources import Resource

from .telemetry import Metric

# Further values of a label are recorded as "other", so that names from outside cannot
# exhaust the memory of the collector.
MAX_LABEL_VALUES = 200
# The default boundaries are made for milliseconds; requests take 1 ms to 10 s.
SECONDS_BOUNDARIES = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


class OpenTelemetryMetrics:
    """Telemetry through the OpenTelemetry SDK.

    :param readers: readers that export the metrics.
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
        """Flush the readers and close them."""
        self._provider.shutdown()

    def _limit_label_value(self, metric: Metric, name: str, value: str) -> str:
        known_values = self._label_values.setdefault((metric, name), set())
        if value not in known_values:
            if len(known_values) >= MAX_LABEL_VALUES:
                return "other"
            known_values.add(value)
        return value


class _RecordFunction(Protocol):
    """Method of an instrument that records one measurement."""

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
    """Return the metrics of an in-memory reader, for tests and demonstrations.

    :returns: values by metric name and sorted labels; the sum for a histogram.
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
