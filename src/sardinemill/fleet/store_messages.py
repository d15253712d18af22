"""Frozen messages to and from the task that calls the store.

Each outcome carries the era of the store that its answers named, 0 if they named none.
The era rises by one whenever the store comes back from an older copy.
"""

from dataclasses import dataclass
from enum import StrEnum

from ..sessions.routes import Configuration
from .records import Directory, FleetRecord


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the fleet record.

    :param may_be_stale: the answer may be seconds old, which costs the store less.
    """

    may_be_stale: bool = False


@dataclass(frozen=True, slots=True)
class ReadDirectory:
    """List the databases."""


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Read the configuration."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Replace the fleet record if it is still at a revision.

    :param revision: expected one, 0 to create the record.
    """

    record: FleetRecord
    revision: int


StoreRequest = ReadRecord | ReadDirectory | ReadConfiguration | WriteRecord


class StoreFault(StrEnum):
    """Why a request failed.

    ``CONFLICT``: the record is no longer at the expected revision. ``REJECTED``: the
    store answered that it did nothing. ``NO_ANSWER``: the outcome is not known.
    """

    CONFLICT = "conflict"
    REJECTED = "rejected"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The record as it was at some moment after ``asked_at``.

    :param revision: 0 when the record does not exist.
    :param asked_at: when the request was sent, on the local clock.
    :param may_be_stale: the record may have been replaced before ``asked_at``.
    """

    record: FleetRecord
    revision: int
    asked_at: float
    may_be_stale: bool = False
    era: int = 0


@dataclass(frozen=True, slots=True)
class DirectoryRead:
    """The registered databases as they were at some moment after ``asked_at``."""

    directory: Directory
    asked_at: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The configuration as it was at some moment after ``asked_at``.

    :param configuration: ``None`` when there is none or it cannot be decoded.
    """

    configuration: Configuration | None
    asked_at: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The record was replaced at some moment after ``asked_at``."""

    record: FleetRecord
    revision: int
    asked_at: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class StoreRequestFailed:
    """A request to the store failed.

    :param fault: after ``NO_ANSWER`` a write may still take effect.
    :param message: reason, for the log.
    :param asked_at: when the request was sent, on the local clock.
    """

    request: StoreRequest
    fault: StoreFault
    message: str
    asked_at: float = float("-inf")
    era: int = 0


StoreOutcome = (
    RecordRead | DirectoryRead | ConfigurationRead | RecordWritten | StoreRequestFailed
)
