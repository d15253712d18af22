"""Frozen messages of a failover to databases and platform, and their results."""

from dataclasses import dataclass

from ..positions import ORIGIN, LogPosition
from .records import DatabaseEntry


@dataclass(frozen=True, slots=True)
class ProbeDatabase:
    """Check whether a database accepts a connection."""

    database: DatabaseEntry


@dataclass(frozen=True, slots=True)
class QueryDatabaseStatus:
    """Query a database for its role, term and log position."""

    database: DatabaseEntry


@dataclass(frozen=True, slots=True)
class DemoteDatabase:
    """Tell a database to become a replica if its term is lower.

    :param term: log term of the new primary.
    """

    database: DatabaseEntry
    term: int


@dataclass(frozen=True, slots=True)
class DatabaseStatus:
    """Answer of a database to a status query, or the lack of one.

    :param is_alive: it answered; the other fields are meaningless otherwise.
    :param term: that it reports.
    :param received: log position up to which it has received entries.
    """

    database: str
    is_alive: bool
    is_primary: bool = False
    term: int = 0
    received: LogPosition = ORIGIN

    @property
    def newest_term(self) -> int:
        """Newest term whose primary it was or has received entries from."""
        return max(self.term, self.received.term)


@dataclass(frozen=True, slots=True)
class PromoteDatabase:
    """Ask the platform to promote a database.

    :param holder: name of the instance that carries out the failover.
    :param fence: fencing token of the holder.
    :param deadline: on the local clock; the call is cancelled then.
    """

    group: str
    database: str
    holder: str
    fence: int
    deadline: float


@dataclass(frozen=True, slots=True)
class PromotionResult:
    """Result of a promotion request.

    :param is_accepted: ``None`` when the outcome is unknown.
    :param message: reason of a failure, for the log.
    """

    command: PromoteDatabase
    is_accepted: bool | None
    message: str = ""
