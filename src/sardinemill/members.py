"""Frozen messages about instances: heartbeats, suspicion, the platform's list."""

from dataclasses import dataclass
from enum import StrEnum

from .groups import Address


class InstanceState(StrEnum):
    """State of an instance in the platform's list and in heartbeats."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceInfo:
    """One instance of the fleet."""

    name: str
    data_centre: str
    peer_address: Address
    front_address: Address
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Sign of life between instances.

    :param sequence: counts up from 1 in one process.
    :param configuration_version: version in force at the sender.
    :param info: the sender itself, for receivers whose list does not hold it yet;
        heartbeats to the monitors leave it out.
    """

    source: str
    incarnation: str
    sequence: int
    state: InstanceState
    configuration_version: int
    info: InstanceInfo | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspicionReport:
    """Instances that a monitor does not hear, for its own data centre.

    :param incarnation: process of the source; ``sequence`` counts up from 1 in it.
    :param suspects: pairs of name and first characters of the incarnation last heard,
        empty if none was.
    :param valid_seconds: time from receipt after which the report no longer counts.
    """

    source: str
    incarnation: str
    sequence: int
    suspects: tuple[tuple[str, str], ...]
    valid_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChanged:
    """Instances in use now: listed, heard from, and not suspected.

    :param live: take new work.
    :param leaving: finish work, take none.
    :param candidates: all instances that the peer link keeps a connection to, also
        the suspected ones, so that they are heard when they come back.
    """

    live: tuple[InstanceInfo, ...]
    leaving: tuple[InstanceInfo, ...]
    candidates: tuple[InstanceInfo, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceList:
    """Platform's list of instances; answers an :class:`InstanceListQuery`."""

    instances: tuple[InstanceInfo, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListChange:
    """Change of the platform's list, from a relay to its data centre.

    :param base: digest of the list before the change.
    :param digest: digest of the list after it; equal to ``base`` when the relay only
        repeats its digest.
    :param changed: added and changed entries.
    :param removed: names that the list no longer holds.
    """

    base: str
    digest: str
    changed: tuple[InstanceInfo, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListQuery:
    """Asks an instance for its whole list.

    :param digest: digest of the asker's list, empty if it has none.
    """

    digest: str
