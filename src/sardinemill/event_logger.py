"""Event logger that writes JSON lines."""

import itertools
import sys
import time
import uuid
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, TextIO

import structlog

from .events import Event

if TYPE_CHECKING:
    # Imported for types only, so that daemons without a command line do not load its
    # parser.
    from .settings import Settings

LEVELS = ("debug", "info", "warning", "error")
# Field names that could carry a key or a caller's data; such fields are never logged.
FORBIDDEN_FIELDS = frozenset(
    {
        "authorization",
        "body",
        "caller",
        "digest",
        "idempotency_key",
        "key",
        "parameters",
        "request",
        "rows",
        "secret",
        "sql",
        "statement",
    }
)
RESERVED_FIELDS = frozenset(
    {
        "data_centre",
        "event",
        "incarnation",
        "instance",
        "level",
        "monotonic_seconds",
        "name",
        "number",
        "sequence",
        "wall_ns",
    }
)
_PLAIN_TYPES = (str, int, float, bool, type(None))
MAX_TEXT_CHARACTERS = 500


class EventLogger:
    """Outlet that writes each event as one line.

    A line holds number, name and level of the event, the instance, the wall clock in
    nanoseconds, the monotonic clock in seconds and a sequence number, which preserves
    the order of a process when its wall clock jumps. Only plain values are written, so
    a message that is put into a field by mistake does not leak into the log.

    :param file: open text file.
    :param level: minimum level of the events to write.
    :param incarnation: distinguishes the runs of an instance.
    :param read_wall_ns: returns the wall clock in nanoseconds.
    :param read_monotonic: returns the monotonic clock in seconds.
    """

    def __init__(
        self,
        file: TextIO,
        *,
        instance: str,
        data_centre: str,
        level: str = "info",
        incarnation: str = "",
        read_wall_ns: Callable[[], int] = time.time_ns,
        read_monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._threshold = LEVELS.index(level)
        self._sequence = itertools.count(1)
        self._read_wall_ns = read_wall_ns
        self._read_monotonic = read_monotonic
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(file),
            processors=[
                structlog.processors.EventRenamer("name"),
                structlog.processors.JSONRenderer(sort_keys=False),
            ],
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            instance=instance,
            data_centre=data_centre,
            incarnation=incarnation,
        )

    def offer(self, message: object) -> bool:
        """Write an event; other messages are ignored."""
        if not isinstance(message, Event):
            return True
        kind = message.name.value
        if LEVELS.index(kind.level) < self._threshold:
            return True
        self._logger.msg(
            message.name.name.lower(),
            number=kind.number,
            level=kind.level,
            wall_ns=self._read_wall_ns(),
            monotonic_seconds=round(self._read_monotonic(), 6),
            sequence=next(self._sequence),
            **_make_plain_fields(message.fields),
        )
        return True


def open_event_logger(settings: "Settings") -> EventLogger:
    """Make the event logger of an instance.

    :raises OSError: when the log file cannot be opened.
    """
    file: TextIO = sys.stdout
    if settings.log_file:
        # Line buffering, so that a crash loses no complete line.
        file = open(settings.log_file, "a", buffering=1, encoding="utf-8")  # noqa: SIM115
    return EventLogger(
        file,
        instance=settings.name,
        data_centre=settings.data_centre,
        level=settings.log_level,
        incarnation=uuid.uuid4().hex,
    )


def _make_plain_fields(fields: Mapping[str, object]) -> dict[str, object]:
    """Drop forbidden fields, rename reserved ones and reduce values to plain ones."""
    return {
        f"subject_{name}" if name in RESERVED_FIELDS else name: _make_plain_value(value)
        for name, value in fields.items()
        if name not in FORBIDDEN_FIELDS
    }


def _make_plain_value(value: object) -> object:
    """Truncate long texts; replace a value that is not plain by its type name."""
    if isinstance(value, str):
        return str(value)[:MAX_TEXT_CHARACTERS]
    if isinstance(value, _PLAIN_TYPES):
        return value
    if isinstance(value, list | tuple):
        return [_make_plain_value(item) for item in value]
    return f"<{type(value).__name__}>"
