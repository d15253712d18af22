"""Simulation of the distribution of configurations, on a simulated clock.

The store and the network are simulated; filters, codecs and messages are the real
ones.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.adapters.document_codec import MessagePackDocumentCodec
from sardinemill.changes import Change
from sardinemill.codecs import decode_message, encode_message
from sardinemill.configuration import (
    ConfigurationChanged,
    ConfigurationConfirmed,
)
from sardinemill.control import PeerEnvelope
from sardinemill.documents import HEAD_NAME
from sardinemill.edits import Snapshot, prepare_edit
from sardinemill.filters.authentication import KeyRegistry, StrictKeyPolicy
from sardinemill.filters.distribution import Distribution
from sardinemill.groups import Address
from sardinemill.members import InstanceInfo, MembershipChanged
from sardinemill.store_calls import StoreCall, StoreFailure, StoreOperation, StoreReply

STORE_ROUND_TRIP_SECONDS = 0.003
LINK_DELAY_SECONDS = 0.0015


@dataclass(slots=True)
class Member:
    """One instance: its distribution filter and the versions that it put in force.

    :ivar step: filter that distributes configurations.
    :ivar versions: configuration versions in the order in which they took effect.
    """

    info: InstanceInfo
    step: Distribution
    key_registry: KeyRegistry
    versions: list[int] = field(default_factory=list)
    is_stopped: bool = False

    @property
    def version(self) -> int:
        """Configuration version in force; 0 before the first one."""
        return self.versions[-1] if self.versions else 0


class Fleet:
    """Simulated instances, store and network.

    :param n_instances: number of instances, spread evenly over ``data_centres``.
    :param random_state: seed of delays, jitter and query ids.
    :param disorder: fraction of peer messages that arrive three times, each up to 3 s
        late.
    :ivar cut_from_store: data centres that cannot reach the store.
    :ivar cut_links: pairs of data centres without a connection.
    :ivar counts: store calls, peer messages and events by name.
    :ivar traffic: bytes sent and received by instance.
    """

    def __init__(
        self,
        *,
        n_instances: int,
        data_centres: Sequence[str],
        random_state: int,
        disorder: float = 0.0,
    ) -> None:
        self.now = 100.0
        self.data_centres = tuple(data_centres)
        self.cut_from_store: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.counts: Counter[str] = Counter()
        self.traffic: Counter[str] = Counter()
        self.snapshot = Snapshot()
        self._random = SeededRandom(random_state)
        self._codec = MessagePackDocumentCodec()
        self._disorder = disorder
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._pending_watches: list[Callable[[], None]] = []
        self._scheduled: dict[str, float] = {}
        self.members = {
            info.name: self._make_member(info) for info in self._make_infos(n_instances)
        }

    # Control of the simulation

    def set_members(
        self,
        names: Iterable[str] | None = None,
        *,
        viewers: Iterable[str] | None = None,
    ) -> None:
        """Set the instances that others see as live.

        :param names: live instances; all by default.
        :param viewers: instances whose view changes; all by default.
        """
        live = tuple(self.members[name].info for name in names or self.members)
        message = MembershipChanged(live=live, leaving=())
        for name in viewers or self.members:
            self._deliver(name, message)

    def publish(self, change: Change) -> None:
        """Write an edit to the store at once and answer open watches."""
        prepared = prepare_edit(
            self.snapshot,
            change,
            self._codec,
            edit_id=self._random.make_id(),
            author="test",
            edited_at=0.0,
        )
        for name, data in prepared.writes.items():
            self._objects[name] = (1, data)
        version = self.snapshot.object_version + 1
        self._objects[HEAD_NAME] = (version, prepared.head_bytes)
        encoded = {
            name: prepared.writes.get(object_name, self.snapshot.encoded.get(name, b""))
            for name, object_name in (
                (name, f"configuration/parts/{name}/{part_version}")
                for name, part_version in prepared.head.parts.items()
            )
        }
        self.snapshot = Snapshot(
            object_version=version,
            head=prepared.head,
            encoded=encoded,
            configuration=prepared.configuration,
        )
        waiting, self._pending_watches = self._pending_watches, []
        for answer in waiting:
            answer()

    def cut_data_centre(self, data_centre: str) -> None:
        """Partition a data centre from the store and all other data centres."""
        self.cut_from_store.add(data_centre)
        for other in self.data_centres:
            if other != data_centre:
                self.cut_links.add(frozenset((data_centre, other)))

    def heal(self) -> None:
        """End all partitions and outages."""
        self.cut_from_store.clear()
        self.cut_links.clear()

    def run_for(self, seconds: float) -> None:
        """Advance the clock and process the events that fall due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            action()
        self.now = end

    def run_until(self, is_done: Callable[[], bool], limit_seconds: float) -> float:
        """Advance the clock until a condition holds.

        :returns: seconds that passed, or ``limit_seconds`` if it never held.
        """
        start = self.now
        while not is_done() and self.now - start < limit_seconds:
            self.run_for(0.01)
        return self.now - start

    def list_serving(self, key: str) -> set[str]:
        """Return the instances that would accept a request with this API key now."""
        return {
            name
            for name, member in self.members.items()
            if not member.is_stopped
            and member.key_registry.find_key(key) is not None
            and member.key_registry.is_current(self.now)
        }

    # Instances

    def _make_infos(self, n_instances: int) -> list[InstanceInfo]:
        return [
            InstanceInfo(
                name=f"instance-{number}",
                data_centre=self.data_centres[number % len(self.data_centres)],
                peer_address=Address("127.0.0.1", 1),
                front_address=Address("127.0.0.1", 1),
            )
            for number in range(n_instances)
        ]

    def _make_member(self, info: InstanceInfo) -> Member:
        step = Distribution(
            name=info.name,
            data_centre=info.data_centre,
            codec=self._codec,
            random=SeededRandom(int(self._random.random() * 2**32)),
        )
        return Member(info=info, step=step, key_registry=KeyRegistry(StrictKeyPolicy()))

    def restart(self, name: str) -> None:
        """Replace an instance by one with empty state."""
        self.members[name] = self._make_member(self.members[name].info)

    def _deliver(self, name: str, message: object) -> None:
        member = self.members[name]
        if member.is_stopped:
            return
        self._emit(member, member.step.handle(message, self.now))

    def _emit(self, member: Member, emissions: Iterable[object]) -> None:
        for emission in emissions:
            outlet, message = emission.outlet, emission.message  # type: ignore[attr-defined]
            if outlet == "store":
                self._call_store(member, message)
            elif outlet == "peers":
                self._send(member, message)
            elif outlet == "events":
                self.counts[message.name.name] += 1
            elif isinstance(message, ConfigurationChanged):
                member.versions.append(message.configuration.version)
                member.key_registry.update(message)
            elif isinstance(message, ConfigurationConfirmed):
                member.key_registry.update(message)
        self._schedule_tick(member)

    def _schedule_tick(self, member: Member) -> None:
        tick_at = member.step.next_tick
        name = member.info.name
        if member.is_stopped or tick_at is None or self._scheduled.get(name) == tick_at:
            return
        self._scheduled[name] = tick_at

        def tick() -> None:
            if self._scheduled.get(name) == tick_at:
                del self._scheduled[name]
            current = self.members[name]
            next_tick = current.step.next_tick
            if (
                not current.is_stopped
                and next_tick is not None
                and next_tick <= self.now
            ):
                self._emit(current, current.step.tick(self.now))
            else:
                self._schedule_tick(current)

        self._schedule(max(tick_at, self.now), tick)

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    # Links

    def _send(self, member: Member, envelope: PeerEnvelope) -> None:
        data = encode_message(envelope.message)
        source = member.info
        self.counts["peer messages"] += 1
        self.traffic[source.name] += len(data)
        self.traffic[envelope.peer] += len(data)
        target = self.members[envelope.peer].info
        link = frozenset((source.data_centre, target.data_centre))
        if link in self.cut_links:
            return
        message = PeerEnvelope(
            peer=source.name, message=decode_message(data, source.name)
        )
        delays = [LINK_DELAY_SECONDS]
        if self._random.random() < self._disorder:
            delays = [LINK_DELAY_SECONDS + 3 * self._random.random()] * 2
            delays.append(LINK_DELAY_SECONDS + 3 * self._random.random())
        for delay in delays:
            self._schedule(
                self.now + delay, lambda: self._receive(target.name, message)
            )

    def _receive(self, name: str, message: PeerEnvelope) -> None:
        self._deliver(name, message)

    # Store

    def _call_store(self, member: Member, call: StoreCall) -> None:
        self.counts["store calls"] += 1
        name, asked_at = member.info.name, self.now
        is_answered = False

        def reply(failure: StoreFailure | None, version: int, value: bytes) -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            message = StoreReply(
                call=call,
                failure=failure,
                asked_at=asked_at,
                version=version,
                value=value,
            )
            if self.members[name] is member:
                self._deliver(name, message)

        def answer() -> None:
            version, value = self._objects.get(call.name, (0, b""))
            if member.info.data_centre not in self.cut_from_store:
                self._schedule(
                    self.now + STORE_ROUND_TRIP_SECONDS / 2,
                    lambda: reply(None, version, value),
                )

        def give_up() -> None:
            reply(StoreFailure.UNAVAILABLE, 0, b"")

        self._schedule(self.now + call.timeout_seconds + 0.5, give_up)
        if member.info.data_centre in self.cut_from_store:
            return
        current = self._objects.get(call.name, (0, b""))[0]
        if call.operation is StoreOperation.WATCH and current <= call.after_version:
            self._pending_watches.append(answer)
            self._schedule(self.now + call.timeout_seconds, answer)
        else:
            self._schedule(self.now + STORE_ROUND_TRIP_SECONDS / 2, answer)


def make_views(fleet: Fleet) -> Mapping[str, list[str]]:
    """Return the names of the instances by data centre."""
    views: dict[str, list[str]] = {}
    for name, member in fleet.members.items():
        views.setdefault(member.info.data_centre, []).append(name)
    return views
