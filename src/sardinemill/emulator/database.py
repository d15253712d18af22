"""State machine of one database of a group: tables, transactions, idempotency.

It does no input or output and reads no clock; callers pass the time.
"""

from ..errors import (
    IdempotencyKeyReused,
    StatementError,
    TransactionClosed,
    UpstreamBusy,
    UpstreamError,
    UpstreamFenced,
)
from ..messages import Action, StatementKind, UpstreamCall, UpstreamResult
from ..positions import LogPosition
from ..replication import (
    AdmitRequest,
    DatabaseReport,
    FenceAnswer,
    FenceRequest,
    PromoteAnswer,
    PromoteRequest,
)
from .log import AppendAnswer, AppendOrder, LogEntry
from .member import GroupMember
from .workspaces import (
    Access,
    LoggedStatement,
    ResultSet,
    WorkspaceData,
    make_idempotency_statements,
)

TRANSACTION_IDLE_TIMEOUT_SECONDS = 15.0
IDEMPOTENCY_RETENTION_SECONDS = 24 * 3600.0


class _Transaction:
    """Open transaction; it changes a copy of the tables, which isolates readers.

    It holds the write lock of its workspace until it ends.
    """

    def __init__(
        self, workspace: str, data: WorkspaceData, last_used_at: float
    ) -> None:
        self.workspace = workspace
        self.data = data
        self.last_used_at = last_used_at
        self.statements: list[LoggedStatement] = []


class Database:
    """One database of a group.

    :param incarnation: changes with each restart, since the data is in memory.
    :param is_initial_primary: starts a new group as primary of term 1.
    :param is_rejoining: see :class:`GroupMember`.
    :ivar n_divergent_entries: number of log entries that failed when applied.
    """

    def __init__(
        self,
        name: str,
        group: str,
        incarnation: str,
        *,
        is_initial_primary: bool,
        is_rejoining: bool = False,
    ) -> None:
        self.name = name
        self.member = GroupMember(
            name,
            group,
            incarnation,
            is_initial_primary=is_initial_primary,
            is_rejoining=is_rejoining,
        )
        self.n_divergent_entries = 0
        self._workspaces: dict[str, WorkspaceData] = {}
        self._transactions: dict[int, _Transaction] = {}

    @property
    def position(self) -> LogPosition:
        """Position of the last entry of the log."""
        return self.member.position

    @property
    def fenced_term(self) -> int:
        """Highest term that this database has accepted."""
        return self.member.fenced_term

    @property
    def is_primary(self) -> bool:
        """Whether this database accepts writes."""
        return self.member.is_primary

    def report(self) -> DatabaseReport:
        """Return a report of the current state."""
        return self.member.report()

    def fence(self, request: FenceRequest) -> FenceAnswer:
        """Fence the database; a new term rolls back all open transactions."""
        answer = self.member.fence(request)
        self._roll_back_if_superseded()
        return answer

    def admit(self, request: AdmitRequest) -> DatabaseReport:
        """See :meth:`GroupMember.admit`."""
        return self.member.admit(request)

    def promote(self, request: PromoteRequest) -> PromoteAnswer:
        """See :meth:`GroupMember.promote`."""
        return self.member.promote(request)

    def append(self, order: AppendOrder) -> AppendAnswer:
        """Append entries from a primary and apply them to the tables."""
        result = self.member.append(order)
        self._roll_back_if_superseded()
        removed = {entry.workspace for entry in result.removed}
        self._rebuild_workspaces(removed, len(result.added))
        for entry in result.added:
            self._apply(entry)
        return result.answer

    def _roll_back_if_superseded(self) -> None:
        if not self.is_primary:
            for connection in list(self._transactions):
                self._roll_back(connection)

    def _rebuild_workspaces(self, workspaces: set[str], n_unapplied: int) -> None:
        """Replay the log for workspaces whose entries were truncated."""
        for workspace in workspaces:
            data = self._workspaces.pop(workspace, None)
            if data is not None:
                data.close()
        if workspaces:
            entries = self.member.entries
            for entry in entries[: len(entries) - n_unapplied]:
                if entry.workspace in workspaces:
                    self._apply(entry)

    def _apply(self, entry: LogEntry) -> None:
        if not entry.statements:
            return
        try:
            self._open_workspace(entry.workspace).apply(entry.statements)
        except StatementError:
            # Only a non-deterministic statement fails here; it must not stop the
            # replication of the others.
            self.n_divergent_entries += 1

    def _open_workspace(self, workspace: str) -> WorkspaceData:
        data = self._workspaces.get(workspace)
        if data is None:
            data = self._workspaces[workspace] = WorkspaceData()
        return data

    # Statements and transactions

    def run(self, connection: int, call: UpstreamCall, now: float) -> UpstreamResult:
        """Run one call of a connection.

        :param connection: identifier of the connection, which owns a transaction.
        :param now: seconds, on one clock for the whole group.
        :raises UpstreamError: with outcome *not run*; nothing was changed.
        """
        if call.action is Action.ROLLBACK:
            self._find_transaction(connection, call)
            self._roll_back(connection)
            return self._make_result(call, ResultSet())
        if call.action is Action.COMMIT:
            return self._commit(connection, call, now)
        if call.action is Action.BEGIN:
            return self._begin(connection, call, now)
        if call.statement is None:
            raise StatementError("the call has no statement", step="run")
        if call.action is Action.TRANSACTION_STATEMENT:
            return self._run_in_transaction(connection, call, now)
        if call.statement.kind is StatementKind.READ:
            return self._read(call)
        return self._write(call, now)

    def is_locked(self, connection: int, workspace: str) -> bool:
        """Return whether another connection's transaction holds the write lock."""
        return any(
            transaction.workspace == workspace and holder != connection
            for holder, transaction in self._transactions.items()
        )

    def close_connection(self, connection: int) -> None:
        """Roll back the open transaction of a closed connection."""
        self._roll_back(connection)

    def expire_transactions(self, now: float) -> None:
        """Roll back transactions that exceeded the idle timeout."""
        for connection, transaction in list(self._transactions.items()):
            if now - transaction.last_used_at >= TRANSACTION_IDLE_TIMEOUT_SECONDS:
                self._roll_back(connection)

    def _roll_back(self, connection: int) -> None:
        transaction = self._transactions.pop(connection, None)
        if transaction is not None:
            transaction.data.close()

    def _check_position(self, call: UpstreamCall) -> None:
        if self.position < call.minimum_position:
            raise UpstreamError(
                "the log is below the required position", step="read", peer=self.name
            )

    def _check_primary(self, call: UpstreamCall) -> None:
        # Term 0 matches any current term.
        if not self.is_primary or call.expected_term not in (0, self.fenced_term):
            raise UpstreamFenced(
                f"not the primary of term {call.expected_term}",
                step="write",
                peer=self.name,
            )

    def _check_lock(self, connection: int, workspace: str) -> None:
        if self.is_locked(connection, workspace):
            raise UpstreamBusy(
                "the workspace is locked by a transaction", step="lock", peer=self.name
            )

    def _read(self, call: UpstreamCall) -> UpstreamResult:
        self._check_position(call)
        data = self._open_workspace(call.workspace)
        return self._make_result(call, data.run(_get_statement(call), Access.READ))

    def _write(self, call: UpstreamCall, now: float) -> UpstreamResult:
        self._check_primary(call)
        # No connection has the identifier -1, so every open transaction blocks.
        self._check_lock(-1, call.workspace)
        data = self._open_workspace(call.workspace)
        repeat = self._find_repeat(data, call)
        if repeat is not None:
            return repeat
        statement = _get_statement(call)
        result = data.run(statement, Access.WRITE)
        return self._log_write(call, data, [statement], result, now)

    def _begin(self, connection: int, call: UpstreamCall, now: float) -> UpstreamResult:
        self._check_primary(call)
        self._check_position(call)
        # Also blocks a second transaction of the same connection.
        self._check_lock(-1, call.workspace)
        self._transactions[connection] = _Transaction(
            workspace=call.workspace,
            data=self._open_workspace(call.workspace).copy(),
            last_used_at=now,
        )
        return self._make_result(call, ResultSet())

    def _run_in_transaction(
        self, connection: int, call: UpstreamCall, now: float
    ) -> UpstreamResult:
        self._check_primary(call)
        transaction = self._find_transaction(connection, call)
        transaction.last_used_at = now
        statement = _get_statement(call)
        assert call.statement is not None
        if call.statement.kind is StatementKind.READ:
            result = transaction.data.run(statement, Access.READ)
        else:
            result = transaction.data.run(statement, Access.WRITE)
            transaction.statements.append(statement)
        return self._make_result(call, result)

    def _commit(
        self, connection: int, call: UpstreamCall, now: float
    ) -> UpstreamResult:
        self._check_primary(call)
        # First, since a repeated commit may find its transaction ended.
        repeat = self._find_repeat(self._open_workspace(call.workspace), call)
        if repeat is not None:
            self._roll_back(connection)
            return repeat
        transaction = self._find_transaction(connection, call)
        if not transaction.statements and call.idempotency_key is None:
            self._roll_back(connection)
            return self._make_result(call, ResultSet())
        del self._transactions[connection]
        self._workspaces[call.workspace].close()
        self._workspaces[call.workspace] = transaction.data
        return self._log_write(
            call, transaction.data, transaction.statements, ResultSet(), now
        )

    def _find_transaction(self, connection: int, call: UpstreamCall) -> _Transaction:
        transaction = self._transactions.get(connection)
        if transaction is None or transaction.workspace != call.workspace:
            raise TransactionClosed(
                "no transaction is open", step="transaction", peer=self.name
            )
        return transaction

    def _find_repeat(
        self, data: WorkspaceData, call: UpstreamCall
    ) -> UpstreamResult | None:
        if call.idempotency_key is None:
            return None
        record = data.find_idempotency_record(call.idempotency_key)
        if record is None:
            return None
        if record.body_hash != call.body_hash:
            raise IdempotencyKeyReused(
                "the idempotency key belongs to another request",
                step="write",
                peer=self.name,
            )
        return self._make_result(call, record.result, is_repeat=True)

    def _log_write(
        self,
        call: UpstreamCall,
        data: WorkspaceData,
        statements: list[LoggedStatement],
        result: ResultSet,
        now: float,
    ) -> UpstreamResult:
        logged = tuple(statements)
        if call.idempotency_key is not None:
            record = make_idempotency_statements(
                call.idempotency_key,
                call.body_hash,
                result,
                now,
                IDEMPOTENCY_RETENTION_SECONDS,
            )
            data.apply(record)
            # In the same entry, so that a new primary that has the write has its key.
            logged += record
        self.member.add(call.workspace, logged)
        return self._make_result(call, result)

    def _make_result(
        self, call: UpstreamCall, result: ResultSet, *, is_repeat: bool = False
    ) -> UpstreamResult:
        return UpstreamResult(
            call_id=call.call_id,
            columns=result.columns,
            rows=result.rows,
            n_changed=result.n_changed,
            position=self.position,
            is_primary=self.is_primary,
            is_repeat=is_repeat,
        )


def _get_statement(call: UpstreamCall) -> LoggedStatement:
    assert call.statement is not None
    return LoggedStatement(
        sql=call.statement.sql, parameters=tuple(call.statement.parameters)
    )
