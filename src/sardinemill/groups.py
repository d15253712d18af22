"""Database groups: slots, majorities and home instances.

A slot is a numbered position for one database in a group. A majority is counted over
all slots, so a missing database never reduces the quorum. Only this module depends on
this definition of a slot.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import xxhash

N_HOMES = 3


@dataclass(frozen=True, slots=True)
class Address:
    """TCP endpoint with a numeric IP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class DatabaseDescription:
    """One database of a group.

    :param slot: number of its slot in the group, from 0.
    :param n_connections: connection limit of the database.
    """

    name: str
    group: str
    slot: int
    data_centre: str
    address: Address
    n_connections: int


@dataclass(frozen=True, slots=True)
class GroupDescription:
    """Database group: a primary and its replicas.

    :param databases: one database for each occupied slot.
    """

    name: str
    n_slots: int
    databases: tuple[DatabaseDescription, ...]

    @property
    def n_majority(self) -> int:
        """Number of slots that form a majority."""
        return self.n_slots // 2 + 1

    def find_database(self, name: str) -> DatabaseDescription:
        """Return a database of the group.

        :raises KeyError: when the group has no database of that name.
        """
        for database in self.databases:
            if database.name == name:
                return database
        raise KeyError(name)


def rank_candidates(subject: str, candidates: Iterable[str]) -> list[str]:
    """Rank candidates for a subject by rendezvous hashing.

    All instances with the same candidates compute the same order, and a change of one
    candidate moves only the subjects that it gains or loses.

    :returns: candidates, best first.
    """
    return sorted(
        set(candidates),
        key=lambda name: (
            xxhash.xxh64_intdigest(f"{subject}\0{name}".encode()),
            name,
        ),
        reverse=True,
    )


def choose_homes(
    group: str, instances: Sequence[tuple[str, str]], n_homes: int = N_HOMES
) -> list[str]:
    """Choose the home instances of a group, which hold the connections to it.

    Prefers instances of different data centres, so that the loss of one data centre
    leaves a home in another.

    :param instances: pairs of instance name and data centre.
    :returns: instance names, best first.
    """
    data_centres = dict(instances)
    ranked = rank_candidates(group, data_centres)
    homes: list[str] = []
    seen: set[str] = set()
    for name in ranked:
        if data_centres[name] not in seen:
            homes.append(name)
            seen.add(data_centres[name])
    homes.extend(name for name in ranked if name not in homes)
    return homes[:n_homes]


def count_home_connections(database: DatabaseDescription) -> int:
    """Return the number of connections that one home may open to a database.

    One share is kept in reserve for a new home while a former one still drains.
    """
    return max(1, database.n_connections // (N_HOMES + 1))


def has_majority(group: GroupDescription, databases: Collection[str]) -> bool:
    """Return whether the databases occupy a majority of the slots of a group."""
    slots = {item.slot for item in group.databases if item.name in databases}
    return len(slots) >= group.n_majority
