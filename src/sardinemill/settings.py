"""Settings of one instance."""

from dataclasses import dataclass, field


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
