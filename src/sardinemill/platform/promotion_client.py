"""Calls the platform to promote a database."""

import aiohttp

from ..fleet.failover_messages import PromoteDatabase, PromotionResult
from ..groups import Address
from ..interfaces import Clock, Outlet
from .background_tasks import BackgroundTasks

CALL_TIMEOUT_SECONDS = 1.2


class PromotionClient:
    """Makes the promotion calls; one answer for each order.

    :param sink: receives :class:`PromotionResult`.
    """

    def __init__(self, address: Address, sink: Outlet, clock: Clock) -> None:
        self._url = f"http://{address}/promotion"
        self._sink = sink
        self._clock = clock
        self._calls = BackgroundTasks()

    async def start(self) -> None:
        """Nothing to acquire; calls are rare and open a session of their own."""

    async def drain(self) -> None:
        """Nothing to do."""

    async def stop(self) -> None:
        """Cancel calls in progress."""
        await self._calls.stop()

    def offer(self, message: object) -> bool:
        """Accept an order."""
        if isinstance(message, PromoteDatabase):
            self._calls.start(self._call(message))
        return True

    async def _call(self, order: PromoteDatabase) -> None:
        seconds = min(CALL_TIMEOUT_SECONDS, order.deadline - self._clock.now())
        if seconds <= 0:
            answer = PromotionResult(order, None, "out of time")
            self._sink.offer(answer)
            return
        headers = {
            "X-Duty-Holder": order.holder,
            "X-Fencing-Token": str(order.fence),
        }
        body = {"service": order.group, "id": order.database}
        timeout = aiohttp.ClientTimeout(total=seconds)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(self._url, json=body, headers=headers) as response,
            ):
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer = PromotionResult(order, None, type(error).__name__)
        else:
            is_accepted = True if status == 200 else None
            # The database does not run, or another reason not to promote it.
            is_accepted = False if status == 409 else is_accepted
            answer = PromotionResult(order, is_accepted, f"status {status}")
        self._sink.offer(answer)
