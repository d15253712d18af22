"""Writes of the fleet record: one at a time, conditional on the known revision."""

from dataclasses import dataclass, replace

from .coordinator_membership import CoordinatorMembership
from .records import FleetRecord, GroupRecord
from .store_messages import StoreFault, StoreRequestFailed, WriteRecord
from .store_versions import StoreVersion
from .views import GroupProposal, Identity

# A write without an answer is sent again after this time.
WRITE_RETRY_SECONDS = 2.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteBase:
    """Record that the next write starts from.

    :param revision: that the store has now.
    :param known_version: version of the newest known record.
    :param is_required: a coordinator writes it even without changes.
    """

    record: FleetRecord
    revision: int
    known_version: StoreVersion
    is_required: bool = False


class RecordWriter:
    """Keeps the write in flight and the proposals that wait for it."""

    def __init__(self, identity: Identity, membership: CoordinatorMembership) -> None:
        self._identity = identity
        self._membership = membership
        self._proposals: dict[str, GroupProposal] = {}
        self._write: WriteRecord | None = None
        self._known_version = StoreVersion()
        self._retry_at = NEVER

    def propose(self, proposal: GroupProposal) -> None:
        """Queue a proposal; it replaces an earlier one for the same group."""
        self._proposals[proposal.group.group] = proposal

    def start_write(self, base: WriteBase, now: float) -> WriteRecord | None:
        """Start the next write, or repeat one without an answer.

        :param base: what to apply the proposals to.
        :returns: ``None`` when there is nothing to write now.
        """
        if self._write is not None:
            if now < self._retry_at:
                return None
            # The repeated write has the same expected revision, so at most one of them
            # can take effect.
            self._retry_at = now + WRITE_RETRY_SECONDS
            return self._write
        changed = self._apply_proposals(base.record, now)
        is_required = base.is_required and self._membership.is_coordinator(base.record)
        if changed == base.record and not is_required:
            return None
        self._write = WriteRecord(changed, base.revision)
        self._known_version = base.known_version
        self._retry_at = now + WRITE_RETRY_SECONDS
        return self._write

    def record_success(self, record: FleetRecord) -> None:
        """Record that the write of a record succeeded."""
        if self._write is not None and self._write.record == record:
            self._write = None

    def reset(self) -> None:
        """Give up the write in flight and all proposals, which rest on an older era."""
        self._write = None
        self._proposals.clear()

    def record_failure(self, failure: StoreRequestFailed, now: float) -> bool:
        """Record that a write was rejected or not answered.

        :returns: whether it was the write in flight.
        """
        if failure.request != self._write:
            return False
        if failure.fault is StoreFault.NO_ANSWER:
            # It may still take effect; the next read of the record shows whether it
            # did.
            self._retry_at = now + WRITE_RETRY_SECONDS
        else:
            self._write = None
            self._membership.record_rejection()
        return True

    def discard_superseded(self, version: StoreVersion) -> None:
        """Discard a write that can no longer take effect.

        :param version: of the newest known record.
        """
        if version > self._known_version:
            self._write = None

    def _apply_proposals(self, record: FleetRecord, now: float) -> FleetRecord:
        """Return the record with all proposals applied.

        A proposal is dropped if the group has changed since it was made, or if this
        instance is not a coordinator.
        """
        changed = self._membership.apply(record, now)
        for name, proposal in list(self._proposals.items()):
            del self._proposals[name]
            is_current = record.find_group(name) == proposal.expected
            if is_current and self._membership.is_coordinator(record):
                changed = _replace_group(changed, proposal.group)
                if proposal.acquires_fencing_token:
                    changed = self._acquire_fencing_token(changed)
        return changed

    def _acquire_fencing_token(self, record: FleetRecord) -> FleetRecord:
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
