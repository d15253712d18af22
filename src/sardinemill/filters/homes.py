"""Tells an instance which database groups it is a home of."""

from collections.abc import Sequence

from ..configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationChanged,
)
from ..groups import choose_homes
from ..interfaces import Emission
from ..members import InstanceInfo, MembershipChanged
from ..replication import GroupsChanged

# A group that moved to other homes is kept for as long as its requests may still run;
# the default time-out of a request is 10 s.
HOME_DRAIN_SECONDS = 12.0


class Homes:
    """Filter from configuration and membership to the groups of this instance.

    Outlet: ``groups`` for :class:`GroupsChanged`, only when something changed.

    An instance that leaves keeps its groups until it stops, so that work in flight
    finishes; other instances no longer send it new work.

    :param instance: own name.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._live: tuple[InstanceInfo, ...] = ()
        self._is_leaving = False
        self._own: set[str] = set()
        self._lingering: dict[str, float] = {}
        self._last = GroupsChanged(groups=(), homes=())

    @property
    def next_tick(self) -> float | None:
        return min(self._lingering.values(), default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, ConfigurationChanged):
            if message.configuration.version <= self._configuration.version:
                return ()
            self._configuration = message.configuration
        elif isinstance(message, MembershipChanged):
            self._live = message.live
            self._is_leaving = self._instance in {item.name for item in message.leaving}
        else:
            return ()
        return self._update(now)

    def tick(self, now: float) -> Sequence[Emission]:
        self._lingering = {
            name: until for name, until in self._lingering.items() if until > now
        }
        return self._update(now)

    def _update(self, now: float) -> Sequence[Emission]:
        if self._is_leaving:
            return ()
        instances = [(item.name, item.data_centre) for item in self._live]
        known = self._configuration.groups
        homes = {name: choose_homes(name, instances) for name in known}
        own = {name for name in known if self._instance in homes[name]}
        self._start_lingering(own, now)
        kept = sorted(own | (self._lingering.keys() & known.keys()))
        changed = GroupsChanged(
            groups=tuple(known[name] for name in kept),
            homes=tuple((name, self._rank(homes[name])) for name in kept),
        )
        if changed == self._last:
            return ()
        self._last = changed
        return (Emission("groups", changed),)

    def _start_lingering(self, own: set[str], now: float) -> None:
        for name in own:
            self._lingering.pop(name, None)
        for name in self._own - own:
            self._lingering[name] = now + HOME_DRAIN_SECONDS
        self._own = own

    def _rank(self, homes: Sequence[str]) -> tuple[str, ...]:
        """Rank a home that lingers after all others."""
        if self._instance in homes:
            return tuple(homes)
        return (*homes, self._instance)
