"""Detects that a partition has cost this instance its primary leases."""

from ..events import Event, EventName
from ..interfaces import Emission
from .primary_lease import PRIMARY_LEASE_SECONDS
from .views import IsolationChanged


class IsolationDetector:
    """Reports when this instance becomes isolated and when that ends.

    While all coordinators answer, no other instance holds a primary lease either, so
    moving sessions elsewhere would not help.
    """

    def __init__(self) -> None:
        self._reported = IsolationChanged(False)

    def update(
        self,
        n_reachable: int,
        n_coordinators: int,
        n_instances: int,
        evidence_age_seconds: float,
    ) -> list[Emission]:
        """Report a change.

        :param n_reachable: coordinators that answered recently.
        :param n_coordinators: coordinators in the fleet record.
        :param n_instances: instances of the fleet, for the log.
        :param evidence_age_seconds: of the primary leases.
        :returns: messages for ``isolation`` and ``events``.
        """
        has_primary_lease = evidence_age_seconds <= PRIMARY_LEASE_SECONDS
        is_partitioned = n_reachable < n_coordinators
        changed = IsolationChanged(not has_primary_lease and is_partitioned)
        if changed == self._reported:
            return []
        self._reported = changed
        fields = {"n_heard": n_reachable, "n_instances": n_instances}
        name = EventName.ISOLATED if changed.is_isolated else EventName.ISOLATION_ENDED
        return [Emission("isolation", changed), Emission("events", Event(name, fields))]
