"""Configuration and directory of databases, as this instance knows them."""

import msgspec
import xxhash

from ..events import Event, EventName
from ..interfaces import Emission
from ..sessions.routes import Configuration, RoutesChanged, make_route_table
from .records import Directory
from .views import DirectoryChanged

NEVER = float("-inf")


class ConfigurationCache:
    """Newest configuration and directory; neither is replaced by an older one.

    :ivar digest: hash of the directory.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.directory = Directory()
        self.digest = ""
        self._directory_read_at = NEVER

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the directory are known."""
        return self.configuration.version > 0 and bool(self.directory.databases)

    def adopt_configuration(
        self, configuration: Configuration, source: str, age_seconds: float
    ) -> list[Emission]:
        """Adopt a configuration if its version is higher than the known one.

        :param source: name of the instance that it came from, or ``store``.
        :param age_seconds: time since it was known to be the newest one.
        :returns: messages for ``routes`` and ``events``.
        """
        if configuration.version <= self.configuration.version:
            return []
        previous, self.configuration = self.configuration, configuration
        fields = {
            "version": configuration.version,
            "previous_version": previous.version,
            "source": source,
            "age_seconds": round(age_seconds, 3),
        }
        return [
            Emission("routes", RoutesChanged(make_route_table(configuration))),
            Emission("events", Event(EventName.CONFIGURATION_ADOPTED, fields)),
        ]

    def adopt_directory(self, directory: Directory, read_at: float) -> list[Emission]:
        """Adopt a directory if it was read later than the known one.

        :param read_at: when its read from the store was started, on the local clock.
        :returns: messages for ``directory`` and ``events``.
        """
        if read_at <= self._directory_read_at:
            return []
        self._directory_read_at = read_at
        if directory == self.directory:
            return []
        previous, self.directory = self.directory, directory
        self.digest = make_digest(directory)
        fields = {"n_databases": len(directory.databases), "digest": self.digest}
        return [
            Emission("directory", DirectoryChanged(directory)),
            Emission("events", Event(EventName.DATABASES_CHANGED, fields)),
            *_log_evacuations(previous, directory),
        ]


def make_digest(directory: Directory) -> str:
    """Return a hash of a directory, by which instances compare their copies.

    Without evacuations it is the hash of the versions that know of none, so that
    instances of both versions do not send each other the directory in each answer.
    """
    content: dict[str, object] = {"databases": directory.databases}
    if directory.evacuated_data_centres:
        content["evacuated_data_centres"] = directory.evacuated_data_centres
    return xxhash.xxh64_hexdigest(msgspec.msgpack.encode(content))


def _log_evacuations(previous: Directory, current: Directory) -> list[Emission]:
    before = set(previous.evacuated_data_centres)
    after = set(current.evacuated_data_centres)
    changes = [(EventName.EVACUATION_STARTED, name) for name in sorted(after - before)]
    changes += [(EventName.EVACUATION_ENDED, name) for name in sorted(before - after)]
    return [
        Emission("events", Event(event_name, {"evacuated": name}))
        for event_name, name in changes
    ]
