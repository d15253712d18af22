"""Cost of membership: messages, bytes and processor time of one instance.

All filters of a fleet run on a simulated clock; a sample of them is measured. The
introductions at the start are left out, since instances never start all at once.
"""

import functools
import time
from collections.abc import Callable
from dataclasses import dataclass

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.codecs import decode_message, encode_message
from sardinemill.control import PeerEnvelope
from sardinemill.filters import monitors
from sardinemill.filters.instance_list_cache import ENTRY_BYTES, choose_list_relays
from sardinemill.filters.membership import Membership
from sardinemill.groups import Address
from sardinemill.interfaces import Emission
from sardinemill.members import Heartbeat, InstanceInfo
from sardinemill.store_calls import StoreCall, StoreReply

from .fits import Fit, fit_line

SIZES = (50, 150, 450, 620)
N_DATA_CENTRES = 5
# Data centres of the smaller region.
SMALLER_REGION = ("dc-3", "dc-4")
STEP_SECONDS = 0.05
WARM_UP_SECONDS = 35.0
WINDOW_SECONDS = 20
N_FAILED = 5
N_SAMPLES = 10


@dataclass(slots=True)
class Costs:
    """Totals of the sampled instances."""

    n_sent: int = 0
    n_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    processor_seconds: float = 0.0


def _make_info(number: int) -> InstanceInfo:
    return InstanceInfo(
        name=f"instance-{number:03d}",
        data_centre=f"dc-{number % N_DATA_CENTRES}",
        peer_address=Address("127.0.0.1", 1000 + number),
        front_address=Address("127.0.0.1", 1000 + number),
    )


def _cache_rankings() -> None:
    """Cache the rankings that all instances of a data centre have in common.

    It shortens the warm-up, which is not measured.
    """
    rank = functools.cache(monitors._rank)
    monitors._rank = lambda subject, names: rank(subject, frozenset(names))


class MeasuredFleet:
    """Membership filters of a whole fleet, on a clock that advances in steps.

    :param n_samples: number of measured instances, spread over the data centres.
    :ivar ordinary: measured instances that are not list relays.
    """

    def __init__(self, n_instances: int, n_samples: int = N_SAMPLES) -> None:
        _cache_rankings()
        random_source = SeededRandom(1)
        infos = [_make_info(number) for number in range(n_instances)]
        self.infos = {item.name: item for item in infos}
        self.costs = Costs()
        self.failed: set[str] = set()
        self.has_partition = False
        self._listed_infos = tuple(infos)
        self._filters = {
            item.name: Membership(item, random_source.make_id(), random_source)
            for item in infos
        }
        self._now = 0.0
        self._in_flight: list[tuple[str, str, bytes]] = []
        relays = {
            name
            for data_centre in {item.data_centre for item in infos}
            for name in choose_list_relays(data_centre, infos)
        }
        others = [item.name for item in infos if item.name not in relays]
        self.ordinary = set(others[:n_samples])
        self.relays = set(sorted(relays)[: n_samples // 2])
        self.sample = self.ordinary
        self.advance(WARM_UP_SECONDS, is_warm_up=True)

    def advance(self, seconds: float, *, is_warm_up: bool = False) -> None:
        """Advance the clock.

        :param is_warm_up: whether introductions (heartbeats with ``info``) are dropped.
        """
        for _ in range(round(seconds / STEP_SECONDS)):
            self._now += STEP_SECONDS
            arriving, self._in_flight = self._in_flight, []
            for sender, target, data in arriving:
                if target not in self.failed:
                    self._receive(sender, target, data, is_warm_up)
            for name, item in self._filters.items():
                if name not in self.failed and (item.next_tick or 0.0) <= self._now:
                    self._run(name, lambda item=item: item.tick(self._now), is_warm_up)

    def measure(self, sample: set[str]) -> Costs:
        """Measure some instances and return their mean cost a second."""
        self.sample, self.costs = sample, Costs()
        self.advance(WINDOW_SECONDS)
        share = 1.0 / (WINDOW_SECONDS * len(sample))
        return Costs(
            *(getattr(self.costs, name) * share for name in Costs.__slots__)  # type: ignore[arg-type]
        )

    def _receive(self, sender: str, target: str, data: bytes, is_warm_up: bool) -> None:
        if target in self.sample:
            self.costs.n_received += 1
            self.costs.bytes_received += len(data)

        def handle() -> tuple[Emission, ...]:
            envelope = PeerEnvelope(peer=sender, message=decode_message(data, sender))
            return tuple(self._filters[target].handle(envelope, self._now))

        self._run(target, handle, is_warm_up)

    def _run(self, name: str, call: Callable, is_warm_up: bool) -> None:
        begin = time.process_time()
        emissions = call()
        sent = [
            (item.message.peer, encode_message(item.message.message))
            for item in emissions
            if isinstance(item.message, PeerEnvelope)
            and not (is_warm_up and _is_introduction(item.message.message))
        ]
        if name in self.sample:
            self.costs.processor_seconds += time.process_time() - begin
        for peer, data in sent:
            self._send(name, peer, data)
        for item in emissions:
            if isinstance(item.message, StoreCall):
                self._answer(name, item.message, is_warm_up)

    def _send(self, sender: str, peer: str, data: bytes) -> None:
        targets = [name for name in self.infos if name != sender]
        for target in targets if peer == "*" else [peer]:
            if sender in self.sample:
                self.costs.n_sent += 1
                self.costs.bytes_sent += len(data)
            if not self._is_partitioned(sender, target):
                self._in_flight.append((sender, target, data))

    def _is_partitioned(self, sender: str, target: str) -> bool:
        are_in_smaller_region = [
            self.infos[name].data_centre in SMALLER_REGION for name in (sender, target)
        ]
        return (
            self.has_partition and are_in_smaller_region[0] != are_in_smaller_region[1]
        )

    def _answer(self, name: str, call: StoreCall, is_warm_up: bool) -> None:
        if name in self.sample:
            self.costs.bytes_received += round(ENTRY_BYTES * len(self._listed_infos))
        reply = StoreReply(
            call=call, failure=None, asked_at=self._now, instances=self._listed_infos
        )
        handle = self._filters[name].handle
        self._run(name, lambda: handle(reply, self._now), is_warm_up)


def _is_introduction(message: object) -> bool:
    return isinstance(message, Heartbeat) and message.info is not None


def _fail_some(fleet: MeasuredFleet) -> None:
    others = [name for name in fleet.infos if name not in fleet.ordinary | fleet.relays]
    fleet.failed = set(others[:: len(others) // N_FAILED][:N_FAILED])


def _partition_regions(fleet: MeasuredFleet) -> None:
    fleet.has_partition = True


def measure_membership() -> list[Fit]:
    """Measure messages, bytes and processor time a second by fleet size."""
    values_by_quantity: dict[tuple[str, str], list[float]] = {}
    for size in SIZES:
        for situation, costs in _measure_size(size):
            role, _, phase = situation.partition(": ")
            for quantity, value in (
                ("messages sent/s", costs.n_sent),
                ("messages received/s", costs.n_received),
                ("B sent/s", costs.bytes_sent),
                ("B received/s", costs.bytes_received),
                ("processor ms/s", costs.processor_seconds * 1e3),
            ):
                values_by_quantity.setdefault(
                    (role, f"{phase}, {quantity}"), []
                ).append(value)
    return [
        fit_line(role, f"membership {quantity}", "instance", SIZES, values)
        for (role, quantity), values in values_by_quantity.items()
    ]


def _measure_size(size: int) -> list[tuple[str, Costs]]:
    """Measure a fleet without faults, with failed instances, and with a partition."""
    fleet = MeasuredFleet(size)
    rows = [
        ("every instance: quiet", fleet.measure(fleet.ordinary)),
        ("relay: quiet", fleet.measure(fleet.relays)),
    ]
    for phase, change in (("5 failed", _fail_some), ("cut", _partition_regions)):
        change(fleet)
        rows.append((f"every instance: {phase}, onset", fleet.measure(fleet.ordinary)))
        rows.append((f"every instance: {phase}, later", fleet.measure(fleet.ordinary)))
        rows.append((f"relay: {phase}, later", fleet.measure(fleet.relays)))
    return rows
