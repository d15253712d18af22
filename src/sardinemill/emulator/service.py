"""Asynchronous calls of a database: write locks, long polls and idle timeout.

Servers and in-memory connections share it; it runs on one event loop.
"""

import asyncio
from collections.abc import Callable

from ..errors import UpstreamBusy
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
from .database import Database
from .log import AppendAnswer, AppendOrder

# Shorter than the usual request timeout of 10 s, so that the caller gets the outcome
# "not run" instead of a timeout.
LOCK_TIMEOUT_SECONDS = 5.0


class ChangeSignal:
    """Wakes every task that waits for a change of state."""

    def __init__(self) -> None:
        self._waiters: list[asyncio.Future[None]] = []

    def notify(self) -> None:
        """Wake all waiting tasks."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Return after the next change."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)


class DatabaseService:
    """Runs calls against a database and wakes the tasks that wait for its changes.

    :param read_time: returns seconds, on one clock for the whole group, since the
        age of replicated idempotency keys is judged by any primary.
    """

    def __init__(self, database: Database, read_time: Callable[[], float]) -> None:
        self.database = database
        self.changed = ChangeSignal()
        self._read_time = read_time

    async def run(self, connection: int, call: UpstreamCall) -> UpstreamResult:
        """Run a call once no other connection holds the write lock that it needs.

        :raises UpstreamBusy: when the lock was not released within
            ``LOCK_TIMEOUT_SECONDS``.
        :raises UpstreamError: see :meth:`Database.run`.
        """
        try:
            async with asyncio.timeout(LOCK_TIMEOUT_SECONDS):
                while self._must_wait(connection, call):
                    await self.changed.wait()
        except TimeoutError as error:
            raise UpstreamBusy(
                "the workspace stayed locked", step="lock", peer=self.database.name
            ) from error
        position = self.database.position
        try:
            return self.database.run(connection, call, self._read_time())
        finally:
            # These calls release the write lock.
            is_end = call.action in (Action.COMMIT, Action.ROLLBACK)
            if is_end or self.database.position != position:
                self.changed.notify()

    async def report(
        self, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        """Report the state once the log has reached ``wait_for``.

        Reports earlier when the term changes or after ``timeout_seconds``.
        """
        term = self.database.fenced_term
        try:
            async with asyncio.timeout(timeout_seconds):
                while (
                    wait_for is not None
                    and self.database.position < wait_for
                    and self.database.fenced_term == term
                ):
                    await self.changed.wait()
        except TimeoutError:
            pass
        return self.database.report()

    def fence(self, request: FenceRequest) -> FenceAnswer:
        """See :meth:`Database.fence`."""
        answer = self.database.fence(request)
        self.changed.notify()
        return answer

    def admit(self, request: AdmitRequest) -> DatabaseReport:
        """See :meth:`Database.admit`."""
        return self.database.admit(request)

    def promote(self, request: PromoteRequest) -> PromoteAnswer:
        """See :meth:`Database.promote`."""
        answer = self.database.promote(request)
        self.changed.notify()
        return answer

    def append(self, order: AppendOrder) -> AppendAnswer:
        """See :meth:`Database.append`."""
        answer = self.database.append(order)
        self.changed.notify()
        return answer

    def close_connection(self, connection: int) -> None:
        """Roll back the open transaction of a closed connection."""
        self.database.close_connection(connection)
        self.changed.notify()

    def expire(self) -> None:
        """Roll back transactions that exceeded the idle timeout."""
        self.database.expire_transactions(self._read_time())
        self.changed.notify()

    def _must_wait(self, connection: int, call: UpstreamCall) -> bool:
        is_write = call.action is Action.BEGIN or (
            call.action is Action.STATEMENT
            and call.statement is not None
            and call.statement.kind is StatementKind.WRITE
        )
        # A database that is not the primary rejects writes without waiting.
        return (
            is_write
            and self.database.is_primary
            and self.database.is_locked(connection, call.workspace)
        )
