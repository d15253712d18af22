"""Composition root of an instance that serves sessions with the fleet's filters."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .application import Application, Component, TaskComponent
from .events import Event, EventName
from .fleet.failover import PrimaryFailover
from .fleet.messages import FleetAnswer, FleetQuestion, TokenGrant, TokenRequest
from .fleet.state import FleetState
from .fleet.tokens import TokenLender
from .fleet.views import (
    FailoversInProgress,
    Identity,
    InitialSyncCompleted,
    IsolationChanged,
)
from .instance_adapters import PeerLinkComponent
from .interfaces import Clock, Emission, Filter, Outlet, RandomSource
from .outlets import EnvelopeRouter, FanOut
from .pipeline import Stage
from .sessions.admission import Admission
from .sessions.manager import SessionManager
from .sessions.messages import DrainStarted
from .sessions.placement import Placement

# Part of the time to stop in which open transactions may end by themselves.
TRANSACTION_FRACTION = 0.5
# Part of the time to stop after which sessions that are still busy are cut.
LAST_FRACTION = 0.8
# The balancer stops sending new sessions after two probes, one a second.
BALANCER_SECONDS = 2.2
DRAIN_CHECK_SECONDS = 0.1


class OutletComponent(Outlet, Component, Protocol):
    """Adapter with a life cycle that takes messages."""


class ListenerComponent(OutletComponent, Protocol):
    """Listener for clients."""

    @property
    def n_busy(self) -> int: ...

    @property
    def n_sessions(self) -> int: ...

    async def close_idle(self) -> None: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionInstanceAdapters:
    """Adapters of one instance; each is made with the outlet it reports to.

    :param observer: receives copies of the messages that are measured.
    :param make_upstreams: takes the outlet for sessions and the one for control.
    :param parts: adapters with a life cycle, started before everything else.
    """

    clock: Clock
    random_source: RandomSource
    events: Outlet
    make_store: Callable[[Outlet], OutletComponent]
    make_peer_link: Callable[[Outlet], PeerLinkComponent]
    make_listener: Callable[[Outlet], ListenerComponent]
    make_upstreams: Callable[[Outlet, Outlet], OutletComponent]
    make_promotion_calls: Callable[[Outlet], OutletComponent]
    observer: Outlet
    components: tuple[Component, ...] = ()


class Readiness:
    """Whether the balancer should send new sessions here."""

    def __init__(self) -> None:
        self._is_known = False
        self._is_leaving = False
        self._is_isolated = False

    def offer(self, message: object) -> bool:
        """Take what decides about readiness; other messages change nothing."""
        if isinstance(message, InitialSyncCompleted):
            self._is_known = True
        elif isinstance(message, IsolationChanged):
            self._is_isolated = message.is_isolated
        elif isinstance(message, DrainStarted):
            self._is_leaving = True
        return True

    @property
    def is_ready(self) -> bool:
        """The instance knows what it needs, is not cut off and not leaving."""
        return self._is_known and not self._is_isolated and not self._is_leaving


class RunningChanges:
    """Whether this instance carries out changes of primaries."""

    def __init__(self) -> None:
        self.n_failovers = 0

    def offer(self, message: object) -> bool:
        """Take :class:`FailoversInProgress`."""
        if isinstance(message, FailoversInProgress):
            self.n_failovers = message.n_failovers
        return True


class GracefulStop:
    """Part whose drain ends the sessions within the time to stop.

    :param changes: are carried through as far as the time allows.
    :param announce: receives :class:`DrainStarted`.
    """

    def __init__(
        self,
        listener: ListenerComponent,
        changes: RunningChanges,
        announce: Outlet,
        clock: Clock,
        seconds: float,
    ) -> None:
        self._listener = listener
        self._changes = changes
        self._announce = announce
        self._clock = clock
        self.seconds = seconds

    async def start(self) -> None:
        """Nothing to acquire."""

    async def drain(self) -> None:
        """Let requests and transactions end, then close sessions that are idle."""
        began_at = self._clock.now()
        transactions_end_at = began_at + self.seconds * TRANSACTION_FRACTION
        self._announce.offer(DrainStarted(transactions_end_at))
        await self._clock.sleep(min(BALANCER_SECONDS, self.seconds / 2))
        last = began_at + self.seconds * LAST_FRACTION
        while self._clock.now() < last:
            await self._listener.close_idle()
            if self._listener.n_sessions == 0 and self._changes.n_failovers == 0:
                return
            await self._clock.sleep(DRAIN_CHECK_SECONDS)

    async def stop(self) -> None:
        """Nothing to release."""


class IsolationRelief:
    """Part that closes idle sessions while the instance is cut off from the others.

    They open again where the balancer sends them, which is elsewhere by then.
    """

    def __init__(self, listener: ListenerComponent, clock: Clock) -> None:
        self._listener = listener
        self._clock = clock
        self._isolated = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def offer(self, message: object) -> bool:
        """Take :class:`IsolationChanged`."""
        if isinstance(message, IsolationChanged):
            if message.is_isolated:
                self._isolated.set()
            else:
                self._isolated.clear()
        return True

    async def start(self) -> None:
        """Start to watch."""
        self._task = asyncio.create_task(self._run(), name="isolation relief")

    async def drain(self) -> None:
        """Nothing to do: the stop closes idle sessions too."""

    async def stop(self) -> None:
        """Stop to watch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._isolated.wait()
            await self._clock.sleep(BALANCER_SECONDS)
            if self._isolated.is_set():
                await self._listener.close_idle()


class SessionInstance:
    """All filters and adapters of one instance.

    :param stop_seconds: time from the order to stop until the process is killed.
    """

    def __init__(
        self, identity: Identity, edges: SessionInstanceAdapters, *, stop_seconds: float
    ) -> None:
        self._clock = edges.clock
        self._events = edges.events
        state = self._make_stage("state", FleetState(identity, edges.random_source))
        promotion = self._make_stage("promotion", PrimaryFailover(identity.name))
        lending = self._make_stage("lending", TokenLender(identity.name))
        session_manager = self._make_stage("conversations", SessionManager())
        admission = self._make_stage("admission", Admission())
        placement = self._make_stage("placement", Placement(identity.data_centre))
        self.readiness = Readiness()
        observer = edges.observer
        store = edges.make_store(FanOut([state, observer]))
        peers = edges.make_peer_link(
            EnvelopeRouter(
                {
                    FleetQuestion: state,
                    FleetAnswer: state,
                    TokenRequest: lending,
                    TokenGrant: admission,
                }
            )
        )
        listener = edges.make_listener(session_manager)
        relief = IsolationRelief(listener, edges.clock)
        upstreams = edges.make_upstreams(placement, promotion)
        promotion_calls = edges.make_promotion_calls(promotion)
        state.bind(
            {
                "store": store,
                "peers": peers,
                "links": peers,
                "routes": FanOut(
                    [session_manager, admission, lending, placement, observer]
                ),
                "directory": FanOut([placement, promotion]),
                "record": FanOut([placement, promotion, lending, observer]),
                "positions": placement,
                "contacts": promotion,
                "coordination": promotion,
                "coordinators": FanOut([admission, placement]),
                "known": self.readiness,
                "isolation": FanOut([self.readiness, relief]),
            }
        )
        changes = RunningChanges()
        promotion.bind(
            {
                "proposals": state,
                "running": FanOut([state, changes]),
                "databases": upstreams,
                "platform": promotion_calls,
            }
        )
        lending.bind({"peers": peers})
        session_manager.bind(
            {"next": admission, "client": listener, "abandoned": placement}
        )
        admission.bind(
            {
                "next": placement,
                "result": FanOut([session_manager, observer]),
                "peers": peers,
            }
        )
        placement.bind(
            {
                "connections": upstreams,
                "result": FanOut([session_manager, admission, observer]),
                "seen": state,
            }
        )
        stages = (state, promotion, lending, session_manager, admission, placement)
        for stage in stages:
            stage.bind({"events": edges.events})
        announce = FanOut([self.readiness, promotion, state, session_manager])
        self.stop = GracefulStop(listener, changes, announce, edges.clock, stop_seconds)
        self.application = Application(
            [
                self.stop,
                *edges.components,
                store,
                peers,
                upstreams,
                promotion_calls,
                *(TaskComponent(stage.name, stage) for stage in stages),
                listener,
                relief,
            ]
        )

    def _make_stage(self, name: str, step: Filter) -> Stage:
        return Stage(name, step, self._clock, on_unbound=self._report_unbound)

    def _report_unbound(self, emission: Emission) -> None:
        fields = {"outlet": emission.outlet, "kind": type(emission.message).__name__}
        self._events.offer(Event(EventName.OUTLET_UNBOUND, fields))
