"""Metrics of an instance, independent of how they are exported."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class MetricKind:
    """Description of a metric.

    :param instrument: ``counter``, ``histogram`` or ``gauge``.
    :param unit: unit in UCUM notation, as OpenTelemetry requires.
    :param labels: names of the labels that the metric accepts.
    """

    instrument: str
    unit: str
    description: str
    labels: tuple[str, ...] = ()


class Metric(Enum):
    """All metrics; each is exported as ``sardinemill.`` and its name in lower case."""

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
    CONFIGURATION_AGE_SECONDS = MetricKind(
        "gauge", "s", "Age of the proof that no newer configuration exists, on arrival."
    )
    CONFIGURATION_STALE = MetricKind(
        "gauge", "1", "1 while that proof is older than the limit, else 0."
    )
    CONFIRMED_AGE_SECONDS = MetricKind(
        "gauge", "s", "Age of the confirmation when it arrived."
    )
    RECORD_ERA = MetricKind(
        "gauge", "1", "Era of the store in which the fleet record was written."
    )
    STATEMENTS = MetricKind(
        "counter", "{statement}", "Statements with a result.", ("kind", "code", "step")
    )
    STATEMENT_SECONDS = MetricKind(
        "histogram", "s", "Time from receipt to result of a statement.", ("kind",)
    )
    REFUSED_MESSAGES = MetricKind(
        "counter",
        "{message}",
        "Statements and opening messages refused without a database.",
        ("code",),
    )
    STORE_FAILURES = MetricKind(
        "counter", "{call}", "Calls of the store that gave nothing.", ("call", "fault")
    )
    CLIENT_SESSIONS = MetricKind("gauge", "{session}", "Open sessions of clients.")
    LARGE_MESSAGES = MetricKind(
        "gauge", "{message}", "Large messages that are received or executed."
    )
    UNSENT_ANSWER_BYTES = MetricKind(
        "gauge", "By", "Large answers that clients have not taken yet."
    )
    DROPPED_MEASUREMENTS = MetricKind(
        "counter", "{measurement}", "Measurements lost before the exporter was loaded."
    )


# Metrics of instances that serve sessions; all others are those of HTTP instances.
SESSION_METRICS = frozenset(
    {
        Metric.CONFIGURATION_AGE_SECONDS,
        Metric.CONFIGURATION_STALE,
        Metric.RECORD_ERA,
        Metric.STATEMENTS,
        Metric.STATEMENT_SECONDS,
        Metric.REFUSED_MESSAGES,
        Metric.STORE_FAILURES,
        Metric.CLIENT_SESSIONS,
        Metric.LARGE_MESSAGES,
        Metric.UNSENT_ANSWER_BYTES,
        Metric.DROPPED_MEASUREMENTS,
    }
)


class Telemetry(Protocol):
    """Recorder of measurements."""

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        """Add to a counter, record a value in a histogram, or set a gauge.

        :param labels: label values; labels that the metric does not accept are dropped.
        """
        ...


class NoTelemetry:
    """Telemetry that drops all measurements."""

    def record(
        self, metric: Metric, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        return
