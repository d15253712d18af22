"""Stand-in for a group of databases that speak the line protocol of the platform.

It is the counterpart of ``sardinemill.platform.database_connection``; a database of the
HTTP instances is :mod:`~sardinemill.emulator.database_server`.

The log is a list of commits, each with a term. Replicas hold a prefix of it; tests
set their position.
"""

import asyncio
from dataclasses import dataclass, replace

MAX_LINE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Commit:
    """One commit of the group's log.

    :param session: identifier of the connection that committed it.
    """

    term: int
    writes: tuple[tuple[str, str], ...]
    session: int


class _ConnectionState:
    """State of one client connection.

    :ivar prepared_statements: mode (``READ`` or other) and text by name.
    :ivar state: ``I`` when idle, ``T`` in a transaction.
    :ivar n_transactions: number of transactions that it has begun.
    :ivar writes: items and values that are not committed yet.
    """

    def __init__(self, connection_id: int) -> None:
        self.connection_id = connection_id
        self.workspace = ""
        self.session_variables: dict[str, str] = {}
        self.prepared_statements: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.n_transactions = 0
        self.is_read_only = False
        self.writes: list[tuple[str, str]] = []


@dataclass(frozen=True, slots=True)
class ExecutedStatement:
    """Statement of a client that a database has executed.

    :param prepared: mode (``READ`` or ``WRITE``) and shape of the prepared statement
        that it executes, if there is one.
    :param transaction: number of the connection's transaction, 0 outside one.
    :param is_read_only: whether the transaction is read-only.
    :param answer: lines of the answer without the last one.
    """

    statement_id: str
    text: str
    workspace: str
    connection: int
    session_variables: tuple[tuple[str, str], ...]
    prepared: tuple[str, str] | None = None
    transaction: int = 0
    is_read_only: bool = False
    answer: tuple[str, ...] = ()


class LineProtocolDatabase:
    """One database of a group.

    :ivar log: commits in order.
    :ivar is_up: whether it receives commits as a replica; callers set it along with
        :meth:`start` and :meth:`stop`, which leave it unchanged.
    :ivar executed_statements: statements of clients in the order of execution; the
        instance's own queries, which have the identifier ``-``, are left out.
    :ivar n_lost_answers: number of further statements of clients that are executed and
        whose answers are lost.
    :ivar answer_delay_seconds: delay of the answers to statements of clients, after
        their execution.
    :ivar n_status_requests: number of ``STATUS`` and ``DEMOTE`` requests.
    :ivar replicas: databases that :meth:`append_commit` replicates to.
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
        self.answer_delay_seconds = 0.0
        self.n_status_requests = 0
        self.replicas: list[LineProtocolDatabase] = []
        self._n_connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Start to listen, the first time on an ephemeral port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and abort all connections, as in a crash."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def promote(self) -> None:
        """Become primary of the next term with the present log.

        Does nothing when the database is primary already.
        """
        if not self.is_primary:
            self.is_primary = True
            self.term += 1

    @property
    def position(self) -> str:
        """Position of the last commit in the format of the protocol."""
        return f"{self.log[-1].term if self.log else self.term}.{len(self.log)}"

    def read_item(self, item: str) -> str:
        """Return the value of an item, ``-`` if it was never written."""
        for commit in reversed(self.log):
            for name, value in reversed(commit.writes):
                if name == item:
                    return value
        return "-"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._n_connections += 1
        connection = _ConnectionState(self._n_connections)
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer, connection)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _ConnectionState,
    ) -> None:
        words = (await reader.readuntil(b"\r\n")).decode().split()
        if words[0] != "START" or words[1] != self.group or words[3] != self.name:
            writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        connection.workspace = words[2]
        writer.write(f"READY I {self.position}\r\n".encode())
        while True:
            data = await reader.readuntil(b"\r\n")
            line = data.decode(errors="surrogateescape")[:-2]
            if line == "BYE":
                return
            _, statement_id, text = line.split(" ", 2)
            lines = self._execute_request(connection, statement_id, text)
            self._record_answer(statement_id, lines)
            if self.n_lost_answers and statement_id != "-":
                self.n_lost_answers -= 1
                continue
            if self.answer_delay_seconds and statement_id != "-":
                await asyncio.sleep(self.answer_delay_seconds)
            lines.append(f"READY {connection.state} {self.position}")
            answer = "".join(f"{item}\r\n" for item in lines)
            writer.write(answer.encode(errors="surrogateescape"))

    def _record_answer(self, statement_id: str, lines: list[str]) -> None:
        if statement_id != "-":
            executed = self.executed_statements[-1]
            self.executed_statements[-1] = replace(executed, answer=tuple(lines))

    def _execute_request(
        self, connection: _ConnectionState, statement_id: str, text: str
    ) -> list[str]:
        if statement_id != "-":
            session_variables = tuple(sorted(connection.session_variables.items()))
            prepared = None
            words = text.split(" ", 4)
            if words[0] == "AFTER":
                words = words[2:]
            if words[0] == "EXECUTE":
                prepared = connection.prepared_statements.get(words[1])
            in_transaction = connection.state == "T"
            self.executed_statements.append(
                ExecutedStatement(
                    statement_id,
                    text,
                    connection.workspace,
                    connection.connection_id,
                    session_variables,
                    prepared,
                    connection.n_transactions if in_transaction else 0,
                    in_transaction and connection.is_read_only,
                )
            )
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            wanted, _, text = rest.partition(" ")
            if not self._has_applied(wanted):
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
        return answers[verb](connection, rest)

    def _has_applied(self, wanted: str) -> bool:
        term, _, offset = wanted.partition(".")
        last = self.log[-1].term if self.log else self.term
        return (last, len(self.log)) >= (int(term), int(offset))

    def _begin(self, connection: _ConnectionState, rest: str) -> list[str]:
        if rest != "READ" and not self.is_primary:
            return [f"ERROR READONLY {self.name}"]
        connection.state, connection.is_read_only = "T", rest == "READ"
        connection.n_transactions += 1
        return ["DONE -"]

    def _commit(self, connection: _ConnectionState, rest: str) -> list[str]:
        if connection.state != "T" or (connection.writes and not self.is_primary):
            connection.state = "I"
            connection.writes.clear()
            return [f"ERROR READONLY {self.name}"]
        self._append(connection)
        connection.state = "I"
        return [self._make_done_line()]

    def _append(self, connection: _ConnectionState) -> None:
        if not connection.writes:
            return
        commit = Commit(self.term, tuple(connection.writes), connection.connection_id)
        connection.writes.clear()
        self.append_commit(commit)

    def append_commit(self, commit: Commit) -> None:
        """Append a commit here and at the replicas that hold all earlier commits."""
        self.log.append(commit)
        for replica in self.replicas:
            if replica.is_up and len(replica.log) == len(self.log) - 1:
                replica.log.append(commit)

    def _roll_back(self, connection: _ConnectionState, rest: str) -> list[str]:
        connection.state = "I"
        connection.writes.clear()
        return ["DONE -"]

    def _read(self, connection: _ConnectionState, rest: str) -> list[str]:
        own_write = dict(connection.writes).get(rest)
        return [
            f"ROW {self.read_item(rest) if own_write is None else own_write}",
            self._make_done_line(),
        ]

    def _write(self, connection: _ConnectionState, rest: str) -> list[str]:
        if not self.is_primary or (connection.is_read_only and connection.state == "T"):
            return [f"ERROR READONLY {self.name}"]
        item, _, value = rest.partition(" ")
        connection.writes.append((item, value))
        if connection.state == "I":
            self._append(connection)
        return [self._make_done_line()]

    def _set(self, connection: _ConnectionState, rest: str) -> list[str]:
        name, _, value = rest.partition(" ")
        connection.session_variables[name] = value
        return ["DONE -"]

    def _prepare(self, connection: _ConnectionState, rest: str) -> list[str]:
        name, mode, text = rest.split(" ", 2)
        connection.prepared_statements[name] = (mode, text)
        return ["DONE -"]

    def _execute(self, connection: _ConnectionState, rest: str) -> list[str]:
        name, _, arguments = rest.partition(" ")
        if name not in connection.prepared_statements:
            return ["ERROR UNKNOWN no such name"]
        mode, _ = connection.prepared_statements[name]
        return (
            self._read(connection, arguments)
            if mode == "READ"
            else self._write(connection, arguments)
        )

    def _reset(self, connection: _ConnectionState, rest: str) -> list[str]:
        connection.session_variables.clear()
        connection.prepared_statements.clear()
        return ["DONE -"]

    def _status(self, connection: _ConnectionState, rest: str) -> list[str]:
        self.n_status_requests += 1
        role = "primary" if self.is_primary else "replica"
        row = f"ROW {role} {self.term} {self.position} 0 0 0 {len(self._writers)}"
        return [row, "DONE -"]

    def _demote(self, connection: _ConnectionState, rest: str) -> list[str]:
        # The fencing term is not adopted; only a promotion raises the term.
        if int(rest) > self.term:
            self.is_primary = False
        return self._status(connection, "")

    def _make_done_line(self) -> str:
        # Name and number stand for the database's signature of the answer.
        return f"DONE {self.name}.{len(self.executed_statements)}"
