"""Requests held at their group's home until a database can serve them."""

from dataclasses import dataclass

from ..errors import Outcome
from ..groups import GroupDescription
from ..interfaces import Emission
from ..messages import Execution, Refusal, RefusalCode, Request
from ..positions import LogPosition
from ..replication import DatabaseReport, ReportQuery
from .positions_table import PositionsTable

# A refusal is sent this long before the deadline, so that it reaches the entry before
# the entry times out and has to report an unknown outcome.
REPLY_MARGIN_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0
# Database reports that have not arrived after this time are requested again.
REPORT_RETRY_SECONDS = 0.25
# Initial delay before a refused write is retried; doubles with each attempt.
WRITE_RETRY_SECONDS = 0.05
MAX_WRITE_RETRY_SECONDS = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldRequest:
    """Request that waits for a database; times are monotonic seconds.

    :param tried: databases that the request was sent to.
    :param minimum_position: lowest log position that a database must have applied to
        serve the read, ``None`` until a watermark covers its accepted staleness.
    :param not_before: time before which it is not tried.
    :param replica_wait_until: end of the wait for a replica.
    :param exclusion_until: time until which databases that failed it are not tried
        again.
    """

    request: Request
    arrived_at: float
    tried: tuple[str, ...] = ()
    minimum_position: LogPosition | None = None
    not_before: float = float("-inf")
    replica_wait_until: float | None = None
    exclusion_until: float = float("inf")

    @property
    def expires_at(self) -> float:
        """Monotonic seconds at which the request is refused."""
        return self.request.deadline - REPLY_MARGIN_SECONDS


class GroupState:
    """Positions, held requests and watermark round of one group.

    :ivar held: held requests by request id.
    :ivar round_started_at: start of the running watermark round, or ``None``.
    :ivar last_polled_at: time of the last poll of all databases after a refused
        write.
    """

    def __init__(self, group: GroupDescription) -> None:
        self.table = PositionsTable(group)
        self.held: dict[str, HeldRequest] = {}
        self.round_started_at: float | None = None
        self._queries: dict[str, tuple[float, LogPosition]] = {}
        self.last_polled_at = float("-inf")

    def try_begin_query(self, database: str, position: LogPosition, now: float) -> bool:
        """Record a query for a replica's report unless one is outstanding.

        The replica reports once it has reached ``position``.

        A replica that cannot reach the position answers at once. A query is therefore
        repeated after an interval, not after each answer.

        :returns: whether to send the query.
        """
        query = self._queries.get(database)
        if query is not None and query[0] > now - REPORT_RETRY_SECONDS:
            return False
        self._queries[database] = (now, position)
        return True

    def end_query(self, report: DatabaseReport) -> None:
        """Clear the outstanding query of a replica that has reached the position."""
        query = self._queries.get(report.database)
        if query is not None and report.position >= query[1]:
            del self._queries[report.database]

    def needs_round(self) -> bool:
        """Return whether a held read waits for a watermark."""
        return any(
            item.request.is_read and item.minimum_position is None
            for item in self.held.values()
        )


def make_report_queries(state: GroupState) -> list[Emission]:
    """Return queries for the current state of every database of a group."""
    group = state.table.group
    return [
        Emission("probe", ReportQuery(group=group.name, database=item.name))
        for item in group.databases
    ]


def compute_retry_delay(n_attempts: int) -> float:
    """Return the delay in seconds before a refused write is retried.

    :param n_attempts: number of attempts before the refused one.
    """
    delay = WRITE_RETRY_SECONDS * 2 ** min(n_attempts, 10)
    return min(delay, MAX_WRITE_RETRY_SECONDS)


def is_upstream_failure(failure: Refusal) -> bool:
    """Return whether another database or a later attempt may succeed."""
    return failure.code in (
        RefusalCode.UPSTREAM,
        RefusalCode.NO_PRIMARY,
        RefusalCode.OVERLOADED,
    )


def refuse(
    request: Request,
    code: RefusalCode,
    message: str,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
) -> Emission:
    """Return the refusal of a request."""
    return Emission(
        "reply",
        Refusal(
            request_id=request.request_id,
            code=code,
            outcome=outcome,
            step="routing",
            peer=request.group,
            message=message,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        ),
    )


def refuse_expired(held: HeldRequest) -> Emission:
    """Refuse a held request at its deadline; the code names what it waited for."""
    request = held.request
    if held.tried:
        return refuse(
            request, RefusalCode.DEADLINE, "no attempt succeeded before the deadline"
        )
    if not request.is_read:
        return refuse(request, RefusalCode.NO_PRIMARY, "the group has no primary")
    if held.minimum_position is not None:
        return refuse(
            request, RefusalCode.TOO_STALE, "no database holds the required position"
        )
    return refuse(request, RefusalCode.NO_MAJORITY, "no majority confirmed the primary")


def end_failed_read(execution: Execution) -> Emission:
    """Return the failure of a read that has no attempts left."""
    if execution.failure is not None:
        return Emission("executed", execution)
    return refuse(
        execution.routed.request,
        RefusalCode.TOO_STALE,
        "no database holds the required position",
    )
