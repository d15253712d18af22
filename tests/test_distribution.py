"""Distribution of configurations between instances, with a simulated clock."""

import pytest
from bench.fleet import Fleet, make_views
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinemill.changes import IssueKey, ReplaceLists, WithdrawKey
from sardinemill.configuration import Key, Plan, Workspace, hash_key
from sardinemill.groups import Address, DatabaseDescription, GroupDescription

DATA_CENTRES = ("milano", "bergamo", "brescia")
# A withdrawal must take effect within the target of 4 s; 1 s covers a round of queries.
REFUSAL_LIMIT_SECONDS = 5.0


def make_fleet(random_state: int, disorder: float = 0.0) -> Fleet:
    fleet = Fleet(
        n_instances=9,
        data_centres=DATA_CENTRES,
        random_state=random_state,
        disorder=disorder,
    )
    databases = tuple(
        DatabaseDescription(
            name=f"books-{slot}",
            group="books",
            slot=slot,
            data_centre=data_centre,
            address=Address("127.0.0.1", 1),
            n_connections=80,
        )
        for slot, data_centre in enumerate(DATA_CENTRES)
    )
    fleet.publish(
        ReplaceLists(
            plans={"small": Plan(name="small", rate_per_second=5, burst=10)},
            workspaces={"loans": Workspace(name="loans", plan="small", group="books")},
            groups={
                "books": GroupDescription(name="books", n_slots=3, databases=databases)
            },
        )
    )
    fleet.publish(IssueKey(Key(key_id="k", workspace="loans", digest=hash_key("kept"))))
    fleet.publish(IssueKey(Key(key_id="w", workspace="loans", digest=hash_key("gone"))))
    fleet.set_members()
    fleet.run_for(5)
    return fleet


def separate_views(fleet: Fleet, data_centre: str) -> None:
    """Remove the instances beyond a partition from the membership of each side."""
    views = make_views(fleet)
    inside = views[data_centre]
    outside = [name for name in fleet.members if name not in inside]
    fleet.set_members(inside, viewers=inside)
    fleet.set_members(outside, viewers=outside)


def assert_never_reverted(fleet: Fleet) -> None:
    for member in fleet.members.values():
        assert member.versions == sorted(set(member.versions))


@settings(max_examples=15, deadline=None, derandomize=True)
@given(
    random_state=st.integers(0, 2**16),
    cut=st.sampled_from(["store", "partition", "late membership", "store of two"]),
)
def test_withdrawn_key_is_refused_where_only_some_are_cut(random_state, cut):
    """Guards against a key that lives on behind a partition or a partial outage."""
    fleet = make_fleet(random_state)
    assert len(fleet.list_serving("gone")) == 9
    if cut == "store":
        fleet.cut_from_store.add("brescia")
    elif cut == "store of two":
        fleet.cut_from_store.update(("brescia", "milano"))
    else:
        fleet.cut_data_centre("brescia")
        if cut == "partition":
            separate_views(fleet, "brescia")
    fleet.publish(WithdrawKey("w"))
    fleet.run_for(REFUSAL_LIMIT_SECONDS)
    for _ in range(40):
        assert fleet.list_serving("gone") == set()
        fleet.run_for(0.5)
    serving = fleet.list_serving("kept")
    cut_off = set(make_views(fleet)["brescia"])
    assert serving >= set(fleet.members) - cut_off
    if cut.startswith("store"):
        assert serving == set(fleet.members)
    fleet.heal()
    fleet.set_members()
    fleet.run_for(8)
    assert fleet.list_serving("kept") == set(fleet.members)
    assert fleet.list_serving("gone") == set()
    assert_never_reverted(fleet)


@settings(max_examples=10, deadline=None, derandomize=True)
@given(random_state=st.integers(0, 2**16))
def test_keyed_requests_go_on_while_the_store_is_down_everywhere(random_state):
    """Guards against refusals of every key during an outage in which no edit is
    possible, and against an instance that starts then and serves nobody.
    """
    fleet = make_fleet(random_state)
    fleet.cut_from_store.update(DATA_CENTRES)
    for _ in range(60):
        fleet.run_for(0.5)
        assert fleet.list_serving("kept") == set(fleet.members)
    fleet.restart("instance-4")
    fleet.set_members(viewers=["instance-4"])
    fleet.run_for(6)
    assert fleet.list_serving("kept") == set(fleet.members)
    # The store returns for one data centre only, and an edit is accepted there.
    fleet.cut_from_store.discard("milano")
    fleet.publish(WithdrawKey("w"))
    fleet.run_for(REFUSAL_LIMIT_SECONDS)
    assert fleet.list_serving("gone") == set()
    assert_never_reverted(fleet)


@pytest.mark.parametrize("restarted", ["none", "relays", "others"])
def test_cut_off_data_centre_does_not_take_its_own_view_for_an_outage(restarted):
    """Guards against a partition that looks like a total outage from inside, also to
    relays that were started behind it and know no other data centre yet.
    """
    fleet = make_fleet(3)
    fleet.cut_data_centre("brescia")
    separate_views(fleet, "brescia")
    inside = make_views(fleet)["brescia"]
    for name in inside:
        is_relay = fleet.members[name].step._store_watch.is_active
        if restarted == ("relays" if is_relay else "others"):
            fleet.restart(name)
            fleet.set_members(inside, viewers=[name])
    fleet.publish(WithdrawKey("w"))
    fleet.run_for(REFUSAL_LIMIT_SECONDS)
    for _ in range(120):
        assert fleet.list_serving("gone") == set()
        fleet.run_for(0.5)
    # All instances inside still received the latest version that was known there.
    assert {fleet.members[name].version for name in inside} == {3}


@settings(max_examples=15, deadline=None, derandomize=True)
@given(random_state=st.integers(0, 2**16), n_edits=st.integers(1, 6))
def test_versions_never_revert_in_disorder(random_state, n_edits):
    """Guards against old, duplicated or reordered answers that restore a version or
    renew the confirmation of an old one.
    """
    fleet = make_fleet(random_state, disorder=0.5)
    for number in range(n_edits):
        digest = hash_key(f"key {number}")
        key = Key(key_id=f"new-{number}", workspace="loans", digest=digest)
        fleet.publish(IssueKey(key))
        fleet.run_for(0.4)
    fleet.publish(WithdrawKey("w"))
    fleet.run_for(REFUSAL_LIMIT_SECONDS)
    for _ in range(10):
        assert fleet.list_serving("gone") == set()
        fleet.run_for(0.5)
    assert {member.version for member in fleet.members.values()} == {4 + n_edits}
    assert_never_reverted(fleet)


@pytest.mark.parametrize("n_dead", [1, 2])
def test_instances_follow_when_relays_die(n_dead):
    """Guards against instances that keep waiting for relays that have stopped."""
    fleet = make_fleet(11)
    relays = [
        name
        for name in make_views(fleet)["milano"]
        if fleet.members[name].step._store_watch.is_active
    ]
    for name in relays[:n_dead]:
        fleet.members[name].is_stopped = True
    fleet.publish(WithdrawKey("w"))
    fleet.run_for(REFUSAL_LIMIT_SECONDS)
    assert fleet.list_serving("gone") == set()
    assert fleet.list_serving("kept") == set(fleet.members) - set(relays[:n_dead])


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cut store", "cut data centre", "heal", "restart", "edit"]),
        st.sampled_from(DATA_CENTRES),
        st.floats(0.1, 6.0),
    ),
    min_size=3,
    max_size=14,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(random_state=st.integers(0, 2**16), steps=STEPS)
def test_withdrawn_keys_stay_refused_through_faults_in_sequence(random_state, steps):
    """Guards against evidence or confirmations from before a fault that outlive it.

    An edit is made only while some data centre reaches the store, and the store is not
    cut off everywhere in the 3 s after it: an edit that no relay could read before a
    total outage comes into force after it, which is the documented exception.
    """
    fleet = make_fleet(random_state, disorder=0.1)
    withdrawn_at = {}
    for number in range(len(steps)):
        digest = hash_key(f"key {number}")
        key = Key(key_id=f"s-{number}", workspace="loans", digest=digest)
        fleet.publish(IssueKey(key))
    fleet.run_for(5)
    for number, (action, data_centre, seconds) in enumerate(steps):
        reaches = set(DATA_CENTRES) - fleet.cut_from_store
        latest = max(withdrawn_at.values(), default=0.0)
        is_last = reaches <= {data_centre} and fleet.now - latest < 3
        if action == "cut store" and not is_last:
            fleet.cut_from_store.add(data_centre)
        elif action == "cut data centre" and not is_last:
            fleet.cut_data_centre(data_centre)
            separate_views(fleet, data_centre)
        elif action == "heal":
            fleet.heal()
            fleet.set_members()
        elif action == "restart":
            names = make_views(fleet)[data_centre]
            fleet.restart(names[0])
            fleet.set_members(names, viewers=names[:1])
        elif action == "edit" and reaches:
            fleet.publish(WithdrawKey(f"s-{number}"))
            withdrawn_at[f"key {number}"] = fleet.now
        end = fleet.now + seconds
        while fleet.now < end:
            fleet.run_for(0.25)
            for key, at in withdrawn_at.items():
                if fleet.now - at > REFUSAL_LIMIT_SECONDS:
                    assert fleet.list_serving(key) == set()
    assert_never_reverted(fleet)


def test_paused_instance_trusts_no_evidence_from_before_its_pause():
    """Guards against a withdrawn key that works at the first request after a pause,
    because evidence of an outage was kept as a flag without its time.
    """
    fleet = make_fleet(5)
    fleet.cut_from_store.update(DATA_CENTRES)
    fleet.run_for(10)
    paused = fleet.members["instance-0"]
    assert fleet.list_serving("gone") == set(fleet.members)
    paused.is_stopped = True
    fleet.heal()
    fleet.publish(WithdrawKey("w"))
    fleet.run_for(REFUSAL_LIMIT_SECONDS)
    paused.is_stopped = False
    assert fleet.list_serving("gone") == set()
