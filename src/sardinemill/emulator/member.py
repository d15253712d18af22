"""Terms, role and log of one member of a database group.

The rules are those of section 7 of the design page. The instance that orders a failover
runs the election; the safety argument is that of Raft.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ..positions import ORIGIN, LogPosition
from ..replication import (
    AdmitRequest,
    DatabaseReport,
    FenceAnswer,
    FenceRequest,
    PromoteAnswer,
    PromoteRequest,
    Role,
)
from .log import AppendAnswer, AppendOrder, LogEntry, ReplicatedLog
from .workspaces import LoggedStatement

# Orderer of term 1 of a new group, which no instance has ordered.
INITIAL_ORDERER = "initial"
# Bounds one replication message together with MAX_READ_BYTES of the log, which is
# needed since a statement may itself be up to 1 MB.
MAX_ENTRIES_PER_APPEND = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendResult:
    """Answer to an append request and the changes of the log.

    :param removed: entries truncated from the end of the log.
    :param added: entries appended after them.
    """

    answer: AppendAnswer
    removed: Sequence[LogEntry] = ()
    added: Sequence[LogEntry] = ()


class GroupMember:
    """Consensus state of one database.

    :param incarnation: changes with each restart, since the log is in memory.
    :param is_initial_primary: starts a new group as primary of term 1.
    :param is_rejoining: replaces a member that may have voted; it appends entries, but
        accepts no fence and no promotion until :meth:`admit` succeeds.
    """

    def __init__(
        self,
        name: str,
        group: str,
        incarnation: str,
        *,
        is_initial_primary: bool,
        is_rejoining: bool = False,
    ) -> None:
        if is_initial_primary and is_rejoining:
            raise ValueError("a rejoining database is not the primary of a new group")
        self.name = name
        self.is_leaving = False
        self._is_recovering = is_rejoining
        self._group = group
        self._incarnation = incarnation
        self._log = ReplicatedLog()
        self._role = Role.REPLICA
        self._fenced_term = 0
        self._orderer = ""
        # Whether a primary other than this member has sent entries of the fenced term.
        self._has_other_primary = False
        self._term_start_position = ORIGIN
        if is_initial_primary:
            self._adopt_term(1, INITIAL_ORDERER)
            self._become_primary()

    @property
    def position(self) -> LogPosition:
        """Position of the last entry of the log."""
        return self._log.last

    @property
    def entries(self) -> Sequence[LogEntry]:
        """All entries of the log."""
        return self._log.entries

    @property
    def fenced_term(self) -> int:
        """Highest term that this member has accepted."""
        return self._fenced_term

    @property
    def is_primary(self) -> bool:
        """Whether this member accepts writes."""
        return self._role is Role.PRIMARY

    def report(self) -> DatabaseReport:
        """Return a report of the current state."""
        return DatabaseReport(
            group=self._group,
            database=self.name,
            role=self._role,
            fenced_term=self._fenced_term,
            position=self.position,
            incarnation=self._incarnation,
            is_leaving=self.is_leaving,
            is_recovering=self._is_recovering,
        )

    def fence(self, request: FenceRequest) -> FenceAnswer:
        """Adopt a higher term as a replica; reject commits and entries of lower terms.

        A recovering member accepts no fence, since it may have lost an earlier vote. A
        repeated request by the same orderer changes nothing, so a delayed duplicate
        does not stop a primary that the orderer has promoted meanwhile.

        :returns: an answer that accepts only a request of the fenced term's orderer.
        """
        if request.term > self._fenced_term and not self._is_recovering:
            self._adopt_term(request.term, request.orderer)
        return FenceAnswer(
            group=self._group,
            database=self.name,
            term=request.term,
            accepted=self._is_fenced_by(request),
            fenced_term=self._fenced_term,
            position=self.position,
            incarnation=self._incarnation,
            is_confirming=request.is_confirming,
        )

    def admit(self, request: AdmitRequest) -> DatabaseReport:
        """End the recovery if the request names this incarnation and its term.

        The log must have reached the position of the request.
        """
        if (
            request.incarnation == self._incarnation
            and request.term == self._fenced_term
            and request.position <= self.position
        ):
            self._is_recovering = False
        return self.report()

    def promote(self, request: PromoteRequest) -> PromoteAnswer:
        """Become primary of the term for which this member is fenced.

        Rejected once another primary of the term has sent entries.

        :returns: an answer with the position of the term's first entry, also for a
            repeated request; a rejection has the position of the last entry.
        """
        accepted = self._is_fenced_by(request) and not self._has_other_primary
        if accepted and not self.is_primary:
            self._become_primary()
        return PromoteAnswer(
            group=self._group,
            database=self.name,
            term=request.term,
            accepted=accepted,
            fenced_term=self._fenced_term,
            position=self._term_start_position if accepted else self.position,
        )

    def add(self, workspace: str, statements: tuple[LoggedStatement, ...]) -> LogEntry:
        """Append an entry of the term in which this member is the primary."""
        return self._log.add(self._fenced_term, workspace, statements)

    def make_append(self, next_offset: int, last_offset: int) -> AppendOrder:
        """Make the message that sends entries to a replica.

        :param next_offset: offset of the first entry that the replica lacks.
        :param last_offset: offset of the last entry to send.
        """
        n_entries = max(0, min(last_offset - next_offset + 1, MAX_ENTRIES_PER_APPEND))
        previous = self._log.find_position(next_offset - 1)
        assert previous is not None
        return AppendOrder(
            source=self.name,
            term=self._fenced_term,
            orderer=self._orderer,
            previous=previous,
            entries=self._log.read(next_offset - 1, n_entries),
        )

    def append(self, order: AppendOrder) -> AppendResult:
        """Append entries from a primary unless its term is below the fenced term.

        A higher term is adopted. Entries whose predecessor is missing are rejected;
        the answer then says from which offset to send.
        """
        is_stale = order.term < self._fenced_term
        if is_stale or (order.term == self._fenced_term and self.is_primary):
            return self._make_result(False, self.position.offset + 1)
        if order.term > self._fenced_term:
            self._adopt_term(order.term, order.orderer)
        self._has_other_primary = True
        if self._log.find_position(order.previous.offset) != order.previous:
            return self._make_result(False, self._log.find_next_offset(order.previous))
        removed, added = self._log.merge_entries(order.entries)
        next_offset = order.previous.offset + len(order.entries) + 1
        return self._make_result(True, next_offset, removed, added)

    def _make_result(
        self,
        accepted: bool,
        next_offset: int,
        removed: Sequence[LogEntry] = (),
        added: Sequence[LogEntry] = (),
    ) -> AppendResult:
        answer = AppendAnswer(
            accepted=accepted,
            fenced_term=self._fenced_term,
            position=self.position,
            next_offset=next_offset,
        )
        return AppendResult(answer=answer, removed=removed, added=added)

    def _is_fenced_by(self, request: FenceRequest | PromoteRequest) -> bool:
        is_same_election = (request.term, request.orderer) == (
            self._fenced_term,
            self._orderer,
        )
        return is_same_election and not self._is_recovering

    def _adopt_term(self, term: int, orderer: str) -> None:
        self._fenced_term = term
        self._orderer = orderer
        self._role = Role.REPLICA
        self._has_other_primary = False

    def _become_primary(self) -> None:
        self._role = Role.PRIMARY
        self._term_start_position = self.add("", ()).position
