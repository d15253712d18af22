"""Stand-in for a group of databases that speak the wire of sessions.

The log is a list of commits with a term each. Replicas hold a prefix of it; a test
sets how far they are.
"""

import asyncio
from dataclasses import dataclass

MAX_LINE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Commit:
    """One commit of the group's log.

    :param session: connection that made it.
    """

    term: int
    writes: tuple[tuple[str, str], ...]
    session: int


class _Peer:
    """State of one connection at a database."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.workspace = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.is_read_only = False
        self.writes: list[tuple[str, str]] = []


@dataclass(frozen=True, slots=True)
class ExecutedStatement:
    """Statement of a client that a database has run."""

    statement_id: str
    text: str
    workspace: str
    connection: int
    values: tuple[tuple[str, str], ...]


class LineProtocolDatabase:
    """One database of a group.

    :ivar log: commits that it holds.
    :ivar is_up: it accepts connections and answers.
    :ivar n_lost_answers: number of answers that get lost from now on.
    """

    def __init__(self, name: str, group: str, *, is_primary: bool = False) -> None:
        self.name = name
        self.group = group
        self.is_primary = is_primary
        self.term = 1
        self.log: list[Commit] = []
        self.executed_statements: list[ExecutedStatement] = []
        self.is_up = True
        self.n_lost_answers = 0
        self.n_status = 0
        self.replicas: list[LineProtocolDatabase] = []
        self._n_connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen; the first time on a port that the kernel picks."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Crash: close everything at once."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def promote(self) -> None:
        """Lead the next term with the log as it is."""
        if not self.is_primary:
            self.is_primary = True
            self.term += 1

    @property
    def position(self) -> str:
        """Position as the wire shows it."""
        return f"{self.log[-1].term if self.log else self.term}.{len(self.log)}"

    def find(self, item: str) -> str:
        """Value of an item, ``-`` if it was never written."""
        for commit in reversed(self.log):
            for name, value in reversed(commit.writes):
                if name == item:
                    return value
        return "-"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._n_connections += 1
        peer = _Peer(self._n_connections)
        self._writers.add(writer)
        try:
            await self._converse(reader, writer, peer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: _Peer
    ) -> None:
        words = (await reader.readuntil(b"\r\n")).decode().split()
        if words[0] != "START" or words[1] != self.group or words[3] != self.name:
            writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        peer.workspace = words[2]
        writer.write(f"READY I {self.position}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            if line == "BYE":
                return
            _, statement_id, text = line.split(" ", 2)
            lines = self._answer(peer, statement_id, text)
            if self.n_lost_answers and statement_id != "-":
                self.n_lost_answers -= 1
                continue
            lines.append(f"READY {peer.state} {self.position}")
            writer.write("".join(f"{item}\r\n" for item in lines).encode())

    def _answer(self, peer: _Peer, statement_id: str, text: str) -> list[str]:
        if statement_id != "-":
            values = tuple(sorted(peer.values.items()))
            self.executed_statements.append(
                ExecutedStatement(
                    statement_id, text, peer.workspace, peer.number, values
                )
            )
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            wanted, _, text = rest.partition(" ")
            if not self._holds(wanted):
                return [f"ERROR LAGGING {self.name}"]
            verb, _, rest = text.partition(" ")
        answers = {
            "BEGIN": self._begin,
            "COMMIT": self._commit,
            "ROLLBACK": self._roll_back,
            "READ": self._read,
            "WRITE": self._write,
            "SET": self._set,
            "PREPARE": self._prepare,
            "EXECUTE": self._execute,
            "RESET": self._reset,
            "STATUS": self._status,
            "DEMOTE": self._demote,
        }
        return answers[verb](peer, rest)

    def _holds(self, wanted: str) -> bool:
        term, _, number = wanted.partition(".")
        last = self.log[-1].term if self.log else self.term
        return (last, len(self.log)) >= (int(term), int(number))

    def _begin(self, peer: _Peer, rest: str) -> list[str]:
        if rest != "READ" and not self.is_primary:
            return [f"ERROR READONLY {self.name}"]
        peer.state, peer.is_read_only = "T", rest == "READ"
        return ["DONE -"]

    def _commit(self, peer: _Peer, rest: str) -> list[str]:
        if peer.state != "T" or (peer.writes and not self.is_primary):
            peer.state = "I"
            peer.writes.clear()
            return [f"ERROR READONLY {self.name}"]
        self._append(peer)
        peer.state = "I"
        return [self._sign()]

    def _append(self, peer: _Peer) -> None:
        if not peer.writes:
            return
        commit = Commit(self.term, tuple(peer.writes), peer.number)
        peer.writes.clear()
        self.append_commit(commit)

    def append_commit(self, commit: Commit) -> None:
        """Add a commit here and at the replicas that hold all before it."""
        self.log.append(commit)
        for replica in self.replicas:
            if replica.is_up and len(replica.log) == len(self.log) - 1:
                replica.log.append(commit)

    def _roll_back(self, peer: _Peer, rest: str) -> list[str]:
        peer.state = "I"
        peer.writes.clear()
        return ["DONE -"]

    def _read(self, peer: _Peer, rest: str) -> list[str]:
        own = dict(peer.writes).get(rest)
        return [f"ROW {self.find(rest) if own is None else own}", self._sign()]

    def _write(self, peer: _Peer, rest: str) -> list[str]:
        if not self.is_primary or (peer.is_read_only and peer.state == "T"):
            return [f"ERROR READONLY {self.name}"]
        item, _, value = rest.partition(" ")
        peer.writes.append((item, value))
        if peer.state == "I":
            self._append(peer)
        return [self._sign()]

    def _set(self, peer: _Peer, rest: str) -> list[str]:
        name, _, value = rest.partition(" ")
        peer.values[name] = value
        return ["DONE -"]

    def _prepare(self, peer: _Peer, rest: str) -> list[str]:
        name, mode, shape = rest.split(" ", 2)
        peer.prepared[name] = (mode, shape)
        return ["DONE -"]

    def _execute(self, peer: _Peer, rest: str) -> list[str]:
        name, _, arguments = rest.partition(" ")
        if name not in peer.prepared:
            return ["ERROR UNKNOWN no such name"]
        mode, _ = peer.prepared[name]
        return (
            self._read(peer, arguments)
            if mode == "READ"
            else self._write(peer, arguments)
        )

    def _reset(self, peer: _Peer, rest: str) -> list[str]:
        peer.values.clear()
        peer.prepared.clear()
        return ["DONE -"]

    def _status(self, peer: _Peer, rest: str) -> list[str]:
        self.n_status += 1
        role = "primary" if self.is_primary else "replica"
        row = f"ROW {role} {self.term} {self.position} 0 0 0 {len(self._writers)}"
        return [row, "DONE -"]

    def _demote(self, peer: _Peer, rest: str) -> list[str]:
        if int(rest) > self.term:
            self.is_primary = False
        return self._status(peer, "")

    def _sign(self) -> str:
        return f"DONE {self.name}.{len(self.executed_statements)}"
