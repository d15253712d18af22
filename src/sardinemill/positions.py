"""Log positions and the watermark that bounds the staleness of a read."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """Place in the replicated log of a database group.

    Positions compare first by term: a log that holds entries of a higher term holds
    every acknowledged entry of the lower ones.

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
    """Position that covers every write acknowledged before a point in time.

    :param started_at: seconds on the local monotonic clock at which the confirming
        round began.
    :param position: position of the confirmed primary in that round.
    """

    started_at: float
    position: LogPosition


@dataclass(frozen=True, slots=True)
class SessionPosition:
    """Last write of a session.

    :param workspace: workspace that the session belongs to.
    :param group: database group that took the write.
    :param position: log position of the write.
    """

    workspace: str
    group: str
    position: LogPosition
