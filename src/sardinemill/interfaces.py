"""Protocols between filters and adapters: clock, store, peer link, databases."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .control import PeerEnvelope
from .groups import DatabaseDescription
from .members import InstanceInfo
from .messages import UpstreamCall, UpstreamResult
from .positions import LogPosition
from .replication import (
    AdmitRequest,
    DatabaseReport,
    FenceAnswer,
    FenceRequest,
    PromoteAnswer,
    PromoteRequest,
)


@dataclass(frozen=True, slots=True)
class Emission:
    """Message that a filter emits.

    :param outlet: outlet name, which the composition root binds to a stage or adapter.
    :param message: immutable message to deliver.
    """

    outlet: str
    message: object


class Filter(Protocol):
    """Decision logic of a stage; runs without input or output of its own.

    :ivar next_tick: monotonic seconds at which ``tick`` is due, or ``None``.
    """

    @property
    def next_tick(self) -> float | None: ...

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        """Handle one message and return the messages to emit.

        :param message: immutable message from the inbox.
        :param now: seconds on the monotonic clock.
        """
        ...

    def tick(self, now: float) -> Sequence[Emission]:
        """Handle timers that are due.

        :param now: seconds on the monotonic clock.
        """
        ...


class Outlet(Protocol):
    """Receiver that accepts messages without blocking."""

    def offer(self, message: object) -> bool:
        """Accept a message.

        :returns: ``False`` when the receiver is full; the sender refuses the request.
        """
        ...


class Clock(Protocol):
    """Monotonic clock."""

    def now(self) -> float:
        """Return the seconds since an arbitrary start; never decreases."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait for at least ``seconds``."""
        ...


class RandomSource(Protocol):
    """Source of random numbers for jitter and identifiers."""

    def random(self) -> float:
        """Return a number in ``[0, 1)``."""
        ...

    def make_id(self) -> str:
        """Return an identifier that is unique with high probability."""
        ...


class FrontEnd(Protocol):
    """Listener for callers; ``offer`` accepts the replies to their requests."""

    def offer(self, message: object) -> bool: ...

    async def start(self) -> None: ...

    async def drain(self) -> None:
        """Close the listener and finish the pending requests.

        The listener stays open until the load balancer has noticed the drain.
        """
        ...

    async def stop(self) -> None: ...


class PeerLink(Protocol):
    """Transport between instances.

    ``offer`` accepts a :class:`PeerEnvelope` to send, or a
    :class:`~sardinemill.members.MembershipChanged`, whose candidates become the peers.
    """

    def offer(self, message: object) -> bool: ...

    def set_peers(self, instances: Sequence[InstanceInfo]) -> None: ...

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


@dataclass(frozen=True, slots=True)
class StoreObject:
    """Versioned object of the platform's store.

    :param version: counts from 1; 0 means that the object does not exist.
    """

    name: str
    version: int
    value: bytes


class Store(Protocol):
    """Platform's object store.

    Every method raises :class:`~sardinemill.errors.StoreUnavailable` when the store
    does not answer; the effect of a put or delete is then unknown.
    """

    async def get(self, name: str) -> StoreObject: ...

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        """Write an object if it is still at the expected version.

        :param expected_version: 0 to create.
        :returns: the new version.
        :raises StoreConflict: when another version is current.
        """
        ...

    async def delete(self, name: str, *, expected_version: int) -> None: ...

    async def list_names(self, prefix: str) -> Sequence[str]: ...

    async def watch(
        self, name: str, *, after_version: int, timeout_seconds: float
    ) -> StoreObject:
        """Wait until the object has a version above ``after_version``.

        :returns: the current object, also after the time-out.
        """
        ...

    async def list_instances(self) -> Sequence[InstanceInfo]:
        """Return the live and leaving instances; the list may lag behind."""
        ...


class UpstreamConnection(Protocol):
    """Database connection, owned by one task that runs one call at a time."""

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        """Run a statement, or begin, commit or roll back a transaction.

        :raises UpstreamError: with the outcome *not run* only if that is certain.
        """
        ...

    async def close(self) -> None: ...


class ControlConnection(Protocol):
    """Control connection to a database; not counted by its connection limit."""

    async def report(
        self, *, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        """Request the role, term and log position.

        :param wait_for: the database answers once its log reaches this position or the
            term changes, at the latest after ``timeout_seconds``.
        :returns: the report, with the local times of request and receipt.
        """
        ...

    async def fence(self, request: FenceRequest) -> FenceAnswer: ...

    async def admit(self, request: AdmitRequest) -> DatabaseReport:
        """Allow a recovering database to vote again.

        :returns: the state after the request, as :meth:`report` does.
        """
        ...

    async def promote(self, request: PromoteRequest) -> PromoteAnswer: ...

    async def close(self) -> None: ...


class UpstreamConnector(Protocol):
    """Opens connections to databases."""

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> UpstreamConnection:
        """Open a connection.

        :raises UpstreamBusy: when the database is at its connection limit.
        :raises UpstreamUnavailable: when it does not answer.
        """
        ...

    async def connect_control(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> ControlConnection: ...


__all__ = [
    "Clock",
    "ControlConnection",
    "Emission",
    "Filter",
    "FrontEnd",
    "Outlet",
    "PeerEnvelope",
    "PeerLink",
    "RandomSource",
    "Store",
    "StoreObject",
    "UpstreamConnection",
    "UpstreamConnector",
]
