"""Graceful stop of an instance."""

import asyncio

from .control import DrainFinished, DrainStarted
from .events import Event, EventName
from .interfaces import Clock, FrontEnd, Outlet

# Longest request time-out plus the idle limit of a transaction.
WORK_LIMIT_SECONDS = 75.0
# Leases that are not released lapse by themselves, also while the store is down.
LEASE_LIMIT_SECONDS = 5.0


class DrainPart:
    """Owns the front end and runs the steps of a drain in order.

    The announcement goes out first, so that peers and the balancer send no new work
    while the listener is still open. The home side then finishes forwarded work and
    open transactions, and leases go back.

    :param announcement: receives :class:`DrainStarted`.
    :param reception: tells when no reply is owed any more.
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
        self._finished: set[str] = set()
        self._changed = asyncio.Event()

    def offer(self, message: object) -> bool:
        """Take a :class:`DrainFinished`."""
        if isinstance(message, DrainFinished):
            self._finished.add(message.step)
            self._changed.set()
        return True

    async def start(self) -> None:
        await self._front_end.start()
        self._events.offer(Event(EventName.INSTANCE_STARTED))

    async def drain(self) -> None:
        """Announce, finish callers' requests, then wait for the other steps."""
        self._events.offer(Event(EventName.DRAIN_STARTED))
        self._announcement.offer(DrainStarted())
        await self._front_end.drain()
        await self._wait_for("scheduling", WORK_LIMIT_SECONDS)
        # The reply to the last commit may still be owed, so the reception is asked
        # again once no transaction is open.
        self._finished.discard("reception")
        self._reception.offer(DrainStarted())
        await self._wait_for("reception", WORK_LIMIT_SECONDS)
        await self._wait_for("leasing", LEASE_LIMIT_SECONDS)

    async def _wait_for(self, step: str, limit_seconds: float) -> None:
        """Wait for a step; one that never finishes must not keep the process alive."""
        end = self._clock.now() + limit_seconds
        limit = asyncio.create_task(self._clock.sleep(limit_seconds))
        while step not in self._finished and self._clock.now() < end:
            self._changed.clear()
            changed = asyncio.create_task(self._changed.wait())
            await asyncio.wait([limit, changed], return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
        limit.cancel()

    async def stop(self) -> None:
        await self._front_end.stop()
        self._events.offer(Event(EventName.INSTANCE_STOPPED))
