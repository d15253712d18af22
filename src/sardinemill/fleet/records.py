"""Values that instances agree on through the platform's store."""

from dataclasses import dataclass
from enum import StrEnum

from ..groups import Address


class GroupPhase(StrEnum):
    """Whether the primary of a group may be used."""

    STEADY = "steady"
    CHANGING = "changing"


@dataclass(frozen=True, slots=True, kw_only=True)
class Coordinator:
    """Instance that answers the others and may change primaries.

    :param incarnation: process; a restarted one has to join again, since it no longer
        knows which writes of its predecessor are still on their way.
    :param is_established: every instance that relies on the word of the coordinators
        knows of this one, so it may change primaries.
    """

    name: str
    data_centre: str
    host: str
    port: int
    incarnation: str
    is_established: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupRecord:
    """Primary of one database group.

    :param primary: identifier of the database, ``""`` if unknown.
    :param primary_born_ms: start of the database process that was primary.
    :param term: lowest log term of this primary that is known.
    :param attempt: counts the holders that took over an unfinished change.
    """

    group: str
    primary: str
    primary_born_ms: int = 0
    term: int = 0
    phase: GroupPhase = GroupPhase.STEADY
    attempt: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetRecord:
    """The one object in the store that decides who may use which primary.

    :param holder: instance that changed a primary last.
    :param holder_incarnation: process of the holder.
    :param fence: fencing token of the holder; grows with each change of holder.
    """

    coordinators: tuple[Coordinator, ...] = ()
    groups: tuple[GroupRecord, ...] = ()
    holder: str = ""
    holder_incarnation: str = ""
    fence: int = 0

    def find_group(self, group: str) -> GroupRecord | None:
        """Record of a group, ``None`` if it has none yet."""
        for item in self.groups:
            if item.group == group:
                return item
        return None

    def find_coordinator(self, name: str) -> Coordinator | None:
        """Entry of an instance, ``None`` if it is no coordinator."""
        for item in self.coordinators:
            if item.name == name:
                return item
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseEntry:
    """One database as it describes itself.

    :param born_ms: start of the process, Unix time in milliseconds; another value
        under the same name means that the database lost what it held.
    :param is_leaving: takes no new work.
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
    """Databases that are there."""

    databases: tuple[DatabaseEntry, ...] = ()

    def find(self, name: str) -> DatabaseEntry | None:
        """Entry of a database, ``None`` if it is not there."""
        for item in self.databases:
            if item.name == name:
                return item
        return None

    def list_group(self, group: str) -> tuple[DatabaseEntry, ...]:
        """Databases of a group."""
        return tuple(item for item in self.databases if item.group == group)
