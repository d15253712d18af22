"""One attempt to give a group a new primary: fence, confirm, choose, promote."""

from collections.abc import Collection, Sequence
from enum import StrEnum

from ..groups import GroupDescription, has_majority
from ..positions import LogPosition
from ..replication import FenceAnswer, FenceRequest, PromoteAnswer, PromoteRequest

# An order without an answer is repeated after this time. Orders are idempotent: the
# database answers a repeat of the same term and orderer as it did the first time.
ORDER_RETRY_SECONDS = 0.3
# An attempt must leave time for a second one within the 5 s for a change of primary.
FENCE_SECONDS = 1.2
PROMOTE_SECONDS = 1.2

Order = FenceRequest | PromoteRequest


class Phase(StrEnum):
    """Step of an attempt."""

    FENCING = "fencing"
    CONFIRMING = "confirming"
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

    A vote is counted only if the same incarnation confirms it after a majority was
    fenced. Otherwise an old answer of a database that restarted empty and was admitted
    at a lower term could elect a primary without the writes acknowledged since; see
    :mod:`.readmission`.

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
        self._incarnations: dict[str, str] = {}
        self._voters: set[str] = set()
        self._confirmed: set[str] = set()
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
            names = {item.name for item in self.group.databases}
            return self._make_fences(names - self.positions.keys() - self._refused)
        if self.phase is Phase.CONFIRMING:
            return self._make_fences(self._voters - self._confirmed)
        if self.phase is Phase.PROMOTING:
            return [
                PromoteRequest(
                    group=self.group.name,
                    database=self.candidate,
                    term=self.term,
                    orderer=self.orderer,
                )
            ]
        return []

    def _make_fences(self, databases: Collection[str]) -> Sequence[Order]:
        return [
            FenceRequest(
                group=self.group.name,
                database=name,
                term=self.term,
                orderer=self.orderer,
                is_confirming=self.phase is Phase.CONFIRMING,
            )
            for name in sorted(databases)
        ]

    def handle_fence_answer(self, answer: FenceAnswer, now: float) -> Sequence[Order]:
        """Record the answer to a fence; returns the orders that follow."""
        self.highest_fenced_term = max(self.highest_fenced_term, answer.fenced_term)
        if answer.term != self.term:
            return []
        if self.phase is Phase.CONFIRMING and answer.is_confirming:
            return self._confirm(answer, now)
        if self.phase is not Phase.FENCING:
            return []
        if answer.accepted:
            self.positions.setdefault(answer.database, answer.position)
            self._incarnations.setdefault(answer.database, answer.incarnation)
        elif answer.database not in self.positions:
            self._refused.add(answer.database)
        names = {item.name for item in self.group.databases}
        if not has_majority(self.group, names - self._refused):
            self.phase = Phase.ABANDONED
            return []
        return self._choose_voters(now)

    def _confirm(self, answer: FenceAnswer, now: float) -> Sequence[Order]:
        name = answer.database
        is_same = answer.incarnation == self._incarnations.get(name)
        if answer.accepted and is_same:
            self._confirmed.add(name)
        else:
            self._voters.discard(name)
            self._confirmed.discard(name)
        if not has_majority(self.group, self._voters):
            self.phase = Phase.ABANDONED
            return []
        confirmed = self._confirmed & self._voters
        if not has_majority(self.group, confirmed):
            return []
        self.candidate = max(confirmed, key=lambda item: (self.positions[item], item))
        self.phase = Phase.PROMOTING
        self._deadline = now + PROMOTE_SECONDS
        self._retry_at = now + ORDER_RETRY_SECONDS
        return self.list_orders()

    def handle_promote_answer(self, answer: PromoteAnswer) -> None:
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
        if self.phase in (Phase.COMPLETED, Phase.ABANDONED):
            return []
        if now >= self._deadline:
            self.phase = Phase.ABANDONED
            return []
        orders = self._choose_voters(now)
        if orders or now < self._retry_at:
            return orders
        self._retry_at = now + ORDER_RETRY_SECONDS
        return self.list_orders()

    def _choose_voters(self, now: float) -> Sequence[Order]:
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
        self._voters = set(preferred)
        self.phase = Phase.CONFIRMING
        self._retry_at = now + ORDER_RETRY_SECONDS
        return self.list_orders()
