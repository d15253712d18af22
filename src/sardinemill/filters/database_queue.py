"""Queue and connection permits of one database at this home."""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from ..messages import Action, Execution, RoutedRequest
from ..replication import DatabaseLoad
from .queueing import QueuedWork, QueuePolicy, ServiceTimes

# Minimum interval between load reports of a database; routing needs the order of
# magnitude of a queue, not each change.
LOAD_INTERVAL_SECONDS = 0.01
# Maximum share of the permits that open transactions may hold. A transaction keeps its
# connection while its caller is idle; without these limits one workspace, or all
# together, could leave no connection for statements.
WORKSPACE_TRANSACTION_SHARE = 0.5
TRANSACTION_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class RunningWork:
    """Running request that holds a permit.

    :param expected_seconds: cost that the queue policy assumed.
    :param started_at: monotonic seconds.
    """

    routed: RoutedRequest
    expected_seconds: float
    started_at: float


class DatabaseQueue:
    """Waiting and running requests of one database.

    A permit is held by each running request outside a transaction and by each open
    transaction, from its begin to its end.

    :param name: database name.
    :param n_permits: connections that this home may use.
    """

    def __init__(
        self, name: str, n_permits: int, policy: QueuePolicy, times: ServiceTimes
    ) -> None:
        self.name = name
        self.n_permits = n_permits
        self.policy = policy
        self._times = times
        self._running: dict[str, RunningWork] = {}
        self._n_open_transactions = 0
        # Open and beginning transactions by workspace.
        self._transactions: Counter[str] = Counter()
        # Begins that wait for the end of another transaction, by workspace.
        self._deferred: dict[str, OrderedDict[str, QueuedWork]] = {}

    @property
    def n_used(self) -> int:
        """Number of permits in use."""
        return len(self._running) + self._n_open_transactions

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for a permit."""
        return len(self.policy) + sum(map(len, self._deferred.values()))

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits or holds a permit."""
        return self.n_used == 0 and self.n_waiting == 0

    def count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        return self.policy.count(workspace) + len(self._deferred.get(workspace, ()))

    def remove(self, workspace: str, request_id: str) -> QueuedWork | None:
        """Remove a request that is not to run any more."""
        work = self._deferred.get(workspace, OrderedDict()).pop(request_id, None)
        return work or self.policy.remove(workspace, request_id)

    def pop_next(self, now: float) -> QueuedWork | None:
        """Remove and return the request to run next, or ``None`` without a free permit.

        Begins above the limits on open transactions are deferred.
        """
        while self.n_used < self.n_permits:
            work = self.policy.pop(now)
            if work is None or not _is_begin(work.routed) or self._may_begin(work):
                return work
            self.refund(work.workspace)
            deferred = self._deferred.setdefault(work.workspace, OrderedDict())
            deferred[work.request_id] = work
        return None

    def _may_begin(self, work: QueuedWork) -> bool:
        workspace_limit = max(1, int(self.n_permits * WORKSPACE_TRANSACTION_SHARE))
        limit = max(1, int(self.n_permits * TRANSACTION_SHARE))
        return (
            self._transactions[work.workspace] < workspace_limit
            and self._transactions.total() < limit
        )

    def start(self, routed: RoutedRequest, now: float) -> None:
        """Assign a permit to a request."""
        request = routed.request
        expected = self._times.estimate(request.workspace)
        self._running[request.request_id] = RunningWork(routed, expected, now)
        if _is_begin(routed):
            self._transactions[request.workspace] += 1

    def finish(self, execution: Execution) -> RunningWork | None:
        """Release the permit of a request, unless it is a begin that succeeded.

        :returns: ``None`` when the request holds no permit.
        """
        work = self._running.pop(execution.routed.request.request_id, None)
        if work is not None and _is_begin(work.routed):
            if execution.result is None:
                self._release_transaction(work.routed.request.workspace)
            else:
                self._n_open_transactions += 1
        return work

    def end_transaction(self, workspace: str) -> None:
        """Release the permit of an open transaction."""
        self._n_open_transactions -= 1
        self._release_transaction(workspace)

    def _release_transaction(self, workspace: str) -> None:
        self._transactions[workspace] -= 1
        for deferred in self._deferred.values():
            if deferred:
                self.policy.push(deferred.popitem(last=False)[1])

    def charge(self, work: RunningWork, service_seconds: float) -> None:
        """Record the time that a request held its connection."""
        workspace = work.routed.request.workspace
        self._times.add(workspace, service_seconds)
        self.policy.charge(workspace, work.expected_seconds, service_seconds)

    def refund(self, workspace: str) -> None:
        """Cancel the charge for a request that left the queue but did not run."""
        self.policy.charge(workspace, self._times.estimate(workspace), 0.0)

    def is_running(self, request_id: str) -> bool:
        """Return whether the request holds a permit."""
        return request_id in self._running

    def make_load(self) -> DatabaseLoad:
        """Return the current load, by which routing chooses a database."""
        return DatabaseLoad(
            database=self.name,
            n_queued=self.n_waiting,
            n_running=self.n_used,
            mean_service_seconds=self._times.mean_seconds,
        )


def _is_begin(routed: RoutedRequest) -> bool:
    return routed.request.action is Action.BEGIN


class LoadReporter:
    """Limits how often the load of a database is reported."""

    def __init__(self) -> None:
        self._reported: dict[str, tuple[float, DatabaseLoad]] = {}
        self._unreported: dict[str, DatabaseQueue] = {}

    @property
    def next_report(self) -> float | None:
        """Monotonic seconds at which a report is due, or ``None``."""
        return min(map(self._find_due_time, self._unreported), default=None)

    def add(self, queue: DatabaseQueue) -> None:
        """Record that the load of a queue has changed."""
        self._unreported[queue.name] = queue

    def discard(self, queue: DatabaseQueue) -> None:
        """Drop a queue that is no longer used."""
        self._unreported.pop(queue.name, None)
        self._reported.pop(queue.name, None)

    def pop_due(self, now: float) -> Iterator[DatabaseLoad]:
        """Yield the reports that are due."""
        due = [name for name in self._unreported if self._find_due_time(name) <= now]
        for name in due:
            load = self._unreported.pop(name).make_load()
            reported = self._reported.get(name)
            self._reported[name] = (now, load)
            if reported is None or reported[1] != load:
                yield load

    def _find_due_time(self, name: str) -> float:
        reported = self._reported.get(name)
        return (
            float("-inf") if reported is None else reported[0] + LOAD_INTERVAL_SECONDS
        )
