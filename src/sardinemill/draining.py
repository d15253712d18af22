"""Graceful shutdown of an instance."""

import asyncio

from .control import DrainFinished, DrainStarted
from .events import Event, EventName
from .interfaces import Clock, FrontEnd, Outlet

# Longest request time-out plus the idle time-out of a transaction.
WORK_DRAIN_TIMEOUT_SECONDS = 75.0
# Leases that are not released expire, also while the store is down.
LEASE_RELEASE_TIMEOUT_SECONDS = 5.0


class GracefulShutdown:
    """Component that owns the front end and runs the steps of a drain in order.

    The announcement goes out first, so that peers and the load balancer send no new
    work while the listener is still open. The stages then finish forwarded requests and
    open transactions, and release the leases.

    :param announcement: receives :class:`DrainStarted`.
    :param reception: reports :class:`DrainFinished` once no reply is pending.
    """

    def __init__(
        self,
        front_end: FrontEnd,
        announcement: Outlet,
        reception: Outlet,
        clock: Clock,
        events: Outlet,
    ) -> None:
        self._front_end = front_end
        self._announcement = announcement
        self._reception = reception
        self._clock = clock
        self._events = events
        self._finished_steps: set[str] = set()
        self._step_finished = asyncio.Event()

    def offer(self, message: object) -> bool:
        """Handle a :class:`DrainFinished`."""
        if isinstance(message, DrainFinished):
            self._finished_steps.add(message.step)
            self._step_finished.set()
        return True

    async def start(self) -> None:
        await self._front_end.start()
        self._events.offer(Event(EventName.INSTANCE_STARTED))

    async def drain(self) -> None:
        """Announce the drain, finish callers' requests and wait for the other steps."""
        self._events.offer(Event(EventName.DRAIN_STARTED))
        self._announcement.offer(DrainStarted())
        await self._front_end.drain()
        await self._wait_for("scheduling", WORK_DRAIN_TIMEOUT_SECONDS)
        # The reply to the last commit may still be pending, so the reception is asked
        # again once no transaction is open.
        self._finished_steps.discard("reception")
        self._reception.offer(DrainStarted())
        await self._wait_for("reception", WORK_DRAIN_TIMEOUT_SECONDS)
        await self._wait_for("leasing", LEASE_RELEASE_TIMEOUT_SECONDS)

    async def _wait_for(self, step: str, timeout_seconds: float) -> None:
        """Wait for a step, with a time-out so that the process always stops."""
        deadline = self._clock.now() + timeout_seconds
        timer = asyncio.create_task(self._clock.sleep(timeout_seconds))
        while step not in self._finished_steps and self._clock.now() < deadline:
            self._step_finished.clear()
            step_finished = asyncio.create_task(self._step_finished.wait())
            await asyncio.wait(
                [timer, step_finished], return_when=asyncio.FIRST_COMPLETED
            )
            step_finished.cancel()
        timer.cancel()

    async def stop(self) -> None:
        await self._front_end.stop()
        self._events.offer(Event(EventName.INSTANCE_STOPPED))
