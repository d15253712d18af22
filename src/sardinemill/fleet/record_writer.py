"""Writes of the fleet record: one at a time, each on the revision that was known."""

from dataclasses import replace

from .coordinator_membership import CoordinatorMembership
from .records import FleetRecord, GroupRecord
from .store_messages import StoreFault, StoreRequestFailed, WriteRecord
from .views import GroupProposal, Identity

# A write without an answer is made again after this time.
WRITE_RETRY_SECONDS = 2.0
NEVER = float("-inf")


class RecordWriting:
    """The write that is on its way, and the changes that wait for it."""

    def __init__(self, identity: Identity, joining: CoordinatorMembership) -> None:
        self._identity = identity
        self._joining = joining
        self._proposals: dict[str, GroupProposal] = {}
        self._write: WriteRecord | None = None
        self._retry_at = NEVER

    def propose(self, proposal: GroupProposal) -> None:
        """Take a change of one group; it replaces an earlier one."""
        self._proposals[proposal.group.group] = proposal

    def start(
        self, record: FleetRecord, revision: int, now: float
    ) -> WriteRecord | None:
        """Begin the next write, or repeat one without an answer.

        :returns: ``None`` when there is nothing to write now.
        """
        if self._write is not None:
            if now < self._retry_at:
                return None
            # The same write again: at most one of them can take effect.
            self._retry_at = now + WRITE_RETRY_SECONDS
            return self._write
        changed = self._apply_proposals(record, now)
        if changed == record:
            return None
        self._write = WriteRecord(changed, revision)
        self._retry_at = now + WRITE_RETRY_SECONDS
        return self._write

    def end(self) -> None:
        """Note that the write was answered."""
        self._write = None

    def fail(self, failure: StoreRequestFailed, now: float) -> bool:
        """Note that a write was rejected or not answered.

        :returns: whether it was the one on its way.
        """
        if failure.request != self._write:
            return False
        if failure.fault is StoreFault.NO_ANSWER:
            # It may still take effect. The record tells.
            self._retry_at = now + WRITE_RETRY_SECONDS
        else:
            self._write = None
            self._joining.note_rejection()
        return True

    def resolve(self, revision: int) -> None:
        """Forget a write that can no longer take effect.

        :param revision: of the record that is known now.
        """
        if self._write is not None and revision > self._write.revision:
            self._write = None

    def _apply_proposals(self, record: FleetRecord, now: float) -> FleetRecord:
        """The record with all changes; those that came too late are dropped."""
        changed = self._joining.apply(record, now)
        for name, proposal in list(self._proposals.items()):
            del self._proposals[name]
            is_current = record.find_group(name) == proposal.expected
            if is_current and self._joining.is_coordinator(record):
                changed = _replace_group(changed, proposal.group)
                if proposal.acquires_fencing_token:
                    changed = self._take_fence(changed)
        return changed

    def _take_fence(self, record: FleetRecord) -> FleetRecord:
        own = (self._identity.name, self._identity.incarnation)
        if (record.holder, record.holder_incarnation) == own:
            return record
        return replace(
            record,
            holder=self._identity.name,
            holder_incarnation=self._identity.incarnation,
            fence=record.fence + 1,
        )


def _replace_group(record: FleetRecord, group: GroupRecord) -> FleetRecord:
    others = (item for item in record.groups if item.group != group.group)
    groups = sorted((*others, group), key=lambda item: item.group)
    return replace(record, groups=tuple(groups))
