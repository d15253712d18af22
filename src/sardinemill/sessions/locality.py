"""Decision whether a read leaves its data centre, and which share of them does.

Answers the load of a data centre whose databases are too few for its callers while
those elsewhere have room. Each instance decides from response times of its own reads:
they hold the queue that all instances together have made, and the way there and back.
"""

from dataclasses import dataclass

# Weight of a new value in the smoothed times and sizes.
SMOOTHING = 0.2
# Weight in the calm time, which follows slow changes of the work only.
CALM_SMOOTHING = 0.01
# A smoothed value without a new one for this time counts for nothing.
EVIDENCE_SECONDS = 3.0
# Time that an answer of 1 KB has to save for its way between data centres.
BYTE_PRICE_SECONDS = 0.001 / 1024
# Leaving begins above this saving, and above this fraction of the time elsewhere. It is
# given up below half of both.
MIN_SAVING_SECONDS = 0.005
MIN_SAVING_FRACTION = 0.25
STAY_FRACTION = 0.5
# The share changes by one step in each interval, so that the times can follow.
SHARE_STEP = 0.1
SHARE_INTERVAL_SECONDS = 0.25
MAX_SHARE = 0.5
# Share that finds out how long reads take elsewhere, while they are slow here.
PROBE_SHARE = 0.05
SLOW_FACTOR = 2.0
# Reads leave only while the time here takes more than this part of the latency
# objective of their route. Below it their callers gain nothing that they need.
NEED_FRACTION = 0.25
# A refused read counts as this many times the smoothed time.
REFUSAL_FACTOR = 4.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTimes:
    """Smoothed response times of the reads of one group, here or elsewhere.

    :param seconds: 0 while there was no read.
    :param calm_seconds: usual time without load.
    :param n_bytes: size of an answer.
    :param updated_at: of the last read, on the instance's clock.
    """

    seconds: float = 0.0
    calm_seconds: float = 0.0
    n_bytes: float = 0.0
    updated_at: float = NEVER

    def add(self, seconds: float, n_bytes: float, now: float) -> "ReadTimes":
        """Return the times with one more read."""
        if now - self.updated_at > EVIDENCE_SECONDS:
            calm = min(self.calm_seconds or seconds, seconds)
            return ReadTimes(
                seconds=seconds, calm_seconds=calm, n_bytes=n_bytes, updated_at=now
            )
        calm = self.calm_seconds
        calm = min(seconds, calm + CALM_SMOOTHING * (seconds - calm))
        return ReadTimes(
            seconds=self.seconds + SMOOTHING * (seconds - self.seconds),
            calm_seconds=calm,
            n_bytes=self.n_bytes + SMOOTHING * (n_bytes - self.n_bytes),
            updated_at=now,
        )

    def is_current(self, now: float) -> bool:
        """Return whether there was a read recently."""
        return now - self.updated_at <= EVIDENCE_SECONDS


@dataclass(frozen=True, slots=True)
class ShareChange:
    """Begin or end of reads that leave, with what decided.

    :param saving_seconds: time that a read saves elsewhere, less the price of its way.
    """

    group: str
    share: float
    here_seconds: float
    elsewhere_seconds: float
    saving_seconds: float


def compute_saving(here: ReadTimes, elsewhere: ReadTimes) -> float:
    """Return the seconds that a read saves elsewhere, less the price of its bytes."""
    price = max(here.n_bytes, elsewhere.n_bytes) * BYTE_PRICE_SECONDS
    return here.seconds - elsewhere.seconds - price


def compute_share(
    share: float, here: ReadTimes, elsewhere: ReadTimes, now: float
) -> float:
    """Return the next share of reads that leave.

    :param share: present one.
    """
    if not here.is_current(now):
        return max(0.0, share - SHARE_STEP)
    if not elsewhere.is_current(now):
        is_slow = here.seconds > SLOW_FACTOR * here.calm_seconds
        return PROBE_SHARE if is_slow else max(0.0, share - SHARE_STEP)
    saving = compute_saving(here, elsewhere)
    threshold = max(MIN_SAVING_SECONDS, MIN_SAVING_FRACTION * elsewhere.seconds)
    if saving > threshold:
        return min(MAX_SHARE, share + SHARE_STEP)
    if saving < STAY_FRACTION * threshold:
        return max(0.0, share - SHARE_STEP)
    return share


class _GroupLocality:
    """State of one group.

    :ivar credit: grows by the share with each read; a read leaves for each whole one.
    """

    def __init__(self) -> None:
        self.here = ReadTimes()
        self.elsewhere = ReadTimes()
        self.share = 0.0
        self.credit = 0.0
        self.next_change_at = NEVER


class LocalityPolicy:
    """Keeps the times and shares of all groups."""

    def __init__(self) -> None:
        self._groups: dict[str, _GroupLocality] = {}

    def record_read(
        self, group: str, *, is_local: bool, seconds: float, n_bytes: int, now: float
    ) -> None:
        """Record a read that was answered.

        :param is_local: it ran in the data centre of this instance.
        :param seconds: from sending the read to its answer.
        """
        state = self._groups.setdefault(group, _GroupLocality())
        if is_local:
            state.here = state.here.add(seconds, n_bytes, now)
        else:
            state.elsewhere = state.elsewhere.add(seconds, n_bytes, now)

    def record_refusal(self, group: str, *, is_local: bool, now: float) -> None:
        """Record a read that a database refused because it is full."""
        state = self._groups.setdefault(group, _GroupLocality())
        times = state.here if is_local else state.elsewhere
        self.record_read(
            group,
            is_local=is_local,
            seconds=max(times.seconds, MIN_SAVING_SECONDS) * REFUSAL_FACTOR,
            n_bytes=round(times.n_bytes),
            now=now,
        )

    def decide_read(
        self, group: str, target_seconds: float, now: float
    ) -> tuple[bool, ShareChange | None]:
        """Decide whether the next read should leave.

        :param target_seconds: latency objective of its route, 0 if it has none; its
            reads never leave then.
        :returns: the decision, and a change from or to a share of 0.
        """
        state = self._groups.setdefault(group, _GroupLocality())
        change = None
        if now >= state.next_change_at:
            state.next_change_at = now + SHARE_INTERVAL_SECONDS
            before = state.share
            share = compute_share(before, state.here, state.elsewhere, now)
            state.share = round(share, 3)
            if bool(before) != bool(state.share):
                change = ShareChange(
                    group,
                    state.share,
                    round(state.here.seconds, 4),
                    round(state.elsewhere.seconds, 4),
                    round(compute_saving(state.here, state.elsewhere), 4),
                )
        needed_from = NEED_FRACTION * target_seconds
        if not target_seconds or state.here.seconds < needed_from:
            return False, change
        state.credit += state.share
        leaves = state.credit >= 1.0
        state.credit -= leaves
        return leaves, change
