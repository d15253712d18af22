"""Composition root of an instance that serves sessions."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .application import Application, Component, TaskComponent
from .events import Event, EventName
from .fleet.failover import PrimaryFailover
from .fleet.messages import FleetAnswer, FleetQuestion, TokenGrant, TokenRequest
from .fleet.rate_tolerance import DEFAULT_TOLERANCE, RateTolerance
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
from .sessions.client_limits import DEFAULT_CLIENT_LIMITS, ClientLimits
from .sessions.database_usage import DEFAULT_GRACE_PERIODS, GracePeriods
from .sessions.gateway import Gateway
from .sessions.gateway_messages import (
    ForwardedStatementsInProgress,
    GatewayGreeting,
    GatewayOutcome,
    GatewayStatement,
    GatewayWelcome,
    GatewayWithdrawal,
)
from .sessions.manager import SessionManager
from .sessions.messages import DrainStarted, SessionsEnding
from .sessions.placement import Placement

# Fraction of the shutdown time-out in which open transactions may still complete.
TRANSACTION_DRAIN_FRACTION = 0.5
# Fraction of the shutdown time-out after which sessions in a transaction are closed.
SESSION_DRAIN_FRACTION = 0.8
# Fractions of the shutdown time-out: latest deadline of requests that arrive during the
# drain; when requests without an answer get an error; until when answers are sent. The
# rest is for the stop of the other components.
REQUEST_DRAIN_FRACTION = 0.88
ANSWER_DRAIN_FRACTION = 0.93
SEND_DRAIN_FRACTION = 0.97
# The load balancer probes readiness once a second and stops sending new sessions after
# two failed probes.
BALANCER_REACTION_SECONDS = 2.2
# Idle sessions are closed one after the other over this time, so that their clients do
# not reconnect all at once; at most over this fraction of the shutdown time-out.
IDLE_CLOSE_SECONDS = 1.5
IDLE_CLOSE_FRACTION = 0.25
DRAIN_POLL_SECONDS = 0.1


class OutletComponent(Outlet, Component, Protocol):
    """Adapter with a life cycle that accepts messages."""


class ListenerComponent(OutletComponent, Protocol):
    """Listener for the sessions of clients.

    :ivar n_sessions: number of open sessions.
    :ivar n_unanswered: number of sessions with an unanswered request or an unsent
        answer.
    """

    @property
    def n_sessions(self) -> int: ...

    @property
    def n_unanswered(self) -> int: ...

    async def close_idle(self, seconds: float) -> None:
        """Close the sessions that are idle, spread evenly over a time."""
        ...

    def end_sessions(self, *, with_transactions: bool = False) -> None:
        """Close each session as soon as it is idle; answer requests that have arrived.

        :param with_transactions: close also those in a transaction once their last
            request is answered.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionInstanceAdapters:
    """Adapters of one instance, or functions that make them from their outlets.

    :param observer: receives copies of the messages that metrics count.
    :param make_upstreams: takes the outlet for the results of statements and the one
        for answers on control connections.
    :param components: adapters with a life cycle, started before all other components.
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
    """Outlet that tracks whether the load balancer should send new sessions."""

    def __init__(self) -> None:
        self._is_synchronized = False
        self._is_leaving = False
        self._is_isolated = False

    def offer(self, message: object) -> bool:
        """Update the readiness; messages of other types are ignored."""
        if isinstance(message, InitialSyncCompleted):
            self._is_synchronized = True
        elif isinstance(message, IsolationChanged):
            self._is_isolated = message.is_isolated
        elif isinstance(message, DrainStarted):
            self._is_leaving = True
        return True

    @property
    def is_ready(self) -> bool:
        """Whether the instance is synchronized, not isolated and not draining."""
        return self._is_synchronized and not self._is_isolated and not self._is_leaving


class RunningFailovers:
    """Outlet that tracks how many failovers this instance carries out."""

    def __init__(self) -> None:
        self.n_failovers = 0

    def offer(self, message: object) -> bool:
        """Handle :class:`FailoversInProgress`; other messages are ignored."""
        if isinstance(message, FailoversInProgress):
            self.n_failovers = message.n_failovers
        return True


class RunningForwards:
    """Outlet that tracks how many forwarded statements the gateway has to answer."""

    def __init__(self) -> None:
        self.n_statements = 0

    def offer(self, message: object) -> bool:
        """Handle :class:`ForwardedStatementsInProgress`; ignore other messages."""
        if isinstance(message, ForwardedStatementsInProgress):
            self.n_statements = message.n_statements
        return True


class GracefulSessionShutdown:
    """Component whose drain ends all sessions within the shutdown time-out.

    :param running_failovers: failovers to complete, as far as the time-out allows.
    :param running_forwards: statements of other instances that the gateway runs.
    :param drain_announcement: receives :class:`DrainStarted` and
        :class:`SessionsEnding`.
    :param events: receives log events.
    :param timeout_seconds: time from the start of the drain until the process is
        killed.
    """

    def __init__(
        self,
        listener: ListenerComponent,
        running_failovers: RunningFailovers,
        running_forwards: RunningForwards,
        drain_announcement: Outlet,
        clock: Clock,
        events: Outlet,
        timeout_seconds: float,
    ) -> None:
        self._listener = listener
        self._running_failovers = running_failovers
        self._running_forwards = running_forwards
        self._drain_announcement = drain_announcement
        self._clock = clock
        self._events = events
        self.timeout_seconds = timeout_seconds

    async def start(self) -> None:
        """Do nothing: there is no resource to acquire."""

    async def drain(self) -> None:
        """Announce the drain, then close sessions as they become idle.

        The first sessions are closed when the load balancer has noticed the drain, so
        that clients reconnect to another instance, or after half of the time-out. They
        are spread over some time; after that each session is closed with the answer
        that leaves it idle. Returns once no session, no failover and no forwarded
        statement is left. After ``SESSION_DRAIN_FRACTION`` of the time-out it awaits
        only the answers to the requests that were read. Those that get none until
        ``ANSWER_DRAIN_FRACTION`` are answered with an error then, so that none is cut
        off.
        """
        started_at = self._clock.now()
        timeout = self.timeout_seconds
        self._log(EventName.DRAIN_STARTED, timeout_seconds=timeout)
        self._drain_announcement.offer(
            DrainStarted(
                transactions_end_at=started_at + timeout * TRANSACTION_DRAIN_FRACTION,
                requests_end_at=started_at + timeout * REQUEST_DRAIN_FRACTION,
                answers_end_at=started_at + timeout * ANSWER_DRAIN_FRACTION,
            )
        )
        await self._clock.sleep(min(BALANCER_REACTION_SECONDS, timeout / 2))
        await self._listener.close_idle(
            min(IDLE_CLOSE_SECONDS, timeout * IDLE_CLOSE_FRACTION)
        )
        self._drain_announcement.offer(SessionsEnding())
        self._listener.end_sessions()
        await self._wait_while(
            lambda: bool(
                self._listener.n_sessions
                or self._running_failovers.n_failovers
                or self._running_forwards.n_statements
            ),
            started_at + timeout * SESSION_DRAIN_FRACTION,
        )
        self._listener.end_sessions(with_transactions=True)
        # A request that has been received and not handled is not known as unanswered
        # yet, so that this also waits for sessions without one. They end at once.
        await self._wait_while(
            lambda: bool(
                self._listener.n_sessions or self._running_forwards.n_statements
            ),
            started_at + timeout * SEND_DRAIN_FRACTION,
        )
        seconds = round(self._clock.now() - started_at, 3)
        self._log(EventName.DRAIN_FINISHED, seconds=seconds)

    async def _wait_while(self, condition: Callable[[], bool], end: float) -> None:
        """Wait while a condition holds, at most until a time on the clock."""
        while (seconds_left := end - self._clock.now()) > 0 and condition():
            await self._clock.sleep(min(DRAIN_POLL_SECONDS, seconds_left))

    def _log(self, name: EventName, **fields: float) -> None:
        loads = {
            "n_sessions": self._listener.n_sessions,
            "n_unanswered": self._listener.n_unanswered,
            "n_failovers": self._running_failovers.n_failovers,
            "n_forwarded": self._running_forwards.n_statements,
        }
        self._events.offer(Event(name, {**fields, **loads}))

    async def stop(self) -> None:
        """Do nothing: there is no resource to release."""


class IsolatedSessionCloser:
    """Component that closes idle sessions of an isolated instance.

    An instance is isolated when a partition has cost it its primary leases. The
    component first waits until the load balancer has noticed the isolation, so that
    clients reconnect to another instance. A shorter isolation closes nothing.
    """

    def __init__(self, listener: ListenerComponent, clock: Clock) -> None:
        self._listener = listener
        self._clock = clock
        self._isolated = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def offer(self, message: object) -> bool:
        """Handle :class:`IsolationChanged`; other messages are ignored."""
        if isinstance(message, IsolationChanged):
            if message.is_isolated:
                self._isolated.set()
            else:
                self._isolated.clear()
        return True

    async def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run(), name="isolated session closer")

    async def drain(self) -> None:
        """Do nothing: the graceful shutdown closes idle sessions too."""

    async def stop(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._isolated.wait()
            await self._clock.sleep(BALANCER_REACTION_SECONDS)
            if self._isolated.is_set():
                await self._listener.close_idle(IDLE_CLOSE_SECONDS)


class SessionInstance:
    """Connected filters and adapters of one instance.

    :param stop_seconds: time from the stop signal until the process is killed.
    :param tolerance: of the rate limits.
    :param grace_periods: for work at databases that are about to get none.
    :param client_limits: of what clients may make the instance hold.
    :param configuration_limit_seconds: time within which a configuration has to be in
        force after its acknowledgement.
    """

    def __init__(
        self,
        identity: Identity,
        adapters: SessionInstanceAdapters,
        *,
        stop_seconds: float,
        tolerance: RateTolerance = DEFAULT_TOLERANCE,
        grace_periods: GracePeriods = DEFAULT_GRACE_PERIODS,
        client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS,
        configuration_limit_seconds: float = math.inf,
    ) -> None:
        self._clock = adapters.clock
        self._events = adapters.events
        state = self._make_stage(
            "state",
            FleetState(identity, adapters.random_source, configuration_limit_seconds),
        )
        failover = self._make_stage("failover", PrimaryFailover(identity.name))
        lending = self._make_stage(
            "token lender", TokenLender(identity.name, tolerance)
        )
        session_manager = self._make_stage(
            "session manager",
            SessionManager(client_limits.state_bytes, configuration_limit_seconds),
        )
        admission = self._make_stage("admission", Admission(identity.name, tolerance))
        placement = self._make_stage(
            "placement",
            Placement(
                identity.data_centre,
                identity.name,
                identity,
                grace_periods,
                client_limits.n_database_connections,
            ),
        )
        gateway = self._make_stage(
            "gateway",
            Gateway(
                identity.data_centre,
                grace_periods,
                client_limits.n_gateway_connections,
            ),
        )
        self.readiness = Readiness()
        observer = adapters.observer
        store = adapters.make_store(FanOut([state, observer]))
        peers = adapters.make_peer_link(
            EnvelopeRouter(
                {
                    FleetQuestion: state,
                    FleetAnswer: state,
                    TokenRequest: lending,
                    TokenGrant: admission,
                    GatewayGreeting: gateway,
                    GatewayStatement: gateway,
                    GatewayWithdrawal: gateway,
                    GatewayOutcome: placement,
                    GatewayWelcome: placement,
                }
            )
        )
        listener = adapters.make_listener(session_manager)
        session_closer = IsolatedSessionCloser(listener, adapters.clock)
        upstreams = adapters.make_upstreams(placement, failover)
        gateway_upstreams = adapters.make_upstreams(gateway, failover)
        promotion_client = adapters.make_promotion_calls(failover)
        state.bind(
            {
                "store": store,
                "peers": peers,
                "links": peers,
                "routes": FanOut(
                    [
                        session_manager,
                        admission,
                        lending,
                        placement,
                        gateway,
                        observer,
                    ]
                ),
                "directory": FanOut([placement, gateway, failover]),
                "record": FanOut([placement, failover, lending, observer]),
                "positions": placement,
                "contacts": failover,
                "coordination": failover,
                "coordinators": FanOut([admission, placement]),
                "gateways": placement,
                "known": self.readiness,
                "isolation": FanOut([self.readiness, session_closer]),
                "evidence": FanOut([session_manager, observer]),
            }
        )
        running_failovers = RunningFailovers()
        failover.bind(
            {
                "proposals": state,
                "running": FanOut([state, running_failovers]),
                "databases": upstreams,
                "platform": promotion_client,
            }
        )
        lending.bind({"peers": peers})
        session_manager.bind(
            {
                "next": admission,
                "client": listener,
                "abandoned": placement,
                "refused": observer,
            }
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
                "peers": peers,
                "seen": state,
            }
        )
        running_forwards = RunningForwards()
        gateway.bind(
            {
                "running": running_forwards,
                "connections": gateway_upstreams,
                "peers": peers,
                "introductions": state,
                "seen": state,
            }
        )
        stages = (
            state,
            failover,
            lending,
            session_manager,
            admission,
            placement,
            gateway,
        )
        for stage in stages:
            stage.bind({"events": adapters.events})
        drain_announcement = FanOut(
            [self.readiness, failover, state, session_manager, gateway]
        )
        self.stop = GracefulSessionShutdown(
            listener,
            running_failovers,
            running_forwards,
            drain_announcement,
            adapters.clock,
            adapters.events,
            stop_seconds,
        )
        self.application = Application(
            [
                self.stop,
                *adapters.components,
                store,
                peers,
                upstreams,
                gateway_upstreams,
                promotion_client,
                *(TaskComponent(stage.name, stage) for stage in stages),
                listener,
                session_closer,
            ]
        )

    def _make_stage(self, name: str, stage_filter: Filter) -> Stage:
        return Stage(name, stage_filter, self._clock, on_unbound=self._report_unbound)

    def _report_unbound(self, emission: Emission) -> None:
        fields = {"outlet": emission.outlet, "kind": type(emission.message).__name__}
        self._events.offer(Event(EventName.OUTLET_UNBOUND, fields))
