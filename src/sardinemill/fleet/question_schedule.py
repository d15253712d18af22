"""Schedule of an instance's questions: whom it asks when, and for what."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..groups import rank_candidates
from .records import FleetRecord
from .views import Identity

# Three questions fit into the duration of a primary lease.
ROUND_SECONDS = 0.4
# Coordinators confirm the record for all others, so they ask each other more often.
COORDINATOR_ROUND_SECONDS = 0.2
# In between, only the own coordinator is asked. The others still have to be known as
# reachable, since they lend tokens.
FULL_ROUND_SECONDS = 0.8
# Evidence for the primary leases that is older than this at a round is renewed by
# asking all coordinators. What the own coordinator passes on is at most 0.65 s old
# then.
MAX_EVIDENCE_AGE_SECONDS = 0.75
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class QuestionReceiver:
    """Coordinator to ask in a round.

    :param with_positions: positions are sent and requested.
    """

    name: str
    with_positions: bool


class QuestionSchedule:
    """Decides which coordinators an instance asks in each round.

    An instance that is no coordinator exchanges positions with one coordinator, its
    own: one of its data centre if there is any, so that most messages stay within the
    data centre, and else one that differs between instances. All coordinators are
    asked in each round while one of them does not answer, while the evidence for the
    primary leases is old, and when a database did not answer.

    :param identity: of this instance.
    """

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._next_round_at = NEVER
        self._next_full_round_at = NEVER
        self._n_rounds = 0

    def is_due(self, now: float) -> bool:
        """Return whether the next round is due."""
        return now >= self._next_round_at

    def start_round(
        self,
        record: FleetRecord,
        reachable: Sequence[str],
        is_last_answered: Callable[[str], bool],
        *,
        is_coordinator: bool,
        is_urgent: bool,
        now: float,
    ) -> list[QuestionReceiver]:
        """Return the coordinators to ask now.

        :param reachable: names of the coordinators that answered recently.
        :param is_last_answered: whether the last question to a coordinator was
            answered.
        :param is_urgent: all coordinators have to be asked.
        """
        wait = COORDINATOR_ROUND_SECONDS if is_coordinator else ROUND_SECONDS
        self._next_round_at = now + wait
        others = [
            item.name
            for item in record.coordinators
            if item.name != self._identity.name
        ]
        if is_coordinator:
            # Positions as often as from other instances; the rounds in between confirm
            # the record.
            self._n_rounds += 1
            with_positions = is_urgent or self._n_rounds % 2 == 0
            return [QuestionReceiver(name, with_positions) for name in others]
        own = self._find_own(record, reachable)
        if own is None or not is_last_answered(own):
            self._next_full_round_at = now + FULL_ROUND_SECONDS
            return [QuestionReceiver(name, True) for name in others]
        are_all_answered = all(is_last_answered(name) for name in others)
        is_full = is_urgent or not are_all_answered or now >= self._next_full_round_at
        if not is_full:
            return [QuestionReceiver(own, True)]
        self._next_full_round_at = now + FULL_ROUND_SECONDS
        return [QuestionReceiver(name, name == own) for name in others]

    def _find_own(self, record: FleetRecord, reachable: Sequence[str]) -> str | None:
        """Return the coordinator to exchange positions with."""
        candidates = [item for item in record.coordinators if item.name in reachable]
        near = [
            item.name
            for item in candidates
            if item.data_centre == self._identity.data_centre
        ]
        names = near or [item.name for item in candidates]
        ranked = rank_candidates(self._identity.name, names)
        return ranked[0] if ranked else None
