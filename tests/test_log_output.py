"""Log lines at a bounded rate that never hold up the instance."""

import io
import threading

from sardinemill.adapters.log_output import (
    BURST_LINES,
    QUEUE_LENGTH,
    BackgroundWriter,
    EventRateLimiter,
)
from sardinemill.events import Event, EventName


class Sink:
    """Keeps events."""

    def __init__(self):
        self.events = []

    def offer(self, message):
        self.events.append(message)
        return True


def test_flood_is_counted_and_refusals_are_kept():
    """Guards against logs that grow with the load, and against refusals that no line
    explains.
    """
    sink, now = Sink(), [0.0]
    limited = EventRateLimiter(sink, lambda: now[0])
    for number in range(1000):
        now[0] = number / 1000
        limited.offer(Event(EventName.STATEMENT_ANSWERED))
        if number % 10 == 0:
            limited.offer(Event(EventName.STATEMENT_REFUSED))
    now[0] = 5.0
    limited.offer(Event(EventName.STATEMENT_ANSWERED))
    names = [event.name for event in sink.events]
    assert names.count(EventName.STATEMENT_REFUSED) == 100
    assert names.count(EventName.STATEMENT_ANSWERED) <= BURST_LINES + 30
    dropped = sum(
        event.fields["statement_answered"]
        for event in sink.events
        if event.name is EventName.LINES_DROPPED
    )
    assert dropped + names.count(EventName.STATEMENT_ANSWERED) == 1001


class BlockedFile(io.StringIO):
    """File whose reader does not read until released."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.entered.set()
        self.released.wait(10)
        self.text += text
        return len(text)


def test_blocked_output_does_not_block_the_writer_of_lines():
    """Guards against an instance that stops because nobody reads its output."""
    file = BlockedFile()
    writer = BackgroundWriter(file)
    writer._thread.start()
    writer.write("line\n")
    assert file.entered.wait(10)
    for _ in range(QUEUE_LENGTH + 100):
        writer.write("line\n")
    assert writer.n_dropped > 0
    file.released.set()
    writer._queue.put(None)
    writer._thread.join(10)
    assert file.text.count("line") == QUEUE_LENGTH + 101 - writer.n_dropped
