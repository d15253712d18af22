"""One instance as a process, stand-ins beside it, and crowds of ill-behaved clients."""

import asyncio
import contextlib
import os
import time
from dataclasses import dataclass
from pathlib import Path

from soak.instances import InstanceProcess

from sardinemill.emulator.line_protocol_database import Commit, LineProtocolDatabase
from sardinemill.emulator.object_store_server import ObjectStoreServer
from session_cluster import Client, make_document

# Machine of the instance in these tests; both limits are in its settings.
MACHINE_MEMORY_MB = 96
MACHINE_DESCRIPTORS = 400
N_CLIENTS = 120
LARGE_BYTES = 1_000_000
ROW_BYTES = 300_000
# Ends a test that hangs; no check depends on the duration.
PATIENCE_SECONDS = 60.0
# For how long a crowd stays after it has sent what it sends.
STAY_SECONDS = 3.0
PIECE_BYTES = 10_000


@dataclass(frozen=True, slots=True)
class CrowdOutcome:
    """What is left of an instance after a crowd.

    :param peak_memory_bytes: highest resident memory since the start.
    :param peak_descriptors: highest number of open descriptors that was seen.
    :param during: answer to an ordinary request while the crowd was there.
    :param afterwards: answer to an ordinary request after it had left.
    """

    is_alive: bool
    peak_memory_bytes: int
    peak_descriptors: int
    during: str
    afterwards: str


class LimitedInstance(InstanceProcess):
    """Instance process whose settings state the limits of its machine."""

    async def prepare(self):
        await super().prepare()
        with self._settings_path.open("a", encoding="utf-8") as settings:
            settings.write(f"limits.memory_mb={MACHINE_MEMORY_MB}\n")
            settings.write(f"limits.file_descriptors={MACHINE_DESCRIPTORS}\n")

    @property
    def pid(self):
        return self._process.pid

    def read_peak_memory(self):
        """Return the highest resident memory so far, 0 after the end."""
        with contextlib.suppress(OSError, ValueError):
            for line in (
                Path(f"/proc/{self.pid}/status").read_text("ascii").splitlines()
            ):
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        return 0

    def count_descriptors(self):
        """Return the number of open descriptors, 0 after the end."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0


class Crowd:
    """Clients of one kind, each with a connection of its own.

    :param key: API key that they show.
    """

    def __init__(self, host, port, key="key-of-crowd"):
        self.host, self.port, self.key = host, port, key
        self._writers = []
        self._readers = []

    async def connect(self, database="bookings", *, starts=True):
        """Open a connection; its stream reads one small chunk at most."""
        reader, writer = await asyncio.open_connection(self.host, self.port, limit=1024)
        self._writers.append(writer)
        self._readers.append(reader)
        writer.transport.pause_reading()
        if starts:
            writer.write(f"START {database} {self.key}\r\n".encode())
        return reader, writer

    async def send_whole(self):
        """Send one legal write and read nothing."""
        _, writer = await self.connect()
        await self.send(writer, b"QUERY 1 WRITE a " + b"x" * LARGE_BYTES + b"\r\n")

    async def send_half(self):
        """Send the beginning of a legal write and stop."""
        _, writer = await self.connect()
        await self.send(writer, b"QUERY 1 WRITE a " + b"x" * LARGE_BYTES)

    async def send_endless(self):
        """Send bytes without an end of line, far over the limit."""
        _, writer = await self.connect()
        for _ in range(40):
            await self.send(writer, b"x" * 100_000)

    async def send_ahead(self):
        """Send many reads of a large row and read no answer."""
        _, writer = await self.connect("status")
        await self.send(writer, b"QUERY 1 READ large\r\n" * 200)

    async def send_pieces(self):
        """Send a legal write in small pieces, slowly, and stop half-way."""
        _, writer = await self.connect()
        writer.write(b"QUERY 1 WRITE a ")
        for _ in range(60):
            await self.send(writer, b"x" * PIECE_BYTES)
            await asyncio.sleep(0.03)

    async def read_slowly(self):
        """Read a large row in small pieces."""
        reader, writer = await self.connect("status")
        await self.send(writer, b"QUERY 1 READ large\r\n")
        writer.transport.resume_reading()
        for _ in range(30):
            await reader.read(16)
            await asyncio.sleep(0.1)

    async def close_half(self):
        """Send one legal write, end the own direction and read nothing."""
        _, writer = await self.connect()
        await self.send(writer, b"QUERY 1 WRITE a " + b"x" * LARGE_BYTES + b"\r\n")
        writer.write_eof()

    async def say_nothing(self):
        """Connect without a word, more often than others."""
        for _ in range(5):
            await self.connect(starts=False)

    async def keep_variables(self):
        """Set many large session variables, one after the other."""
        _, writer = await self.connect()
        writer.transport.resume_reading()
        for number in range(8):
            text = f"QUERY 1 SET v{number} ".encode()
            await self.send(writer, text + b"x" * (LARGE_BYTES // 2) + b"\r\n")

    async def prepare_many(self):
        """Prepare many large statements, one after the other."""
        _, writer = await self.connect()
        writer.transport.resume_reading()
        for number in range(8):
            text = f"QUERY 1 PREPARE s{number} READ ".encode()
            await self.send(writer, text + b"x" * (LARGE_BYTES // 2) + b"\r\n")

    async def send(self, writer, data):
        """Send bytes as far as the instance takes them."""
        writer.write(data)
        await writer.drain()

    async def act(self, kind, n_clients):
        """Let all clients act at the same time; a closed connection ends a client."""
        actions = [asyncio.create_task(self._try(kind)) for _ in range(n_clients)]
        await asyncio.wait(actions, timeout=STAY_SECONDS)
        for action in actions:
            action.cancel()
        await asyncio.gather(*actions, return_exceptions=True)

    async def _try(self, kind):
        with contextlib.suppress(OSError):
            await getattr(self, kind)()

    def leave(self):
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()


class CrowdedInstance:
    """One instance, a store and three databases."""

    def __init__(self, directory):
        self._directory = directory
        self.store = ObjectStoreServer(self._promote)
        self.databases = [
            LineProtocolDatabase(name, "g", is_primary=name == "p")
            for name in ("p", "r1", "r2")
        ]
        self._peak_descriptors = 0

    def _promote(self, group, name):
        """Promote a database; the former primary becomes a replica of the next term."""
        for database in self.databases:
            database.is_primary = database.name == name
            database.term += 1
        return True

    async def start(self):
        """Start all parts and wait until the instance serves."""
        await self.store.start()
        commit = Commit(1, (("large", "y" * ROW_BYTES), ("small", "one")), 0)
        for database in self.databases:
            await database.start()
            database.log.append(commit)
            entry = {
                "service": "g",
                "address": f"127.0.0.1:{database.port}",
                "zone": "x",
                "slots": 8,
                "state": "ready",
                "database_role": "primary" if database.is_primary else "replica",
                "born": 1,
                "sequence": 1,
            }
            self.store.put("servers", database.name, entry)
        document = make_document()
        crowd = dict(document["tenants"][0], name="crowd", api_keys=["key-of-crowd"])
        document["tenants"].append(crowd)
        self.store.put("config", "main", document)
        self.instance = LimitedInstance(0, "x", self.store, self._directory)
        await self.instance.prepare()
        await self.instance.start()
        await self.ask_until_answered()

    async def stop(self):
        """Stop all parts."""
        await self.instance.stop()
        for database in self.databases:
            await database.stop()
        await self.store.stop()

    async def ask(self, text="READ small", key="key-of-hives"):
        """Return the first line of the answer to one request of a new session."""
        reader, writer = await asyncio.open_connection(
            self.instance.host, self.instance.front_port, limit=2**21
        )
        try:
            writer.write(f"START bookings {key}\r\n".encode())
            client = Client(reader, writer)
            await client.receive()
            return (await client.ask(text))[0]
        finally:
            writer.close()

    async def ask_until_answered(self, text="READ small"):
        """Ask until the request is served, as an ordinary client retries."""
        end = time.monotonic() + PATIENCE_SECONDS
        answer = ""
        while time.monotonic() < end:
            with contextlib.suppress(OSError, TimeoutError):
                answer = await asyncio.wait_for(self.ask(text), 5.0)
                if answer.startswith(("ROW", "DONE")):
                    return answer
            await asyncio.sleep(0.1)
        return answer

    async def watch_descriptors(self):
        """Record the highest number of open descriptors."""
        while True:
            n_open = self.instance.count_descriptors()
            self._peak_descriptors = max(self._peak_descriptors, n_open)
            await asyncio.sleep(0.02)

    async def meet(self, kind, n_clients=N_CLIENTS):
        """Let a crowd act and return what is left of the instance."""
        watcher = asyncio.create_task(self.watch_descriptors())
        crowd = Crowd(self.instance.host, self.instance.front_port)
        await crowd.act(kind, n_clients)
        during = await self.ask_until_answered()
        crowd.leave()
        afterwards = await self.ask_until_answered()
        watcher.cancel()
        return CrowdOutcome(
            is_alive=self.instance.is_running,
            peak_memory_bytes=self.instance.read_peak_memory(),
            peak_descriptors=self._peak_descriptors,
            during=during,
            afterwards=afterwards,
        )
