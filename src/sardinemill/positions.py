"""Log positions, session positions and watermarks for bounded staleness."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """Position in the replicated log of a database group.

    Positions compare by term first: a log with entries of a higher term contains every
    acknowledged entry of lower terms.

    :param term: term of the primary that wrote the entry.
    :param offset: number of entries up to and including this one.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}.{self.offset}"


ORIGIN = LogPosition(0, 0)


@dataclass(frozen=True, slots=True)
class Watermark:
    """Log position that includes every write acknowledged before a point in time.

    :param started_at: local monotonic seconds of the earliest of the queries whose
        answers, from a majority of slots, confirm the primary.
    :param position: log position that the primary reported.
    """

    started_at: float
    position: LogPosition


@dataclass(frozen=True, slots=True)
class SessionPosition:
    """Position of a session's last write, for read-your-writes consistency.

    :param workspace: workspace that the session belongs to.
    :param group: database group that holds the write.
    :param position: log position of the write.
    """

    workspace: str
    group: str
    position: LogPosition
