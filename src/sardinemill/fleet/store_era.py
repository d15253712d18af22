"""Era of the store as an instance knows it, and how far it got with a new one.

The era rises by one whenever the store comes back from an older copy. A coordinator
then writes the fleet record that it knows over the copy, once it has heard what the
other coordinators know. ``docs/design/store-rollback.md`` has the argument.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .primary_lease import (
    ESTABLISHMENT_DELAY_SECONDS,
    PRIMARY_LEASE_MARGIN_SECONDS,
    PRIMARY_LEASE_SECONDS,
)
from .records import FleetRecord
from .store_messages import RecordRead, StoreOutcome

# Without word of a coordinator the record is restored after this time, without certain
# primaries: a failover that nobody else heard of acts for 6 s after its mark, which was
# written before the era, and may have promoted a database.
RESTORE_TIMEOUT_SECONDS = 8.0
# Coordinators further down the list wait longer, so that usually only one writes.
RESTORE_RANK_DELAY_SECONDS = 0.3
# An instance that had proof of its record within this time before the new era knows
# one of the coordinators that were in the list then: all cannot be replaced so fast.
RECENT_PROOF_SECONDS = 3.0
# Databases and operators have written again within about 2 s after the return.
DIRECTORY_SETTLE_SECONDS = 2.5
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class EraDecision:
    """What to do with an outcome of a store request.

    :param is_used: whether what it says counts.
    :param has_raised: the era is new.
    :param is_wrong: the era is lower than one that the store named before.
    """

    is_used: bool = True
    has_raised: bool = False
    is_wrong: bool = False


class StoreEra:
    """Knows the highest era and what this instance has learned in it.

    :ivar current: 0 while the store has named none.
    :ivar raised_at: when this instance learned of a return of the store, ``None`` if of
        none since its start.
    """

    def __init__(self) -> None:
        self.current = 0
        self.raised_at: float | None = None
        self._learned_at = NEVER
        self._had_recent_proof = False
        self._heard: set[str] = set()
        self._all_heard_at: float | None = None
        self._all_confirmed_at: float | None = None

    # Inputs

    def admit(self, outcome: StoreOutcome, now: float) -> EraDecision:
        """Decide whether an outcome counts; learn its era.

        An outcome without an era counts as one of the known era, and so does one whose
        era is lower although the request was sent after that one was known.
        """
        if outcome.era > self.current:
            return EraDecision(has_raised=self.learn(outcome.era, now))
        if outcome.era in (0, self.current):
            return EraDecision()
        may_be_stale = isinstance(outcome, RecordRead) and outcome.may_be_stale
        if may_be_stale or outcome.asked_at <= self._learned_at:
            return EraDecision(is_used=False)
        return EraDecision(is_wrong=True)

    def learn(self, era: int, now: float) -> bool:
        """Learn an era from the store, another instance or a record.

        :returns: whether the store has come back from a copy since the last one.
        """
        if era <= self.current:
            return False
        has_raised = self.current > 0
        self.current = era
        self._learned_at = now
        if has_raised:
            self._start(now)
        return has_raised

    def learn_copy(self, record: FleetRecord, now: float) -> None:
        """Record that an instance without a record found one of an older era."""
        if 0 < record.era < self.current and self.raised_at is None:
            self._start(now)

    def record_proof(self, confirmed_at: float) -> None:
        """Record the time for which this instance had proof of its record."""
        if self.raised_at is not None:
            is_recent = confirmed_at >= self.raised_at - RECENT_PROOF_SECONDS
            self._had_recent_proof = self._had_recent_proof or is_recent

    def record_answer(self, peer: str, era: int) -> None:
        """Record that another instance has told what it knows.

        :param era: that it knew then.
        """
        if era == self.current:
            self._heard.add(peer)

    def update_progress(
        self,
        record: FleetRecord,
        others: Iterable[str],
        confirmed_eras: Iterable[int],
        now: float,
    ) -> None:
        """Update since when all other coordinators have been heard or have confirmed.

        :param others: names of the other coordinators.
        :param confirmed_eras: eras of the records that they confirmed.
        """
        if self.raised_at is None:
            return
        if not set(others) <= self._heard:
            self._all_heard_at = None
        elif self._all_heard_at is None:
            self._all_heard_at = now
        eras = set(confirmed_eras)
        is_confirmed = record.era == self.current and eras <= {self.current}
        if is_confirmed and self._all_confirmed_at is None:
            self._all_confirmed_at = now

    # Decisions

    @property
    def knows_newest_record(self) -> bool:
        """Whether no coordinator can know a later record of an older era."""
        return self._all_heard_at is not None and self._had_recent_proof

    def is_restored(self, record: FleetRecord, now: float) -> bool:
        """Return whether a record is one of the era.

        A record without an era comes from a store or an instance that names none. It
        counts where no return of the store was seen, or too long ago to wait for an
        instance that restores it.
        """
        if record.era == self.current:
            return True
        return record.era == 0 and (
            self.raised_at is None or now - self.raised_at > ESTABLISHMENT_DELAY_SECONDS
        )

    def may_restore(self, rank: int | None, now: float) -> bool:
        """Return whether this instance may write its record over an older one.

        :param rank: among the coordinators, ``None`` if it is not one of them.
        """
        if self.raised_at is None:
            return False
        wait = RESTORE_RANK_DELAY_SECONDS * (rank or 0)
        if now - self.raised_at > RESTORE_TIMEOUT_SECONDS + wait:
            return True
        if rank is None or not self.knows_newest_record:
            return False
        assert self._all_heard_at is not None
        return now - self._all_heard_at >= wait

    def may_fail_over(self, record: FleetRecord, now: float) -> bool:
        """Return whether no lease rests on a record of an older era any more."""
        if self.raised_at is None:
            return True
        if not self.is_restored(record, now):
            return False
        if now - self.raised_at > ESTABLISHMENT_DELAY_SECONDS:
            return True
        wait = PRIMARY_LEASE_SECONDS + PRIMARY_LEASE_MARGIN_SECONDS
        return (
            self._had_recent_proof
            and self._all_confirmed_at is not None
            and now - self._all_confirmed_at > wait
        )

    def is_settling(self, at: float) -> bool:
        """Return whether databases and operators may not have written again by then.

        :param at: when the store was read.
        """
        return (
            self.raised_at is not None
            and at - self.raised_at < DIRECTORY_SETTLE_SECONDS
        )

    def _start(self, now: float) -> None:
        self.raised_at = now
        self._had_recent_proof = False
        self._heard.clear()
        self._all_heard_at = None
        self._all_confirmed_at = None
