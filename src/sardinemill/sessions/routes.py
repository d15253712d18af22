"""Configuration of routes, workspaces and limits, and its lookup table."""

from dataclasses import dataclass, field
from enum import StrEnum


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
class RouteTable:
    """Index of a configuration.

    :param routes: by database name.
    :param workspaces: workspace names by API key.
    :param plans: by workspace name.
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
    """Return the index of a configuration by database name, key and workspace."""
    return RouteTable(
        configuration=configuration,
        routes={route.database: route for route in configuration.routes},
        workspaces={
            key: plan.name for plan in configuration.workspaces for key in plan.keys
        },
        plans={plan.name: plan for plan in configuration.workspaces},
        max_connections=dict(configuration.max_connections),
    )


EMPTY_ROUTE_TABLE = make_route_table(Configuration())


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """A newer version of the configuration is in force."""

    table: RouteTable
