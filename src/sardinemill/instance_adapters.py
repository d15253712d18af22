"""Adapters that connect an instance to the outside."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .application import Component
from .interfaces import Clock, Outlet, PeerLink, RandomSource, Store, UpstreamConnector


class PeerLinkComponent(PeerLink, Component, Protocol):
    """Peer link with the life cycle of a part."""


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceAdapters:
    """Adapters that reach outside the process.

    :param events: receives log events.
    :param make_peer_link: makes the link, given the receiver of envelopes.
    :param stop: receives :class:`~sardinemill.control.DrainOrdered`.
    :param parts: adapters with a life cycle, started before everything else.
    :param observer: receives copies of the messages that are counted, if any.
    """

    clock: Clock
    random_source: RandomSource
    store: Store
    connector: UpstreamConnector
    events: Outlet
    make_peer_link: Callable[[Outlet], PeerLinkComponent]
    stop: Outlet
    components: tuple[Component, ...] = ()
    observer: Outlet | None = None
