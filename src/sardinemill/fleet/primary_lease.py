"""Lease on a group's primary: for how long an instance may use it without new evidence.

A failover begins with a write of the fleet record. The coordinator that wrote it waits
for ``PRIMARY_LEASE_SECONDS`` and a margin before it acts. An instance uses a primary
only within ``PRIMARY_LEASE_SECONDS`` of a moment at which no failover was recorded, so
it has stopped before the new primary takes its first write, even if it is partitioned.

Two kinds of evidence renew the lease. The first is the record itself, as the instance
or another one read it from the store. The second serves while the store is unavailable:
only coordinators change the record, so confirmations from all of them that they know of
no later write are equivalent. A coordinator that other instances may not know of yet
starts no failover until no set of confirmations can be complete without its own.

All groups are in one record, so evidence renews the leases on all primaries together.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from .records import FleetRecord
from .store_versions import StoreVersion

# Long enough for three questions to the coordinators, short enough that a failover
# ends within the target of 5 s.
PRIMARY_LEASE_SECONDS = 1.3
# Covers the time that a statement sent at the end of the lease needs to reach the
# database. A write that is answered after the lease has ended is not acknowledged.
PRIMARY_LEASE_MARGIN_SECONDS = 0.3
# The confirmations of the coordinators count for this long after the store confirmed
# the list of coordinators. It bridges a store outage of this length.
MAX_COORDINATOR_LIST_AGE_SECONDS = 7.0
# A new coordinator starts no failover for this time after it joined, because instances
# with an older list do not ask it for confirmation.
ESTABLISHMENT_DELAY_SECONDS = (
    MAX_COORDINATOR_LIST_AGE_SECONDS
    + PRIMARY_LEASE_SECONDS
    + PRIMARY_LEASE_MARGIN_SECONDS
)


@dataclass(frozen=True, slots=True)
class CoordinatorConfirmation:
    """A coordinator's answer that it knows of no record later than a version.

    :param incarnation: process of the coordinator.
    :param asked_at: when the question was sent, on the local clock.
    :param version: of the record that the coordinator knew.
    """

    incarnation: str
    asked_at: float
    version: StoreVersion


def find_unanimous_confirmation_time(
    record: FleetRecord,
    version: StoreVersion,
    confirmations: Mapping[str, CoordinatorConfirmation],
    confirmed_by_store_at: float,
    now: float,
) -> float | None:
    """Find the latest time at which no coordinator knew of a later write.

    A write that is in flight, or whose answer was lost, does no harm: its author starts
    its waiting time when it learns that the write has taken effect, and confirms only
    the new version from then on.

    :param confirmations: last confirmation of each coordinator by name.
    :param confirmed_by_store_at: when the record was last known to be in the store.
    :returns: ``None`` unless all coordinators of the list have confirmed the version
        and the list is recent enough.
    """
    if (
        not record.coordinators
        or now - confirmed_by_store_at > MAX_COORDINATOR_LIST_AGE_SECONDS
    ):
        return None
    times: list[float] = []
    for coordinator in record.coordinators:
        confirmation = confirmations.get(coordinator.name)
        if (
            confirmation is None
            or confirmation.incarnation != coordinator.incarnation
            or confirmation.version != version
        ):
            return None
        times.append(confirmation.asked_at)
    return min(times)
