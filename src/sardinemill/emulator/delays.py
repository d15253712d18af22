"""Simulated network delay between data centres, for instances on one machine."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from ..control import PeerEnvelope
from ..groups import DatabaseDescription
from ..instance_adapters import InstanceAdapters, PeerLinkComponent
from ..interfaces import (
    Clock,
    ControlConnection,
    Outlet,
    UpstreamConnection,
    UpstreamConnector,
)
from ..members import InstanceInfo, MembershipChanged
from ..messages import UpstreamCall, UpstreamResult
from ..positions import LogPosition
from ..replication import (
    AdmitRequest,
    DatabaseReport,
    FenceAnswer,
    FenceRequest,
    PromoteAnswer,
    PromoteRequest,
)


class DelayedPeerLink:
    """Peer link that sends to other data centres after a delay.

    Messages to all peers (``*``) are not split, so local peers get them late,
    too.

    :param delay_seconds: one-way delay.
    """

    def __init__(
        self, link: PeerLinkComponent, data_centre: str, delay_seconds: float
    ) -> None:
        self._link = link
        self._data_centre = data_centre
        self._delay_seconds = delay_seconds
        self._local_peers: set[str] = set()

    def offer(self, message: object) -> bool:
        """Accept an envelope or a change of membership."""
        if isinstance(message, MembershipChanged):
            self.set_peers(message.candidates)
            return self._link.offer(message)
        if isinstance(message, PeerEnvelope) and message.peer not in self._local_peers:
            loop = asyncio.get_running_loop()
            loop.call_later(self._delay_seconds, self._link.offer, message)
            return True
        return self._link.offer(message)

    def set_peers(self, instances: Sequence[InstanceInfo]) -> None:
        """Record which peers are in this data centre."""
        self._local_peers = {
            item.name for item in instances if item.data_centre == self._data_centre
        }

    async def start(self) -> None:
        await self._link.start()

    async def drain(self) -> None:
        await self._link.drain()

    async def stop(self) -> None:
        # Messages that are still delayed reach the link before it stops.
        await asyncio.sleep(self._delay_seconds)
        await self._link.stop()


class DelayedConnection:
    """Connection to a database in another data centre.

    :param delay_seconds: one-way delay, added before and after each call.
    """

    def __init__(
        self, connection: UpstreamConnection, clock: Clock, delay_seconds: float
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._delay_seconds = delay_seconds

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        await self._clock.sleep(self._delay_seconds)
        result = await self._connection.run(call)
        await self._clock.sleep(self._delay_seconds)
        return result

    async def close(self) -> None:
        await self._connection.close()


class DelayedControlConnection:
    """Control connection to a database in another data centre.

    The times of a report are those of the whole call, with the delay both ways.

    :param delay_seconds: one-way delay, added before and after each call.
    """

    def __init__(
        self, control: ControlConnection, clock: Clock, delay_seconds: float
    ) -> None:
        self._control = control
        self._clock = clock
        self._delay_seconds = delay_seconds

    async def report(
        self, *, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        asked_at = self._clock.now()
        await self._clock.sleep(self._delay_seconds)
        report = await self._control.report(
            wait_for=wait_for, timeout_seconds=timeout_seconds
        )
        await self._clock.sleep(self._delay_seconds)
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def fence(self, request: FenceRequest) -> FenceAnswer:
        await self._clock.sleep(self._delay_seconds)
        answer = await self._control.fence(request)
        await self._clock.sleep(self._delay_seconds)
        return answer

    async def admit(self, request: AdmitRequest) -> DatabaseReport:
        asked_at = self._clock.now()
        await self._clock.sleep(self._delay_seconds)
        report = await self._control.admit(request)
        await self._clock.sleep(self._delay_seconds)
        return replace(report, asked_at=asked_at, received_at=self._clock.now())

    async def promote(self, request: PromoteRequest) -> PromoteAnswer:
        await self._clock.sleep(self._delay_seconds)
        answer = await self._control.promote(request)
        await self._clock.sleep(self._delay_seconds)
        return answer

    async def close(self) -> None:
        await self._control.close()


class DelayedConnector:
    """Connector whose connections to other data centres delay each call.

    Opening a connection and closing it are not delayed.
    """

    def __init__(
        self,
        connector: UpstreamConnector,
        clock: Clock,
        data_centre: str,
        delay_seconds: float,
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._data_centre = data_centre
        self._delay_seconds = delay_seconds

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> UpstreamConnection:
        connection = await self._connector.connect(
            database, timeout_seconds=timeout_seconds
        )
        if database.data_centre == self._data_centre:
            return connection
        return DelayedConnection(connection, self._clock, self._delay_seconds)

    async def connect_control(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> ControlConnection:
        control = await self._connector.connect_control(
            database, timeout_seconds=timeout_seconds
        )
        if database.data_centre == self._data_centre:
            return control
        return DelayedControlConnection(control, self._clock, self._delay_seconds)


def add_delays(
    adapters: InstanceAdapters, data_centre: str, delay_seconds: float
) -> InstanceAdapters:
    """Return adapters that delay peer messages and calls to databases.

    Only traffic to other data centres is delayed; calls to the store are not.

    :param data_centre: data centre of the instance.
    :param delay_seconds: one-way delay.
    """

    def make_peer_link(sink: Outlet) -> PeerLinkComponent:
        return DelayedPeerLink(
            adapters.make_peer_link(sink), data_centre, delay_seconds
        )

    connector = DelayedConnector(
        adapters.connector, adapters.clock, data_centre, delay_seconds
    )
    return replace(adapters, connector=connector, make_peer_link=make_peer_link)
