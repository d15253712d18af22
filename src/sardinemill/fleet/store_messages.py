"""Frozen messages between the decisions and the task that calls the store."""

from dataclasses import dataclass
from enum import StrEnum

from ..sessions.routes import Configuration
from .records import Directory, FleetRecord


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the fleet record."""


@dataclass(frozen=True, slots=True)
class ReadDirectory:
    """List the databases."""


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Read the configuration."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Replace the fleet record if it is still at the revision.

    :param revision: 0 to create it.
    """

    record: FleetRecord
    revision: int


StoreRequest = ReadRecord | ReadDirectory | ReadConfiguration | WriteRecord


class StoreFault(StrEnum):
    """Why a call gave nothing."""

    CONFLICT = "conflict"
    REJECTED = "rejected"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The record at some moment after ``asked_at``.

    :param revision: 0 when it does not exist.
    """

    record: FleetRecord
    revision: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class DirectoryRead:
    """The databases at some moment after ``asked_at``."""

    directory: Directory
    asked_at: float


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The configuration at some moment after ``asked_at``.

    :param configuration: ``None`` when there is none or it cannot be decoded.
    """

    configuration: Configuration | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The record was replaced at some moment after ``asked_at``."""

    record: FleetRecord
    revision: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class StoreRequestFailed:
    """A call gave nothing.

    :param fault: after ``NO_ANSWER`` a write may still take effect.
    """

    request: StoreRequest
    fault: StoreFault
    message: str
