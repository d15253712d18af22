"""Policies that are selected by name in the settings."""

from collections.abc import Callable, Mapping

from .filters.authentication import AvailableKeyPolicy, KeyPolicy, StrictKeyPolicy
from .filters.detection import (
    AccrualDetector,
    FailureDetector,
    ObserverDetector,
    TimeoutDetector,
)
from .filters.queueing import (
    FirstInFirstOut,
    QueuePolicy,
    ServiceTimes,
    WeightedFairQueueing,
)

KEY_POLICIES: Mapping[str, Callable[[], KeyPolicy]] = {
    "strict": StrictKeyPolicy,
    "available": AvailableKeyPolicy,
}
DETECTORS: Mapping[str, Callable[[], FailureDetector]] = {
    "timeout": TimeoutDetector,
    "observers": lambda: ObserverDetector(TimeoutDetector()),
    "accrual": AccrualDetector,
}
QUEUE_POLICIES: Mapping[str, Callable[[ServiceTimes], QueuePolicy]] = {
    "fifo": FirstInFirstOut,
    "fair": WeightedFairQueueing,
}
