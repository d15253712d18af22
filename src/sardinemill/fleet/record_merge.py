"""Merging of fleet records after the store came back from an older copy."""

from dataclasses import dataclass, field, replace

from .records import WITHDRAWN, FleetRecord, GroupPhase, GroupRecord
from .store_versions import StoreVersion, extend_restored, is_covered

# Fences of an era start at this multiple of it. Fewer changes of holder take place in
# an era, so no fence is given out twice although the store has lost the last ones.
FENCES_PER_ERA = 1000
# Eras above this one do not raise the fence any more, since it has to fit into 64 bits.
MAX_FENCE_ERA = 9 * 10**15


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """Fleet record with its version."""

    record: FleetRecord = field(default_factory=FleetRecord)
    version: StoreVersion = field(default_factory=StoreVersion)

    def covers(self, other: "VersionedRecord") -> bool:
        """Return whether this record goes on from another one."""
        return is_covered(other.version, self.version, self.record.restored)


def restore_record(
    known: VersionedRecord, found: VersionedRecord, era: int
) -> FleetRecord:
    """Return the record to write over an older one that the store came back with.

    The newer one counts if it goes on from the other one. Otherwise both have changed
    since a common ancestor and are merged.

    :param known: newest record that this instance knows.
    :param found: record that is in the store, or that another instance knows.
    :param era: of the store.
    """
    if known.covers(found):
        base = known.record
    elif found.covers(known):
        base = found.record
    else:
        base = merge_records(known.record, found.record)
    restored = extend_restored(
        (*known.record.restored, *found.record.restored),
        known.version,
        found.version,
        era=era,
    )
    fence = max(known.record.fence, found.record.fence)
    return mark_era(replace(base, restored=restored, fence=fence), era)


def mark_era(record: FleetRecord, era: int) -> FleetRecord:
    """Return a record as one that is written in an era, with a fence of that era."""
    lowest_fence = FENCES_PER_ERA * min(era, MAX_FENCE_ERA)
    return replace(record, era=era, fence=max(record.fence, lowest_fence))


def withdraw_primaries(record: FleetRecord) -> FleetRecord:
    """Return a record with no certain primary: the databases' terms decide.

    The holder's process is withdrawn as well, so that nobody waits for it.
    """
    groups = (_make_uncertain(item) for item in record.groups)
    return replace(record, groups=tuple(groups), holder_incarnation=WITHDRAWN)


def merge_records(known: FleetRecord, found: FleetRecord) -> FleetRecord:
    """Merge two records that have changed since a common ancestor.

    The coordinators are those of the record of the later era, since the confirmations
    of that era are theirs. Fence, terms and attempts are never lowered.
    """
    newer, older = (known, found) if known.era > found.era else (found, known)
    holding = older if older.fence > newer.fence else newer
    groups = {item.group: item for item in older.groups}
    for item in newer.groups:
        other = groups.get(item.group)
        groups[item.group] = item if other is None else merge_groups(item, other)
    return replace(
        newer,
        groups=tuple(groups[name] for name in sorted(groups)),
        holder=holding.holder,
        holder_incarnation=holding.holder_incarnation,
        fence=holding.fence,
    )


def merge_groups(one: GroupRecord, other: GroupRecord) -> GroupRecord:
    """Merge two records of a group; the order of the arguments does not matter.

    The primary of the higher term counts. If the other one was being changed, the
    change may have promoted another database since, and if both name different
    primaries in one term, neither is certain. Then no primary is named and the group is
    being changed, so that the terms of its databases decide.
    """
    high, low = (one, other) if one.term >= other.term else (other, one)
    attempt = max(high.attempt, low.attempt)
    is_low_changing = low.phase is GroupPhase.CHANGING
    if high.term > low.term:
        is_certain = not is_low_changing
    else:
        is_certain = high.primary == low.primary
        if is_certain:
            high = replace(
                high,
                primary_born_ms=max(high.primary_born_ms, low.primary_born_ms),
                phase=low.phase if is_low_changing else high.phase,
            )
    if is_certain:
        return replace(high, attempt=attempt)
    return replace(_make_uncertain(high), attempt=attempt)


def _make_uncertain(group: GroupRecord) -> GroupRecord:
    return replace(group, primary="", primary_born_ms=0, phase=GroupPhase.CHANGING)
