"""Interleavings of faults, generated and shrunk by hypothesis, over the real filters.

The simulation and its invariants are those of :mod:`test_fleet_model`; here each fault
is a rule of its own, so that a failure shrinks to a short list of steps.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

import test_fleet_model
from sardinemill.fleet.records import GroupPhase
from test_fleet_model import InvariantViolation, World

N_INSTANCES = 4
NAMES = st.sampled_from([f"n{number}" for number in range(N_INSTANCES)])
# Around the critical times: leases end after 1.3 s, confirmations after 7 s, a holder
# acts for 6 s and another one takes over after 8 s.
SECONDS = st.sampled_from([0.4, 1.0, 1.6, 3.0, 6.5, 9.0, 14.0])
STEPS = st.integers(min_value=1, max_value=40)


class FleetMachine(RuleBasedStateMachine):
    """Rules that cause one fault each and then let time pass."""

    def __init__(self):
        super().__init__()
        self.world = World(seed=1, n_instances=N_INSTANCES)
        # The rules cause the faults.
        self.world.inject = lambda: None
        self.world.run(30)

    @rule(name=NAMES, seconds=SECONDS, steps=STEPS)
    def cut_from_store(self, name, seconds, steps):
        self.world.store_cut[name] = self.world.now + seconds
        self.world.run(steps)

    @rule()
    def calm_down(self):
        """End all faults, so that the next one meets a working fleet."""
        world = self.world
        for cuts in (world.store_cut, world.peer_cut, world.primary_cut, world.crashed):
            cuts.clear()
        for node in world.nodes.values():
            node.frozen_until = 0.0
        world.run(60)

    @rule(seconds=SECONDS, steps=STEPS)
    def lose_store(self, seconds, steps):
        for name in self.world.nodes:
            self.world.store_cut[name] = self.world.now + seconds
        self.world.run(steps)

    @rule(name=NAMES, seconds=SECONDS, steps=STEPS)
    def cut_from_peers(self, name, seconds, steps):
        self.world.peer_cut[name] = self.world.now + seconds
        self.world.run(steps)

    @rule(name=NAMES, seconds=SECONDS, steps=STEPS)
    def leave_alone_with_primary(self, name, seconds, steps):
        until = self.world.now + seconds
        self.world.peer_cut[name] = self.world.store_cut[name] = until
        for other in self.world.nodes:
            if other != name:
                self.world.primary_cut[other] = until
        self.world.run(steps)

    @rule(name=NAMES, seconds=SECONDS, steps=STEPS)
    def freeze(self, name, seconds, steps):
        self.world.nodes[name].frozen_until = self.world.now + seconds
        self.world.run(steps)

    @rule(seconds=SECONDS, steps=STEPS)
    def freeze_holder_of_a_change(self, seconds, steps):
        group = self.world.record.find_group("g")
        if group is not None and group.phase is GroupPhase.CHANGING:
            holder = self.world.nodes[self.world.record.holder]
            holder.frozen_until = self.world.now + seconds
        self.world.run(steps)

    @rule(seconds=SECONDS, steps=STEPS)
    def crash_primary(self, seconds, steps):
        self.world.crashed[self.world.leader] = self.world.now + seconds
        self.world.run(steps)

    @rule(name=NAMES, steps=STEPS)
    def kill_and_restart(self, name, steps):
        self.world.start(name)
        self.world.run(steps)

    @rule(name=NAMES, steps=STEPS)
    def stop_gracefully(self, name, steps):
        self.world.leave(name)
        self.world.run(steps)


# Longer searches are run by hand: a few hundred examples take some minutes.
MACHINE_SETTINGS = settings(
    max_examples=12, stateful_step_count=25, derandomize=True, deadline=None
)


def test_no_interleaving_uses_a_replaced_primary():
    """Guards against a sequence of faults that leads to the use of two primaries."""
    run_state_machine_as_test(FleetMachine, settings=MACHINE_SETTINGS)


def test_machine_detects_a_lease_that_is_too_long(monkeypatch):
    """Guards against rules that never reach the critical interleavings."""
    # Instances use a primary for longer than a failover waits.
    monkeypatch.setattr(test_fleet_model, "PRIMARY_LEASE_SECONDS", 3.0)
    # Shrinking the example would take minutes and is not needed here.
    generating = settings(MACHINE_SETTINGS, max_examples=100, phases=[Phase.generate])
    with pytest.raises(InvariantViolation):
        run_state_machine_as_test(FleetMachine, settings=generating)
