"""Assignment of gateways: which instance owns the shared connections to a database.

In a very large fleet the instances together may not keep enough connections, and nearly
every statement would open one, for which the databases lack the slots. A gateway owns
the connections of the whole fleet to its databases, and the other instances forward
single statements to it. A gateway is only a pool: two tables that differ for a moment
do no harm.
"""

import math
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from ..events import Event, EventName
from ..groups import Address
from ..interfaces import Emission
from ..sessions.connections import QUOTA_FRACTION
from .records import DatabaseEntry, Directory

# Connections that an instance may keep open to a database, below which the database
# gets a gateway. Above it, opening connections leaves enough of the slots' time for the
# work, and a hop and the links between instances cost more than they save.
MIN_CONNECTIONS_PER_INSTANCE = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayCandidate:
    """Instance that accepts forwarded statements.

    :param capacity: relative processor capacity, above 0.
    """

    instance: str
    data_centre: str
    host: str
    port: int
    capacity: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayEntry:
    """Instance that is the gateway of some databases.

    :param databases: names of the databases.
    """

    instance: str
    host: str
    port: int
    databases: tuple[str, ...]

    @property
    def address(self) -> Address:
        """Endpoint for messages of other instances."""
        return Address(self.host, self.port)


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayTable:
    """Gateways of the fleet, in the order of their names."""

    gateways: tuple[GatewayEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class GatewaysChanged:
    """Another table of gateways is in use."""

    table: GatewayTable


class GatewayAssignment:
    """Table of gateways; coordinators compute it, other instances adopt theirs.

    :ivar table: table in use.
    :ivar digest: hash of the table, 0 while it is empty.
    """

    def __init__(self) -> None:
        self.table = GatewayTable()
        self.digest = 0
        self._inputs: object = None

    def update(
        self,
        databases: Sequence[DatabaseEntry],
        candidates: Sequence[GatewayCandidate],
        coordinators: Collection[str],
    ) -> list[Emission]:
        """Compute the table if its inputs have changed.

        :param databases: those that need a gateway.
        :param coordinators: instances that become gateways only if there is no other.
        :returns: messages for ``gateways`` and ``events``.
        """
        inputs = (tuple(databases), tuple(candidates), frozenset(coordinators))
        if inputs == self._inputs:
            return []
        self._inputs = inputs
        return self.adopt(assign_gateways(databases, candidates, coordinators))

    def adopt(self, table: GatewayTable) -> list[Emission]:
        """Use a table.

        :returns: messages for ``gateways`` and ``events``.
        """
        if table == self.table:
            return []
        self.table = table
        self.digest = (
            xxhash.xxh32_intdigest(msgspec.msgpack.encode(table))
            if table.gateways
            else 0
        )
        fields = {
            "n_gateways": len(table.gateways),
            "n_databases": sum(len(item.databases) for item in table.gateways),
            "table_hash": self.digest,
        }
        return [
            Emission("gateways", GatewaysChanged(table)),
            Emission("events", Event(EventName.GATEWAYS_CHANGED, fields)),
        ]


def list_scarce_databases(
    directory: Directory, max_connections: Mapping[str, int], n_instances: int
) -> tuple[DatabaseEntry, ...]:
    """Return the databases whose connections are too few for pools at all instances."""
    return tuple(
        sorted(
            (
                entry
                for entry in directory.databases
                if not entry.is_leaving
                and max_connections.get(entry.group, math.inf)
                * QUOTA_FRACTION
                / n_instances
                < MIN_CONNECTIONS_PER_INSTANCE
            ),
            key=lambda entry: entry.name,
        )
    )


def assign_gateways(
    databases: Sequence[DatabaseEntry],
    candidates: Sequence[GatewayCandidate],
    coordinators: Collection[str],
) -> GatewayTable:
    """Assign an instance to each database, in its data centre if there is one.

    Weighted rendezvous hashing with bounded loads: a change of one candidate moves few
    databases, larger instances are preferred, and none gets a second database while
    another one has none.

    :param databases: in an order that all coordinators share.
    """
    eligible = [item for item in candidates if item.instance not in coordinators]
    eligible = eligible or list(candidates)
    assigned: dict[str, list[str]] = {}
    n_assigned: Counter[str] = Counter()
    for database in databases:
        near = [item for item in eligible if item.data_centre == database.data_centre]
        usable = near or eligible
        if not usable:
            continue
        least = min(n_assigned[item.instance] for item in usable)
        chosen = max(
            (item for item in usable if n_assigned[item.instance] == least),
            key=lambda item: (_score(database.name, item), item.instance),
        )
        n_assigned[chosen.instance] += 1
        assigned.setdefault(chosen.instance, []).append(database.name)
    by_name = {item.instance: item for item in eligible}
    return GatewayTable(
        gateways=tuple(
            GatewayEntry(
                instance=name,
                host=by_name[name].host,
                port=by_name[name].port,
                databases=tuple(names),
            )
            for name, names in sorted(assigned.items())
        )
    )


def _score(database: str, candidate: GatewayCandidate) -> float:
    """Return the weighted rendezvous score of a candidate for a database.

    Source: Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005).
    """
    digest = xxhash.xxh64_intdigest(f"{database}\0{candidate.instance}".encode())
    uniform = (digest + 1) / (2**64 + 1)
    return -candidate.capacity / math.log(uniform)
