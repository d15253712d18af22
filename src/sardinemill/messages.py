"""Messages of the request path, in the order in which the filters emit them.

The entry instance of a request accepts it from the caller. It forwards the request to a
home instance of the database group, which holds the connections to the databases.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from .errors import Outcome
from .positions import ORIGIN, LogPosition, SessionPosition

if TYPE_CHECKING:
    SqlValue = None | bool | int | float | str | bytes
else:
    # msgspec cannot decode a union of str and bytes; MessagePack distinguishes them.
    SqlValue = Any


class StatementKind(StrEnum):
    """Kind of a statement, for routing."""

    READ = "read"
    WRITE = "write"


class Action(StrEnum):
    """Operation that a caller requests."""

    STATEMENT = "statement"
    BEGIN = "begin"
    TRANSACTION_STATEMENT = "transaction statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class RefusalCode(StrEnum):
    """Reason of a refusal; the values are shown to callers and operators."""

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
    """Request decoded by a front end.

    :param key: API key in plain text; no later message contains it.
    :param declared_kind: kind that the caller declares; ``WRITE`` overrides the kind
        found in the SQL, ``READ`` does not.
    :param declared_idempotent: whether the caller allows a write to run twice.
    :param staleness_seconds: maximum staleness of a read; 0 requires the latest data.
    :param session: position of the session's last write, from a verified token.
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
    """Request of an authenticated caller.

    :param workspace: workspace that the key belongs to.
    :param key_id: public identifier of the key, to check it again after queueing.
    :param group: database group of the workspace.
    """

    caller: CallerRequest
    workspace: str
    key_id: str
    group: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """SQL statement whose kind is known.

    :param idempotent: whether it may run twice, so that a failed attempt can be retried
        at another home instance.
    """

    sql: str = field(repr=False)
    parameters: tuple[SqlValue, ...] = field(repr=False)
    kind: StatementKind
    idempotent: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Classified request, as forwarded from the entry instance to a home instance.

    :param statement: ``None`` for begin, commit and rollback.
    :param minimum_position: position of the session's last write in ``group``.
    :param deadline: seconds on the monotonic clock of the instance that handles it.
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
    """The caller has disconnected; the request must not be started any more."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """Request with the database that it is routed to.

    :param minimum_position: lowest log position that the database must have applied.
    :param is_replica: whether the database was a replica when it was chosen.
    :param n_attempts: number of databases tried before this one.
    :param tried: names of the databases tried before this one.
    :param expected_term: term of the primary for writes and begin, 0 for other reads;
        the scheduling sets that of the begin for the later requests of a transaction.
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
    """Call to run on an upstream connection.

    :param workspace: schema in which the statement runs.
    :param minimum_position: lowest log position at which the upstream runs the call;
        below it the answer is *not run*.
    :param expected_term: term of the primary for writes and transactions; 0 for reads
        outside a transaction.
    :param idempotency_key: stored by the database in the transaction of the write.
    :param body_hash: hash of SQL and parameters; must match when the key is reused.
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
    """Request that is dispatched to a connection.

    :param call: call to run on the upstream.
    """

    routed: RoutedRequest
    call: UpstreamCall


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResult:
    """Result of a call on an upstream.

    :param position: last log position of the database at the time of the answer; for a
        commit, the position of the write.
    :param is_primary: whether the database was the primary when it answered.
    :param is_repeat: whether the answer is the stored one of an earlier run with the
        same idempotency key.
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
    :param failure: refusal to return, unless the request is retried.
    :param service_seconds: time on the connection, for cost estimates.
    """

    routed: RoutedRequest
    result: UpstreamResult | None
    failure: "Refusal | None"
    service_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Answer to a request.

    :param served_by: database that ran it.
    :param from_replica: whether that database was a replica.
    :param session: position that later reads of the session must see, if it changed.
    :param transaction_id: set by begin and by a commit.
    :param is_repeat: as in :class:`UpstreamResult`.
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
    """Refusal of a request.

    :param outcome: *not run* only if that is certain.
    :param step: filter or operation that refused the request.
    :param peer: instance, database or group involved, or ``""``.
    :param retry_after_seconds: time after which a retry may succeed, or ``None``.
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
