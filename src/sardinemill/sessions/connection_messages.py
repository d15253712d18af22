"""Frozen messages between placement and the tasks that own database connections."""

from dataclasses import dataclass, field

from ..fleet.records import DatabaseEntry
from ..positions import LogPosition
from .connections import SetupStep
from .messages import Dispatch, ErrorCode


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection for a workspace."""

    number: int
    database: DatabaseEntry
    workspace: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection; what runs on it gets no answer."""

    number: int


@dataclass(frozen=True, slots=True)
class RunStatement:
    """Run statements of our own, then a client's statement."""

    number: int
    setup: tuple[SetupStep, ...]
    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class RollBack:
    """Roll back the transaction of a connection."""

    number: int


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is ready.

    :param asked_at: when it was asked for.
    """

    number: int
    position: LogPosition | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """A connection could not be opened, or it ended while nothing ran on it.

    :param code: of the database, ``None`` when it did not answer.
    """

    number: int
    code: ErrorCode | None
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementFinished:
    """Outcome of a :class:`RunStatement`.

    :param is_answered: the database answered the last statement that was sent.
    :param is_usable: the connection may be used again.
    :param n_setup: statements of our own that succeeded.
    :param failed_step: statement of our own that failed.
    :param asked_at: when the client's statement was sent; 0 if it was not.
    :param position: of the database's log after the answer.
    """

    number: int
    is_answered: bool
    is_usable: bool
    n_setup: int
    failed_step: SetupStep | None = None
    asked_at: float = 0.0
    rows: tuple[str, ...] = field(default=(), repr=False)
    signature: str | None = None
    code: ErrorCode | None = None
    message: str = ""
    position: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class RolledBack:
    """The transaction of a connection ended, or the connection did."""

    number: int
    is_usable: bool
