"""Placement and reception: at most one run, exactly one reply, correct outcomes."""

import heapq
import random
from dataclasses import replace
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from builders import GROUP, make_info, make_refusal, make_request
from sardinemill.adapters.clocks import ManualClock, SeededRandom
from sardinemill.adapters.memory_peers import MemoryNetwork, MemoryPeerLink
from sardinemill.control import (
    DrainStarted,
    ForwardedReply,
    ForwardedRequest,
    PeerEnvelope,
)
from sardinemill.errors import Outcome
from sardinemill.filters.placement import (
    HOME_REPLY_TIMEOUT_SECONDS,
    REPLY_GRACE_SECONDS,
    Placement,
)
from sardinemill.filters.reception import Reception
from sardinemill.groups import choose_homes
from sardinemill.members import MembershipChanged
from sardinemill.messages import (
    Action,
    Answer,
    Cancellation,
    RefusalCode,
)
from sardinemill.replication import GroupsChanged

NAMES = ("a", "b", "c", "d")
INFOS = tuple(make_info(name, name) for name in NAMES)
ALL = MembershipChanged(live=INFOS, leaving=(), candidates=INFOS)
GROUPS = GroupsChanged(groups=(GROUP,), homes=(("g", NAMES),))
HOMES = choose_homes("g", [(name, name) for name in NAMES])


class Port:
    """Peer inbox of one instance of a :class:`World`."""

    def __init__(self, world, name):
        self.world, self.name = world, name

    def offer(self, envelope):
        if self.name == "a":
            self.world.place(envelope)
        self.world.deliver(self.name, envelope)
        return True


class World:
    """Simulation of an entry and homes over a faulty link, driven by one seed."""

    def __init__(self, random_state, loss, duplication, max_delay):
        self.random = random.Random(random_state)
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, SeededRandom(random_state))
        self.network.loss, self.network.duplication = loss, duplication
        self.network.max_delay_seconds = max_delay
        self.placement = Placement("a", "a")
        self.receptions = {name: Reception(name) for name in NAMES}
        self.links = {
            name: MemoryPeerLink(name, self.network, Port(self, name)) for name in NAMES
        }
        self.runs, self.replies = {}, {}
        self.cancelled, self.stopped = set(), set()
        self.work, self.numbers = [], count()
        for name, link in self.links.items():
            self.network.attach(name, link)
            link.set_peers(INFOS)
            self.receptions[name].handle(GROUPS, 0.0)
        self.placement.handle(ALL, 0.0)

    def deliver(self, name, message):
        """Pass a message to the reception of a home."""
        for emission in self.receptions[name].handle(message, self.clock.now()):
            if emission.outlet == "next":
                self.start_work(name, emission.message)
            elif emission.outlet == "placement":
                self.place(emission.message)
            else:
                self.links[name].offer(emission.message)

    def place(self, message):
        self.route(self.placement.handle(message, self.clock.now()))

    def route(self, emissions):
        for emission in emissions:
            if emission.outlet == "reply":
                reply = emission.message
                self.replies.setdefault(reply.request_id, []).append(reply)
            elif emission.outlet == "home":
                self.deliver("a", emission.message)
            elif emission.outlet == "peers":
                self.links["a"].offer(emission.message)

    def start_work(self, name, message):
        """Run or refuse a request at once or later, as a home may do."""
        if isinstance(message, Cancellation):
            self.cancelled.add((name, message.request_id))
            return
        delay = self.random.choice((0.0, 0.5, 4.0, 12.0))
        item = (self.clock.now() + delay, next(self.numbers), name, message)
        heapq.heappush(self.work, item)

    def finish_work(self):
        while self.work and self.work[0][0] <= self.clock.now():
            _, _, name, request = heapq.heappop(self.work)
            request_id = request.request_id
            if name in self.stopped or (name, request_id) in self.cancelled:
                continue
            code = self.random.choice((*RefusalCode, None, None, None, None))
            outcome = self.random.choice((Outcome.NOT_RUN, Outcome.UNKNOWN))
            if request.deadline <= self.clock.now():
                code, outcome = RefusalCode.DEADLINE, Outcome.NOT_RUN
            if code is None or outcome is Outcome.UNKNOWN:
                self.runs.setdefault(request_id, []).append(name)
            reply = Answer(request_id=request_id, rows=((request_id,),))
            if code is not None:
                reply = make_refusal(request_id, code, outcome)
            self.deliver(name, reply)

    def stop_home(self, name):
        """Stop a home and remove it from the entry's membership."""
        self.stopped.add(name)
        self.network.detach(name)
        left = tuple(info for info in INFOS if info.name not in self.stopped)
        self.place(MembershipChanged(live=left, leaving=()))

    def step(self):
        self.clock.advance(0.05)
        self.network.deliver_due()
        self.finish_work()
        tick = self.placement.next_tick
        if tick is not None and tick <= self.clock.now():
            self.route(self.placement.tick(self.clock.now()))


KINDS = (
    {"kind": "read"},
    {"kind": "write"},
    {"kind": "write", "idempotency_key": "i"},
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    random_state=st.integers(0, 2**32),
    loss=st.sampled_from((0.0, 0.05, 0.3)),
    duplication=st.sampled_from((0.0, 0.5)),
    max_delay=st.sampled_from((0.0, 0.2, 5.0)),
    stopping=st.lists(st.sampled_from(NAMES[1:]), max_size=2, unique=True),
)
def test_writes_run_at_most_once_and_not_run_is_true(
    random_state, loss, duplication, max_delay, stopping
):
    """Guards against a write that runs twice, a *not run* for one that ran, and a
    reply that is missing, duplicated or of another request.
    """
    world = World(random_state, loss, duplication, max_delay)
    requests = {}
    dropped = set()
    for number in range(24):
        request_id = f"r{number}"
        fields = KINDS[number % len(KINDS)]
        request = make_request(request_id, deadline=world.clock.now() + 8, **fields)
        requests[request_id] = request
        world.place(request)
        if world.random.random() < 0.1:
            dropped.add(request_id)
            world.place(Cancellation(request_id=request_id))
        for _ in range(world.random.randrange(20)):
            world.step()
        if stopping and number % 8 == 7:
            world.stop_home(stopping.pop())
    for _ in range(600):
        world.step()
    assert world.placement.n_pending == 0
    for request_id, request in requests.items():
        replies = world.replies.get(request_id, [])
        assert len(replies) == 1 or (request_id in dropped and not replies)
        runs = world.runs.get(request_id, [])
        if not request.is_read and request.idempotency_key is None:
            assert len(runs) <= 1
        for reply in replies:
            if isinstance(reply, Answer):
                assert reply.rows == ((request_id,),)
            elif reply.outcome is Outcome.NOT_RUN and not request.is_read:
                assert not runs


def make_placement():
    placement = Placement("z", "z")
    placement.handle(ALL, 0.0)
    return placement


def get_messages(emissions, outlet):
    return [item.message for item in emissions if item.outlet == outlet]


@pytest.mark.parametrize(
    "fields, code, outcome",
    [
        ({"action": Action.COMMIT}, RefusalCode.UNKNOWN_TRANSACTION, Outcome.UNKNOWN),
        (
            {"action": Action.TRANSACTION_STATEMENT, "kind": "read"},
            RefusalCode.UNKNOWN_TRANSACTION,
            Outcome.NOT_RUN,
        ),
    ],
)
def test_transaction_stays_with_its_home(fields, code, outcome):
    """Guards against a statement of a transaction that runs at another home, and
    against *not run* for a commit that may have run.
    """
    placement = make_placement()
    request = make_request("1", transaction_id="b/9", **fields)
    sent = get_messages(placement.handle(request, 0.0), "peers")
    assert [item.peer for item in sent] == ["b"]
    refusal = make_refusal("1", RefusalCode.DRAINING, Outcome.NOT_RUN)
    answer = PeerEnvelope(peer="b", message=ForwardedReply(reply=refusal))
    foreign = replace(answer, peer="c")
    assert not placement.handle(foreign, 0.0)
    left = tuple(info for info in INFOS if info.name != "b")
    lost = placement.handle(MembershipChanged(live=left, leaving=()), 1.0)
    assert not get_messages(lost, "peers")
    (reply,) = get_messages(lost, "reply")
    assert (reply.code, reply.outcome) == (code, outcome)
    (reply,) = get_messages(placement.handle(request, 2.0), "reply")
    # The commit may be a retry of one that took effect.
    assert (reply.code, reply.outcome) == (code, outcome)
    assert not placement.handle(answer, 3.0)
    placement.handle(ALL, 4.0)
    placement.handle(request, 4.0)
    assert get_messages(placement.handle(answer, 4.0), "reply") == [refusal]


def test_silent_home_is_left_for_reads_and_kept_for_writes():
    """Guards against a read that waits for a silent home, a write that is retried
    without an idempotency key, and a request without a reply at its deadline.
    """
    placement = make_placement()
    placement.handle(make_request("read", kind="read"), 0.0)
    placement.handle(make_request("write"), 0.0)
    moved = get_messages(placement.tick(HOME_REPLY_TIMEOUT_SECONDS), "peers")
    forwarded = [
        (item.peer, item.message.request.request_id)
        for item in moved
        if isinstance(item.message, ForwardedRequest)
    ]
    assert forwarded == [(HOMES[1], "read")]
    placement.tick(2 * HOME_REPLY_TIMEOUT_SECONDS)
    replies = get_messages(placement.tick(10.0 + REPLY_GRACE_SECONDS), "reply")
    outcomes = {reply.request_id: reply.outcome for reply in replies}
    assert outcomes == {"read": Outcome.NOT_RUN, "write": Outcome.UNKNOWN}


def test_reception_refuses_new_work_but_not_open_transactions():
    """Guards against new requests at an instance that is no home or is draining, and
    against a drain that interrupts open transactions. A cancellation that overtakes its
    request stops it.
    """
    reception = Reception("a")
    (emission,) = reception.handle(make_request("1"), 0.0)
    assert emission.outlet == "placement"
    assert emission.message.code is RefusalCode.NO_HOME
    reception.handle(GROUPS, 0.0)
    reception.handle(DrainStarted(), 0.0)
    emission, drained = reception.handle(make_request("2"), 0.0)
    assert emission.message.code is RefusalCode.DRAINING
    assert drained.outlet == "drain"
    commit = make_request("3", action=Action.COMMIT, transaction_id="a/1")
    # The drain is not finished while a request waits for its reply.
    (emission,) = reception.handle(commit, 0.0)
    assert emission.outlet == "next"
    reception.handle(Cancellation(request_id="4"), 0.0)
    assert not reception.handle(make_request("4", transaction_id="a/1"), 0.0)
