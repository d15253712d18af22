"""Log lines that never hold up the event loop, at a bounded rate."""

import queue
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import TextIO

from ..events import Event, EventName
from ..interfaces import Outlet

# Lines that wait for a reader of the output who is slower than the instance.
QUEUE_LENGTH = 5000
# Lines of one event a second, and at once after a pause. An instance at its target
# rate of 323 statements a second would otherwise spend its time on logs.
LINES_PER_SECOND = 25.0
MAX_BURST_LINES = 100.0
# Lines that explain refusals, errors and changes of what the process believes.
IMPORTANT_LINES_PER_SECOND = 100.0
MAX_IMPORTANT_BURST_LINES = 400.0
# What was left out is counted in a line at this interval.
REPORT_SECONDS = 1.0
_ORDINARY = frozenset({EventName.STATEMENT_ANSWERED, EventName.STATEMENT_RETRIED})


class BackgroundWriter:
    """Text file whose writes go through a queue to a thread.

    :param file: the file that the thread writes to.
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
        """Nothing to do: lines of the stop are still to come."""

    async def stop(self) -> None:
        """Nothing to do: :meth:`close` follows the last line."""

    def close(self, timeout_seconds: float = 0.5) -> None:
        """Write what waits, for a limited time."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        if self._thread.is_alive():
            self._thread.join(timeout_seconds)

    def write(self, text: str) -> int:
        """Queue a text; one that finds the queue full is counted and dropped."""
        try:
            self._queue.put_nowait(text)
        except queue.Full:
            self.n_dropped += 1
        return len(text)

    def flush(self) -> None:
        """Nothing to do: the thread writes as soon as it can."""

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
            # The reader of the output is gone; the instance serves on without logs.
            self.n_dropped += 1


class EventRateLimiter:
    """Outlet that passes on events up to a rate for each event name.

    Statements that succeeded are left out first; refusals and changes of what the
    process believes have a higher limit of their own. What is left out is counted.

    :param sink: receives the events.
    """

    def __init__(
        self, sink: Outlet, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._sink = sink
        self._read_clock = read_clock
        self._levels: dict[EventName, tuple[float, float]] = {}
        self._dropped: Counter[str] = Counter()
        self._report_at = 0.0

    def offer(self, message: object) -> bool:
        """Pass on an event, or count it."""
        if not isinstance(message, Event):
            return True
        now = self._read_clock()
        if self._has_room(message.name, now):
            self._sink.offer(message)
        else:
            self._dropped[message.name.name.lower()] += 1
        if self._dropped and now >= self._report_at:
            self._report_at = now + REPORT_SECONDS
            self._sink.offer(Event(EventName.LINES_DROPPED, dict(self._dropped)))
            self._dropped.clear()
        return True

    def _has_room(self, name: EventName, now: float) -> bool:
        rate, capacity = IMPORTANT_LINES_PER_SECOND, MAX_IMPORTANT_BURST_LINES
        if name in _ORDINARY:
            rate, capacity = LINES_PER_SECOND, MAX_BURST_LINES
        level, updated_at = self._levels.get(name, (capacity, now))
        level = min(capacity, level + (now - updated_at) * rate)
        has_room = level >= 1.0
        self._levels[name] = (level - 1.0 if has_room else level, now)
        return has_room
