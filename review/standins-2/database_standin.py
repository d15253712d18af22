"""Stand-in for the databases of one service.

It follows PROTOCOL.md ("The wire", "Databases", "Service discovery"): slots and a
bounded queue, transactions, prepared statements, replication with a delay, ``AFTER``,
``STATUS``, ``DEMOTE`` and promotions.
"""

import asyncio
import time
from collections.abc import Callable

MAX_LINE_BYTES = 1024 * 1024
HEARTBEAT_SECONDS = 1.2
LARGE_CHARACTERS = 64 * 1024


class _Session:
    """State of one connection."""

    def __init__(self, tenant: str) -> None:
        self.tenant = tenant
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.is_read_only = False
        self.writes: list[tuple[str, str]] = []


class Database:
    """One database of a service.

    :param record: called with each statement of a client that it runs.
    :ivar log: commits that it has received, each a tuple of writes.
    :ivar n_applied: commits that its reads see.
    :ivar is_deaf: it receives no commits.
    :ivar lit: cleared while it is dark: it then answers nothing and receives nothing.
    """

    def __init__(
        self,
        service: "Service",
        name: str,
        host: str,
        zone: str,
        record: Callable[[str], None],
    ) -> None:
        self.service, self.name, self.host, self.zone = service, name, host, zone
        self.port = 0
        self.born = int(time.time() * 1000)
        self.term = 3
        self.state = "ready"
        self.is_primary = False
        self.is_up = False
        self.is_deaf = False
        self.lit = asyncio.Event()
        self.lit.set()
        self.log: list[tuple[tuple[str, str], ...]] = []
        self.n_applied = 0
        self.items: dict[str, str] = {}
        self._record = record
        self._slots = asyncio.Semaphore(service.n_slots)
        self._n_waiting = 0
        self._n_connections = 0
        self._n_answers = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._large_line, self._large_bytes = "", b""

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2 * MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True

    async def crash(self) -> None:
        """End without a word; its entry lapses after three heartbeats."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self) -> dict[str, object]:
        """Return its entry in the store."""
        self._sequence += 1
        return {
            "service": self.service.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.n_slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "database_role": "primary" if self.is_primary else "replica",
            "sequence": self._sequence,
            "born": self.born,
        }

    # Log

    @property
    def position(self) -> tuple[int, int]:
        """Position of what its reads see."""
        return self.term, self.n_applied

    def receive(self, length: int, log: list[tuple[tuple[str, str], ...]]) -> None:
        """Receive the commits of the primary up to a length; apply them later."""
        is_reached = self.is_up and self.lit.is_set() and not self.is_deaf
        if not is_reached or len(self.log) >= length:
            return
        self.log.extend(log[len(self.log) : length])
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.lag_seconds, self._apply, length, self.term)

    def _apply(self, length: int, term: int) -> None:
        if term == self.term and not self.is_primary:
            self.apply(min(length, len(self.log)))

    def apply(self, length: int) -> None:
        """Let reads see the commits up to a length."""
        for writes in self.log[self.n_applied : length]:
            self.items.update(writes)
        self.n_applied = max(self.n_applied, length)

    def follow(self, primary: "Database") -> None:
        """Become a replica of another primary; what that one lacks is rolled back."""
        self.is_primary = False
        self.term = primary.term
        common = min(len(self.log), len(primary.log))
        if len(self.log) > common:
            del self.log[common:]
            self.items.clear()
            self.n_applied = 0
        self.apply(common)
        self.receive(len(primary.log), primary.log)

    # Connections

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._n_connections += 1
        try:
            await self._serve_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._n_connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        words = (await _read_line(reader)).split(" ")
        await self.lit.wait()
        if words[0] != "START" or words[1] != self.service.name:
            writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        if len(words) > 3 and words[3] != self.name:
            writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        if self._n_connections > self.service.max_connections:
            writer.write(f"ERROR OVERLOADED {self.name}\r\n".encode())
            return
        session = _Session(words[2])
        async with self._slots:
            await asyncio.sleep(self.service.handshake_seconds)
        writer.write(f"READY I {_format(self.position)}\r\n".encode())
        while True:
            line = await _read_line(reader)
            await self.lit.wait()
            if line == "BYE":
                return
            _, statement_id, text = line.split(" ", 2)
            lines = await self._run(session, statement_id, text)
            lines.append(f"READY {session.state} {_format(self.position)}")
            for item in lines:
                writer.write(self._encode(item))
            await writer.drain()

    async def _run(self, session: _Session, statement_id: str, text: str) -> list[str]:
        verb = text.split(" ", 1)[0]
        if verb == "AFTER":
            _, wanted, text = text.split(" ", 2)
            term, number = wanted.split(".")
            if self.position < (int(term), int(number)):
                return [f"ERROR LAGGING {self.name}"]
            verb = text.split(" ", 1)[0]
        if verb not in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            return self._change(session, verb, text)
        if self._n_waiting >= self.service.queue_length:
            return [f"ERROR BUSY {self.name}"]
        self._n_waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._n_waiting -= 1
        try:
            if verb == "STATUS":
                return self._describe_status()
            await asyncio.sleep(self.service.work_seconds)
            return await self._execute(session, statement_id, verb, text)
        finally:
            self._slots.release()

    def _change(self, session: _Session, verb: str, text: str) -> list[str]:
        rest = text.partition(" ")[2]
        if verb == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return [f"ERROR READONLY {self.name}"]
            session.state, session.is_read_only = "T", rest == "READ"
        elif verb == "ROLLBACK":
            session.state = "I"
            session.writes.clear()
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
        elif verb == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            session.prepared[name] = (mode, shape)
        elif verb == "RESET":
            session.values.clear()
            session.prepared.clear()
        elif verb == "DEMOTE":
            self.service.demote(self, int(rest))
            return self._describe_status()
        return ["DONE -"]

    def _describe_status(self) -> list[str]:
        role = "primary" if self.is_primary else "replica"
        received = f"{self.term}.{len(self.log)}"
        row = f"ROW {role} {self.term} {received} 0 0 0 {self._n_connections}"
        return [row, "DONE -"]

    async def _execute(
        self, session: _Session, statement_id: str, verb: str, text: str
    ) -> list[str]:
        rest = text.partition(" ")[2]
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return [f"ERROR UNKNOWN {name}"]
            verb = session.prepared[name][0]
        if verb == "READ":
            self._record_run(session, statement_id, text)
            value = dict(session.writes).get(rest, self.items.get(rest, "-"))
            return [f"ROW {value}", self._sign()]
        if verb == "WRITE":
            if not self.is_primary or (session.state == "T" and session.is_read_only):
                return [f"ERROR READONLY {self.name}"]
            item, _, value = rest.partition(" ")
            session.writes.append((item, value))
        elif session.writes and not self.is_primary:
            session.state = "I"
            session.writes.clear()
            return [f"ERROR READONLY {self.name}"]
        self._record_run(session, statement_id, text)
        if verb == "COMMIT":
            session.state = "I"
        if session.state == "I" and session.writes:
            writes = tuple(session.writes)
            session.writes.clear()
            await self.service.commit(self, writes)
        return [self._sign()]

    def _record_run(self, session: _Session, statement_id: str, text: str) -> None:
        self._record(f"run {self.name} {session.tenant} {statement_id} {text[:60]}")

    def _encode(self, line: str) -> bytes:
        """Return the bytes of a line; those of a large one are kept."""
        if len(line) < LARGE_CHARACTERS:
            return f"{line}\r\n".encode(errors="surrogateescape")
        if self._large_line != line:
            self._large_line = line
            self._large_bytes = f"{line}\r\n".encode(errors="surrogateescape")
        return self._large_bytes

    def _sign(self) -> str:
        self._n_answers += 1
        return f"DONE {self.name}.{self._n_answers}"


class Service:
    """Databases of one service, and their replication.

    :param n_synchronous: ``synchronous_replicas``.
    """

    def __init__(
        self,
        name: str,
        *,
        n_slots: int = 3,
        queue_length: int = 24,
        max_connections: int = 49,
        work_seconds: float = 0.006,
        handshake_seconds: float = 0.012,
        lag_seconds: float = 0.06,
        promote_seconds: float = 0.6,
        n_synchronous: int = 0,
    ) -> None:
        self.name = name
        self.n_slots, self.queue_length = n_slots, queue_length
        self.max_connections = max_connections
        self.work_seconds, self.handshake_seconds = work_seconds, handshake_seconds
        self.lag_seconds, self.promote_seconds = lag_seconds, promote_seconds
        self.n_synchronous = n_synchronous
        self.databases: list[Database] = []

    @property
    def primary(self) -> Database:
        """Primary of the highest term."""
        return max(
            (item for item in self.databases if item.is_primary),
            key=lambda item: item.term,
        )

    def add(
        self, name: str, host: str, zone: str, record: Callable[[str], None]
    ) -> Database:
        """Add a database; the first one is the primary."""
        database = Database(self, name, host, zone, record)
        database.is_primary = not self.databases
        self.databases.append(database)
        return database

    async def commit(
        self, database: Database, writes: tuple[tuple[str, str], ...]
    ) -> None:
        """Commit at a primary; return when the commit may be acknowledged."""
        database.log.append(writes)
        length = len(database.log)
        database.apply(length)
        while True:
            n_received = 0
            for replica in self.databases:
                if replica is not database and replica.term == database.term:
                    replica.receive(length, database.log)
                    n_received += len(replica.log) >= length
            if n_received >= self.n_synchronous:
                return
            await asyncio.sleep(0.01)

    def demote(self, database: Database, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if database.is_primary and database.term < term:
            database.follow(self.primary)

    async def promote(self, name: str) -> int:
        """Carry out a promotion call; return its status."""
        target = next((item for item in self.databases if item.name == name), None)
        if target is None or not target.is_up or not target.lit.is_set():
            return 409
        if target is self.primary:
            return 200
        asyncio.get_running_loop().call_later(
            self.promote_seconds, self._take_lead, target
        )
        return 200

    def _take_lead(self, target: Database) -> None:
        if target.is_primary or not target.is_up:
            return
        target.apply(len(target.log))
        target.term = max(item.term for item in self.databases) + 1
        target.is_primary = True
        for other in self.databases:
            is_reached = other.is_up and other.lit.is_set()
            if other is not target and is_reached and not other.is_primary:
                other.follow(target)


async def _read_line(reader: asyncio.StreamReader) -> str:
    data = await reader.readuntil(b"\r\n")
    return data[:-2].decode(errors="surrogateescape")


def _format(position: tuple[int, int]) -> str:
    return f"{position[0]}.{position[1]}"
