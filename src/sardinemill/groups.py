"""Database groups: slots, majority and the home instances that hold connections.

A slot is a numbered place for one database in a group. The majority is counted over
slots, so a missing database never shrinks the quorum. This reading of "slots" is kept
in this module alone.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import xxhash

N_HOMES = 3


@dataclass(frozen=True, slots=True)
class Address:
    """TCP endpoint by IP number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class DatabaseDescription:
    """One database of a group.

    :param slot: number of its place in the group, from 0.
    :param n_connections: connections that the database accepts in all.
    """

    name: str
    group: str
    slot: int
    data_centre: str
    address: Address
    n_connections: int


@dataclass(frozen=True, slots=True)
class GroupDescription:
    """A database group.

    :param databases: one for each occupied slot.
    """

    name: str
    n_slots: int
    databases: tuple[DatabaseDescription, ...]

    @property
    def n_majority(self) -> int:
        """Number of slots that form a majority."""
        return self.n_slots // 2 + 1

    def find_database(self, name: str) -> DatabaseDescription:
        """:raises KeyError: when the group has no database of that name."""
        for database in self.databases:
            if database.name == name:
                return database
        raise KeyError(name)


def rank_candidates(subject: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates for a subject by rendezvous hash.

    All instances with the same candidates get the same order, and a change of one
    candidate moves only the subjects that it wins or loses.

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
    """Choose the instances that hold connections to a group.

    Takes at most one instance in each data centre while other data centres remain, so
    that the loss of a data centre leaves a home elsewhere.

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
    """Connections that one home may open; one spare share covers a change of homes."""
    return max(1, database.n_connections // (N_HOMES + 1))


def has_majority(group: GroupDescription, databases: Collection[str]) -> bool:
    """Tell whether the named databases fill a majority of the group's slots."""
    slots = {item.slot for item in group.databases if item.name in databases}
    return len(slots) >= group.n_majority
