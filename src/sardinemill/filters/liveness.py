"""Liveness data that an instance keeps of others: heartbeats and reports."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from ..members import Heartbeat, InstanceInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class LivenessRecord:
    """Last heartbeat of an instance and when it arrived, in monotonic seconds.

    :param heard_at: arrival of the last heartbeat.
    :param info: description of the instance from its last heartbeat with ``info``.
    :param direct_heard_at: arrival of the last heartbeat without ``info``; such a
        heartbeat shows that the source counts this instance among its monitors.
    :param previous_incarnation: incarnation before this one, whose late messages are
        ignored.
    """

    heartbeat: Heartbeat
    heard_at: float
    info: InstanceInfo | None = None
    direct_heard_at: float = -math.inf
    previous_incarnation: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class MonitoredSubject:
    """Instance whose heartbeats this instance monitors.

    :param monitored_since: monotonic seconds at which the monitoring began.
    :param grace_until: monotonic seconds before which the subject never counts as
        silent.
    """

    monitored_since: float
    grace_until: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedReport:
    """Last report of a monitor.

    :param suspects: shortened incarnation of each reported instance by name.
    :param reported_since: for each reported instance, the monotonic seconds since which
        reports name it without a heartbeat of it in between.
    :param valid_until: monotonic seconds after which the report no longer counts.
    :param previous_incarnation: incarnation of the source before this one, whose late
        reports are ignored.
    """

    incarnation: str
    sequence: int
    suspects: Mapping[str, str]
    reported_since: Mapping[str, float]
    received_at: float
    valid_until: float
    previous_incarnation: str = ""
