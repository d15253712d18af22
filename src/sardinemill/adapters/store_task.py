"""Task that runs the object store calls of one filter."""

import asyncio

from ..errors import StoreConflict, StoreError
from ..interfaces import Clock, Outlet, Store
from ..members import InstanceInfo
from ..store_calls import StoreCall, StoreFailure, StoreOperation, StoreReply

# Watches stay pending for seconds, so other calls must overlap with them.
MAX_PENDING_CALLS = 64


class StoreTask:
    """Runs the object store calls of one filter.

    :param sink: receives one :class:`StoreReply` for each :class:`StoreCall`, except
        for those that the stop cancels.
    :param max_pending_calls: limit of concurrent calls; further ones fail at once.
    """

    def __init__(
        self,
        store: Store,
        sink: Outlet,
        clock: Clock,
        *,
        max_pending_calls: int = MAX_PENDING_CALLS,
    ) -> None:
        self._store = store
        self._sink = sink
        self._clock = clock
        self._max_pending_calls = max_pending_calls
        self._tasks: set[asyncio.Task[None]] = set()
        self._n_pending = 0
        self._is_stopped = False

    def offer(self, message: object) -> bool:
        """Accept a call; above the limit it is answered with ``UNAVAILABLE``."""
        if not isinstance(message, StoreCall):
            return True
        if self._is_stopped or self._n_pending >= self._max_pending_calls:
            now = self._clock.now()
            self._sink.offer(_make_failure(message, StoreFailure.UNAVAILABLE, now))
            return True
        self._n_pending += 1
        task = asyncio.create_task(
            self._serve(message), name=f"store {message.operation} {message.call_id}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def start(self) -> None:
        """Do nothing: each call starts its own asyncio task."""

    async def drain(self) -> None:
        """Do nothing: calls that release leases are made until the stop."""

    async def stop(self) -> None:
        """Cancel the pending calls; they get no reply."""
        self._is_stopped = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, call: StoreCall) -> None:
        asked_at = self._clock.now()
        try:
            reply = await self._call(call, asked_at)
        except StoreConflict as error:
            reply = _make_failure(
                call, StoreFailure.CONFLICT, asked_at, error.current_version
            )
        except (StoreError, TimeoutError):
            reply = _make_failure(call, StoreFailure.UNAVAILABLE, asked_at)
        finally:
            # Before the reply, since the filter may answer it with another call.
            self._n_pending -= 1
        self._sink.offer(reply)

    async def _call(self, call: StoreCall, asked_at: float) -> StoreReply:
        # The store applies the time-out of a watch itself.
        if call.operation is StoreOperation.WATCH:
            watched = await self._store.watch(
                call.name,
                after_version=call.after_version,
                timeout_seconds=call.timeout_seconds,
            )
            return StoreReply(
                call=call,
                failure=None,
                asked_at=asked_at,
                version=watched.version,
                value=watched.value,
            )
        async with asyncio.timeout(call.timeout_seconds):
            return await self._call_with_timeout(call, asked_at)

    async def _call_with_timeout(self, call: StoreCall, asked_at: float) -> StoreReply:
        store = self._store
        version, value = 0, b""
        names: tuple[str, ...] = ()
        instances: tuple[InstanceInfo, ...] = ()
        if call.operation is StoreOperation.GET:
            stored = await store.get(call.name)
            version, value = stored.version, stored.value
        elif call.operation is StoreOperation.PUT:
            version = await store.put(
                call.name, call.value, expected_version=call.expected_version
            )
        elif call.operation is StoreOperation.DELETE:
            await store.delete(call.name, expected_version=call.expected_version)
        elif call.operation is StoreOperation.LIST_NAMES:
            names = tuple(await store.list_names(call.name))
        else:
            instances = tuple(await store.list_instances())
        return StoreReply(
            call=call,
            failure=None,
            asked_at=asked_at,
            version=version,
            value=value,
            names=names,
            instances=instances,
        )


def _make_failure(
    call: StoreCall, failure: StoreFailure, asked_at: float, version: int = 0
) -> StoreReply:
    return StoreReply(call=call, failure=failure, asked_at=asked_at, version=version)
