"""One attempt to give a group a new primary: fence, choose, promote."""

from collections.abc import Collection, Sequence
from enum import StrEnum

from ..control import FenceAnswer, FenceOrder, PromoteAnswer, PromoteOrder
from ..groups import GroupDescription, has_majority
from ..positions import LogPosition

# An order without an answer is repeated after this time. Orders are idempotent: the
# database answers a repeat of the same term and orderer as it did the first time.
ORDER_RETRY_SECONDS = 0.3
# An attempt must leave time for a second one within the 5 s for a change of primary.
FENCE_SECONDS = 1.2
PROMOTE_SECONDS = 1.2

Order = FenceOrder | PromoteOrder


class Phase(StrEnum):
    """Step of an attempt."""

    FENCING = "fencing"
    PROMOTING = "promoting"
    COMPLETED = "completed"
    ABANDONED = "abandoned"


class Election:
    """Attempt of one orderer at one term.

    Each attempt has its own term, and it orders the promotion of one database only, so
    a term has at most one primary. An orderer that was paused cannot do harm: a
    database carries out a promotion only while it is fenced at exactly this term by
    this orderer. If any majority was fenced at a higher term meanwhile and another
    primary was chosen, either the candidate is in that majority and refuses, or it
    becomes the primary of a term that the majority does not accept entries of, so no
    write of it is acknowledged.

    :param avoided: databases to promote only when no majority does without them, as a
        primary that is leaving or that cannot reach its replicas.
    :param uncounted: databases that are fenced but count for no majority, because a
        restart has cost them entries.
    """

    def __init__(
        self,
        group: GroupDescription,
        term: int,
        orderer: str,
        *,
        avoided: Collection[str],
        uncounted: Collection[str] = (),
        now: float,
    ) -> None:
        self.group = group
        self.term = term
        self.orderer = orderer
        self.phase = Phase.FENCING
        self.candidate = ""
        self.highest_fenced_term = term
        self.positions: dict[str, LogPosition] = {}
        self._avoided = frozenset(avoided)
        self._uncounted = frozenset(uncounted)
        self._refused: set[str] = set()
        self._deadline = now + FENCE_SECONDS
        self._choose_at = now + ORDER_RETRY_SECONDS
        self._retry_at = now + ORDER_RETRY_SECONDS

    @property
    def next_due(self) -> float:
        """Time at which ``advance`` has something to do."""
        return min(self._retry_at, self._deadline)

    def list_orders(self) -> Sequence[Order]:
        """Orders that have no answer yet."""
        if self.phase is Phase.FENCING:
            return [
                FenceOrder(
                    group=self.group.name,
                    database=item.name,
                    term=self.term,
                    orderer=self.orderer,
                )
                for item in self.group.databases
                if item.name not in self.positions and item.name not in self._refused
            ]
        if self.phase is Phase.PROMOTING:
            return [
                PromoteOrder(
                    group=self.group.name,
                    database=self.candidate,
                    term=self.term,
                    orderer=self.orderer,
                )
            ]
        return []

    def take_fence_answer(self, answer: FenceAnswer, now: float) -> Sequence[Order]:
        """Record the answer to a fence; returns the orders that follow."""
        self.highest_fenced_term = max(self.highest_fenced_term, answer.fenced_term)
        if answer.term != self.term or self.phase is not Phase.FENCING:
            return []
        if answer.accepted:
            self.positions.setdefault(answer.database, answer.position)
        elif answer.database not in self.positions:
            self._refused.add(answer.database)
        names = {item.name for item in self.group.databases}
        if not has_majority(self.group, names - self._refused):
            self.phase = Phase.ABANDONED
            return []
        return self._choose(now)

    def take_promote_answer(self, answer: PromoteAnswer) -> None:
        """Record the answer to the promotion."""
        self.highest_fenced_term = max(self.highest_fenced_term, answer.fenced_term)
        if (
            answer.term == self.term
            and answer.database == self.candidate
            and self.phase is Phase.PROMOTING
        ):
            self.phase = Phase.COMPLETED if answer.accepted else Phase.ABANDONED

    def advance(self, now: float) -> Sequence[Order]:
        """Repeat orders that are due, or give up at the deadline."""
        if self.phase not in (Phase.FENCING, Phase.PROMOTING):
            return []
        if now >= self._deadline:
            self.phase = Phase.ABANDONED
            return []
        orders = self._choose(now)
        if orders or now < self._retry_at:
            return orders
        self._retry_at = now + ORDER_RETRY_SECONDS
        return self.list_orders()

    def _choose(self, now: float) -> Sequence[Order]:
        if self.phase is not Phase.FENCING:
            return []
        names = self.positions.keys() - self._uncounted
        preferred = names - self._avoided
        if not has_majority(self.group, preferred):
            n_answers = len(self.positions) + len(self._refused)
            is_complete = n_answers == len(self.group.databases)
            may_choose = not self._avoided or is_complete or now >= self._choose_at
            if not may_choose or not has_majority(self.group, names):
                return []
            preferred = names
        self.candidate = max(preferred, key=lambda name: (self.positions[name], name))
        self.phase = Phase.PROMOTING
        self._deadline = now + PROMOTE_SECONDS
        self._retry_at = now + ORDER_RETRY_SECONDS
        return self.list_orders()
