"""Reader of the settings file that the platform places on each machine."""

import math
import os
import re
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..errors import SettingsError
from ..fleet.rate_tolerance import DEFAULT_TOLERANCE, RateTolerance
from ..groups import Address
from ..sessions.client_limits import (
    DEFAULT_CLIENT_LIMITS,
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    MEGABYTE,
    ClientLimits,
    compute_client_limits,
)

SETTINGS_PATH_VARIABLE = "SARDINEMILL_BOOT"
# Address at which other instances reach this one, if not the one it listens on.
ADVERTISED_ADDRESS_VARIABLE = "SARDINEMILL_ADVERTISED_PEER"
# The platform states the machine's address for every external interface of the
# process.
REQUIRED_FIELDS = (
    "node",
    "ip",
    "zone",
    "listen.front",
    "listen.ready",
    "internal_ports",
    "platform.address",
    "cloud.address",
)
# Defaults of the optional numbers.
NUMBER_DEFAULTS = {
    "bounds.grace_s": "6",
    "bounds.drain_ms": "7000",
    "bounds.quota_window_s": "5",
    "bounds.quota_overshoot": "0.1",
    "bounds.quota_slack": "20",
    # 0 where operators cannot evacuate a data centre.
    "bounds.evacuation_ms": "0",
    # 0 where no time is stated in which a configuration has to be in force.
    "bounds.config_apply_ms": "0",
    "limits.cpu_share": "1",
    "limits.cores": "1",
    "limits.memory_mb": str(DEFAULT_MEMORY_BYTES // MEGABYTE),
    "limits.file_descriptors": str(DEFAULT_DESCRIPTORS),
}
# Names that other instances and the platform compare as they are written.
NAME_FIELDS = ("node", "zone")
# What a header of a request cannot hold: control characters, and blanks at the ends.
_UNUSABLE_NAME = re.compile(r"[\x00-\x1f\x7f]|^ | $")
# ``str.isdigit`` accepts digits that ``int`` refuses, and ``int`` any number of them.
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535
# Unit in which instances state their processor capacity to each other, in cores.
CAPACITY_UNIT_CORES = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Settings of one instance on the platform.

    :param front_address: listens for clients.
    :param ready_address: answers the readiness probe.
    :param metrics_address: serves the metrics, at the last of the internal ports.
    :param peer_address: listens for messages of other instances, at the first of the
        internal ports.
    :param advertised_address: to which other instances send them.
    :param promotion_address: of the platform's interface to promote databases.
    :param stop_seconds: time from SIGTERM to SIGKILL.
    :param leave_seconds: time within which a draining database must stop receiving
        new work.
    :param rate_tolerance: how far operations may exceed the plan of a workspace.
    :param client_limits: of what clients may make the instance hold.
    :param evacuation_seconds: time after which nothing may reach the databases of an
        evacuated data centre, 0 if there are no evacuations.
    :param gateway_capacity: processor capacity in tenths of a core, at least 1.
    :param configuration_limit_seconds: time within which a configuration has to be in
        force, infinite where none is stated.
    """

    instance: str
    data_centre: str
    front_address: Address
    ready_address: Address
    metrics_address: Address
    peer_address: Address
    advertised_address: Address
    store_address: Address
    promotion_address: Address
    stop_seconds: float
    leave_seconds: float
    rate_tolerance: RateTolerance = DEFAULT_TOLERANCE
    gateway_capacity: int = 10
    evacuation_seconds: float = 0.0
    client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS
    configuration_limit_seconds: float = math.inf


def read_platform_settings(environment: Mapping[str, str]) -> PlatformSettings:
    """Read the settings file that the environment names.

    :raises SettingsError: with all errors at once.
    """
    path = environment.get(SETTINGS_PATH_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"{SETTINGS_PATH_VARIABLE} names no settings file", step="settings"
        )
    try:
        text = Path(path).read_bytes().decode()
    except OSError as error:
        message = f"{SETTINGS_PATH_VARIABLE}={path}: {os.strerror(error.errno or 0)}"
        raise SettingsError(message, step="settings") from error
    except UnicodeDecodeError as error:
        message = f"{SETTINGS_PATH_VARIABLE}={path}: not UTF-8"
        raise SettingsError(message, step="settings") from error
    return parse_platform_settings(
        text, environment.get(ADVERTISED_ADDRESS_VARIABLE, "")
    )


def parse_platform_settings(text: str, advertised: str = "") -> PlatformSettings:
    """Parse lines of the form ``name=value``; names may contain dots.

    Unknown fields are ignored, so that later versions may add some. The names of the
    instance and its data centre are taken as they are written; blanks around the other
    values, which are numbers and addresses, are ignored.

    :param advertised: address that is advertised to other instances; the peer address
        if empty.
    :raises SettingsError: with all errors at once.
    """
    fields, errors = _parse_fields(text)
    errors += [f"{name}: missing" for name in REQUIRED_FIELDS if not fields.get(name)]
    addresses: dict[str, Address] = {}
    for name in ("listen.front", "listen.ready", "platform.address", "cloud.address"):
        address = parse_address(fields.get(name, ""))
        if address is not None:
            addresses[name] = address
        elif fields.get(name):
            errors.append(f"{name}={fields[name]}: not an IP address and port")
    ports = fields.get("internal_ports", "").split(",")
    port_numbers = [port for item in ports if (port := _parse_port(item)) is not None]
    if fields.get("internal_ports") and len(port_numbers) < len(ports):
        errors.append(f"internal_ports={','.join(ports)}: not port numbers")
    if advertised and parse_address(advertised) is None:
        errors.append(
            f"{ADVERTISED_ADDRESS_VARIABLE}={advertised}: not an IP address and port"
        )
    numbers: dict[str, float] = {}
    for name, default in NUMBER_DEFAULTS.items():
        try:
            numbers[name] = float(fields.get(name) or default)
        except ValueError:
            errors.append(f"{name}={fields[name]}: not a number")
    client_limits = DEFAULT_CLIENT_LIMITS
    if numbers.keys() >= {"limits.memory_mb", "limits.file_descriptors"}:
        try:
            client_limits = compute_client_limits(
                int(numbers["limits.memory_mb"] * MEGABYTE),
                int(numbers["limits.file_descriptors"]),
            )
        except (ValueError, OverflowError) as error:
            errors.append(f"limits.memory_mb, limits.file_descriptors: {error}")
    if errors:
        raise SettingsError("\n".join(errors), step="settings")
    host = fields["ip"]
    peer_address = Address(host, port_numbers[0])
    configuration_ms = numbers["bounds.config_apply_ms"]
    if not configuration_ms > 0:
        configuration_ms = math.inf
    n_cores = numbers["limits.cpu_share"] * numbers["limits.cores"]
    return PlatformSettings(
        instance=fields["node"],
        data_centre=fields["zone"],
        front_address=addresses["listen.front"],
        ready_address=addresses["listen.ready"],
        metrics_address=Address(host, port_numbers[-1]),
        peer_address=peer_address,
        advertised_address=parse_address(advertised) or peer_address,
        store_address=addresses["platform.address"],
        promotion_address=addresses["cloud.address"],
        stop_seconds=numbers["bounds.grace_s"],
        leave_seconds=numbers["bounds.drain_ms"] / 1000,
        rate_tolerance=RateTolerance(
            window_seconds=numbers["bounds.quota_window_s"],
            fraction=numbers["bounds.quota_overshoot"],
            n_operations=numbers["bounds.quota_slack"],
        ),
        client_limits=client_limits,
        evacuation_seconds=numbers["bounds.evacuation_ms"] / 1000,
        gateway_capacity=max(1, round(n_cores / CAPACITY_UNIT_CORES)),
        configuration_limit_seconds=configuration_ms / 1000,
    )


def _parse_fields(text: str) -> tuple[dict[str, str], list[str]]:
    """Return the values by name, and the errors of names and of repeated fields."""
    fields: dict[str, str] = {}
    errors = []
    # ``str.splitlines`` also ends lines at characters that a name may hold.
    for line in text.split("\n"):
        name, separator, value = line.removesuffix("\r").partition("=")
        name = name.strip(" \t")
        if not separator:
            continue
        if name not in NAME_FIELDS:
            value = value.strip(" \t")
        is_known = name in REQUIRED_FIELDS or name in NUMBER_DEFAULTS
        if fields.setdefault(name, value) != value and is_known:
            errors.append(f"{name}: given twice, with different values")
    errors += [
        f"{name}={fields[name]!r}: holds a control character, or a blank at an end"
        for name in NAME_FIELDS
        if _UNUSABLE_NAME.search(fields.get(name, ""))
    ]
    return fields, errors


def parse_address(text: object) -> Address | None:
    """Parse ``host:port``; return ``None`` for anything else.

    The host must be an IP address, and the port one that a server can listen on.
    """
    if not isinstance(text, str):
        return None
    host, _, port_text = text.rpartition(":")
    port = _parse_port(port_text)
    if port is None or not _is_ip_address(host):
        return None
    return Address(host, port)


def _parse_port(text: str) -> int | None:
    if not _PORT.fullmatch(text):
        return None
    port = int(text)
    return port if 0 < port <= MAX_PORT else None


def _is_ip_address(text: str) -> bool:
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, text)
        except (OSError, ValueError):
            continue
        return True
    return False
