"""History of writes as the clients saw them, and the consistency checks on it."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

# An unanswered write may take effect this long after its client gave up: a link delays
# bytes at most for the duration of the longest fault.
MAX_LATE_EFFECT_SECONDS = 15.0
NEVER = float("-inf")


class Effect(StrEnum):
    """What a client knows about the effect of a write."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Consistency(StrEnum):
    """Consistency that a route guarantees to its reads."""

    PRIMARY = "primary"
    READ_YOUR_WRITES = "read_own_writes"
    BOUNDED_STALENESS = "bounded"


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """One write; each item has a single writer.

    :param session_id: session of the writer.
    :param sent_at: time at which the write was sent.
    :param ended_at: time of the answer, or at which the client gave up.
    """

    item: str
    value: str
    session_id: int
    sent_at: float
    ended_at: float
    effect: Effect


@dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """One read by the writer of the item.

    :param value: value that was read; ``-`` if the item does not exist.
    :param max_staleness_seconds: staleness that a bounded-staleness read accepts.
    """

    item: str
    value: str
    session_id: int
    sent_at: float
    consistency: Consistency
    max_staleness_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    :param rule: short name of the guarantee.
    """

    rule: str
    detail: str


class History:
    """Writes of all items; checks reads and the final log against them."""

    def __init__(self) -> None:
        self._writes: dict[str, list[Write]] = {}

    @property
    def writes(self) -> list[Write]:
        """All writes, grouped by item and in order within each."""
        return [write for writes in self._writes.values() for write in writes]

    def record_write(self, write: Write) -> None:
        """Add a write that has ended, with or without an answer."""
        self._writes.setdefault(write.item, []).append(write)

    def check_read(self, read: Read) -> list[Violation]:
        """Check that a read returned a value that its consistency level allows."""
        if read.value != "-" and not read.value.startswith(f"{read.item}."):
            return [Violation("MIXED", f"{read.item} shows {read.value}")]
        writes = self._writes.get(read.item, [])
        required = self._find_required_write(read, writes)
        allowed = {"-"} if required is None else {writes[required].value}
        for index, write in enumerate(writes):
            is_newer = required is None or index > required
            may_arrive_late = read.sent_at - write.ended_at < MAX_LATE_EFFECT_SECONDS
            if write.effect is Effect.DONE and is_newer:
                allowed.add(write.value)
            if write.effect is Effect.UNKNOWN and (is_newer or may_arrive_late):
                allowed.add(write.value)
        if read.value in allowed:
            return []
        detail = f"{read.consistency} read of {read.item} shows {read.value}, "
        return [Violation("STALE", detail + f"may show {sorted(allowed)}")]

    def _find_required_write(self, read: Read, writes: list[Write]) -> int | None:
        """Return the index of the last write that the read must reflect."""
        found = None
        for index, write in enumerate(writes):
            if write.effect is not Effect.DONE:
                continue
            is_required = {
                Consistency.PRIMARY: True,
                Consistency.READ_YOUR_WRITES: write.session_id == read.session_id,
                Consistency.BOUNDED_STALENESS: write.ended_at
                <= read.sent_at - read.max_staleness_seconds,
            }[read.consistency]
            if is_required:
                found = index
        return found

    def check_log(self, commits: Iterable[tuple[str, ...]]) -> list[Violation]:
        """Compare the final log with the answers that clients got.

        :param commits: values of each commit.
        """
        counts: dict[str, int] = {}
        for values in commits:
            for value in values:
                counts[value] = counts.get(value, 0) + 1
        violations = []
        for write in self.writes:
            n_times = counts.get(write.value, 0)
            if write.effect is Effect.DONE and n_times == 0:
                violations.append(Violation("LOST", f"{write.value} was acknowledged"))
            if write.effect is Effect.NOT_RUN and n_times:
                violations.append(Violation("REFUSED", f"{write.value} has run"))
            if n_times > 1:
                violations.append(Violation("TWICE", f"{write.value}: {n_times} times"))
        return violations


def check_rate(
    admitted_at: Iterable[float],
    *,
    rate: float,
    burst: float,
    window_seconds: float,
    overshoot: float,
    slack: float,
) -> list[Violation]:
    """Check the operations of a workspace against its rate limit, in a sliding window.

    :param rate: operations a second.
    :param overshoot: tolerated excess, as a fraction of the limit.
    :param slack: tolerated excess, in operations.
    """
    times = sorted(admitted_at)
    max_operations = (rate * window_seconds + burst) * (1 + overshoot) + slack
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > window_seconds:
            first += 1
        if last - first + 1 > max_operations:
            detail = f"{last - first + 1} of at most {max_operations:.0f} by {at:.3f} s"
            return [Violation("QUOTA", detail)]
    return []
