"""Cluster of instances, stand-in databases and a stand-in platform on real sockets."""

import asyncio
import contextlib
import math
import socket
import time

from sardinemill.emulator.line_protocol_database import LineProtocolDatabase
from sardinemill.emulator.object_store_server import ObjectStoreServer
from sardinemill.groups import Address
from sardinemill.platform.daemon import make_instance
from sardinemill.platform.settings import PlatformSettings

KEY = "key-of-hives"
# Guards against tests that hang; no check depends on the duration.
TIMEOUT_SECONDS = 30.0


class PortReservations:
    """Ports of the loopback address for servers that bind them with SO_REUSEADDR.

    A port that is only known to be free now may become the local port of an outgoing
    connection before its server binds it. The kernel assigns no port that a socket is
    bound to.
    """

    def __init__(self):
        self._sockets = []

    def reserve(self):
        """Return a port that is reserved until :meth:`release`."""
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("127.0.0.1", 0))
        self._sockets.append(reservation)
        return reservation.getsockname()[1]

    def release(self):
        """Give up all reservations."""
        for reservation in self._sockets:
            reservation.close()
        self._sockets.clear()


def make_document(version=1, keys=(KEY,), rate=500, n_connections=49, timeout_ms=1000):
    """Return a configuration document with one route of each kind.

    :param n_connections: connection limit of each database.
    :param timeout_ms: time limit of a statement.
    """
    kinds = {
        "bookings": ("primary", 0),
        "status": ("bounded", 1500),
        "logs": ("read_own_writes", 2500),
    }
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "kind": kind,
                "service": "g",
                "timeout_ms": timeout_ms,
                "priority": 1,
                "max_staleness_ms": staleness_ms,
                "allow_anonymous": False,
            }
            for host, (kind, staleness_ms) in kinds.items()
        ],
        "services": [{"name": "g", "max_connections": n_connections}],
        "limits": {"transaction_idle_ms": 3000},
        "tenants": [
            {
                "name": "hives",
                "api_keys": list(keys),
                "requests_per_s": rate,
                "burst": rate,
            }
        ],
    }


class Events:
    """Outlet that keeps the events of all instances."""

    def __init__(self):
        self.events = []

    def offer(self, message):
        self.events.append(message)
        return True


class Client:
    """Client of one session."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self._number = 0

    async def receive(self):
        """Return the lines of the next answer, ``closed`` at the end of the stream."""
        lines = []
        while True:
            data = await asyncio.wait_for(self.reader.readline(), TIMEOUT_SECONDS)
            if not data:
                return [*lines, "closed"]
            line = data.decode(errors="surrogateescape")
            lines.append(line.removesuffix("\r\n"))
            if lines[-1].startswith("READY"):
                return lines

    async def ask(self, text):
        """Send a statement and wait for its answer."""
        self._number += 1
        line = f"QUERY {id(self):x}{self._number} {text}\r\n"
        self.writer.write(line.encode(errors="surrogateescape"))
        return await self.receive()


class SessionCluster:
    """Three databases, a store and instances in one process.

    :param n_connections: connection limit of each database.
    :param timeout_ms: time limit of a statement.
    :param configuration_limit_seconds: time within which a configuration has to be in
        force.
    """

    def __init__(
        self,
        n_instances=2,
        n_connections=49,
        timeout_ms=1000,
        configuration_limit_seconds=math.inf,
    ):
        self._configuration_limit_seconds = configuration_limit_seconds
        self._n_connections = n_connections
        self._timeout_ms = timeout_ms
        self._ports = PortReservations()
        self.databases = {
            name: LineProtocolDatabase(name, "g", is_primary=name == "p")
            for name in ("p", "r1", "r2")
        }
        for database in self.databases.values():
            others = self.databases.values()
            database.replicas = [item for item in others if item is not database]
        self.store = ObjectStoreServer(self.promote)
        self.events = Events()
        self.instances = {}
        self.fronts = {}
        self.settings = {}
        self._n_instances = n_instances
        self._n_starts = 0

    def promote(self, group, name):
        """Promote a database for the platform.

        :returns: whether the database was promoted.
        """
        database = self.databases.get(name)
        if database is None or not database.is_up:
            return False
        if not database.is_primary:
            database.promote()
            for item in self.databases.values():
                # Replicas that are up follow the new primary.
                if item.is_up and not item.is_primary:
                    item.term = database.term
        return True

    async def crash_database(self, name):
        """Stop a database without a shutdown."""
        self.databases[name].is_up = False
        await self.databases[name].stop()

    async def roll_store_back(self, copy, outage_seconds=0.6):
        """Let the store be away and return from a copy.

        The writes of operators and databases since the copy are lost until
        ``store.write_again`` is called.
        """
        self.store.is_down = True
        await asyncio.sleep(outage_seconds)
        self.store.restore(copy)
        self.store.is_down = False

    async def start(self):
        """Start all parts and wait until the instances are ready."""
        await self.store.start()
        for database in self.databases.values():
            await database.start()
            self.register_database(database)
        self.store.put("servers", "malformed", {"service": 7})
        document = make_document(
            n_connections=self._n_connections, timeout_ms=self._timeout_ms
        )
        self.store.put("config", "main", document)
        for number in range(self._n_instances):
            await self.start_instance(f"i{number}")
        for name in self.instances:
            await self.wait_for(lambda name=name: self.is_ready(name))
        record = ("sardinemill-fleet", "main")
        await self.wait_for(lambda: self.store.objects[record].spec["groups"])

    def register_database(self, database, **changes):
        """Write the directory entry of a database to the store."""
        entry = {
            "service": "g",
            "address": f"127.0.0.1:{database.port}",
            "zone": "x",
            "slots": 3,
            "state": "ready",
            "database_role": "primary" if database.is_primary else "replica",
            "born": 1,
            "sequence": 1,
        }
        self.store.put("servers", database.name, {**entry, **changes})

    def is_ready(self, name):
        """Return whether an instance reports itself ready."""
        return self.instances[name].readiness.is_ready

    async def start_instance(self, name):
        """Start one instance in this process."""
        peer_address = Address("127.0.0.1", self._ports.reserve())
        settings = PlatformSettings(
            instance=name,
            data_centre="x",
            front_address=Address("127.0.0.1", self._ports.reserve()),
            ready_address=Address("127.0.0.1", self._ports.reserve()),
            metrics_address=Address("127.0.0.1", self._ports.reserve()),
            peer_address=peer_address,
            advertised_address=peer_address,
            store_address=self.store.address,
            promotion_address=self.store.address,
            stop_seconds=2.0,
            leave_seconds=7.0,
            configuration_limit_seconds=self._configuration_limit_seconds,
        )
        self._n_starts += 1
        instance = make_instance(settings, self.events, f"{name}-{self._n_starts}")
        await instance.application.start()
        self.instances[name] = instance
        self.settings[name] = settings

    async def crash_instance(self, name):
        """Stop an instance without a shutdown."""
        await self.instances.pop(name).application._stop_started()

    async def stop(self):
        """Stop all parts."""
        for instance in self.instances.values():
            instance.stop.timeout_seconds = 0.0
            await instance.application.stop()
        for database in self.databases.values():
            await database.stop()
        await self.store.stop()
        self._ports.release()

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        end = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic() < end, "condition not met in time"
            await asyncio.sleep(0.02)

    async def connect(self, database="bookings", key=KEY, instance="i0"):
        """Open a session.

        :returns: the client and the first answer.
        """
        address = self.settings[instance].front_address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(f"START {database} {key}\r\n".encode())
        client = Client(reader, writer)
        return client, await client.receive()

    async def ask_until(self, text, expected, database="bookings", instance="i0"):
        """Run a statement in new sessions until an answer begins as expected."""
        end = time.monotonic() + TIMEOUT_SECONDS
        while True:
            client, _ = await self.connect(database, instance=instance)
            with contextlib.suppress(ConnectionError):
                answer = await client.ask(text)
                client.writer.close()
                if answer[0].startswith(expected):
                    return answer
            assert time.monotonic() < end, answer
            await asyncio.sleep(0.1)


def run_in_cluster(scenario, **parameters):
    """Run a scenario on a new cluster; see :class:`SessionCluster`."""

    async def run():
        cluster = SessionCluster(**parameters)
        try:
            await cluster.start()
            await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(run())
