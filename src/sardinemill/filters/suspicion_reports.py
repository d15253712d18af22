"""Schedule of the reports about instances that a monitor does not hear.

Messages and bytes of one instance at the target size: 620 instances in 5 data centres
of 124, two monitors for each subject in each data centre. Sizes are those of the
encoded messages: an ordinary heartbeat takes about 130 B, an announcement 250 B, a
report 110 B and 24 B for each suspect, a digest 80 B, an entry of the list 100 B.

* Heartbeats: 2 x 5 = 10 a second out and as many in, 1.3 KB/s each way. An
  announcement every 300 s adds 2 messages and 0.5 KB a second each way.
* A monitor watches 620 x 2 / 124 = 10 subjects. One failed instance has 2 monitors in
  each data centre; each sends 123 reports of 134 B at once, after 5 s and 10 s, and
  then every 11 s: 1.5 KB/s out of the 10 monitors concerned, and 0.02 KB/s into every
  instance.
* Partition between a region of 3 data centres and one of 2: a monitor suspects
  372 x 2 / 124 = 6 subjects in the smaller region, 4 in the larger. A report of 6
  takes 254 B, so the interval grows to 123 x 254 / 1500 = 21 s: 6 messages and
  1.5 KB a second each way. The onset costs about three reports in 10 s, 9 KB/s for
  that time. Heartbeats still go out, those to suspected monitors with ``info``.
"""

import math

from ..members import SuspicionReport

REPORT_SECONDS = 5.0
# Suspicions of one fault arise within a heartbeat interval of each other; one report
# carries all that arise in this time.
BATCH_DELAY_SECONDS = 0.2
MIN_REPORT_SPACING_SECONDS = 1.0
# Number of repetitions at the short interval after a change, so that a lost report is
# replaced within seconds.
N_FAST_REPEATS = 2
# Highest rate of repeated reports, out of the 9 KB/s that all control traffic may use.
REPORT_BYTES_PER_SECOND = 1500.0
REPORT_BYTES = 110.0
SUSPECT_BYTES = 24.0
# A report expires when its third repetition is missing.
N_VALID_INTERVALS = 3


class ReportSchedule:
    """Schedules and builds the suspicion reports of one instance.

    :param instance: name of this instance.
    :param incarnation: incarnation of this process.
    :ivar due_at: monotonic seconds at which the next report is due.
    """

    def __init__(self, instance: str, incarnation: str) -> None:
        self.due_at = math.inf
        self._instance = instance
        self._incarnation = incarnation
        self._suspects: tuple[tuple[str, str], ...] = ()
        self._sequence = 0
        self._sent_at = -math.inf
        self._n_fast_left = 0

    def set_suspects(self, suspects: tuple[tuple[str, str], ...], now: float) -> None:
        """Replace the reported instances; schedule a report soon if they changed."""
        if suspects != self._suspects:
            self._suspects = suspects
            self._n_fast_left = N_FAST_REPEATS + 1
            self._schedule_soon(now)

    def schedule_repeat(self, now: float) -> None:
        """Repeat a non-empty report soon, for an instance that just joined."""
        if self._suspects:
            self._schedule_soon(now)

    def make_report(self, n_receivers: int, now: float) -> SuspicionReport:
        """Build the report that is due and schedule the next one.

        :param n_receivers: instances that the report goes to; the interval grows with
            them to stay within the rate.
        """
        self._sequence += 1
        self._sent_at = now
        self._n_fast_left = max(0, self._n_fast_left - 1)
        n_bytes = REPORT_BYTES + SUSPECT_BYTES * len(self._suspects)
        interval = max(REPORT_SECONDS, n_receivers * n_bytes / REPORT_BYTES_PER_SECOND)
        if self._n_fast_left:
            self.due_at = now + REPORT_SECONDS
        else:
            self.due_at = now + interval if self._suspects else math.inf
        return SuspicionReport(
            source=self._instance,
            incarnation=self._incarnation,
            sequence=self._sequence,
            suspects=self._suspects,
            valid_seconds=N_VALID_INTERVALS * interval,
        )

    def _schedule_soon(self, now: float) -> None:
        soon = max(
            now + BATCH_DELAY_SECONDS, self._sent_at + MIN_REPORT_SPACING_SECONDS
        )
        self.due_at = min(self.due_at, soon)
