"""Filter of a gateway: owns shared connections and runs statements of all instances."""

import itertools
import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..control import PeerEnvelope
from ..events import Event, EventName
from ..fleet.messages import Introduction
from ..fleet.views import DatabaseContact, DirectoryChanged
from ..interfaces import Emission
from ..positions import ORIGIN
from .connection_messages import (
    ConnectionFailed,
    ConnectionOpened,
    StatementFinished,
    classify_effect,
)
from .connection_pool import ConnectionLossKind, ConnectionPool, PoolLimits
from .database_usage import DEFAULT_GRACE_PERIODS, GracePeriods, Usage
from .databases import DatabaseView
from .gateway_messages import (
    ForwardedStatementsInProgress,
    GatewayGreeting,
    GatewayOutcome,
    GatewayStatement,
    GatewayWelcome,
    GatewayWithdrawal,
    PeerIntroduced,
    are_encodable,
)
from .messages import (
    Dispatch,
    DrainStarted,
    Effect,
    ErrorCode,
    StatementRequest,
    TransactionStep,
)
from .routes import Consistency, Route, RoutesChanged
from .work_estimate import (
    MAX_WAIT_FRACTION,
    STATEMENTS_PER_SLOT,
    WorkEstimate,
)

# Fraction of a database's connection limit that its gateway may keep open. The rest is
# for transactions, whose connections the other instances open themselves.
GATEWAY_QUOTA_FRACTION = 0.5
# Forwarded statements without an outcome above which further ones are refused.
MAX_FORWARDED_STATEMENTS = 1000
# Session of forwarded statements. They are outside transactions and pin no connection.
NO_SESSION = 0
MAINTENANCE_INTERVAL_SECONDS = 0.1
# A draining gateway accepts statements for this time, in which the coordinators assign
# another one and the entries learn of it, or for half of the time left to transactions.
# Both are shorter than the shortest drain, so that none arrives as the process ends.
CLOSE_DELAY_SECONDS = 1.5
STOP_REASON = "the gateway stops"
_WITHOUT_NEW_WORK = (Usage.OPEN_TRANSACTIONS, Usage.NOTHING)


@dataclass(frozen=True, slots=True)
class _Origin:
    """Sender of a forwarded statement and the sender's number of it."""

    peer: str
    number: int


class Gateway:
    """Queues the statements that instances forward, and runs them on its connections.

    Each database has one queue, by priority. A statement that cannot be answered within
    its time is refused at once, and so is any statement that arrives when the instance
    is about to stop. A statement makes one attempt here; its sender repeats a read
    elsewhere, and what was refused because of the stop.

    Outlets: ``connections`` (commands of
    :mod:`~sardinemill.sessions.connection_messages`), ``peers``
    (:class:`GatewayOutcome`, :class:`GatewayWelcome`), ``introductions``
    (:class:`PeerIntroduced`), ``seen`` (:class:`DatabaseContact`), ``running``
    (:class:`ForwardedStatementsInProgress`, only while draining), ``events``.

    :param data_centre: of this instance.
    :param grace_periods: for work at databases that are about to get none.
    :param n_connections: bound of the connections to all databases together.
    """

    def __init__(
        self,
        data_centre: str,
        grace_periods: GracePeriods = DEFAULT_GRACE_PERIODS,
        n_connections: float = math.inf,
    ) -> None:
        self._databases = DatabaseView(data_centre, grace_periods=grace_periods)
        self._limits = PoolLimits(
            self._databases,
            GATEWAY_QUOTA_FRACTION,
            STATEMENTS_PER_SLOT,
            n_connections,
        )
        self._pool = ConnectionPool(self._limits)
        self._work: dict[str, WorkEstimate] = {}
        self._request_ids = itertools.count(1)
        self._origins: dict[int, _Origin] = {}
        self._introductions: dict[str, Introduction] = {}
        self._peers_to_welcome: list[str] = []
        self._next_maintenance_at = 0.0
        self._is_draining = False
        self._closes_at = math.inf
        self._answers_end_at = math.inf
        self._n_emitted = 0

    @property
    def next_tick(self) -> float | None:
        # Most instances are no gateway and need not wake up for it.
        if self._pool.state.is_empty and not self._peers_to_welcome:
            return None
        return min(
            self._next_maintenance_at,
            self._pool.find_next_tick(),
            self._answers_end_at,
        )

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        emissions = self._handle(message, now)
        if self._is_draining:
            return [*emissions, *self._emit_in_progress()]
        return emissions

    def _handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, GatewayStatement):
                return self._handle_statement(message.peer, message.message, now)
            if isinstance(message.message, GatewayWithdrawal):
                return self._handle_withdrawal(
                    _Origin(message.peer, message.message.number)
                )
            if isinstance(message.message, GatewayGreeting):
                self._peers_to_welcome.append(message.peer)
                return self._introduce(message.peer, message.message.introduction)
        elif isinstance(message, StatementFinished):
            return self._handle_finished(message, now)
        elif isinstance(message, ConnectionOpened):
            database, emissions = self._pool.record_opened(message, now)
            return emissions + self._emit_contact(database, True, now)
        elif isinstance(message, ConnectionFailed):
            return self._handle_connection_failed(message, now)
        elif isinstance(message, DirectoryChanged):
            self._databases.update_directory(message.directory, now)
        elif isinstance(message, RoutesChanged):
            self._limits.max_connections = message.table.max_connections
        elif isinstance(message, DrainStarted):
            self._is_draining = True
            transaction_seconds = message.transactions_end_at - now
            self._closes_at = now + min(CLOSE_DELAY_SECONDS, transaction_seconds / 2)
            self._answers_end_at = message.answers_end_at
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for dispatch in self._pool.expire(now):
            emissions.append(self._refuse(dispatch, "no connection was free"))
        if now >= self._answers_end_at:
            self._answers_end_at = math.inf
            emissions += self._end_statements()
        emissions += self._pool.retry_full(now)
        if now >= self._next_maintenance_at:
            self._next_maintenance_at = now + MAINTENANCE_INTERVAL_SECONDS
            emissions += self._pool.close_idle(now)
            emissions += self._withdraw_queued(now)
            # By now the link knows the addresses of those that sent a greeting.
            emissions += [
                Emission("peers", PeerEnvelope(peer=peer, message=GatewayWelcome()))
                for peer in self._peers_to_welcome
            ]
            self._peers_to_welcome.clear()
        if self._is_draining:
            emissions += self._emit_in_progress()
        return emissions

    def _withdraw_queued(self, now: float) -> list[Emission]:
        """Pass back what waits for databases that may get no new work."""
        emissions: list[Emission] = []
        for entry in self._databases.list_ending():
            decision = self._databases.decide_usage(entry, now)
            is_gone = self._databases.find_entry(entry.name, now) is None
            if not (is_gone or decision.usage in _WITHOUT_NEW_WORK):
                continue
            emissions += [
                self._pass_by(dispatch.request, decision.reason or "it has left")
                for dispatch in self._pool.remove_queued(entry.name)
            ]
            if decision.usage is Usage.NOTHING:
                emissions += self._pool.close_connections(entry.name)
        return emissions

    def _end_statements(self) -> list[Emission]:
        """Give an outcome to all statements, because the instance is about to stop."""
        emissions = [
            self._pass_by(dispatch.request, STOP_REASON)
            for dispatch in self._pool.remove_all_queued()
        ]
        emissions += [
            self._emit_outcome(
                dispatch.request,
                _find_effect_without_answer(dispatch.request),
                code=None,
                message=STOP_REASON,
                is_unreachable=True,
            )
            for dispatch in self._pool.state.list_running()
            if self._has_no_outcome(dispatch)
        ]
        return emissions

    def _has_no_outcome(self, dispatch: Dispatch) -> bool:
        return dispatch.request.request_id in self._origins

    def _emit_in_progress(self) -> list[Emission]:
        """Emit how many statements have no outcome, if that has changed."""
        if len(self._origins) == self._n_emitted:
            return []
        self._n_emitted = len(self._origins)
        return [Emission("running", ForwardedStatementsInProgress(self._n_emitted))]

    # Forwarded statements

    def _handle_statement(
        self, peer: str, message: GatewayStatement, now: float
    ) -> list[Emission]:
        emissions = self._introduce(peer, message.introduction)
        request = _make_request(next(self._request_ids), message, now)
        dispatch = Dispatch(
            request=request,
            database=message.database,
            minimum_position=message.minimum_position,
            attempt_deadline=request.deadline,
        )
        self._origins[request.request_id] = _Origin(peer, message.number)
        if now >= self._closes_at:
            return [*emissions, self._pass_by(request, STOP_REASON)]
        entry = self._databases.find_entry(message.database, now)
        if entry is None:
            text = "the gateway does not know the database"
            return [*emissions, self._pass_by(request, text)]
        decision = self._databases.decide_usage(entry, now)
        if decision.usage in _WITHOUT_NEW_WORK:
            return [*emissions, self._pass_by(request, decision.reason)]
        reason = self._find_refusal(dispatch, now)
        if reason is not None:
            return [*emissions, self._refuse(dispatch, reason)]
        return [
            *emissions,
            *self._refuse_hopeless(message.database, now),
            *self._pool.enqueue(dispatch, now),
        ]

    def _handle_withdrawal(self, origin: _Origin) -> list[Emission]:
        """Refuse a statement that still waits; its sender must not run it any more."""
        dispatch = self._pool.remove_request(
            request_id
            for request_id, known_origin in self._origins.items()
            if known_origin == origin
        )
        return [] if dispatch is None else [self._refuse(dispatch, "withdrawn")]

    def _introduce(self, peer: str, introduction: Introduction) -> list[Emission]:
        if self._introductions.get(peer) == introduction:
            return []
        self._introductions[peer] = introduction
        return [Emission("introductions", PeerIntroduced(introduction))]

    def _find_refusal(self, dispatch: Dispatch, now: float) -> str | None:
        """Return why a statement is refused on arrival, ``None`` to queue it."""
        request, database = dispatch.request, dispatch.database
        entry = self._databases.find_entry(database, now)
        if entry is None:
            return None
        if len(self._origins) > MAX_FORWARDED_STATEMENTS:
            return "too many statements wait at the gateway; retry after 0.5 s"
        n_ahead = self._pool.state.count_ahead(database, request.route.priority)
        estimate = self._work.get(database)
        # Without a queue the statement is tried, since the estimate may be too high
        # after a pause of this process.
        if estimate is None or n_ahead < self._limits.compute_concurrency(entry):
            return None
        wait = estimate.estimate_wait(n_ahead, entry.n_slots, now)
        if wait <= request.route.timeout_seconds * MAX_WAIT_FRACTION:
            return None
        return f"{n_ahead} statements wait for the database; retry after {wait:.2f} s"

    def _refuse_hopeless(self, database: str, now: float) -> list[Emission]:
        """Refuse queued statements that the database cannot run in the time left.

        Sent to the database, such a write would end in doubt.
        """
        estimate = self._work.get(database)
        if estimate is None:
            return []
        latest_end = now + estimate.estimate_run(now)
        return [
            self._refuse(dispatch, "the database is overloaded; retry after 0.5 s")
            for dispatch in self._pool.remove_due_before(database, latest_end)
        ]

    def _refuse(self, dispatch: Dispatch, reason: str) -> Emission:
        return self._emit_outcome(
            dispatch.request, Effect.NOT_RUN, code=ErrorCode.BUSY, message=reason
        )

    def _pass_by(self, request: StatementRequest, reason: str) -> Emission:
        """Refuse a statement that its entry can run without this gateway."""
        return self._emit_outcome(
            request,
            Effect.NOT_RUN,
            code=ErrorCode.BUSY,
            message=reason,
            is_unreachable=True,
        )

    def _emit_outcome(
        self,
        request: StatementRequest,
        effect: Effect,
        *,
        code: ErrorCode | None,
        message: str,
        finished: StatementFinished | None = None,
        is_unreachable: bool = False,
    ) -> Emission:
        origin = self._origins.pop(request.request_id)
        outcome = GatewayOutcome(
            number=origin.number,
            is_answered=finished is not None and finished.is_answered,
            effect=effect,
            code=code,
            message=message,
            signature=None if finished is None else finished.signature,
            rows=() if finished is None else finished.rows,
            position=None if finished is None else finished.position,
            is_unreachable=is_unreachable,
            sent_checksum="" if finished is None else finished.sent_checksum,
        )
        return Emission("peers", PeerEnvelope(peer=origin.peer, message=outcome))

    # Messages of the connection tasks

    def _handle_finished(
        self, message: StatementFinished, now: float
    ) -> list[Emission]:
        connection = self._pool.state.get(message.connection_id)
        if connection is None:
            return []
        database = connection.database
        if message.is_answered and message.code is None and message.asked_at > 0:
            self._record_work(database, now - message.asked_at, now)
        emissions = self._refuse_hopeless(database, now)
        dispatch, commands = self._pool.finish(message, now)
        emissions += commands
        if dispatch is None:
            return emissions
        emissions += self._emit_contact(database, message.is_answered, now)
        if not self._has_no_outcome(dispatch):
            return emissions
        if message.code is not None or not message.is_answered:
            emissions.append(self._log_failure(dispatch, message))
        if not are_encodable((*message.rows, message.signature or "")):
            # The entry repeats a read on a connection of its own.
            outcome = self._emit_outcome(
                dispatch.request,
                _find_effect_without_answer(dispatch.request),
                code=None,
                message="the answer is not valid Unicode",
                is_unreachable=True,
            )
            return [outcome, *emissions]
        outcome = self._emit_outcome(
            dispatch.request,
            classify_effect(dispatch.request, message),
            code=message.code,
            message=message.message,
            finished=message,
            is_unreachable=not message.is_answered,
        )
        return [outcome, *emissions]

    def _record_work(self, database: str, seconds: float, now: float) -> None:
        entry = self._databases.find_entry(database, now)
        if entry is not None:
            estimate = self._work.setdefault(database, WorkEstimate())
            n_running = self._pool.state.count_busy(database)
            estimate.record(seconds, n_running, entry.n_slots, now)

    def _log_failure(self, dispatch: Dispatch, message: StatementFinished) -> Emission:
        origin = self._origins[dispatch.request.request_id]
        fields = {
            "request_id": dispatch.request.statement_id,
            "entry": origin.peer,
            "workspace": dispatch.request.workspace,
            "database": dispatch.database,
            "code": None if message.code is None else message.code.value,
            "reason": message.message,
        }
        return Emission("events", Event(EventName.GATEWAY_STATEMENT_FAILED, fields))

    def _handle_connection_failed(
        self, message: ConnectionFailed, now: float
    ) -> list[Emission]:
        loss = self._pool.record_loss(message, now)
        if loss is None:
            return []
        if loss.kind is ConnectionLossKind.FULL:
            return self._emit_contact(loss.database, True, now)
        emissions: list[Emission] = []
        if loss.kind is ConnectionLossKind.IDLE:
            for dispatch in filter(self._has_no_outcome, loss.dispatches):
                emissions += self._pool.enqueue(dispatch, now)
            return emissions + self._pool.assign(loss.database, now)
        if message.code is None:
            emissions += self._emit_contact(loss.database, False, now)
        for dispatch in loss.dispatches:
            emissions.append(
                self._emit_outcome(
                    dispatch.request,
                    Effect.NOT_RUN,
                    code=message.code,
                    message=message.message,
                    is_unreachable=True,
                )
            )
        return emissions

    def _emit_contact(
        self, database: str | None, is_alive: bool, now: float
    ) -> list[Emission]:
        if database is None:
            return []
        return [Emission("seen", DatabaseContact(database, is_alive, now))]


def _find_effect_without_answer(request: StatementRequest) -> Effect:
    return Effect.ROLLED_BACK if request.is_read_only else Effect.UNKNOWN


def _make_request(
    request_id: int, message: GatewayStatement, now: float
) -> StatementRequest:
    route = Route(
        name="",
        database="",
        group=message.group,
        consistency=Consistency.PRIMARY,
        timeout_seconds=message.timeout_seconds,
        priority=message.priority,
    )
    return StatementRequest(
        request_id=request_id,
        session_id=NO_SESSION,
        statement_id=message.statement_id,
        statement=message.statement,
        route=route,
        workspace=message.workspace,
        starts_operation=False,
        step=TransactionStep.NONE,
        is_read_only=message.is_read_only,
        session_variables=message.session_variables,
        prepared=message.prepared,
        minimum_position=message.minimum_position or ORIGIN,
        received_at=now,
        deadline=now + message.timeout_seconds,
    )
