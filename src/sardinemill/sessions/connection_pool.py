"""Assignment of connections to queued statements, within the limits of a pool's owner.

:class:`~sardinemill.sessions.placement.Placement` and
:class:`~sardinemill.sessions.gateway.Gateway` own one pool each.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from ..fleet.records import DatabaseEntry
from ..interfaces import Emission
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
    DEFAULT_CONNECTION_QUOTA,
    MAX_IDLE_STATE_BYTES,
    OVER_QUOTA_LIMIT,
    Connection,
    PoolState,
    apply_setup,
    plan_setup,
)
from .databases import DatabaseView
from .messages import Dispatch, ErrorCode, TransactionStep

# Pause before the next attempt to connect to a database at its connection limit.
FULL_RETRY_SECONDS = 0.05
NEVER = float("-inf")


class PoolLimits:
    """Limits of a pool: a share of the connections that each database accepts.

    :param databases: view of the databases, which the owner of the pool updates.
    :param share: fraction of a database's connections that may stay open while idle.
    :param statements_per_slot: bound of the statements that run at a database at the
        same time; by default none.
    :param n_connections: bound of the connections to all databases together; by default
        none.
    :ivar max_connections: connection limit of each database, by group.
    """

    def __init__(
        self,
        databases: DatabaseView,
        share: float,
        statements_per_slot: float = math.inf,
        n_connections: float = math.inf,
    ) -> None:
        self.n_connections = n_connections
        self._databases = databases
        self._statements_per_slot = statements_per_slot
        self.share = share
        self.max_connections: Mapping[str, int] = {}

    def find_entry(self, database: str, now: float) -> DatabaseEntry | None:
        """Return the entry of a database, ``None`` if it must not be used."""
        return self._databases.find_entry(database, now)

    def list_quotas(self) -> dict[str, float]:
        """Return the connections that may stay open while idle, by database."""
        return {
            item.name: self.compute_quota(item)
            for item in self._databases.directory.databases
        }

    def compute_quota(self, entry: DatabaseEntry) -> float:
        """Return the connections to a database that may stay open while idle."""
        limit = self.max_connections.get(entry.group)
        return DEFAULT_CONNECTION_QUOTA if limit is None else limit * self.share

    def compute_concurrency(self, entry: DatabaseEntry) -> float:
        """Return how many statements may run at a database at the same time."""
        return max(1, entry.n_slots) * self._statements_per_slot


class ConnectionLossKind(StrEnum):
    """Why a connection is not available."""

    FULL = "the database is at its connection limit"
    IDLE = "the connection ended while it was idle"
    UNREACHABLE = "the database did not accept the connection"


@dataclass(frozen=True, slots=True)
class ConnectionLoss:
    """Connection that could not be opened, or was lost while idle.

    :param dispatches: statements that were certainly not sent: those that waited for
        the database, if it is unreachable, or one that was assigned to the connection
        before its end was known.
    """

    database: str
    kind: ConnectionLossKind
    dispatches: tuple[Dispatch, ...] = ()


class ConnectionPool:
    """Queues statements, gives them connections, and opens and closes connections.

    All emissions are commands for the outlet ``connections``.
    """

    def __init__(self, limits: PoolLimits) -> None:
        self._limits = limits
        self._state = PoolState()
        self._full_until: dict[str, float] = {}

    @property
    def state(self) -> PoolState:
        """Connections and queues; only the pool changes them."""
        return self._state

    def find_next_tick(self) -> float:
        """Return when :meth:`expire` or :meth:`retry_full` has something to do."""
        deadline = self._state.find_next_deadline()
        return min(
            min(self._full_until.values(), default=math.inf),
            math.inf if deadline is None else deadline,
        )

    # Assignment

    def enqueue(self, dispatch: Dispatch, now: float) -> list[Emission]:
        """Queue a statement for a connection to its database."""
        self._state.enqueue(dispatch)
        return self.assign(dispatch.database, now)

    def assign(self, database: str, now: float) -> list[Emission]:
        """Assign idle connections to queued statements and open missing ones."""
        emissions: list[Emission] = []
        connections = self._state.list_connections(database)
        opening = [item.workspace for item in connections if not item.is_open]
        n_free = self._count_free_places(database, now)
        for dispatch in self._state.list_queued(database):
            if n_free <= 0:
                break
            n_free -= 1
            request = dispatch.request
            idle_connection = self._state.find_idle(
                database, request.workspace, request.session_variables
            )
            if idle_connection is not None:
                self._state.remove_queued(dispatch)
                emissions.append(self.run(idle_connection, dispatch))
            elif request.workspace in opening:
                opening.remove(request.workspace)
            else:
                emissions += self._open(database, request.workspace, now)
        return emissions

    def _count_free_places(self, database: str, now: float) -> float:
        """Return how many queued statements may be given a connection now.

        Connections that are being opened already belong to the first ones.
        """
        entry = self._limits.find_entry(database, now)
        if entry is None:
            return math.inf
        concurrency = self._limits.compute_concurrency(entry)
        return concurrency - self._state.count_busy(database)

    def _open(self, database: str, workspace: str, now: float) -> list[Emission]:
        if now < self._full_until.get(database, NEVER):
            return []
        emissions: list[Emission] = []
        if self._state.n_connections >= self._limits.n_connections:
            idle = self._state.find_evictable()
            if idle is None:
                self._full_until[database] = now + FULL_RETRY_SECONDS
                return []
            emissions.append(self._close(idle))
        n_open = len(self._state.list_connections(database))
        entry = self._limits.find_entry(database, now)
        if entry is None:
            return emissions
        quota = max(1.0, self._limits.compute_quota(entry))
        if n_open >= quota:
            evicted = self._state.find_evictable(database, workspace)
            if evicted is not None:
                emissions.append(self._close(evicted))
            elif n_open >= max(quota, OVER_QUOTA_LIMIT):
                return []
        connection = self._state.add_connection(database, workspace, now)
        command = OpenConnection(connection.connection_id, entry, workspace)
        return [*emissions, Emission("connections", command)]

    def _close(self, connection: Connection) -> Emission:
        self._state.remove_connection(connection.connection_id)
        return Emission("connections", CloseConnection(connection.connection_id))

    def run(self, connection: Connection, dispatch: Dispatch) -> Emission:
        """Run a statement on an idle connection, or on the one that it pins."""
        setup = plan_setup(connection, dispatch)
        connection.setup = setup
        connection.dispatch = dispatch
        if dispatch.request.step is not TransactionStep.NONE:
            connection.session_id = dispatch.request.session_id
        command = RunStatement(connection.connection_id, setup, dispatch)
        return Emission("connections", command)

    def _release(self, connection: Connection, now: float) -> list[Emission]:
        connection.session_id = None
        connection.is_rollback_pending = False
        connection.last_used_at = now
        if connection.state_bytes > MAX_IDLE_STATE_BYTES:
            close = self._close(connection)
            return [close, *self.assign(connection.database, now)]
        return self.assign(connection.database, now)

    # Timers

    def expire(self, now: float) -> list[Dispatch]:
        """Remove and return the queued statements whose attempt deadline has passed."""
        overdue = self._state.list_overdue(now)
        for dispatch in overdue:
            self._state.remove_queued(dispatch)
        return overdue

    def remove_all_queued(self) -> list[Dispatch]:
        """Remove and return all queued statements."""
        return self.expire(math.inf)

    def remove_queued(self, database: str) -> list[Dispatch]:
        """Remove and return the queued statements of a database."""
        queued = self._state.list_queued(database)
        for dispatch in queued:
            self._state.remove_queued(dispatch)
        return queued

    def remove_request(self, request_ids: Iterable[int]) -> Dispatch | None:
        """Remove and return a queued statement, ``None`` if none of them is queued."""
        for request_id in request_ids:
            dispatch = self._state.find_queued(request_id)
            if dispatch is not None:
                self._state.remove_queued(dispatch)
                return dispatch
        return None

    def close_connections(self, database: str) -> list[Emission]:
        """Close the connections to a database that run no statement.

        Closing a connection rolls back its transaction.
        """
        return [
            self._close(connection)
            for connection in self._state.list_connections(database)
            if connection.dispatch is None
        ]

    def remove_due_before(self, database: str, end: float) -> list[Dispatch]:
        """Remove and return the queued statements whose attempt deadline is earlier."""
        due = [
            item
            for item in self._state.list_queued(database)
            if item.attempt_deadline < end
        ]
        for dispatch in due:
            self._state.remove_queued(dispatch)
        return due

    def retry_full(self, now: float) -> list[Emission]:
        """Connect again to databases that were at their connection limit."""
        emissions: list[Emission] = []
        for database, until in list(self._full_until.items()):
            if now >= until:
                del self._full_until[database]
                emissions += self.assign(database, now)
        return emissions

    def close_idle(self, now: float) -> list[Emission]:
        """Close the connections that exceeded their idle time-out."""
        expired = self._state.list_expired(self._limits.list_quotas(), now)
        return [self._close(connection) for connection in expired]

    # Messages of the connection tasks

    def record_opened(
        self, message: ConnectionOpened, now: float
    ) -> tuple[str | None, list[Emission]]:
        """Record an open connection and use it.

        :returns: the database, ``None`` when the connection is no longer wanted.
        """
        connection = self._state.get(message.connection_id)
        if connection is None:
            close = CloseConnection(message.connection_id)
            return None, [Emission("connections", close)]
        connection.is_open = True
        connection.last_used_at = now
        return connection.database, self.assign(connection.database, now)

    def record_loss(
        self, message: ConnectionFailed, now: float
    ) -> ConnectionLoss | None:
        """Record a failed or lost connection.

        :returns: ``None`` for a connection that is not known any more.
        """
        connection = self._state.remove_connection(message.connection_id)
        if connection is None:
            return None
        database = connection.database
        if message.code is ErrorCode.TOO_MANY_CONNECTIONS:
            # Other instances hold the remaining slots and will close idle connections.
            self._full_until[database] = now + FULL_RETRY_SECONDS
            return ConnectionLoss(database, ConnectionLossKind.FULL)
        if connection.is_open:
            # An idle connection that ends is no sign of a failed database.
            assigned = () if connection.dispatch is None else (connection.dispatch,)
            return ConnectionLoss(database, ConnectionLossKind.IDLE, assigned)
        dispatches = tuple(self._state.list_queued(database))
        for dispatch in dispatches:
            self._state.remove_queued(dispatch)
        return ConnectionLoss(database, ConnectionLossKind.UNREACHABLE, dispatches)

    def finish(
        self, message: StatementFinished, now: float
    ) -> tuple[Dispatch | None, list[Emission]]:
        """Record the outcome of a statement and settle its connection.

        :returns: the statement, ``None`` if its connection is not known any more.
        """
        connection = self._state.get(message.connection_id)
        if connection is None or connection.dispatch is None:
            return None, []
        dispatch = connection.dispatch
        connection.dispatch = None
        if message.is_usable:
            apply_setup(connection, connection.setup[: message.n_setup])
        return dispatch, self._settle(connection, message, dispatch, now)

    def _settle(
        self,
        connection: Connection,
        message: StatementFinished,
        dispatch: Dispatch,
        now: float,
    ) -> list[Emission]:
        """Release, keep, roll back or close a connection after a statement."""
        if not message.is_usable:
            close = self._close(connection)
            return [close, *self.assign(connection.database, now)]
        step = dispatch.request.step
        has_failed = message.code is not None or message.failed_step is not None
        if step is TransactionStep.NONE and not message.is_idle:
            # Another client's statement would run in the transaction.
            return [self._roll_back(connection)]
        if step is TransactionStep.NONE:
            return self._release(connection, now)
        if step is TransactionStep.COMMIT and not has_failed:
            return self._release(connection, now)
        if message.failed_step is not None and message.failed_step.is_begin:
            return self._release(connection, now)
        if has_failed or connection.is_rollback_pending:
            return [self._roll_back(connection)]
        return []

    # Transactions

    def _roll_back(self, connection: Connection) -> Emission:
        connection.session_id = None
        connection.is_rollback_pending = False
        connection.is_rolling_back = True
        return Emission("connections", RollBack(connection.connection_id))

    def record_rollback(self, message: RolledBack, now: float) -> list[Emission]:
        """Use a connection again whose transaction was rolled back."""
        connection = self._state.get(message.connection_id)
        if connection is None:
            return []
        connection.is_rolling_back = False
        if not message.is_usable:
            self._state.remove_connection(message.connection_id)
            return self.assign(connection.database, now)
        return self._release(connection, now)

    def abandon_transaction(self, session_id: int) -> list[Emission]:
        """Roll back the transaction of a session, if it has one."""
        connection = self._state.find_pinned(session_id)
        if connection is None:
            return []
        if connection.dispatch is not None:
            connection.is_rollback_pending = True
            return []
        return [self._roll_back(connection)]
