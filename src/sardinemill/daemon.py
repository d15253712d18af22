"""Console script ``sardinemill-instance``: runs one proxy instance."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

from .adapters.clocks import SystemClock, SystemRandom
from .adapters.metrics_file import MetricsFile
from .adapters.peers import ZmqPeerLink
from .adapters.store import HttpStore
from .adapters.upstream import WebSocketConnector
from .composition import HttpInstance
from .errors import SettingsError
from .event_logger import open_event_logger
from .groups import Address
from .instance_adapters import InstanceAdapters
from .interfaces import Outlet
from .measurements import Measurements
from .settings import Settings, read_settings

EXIT_BAD_SETTINGS = 2


class ShutdownTrigger:
    """Outlet that starts the shutdown when an operator orders a drain."""

    def __init__(self, stop_requested: asyncio.Event) -> None:
        self._stop_requested = stop_requested

    def offer(self, message: object) -> bool:
        """Handle a :class:`~sardinemill.control.DrainOrdered`."""
        self._stop_requested.set()
        return True


def keep_adapters(adapters: InstanceAdapters, settings: Settings) -> InstanceAdapters:
    """Return the adapters unchanged."""
    return adapters


async def run_instance(
    settings: Settings,
    wrap_adapters: Callable[
        [InstanceAdapters, Settings], InstanceAdapters
    ] = keep_adapters,
) -> None:
    """Run an instance until SIGTERM or SIGINT, then drain it.

    :param wrap_adapters: may wrap the adapters, for example to add delays.
    :raises ExceptionGroup: with every failure of tasks and hooks.
    """
    clock, random_source = SystemClock(), SystemRandom()
    event_logger = open_event_logger(settings)
    store = HttpStore(settings.store_url, settings.data_centre)
    connector = WebSocketConnector(clock)

    def make_peer_link(receiver: Outlet) -> ZmqPeerLink:
        address = Address(settings.peer_host, settings.peer_port)
        return ZmqPeerLink(
            settings.name, address, receiver, clock, random_source, events=event_logger
        )

    stop_requested = asyncio.Event()
    metrics = MetricsFile(settings) if settings.metrics_file else None
    adapters = InstanceAdapters(
        clock=clock,
        random_source=random_source,
        store=store,
        connector=connector,
        events=event_logger,
        make_peer_link=make_peer_link,
        stop=ShutdownTrigger(stop_requested),
        components=(store, connector)
        if metrics is None
        else (metrics, store, connector),
        observer=None if metrics is None else Measurements(metrics, clock),
    )
    instance = HttpInstance(settings, wrap_adapters(adapters, settings))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await instance.application.start()
    _freeze_startup_objects()
    await instance.application.run_until(stop_requested)


def _freeze_startup_objects() -> None:
    """Exclude the objects made at start-up from later garbage collections.

    Full collections would otherwise traverse all loaded modules each time, which costs
    processor time and delays requests.
    """
    gc.collect()
    gc.freeze()


def run_main(
    wrap_adapters: Callable[
        [InstanceAdapters, Settings], InstanceAdapters
    ] = keep_adapters,
) -> None:
    """Run with settings from flags and environment; exit with 2 if they are invalid."""
    try:
        settings = read_settings(sys.argv[1:], os.environ)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(run_instance(settings, wrap_adapters))


def main() -> None:
    """Run the console script."""
    run_main()


if __name__ == "__main__":
    main()
