"""Pipeline stages: each runs one filter in one task, with a bounded inbox."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping, Sequence

from .errors import Outcome
from .interfaces import Clock, Emission, Filter, Outlet
from .messages import (
    AuthenticatedRequest,
    CallerRequest,
    Refusal,
    RefusalCode,
    Request,
    RoutedRequest,
)

INBOX_CAPACITY = 4096
# A stage yields to other tasks after this number of messages.
BATCH_SIZE = 64

_BOUNDED_TYPES = (CallerRequest, AuthenticatedRequest, Request, RoutedRequest)


class Inbox:
    """Queue with one consumer and a bound for requests.

    Replies and control messages are always accepted: the number of replies is bounded
    by that of the requests in flight.

    :param capacity: number of queued messages from which requests are rejected.
    """

    def __init__(self, capacity: int = INBOX_CAPACITY) -> None:
        self._capacity = capacity
        self._messages: deque[object] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._messages)

    def offer(self, message: object) -> bool:
        """Append a message.

        :returns: ``False`` when the message is a request and the inbox is full.
        """
        if isinstance(message, _BOUNDED_TYPES) and len(self) >= self._capacity:
            return False
        self._messages.append(message)
        self._wake()
        return True

    def take(self) -> object | None:
        """Remove and return the oldest message, or ``None``."""
        return self._messages.popleft() if self._messages else None

    async def wait(self, timeout_seconds: float | None) -> None:
        """Wait for a message or the time-out.

        May return early without a message: a pending timer that is due before the
        time-out is reused, which saves a new timer for each message.
        """
        if self._messages or (timeout_seconds is not None and timeout_seconds <= 0):
            return
        loop = asyncio.get_running_loop()
        if timeout_seconds is not None:
            self._set_timer(loop, loop.time() + timeout_seconds)
        self._waiter = loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _set_timer(self, loop: asyncio.AbstractEventLoop, due_at: float) -> None:
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_at, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def make_overload_refusal(message: object, step: str) -> Refusal | None:
    """Make the refusal of a request that met a full inbox.

    :param step: outlet or operation that met the full inbox.
    :returns: ``None`` when the message is not a request.
    """
    if isinstance(message, CallerRequest | Request):
        request_id = message.request_id
    elif isinstance(message, AuthenticatedRequest):
        request_id = message.caller.request_id
    elif isinstance(message, RoutedRequest):
        request_id = message.request.request_id
    else:
        return None
    return Refusal(
        request_id=request_id,
        code=RefusalCode.OVERLOADED,
        outcome=Outcome.NOT_RUN,
        step=step,
        message="the queue of this step is full",
        retry_after_seconds=1.0,
    )


class Stage:
    """Task that passes messages from its inbox to a filter and delivers the emissions.

    :param name: name of the stage in events and refusals.
    :param capacity: capacity of the inbox.
    :param on_unbound: called with each emission whose outlet is not bound.
    """

    def __init__(
        self,
        name: str,
        stage_filter: Filter,
        clock: Clock,
        *,
        capacity: int = INBOX_CAPACITY,
        on_unbound: Callable[[Emission], None] | None = None,
    ) -> None:
        self.name = name
        self.inbox = Inbox(capacity)
        self._filter = stage_filter
        self._clock = clock
        self._outlets: dict[str, Outlet] = {}
        self._on_unbound = on_unbound

    def bind(self, outlets: Mapping[str, Outlet]) -> None:
        """Bind outlet names of the filter to receivers."""
        self._outlets.update(outlets)

    def offer(self, message: object) -> bool:
        """Append a message to the inbox; see :meth:`Inbox.offer`."""
        return self.inbox.offer(message)

    async def run(self) -> None:
        """Handle messages and timers until cancelled."""
        while True:
            next_tick = self._filter.next_tick
            timeout = None if next_tick is None else next_tick - self._clock.now()
            await self.inbox.wait(timeout)
            self._handle_batch()
            if len(self.inbox) or (timeout is not None and timeout <= 0):
                # Yields to other tasks also under constant load.
                await asyncio.sleep(0)

    def _handle_batch(self) -> None:
        for _ in range(BATCH_SIZE):
            message = self.inbox.take()
            if message is None:
                break
            self._emit(self._filter.handle(message, self._clock.now()))
        next_tick = self._filter.next_tick
        now = self._clock.now()
        if next_tick is not None and next_tick <= now:
            self._emit(self._filter.tick(now))

    def _emit(self, emissions: Sequence[Emission]) -> None:
        for emission in emissions:
            outlet = self._outlets.get(emission.outlet)
            if outlet is None:
                if self._on_unbound is not None:
                    self._on_unbound(emission)
                continue
            if not outlet.offer(emission.message):
                self._emit_refusal(emission)

    def _emit_refusal(self, emission: Emission) -> None:
        refusal = make_overload_refusal(emission.message, emission.outlet)
        # A filter that tracks pending requests gets the refusal itself: its outlet
        # "refused" is bound to its own stage.
        reply = self._outlets.get("refused", self._outlets.get("reply"))
        if refusal is not None and reply is not None:
            reply.offer(refusal)
