"""Log output that is rate-limited and never blocks the event loop."""

import queue
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import TextIO

from ..events import Event, EventName
from ..interfaces import Outlet

# Lines buffered for a slow reader of the output; further ones are dropped.
QUEUE_LENGTH = 5000
# Rate and burst of the lines of one event. At its target rate of 323 statements per
# second, an instance would otherwise spend its time on logging.
LINES_PER_SECOND = 25.0
BURST_LINES = 100.0
# Limits for lines about refusals, errors and changes of the state that the process
# knows.
IMPORTANT_LINES_PER_SECOND = 100.0
IMPORTANT_BURST_LINES = 400.0
# Interval of the lines that count the dropped events.
DROPPED_REPORT_INTERVAL_SECONDS = 1.0
_SUCCESS_EVENTS = frozenset({EventName.STATEMENT_ANSWERED, EventName.STATEMENT_RETRIED})


class BackgroundWriter:
    """Text file object that queues its writes for a background thread.

    :param file: file that the thread writes to.
    :ivar n_dropped: texts dropped because the queue was full, plus failed writes of the
        thread; one such write may lose several texts.
    """

    def __init__(self, file: TextIO = sys.stdout) -> None:
        self._file = file
        self._queue: queue.Queue[str | None] = queue.Queue(QUEUE_LENGTH)
        self._thread = threading.Thread(
            target=self._write_all, name="log writer", daemon=True
        )
        self.n_dropped = 0

    async def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    async def drain(self) -> None:
        """Do nothing: the shutdown still logs."""

    async def stop(self) -> None:
        """Do nothing: :meth:`close` is called after the last line."""

    def close(self, timeout_seconds: float = 0.5) -> None:
        """Write the queued lines, waiting at most ``timeout_seconds``.

        Returns at once when the queue is full: its reader no longer keeps up.
        """
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        if self._thread.is_alive():
            self._thread.join(timeout_seconds)

    def write(self, text: str) -> int:
        """Queue a text; drop and count it when the queue is full."""
        try:
            self._queue.put_nowait(text)
        except queue.Full:
            self.n_dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes after each write."""

    def _write_all(self) -> None:
        while (text := self._queue.get()) is not None:
            parts = [text]
            while not self._queue.empty():
                more = self._queue.get()
                if more is None:
                    self._write("".join(parts))
                    return
                parts.append(more)
            self._write("".join(parts))

    def _write(self, text: str) -> None:
        try:
            self._file.write(text)
            self._file.flush()
        except (OSError, ValueError):
            # The reader has closed the output; the instance goes on without logs.
            self.n_dropped += 1


class EventRateLimiter:
    """Outlet that limits the rate of events with one token bucket per event name.

    Events of successful statements have a lower limit than all others, such as
    refusals and changes of the known state. Dropped events are counted in an event of
    their own.

    :param sink: receives the events.
    :param read_clock: returns monotonic seconds.
    """

    def __init__(
        self, sink: Outlet, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._sink = sink
        self._read_clock = read_clock
        self._buckets: dict[EventName, tuple[float, float]] = {}
        self._dropped: Counter[str] = Counter()
        self._next_report_at = 0.0

    def offer(self, message: object) -> bool:
        """Forward an event, or drop and count it."""
        if not isinstance(message, Event):
            return True
        now = self._read_clock()
        if self._take_token(message.name, now):
            self._sink.offer(message)
        else:
            self._dropped[message.name.name.lower()] += 1
        if self._dropped and now >= self._next_report_at:
            self._next_report_at = now + DROPPED_REPORT_INTERVAL_SECONDS
            self._sink.offer(Event(EventName.LINES_DROPPED, dict(self._dropped)))
            self._dropped.clear()
        return True

    def _take_token(self, name: EventName, now: float) -> bool:
        rate, capacity = IMPORTANT_LINES_PER_SECOND, IMPORTANT_BURST_LINES
        if name in _SUCCESS_EVENTS:
            rate, capacity = LINES_PER_SECOND, BURST_LINES
        n_tokens, updated_at = self._buckets.get(name, (capacity, now))
        n_tokens = min(capacity, n_tokens + (now - updated_at) * rate)
        is_allowed = n_tokens >= 1.0
        self._buckets[name] = (n_tokens - 1.0 if is_allowed else n_tokens, now)
        return is_allowed
