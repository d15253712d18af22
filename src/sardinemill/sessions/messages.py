"""Frozen messages of the statement path."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..positions import LogPosition
from .routes import Route


class StatementKind(StrEnum):
    """What a client asks for."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    RESET = "reset"
    INVALID = "invalid"


class ErrorCode(StrEnum):
    """Why a statement failed."""

    BUSY = "busy"
    STALE = "stale"
    READ_ONLY = "read only"
    WRONG_DATABASE = "wrong database"
    TOO_MANY_CONNECTIONS = "too many connections"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown statement"
    TIMEOUT = "timeout"
    ACCESS_DENIED = "access denied"
    NO_DATABASE = "no database"
    TOO_LARGE = "too large"
    MALFORMED = "malformed"
    ABORTED = "aborted"
    IN_DOUBT = "in doubt"


class SessionState(StrEnum):
    """Transaction state of a session, as told to its client."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED_TRANSACTION = "failed transaction"


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a client.

    :param name: prepared statement or session value that it names.
    :param argument: rest of the text; the value, the shape or the parameters.
    :param is_read_only: of a transaction or of a prepared statement.
    """

    kind: StatementKind
    name: str = ""
    argument: str = field(default="", repr=False)
    is_read_only: bool = False


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """Definition of a prepared statement; equal definitions share a name upstream."""

    shape: str
    is_read_only: bool


# From the client's connection to the session.


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A client opened a session."""

    session_id: int
    database: str
    key: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """A client sent a statement.

    :param statement_id: the client's identifier, passed on unchanged.
    """

    session_id: int
    statement_id: str
    statement: Statement


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """A client ended its session, or its connection broke."""

    session_id: int


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The instance is about to stop.

    :param transactions_end_at: when open transactions are rolled back.
    """

    transactions_end_at: float


# From the session to the client's connection.


@dataclass(frozen=True, slots=True)
class SessionAccepted:
    """The session may send statements."""

    session_id: int


@dataclass(frozen=True, slots=True)
class SessionRefused:
    """The session cannot be opened; its connection is closed."""

    session_id: int
    code: ErrorCode
    message: str


@dataclass(frozen=True, slots=True)
class StatementAnswered:
    """Final answer to a statement.

    :param signature: the database's signature, ``None`` if no database ran it.
    :param code: ``None`` for success.
    """

    session_id: int
    state: SessionState
    rows: tuple[str, ...] = field(default=(), repr=False)
    signature: str | None = None
    code: ErrorCode | None = None
    message: str = ""


# Between the filters.


class TransactionStep(StrEnum):
    """Place of a statement in its transaction."""

    NONE = "none"
    FIRST = "first"
    LATER = "later"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementRequest:
    """Statement on its way to a database.

    :param request_id: unique in this process.
    :param starts_operation: counts against the workspace's rate limit.
    :param step: place in the transaction; a first statement begins it.
    :param is_read_only: neither the statement nor its transaction writes.
    :param has_begun: a database has begun the transaction; it goes on there or not at
        all.
    :param session_variables: variables that the connection must have set.
    :param prepared: definition of the prepared statement that it executes.
    :param minimum_position: position of the last own write of the session, on routes
        that promise to read own writes.
    :param received_at: seconds on the instance's clock.
    :param deadline: when the answer is final at the latest.
    """

    request_id: int
    session_id: int
    statement_id: str
    statement: Statement
    route: Route
    workspace: str
    starts_operation: bool
    step: TransactionStep
    is_read_only: bool
    session_variables: tuple[tuple[str, str], ...] = field(repr=False)
    prepared: PreparedStatement | None
    minimum_position: LogPosition
    received_at: float
    deadline: float
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class OperationStarted:
    """A transaction began; it waits for admission before its first statement."""

    request: StatementRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Statement for one database.

    :param minimum_position: log position that the database must have applied.
    :param attempt_deadline: when this attempt is given up.
    """

    request: StatementRequest
    database: str
    minimum_position: LogPosition | None
    attempt_deadline: float


class Effect(StrEnum):
    """What is known about a statement that got no answer."""

    NOT_RUN = "not run"
    ROLLED_BACK = "rolled back"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementResult:
    """What became of a dispatched statement, or of one that no filter passed on.

    :param database: that was asked, ``""`` if none was.
    :param position: of the database's log after the answer, if it told one.
    :param asked_at: when the statement was sent to the database.
    :param is_answered: the database answered; ``code`` is then its own.
    :param effect: of a statement without an answer.
    :param minimum_position: log position that the database had to have applied.
    :param evidence_age_seconds: age of what chose the database: of that position, or
        of the right to the primary.
    """

    request: StatementRequest
    database: str = ""
    rows: tuple[str, ...] = field(default=(), repr=False)
    signature: str | None = None
    code: ErrorCode | None = None
    message: str = ""
    position: LogPosition | None = None
    asked_at: float = 0.0
    is_answered: bool = False
    effect: Effect = Effect.NOT_RUN
    minimum_position: LogPosition | None = None
    evidence_age_seconds: float | None = None
    n_attempts: int = 0


@dataclass(frozen=True, slots=True)
class TransactionAbandoned:
    """A session gave up its transaction; its connection is to be rolled back."""

    session_id: int
