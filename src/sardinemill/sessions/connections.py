"""State of the connection pool: open connections and the statements that queue for one.

Plain state without I/O; :class:`~sardinemill.sessions.placement.Placement` owns it.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .client_limits import estimate_text_bytes
from .messages import (
    Dispatch,
    PreparedStatement,
    Statement,
    StatementKind,
    TransactionStep,
)

# Fraction of a database's connection limit that all instances together may keep open
# while idle. The rest is headroom for statements that find no idle connection.
QUOTA_FRACTION = 0.8
# Quota of an instance while the configuration states no limit for the database.
DEFAULT_CONNECTION_QUOTA = 2.0
# Under load an instance may exceed its quota up to this number of connections to one
# database; more would only queue at the database.
OVER_QUOTA_LIMIT = 8
# Idle connections are closed to free the database's connection slots for other
# instances.
IDLE_TIMEOUT_SECONDS = 8.0
# Above its quota an instance closes idle connections sooner. The time covers the pause
# between two statements of the same client.
EXCESS_IDLE_TIMEOUT_SECONDS = 0.3
# A connection whose variables and prepared statements take more is closed instead of
# being kept for other sessions.
MAX_IDLE_STATE_BYTES = 64 * 1024
# A connection with more prepared statements is reset before its next use, unless a
# transaction pins it.
MAX_PREPARED_STATEMENTS = 200


@dataclass(frozen=True, slots=True)
class SetupStep:
    """Statement that the proxy runs on a connection before a client's statement.

    :param prepared: definition that the step prepares, ``None`` for other steps.
    :param is_begin: begins the transaction; its failure leaves the connection usable.
    """

    statement: Statement
    prepared: PreparedStatement | None = None
    is_begin: bool = False


class Connection:
    """State of one connection to a database; it serves a single workspace.

    :ivar last_used_at: when it was opened or last released, on the instance's clock.
    :ivar session_variables: variables that are set on it.
    :ivar prepared: definitions that are prepared on it.
    :ivar session_id: session whose transaction pins it, ``None`` when unpinned.
    :ivar dispatch: statement in progress.
    :ivar setup: setup steps that run before the statement in progress.
    :ivar is_rollback_pending: its transaction is rolled back once the statement in
        progress ends.
    """

    def __init__(
        self, connection_id: int, database: str, workspace: str, last_used_at: float
    ) -> None:
        self.connection_id = connection_id
        self.database = database
        self.workspace = workspace
        self.last_used_at = last_used_at
        self.is_open = False
        self.session_variables: dict[str, str] = {}
        self.prepared: set[PreparedStatement] = set()
        self.session_id: int | None = None
        self.dispatch: Dispatch | None = None
        self.setup: tuple[SetupStep, ...] = ()
        self.is_rolling_back = False
        self.is_rollback_pending = False

    @property
    def state_bytes(self) -> int:
        """Upper bound of the memory of its variables and prepared statements."""
        texts = [*self.session_variables.values(), *(p.shape for p in self.prepared)]
        return estimate_text_bytes(*texts)

    @property
    def is_idle(self) -> bool:
        """Whether any session of its workspace may use the connection."""
        return (
            self.is_open
            and self.session_id is None
            and self.dispatch is None
            and not self.is_rolling_back
        )


class PoolState:
    """Connections of the instance and the queue of statements for each database."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._connections: dict[int, Connection] = {}
        self._queues: dict[str, list[Dispatch]] = {}

    def get(self, connection_id: int) -> Connection | None:
        """Return a connection, ``None`` once it is closed."""
        return self._connections.get(connection_id)

    @property
    def is_empty(self) -> bool:
        """Whether there is no connection and no queued statement."""
        return not self._connections and not any(self._queues.values())

    def find_pinned(self, session_id: int) -> Connection | None:
        """Return the connection that the transaction of a session pins, if any."""
        for item in self._connections.values():
            if item.session_id == session_id:
                return item
        return None

    def list_connections(self, database: str) -> list[Connection]:
        """Return the connections to a database, including those being opened."""
        return [
            item for item in self._connections.values() if item.database == database
        ]

    def list_running(self) -> list[Dispatch]:
        """Return the statements that connections run."""
        return [
            item.dispatch
            for item in self._connections.values()
            if item.dispatch is not None
        ]

    def count_busy(self, database: str) -> int:
        """Return the connections that occupy a slot: opening or with a statement."""
        return sum(
            item.dispatch is not None or not item.is_open
            for item in self.list_connections(database)
        )

    def count_ahead(self, database: str, priority: int) -> int:
        """Return the number of statements before a new one of a priority."""
        n_queued = sum(
            item.request.route.priority <= priority
            for item in self._queues.get(database, ())
        )
        return n_queued + self.count_busy(database)

    def count_statements(self, database: str) -> int:
        """Return the number of statements that run at or queue for a database."""
        running = sum(
            item.dispatch is not None for item in self.list_connections(database)
        )
        return running + len(self._queues.get(database, ()))

    def find_idle(
        self,
        database: str,
        workspace: str,
        session_variables: Iterable[tuple[str, str]],
    ) -> Connection | None:
        """Return the idle connection that needs the fewest setup steps, if any."""
        wanted = dict(session_variables)
        idle = [
            item
            for item in self.list_connections(database)
            if item.is_idle and item.workspace == workspace
        ]
        return min(
            idle, key=lambda item: _estimate_setup_steps(item, wanted), default=None
        )

    def add_connection(self, database: str, workspace: str, now: float) -> Connection:
        """Add a connection that is about to be opened and return it."""
        connection_id = next(self._ids)
        connection = Connection(connection_id, database, workspace, now)
        self._connections[connection_id] = connection
        return connection

    def remove_connection(self, connection_id: int) -> Connection | None:
        """Remove a connection and return it, ``None`` if it is unknown."""
        return self._connections.pop(connection_id, None)

    @property
    def n_connections(self) -> int:
        """Number of connections, including those being opened."""
        return len(self._connections)

    def find_evictable(
        self, database: str | None = None, workspace: str | None = None
    ) -> Connection | None:
        """Return the least recently used idle connection of another workspace.

        :param database: ``None`` for all databases.
        :param workspace: ``None`` for all workspaces.
        """
        idle = [
            item
            for item in self._connections.values()
            if item.is_idle
            and item.workspace != workspace
            and database in (None, item.database)
        ]
        return min(idle, key=lambda item: item.last_used_at, default=None)

    def list_expired(self, quotas: Mapping[str, float], now: float) -> list[Connection]:
        """Return the connections that exceeded their idle time-out.

        :param quotas: connections that the instance may keep open, by database.
        """
        n_open = Counter(item.database for item in self._connections.values())
        expired = []
        for item in sorted(
            self._connections.values(), key=lambda item: item.last_used_at
        ):
            is_over_quota = n_open[item.database] > quotas.get(
                item.database, DEFAULT_CONNECTION_QUOTA
            )
            timeout = (
                EXCESS_IDLE_TIMEOUT_SECONDS if is_over_quota else IDLE_TIMEOUT_SECONDS
            )
            if item.is_idle and now - item.last_used_at > timeout:
                n_open[item.database] -= 1
                expired.append(item)
        return expired

    # Queues

    def enqueue(self, dispatch: Dispatch) -> None:
        """Queue a statement for a connection, by priority and then by arrival."""
        queue = self._queues.setdefault(dispatch.database, [])
        queue.append(dispatch)
        queue.sort(
            key=lambda item: (item.request.route.priority, item.request.received_at)
        )

    def list_queued(self, database: str) -> list[Dispatch]:
        """Return the statements queued for a database, in the order of service."""
        return list(self._queues.get(database, ()))

    def find_queued(self, request_id: int) -> Dispatch | None:
        """Return a queued statement, ``None`` if it is not queued."""
        for queue in self._queues.values():
            for dispatch in queue:
                if dispatch.request.request_id == request_id:
                    return dispatch
        return None

    def remove_queued(self, dispatch: Dispatch) -> None:
        """Remove a statement from its queue."""
        queue = self._queues.get(dispatch.database, [])
        if dispatch in queue:
            queue.remove(dispatch)

    def list_overdue(self, now: float) -> list[Dispatch]:
        """Return the queued statements whose attempt deadline has passed."""
        return [
            item
            for queue in self._queues.values()
            for item in queue
            if item.attempt_deadline <= now
        ]

    def find_next_deadline(self) -> float | None:
        """Return the earliest attempt deadline of the queued statements."""
        deadlines = (
            item.attempt_deadline for queue in self._queues.values() for item in queue
        )
        return min(deadlines, default=None)


def _estimate_setup_steps(connection: Connection, wanted: dict[str, str]) -> int:
    n_unwanted = len(connection.session_variables.keys() - wanted.keys())
    n_different = sum(
        connection.session_variables.get(name) != value
        for name, value in wanted.items()
    )
    # Only a reset removes a variable, and it discards the prepared statements too.
    return n_different + (1 + len(connection.prepared) if n_unwanted else 0)


def plan_setup(connection: Connection, dispatch: Dispatch) -> tuple[SetupStep, ...]:
    """Return the setup steps that a connection needs before it can run a statement.

    A pinned connection keeps its state within the transaction: it is neither reset nor
    begun again, so that only variables and a prepared statement can be missing.
    """
    request = dispatch.request
    wanted = dict(request.session_variables)
    current = dict(connection.session_variables)
    available = set(connection.prepared)
    steps: list[SetupStep] = []
    is_unpinned = connection.session_id is None
    if is_unpinned and (
        current.keys() - wanted.keys() or len(available) > MAX_PREPARED_STATEMENTS
    ):
        steps.append(SetupStep(Statement(StatementKind.RESET)))
        current, available = {}, set()
    for name, value in wanted.items():
        if current.get(name) != value:
            steps.append(SetupStep(Statement(StatementKind.SET, name, value)))
    prepared = request.prepared
    if prepared is not None and prepared not in available:
        statement = Statement(
            StatementKind.PREPARE, "", prepared.shape, prepared.is_read_only
        )
        steps.append(SetupStep(statement, prepared))
    if is_unpinned and request.step is not TransactionStep.NONE:
        begin = Statement(StatementKind.BEGIN, is_read_only=request.is_read_only)
        steps.append(SetupStep(begin, is_begin=True))
    return tuple(steps)


def apply_setup(connection: Connection, steps: Iterable[SetupStep]) -> None:
    """Record the effect of completed setup steps on a connection."""
    for step in steps:
        kind = step.statement.kind
        if kind is StatementKind.RESET:
            connection.session_variables.clear()
            connection.prepared.clear()
        elif kind is StatementKind.SET:
            connection.session_variables[step.statement.name] = step.statement.argument
        elif step.prepared is not None:
            connection.prepared.add(step.prepared)
