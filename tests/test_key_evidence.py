"""Evidence of a store outage when a part of a data centre is cut off."""

from dataclasses import replace

from bench.fleet import make_views

from sardinemill.changes import WithdrawKey
from test_distribution import DATA_CENTRES, REFUSAL_LIMIT_SECONDS, make_fleet

APART = "milano-apart"


def test_withdrawn_key_is_refused_when_a_cut_off_part_reaches_the_store():
    """Guards against evidence of an outage that leaves out silent instances.

    Instances that are not relays are cut off from all others but reach the store, so
    an edit is accepted while the relays of every data centre report an outage.
    """
    fleet = make_fleet(random_state=0)
    inside = make_views(fleet)["milano"]
    relays = [
        name for name in inside if fleet.members[name].step._store_watch.is_active
    ]
    group = [name for name in inside if name not in relays]
    others = [name for name in fleet.members if name not in group]
    fleet.set_members(group, viewers=group)
    fleet.set_members(others, viewers=others)
    for name in group:
        member = fleet.members[name]
        member.info = replace(member.info, data_centre=APART)
    fleet.cut_from_store.update(DATA_CENTRES)
    fleet.cut_links.update(frozenset((APART, other)) for other in DATA_CENTRES)
    fleet.run_for(5.0)
    fleet.publish(WithdrawKey("w"))
    fleet.run_for(REFUSAL_LIMIT_SECONDS)
    assert fleet.list_serving("gone") == set()
