"""Application life cycle: starts components in order, stops them in reverse order."""

import asyncio
from collections.abc import Sequence
from typing import Protocol


class Component(Protocol):
    """Component of an application with life-cycle hooks."""

    async def start(self) -> None:
        """Acquire resources; called once, in start order."""
        ...

    async def drain(self) -> None:
        """Accept no new work and finish the work in flight."""
        ...

    async def stop(self) -> None:
        """Release resources; called once, in reverse start order."""
        ...


class Runnable(Protocol):
    """Object with a run loop."""

    async def run(self) -> None: ...


class TaskComponent:
    """Component that runs one loop as a task.

    :param name: task name.
    """

    def __init__(self, name: str, runnable: Runnable) -> None:
        self._name = name
        self._runnable = runnable
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._runnable.run(), name=self._name)

    async def drain(self) -> None:
        """Do nothing: listeners drain requests before the stages stop."""

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
        """Running task, for supervision; ``None`` before the start."""
        return self._task


class Application:
    """Owner of all components of one process.

    :param components: components in start order.
    """

    def __init__(self, components: Sequence[Component]) -> None:
        self._components = list(components)
        self._started: list[Component] = []

    async def start(self) -> None:
        """Start all components; if one fails, stop those already started.

        :raises ExceptionGroup: with the start failure and failures of the stops.
        """
        for component in self._components:
            try:
                await component.start()
            except Exception as error:
                failures = [error, *await self._stop_started()]
                raise ExceptionGroup("application start failed", failures) from error
            self._started.append(component)

    async def run_until(self, stop_requested: asyncio.Event) -> None:
        """Serve until asked to stop or a task ends, then drain and stop.

        :param stop_requested: set when the application should stop.
        :raises ExceptionGroup: with every failure of tasks, drains and stops.
        """
        failures: list[Exception] = []
        waiter = asyncio.create_task(stop_requested.wait())
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
        """Drain all components in start order, then stop them in reverse order.

        :returns: errors raised by the hooks.
        """
        failures: list[Exception] = []
        for component in self._started:
            try:
                await component.drain()
            except Exception as error:  # continue with the other components
                failures.append(error)
        return failures + await self._stop_started()

    async def _stop_started(self) -> list[Exception]:
        failures: list[Exception] = []
        while self._started:
            component = self._started.pop()
            try:
                await component.stop()
            except Exception as error:  # continue with the other components
                failures.append(error)
        return failures
