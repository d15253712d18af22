"""Settings of one instance."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from .errors import SettingsError


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one instance, checked at start."""

    name: str
    data_centre: str
    front_host: str = "127.0.0.1"
    front_port: int = 8080
    peer_host: str = "127.0.0.1"
    peer_port: int = 8090
    store_url: str = ""
    key_policy: str = "strict"
    fleet_secret: bytes = field(repr=False)
    drain_seconds: float = 5.0
    log_file: str = ""
    log_level: str = "info"
    detector: str = "observers"
    queue_policy: str = "fair"


def read_settings(arguments: Sequence[str], environment: Mapping[str, str]) -> Settings:
    """Read settings from flags ``--name=value`` and ``SARDINEMILL_<NAME>``.

    :raises SettingsError: when a setting is missing.
    """
    values = {
        name.removeprefix("SARDINEMILL_").lower(): value
        for name, value in environment.items()
        if name.startswith("SARDINEMILL_")
    }
    for argument in arguments:
        name, _, value = argument.removeprefix("--").partition("=")
        values[name.replace("-", "_")] = value
    try:
        return Settings(
            name=values["name"],
            data_centre=values["data_centre"],
            front_host=values.get("front_host", "127.0.0.1"),
            front_port=int(values.get("front_port", "8080")),
            peer_host=values.get("peer_host", "127.0.0.1"),
            peer_port=int(values.get("peer_port", "8090")),
            store_url=values["store_url"],
            fleet_secret=values["fleet_secret"].encode(),
            drain_seconds=float(values.get("drain_seconds", "5")),
        )
    except KeyError as error:
        raise SettingsError(f"setting {error} is missing", step="settings") from error
