"""Delays the answer to a write until a majority of slots has replicated it.

Replication is asynchronous, so a write that only the primary has committed may be lost
with the primary.
"""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..errors import Outcome
from ..groups import GroupDescription, has_majority
from ..interfaces import Emission
from ..messages import (
    Action,
    Answer,
    Execution,
    Refusal,
    RefusalCode,
    Request,
    UpstreamResult,
)
from ..positions import ORIGIN, LogPosition, SessionPosition
from ..replication import DatabaseReport, GroupsChanged, ReportQuery
from .held_requests import REPLY_MARGIN_SECONDS

# A position query without an answer is repeated after this time. Databases answer such
# a query within the prober's timeout, which is shorter.
QUERY_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """Executed write that waits for replication to a majority.

    :param primary: database that ran it; its result counts as the vote of its slot.
    :param reports_since: only reports requested at or after this time count. Set when
        a majority had the position already, as after a repeated write or a commit
        without changes: older reports don't show that the primary is still active.
    """

    request: Request
    result: UpstreamResult
    primary: str
    reports_since: float = float("-inf")

    @property
    def position(self) -> LogPosition:
        """Position that a majority must have replicated."""
        return self.result.position

    @property
    def expires_at(self) -> float:
        """Monotonic seconds at which the outcome becomes *unknown*."""
        return self.request.deadline - REPLY_MARGIN_SECONDS


@dataclass(frozen=True, slots=True)
class PositionQuery:
    """Outstanding query that a database answers once it has reached a position."""

    wait_for: LogPosition
    asked_at: float


class ReplicationProgress:
    """Pending writes of one group and the known log positions of its databases.

    :ivar pending: pending writes by request id, in order of arrival.
    :ivar queries: outstanding query by database, at most one each.
    """

    def __init__(self, group: GroupDescription) -> None:
        self.group = group
        self.pending: dict[str, PendingWrite] = {}
        self.queries: dict[str, PositionQuery] = {}
        self._positions: dict[str, LogPosition] = {}
        self._asked_at: dict[str, float] = {}
        self._fenced_terms: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}

    def handle_report(self, report: DatabaseReport) -> bool:
        """Record a report.

        A position counts only if the database is not fenced above the position's term
        and is not recovering, as it may then have forgotten such a fence. A report that
        arrives late still proves that the database had the entry, so the order of
        reports does not matter.

        :returns: whether the report may decide a pending write.
        """
        name = report.database
        if self._incarnations.get(name, report.incarnation) != report.incarnation:
            self._positions.pop(name, None)
            self._fenced_terms.pop(name, None)
        self._incarnations[name] = report.incarnation
        previous = (self._positions.get(name), self._fenced_terms.get(name, 0))
        self._fenced_terms[name] = max(previous[1], report.fenced_term)
        if report.fenced_term <= report.position.term and not report.is_recovering:
            self._positions[name] = max(self.find_position(name), report.position)
            asked_at = self._asked_at.get(name, report.asked_at)
            self._asked_at[name] = max(asked_at, report.asked_at)
        query = self.queries.get(name)
        if (
            query is not None
            and report.asked_at >= query.asked_at
            and report.position >= query.wait_for
        ):
            del self.queries[name]
        is_changed = previous != (self._positions.get(name), self._fenced_terms[name])
        return is_changed or self._needs_fresh_reports()

    def _needs_fresh_reports(self) -> bool:
        return any(
            write.reports_since > float("-inf") for write in self.pending.values()
        )

    def find_position(self, database: str) -> LogPosition:
        """Return the highest position that the database is known to have replicated."""
        return self._positions.get(database, ORIGIN)

    def has_replicated(self, database: str, write: PendingWrite) -> bool:
        """Return whether the database is known to have replicated the write.

        Only a log that ends in the write's own term proves it.
        """
        replicated = self.find_position(database)
        return (
            replicated.term == write.position.term
            and replicated.offset >= write.position.offset
            and self._asked_at[database] >= write.reports_since
        )

    def is_superseded(self, term: int) -> bool:
        """Return whether a primary of this term can no longer be active.

        Either a database has entries of a higher term, or a majority of slots is fenced
        above this term and accepts no entries of it.
        """
        if any(position.term > term for position in self._positions.values()):
            return True
        fenced = [name for name, fenced in self._fenced_terms.items() if fenced > term]
        return has_majority(self.group, fenced)

    def is_replicated_to_majority(self, write: PendingWrite) -> bool:
        """Return whether a majority of slots, the primary's included, has the write."""
        if not write.result.is_primary:
            return False
        holders = {
            item.name
            for item in self.group.databases
            if self.has_replicated(item.name, write)
        }
        return has_majority(self.group, holders | {write.primary})

    def list_due_queries(self, now: float) -> list[tuple[str, LogPosition]]:
        """Return the databases to query now, each with the position to wait for.

        Each query waits for the lowest position that the database lacks; its answer
        confirms all writes that the database has received by then.
        """
        due: list[tuple[str, LogPosition]] = []
        for database in self.group.databases:
            query = self.queries.get(database.name)
            if query is not None and now - query.asked_at < QUERY_RETRY_SECONDS:
                continue
            missing = [
                write.position
                for write in self.pending.values()
                if write.primary != database.name
                and not self.has_replicated(database.name, write)
                # A database fenced above the term answers at once, and its reports do
                # not count for this write.
                and self._fenced_terms.get(database.name, 0) <= write.position.term
            ]
            if missing:
                due.append((database.name, min(missing)))
        return due


class Acknowledgement:
    """Filter at the home instance: turns executions into replies.

    Outlets: ``reply``, ``probe``.
    """

    def __init__(self) -> None:
        self._groups: dict[str, ReplicationProgress] = {}
        # Heap of due time, group and request id; the id is empty for a query retry.
        self._timers: list[tuple[float, str, str]] = []

    @property
    def next_tick(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, Execution):
            return self._handle_execution(message, now)
        if isinstance(message, DatabaseReport):
            return self._handle_report(message, now)
        if isinstance(message, GroupsChanged):
            self._handle_groups_changed(message)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            _, group, request_id = heapq.heappop(self._timers)
            progress = self._groups.get(group)
            if progress is None:
                continue
            if request_id:
                emissions += _emit_decided_replies(progress, [request_id], now)
            else:
                emissions += self._emit_queries(progress, now)
        return emissions

    def _handle_execution(self, execution: Execution, now: float) -> list[Emission]:
        request = execution.routed.request
        result = execution.result
        if result is None:
            assert execution.failure is not None
            return [Emission("reply", execution.failure)]
        if not _needs_majority(request):
            return [Emission("reply", _make_answer(execution))]
        write = PendingWrite(
            request=request, result=result, primary=execution.routed.database
        )
        progress = self._groups.get(request.group)
        if progress is None:
            return [
                _refuse_as_unknown(
                    write, RefusalCode.NO_HOME, "this instance is no home now"
                )
            ]
        if progress.is_replicated_to_majority(write):
            write = replace(write, reports_since=now)
        progress.pending[request.request_id] = write
        heapq.heappush(
            self._timers, (write.expires_at, request.group, request.request_id)
        )
        return _emit_decided_replies(
            progress, [request.request_id], now
        ) + self._emit_queries(progress, now)

    def _handle_report(self, report: DatabaseReport, now: float) -> list[Emission]:
        progress = self._groups.get(report.group)
        if progress is None:
            return []
        emissions: list[Emission] = []
        if progress.handle_report(report):
            emissions = _emit_decided_replies(progress, list(progress.pending), now)
        return emissions + self._emit_queries(progress, now)

    def _emit_queries(
        self, progress: ReplicationProgress, now: float
    ) -> list[Emission]:
        emissions: list[Emission] = []
        group = progress.group.name
        for database, wait_for in progress.list_due_queries(now):
            progress.queries[database] = PositionQuery(wait_for, now)
            heapq.heappush(self._timers, (now + QUERY_RETRY_SECONDS, group, ""))
            query = ReportQuery(group=group, database=database, wait_for=wait_for)
            emissions.append(Emission("probe", query))
        return emissions

    def _handle_groups_changed(self, message: GroupsChanged) -> None:
        """Update the groups; a removed group stays until its writes are answered."""
        names = {group.name for group in message.groups}
        for name in list(self._groups):
            if name not in names and not self._groups[name].pending:
                del self._groups[name]
        for group in message.groups:
            progress = self._groups.setdefault(group.name, ReplicationProgress(group))
            progress.group = group


def _needs_majority(request: Request) -> bool:
    """Return whether the reply must wait for a majority.

    A statement of an open transaction has no effect before its commit.
    """
    if request.action is Action.COMMIT:
        return True
    return request.action is Action.STATEMENT and not request.is_read


def _emit_decided_replies(
    progress: ReplicationProgress, request_ids: Sequence[str], now: float
) -> list[Emission]:
    emissions: list[Emission] = []
    for request_id in request_ids:
        write = progress.pending.get(request_id)
        reply = None if write is None else _decide_reply(progress, write, now)
        if reply is not None:
            del progress.pending[request_id]
            emissions.append(reply)
    return emissions


def _decide_reply(
    progress: ReplicationProgress, write: PendingWrite, now: float
) -> Emission | None:
    if progress.is_superseded(write.position.term):
        return _refuse_as_unknown(
            write, RefusalCode.NO_PRIMARY, "the primary was superseded"
        )
    if progress.is_replicated_to_majority(write):
        return Emission("reply", _make_write_answer(write))
    if write.expires_at <= now:
        return _refuse_as_unknown(
            write, RefusalCode.DEADLINE, "no majority confirmed the write in time"
        )
    return None


def _make_session(request: Request, position: LogPosition) -> SessionPosition:
    return SessionPosition(
        workspace=request.workspace, group=request.group, position=position
    )


def _make_answer(execution: Execution) -> Answer:
    """Return the answer to a request that commits nothing."""
    result = execution.result
    assert result is not None
    return Answer(
        request_id=execution.routed.request.request_id,
        columns=result.columns,
        rows=result.rows,
        n_changed=result.n_changed,
        served_by=execution.routed.database,
        from_replica=not result.is_primary,
        transaction_id=result.transaction_id,
        is_repeat=result.is_repeat,
    )


def _make_write_answer(write: PendingWrite) -> Answer:
    result = write.result
    return Answer(
        request_id=write.request.request_id,
        columns=result.columns,
        rows=result.rows,
        n_changed=result.n_changed,
        served_by=write.primary,
        session=_make_session(write.request, write.position),
        transaction_id=write.request.transaction_id,
        is_repeat=result.is_repeat,
    )


def _refuse_as_unknown(
    write: PendingWrite, code: RefusalCode, message: str
) -> Emission:
    return Emission(
        "reply",
        Refusal(
            request_id=write.request.request_id,
            code=code,
            outcome=Outcome.UNKNOWN,
            step="acknowledgement",
            peer=write.primary,
            message=message,
            session=_make_session(write.request, write.position),
        ),
    )
