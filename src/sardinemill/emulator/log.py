"""Replicated log of one database and the messages that carry it to replicas."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..positions import ORIGIN, LogPosition
from .workspaces import LoggedStatement

# Keeps a replication message well below the limit of a frame.
MAX_READ_BYTES = 4 * 2**20


@dataclass(frozen=True, slots=True, kw_only=True)
class LogEntry:
    """One committed transaction; the first entry of a term has no statements."""

    position: LogPosition
    workspace: str = ""
    statements: tuple[LoggedStatement, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendOrder:
    """Entries from a primary.

    :param orderer: who promoted the primary, so that the receiver accepts the term
        from nobody else.
    :param previous: position of the entry before the first of ``entries``.
    """

    source: str
    term: int
    orderer: str
    previous: LogPosition
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendAnswer:
    """Answer of a replica.

    :param position: last entry of its log.
    :param next_offset: offset of the next entry that it can use.
    """

    accepted: bool
    fenced_term: int
    position: LogPosition
    next_offset: int


class ReplicatedLog:
    """Entries in order; the entry at ``offset`` is number ``offset`` from 1."""

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
        """Position of the entry at ``offset``, or ``None`` when there is none."""
        if offset == 0:
            return ORIGIN
        if offset > len(self._entries):
            return None
        return self._entries[offset - 1].position

    def read(self, after_offset: int, limit: int) -> tuple[LogEntry, ...]:
        """Entries after ``after_offset``, at most ``limit`` and about 4 MB."""
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
        """Append an entry of this database's own term."""
        entry = LogEntry(
            position=LogPosition(term, len(self._entries) + 1),
            workspace=workspace,
            statements=statements,
        )
        self._entries.append(entry)
        return entry

    def find_next_offset(self, previous: LogPosition) -> int:
        """Offset from which a primary should send after ``previous`` did not match.

        Skips the whole conflicting term at once, as in Raft, section 5.3.
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

    def splice(
        self, entries: Sequence[LogEntry]
    ) -> tuple[tuple[LogEntry, ...], tuple[LogEntry, ...]]:
        """Take entries whose predecessor is present.

        An entry that is already here is skipped; only a conflicting one truncates, so
        that a late message with older entries removes nothing.

        :returns: the entries removed from the end and those added.
        """
        for index, entry in enumerate(entries):
            here = self.find_position(entry.position.offset)
            if here == entry.position:
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
