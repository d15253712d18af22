"""Fault injectors, and the random schedule that a seed determines."""

import asyncio
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from sardinemill.emulator.object_store_server import ObjectStoreServer

from .databases import DatabaseGroup
from .instances import GRACE_PERIOD_SECONDS, InstanceProcess
from .links import HEALTHY, LinkFaults, LinkProxy

# The longest fault outlasts a primary lease (1.3 s) and the confirmations of
# coordinators (7 s), so that both expire.
MAX_FAULT_SECONDS = 9.0
MIN_FAULT_SECONDS = 0.3
MAX_GAP_SECONDS = 2.5
MAX_DELAY_SECONDS = 0.4
LOST_ANSWERS_POLL_SECONDS = 0.1
# Gaps between the SIGTERMs of a rolling stop and between two rolling stops; a stop
# takes up to 6 s, so that stops overlap.
MIN_STOP_GAP_SECONDS = 0.6
MAX_STOP_GAP_SECONDS = 3.0
MAX_SERIES_GAP_SECONDS = 3.0
# Age of the copy, outage and delay of the repeated writes in a drill of the store, and
# the pause between two drills.
MAX_COPY_AGE_SECONDS = 8.0
MAX_OUTAGE_SECONDS = 2.0
MAX_WRITE_AGAIN_SECONDS = 1.5
MAX_DRILL_GAP_SECONDS = 12.0
NO_INSTANCES: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class FaultTargets:
    """Processes, databases and store that faults act on."""

    instances: Sequence[InstanceProcess]
    group: DatabaseGroup
    store: ObjectStoreServer


class Fault(Protocol):
    """One fault, which may last for a time."""

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        """Return the indexes of the instances that the fault disturbs unplanned."""
        ...

    async def run(self, targets: FaultTargets) -> None:
        """Inject the fault and end it."""
        ...


@dataclass(frozen=True, slots=True)
class KillInstance:
    """Kill an instance with SIGKILL and restart it after a time."""

    index: int
    seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return frozenset({self.index})

    async def run(self, targets: FaultTargets) -> None:
        instance = targets.instances[self.index]
        await instance.kill()
        await asyncio.sleep(self.seconds)
        await instance.start()


@dataclass(frozen=True, slots=True)
class StopInstances:
    """Stop instances with SIGTERM and restart them, one after the other."""

    indexes: tuple[int, ...]
    gap_seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return NO_INSTANCES

    async def run(self, targets: FaultTargets) -> None:
        for index in self.indexes:
            await targets.instances[index].terminate()
            await targets.instances[index].start()
            await asyncio.sleep(self.gap_seconds)


@dataclass(frozen=True, slots=True)
class RollingStop:
    """Stop instances with SIGTERM in a series, and restart each as soon as it exits.

    Unlike those of :class:`StopInstances`, the stops overlap, and an instance that has
    not exited within its time-out is killed.
    """

    indexes: tuple[int, ...]
    gap_seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return NO_INSTANCES

    async def run(self, targets: FaultTargets) -> None:
        async with asyncio.TaskGroup() as stops:
            for index in self.indexes:
                stops.create_task(self._restart(targets.instances[index]))
                await asyncio.sleep(self.gap_seconds)

    async def _restart(self, instance: InstanceProcess) -> None:
        if instance.is_stopping or not instance.is_running:
            return
        stop = asyncio.create_task(instance.terminate())
        await asyncio.wait({stop}, timeout=GRACE_PERIOD_SECONDS)
        if not stop.done():
            instance.send_signal(signal.SIGKILL)
        await stop
        await instance.start()


@dataclass(frozen=True, slots=True)
class PauseInstances:
    """Pause instances with SIGSTOP and resume them with SIGCONT."""

    indexes: tuple[int, ...]
    seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return frozenset(self.indexes)

    async def run(self, targets: FaultTargets) -> None:
        for index in self.indexes:
            targets.instances[index].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.seconds)
        for index in self.indexes:
            targets.instances[index].send_signal(signal.SIGCONT)


@dataclass(frozen=True, slots=True)
class ReloadSettings:
    """Send SIGHUP to all instances, which reload their settings."""

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return NO_INSTANCES

    async def run(self, targets: FaultTargets) -> None:
        for instance in targets.instances:
            instance.send_signal(signal.SIGHUP)


@dataclass(frozen=True, slots=True)
class ImpairLinks:
    """Impair links for a time.

    :param kind: ``peer``, ``store`` or ``database``.
    :param indexes: of the instances or databases whose links are impaired.
    :param resets_connections: whether open connections are reset at the start.
    """

    kind: str
    indexes: tuple[int, ...]
    faults: LinkFaults
    resets_connections: bool
    seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        if self.kind == "database":
            return frozenset(range(n_instances))
        return frozenset(self.indexes)

    async def run(self, targets: FaultTargets) -> None:
        links = [self._find_link(targets, index) for index in self.indexes]
        for link in links:
            link.set_faults(self.faults)
            if self.resets_connections:
                link.reset()
        await asyncio.sleep(self.seconds)
        for link in links:
            link.set_faults(HEALTHY)

    def _find_link(self, targets: FaultTargets, index: int) -> LinkProxy:
        if self.kind == "peer":
            return targets.instances[index].peer_link
        if self.kind == "store":
            return targets.instances[index].store_link
        links = list(targets.group.links.values())
        return links[index % len(links)]


@dataclass(frozen=True, slots=True)
class FailStore:
    """Make the store unavailable, or lose answers to writes that take effect.

    :param n_lost_answers: 0 makes the store unavailable instead.
    """

    n_lost_answers: int
    seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return frozenset(range(n_instances))

    async def run(self, targets: FaultTargets) -> None:
        if self.n_lost_answers:
            targets.store.n_lost_answers = self.n_lost_answers
        else:
            targets.store.is_down = True
        await asyncio.sleep(self.seconds)
        targets.store.is_down = False
        targets.store.n_lost_answers = 0


@dataclass(frozen=True, slots=True)
class RollStoreBack:
    """Let the store be away for a moment and return from a copy.

    :param age_seconds: of the copy when the outage starts.
    :param write_again_seconds: time from the return until operators and databases have
        written again.
    """

    age_seconds: float
    outage_seconds: float
    write_again_seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return frozenset(range(n_instances))

    async def run(self, targets: FaultTargets) -> None:
        store = targets.store
        copy = store.take_copy()
        await asyncio.sleep(self.age_seconds)
        store.is_down = True
        try:
            await asyncio.sleep(self.outage_seconds)
            store.restore(copy)
            store.is_down = False
            await asyncio.sleep(self.write_again_seconds)
        finally:
            store.is_down = False
            store.write_again()


@dataclass(frozen=True, slots=True)
class CrashDatabase:
    """Crash a database and restart it with its log.

    :param index: of the database; ``None`` for the primary.
    """

    index: int | None
    seconds: float

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return frozenset(range(n_instances))

    async def run(self, targets: FaultTargets) -> None:
        names = list(targets.group.databases)
        name = targets.group.primary.name
        if self.index is not None:
            name = names[self.index % len(names)]
        if await targets.group.crash(name):
            await asyncio.sleep(self.seconds)
            await targets.group.restart(name)


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Make a database execute statements without answering them.

    The fault lasts until as many statements have lost their answers.
    """

    index: int
    n_answers: int

    def find_disturbed(self, n_instances: int) -> frozenset[int]:
        return frozenset(range(n_instances))

    async def run(self, targets: FaultTargets) -> None:
        databases = list(targets.group.databases.values())
        database = databases[self.index % len(databases)]
        database.n_lost_answers = self.n_answers
        while database.n_lost_answers:  # noqa: ASYNC110
            await asyncio.sleep(LOST_ANSWERS_POLL_SECONDS)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and its start, in seconds from the beginning of the run."""

    start_seconds: float
    fault: Fault


def make_schedule(
    random: Random, n_instances: int, seconds: float
) -> list[ScheduledFault]:
    """Choose faults and their start times; faults may overlap.

    :param seconds: length of the schedule.
    """
    schedule = []
    start_seconds = random.uniform(0, MAX_GAP_SECONDS)
    while start_seconds < seconds:
        fault = choose_fault(random, n_instances)
        schedule.append(ScheduledFault(start_seconds, fault))
        start_seconds += random.expovariate(2 / MAX_GAP_SECONDS)
    return schedule


def make_stop_schedule(
    random: Random, n_instances: int, seconds: float
) -> list[ScheduledFault]:
    """Choose rolling stops of all instances, without any unplanned disturbance.

    :param seconds: time in which series begin; the last one ends later.
    """
    schedule = []
    start_seconds = random.uniform(0, MAX_GAP_SECONDS)
    while start_seconds < seconds:
        indexes = tuple(random.sample(range(n_instances), n_instances))
        gap_seconds = random.uniform(MIN_STOP_GAP_SECONDS, MAX_STOP_GAP_SECONDS)
        fault = RollingStop(indexes, gap_seconds)
        schedule.append(ScheduledFault(start_seconds, fault))
        start_seconds += gap_seconds * n_instances
        start_seconds += random.uniform(0, MAX_SERIES_GAP_SECONDS)
    return schedule


def make_drill_schedule(random: Random, seconds: float) -> list[ScheduledFault]:
    """Choose drills of the store one after the other, each over before the end."""
    schedule: list[ScheduledFault] = []
    start_seconds = random.uniform(0, MAX_GAP_SECONDS)
    while True:
        drill = RollStoreBack(
            random.uniform(0, MAX_COPY_AGE_SECONDS),
            random.uniform(0, MAX_OUTAGE_SECONDS),
            random.uniform(0, MAX_WRITE_AGAIN_SECONDS),
        )
        length_seconds = (
            drill.age_seconds + drill.outage_seconds + drill.write_again_seconds
        )
        if start_seconds + length_seconds > seconds:
            return schedule
        schedule.append(ScheduledFault(start_seconds, drill))
        start_seconds += length_seconds + random.uniform(0, MAX_DRILL_GAP_SECONDS)


def choose_fault(random: Random, n_instances: int) -> Fault:
    """Choose one fault, by weight."""
    duration = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    index = random.randrange(n_instances)
    subset = tuple(random.sample(range(n_instances), random.randint(1, n_instances)))
    at_most_half = subset[: max(1, n_instances // 2)]
    weighted_faults: list[tuple[float, Fault]] = [
        (2.0, KillInstance(index, random.uniform(0.0, 3.0))),
        (1.0, StopInstances(subset, random.uniform(0.0, 2.0))),
        (2.0, PauseInstances(at_most_half, duration)),
        (0.5, ReloadSettings()),
        (2.0, _make_link_fault(random, "peer", at_most_half, duration)),
        (2.0, _make_link_fault(random, "store", subset, duration)),
        (2.0, _make_link_fault(random, "database", (random.randrange(3),), duration)),
        (1.0, FailStore(0, duration)),
        (1.0, FailStore(random.randint(1, 3), duration)),
        (2.0, CrashDatabase(random.choice([None, None, 0, 1, 2]), duration)),
        (1.0, LoseAnswers(random.randrange(3), random.randint(1, 3))),
    ]
    weights = [weight for weight, _ in weighted_faults]
    return random.choices([fault for _, fault in weighted_faults], weights)[0]


def _make_link_fault(
    random: Random, kind: str, indexes: tuple[int, ...], seconds: float
) -> ImpairLinks:
    faults = random.choice(
        [
            LinkFaults(delay_seconds=random.uniform(0.02, MAX_DELAY_SECONDS)),
            LinkFaults(holds_requests=True),
            LinkFaults(holds_answers=True),
            LinkFaults(holds_requests=True, holds_answers=True),
            LinkFaults(refuses=True),
        ]
    )
    resets_connections = faults.refuses or random.random() < 0.3
    return ImpairLinks(kind, indexes, faults, resets_connections, seconds)
