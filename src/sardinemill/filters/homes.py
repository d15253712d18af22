"""Determines the database groups that an instance is a home of."""

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

# A group that moved to other homes is kept while its requests may still run; the
# default timeout of a request is 10 s.
HOME_DRAIN_SECONDS = 12.0


class Homes:
    """Filter that derives this instance's groups from configuration and membership.

    Outlet: ``groups`` for :class:`GroupsChanged`, only when something changed.

    A leaving instance keeps its groups until it stops, so that requests in flight
    complete; other instances no longer send it new requests.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._live: tuple[InstanceInfo, ...] = ()
        self._is_leaving = False
        self._own_groups: set[str] = set()
        self._draining_until: dict[str, float] = {}
        self._last_emitted = GroupsChanged(groups=(), homes=())

    @property
    def next_tick(self) -> float | None:
        return min(self._draining_until.values(), default=None)

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
        self._draining_until = {
            name: until for name, until in self._draining_until.items() if until > now
        }
        return self._update(now)

    def _update(self, now: float) -> Sequence[Emission]:
        if self._is_leaving:
            return ()
        instances = [(item.name, item.data_centre) for item in self._live]
        known_groups = self._configuration.groups
        homes = {name: choose_homes(name, instances) for name in known_groups}
        own_groups = {name for name in known_groups if self._instance in homes[name]}
        self._start_draining(own_groups, now)
        kept = sorted(own_groups | (self._draining_until.keys() & known_groups.keys()))
        changed = GroupsChanged(
            groups=tuple(known_groups[name] for name in kept),
            homes=tuple((name, self._order_homes(homes[name])) for name in kept),
        )
        if changed == self._last_emitted:
            return ()
        self._last_emitted = changed
        return (Emission("groups", changed),)

    def _start_draining(self, own_groups: set[str], now: float) -> None:
        for name in own_groups:
            self._draining_until.pop(name, None)
        for name in self._own_groups - own_groups:
            self._draining_until[name] = now + HOME_DRAIN_SECONDS
        self._own_groups = own_groups

    def _order_homes(self, homes: Sequence[str]) -> tuple[str, ...]:
        """Return the homes, best first, with this instance last if it only drains."""
        if self._instance in homes:
            return tuple(homes)
        return (*homes, self._instance)
