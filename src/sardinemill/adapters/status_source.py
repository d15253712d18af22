"""State of instances, asked over their open HTTP route."""

import aiohttp
import msgspec

from ..members import InstanceInfo
from ..status import Status

STATUS_TIMEOUT_SECONDS = 1.0


class HttpStatusSource:
    """Asks ``GET /v1/status`` of instances."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client."""
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def stop(self) -> None:
        """Close the client."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def fetch(self, instance: InstanceInfo) -> Status | None:
        """Return the state of an instance, or ``None`` when it does not answer."""
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
