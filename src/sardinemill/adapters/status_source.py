"""Client of the unauthenticated HTTP status route of instances."""

import aiohttp
import msgspec

from ..members import InstanceInfo
from ..status import Status

STATUS_TIMEOUT_SECONDS = 1.0


class HttpStatusSource:
    """Status source that requests ``GET /v1/status`` from instances."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP client session."""
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def stop(self) -> None:
        """Close the HTTP client session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def fetch(self, instance: InstanceInfo) -> Status | None:
        """Return the status of an instance, or ``None`` without a valid answer."""
        if self._session is None:
            return None
        url = f"http://{instance.front_address}/v1/status"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return None
                data = await response.read()
            return msgspec.json.decode(data, type=Status)
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError):
            return None
