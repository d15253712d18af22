"""Console script ``sardinemill-instance``: one proxy instance."""

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


class StopOutlet:
    """Stops the process when an operator orders a drain."""

    def __init__(self, stopping: asyncio.Event) -> None:
        self._stopping = stopping

    def offer(self, message: object) -> bool:
        """Take a :class:`~sardinemill.control.DrainOrdered`."""
        self._stopping.set()
        return True


def keep_edges(edges: InstanceAdapters, settings: Settings) -> InstanceAdapters:
    """Use the adapters as they are."""
    return edges


async def run_instance(
    settings: Settings,
    change_edges: Callable[[InstanceAdapters, Settings], InstanceAdapters] = keep_edges,
) -> None:
    """Run an instance until SIGTERM or SIGINT, then drain it.

    :param change_edges: may put something between the instance and its adapters.
    :raises ExceptionGroup: with every failure of tasks and hooks.
    """
    clock, random_source = SystemClock(), SystemRandom()
    journal = open_event_logger(settings)
    store = HttpStore(settings.store_url, settings.data_centre)
    connector = WebSocketConnector(clock)

    def make_peer_link(sink: Outlet) -> ZmqPeerLink:
        address = Address(settings.peer_host, settings.peer_port)
        return ZmqPeerLink(
            settings.name, address, sink, clock, random_source, events=journal
        )

    stopping = asyncio.Event()
    metrics = MetricsFile(settings) if settings.metrics_file else None
    edges = InstanceAdapters(
        clock=clock,
        random_source=random_source,
        store=store,
        connector=connector,
        events=journal,
        make_peer_link=make_peer_link,
        stop=StopOutlet(stopping),
        components=(store, connector)
        if metrics is None
        else (metrics, store, connector),
        observer=None if metrics is None else Measurements(metrics, clock),
    )
    instance = HttpInstance(settings, change_edges(edges, settings))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await instance.application.start()
    _settle_collector()
    await instance.application.run_until(stopping)


def _settle_collector() -> None:
    """Keep the objects made at the start out of later collections.

    Full collections otherwise go over all modules again and again, which costs
    processor time and delays requests.
    """
    gc.collect()
    gc.freeze()


def run_main(
    change_edges: Callable[[InstanceAdapters, Settings], InstanceAdapters] = keep_edges,
) -> None:
    """Run with settings from flags and environment; exits with 2 on bad ones."""
    try:
        settings = read_settings(sys.argv[1:], os.environ)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(run_instance(settings, change_edges))


def main() -> None:
    """Entry point of the console script."""
    run_main()


if __name__ == "__main__":
    main()
