"""Frozen messages between the owners of pools and the tasks that own connections."""

from dataclasses import dataclass, field

from ..fleet.records import DatabaseEntry
from ..positions import LogPosition
from .connections import SetupStep
from .messages import Dispatch, Effect, ErrorCode, StatementRequest, TransactionStep


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Asks for a connection that acts for a workspace.

    :param connection_id: chosen by the owner of the pool; later messages repeat it.
    """

    connection_id: int
    database: DatabaseEntry
    workspace: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Asks to close a connection; a statement in progress gets no answer."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class RunStatement:
    """Asks to run setup steps and then a client's statement."""

    connection_id: int
    setup: tuple[SetupStep, ...]
    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class RollBack:
    """Asks to roll back the transaction of a connection."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is open and idle.

    :param position: of the database's log, if the database reported it.
    :param asked_at: when it was requested, on the instance's clock.
    """

    connection_id: int
    position: LogPosition | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """A connection could not be opened, or it was lost while idle.

    :param code: the database's error, ``None`` when it did not answer.
    """

    connection_id: int
    code: ErrorCode | None
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementFinished:
    """Outcome of a :class:`RunStatement`.

    :param is_answered: the database answered the last statement that was sent.
    :param is_usable: the connection may be used again.
    :param is_idle: the database reported no open transaction on it.
    :param n_setup: number of setup steps that succeeded.
    :param failed_step: setup step that failed or got no answer, if any.
    :param asked_at: when the client's statement was sent, on the instance's clock; 0
        if it was not sent.
    :param signature: the database's signature of the answer.
    :param code: the database's error, ``None`` for success or without an answer.
    :param position: of the database's log after the answer, if reported.
    :param sent_checksum: of the client's statement as it was sent, without a minimum
        position; empty if it was not sent.
    """

    connection_id: int
    is_answered: bool
    is_usable: bool
    is_idle: bool = True
    n_setup: int
    failed_step: SetupStep | None = None
    asked_at: float = 0.0
    rows: tuple[str, ...] = field(default=(), repr=False)
    signature: str | None = None
    code: ErrorCode | None = None
    message: str = ""
    position: LogPosition | None = None
    sent_checksum: str = ""


@dataclass(frozen=True, slots=True)
class RolledBack:
    """Outcome of a :class:`RollBack`.

    :param is_usable: the transaction is rolled back and the connection is idle; if
        not, the connection is lost.
    """

    connection_id: int
    is_usable: bool


def classify_effect(request: StatementRequest, message: StatementFinished) -> Effect:
    """Return what is certain about the effect of a failed statement."""
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
