"""Asynchronous calls of the platform: delays, unanswered calls and watches."""

import asyncio
from collections.abc import Callable, Sequence

from ..errors import StoreAnswerLost, StoreUnavailable
from ..interfaces import Clock, StoreObject
from ..members import InstanceInfo
from ..store_calls import StoreOperation
from .platform import Platform
from .service import ChangeSignal


class PlatformService:
    """Store calls of one platform, with its limits and faults.

    :param clock: clock for rate limits, delays and the lag of the instance list.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        self.platform = platform
        self.changed = ChangeSignal()
        self._clock = clock

    async def get(self, name: str, data_centre: str) -> StoreObject:
        """See :meth:`Store.get`."""
        await self._start_call(StoreOperation.GET, data_centre)
        return self.platform.get(name)

    async def put(
        self, name: str, value: bytes, expected_version: int, data_centre: str
    ) -> int:
        """See :meth:`Store.put`."""
        await self._start_call(StoreOperation.PUT, data_centre)
        return self._update(
            lambda: self.platform.put(name, value, expected_version), data_centre
        )

    async def delete(self, name: str, expected_version: int, data_centre: str) -> None:
        """See :meth:`Store.delete`."""
        await self._start_call(StoreOperation.DELETE, data_centre)

        def remove() -> int:
            self.platform.delete(name, expected_version)
            return 0

        self._update(remove, data_centre)

    async def list_names(self, prefix: str, data_centre: str) -> Sequence[str]:
        """See :meth:`Store.list_names`."""
        await self._start_call(StoreOperation.LIST_NAMES, data_centre)
        return self.platform.list_names(prefix)

    async def watch(
        self, name: str, after_version: int, timeout_seconds: float, data_centre: str
    ) -> StoreObject:
        """See :meth:`Store.watch`."""
        await self._start_call(StoreOperation.WATCH, data_centre)
        self.platform.n_watches += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                while self.platform.get(name).version <= after_version:
                    await self.changed.wait()
        except TimeoutError:
            pass
        finally:
            self.platform.n_watches -= 1
        # An outage that begins while a watch is pending also fails or hangs the watch.
        await self._apply_faults(StoreOperation.WATCH, data_centre)
        return self.platform.get(name)

    async def list_instances(self, data_centre: str) -> Sequence[InstanceInfo]:
        """See :meth:`Store.list_instances`."""
        await self._start_call(StoreOperation.LIST_INSTANCES, data_centre)
        return self.platform.instances.list_instances(self._clock.now())

    def change_instance(self, name: str, instance: InstanceInfo | None) -> None:
        """Add or replace an instance, or remove it with ``None``."""
        self.platform.instances.change(name, instance, self._clock.now())

    async def _start_call(self, operation: StoreOperation, data_centre: str) -> None:
        delay_seconds = self.platform.get_faults(data_centre).delay_seconds
        if delay_seconds > 0:
            await self._clock.sleep(delay_seconds)
        await self._apply_faults(operation, data_centre)
        self.platform.admit(operation, self._clock.now(), data_centre)

    async def _apply_faults(self, operation: StoreOperation, data_centre: str) -> None:
        if self.platform.get_faults(data_centre).is_hanging:
            # Never completes, so the caller times out and the call has no effect.
            await asyncio.get_running_loop().create_future()
        if self.platform.get_faults(data_centre).is_refusing:
            self.platform.counters["refused"] += 1
            raise StoreUnavailable("the store is down", step=operation.value)

    def _update(self, update: Callable[[], int], data_centre: str) -> int:
        version = update()
        self.changed.notify()
        if self.platform.consume_lost_answer(data_centre):
            raise StoreAnswerLost("the answer was lost", step="update")
        return version
