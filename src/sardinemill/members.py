"""Messages about instances: heartbeats, suspicions and the platform's list.

The monitors of an instance receive its heartbeats and report when these stop. A relay
of the list polls the platform and sends the changes to its data centre.
"""

from dataclasses import dataclass
from enum import StrEnum

from .groups import Address


class InstanceState(StrEnum):
    """State of an instance in the platform's list and in heartbeats."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceInfo:
    """Name, location, addresses and state of an instance."""

    name: str
    data_centre: str
    peer_address: Address
    front_address: Address
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Liveness message between instances.

    :param sequence: sequence number within one process, from 1.
    :param configuration_version: version in force at the sender.
    :param info: description of the sender, for receivers that do not know it yet;
        heartbeats to the monitors omit it.
    """

    source: str
    incarnation: str
    sequence: int
    state: InstanceState
    configuration_version: int
    info: InstanceInfo | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspicionReport:
    """Instances that a monitor does not hear from, sent within its own data centre.

    :param incarnation: identifies the process of the source.
    :param sequence: sequence number within that process, from 1.
    :param suspects: pairs of instance name and first characters of the last incarnation
        heard from, empty if there was none.
    :param valid_seconds: time from receipt after which the report expires.
    """

    source: str
    incarnation: str
    sequence: int
    suspects: tuple[tuple[str, str], ...]
    valid_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChanged:
    """Instances in use: listed, heard from and not suspected; includes this instance.

    :param live: instances that accept new work.
    :param leaving: instances that finish their work and accept no more.
    :param candidates: all instances that the peer link stays connected to, including
        suspected ones, so that their recovery is noticed.
    """

    live: tuple[InstanceInfo, ...]
    leaving: tuple[InstanceInfo, ...]
    candidates: tuple[InstanceInfo, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceList:
    """Complete instance list; answers an :class:`InstanceListQuery`."""

    instances: tuple[InstanceInfo, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListChange:
    """Change of the platform's list, which a relay sends within its data centre.

    :param base: digest of the list before the change.
    :param digest: digest of the list after the change; equal to ``base`` if the relay
        only announces its digest.
    :param changed: added and changed entries.
    :param removed: names of removed entries.
    """

    base: str
    digest: str
    changed: tuple[InstanceInfo, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListQuery:
    """Query for the complete instance list of an instance.

    :param digest: digest of the sender's list, empty if it has none.
    """

    digest: str
