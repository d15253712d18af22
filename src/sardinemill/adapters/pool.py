"""Connections of one home to its databases, one owning task each."""

import asyncio
from collections import deque
from collections.abc import Iterator

from ..errors import Outcome
from ..groups import DatabaseDescription, count_home_connections
from ..interfaces import Clock, Outlet, RandomSource, UpstreamConnector
from ..messages import Action, Dispatch, Execution, RefusalCode
from ..replication import GroupsChanged
from .clocks import SystemRandom
from .worker import ConnectionWorker, make_failure, refuse_unknown_transaction

# Other homes may hold the connections for a moment after a change of homes. The delay
# is random between half and one and a half times this value.
BUSY_DELAY_SECONDS = 0.05

_BOUND_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)


class ConnectionPool:
    """Runs dispatched work on at most ``n_connections`` connections of one database.

    Each connection belongs to one worker task. The scheduling filter dispatches no
    more work than there are workers, so work waits here only while the database
    accepts no further connections.

    :param sink: receives an :class:`Execution` for each :class:`Dispatch`.
    :param instance: own name, the first part of transaction ids.
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
        self._waiting: deque[Dispatch] = deque()
        self._pinned: dict[str, ConnectionWorker] = {}
        self._delays: set[asyncio.Task[None]] = set()
        self._stops: set[asyncio.Task[None]] = set()
        self._is_retired = False
        self._workers = [
            ConnectionWorker(
                database,
                connector,
                clock,
                make_transaction_id=self._make_transaction_id,
                report=self._report,
                give_back=self._give_back,
            )
            for _ in range(n_connections)
        ]
        self._idle = list(self._workers)

    @property
    def database(self) -> DatabaseDescription:
        """Database that the connections lead to."""
        return self._database

    @property
    def is_finished(self) -> bool:
        """Whether a retired pool has closed its last connection."""
        return not self._workers and not self._stops

    def has_transaction(self, transaction_id: str | None) -> bool:
        """Whether the transaction is open on one of the connections."""
        return transaction_id in self._pinned

    def offer(self, message: object) -> bool:
        """Accept a dispatch."""
        if not isinstance(message, Dispatch):
            return True
        request = message.routed.request
        if request.action not in _BOUND_ACTIONS:
            self._waiting.append(message)
            self._assign()
            return True
        worker = self._pinned.get(request.transaction_id or "")
        if worker is None:
            self._sink.offer(refuse_unknown_transaction(message.routed))
        else:
            worker.offer(message)
        return True

    def retire(self) -> None:
        """Close free connections; open transactions and running work go on."""
        self._is_retired = True
        self._assign()
        idle, self._idle = self._idle, []
        for worker in idle:
            self._discard(worker)

    async def start(self) -> None:
        self.start_workers()

    def start_workers(self) -> None:
        """Start one task for each connection."""
        for number, worker in enumerate(self._workers):
            worker.start(f"connection {self._database.name}/{number}")

    async def drain(self) -> None:
        """Nothing to do: the scheduler empties the pool."""

    async def stop(self) -> None:
        for delay in self._delays:
            delay.cancel()
        workers, self._workers = self._workers, []
        await asyncio.gather(*(worker.stop() for worker in workers), *self._stops)

    def _make_transaction_id(self) -> str:
        # Random and not counted: ids of an earlier process of the same name must not
        # come up again.
        return f"{self._instance}/{self._random.make_id()}"

    # Assignment

    def _assign(self) -> None:
        """Hand waiting work to free workers; connected ones first."""
        while self._waiting:
            dispatch = self._waiting[0]
            refusal = self._check(dispatch)
            if refusal is None:
                worker = self._take_idle()
                if worker is None:
                    return
                worker.offer(dispatch)
            else:
                self._sink.offer(refusal)
            self._waiting.popleft()

    def _check(self, dispatch: Dispatch) -> Execution | None:
        routed = dispatch.routed
        if self._is_retired:
            text = "this instance gives up its connections to the database"
            return make_failure(routed, RefusalCode.NO_HOME, Outcome.NOT_RUN, text)
        if routed.request.deadline <= self._clock.now():
            text = "the deadline passed while no connection was free"
            return make_failure(routed, RefusalCode.DEADLINE, Outcome.NOT_RUN, text)
        return None

    def _take_idle(self) -> ConnectionWorker | None:
        """Take a free worker; one without a connection only outside a delay."""
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].is_connected:
                return self._idle.pop(index)
        if self._idle and not self._delays:
            return self._idle.pop()
        return None

    def _report(self, worker: ConnectionWorker, execution: Execution) -> None:
        """Take the outcome of a dispatch and free the worker unless it is pinned."""
        is_bound = execution.routed.request.action in _BOUND_ACTIONS
        transaction = worker.transaction
        if transaction is not None:
            self._pinned[transaction.transaction_id] = worker
        elif is_bound:
            self._pinned.pop(execution.routed.request.transaction_id or "", None)
        if transaction is None:
            self._release(worker)
        self._sink.offer(execution)
        self._assign()

    def _release(self, worker: ConnectionWorker) -> None:
        # Statements may still be queued behind the end of their transaction.
        if worker.n_outstanding > 0:
            return
        if self._is_retired:
            self._discard(worker)
        else:
            self._idle.append(worker)

    def _discard(self, worker: ConnectionWorker) -> None:
        if worker in self._workers:
            self._workers.remove(worker)
            stop = asyncio.create_task(worker.stop())
            self._stops.add(stop)
            stop.add_done_callback(self._stops.discard)

    def _give_back(self, worker: ConnectionWorker, dispatch: Dispatch) -> None:
        """Queue a dispatch again whose database had no connection to spare."""
        self._waiting.appendleft(dispatch)
        self._release(worker)
        delay = asyncio.create_task(self._wait_busy())
        self._delays.add(delay)
        delay.add_done_callback(self._end_delay)
        self._assign()

    async def _wait_busy(self) -> None:
        await self._clock.sleep(BUSY_DELAY_SECONDS * (0.5 + self._random.random()))

    def _end_delay(self, delay: asyncio.Task[None]) -> None:
        self._delays.discard(delay)
        if not delay.cancelled():
            self._assign()


class PoolSet:
    """Pools of all databases whose home this instance is.

    :param instance: own name.
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
            self._change_groups(message)
        elif isinstance(message, Dispatch):
            self._dispatch(message)
        return True

    async def start(self) -> None:
        """Nothing to do: pools come with the groups."""

    async def drain(self) -> None:
        """Nothing to do: the scheduler empties the pools."""

    async def stop(self) -> None:
        """Close all connections; open transactions roll back."""
        pools = [*self._pools.values(), *self._retired]
        self._pools.clear()
        self._retired.clear()
        await asyncio.gather(*(pool.stop() for pool in pools))

    def _dispatch(self, dispatch: Dispatch) -> None:
        for pool in self._find_pools(dispatch):
            pool.offer(dispatch)
            return
        routed = dispatch.routed
        if routed.request.action in _BOUND_ACTIONS:
            self._sink.offer(refuse_unknown_transaction(routed))
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
        """Pools that may take a dispatch; a retired one serves its transactions."""
        transaction_id = dispatch.routed.request.transaction_id
        for pool in self._retired:
            if pool.has_transaction(transaction_id):
                yield pool
        pool_in_use = self._pools.get(dispatch.routed.database)
        if pool_in_use is not None:
            yield pool_in_use

    def _change_groups(self, message: GroupsChanged) -> None:
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
