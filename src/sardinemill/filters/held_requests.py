"""Requests that wait for a database at their group's home, and their refusals."""

from dataclasses import dataclass

from ..errors import Outcome
from ..groups import GroupDescription
from ..interfaces import Emission
from ..messages import Execution, Refusal, RefusalCode, Request
from ..positions import LogPosition
from ..replication import DatabaseReport, ReportQuery
from .positions_table import PositionsTable

# A refusal leaves this long before the deadline, so that it reaches the entry before
# the entry gives up and has to report an unknown outcome.
REPLY_MARGIN_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0
# Reports that have not come after this time are asked for again.
ROUND_RETRY_SECONDS = 0.25
# First delay before a refused write is tried again, doubled with each attempt.
WRITE_RETRY_SECONDS = 0.05
MAX_WRITE_RETRY_SECONDS = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldRequest:
    """Request that waits at this filter.

    :param requirement: position that a read needs, ``None`` until a watermark covers
        it.
    :param not_before: time before which it is not tried.
    :param patience_until: end of the wait for a replica.
    :param retry_any_at: time from which databases that failed are tried again.
    """

    request: Request
    arrived_at: float
    tried: tuple[str, ...] = ()
    requirement: LogPosition | None = None
    not_before: float = float("-inf")
    patience_until: float | None = None
    retry_any_at: float = float("inf")

    @property
    def expires_at(self) -> float:
        """Time at which the request is refused."""
        return self.request.deadline - REPLY_MARGIN_SECONDS


class GroupState:
    """Table, held requests and the running watermark round of one group."""

    def __init__(self, group: GroupDescription) -> None:
        self.table = PositionsTable(group)
        self.held: dict[str, HeldRequest] = {}
        self.round_started_at: float | None = None
        self._questions: dict[str, tuple[float, LogPosition]] = {}
        self.asked_all_at = float("-inf")

    def begin_question(self, database: str, position: LogPosition, now: float) -> bool:
        """Tell whether to ask a replica to report once it holds a position.

        A replica that cannot reach the position answers at once, so the question is
        repeated by time and not by answer.
        """
        question = self._questions.get(database)
        if question is not None and question[0] > now - ROUND_RETRY_SECONDS:
            return False
        self._questions[database] = (now, position)
        return True

    def end_question(self, report: DatabaseReport) -> None:
        """Allow another question once a replica holds the position."""
        question = self._questions.get(report.database)
        if question is not None and report.position >= question[1]:
            del self._questions[report.database]

    def needs_round(self) -> bool:
        """Tell whether a read waits for a watermark."""
        return any(
            item.request.is_read and item.requirement is None
            for item in self.held.values()
        )


def ask_all(state: GroupState) -> list[Emission]:
    """Make the questions for the present state of every database of a group."""
    group = state.table.group
    return [
        Emission("probe", ReportQuery(group=group.name, database=item.name))
        for item in group.databases
    ]


def compute_retry_delay(n_attempts: int) -> float:
    """Delay before a write that was refused after ``n_attempts`` others is sent."""
    delay = WRITE_RETRY_SECONDS * 2 ** min(n_attempts, 10)
    return min(delay, MAX_WRITE_RETRY_SECONDS)


def is_upstream_failure(failure: Refusal) -> bool:
    """Tell whether another database or a later attempt may succeed."""
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
    """Make the refusal of a request."""
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
    """Refuse a held request by what it waited for."""
    request = held.request
    if held.tried:
        return refuse(
            request, RefusalCode.DEADLINE, "no attempt succeeded before the deadline"
        )
    if not request.is_read:
        return refuse(request, RefusalCode.NO_PRIMARY, "the group has no primary")
    if held.requirement is not None:
        return refuse(
            request, RefusalCode.TOO_STALE, "no database holds the required position"
        )
    return refuse(request, RefusalCode.NO_MAJORITY, "no majority confirmed the primary")


def give_up(execution: Execution) -> Emission:
    """End a read whose attempts are used up."""
    if execution.failure is not None:
        return Emission("executed", execution)
    return refuse(
        execution.routed.request,
        RefusalCode.TOO_STALE,
        "no database holds the required position",
    )
