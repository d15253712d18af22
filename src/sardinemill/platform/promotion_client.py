"""Client of the platform's interface to promote databases."""

import aiohttp

from ..fleet.failover_messages import PromoteDatabase, PromotionResult
from ..groups import Address
from ..interfaces import Clock, Outlet
from .background_tasks import BackgroundTasks

CALL_TIMEOUT_SECONDS = 1.2


class PromotionClient:
    """Sends promotion requests to the platform; emits one result for each.

    :param sink: receives :class:`PromotionResult`.
    """

    def __init__(self, address: Address, sink: Outlet, clock: Clock) -> None:
        self._url = f"http://{address}/promotion"
        self._sink = sink
        self._clock = clock
        self._calls = BackgroundTasks()

    async def start(self) -> None:
        """Do nothing: calls are rare, and each opens an HTTP session of its own."""

    async def drain(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Cancel the calls in progress."""
        await self._calls.stop()

    def offer(self, message: object) -> bool:
        """Start the call for a :class:`PromoteDatabase`; ignore other messages."""
        if isinstance(message, PromoteDatabase):
            self._calls.start(self._call(message))
        return True

    async def _call(self, command: PromoteDatabase) -> None:
        timeout_seconds = min(
            CALL_TIMEOUT_SECONDS, command.deadline - self._clock.now()
        )
        if timeout_seconds <= 0:
            result = PromotionResult(command, None, "deadline passed before the call")
            self._sink.offer(result)
            return
        headers = {
            "X-Duty-Holder": command.holder,
            "X-Fencing-Token": str(command.fence),
        }
        body = {"service": command.group, "id": command.database}
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(self._url, json=body, headers=headers) as response,
            ):
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            result = PromotionResult(command, None, type(error).__name__)
        else:
            is_accepted = True if status == 200 else None
            # The platform declined, for instance because the database does not run. Any
            # other error status leaves the outcome unknown.
            is_accepted = False if status == 409 else is_accepted
            result = PromotionResult(command, is_accepted, f"status {status}")
        self._sink.offer(result)
