"""Estimate of how long a statement waits at a database."""

import math

# Concurrent statements for each slot of a database that a gateway sends. Those beyond
# the slots keep the slots busy while answers travel; all others wait at the gateway, in
# the order of their priority.
STATEMENTS_PER_SLOT = 2
# Time constant of the smoothed work time.
WORK_WINDOW_SECONDS = 1.0
# Time for which a statement counts at least, also if others ended just before it.
MIN_SAMPLE_SECONDS = 0.02
# Estimate that is older than this says nothing: the database may be fast again.
MAX_ESTIMATE_AGE_SECONDS = 2.0
# Fraction of its time-out that a statement may be expected to wait. What is accepted
# beyond it is likely to be refused only when its time is used up.
MAX_WAIT_FRACTION = 0.8
NEVER = float("-inf")


class WorkEstimate:
    """Smoothed work of the statements at one database.

    Load pattern: a database turns slow, or receives more than it can run. Statements
    that would wait for longer than they have left are refused at once, instead of
    occupying slots when nobody waits for them any more.
    """

    def __init__(self) -> None:
        self._work_seconds = 0.0
        self._updated_at = NEVER

    def record(self, seconds: float, n_running: int, n_slots: int, now: float) -> None:
        """Record a statement that the database has run.

        :param seconds: from its sending to its answer.
        :param n_running: statements that shared the slots with it, itself included.
        """
        work = seconds * min(1.0, n_slots / max(1, n_running))
        elapsed = now - self._updated_at
        weight = 1.0 - math.exp(-max(elapsed, MIN_SAMPLE_SECONDS) / WORK_WINDOW_SECONDS)
        self._work_seconds += (work - self._work_seconds) * weight
        self._updated_at = now

    def estimate_wait(self, n_ahead: int, n_slots: int, now: float) -> float:
        """Return the seconds until a new statement would be answered.

        :param n_ahead: statements that run or are served before it.
        :returns: 0 while nothing is known.
        """
        if now - self._updated_at > MAX_ESTIMATE_AGE_SECONDS:
            return 0.0
        return self._work_seconds * (max(0, n_ahead - n_slots + 1) / n_slots + 1.0)

    def estimate_run(self, now: float) -> float:
        """Return the seconds from the sending of a statement to its answer under load.

        :returns: 0 while nothing is known.
        """
        if now - self._updated_at > MAX_ESTIMATE_AGE_SECONDS:
            return 0.0
        return self._work_seconds * STATEMENTS_PER_SLOT
