"""Log of one process: events as JSON lines."""

import sys
import time

import structlog

from .events import Event
from .settings import Settings

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Journal:
    """Writes events with the process's identity and clocks.

    :param logger: structlog logger that renders JSON lines.
    """

    def __init__(self, logger: structlog.types.FilteringBoundLogger) -> None:
        self._logger = logger
        self._sequence = 0

    def offer(self, message: object) -> bool:
        """Write an :class:`Event`."""
        if isinstance(message, Event):
            self._sequence += 1
            kind = message.name.value
            self._logger.log(
                _LEVELS[kind.level],
                message.name.name.lower(),
                number=kind.number,
                sequence=self._sequence,
                wall_ns=time.time_ns(),
                monotonic=time.monotonic(),
                **message.fields,
            )
        return True


def open_journal(settings: Settings) -> Journal:
    """Make the journal of an instance on standard output."""
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stdout),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS["info"]),
        instance=settings.name,
        data_centre=settings.data_centre,
    )
    return Journal(logger)
