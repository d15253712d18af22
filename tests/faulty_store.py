"""Store in memory that loses answers, applies updates late and has outages."""

import asyncio
import random
from collections.abc import Sequence

from sardinemill.documents import HEAD_NAME
from sardinemill.errors import StoreConflict, StoreUnavailable
from sardinemill.interfaces import StoreObject
from sardinemill.members import InstanceInfo


class FaultyStore:
    """In-memory store.

    :param fault_share: share of calls that fail; half of the failed updates take
        effect, some of them only later.
    """

    def __init__(self, random_state: int = 0, fault_share: float = 0.0) -> None:
        self._random = random.Random(random_state)
        self.fault_share = fault_share
        self.objects: dict[str, StoreObject] = {}
        self.accepted_heads: list[bytes] = []
        self.instances: list[InstanceInfo] = []
        self._late: list[tuple[str, bytes, int]] = []

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    async def get(self, name: str) -> StoreObject:
        await self._pass_time()
        if self._random.random() < self.fault_share:
            raise self._make_failure()
        return self.objects.get(name, StoreObject(name, 0, b""))

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        await self._pass_time()
        if self._random.random() < self.fault_share:
            fate = self._random.random()
            if fate < 0.3:
                self._late.append((name, value, expected_version))
            elif fate < 0.6:
                self._try_put(name, value, expected_version)
            raise self._make_failure()
        if not self._try_put(name, value, expected_version):
            current = self.objects[name].version if name in self.objects else 0
            raise StoreConflict("conflict", step="put", current_version=current)
        return self.objects[name].version

    async def delete(self, name: str, *, expected_version: int) -> None:
        await self._pass_time()
        found = self.objects.get(name)
        if found is None or found.version != expected_version:
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
        """Apply the late updates and end all faults."""
        self.fault_share = 0.0
        for update in self._late:
            self._try_put(*update)
        self._late.clear()

    async def _pass_time(self) -> None:
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if self._late and self._random.random() < 0.3:
            self._try_put(*self._late.pop(0))

    def _try_put(self, name: str, value: bytes, expected_version: int) -> bool:
        found = self.objects.get(name)
        if (found.version if found else 0) != expected_version:
            return False
        self.objects[name] = StoreObject(name, expected_version + 1, value)
        if name == HEAD_NAME:
            self.accepted_heads.append(value)
        return True

    def _make_failure(self) -> StoreUnavailable:
        return StoreUnavailable("no answer", step="store")


class AutoAdvancingClock:
    """Clock whose sleeps pass at once."""

    def __init__(self) -> None:
        self._now = 0.0

    def now(self) -> float:
        return self._now

    async def sleep(self, seconds: float) -> None:
        self._now += seconds
        await asyncio.sleep(0)
