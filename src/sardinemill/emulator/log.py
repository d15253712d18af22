"""Replicated log of one database and the messages that replicate it."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..positions import ORIGIN, LogPosition
from .workspaces import LoggedStatement

# Keeps a replication message well below the frame size limit.
MAX_READ_BYTES = 4 * 2**20


@dataclass(frozen=True, slots=True, kw_only=True)
class LogEntry:
    """One committed transaction.

    The first entry of a term has no workspace and no statements; it gives the new
    primary a position in its own term.
    """

    position: LogPosition
    workspace: str = ""
    statements: tuple[LoggedStatement, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendOrder:
    """Log entries that a primary sends to a replica.

    :param orderer: instance that promoted the primary; a receiver that adopts the term
        accepts fences of that term from no other instance.
    :param previous: position of the entry before the first of ``entries``.
    """

    source: str
    term: int
    orderer: str
    previous: LogPosition
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendAnswer:
    """Answer of a replica to :class:`AppendOrder`.

    :param fenced_term: highest term that the replica has accepted.
    :param position: position of the last entry of its log.
    :param next_offset: offset of the next entry to send.
    """

    accepted: bool
    fenced_term: int
    position: LogPosition
    next_offset: int


class ReplicatedLog:
    """Log entries in order; the first one has offset 1."""

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self._entries[-1].position if self._entries else ORIGIN

    @property
    def entries(self) -> Sequence[LogEntry]:
        """All entries."""
        return self._entries

    def find_position(self, offset: int) -> LogPosition | None:
        """Return the position of the entry at ``offset``.

        :returns: :data:`ORIGIN` for offset 0, ``None`` beyond the last entry.
        """
        if offset == 0:
            return ORIGIN
        if offset > len(self._entries):
            return None
        return self._entries[offset - 1].position

    def read(self, after_offset: int, limit: int) -> tuple[LogEntry, ...]:
        """Return the entries after ``after_offset``, at most ``limit``.

        Ends with the entry that reaches :data:`MAX_READ_BYTES`, so even an entry above
        that size can be sent.
        """
        entries: list[LogEntry] = []
        n_bytes = 0
        for entry in self._entries[after_offset : after_offset + limit]:
            entries.append(entry)
            n_bytes += sum(_count_bytes(item) for item in entry.statements)
            if n_bytes >= MAX_READ_BYTES:
                break
        return tuple(entries)

    def add(
        self, term: int, workspace: str, statements: tuple[LoggedStatement, ...]
    ) -> LogEntry:
        """Append an entry of ``term``, in which this database is the primary."""
        entry = LogEntry(
            position=LogPosition(term, len(self._entries) + 1),
            workspace=workspace,
            statements=statements,
        )
        self._entries.append(entry)
        return entry

    def find_next_offset(self, previous: LogPosition) -> int:
        """Return the offset to send from after ``previous`` did not match.

        If the log ends earlier and its last term is not higher, that is the offset
        after its end. Otherwise the whole conflicting term is skipped at once, as in
        Raft, section 5.3.
        """
        offset = min(previous.offset, len(self._entries))
        if offset == 0:
            return 1
        term = self._entries[offset - 1].position.term
        if offset < previous.offset and term <= previous.term:
            return offset + 1
        while offset > 0 and self._entries[offset - 1].position.term == term:
            offset -= 1
        return offset + 1

    def merge_entries(
        self, entries: Sequence[LogEntry]
    ) -> tuple[tuple[LogEntry, ...], tuple[LogEntry, ...]]:
        """Append entries whose predecessor is present.

        Entries that the log already has are skipped. Only a conflicting entry truncates
        the log, so that a delayed message with older entries removes nothing.

        :returns: the entries removed from the end and those added.
        """
        for index, entry in enumerate(entries):
            present_position = self.find_position(entry.position.offset)
            if present_position == entry.position:
                continue
            start = entry.position.offset - 1
            removed = tuple(self._entries[start:])
            added = tuple(entries[index:])
            self._entries[start:] = added
            return removed, added
        return (), ()


def _count_bytes(statement: LoggedStatement) -> int:
    texts = (item for item in statement.parameters if isinstance(item, str | bytes))
    return len(statement.sql) + sum(map(len, texts))
