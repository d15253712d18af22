"""Configuration of routes, workspaces and limits, and its lookup table."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

# Callers without a key have this name at databases, whose protocol has no empty name.
ANONYMOUS_WORKSPACE = "-"
# Stands for workspaces that no connection may be opened for. Not a name of one that may
# be used, since it holds a blank.
UNUSABLE_WORKSPACE = "unusable workspace"
_SEPARATOR = re.compile(r"[ \r\n]")


class Consistency(StrEnum):
    """Consistency that a route guarantees to its reads."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded staleness"
    READ_YOUR_WRITES = "read your writes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Mapping of a database name that clients use to a database group.

    :param database: name in the client's ``START`` message.
    :param group: database group that serves the route.
    :param staleness_seconds: greatest staleness of reads; 0 allows none.
    :param timeout_seconds: time-out of one statement.
    :param priority: order in the queues of databases; 0 is served first.
    :param is_open: anonymous clients may use the route, without a key.
    :param target_seconds: latency objective of one operation, 0 if there is none.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    timeout_seconds: float
    staleness_seconds: float = 0.0
    priority: int = 1
    is_open: bool = False
    target_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspacePlan:
    """Keys and rate limit of a workspace; the limit holds over all instances.

    :param keys: API keys of the workspace.
    :param burst: capacity of the token bucket, in operations.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    operations_per_second: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration; versions only increase.

    :param transaction_idle_seconds: idle time-out of transactions, which are then
        rolled back.
    :param max_connections: connection limit of each database, by group.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    workspaces: tuple[WorkspacePlan, ...] = ()
    transaction_idle_seconds: float = 10.0
    max_connections: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class UnusableEntry:
    """Entry of a configuration that is not used.

    :param kind: ``route`` or ``workspace``.
    """

    kind: str
    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index of a configuration.

    :param routes: by database name, without those that cannot be used.
    :param workspaces: workspace names by API key; ``UNUSABLE_WORKSPACE`` for keys of
        workspaces that cannot be used, so that they do not count as unknown.
    :param plans: by workspace name, without those that cannot be used.
    :param max_connections: connection limit of each database, by group.
    """

    configuration: Configuration
    routes: dict[str, Route]
    workspaces: dict[str, str] = field(repr=False)
    plans: dict[str, WorkspacePlan] = field(repr=False)
    max_connections: dict[str, int]

    @property
    def version(self) -> int:
        """Version of the configuration, 0 while there is none."""
        return self.configuration.version


def make_route_table(configuration: Configuration) -> RouteTable:
    """Return the index of a configuration by database name, key and workspace.

    Connections open with the names of group and workspace, separated by blanks. With
    names that do not fit there, the database would read another workspace.
    """
    usable = [
        plan
        for plan in configuration.workspaces
        if find_workspace_fault(plan.name) is None
    ]
    usable_names = {plan.name for plan in usable}
    return RouteTable(
        configuration=configuration,
        routes={
            route.database: route
            for route in configuration.routes
            if find_word_fault(route.group) is None
        },
        workspaces={
            key: plan.name if plan.name in usable_names else UNUSABLE_WORKSPACE
            for plan in configuration.workspaces
            for key in plan.keys
            # Clients without a key send an empty one.
            if key
        },
        plans={plan.name: plan for plan in usable},
        max_connections=dict(configuration.max_connections),
    )


def find_unusable_entries(configuration: Configuration) -> Iterator[UnusableEntry]:
    """Find the routes, workspaces and keys that :func:`make_route_table` leaves out."""
    for route in configuration.routes:
        fault = find_word_fault(route.group)
        if fault is not None:
            yield UnusableEntry("route", route.name, f"its group's name {fault}")
    for plan in configuration.workspaces:
        fault = find_workspace_fault(plan.name)
        if fault is not None:
            yield UnusableEntry("workspace", plan.name, f"its name {fault}")
        if "" in plan.keys:
            yield UnusableEntry("workspace", plan.name, "one of its keys is empty")


def find_workspace_fault(name: str) -> str | None:
    """Return why no connection can be opened for a workspace, ``None`` if it can."""
    if name == ANONYMOUS_WORKSPACE:
        return "stands for callers without a key"
    return find_word_fault(name)


def find_word_fault(name: str) -> str | None:
    """Return why a name cannot be one word of a line, ``None`` if it can."""
    if not name:
        return "is empty"
    return "holds a blank or a line end" if _SEPARATOR.search(name) else None


EMPTY_ROUTE_TABLE = make_route_table(Configuration())


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """A newer version of the configuration is in force."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class RoutesConfirmed:
    """The configuration in force was the newest one at a point in time.

    :param version: in force.
    :param confirmed_at: on the local clock; the store had acknowledged no higher
        version by then.
    """

    version: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class RoutesStalenessChanged:
    """The last proof that no newer configuration exists passed the limit of its age.

    :param is_stale: whether it did; otherwise a newer proof has arrived.
    """

    is_stale: bool
