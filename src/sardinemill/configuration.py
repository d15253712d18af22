"""Configuration that operators control: workspaces, plans, keys, database groups.

The list of workspaces assigns a plan to each customer; the list of plans holds their
limits.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from .groups import GroupDescription


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Limits of a service plan.

    :param rate_per_second: sustained requests per second over the whole fleet.
    :param burst: capacity of the token bucket in requests.
    :param weight: weight of the workspace in the fair queueing for connections.
    :param n_queued: maximum number of queued requests of one workspace per database.
    """

    name: str
    rate_per_second: float
    burst: float
    weight: float = 1.0
    n_queued: int = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """Customer and its plan.

    :param group: database group that holds its data.
    """

    name: str
    plan: str
    group: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """API key of a workspace; only its digest is stored.

    :param key_id: public identifier, safe to log.
    :param digest: SHA-256 of the key in hexadecimal.
    """

    key_id: str
    workspace: str
    digest: str = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One accepted version of the configuration.

    :param version: number in the total order of accepted versions, from 1.
    """

    version: int
    plans: Mapping[str, Plan]
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, Key]
    groups: Mapping[str, GroupDescription]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """A higher configuration version is in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationConfirmed:
    """The configuration version in force was confirmed as the latest.

    :param confirmed_at: local monotonic seconds before the confirming query was sent;
        with ``is_store_down_everywhere``, the time of the oldest report that shows the
        outage, so that this evidence ages like any other confirmation.
    :param is_store_down_everywhere: relays of every data centre report that the store
        is unreachable, so no edit can be accepted.
    """

    version: int
    confirmed_at: float
    is_store_down_everywhere: bool = False


EMPTY_CONFIGURATION = Configuration(
    version=0, plans={}, workspaces={}, keys={}, groups={}
)


def hash_key(key: str) -> str:
    """Return the digest under which a key is stored.

    :param key: as received; bytes that are not UTF-8 are lone surrogates.
    """
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
