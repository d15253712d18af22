"""What an instance remembers of others: signs of life and reports."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from ..members import Heartbeat, InstanceInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class Sign:
    """Last sign of life of an instance.

    :param info: the instance as it last introduced itself.
    :param direct_at: last heartbeat that was not an announcement; it shows that the
        source counts this instance among its monitors.
    :param previous: incarnation before this one, whose late messages don't count.
    """

    heartbeat: Heartbeat
    heard_at: float
    info: InstanceInfo | None = None
    direct_at: float = -math.inf
    previous: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Watch:
    """Subject that this instance listens for.

    :param limit: monotonic seconds before which the subject is never absent.
    """

    since: float
    limit: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedReport:
    """Last report of a monitor."""

    incarnation: str
    sequence: int
    suspects: Mapping[str, str]
    since: Mapping[str, float]
    received_at: float
    valid_until: float
    previous: str = ""
