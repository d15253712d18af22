"""Choice of the database that serves a read."""

from collections.abc import Collection
from dataclasses import dataclass

from ..groups import DatabaseDescription, count_home_connections
from ..positions import LogPosition
from ..replication import DatabaseLoad
from .positions_table import PositionsTable

# Maximum time that a read waits for a replica before it uses the primary.
REPLICA_WAIT_SECONDS = 0.05
# Extra delay that a read accepts to offload the primary, whose connections all writes
# need. A replica in another data centre is one round trip (3 ms) behind.
REPLICA_PREFERENCE_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class ReadChoice:
    """Database chosen for a read.

    :param database: the database to use, or the replica to wait for.
    :param must_wait: whether the replica has not applied the position yet.
    """

    database: str
    is_replica: bool
    must_wait: bool = False


class LoadTable:
    """Last reported load of each database, and the requests routed to it since."""

    def __init__(self) -> None:
        self._loads: dict[str, DatabaseLoad] = {}
        self._n_routed: dict[str, int] = {}

    def handle_load(self, load: DatabaseLoad) -> None:
        """Record a reported load; it includes the requests routed before."""
        self._loads[load.database] = load
        self._n_routed[load.database] = 0

    def record_routed(self, database: str) -> None:
        """Count a request routed to a database."""
        self._n_routed[database] = self.find_n_routed(database) + 1

    def find_n_routed(self, database: str) -> int:
        """Return the number of requests routed since the last reported load."""
        return self._n_routed.get(database, 0)

    def estimate_wait_seconds(self, database: DatabaseDescription) -> float:
        """Estimate how long a new request waits for a connection to the database."""
        load = self._loads.get(database.name)
        if load is None:
            return 0.0
        n_connections = count_home_connections(database)
        n_ahead = load.n_queued + load.n_running + self.find_n_routed(database.name)
        n_waiting = max(0, n_ahead - n_connections + 1)
        return n_waiting * load.mean_service_seconds / n_connections


def _estimate_queue_seconds(
    table: PositionsTable, database: str, loads: LoadTable
) -> float:
    return loads.estimate_wait_seconds(table.group.find_database(database))


def _find_ready_replicas(
    table: PositionsTable, minimum_position: LogPosition, excluded: Collection[str]
) -> list[str]:
    return [
        name
        for name, state in table.iterate_replicas()
        if name not in excluded
        and state.is_reachable
        and not state.is_leaving
        and state.position >= minimum_position
    ]


def _find_fastest_replica(
    table: PositionsTable,
    minimum_position: LogPosition,
    excluded: Collection[str],
    loads: LoadTable,
    now: float,
) -> tuple[float, str] | None:
    expected: list[tuple[float, str]] = []
    for name, state in table.iterate_replicas():
        if name in excluded or state.is_leaving or not state.is_reachable:
            continue
        seconds = table.estimate_catch_up_seconds(name, minimum_position, now)
        if seconds is not None:
            queue_seconds = _estimate_queue_seconds(table, name, loads)
            expected.append((max(seconds, queue_seconds), name))
    return min(expected, default=None)


def _may_use_primary(
    table: PositionsTable, minimum_position: LogPosition, excluded: Collection[str]
) -> bool:
    primary = table.primary
    if primary is None or primary.database in excluded:
        return False
    state = table.find_state(primary.database)
    is_usable = state.is_reachable and not state.is_leaving
    return is_usable and primary.term >= minimum_position.term


def choose_read_database(
    table: PositionsTable,
    minimum_position: LogPosition,
    *,
    excluded: Collection[str],
    loads: LoadTable,
    now: float,
    max_wait_seconds: float = REPLICA_WAIT_SECONDS,
) -> ReadChoice | None:
    """Choose the database for a read.

    Prefers a replica that has applied ``minimum_position``, the one with the shortest
    queue. Otherwise compares the expected wait for a replica with the primary's queue.

    :param minimum_position: lowest log position that a replica must have applied.
    :param excluded: databases that have failed the read already.
    :param max_wait_seconds: how much longer the read may wait for a replica.
    :returns: ``None`` when no database can serve the read at present.
    """
    ready = _find_ready_replicas(table, minimum_position, excluded)
    if ready:
        return ReadChoice(
            min(
                ready,
                key=lambda name: (
                    _estimate_queue_seconds(table, name, loads),
                    loads.find_n_routed(name),
                ),
            ),
            is_replica=True,
        )
    expected = _find_fastest_replica(table, minimum_position, excluded, loads, now)
    if not _may_use_primary(table, minimum_position, excluded):
        return None if expected is None else ReadChoice(expected[1], True, True)
    assert table.primary is not None
    primary = table.primary.database
    if expected is not None and max_wait_seconds > 0:
        primary_seconds = _estimate_queue_seconds(table, primary, loads)
        limit = min(primary_seconds + REPLICA_PREFERENCE_SECONDS, max_wait_seconds)
        if expected[0] <= limit:
            return ReadChoice(expected[1], is_replica=True, must_wait=True)
    return ReadChoice(primary, is_replica=False)
