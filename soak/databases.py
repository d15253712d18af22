"""Group of stand-in databases that instances reach through fault-injecting proxies."""

import time
from collections.abc import Callable
from typing import Any

from sardinemill.emulator.line_protocol_database import Commit, LineProtocolDatabase
from sardinemill.emulator.object_store_server import ObjectStoreServer

from .links import HEALTHY, LinkProxy

GROUP = "g"
# Data centre of each database; the first one is the first primary.
DATA_CENTRES = {"db1": "x", "db2": "y", "db3": "z"}
DATABASE_NAMES = tuple(DATA_CENTRES)


class GroupMember(LineProtocolDatabase):
    """Database whose replicas hold the log of the current primary.

    A superseded primary accepts commits until it is demoted. They are rolled back when
    it becomes a replica.

    :ivar ended_at: time at which each statement of a client was executed.
    :ivar work_times: times of all statements but status queries, in order.
    """

    def __init__(self, name: str, group: str, *, is_primary: bool = False) -> None:
        super().__init__(name, group, is_primary=is_primary)
        self.ended_at: dict[str, float] = {}
        self.work_times: list[float] = []

    def _execute_request(
        self, connection: Any, statement_id: str, text: str
    ) -> list[str]:
        self.ended_at[statement_id] = time.monotonic()
        if text != "STATUS":
            self.work_times.append(time.monotonic())
        return super()._execute_request(connection, statement_id, text)

    def append_commit(self, commit: Commit) -> None:
        """Append a commit to this log and copy the log to the replicas that are up."""
        self.log.append(commit)
        for replica in self.replicas:
            if replica.is_up and not replica.is_primary:
                replica.log = list(self.log)


class DatabaseGroup:
    """Three databases; at most one of them is down at a time.

    Replication is synchronous to the replicas that are up, so that a crash of the
    primary loses no acknowledged write.

    :param store: object store in which the databases are registered.
    :param choose_latency: returns the delay of a chunk on a link without faults.
    """

    def __init__(
        self,
        store: ObjectStoreServer,
        choose_latency: Callable[[bytes], float] = lambda data: 0.0,
    ) -> None:
        self._store = store
        self._choose_latency = choose_latency
        self.databases = {
            name: GroupMember(name, GROUP, is_primary=name == DATABASE_NAMES[0])
            for name in DATABASE_NAMES
        }
        self.links: dict[str, LinkProxy] = {}
        self._entry_sequence = 0

    @property
    def primary(self) -> LineProtocolDatabase:
        """Primary with the highest term; superseded primaries have lower ones."""
        primaries = [item for item in self.databases.values() if item.is_primary]
        return max(primaries, key=lambda item: item.term)

    async def start(self) -> None:
        """Start the databases and their links, and register them in the store."""
        for name, database in self.databases.items():
            await database.start()
            link = LinkProxy(database.port, choose_latency=self._choose_latency)
            await link.start()
            self.links[name] = link
            self.register(name)
        self._attach_replicas(self.primary)

    async def stop(self) -> None:
        """Stop all databases and links."""
        for name, database in self.databases.items():
            await database.stop()
            await self.links[name].stop()

    def promote(self, group: str, name: str) -> bool:
        """Carry out a promotion request.

        :returns: ``False`` when the database is unknown or down.
        """
        database = self.databases.get(name)
        if group != GROUP or database is None or not database.is_up:
            return False
        if database is not self.primary:
            # A superseded primary may be promoted again before it was demoted.
            database.is_primary = False
            database.term = max(item.term for item in self.databases.values())
            database.promote()
            self._attach_replicas(database)
        return True

    def _attach_replicas(self, primary: LineProtocolDatabase) -> None:
        """Attach the other databases to a primary; those that are up copy its log."""
        for item in self.databases.values():
            item.replicas = []
        others: list[LineProtocolDatabase] = [
            item for item in self.databases.values() if item is not primary
        ]
        primary.replicas = others
        for item in self.databases.values():
            if item.is_up and not item.is_primary:
                item.log = list(primary.log)

    async def crash(self, name: str) -> bool:
        """Stop a database without a shutdown, if all databases are up.

        :returns: ``False`` when a database is already down; nothing is done then.
        """
        if not all(item.is_up for item in self.databases.values()):
            return False
        database = self.databases[name]
        database.is_up = False
        await database.stop()
        return True

    async def restart(self, name: str) -> None:
        """Start a crashed database with its log.

        It becomes a replica if another database was promoted meanwhile.
        """
        database = self.databases[name]
        if database.is_up:
            return
        if self.primary is not database:
            database.is_primary = False
            database.log = list(self.primary.log)
        database.is_up = True
        await database.start()
        self.register(name)

    def register(self, name: str) -> None:
        """Write the directory entry of a database to the store."""
        database = self.databases[name]
        self._entry_sequence += 1
        self._store.put(
            "servers",
            name,
            {
                "service": GROUP,
                "address": f"127.0.0.1:{self.links[name].port}",
                "zone": DATA_CENTRES[name],
                "slots": 8,
                "state": "ready",
                "database_role": "primary" if database.is_primary else "replica",
                "born": 1,
                "sequence": self._entry_sequence,
            },
        )

    def list_ended_statements(self) -> dict[str, float]:
        """Return when each statement that reached a database was executed last."""
        ended_at: dict[str, float] = {}
        for database in self.databases.values():
            for statement_id, at in database.ended_at.items():
                ended_at[statement_id] = max(at, ended_at.get(statement_id, at))
        return ended_at

    async def heal(self) -> None:
        """End all faults of links and restart the databases that are down."""
        for name, link in self.links.items():
            link.set_faults(HEALTHY)
            await self.restart(name)
