"""Election of a new primary of a group: fence, confirm, choose, promote."""

from collections.abc import Collection, Sequence
from enum import StrEnum

from ..groups import GroupDescription, has_majority
from ..positions import LogPosition
from ..replication import FenceAnswer, FenceRequest, PromoteAnswer, PromoteRequest

# An order without an answer is retried after this time. Orders are idempotent: a
# database gives the same answer to a retry with the same term and orderer.
ORDER_RETRY_SECONDS = 0.3
# An attempt must leave time for a second one within the 5 s for a failover.
FENCE_TIMEOUT_SECONDS = 1.2
PROMOTE_TIMEOUT_SECONDS = 1.2

Order = FenceRequest | PromoteRequest


class Phase(StrEnum):
    """Phase of an election."""

    FENCING = "fencing"
    CONFIRMING = "confirming"
    PROMOTING = "promoting"
    COMPLETED = "completed"
    ABANDONED = "abandoned"


class Election:
    """Election that one orderer runs in one term.

    Each election of an orderer has its own term and orders the promotion of one
    database only, so a term has at most one primary. A paused orderer is harmless: a
    database executes a promotion only while it is fenced at exactly this term by this
    orderer. If a majority was fenced at a higher term in the meantime and another
    primary was chosen, either the candidate is in that majority and refuses, or it
    becomes the primary of a term whose entries the majority rejects, so none of its
    writes is acknowledged.

    A vote counts only if the same incarnation confirms it after a majority was fenced.
    Otherwise an old answer of a database that then restarted with an empty log and was
    readmitted at a lower term could elect a primary that lacks the writes acknowledged
    since; see :mod:`.readmission`.

    :param avoided: databases whose votes, and so whose promotion, are used only if no
        majority exists without them: a primary that is leaving or cannot reach its
        replicas.
    :param non_voters: databases that are fenced but count in no majority, because they
        lost log entries in a restart.
    :ivar positions: log positions of the databases that accepted the fence.
    """

    def __init__(
        self,
        group: GroupDescription,
        term: int,
        orderer: str,
        *,
        avoided: Collection[str],
        non_voters: Collection[str] = (),
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
        self._non_voters = frozenset(non_voters)
        self._incarnations: dict[str, str] = {}
        self._voters: set[str] = set()
        self._confirmed: set[str] = set()
        self._refused: set[str] = set()
        self._deadline = now + FENCE_TIMEOUT_SECONDS
        self._avoided_allowed_at = now + ORDER_RETRY_SECONDS
        self._retry_at = now + ORDER_RETRY_SECONDS

    @property
    def next_due(self) -> float:
        """Monotonic seconds at which ``advance`` is due."""
        return min(self._retry_at, self._deadline)

    def list_orders(self) -> Sequence[Order]:
        """Return the orders that have no answer yet."""
        if self.phase is Phase.FENCING:
            names = {item.name for item in self.group.databases}
            return self._make_fence_orders(
                names - self.positions.keys() - self._refused
            )
        if self.phase is Phase.CONFIRMING:
            return self._make_fence_orders(self._voters - self._confirmed)
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

    def _make_fence_orders(self, databases: Collection[str]) -> Sequence[Order]:
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
        """Record the answer to a fence and return the orders that follow."""
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
        self._deadline = now + PROMOTE_TIMEOUT_SECONDS
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
        """Return the orders that are due, or abandon the election at its deadline."""
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
        names = self.positions.keys() - self._non_voters
        preferred = names - self._avoided
        if not has_majority(self.group, preferred):
            n_answers = len(self.positions) + len(self._refused)
            is_complete = n_answers == len(self.group.databases)
            may_choose = (
                not self._avoided or is_complete or now >= self._avoided_allowed_at
            )
            if not may_choose or not has_majority(self.group, names):
                return []
            preferred = names
        self._voters = set(preferred)
        self.phase = Phase.CONFIRMING
        self._retry_at = now + ORDER_RETRY_SECONDS
        return self.list_orders()
