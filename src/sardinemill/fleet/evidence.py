"""When an instance may use a primary: evidence that no change has begun.

A change of primary begins with a write of the fleet record and waits for
``RIGHT_SECONDS`` and a margin before it acts. An instance that uses a primary only
within ``RIGHT_SECONDS`` of a moment at which no change was written has therefore
stopped before the new primary takes its first write, also when it is cut off.

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
RIGHT_SECONDS = 1.8
# Covers the time that a statement sent just in time needs to reach the database.
RIGHT_MARGIN_SECONDS = 0.4
# The word of the coordinators counts this long after the list of them was confirmed.
# It bridges an outage of the store of this length.
WORD_SECONDS = 7.0
# A new coordinator changes no primary for this time after it joined.
JOIN_SECONDS = WORD_SECONDS + RIGHT_SECONDS + RIGHT_MARGIN_SECONDS


@dataclass(frozen=True, slots=True)
class CoordinatorWord:
    """A coordinator said that it had written nothing.

    :param asked_at: when the question was sent, on the local clock.
    :param revision: of the record that the coordinator knew.
    :param pending_groups: groups that a write of it may still change.
    """

    incarnation: str
    asked_at: float
    revision: int
    pending_groups: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UnanimousWord:
    """What all coordinators said.

    :param at: time at which none of them had written anything.
    :param pending_groups: groups for which that does not hold.
    """

    at: float
    pending_groups: frozenset[str]


def find_unanimous_word(
    record: FleetRecord,
    revision: int,
    words: Mapping[str, CoordinatorWord],
    confirmed_by_store_at: float,
    now: float,
) -> UnanimousWord | None:
    """Find the latest time at which all coordinators had written nothing.

    :param words: last word of each coordinator by name.
    :param confirmed_by_store_at: when the record was last known to be in the store.
    :returns: ``None`` when the words do not suffice.
    """
    if not record.coordinators or now - confirmed_by_store_at > WORD_SECONDS:
        return None
    times: list[float] = []
    pending: set[str] = set()
    for coordinator in record.coordinators:
        word = words.get(coordinator.name)
        if (
            word is None
            or word.incarnation != coordinator.incarnation
            or word.revision != revision
        ):
            return None
        times.append(word.asked_at)
        pending.update(word.pending_groups)
    return UnanimousWord(min(times), frozenset(pending))
