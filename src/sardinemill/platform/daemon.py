"""Main program of one instance on the platform."""

import asyncio
import gc
import os
import signal
import sys
import uuid
from typing import TextIO, cast

from ..adapters.clocks import BootClock, SystemRandom
from ..adapters.log_output import BackgroundWriter, EventRateLimiter
from ..adapters.peers import ZmqPeerLink
from ..errors import SettingsError
from ..event_logger import EventLogger
from ..events import Event, EventName
from ..fleet.views import Identity
from ..interfaces import Outlet
from ..session_composition import SessionInstance, SessionInstanceAdapters
from ..session_measurements import SessionMeasurements
from ..sessions.database_usage import GracePeriods, compute_grace_period
from .clients import ClientListener
from .metrics import make_metrics
from .probe_server import ProbeServer
from .promotion_client import PromotionClient
from .settings import PlatformSettings, read_platform_settings
from .store import PlatformStore, PlatformStoreTask
from .upstream_manager import UpstreamManager

EXIT_BAD_SETTINGS = 2
# A change of the settings file is detected within this time, also without SIGHUP.
SETTINGS_CHECK_SECONDS = 1.0


def make_instance(
    settings: PlatformSettings, events: Outlet, incarnation: str
) -> SessionInstance:
    """Return an instance that uses the platform's adapters.

    :param events: receives log events.
    :param incarnation: identifier of this run of the instance.
    """
    clock, random_source = BootClock(), SystemRandom()
    store = PlatformStore(settings.store_address)
    metrics = make_metrics(settings.instance, settings.data_centre)
    observer = SessionMeasurements(metrics, clock)
    identity = Identity(
        name=settings.instance,
        data_centre=settings.data_centre,
        address=settings.advertised_address,
        incarnation=incarnation,
        gateway_capacity=settings.gateway_capacity,
    )
    probes = ProbeServer(
        settings.ready_address,
        settings.metrics_address,
        lambda: instance.readiness.is_ready,
        metrics.format,
    )
    instance = SessionInstance(
        identity,
        SessionInstanceAdapters(
            clock=clock,
            random_source=random_source,
            events=events,
            make_store=lambda sink: PlatformStoreTask(
                store,
                sink,
                clock,
                events,
                has_evacuations=settings.evacuation_seconds > 0,
            ),
            make_peer_link=lambda sink: ZmqPeerLink(
                settings.instance,
                settings.peer_address,
                sink,
                clock,
                random_source,
                events=events,
            ),
            make_listener=lambda sink: ClientListener(
                settings.front_address,
                sink,
                clock,
                limits=settings.client_limits,
                events=events,
                observer=observer,
            ),
            make_upstreams=lambda sink, control: UpstreamManager(sink, control, clock),
            make_promotion_calls=lambda sink: PromotionClient(
                settings.promotion_address, sink, clock
            ),
            observer=observer,
            components=(store, probes, metrics),
        ),
        stop_seconds=settings.stop_seconds,
        tolerance=settings.rate_tolerance,
        client_limits=settings.client_limits,
        configuration_limit_seconds=settings.configuration_limit_seconds,
        grace_periods=GracePeriods(
            evacuation_seconds=compute_grace_period(settings.evacuation_seconds),
            leave_seconds=compute_grace_period(settings.leave_seconds),
        ),
    )
    return instance


async def run_instance(settings: PlatformSettings) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop it gracefully.

    :raises ExceptionGroup: with the errors of all tasks and life-cycle hooks.
    """
    incarnation = uuid.uuid4().hex[:12]
    writer = BackgroundWriter()
    await writer.start()
    event_logger = EventRateLimiter(
        EventLogger(
            cast(TextIO, writer),
            instance=settings.instance,
            data_centre=settings.data_centre,
            incarnation=incarnation,
        )
    )
    instance = make_instance(settings, event_logger, incarnation)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    reloader = SettingsReloader(settings, instance, event_logger)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await instance.application.start()
    event_logger.offer(Event(EventName.INSTANCE_STARTED, {"pid": os.getpid()}))
    gc.collect()
    # Excludes the objects of the loaded modules from later garbage collections.
    gc.freeze()
    reload_task = asyncio.create_task(reloader.run())
    try:
        await instance.application.run_until(stop_requested)
    finally:
        reload_task.cancel()
        event_logger.offer(Event(EventName.INSTANCE_STOPPED))
        writer.close()


class SettingsReloader:
    """Applies changes of the settings file while the instance runs."""

    def __init__(
        self, settings: PlatformSettings, instance: SessionInstance, events: Outlet
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._events = events

    async def run(self) -> None:
        """Check for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            self.reload(is_requested=False)

    def reload(self, is_requested: bool = True) -> None:
        """Read the settings file again and apply the stop time, if it changed.

        The other settings take effect after a restart.

        :param is_requested: whether to log the reload even without a change.
        """
        try:
            settings = read_platform_settings(os.environ)
        except SettingsError as error:
            event = Event(EventName.SETTINGS_REJECTED, {"reason": error.message})
            self._events.offer(event)
            return
        if settings == self._settings and not is_requested:
            return
        changed = [
            name
            for name in PlatformSettings.__dataclass_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._instance.stop.timeout_seconds = settings.stop_seconds
        event = Event(EventName.SETTINGS_RELOADED, {"changed": changed})
        self._events.offer(event)


def main() -> None:
    """Run the instance of this machine; exit with 2 on invalid settings."""
    try:
        settings = read_platform_settings(os.environ)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(run_instance(settings))
