"""SQL of one workspace: an in-memory SQLite database without outside access."""

import sqlite3
from dataclasses import dataclass
from enum import Enum

import msgspec

from ..errors import StatementError
from ..messages import SqlValue

IDEMPOTENCY_TABLE = "sardinemill_idempotency"

_SCHEMA = (
    f"CREATE TABLE {IDEMPOTENCY_TABLE} (key TEXT PRIMARY KEY, body_hash TEXT, "
    "answer BLOB, created REAL)",
    f"CREATE INDEX {IDEMPOTENCY_TABLE}_created ON {IDEMPOTENCY_TABLE} (created)",
)
# A statement runs on the event loop of the stand-in, so an endless one must be aborted:
# the handler is called after each interval and ends the statement at the maximum.
_PROGRESS_INTERVAL_INSTRUCTIONS = 1_000_000
_MAX_PROGRESS_CALLS = 50


class Access(Enum):
    """Access rights of a statement.

    ``INTERNAL`` statements come from the stand-in itself or from its log, and are not
    checked.
    """

    READ = "read"
    WRITE = "write"
    INTERNAL = "internal"


_READ_ACTIONS = frozenset(
    (
        sqlite3.SQLITE_SELECT,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_RECURSIVE,
    )
)
# Other databases, connection settings, transaction control (which has its own calls)
# and temporary objects (which replicas would not have).
_DENIED_ACTIONS = frozenset(
    (
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_CREATE_TEMP_INDEX,
        sqlite3.SQLITE_CREATE_TEMP_TABLE,
        sqlite3.SQLITE_CREATE_TEMP_TRIGGER,
        sqlite3.SQLITE_CREATE_TEMP_VIEW,
    )
)
# Statements are replicated, so they must be deterministic; load_extension would run
# native code from outside the database.
_DENIED_FUNCTIONS = frozenset(
    (
        "random",
        "randomblob",
        "current_date",
        "current_time",
        "current_timestamp",
        "load_extension",
    )
)
_ERRORS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


@dataclass(frozen=True, slots=True, kw_only=True)
class LoggedStatement:
    """Statement in the form that the log replicates."""

    sql: str
    parameters: tuple[SqlValue, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ResultSet:
    """Rows and counts of one statement."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[SqlValue, ...], ...] = ()
    n_changed: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class IdempotencyRecord:
    """Stored answer of an idempotency key.

    :param body_hash: hash of the request that was answered.
    """

    body_hash: str
    result: ResultSet


class WorkspaceData:
    """Tables of one workspace."""

    def __init__(self) -> None:
        self._access = Access.INTERNAL
        self._n_progress_calls = 0
        # No statement cache, so that the authorizer checks each execution.
        self._connection = sqlite3.connect(
            ":memory:", isolation_level=None, cached_statements=0
        )
        for sql in _SCHEMA:
            self._connection.execute(sql)
        self._connection.set_authorizer(self._authorize)
        self._connection.set_progress_handler(
            self._check_progress, _PROGRESS_INTERVAL_INSTRUCTIONS
        )

    def copy(self) -> "WorkspaceData":
        """Return an independent copy, for a transaction."""
        other = WorkspaceData()
        self._access = other._access = Access.INTERNAL
        self._connection.backup(other._connection)
        return other

    def close(self) -> None:
        """Free the memory."""
        self._connection.close()

    def run(self, statement: LoggedStatement, access: Access) -> ResultSet:
        """Run one statement atomically.

        :raises StatementError: when SQLite rejects it or ``access`` forbids it.
        """
        self._connection.execute("SAVEPOINT statement")
        cursor = self._connection.cursor()
        self._n_progress_calls = 0
        self._access = access
        try:
            cursor.execute(statement.sql, statement.parameters)
            rows = tuple(cursor.fetchall())
        except _ERRORS as error:
            cursor.close()
            self._roll_back_statement()
            raise StatementError(str(error), step="run") from error
        finally:
            self._access = Access.INTERNAL
        self._connection.execute("RELEASE statement")
        return ResultSet(
            columns=tuple(column[0] for column in cursor.description or ()),
            rows=rows,
            n_changed=max(cursor.rowcount, 0),
        )

    def apply(self, statements: tuple[LoggedStatement, ...]) -> None:
        """Run the statements of a log entry.

        :raises StatementError: when one fails, which means that the replica diverged.
        """
        for statement in statements:
            self.run(statement, Access.INTERNAL)

    def find_idempotency_record(self, key: str) -> IdempotencyRecord | None:
        """Return the stored answer of an idempotency key, if any."""
        query = LoggedStatement(
            sql=f"SELECT body_hash, answer FROM {IDEMPOTENCY_TABLE} WHERE key = ?",
            parameters=(key,),
        )
        rows = self.run(query, Access.INTERNAL).rows
        if not rows:
            return None
        body_hash, answer = rows[0]
        assert isinstance(answer, bytes)
        return IdempotencyRecord(
            body_hash=str(body_hash),
            result=msgspec.msgpack.decode(answer, type=ResultSet),
        )

    def _roll_back_statement(self) -> None:
        """Roll back a failed statement.

        One that fails while it returns rows may already have changed some.
        """
        self._access = Access.INTERNAL
        self._n_progress_calls = 0
        # A failed "INSERT OR ROLLBACK" has already removed the savepoint.
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK TO statement")
            self._connection.execute("RELEASE statement")

    def _check_progress(self) -> int:
        self._n_progress_calls += 1
        return int(self._n_progress_calls > _MAX_PROGRESS_CALLS)

    def _authorize(self, action: int, *arguments: str | None) -> int:
        if self._access is Access.INTERNAL:
            return sqlite3.SQLITE_OK
        names = {argument.lower() for argument in arguments[:2] if argument}
        is_allowed = (
            action not in _DENIED_ACTIONS
            and (action in _READ_ACTIONS or self._access is Access.WRITE)
            and not (action == sqlite3.SQLITE_FUNCTION and names & _DENIED_FUNCTIONS)
            and IDEMPOTENCY_TABLE not in names
        )
        return sqlite3.SQLITE_OK if is_allowed else sqlite3.SQLITE_DENY


def make_idempotency_statements(
    key: str, body_hash: str, result: ResultSet, now: float, retention_seconds: float
) -> tuple[LoggedStatement, ...]:
    """Make the statements that store an answer and delete expired ones.

    :param body_hash: hash of the request, to detect another one with the same key.
    :param now: seconds, on one clock for the whole group.
    """
    return (
        LoggedStatement(
            sql=f"DELETE FROM {IDEMPOTENCY_TABLE} WHERE created < ?",
            parameters=(now - retention_seconds,),
        ),
        LoggedStatement(
            sql=f"INSERT INTO {IDEMPOTENCY_TABLE} VALUES (?, ?, ?, ?)",
            parameters=(key, body_hash, msgspec.msgpack.encode(result), now),
        ),
    )
