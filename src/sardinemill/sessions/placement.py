"""Filter that assigns a database and a connection to each statement."""

import math
from collections.abc import Sequence

from ..control import PeerEnvelope
from ..events import Event, EventName
from ..fleet.gateway_table import GatewaysChanged
from ..fleet.records import DatabaseEntry
from ..fleet.views import (
    DatabaseContact,
    DirectoryChanged,
    Identity,
    PositionSeen,
    ReachableCoordinatorsChanged,
    RecordConfirmed,
)
from ..interfaces import Emission
from ..positions import LogPosition
from .connection_messages import (
    ConnectionFailed,
    ConnectionOpened,
    RolledBack,
    StatementFinished,
    classify_effect,
)
from .connection_pool import ConnectionLossKind, ConnectionPool, PoolLimits
from .connections import QUOTA_FRACTION, Connection
from .database_choice import DatabaseChoice
from .database_usage import DEFAULT_GRACE_PERIODS, GracePeriods, Usage
from .databases import DatabaseView
from .gateway_client import ForwardedStatement, GatewayClient
from .gateway_messages import GatewayOutcome, is_forwardable
from .messages import (
    Dispatch,
    Effect,
    ErrorCode,
    RequestRevoked,
    StatementRequest,
    StatementResult,
    TransactionAbandoned,
    TransactionStep,
)
from .routes import RoutesChanged
from .text_comparison import compare_texts

# Attempts for one statement, the first included.
MAX_ATTEMPTS = 3
# A read without an answer is retried at another database after this fraction of its
# time-out, which leaves the second attempt as much time.
ATTEMPT_TIMEOUT_FRACTION = 0.4
MAINTENANCE_INTERVAL_SECONDS = 0.1

# Cost of opening a connection, in the unit of the costs in
# :mod:`~sardinemill.sessions.databases`.
NEW_CONNECTION_COST = 0.35


class _PendingStatement:
    """Statement without a final result, over all its attempts.

    :ivar tried: databases that failed it.
    :ivar is_on_primary: the current attempt runs on the primary.
    :ivar minimum_position: log position that the database must have applied, ``None``
        on the primary.
    :ivar evidence_age_seconds: age of the evidence that chose the database.
    :ivar gateway: instance that the current attempt was forwarded to, ``""`` if none.
    :ivar revoked: the key has ended; the statement gets no further attempt.
    """

    def __init__(self, request: StatementRequest) -> None:
        self.request = request
        self.gateway = ""
        self.revoked: RequestRevoked | None = None
        self.tried: set[str] = set()
        self.n_attempts = 0
        self.is_on_primary = False
        self.minimum_position: LogPosition | None = None
        self.evidence_age_seconds: float | None = None


class Placement:
    """Places statements by the consistency of their route and the connection limits.

    The primary is used only while this instance holds the primary lease. Reads that may
    be stale go to any database that has applied their minimum position, or else to the
    primary.

    A statement outside a transaction goes through the gateway of its database, if there
    is one, unless this instance has an idle connection for it.

    Outlets: ``connections`` (commands of
    :mod:`~sardinemill.sessions.connection_messages`), ``result``
    (:class:`StatementResult`), ``peers`` (messages to gateways), ``seen``
    (:class:`PositionSeen`, :class:`DatabaseContact`), ``events``.

    :param data_centre: of this instance.
    :param instance: name of this instance.
    :param identity: of this instance, for gateways; without one it uses none.
    :param grace_periods: for work at databases that are about to get none.
    :param n_connections: bound of the connections to all databases together.
    """

    def __init__(
        self,
        data_centre: str,
        instance: str = "",
        identity: Identity | None = None,
        grace_periods: GracePeriods = DEFAULT_GRACE_PERIODS,
        n_connections: float = math.inf,
    ) -> None:
        self._databases = DatabaseView(data_centre, instance, grace_periods)
        self._limits = PoolLimits(
            self._databases, QUOTA_FRACTION, n_connections=n_connections
        )
        self._pool = ConnectionPool(self._limits)
        self._gateways = GatewayClient(identity)
        self._choice = DatabaseChoice(self._databases)
        self._pending: dict[int, _PendingStatement] = {}
        self._next_maintenance_at = 0.0
        self._has_primary_lease = False

    @property
    def next_tick(self) -> float | None:
        return min(
            self._next_maintenance_at,
            self._pool.find_next_tick(),
            self._gateways.find_next_deadline(),
        )

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, StatementRequest):
            return self._handle_request(message, now)
        if isinstance(message, RequestRevoked):
            return self._revoke(message)
        if isinstance(message, StatementFinished):
            return self._handle_finished(message, now)
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, GatewayOutcome):
                return self._handle_outcome(message.peer, message.message, now)
            return ()
        if isinstance(message, ConnectionOpened):
            return self._handle_opened(message, now)
        if isinstance(message, ConnectionFailed):
            return self._handle_connection_failed(message, now)
        if isinstance(message, RolledBack):
            return self._pool.record_rollback(message, now)
        if isinstance(message, TransactionAbandoned):
            return self._pool.abandon_transaction(message.session_id)
        if isinstance(message, RecordConfirmed):
            self._databases.confirm_record(message)
            return self._emit_lease_change(now)
        if isinstance(message, PositionSeen):
            self._databases.merge_position(message)
        elif isinstance(message, DirectoryChanged):
            self._databases.update_directory(message.directory, now)
            return self._withdraw_queued(now)
        elif isinstance(message, RoutesChanged):
            self._limits.max_connections = message.table.max_connections
        elif isinstance(message, ReachableCoordinatorsChanged):
            self._limits.share = QUOTA_FRACTION / max(1, message.n_instances)
        elif isinstance(message, GatewaysChanged):
            greetings = self._gateways.update(message.table)
            return [Emission("peers", greeting) for greeting in greetings]
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for dispatch in self._pool.expire(now):
            emissions += self._finish_attempt(
                dispatch.request,
                dispatch.database,
                now,
                message="no connection was free",
            )
        for forward in self._gateways.expire(now):
            emissions += self._handle_silent_gateway(forward, now)
        emissions += self._pool.retry_full(now)
        if now >= self._next_maintenance_at:
            self._next_maintenance_at = now + MAINTENANCE_INTERVAL_SECONDS
            emissions += self._pool.close_idle(now)
            emissions += self._withdraw_queued(now)
            emissions += self._emit_lease_change(now)
        return emissions

    def _withdraw_queued(self, now: float) -> list[Emission]:
        """Place statements elsewhere that wait for databases without new work.

        Load pattern: a database leaves, or its data centre is evacuated, while
        statements wait for its connections.
        """
        emissions: list[Emission] = []
        for entry in self._databases.list_ending():
            if self._databases.may_run_queued(entry, now):
                continue
            decision = self._databases.decide_usage(entry, now)
            for dispatch in self._pool.remove_queued(entry.name):
                emissions += self._finish_attempt(
                    dispatch.request,
                    entry.name,
                    now,
                    message=decision.reason or "it has left",
                    is_database_usable=True,
                )
            if decision.usage is Usage.NOTHING:
                emissions += self._pool.close_connections(entry.name)
        return emissions

    def _emit_lease_change(self, now: float) -> list[Emission]:
        has_primary_lease = self._databases.has_primary_lease(now)
        if has_primary_lease == self._has_primary_lease:
            return []
        self._has_primary_lease = has_primary_lease
        name = EventName.RIGHT_REGAINED if has_primary_lease else EventName.RIGHT_LOST
        age = round(self._databases.find_lease_evidence_age(now), 3)
        return [Emission("events", Event(name, {"evidence_age_seconds": age}))]

    # Choice of a database

    def _handle_request(self, request: StatementRequest, now: float) -> list[Emission]:
        pending = _PendingStatement(request)
        self._pending[request.request_id] = pending
        pinned = self._pool.state.find_pinned(request.session_id)
        if pinned is not None:
            return self._continue_transaction(pending, pinned, now)
        if request.has_begun or request.step is TransactionStep.LATER:
            return self._refuse(pending, ErrorCode.ABORTED, "the connection was lost")
        return self._choose_database(pending, now)

    def _revoke(self, revoked: RequestRevoked) -> list[Emission]:
        """Refuse a statement that waits; one that runs already is not repeated."""
        request = revoked.request
        pending = self._pending.get(request.request_id)
        if pending is None:
            return []
        pending.revoked = revoked
        if self._pool.remove_request([request.request_id]) is not None:
            return self._refuse(pending, revoked.code, revoked.message)
        withdrawal = self._gateways.withdraw(request)
        return [] if withdrawal is None else [Emission("peers", withdrawal)]

    def _continue_transaction(
        self, pending: _PendingStatement, pinned: Connection, now: float
    ) -> list[Emission]:
        request = pending.request
        entry = self._databases.find_entry(pinned.database, now)
        decision = None if entry is None else self._databases.decide_usage(entry, now)
        if decision is not None and decision.usage is Usage.NOTHING:
            refusal = self._refuse(pending, ErrorCode.ABORTED, decision.reason)
            return [*self._pool.close_connections(pinned.database), *refusal]
        primary = self._databases.find_leased_primary(request.route.group, now)
        pending.is_on_primary = primary is not None and primary.name == pinned.database
        is_commit = request.step is TransactionStep.COMMIT
        if is_commit and not request.is_read_only and not pending.is_on_primary:
            return self._refuse(
                pending, ErrorCode.ABORTED, "the primary may have been replaced"
            )
        dispatch = Dispatch(
            request=request,
            database=pinned.database,
            minimum_position=None,
            attempt_deadline=request.deadline,
        )
        return [self._pool.run(pinned, dispatch)]

    def _choose_database(
        self, pending: _PendingStatement, now: float
    ) -> list[Emission]:
        request = pending.request
        chosen, emissions = self._choice.choose(
            request,
            pending.tried,
            lambda entry: self._estimate_load(entry, request.workspace, now),
            now,
        )
        if chosen is None:
            primary = self._databases.describe_primary(request.route.group, now)
            age = self._databases.find_lease_evidence_age(now)
            return emissions + self._refuse(
                pending,
                ErrorCode.BUSY,
                f"no database to use: {primary}, lease evidence {age:.2f} s"
                f" old, {len(pending.tried)} tried; retry after 0.5 s",
            )
        pending.is_on_primary = chosen.is_primary
        pending.minimum_position = chosen.minimum_position
        pending.evidence_age_seconds = chosen.evidence_age_seconds
        pending.n_attempts += 1
        return emissions + self._enqueue(pending, chosen.entry, now)

    def _estimate_load(self, entry: DatabaseEntry, workspace: str, now: float) -> float:
        """Return the expected wait at a database, in units of one waiting statement."""
        n_statements = self._pool.state.count_statements(entry.name)
        n_statements += self._gateways.count(entry.name)
        load = n_statements / max(1, entry.n_slots)
        has_connection = (
            self._gateways.find(entry.name, now) is not None
            or self._pool.state.find_idle(entry.name, workspace, ()) is not None
        )
        return load if has_connection else load + NEW_CONNECTION_COST

    def _enqueue(
        self, pending: _PendingStatement, entry: DatabaseEntry, now: float
    ) -> list[Emission]:
        request = pending.request
        deadline = request.deadline
        may_retry = request.is_read_only and request.step is TransactionStep.NONE
        if may_retry and pending.n_attempts < MAX_ATTEMPTS:
            attempt_end = now + request.route.timeout_seconds * ATTEMPT_TIMEOUT_FRACTION
            deadline = min(deadline, attempt_end)
        dispatch = Dispatch(
            request=request,
            database=entry.name,
            minimum_position=pending.minimum_position,
            attempt_deadline=deadline,
        )
        pending.gateway = self._find_gateway(request, entry.name, now) or ""
        if pending.gateway:
            message = self._gateways.start(dispatch, pending.gateway, now)
            envelope = PeerEnvelope(peer=pending.gateway, message=message)
            return [Emission("peers", envelope)]
        return self._pool.enqueue(dispatch, now)

    def _find_gateway(
        self, request: StatementRequest, database: str, now: float
    ) -> str | None:
        """Return the instance to forward a statement to, ``None`` to run it here."""
        if request.step is not TransactionStep.NONE:
            return None
        if self._pool.state.find_idle(database, request.workspace, ()) is not None:
            return None
        gateway = self._gateways.find(database, now)
        return gateway if gateway is not None and is_forwardable(request) else None

    # Messages of the connection tasks

    def _handle_opened(self, message: ConnectionOpened, now: float) -> list[Emission]:
        database, emissions = self._pool.record_opened(message, now)
        if database is None:
            return emissions
        self._databases.record_success(database)
        return [*self._emit_contact(database, now), *emissions]

    def _handle_connection_failed(
        self, message: ConnectionFailed, now: float
    ) -> list[Emission]:
        loss = self._pool.record_loss(message, now)
        if loss is None:
            return []
        if loss.kind is ConnectionLossKind.FULL:
            return self._emit_contact(loss.database, now)
        emissions: list[Emission] = []
        is_idle = loss.kind is ConnectionLossKind.IDLE
        if is_idle:
            emissions += self._pool.assign(loss.database, now)
        else:
            self._databases.record_failure(loss.database, now)
            if message.code is None:
                contact = DatabaseContact(loss.database, False, now)
                emissions.append(Emission("seen", contact))
        for dispatch in loss.dispatches:
            emissions += self._finish_attempt(
                dispatch.request,
                loss.database,
                now,
                code=message.code,
                message=message.message,
                is_database_usable=is_idle,
            )
        return emissions

    def _handle_finished(
        self, message: StatementFinished, now: float
    ) -> list[Emission]:
        dispatch, emissions = self._pool.finish(message, now)
        if dispatch is None:
            return emissions
        request, database = dispatch.request, dispatch.database
        if message.is_answered:
            emissions += self._emit_contact(database, now)
        else:
            self._databases.record_failure(database, now)
            contact = DatabaseContact(database, False, now)
            emissions.append(Emission("seen", contact))
        pending = self._pending.get(request.request_id)
        if pending is None:
            return emissions
        self._choice.record_finished(request, database, message, now)
        effect = classify_effect(request, message)
        return emissions + self._conclude_attempt(
            pending, database, message, effect, now
        )

    def _conclude_attempt(
        self,
        pending: _PendingStatement,
        database: str,
        message: StatementFinished,
        effect: Effect,
        now: float,
        is_database_usable: bool = False,
    ) -> list[Emission]:
        """Emit the result of a statement that succeeded, or end its attempt."""
        request = pending.request
        emissions: list[Emission] = []
        has_run = message.asked_at > 0 and message.failed_step is None
        if pending.is_on_primary and has_run and message.position is not None:
            emissions += self._emit_position(request, message)
        if not (message.is_answered and message.code is None and has_run):
            return emissions + self._finish_attempt(
                request,
                database,
                now,
                code=message.code,
                message=message.message,
                is_answered=message.is_answered,
                effect=effect,
                is_database_usable=is_database_usable,
                sent_checksum=message.sent_checksum,
            )
        if self._is_late_write(request, database, now):
            return emissions + self._finish_attempt(
                request,
                database,
                now,
                message="the primary may have been replaced meanwhile",
                effect=Effect.UNKNOWN,
                sent_checksum=message.sent_checksum,
            )
        result = StatementResult(
            request=request,
            database=database,
            rows=message.rows,
            signature=message.signature,
            position=message.position,
            asked_at=message.asked_at,
            is_answered=True,
            minimum_position=pending.minimum_position,
            evidence_age_seconds=pending.evidence_age_seconds,
            n_attempts=pending.n_attempts,
            gateway=pending.gateway,
            sent_checksum=message.sent_checksum,
        )
        return [*emissions, self._emit_result(pending, result)]

    # Statements that pass through a gateway

    def _handle_outcome(
        self, gateway: str, outcome: GatewayOutcome, now: float
    ) -> list[Emission]:
        forward = self._gateways.finish(gateway, outcome.number)
        if forward is None:
            return []
        request, database = forward.dispatch.request, forward.dispatch.database
        pending = self._pending.get(request.request_id)
        emissions: list[Emission] = []
        has_run = outcome.is_answered or outcome.effect is not Effect.NOT_RUN
        if outcome.is_answered:
            emissions += self._emit_contact(database, now)
        if outcome.is_unreachable:
            self._gateways.record_unreachable(gateway, database, now)
        if pending is None:
            return emissions
        # The statement was sent to the database later, so the send time of the message
        # errs towards older.
        finished = StatementFinished(
            connection_id=0,
            is_answered=outcome.is_answered,
            is_usable=True,
            n_setup=0,
            asked_at=forward.sent_at if has_run else 0.0,
            rows=outcome.rows,
            signature=outcome.signature,
            code=outcome.code,
            message=outcome.message,
            position=outcome.position,
            sent_checksum=outcome.sent_checksum,
        )
        return emissions + self._conclude_attempt(
            pending,
            database,
            finished,
            outcome.effect,
            now,
            is_database_usable=outcome.is_unreachable,
        )

    def _handle_silent_gateway(
        self, forward: ForwardedStatement, now: float
    ) -> list[Emission]:
        """End an attempt whose gateway gave no outcome; it may have run."""
        request = forward.dispatch.request
        is_write = not request.is_read_only
        return self._finish_attempt(
            request,
            forward.dispatch.database,
            now,
            message=f"the gateway {forward.gateway} did not answer",
            effect=Effect.UNKNOWN if is_write else Effect.ROLLED_BACK,
            is_database_usable=True,
        )

    def _is_late_write(
        self, request: StatementRequest, database: str, now: float
    ) -> bool:
        """Return whether the primary can no longer be used when a write is answered.

        Either the primary lease has ended, or a failover has begun or completed.
        """
        is_final = request.step in (TransactionStep.NONE, TransactionStep.COMMIT)
        if request.is_read_only or not is_final:
            return False
        primary = self._databases.find_leased_primary(request.route.group, now)
        return primary is None or primary.name != database

    # Results

    def _emit_contact(self, database: str, now: float) -> list[Emission]:
        return [Emission("seen", DatabaseContact(database, True, now))]

    def _emit_position(
        self, request: StatementRequest, message: StatementFinished
    ) -> list[Emission]:
        assert message.position is not None
        seen = PositionSeen(request.route.group, message.position, message.asked_at)
        self._databases.merge_position(seen)
        return [Emission("seen", seen)]

    def _refuse(
        self, pending: _PendingStatement, code: ErrorCode, message: str
    ) -> list[Emission]:
        result = StatementResult(request=pending.request, code=code, message=message)
        return [self._emit_result(pending, result)]

    def _emit_result(
        self, pending: _PendingStatement, result: StatementResult
    ) -> Emission:
        """Emit the final result of a statement, which is then no longer pending."""
        self._pending.pop(pending.request.request_id, None)
        return Emission("result", result)

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
        is_database_usable: bool = False,
        sent_checksum: str = "",
    ) -> list[Emission]:
        """Retry the statement at another database, or emit its final result.

        :param is_database_usable: not the database failed, but a gateway or an idle
            connection; it may be tried again.
        """
        pending = self._pending.get(request.request_id)
        if pending is None:
            return []
        if code is ErrorCode.STALE:
            self._databases.record_lag(database, now)
        if pending.revoked is not None and effect is Effect.NOT_RUN:
            return self._refuse(pending, pending.revoked.code, pending.revoked.message)
        if not is_database_usable:
            pending.tried.add(database)
        may_repeat = is_database_usable and _may_repeat(pending, effect, now)
        if may_repeat or self._may_retry(pending, code, effect, now):
            fields = {
                "request_id": request.statement_id,
                "group": request.route.group,
                "database": database,
                "gateway": pending.gateway,
                "code": None if code is None else code.value,
                "effect": effect.value,
                "reason": message,
                "n_attempts": pending.n_attempts,
                "after": "-"
                if pending.minimum_position is None
                else str(pending.minimum_position),
                "is_text_unchanged": compare_texts(request, sent_checksum),
            }
            event = Emission("events", Event(EventName.STATEMENT_RETRIED, fields))
            return [event, *self._choose_database(pending, now)]
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
            minimum_position=pending.minimum_position,
            evidence_age_seconds=pending.evidence_age_seconds,
            n_attempts=pending.n_attempts,
            gateway=pending.gateway,
            sent_checksum=sent_checksum,
        )
        return [self._emit_result(pending, result)]

    def _may_retry(
        self,
        pending: _PendingStatement,
        code: ErrorCode | None,
        effect: Effect,
        now: float,
    ) -> bool:
        request = pending.request
        if pending.revoked is not None:
            return False
        if not request.is_read_only or pending.n_attempts >= MAX_ATTEMPTS:
            return False
        if now >= request.deadline:
            return False
        if request.step is TransactionStep.NONE:
            return code is not ErrorCode.MALFORMED
        return request.step is TransactionStep.FIRST and effect is Effect.NOT_RUN


def _may_repeat(pending: _PendingStatement, effect: Effect, now: float) -> bool:
    """Return whether a statement, even a write, may use another connection."""
    request = pending.request
    return (
        effect is Effect.NOT_RUN
        and request.step in (TransactionStep.NONE, TransactionStep.FIRST)
        and pending.n_attempts <= MAX_ATTEMPTS
        and now < request.deadline
    )
