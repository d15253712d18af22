"""In-memory object store with lost answers, delayed updates and outages."""

import asyncio
import random
from collections.abc import Sequence

from sardinemill.documents import HEAD_NAME
from sardinemill.errors import StoreConflict, StoreUnavailable
from sardinemill.interfaces import StoreObject
from sardinemill.members import InstanceInfo


class FaultyStore:
    """In-memory object store with fault injection.

    :param failure_probability: probability that a get or put fails. Of the failed puts,
        30 % are applied at once and 30 % later.
    :ivar accepted_heads: all values of the configuration head, in order.
    """

    def __init__(self, random_state: int = 0, failure_probability: float = 0.0) -> None:
        self._random = random.Random(random_state)
        self.failure_probability = failure_probability
        self.objects: dict[str, StoreObject] = {}
        self.accepted_heads: list[bytes] = []
        self.instances: list[InstanceInfo] = []
        self._delayed_updates: list[tuple[str, bytes, int]] = []

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    async def get(self, name: str) -> StoreObject:
        await self._simulate_delay()
        if self._random.random() < self.failure_probability:
            raise self._make_failure()
        return self.objects.get(name, StoreObject(name, 0, b""))

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        await self._simulate_delay()
        if self._random.random() < self.failure_probability:
            fault = self._random.random()
            if fault < 0.3:
                self._delayed_updates.append((name, value, expected_version))
            elif fault < 0.6:
                self._try_put(name, value, expected_version)
            raise self._make_failure()
        if not self._try_put(name, value, expected_version):
            current = self.objects[name].version if name in self.objects else 0
            raise StoreConflict("conflict", step="put", current_version=current)
        return self.objects[name].version

    async def delete(self, name: str, *, expected_version: int) -> None:
        await self._simulate_delay()
        stored = self.objects.get(name)
        if stored is None or stored.version != expected_version:
            raise StoreConflict("conflict", step="delete")
        del self.objects[name]

    async def list_names(self, prefix: str) -> Sequence[str]:
        return [name for name in self.objects if name.startswith(prefix)]

    async def watch(
        self, name: str, *, after_version: int, timeout_seconds: float
    ) -> StoreObject:
        return await self.get(name)

    async def list_instances(self) -> Sequence[InstanceInfo]:
        return self.instances

    def apply_delayed_updates(self) -> None:
        """End all faults and apply the delayed updates."""
        self.failure_probability = 0.0
        for update in self._delayed_updates:
            self._try_put(*update)
        self._delayed_updates.clear()

    async def _simulate_delay(self) -> None:
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if self._delayed_updates and self._random.random() < 0.3:
            self._try_put(*self._delayed_updates.pop(0))

    def _try_put(self, name: str, value: bytes, expected_version: int) -> bool:
        stored = self.objects.get(name)
        if (stored.version if stored else 0) != expected_version:
            return False
        self.objects[name] = StoreObject(name, expected_version + 1, value)
        if name == HEAD_NAME:
            self.accepted_heads.append(value)
        return True

    def _make_failure(self) -> StoreUnavailable:
        return StoreUnavailable("no answer", step="store")


class AutoAdvancingClock:
    """Clock that each sleep advances without waiting."""

    def __init__(self) -> None:
        self._now = 0.0

    def now(self) -> float:
        return self._now

    async def sleep(self, seconds: float) -> None:
        self._now += seconds
        await asyncio.sleep(0)
