"""Frozen messages inside an instance about its view of the fleet."""

from dataclasses import dataclass

from ..groups import Address
from ..positions import LogPosition
from .records import Directory, FleetRecord, GroupRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identity of this instance.

    :param address: endpoint for messages of other instances.
    :param incarnation: differs between processes with the same name.
    :param gateway_capacity: relative processor capacity, 0 to be no gateway.
    """

    name: str
    data_centre: str
    address: Address
    incarnation: str
    gateway_capacity: int = 0


@dataclass(frozen=True, slots=True)
class RecordConfirmed:
    """The record was the current one at a point in time.

    :param revision: of the record in the store.
    :param confirmed_at: on the local clock; no later write existed then.
    """

    record: FleetRecord
    revision: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """The list of databases has changed."""

    directory: Directory


@dataclass(frozen=True, slots=True)
class PositionSeen:
    """A primary in use was at a log position.

    :param seen_at: on the local clock; the position includes every commit that was
        acknowledged before.
    """

    group: str
    position: LogPosition
    seen_at: float


@dataclass(frozen=True, slots=True)
class DatabaseContact:
    """Outcome of the last use of a database.

    :param is_alive: it answered.
    :param at: time of the use, on the local clock.
    """

    database: str
    is_alive: bool
    at: float


@dataclass(frozen=True, slots=True)
class GroupProposal:
    """Proposes to replace the record of one group.

    :param expected: the current record of the group; the proposal is dropped if it has
        changed. ``None`` to add the group.
    :param acquires_fencing_token: the proposer becomes the holder, with a higher
        fencing token if another process held it.
    """

    group: GroupRecord
    expected: GroupRecord | None
    acquires_fencing_token: bool = False


@dataclass(frozen=True, slots=True)
class CoordinatorRoleChanged:
    """Whether this instance is a coordinator and may fail over primaries.

    :param rank: place among the coordinators, ``None`` if it is not one of them.
    :param is_established: it may fail over primaries.
    """

    rank: int | None
    is_established: bool


@dataclass(frozen=True, slots=True)
class FailoversInProgress:
    """Number of failovers that this instance carries out."""

    n_failovers: int


@dataclass(frozen=True, slots=True)
class ReachableCoordinatorsChanged:
    """Coordinators that answered recently, and the size of the fleet.

    :param names: in the order of the record.
    :param n_instances: number of running instances.
    """

    names: tuple[str, ...]
    n_instances: int


@dataclass(frozen=True, slots=True)
class IsolationChanged:
    """Whether a partition has cost this instance its leases on primaries.

    Other instances may still hold theirs, so new sessions should go to them.
    """

    is_isolated: bool


@dataclass(frozen=True, slots=True)
class InitialSyncCompleted:
    """The instance has learned everything that it needs to serve."""


def merge_positions(known: PositionSeen | None, seen: PositionSeen) -> PositionSeen:
    """Merge two observed positions of a primary into the highest of both.

    A log that contains the higher position contains every commit that was acknowledged
    before either time, so the later time holds for it.
    """
    if known is None:
        return seen
    return PositionSeen(
        seen.group,
        max(seen.position, known.position),
        max(seen.seen_at, known.seen_at),
    )
