"""Adapters that connect an HTTP instance to clocks, store, peers and databases."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .application import Component
from .interfaces import Clock, Outlet, PeerLink, RandomSource, Store, UpstreamConnector


class PeerLinkComponent(PeerLink, Component, Protocol):
    """Peer link with the life cycle of a component."""


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceAdapters:
    """Adapters of one HTTP instance.

    :param events: receives log events.
    :param make_peer_link: makes the peer link from the receiver of its envelopes.
    :param stop: receives :class:`~sardinemill.control.DrainOrdered`.
    :param components: adapters with a life cycle, started before all other components.
    :param observer: receives copies of the messages that metrics count, or ``None``.
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
