"""Versions of the fleet record over the eras of the store.

The era of the store rises by one whenever it comes back from an older copy. Revisions
are given out again then, so they are comparable within an era only. A version has the
era in which the record was written, which the record itself names: a copy that is read
in a later era keeps its version, and is older than what replaced it before.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Eras for which a record keeps the version that it goes on from. An instance that was
# cut off for more of them no longer knows anything that matters.
MAX_RESTORED_ERAS = 8


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """Version of the fleet record; a later one is greater.

    :param era: in which it was written, 0 if the store names none.
    :param revision: in the store.
    """

    era: int = 0
    revision: int = 0


def is_covered(
    version: StoreVersion, current: StoreVersion, restored: Sequence[StoreVersion]
) -> bool:
    """Return whether a current record goes on from a version, so that nothing is lost.

    :param version: revision 0 stands for no record.
    :param restored: versions of older eras that the current record goes on from.
    """
    if not version.revision:
        return True
    if version.era == current.era or version > current:
        return version <= current
    for item in restored:
        if item.era == version.era:
            return version <= item
    is_forgotten = all(version.era < item.era for item in restored)
    return is_forgotten and len(restored) == MAX_RESTORED_ERAS


def extend_restored(
    restored: Sequence[StoreVersion], *versions: StoreVersion, era: int
) -> tuple[StoreVersion, ...]:
    """Return the versions that a record of an era goes on from, one for each era.

    :param versions: to add; those that are not of an older era are skipped, and
        those of revision 0, which stands for no record.
    """
    newest: dict[int, StoreVersion] = {}
    for item in (*restored, *versions):
        if item.era < era and item.revision:
            newest[item.era] = max(item, newest.get(item.era, item))
    return tuple(sorted(newest.values())[-MAX_RESTORED_ERAS:])
