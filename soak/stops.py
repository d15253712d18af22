"""Check that an instance that stops answers the requests it has read (``LOST``)."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .history import Violation

# A stop counts until this long after its time-out has passed.
STOP_SLACK_SECONDS = 1.0
# An unplanned disturbance excuses requests sent up to this long after its end.
STABLE_WINDOW_SECONDS = 4.0
# A request that no database received counts as read if its connection was open for
# longer than this after its last byte was sent.
UNREAD_SLACK_SECONDS = 0.2
# A database that is still at work in the last part of the time-out of a stop excuses
# requests that were sent no later than this after SIGTERM.
EARLY_REQUEST_SECONDS = 3.0
LAST_FRACTION = 1 / 6


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """Request whose connection the instance ended without a complete answer.

    :param statement_id: ``""`` for the opening message of a session.
    :param sent_at: time at which the last byte was sent.
    :param ended_at: time at which the client saw the end of the connection.
    """

    instance: str
    statement_id: str
    sent_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """SIGTERM of an instance."""

    instance: str
    sent_at: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Unplanned disturbance of instances, their links or the databases.

    :param instances: names of the instances that it concerns.
    """

    instances: frozenset[str]
    began_at: float
    ended_at: float


def check_stops(
    requests: Iterable[UnansweredRequest],
    stops: Sequence[PlannedStop],
    disturbances: Sequence[Disturbance],
    database_ended_at: Mapping[str, float],
    *,
    stop_timeout_seconds: float,
) -> list[Violation]:
    """Check the requests without an answer against the stops of their instances.

    :param database_ended_at: time at which a database completed its work on a
        statement, by identifier; statements that reached no database are left out.
    :param stop_timeout_seconds: time from SIGTERM to SIGKILL.
    """
    violations = []
    for request in requests:
        stop = _find_stop(request, stops, stop_timeout_seconds)
        if stop is None or _is_disturbed(request, disturbances):
            continue
        work_ended_at = database_ended_at.get(request.statement_id)
        if work_ended_at is None:
            if request.ended_at - request.sent_at <= UNREAD_SLACK_SECONDS:
                continue
        elif _is_excused_by_database(
            request, stop, work_ended_at, stop_timeout_seconds
        ):
            continue
        violations.append(_make_violation(request, stop, work_ended_at))
    return violations


def _find_stop(
    request: UnansweredRequest, stops: Sequence[PlannedStop], timeout_seconds: float
) -> PlannedStop | None:
    """Return the last stop of the instance during which the connection ended."""
    last_seconds = timeout_seconds + STOP_SLACK_SECONDS
    found = [
        stop
        for stop in stops
        if stop.instance == request.instance
        and 0 <= request.ended_at - stop.sent_at <= last_seconds
    ]
    return max(found, key=lambda stop: stop.sent_at, default=None)


def _is_disturbed(
    request: UnansweredRequest, disturbances: Sequence[Disturbance]
) -> bool:
    return any(
        request.instance in item.instances
        and item.began_at <= request.ended_at
        and item.ended_at >= request.sent_at - STABLE_WINDOW_SECONDS
        for item in disturbances
    )


def _is_excused_by_database(
    request: UnansweredRequest,
    stop: PlannedStop,
    work_ended_at: float,
    timeout_seconds: float,
) -> bool:
    is_early = request.sent_at - stop.sent_at <= EARLY_REQUEST_SECONDS
    last_part_at = stop.sent_at + timeout_seconds * (1 - LAST_FRACTION)
    return is_early and work_ended_at >= last_part_at


def _make_violation(
    request: UnansweredRequest, stop: PlannedStop, work_ended_at: float | None
) -> Violation:
    kind = f"request {request.statement_id}" if request.statement_id else "START"
    work = "reached no database"
    if work_ended_at is not None:
        work = f"run at {work_ended_at - stop.sent_at:.3f} s"
    detail = (
        f"{kind} at {request.instance} sent {request.sent_at - stop.sent_at:.3f} s "
        f"after SIGTERM, {work}, connection ended at "
        f"{request.ended_at - stop.sent_at:.3f} s without an answer"
    )
    return Violation("LOST", detail)
