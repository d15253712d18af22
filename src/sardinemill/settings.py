"""Settings of an instance; command-line flags override environment variables."""

import ipaddress
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, fields
from difflib import get_close_matches
from enum import StrEnum
from urllib.parse import urlsplit

import defopt

from .errors import SettingsError
from .validation import NAME_PATTERN, NAME_RULE

ENVIRONMENT_PREFIX = "SARDINEMILL_"
MIN_SECRET_BYTES = 32
# The exporter sleeps for the interval between two exports; near zero it would export
# continuously.
MIN_METRICS_INTERVAL_SECONDS = 0.1
REQUIRED_SETTINGS = frozenset({"name", "data_centre", "store_url", "fleet_secret"})


class KeyPolicyName(StrEnum):
    """Treatment of API keys when the configuration may be out of date.

    ``STRICT`` refuses requests with keys once the withdrawal of a key could have been
    missed; ``AVAILABLE`` serves them, so a withdrawn key may work until a partition
    ends.
    """

    STRICT = "strict"
    AVAILABLE = "available"


class DetectorName(StrEnum):
    """Failure detector for primaries.

    ``TIMEOUT`` suspects a primary after a fixed silence, ``OBSERVERS`` when a majority
    of the homes with an opinion suspects it, ``ACCRUAL`` when its silence is improbable
    given its report intervals.
    """

    TIMEOUT = "timeout"
    OBSERVERS = "observers"
    ACCRUAL = "accrual"


class QueuePolicyName(StrEnum):
    """Order in which queued requests get connections.

    ``FAIR`` is weighted fair queueing between workspaces.
    """

    FIFO = "fifo"
    FAIR = "fair"


class LogLevel(StrEnum):
    """Lowest level of events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of an instance.

    :param name: instance name, unique in the fleet.
    :param data_centre: data centre in which the instance runs.
    :param store_url: URL of the platform's store.
    :param fleet_secret: secret that all instances share; environment only.
    :param front_host: IP address on which the instance listens for clients.
    :param front_port: port for clients; 0 lets the kernel choose.
    :param peer_host: IP address on which the instance listens for other instances.
    :param peer_port: port for other instances; 0 lets the kernel choose.
    :param key_policy: treatment of API keys when the configuration may be out of date.
    :param drain_seconds: time for which the listener stays open after a drain begins,
        by SIGTERM or an operator's order, since the load balancer notices it with a
        delay.
    :param log_file: path of the log; empty means standard output.
    :param log_level: lowest level of events that are logged.
    :param detector: failure detector for primaries.
    :param queue_policy: order in which queued requests get connections.
    :param metrics_file: file to which metrics are appended; empty disables the export.
    :param metrics_seconds: interval between two exports of metrics.
    """

    name: str
    data_centre: str
    store_url: str = ""
    fleet_secret: bytes = field(repr=False)
    front_host: str = "127.0.0.1"
    front_port: int = 8080
    peer_host: str = "127.0.0.1"
    peer_port: int = 8090
    key_policy: KeyPolicyName = KeyPolicyName.STRICT
    drain_seconds: float = 5.0
    log_file: str = ""
    log_level: LogLevel = LogLevel.INFO
    detector: DetectorName = DetectorName.OBSERVERS
    queue_policy: QueuePolicyName = QueuePolicyName.FAIR
    metrics_file: str = ""
    metrics_seconds: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingFault:
    """One setting that is missing or malformed.

    :param name: flag and environment variable of the setting.
    :param value: value as given; empty for the fleet secret, which is never shown.
    """

    name: str
    value: str
    reason: str

    def __str__(self) -> str:
        found = f" (found {self.value!r})" if self.value else ""
        return f"{self.name}: {self.reason}{found}"


class InvalidSettings(SettingsError):
    """Raised with all faults of the settings; the message has one line per fault."""

    def __init__(self, faults: tuple[SettingFault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults), step="settings")
        self.faults = faults


def _parse_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(NAME_RULE)
    return text


def _parse_host(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        raise ValueError("an IP address is needed") from None
    return text


def _parse_port(text: str) -> int:
    if not text.isascii() or not text.isdigit() or int(text) > 65535:
        raise ValueError("a number from 0 to 65535 is needed")
    return int(text)


def _parse_store_url(text: str) -> str:
    try:
        url = urlsplit(text)
        port = url.port
    except ValueError:
        port, url = None, urlsplit("")
    if url.scheme not in ("http", "https") or not url.hostname or not port:
        raise ValueError("a URL such as http://127.0.0.1:7000 is needed")
    return text


def _parse_duration(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds <= 3600:
        raise ValueError("a number of seconds from 0 to 3600 is needed")
    return seconds


def _parse_metrics_interval(text: str) -> float:
    seconds = _parse_duration(text)
    if seconds < MIN_METRICS_INTERVAL_SECONDS:
        raise ValueError(f"at least {MIN_METRICS_INTERVAL_SECONDS} seconds are needed")
    return seconds


def _parse_secret(text: str) -> bytes:
    if len(text.encode()) < MIN_SECRET_BYTES:
        raise ValueError(f"at least {MIN_SECRET_BYTES} bytes are needed")
    return text.encode()


def _make_choice_parser(choices: type[StrEnum]) -> Callable[[str], StrEnum]:
    def parse(text: str) -> StrEnum:
        if text not in list(choices):
            raise ValueError(f"one of {', '.join(choices)} is needed")
        return choices(text)

    return parse


_PARSERS: Mapping[str, Callable[[str], object]] = {
    "name": _parse_name,
    "data_centre": _parse_name,
    "store_url": _parse_store_url,
    "fleet_secret": _parse_secret,
    "front_host": _parse_host,
    "front_port": _parse_port,
    "peer_host": _parse_host,
    "peer_port": _parse_port,
    "key_policy": _make_choice_parser(KeyPolicyName),
    "drain_seconds": _parse_duration,
    "log_file": str,
    "log_level": _make_choice_parser(LogLevel),
    "detector": _make_choice_parser(DetectorName),
    "queue_policy": _make_choice_parser(QueuePolicyName),
    "metrics_file": str,
    "metrics_seconds": _parse_metrics_interval,
}


def collect_flags(
    *,
    name: str = "",
    data_centre: str = "",
    store_url: str = "",
    front_host: str = "",
    front_port: str = "",
    peer_host: str = "",
    peer_port: str = "",
    key_policy: str = "",
    drain_seconds: str = "",
    log_file: str = "",
    log_level: str = "",
    detector: str = "",
    queue_policy: str = "",
    metrics_file: str = "",
    metrics_seconds: str = "",
    print_example: bool = False,
) -> dict[str, object]:
    """Run an instance of sardinemill.

    Each flag can also be given as an environment variable, for instance
    SARDINEMILL_FRONT_PORT. The fleet secret, SARDINEMILL_FLEET_SECRET, is read from the
    environment only.

    :param name: name of the instance, unique in the fleet
    :param data_centre: data centre in which it runs
    :param store_url: URL of the platform's store
    :param front_host: IP address for callers
    :param front_port: port for callers
    :param peer_host: IP address for other instances
    :param peer_port: port for other instances
    :param key_policy: strict or available
    :param drain_seconds: how long the listener stays open after SIGTERM
    :param log_file: path of the log; standard output by default
    :param log_level: debug, info, warning or error
    :param detector: timeout, observers or accrual
    :param queue_policy: fifo or fair
    :param metrics_file: path of the metrics; none by default
    :param metrics_seconds: time between two exports of metrics
    :param print_example: print an example environment and exit
    """
    return dict(locals())


def read_settings(argv: Sequence[str], environment: Mapping[str, str]) -> Settings:
    """Read the settings of an instance.

    :param argv: command-line arguments without the program's name.
    :raises InvalidSettings: with all faults; the caller exits with status 2.
    :raises SystemExit: for unknown flags (2), ``--help`` and ``--print-example`` (0).
    """
    flags = defopt.run(collect_flags, argv=list(argv), cli_options="all")
    if flags.pop("print_example"):
        print(format_example(), end="")
        raise SystemExit(0)
    values: dict[str, object] = {}
    faults = []
    for item in fields(Settings):
        variable = ENVIRONMENT_PREFIX + item.name.upper()
        text = str(flags.get(item.name) or environment.get(variable, ""))
        if not text:
            if item.name in REQUIRED_SETTINGS:
                faults.append(_make_fault(item.name, "", "a value is needed"))
            continue
        try:
            values[item.name] = _PARSERS[item.name](text)
        except ValueError as error:
            faults.append(_make_fault(item.name, text, str(error)))
    known_variables = {
        ENVIRONMENT_PREFIX + item.name.upper() for item in fields(Settings)
    }
    faults.extend(_find_misspelled_variables(environment, known_variables))
    if faults:
        raise InvalidSettings(tuple(faults))
    return Settings(**values)  # type: ignore[arg-type]


def _make_fault(name: str, text: str, reason: str) -> SettingFault:
    variable = ENVIRONMENT_PREFIX + name.upper()
    if name == "fleet_secret":
        return SettingFault(name=variable, value="", reason=reason)
    label = f"--{name.replace('_', '-')} or {variable}"
    return SettingFault(name=label, value=text, reason=reason)


def _find_misspelled_variables(
    environment: Mapping[str, str], known_variables: set[str]
) -> list[SettingFault]:
    """Find environment variables whose names resemble that of a setting.

    Other variables with the prefix are ignored, since the package's other programs use
    the prefix too.
    """
    faults = []
    for name in sorted(set(environment) - known_variables):
        close_matches = get_close_matches(name, known_variables, n=1, cutoff=0.9)
        if name.startswith(ENVIRONMENT_PREFIX) and close_matches:
            reason = f"no setting has this name; {close_matches[0]} is one"
            faults.append(SettingFault(name=name, value="", reason=reason))
    return faults


def format_example() -> str:
    """Return an example environment file with every setting and its default."""
    examples = {
        "name": "almaty-1a",
        "data_centre": "almaty-1",
        "store_url": "http://127.0.0.1:7000",
        "fleet_secret": "<at least 32 random bytes, the same on every instance>",
    }
    lines = []
    for item in fields(Settings):
        value = examples.get(item.name, item.default)
        lines.append(f"{ENVIRONMENT_PREFIX}{item.name.upper()}={value}")
    return "\n".join(lines) + "\n"
