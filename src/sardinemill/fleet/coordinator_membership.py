"""Which instances are coordinators: joining, leaving, replacing silent ones."""

from dataclasses import replace

from ..interfaces import RandomSource
from .primary_lease import (
    ESTABLISHMENT_DELAY_SECONDS,
    PRIMARY_LEASE_MARGIN_SECONDS,
    PRIMARY_LEASE_SECONDS,
)
from .records import Coordinator, FleetRecord
from .views import Identity

N_COORDINATORS = 3
# Without an answer for this time a coordinator counts as out of reach.
LONELY_SECONDS = 1.2
# A coordinator that is silent for this time is replaced.
SILENCE_SECONDS = 2.0
# An instance that hears no coordinator at all is more likely to be cut off itself.
ISOLATION_SECONDS = 5.0
# Spreads instances that find the same thing to do.
MAX_JITTER_SECONDS = 0.8
NEVER = float("-inf")


class CoordinatorMembership:
    """Decides whether this instance should be in the list of coordinators."""

    def __init__(self, identity: Identity, random: RandomSource) -> None:
        self._identity = identity
        self._random = random
        self._first_asked: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._joined_at: float | None = None
        self._joined_revision = 0
        # When an established coordinator was first known to know of this one.
        self._known_at: float | None = None
        self._due_at: float | None = None
        self.is_leaving = False

    @property
    def hears_nobody(self) -> bool:
        """No coordinator of the present list has ever answered."""
        return not self._heard

    def is_coordinator(self, record: FleetRecord) -> bool:
        """Tell whether this process is in the list."""
        own = record.find_coordinator(self._identity.name)
        return own is not None and own.incarnation == self._identity.incarnation

    def find_rank(self, record: FleetRecord) -> int | None:
        """Place among the coordinators, ``None`` if it is none."""
        if not self.is_coordinator(record):
            return None
        names = [item.name for item in record.coordinators]
        return names.index(self._identity.name)

    def list_heard(self, record: FleetRecord, now: float) -> tuple[str, ...]:
        """Coordinators that answered lately, in the order of the list."""
        return tuple(
            item.name
            for item in record.coordinators
            if item.name == self._identity.name
            or now - self._heard.get(item.name, NEVER) < LONELY_SECONDS
        )

    # What happens

    def note_record(self, record: FleetRecord, revision: int, now: float) -> None:
        """Another list of coordinators changes who should join, and when."""
        names = {item.name for item in record.coordinators}
        self._heard = {name: at for name, at in self._heard.items() if name in names}
        self._first_asked = {
            name: at for name, at in self._first_asked.items() if name in names
        }
        self._due_at = None
        if not self.is_coordinator(record):
            self._joined_at = self._known_at = None
        elif self._joined_at is None:
            self._joined_at = now
            self._joined_revision = revision

    def note_asked(self, name: str, now: float) -> None:
        """A question went to an instance."""
        self._first_asked.setdefault(name, now)

    def note_heard(self, name: str, now: float) -> None:
        """A coordinator answered."""
        self._heard[name] = max(self._heard.get(name, NEVER), now)

    def note_word(self, coordinator: Coordinator, revision: int, now: float) -> None:
        """A coordinator said which revision of the record it knows.

        Nobody counts on the words of a list without an established coordinator. From
        the time at which such a one knows of this instance, its word is no longer the
        same as that of those who do not, and agrees with no older list.
        """
        is_aware = self._joined_at is not None and revision >= self._joined_revision
        if is_aware and coordinator.is_established and self._known_at is None:
            self._known_at = now

    def note_pause(self) -> None:
        """This instance was paused; the others' silence says nothing."""
        self._first_asked.clear()
        self._due_at = None

    def note_rejection(self) -> None:
        """A write of the record met another one; joining is considered anew."""
        self._due_at = None

    # Decisions

    def consider(self, record: FleetRecord, now: float) -> None:
        """Decide whether and when to join."""
        if self.is_coordinator(record) or self.is_leaving:
            self._due_at = None
            return
        names = [item.name for item in record.coordinators]
        silent = [name for name in names if self._is_silent(name, now)]
        is_wanted = len(names) - len(silent) < N_COORDINATORS
        if names and len(silent) == len(names):
            last = max(self._find_last_sign(name) for name in silent)
            is_wanted = now - last > ISOLATION_SECONDS
        if not is_wanted:
            self._due_at = None
        elif self._due_at is None:
            places = {item.data_centre for item in record.coordinators}
            # Instances of data centres without a coordinator go first.
            penalty = 1.0 if self._identity.data_centre in places else 0.0
            wait = MAX_JITTER_SECONDS * (self._random.random() + penalty)
            self._due_at = now + (wait if names else wait / 4)

    def apply(self, record: FleetRecord, now: float) -> FleetRecord:
        """The record as it should be as far as this instance is concerned."""
        name = self._identity.name
        own = record.find_coordinator(name)
        others = tuple(item for item in record.coordinators if item.name != name)
        if self.is_leaving:
            return record if own is None else replace(record, coordinators=others)
        me = Coordinator(
            name=name,
            data_centre=self._identity.data_centre,
            host=self._identity.address.host,
            port=self._identity.address.port,
            incarnation=self._identity.incarnation,
            is_established=self._is_established(own, record, now),
        )
        if own == me:
            return record
        if own is not None:
            # In its place, since the order is also that of the ranks.
            mine = tuple(me if item == own else item for item in record.coordinators)
            return replace(record, coordinators=mine)
        if self._due_at is None or now < self._due_at:
            return record
        kept = [item for item in others if not self._is_silent(item.name, now)]
        if len(kept) >= N_COORDINATORS:
            return record
        return replace(record, coordinators=(*kept, me))

    def _is_established(
        self, own: Coordinator | None, record: FleetRecord, now: float
    ) -> bool:
        """Tell whether nobody counts on a list of coordinators without this one."""
        if not record.coordinators and not record.groups:
            # Nobody can have used a primary before the first coordinator.
            return True
        if own is None:
            return False
        if own.incarnation == self._identity.incarnation:
            return own.is_established or self._has_waited(now)
        # This process has the address of its predecessor, which is dead: no list that
        # names the predecessor can be unanimous any more.
        is_same_place = (own.host, own.port) == (
            self._identity.address.host,
            self._identity.address.port,
        )
        return own.is_established and is_same_place

    def _has_waited(self, now: float) -> bool:
        """Tell whether the rights that rest on older lists have ended."""
        if (
            self._joined_at is not None
            and now - self._joined_at > ESTABLISHMENT_DELAY_SECONDS
        ):
            return True
        wait = PRIMARY_LEASE_SECONDS + PRIMARY_LEASE_MARGIN_SECONDS
        return self._known_at is not None and now - self._known_at > wait

    def _find_last_sign(self, name: str) -> float:
        return max(self._heard.get(name, NEVER), self._first_asked.get(name, NEVER))

    def _is_silent(self, name: str, now: float) -> bool:
        last = self._find_last_sign(name)
        return name in self._first_asked and now - last > SILENCE_SECONDS
