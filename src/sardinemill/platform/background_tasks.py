"""Calls in progress, which end with their owner."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Tasks of calls that answer by a message."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, call: Coroutine[None, None, None]) -> None:
        """Run a call as a task."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel the calls in progress; they get no answer."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
