"""Queue limits and scheduling weights from the configuration in force."""

from collections.abc import Mapping

from ..configuration import EMPTY_CONFIGURATION, Configuration

# Queue limit of a workspace that has no plan in the configuration in force.
DEFAULT_N_QUEUED = 64


class WorkspacePlans:
    """Queue limits and scheduling weights of the workspaces."""

    def __init__(self) -> None:
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self.weights: Mapping[str, float] = {}

    def update(self, configuration: Configuration) -> None:
        """Apply a configuration if its version is higher than that in force."""
        if configuration.version <= self._configuration.version:
            return
        self._configuration = configuration
        plans = configuration.plans
        self.weights = {
            entry.name: plans[entry.plan].weight
            for entry in configuration.workspaces.values()
            if entry.plan in plans
        }

    def find_queue_limit(self, workspace: str) -> int:
        """Return how many requests of a workspace may wait in one queue."""
        entry = self._configuration.workspaces.get(workspace)
        plan = None if entry is None else self._configuration.plans.get(entry.plan)
        return DEFAULT_N_QUEUED if plan is None else plan.n_queued
