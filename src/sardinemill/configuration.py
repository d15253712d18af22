"""The two lists of the operators, the keys and the database groups.

Customers' plans (workspaces) form one list, what each plan may use (plans) the other.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from .groups import GroupDescription


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What a plan may use.

    :param rate_per_second: sustained requests a second over the whole fleet.
    :param burst: requests that may come at once.
    :param weight: share of scarce connections relative to other workspaces.
    :param n_queued: requests of one workspace that may wait for a database.
    """

    name: str
    rate_per_second: float
    burst: float
    weight: float = 1.0
    n_queued: int = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer and its plan.

    :param group: database group that holds its data.
    """

    name: str
    plan: str
    group: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """Access key of a workspace; only its digest is kept.

    :param key_id: public identifier, safe to log.
    :param digest: SHA-256 of the key in hexadecimal.
    """

    key_id: str
    workspace: str
    digest: str = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One accepted version of everything operators control.

    :param version: place in the single order of accepted versions, from 1.
    """

    version: int
    plans: Mapping[str, Plan]
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, Key]
    groups: Mapping[str, GroupDescription]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """A higher version is in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationConfirmed:
    """The version in force was confirmed as the latest.

    :param confirmed_at: local monotonic seconds before the confirming question; while
        ``is_store_down_everywhere``, the time of the oldest report that shows it, so
        that the evidence ages like any other confirmation.
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
    """Digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()
