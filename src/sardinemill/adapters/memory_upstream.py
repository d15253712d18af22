"""Upstream in memory: one database, no replication, SQL by the standard library."""

import sqlite3

from ..errors import StatementError
from ..groups import DatabaseDescription
from ..messages import UpstreamCall, UpstreamResult
from ..positions import LogPosition


class MemoryDatabase:
    """Workspaces of one database, each its own SQLite database in memory."""

    def __init__(self) -> None:
        self._workspaces: dict[str, sqlite3.Connection] = {}
        self._n_commits = 0

    def run(self, call: UpstreamCall) -> UpstreamResult:
        """Run one statement and commit it.

        :raises StatementError: when SQLite rejects the statement.
        """
        connection = self._workspaces.get(call.workspace)
        if connection is None:
            connection = sqlite3.connect(":memory:")
            self._workspaces[call.workspace] = connection
        if call.statement is None:
            raise StatementError("transactions are not supported", step="run")
        try:
            with connection:
                cursor = connection.execute(
                    call.statement.sql, call.statement.parameters
                )
                rows = tuple(cursor.fetchall())
        except sqlite3.Error as error:
            raise StatementError(str(error), step="run") from error
        self._n_commits += 1
        return UpstreamResult(
            call_id=call.call_id,
            columns=tuple(column[0] for column in cursor.description or ()),
            rows=rows,
            n_changed=max(cursor.rowcount, 0),
            position=LogPosition(1, self._n_commits),
            is_primary=True,
        )


class MemoryConnection:
    """Connection to a :class:`MemoryDatabase`."""

    def __init__(self, database: MemoryDatabase) -> None:
        self._database = database

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        return self._database.run(call)

    async def close(self) -> None:
        """Nothing to release."""


class MemoryConnector:
    """Connector whose databases live in this process."""

    def __init__(self) -> None:
        self._databases: dict[str, MemoryDatabase] = {}

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> MemoryConnection:
        return MemoryConnection(
            self._databases.setdefault(database.name, MemoryDatabase())
        )
