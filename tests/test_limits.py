"""Rate limit of a simulated fleet with faults, compared with a single token bucket."""

import random
from dataclasses import replace
from functools import partial

import pytest
from bench.limits_fleet import Fleet, FleetSettings
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinemill.configuration import (
    Configuration,
    ConfigurationChanged,
    Plan,
    Workspace,
)
from sardinemill.control import PeerEnvelope
from sardinemill.filters.lending import Lending
from sardinemill.filters.lending_bucket import LendingBucket
from sardinemill.filters.reserve import SeatReserves
from sardinemill.filters.workspace_limiter import LocalLoan, WorkspaceLimiter
from sardinemill.groups import rank_candidates
from sardinemill.limits import (
    MAX_CLOCK_DRIFT,
    NO_SHARE,
    LimitSettings,
    ShardRanking,
    Share,
    find_shard,
)
from sardinemill.loans import (
    BorrowRequest,
    ReserveQuery,
    SeatClosed,
    SeatLease,
    ShardClosed,
    ShardLease,
)
from sardinemill.messages import Action, RefusalCode

N_INSTANCES = 4
LIMITS = LimitSettings(n_shards=1, n_seats=4, reserve_fraction=0.2)
RATE, BURST = 10.0, 32.0
END = 90.0
DRIFT = (-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)


def make_configuration(rate=RATE, burst=BURST, version=1):
    """Return a configuration with one workspace."""
    return Configuration(
        version=version,
        plans={"small": Plan(name="small", rate_per_second=rate, burst=burst)},
        workspaces={"bees": Workspace(name="bees", plan="small", group="hives")},
        keys={},
        groups={},
    )


class NaiveBucket:
    """One bucket for all requests, full at the start; its level may become negative."""

    def __init__(self, rate, burst):
        self.rate, self.burst = rate, burst
        self.level, self.lowest, self.at = burst, burst, 0.0

    def spend(self, n_tokens, now):
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        self.level -= n_tokens
        self.lowest = min(self.lowest, self.level)

    def admits(self, now, cost=1.0):
        self.spend(0, now)
        is_admitted = self.level >= cost
        self.spend(cost * is_admitted, now)
        return is_admitted


class Recorder:
    """Outcomes of a run; admitted tokens are taken from a naive bucket."""

    def __init__(self, rate=RATE, burst=BURST):
        self.bucket = NaiveBucket(rate, burst)
        self.costs, self.refusals, self.n_admitted = {}, {}, 0

    def __call__(self, now, request_id, refusal):
        if refusal is not None:
            self.refusals[request_id] = refusal
            return
        self.n_admitted += 1
        self.bucket.spend(self.costs.get(request_id, 1.0), now)


FAULTS = st.lists(
    st.tuples(
        st.floats(5.0, 70.0),
        st.sampled_from(
            [
                "pause",
                "replace",
                "cut",
                "heal",
                "drain",
                "forget",
                "store_down",
                "store_up",
                "lose_replies",
                "lose_store",
            ]
        ),
        st.integers(0, N_INSTANCES - 1),
        st.sampled_from([0.3, 1.2, 4.0, 12.0]),
    ),
    max_size=12,
)


def apply_fault(fleet, kind, name, seconds):
    """Start a fault and, where it does not last, schedule its end."""
    if kind == "pause":
        fleet.pause_node(name, seconds)
    elif kind == "replace":
        fleet.replace_node(name)
    elif kind == "drain":
        fleet.drain_node(name)
        fleet.schedule(fleet.now + seconds, lambda: fleet.replace_node(name))
    elif kind == "forget":
        # The others go on using the instance.
        to = [other for other in fleet.nodes if other != name][:1]
        fleet.announce_members(without=name, to=to)
        fleet.schedule(fleet.now + 2 * seconds, fleet.announce_members)
    elif kind in ("cut", "heal"):
        fleet.set_cut_off([name] if kind == "cut" else [])
    elif kind == "lose_store":
        fleet.without_store.add(name)
        fleet.schedule(fleet.now + 15, lambda: fleet.without_store.discard(name))
    elif kind == "lose_replies":
        fleet.store_reply_loss = 0.5
    else:
        fleet.is_store_down = kind == "store_down"
        fleet.store_reply_loss = 0.0


def schedule_statements(fleet, recorder, source, *, until, rate, pause=0.0):
    """Schedule random statements and begins of transactions, with rare pauses.

    Pauses let the buckets fill; bursts after them are most likely to exceed a bound.

    :returns: times and costs.
    """
    time, number, arrivals = fleet.now, 0, []
    while time < until:
        time += source.choice((3.0, 6.0)) if source.random() < pause else 0.0
        time += source.expovariate(rate)
        number += 1
        action = Action.BEGIN if source.random() < 0.1 else Action.STATEMENT
        cost = 2.0 if action is Action.BEGIN else 1.0
        recorder.costs[str(number)] = cost
        arrivals.append((time, cost))
        name = f"instance-{min(source.randrange(8), N_INSTANCES - 1)}"
        fleet.schedule(
            time,
            lambda name=name, number=number, action=action: fleet.submit(
                name, str(number), "bees", action=action
            ),
        )
    return arrivals


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    faults=FAULTS,
    plan=st.sampled_from([(RATE, BURST), (20.0, 20.0)]),
    fraction=st.sampled_from([0.2, 0.5]),
    loss=st.sampled_from([0.0, 0.1, 0.4]),
    longest_delay=st.sampled_from([0.002, 0.1, 0.8]),
    stall=st.sampled_from([0.0, 0.2]),
)
def test_no_window_exceeds_the_plan(
    seed, faults, plan, fraction, loss, longest_delay, stall
):
    """Guards against tokens that two owners, a late loan or a reserve spend twice.

    The naive bucket is full at the start and never goes below 0 exactly if in every
    window the admitted total is at most burst + rate * window.
    """
    recorder = Recorder(*plan)
    fleet = Fleet(
        FleetSettings(
            n_instances=N_INSTANCES,
            random_state=seed,
            limits=replace(LIMITS, reserve_fraction=fraction),
            peer_delay_seconds=(0.0005, longest_delay),
            store_delay_seconds=(0.001, 0.05),
            loss=loss,
            duplication=loss,
            drift=DRIFT,
            stall_seconds=stall,
        ),
        make_configuration(*plan),
        recorder,
    )
    source = random.Random(seed)
    schedule_statements(fleet, recorder, source, until=END, rate=4 * RATE, pause=0.01)
    for at, kind, index, seconds in faults:
        name = f"instance-{index}"
        fleet.schedule(
            at,
            lambda kind=kind, name=name, seconds=seconds: apply_fault(
                fleet, kind, name, seconds
            ),
        )
    fleet.run_until(END)
    assert recorder.bucket.lowest >= -1e-6
    assert recorder.n_admitted > 0


def test_fast_clocks_do_not_add_tokens():
    """Guards against a fast clock that refills too much, seen only in long windows."""
    recorder = Recorder()
    fleet = Fleet(
        FleetSettings(
            n_instances=N_INSTANCES,
            random_state=1,
            limits=LIMITS,
            drift=(MAX_CLOCK_DRIFT,),
        ),
        make_configuration(),
        recorder,
    )
    fleet.run_until(30.0)
    schedule_statements(fleet, recorder, random.Random(1), until=530.0, rate=2 * RATE)
    fleet.run_until(530.0)
    assert recorder.bucket.lowest >= -1e-6
    assert recorder.n_admitted > 0.9 * RATE * 500


@pytest.mark.parametrize("seed", range(8))
def test_owner_that_lends_until_its_lease_ends(seed):
    """Guards against a new owner that lends while its predecessor's loans are open."""
    rate, burst = 200.0, 40.0
    recorder = Recorder(rate, burst)
    fleet = Fleet(
        FleetSettings(
            n_instances=N_INSTANCES, random_state=seed, limits=LIMITS, drift=DRIFT
        ),
        make_configuration(rate, burst),
        recorder,
    )
    fleet.run_until(20.0)
    owner = fleet.find_owner(0)
    fleet.without_store.add(owner)
    others = [name for name in fleet.nodes if name != owner]
    fleet.announce_members(without=owner, to=others[:2])
    schedule_statements(
        fleet, recorder, random.Random(seed), until=36.0, rate=2 * rate, pause=0.002
    )
    fleet.run_until(36.0)
    assert fleet.find_owner(0) != owner
    assert recorder.bucket.lowest >= -1e-6


@pytest.mark.parametrize("fraction", [0.2, 0.5])
@pytest.mark.parametrize("seed", range(4))
def test_demand_at_one_instance_is_never_refused(seed, fraction):
    """Guards against refusals while the fleet has tokens but one instance has all load.

    One instance must admit all that a naive bucket with 0.8 of rate and burst admits.
    The other 0.2 covers reserves of seats that are not pledged, among them two free
    seats of 32, and the drift bound of the refill.
    """
    limits = LimitSettings(reserve_fraction=fraction)
    rate, burst = 400.0, 400.0
    recorder = Recorder(rate, burst)
    fleet = Fleet(
        FleetSettings(n_instances=18, random_state=seed, limits=limits, drift=DRIFT),
        make_configuration(rate, burst),
        recorder,
    )
    share = 0.8
    # The owner's clock may be slow while it assumes that it is fast.
    slowest = share * rate * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
    bucket = NaiveBucket(slowest, share * burst)
    source = random.Random(seed)
    time, number = 30.0, 0
    while time < 60.0:
        time += 0.4 if source.random() < 0.005 else source.expovariate(1.5 * rate)
        if bucket.admits(time):
            number += 1
            fleet.schedule(
                time,
                lambda number=number: fleet.submit("instance-7", str(number), "bees"),
            )
    fleet.run_until(62.0)
    assert recorder.refusals == {}
    assert recorder.n_admitted == number


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("low", [(10.0, 20.0), (30.0, 6.0)])
def test_plan_changes_keep_the_bound(seed, low):
    """Guards against tokens of two plans that add up while a change spreads.

    The larger plan bounds every window, the smaller one those between the changes. Of
    the two low plans, the first has a reserve and the second has none.
    """
    high = (40.0, 40.0)
    always, between = Recorder(*high), Recorder(*low)

    def record(now, request_id, refusal):
        always.costs = between.costs = recorder.costs
        always(now, request_id, refusal)
        # All instances know the plan after 3 s; older loans expire within 1 s more.
        if 44.1 < now < 60.0:
            between(now, request_id, refusal)

    recorder = Recorder()
    fleet = Fleet(
        FleetSettings(
            n_instances=N_INSTANCES, random_state=seed, limits=LIMITS, drift=DRIFT
        ),
        make_configuration(*high),
        record,
    )
    fleet.run_until(20.0)
    arrivals = schedule_statements(
        fleet, recorder, random.Random(seed), until=80.0, rate=80.0, pause=0.005
    )
    for at, version, plan in ((40.0, 2, low), (60.0, 3, high)):
        changed = make_configuration(*plan, version=version)
        fleet.schedule(at, partial(fleet.change_configuration, changed, 3.0))
    fleet.run_until(80.0)
    assert always.bucket.lowest >= -1e-6
    assert between.bucket.lowest >= -1e-6
    naive = NaiveBucket(*low)
    n_naive = sum(naive.admits(*item) for item in arrivals if 44.1 < item[0] < 60.0)
    assert between.n_admitted > 0.8 * n_naive


def run_until_empty(action):
    """Return a fleet where a request waits at instance 0, since the bucket is empty."""
    recorder = Recorder()
    fleet = Fleet(
        FleetSettings(n_instances=2, random_state=1, limits=LIMITS),
        make_configuration(),
        recorder,
    )
    fleet.run_until(20.0)
    for number in range(60):
        fleet.submit("instance-0", f"filler-{number}", "bees")
    fleet.run_until(20.1)
    fleet.submit("instance-0", "last", "bees", action=action)
    return fleet, recorder


@pytest.mark.parametrize("action", [Action.COMMIT, Action.ROLLBACK])
def test_end_of_a_transaction_is_not_refused(action):
    """Guards against a rate limit that refuses the end of an open transaction."""
    _fleet, recorder = run_until_empty(action)
    assert recorder.n_admitted > 20 and "last" not in recorder.refusals


def test_held_requests_are_refused_in_the_end():
    """Guards against requests that wait for ever and refusals without a retry time."""
    fleet, recorder = run_until_empty(Action.STATEMENT)
    fleet.run_until(20.6)
    assert recorder.n_admitted + len(recorder.refusals) == 61
    assert len(recorder.refusals) > 20
    for refusal in recorder.refusals.values():
        assert refusal.code is RefusalCode.RATE_LIMITED
        assert refusal.retry_after_seconds > 0


def test_new_owner_leaves_room_for_old_loans():
    """Guards against loans of two owners that together exceed the burst."""
    bucket = LendingBucket(Share(1000.0, 40.0), NO_SHARE, opened_at=0.0)
    assert bucket.lend("first", "instance-0", 100.0, now=0.9).n_tokens == 20.0
    assert bucket.lend("second", "instance-1", 100.0, now=0.95).n_tokens == 0.0
    assert bucket.level + bucket.outstanding == 20.0
    # The full capacity is available once all loans of the old owner have expired.
    bucket.update(now=1.2)
    assert bucket.level + bucket.outstanding == 40.0


@pytest.mark.parametrize(("epoch", "expected"), [(1, 5.0), (2, 0.0)])
def test_first_owner_of_a_shard_starts_with_a_full_bucket(epoch, expected):
    """Guards against a new fleet that refuses small workspaces inside their rate, and
    against a later owner that grants the burst a second time.
    """
    lending = Lending("instance-0", LIMITS)
    configuration = make_configuration(rate=1.0, burst=20.0)
    lending.handle(ConfigurationChanged(configuration=configuration), now=0.0)
    lease = ShardLease(
        shard=0, owner="instance-0", epoch=epoch, valid_until=60.0, taken_at=0.0
    )
    lending.handle(lease, now=0.0)
    request = BorrowRequest(
        borrow_id="b", borrower="instance-1", workspace="bees", n_tokens=5.0
    )
    envelope = PeerEnvelope(peer="instance-1", message=request)
    (emission,) = lending.handle(envelope, now=0.1)
    assert emission.message.message.n_tokens == expected


def test_borrower_that_was_paused_spends_no_expired_loan():
    """Guards against tokens that are spent after their owner has lent them again."""
    limiter = WorkspaceLimiter("bees", 0, "instance-0")
    limiter.add_loan(
        LocalLoan(
            borrow_id="loan",
            owner="instance-1",
            epoch=1,
            n_tokens=5.0,
            expires_at=1.0,
            return_at=0.8,
        )
    )
    assert limiter.spend(1.0, now=0.99)
    assert not limiter.spend(1.0, now=1.0)


def test_reserve_of_a_taken_seat_is_empty():
    """Guards against tokens that the previous holder of a seat has spent already."""
    reserves = SeatReserves("instance-0", LIMITS)
    reserves.change_configuration(make_configuration(), now=0.0)
    reserves.set_seat_lease(SeatLease(seat=1, valid_until=100.0), now=50.0)
    assert reserves.find_reserve("bees", 0, now=50.0).update(50.0) == 0.0
    assert 0.0 < reserves.find_reserve("bees", 0, now=52.0).update(52.0) < 1.0
    assert reserves.find_reserve("bees", 0, now=100.0) is None


def test_leases_are_closed_only_when_nothing_depends_on_them():
    """Guards against a next holder whose tokens add to a pledge or to older loans."""
    reserves = SeatReserves("instance-0", LIMITS)
    seat = SeatLease(seat=1, valid_until=100.0)
    reserves.set_seat_lease(seat, now=0.0)
    query = ReserveQuery(shard=0, epoch=1, asked_at=7.0, term_seconds=3.0)
    assert reserves.pledge(query, now=10.0) is not None
    reserves.set_seat_lease(replace(seat, is_closing=True), now=11.0)
    assert reserves.find_reserve("bees", 0, now=11.0) is None
    assert reserves.close_seat(now=12.9) is None
    assert reserves.close_seat(now=13.0) == SeatClosed(seat=1)

    lending = Lending("instance-0", LIMITS)
    lease = ShardLease(
        shard=0, owner="instance-0", epoch=2, valid_until=60.0, taken_at=50.0
    )
    lending.handle(lease, now=50.0)
    assert not lending.handle(replace(lease, is_closing=True), now=50.5)
    assert not lending.tick(now=51.0)
    (emission,) = lending.tick(now=51.1)
    assert emission.message == ShardClosed(shard=0, epoch=2)


def test_ranking_follows_changes_like_a_new_one():
    """Guards against instances that disagree on the owner after different histories."""
    source = random.Random(3)
    names = [f"instance-{number}" for number in range(12)]
    ranking = ShardRanking()
    for _ in range(60):
        live = source.sample(names, source.randrange(13))
        ranking.set_instances(live)
        for shard in range(8):
            assert ranking.rank(shard) == rank_candidates(f"shard {shard}", live)[:2]


def test_drained_owner_hands_its_shards_over():
    """Guards against a planned stop that leaves a shard unowned until a lease ends."""
    recorder = Recorder()
    fleet = Fleet(
        FleetSettings(n_instances=3, random_state=5, limits=LIMITS),
        make_configuration(),
        recorder,
    )
    fleet.run_until(20.0)
    shard = find_shard("bees", LIMITS.n_shards)
    owner = fleet.find_owner(shard)
    entry = next(name for name in fleet.nodes if name != owner)
    fleet.submit(entry, "before", "bees")
    fleet.announce_members(without=owner)
    fleet.drain_node(owner)
    fleet.run_until(25.0)
    assert fleet.find_owner(shard) not in ("", owner)
    fleet.submit(entry, "after", "bees")
    fleet.run_until(26.0)
    assert recorder.n_admitted == 2 and not recorder.refusals
