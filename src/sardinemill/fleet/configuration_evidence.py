"""Evidence that the configuration in force is the newest one."""

import math

from ..events import Event, EventName
from ..interfaces import Emission
from ..sessions.routes import RoutesConfirmed, RoutesStalenessChanged

NEVER = float("-inf")


class ConfigurationEvidence:
    """Knows for which time the configuration is proved to be the newest one.

    :param limit_seconds: age from which the configuration is reported as stale.
    """

    def __init__(self, limit_seconds: float = math.inf) -> None:
        self._limit_seconds = limit_seconds
        self._confirmed_at = NEVER
        self._source = ""
        self._is_stale = False

    def record(
        self, version: int, confirmed_at: float, source: str, now: float
    ) -> list[Emission]:
        """Record that no higher version had been acknowledged at some time.

        :param version: in force, 0 if there is none.
        :param confirmed_at: that time, on the local clock.
        :param source: name of the instance that told it, or ``store``.
        :returns: messages for ``evidence`` and ``events``.
        """
        if not version or confirmed_at <= self._confirmed_at:
            return []
        self._confirmed_at, self._source = confirmed_at, source
        confirmed = RoutesConfirmed(version, confirmed_at)
        return [Emission("evidence", confirmed), *self.check(version, now)]

    def check(self, version: int, now: float) -> list[Emission]:
        """Report when the evidence begins or ceases to be older than the limit.

        :returns: messages for ``evidence`` and ``events``.
        """
        age = now - self._confirmed_at
        is_stale = version > 0 and age > self._limit_seconds
        if is_stale == self._is_stale:
            return []
        self._is_stale = is_stale
        name = EventName.CONFIGURATION_CONFIRMED
        if is_stale:
            name = EventName.CONFIGURATION_STALE
        fields = {
            "configuration_version": version,
            "configuration_age_seconds": round(age, 3) if math.isfinite(age) else None,
            "source": self._source,
        }
        return [
            Emission("evidence", RoutesStalenessChanged(is_stale)),
            Emission("events", Event(name, fields)),
        ]
