"""When an instance reads which part of the store."""

from dataclasses import dataclass

from ..interfaces import RandomSource
from .store_messages import (
    ReadConfiguration,
    ReadDirectory,
    ReadRecord,
    StoreRequest,
)

MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 2.0
# Ages in messages; what was never seen has this one.
MAX_AGE_SECONDS = 1e9
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class CheckPlan:
    """Ages of knowledge at which instances read the store.

    The first coordinator reads, and the others learn from answers how old its reading
    is. Whoever learns nothing in time reads by itself, so that it does no harm when
    the store turns some instances away.

    :param seconds: at the first coordinator.
    :param rank_seconds: added for each place further down the list.
    :param other_seconds: at all other instances; above the age that an answer has in
        calm times, which is ``seconds`` and the interval of questions.
    :param jitter_seconds: at most added at others, so that they do not read at once.
    """

    seconds: float
    rank_seconds: float
    other_seconds: float
    jitter_seconds: float


# Watches of the store may hear nothing for seconds, so everything is read.
CHECK_PLANS = {
    # Rights to primaries last 1.3 s from here.
    "record": CheckPlan(0.4, 0.15, 0.85, 0.1),
    # A leaving database must get no more work 7 s after its entry changed.
    "directory": CheckPlan(1.5, 0.5, 3.0, 0.3),
    # A configuration has to be in force everywhere within 3 s.
    "configuration": CheckPlan(1.0, 0.3, 2.0, 0.3),
}


_REQUESTS: dict[str, StoreRequest] = {
    "record": ReadRecord(),
    "directory": ReadDirectory(),
    "configuration": ReadConfiguration(),
}


class _Check:
    """Repeated reading of one part.

    :ivar checked_at: when the part was known to be current in the store.
    :ivar is_running: a call is in progress.
    :ivar due_at: the next call does not begin before.
    """

    def __init__(self) -> None:
        self.checked_at: float = NEVER
        self.is_running = False
        self.due_at: float = NEVER
        self.n_failures = 0


class StoreChecks:
    """Ages of what an instance knows, and the readings that are due."""

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._jitter = random.random()
        self._checks = {kind: _Check() for kind in CHECK_PLANS}

    def list_due(self, rank: int | None, now: float) -> list[StoreRequest]:
        """Begin the readings that are due.

        :param rank: place among the coordinators, ``None`` if it is none.
        """
        due: list[StoreRequest] = []
        for kind, check in self._checks.items():
            plan = CHECK_PLANS[kind]
            wait = plan.other_seconds + plan.jitter_seconds * self._jitter
            if rank is not None:
                wait = plan.seconds + rank * plan.rank_seconds
            if check.is_running or now < max(check.due_at, check.checked_at + wait):
                continue
            check.is_running = True
            # A reading that shows nothing is not repeated at once.
            check.due_at = now + plan.seconds
            due.append(_REQUESTS[kind])
        return due

    def hurry(self, kind: str) -> None:
        """Make a reading due at once."""
        self._checks[kind].due_at = NEVER
        self._checks[kind].checked_at = NEVER

    def end(self, kind: str) -> None:
        """Note that a reading was answered."""
        self._checks[kind].is_running = False
        self._checks[kind].n_failures = 0

    def fail(self, request: StoreRequest, now: float) -> None:
        """Note that a reading was not answered; the next one waits longer."""
        for kind, known in _REQUESTS.items():
            if known == request:
                check = self._checks[kind]
                check.is_running = False
                check.n_failures += 1
                wait = MIN_RETRY_SECONDS * 2 ** (check.n_failures - 1)
                wait = min(wait, MAX_RETRY_SECONDS)
                check.due_at = now + wait * (0.5 + 0.5 * self._random.random())

    def note(self, kind: str, at: float) -> None:
        """Note when a part was known to be current, at first or second hand."""
        check = self._checks[kind]
        check.checked_at = max(check.checked_at, at)

    def find_age(self, kind: str, now: float) -> float:
        """Age of a part, for a message."""
        return round_age(self._checks[kind].checked_at, now)


def round_age(at: float, now: float) -> float:
    """Age for a message, rounded up to its resolution."""
    return min(round(now - at + 0.0005, 3), MAX_AGE_SECONDS)
