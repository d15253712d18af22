"""Documents in the platform's store that instances agree on."""

from dataclasses import dataclass
from enum import StrEnum

from ..groups import Address
from .store_versions import StoreVersion


class GroupPhase(StrEnum):
    """Phase of a group; its primary may be used only while it is steady."""

    STEADY = "steady"
    CHANGING = "changing"


@dataclass(frozen=True, slots=True, kw_only=True)
class Coordinator:
    """Instance that answers the others and may fail over primaries.

    :param incarnation: identifies the process; a restarted one has to join again, since
        it does not know which writes of its predecessor are still in flight.
    :param is_established: every instance that relies on confirmations of the
        coordinators knows of this one, so it may fail over primaries.
    """

    name: str
    data_centre: str
    host: str
    port: int
    incarnation: str
    is_established: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupRecord:
    """Primary of one group of databases.

    :param primary: identifier of the database, ``""`` if unknown. If the group is
        being changed then, any of its databases may be the primary.
    :param primary_born_ms: start of the primary's process, Unix time in milliseconds.
    :param term: log term of this primary, 0 while no instance has learned it.
    :param attempt: number of takeovers of the unfinished failover.
    """

    group: str
    primary: str
    primary_born_ms: int = 0
    term: int = 0
    phase: GroupPhase = GroupPhase.STEADY
    attempt: int = 0


# Process of the holder in a record that was restored without its word. No process has
# this incarnation.
WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetRecord:
    """The single object in the store that defines the primary of each group.

    :param coordinators: in the order of their ranks.
    :param holder: instance that started or took over a failover last.
    :param holder_incarnation: process of the holder, ``WITHDRAWN`` if it acts no more.
    :param fence: fencing token of the holder; increases with each change of holder.
    :param era: of the store when the record was written, 0 if it named none.
    :param restored: versions of older eras that the record goes on from, one an era.
    """

    coordinators: tuple[Coordinator, ...] = ()
    groups: tuple[GroupRecord, ...] = ()
    holder: str = ""
    holder_incarnation: str = ""
    fence: int = 0
    era: int = 0
    restored: tuple[StoreVersion, ...] = ()

    def find_group(self, group: str) -> GroupRecord | None:
        """Return the record of a group, ``None`` if it has none yet."""
        for item in self.groups:
            if item.group == group:
                return item
        return None

    def find_coordinator(self, name: str) -> Coordinator | None:
        """Return the entry of an instance, ``None`` if it is not a coordinator."""
        for item in self.coordinators:
            if item.name == name:
                return item
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseEntry:
    """One database as its own entry in the store describes it.

    :param n_slots: capacity relative to other databases; loads are divided by it.
    :param born_ms: start of the process, Unix time in milliseconds; another value
        under the same name means that the database lost its data.
    :param is_leaving: it is draining and must get no new work.
    :param is_primary: in its own view, which may be out of date.
    """

    name: str
    group: str
    data_centre: str
    host: str
    port: int
    n_slots: int = 1
    born_ms: int = 0
    is_leaving: bool = False
    is_primary: bool = False

    @property
    def address(self) -> Address:
        """TCP endpoint."""
        return Address(self.host, self.port)


@dataclass(frozen=True, slots=True, kw_only=True)
class Directory:
    """Databases that are registered in the store, and requests of operators for them.

    :param evacuated_data_centres: names of the data centres whose databases must get
        nothing more, in order.
    """

    databases: tuple[DatabaseEntry, ...] = ()
    evacuated_data_centres: tuple[str, ...] = ()

    def is_evacuated(self, entry: DatabaseEntry) -> bool:
        """Return whether operators evacuate the data centre of a database."""
        return entry.data_centre in self.evacuated_data_centres

    def find(self, name: str) -> DatabaseEntry | None:
        """Return the entry of a database, ``None`` if it is not registered."""
        for item in self.databases:
            if item.name == name:
                return item
        return None

    def list_group(self, group: str) -> tuple[DatabaseEntry, ...]:
        """Return the databases of a group."""
        return tuple(item for item in self.databases if item.group == group)
