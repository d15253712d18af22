"""Decides when queued work gets a connection, and in which order."""

import heapq
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from ..configuration import (
    ConfigurationChanged,
    ConfigurationConfirmed,
)
from ..control import DrainFinished, DrainStarted
from ..errors import Outcome
from ..events import Event, EventName
from ..groups import count_home_connections
from ..interfaces import Emission
from ..messages import (
    Action,
    Cancellation,
    Execution,
    RefusalCode,
    Request,
    RoutedRequest,
)
from ..replication import GroupsChanged
from .authentication import Authorization, KeyPolicy
from .database_queue import DatabaseQueue, LoadReports, RunningWork
from .dispatch import make_dispatch, make_queue_refusal
from .open_transactions import (
    BOUND_ACTIONS,
    IDLE_SECONDS,
    OpenTransaction,
    TransactionStart,
    TransactionTable,
    is_end,
    is_rollback,
    make_rollback,
)
from .plans import WorkspacePlans
from .queueing import QueuedWork, QueuePolicy, ServiceTimes, WeightedFairQueueing

STEP = "scheduling"
ROLLBACK_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class _Place:
    """Where a waiting request is.

    :param transaction_id: set when it waits for its transaction.
    """

    database: str
    workspace: str
    transaction_id: str | None = None


class Scheduling:
    """Filter at the home: one queue and a number of permits for each database.

    Outlets: ``execution`` for :class:`Dispatch`, ``executed`` for :class:`Execution`,
    ``routing`` for loads of databases, ``reply``, ``drain`` once no transaction is
    open after a :class:`DrainStarted`, ``events``.

    :param key_policy: for the check of keys when work leaves a queue.
    :param make_policy: makes the order of one queue.
    """

    def __init__(
        self,
        key_policy: KeyPolicy,
        make_policy: Callable[[ServiceTimes], QueuePolicy] = WeightedFairQueueing,
    ) -> None:
        self._authorization = Authorization(key_policy)
        self._make_policy = make_policy
        self._plans = WorkspacePlans()
        self._queues: dict[str, DatabaseQueue] = {}
        self._waiting: dict[str, _Place] = {}
        self._transactions = TransactionTable()
        self._cancelled_begins: set[str] = set()
        # Deadlines of waiting requests and idle times of transactions.
        self._timers: list[tuple[float, str]] = []
        self._loads = LoadReports()
        self._is_draining = False

    @property
    def next_tick(self) -> float | None:
        times = [self._timers[0][0]] if self._timers else []
        if self._loads.next_report is not None:
            times.append(self._loads.next_report)
        return min(times, default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        emissions = list(self._handle(message, now))
        emissions.extend(Emission("routing", load) for load in self._loads.take(now))
        if self._is_draining and not self._transactions:
            emissions.append(Emission("drain", DrainFinished(step=STEP)))
        return emissions

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            _, key = heapq.heappop(self._timers)
            if key in self._waiting:
                emissions.extend(self._expire(key))
            else:
                emissions.extend(self._check_idle(key, now))
        emissions.extend(Emission("routing", load) for load in self._loads.take(now))
        return emissions

    def _handle(self, message: object, now: float) -> Iterator[Emission]:
        if isinstance(message, RoutedRequest):
            yield from self._accept(message, now)
        elif isinstance(message, Execution):
            yield from self._finish(message, now)
        elif isinstance(message, Cancellation):
            self._cancel(message.request_id)
        elif isinstance(message, GroupsChanged):
            yield from self._change_groups(message, now)
        elif isinstance(message, DrainStarted):
            self._is_draining = True
        elif isinstance(message, ConfigurationChanged | ConfigurationConfirmed):
            self._authorization.handle(message, now)
            if isinstance(message, ConfigurationChanged):
                self._plans.update(message.configuration)
                for queue in self._queues.values():
                    queue.policy.set_weights(self._plans.weights)

    # Arrival

    def _accept(self, routed: RoutedRequest, now: float) -> Iterator[Emission]:
        request = routed.request
        if request.deadline <= now:
            yield make_queue_refusal(request, RefusalCode.DEADLINE)
        elif request.action in BOUND_ACTIONS:
            yield from self._accept_bound(routed, now)
        else:
            yield from self._accept_free(routed, now)

    def _accept_free(self, routed: RoutedRequest, now: float) -> Iterator[Emission]:
        request = routed.request
        queue = self._queues.get(routed.database)
        if queue is None or queue.n_permits == 0:
            yield make_queue_refusal(request, RefusalCode.NO_HOME)
            return
        if queue.count(request.workspace) >= self._plans.find_queue_limit(
            request.workspace
        ):
            yield make_queue_refusal(request, RefusalCode.OVERLOADED)
            return
        queue.policy.push(QueuedWork(routed, now))
        self._loads.add(queue)
        self._wait(request, _Place(queue.name, request.workspace))
        yield from self._pump(queue, now)

    def _accept_bound(self, routed: RoutedRequest, now: float) -> Iterator[Emission]:
        request = routed.request
        transaction = self._transactions.find_usable(request)
        if transaction is None:
            yield self._refuse_bound(request)
            return
        if len(transaction.waiting) >= self._plans.find_queue_limit(request.workspace):
            yield make_queue_refusal(request, RefusalCode.OVERLOADED)
            return
        start = transaction.start
        routed = replace(
            routed, database=start.database, expected_term=start.expected_term
        )
        transaction.waiting[request.request_id] = QueuedWork(routed, now)
        place = _Place(start.database, start.workspace, start.transaction_id)
        self._wait(request, place)
        yield from self._pump_transaction(transaction, now)

    def _wait(self, request: Request, place: _Place) -> None:
        self._waiting[request.request_id] = place
        heapq.heappush(self._timers, (request.deadline, request.request_id))

    # Removal

    def _remove(self, request_id: str) -> Request | None:
        """Take a request out of its queue."""
        place = self._waiting.pop(request_id, None)
        if place is None:
            return None
        work: QueuedWork | None = None
        if place.transaction_id is not None:
            transaction = self._transactions.get(place.transaction_id)
            if transaction is not None:
                work = transaction.waiting.pop(request_id, None)
        else:
            queue = self._queues[place.database]
            work = queue.remove(place.workspace, request_id)
            self._loads.add(queue)
        return None if work is None else work.routed.request

    def _expire(self, request_id: str) -> Iterator[Emission]:
        request = self._remove(request_id)
        if request is not None:
            yield make_queue_refusal(request, RefusalCode.DEADLINE)

    def _cancel(self, request_id: str) -> None:
        if self._remove(request_id) is None and any(
            queue.is_running(request_id) for queue in self._queues.values()
        ):
            self._cancelled_begins.add(request_id)

    # Dispatch

    def _pump(self, queue: DatabaseQueue, now: float) -> Iterator[Emission]:
        while (work := queue.take_next(now)) is not None:
            del self._waiting[work.request_id]
            self._loads.add(queue)
            refusal = self._check(work.routed.request, now)
            if refusal is not None:
                queue.refund(work.workspace)
                yield refusal
                continue
            queue.start(work.routed, now)
            yield make_dispatch(work.routed)

    def _pump_transaction(
        self, transaction: OpenTransaction, now: float
    ) -> Iterator[Emission]:
        while (work := transaction.take_next()) is not None:
            del self._waiting[work.request_id]
            refusal = self._check(work.routed.request, now)
            if refusal is not None:
                yield refusal
                continue
            transaction.running = work.request_id
            yield make_dispatch(work.routed)
        if transaction.is_idle:
            transaction.idle_at = now + IDLE_SECONDS
            key = transaction.start.transaction_id
            heapq.heappush(self._timers, (transaction.idle_at, key))

    def _check(self, request: Request, now: float) -> Emission | None:
        if request.deadline <= now:
            return make_queue_refusal(request, RefusalCode.DEADLINE)
        if request.action is Action.ROLLBACK:
            return None
        refusal = self._authorization.check(request, now)
        return None if refusal is None else Emission("reply", refusal)

    # Completion

    def _finish(self, execution: Execution, now: float) -> Iterator[Emission]:
        request = execution.routed.request
        if request.action in BOUND_ACTIONS:
            yield from self._finish_bound(execution, now)
            return
        queue = self._queues.get(execution.routed.database)
        work = None if queue is None else queue.finish(execution)
        if queue is None or work is None:
            # Late or doubled; the first one was handed on.
            return
        self._loads.add(queue)
        is_cancelled = request.request_id in self._cancelled_begins
        self._cancelled_begins.discard(request.request_id)
        result = execution.result
        if request.action is Action.BEGIN and result is not None:
            yield from self._open(queue, work, result.transaction_id, is_cancelled, now)
        else:
            queue.charge(work, execution.service_seconds)
        yield Emission("executed", execution)
        yield from self._pump(queue, now)
        self._drop_if_unused(queue)

    def _open(
        self,
        queue: DatabaseQueue,
        work: RunningWork,
        transaction_id: str | None,
        is_cancelled: bool,
        now: float,
    ) -> Iterator[Emission]:
        request = work.routed.request
        transaction = self._transactions.add(
            TransactionStart(
                transaction_id=transaction_id or "",
                key_id=request.key_id,
                workspace=request.workspace,
                database=queue.name,
                expected_term=work.routed.expected_term,
                expected_seconds=work.expected_seconds,
                started_at=work.started_at,
            )
        )
        fields = {"transaction_id": transaction_id, "database": queue.name}
        yield Emission("events", Event(EventName.TRANSACTION_OPENED, fields))
        if is_cancelled:
            yield from self._roll_back(transaction, now)
        else:
            yield from self._pump_transaction(transaction, now)

    def _finish_bound(self, execution: Execution, now: float) -> Iterator[Emission]:
        request = execution.routed.request
        transaction = self._transactions.get(request.transaction_id)
        if transaction is None or transaction.running != request.request_id:
            return
        transaction.running = None
        if not transaction.is_ending:
            yield Emission("executed", execution)
        if is_end(execution):
            yield from self._close(transaction, is_rollback(execution), now)
        else:
            yield from self._pump_transaction(transaction, now)

    def _refuse_bound(self, request: Request) -> Emission:
        """Refuse a statement whose transaction is not open.

        A repeated commit may have taken effect the first time.
        """
        outcome = Outcome.NOT_RUN
        if request.action is Action.COMMIT and self._transactions.may_have_committed(
            request.transaction_id
        ):
            outcome = Outcome.UNKNOWN
        return make_queue_refusal(request, RefusalCode.UNKNOWN_TRANSACTION, outcome)

    def _close(
        self, transaction: OpenTransaction, is_rolled_back: bool, now: float
    ) -> Iterator[Emission]:
        for work in self._transactions.remove(
            transaction, is_rolled_back=is_rolled_back
        ):
            del self._waiting[work.request_id]
            yield self._refuse_bound(work.routed.request)
        start = transaction.start
        queue = self._queues[start.database]
        queue.end_transaction(start.workspace)
        queue.policy.charge(
            start.workspace, start.expected_seconds, now - start.started_at
        )
        self._loads.add(queue)
        yield from self._pump(queue, now)
        self._drop_if_unused(queue)

    # Idle transactions

    def _check_idle(self, transaction_id: str, now: float) -> Iterator[Emission]:
        transaction = self._transactions.get(transaction_id)
        if transaction is None or not transaction.is_idle or transaction.is_ending:
            return
        if transaction.idle_at > now:
            return
        fields = {"transaction_id": transaction_id}
        yield Emission("events", Event(EventName.TRANSACTION_IDLE, fields))
        yield from self._roll_back(transaction, now)

    def _roll_back(
        self, transaction: OpenTransaction, now: float
    ) -> Iterator[Emission]:
        rollback = make_rollback(transaction.start, now + ROLLBACK_TIMEOUT_SECONDS)
        transaction.is_ending = True
        transaction.running = rollback.request.request_id
        yield make_dispatch(rollback)

    # Configuration

    def _change_groups(self, message: GroupsChanged, now: float) -> Iterator[Emission]:
        permits = {
            database.name: count_home_connections(database)
            for group in message.groups
            for database in group.databases
        }
        for name in permits.keys() - self._queues.keys():
            times = ServiceTimes()
            queue = DatabaseQueue(name, 0, self._make_policy(times), times)
            queue.policy.set_weights(self._plans.weights)
            self._queues[name] = queue
        for queue in list(self._queues.values()):
            queue.n_permits = permits.get(queue.name, 0)
            if queue.n_permits == 0:
                yield from self._empty(queue)
                self._drop_if_unused(queue)
            else:
                yield from self._pump(queue, now)

    def _empty(self, queue: DatabaseQueue) -> Iterator[Emission]:
        for request_id, place in list(self._waiting.items()):
            if place.database == queue.name and place.transaction_id is None:
                request = self._remove(request_id)
                if request is not None:
                    yield make_queue_refusal(request, RefusalCode.NO_HOME)

    def _drop_if_unused(self, queue: DatabaseQueue) -> None:
        if queue.n_permits == 0 and queue.is_empty:
            self._queues.pop(queue.name, None)
            self._loads.discard(queue)
