"""Queueing policies: the order in which requests leave the queue of a database."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..messages import RoutedRequest

# Assumed service time before a request has run.
DEFAULT_SERVICE_SECONDS = 0.005
# Weight of the newest sample in a smoothed service time.
SERVICE_TIME_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """Request that waits for a connection.

    :param queued_at: monotonic seconds.
    """

    routed: RoutedRequest
    queued_at: float

    @property
    def workspace(self) -> str:
        """Workspace that the request is queued for."""
        return self.routed.request.workspace

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self.routed.request.request_id


class ServiceTimes:
    """Exponentially smoothed service times by workspace."""

    def __init__(self) -> None:
        self._by_workspace: dict[str, float] = {}
        self.mean_seconds = DEFAULT_SERVICE_SECONDS

    def estimate(self, workspace: str) -> float:
        """Return the expected seconds of a request; always positive."""
        return self._by_workspace.get(workspace, self.mean_seconds)

    def add(self, workspace: str, service_seconds: float) -> None:
        """Add the service time of a finished request."""
        seconds = max(service_seconds, 1e-6)
        old = self.estimate(workspace)
        self._by_workspace[workspace] = old + SERVICE_TIME_WEIGHT * (seconds - old)
        self.mean_seconds += SERVICE_TIME_WEIGHT * (seconds - self.mean_seconds)


class QueuePolicy(Protocol):
    """Decides the order in which the waiting requests of one database run."""

    def __len__(self) -> int: ...

    def count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        ...

    def push(self, work: QueuedWork) -> None:
        """Add a request."""
        ...

    def pop(self, now: float) -> QueuedWork | None:
        """Remove and return the request to run next, or ``None``."""
        ...

    def remove(self, workspace: str, request_id: str) -> QueuedWork | None:
        """Remove a request that is not to run any more."""
        ...

    def charge(
        self, workspace: str, expected_seconds: float, service_seconds: float
    ) -> None:
        """Charge a workspace the difference between actual and expected cost.

        :param expected_seconds: cost that ``pop`` charged for the request.
        :param service_seconds: time that the request held a connection.
        """
        ...

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the relative shares of the workspaces; others have weight 1."""
        ...


class FirstInFirstOut:
    """Serves requests in the order of arrival."""

    def __init__(self, times: ServiceTimes) -> None:
        self._waiting: OrderedDict[str, QueuedWork] = OrderedDict()
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def count(self, workspace: str) -> int:
        return self._counts.get(workspace, 0)

    def push(self, work: QueuedWork) -> None:
        self._waiting[work.request_id] = work
        self._counts[work.workspace] = self.count(work.workspace) + 1

    def pop(self, now: float) -> QueuedWork | None:
        if not self._waiting:
            return None
        _, work = self._waiting.popitem(last=False)
        self._counts[work.workspace] -= 1
        return work

    def remove(self, workspace: str, request_id: str) -> QueuedWork | None:
        work = self._waiting.pop(request_id, None)
        if work is not None:
            self._counts[work.workspace] -= 1
        return work

    def charge(
        self, workspace: str, expected_seconds: float, service_seconds: float
    ) -> None:
        """Do nothing: the order does not depend on service times."""

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Do nothing: the order does not depend on weights."""


class WorkspaceQueues:
    """Waiting requests by workspace, oldest first in each."""

    def __init__(self) -> None:
        self._queues: dict[str, OrderedDict[str, QueuedWork]] = {}
        self._n_waiting = 0

    def __len__(self) -> int:
        return self._n_waiting

    def count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        return len(self._queues.get(workspace, ()))

    def push(self, work: QueuedWork) -> None:
        """Append a request to the queue of its workspace."""
        queue = self._queues.setdefault(work.workspace, OrderedDict())
        queue[work.request_id] = work
        self._n_waiting += 1

    def iterate_heads(self) -> Iterator[QueuedWork]:
        """Iterate over the oldest request of each workspace with waiting requests."""
        return (next(iter(queue.values())) for queue in self._queues.values())

    def remove(self, workspace: str, request_id: str) -> QueuedWork | None:
        """Remove one request."""
        queue = self._queues.get(workspace)
        work = None if queue is None else queue.pop(request_id, None)
        if work is not None:
            self._n_waiting -= 1
            if not queue:
                del self._queues[workspace]
        return work


class WeightedFairQueueing:
    """Serves workspaces in proportion to their weights.

    Start-time fair queueing (P. Goyal, H. M. Vin, H. Cheng): each request gets a start
    tag, the larger of the virtual time and the finish tag of the workspace's previous
    request, and a finish tag, the start tag plus its cost over the weight. The request
    with the lowest start tag is next, and its tag becomes the virtual time. The cost is
    the expected time on a connection; a finish tag is corrected once the actual time is
    known.

    :param times: smoothed service times.
    """

    def __init__(self, times: ServiceTimes) -> None:
        self._times = times
        self._waiting = WorkspaceQueues()
        self._weights: Mapping[str, float] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def count(self, workspace: str) -> int:
        return self._waiting.count(workspace)

    def push(self, work: QueuedWork) -> None:
        if self._waiting.count(work.workspace) == 0:
            # A workspace gains no credit while it has no waiting requests.
            tag = self._finish_tags.get(work.workspace, 0.0)
            self._finish_tags[work.workspace] = max(tag, self._virtual_time)
        self._waiting.push(work)

    def pop(self, now: float) -> QueuedWork | None:
        work = min(
            self._waiting.iterate_heads(),
            key=lambda item: (self._finish_tags[item.workspace], item.queued_at),
            default=None,
        )
        if work is None:
            return None
        self._waiting.remove(work.workspace, work.request_id)
        start_tag = self._finish_tags[work.workspace]
        self._virtual_time = max(self._virtual_time, start_tag)
        cost = self._times.estimate(work.workspace)
        self._finish_tags[work.workspace] = start_tag + self._divide_by_weight(
            work.workspace, cost
        )
        return work

    def remove(self, workspace: str, request_id: str) -> QueuedWork | None:
        return self._waiting.remove(workspace, request_id)

    def charge(
        self, workspace: str, expected_seconds: float, service_seconds: float
    ) -> None:
        difference = self._divide_by_weight(
            workspace, service_seconds - expected_seconds
        )
        tag = self._finish_tags.get(workspace, self._virtual_time)
        self._finish_tags[workspace] = tag + difference

    def set_weights(self, weights: Mapping[str, float]) -> None:
        self._weights = weights

    def _divide_by_weight(self, workspace: str, seconds: float) -> float:
        return seconds / max(self._weights.get(workspace, 1.0), 1e-6)
