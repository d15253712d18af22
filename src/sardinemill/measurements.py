"""Counts the messages of an instance that it is shown copies of."""

import math
from dataclasses import dataclass, replace

from .configuration import ConfigurationChanged, ConfigurationConfirmed
from .interfaces import Clock
from .members import MembershipChanged
from .messages import (
    Action,
    Answer,
    CallerRequest,
    Cancellation,
    Refusal,
    Reply,
    Request,
)
from .replication import DatabaseLoad, GroupsChanged, PrimaryChanged
from .telemetry import Metric, Telemetry

# Label of a statement that was refused before its kind was known.
UNCLASSIFIED = "unclassified"
# A cancellation that met a full inbox is not shown; this bounds what it leaves behind.
MAX_OPEN_REQUESTS = 10_000


@dataclass(frozen=True, slots=True)
class _OpenRequest:
    """Request without a reply so far."""

    started_at: float
    kind: str


class Measurements:
    """Outlet that turns requests, replies and control messages into measurements.

    :param telemetry: takes the measurements; it gets no key, request id or caller's
        data.
    """

    def __init__(self, telemetry: Telemetry, clock: Clock) -> None:
        self._record = telemetry.record
        self._clock = clock
        self._open: dict[str, _OpenRequest] = {}
        self._terms: dict[str, int] = {}

    def offer(self, message: object) -> bool:
        """Measure a message; those of other types are ignored."""
        match message:
            case CallerRequest() | Request() | Cancellation() | Answer() | Refusal():
                self._take_request(message)
            case _:
                self._take_control(message)
        return True

    def _take_request(
        self, message: CallerRequest | Request | Cancellation | Reply
    ) -> None:
        match message:
            case CallerRequest():
                self._open_request(message)
            case Request():
                self._classify(message)
            case Cancellation():
                if self._open.pop(message.request_id, None) is not None:
                    self._record(Metric.CANCELLATIONS, 1)
            case Answer() | Refusal():
                opened_request = self._open.pop(message.request_id, None)
                if opened_request is not None:
                    self._finish(opened_request, message)

    def _open_request(self, caller: CallerRequest) -> None:
        if len(self._open) >= MAX_OPEN_REQUESTS:
            del self._open[next(iter(self._open))]
        is_plain = caller.action is Action.STATEMENT
        kind = UNCLASSIFIED if is_plain else caller.action.value
        self._open[caller.request_id] = _OpenRequest(self._clock.now(), kind)

    def _classify(self, request: Request) -> None:
        opened = self._open.get(request.request_id)
        if opened is not None and opened.kind == UNCLASSIFIED:
            kind = "read" if request.is_read else "write"
            self._open[request.request_id] = replace(opened, kind=kind)

    def _finish(self, opened: _OpenRequest, reply: Reply) -> None:
        seconds = self._clock.now() - opened.started_at
        self._record(Metric.REQUEST_SECONDS, seconds, {"kind": opened.kind})
        if isinstance(reply, Answer):
            role = "replica" if reply.from_replica else "primary"
            self._record(Metric.REQUESTS, 1, {"kind": opened.kind, "role": role})
        else:
            labels = {"code": reply.code.value, "outcome": reply.outcome.value}
            self._record(Metric.REFUSALS, 1, labels)

    def _take_control(self, message: object) -> None:
        match message:
            case DatabaseLoad():
                labels = {"database": message.database}
                self._record(Metric.QUEUED, message.n_queued, labels)
                self._record(Metric.RUNNING, message.n_running, labels)
                seconds = message.mean_service_seconds
                self._record(Metric.SERVICE_SECONDS, seconds, labels)
            case PrimaryChanged():
                self._take_primary(message)
            case GroupsChanged():
                self._record(Metric.HOME_GROUPS, len(message.groups))
            case MembershipChanged():
                self._record(Metric.LIVE_INSTANCES, len(message.live))
                self._record(Metric.LEAVING_INSTANCES, len(message.leaving))
            case ConfigurationChanged():
                version = message.configuration.version
                self._record(Metric.CONFIGURATION_VERSION, version)
            case ConfigurationConfirmed():
                age = self._clock.now() - message.confirmed_at
                # Infinite before the first confirmation.
                if math.isfinite(age):
                    self._record(Metric.CONFIRMED_AGE_SECONDS, age)

    def _take_primary(self, message: PrimaryChanged) -> None:
        """Count each term once; news of it may arrive again."""
        if message.term > self._terms.get(message.group, 0):
            self._terms[message.group] = message.term
            labels = {"group": message.group}
            self._record(Metric.PRIMARY_CHANGES, 1, labels)
            self._record(Metric.PRIMARY_TERM, message.term, labels)
