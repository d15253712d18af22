"""Frozen messages of a change of primary to databases and platform, and back."""

from dataclasses import dataclass

from ..positions import ORIGIN, LogPosition
from .records import DatabaseEntry


@dataclass(frozen=True, slots=True)
class ProbeDatabase:
    """Check whether a database accepts a connection."""

    database: DatabaseEntry


@dataclass(frozen=True, slots=True)
class QueryDatabaseStatus:
    """Ask a database for its role, term and position."""

    database: DatabaseEntry


@dataclass(frozen=True, slots=True)
class DemoteDatabase:
    """Tell a database of a lower term to become a replica."""

    database: DatabaseEntry
    term: int


@dataclass(frozen=True, slots=True)
class DatabaseStatus:
    """Answer of a database, or the lack of one.

    :param is_alive: it answered; the rest means nothing otherwise.
    """

    database: str
    is_alive: bool
    is_primary: bool = False
    term: int = 0
    received: LogPosition = ORIGIN


@dataclass(frozen=True, slots=True)
class PromoteDatabase:
    """Ask the platform to promote a database.

    :param deadline: the call is given up then.
    """

    group: str
    database: str
    holder: str
    fence: int
    deadline: float


@dataclass(frozen=True, slots=True)
class PromotionResult:
    """What the platform said.

    :param is_accepted: ``None`` when there was no answer.
    """

    order: PromoteDatabase
    is_accepted: bool | None
    message: str = ""
