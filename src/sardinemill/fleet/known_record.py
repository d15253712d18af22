"""Newest fleet record that an instance knows, beside what the store and others hold.

After the store came back from an older copy, what it holds is not what counts. This
module decides which record counts and what has to be written over which revision.
"""

from dataclasses import replace

from .messages import NO_ERA, FleetAnswer, FleetQuestion
from .record_merge import VersionedRecord, restore_record, withdraw_primaries
from .record_writer import WriteBase
from .records import FleetRecord
from .store_era import StoreEra
from .store_versions import StoreVersion, is_covered

# Bound of the log line about restored groups.
MAX_LOGGED_GROUPS = 20


class KnownRecord:
    """Newest known record; an older one never replaces it.

    :param era: of the store, as this instance knows it.
    """

    def __init__(self, era: StoreEra) -> None:
        self._era = era
        self._known = VersionedRecord()
        # What the store holds if it has to be replaced.
        self._found: VersionedRecord | None = None
        # Record of an older era that the known one does not go on from.
        self._stray: VersionedRecord | None = None

    @property
    def record(self) -> FleetRecord:
        """Newest known record, empty while none is known."""
        return self._known.record

    @property
    def version(self) -> StoreVersion:
        """Version of the newest known record."""
        return self._known.version

    # Updates

    def adopt(self, record: VersionedRecord, now: float) -> bool:
        """Adopt a later record, unless it lacks something that is known here.

        :returns: whether it was adopted.
        """
        if record.version <= self.version or not record.covers(self._known):
            return False
        self._known = record
        self._found = None
        if self._stray is not None and record.covers(self._stray):
            self._stray = None
        self._era.learn_copy(record.record, now)
        return True

    def note_read(self, read: VersionedRecord, now: float) -> None:
        """Note whether the store holds a record that has to be replaced."""
        is_found = read.version != self.version or not self._era.is_restored(
            self.record, now
        )
        is_overtaken = read.version.revision <= self.version.revision
        if self.version.era == self._era.current and is_overtaken:
            is_found = False
        self._found = read if is_found else None

    def note_answered(self, answered: VersionedRecord) -> bool:
        """Note another instance's record that was not adopted and has to be merged.

        :returns: whether a write of the known record can merge it.
        """
        if answered.version > self.version:
            self._found = answered
            return False
        if self._known.covers(answered):
            return False
        self._stray = answered
        return True

    def forget_copy(self) -> None:
        """Forget what the store held, since it came back from a copy or was written."""
        self._found = None

    def describe_restoration(self, written: FleetRecord) -> dict[str, object] | None:
        """Return what a written record has restored, as fields for the log.

        :returns: ``None`` if it was not written over one of an older era.
        """
        if self._found is None or self._found.version.era == written.era:
            return None
        found = self._found.record
        changed = [
            item.group
            for item in written.groups
            if item != found.find_group(item.group)
        ]
        uncertain = [item.group for item in written.groups if not item.primary]
        return {
            "era": written.era,
            "copy_era": self._found.version.era,
            "copy_revision": self._found.version.revision,
            "fence": written.fence,
            "groups": changed[:MAX_LOGGED_GROUPS],
            "n_groups": len(changed),
            "n_uncertain": len(uncertain),
        }

    # Versions

    def identify_read(self, record: FleetRecord, revision: int) -> VersionedRecord:
        """Return a record in the store with its version.

        Instances of the version before drop the era when they write.
        """
        is_later = revision > self.version.revision
        if record.era == 0 < self.version.era == self._era.current and is_later:
            return self._continue_known(record, revision)
        return VersionedRecord(record, StoreVersion(record.era, revision))

    def identify_answered(
        self, record: FleetRecord, version: StoreVersion
    ) -> VersionedRecord:
        """Return another instance's record with its version."""
        if record.era != version.era:
            return self._continue_known(record, version.revision)
        return VersionedRecord(record, version)

    def find_peer_version(self, message: FleetQuestion | FleetAnswer) -> StoreVersion:
        """Return the version of another instance's record.

        The version before names no era; its revisions count in that of the known one.
        """
        if message.store_era == NO_ERA:
            return StoreVersion(self.version.era, message.record_revision)
        return StoreVersion(message.record_era, message.record_revision)

    def _continue_known(self, record: FleetRecord, revision: int) -> VersionedRecord:
        """Return a record without an era as one that goes on from the known one."""
        era = self.version.era
        marked = replace(record, era=era, restored=self.record.restored)
        return VersionedRecord(marked, StoreVersion(era, revision))

    # Decisions

    def is_lacking(self, question: FleetQuestion) -> bool:
        """Return whether the sender's record does not go on from the known one."""
        is_old = question.store_era == NO_ERA
        restored = self.record.restored if is_old else question.restored
        version = self.find_peer_version(question)
        return not is_covered(self.version, version, restored)

    def is_wanted(self, question: FleetQuestion, *, is_coordinator: bool) -> bool:
        """Return whether to ask the sender for its record.

        Once it is known, it takes a write until the known record goes on from it, in
        which the sender is not asked again.
        """
        version = self.find_peer_version(question)
        if is_covered(version, self.version, self.record.restored):
            return False
        if version > self.version:
            return self._found is None or version > self._found.version
        is_noted = self._stray is not None and self._stray.version == version
        return is_coordinator and not is_noted

    def choose_write_base(self, rank: int | None, now: float) -> WriteBase | None:
        """Return what the next write starts from, ``None`` if none may be made now.

        :param rank: among the coordinators, ``None`` if it is not one of them.
        """
        era, known, found = self._era.current, self._known, self._found
        record, revision = known.record, known.version.revision
        if found is not None:
            revision = found.version.revision
        if record.era == era:
            if self._stray is not None:
                record = restore_record(known, self._stray, era)
            is_required = found is not None or self._stray is not None
        elif found is not None:
            if not self._era.may_restore(rank, now):
                return None
            record, is_required = restore_record(known, found, era), True
            if found.version.era != era and not self._era.knows_newest_record:
                record = withdraw_primaries(record)
        elif self._era.is_restored(record, now):
            # The store has begun to name eras, or an earlier version wrote the record.
            record, is_required = restore_record(known, known, era), True
        else:
            return None
        return WriteBase(
            record=record,
            revision=revision,
            known_version=known.version,
            is_required=is_required,
        )

    def add_found_coordinators(self) -> FleetRecord:
        """Return the known record with the coordinators that the found one names too.

        They may know records that those of the known one do not.
        """
        if self._found is None or self.record.era == self._era.current:
            return self.record
        others = tuple(
            item
            for item in self._found.record.coordinators
            if self.record.find_coordinator(item.name) is None
        )
        return replace(self.record, coordinators=(*self.record.coordinators, *others))
