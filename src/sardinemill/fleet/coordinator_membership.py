"""Membership in the list of coordinators: joining, leaving, replacing silent ones."""

from dataclasses import replace

from ..interfaces import RandomSource
from .primary_lease import (
    ESTABLISHMENT_DELAY_SECONDS,
    PRIMARY_LEASE_MARGIN_SECONDS,
    PRIMARY_LEASE_SECONDS,
)
from .records import Coordinator, FleetRecord
from .store_versions import StoreVersion
from .views import Identity

N_COORDINATORS = 3
# A coordinator that has not answered for this time, two questions, counts as
# unreachable.
UNREACHABLE_AFTER_SECONDS = 1.6
# A coordinator that has not answered for this time is replaced.
REPLACE_AFTER_SECONDS = 2.0
# Applies when no coordinator answers: the instance is then more likely to be
# partitioned itself, so it waits longer before it replaces them.
ALL_SILENT_REPLACE_AFTER_SECONDS = 5.0
# Random delay, so that few instances join at the same time.
MAX_JITTER_SECONDS = 0.8
NEVER = float("-inf")


class CoordinatorMembership:
    """Decides whether this instance should be in the list of coordinators.

    :ivar is_leaving: the instance shuts down and must not be in the list.
    """

    def __init__(self, identity: Identity, random: RandomSource) -> None:
        self._identity = identity
        self._random = random
        self._first_asked_at: dict[str, float] = {}
        self._last_answer_at: dict[str, float] = {}
        self._joined_at: float | None = None
        self._joined_version = StoreVersion()
        # When an established coordinator first confirmed a record with this instance.
        self._acknowledged_at: float | None = None
        self._join_at: float | None = None
        self.is_leaving = False

    @property
    def has_heard_no_coordinator(self) -> bool:
        """Whether no coordinator of the current list has answered so far."""
        return not self._last_answer_at

    def is_coordinator(self, record: FleetRecord) -> bool:
        """Return whether this process is in the list; an earlier one does not count."""
        own = record.find_coordinator(self._identity.name)
        return own is not None and own.incarnation == self._identity.incarnation

    def find_rank(self, record: FleetRecord) -> int | None:
        """Return this instance's place in the list, ``None`` if it is not in it."""
        if not self.is_coordinator(record):
            return None
        names = [item.name for item in record.coordinators]
        return names.index(self._identity.name)

    def list_reachable(self, record: FleetRecord, now: float) -> tuple[str, ...]:
        """Return the names of reachable coordinators in the order of the list."""
        return tuple(
            item.name
            for item in record.coordinators
            if item.name == self._identity.name
            or now - self._last_answer_at.get(item.name, NEVER)
            < UNREACHABLE_AFTER_SECONDS
        )

    # Inputs

    def update_record(
        self, record: FleetRecord, version: StoreVersion, now: float
    ) -> None:
        """Adopt a new record: a pending join is cancelled and decided again."""
        names = {item.name for item in record.coordinators}
        self._last_answer_at = {
            name: at for name, at in self._last_answer_at.items() if name in names
        }
        self._first_asked_at = {
            name: at for name, at in self._first_asked_at.items() if name in names
        }
        self._join_at = None
        if not self.is_coordinator(record):
            self._joined_at = self._acknowledged_at = None
        elif self._joined_at is None:
            self._joined_at = now
            self._joined_version = version

    def record_question(self, name: str, now: float) -> None:
        """Record that a question was sent to an instance."""
        self._first_asked_at.setdefault(name, now)

    def record_answer(self, name: str, now: float) -> None:
        """Record that a coordinator answered."""
        self._last_answer_at[name] = max(self._last_answer_at.get(name, NEVER), now)

    def record_confirmation(
        self, coordinator: Coordinator, version: StoreVersion, now: float
    ) -> None:
        """Record which version of the record a coordinator confirmed.

        An instance with an older list needs the confirmations of all its coordinators
        for that older version. Once an established one confirms a version that
        contains this instance, no older list can be confirmed any more. An answer of a
        coordinator that is not established itself does not count, since the older list
        may lack it.
        """
        knows_own_entry = (
            self._joined_at is not None and version >= self._joined_version
        )
        if (
            knows_own_entry
            and coordinator.is_established
            and self._acknowledged_at is None
        ):
            self._acknowledged_at = now

    def record_pause(self) -> None:
        """Restart the timeouts and cancel a pending join after a pause of this process.

        Answers that are missing because of the pause say nothing about the others.
        """
        self._first_asked_at.clear()
        self._join_at = None

    def record_rejection(self) -> None:
        """Cancel a pending join; a conflicting write may have made it needless."""
        self._join_at = None

    # Decisions

    def schedule_join(self, record: FleetRecord, now: float) -> None:
        """Schedule or cancel joining the list."""
        if self.is_coordinator(record) or self.is_leaving:
            self._join_at = None
            return
        names = [item.name for item in record.coordinators]
        silent = [name for name in names if self._is_silent(name, now)]
        is_needed = len(names) - len(silent) < N_COORDINATORS
        if names and len(silent) == len(names):
            last = max(self._find_last_contact(name) for name in silent)
            is_needed = now - last > ALL_SILENT_REPLACE_AFTER_SECONDS
        if not is_needed:
            self._join_at = None
        elif self._join_at is None:
            data_centres = {item.data_centre for item in record.coordinators}
            # Instances of data centres without a coordinator join first.
            penalty = 1.0 if self._identity.data_centre in data_centres else 0.0
            wait = MAX_JITTER_SECONDS * (self._random.random() + penalty)
            self._join_at = now + (wait if names else wait / 4)

    def apply(self, record: FleetRecord, now: float) -> FleetRecord:
        """Return the record with this instance's entry added, updated or removed."""
        name = self._identity.name
        own = record.find_coordinator(name)
        others = tuple(item for item in record.coordinators if item.name != name)
        if self.is_leaving:
            return record if own is None else replace(record, coordinators=others)
        entry = Coordinator(
            name=name,
            data_centre=self._identity.data_centre,
            host=self._identity.address.host,
            port=self._identity.address.port,
            incarnation=self._identity.incarnation,
            is_established=self._is_established(own, record, now),
        )
        if own == entry:
            return record
        if own is not None:
            # Keeps its place, because the order of the list defines the ranks.
            coordinators = tuple(
                entry if item == own else item for item in record.coordinators
            )
            return replace(record, coordinators=coordinators)
        if self._join_at is None or now < self._join_at:
            return record
        kept = [item for item in others if not self._is_silent(item.name, now)]
        if len(kept) >= N_COORDINATORS:
            return record
        return replace(record, coordinators=(*kept, entry))

    def _is_established(
        self, own: Coordinator | None, record: FleetRecord, now: float
    ) -> bool:
        """Return whether no instance can rely on a list that lacks this coordinator."""
        if not record.coordinators and not record.groups:
            # No instance can have used a primary before the first coordinator.
            return True
        if own is None:
            return False
        if own.incarnation == self._identity.incarnation:
            return own.is_established or self._have_older_leases_ended(now)
        # A process that listens at the address of its predecessor proves that the
        # predecessor has ended: no list that names it can be confirmed any more.
        has_same_address = (own.host, own.port) == (
            self._identity.address.host,
            self._identity.address.port,
        )
        return own.is_established and has_same_address

    def _have_older_leases_ended(self, now: float) -> bool:
        """Return whether all primary leases that rest on older lists have ended."""
        if (
            self._joined_at is not None
            and now - self._joined_at > ESTABLISHMENT_DELAY_SECONDS
        ):
            return True
        wait = PRIMARY_LEASE_SECONDS + PRIMARY_LEASE_MARGIN_SECONDS
        return self._acknowledged_at is not None and now - self._acknowledged_at > wait

    def _find_last_contact(self, name: str) -> float:
        return max(
            self._last_answer_at.get(name, NEVER), self._first_asked_at.get(name, NEVER)
        )

    def _is_silent(self, name: str, now: float) -> bool:
        last = self._find_last_contact(name)
        return name in self._first_asked_at and now - last > REPLACE_AFTER_SECONDS
