"""Discrete-event simulation of the rate limit in a fleet.

Each instance runs the real Admission, Lending and Leasing filters. Network, store and
clocks are simulated: delays and losses come from a seeded generator, each clock has its
own rate, and an instance may be paused, stopped, replaced or partitioned.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.configuration import Configuration, ConfigurationChanged
from sardinemill.control import DrainStarted, PeerEnvelope
from sardinemill.filters.admission import Admission
from sardinemill.filters.leasing import Leasing
from sardinemill.filters.lending import Lending
from sardinemill.groups import Address
from sardinemill.interfaces import Filter
from sardinemill.lease_records import JsonLeaseCodec
from sardinemill.limits import LimitSettings
from sardinemill.loans import (
    BorrowRequest,
    Loan,
    LoanReturn,
    ReservePledge,
    ReserveQuery,
    ShardReleased,
)
from sardinemill.members import InstanceInfo, MembershipChanged
from sardinemill.messages import Action, Refusal, Request
from sardinemill.store_calls import StoreCall, StoreFailure, StoreOperation, StoreReply

# Far above what any filter needs; detects a filter that requests ticks in a loop.
TICK_LIMIT_PER_SECOND = 2000
_ADDRESS = Address("127.0.0.1", 1)
_PEER_TARGETS = {
    BorrowRequest: "lending",
    LoanReturn: "lending",
    ReservePledge: "lending",
    Loan: "admission",
    ReserveQuery: "admission",
    ShardReleased: "leasing",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Conditions of a run.

    :param peer_delay_seconds: minimum and maximum delay of a peer message.
    :param store_delay_seconds: the same for each direction of a store call.
    :param loss: fraction of the peer messages that are lost.
    :param duplication: fraction of the peer messages that arrive twice.
    :param drift: relative clock drifts, of which each instance gets one.
    :param stall_seconds: maximum delay of a message within an instance.
    """

    n_instances: int
    random_state: int
    limits: LimitSettings = field(default_factory=LimitSettings)
    peer_delay_seconds: tuple[float, float] = (0.0005, 0.0015)
    store_delay_seconds: tuple[float, float] = (0.001, 0.003)
    loss: float = 0.0
    duplication: float = 0.0
    drift: tuple[float, ...] = (0.0,)
    stall_seconds: float = 0.0


@dataclass(slots=True)
class Node:
    """One instance: its filters and its clock.

    :ivar scheduled_ticks: true time of the next tick by filter.
    :ivar stopped_filters: names of filters that no longer run.
    """

    name: str
    filters: dict[str, Filter]
    clock_start: float
    clock_rate: float
    paused_until: float = 0.0
    is_stopped: bool = False
    scheduled_ticks: dict[str, float] = field(default_factory=dict)
    stopped_filters: set[str] = field(default_factory=set)
    n_ticks: Counter[tuple[str, int]] = field(default_factory=Counter)

    def read_clock(self, time: float) -> float:
        """Return the local monotonic time at a true time, in seconds."""
        return self.clock_start + time * self.clock_rate

    def find_time(self, local_time: float) -> float:
        """Return the true time at a local monotonic time, in seconds."""
        return (local_time - self.clock_start) / self.clock_rate


class Fleet:
    """Simulated fleet with its network and store.

    :param on_outcome: called with the true time, the request id and the refusal, or
        ``None`` for an admitted request.
    """

    def __init__(
        self,
        settings: FleetSettings,
        configuration: Configuration,
        on_outcome: Callable[[float, str, Refusal | None], None],
    ) -> None:
        self.now = 0.0
        self.n_peer_messages = 0
        self.n_store_calls = 0
        self.is_store_down = False
        self.store_reply_loss = 0.0
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        self._configuration = configuration
        self._on_outcome = on_outcome
        self._random = random.Random(settings.random_state)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._cut_off: set[str] = set()
        # Instances that membership does not report as live.
        self.not_live: set[str] = set()
        # Instances that can reach their peers but not the store.
        self.without_store: set[str] = set()
        for number in range(settings.n_instances):
            self._add_node(f"instance-{number}")
        self.announce_members()

    # Control of a run

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a true time."""
        self._n_events += 1
        heapq.heappush(self._queue, (max(at, self.now), self._n_events, action))

    def run_until(self, end: float) -> None:
        """Process all events up to a true time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def submit(
        self,
        name: str,
        request_id: str,
        workspace: str,
        *,
        action: Action = Action.STATEMENT,
        timeout_seconds: float = 10.0,
    ) -> None:
        """Submit a request to an instance now, if it is running."""
        node = self.nodes.get(name)
        if node is None:
            return
        request = Request(
            request_id=request_id,
            action=action,
            workspace=workspace,
            key_id="key",
            group="group",
            statement=None,
            deadline=node.read_clock(self.now) + timeout_seconds,
        )
        self._deliver(node, "admission", request)

    def replace_node(self, name: str) -> None:
        """Crash an instance and start a new one of the same name."""
        self.stop_node(name)
        self._add_node(name)
        self.announce_members()

    def stop_node(self, name: str) -> None:
        """Crash an instance."""
        self.nodes.pop(name).is_stopped = True

    def kill_lending(self, name: str) -> None:
        """Stop the lending and leasing filters of an instance.

        Its admission filter stands for the instance to which its callers reconnect.
        """
        self.nodes[name].stopped_filters.update(("lending", "leasing"))

    def drain_node(self, name: str) -> None:
        """Start the drain of an instance."""
        for target in ("admission", "leasing"):
            self._deliver(self.nodes[name], target, DrainStarted())

    def pause_node(self, name: str, seconds: float) -> None:
        """Pause an instance for a time."""
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.now + seconds)

    def set_cut_off(self, names: Sequence[str]) -> None:
        """Partition exactly these instances from peers and store."""
        self._cut_off = set(names)

    def change_configuration(
        self, configuration: Configuration, spread_seconds: float = 0.0
    ) -> None:
        """Put a configuration in force, at a random time for each instance."""
        self._configuration = configuration
        for node in self.nodes.values():
            at = self.now + self._random.uniform(0, spread_seconds)
            self.schedule(at, partial(self._configure, node))

    def announce_members(self, without: str = "", to: Sequence[str] = ()) -> None:
        """Announce the live instances.

        :param without: instance that is left out.
        :param to: recipients; all by default.
        """
        live = tuple(
            InstanceInfo(
                name=name,
                data_centre="one",
                peer_address=_ADDRESS,
                front_address=_ADDRESS,
            )
            for name in self.nodes
            if name != without and name not in self.not_live
        )
        members = MembershipChanged(live=live, leaving=())
        for node in self.nodes.values():
            if to and node.name not in to:
                continue
            for target in ("admission", "leasing"):
                self._deliver(node, target, members)

    def find_owner(self, shard: int) -> str | None:
        """Return the owner in a shard's lease record, or ``None`` without a record."""
        entry = self._objects.get(f"leases/shards/{shard}")
        return None if entry is None else JsonLeaseCodec().decode(entry[1]).owner

    # Instances

    def _add_node(self, name: str) -> None:
        limits, codec = self._settings.limits, JsonLeaseCodec()
        source = SeededRandom(self._random.getrandbits(64))
        node = Node(
            name=name,
            filters={
                "admission": Admission(name, limits, source),
                "lending": Lending(name, limits),
                "leasing": Leasing(name, limits, codec, source),
            },
            clock_start=self._random.uniform(0, 1000),
            clock_rate=1 + self._random.choice(self._settings.drift),
        )
        self.nodes[name] = node
        self._configure(node)

    def _configure(self, node: Node) -> None:
        message = ConfigurationChanged(configuration=self._configuration)
        for target in ("admission", "lending"):
            self._deliver(node, target, message)

    def _deliver(self, node: Node, target: str, message: object) -> None:
        stall = self._settings.stall_seconds
        delay = self._random.uniform(0, stall) if stall else 0.0
        if delay or node.paused_until > self.now:
            at = max(self.now + delay, node.paused_until)
            self.schedule(at, lambda: self._run(node, target, message))
        else:
            self._run(node, target, message)

    def _run(self, node: Node, target: str, message: object | None) -> None:
        if node.is_stopped or target in node.stopped_filters:
            return
        if node.paused_until > self.now:
            self.schedule(node.paused_until, lambda: self._run(node, target, message))
            return
        message_filter = node.filters[target]
        local_time = node.read_clock(self.now)
        if message is None:
            node.scheduled_ticks.pop(target, None)
            emissions = message_filter.tick(local_time)
        else:
            emissions = message_filter.handle(message, local_time)
        for emission in emissions:
            self._emit(node, emission.outlet, emission.message)
        self._schedule_tick(node, target)

    def _schedule_tick(self, node: Node, target: str) -> None:
        due = node.filters[target].next_tick
        if due is None:
            return
        # Like a real timer, never fires early; 1 us covers rounding.
        at = max(node.find_time(due), self.now) + 1e-6
        if at < node.scheduled_ticks.get(target, float("inf")):
            node.scheduled_ticks[target] = at
            self.schedule(at, lambda: self._tick(node, target, at))

    def _tick(self, node: Node, target: str, at: float) -> None:
        if node.scheduled_ticks.get(target) != at:
            return
        node.n_ticks[target, int(self.now)] += 1
        if node.n_ticks[target, int(self.now)] > TICK_LIMIT_PER_SECOND:
            raise RuntimeError(
                f"{target} of {node.name} exceeds the limit of ticks a second"
            )
        self._run(node, target, None)

    def _emit(self, node: Node, outlet: str, message: object) -> None:
        if outlet == "next" and isinstance(message, Request):
            self._on_outcome(self.now, message.request_id, None)
        elif outlet == "reply" and isinstance(message, Refusal):
            self._on_outcome(self.now, message.request_id, message)
        elif outlet == "peers" and isinstance(message, PeerEnvelope):
            self._send(node, message)
        elif outlet == "store" and isinstance(message, StoreCall):
            self._call_store(node, message)
        elif outlet in node.filters:
            self._deliver(node, outlet, message)

    # Network and store

    def _send(self, node: Node, envelope: PeerEnvelope) -> None:
        if envelope.peer == "*":
            peers = [name for name in self.nodes if name != node.name]
        else:
            peers = [envelope.peer]
        delivered = PeerEnvelope(peer=node.name, message=envelope.message)
        target = _PEER_TARGETS[type(envelope.message)]
        for peer in peers:
            is_local = peer == node.name
            if not is_local:
                self.n_peer_messages += 1
            is_partitioned = bool({peer, node.name} & self._cut_off) and not is_local
            if is_partitioned or self._random.random() < self._settings.loss:
                continue
            n_copies = 1 + (self._random.random() < self._settings.duplication)
            for _ in range(n_copies):
                shortest, longest = self._settings.peer_delay_seconds
                delay = 0.0 if is_local else self._random.uniform(shortest, longest)
                self._schedule_delivery(peer, target, delivered, self.now + delay)

    def _schedule_delivery(
        self, peer: str, target: str, message: object, at: float
    ) -> None:
        def deliver() -> None:
            node = self.nodes.get(peer)
            if node is not None:
                self._deliver(node, target, message)

        self.schedule(at, deliver)

    def _call_store(self, node: Node, call: StoreCall) -> None:
        self.n_store_calls += 1
        asked_at = node.read_clock(self.now)
        shortest, longest = self._settings.store_delay_seconds
        delay = self._random.uniform(shortest, longest)
        cut_off = self._cut_off | self.without_store
        if self.is_store_down or node.name in cut_off:
            failure = self._make_failure(call, asked_at)
            self.schedule(
                self.now + call.timeout_seconds,
                lambda: self._deliver(node, "leasing", failure),
            )
            return

        def complete_call() -> None:
            reply = self._apply_call(call, asked_at)
            at = self.now + delay
            if self._random.random() < self.store_reply_loss:
                reply, at = (
                    self._make_failure(call, asked_at),
                    self.now + call.timeout_seconds,
                )
            self.schedule(at, lambda: self._deliver(node, "leasing", reply))

        self.schedule(self.now + delay, complete_call)

    def _make_failure(self, call: StoreCall, asked_at: float) -> StoreReply:
        return StoreReply(
            call=call, failure=StoreFailure.UNAVAILABLE, asked_at=asked_at
        )

    def _apply_call(self, call: StoreCall, asked_at: float) -> StoreReply:
        version, value = self._objects.get(call.name, (0, b""))
        failure = None
        if call.operation is StoreOperation.PUT:
            if version != call.expected_version:
                failure = StoreFailure.CONFLICT
            else:
                version, value = version + 1, call.value
                self._objects[call.name] = (version, value)
        return StoreReply(
            call=call,
            failure=failure,
            asked_at=asked_at,
            version=version,
            value=value,
        )
