"""Faults that a seed chooses, and how each is carried out."""

import asyncio
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from sardinemill.emulator.object_store_server import ObjectStoreServer

from .databases import DatabaseGroup
from .instances import InstanceProcess
from .links import HEALTHY, LinkFaults, LinkProxy

# Longest fault; a right to a primary lasts 1.3 s and the word of coordinators 7 s.
MAX_FAULT_SECONDS = 9.0
MIN_FAULT_SECONDS = 0.3
MAX_GAP_SECONDS = 2.5
MAX_DELAY_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class World:
    """What faults act on."""

    instances: Sequence[InstanceProcess]
    group: DatabaseGroup
    store: ObjectStoreServer


class Fault(Protocol):
    """Something that goes wrong, for a time."""

    async def run(self, world: World) -> None:
        """Cause it and end it."""
        ...


@dataclass(frozen=True, slots=True)
class KillInstance:
    """SIGKILL, and a new process after a time."""

    number: int
    seconds: float

    async def run(self, world: World) -> None:
        instance = world.instances[self.number]
        await instance.kill()
        await asyncio.sleep(self.seconds)
        await instance.start()


@dataclass(frozen=True, slots=True)
class StopInstances:
    """SIGTERM to some instances in turn, and a new process for each."""

    numbers: tuple[int, ...]
    gap_seconds: float

    async def run(self, world: World) -> None:
        for number in self.numbers:
            await world.instances[number].terminate()
            await world.instances[number].start()
            await asyncio.sleep(self.gap_seconds)


@dataclass(frozen=True, slots=True)
class PauseInstances:
    """SIGSTOP and SIGCONT."""

    numbers: tuple[int, ...]
    seconds: float

    async def run(self, world: World) -> None:
        for number in self.numbers:
            world.instances[number].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.seconds)
        for number in self.numbers:
            world.instances[number].send_signal(signal.SIGCONT)


@dataclass(frozen=True, slots=True)
class ReloadSettings:
    """SIGHUP to all instances."""

    async def run(self, world: World) -> None:
        for instance in world.instances:
            instance.send_signal(signal.SIGHUP)


@dataclass(frozen=True, slots=True)
class DisturbLinks:
    """Faults of links, with a reset of open connections at the start if asked for.

    :param kind: ``peer``, ``store`` or ``database``.
    :param numbers: of the instances or databases whose links are meant.
    """

    kind: str
    numbers: tuple[int, ...]
    faults: LinkFaults
    resets: bool
    seconds: float

    async def run(self, world: World) -> None:
        links = [self._find_link(world, number) for number in self.numbers]
        for link in links:
            link.set_faults(self.faults)
            if self.resets:
                link.reset()
        await asyncio.sleep(self.seconds)
        for link in links:
            link.set_faults(HEALTHY)

    def _find_link(self, world: World, number: int) -> LinkProxy:
        if self.kind == "peer":
            return world.instances[number].peer_link
        if self.kind == "store":
            return world.instances[number].store_link
        links = list(world.group.links.values())
        return links[number % len(links)]


@dataclass(frozen=True, slots=True)
class FailStore:
    """The store answers nothing useful, or loses answers of writes that take effect."""

    n_lost_answers: int
    seconds: float

    async def run(self, world: World) -> None:
        if self.n_lost_answers:
            world.store.n_lost_answers = self.n_lost_answers
        else:
            world.store.is_down = True
        await asyncio.sleep(self.seconds)
        world.store.is_down = False
        world.store.n_lost_answers = 0


@dataclass(frozen=True, slots=True)
class CrashDatabase:
    """A database crashes and comes back with its log.

    :param number: of the database; ``None`` for the primary.
    """

    number: int | None
    seconds: float

    async def run(self, world: World) -> None:
        names = list(world.group.databases)
        name = world.group.primary.name
        if self.number is not None:
            name = names[self.number % len(names)]
        if await world.group.crash(name):
            await asyncio.sleep(self.seconds)
            await world.group.restart(name)


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """A database runs statements and does not answer them."""

    number: int
    n_answers: int

    async def run(self, world: World) -> None:
        databases = list(world.group.databases.values())
        databases[self.number % len(databases)].n_lost_answers = self.n_answers


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and when it begins, in seconds from the start."""

    at: float
    fault: Fault


def make_schedule(
    random: Random, n_instances: int, seconds: float
) -> list[ScheduledFault]:
    """Choose faults for a time; they come in series and overlap."""
    schedule = []
    at = random.uniform(0, MAX_GAP_SECONDS)
    while at < seconds:
        fault = choose_fault(random, n_instances)
        schedule.append(ScheduledFault(at, fault))
        at += random.expovariate(2 / MAX_GAP_SECONDS)
    return schedule


def choose_fault(random: Random, n_instances: int) -> Fault:
    """Choose one fault."""
    duration = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    one = random.randrange(n_instances)
    some = tuple(random.sample(range(n_instances), random.randint(1, n_instances)))
    few = some[: max(1, n_instances // 2)]
    kinds: list[tuple[float, Fault]] = [
        (2.0, KillInstance(one, random.uniform(0.0, 3.0))),
        (1.0, StopInstances(some, random.uniform(0.0, 2.0))),
        (2.0, PauseInstances(few, duration)),
        (0.5, ReloadSettings()),
        (2.0, _disturb(random, "peer", few, duration)),
        (2.0, _disturb(random, "store", some, duration)),
        (2.0, _disturb(random, "database", (random.randrange(3),), duration)),
        (1.0, FailStore(0, duration)),
        (1.0, FailStore(random.randint(1, 3), duration)),
        (2.0, CrashDatabase(random.choice([None, None, 0, 1, 2]), duration)),
        (1.0, LoseAnswers(random.randrange(3), random.randint(1, 3))),
    ]
    weights = [weight for weight, _ in kinds]
    return random.choices([fault for _, fault in kinds], weights)[0]


def _disturb(
    random: Random, kind: str, numbers: tuple[int, ...], seconds: float
) -> DisturbLinks:
    faults = random.choice(
        [
            LinkFaults(delay_seconds=random.uniform(0.02, MAX_DELAY_SECONDS)),
            LinkFaults(holds_requests=True),
            LinkFaults(holds_answers=True),
            LinkFaults(holds_requests=True, holds_answers=True),
            LinkFaults(refuses=True),
        ]
    )
    resets = faults.refuses or random.random() < 0.3
    return DisturbLinks(kind, numbers, faults, resets, seconds)
