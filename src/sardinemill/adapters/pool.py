"""Connection pools of a home; each connection is owned by one task."""

import asyncio
from collections import deque
from collections.abc import Iterator

from ..errors import Outcome
from ..groups import DatabaseDescription, count_home_connections
from ..interfaces import Clock, Outlet, RandomSource, UpstreamConnector
from ..messages import Action, Dispatch, Execution, RefusalCode
from ..replication import GroupsChanged
from .clocks import SystemRandom
from .worker import ConnectionWorker, make_failure, make_unknown_transaction_failure

# Mean delay before a retry when the database is at its connection limit: after a change
# of homes, the former home may still hold its connections. The delay is random between
# 0.5 and 1.5 times this value.
BUSY_RETRY_DELAY_SECONDS = 0.05

_IN_TRANSACTION_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)


class ConnectionPool:
    """Pool of at most ``n_connections`` connections to one database.

    Each connection is owned by one worker task. The scheduling filter dispatches no
    more requests than there are workers, so dispatches queue here only while the
    database is at its connection limit.

    :param sink: receives an :class:`Execution` for each :class:`Dispatch`.
    :param instance: name of this instance, the prefix of transaction ids.
    """

    def __init__(
        self,
        database: DatabaseDescription,
        n_connections: int,
        connector: UpstreamConnector,
        clock: Clock,
        sink: Outlet,
        *,
        instance: str = "",
        random: RandomSource | None = None,
    ) -> None:
        self._database = database
        self._clock = clock
        self._sink = sink
        self._instance = instance
        self._random = random or SystemRandom()
        self._queued_dispatches: deque[Dispatch] = deque()
        self._pinned_workers: dict[str, ConnectionWorker] = {}
        self._retry_delays: set[asyncio.Task[None]] = set()
        self._stop_tasks: set[asyncio.Task[None]] = set()
        self._is_retired = False
        self._workers = [
            ConnectionWorker(
                database,
                connector,
                clock,
                make_transaction_id=self._make_transaction_id,
                report_execution=self._handle_execution,
                requeue=self._requeue,
            )
            for _ in range(n_connections)
        ]
        self._idle = list(self._workers)

    @property
    def database(self) -> DatabaseDescription:
        """Database of the pool."""
        return self._database

    @property
    def is_finished(self) -> bool:
        """Whether the retired pool has closed all its connections."""
        return not self._workers and not self._stop_tasks

    def has_transaction(self, transaction_id: str | None) -> bool:
        """Whether the transaction is open on one of the connections."""
        return transaction_id in self._pinned_workers

    def offer(self, message: object) -> bool:
        """Accept a dispatch."""
        if not isinstance(message, Dispatch):
            return True
        request = message.routed.request
        if request.action not in _IN_TRANSACTION_ACTIONS:
            self._queued_dispatches.append(message)
            self._assign()
            return True
        worker = self._pinned_workers.get(request.transaction_id or "")
        if worker is None:
            self._sink.offer(make_unknown_transaction_failure(message.routed))
        else:
            worker.offer(message)
        return True

    def retire(self) -> None:
        """Close idle connections; running requests and open transactions continue."""
        self._is_retired = True
        self._assign()
        idle, self._idle = self._idle, []
        for worker in idle:
            self._discard(worker)

    async def start(self) -> None:
        self.start_workers()

    def start_workers(self) -> None:
        """Start one task for each connection."""
        for index, worker in enumerate(self._workers):
            worker.start(f"connection {self._database.name}/{index}")

    async def drain(self) -> None:
        """Do nothing: the scheduling filter waits for the dispatched requests."""

    async def stop(self) -> None:
        for delay in self._retry_delays:
            delay.cancel()
        workers, self._workers = self._workers, []
        await asyncio.gather(*(worker.stop() for worker in workers), *self._stop_tasks)

    def _make_transaction_id(self) -> str:
        # Random instead of counted, so that ids of an earlier process with the same
        # instance name are not reused.
        return f"{self._instance}/{self._random.make_id()}"

    # Assignment

    def _assign(self) -> None:
        """Assign queued dispatches to idle workers; connected workers come first."""
        while self._queued_dispatches:
            dispatch = self._queued_dispatches[0]
            refusal = self._check_dispatch(dispatch)
            if refusal is None:
                worker = self._pop_idle_worker()
                if worker is None:
                    return
                worker.offer(dispatch)
            else:
                self._sink.offer(refusal)
            self._queued_dispatches.popleft()

    def _check_dispatch(self, dispatch: Dispatch) -> Execution | None:
        routed = dispatch.routed
        if self._is_retired:
            text = "this instance gives up its connections to the database"
            return make_failure(routed, RefusalCode.NO_HOME, Outcome.NOT_RUN, text)
        if routed.request.deadline <= self._clock.now():
            text = "the deadline passed while no connection was free"
            return make_failure(routed, RefusalCode.DEADLINE, Outcome.NOT_RUN, text)
        return None

    def _pop_idle_worker(self) -> ConnectionWorker | None:
        """Remove and return an idle worker, if one may be used.

        A worker without a connection may not connect during a retry delay.
        """
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].is_connected:
                return self._idle.pop(index)
        if self._idle and not self._retry_delays:
            return self._idle.pop()
        return None

    def _handle_execution(self, worker: ConnectionWorker, execution: Execution) -> None:
        """Forward an execution and release the worker unless it is pinned.

        A worker is pinned to its open transaction.
        """
        is_in_transaction = execution.routed.request.action in _IN_TRANSACTION_ACTIONS
        transaction = worker.transaction
        if transaction is not None:
            self._pinned_workers[transaction.transaction_id] = worker
        elif is_in_transaction:
            self._pinned_workers.pop(
                execution.routed.request.transaction_id or "", None
            )
        if transaction is None:
            self._release(worker)
        self._sink.offer(execution)
        self._assign()

    def _release(self, worker: ConnectionWorker) -> None:
        # Statements that were sent after the end of their transaction may be queued.
        if worker.n_outstanding > 0:
            return
        if self._is_retired:
            self._discard(worker)
        else:
            self._idle.append(worker)

    def _discard(self, worker: ConnectionWorker) -> None:
        if worker in self._workers:
            self._workers.remove(worker)
            stop_task = asyncio.create_task(worker.stop())
            self._stop_tasks.add(stop_task)
            stop_task.add_done_callback(self._stop_tasks.discard)

    def _requeue(self, worker: ConnectionWorker, dispatch: Dispatch) -> None:
        """Queue a dispatch again after the database refused a further connection."""
        self._queued_dispatches.appendleft(dispatch)
        self._release(worker)
        delay = asyncio.create_task(self._wait_before_retry())
        self._retry_delays.add(delay)
        delay.add_done_callback(self._handle_delay_end)
        self._assign()

    async def _wait_before_retry(self) -> None:
        await self._clock.sleep(
            BUSY_RETRY_DELAY_SECONDS * (0.5 + self._random.random())
        )

    def _handle_delay_end(self, delay: asyncio.Task[None]) -> None:
        self._retry_delays.discard(delay)
        if not delay.cancelled():
            self._assign()


class PoolSet:
    """Connection pools for all databases of the groups that have their home here.

    :param instance: name of this instance.
    :param sink: receives an :class:`Execution` for each :class:`Dispatch`.
    """

    def __init__(
        self,
        instance: str,
        connector: UpstreamConnector,
        clock: Clock,
        random: RandomSource,
        sink: Outlet,
    ) -> None:
        self._instance = instance
        self._connector = connector
        self._clock = clock
        self._random = random
        self._sink = sink
        self._pools: dict[str, ConnectionPool] = {}
        self._retired: list[ConnectionPool] = []

    def offer(self, message: object) -> bool:
        """Accept a dispatch or a change of groups."""
        if isinstance(message, GroupsChanged):
            self._handle_groups_changed(message)
        elif isinstance(message, Dispatch):
            self._handle_dispatch(message)
        return True

    async def start(self) -> None:
        """Do nothing: pools are created when the groups become known."""

    async def drain(self) -> None:
        """Do nothing: the scheduling filter waits for the dispatched requests."""

    async def stop(self) -> None:
        """Close all connections; the databases roll back open transactions."""
        pools = [*self._pools.values(), *self._retired]
        self._pools.clear()
        self._retired.clear()
        await asyncio.gather(*(pool.stop() for pool in pools))

    def _handle_dispatch(self, dispatch: Dispatch) -> None:
        for pool in self._find_pools(dispatch):
            pool.offer(dispatch)
            return
        routed = dispatch.routed
        if routed.request.action in _IN_TRANSACTION_ACTIONS:
            self._sink.offer(make_unknown_transaction_failure(routed))
            return
        self._sink.offer(
            make_failure(
                routed,
                RefusalCode.NO_HOME,
                Outcome.NOT_RUN,
                "this instance holds no connections to the database",
            )
        )

    def _find_pools(self, dispatch: Dispatch) -> Iterator[ConnectionPool]:
        """Yield the pools for a dispatch, those with its open transaction first.

        Retired pools still serve their open transactions.
        """
        transaction_id = dispatch.routed.request.transaction_id
        for pool in self._retired:
            if pool.has_transaction(transaction_id):
                yield pool
        pool_in_use = self._pools.get(dispatch.routed.database)
        if pool_in_use is not None:
            yield pool_in_use

    def _handle_groups_changed(self, message: GroupsChanged) -> None:
        wanted = {
            database.name: database
            for group in message.groups
            for database in group.databases
        }
        for name, pool in list(self._pools.items()):
            if wanted.get(name) != pool.database:
                self._retired.append(self._pools.pop(name))
                pool.retire()
        for name, database in wanted.items():
            if name not in self._pools:
                self._pools[name] = self._make_pool(database)
        self._retired = [pool for pool in self._retired if not pool.is_finished]

    def _make_pool(self, database: DatabaseDescription) -> ConnectionPool:
        pool = ConnectionPool(
            database,
            count_home_connections(database),
            self._connector,
            self._clock,
            self._sink,
            instance=self._instance,
            random=self._random,
        )
        pool.start_workers()
        return pool
