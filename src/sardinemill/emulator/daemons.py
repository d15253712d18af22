"""Command line, logging and run loop that the stand-in daemons share."""

import asyncio
import inspect
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence

import defopt
import structlog

from ..application import Application, Component
from ..errors import SettingsError
from ..events import Event, EventName
from ..groups import Address


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    :raises SettingsError: when the text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise SettingsError(f"{text!r} is not host:port", step="start")
    return Address(host, int(port))


def add_environment(
    function: Callable[..., None],
    prefix: str,
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> list[str]:
    """Prepend the flags that environment variables set to the command line.

    :param prefix: a flag ``--some-flag`` is read from ``<prefix>SOME_FLAG``; lists are
        separated by commas.
    """
    result: list[str] = []
    for name, parameter in inspect.signature(function).parameters.items():
        flag = "--" + name.replace("_", "-")
        value = environment.get(prefix + name.upper())
        if value is None:
            continue
        if parameter.annotation is bool:
            is_set = value.lower() in ("1", "true", "yes")
            result.append(flag if is_set else flag.replace("--", "--no-", 1))
        elif parameter.default == ():
            result += [flag, *filter(None, value.split(","))]
        else:
            result.append(f"{flag}={value}")
    # The last of two equal flags counts, so the command line takes precedence.
    return [*result, *arguments]


def run_main(function: Callable[..., None], prefix: str) -> None:
    """Run a daemon with flags from the command line and the environment.

    Exits with status 2 when the settings are invalid.
    """
    arguments = add_environment(function, prefix, sys.argv[1:], os.environ)
    try:
        defopt.run(function, argv=arguments)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        sys.exit(2)


def log_event(event: Event) -> None:
    """Write an event as one JSON line to standard error."""
    kind = event.name.value
    logger = structlog.get_logger()
    logger.log(
        {"debug": 10, "info": 20, "warning": 30, "error": 40}[kind.level],
        event.name.name.lower(),
        number=kind.number,
        **event.fields,
    )


def configure_log() -> None:
    """Configure structlog to write JSON lines to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


async def serve(
    component: Component, describe: Callable[[], Mapping[str, object]]
) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    :param component: server to start, drain and stop.
    :param describe: returns the fields of the start event once the stand-in listens.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    application = Application([component])
    await application.start()
    log_event(Event(EventName.STAND_IN_STARTED, describe()))
    await application.run_until(stopping)
    log_event(Event(EventName.STAND_IN_STOPPED))
