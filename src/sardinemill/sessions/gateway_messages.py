"""Frozen messages between an instance and the gateway of a database."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..fleet.messages import Introduction
from ..positions import LogPosition
from .messages import (
    Effect,
    ErrorCode,
    PreparedStatement,
    Statement,
    StatementRequest,
)

# Between instances.


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayGreeting:
    """The sender will forward statements; opens the link before the first of them.

    :param introduction: of the sender.
    """

    introduction: Introduction


@dataclass(frozen=True, slots=True)
class GatewayWelcome:
    """Answer to a :class:`GatewayGreeting`; opens the link for the outcomes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayStatement:
    """Statement outside a transaction, to run at one of the gateway's databases.

    :param number: repeated in the outcome.
    :param introduction: of the sender, to which the outcome is sent.
    :param statement_id: the client's identifier, passed on unchanged.
    :param session_variables: variables that the connection must have set.
    :param minimum_position: log position that the database must have applied.
    :param timeout_seconds: time left when the statement was sent. The gateway counts it
        from the arrival.
    """

    number: int
    introduction: Introduction
    database: str
    group: str
    workspace: str
    statement_id: str
    statement: Statement
    is_read_only: bool
    priority: int
    timeout_seconds: float
    minimum_position: LogPosition | None = None
    prepared: PreparedStatement | None = None
    session_variables: tuple[tuple[str, str], ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayOutcome:
    """Outcome of a :class:`GatewayStatement`.

    :param is_answered: the database answered.
    :param effect: of a statement that did not succeed.
    :param position: of the database's log after the answer, if it reported one.
    :param is_unreachable: the gateway could not reach the database, or is about to
        stop; other instances perhaps can.
    :param sent_checksum: of the text that the database got, empty if not known.
    """

    number: int
    is_answered: bool
    effect: Effect
    code: ErrorCode | None = None
    message: str = ""
    signature: str | None = None
    rows: tuple[str, ...] = field(default=(), repr=False)
    position: LogPosition | None = None
    is_unreachable: bool = False
    sent_checksum: str = ""


@dataclass(frozen=True, slots=True)
class GatewayWithdrawal:
    """A forwarded statement must not run if the gateway has not sent it yet.

    The outcome of the statement follows as usual.

    :param number: of the :class:`GatewayStatement`.
    """

    number: int


def is_forwardable(request: StatementRequest) -> bool:
    """Return whether another instance gets the texts of a statement unchanged.

    A gateway of the version before drops an empty last field with the blank before it.
    """
    last_fields = [request.statement.argument]
    last_fields += [value for _, value in request.session_variables]
    if request.prepared is not None:
        last_fields.append(request.prepared.shape)
    names = [name for name, _ in request.session_variables]
    return all(last_fields) and are_encodable((*last_fields, *names))


def are_encodable(texts: Iterable[str]) -> bool:
    """Return whether texts hold no surrogates, which messages cannot carry."""
    try:
        for text in texts:
            if not text.isascii():
                text.encode()
    except UnicodeEncodeError:
        return False
    return True


# Inside the gateway.


@dataclass(frozen=True, slots=True)
class PeerIntroduced:
    """Another instance has stated its address; messages for it can be sent there."""

    introduction: Introduction


@dataclass(frozen=True, slots=True)
class ForwardedStatementsInProgress:
    """Number of forwarded statements that a draining gateway has not answered."""

    n_statements: int
