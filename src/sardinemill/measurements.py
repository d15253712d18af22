"""Measurements of an HTTP instance, made from copies of its messages."""

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

# Label of a statement that was refused before it was classified.
UNCLASSIFIED = "unclassified"
# Bounds the entries left by cancellations that were never observed because they met a
# full inbox.
MAX_OPEN_REQUESTS = 10_000


@dataclass(frozen=True, slots=True)
class _OpenRequest:
    """Request that has no reply yet."""

    started_at: float
    kind: str


class Measurements:
    """Outlet that records measurements of requests, replies and control messages.

    :param telemetry: records the measurements; it gets no key, request id or caller's
        data.
    """

    def __init__(self, telemetry: Telemetry, clock: Clock) -> None:
        self._record = telemetry.record
        self._clock = clock
        self._open_requests: dict[str, _OpenRequest] = {}
        self._latest_terms: dict[str, int] = {}

    def offer(self, message: object) -> bool:
        """Measure a message; other types are ignored."""
        match message:
            case CallerRequest() | Request() | Cancellation() | Answer() | Refusal():
                self._handle_request_message(message)
            case _:
                self._handle_control_message(message)
        return True

    def _handle_request_message(
        self, message: CallerRequest | Request | Cancellation | Reply
    ) -> None:
        match message:
            case CallerRequest():
                self._open_request(message)
            case Request():
                self._classify(message)
            case Cancellation():
                if self._open_requests.pop(message.request_id, None) is not None:
                    self._record(Metric.CANCELLATIONS, 1)
            case Answer() | Refusal():
                finished_request = self._open_requests.pop(message.request_id, None)
                if finished_request is not None:
                    self._finish(finished_request, message)

    def _open_request(self, caller_request: CallerRequest) -> None:
        if len(self._open_requests) >= MAX_OPEN_REQUESTS:
            del self._open_requests[next(iter(self._open_requests))]
        is_statement = caller_request.action is Action.STATEMENT
        kind = UNCLASSIFIED if is_statement else caller_request.action.value
        self._open_requests[caller_request.request_id] = _OpenRequest(
            self._clock.now(), kind
        )

    def _classify(self, request: Request) -> None:
        open_request = self._open_requests.get(request.request_id)
        if open_request is not None and open_request.kind == UNCLASSIFIED:
            kind = "read" if request.is_read else "write"
            self._open_requests[request.request_id] = replace(open_request, kind=kind)

    def _finish(self, open_request: _OpenRequest, reply: Reply) -> None:
        seconds = self._clock.now() - open_request.started_at
        self._record(Metric.REQUEST_SECONDS, seconds, {"kind": open_request.kind})
        if isinstance(reply, Answer):
            role = "replica" if reply.from_replica else "primary"
            self._record(Metric.REQUESTS, 1, {"kind": open_request.kind, "role": role})
        else:
            labels = {"code": reply.code.value, "outcome": reply.outcome.value}
            self._record(Metric.REFUSALS, 1, labels)

    def _handle_control_message(self, message: object) -> None:
        match message:
            case DatabaseLoad():
                labels = {"database": message.database}
                self._record(Metric.QUEUED, message.n_queued, labels)
                self._record(Metric.RUNNING, message.n_running, labels)
                seconds = message.mean_service_seconds
                self._record(Metric.SERVICE_SECONDS, seconds, labels)
            case PrimaryChanged():
                self._handle_primary_changed(message)
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

    def _handle_primary_changed(self, message: PrimaryChanged) -> None:
        """Count each term once; the message may arrive several times."""
        if message.term > self._latest_terms.get(message.group, 0):
            self._latest_terms[message.group] = message.term
            labels = {"group": message.group}
            self._record(Metric.PRIMARY_CHANGES, 1, labels)
            self._record(Metric.PRIMARY_TERM, message.term, labels)
