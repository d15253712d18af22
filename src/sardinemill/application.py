"""Application object: starts parts in order and stops them in reverse."""

import asyncio
from collections.abc import Sequence
from typing import Protocol


class Component(Protocol):
    """Part of an application with life-cycle hooks."""

    async def start(self) -> None:
        """Acquire resources; called once, in order."""
        ...

    async def drain(self) -> None:
        """Finish work in flight and accept no more."""
        ...

    async def stop(self) -> None:
        """Release resources; called once, in reverse order."""
        ...


class Runnable(Protocol):
    """Anything with a run loop."""

    async def run(self) -> None: ...


class TaskComponent:
    """Part that runs one loop as a task.

    :param name: task name.
    """

    def __init__(self, name: str, runnable: Runnable) -> None:
        self._name = name
        self._runnable = runnable
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._runnable.run(), name=self._name)

    async def drain(self) -> None:
        """A stage has nothing to finish by itself; listeners drain the work."""

    async def stop(self) -> None:
        if self._task is None:
            return
        self._task.cancel()
        try:
            await self._task
        except asyncio.CancelledError:
            if not self._task.cancelled():
                raise

    @property
    def task(self) -> asyncio.Task[None] | None:
        """The running task, for supervision."""
        return self._task


class Application:
    """Owner of all parts of one process.

    :param parts: in start order.
    """

    def __init__(self, components: Sequence[Component]) -> None:
        self._components = list(components)
        self._started: list[Component] = []

    async def start(self) -> None:
        """Start all parts; if one fails, stop those already started.

        :raises ExceptionGroup: with the failure and those of the stops after it.
        """
        for component in self._components:
            try:
                await component.start()
            except Exception as error:
                failures = [error, *await self._stop_started()]
                raise ExceptionGroup("application start failed", failures) from error
            self._started.append(component)

    async def run_until(self, stopping: asyncio.Event) -> None:
        """Serve until asked to stop, then drain and stop.

        A task that fails ends the wait and its error is raised.

        :raises ExceptionGroup: with every failure of tasks, drains and stops.
        """
        failures: list[Exception] = []
        waiter = asyncio.create_task(stopping.wait())
        tasks = [
            component.task
            for component in self._started
            if isinstance(component, TaskComponent) and component.task is not None
        ]
        done, _ = await asyncio.wait(
            [waiter, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        waiter.cancel()
        for task in done - {waiter}:
            error = task.exception() if not task.cancelled() else None
            if isinstance(error, Exception):
                failures.append(error)
        failures.extend(await self.stop())
        if failures:
            raise ExceptionGroup("application failed", failures)

    async def stop(self) -> list[Exception]:
        """Drain all parts in start order, then stop them in reverse.

        :returns: failures of the hooks.
        """
        failures: list[Exception] = []
        for component in self._started:
            try:
                await component.drain()
            except Exception as error:  # every part gets its turn
                failures.append(error)
        return failures + await self._stop_started()

    async def _stop_started(self) -> list[Exception]:
        failures: list[Exception] = []
        while self._started:
            component = self._started.pop()
            try:
                await component.stop()
            except Exception as error:  # every part gets its turn
                failures.append(error)
        return failures
