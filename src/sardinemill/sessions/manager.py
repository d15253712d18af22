"""Filter that keeps the state of client sessions.

The state is session variables, prepared statements and the open transaction.
"""

import itertools
import math
from collections.abc import Sequence
from dataclasses import replace

from ..events import Event, EventName
from ..interfaces import Emission
from ..positions import ORIGIN, LogPosition
from .client_limits import (
    DEFAULT_CLIENT_LIMITS,
    SessionStateBudget,
    estimate_text_bytes,
)
from .messages import (
    DrainStarted,
    Effect,
    ErrorCode,
    PreparedStatement,
    RequestRevoked,
    SessionAccepted,
    SessionClosed,
    SessionOpened,
    SessionRefused,
    SessionsEnding,
    SessionState,
    Statement,
    StatementAnswered,
    StatementKind,
    StatementReceived,
    StatementRequest,
    StatementResult,
    TransactionAbandoned,
    TransactionStep,
)
from .refusals import MessageRefused, find_refusals, make_refusal_event
from .routes import (
    ANONYMOUS_WORKSPACE,
    EMPTY_ROUTE_TABLE,
    Consistency,
    Route,
    RoutesChanged,
    RoutesConfirmed,
)
from .text_comparison import compare_texts, find_changed_text

# Interval of the check for idle transactions.
IDLE_CHECK_SECONDS = 0.5
# Time for which a new session waits for the first configuration of this process. A
# client gives up after 2 s without an answer.
MAX_OPENING_SECONDS = 1.5
# Memory of an entry besides its texts.
ENTRY_BYTES = 200
NEVER = float("-inf")
# Codes that say that something is missing in the newest configuration.
ABSENCE_CODES = (ErrorCode.NO_DATABASE, ErrorCode.ACCESS_DENIED)
UNKNOWN_KEY = (ErrorCode.ACCESS_DENIED, "unknown key")
UNCONFIRMED_MESSAGE = "the configuration may be outdated; retry after 0.5 s"
STOPPING_MESSAGE = "the instance is stopping; retry on another connection"


class _Transaction:
    """Open transaction of a session.

    :ivar has_begun: a database has begun it.
    :ivar is_failed: it was given up and holds no connection; only the client's COMMIT
        or ROLLBACK is accepted.
    """

    def __init__(self, route: Route, workspace: str, is_read_only: bool) -> None:
        self.route = route
        self.workspace = workspace
        self.is_read_only = is_read_only
        self.has_begun = False
        self.is_failed = False


class _Session:
    """State of one client connection.

    :ivar key: API key of the client; BEGIN, COMMIT and each read or write check it
        again, and each configuration checks it for the request in progress, so that a
        withdrawn key takes effect at once.
    :ivar prepared: prepared statements by the client's name.
    :ivar minimum_positions: position of the last own write by database group.
    :ivar current_request: request in progress.
    :ivar last_active_at: start or end of the last statement, on the instance's clock.
    """

    def __init__(
        self, session_id: int, database: str, key: str, last_active_at: float = 0.0
    ) -> None:
        self.session_id = session_id
        self.database = database
        self.key = key
        self.session_variables: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.minimum_positions: dict[str, LogPosition] = {}
        self.transaction: _Transaction | None = None
        self.current_request: StatementRequest | None = None
        self.last_active_at = last_active_at


class SessionManager:
    """Answers statements that need no database and forwards the others as requests.

    Outlets: ``next`` (:class:`StatementRequest`, :class:`RequestRevoked`), ``client``
    (answers), ``abandoned``
    (:class:`TransactionAbandoned`), ``refused`` (:class:`MessageRefused`), ``events``.

    :param state_bytes: limit of the variables and prepared statements of all sessions.
    :param configuration_limit_seconds: time within which a configuration has to be in
        force after its acknowledgement.
    """

    def __init__(
        self,
        state_bytes: int = DEFAULT_CLIENT_LIMITS.state_bytes,
        configuration_limit_seconds: float = math.inf,
    ) -> None:
        self._configuration_limit_seconds = configuration_limit_seconds
        self._state_budget = SessionStateBudget(state_bytes)
        self._route_table = EMPTY_ROUTE_TABLE
        self._routes_confirmed_at = NEVER
        self._sessions: dict[int, _Session] = {}
        # Sessions that wait for the first configuration, with the end of the wait.
        self._opening: dict[int, tuple[SessionOpened, float]] = {}
        self._request_ids = itertools.count(1)
        self._next_idle_check_at = 0.0
        self._drain: DrainStarted | None = None
        self._accepts_sessions = True
        self._is_stopped = False

    @property
    def next_tick(self) -> float | None:
        ends = [end for _, end in self._opening.values()]
        if self._drain is not None and not self._is_stopped:
            ends.append(self._drain.answers_end_at)
        return min(self._next_idle_check_at, *ends, math.inf)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, StatementReceived):
            emissions = self._handle_statement(message, now)
            refusals = find_refusals(message, emissions)
            return [*emissions, *self._report_refusals(refusals, now)]
        if isinstance(message, MessageRefused):
            return self._report_refusals([message], now)
        if isinstance(message, StatementResult):
            return self._handle_result(message, now)
        if isinstance(message, SessionOpened):
            return self._open_session(message, now)
        if isinstance(message, SessionClosed):
            return self._close_session(message.session_id, now)
        if isinstance(message, RoutesChanged):
            self._route_table = message.table
            return [*self._open_waiting(now), *self._revoke_requests()]
        if isinstance(message, RoutesConfirmed):
            self._routes_confirmed_at = message.confirmed_at
            return ()
        if isinstance(message, DrainStarted):
            self._drain = message
            return self._open_waiting(now)
        if isinstance(message, SessionsEnding):
            self._accepts_sessions = False
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions = [
            emission
            for message, end in list(self._opening.values())
            if now >= end
            for emission in self._open_now(message, now)
        ]
        if now >= self._next_idle_check_at:
            emissions += self._check_idle_transactions(now)
        if (
            self._drain is not None
            and now >= self._drain.answers_end_at
            and not self._is_stopped
        ):
            emissions += self._answer_unfinished(now)
        return emissions

    def _answer_unfinished(self, now: float) -> list[Emission]:
        """Answer all requests in progress before the process ends.

        What the databases have done for them is not known here. The connections to the
        databases close with the process, so that open transactions roll back.
        """
        self._is_stopped = True
        emissions: list[Emission] = []
        for session in self._sessions.values():
            request = session.current_request
            if request is None:
                continue
            if request.step is TransactionStep.FIRST:
                # A database may still begin the transaction.
                emissions += self._abandon_transaction(session)
            code, _ = _classify_lost_answer(request, Effect.UNKNOWN)
            result = StatementResult(
                request=request,
                code=code,
                message=STOPPING_MESSAGE,
                effect=Effect.UNKNOWN,
            )
            emissions += self._handle_result(result, now)
        return emissions

    def _check_idle_transactions(self, now: float) -> list[Emission]:
        self._next_idle_check_at = now + IDLE_CHECK_SECONDS
        limit = self._route_table.configuration.transaction_idle_seconds
        is_past_drain_deadline = (
            self._drain is not None and now >= self._drain.transactions_end_at
        )
        emissions: list[Emission] = []
        for session in self._sessions.values():
            transaction = session.transaction
            if transaction is None or transaction.is_failed or session.current_request:
                continue
            if now - session.last_active_at > limit or is_past_drain_deadline:
                emissions += self._abandon_transaction(session)
                fields = {
                    "session": session.session_id,
                    "group": transaction.route.group,
                    "idle_seconds": round(now - session.last_active_at, 3),
                    "limit_seconds": limit,
                    "is_draining": is_past_drain_deadline,
                }
                event = Event(EventName.TRANSACTION_IDLE, fields)
                emissions.append(Emission("events", event))
        return emissions

    # Sessions

    def _open_session(self, message: SessionOpened, now: float) -> list[Emission]:
        """Open a session, or let it wait for the first configuration.

        Load pattern: a common restart. Clients reconnect before the instance has
        learned the configuration, which takes some hundred milliseconds.
        """
        if self._route_table.version or self._drain is not None:
            return self._open_now(message, now)
        self._opening[message.session_id] = (message, now + MAX_OPENING_SECONDS)
        return []

    def _open_waiting(self, now: float) -> list[Emission]:
        return [
            emission
            for message, _ in list(self._opening.values())
            for emission in self._open_now(message, now)
        ]

    def _open_now(self, message: SessionOpened, now: float) -> list[Emission]:
        self._opening.pop(message.session_id, None)
        _, refusal = self._resolve_route(message.database, message.key)
        if not self._accepts_sessions:
            # A session that is opened and closed at once may already have sent a write.
            refusal = (ErrorCode.BUSY, STOPPING_MESSAGE)
        if refusal is not None:
            code, text = self._qualify_refusal(refusal, now)
            refused = SessionRefused(message.session_id, code, text)
            fields = {
                "session": message.session_id,
                "database": message.database,
                "code": code.value,
                "configuration_version": self._route_table.version,
                "configuration_age_seconds": self._find_configuration_age(now),
            }
            event = Event(EventName.SESSION_REFUSED, fields)
            count = MessageRefused(session_id=message.session_id, code=code)
            return [
                Emission("client", refused),
                Emission("events", event),
                Emission("refused", count),
            ]
        self._sessions[message.session_id] = _Session(
            message.session_id, message.database, message.key, last_active_at=now
        )
        return [Emission("client", SessionAccepted(message.session_id))]

    def _close_session(self, session_id: int, now: float) -> list[Emission]:
        self._opening.pop(session_id, None)
        self._state_budget.remove(session_id)
        session = self._sessions.pop(session_id, None)
        if session is None:
            return []
        emissions = self._abandon_transaction(session)
        request = session.current_request
        if request is not None:
            fields = {
                "request_id": request.statement_id,
                "session": session_id,
                "workspace": request.workspace,
                "group": request.route.group,
                "route": request.route.name,
                "step": request.step.value,
                "is_read_only": request.is_read_only,
                "is_draining": self._drain is not None,
                "seconds": round(now - request.received_at, 4),
            }
            event = Event(EventName.REQUEST_CUT_OFF, fields)
            emissions.append(Emission("events", event))
        return emissions

    def _abandon_transaction(self, session: _Session) -> list[Emission]:
        transaction = session.transaction
        if transaction is None:
            return []
        transaction.is_failed = True
        if not transaction.has_begun and session.current_request is None:
            return []
        transaction.has_begun = False
        return [Emission("abandoned", TransactionAbandoned(session.session_id))]

    def _resolve_route(
        self, database: str, key: str
    ) -> tuple[tuple[Route, str] | None, tuple[ErrorCode, str] | None]:
        """Return route and workspace, or else the error of the refusal."""
        if not self._route_table.version:
            return None, (ErrorCode.BUSY, "no configuration yet; retry after 1 s")
        route = self._route_table.routes.get(database)
        if route is None:
            return None, (ErrorCode.NO_DATABASE, "no such database")
        workspace = self._route_table.workspaces.get(key)
        if workspace is None and not route.is_open:
            return None, UNKNOWN_KEY
        return (route, workspace or ANONYMOUS_WORKSPACE), None

    def _check_key(
        self, session: _Session, route: Route, workspace: str
    ) -> tuple[ErrorCode, str] | None:
        """Return why a key no longer covers work that it began, ``None`` if it does.

        The work goes on with the route that it began on, also if that is removed.

        :param workspace: of the work, in whose name the database runs it.
        """
        current = self._route_table.workspaces.get(session.key)
        if current is None and not route.is_open:
            return UNKNOWN_KEY
        if (current or ANONYMOUS_WORKSPACE) == workspace:
            return None
        code = ErrorCode.BUSY if session.transaction is None else ErrorCode.ABORTED
        return code, "the key belongs to another workspace now; retry after 0.1 s"

    def _revoke_requests(self) -> list[Emission]:
        """Revoke the requests in progress whose keys the configuration has ended."""
        emissions: list[Emission] = []
        for session in self._sessions.values():
            request = session.current_request
            if request is None:
                continue
            refusal = self._check_key(session, request.route, request.workspace)
            if refusal is not None:
                emissions.append(Emission("next", RequestRevoked(request, *refusal)))
        return emissions

    def _find_configuration_age(self, now: float) -> float | None:
        """Return the age of the proof that no newer configuration exists."""
        age = now - self._routes_confirmed_at
        return round(age, 3) if math.isfinite(age) else None

    def _qualify_refusal(
        self, refusal: tuple[ErrorCode, str], now: float
    ) -> tuple[ErrorCode, str]:
        """Return the refusal of an unknown database or key that is proved.

        A version that has to be in force by now may hold the database or the key. With
        a proof that is older than the limit, the caller is told to retry instead.
        """
        is_proved = now - self._routes_confirmed_at <= self._configuration_limit_seconds
        if is_proved or refusal[0] not in ABSENCE_CODES:
            return refusal
        return ErrorCode.BUSY, UNCONFIRMED_MESSAGE

    def _report_refusals(
        self, refusals: Sequence[MessageRefused], now: float
    ) -> list[Emission]:
        emissions: list[Emission] = []
        for refused in refusals:
            session = self._sessions.get(refused.session_id)
            workspace = database = ""
            if session is not None:
                resolved, _ = self._resolve_route(session.database, session.key)
                if resolved is not None:
                    database, workspace = resolved[0].database, resolved[1]
            event = make_refusal_event(
                refused,
                workspace=workspace,
                database=database,
                configuration_version=self._route_table.version,
                configuration_age_seconds=self._find_configuration_age(now),
            )
            emissions.append(Emission("events", event))
            emissions.append(Emission("refused", refused))
        return emissions

    # Statements

    def _handle_statement(
        self, message: StatementReceived, now: float
    ) -> Sequence[Emission]:
        session = self._sessions.get(message.session_id)
        if session is None:
            return ()
        session.last_active_at = now
        kind = message.statement.kind
        transaction = session.transaction
        is_end = kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
        if transaction is not None and transaction.is_failed and not is_end:
            return [
                _make_refusal(session, ErrorCode.MALFORMED, "the transaction failed")
            ]
        if kind is StatementKind.BEGIN:
            return [self._begin_transaction(session, message.statement, now)]
        if is_end:
            return self._end_transaction(session, message, now)
        if kind in (StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE):
            return self._forward_statement(session, message, now)
        return [self._change_session(session, message.statement)]

    def _change_session(self, session: _Session, statement: Statement) -> Emission:
        """Execute a statement that changes only session state."""
        change_bytes = _estimate_state_change(session, statement)
        if not self._state_budget.resize(session.session_id, change_bytes):
            text = "the sessions of this instance hold too much state"
            return _make_refusal(session, ErrorCode.TOO_LARGE, text)
        if statement.kind is StatementKind.SET:
            session.session_variables[statement.name] = statement.argument
        elif statement.kind is StatementKind.PREPARE:
            session.prepared[statement.name] = PreparedStatement(
                statement.argument, statement.is_read_only
            )
        elif statement.kind is StatementKind.DEALLOCATE:
            if session.prepared.pop(statement.name, None) is None:
                return _make_refusal(
                    session, ErrorCode.UNKNOWN_STATEMENT, statement.name
                )
        else:
            return _make_refusal(session, ErrorCode.MALFORMED, "not a statement")
        return _make_success(session)

    def _begin_transaction(
        self, session: _Session, statement: Statement, now: float
    ) -> Emission:
        if session.transaction is not None:
            return _make_refusal(session, ErrorCode.MALFORMED, "a transaction is open")
        resolved, refusal = self._resolve_route(session.database, session.key)
        if resolved is None:
            assert refusal is not None
            return _make_refusal(session, *self._qualify_refusal(refusal, now))
        route, workspace = resolved
        session.transaction = _Transaction(route, workspace, statement.is_read_only)
        return _make_success(session)

    def _end_transaction(
        self, session: _Session, message: StatementReceived, now: float
    ) -> Sequence[Emission]:
        transaction = session.transaction
        if transaction is None:
            return [
                _make_refusal(session, ErrorCode.MALFORMED, "no transaction is open")
            ]
        if message.statement.kind is StatementKind.ROLLBACK:
            emissions = self._abandon_transaction(session)
            session.transaction = None
            return [*emissions, _make_success(session)]
        if transaction.is_failed:
            session.transaction = None
            return [_make_refusal(session, ErrorCode.ABORTED, "the transaction failed")]
        ended = self._check_key(session, transaction.route, transaction.workspace)
        if ended is not None:
            emissions = self._abandon_transaction(session)
            session.transaction = None
            refusal = _make_refusal(session, *self._qualify_refusal(ended, now))
            return [*emissions, refusal]
        return self._send_request(
            session,
            message,
            transaction.route,
            transaction.workspace,
            TransactionStep.COMMIT,
            transaction.is_read_only,
            None,
            now,
        )

    def _forward_statement(
        self, session: _Session, message: StatementReceived, now: float
    ) -> Sequence[Emission]:
        statement = message.statement
        is_read_only = statement.is_read_only
        prepared = None
        if statement.kind is StatementKind.EXECUTE:
            prepared = session.prepared.get(statement.name)
            if prepared is None:
                return self._refuse_and_abort(
                    session, ErrorCode.UNKNOWN_STATEMENT, statement.name
                )
            is_read_only = prepared.is_read_only
        transaction = session.transaction
        refusal: tuple[ErrorCode, str] | None
        if transaction is None:
            resolved, refusal = self._resolve_route(session.database, session.key)
        else:
            resolved = transaction.route, transaction.workspace
            refusal = self._check_key(session, *resolved)
        if refusal is not None:
            code, text = self._qualify_refusal(refusal, now)
            return self._refuse_and_abort(session, code, text)
        assert resolved is not None
        route, workspace = resolved
        step = TransactionStep.NONE
        if transaction is not None:
            is_first = not transaction.has_begun
            step = TransactionStep.FIRST if is_first else TransactionStep.LATER
            is_read_only = transaction.is_read_only
        return self._send_request(
            session, message, route, workspace, step, is_read_only, prepared, now
        )

    def _send_request(
        self,
        session: _Session,
        message: StatementReceived,
        route: Route,
        workspace: str,
        step: TransactionStep,
        is_read_only: bool,
        prepared: PreparedStatement | None,
        now: float,
    ) -> Sequence[Emission]:
        if self._drain is not None and now >= self._drain.requests_end_at:
            emissions = self._abandon_transaction(session)
            if step is TransactionStep.COMMIT:
                session.transaction = None
            refusal = _make_refusal(session, ErrorCode.BUSY, STOPPING_MESSAGE)
            return [*emissions, refusal]
        minimum_position = ORIGIN
        if route.consistency is Consistency.READ_YOUR_WRITES:
            minimum_position = session.minimum_positions.get(route.group, ORIGIN)
        request = StatementRequest(
            request_id=next(self._request_ids),
            session_id=session.session_id,
            statement_id=message.statement_id,
            statement=message.statement,
            route=route,
            workspace=workspace,
            starts_operation=step in (TransactionStep.NONE, TransactionStep.FIRST),
            step=step,
            is_read_only=is_read_only,
            session_variables=tuple(sorted(session.session_variables.items())),
            prepared=prepared,
            minimum_position=minimum_position,
            received_at=now,
            deadline=self._find_deadline(route, now),
            has_begun=session.transaction is not None and session.transaction.has_begun,
            text_checksum=message.digest.checksum,
        )
        session.current_request = request
        return [Emission("next", request)]

    def _find_deadline(self, route: Route, now: float) -> float:
        deadline = now + route.timeout_seconds
        if self._drain is None:
            return deadline
        return min(deadline, self._drain.requests_end_at)

    def _refuse_and_abort(
        self, session: _Session, code: ErrorCode, text: str
    ) -> Sequence[Emission]:
        """Refuse a statement and fail the open transaction with it."""
        return [*self._abandon_transaction(session), _make_refusal(session, code, text)]

    # Results

    def _handle_result(self, result: StatementResult, now: float) -> Sequence[Emission]:
        request = result.request
        session = self._sessions.get(request.session_id)
        if session is not None and session.current_request is not request:
            # The end of the drain has answered and logged it.
            return ()
        if result.code is not None and not result.database:
            code, text = self._qualify_refusal((result.code, result.message), now)
            result = replace(result, code=code, message=text)
        emissions = self._emit_result_event(result, now)
        if session is None:
            # The client disconnected while its statement was queued; the statement may
            # have begun a transaction since.
            if request.step is not TransactionStep.NONE:
                abandoned = TransactionAbandoned(request.session_id)
                emissions.append(Emission("abandoned", abandoned))
            return emissions
        session.current_request = None
        session.last_active_at = now
        if result.code is None and result.is_answered:
            self._record_success(session, result)
        else:
            result = self._record_failure(session, result, emissions)
        answer = StatementAnswered(
            session_id=session.session_id,
            state=_get_state(session),
            rows=result.rows,
            signature=result.signature,
            code=result.code,
            message=result.message,
        )
        return [*emissions, Emission("client", answer)]

    def _record_success(self, session: _Session, result: StatementResult) -> None:
        request = result.request
        is_committed = request.step is TransactionStep.COMMIT
        if is_committed:
            session.transaction = None
        elif session.transaction is not None:
            session.transaction.has_begun = True
        is_write = request.step is TransactionStep.NONE and not request.is_read_only
        if result.position is not None and (
            is_write or (is_committed and not request.is_read_only)
        ):
            group = request.route.group
            known = session.minimum_positions.get(group, ORIGIN)
            session.minimum_positions[group] = max(known, result.position)

    def _record_failure(
        self,
        session: _Session,
        result: StatementResult,
        emissions: list[Emission],
    ) -> StatementResult:
        request = result.request
        if request.step is TransactionStep.COMMIT:
            emissions += self._abandon_transaction(session)
            session.transaction = None
        elif session.transaction is not None:
            if request.step is TransactionStep.LATER or result.is_answered:
                session.transaction.has_begun = True
            emissions += self._abandon_transaction(session)
        if result.code is not None:
            return result
        code, text = _classify_lost_answer(request, result.effect)
        return replace(result, code=code, message=text)

    def _emit_result_event(self, result: StatementResult, now: float) -> list[Emission]:
        request = result.request
        age = result.evidence_age_seconds
        fields = {
            "request_id": request.statement_id,
            "session": request.session_id,
            "workspace": request.workspace,
            "group": request.route.group,
            "route": request.route.name,
            "consistency": request.route.consistency.value,
            "configuration_version": self._route_table.version,
            "step": request.step.value,
            "is_read_only": request.is_read_only,
            "database": result.database,
            "gateway": result.gateway,
            "after": "-"
            if result.minimum_position is None
            else str(result.minimum_position),
            "evidence_age_seconds": None if age is None else round(age, 3),
            "n_attempts": result.n_attempts,
            "is_text_unchanged": compare_texts(request, result.sent_checksum),
            "seconds": round(now - request.received_at, 4),
        }
        changed = [Emission("events", item) for item in find_changed_text(result)]
        if result.code is None and result.is_answered:
            event = Event(EventName.STATEMENT_ANSWERED, fields)
            return [*changed, Emission("events", event)]
        fields["code"] = None if result.code is None else result.code.value
        fields["effect"] = result.effect.value
        fields["reason"] = result.message
        return [
            *changed,
            Emission("events", Event(EventName.STATEMENT_REFUSED, fields)),
        ]


def _classify_lost_answer(
    request: StatementRequest, effect: Effect
) -> tuple[ErrorCode, str]:
    """Return error code and message for a statement that got no answer."""
    is_write = not request.is_read_only
    ends_write = request.step in (TransactionStep.NONE, TransactionStep.COMMIT)
    if effect is Effect.UNKNOWN and is_write and ends_write:
        return ErrorCode.IN_DOUBT, "the database did not answer"
    if request.step is not TransactionStep.NONE:
        return ErrorCode.ABORTED, "the database did not answer; rolled back"
    return ErrorCode.BUSY, "no database answered; retry after 0.1 s"


def _estimate_state_change(session: _Session, statement: Statement) -> int:
    """Return by how much a statement changes the memory of a session's state."""
    name = statement.name
    if statement.kind is StatementKind.SET:
        old = session.session_variables.get(name)
    elif statement.kind in (StatementKind.PREPARE, StatementKind.DEALLOCATE):
        prepared = session.prepared.get(name)
        old = None if prepared is None else prepared.shape
    else:
        return 0
    change_bytes = 0 if old is None else -estimate_text_bytes(name, old) - ENTRY_BYTES
    if statement.kind is not StatementKind.DEALLOCATE:
        change_bytes += estimate_text_bytes(name, statement.argument) + ENTRY_BYTES
    return change_bytes


def _get_state(session: _Session) -> SessionState:
    if session.transaction is None:
        return SessionState.IDLE
    if session.transaction.is_failed:
        return SessionState.FAILED_TRANSACTION
    return SessionState.IN_TRANSACTION


def _make_success(session: _Session) -> Emission:
    answer = StatementAnswered(session.session_id, _get_state(session))
    return Emission("client", answer)


def _make_refusal(session: _Session, code: ErrorCode, text: str) -> Emission:
    answer = StatementAnswered(
        session.session_id, _get_state(session), code=code, message=text
    )
    return Emission("client", answer)
