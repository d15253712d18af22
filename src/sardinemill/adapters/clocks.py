"""Clocks and random sources, for running processes and for tests."""

import asyncio
import random
import time
import uuid


class SystemClock:
    """Monotonic clock of the operating system."""

    def now(self) -> float:
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class BootClock:
    """Monotonic clock that also counts the time for which the machine was suspended.

    Leases need it: a lease must also expire while the machine is suspended, because
    the clocks of the other machines go on.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class ManualClock:
    """Simulated clock, advanced by :meth:`advance` only.

    :param start: initial time in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def now(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock and wake the sleepers that are due."""
        self._now += seconds
        due = [item for item in self._sleepers if item[0] <= self._now]
        self._sleepers = [item for item in self._sleepers if item[0] > self._now]
        for _, future in due:
            if not future.done():
                future.set_result(None)

    async def sleep(self, seconds: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + seconds, future))
        await future


class SystemRandom:
    """Random source without a fixed seed, for running processes."""

    def random(self) -> float:
        return random.random()

    def make_id(self) -> str:
        return uuid.uuid4().hex


class SeededRandom:
    """Reproducible random source.

    :param random_state: seed.
    """

    def __init__(self, random_state: int) -> None:
        self._random = random.Random(random_state)

    def random(self) -> float:
        return self._random.random()

    def make_id(self) -> str:
        return f"{self._random.getrandbits(128):032x}"
