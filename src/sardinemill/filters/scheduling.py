"""Decides when queued work gets a connection, and in which order."""

import heapq
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from ..configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationChanged,
    ConfigurationConfirmed,
)
from ..control import DrainFinished, DrainStarted, GroupsChanged
from ..errors import Outcome
from ..events import Event, EventName
from ..groups import count_home_connections
from ..interfaces import Emission
from ..messages import (
    Action,
    Cancellation,
    Dispatch,
    Execution,
    Refusal,
    RefusalCode,
    Request,
    RoutedRequest,
)
from .authentication import Authorization, KeyPolicy
from .calls import make_call
from .database_queue import DatabaseQueue, LoadReports, RunningWork
from .open_transactions import (
    BOUND_ACTIONS,
    IDLE_SECONDS,
    OpenTransaction,
    TransactionStart,
    TransactionTable,
    is_end,
    make_rollback,
)
from .queueing import QueuedWork, QueuePolicy, ServiceTimes, WeightedFairQueueing

STEP = "scheduling"
# Limit of a workspace without a plan in the configuration in force.
DEFAULT_N_QUEUED = 64
ROLLBACK_TIMEOUT_SECONDS = 5.0

_REFUSAL_TEXTS = {
    RefusalCode.DEADLINE: "the deadline passed in the queue",
    RefusalCode.NO_HOME: "this instance holds no connections to the database",
    RefusalCode.OVERLOADED: "the queue of the workspace is full",
    RefusalCode.UNKNOWN_TRANSACTION: "the transaction is not open here",
}
_RETRY_CODES = frozenset({RefusalCode.NO_HOME, RefusalCode.OVERLOADED})


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
        self._configuration: Configuration = EMPTY_CONFIGURATION
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
                self._change_configuration(message.configuration)

    # Arrival

    def _accept(self, routed: RoutedRequest, now: float) -> Iterator[Emission]:
        request = routed.request
        if request.deadline <= now:
            yield _refuse(request, RefusalCode.DEADLINE)
        elif request.action in BOUND_ACTIONS:
            yield from self._accept_bound(routed, now)
        else:
            yield from self._accept_free(routed, now)

    def _accept_free(self, routed: RoutedRequest, now: float) -> Iterator[Emission]:
        request = routed.request
        queue = self._queues.get(routed.database)
        if queue is None or queue.n_permits == 0:
            yield _refuse(request, RefusalCode.NO_HOME)
            return
        if queue.policy.count(request.workspace) >= self._find_limit(request.workspace):
            yield _refuse(request, RefusalCode.OVERLOADED)
            return
        queue.policy.push(QueuedWork(routed, now))
        self._loads.add(queue)
        self._wait(request, _Place(queue.name, request.workspace))
        yield from self._pump(queue, now)

    def _accept_bound(self, routed: RoutedRequest, now: float) -> Iterator[Emission]:
        request = routed.request
        transaction = self._transactions.find_usable(request)
        if transaction is None:
            yield _refuse(request, RefusalCode.UNKNOWN_TRANSACTION)
            return
        if len(transaction.waiting) >= self._find_limit(request.workspace):
            yield _refuse(request, RefusalCode.OVERLOADED)
            return
        start = transaction.start
        routed = replace(
            routed, database=start.database, expected_term=start.expected_term
        )
        transaction.waiting[request.request_id] = QueuedWork(routed, now)
        place = _Place(start.database, start.workspace, start.transaction_id)
        self._wait(request, place)
        yield from self._pump_transaction(transaction, now)

    def _find_limit(self, workspace: str) -> int:
        entry = self._configuration.workspaces.get(workspace)
        plan = None if entry is None else self._configuration.plans.get(entry.plan)
        return DEFAULT_N_QUEUED if plan is None else plan.n_queued

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
            work = queue.policy.remove(place.workspace, request_id)
            self._loads.add(queue)
        return None if work is None else work.routed.request

    def _expire(self, request_id: str) -> Iterator[Emission]:
        request = self._remove(request_id)
        if request is not None:
            yield _refuse(request, RefusalCode.DEADLINE)

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
            yield _dispatch(work.routed)

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
            yield _dispatch(work.routed)
        if transaction.is_idle:
            transaction.idle_at = now + IDLE_SECONDS
            key = transaction.start.transaction_id
            heapq.heappush(self._timers, (transaction.idle_at, key))

    def _check(self, request: Request, now: float) -> Emission | None:
        if request.deadline <= now:
            return _refuse(request, RefusalCode.DEADLINE)
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
        queue.n_transactions += 1
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
        failure = execution.failure
        if is_end(request.action, None if failure is None else failure.code):
            yield from self._close(transaction, now)
        else:
            yield from self._pump_transaction(transaction, now)

    def _close(self, transaction: OpenTransaction, now: float) -> Iterator[Emission]:
        for work in self._transactions.remove(transaction):
            del self._waiting[work.request_id]
            yield _refuse(work.routed.request, RefusalCode.UNKNOWN_TRANSACTION)
        start = transaction.start
        queue = self._queues[start.database]
        queue.n_transactions -= 1
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
        yield _dispatch(rollback)

    # Configuration

    def _change_configuration(self, configuration: Configuration) -> None:
        if configuration.version <= self._configuration.version:
            return
        self._configuration = configuration
        for queue in self._queues.values():
            self._set_weights(queue)

    def _set_weights(self, queue: DatabaseQueue) -> None:
        plans = self._configuration.plans
        queue.policy.set_weights(
            {
                entry.name: plans[entry.plan].weight
                for entry in self._configuration.workspaces.values()
                if entry.plan in plans
            }
        )

    def _change_groups(self, message: GroupsChanged, now: float) -> Iterator[Emission]:
        permits = {
            database.name: count_home_connections(database)
            for group in message.groups
            for database in group.databases
        }
        for name in permits.keys() - self._queues.keys():
            times = ServiceTimes()
            queue = DatabaseQueue(name, 0, self._make_policy(times), times)
            self._set_weights(queue)
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
                    yield _refuse(request, RefusalCode.NO_HOME)

    def _drop_if_unused(self, queue: DatabaseQueue) -> None:
        if queue.n_permits == 0 and queue.is_empty:
            self._queues.pop(queue.name, None)
            self._loads.discard(queue)


def _dispatch(routed: RoutedRequest) -> Emission:
    call = make_call(routed, routed.expected_term)
    return Emission("execution", Dispatch(routed=routed, call=call))


def _refuse(request: Request, code: RefusalCode) -> Emission:
    return Emission(
        "reply",
        Refusal(
            request_id=request.request_id,
            code=code,
            outcome=Outcome.NOT_RUN,
            step=STEP,
            message=_REFUSAL_TEXTS[code],
            retry_after_seconds=1.0 if code in _RETRY_CODES else None,
        ),
    )
