"""Connections of this instance to databases: which are open, for whom, in what state.

Plain state without I/O; :class:`~sardinemill.sessions.placement.Placement` owns it.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .messages import (
    Dispatch,
    PreparedStatement,
    Statement,
    StatementKind,
    TransactionStep,
)

# Part of a database's connections that all instances together keep open between
# statements. The rest is room for statements that find no idle connection.
KEPT_FRACTION = 0.8
# Connections that each instance may keep while the database's limit is not known.
DEFAULT_N_KEPT = 2.0
# Open connections to one database at most; more only wait at the database.
HARD_LIMIT = 8
# Idle connections are closed so that other instances find room at the database.
IDLE_SECONDS = 8.0
# Above the number that it may keep, an instance closes connections sooner. The time is
# that of a pause between two statements of the same client.
SURPLUS_IDLE_SECONDS = 0.3
# A connection that carries more prepared statements is reset.
MAX_PREPARED = 200


@dataclass(frozen=True, slots=True)
class SetupStep:
    """Statement of our own before a client's statement.

    :param prepared: definition, for a prepared statement.
    :param is_begin: begins the transaction; its failure leaves the connection usable.
    """

    statement: Statement
    prepared: PreparedStatement | None = None
    is_begin: bool = False


class Connection:
    """One connection, for one workspace.

    :ivar session_variables: variables that are set on it.
    :ivar session_id: session whose transaction it carries.
    :ivar dispatch: statement in progress.
    :ivar setup: statements of our own that run before it.
    :ivar is_abandoned: its transaction is to be rolled back.
    """

    def __init__(
        self, number: int, database: str, workspace: str, used_at: float
    ) -> None:
        self.number = number
        self.database = database
        self.workspace = workspace
        self.used_at = used_at
        self.is_open = False
        self.session_variables: dict[str, str] = {}
        self.prepared: set[PreparedStatement] = set()
        self.session_id: int | None = None
        self.dispatch: Dispatch | None = None
        self.setup: tuple[SetupStep, ...] = ()
        self.is_rolling_back = False
        self.is_abandoned = False

    @property
    def is_idle(self) -> bool:
        """Free for any session of its workspace."""
        return (
            self.is_open
            and self.session_id is None
            and self.dispatch is None
            and not self.is_rolling_back
        )


class ConnectionBook:
    """All connections of the instance, and what waits for one."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._connections: dict[int, Connection] = {}
        self._waiting: dict[str, list[Dispatch]] = {}

    def get(self, number: int) -> Connection | None:
        """Connection of a number, ``None`` once it is closed."""
        return self._connections.get(number)

    def find_pinned(self, session_id: int) -> Connection | None:
        """Connection that carries the transaction of a session."""
        for item in self._connections.values():
            if item.session_id == session_id:
                return item
        return None

    def list_database(self, database: str) -> list[Connection]:
        """Connections to a database, also those that are being opened."""
        return [
            item for item in self._connections.values() if item.database == database
        ]

    def count_busy(self, database: str) -> int:
        """Statements of this instance that are at a database or wait for it."""
        running = sum(
            item.dispatch is not None for item in self.list_database(database)
        )
        return running + len(self._waiting.get(database, ()))

    def find_idle(
        self,
        database: str,
        workspace: str,
        session_variables: Iterable[tuple[str, str]],
    ) -> Connection | None:
        """Idle connection that needs the fewest statements of our own."""
        wanted = dict(session_variables)
        idle = [
            item
            for item in self.list_database(database)
            if item.is_idle and item.workspace == workspace
        ]
        return min(idle, key=lambda item: _count_changes(item, wanted), default=None)

    def open(self, database: str, workspace: str, now: float) -> Connection:
        """Note a connection that is about to be opened."""
        number = next(self._numbers)
        connection = Connection(number, database, workspace, now)
        self._connections[number] = connection
        return connection

    def close(self, number: int) -> Connection | None:
        """Forget a connection."""
        return self._connections.pop(number, None)

    def find_surplus(self, database: str, workspace: str) -> Connection | None:
        """Idle connection of another workspace, the one used longest ago."""
        idle = [
            item
            for item in self.list_database(database)
            if item.is_idle and item.workspace != workspace
        ]
        return min(idle, key=lambda item: item.used_at, default=None)

    def list_expired(self, n_kept: Mapping[str, float], now: float) -> list[Connection]:
        """Connections that were idle for too long.

        :param n_kept: connections that the instance may keep, by database.
        """
        n_open = Counter(item.database for item in self._connections.values())
        expired = []
        for item in sorted(self._connections.values(), key=lambda item: item.used_at):
            is_surplus = n_open[item.database] > n_kept.get(
                item.database, DEFAULT_N_KEPT
            )
            limit = SURPLUS_IDLE_SECONDS if is_surplus else IDLE_SECONDS
            if item.is_idle and now - item.used_at > limit:
                n_open[item.database] -= 1
                expired.append(item)
        return expired

    # Statements that wait

    def wait(self, dispatch: Dispatch) -> None:
        """Queue a statement for a connection; urgent ones first."""
        queue = self._waiting.setdefault(dispatch.database, [])
        queue.append(dispatch)
        queue.sort(
            key=lambda item: (item.request.route.priority, item.request.received_at)
        )

    def list_waiting(self, database: str) -> list[Dispatch]:
        """Statements that wait for a database, first to be served first."""
        return list(self._waiting.get(database, ()))

    def remove_waiting(self, dispatch: Dispatch) -> None:
        """Take a statement out of the queue."""
        queue = self._waiting.get(dispatch.database, [])
        if dispatch in queue:
            queue.remove(dispatch)

    def list_overdue(self, now: float) -> list[Dispatch]:
        """Statements that waited past the end of their attempt."""
        return [
            item
            for queue in self._waiting.values()
            for item in queue
            if item.attempt_deadline <= now
        ]

    def find_next_deadline(self) -> float | None:
        """Earliest end of an attempt that waits."""
        deadlines = (
            item.attempt_deadline for queue in self._waiting.values() for item in queue
        )
        return min(deadlines, default=None)


def _count_changes(connection: Connection, wanted: dict[str, str]) -> int:
    n_foreign = len(connection.session_variables.keys() - wanted.keys())
    n_different = sum(
        connection.session_variables.get(name) != value
        for name, value in wanted.items()
    )
    return n_different + (1 + len(connection.prepared) if n_foreign else 0)


def plan_setup(connection: Connection, dispatch: Dispatch) -> tuple[SetupStep, ...]:
    """Find what a connection needs before it can run a statement.

    Inside a transaction that it carries already, only a prepared statement or a value
    can be missing.
    """
    request = dispatch.request
    wanted = dict(request.session_variables)
    has = dict(connection.session_variables)
    known = set(connection.prepared)
    steps: list[SetupStep] = []
    is_free = connection.session_id is None
    if is_free and (has.keys() - wanted.keys() or len(known) > MAX_PREPARED):
        steps.append(SetupStep(Statement(StatementKind.RESET)))
        has, known = {}, set()
    for name, value in wanted.items():
        if has.get(name) != value:
            steps.append(SetupStep(Statement(StatementKind.SET, name, value)))
    prepared = request.prepared
    if prepared is not None and prepared not in known:
        statement = Statement(
            StatementKind.PREPARE, "", prepared.shape, prepared.is_read_only
        )
        steps.append(SetupStep(statement, prepared))
    if is_free and request.step is not TransactionStep.NONE:
        begin = Statement(StatementKind.BEGIN, is_read_only=request.is_read_only)
        steps.append(SetupStep(begin, is_begin=True))
    return tuple(steps)


def apply_setup(connection: Connection, steps: Iterable[SetupStep]) -> None:
    """Note what the statements of our own have changed."""
    for step in steps:
        kind = step.statement.kind
        if kind is StatementKind.RESET:
            connection.session_variables.clear()
            connection.prepared.clear()
        elif kind is StatementKind.SET:
            connection.session_variables[step.statement.name] = step.statement.argument
        elif step.prepared is not None:
            connection.prepared.add(step.prepared)
