"""Frozen messages inside an instance about its view of the fleet."""

from dataclasses import dataclass

from ..groups import Address
from ..positions import LogPosition
from .records import Directory, FleetRecord, GroupRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """This instance, as others know it."""

    name: str
    data_centre: str
    address: Address
    incarnation: str


@dataclass(frozen=True, slots=True)
class RecordConfirmed:
    """The record was in force at a point in time.

    :param confirmed_at: on the local clock; no later write existed then.
    """

    record: FleetRecord
    revision: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """The list of databases differs from the one before."""

    directory: Directory


@dataclass(frozen=True, slots=True)
class PositionSeen:
    """A primary in use was at a position.

    :param seen_at: on the local clock; every commit acknowledged before is included.
    """

    group: str
    position: LogPosition
    seen_at: float


@dataclass(frozen=True, slots=True)
class DatabaseContact:
    """Outcome of the last use of a database.

    :param is_alive: it answered.
    """

    database: str
    is_alive: bool
    at: float


@dataclass(frozen=True, slots=True)
class GroupProposal:
    """Asks for a change of one group in the record.

    :param expected: the group's record that it replaces, ``None`` to add it.
    :param acquires_fencing_token: the proposer becomes the holder, with a new fence if
        another instance was it.
    """

    group: GroupRecord
    expected: GroupRecord | None
    acquires_fencing_token: bool = False


@dataclass(frozen=True, slots=True)
class CoordinatorRoleChanged:
    """Whether this instance is a coordinator and may change primaries.

    :param rank: place among the coordinators, ``None`` if it is none.
    """

    rank: int | None
    is_established: bool


@dataclass(frozen=True, slots=True)
class FailoversInProgress:
    """Number of changes of primaries that this instance carries out."""

    n_failovers: int


@dataclass(frozen=True, slots=True)
class ReachableCoordinatorsChanged:
    """Coordinators that answered recently, in the order of the record."""

    names: tuple[str, ...]
    n_instances: int


@dataclass(frozen=True, slots=True)
class IsolationChanged:
    """Whether this instance has lost its right to primaries because it is cut off.

    Other instances may be better off, so new sessions should go to them.
    """

    is_isolated: bool


@dataclass(frozen=True, slots=True)
class InitialSyncCompleted:
    """The instance knows all that it needs to serve."""


def merge_positions(known: PositionSeen | None, seen: PositionSeen) -> PositionSeen:
    """Combine what is known of a primary's position.

    A log that holds the higher position holds all that was acknowledged before either
    time.
    """
    if known is None:
        return seen
    return PositionSeen(
        seen.group,
        max(seen.position, known.position),
        max(seen.seen_at, known.seen_at),
    )
