"""Queues requests for database connections and dispatches them by policy."""

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
from .database_queue import DatabaseQueue, LoadReporter, RunningWork
from .dispatch import make_dispatch, make_queue_refusal
from .open_transactions import (
    IDLE_TIMEOUT_SECONDS,
    IN_TRANSACTION_ACTIONS,
    OpenTransaction,
    TransactionStart,
    TransactionTable,
    ends_transaction,
    is_certainly_rolled_back,
    make_rollback,
)
from .plans import WorkspacePlans
from .queueing import QueuedWork, QueuePolicy, ServiceTimes, WeightedFairQueueing

STEP = "scheduling"
ROLLBACK_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class _QueueLocation:
    """Queue in which a request waits.

    :param transaction_id: set when it waits for an earlier statement of its
        transaction, not for a connection.
    """

    database: str
    workspace: str
    transaction_id: str | None = None


class Scheduling:
    """Filter at the home instance: one queue and a number of permits for each database.

    Outlets: ``execution`` for :class:`Dispatch`, ``executed`` for :class:`Execution`,
    ``routing`` for loads of databases, ``reply``, ``drain`` once no transaction is
    open after a :class:`DrainStarted`, ``events``.

    :param key_policy: policy for the check of a request's key when it leaves a queue.
    :param make_policy: creates the queueing policy of one database.
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
        self._waiting: dict[str, _QueueLocation] = {}
        self._transactions = TransactionTable()
        # Running requests that were cancelled; a begin among them is rolled back.
        self._cancelled_running: set[str] = set()
        # Heap of time and id: deadlines of requests and idle timeouts of transactions.
        self._timers: list[tuple[float, str]] = []
        self._loads = LoadReporter()
        self._is_draining = False

    @property
    def next_tick(self) -> float | None:
        times = [self._timers[0][0]] if self._timers else []
        if self._loads.next_report is not None:
            times.append(self._loads.next_report)
        return min(times, default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        emissions = list(self._handle(message, now))
        emissions.extend(Emission("routing", load) for load in self._loads.pop_due(now))
        if self._is_draining and not self._transactions:
            emissions.append(Emission("drain", DrainFinished(step=STEP)))
        return emissions

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            _, timer_id = heapq.heappop(self._timers)
            if timer_id in self._waiting:
                emissions.extend(self._expire(timer_id))
            else:
                emissions.extend(self._expire_idle(timer_id, now))
        emissions.extend(Emission("routing", load) for load in self._loads.pop_due(now))
        return emissions

    def _handle(self, message: object, now: float) -> Iterator[Emission]:
        if isinstance(message, RoutedRequest):
            yield from self._handle_routed_request(message, now)
        elif isinstance(message, Execution):
            yield from self._handle_execution(message, now)
        elif isinstance(message, Cancellation):
            self._handle_cancellation(message.request_id)
        elif isinstance(message, GroupsChanged):
            yield from self._handle_groups_changed(message, now)
        elif isinstance(message, DrainStarted):
            self._is_draining = True
        elif isinstance(message, ConfigurationChanged | ConfigurationConfirmed):
            self._authorization.handle(message, now)
            if isinstance(message, ConfigurationChanged):
                self._plans.update(message.configuration)
                for queue in self._queues.values():
                    queue.policy.set_weights(self._plans.weights)

    # Arrival

    def _handle_routed_request(
        self, routed: RoutedRequest, now: float
    ) -> Iterator[Emission]:
        request = routed.request
        if request.deadline <= now:
            yield make_queue_refusal(request, RefusalCode.DEADLINE)
        elif request.action in IN_TRANSACTION_ACTIONS:
            yield from self._enqueue_in_transaction(routed, now)
        else:
            yield from self._enqueue(routed, now)

    def _enqueue(self, routed: RoutedRequest, now: float) -> Iterator[Emission]:
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
        self._record_waiting(request, _QueueLocation(queue.name, request.workspace))
        yield from self._dispatch_ready(queue, now)

    def _enqueue_in_transaction(
        self, routed: RoutedRequest, now: float
    ) -> Iterator[Emission]:
        request = routed.request
        transaction = self._transactions.find_open(request)
        if transaction is None:
            yield self._refuse_unknown_transaction(request)
            return
        if len(transaction.waiting) >= self._plans.find_queue_limit(request.workspace):
            yield make_queue_refusal(request, RefusalCode.OVERLOADED)
            return
        start = transaction.start
        routed = replace(
            routed, database=start.database, expected_term=start.expected_term
        )
        transaction.waiting[request.request_id] = QueuedWork(routed, now)
        location = _QueueLocation(start.database, start.workspace, start.transaction_id)
        self._record_waiting(request, location)
        yield from self._dispatch_next_statement(transaction, now)

    def _record_waiting(self, request: Request, location: _QueueLocation) -> None:
        self._waiting[request.request_id] = location
        heapq.heappush(self._timers, (request.deadline, request.request_id))

    # Removal

    def _remove_waiting(self, request_id: str) -> Request | None:
        """Remove a request from its queue.

        :returns: ``None`` if it does not wait in a queue.
        """
        location = self._waiting.pop(request_id, None)
        if location is None:
            return None
        work: QueuedWork | None = None
        if location.transaction_id is not None:
            transaction = self._transactions.get(location.transaction_id)
            if transaction is not None:
                work = transaction.waiting.pop(request_id, None)
        else:
            queue = self._queues[location.database]
            work = queue.remove(location.workspace, request_id)
            self._loads.add(queue)
        return None if work is None else work.routed.request

    def _expire(self, request_id: str) -> Iterator[Emission]:
        request = self._remove_waiting(request_id)
        if request is not None:
            yield make_queue_refusal(request, RefusalCode.DEADLINE)

    def _handle_cancellation(self, request_id: str) -> None:
        if self._remove_waiting(request_id) is None and any(
            queue.is_running(request_id) for queue in self._queues.values()
        ):
            self._cancelled_running.add(request_id)

    # Dispatch

    def _dispatch_ready(self, queue: DatabaseQueue, now: float) -> Iterator[Emission]:
        while (work := queue.pop_next(now)) is not None:
            del self._waiting[work.request_id]
            self._loads.add(queue)
            refusal = self._check_before_dispatch(work.routed.request, now)
            if refusal is not None:
                queue.refund(work.workspace)
                yield refusal
                continue
            queue.start(work.routed, now)
            yield make_dispatch(work.routed)

    def _dispatch_next_statement(
        self, transaction: OpenTransaction, now: float
    ) -> Iterator[Emission]:
        while (work := transaction.pop_next()) is not None:
            del self._waiting[work.request_id]
            refusal = self._check_before_dispatch(work.routed.request, now)
            if refusal is not None:
                yield refusal
                continue
            transaction.running = work.request_id
            yield make_dispatch(work.routed)
        if transaction.is_idle:
            transaction.idle_deadline = now + IDLE_TIMEOUT_SECONDS
            timer_id = transaction.start.transaction_id
            heapq.heappush(self._timers, (transaction.idle_deadline, timer_id))

    def _check_before_dispatch(self, request: Request, now: float) -> Emission | None:
        if request.deadline <= now:
            return make_queue_refusal(request, RefusalCode.DEADLINE)
        if request.action is Action.ROLLBACK:
            return None
        refusal = self._authorization.check(request, now)
        return None if refusal is None else Emission("reply", refusal)

    # Completion

    def _handle_execution(self, execution: Execution, now: float) -> Iterator[Emission]:
        request = execution.routed.request
        if request.action in IN_TRANSACTION_ACTIONS:
            yield from self._finish_in_transaction(execution, now)
            return
        queue = self._queues.get(execution.routed.database)
        work = None if queue is None else queue.finish(execution)
        if queue is None or work is None:
            # A late or duplicate execution; the first one was already emitted.
            return
        self._loads.add(queue)
        is_cancelled = request.request_id in self._cancelled_running
        self._cancelled_running.discard(request.request_id)
        result = execution.result
        if request.action is Action.BEGIN and result is not None:
            yield from self._open_transaction(
                queue, work, result.transaction_id, is_cancelled, now
            )
        else:
            queue.charge(work, execution.service_seconds)
        yield Emission("executed", execution)
        yield from self._dispatch_ready(queue, now)
        self._remove_if_unused(queue)

    def _open_transaction(
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
            yield from self._dispatch_next_statement(transaction, now)

    def _finish_in_transaction(
        self, execution: Execution, now: float
    ) -> Iterator[Emission]:
        request = execution.routed.request
        transaction = self._transactions.get(request.transaction_id)
        if transaction is None or transaction.running != request.request_id:
            return
        transaction.running = None
        if not transaction.is_ending:
            yield Emission("executed", execution)
        if ends_transaction(execution):
            yield from self._close_transaction(
                transaction, is_certainly_rolled_back(execution), now
            )
        else:
            yield from self._dispatch_next_statement(transaction, now)

    def _refuse_unknown_transaction(self, request: Request) -> Emission:
        """Refuse a request whose transaction is not open.

        A retried commit may have taken effect at an earlier attempt.
        """
        outcome = Outcome.NOT_RUN
        if request.action is Action.COMMIT and self._transactions.may_have_committed(
            request.transaction_id
        ):
            outcome = Outcome.UNKNOWN
        return make_queue_refusal(request, RefusalCode.UNKNOWN_TRANSACTION, outcome)

    def _close_transaction(
        self, transaction: OpenTransaction, is_rolled_back: bool, now: float
    ) -> Iterator[Emission]:
        for work in self._transactions.remove(
            transaction, is_rolled_back=is_rolled_back
        ):
            del self._waiting[work.request_id]
            yield self._refuse_unknown_transaction(work.routed.request)
        start = transaction.start
        queue = self._queues[start.database]
        queue.end_transaction(start.workspace)
        queue.policy.charge(
            start.workspace, start.expected_seconds, now - start.started_at
        )
        self._loads.add(queue)
        yield from self._dispatch_ready(queue, now)
        self._remove_if_unused(queue)

    # Idle transactions

    def _expire_idle(self, transaction_id: str, now: float) -> Iterator[Emission]:
        transaction = self._transactions.get(transaction_id)
        if transaction is None or not transaction.is_idle or transaction.is_ending:
            return
        if transaction.idle_deadline > now:
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

    def _handle_groups_changed(
        self, message: GroupsChanged, now: float
    ) -> Iterator[Emission]:
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
                yield from self._refuse_all_waiting(queue)
                self._remove_if_unused(queue)
            else:
                yield from self._dispatch_ready(queue, now)

    def _refuse_all_waiting(self, queue: DatabaseQueue) -> Iterator[Emission]:
        for request_id, location in list(self._waiting.items()):
            if location.database == queue.name and location.transaction_id is None:
                request = self._remove_waiting(request_id)
                if request is not None:
                    yield make_queue_refusal(request, RefusalCode.NO_HOME)

    def _remove_if_unused(self, queue: DatabaseQueue) -> None:
        if queue.n_permits == 0 and queue.is_empty:
            self._queues.pop(queue.name, None)
            self._loads.discard(queue)
