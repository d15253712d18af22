"""Graceful stop of an instance."""

import asyncio

from .control import DrainFinished, DrainStarted
from .events import Event, EventName
from .interfaces import Clock, FrontEnd, Outlet

# Longest request time-out plus the idle limit of a transaction.
DRAIN_LIMIT_SECONDS = 75.0


class DrainPart:
    """Owns the front end and runs the steps of a drain in order.

    The announcement goes out first, so that peers and the balancer send no new work
    while the listener is still open. The home side then finishes forwarded work and
    open transactions, and leases go back.

    :param announcement: receives :class:`DrainStarted`.
    """

    def __init__(
        self,
        front_end: FrontEnd,
        announcement: Outlet,
        clock: Clock,
        events: Outlet,
        steps: frozenset[str] = frozenset({"reception"}),
    ) -> None:
        self._front_end = front_end
        self._announcement = announcement
        self._clock = clock
        self._events = events
        self._missing = set(steps)
        self._finished = asyncio.Event()

    def offer(self, message: object) -> bool:
        """Take a :class:`DrainFinished`."""
        if isinstance(message, DrainFinished):
            self._missing.discard(message.step)
            if not self._missing:
                self._finished.set()
        return True

    async def start(self) -> None:
        await self._front_end.start()
        self._events.offer(Event(EventName.INSTANCE_STARTED))

    async def drain(self) -> None:
        """Announce, finish callers' requests, then wait for the other steps."""
        self._events.offer(Event(EventName.DRAIN_STARTED))
        self._announcement.offer(DrainStarted())
        await self._front_end.drain()
        # A step that never finishes must not keep the process alive.
        limit = asyncio.create_task(self._clock.sleep(DRAIN_LIMIT_SECONDS))
        finished = asyncio.create_task(self._finished.wait())
        await asyncio.wait([limit, finished], return_when=asyncio.FIRST_COMPLETED)
        for task in (limit, finished):
            task.cancel()

    async def stop(self) -> None:
        await self._front_end.stop()
        self._events.offer(Event(EventName.INSTANCE_STOPPED))
