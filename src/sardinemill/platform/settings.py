"""Settings file that the platform places on each machine."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..errors import SettingsError
from ..groups import Address

PATH_VARIABLE = "SARDINEMILL_BOOT"
# Where other instances reach this one, if that is not where it listens.
ADVERTISED_VARIABLE = "SARDINEMILL_ADVERTISED_PEER"
# The platform names the machine's address for all outside interfaces of the role.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """What a process learns from the platform.

    :param peer_address: where messages of other instances arrive.
    :param advertised_address: where other instances send them.
    :param stop_seconds: time from SIGTERM to SIGKILL.
    :param leave_seconds: time in which a leaving database must get no more work.
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


def read_platform_settings(environment: Mapping[str, str]) -> PlatformSettings:
    """Read the file that the environment names.

    :raises SettingsError: with all faults at once.
    """
    path = environment.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} names no settings file", step="settings")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f"{PATH_VARIABLE}={path}: {os.strerror(error.errno or 0)}"
        raise SettingsError(message, step="settings") from error
    return parse_platform_settings(text, environment.get(ADVERTISED_VARIABLE, ""))


def parse_platform_settings(text: str, advertised: str = "") -> PlatformSettings:
    """Parse lines of the form ``a.b=value``.

    :param advertised: address for other instances, the own one if empty.
    :raises SettingsError: with all faults at once.
    """
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    faults = [f"{name}: missing" for name in REQUIRED_FIELDS if not fields.get(name)]
    addresses: dict[str, Address] = {}
    for name in ("listen.front", "listen.ready", "platform.address", "cloud.address"):
        address = parse_address(fields.get(name, ""))
        if address is not None:
            addresses[name] = address
        elif fields.get(name):
            faults.append(f"{name}={fields[name]}: not an IP address and port")
    ports = fields.get("internal_ports", "").split(",")
    if fields.get("internal_ports") and not all(item.isdigit() for item in ports):
        faults.append(f"internal_ports={','.join(ports)}: not port numbers")
    if advertised and parse_address(advertised) is None:
        faults.append(f"{ADVERTISED_VARIABLE}={advertised}: not an IP address and port")
    numbers: dict[str, float] = {}
    for name, default in (("bounds.grace_s", "6"), ("bounds.drain_ms", "7000")):
        try:
            numbers[name] = float(fields.get(name) or default)
        except ValueError:
            faults.append(f"{name}={fields[name]}: not a number")
    if faults:
        raise SettingsError("\n".join(faults), step="settings")
    host = fields["ip"]
    peer_address = Address(host, int(ports[0]))
    return PlatformSettings(
        instance=fields["node"],
        data_centre=fields["zone"],
        front_address=addresses["listen.front"],
        ready_address=addresses["listen.ready"],
        metrics_address=Address(host, int(ports[-1])),
        peer_address=peer_address,
        advertised_address=parse_address(advertised) or peer_address,
        store_address=addresses["platform.address"],
        promotion_address=addresses["cloud.address"],
        stop_seconds=numbers["bounds.grace_s"],
        leave_seconds=numbers["bounds.drain_ms"] / 1000,
    )


def parse_address(text: object) -> Address | None:
    """Parse ``host:port``; ``None`` when it is neither."""
    if not isinstance(text, str):
        return None
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        return None
    return Address(host, int(port))
