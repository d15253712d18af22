"""Holds the answer of a write until a majority of slots has the write.

Replication is asynchronous, so the commit of the primary alone may be lost with it.
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

# A question without an answer is asked again after this time. Questions that wait for
# a position answer within the time-out of the prober, which is shorter.
QUESTION_SECONDS = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """Executed write whose answer is held.

    :param primary: database that ran it; its own answer counts for its slot.
    :param confirm_after: earliest time at which counting reports were asked for. Set
        when a majority held the position already, as after a repeat or a commit
        without changes: old reports don't show that the primary is still in office.
    """

    request: Request
    result: UpstreamResult
    primary: str
    confirm_after: float = float("-inf")

    @property
    def position(self) -> LogPosition:
        """Position that a majority must hold."""
        return self.result.position

    @property
    def expires_at(self) -> float:
        """Time at which the outcome becomes *unknown*."""
        return self.request.deadline - REPLY_MARGIN_SECONDS


@dataclass(frozen=True, slots=True)
class Question:
    """Outstanding question for a position."""

    wait_for: LogPosition
    asked_at: float


class GroupPositions:
    """Positions that the databases of one group are known to hold.

    :ivar pending: held writes by request id, in order of arrival.
    :ivar questions: outstanding question by database, at most one each.
    """

    def __init__(self, group: GroupDescription) -> None:
        self.group = group
        self.pending: dict[str, PendingWrite] = {}
        self.questions: dict[str, Question] = {}
        self._held: dict[str, LogPosition] = {}
        self._asked_at: dict[str, float] = {}
        self._fenced: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}

    def take_report(self, report: DatabaseReport) -> bool:
        """Record a report.

        A position counts only while the database is not fenced above its term, and not
        while it recovers: it may have forgotten a fence above the term. A
        report that arrives late still proves that the database held the entry, so the
        order of reports does not matter.

        :returns: whether a held write may be decided by it.
        """
        name = report.database
        if self._incarnations.get(name, report.incarnation) != report.incarnation:
            self._held.pop(name, None)
            self._fenced.pop(name, None)
        self._incarnations[name] = report.incarnation
        before = (self._held.get(name), self._fenced.get(name, 0))
        self._fenced[name] = max(before[1], report.fenced_term)
        if report.fenced_term <= report.position.term and not report.is_recovering:
            self._held[name] = max(self.find_held(name), report.position)
            asked_at = self._asked_at.get(name, report.asked_at)
            self._asked_at[name] = max(asked_at, report.asked_at)
        question = self.questions.get(name)
        if (
            question is not None
            and report.asked_at >= question.asked_at
            and report.position >= question.wait_for
        ):
            del self.questions[name]
        is_changed = before != (self._held.get(name), self._fenced[name])
        return is_changed or self._has_confirmation_pending()

    def _has_confirmation_pending(self) -> bool:
        return any(
            write.confirm_after > float("-inf") for write in self.pending.values()
        )

    def find_held(self, database: str) -> LogPosition:
        """Return the highest position that counts for a database."""
        return self._held.get(database, ORIGIN)

    def holds(self, database: str, write: PendingWrite) -> bool:
        """Tell whether the database is known to hold the write in its term."""
        held = self.find_held(database)
        return (
            held.term == write.position.term
            and held.offset >= write.position.offset
            and self._asked_at[database] >= write.confirm_after
        )

    def is_superseded(self, term: int) -> bool:
        """Tell whether a primary of this term can no longer be in office.

        Either a database has entries of a higher term, or a majority of slots accepts
        no entries of this term.
        """
        if any(position.term > term for position in self._held.values()):
            return True
        fenced = [name for name, fenced in self._fenced.items() if fenced > term]
        return has_majority(self.group, fenced)

    def is_held_by_majority(self, write: PendingWrite) -> bool:
        """Tell whether a majority of slots, the primary included, has the write."""
        if not write.result.is_primary:
            return False
        holders = {
            item.name for item in self.group.databases if self.holds(item.name, write)
        }
        return has_majority(self.group, holders | {write.primary})

    def list_questions(self, now: float) -> list[tuple[str, LogPosition]]:
        """Choose the databases to ask now, each with the position to wait for.

        Each question waits for the lowest position that the database lacks; its answer
        covers all writes that arrived there meanwhile.
        """
        asked: list[tuple[str, LogPosition]] = []
        for database in self.group.databases:
            question = self.questions.get(database.name)
            if question is not None and now - question.asked_at < QUESTION_SECONDS:
                continue
            missing = [
                write.position
                for write in self.pending.values()
                if write.primary != database.name
                and not self.holds(database.name, write)
                # A database fenced above the term answers at once and never counts.
                and self._fenced.get(database.name, 0) <= write.position.term
            ]
            if missing:
                asked.append((database.name, min(missing)))
        return asked


class Acknowledgement:
    """Filter at the home: execution to reply.

    Outlets: ``reply``, ``probe``.
    """

    def __init__(self) -> None:
        self._groups: dict[str, GroupPositions] = {}
        # Due times of held writes (group and request id) and of questions (no id).
        self._timers: list[tuple[float, str, str]] = []

    @property
    def next_tick(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, Execution):
            return self._take_execution(message, now)
        if isinstance(message, DatabaseReport):
            return self._take_report(message, now)
        if isinstance(message, GroupsChanged):
            self._change_groups(message)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            _, group, request_id = heapq.heappop(self._timers)
            positions = self._groups.get(group)
            if positions is None:
                continue
            if request_id:
                emissions += _release(positions, [request_id], now)
            else:
                emissions += self._ask(positions, now)
        return emissions

    def _take_execution(self, execution: Execution, now: float) -> list[Emission]:
        request = execution.routed.request
        result = execution.result
        if result is None:
            assert execution.failure is not None
            return [Emission("reply", execution.failure)]
        if not _must_wait(request):
            return [Emission("reply", _answer(execution))]
        write = PendingWrite(
            request=request, result=result, primary=execution.routed.database
        )
        positions = self._groups.get(request.group)
        if positions is None:
            return [
                _report_unknown(
                    write, RefusalCode.NO_HOME, "this instance is no home now"
                )
            ]
        if positions.is_held_by_majority(write):
            write = replace(write, confirm_after=now)
        positions.pending[request.request_id] = write
        heapq.heappush(
            self._timers, (write.expires_at, request.group, request.request_id)
        )
        return _release(positions, [request.request_id], now) + self._ask(
            positions, now
        )

    def _take_report(self, report: DatabaseReport, now: float) -> list[Emission]:
        positions = self._groups.get(report.group)
        if positions is None:
            return []
        emissions: list[Emission] = []
        if positions.take_report(report):
            emissions = _release(positions, list(positions.pending), now)
        return emissions + self._ask(positions, now)

    def _ask(self, positions: GroupPositions, now: float) -> list[Emission]:
        emissions: list[Emission] = []
        group = positions.group.name
        for database, wait_for in positions.list_questions(now):
            positions.questions[database] = Question(wait_for, now)
            heapq.heappush(self._timers, (now + QUESTION_SECONDS, group, ""))
            query = ReportQuery(group=group, database=database, wait_for=wait_for)
            emissions.append(Emission("probe", query))
        return emissions

    def _change_groups(self, message: GroupsChanged) -> None:
        """Groups that are gone stay until their last held write is answered."""
        names = {group.name for group in message.groups}
        for name in list(self._groups):
            if name not in names and not self._groups[name].pending:
                del self._groups[name]
        for group in message.groups:
            positions = self._groups.setdefault(group.name, GroupPositions(group))
            positions.group = group


def _must_wait(request: Request) -> bool:
    """A statement of an open transaction has no effect before its commit."""
    if request.action is Action.COMMIT:
        return True
    return request.action is Action.STATEMENT and not request.is_read


def _release(
    positions: GroupPositions, request_ids: Sequence[str], now: float
) -> list[Emission]:
    emissions: list[Emission] = []
    for request_id in request_ids:
        write = positions.pending.get(request_id)
        reply = None if write is None else _decide(positions, write, now)
        if reply is not None:
            del positions.pending[request_id]
            emissions.append(reply)
    return emissions


def _decide(
    positions: GroupPositions, write: PendingWrite, now: float
) -> Emission | None:
    if positions.is_superseded(write.position.term):
        return _report_unknown(
            write, RefusalCode.NO_PRIMARY, "the primary was superseded"
        )
    if positions.is_held_by_majority(write):
        return Emission("reply", _answer_write(write))
    if write.expires_at <= now:
        return _report_unknown(
            write, RefusalCode.DEADLINE, "no majority confirmed the write in time"
        )
    return None


def _make_session(request: Request, position: LogPosition) -> SessionPosition:
    return SessionPosition(
        workspace=request.workspace, group=request.group, position=position
    )


def _answer(execution: Execution) -> Answer:
    """Make the answer of a request that changes nothing by itself."""
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


def _answer_write(write: PendingWrite) -> Answer:
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


def _report_unknown(write: PendingWrite, code: RefusalCode, message: str) -> Emission:
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
