"""Protocols at the edges of the decisions. Adapters implement them."""

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
    """Message on its way out of a filter.

    :param outlet: name that the composition root binds to an inbox or an adapter.
    :param message: frozen message to hand on.
    """

    outlet: str
    message: object


class Filter(Protocol):
    """Decision that a stage runs.

    :ivar next_tick: seconds on the monotonic clock at which ``tick`` is due, or
        ``None``.
    """

    @property
    def next_tick(self) -> float | None: ...

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        """Take one message and return what follows from it.

        :param message: frozen message from the inbox.
        :param now: seconds on the monotonic clock.
        """
        ...

    def tick(self, now: float) -> Sequence[Emission]:
        """Act on time that has passed.

        :param now: seconds on the monotonic clock.
        """
        ...


class Outlet(Protocol):
    """Anything that accepts messages without blocking."""

    def offer(self, message: object) -> bool:
        """Accept a message.

        :returns: ``False`` when there is no room; the sender then refuses the request.
        """
        ...


class Clock(Protocol):
    """Monotonic clock."""

    def now(self) -> float:
        """Seconds since an arbitrary start; never goes back."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait for at least ``seconds``."""
        ...


class RandomSource(Protocol):
    """Source of random numbers for jitter and identifiers."""

    def random(self) -> float:
        """Number in ``[0, 1)``."""
        ...

    def make_id(self) -> str:
        """Identifier that is unique in practice."""
        ...


class FrontEnd(Protocol):
    """Listener for callers; replies come back through ``offer``."""

    def offer(self, message: object) -> bool: ...

    async def start(self) -> None: ...

    async def drain(self) -> None:
        """Finish open requests, then close the listener."""
        ...

    async def stop(self) -> None: ...


class PeerLink(Protocol):
    """Messages between instances; ``offer`` takes a :class:`PeerEnvelope`."""

    def offer(self, message: object) -> bool: ...

    def set_peers(self, instances: Sequence[InstanceInfo]) -> None: ...

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


@dataclass(frozen=True, slots=True)
class StoreObject:
    """Object of the platform's store.

    :param version: counts from 1; 0 means that the object does not exist.
    """

    name: str
    version: int
    value: bytes


class Store(Protocol):
    """Platform's object store.

    Every method raises :class:`~sardinemill.errors.StoreUnavailable` when the store
    does not answer; after a put the effect is then unknown.
    """

    async def get(self, name: str) -> StoreObject: ...

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        """Write an object if it is still at the version seen.

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

        :returns: the object as it is, also when the time ran out.
        """
        ...

    async def list_instances(self) -> Sequence[InstanceInfo]:
        """Lagging list of live and leaving instances."""
        ...


class UpstreamConnection(Protocol):
    """One database connection. One task owns it and runs one call at a time."""

    async def run(self, call: UpstreamCall) -> UpstreamResult:
        """Run a statement or transaction control.

        :raises UpstreamError: with outcome *not run* only when that is certain.
        """
        ...

    async def close(self) -> None: ...


class ControlConnection(Protocol):
    """Control channel of one database; does not count as a database connection."""

    async def report(
        self, *, wait_for: LogPosition | None, timeout_seconds: float
    ) -> DatabaseReport:
        """Ask for role, term and position.

        :param wait_for: answer once the log reaches this position or the term
            changes, at the latest after ``timeout_seconds``.
        :returns: the report with the times of the call on the local clock.
        """
        ...

    async def fence(self, order: FenceRequest) -> FenceAnswer: ...

    async def admit(self, order: AdmitRequest) -> DatabaseReport:
        """:returns: the state after the order, as :meth:`report` does."""
        ...

    async def promote(self, order: PromoteRequest) -> PromoteAnswer: ...

    async def close(self) -> None: ...


class UpstreamConnector(Protocol):
    """Opens connections to databases."""

    async def connect(
        self, database: DatabaseDescription, *, timeout_seconds: float
    ) -> UpstreamConnection:
        """
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
