"""Group of stand-in databases behind links, as the soak's instances see it."""

from sardinemill.emulator.line_protocol_database import Commit, LineProtocolDatabase
from sardinemill.emulator.object_store_server import ObjectStoreServer

from .links import HEALTHY, LinkProxy

GROUP = "g"
NAMES = ("db1", "db2", "db3")


class GroupMember(LineProtocolDatabase):
    """Database whose replicas hold the log of the primary that leads.

    A superseded primary goes on until it is told to step down. What it commits until
    then is rolled back when it follows.
    """

    def append_commit(self, commit: Commit) -> None:
        """Add a commit here and at the replicas."""
        self.log.append(commit)
        for replica in self.replicas:
            if replica.is_up and not replica.is_primary:
                replica.log = list(self.log)


class DatabaseGroup:
    """Three databases; at most one of them is down at a time.

    Commits reach the replicas that are up at once, so that no acknowledged write is
    lost with a primary.

    :param store: receives their entries.
    """

    def __init__(self, store: ObjectStoreServer) -> None:
        self._store = store
        self.databases = {
            name: GroupMember(name, GROUP, is_primary=name == NAMES[0])
            for name in NAMES
        }
        self.links: dict[str, LinkProxy] = {}
        self._n_entries = 0

    @property
    def primary(self) -> LineProtocolDatabase:
        """The primary of the highest term."""
        leading = [item for item in self.databases.values() if item.is_primary]
        return max(leading, key=lambda item: item.term)

    async def start(self) -> None:
        """Listen and register."""
        for name, database in self.databases.items():
            await database.start()
            link = LinkProxy(database.port)
            await link.start()
            self.links[name] = link
            self.register(name)
        self._follow(self.primary)

    async def stop(self) -> None:
        """Close all sockets."""
        for name, database in self.databases.items():
            await database.stop()
            await self.links[name].stop()

    def promote(self, group: str, name: str) -> bool:
        """Carry out a promotion call."""
        database = self.databases.get(name)
        if group != GROUP or database is None or not database.is_up:
            return False
        if database is not self.primary:
            # A superseded primary may be chosen again before it has stepped down.
            database.is_primary = False
            database.term = max(item.term for item in self.databases.values())
            database.promote()
            self._follow(database)
        return True

    def _follow(self, primary: LineProtocolDatabase) -> None:
        """Make the replicas follow a primary; they drop what it does not hold."""
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
        """Stop a database at once.

        :returns: ``False`` when another one is down, and nothing was done.
        """
        if not all(item.is_up for item in self.databases.values()):
            return False
        database = self.databases[name]
        database.is_up = False
        await database.stop()
        return True

    async def restart(self, name: str) -> None:
        """Start a crashed database with its log, as a replica of a newer primary."""
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
        """Write the entry of a database to the store."""
        database = self.databases[name]
        self._n_entries += 1
        self._store.put(
            "servers",
            name,
            {
                "service": GROUP,
                "address": f"127.0.0.1:{self.links[name].port}",
                "zone": "x",
                "slots": 8,
                "state": "ready",
                "database_role": "primary" if database.is_primary else "replica",
                "born": 1,
                "sequence": self._n_entries,
            },
        )

    async def heal(self) -> None:
        """End all faults."""
        for name, link in self.links.items():
            link.set_faults(HEALTHY)
            await self.restart(name)
