"""When an instance may use a primary: evidence that no change has begun.

A change of primary begins with a write of the fleet record and waits for
``PRIMARY_LEASE_SECONDS`` and a margin before it acts. An instance that uses a primary
only within ``PRIMARY_LEASE_SECONDS`` of a moment at which no change was written has
therefore stopped before the new primary takes its first write, also when it is cut off.

Two kinds of evidence count. The first is the record itself, read from the store, at
first or second hand. The second serves while the store is away: only coordinators
change the record, so the word of every one of them that it has written nothing since
is as good. A coordinator that others may not know of yet waits until no such word can
count without it.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from .records import FleetRecord

# Long enough for three questions to the coordinators, short enough that a change of
# primary ends within the 5 s of the target.
PRIMARY_LEASE_SECONDS = 1.3
# Covers the time that a statement sent just in time needs to reach the database. A
# write that is answered after the right has ended is not acknowledged.
PRIMARY_LEASE_MARGIN_SECONDS = 0.3
# The word of the coordinators counts this long after the list of them was confirmed.
# It bridges an outage of the store of this length.
MAX_COORDINATOR_LIST_AGE_SECONDS = 7.0
# A new coordinator changes no primary for this time after it joined.
ESTABLISHMENT_DELAY_SECONDS = (
    MAX_COORDINATOR_LIST_AGE_SECONDS
    + PRIMARY_LEASE_SECONDS
    + PRIMARY_LEASE_MARGIN_SECONDS
)


@dataclass(frozen=True, slots=True)
class CoordinatorConfirmation:
    """A coordinator said that it had written nothing.

    :param asked_at: when the question was sent, on the local clock.
    :param revision: of the record that the coordinator knew.
    """

    incarnation: str
    asked_at: float
    revision: int


def find_unanimous_confirmation_time(
    record: FleetRecord,
    revision: int,
    words: Mapping[str, CoordinatorConfirmation],
    confirmed_by_store_at: float,
    now: float,
) -> float | None:
    """Find the latest time at which no coordinator knew of a later write.

    A write that is on its way, or whose answer was lost, does no harm: its author
    counts the time to wait from when it learns that the write has taken effect, and
    its words name the new revision from then on.

    :param words: last word of each coordinator by name.
    :param confirmed_by_store_at: when the record was last known to be in the store.
    :returns: ``None`` when the words do not suffice.
    """
    if (
        not record.coordinators
        or now - confirmed_by_store_at > MAX_COORDINATOR_LIST_AGE_SECONDS
    ):
        return None
    times: list[float] = []
    for coordinator in record.coordinators:
        word = words.get(coordinator.name)
        if (
            word is None
            or word.incarnation != coordinator.incarnation
            or word.revision != revision
        ):
            return None
        times.append(word.asked_at)
    return min(times)
