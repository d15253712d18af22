"""Queues, permits and transactions of a home, with a simulated clock."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from builders import (
    DATABASE,
    make_refusal,
    make_request,
    make_routed,
    make_statement,
)
from sardinemill.configuration import (
    Configuration,
    ConfigurationChanged,
    ConfigurationConfirmed,
    Key,
    Plan,
    Workspace,
)
from sardinemill.errors import Outcome
from sardinemill.filters.authentication import AvailableKeyPolicy
from sardinemill.filters.dispatch import hash_statement
from sardinemill.filters.open_transactions import IDLE_TIMEOUT_SECONDS
from sardinemill.filters.queueing import (
    FirstInFirstOut,
    QueuedWork,
    ServiceTimes,
    WeightedFairQueueing,
)
from sardinemill.filters.scheduling import Scheduling
from sardinemill.groups import GroupDescription
from sardinemill.messages import (
    Action,
    Cancellation,
    Execution,
    RefusalCode,
    UpstreamResult,
)
from sardinemill.replication import DatabaseLoad, GroupsChanged

N_PERMITS = 4
DATABASE = replace(DATABASE, n_connections=4 * N_PERMITS)
GROUPS = GroupsChanged(groups=(GroupDescription("g", 1, (DATABASE,)),), homes=())
CONFIGURATION = Configuration(
    version=1,
    plans={
        "p": Plan(name="p", rate_per_second=1, burst=1, n_queued=5),
        "q": Plan(name="q", rate_per_second=1, burst=1, n_queued=5, weight=3.0),
    },
    workspaces={
        "v": Workspace(name="v", plan="p", group="g"),
        "w": Workspace(name="w", plan="q", group="g"),
    },
    keys={
        "kv": Key(key_id="kv", workspace="v", digest="1"),
        "kw": Key(key_id="kw", workspace="w", digest="2"),
    },
    groups={},
)


def make_work(request_id, workspace="v", action=Action.STATEMENT, **fields):
    fields = {"deadline": 100.0, "key_id": f"k{workspace}", **fields}
    return make_routed(make_request(request_id, action, workspace=workspace, **fields))


def make_scheduling(make_policy=WeightedFairQueueing):
    scheduling = Scheduling(AvailableKeyPolicy(), make_policy)
    scheduling.handle(ConfigurationChanged(configuration=CONFIGURATION), 0.0)
    scheduling.handle(ConfigurationConfirmed(version=1, confirmed_at=0.0), 0.0)
    scheduling.handle(GROUPS, 0.0)
    return scheduling


class Home:
    """Fake connection pool that records everything that the filter emits."""

    def __init__(self, scheduling):
        self.scheduling = scheduling
        self.now = 0.0
        self.running, self.dispatched = {}, []
        self.replies, self.executed, self.loads = [], [], []

    def feed(self, message):
        self.record(self.scheduling.handle(message, self.now))

    def advance(self, seconds):
        self.now += seconds
        self.tick()

    def tick(self):
        tick = self.scheduling.next_tick
        while tick is not None and tick <= self.now:
            self.record(self.scheduling.tick(self.now))
            tick = self.scheduling.next_tick

    def record(self, emissions):
        for emission in emissions:
            message = emission.message
            if emission.outlet == "execution":
                request = message.routed.request
                assert request.request_id not in self.running
                assert request.deadline > self.now
                self.running[request.request_id] = message.routed
                self.dispatched.append(request)
            elif emission.outlet == "reply":
                self.replies.append(message)
            elif emission.outlet == "executed":
                self.executed.append(message)
            elif emission.outlet == "routing":
                self.loads.append(message)

    def finish(self, request_id, code=None):
        routed = self.running.pop(request_id)
        request = routed.request
        result = failure = None
        if code is None:
            is_begin = request.action is Action.BEGIN
            result = UpstreamResult(
                call_id=request_id,
                transaction_id=f"a/{request_id}" if is_begin else None,
            )
        else:
            failure = make_refusal(request_id, code, Outcome.UNKNOWN)
        self.feed(
            Execution(
                routed=routed, result=result, failure=failure, service_seconds=0.01
            )
        )


@pytest.mark.parametrize("make_policy", [FirstInFirstOut, WeightedFairQueueing])
@settings(derandomize=True, max_examples=60, deadline=None)
@given(random_state=st.integers(0, 2**32))
def test_work_is_answered_once_within_permits(make_policy, random_state):
    """Guards against lost or duplicated requests, more running requests than permits,
    requests that run after their deadline or cancellation, statements in the wrong
    transaction, and lost permits.
    """
    source = random.Random(random_state)
    home = Home(make_scheduling(make_policy))
    accepted, cancelled, open_ids = {}, set(), []
    for number in range(120):
        choice = source.random()
        workspace = source.choice("vw")
        request_id = f"r{number}"
        deadline = home.now + source.choice((0.05, 0.5, 5.0))
        fields = {"workspace": workspace, "deadline": deadline}
        if choice < 0.45:
            action = Action.BEGIN if choice < 0.1 else Action.STATEMENT
            accepted[request_id] = make_work(request_id, action=action, **fields)
        elif choice < 0.6 and open_ids:
            action = source.choice((Action.TRANSACTION_STATEMENT, Action.COMMIT))
            fields["transaction_id"] = source.choice(open_ids)
            accepted[request_id] = make_work(request_id, action=action, **fields)
        elif choice < 0.9 and home.running:
            finished = source.choice(sorted(home.running))
            codes = (None, None, RefusalCode.STATEMENT, RefusalCode.UPSTREAM)
            home.finish(finished, source.choice(codes))
            open_ids.append(f"a/{finished}")
        elif accepted:
            cancelled_id = source.choice(sorted(accepted))
            if cancelled_id not in {item.request_id for item in home.dispatched}:
                cancelled.add(cancelled_id)
            home.feed(Cancellation(request_id=cancelled_id))
        if request_id in accepted:
            home.feed(accepted[request_id])
        held = {
            item.request.transaction_id or item.request.request_id
            for item in home.running.values()
        }
        assert len(held) == len(home.running) <= N_PERMITS
        assert all(load.n_running <= N_PERMITS for load in home.loads)
        # Ticks may come late, as on a busy event loop.
        home.now += source.choice((0.0, 0.01, 0.1))
        if source.random() < 0.7:
            home.tick()
    for _ in range(200):
        for request_id in sorted(home.running):
            home.finish(request_id)
        home.advance(IDLE_TIMEOUT_SECONDS / 10)

    ran = [item.request_id for item in home.dispatched]
    answered = [item.request_id for item in home.replies]
    answered += [item.routed.request.request_id for item in home.executed]
    assert len(answered) == len(set(answered))
    assert accepted.keys() - cancelled <= set(answered) <= accepted.keys()
    # A cancelled request may have been refused before, but never runs.
    assert len(ran) == len(set(ran)) and not cancelled & set(ran)
    for request in home.dispatched:
        if request.transaction_id is not None:
            begin = request.transaction_id.removeprefix("a/")
            assert request.workspace == accepted[begin].request.workspace
    idle = DatabaseLoad(database="d", n_queued=0, n_running=0, mean_service_seconds=0)
    assert replace(home.loads[-1], mean_service_seconds=0) == idle


def test_queued_work_stops_at_its_limits():
    """Guards against queued requests that run with a withdrawn key, that exceed the
    queue limit of a plan, or that wait past their deadline while every connection is
    busy.
    """
    home = Home(make_scheduling())
    for number in range(N_PERMITS + 6):
        home.feed(make_work(str(number)))
    assert [reply.code for reply in home.replies] == [RefusalCode.OVERLOADED]
    home.feed(make_work("late", workspace="w", deadline=1.0))
    home.advance(1.0)
    assert home.replies.pop().code is RefusalCode.DEADLINE
    withdrawn = replace(CONFIGURATION, version=2, keys={})
    home.feed(ConfigurationChanged(configuration=withdrawn))
    home.finish("0")
    assert len(home.dispatched) == N_PERMITS
    codes = [reply.code for reply in home.replies[1:]]
    assert codes == [RefusalCode.UNAUTHORIZED] * 5
    assert all(reply.outcome is Outcome.NOT_RUN for reply in home.replies)


def test_abandoned_transaction_is_rolled_back_and_frees_its_permit():
    """Guards against a transaction that keeps its permit after its caller has
    abandoned it or its connection has broken.
    """
    home = Home(make_scheduling())
    home.feed(make_work("b", action=Action.BEGIN))
    home.finish("b")
    home.advance(IDLE_TIMEOUT_SECONDS)
    (rollback,) = home.running.values()
    assert rollback.request.action is Action.ROLLBACK
    late = make_work("c", action=Action.COMMIT, transaction_id="a/b")
    home.feed(late)
    assert home.replies[-1].code is RefusalCode.UNKNOWN_TRANSACTION
    assert home.replies[-1].outcome is Outcome.NOT_RUN
    home.finish(rollback.request.request_id)
    home.feed(replace(late, request=replace(late.request, request_id="d")))
    assert home.replies[-1].outcome is Outcome.NOT_RUN
    home.advance(1.0)
    assert home.loads[-1].n_running == 0
    assert len(home.executed) == 1

    home.feed(make_work("i", action=Action.BEGIN))
    home.finish("i")
    for request_id in "jk":
        commit = make_work(request_id, action=Action.COMMIT, transaction_id="a/i")
        home.feed(commit)
    home.finish("j")
    assert home.replies[-1].outcome is Outcome.UNKNOWN

    home.feed(make_work("d", action=Action.BEGIN))
    home.feed(Cancellation(request_id="d"))
    home.finish("d")
    (rollback,) = home.running.values()
    assert rollback.request.transaction_id == "a/d"
    home.finish(rollback.request.request_id)

    home.feed(make_work("e", action=Action.BEGIN))
    home.finish("e")
    for request_id in ("f", "g"):
        statement = Action.TRANSACTION_STATEMENT
        home.feed(make_work(request_id, action=statement, transaction_id="a/e"))
    home.finish("f", RefusalCode.UPSTREAM)
    assert home.replies[-1].code is RefusalCode.UNKNOWN_TRANSACTION
    home.advance(1.0)
    assert home.loads[-1].n_running == 0


def test_transactions_leave_connections_for_statements():
    """Guards against one workspace whose open transactions hold every connection, and
    against begins that are lost while they wait for the end of another transaction.
    """
    home = Home(make_scheduling())
    for number in range(5):
        home.feed(make_work(f"b{number}", action=Action.BEGIN, deadline=5.0))
    assert list(home.running) == ["b0", "b1"]
    home.finish("b0")
    home.finish("b1")
    for number in range(2):
        begin = make_work(f"w{number}", "w", action=Action.BEGIN, deadline=5.0)
        home.feed(begin)
    home.feed(make_work("s", "w"))
    # Two of one workspace, three in all, and the last connection for statements.
    assert list(home.running) == ["w0", "s"]
    home.feed(Cancellation(request_id="b2"))
    end = make_work("e", action=Action.ROLLBACK, transaction_id="a/b0")
    home.feed(end)
    home.finish("e")
    assert len(home.running) == 3 and home.running.keys() < {"s", "w0", "w1", "b3"}
    home.advance(5.0)
    assert len(home.replies) == 2


def test_fair_queueing_follows_weights_and_cost():
    """Guards against a workspace that gets more than its share because its requests
    are slow or many, or because it was idle before.
    """
    times = ServiceTimes()
    policy = WeightedFairQueueing(times)
    policy.set_weights({"v": 1.0, "w": 3.0})
    for number in range(200):
        policy.push(QueuedWork(make_work(f"{number}", "v"), 0.0))
        policy.pop(0.0)
    costs = {"v": 0.02, "w": 0.01}
    for number in range(400):
        for workspace in "vw":
            work = QueuedWork(make_work(f"{workspace}{number}", workspace), 0.0)
            policy.push(work)
    used = {"v": 0.0, "w": 0.0}
    for _ in range(300):
        workspace = policy.pop(0.0).workspace
        expected = times.estimate(workspace)
        times.add(workspace, costs[workspace])
        policy.charge(workspace, expected, costs[workspace])
        used[workspace] += costs[workspace]
    assert used["w"] / used["v"] == pytest.approx(3.0, rel=0.1)


def test_hash_of_a_statement_is_not_ambiguous():
    """Guards against different statements with equal hashes: an idempotency key would
    then return the answer of another statement.
    """
    bodies = [
        ("s", ("1",)),
        ("s", (1,)),
        ("s", (1.0,)),
        ("s", (True,)),
        ("s", (b"1",)),
        ("s", ("1", "2")),
        ("s", ("12",)),
        ("s1", ()),
        ("s", ()),
    ]
    hashes = {
        hash_statement(make_statement(sql, parameters)) for sql, parameters in bodies
    }
    assert len(hashes) == len(bodies)
