"""Stand-ins of platform, databases and clients for the scripts of this review.

They follow PROTOCOL.md and use the standard library only. Platform and databases run
in the process of the script; the instances are separate processes that are started with
the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
INSTANCE_COMMAND = ("python3", "deploy/instance.py")
HEARTBEAT_SECONDS = 1.2
# A database is missing from the directory after three heartbeat intervals.
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
HANDSHAKE_SECONDS = 0.012
N_SLOTS = 3
MAX_CONNECTIONS = 49
RECEIVE_SECONDS = 0.002
APPLY_SECONDS = 0.06
PROMOTE_SECONDS = 0.6
STEP_DOWN_SECONDS = 1.0


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, who: str, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.4f} {who}: {text}\n")
        self._file.flush()


# Platform


@dataclass
class StoredObject:
    """Object of the store."""

    name: str
    revision: int
    created_rev: int
    spec: object
    status: object = None
    finalizers: list = field(default_factory=list)

    def encode(self) -> dict:
        """Return the object as the store sends it."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created_rev": self.created_rev,
            "finalizers": self.finalizers,
            "deleting": False,
        }
        return {"meta": meta, "spec": self.spec, "status": self.status}


@dataclass(frozen=True)
class Promotion:
    """One call of ``POST /promotion``."""

    at: float
    group: str
    database: str
    holder: str
    fence: int
    status: int


class Platform:
    """Object store and promotion calls.

    :ivar delay_seconds: delay of each answer of the store.
    :ivar promotion_delay_seconds: delay of each answer to a promotion call.
    :ivar on_write: called with kind, name and spec after each write of an instance.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._revision = 100
        self._server = None
        self._writers = set()
        self.address = ""
        self.promotions: list[Promotion] = []
        self.promote = lambda group, database: False
        self.delay_seconds = 0.004
        self.promotion_delay_seconds = 0.004
        self.on_write = lambda kind, name, spec: None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or a database does."""
        current = self._objects.get((kind, name))
        if current is not None and current.spec == spec:
            return
        self._revision += 1
        created = self._revision if current is None else current.created_rev
        self._objects[kind, name] = StoredObject(name, self._revision, created, spec)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        if self._objects.pop((kind, name), None) is not None:
            self._revision += 1

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length") or 0)
                data = await reader.readexactly(length) if length else b""
                body = json.loads(data) if data else None
                status, answer = self._handle(method, target, headers, body)
                is_promotion = target.startswith("/promotion")
                await asyncio.sleep(
                    self.promotion_delay_seconds if is_promotion else self.delay_seconds
                )
                content = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _handle(self, method, target, headers, body):
        url = urlsplit(target)
        if url.path == "/promotion":
            return self._handle_promotion(headers, body)
        parts = url.path.strip("/").split("/")
        if parts[:2] != ["sardinemill", "objects"] or len(parts) not in (3, 4, 5):
            return 404, None
        kind = parts[2]
        if method == "GET" and len(parts) == 3:
            after = parse_qs(url.query).get("after", [""])[0]
            items = [
                item.encode()
                for (key, name), item in sorted(self._objects.items())
                if key == kind and name > after
            ]
            return 200, {
                "items": items,
                "more": False,
                "store_revision": self._revision,
            }
        if method == "GET":
            found = self._objects.get((kind, parts[3]))
            return (404, None) if found is None else (200, found.encode())
        return self._handle_write(method, kind, parts[3:], body)

    def _handle_write(self, method, kind, rest, body):
        name = rest[0] if rest else body["meta"]["name"]
        current = self._objects.get((kind, name))
        if method == "POST":
            if current is not None:
                return 409, current.encode()
        elif current is None:
            return 404, None
        else:
            expected = ((body or {}).get("meta") or {}).get("revision")
            if expected is not None and expected != current.revision:
                return 409, current.encode()
        if method == "DELETE":
            self.delete(kind, name)
            return 200, None
        self.put(kind, name, body["spec"])
        self.on_write(kind, name, body["spec"])
        return 200, self._objects[kind, name].encode()

    def _handle_promotion(self, headers, body):
        group, database = body["service"], body["id"]
        status = 200 if self.promote(group, database) else 409
        call = Promotion(
            self._record.now(),
            group,
            database,
            headers["x-duty-holder"],
            int(headers["x-fencing-token"]),
            status,
        )
        self.promotions.append(call)
        self._record.write(
            "platform",
            f"POST /promotion {group} {database} holder={call.holder} "
            f"fence={call.fence} -> {status}",
        )
        return status, None


# Databases


@dataclass(frozen=True)
class Commit:
    """Commit of a group's log."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]


class _Connection:
    def __init__(self, writer) -> None:
        self.writer = writer
        self.tenant = ""
        self.state = "I"
        self.is_read_only = False
        self.writes: list[tuple[str, str]] = []
        self.prepared: dict[str, tuple[str, str]] = {}


class Database:
    """One database of a group.

    :ivar log: commits that it has received.
    :ivar n_applied: number of them that it has applied, which reads see.
    :ivar runs: statement id, text and tenant of each statement of a client that ran.
    :ivar prepared_runs: mode, shape and arguments of each prepared statement that ran,
        by statement id.
    :ivar superseded_commits: ids of the statements that committed a write here after
        the promotion of another database had taken effect.
    :ivar is_busy: it has no slot for ``STATUS``.
    :ivar reaches_others: the other databases of the group are reached.
    :ivar work_seconds: time that a read, write or commit takes.
    """

    def __init__(self, name: str, group: "Group", is_primary: bool) -> None:
        self.name = name
        self.group = group
        self.is_primary = is_primary
        self.term = 1
        self.log: list[Commit] = []
        self.n_applied = 0
        self.is_up = False
        self.is_draining = False
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[str, str, str]] = []
        self.prepared_runs: dict[str, tuple[str, str, str]] = {}
        self.superseded_commits: dict[str, float] = {}
        self.is_busy = False
        self.reaches_others = True
        self.work_seconds = 0.003
        self.port = 0
        self._sequence = 0
        self._server = None
        # Set while bytes flow between this database and the instances.
        self._flows = asyncio.Event()
        self._flows.set()
        self._spared: tuple[str, ...] = ()
        self._connections: set[_Connection] = set()
        self._slots = asyncio.Semaphore(N_SLOTS)
        self._beat_task = None
        self._signatures = itertools.count(1)

    @property
    def position(self) -> str:
        """Position of the applied log."""
        return _format(self.log[: self.n_applied])

    @property
    def received(self) -> str:
        """Position of the received log."""
        return _format(self.log)

    async def start(self) -> None:
        """Listen, and register in the store at once."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self._beat_task = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End without a word; the entry stays until it lapses."""
        self.is_up = False
        self._beat_task.cancel()
        self._server.close()
        for connection in list(self._connections):
            connection.writer.transport.abort()
        self._record(f"{self.name} crashes at {self.received}")
        asyncio.create_task(self._lapse(self._sequence))

    def restart(self, born: int, is_primary: bool) -> None:
        """Prepare the start of a new process under the same id and address."""
        self.born, self.is_primary, self._sequence = born, is_primary, 0

    async def _lapse(self, sequence: int) -> None:
        await asyncio.sleep(LAPSE_SECONDS)
        if not self.is_up and self._sequence == sequence:
            self.group.platform.delete("servers", self.name)

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def cut(self, *spared: str) -> None:
        """Partition the database from all instances; bytes are held up.

        :param spared: tenants whose clients use only instances on this side.
        """
        self._record(f"{self.name} is cut off, but for {spared}")
        self._spared = spared
        self._flows.clear()

    async def _wait_for_flow(self, tenant: str) -> None:
        if tenant not in self._spared:
            await self._flows.wait()

    def heal(self) -> None:
        """End the partition."""
        self._record(f"{self.name} is reached again")
        self._flows.set()

    def register(self) -> None:
        """Write the own entry."""
        self._sequence += 1
        self.group.platform.put(
            "servers",
            self.name,
            {
                "service": self.group.name,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.group.zones[self.name],
                "version": "v1",
                "slots": N_SLOTS,
                "state": "draining" if self.is_draining else "ready",
                "cold_remaining_ms": 0,
                "database_role": "primary" if self.is_primary else "replica",
                "sequence": self._sequence,
                "born": self.born,
            },
        )

    def report_draining(self) -> None:
        """Announce a planned shutdown; the database goes on serving."""
        self.is_draining = True
        self._record(f"{self.name} reports draining")
        self.register()

    def set_primary(self, is_primary: bool) -> None:
        """Change the role and report it immediately."""
        if is_primary != self.is_primary:
            self.is_primary = is_primary
            role = "primary" if is_primary else "replica"
            self._record(f"{self.name} is {role} of term {self.term}")
            if self.is_up:
                self.register()

    def _record(self, text: str) -> None:
        self.group.record.write("databases", text)

    async def _serve(self, reader, writer) -> None:
        connection = _Connection(writer)
        self._connections.add(connection)
        try:
            await self._serve_session(reader, writer, connection)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _serve_session(self, reader, writer, connection) -> None:
        words = (await _read_line(reader)).split(" ")
        await self._wait_for_flow(words[2] if len(words) > 2 else "")
        has_wrong_id = len(words) > 3 and words[3] != self.name
        if words[0] != "START" or words[1] != self.group.name or has_wrong_id:
            writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        if len(self._connections) > MAX_CONNECTIONS:
            writer.write(f"ERROR OVERLOADED {self.name}\r\n".encode())
            return
        connection.tenant = words[2]
        async with self._slots:
            await asyncio.sleep(HANDSHAKE_SECONDS)
        writer.write(f"READY I {self.position}\r\n".encode())
        while True:
            line = await _read_line(reader)
            await self._wait_for_flow(connection.tenant)
            if line == "BYE":
                return
            _, statement_id, text = line.split(" ", 2)
            lines = await self._run(connection, statement_id, text)
            await self._wait_for_flow(connection.tenant)
            lines.append(f"READY {connection.state} {self.position}")
            writer.write("".join(f"{item}\r\n" for item in lines).encode())
            await writer.drain()

    async def _run(self, connection, statement_id, text) -> list[str]:
        async with self._slots:
            await asyncio.sleep(self.work_seconds)
            n_commits = len(self.log)
            lines = self._execute(connection, statement_id, text)
        if len(self.log) > n_commits and self.group.leader is not self:
            self.superseded_commits[statement_id] = self.group.record.now()
        if statement_id != "-":
            self.runs.append((statement_id, text, connection.tenant))
            self.group.record.write(
                self.name, f"{statement_id} {text} -> {' | '.join(lines)}"
            )
        return lines

    def _execute(self, connection, statement_id, text) -> list[str]:
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            wanted, _, text = rest.partition(" ")
            if not self._has_applied(wanted):
                return [f"ERROR LAGGING {self.name}"]
            verb, _, rest = text.partition(" ")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return [f"ERROR UNKNOWN {name}"]
            verb, shape = connection.prepared[name]
            self.prepared_runs[statement_id] = (verb, shape, rest)
        if verb == "STATUS" and self.is_busy:
            return [f"ERROR BUSY {self.name}"]
        if verb == "STATUS":
            return self._report_status()
        if verb == "DEMOTE":
            if int(rest) > self.term:
                self.set_primary(False)
            return self._report_status()
        if verb in ("SET", "RESET", "DEALLOCATE"):
            if verb == "RESET":
                connection.prepared.clear()
            return ["DONE -"]
        if verb == "PREPARE":
            name, mode, shape = [*rest.split(" ", 2), "", ""][:3]
            if mode not in ("READ", "WRITE") or not shape:
                return ["ERROR MALFORMED expected name, READ or WRITE, shape"]
            connection.prepared[name] = (mode, shape)
            return ["DONE -"]
        if verb == "BEGIN":
            return self._begin(connection, rest)
        if verb == "ROLLBACK":
            connection.state, connection.writes = "I", []
            return ["DONE -"]
        if verb == "COMMIT":
            return self._commit(connection)
        if verb == "READ":
            return [f"ROW {self._read(connection, rest)}", self._sign()]
        if verb == "WRITE":
            return self._write(connection, rest)
        return ["ERROR MALFORMED not a statement"]

    def _has_applied(self, wanted: str) -> bool:
        term, _, number = wanted.partition(".")
        last = self.log[self.n_applied - 1] if self.n_applied else None
        own = (last.term, last.number) if last else (self.term, 0)
        return own >= (int(term), int(number))

    def _report_status(self) -> list[str]:
        role = "primary" if self.is_primary else "replica"
        n_connections = len(self._connections)
        return [
            f"ROW {role} {self.term} {self.received} 0 0 0 {n_connections}",
            "DONE -",
        ]

    def _begin(self, connection, rest) -> list[str]:
        if rest != "READ" and not self.is_primary:
            return [f"ERROR READONLY {self.name}"]
        connection.state, connection.is_read_only = "T", rest == "READ"
        return ["DONE -"]

    def _commit(self, connection) -> list[str]:
        connection.state = "I"
        writes, connection.writes = connection.writes, []
        if writes and not self.is_primary:
            return [f"ERROR READONLY {self.name}"]
        if writes:
            self._append(writes)
        return [self._sign()]

    def _read(self, connection, item) -> str:
        for name, data in reversed(connection.writes):
            if name == item:
                return data
        for commit in reversed(self.log[: self.n_applied]):
            for name, data in reversed(commit.writes):
                if name == item:
                    return data
        return "none"

    def _write(self, connection, rest) -> list[str]:
        if not self.is_primary:
            return [f"ERROR READONLY {self.name}"]
        item, _, data = rest.partition(" ")
        if connection.state == "T":
            connection.writes.append((item, data))
        else:
            self._append([(item, data)])
        return [self._sign()]

    def _append(self, writes) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.term, number, tuple(writes))
        self.log.append(commit)
        self.n_applied = len(self.log)
        self.group.replicate(self, commit)

    def _sign(self) -> str:
        return f"DONE {self.name}.{next(self._signatures)}"


def _format(log) -> str:
    return f"{log[-1].term}.{log[-1].number}" if log else "1.0"


async def _read_line(reader) -> str:
    return (await reader.readuntil(b"\r\n")).decode()[:-2]


class Group:
    """A service: one primary and its replicas.

    :param zones: data centre of each database by name; the first one is the primary.
    """

    def __init__(
        self, name: str, zones: dict[str, str], platform: Platform, record: Record
    ) -> None:
        self.name = name
        self.zones = zones
        self.platform = platform
        self.record = record
        self.databases = {
            item: Database(item, self, is_primary=number == 0)
            for number, item in enumerate(zones)
        }
        self.leader = next(iter(self.databases.values()))

    async def start(self) -> None:
        for database in self.databases.values():
            await database.start()

    def replicate(self, primary: Database, commit: Commit) -> None:
        """Send a commit to the replicas of the newest primary."""
        if primary is not self.leader:
            return
        for replica in self.databases.values():
            if replica is not primary:
                asyncio.create_task(self._deliver(primary, replica))

    async def _deliver(self, primary: Database, replica: Database) -> None:
        """Bring a replica up to date; what it does not share is rolled back."""
        await asyncio.sleep(RECEIVE_SECONDS)
        if not (replica.is_up and primary.is_up and self.leader is primary):
            return
        if not (primary.reaches_others and replica.reaches_others):
            return
        if replica.is_primary:
            return
        log = list(primary.log)
        shared = 0
        for own, other in zip(replica.log, log, strict=False):
            if own is not other:
                break
            shared += 1
        replica.n_applied = min(replica.n_applied, shared)
        replica.log, replica.term = log, primary.term
        await asyncio.sleep(APPLY_SECONDS)
        if replica.is_up and replica.log[: len(log)] == log:
            replica.n_applied = max(replica.n_applied, len(log))

    def promote(self, name: str) -> bool:
        """Take a promotion call; return ``False`` if the database does not run."""
        database = self.databases.get(name)
        if database is None or not database.is_up:
            return False
        if database is not self.leader:
            asyncio.create_task(self._promote(database))
        return True

    async def _promote(self, database: Database) -> None:
        await asyncio.sleep(PROMOTE_SECONDS)
        if not database.is_up or database is self.leader:
            return
        old, self.leader = self.leader, database
        database.term = max(item.term for item in self.databases.values()) + 1
        database.n_applied = len(database.log)
        database.set_primary(True)
        for replica in self.databases.values():
            if replica is not database and not replica.is_primary:
                asyncio.create_task(self._deliver(database, replica))
        await self._step_down(old)

    async def _step_down(self, old: Database) -> None:
        """Have a replaced primary step down once it has reached the new one for 1 s."""
        reached_at = None
        while self.leader is not old and old.is_up and old.is_primary:
            leader = self.leader
            if not (old.reaches_others and leader.reaches_others and leader.is_up):
                reached_at = None
            elif reached_at is None:
                reached_at = self.record.now()
            elif self.record.now() - reached_at >= STEP_DOWN_SECONDS:
                old.set_primary(False)
                await self._deliver(leader, old)
            await asyncio.sleep(0.02)


# Clients


@dataclass(frozen=True)
class Answer:
    """Answer to one message; ``lines`` is empty if none came."""

    lines: tuple[str, ...] = ()

    @property
    def is_done(self) -> bool:
        return any(line.startswith("DONE") for line in self.lines)

    @property
    def code(self) -> str:
        codes = [line.split()[1] for line in self.lines if line.startswith("ERROR ")]
        return codes[0] if codes else ("" if self.lines else "NONE")

    @property
    def row(self) -> str:
        rows = [line[4:] for line in self.lines if line.startswith("ROW ")]
        return rows[0] if rows else ""

    @property
    def state(self) -> str:
        if self.lines and self.lines[-1].startswith("READY "):
            return self.lines[-1].split()[1]
        return ""


class Session:
    """Session of a client at one instance.

    :param name: for the record.
    """

    _ids = itertools.count(1)

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.last_id = ""
        self._record = record
        self._reader = None
        self._writer = None

    async def open(self, address: tuple[str, int], host: str, key: str) -> Answer:
        """Connect and send START; the answer is empty if that fails in 2 s."""
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection(
                    *address, limit=1024 * 1024
                )
                return await self._exchange(f"START {host} {key}", "START " + host)
        except (OSError, TimeoutError):
            return Answer()

    async def run(self, text: str, timeout_seconds: float = 4.0) -> Answer:
        """Send a statement; the answer is empty if none came in time."""
        self.last_id = f"{next(Session._ids):016x}"
        line = f"QUERY {self.last_id} {text}"
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._exchange(line, line)
        except (OSError, TimeoutError):
            self._record.write(self.name, f"{line} -> no answer")
            return Answer()

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()

    async def _exchange(self, line: str, shown: str) -> Answer:
        self._record.write(self.name, f"sends {shown}")
        self._writer.write(line.encode() + b"\r\n")
        lines: list[str] = []
        while data := await self._reader.readline():
            lines.append(data.decode().rstrip("\r\n"))
            if lines[-1].startswith("READY"):
                break
        else:
            if not (lines and lines[-1].startswith("ERROR")):
                lines = []
        answer = Answer(tuple(lines))
        self._record.write(self.name, f"gets {' | '.join(lines) or 'the end'}")
        return answer


# Instances


def _choose_host(number: int) -> str:
    """Return a loopback address of one instance.

    Outgoing connections use ports of 127.0.0.1 and cannot take those of an instance.
    """
    run = os.getpid()
    return f"127.{run // 250 % 250 + 1}.{run % 250 + 1}.{number + 1}"


def _find_free_ports(host: str, n_ports: int) -> list[int]:
    """Return different ports that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(n_ports)]
        for probe in probes:
            probe.bind((host, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


class PeerProxy:
    """Proxy before the peer address of an instance, which can hold bytes up.

    The handshake of a connection names its sender.
    """

    def __init__(self, target: tuple[str, int], names: list[str]) -> None:
        self._target = target
        self._names = names
        self._server = None
        self._flows: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def cut(self, sender: str, is_cut: bool) -> None:
        """Hold up, or let pass, all bytes to and from a sender."""
        flow = self._find_flow(sender)
        if is_cut:
            flow.clear()
        else:
            flow.set()

    def _find_flow(self, sender: str) -> asyncio.Event:
        if sender not in self._flows:
            self._flows[sender] = asyncio.Event()
            self._flows[sender].set()
        return self._flows[sender]

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        sender = [""]
        target = None
        try:
            target = await asyncio.open_connection(*self._target)
            forwards = (
                self._forward(reader, target[1], sender, is_from_sender=True),
                self._forward(target[0], writer, sender, is_from_sender=False),
            )
            await asyncio.gather(*forwards)
        except OSError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            if target is not None:
                target[1].close()

    async def _forward(self, reader, writer, sender, *, is_from_sender) -> None:
        head = b""
        while data := await reader.read(65536):
            if is_from_sender and not sender[0]:
                head += data
                for name in self._names:
                    if name.encode() + b"\0" in head:
                        sender[0] = name
            await self._find_flow(sender[0]).wait()
            writer.write(data)
            await writer.drain()
        writer.close()


class Instance:
    """One instance as a process of its own.

    :ivar peer_proxy: proxy whose address the other instances use, if any.
    """

    def __init__(
        self, name: str, number: int, zone: str, platform: Platform, folder: Path
    ) -> None:
        self.name = name
        self.host = _choose_host(number)
        self.zone = zone
        self._platform = platform
        self._folder = folder
        self._ports = _find_free_ports(self.host, 4)
        self.front = (self.host, self._ports[0])
        self.process: asyncio.subprocess.Process | None = None
        self.peer_proxy: PeerProxy | None = None

    @property
    def peer(self) -> tuple[str, int]:
        """Address on which it listens for other instances."""
        return (self.host, self._ports[2])

    async def start(self) -> None:
        front, ready, peer, metrics = self._ports
        fields = {
            "node": self.name,
            "role": "proxy",
            "machine_class": "front",
            "serves": "front",
            "ip": self.host,
            "zone": self.zone,
            "listen.front": f"{self.host}:{front}",
            "listen.ready": f"{self.host}:{ready}",
            "internal_ports": f"{peer},{metrics}",
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "bounds.stable_window_ms": 4000,
            "bounds.drain_ms": 7000,
            "bounds.grace_s": 6,
            "bounds.config_apply_ms": 3000,
            "bounds.quota_window_s": 5,
            "bounds.quota_overshoot": 0.1,
            "bounds.quota_slack": 20,
            "bounds.require_fencing": "false",
            "platform.address": self._platform.address,
            "platform.form": "objects",
            "cloud.address": self._platform.address,
            "cloud.duties": "promotion",
        }
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()), "utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["SARDINEMILL_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        if self.peer_proxy is not None:
            environment["SARDINEMILL_ADVERTISED_PEER"] = self.peer_proxy.address
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *INSTANCE_COMMAND, stdout=log, stderr=log, cwd=ROOT, env=environment
            )

    async def is_ready(self) -> bool:
        """Ask the readiness probe as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self._ports[1]
                )
                writer.write(
                    b"GET /sardinemill/readiness HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200" in line

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.send_signal(signal.SIGCONT)
            await self.process.wait()

    def list_events(self, name: str) -> list[dict]:
        """Return the log events of a name."""
        found = []
        path = self._folder / f"{self.name}.log"
        for line in path.read_text("utf-8", "replace").splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("name") == name:
                    found.append(event)
        return found


class Deployment:
    """Platform, groups and instances of one script.

    :param folder: of the case; receives ``record.txt``.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.platform = Platform(self.record)
        self.groups: dict[str, Group] = {}
        self.instances: list[Instance] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._version = itertools.count(1)

    def add_group(self, name: str, zones: dict[str, str]) -> Group:
        group = Group(name, zones, self.platform, self.record)
        self.groups[name] = group
        return group

    def add_instance(self, name: str, zone: str) -> Instance:
        instance = Instance(
            name, len(self.instances), zone, self.platform, self._folder
        )
        self.instances.append(instance)
        return instance

    async def add_peer_proxies(self) -> None:
        """Put a proxy before the peer address of each instance, before the start."""
        names = [item.name for item in self.instances]
        for instance in self.instances:
            instance.peer_proxy = PeerProxy(instance.peer, names)
            await instance.peer_proxy.start()

    def cut_peers(self, name: str, is_cut: bool) -> None:
        """Cut one instance off from all others, or end that."""
        for instance in self.instances:
            for other in self.instances:
                if name in (instance.name, other.name) and instance is not other:
                    instance.peer_proxy.cut(other.name, is_cut)

    def write_configuration(self, routes: list[dict], tenants: list[dict]) -> None:
        """Write the next desired state, as the operator does."""
        spec = {
            "version": next(self._version),
            "routes": routes,
            "services": [
                {"name": name, "max_connections": MAX_CONNECTIONS}
                for name in self.groups
            ],
            "limits": {"transaction_idle_ms": 3000},
            "tenants": tenants,
        }
        self.platform.put("config", "main", spec)

    async def start(self, routes: list[dict], tenants: list[dict]) -> None:
        """Start everything and wait until all instances are ready."""
        await self.platform.start()
        self.platform.promote = lambda group, name: self.groups[group].promote(name)
        for group in self.groups.values():
            await group.start()
        self.write_configuration(routes, tenants)
        for instance in self.instances:
            await instance.start()
        for _ in range(300):
            await asyncio.sleep(0.1)
            ready = [await instance.is_ready() for instance in self.instances]
            if all(ready):
                return
        raise TimeoutError("the instances did not become ready")

    async def stop(self) -> None:
        """End all processes."""
        for instance in self.instances:
            await instance.kill()
            if instance.peer_proxy is not None:
                instance.peer_proxy.stop()
        self.platform.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def make_route(host: str, group: str, kind: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": f"r-{host}",
        "host": host,
        "path_prefix": "/",
        "kind": kind,
        "service": group,
        "timeout_ms": 800,
        "target_latency_ms": 150,
        "priority": 1,
        "retry_attempts": 2,
        "max_staleness_ms": 0,
        "allow_anonymous": False,
        **fields,
    }


def make_tenant(name: str, *keys: str) -> dict:
    """Return a tenant with ample limits."""
    return {
        "name": name,
        "api_keys": list(keys),
        "requests_per_s": 500,
        "burst": 500,
    }


def has_trouble() -> bool:
    """Return whether the script shall disrupt anything."""
    return os.environ["TROUBLE"] == "1"


def run_script(folder: Path, scenario) -> None:
    """Run a scenario and exit: 1 if the rule was broken, 0 if not, 2 if it failed.

    :param scenario: coroutine function that takes a deployment and returns a list of
        texts, each a violation.
    """

    async def run() -> list[str]:
        deployment = Deployment(folder)
        deployment.record.write("script", f"TROUBLE={int(has_trouble())}")
        try:
            async with asyncio.timeout(float(os.environ.get("LIMIT", "100"))):
                violations = await scenario(deployment)
            for text in violations:
                deployment.record.write("BROKEN", text)
            return violations
        finally:
            await deployment.stop()

    try:
        violations = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for text in violations[:10]:
        print("BROKEN", text)
    print(f"{len(violations)} violations")
    sys.exit(1 if violations else 0)
