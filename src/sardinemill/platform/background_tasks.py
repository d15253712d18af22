"""Background tasks that are cancelled when their owner stops."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Running calls, each a task that reports its result by a message."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, call: Coroutine[None, None, None]) -> None:
        """Run a call in a task of its own."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel the running calls; they report no result."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
