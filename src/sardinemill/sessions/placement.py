"""Filter that chooses a database and a connection for each statement."""

import math
from collections.abc import Sequence

from ..events import Event, EventName
from ..fleet.records import (
    DatabaseEntry,
)
from ..fleet.views import (
    DatabaseContact,
    DirectoryChanged,
    PositionSeen,
    ReachableCoordinatorsChanged,
    RecordConfirmed,
)
from ..interfaces import Emission
from ..positions import LogPosition
from .connection_messages import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    OpenConnection,
    RollBack,
    RolledBack,
    RunStatement,
    StatementFinished,
)
from .connections import (
    DEFAULT_N_KEPT,
    HARD_LIMIT,
    KEPT_FRACTION,
    Connection,
    ConnectionBook,
    apply_setup,
    plan_setup,
)
from .databases import DatabaseView
from .messages import (
    Dispatch,
    Effect,
    ErrorCode,
    StatementRequest,
    StatementResult,
    TransactionAbandoned,
    TransactionStep,
)
from .routes import EMPTY_ROUTE_TABLE, Consistency, RoutesChanged

# Databases tried for one statement.
MAX_ATTEMPTS = 3
# A read without an answer goes to another database after this part of its time, which
# leaves the other one as much time again.
ATTEMPT_FRACTION = 0.4
# A full database is asked for a connection again after this time.
FULL_SECONDS = 0.05
TICK_SECONDS = 0.1

# Cost of a new connection beside those of :mod:`~sardinemill.sessions.databases`.
NO_CONNECTION_COST = 0.35
NEVER = float("-inf")


class _Attempt:
    """Statement that is not answered yet.

    :ivar tried: databases that failed it.
    """

    def __init__(self, request: StatementRequest) -> None:
        self.request = request
        self.tried: set[str] = set()
        self.n_attempts = 0
        self.was_primary = False
        self.minimum_position: LogPosition | None = None
        self.evidence_age_seconds: float | None = None


class Placement:
    """Keeps the consistency of reads and the limits of connections.

    Outlets: ``connections``, ``result`` (:class:`StatementResult`), ``seen``
    (:class:`PositionSeen`, :class:`DatabaseContact`), ``events``.

    :param data_centre: of this instance.
    """

    def __init__(self, data_centre: str) -> None:
        self._view = DatabaseView(data_centre)
        self._book = ConnectionBook()
        self._attempts: dict[int, _Attempt] = {}
        self._full_until: dict[str, float] = {}
        self._next_tick = 0.0
        self._has_right = False
        self._table = EMPTY_ROUTE_TABLE
        self._n_instances = 1

    @property
    def next_tick(self) -> float | None:
        deadline = self._book.find_next_deadline()
        full = min(self._full_until.values(), default=math.inf)
        return min(self._next_tick, full, math.inf if deadline is None else deadline)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, StatementRequest):
            return self._take_request(message, now)
        if isinstance(message, StatementFinished):
            return self._take_finished(message, now)
        if isinstance(message, ConnectionOpened):
            return self._take_opened(message, now)
        if isinstance(message, ConnectionFailed):
            return self._take_failed_connection(message, now)
        if isinstance(message, RolledBack):
            return self._take_rolled_back(message, now)
        if isinstance(message, TransactionAbandoned):
            return self._abandon(message.session_id)
        if isinstance(message, RecordConfirmed):
            self._view.confirm_record(message)
            return self._tell_right(now)
        if isinstance(message, PositionSeen):
            self._view.merge_position(message)
        elif isinstance(message, DirectoryChanged):
            self._view.change_directory(message.directory, now)
        elif isinstance(message, RoutesChanged):
            self._table = message.table
        elif isinstance(message, ReachableCoordinatorsChanged):
            self._n_instances = max(1, message.n_instances)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for dispatch in self._book.list_overdue(now):
            self._book.remove_waiting(dispatch)
            emissions += self._finish_attempt(
                dispatch.request,
                dispatch.database,
                now,
                message="no connection was free",
            )
        for database, until in list(self._full_until.items()):
            if now >= until:
                del self._full_until[database]
                emissions += self._serve_waiting(database, now)
        if now >= self._next_tick:
            self._next_tick = now + TICK_SECONDS
            n_kept = {
                item.name: self._find_n_kept(item.group)
                for item in self._view.directory.databases
            }
            for connection in self._book.list_expired(n_kept, now):
                emissions.append(self._close(connection))
            emissions += self._tell_right(now)
        return emissions

    def _tell_right(self, now: float) -> list[Emission]:
        has_right = self._view.has_right(now)
        if has_right == self._has_right:
            return []
        self._has_right = has_right
        name = EventName.RIGHT_REGAINED if has_right else EventName.RIGHT_LOST
        age = round(self._view.find_right_age(now), 3)
        return [Emission("events", Event(name, {"evidence_age_seconds": age}))]

    # Choice of a database

    def _take_request(self, request: StatementRequest, now: float) -> list[Emission]:
        attempt = _Attempt(request)
        self._attempts[request.request_id] = attempt
        pinned = self._book.find_pinned(request.session_id)
        if pinned is not None:
            return self._continue_transaction(attempt, pinned, now)
        if request.has_begun or request.step is TransactionStep.LATER:
            return self._refuse(attempt, ErrorCode.ABORTED, "the connection was lost")
        return self._place(attempt, now)

    def _continue_transaction(
        self, attempt: _Attempt, pinned: Connection, now: float
    ) -> list[Emission]:
        request = attempt.request
        primary = self._view.find_primary(request.route.group, now)
        attempt.was_primary = primary is not None and primary.name == pinned.database
        ends = request.step is TransactionStep.COMMIT
        if ends and not request.is_read_only and not attempt.was_primary:
            return self._refuse(
                attempt, ErrorCode.ABORTED, "the primary may have been replaced"
            )
        dispatch = Dispatch(
            request=request,
            database=pinned.database,
            minimum_position=None,
            attempt_deadline=request.deadline,
        )
        return [self._run(pinned, dispatch)]

    def _place(self, attempt: _Attempt, now: float) -> list[Emission]:
        request = attempt.request
        group = request.route.group
        primary = self._view.find_primary(group, now)
        chosen: DatabaseEntry | None = None
        minimum_position: LogPosition | None = None
        needs_primary = (
            not request.is_read_only or request.route.consistency is Consistency.PRIMARY
        )
        if not needs_primary:
            minimum_position = self._view.find_minimum_position(request, now)
            if minimum_position is not None:
                chosen = self._view.choose_reader(
                    group,
                    attempt.tried,
                    lambda entry: self._estimate_load(entry, request.workspace),
                    now,
                )
        if chosen is None and primary is not None and primary.name not in attempt.tried:
            chosen = primary
        if chosen is None:
            phase = self._view.describe_group(group)
            age = self._view.find_right_age(now)
            return self._refuse(
                attempt,
                ErrorCode.BUSY,
                f"no database to use: primary {phase}, right {age:.2f} s old,"
                f" {len(attempt.tried)} tried; retry after 0.5 s",
            )
        attempt.was_primary = primary is not None and chosen.name == primary.name
        attempt.minimum_position = None if attempt.was_primary else minimum_position
        attempt.n_attempts += 1
        attempt.evidence_age_seconds = self._find_evidence_age(attempt, now)
        return self._dispatch(attempt, chosen, now)

    def _find_evidence_age(self, attempt: _Attempt, now: float) -> float | None:
        if attempt.was_primary:
            return self._view.find_right_age(now)
        return self._view.find_position_age(attempt.request.route.group, now)

    def _estimate_load(self, entry: DatabaseEntry, workspace: str) -> float:
        """Expected wait of a statement at a database, in statements."""
        load = self._book.count_busy(entry.name) / max(1, entry.n_slots)
        if self._book.find_idle(entry.name, workspace, ()) is None:
            load += NO_CONNECTION_COST
        return load

    # Choice of a connection

    def _find_n_kept(self, group: str) -> float:
        """Connections to each database of a group that this instance may keep."""
        limit = self._table.max_connections.get(group)
        if limit is None:
            return DEFAULT_N_KEPT
        return limit * KEPT_FRACTION / self._n_instances

    def _dispatch(
        self, attempt: _Attempt, entry: DatabaseEntry, now: float
    ) -> list[Emission]:
        request = attempt.request
        deadline = request.deadline
        may_move = request.is_read_only and request.step is TransactionStep.NONE
        if may_move and attempt.n_attempts < MAX_ATTEMPTS:
            part = now + request.route.timeout_seconds * ATTEMPT_FRACTION
            deadline = min(deadline, part)
        dispatch = Dispatch(
            request=request,
            database=entry.name,
            minimum_position=attempt.minimum_position,
            attempt_deadline=deadline,
        )
        self._book.wait(dispatch)
        return self._serve_waiting(entry.name, now)

    def _serve_waiting(self, database: str, now: float) -> list[Emission]:
        """Give connections to the statements that wait for a database."""
        emissions: list[Emission] = []
        connections = self._book.list_database(database)
        opening = [item.workspace for item in connections if not item.is_open]
        for dispatch in self._book.list_waiting(database):
            request = dispatch.request
            found = self._book.find_idle(
                database, request.workspace, request.session_variables
            )
            if found is not None:
                self._book.remove_waiting(dispatch)
                emissions.append(self._run(found, dispatch))
            elif request.workspace in opening:
                opening.remove(request.workspace)
            else:
                emissions += self._open(database, request.workspace, now)
        return emissions

    def _open(self, database: str, workspace: str, now: float) -> list[Emission]:
        if now < self._full_until.get(database, NEVER):
            return []
        emissions: list[Emission] = []
        n_open = len(self._book.list_database(database))
        entry = self._view.find_entry(database, now)
        if entry is None:
            return emissions
        if n_open >= max(1.0, self._find_n_kept(entry.group)):
            surplus = self._book.find_surplus(database, workspace)
            if surplus is not None:
                emissions.append(self._close(surplus))
            elif n_open >= HARD_LIMIT:
                return []
        connection = self._book.open(database, workspace, now)
        command = OpenConnection(connection.number, entry, workspace)
        return [*emissions, Emission("connections", command)]

    def _close(self, connection: Connection) -> Emission:
        self._book.close(connection.number)
        return Emission("connections", CloseConnection(connection.number))

    def _run(self, connection: Connection, dispatch: Dispatch) -> Emission:
        setup = plan_setup(connection, dispatch)
        connection.setup = setup
        connection.dispatch = dispatch
        if dispatch.request.step is not TransactionStep.NONE:
            connection.session_id = dispatch.request.session_id
        command = RunStatement(connection.number, setup, dispatch)
        return Emission("connections", command)

    def _release(self, connection: Connection, now: float) -> list[Emission]:
        connection.session_id = None
        connection.is_abandoned = False
        connection.used_at = now
        return self._serve_waiting(connection.database, now)

    # What the connections report

    def _take_opened(self, message: ConnectionOpened, now: float) -> list[Emission]:
        connection = self._book.get(message.number)
        if connection is None:
            return [Emission("connections", CloseConnection(message.number))]
        connection.is_open = True
        connection.used_at = now
        self._view.note_answer(connection.database)
        emissions = self._note_alive(connection.database, now)
        return [*emissions, *self._serve_waiting(connection.database, now)]

    def _take_failed_connection(
        self, message: ConnectionFailed, now: float
    ) -> list[Emission]:
        connection = self._book.close(message.number)
        if connection is None:
            return []
        database = connection.database
        if message.code is ErrorCode.TOO_MANY_CONNECTIONS:
            # Other instances hold the rest; they close idle connections in time.
            self._full_until[database] = now + FULL_SECONDS
            return self._note_alive(database, now)
        if connection.is_open:
            # It ended while idle, which says nothing of the database.
            return self._serve_waiting(database, now)
        emissions: list[Emission] = []
        self._view.note_failure(database, now)
        if message.code is None:
            contact = DatabaseContact(database, False, now)
            emissions.append(Emission("seen", contact))
        for dispatch in self._book.list_waiting(database):
            self._book.remove_waiting(dispatch)
            emissions += self._finish_attempt(
                dispatch.request,
                database,
                now,
                code=message.code,
                message=message.message,
            )
        return emissions

    def _take_finished(self, message: StatementFinished, now: float) -> list[Emission]:
        connection = self._book.get(message.number)
        if connection is None or connection.dispatch is None:
            return []
        dispatch = connection.dispatch
        request = dispatch.request
        attempt = self._attempts.get(request.request_id)
        connection.dispatch = None
        emissions: list[Emission] = []
        if message.is_answered:
            emissions += self._note_alive(connection.database, now)
        else:
            self._view.note_failure(connection.database, now)
            contact = DatabaseContact(connection.database, False, now)
            emissions.append(Emission("seen", contact))
        if message.is_usable:
            apply_setup(connection, connection.setup[: message.n_setup])
        emissions += self._settle_connection(connection, message, request, now)
        if attempt is None:
            return emissions
        has_run = message.asked_at > 0 and message.failed_step is None
        if attempt.was_primary and has_run and message.position is not None:
            emissions += self._note_position(request, message)
        if message.is_answered and message.code is None and has_run:
            if self._is_late_write(request, connection.database, now):
                return emissions + self._finish_attempt(
                    request,
                    connection.database,
                    now,
                    message="the primary may have been replaced meanwhile",
                    effect=Effect.UNKNOWN,
                )
            del self._attempts[request.request_id]
            result = StatementResult(
                request=request,
                database=connection.database,
                rows=message.rows,
                signature=message.signature,
                position=message.position,
                asked_at=message.asked_at,
                is_answered=True,
                minimum_position=attempt.minimum_position,
                evidence_age_seconds=attempt.evidence_age_seconds,
                n_attempts=attempt.n_attempts,
            )
            return [*emissions, Emission("result", result)]
        return emissions + self._finish_attempt(
            request,
            connection.database,
            now,
            code=message.code,
            message=message.message,
            is_answered=message.is_answered,
            effect=_find_effect(request, message),
        )

    def _is_late_write(
        self, request: StatementRequest, database: str, now: float
    ) -> bool:
        """Tell whether a write was answered after the right to its primary ended."""
        ends = request.step in (TransactionStep.NONE, TransactionStep.COMMIT)
        if request.is_read_only or not ends:
            return False
        primary = self._view.find_primary(request.route.group, now)
        return primary is None or primary.name != database

    def _settle_connection(
        self,
        connection: Connection,
        message: StatementFinished,
        request: StatementRequest,
        now: float,
    ) -> list[Emission]:
        """Keep, roll back or close a connection after a statement."""
        if not message.is_usable:
            return [
                self._close(connection),
                *self._serve_waiting(connection.database, now),
            ]
        has_failed = message.code is not None or message.failed_step is not None
        if request.step is TransactionStep.NONE:
            return self._release(connection, now)
        if request.step is TransactionStep.COMMIT and not has_failed:
            return self._release(connection, now)
        if message.failed_step is not None and message.failed_step.is_begin:
            return self._release(connection, now)
        if has_failed or connection.is_abandoned:
            return [self._roll_back(connection)]
        return []

    def _roll_back(self, connection: Connection) -> Emission:
        connection.session_id = None
        connection.is_abandoned = False
        connection.is_rolling_back = True
        return Emission("connections", RollBack(connection.number))

    def _take_rolled_back(self, message: RolledBack, now: float) -> list[Emission]:
        connection = self._book.get(message.number)
        if connection is None:
            return []
        connection.is_rolling_back = False
        if not message.is_usable:
            self._book.close(message.number)
            return self._serve_waiting(connection.database, now)
        return self._release(connection, now)

    def _abandon(self, session_id: int) -> list[Emission]:
        connection = self._book.find_pinned(session_id)
        if connection is None:
            return []
        if connection.dispatch is not None:
            connection.is_abandoned = True
            return []
        return [self._roll_back(connection)]

    # Outcomes

    def _note_alive(self, database: str, now: float) -> list[Emission]:
        return [Emission("seen", DatabaseContact(database, True, now))]

    def _note_position(
        self, request: StatementRequest, message: StatementFinished
    ) -> list[Emission]:
        assert message.position is not None
        seen = PositionSeen(request.route.group, message.position, message.asked_at)
        self._view.merge_position(seen)
        return [Emission("seen", seen)]

    def _refuse(
        self, attempt: _Attempt, code: ErrorCode, message: str
    ) -> list[Emission]:
        self._attempts.pop(attempt.request.request_id, None)
        result = StatementResult(request=attempt.request, code=code, message=message)
        return [Emission("result", result)]

    def _finish_attempt(
        self,
        request: StatementRequest,
        database: str,
        now: float,
        *,
        code: ErrorCode | None = None,
        message: str = "",
        is_answered: bool = False,
        effect: Effect = Effect.NOT_RUN,
    ) -> list[Emission]:
        """Try another database, or give the final result."""
        attempt = self._attempts.get(request.request_id)
        if attempt is None:
            return []
        if code is ErrorCode.STALE:
            self._view.note_lag(database, now)
        attempt.tried.add(database)
        if self._may_retry(attempt, code, effect, now):
            fields = {
                "request_id": request.statement_id,
                "group": request.route.group,
                "database": database,
                "code": None if code is None else code.value,
                "effect": effect.value,
                "reason": message,
                "n_attempts": attempt.n_attempts,
                "after": "-"
                if attempt.minimum_position is None
                else str(attempt.minimum_position),
            }
            event = Emission("events", Event(EventName.STATEMENT_RETRIED, fields))
            return [event, *self._place(attempt, now)]
        del self._attempts[request.request_id]
        if code is None and effect is Effect.NOT_RUN:
            code = ErrorCode.BUSY
            message = f"{message}; retry after 0.2 s"
        result = StatementResult(
            request=request,
            database=database,
            code=code,
            message=message,
            is_answered=is_answered,
            effect=effect,
            minimum_position=attempt.minimum_position,
            evidence_age_seconds=attempt.evidence_age_seconds,
            n_attempts=attempt.n_attempts,
        )
        return [Emission("result", result)]

    def _may_retry(
        self, attempt: _Attempt, code: ErrorCode | None, effect: Effect, now: float
    ) -> bool:
        request = attempt.request
        if not request.is_read_only or attempt.n_attempts >= MAX_ATTEMPTS:
            return False
        if now >= request.deadline:
            return False
        if request.step is TransactionStep.NONE:
            return code is not ErrorCode.MALFORMED
        return request.step is TransactionStep.FIRST and effect is Effect.NOT_RUN


def _find_effect(request: StatementRequest, message: StatementFinished) -> Effect:
    """What is certain after a statement that failed."""
    if message.failed_step is not None or message.asked_at == 0:
        return Effect.NOT_RUN
    if message.is_answered and message.code in (
        ErrorCode.BUSY,
        ErrorCode.STALE,
        ErrorCode.READ_ONLY,
        ErrorCode.UNKNOWN_STATEMENT,
    ):
        return Effect.NOT_RUN
    if message.is_answered:
        return Effect.ROLLED_BACK
    ends_write = request.step in (TransactionStep.NONE, TransactionStep.COMMIT)
    if ends_write and not request.is_read_only:
        return Effect.UNKNOWN
    return Effect.ROLLED_BACK
