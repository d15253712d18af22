"""Process of one instance on the platform."""

import asyncio
import gc
import os
import signal
import sys
import uuid
from typing import TextIO, cast

from ..adapters.clocks import BootClock, SystemRandom
from ..adapters.log_output import BackgroundWriter, LimitedEvents
from ..adapters.peers import ZmqPeerLink
from ..errors import SettingsError
from ..event_logger import EventLogger
from ..events import Event, EventName
from ..fleet.views import Identity
from ..interfaces import Outlet
from ..session_composition import SessionInstance, SessionInstanceAdapters
from ..session_measurements import SessionMeasurements
from .clients import ClientListener
from .metrics import format_metrics, make_metrics
from .probes import Probes
from .promotion import PromotionCalls
from .settings import PlatformSettings, read_platform_settings
from .store import PlatformStore, StoreTask
from .upstreams import Upstreams

EXIT_BAD_SETTINGS = 2
# A changed settings file is noticed within this time, also without a signal.
SETTINGS_CHECK_SECONDS = 1.0


def make_instance(
    settings: PlatformSettings, events: Outlet, incarnation: str
) -> SessionInstance:
    """Wire an instance to the platform's adapters."""
    clock, random_source = BootClock(), SystemRandom()
    store = PlatformStore(settings.store_address)
    metrics = make_metrics(settings.instance, settings.data_centre)
    identity = Identity(
        name=settings.instance,
        data_centre=settings.data_centre,
        address=settings.advertised_address,
        incarnation=incarnation,
    )
    probes = Probes(
        settings.ready_address,
        settings.metrics_address,
        lambda: instance.readiness.is_ready,
        format_metrics,
    )
    instance = SessionInstance(
        identity,
        SessionInstanceAdapters(
            clock=clock,
            random_source=random_source,
            events=events,
            make_store=lambda sink: StoreTask(store, sink, clock, events),
            make_peer_link=lambda sink: ZmqPeerLink(
                settings.instance,
                settings.peer_address,
                sink,
                clock,
                random_source,
                events=events,
            ),
            make_listener=lambda sink: ClientListener(settings.front_address, sink),
            make_upstreams=lambda sink, control: Upstreams(sink, control, clock),
            make_promotion_calls=lambda sink: PromotionCalls(
                settings.promotion_address, sink, clock
            ),
            observer=SessionMeasurements(metrics, clock),
            components=(store, probes),
        ),
        stop_seconds=settings.stop_seconds,
    )
    return instance


async def run_instance(settings: PlatformSettings) -> None:
    """Run an instance until SIGTERM, then stop it gracefully.

    :raises ExceptionGroup: with every failure of tasks and hooks.
    """
    incarnation = uuid.uuid4().hex[:12]
    writer = BackgroundWriter()
    await writer.start()
    journal = LimitedEvents(
        EventLogger(
            cast(TextIO, writer),
            instance=settings.instance,
            data_centre=settings.data_centre,
            incarnation=incarnation,
        )
    )
    instance = make_instance(settings, journal, incarnation)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    reloader = SettingsReloader(settings, instance, journal)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await instance.application.start()
    journal.offer(Event(EventName.INSTANCE_STARTED, {"pid": os.getpid()}))
    gc.collect()
    # Later collections need not look at the modules again.
    gc.freeze()
    watching = asyncio.create_task(reloader.run())
    try:
        await instance.application.run_until(stopping)
    finally:
        watching.cancel()
        journal.offer(Event(EventName.INSTANCE_STOPPED))
        writer.close()


class SettingsReloader:
    """Reads the settings file again when it has changed."""

    def __init__(
        self, settings: PlatformSettings, instance: SessionInstance, events: Outlet
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._events = events

    async def run(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            self.reload(is_asked=False)

    def reload(self, is_asked: bool = True) -> None:
        """Apply what may change while running: the time to stop."""
        try:
            settings = read_platform_settings(os.environ)
        except SettingsError as error:
            event = Event(EventName.SETTINGS_REJECTED, {"reason": error.message})
            self._events.offer(event)
            return
        if settings == self._settings and not is_asked:
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
    """Entry point; exits with 2 on bad settings."""
    try:
        settings = read_platform_settings(os.environ)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(run_instance(settings))
