"""Share of reads that leave their data centre, without a network."""

import pytest

from sardinemill.sessions.locality import (
    EVIDENCE_SECONDS,
    MAX_SHARE,
    PROBE_SHARE,
    SHARE_INTERVAL_SECONDS,
    LocalityPolicy,
    ReadTimes,
    compute_saving,
    compute_share,
)

NOW = 100.0
TARGET_SECONDS = 0.3
STEP = SHARE_INTERVAL_SECONDS


def make_times(seconds, n_bytes=10.0, updated_at=NOW, calm_seconds=0.05):
    """Return smoothed times."""
    return ReadTimes(
        seconds=seconds,
        calm_seconds=calm_seconds,
        n_bytes=n_bytes,
        updated_at=updated_at,
    )


class Load:
    """Reads of one instance; the databases here and elsewhere have given times."""

    def __init__(self):
        self.policy = LocalityPolicy()
        self.now = NOW
        self.n_left = 0
        self.n_stayed = 0
        self.changes = []

    def run(self, seconds, here, elsewhere, n_per_second=40):
        """Read for some time.

        :param here: seconds of a read that stays.
        :param elsewhere: seconds of a read that leaves.
        :returns: share of the reads that left.
        """
        end = self.now + seconds
        self.n_left = self.n_stayed = 0
        while self.now < end:
            self.now += 1 / n_per_second
            leaves, change = self.policy.decide_read("g", TARGET_SECONDS, self.now)
            self.changes += [] if change is None else [change]
            self.n_left += leaves
            self.n_stayed += not leaves
            self.policy.record_read(
                "g",
                is_local=not leaves,
                seconds=elsewhere if leaves else here,
                n_bytes=10,
                now=self.now,
            )
        return self.n_left / (self.n_left + self.n_stayed)


@pytest.mark.parametrize(
    ("share", "here", "elsewhere", "expected"),
    [
        (0.0, make_times(0.05), make_times(0.05), 0.0),
        (0.0, make_times(0.054), make_times(0.05), 0.0),
        (0.0, make_times(0.2), make_times(0.05), 0.1),
        (MAX_SHARE, make_times(0.2), make_times(0.05), MAX_SHARE),
        (0.3, make_times(0.06), make_times(0.05), 0.3),
        (0.3, make_times(0.055), make_times(0.05), 0.2),
        (0.3, make_times(0.2, updated_at=0.0), make_times(0.05), 0.2),
        (0.0, make_times(0.2), make_times(0.05, updated_at=0.0), PROBE_SHARE),
        (0.3, make_times(0.06), make_times(0.05, updated_at=0.0), 0.2),
    ],
)
def test_share_follows_what_leaving_saves(share, here, elsewhere, expected):
    """Guards against reads that leave for less than their way costs, against a share
    that jumps with each small change, and against one that rests on old evidence.
    """
    assert compute_share(share, here, elsewhere, NOW) == pytest.approx(expected)


def test_large_answers_have_to_save_more():
    """Guards against bytes between data centres that nobody counts."""
    here, elsewhere = make_times(0.1, 102_400), make_times(0.05, 102_400)
    assert compute_saving(here, elsewhere) == pytest.approx(-0.05)
    assert compute_share(0.0, here, elsewhere, NOW) == 0.0


def test_calm_reads_stay():
    """Replays the calm load. Guards against traffic between data centres that saves
    nothing: the way there and back makes the time elsewhere longer.
    """
    load = Load()
    assert load.run(20.0, here=0.05, elsewhere=0.053) == 0.0
    assert load.changes == []


def test_reads_leave_a_full_data_centre_and_return():
    """Replays a data centre whose callers are too many for its database for 10 s.
    Guards against reads that wait there while others have room, against all of them
    leaving, and against a share that stays when the load has gone.
    """
    load = Load()
    load.run(5.0, here=0.05, elsewhere=0.053)
    share = load.run(10.0, here=0.25, elsewhere=0.06)
    assert 0.3 < share <= MAX_SHARE
    load.run(5.0, here=0.05, elsewhere=0.06)
    assert load.run(5.0, here=0.05, elsewhere=0.06) == 0.0
    assert [bool(change.share) for change in load.changes] == [True, False]


def test_share_settles_when_those_that_leave_fill_the_other_data_centre():
    """Replays two data centres that are both full. Guards against reads that swing
    between them.
    """
    load = Load()
    load.run(5.0, here=0.2, elsewhere=0.2)
    assert load.run(10.0, here=0.2, elsewhere=0.19) == 0.0


def test_refusals_count_as_slow_reads():
    """Guards against a database that refuses at once and looks fast."""
    policy = LocalityPolicy()
    now = NOW
    left = 0
    for number in range(400):
        now += 0.01
        leaves, _ = policy.decide_read("g", TARGET_SECONDS, now)
        left += leaves
        if leaves or number < 20:
            policy.record_read(
                "g", is_local=not leaves, seconds=0.05, n_bytes=10, now=now
            )
        else:
            policy.record_refusal("g", is_local=True, now=now)
    assert left > 50


@pytest.mark.parametrize("target_seconds", [0.0, 1.1])
def test_reads_stay_while_their_callers_need_nothing_faster(target_seconds):
    """Guards against traffic between data centres that saves time which nobody needs,
    and against routes without a latency objective that leave.
    """
    load = Load()
    load.run(10.0, here=0.25, elsewhere=0.06)
    leaves = [
        load.policy.decide_read("g", target_seconds, load.now)[0] for _ in range(20)
    ]
    assert not any(leaves)


def test_evidence_lapses():
    """Guards against a share that rests on times of a load that has gone."""
    load = Load()
    load.run(5.0, here=0.2, elsewhere=0.05)
    load.now += EVIDENCE_SECONDS + 1.0
    for _ in range(8):
        load.now += STEP
        load.policy.decide_read("g", TARGET_SECONDS, load.now)
    assert load.policy.decide_read("g", TARGET_SECONDS, load.now)[0] is False
