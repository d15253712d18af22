"""Frozen messages of the request path, in the order in which the filters emit them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from .errors import Outcome
from .positions import ORIGIN, LogPosition, SessionPosition

if TYPE_CHECKING:
    SqlValue = None | bool | int | float | str | bytes
else:
    # msgspec decodes no union of str and bytes; MessagePack itself keeps them apart.
    SqlValue = Any


class StatementKind(StrEnum):
    """Kind of a statement as far as routing needs it."""

    READ = "read"
    WRITE = "write"


class Action(StrEnum):
    """What a caller asks for."""

    STATEMENT = "statement"
    BEGIN = "begin"
    TRANSACTION_STATEMENT = "transaction statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class RefusalCode(StrEnum):
    """Reason of a refusal; callers and operators see these texts."""

    BAD_REQUEST = "bad request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    CONFIGURATION_TOO_OLD = "configuration too old"
    RATE_LIMITED = "rate limited"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline exceeded"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    NO_HOME = "no home instance"
    NO_PRIMARY = "no primary"
    NO_MAJORITY = "no majority"
    TOO_STALE = "too stale"
    UPSTREAM = "upstream failed"
    STATEMENT = "statement failed"
    KEY_REUSED = "idempotency key reused"
    UNKNOWN_TRANSACTION = "unknown transaction"
    BAD_TOKEN = "bad token"
    TOO_LARGE = "too large"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Request as a front end decoded it.

    :param key: the caller's key in clear; no later message carries it.
    :param staleness_seconds: accepted staleness of a read; 0 means none.
    :param session: last write of the session, from a verified token.
    :param deadline: seconds on this instance's monotonic clock.
    """

    request_id: str
    action: Action
    key: str | None = field(repr=False)
    sql: str = field(default="", repr=False)
    parameters: tuple[SqlValue, ...] = field(default=(), repr=False)
    declared_kind: StatementKind | None = None
    declared_idempotent: bool = False
    idempotency_key: str | None = field(default=None, repr=False)
    staleness_seconds: float = 0.0
    session: SessionPosition | None = None
    transaction_id: str | None = None
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class AuthenticatedRequest:
    """Request whose key belongs to ``workspace``.

    :param key_id: public identifier of the key, for checks after queueing.
    :param group: database group of the workspace.
    """

    caller: CallerRequest
    workspace: str
    key_id: str
    group: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """SQL whose kind is certain."""

    sql: str = field(repr=False)
    parameters: tuple[SqlValue, ...] = field(repr=False)
    kind: StatementKind
    idempotent: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Classified request; the form in which it travels from entry to home.

    :param statement: ``None`` for begin, commit and rollback.
    :param minimum_position: last write of the session in ``group``.
    :param deadline: seconds on the monotonic clock of the instance that holds it.
    """

    request_id: str
    action: Action
    workspace: str
    key_id: str
    group: str
    statement: Statement | None
    idempotency_key: str | None = field(default=None, repr=False)
    staleness_seconds: float = 0.0
    minimum_position: LogPosition = ORIGIN
    transaction_id: str | None = None
    deadline: float

    @property
    def is_read(self) -> bool:
        """Whether the request is a read outside a transaction."""
        return (
            self.action is Action.STATEMENT
            and self.statement is not None
            and self.statement.kind is StatementKind.READ
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancellation:
    """The caller has gone; the request must not start any more."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """Request with the database that shall run it.

    :param minimum_position: lowest log position that the database must have applied.
    :param is_replica: whether the database was a replica when it was chosen.
    :param n_attempts: databases tried before this one.
    :param tried: names of the databases tried before this one.
    :param expected_term: term of the primary for writes and begin, 0 otherwise.
    """

    request: Request
    database: str
    minimum_position: LogPosition
    is_replica: bool
    n_attempts: int = 0
    tried: tuple[str, ...] = ()
    expected_term: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamCall:
    """Work for one upstream connection.

    :param workspace: schema in which the statement runs.
    :param minimum_position: the upstream answers *not run* below it.
    :param expected_term: term of the primary for writes, 0 for reads.
    :param idempotency_key: recorded in the transaction of the write.
    :param body_hash: hash of SQL and parameters, compared on reuse of the key.
    """

    call_id: str
    action: Action
    workspace: str
    statement: Statement | None
    minimum_position: LogPosition = ORIGIN
    expected_term: int = 0
    idempotency_key: str | None = field(default=None, repr=False)
    body_hash: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Work that a connection may start at once.

    :param call: what to run upstream.
    """

    routed: RoutedRequest
    call: UpstreamCall


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResult:
    """Answer of an upstream to a call.

    :param position: last log position of the database when it answered; for a commit
        the position of the write.
    :param is_primary: role of the database when it answered.
    :param is_repeat: whether the answer was stored by an earlier run under the same
        idempotency key.
    :param transaction_id: set by begin.
    """

    call_id: str
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[SqlValue, ...], ...] = field(default=(), repr=False)
    n_changed: int = 0
    position: LogPosition = ORIGIN
    is_primary: bool = False
    is_repeat: bool = False
    transaction_id: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """Outcome of a routed request on its upstream.

    :param result: ``None`` when ``failure`` is set.
    :param failure: refusal to send, or to answer with another attempt.
    :param service_seconds: time on the connection, for cost estimates.
    """

    routed: RoutedRequest
    result: UpstreamResult | None
    failure: "Refusal | None"
    service_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Whole answer to one request.

    :param served_by: database that ran it.
    :param from_replica: whether that database was a replica.
    :param session: write that the session must see from now on, if it changed.
    :param transaction_id: set by begin.
    """

    request_id: str
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[SqlValue, ...], ...] = field(default=(), repr=False)
    n_changed: int = 0
    served_by: str = ""
    from_replica: bool = False
    session: SessionPosition | None = None
    transaction_id: str | None = None
    is_repeat: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Request that got no answer.

    :param outcome: *not run* only when that is certain.
    :param retry_after_seconds: when a retry makes sense, or ``None``.
    :param session: position of a write whose outcome is unknown.
    """

    request_id: str
    code: RefusalCode
    outcome: Outcome
    step: str
    peer: str = ""
    message: str = ""
    retry_after_seconds: float | None = None
    session: SessionPosition | None = None


Reply = Answer | Refusal
