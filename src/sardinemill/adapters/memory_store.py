"""In-process object store with the fault injection of the platform stand-in."""

import asyncio
from collections.abc import Awaitable, Sequence
from typing import TypeVar

from ..emulator.platform import Platform
from ..emulator.platform_service import PlatformService
from ..errors import StoreUnavailable
from ..interfaces import Clock, StoreObject
from ..members import InstanceInfo
from .clocks import SystemClock

CALL_TIMEOUT_SECONDS = 1.0

T = TypeVar("T")


class MemoryStore:
    """Object store of an in-memory platform, as one data centre sees it.

    :param service: service of the platform, which the stores of several data centres
        may share; faults are injected through its ``platform``.
    """

    def __init__(
        self,
        service: PlatformService | None = None,
        *,
        data_centre: str = "",
        clock: Clock | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        if service is None:
            service = PlatformService(Platform(), clock or SystemClock())
        self.service = service
        self._data_centre = data_centre
        self._timeout_seconds = timeout_seconds

    @property
    def platform(self) -> Platform:
        """State of the platform, and its injected faults."""
        return self.service.platform

    async def get(self, name: str) -> StoreObject:
        return await self._call_with_timeout(self.service.get(name, self._data_centre))

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        return await self._call_with_timeout(
            self.service.put(name, value, expected_version, self._data_centre)
        )

    async def delete(self, name: str, *, expected_version: int) -> None:
        await self._call_with_timeout(
            self.service.delete(name, expected_version, self._data_centre)
        )

    async def list_names(self, prefix: str) -> Sequence[str]:
        return await self._call_with_timeout(
            self.service.list_names(prefix, self._data_centre)
        )

    async def watch(
        self, name: str, *, after_version: int, timeout_seconds: float
    ) -> StoreObject:
        return await self._call_with_timeout(
            self.service.watch(name, after_version, timeout_seconds, self._data_centre),
            timeout_seconds,
        )

    async def list_instances(self) -> Sequence[InstanceInfo]:
        return await self._call_with_timeout(
            self.service.list_instances(self._data_centre)
        )

    async def _call_with_timeout(
        self, call: Awaitable[T], extra_seconds: float = 0.0
    ) -> T:
        try:
            async with asyncio.timeout(self._timeout_seconds + extra_seconds):
                return await call
        except TimeoutError as error:
            raise StoreUnavailable("the store did not answer", step="store") from error
