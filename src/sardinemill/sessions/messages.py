"""Frozen messages of the statement path.

Times are seconds on the instance's monotonic clock.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from ..positions import LogPosition
from .routes import Route
from .text_digests import NO_DIGEST, TextDigest


class StatementKind(StrEnum):
    """Kind of a statement.

    ``RESET`` is sent only by the proxy itself. ``INVALID`` is text that is none of the
    others.
    """

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
    """Why a statement failed.

    ``STALE``: the database has not applied the minimum position. ``WRONG_DATABASE``:
    another database answers at the address. ``IN_DOUBT``: the outcome of a write is not
    known.
    """

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
    """Transaction state of a session, as reported to its client."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED_TRANSACTION = "failed transaction"


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a client.

    :param name: prepared statement or session variable that it names, empty for the
        others.
    :param argument: rest of the text, exactly as the client sent it: what to read or
        to write, the value to set, the query shape to prepare, or the parameters of a
        prepared statement. Nothing takes it apart, since blanks count in it. It may
        hold surrogates for bytes that are not UTF-8.
    :param is_read_only: whether the read, the transaction to begin or the statement to
        prepare writes nothing.
    """

    kind: StatementKind
    name: str = ""
    argument: str = field(default="", repr=False)
    is_read_only: bool = False


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """Definition of a prepared statement; equal ones share a name at the database.

    :param shape: query shape, the text without its parameters, as the client sent it.
    """

    shape: str
    is_read_only: bool


# From the client's connection to the session manager.


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A client asks to open a session.

    :param database: name that the client connects to.
    :param key: API key, empty without one.
    """

    session_id: int
    database: str
    key: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """A client sent a statement.

    :param statement_id: the client's identifier, passed on unchanged.
    :param digest: of the text as it was received.
    """

    session_id: int
    statement_id: str
    statement: Statement
    digest: TextDigest = NO_DIGEST


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """A client closed its session, or its connection was lost."""

    session_id: int


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The instance drains before it stops.

    :param transactions_end_at: when open transactions are rolled back.
    :param requests_end_at: latest deadline of the requests that arrive from now on.
    :param answers_end_at: when requests that are still unanswered get an error as
        their answer.
    """

    transactions_end_at: float
    requests_end_at: float = math.inf
    answers_end_at: float = math.inf


@dataclass(frozen=True, slots=True)
class SessionsEnding:
    """The draining instance closes its sessions and opens no new ones."""


# From the session manager to the client's connection.


@dataclass(frozen=True, slots=True)
class SessionAccepted:
    """The session is open."""

    session_id: int


@dataclass(frozen=True, slots=True)
class SessionRefused:
    """The session was not opened; its connection is to be closed."""

    session_id: int
    code: ErrorCode
    message: str


@dataclass(frozen=True, slots=True)
class StatementAnswered:
    """Final answer to a statement.

    :param state: transaction state after the statement.
    :param signature: the database's signature of the answer, ``None`` if no database
        ran the statement.
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
    """Place of a statement in its transaction, ``NONE`` outside one.

    ``FIRST`` is the first one that is sent to a database, which begins the transaction
    with it.
    """

    NONE = "none"
    FIRST = "first"
    LATER = "later"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementRequest:
    """Statement on its way to a database.

    :param request_id: unique in this process.
    :param statement_id: the client's identifier, passed on unchanged.
    :param starts_operation: counts against the workspace's rate limit. An operation is
        a transaction or a statement outside one.
    :param step: place in the transaction; a first statement begins it.
    :param is_read_only: neither the statement nor its transaction writes.
    :param has_begun: a database has begun the transaction, which can only continue on
        the same connection.
    :param session_variables: variables that the connection must have set.
    :param prepared: definition of the prepared statement that it executes.
    :param minimum_position: position of the last own write of the session, on routes
        that promise to read own writes.
    :param deadline: latest time of the final answer.
    :param text_checksum: of the text as it was received, empty if not known.
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
    text_checksum: str = ""


@dataclass(frozen=True, slots=True)
class RequestRevoked:
    """The key of a request in progress has ended; what has not run must not run.

    Follows the request through the same filters, so that it never overtakes it.

    :param code: of the answer if the request has not run.
    """

    request: StatementRequest
    code: ErrorCode
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Attempt to run a statement at one database.

    :param minimum_position: log position that the database must have applied, ``None``
        on the primary and within a transaction that has begun.
    :param attempt_deadline: when this attempt times out.
    """

    request: StatementRequest
    database: str
    minimum_position: LogPosition | None
    attempt_deadline: float


class Effect(StrEnum):
    """What is certain about the effect of a statement that did not succeed."""

    NOT_RUN = "not run"
    ROLLED_BACK = "rolled back"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementResult:
    """Outcome of a statement, also of one that a filter refused.

    :param database: of the last attempt, ``""`` if a filter refused the statement.
    :param position: of the database's log after the answer, if it reported one.
    :param asked_at: when the statement was sent to the database.
    :param is_answered: the database answered, a write before the end of the primary
        lease; a ``code`` is then the database's.
    :param effect: of a statement that did not succeed.
    :param minimum_position: log position that the database had to have applied, if any.
    :param evidence_age_seconds: age of the evidence that chose the database: of the
        known position for a replica, of the primary lease for the primary; ``None`` if
        no database was chosen for it.
    :param n_attempts: number of databases that were chosen for the statement; 0 if a
        filter refused it or its transaction already had a connection.
    :param gateway: instance that the last attempt was forwarded to, ``""`` if none.
    :param sent_checksum: of the text that the last attempt sent to the database, empty
        if not known.
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
    gateway: str = ""
    sent_checksum: str = ""


@dataclass(frozen=True, slots=True)
class TransactionAbandoned:
    """A session gave up its transaction, which is to be rolled back."""

    session_id: int
