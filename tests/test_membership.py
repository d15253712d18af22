"""Membership and the groups that follow from it, with a simulated clock."""

from dataclasses import replace

from builders import make_info
from sardinemill.adapters.clocks import SeededRandom
from sardinemill.configuration import Configuration, ConfigurationChanged
from sardinemill.control import DrainStarted, PeerEnvelope
from sardinemill.filters.homes import HOME_DRAIN_SECONDS, Homes
from sardinemill.filters.instance_list_cache import POLL_SECONDS, choose_list_relays
from sardinemill.filters.membership import Membership
from sardinemill.filters.suspicion import ISOLATION_SECONDS, SILENCE_SECONDS
from sardinemill.groups import GroupDescription
from sardinemill.members import (
    Heartbeat,
    InstanceList,
    InstanceState,
    MembershipChanged,
)
from sardinemill.replication import GroupsChanged
from sardinemill.store_calls import StoreCall, StoreFailure, StoreReply


class Fleet:
    """Membership filters of several instances over a network without faults."""

    def __init__(self, names):
        self.infos = {name: make_info(name) for name in names}
        self.filters = {
            name: Membership(info, "1", SeededRandom(number))
            for number, (name, info) in enumerate(self.infos.items())
        }
        self.listed = tuple(self.infos.values())
        self.is_store_up = True
        self.unreachable, self.polling_instances = set(), []
        self.current = {}
        self.now = 0.0

    def find_members(self, observer, state="live"):
        return {item.name for item in getattr(self.current[observer], state)}

    def advance(self, seconds):
        end = self.now + seconds
        while True:
            self.now, name = min(
                (item.next_tick, name) for name, item in self.filters.items()
            )
            if self.now > end:
                self.now = end
                return
            self.now = max(self.now, 0.0)
            self.handle_emissions(name, self.filters[name].tick(self.now))

    def deliver(self, name, message):
        self.handle_emissions(name, self.filters[name].handle(message, self.now))

    def handle_emissions(self, name, emissions):
        for emission in emissions:
            message = emission.message
            if isinstance(message, MembershipChanged):
                self.current[name] = message
            elif isinstance(message, StoreCall):
                self.polling_instances.append(name)
                self.deliver(name, self.make_reply(message))
            elif isinstance(message, PeerEnvelope):
                self.send(name, message)

    def make_reply(self, call):
        failure = None if self.is_store_up else StoreFailure.UNAVAILABLE
        listed = self.listed if self.is_store_up else ()
        return StoreReply(
            call=call, failure=failure, asked_at=self.now, instances=listed
        )

    def send(self, sender, envelope):
        targets = [envelope.peer]
        if envelope.peer == "*":
            targets = [item.name for item in self.current[sender].candidates]
        for target in targets:
            if not {sender, target} & self.unreachable and target in self.filters:
                message = PeerEnvelope(peer=sender, message=envelope.message)
                self.deliver(target, message)


def test_instances_discover_each_other_and_drop_silent_ones():
    """Guards against an instance that stays undiscovered, a silent one that stays live,
    and a store outage that removes all instances.
    """
    fleet = Fleet("abcd")
    fleet.listed = fleet.listed[:3]
    fleet.advance(5.0)
    # The list does not hold the newest instance yet, which announced itself.
    assert all(fleet.find_members(name) == set("abcd") for name in "abcd")
    fleet.polling_instances.clear()
    fleet.advance(10 * POLL_SECONDS)
    relays = choose_list_relays("x", fleet.infos.values())
    assert set(fleet.polling_instances) == set(relays) and len(relays) == 2
    fleet.is_store_up = False
    fleet.unreachable = {"b"}
    fleet.advance(ISOLATION_SECONDS + 0.01)
    assert fleet.find_members("a") == set("acd") and fleet.find_members("b") == {"b"}
    assert "b" in {item.name for item in fleet.current["a"].candidates}
    fleet.unreachable = set()
    fleet.advance(1.2)
    assert fleet.find_members("a") == fleet.find_members("b") == set("abcd")
    fleet.deliver("c", DrainStarted())
    assert fleet.find_members("a") == set("abd") and fleet.find_members(
        "a", "leaving"
    ) == {"c"}


def test_listed_instance_needs_a_heartbeat_after_the_grace_period():
    """Guards against an empty membership at the start, a listed instance that stays
    live without a heartbeat, and late or forged heartbeats that count.
    """
    membership = Membership(make_info("a"), "1", SeededRandom(1))

    def find_live(emissions, live=frozenset("a")):
        for emission in emissions:
            if isinstance(emission.message, MembershipChanged):
                live = {item.name for item in emission.message.live}
        return live

    listed = InstanceList(instances=(make_info("a"), make_info("b")))
    envelope = PeerEnvelope(peer="c", message=listed)
    assert find_live(membership.handle(envelope, 0.0)) == {"a", "b"}
    assert find_live(membership.tick(SILENCE_SECONDS)) == {"a"}
    heartbeat = Heartbeat(
        source="b",
        incarnation="1",
        sequence=7,
        state=InstanceState.LIVE,
        configuration_version=0,
    )
    envelope = PeerEnvelope(peer="b", message=heartbeat)
    assert find_live(membership.handle(envelope, 4.0)) == {"a", "b"}
    # A single tick after three seconds would count as a pause of this instance.
    for now in (4.5, 5.0, 5.5, 6.0, 6.5):
        assert find_live(membership.tick(now), None) is None
    assert find_live(membership.tick(4.0 + SILENCE_SECONDS)) == {"a"}
    late = PeerEnvelope(peer="b", message=replace(heartbeat, sequence=6))
    assert not membership.handle(late, 8.0)
    forged = PeerEnvelope(peer="c", message=replace(heartbeat, sequence=9))
    assert not membership.handle(forged, 8.0)


def test_home_keeps_its_groups_while_work_may_be_in_flight():
    """Guards against a change of homes or a stop that aborts running requests, and
    against messages when nothing changed.
    """
    homes = Homes("a")
    configuration = Configuration(
        version=1,
        plans={},
        workspaces={},
        keys={},
        groups={"g": GroupDescription("g", 3, ())},
    )
    alone = MembershipChanged(live=(make_info("a"),), leaving=())
    homes.handle(alone, 0.0)
    (emission,) = homes.handle(ConfigurationChanged(configuration=configuration), 0.0)
    assert emission.message == GroupsChanged(
        groups=(configuration.groups["g"],), homes=(("g", ("a",)),)
    )
    assert not homes.handle(alone, 1.0)
    others = tuple(make_info(name) for name in "bcdefgh")
    stopping = MembershipChanged(live=others, leaving=(make_info("a"),))
    assert not homes.handle(stopping, 1.0)
    (emission,) = homes.handle(MembershipChanged(live=others, leaving=()), 2.0)
    ((_, ranked),) = emission.message.homes
    assert ranked[-1] == "a" and len(ranked) == 4
    (emission,) = homes.tick(2.0 + HOME_DRAIN_SECONDS)
    assert emission.message.groups == () and homes.next_tick is None
