"""Measurements of an instance that serves sessions."""

import math

from .fleet.store_messages import StoreRequestFailed
from .fleet.views import RecordConfirmed
from .interfaces import Clock
from .sessions.client_limits import ClientLoad
from .sessions.messages import StatementResult
from .sessions.refusals import MessageRefused
from .sessions.routes import RoutesChanged, RoutesConfirmed, RoutesStalenessChanged
from .telemetry import Metric, Telemetry


class SessionMeasurements:
    """Outlet that records measurements of statements, configuration and store calls.

    :param telemetry: records the measurements; it gets no key and no caller's data.
    """

    def __init__(self, telemetry: Telemetry, clock: Clock) -> None:
        self._record = telemetry.record
        self._clock = clock

    def offer(self, message: object) -> bool:
        """Measure a message; other types are ignored."""
        if isinstance(message, StatementResult):
            self._measure_result(message)
        elif isinstance(message, MessageRefused):
            self._record(Metric.REFUSED_MESSAGES, 1.0, {"code": message.code.value})
        elif isinstance(message, RoutesChanged):
            version = float(message.table.version)
            self._record(Metric.CONFIGURATION_VERSION, version)
        elif isinstance(message, RoutesConfirmed):
            age = self._clock.now() - message.confirmed_at
            self._record(Metric.CONFIGURATION_AGE_SECONDS, age)
        elif isinstance(message, RoutesStalenessChanged):
            self._record(Metric.CONFIGURATION_STALE, float(message.is_stale))
        elif isinstance(message, RecordConfirmed):
            self._record(Metric.RECORD_ERA, float(message.record.era))
            age = self._clock.now() - message.confirmed_at
            # Infinite while the record, received from another instance, is unconfirmed.
            if math.isfinite(age):
                self._record(Metric.CONFIRMED_AGE_SECONDS, age)
        elif isinstance(message, ClientLoad):
            self._record(Metric.CLIENT_SESSIONS, float(message.n_sessions))
            self._record(Metric.LARGE_MESSAGES, float(message.n_large_messages))
            self._record(Metric.UNSENT_ANSWER_BYTES, float(message.unsent_bytes))
        elif isinstance(message, StoreRequestFailed):
            labels = {"call": type(message.request).__name__}
            labels["fault"] = message.fault.value
            self._record(Metric.STORE_FAILURES, 1.0, labels)
        return True

    def _measure_result(self, result: StatementResult) -> None:
        request = result.request
        kind = "read" if request.is_read_only else "write"
        code = "ok" if result.code is None else result.code.value
        if result.code is None and not result.is_answered:
            code = "no answer"
        labels = {"kind": kind, "code": code, "step": request.step.value}
        self._record(Metric.STATEMENTS, 1.0, labels)
        if result.code is not None and not result.database:
            self._record(Metric.REFUSED_MESSAGES, 1.0, {"code": code})
        seconds = self._clock.now() - request.received_at
        self._record(Metric.STATEMENT_SECONDS, seconds, {"kind": kind})
