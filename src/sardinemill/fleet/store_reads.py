"""Schedules when an instance reads which part of the store."""

from dataclasses import dataclass

from ..interfaces import RandomSource
from .messages import MAX_AGE_SECONDS
from .store_messages import (
    ReadConfiguration,
    ReadDirectory,
    ReadRecord,
    StoreRequest,
)

MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 2.0
NEVER = float("-inf")

RECORD = "record"
DIRECTORY = "directory"
CONFIGURATION = "configuration"
# A coordinator whose evidence for the primary leases is younger than this has it from
# the other coordinators, and reads the record only to confirm their list.
CONFIRMED_EVIDENCE_SECONDS = 0.5
# Interval of these reads; short of the 7 s for which a confirmed list counts.
CONFIRMED_RECORD_SECONDS = 1.2
CONFIRMED_RANK_DELAY_SECONDS = 0.5
# After a start, an instance asks the coordinators that the record names for everything
# else, and reads the store itself if they give nothing by then.
FIRST_ANSWER_SECONDS = 0.6
# The same while the record names no coordinators.
FIRST_COORDINATOR_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class ReadSchedule:
    """Ages of cached data at which instances read the store again.

    Normally only the first coordinator reads, and the others learn from answers how old
    its data is. An instance that learns nothing in time reads the store itself, so data
    stays current even if the store rejects some instances.

    :param base_seconds: at the first coordinator.
    :param rank_delay_seconds: added for each place further down the list of
        coordinators.
    :param other_seconds: at all other instances; above the usual age of the data in an
        answer, which is ``base_seconds`` plus the interval of questions.
    :param jitter_seconds: maximum random delay at the other instances, so that they do
        not all read at the same time.
    """

    base_seconds: float
    rank_delay_seconds: float
    other_seconds: float
    jitter_seconds: float


# A watch of the store can deliver nothing for seconds, so all parts are polled.
READ_SCHEDULES = {
    # Primary leases last 1.3 s from a read.
    RECORD: ReadSchedule(0.4, 0.15, 0.85, 0.1),
    # A leaving database must get no new work 7 s after its entry changed.
    DIRECTORY: ReadSchedule(1.5, 0.5, 3.0, 0.3),
    # A configuration has to be in force everywhere within 3 s.
    CONFIGURATION: ReadSchedule(1.0, 0.3, 2.0, 0.3),
}


_REQUEST_TYPES: dict[type[StoreRequest], str] = {
    ReadRecord: RECORD,
    ReadDirectory: DIRECTORY,
    ReadConfiguration: CONFIGURATION,
}


class _ReadState:
    """State of the repeated read of one part.

    :ivar current_at: latest time at which the cached part was current in the store.
    :ivar is_in_progress: a request is in progress.
    :ivar not_before: the next request does not start before this time.
    :ivar n_failures: consecutive failed requests.
    """

    def __init__(self) -> None:
        self.current_at: float = NEVER
        self.is_in_progress = False
        self.not_before: float = NEVER
        self.n_failures = 0


class StoreReadScheduler:
    """Tracks the age of each cached part and starts the reads that are due.

    :ivar evidence_at: latest time for which the primary leases have evidence, from the
        store or from the coordinators.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._jitter = random.random()
        self._reads = {kind: _ReadState() for kind in READ_SCHEDULES}
        self._started_at: float | None = None
        self._discovered_at: float | None = None
        self._forced: set[str] = set()
        self.evidence_at: float = NEVER

    def list_due(
        self, rank: int | None, now: float, *, has_coordinators: bool = True
    ) -> list[StoreRequest]:
        """Return the reads that are due and mark them as in progress.

        :param rank: place among the coordinators, ``None`` if it is not one of them.
        :param has_coordinators: the record that this instance knows names some.
        """
        if self._started_at is None:
            self._started_at = now
        if has_coordinators and self._discovered_at is None:
            self._discovered_at = now
        due: list[StoreRequest] = []
        for kind, read in self._reads.items():
            due_at = self._find_due_at(kind, rank, self._started_at, now)
            is_due = kind in self._forced or now >= max(read.not_before, due_at)
            if read.is_in_progress or not is_due:
                continue
            self._forced.discard(kind)
            read.is_in_progress = True
            # A read whose answer does not renew the part is not repeated at once.
            read.not_before = now + READ_SCHEDULES[kind].base_seconds
            due.append(self._make_request(kind, has_coordinators))
        return due

    def _make_request(self, kind: str, has_coordinators: bool) -> StoreRequest:
        if kind == DIRECTORY:
            return ReadDirectory()
        if kind == CONFIGURATION:
            return ReadConfiguration()
        # Coordinators that a stale record names can tell what is newer.
        return ReadRecord(may_be_stale=not has_coordinators)

    def _find_due_at(
        self, kind: str, rank: int | None, started_at: float, now: float
    ) -> float:
        schedule = READ_SCHEDULES[kind]
        current_at = self._reads[kind].current_at
        if rank is not None:
            wait = schedule.base_seconds + rank * schedule.rank_delay_seconds
            if kind == RECORD and now - self.evidence_at < CONFIRMED_EVIDENCE_SECONDS:
                wait = CONFIRMED_RECORD_SECONDS + rank * CONFIRMED_RANK_DELAY_SECONDS
            return current_at + wait
        jitter = schedule.jitter_seconds * self._jitter
        if kind == RECORD:
            known_at = max(current_at, self.evidence_at, self._discovered_at or NEVER)
            return known_at + schedule.other_seconds + jitter
        if current_at > NEVER:
            return current_at + schedule.other_seconds + jitter
        if self._discovered_at is None:
            return started_at + FIRST_COORDINATOR_SECONDS + jitter
        return self._discovered_at + FIRST_ANSWER_SECONDS + jitter

    def force(self, kind: str) -> None:
        """Make a read due immediately."""
        self._forced.add(kind)

    def record_success(self, kind: str) -> None:
        """Record that a read was answered."""
        self._reads[kind].is_in_progress = False
        self._reads[kind].n_failures = 0

    def record_failure(self, request: StoreRequest, now: float) -> None:
        """Record that a read failed and schedule a retry with exponential back-off."""
        kind = _REQUEST_TYPES.get(type(request))
        if kind is None:
            return
        read = self._reads[kind]
        read.is_in_progress = False
        read.n_failures += 1
        wait = min(MIN_RETRY_SECONDS * 2 ** (read.n_failures - 1), MAX_RETRY_SECONDS)
        read.not_before = now + wait * (0.5 + 0.5 * self._random.random())

    def record_current(self, kind: str, at: float) -> None:
        """Record when a part was current, as read here or by another instance."""
        read = self._reads[kind]
        read.current_at = max(read.current_at, at)

    def find_age(self, kind: str, now: float) -> float:
        """Return the age of a part in seconds, for a message."""
        return round_age(self._reads[kind].current_at, now)


def round_age(at: float, now: float) -> float:
    """Return an age in seconds, rounded up to 1 ms, at most ``MAX_AGE_SECONDS``."""
    return min(round(now - at + 0.0005, 3), MAX_AGE_SECONDS)
