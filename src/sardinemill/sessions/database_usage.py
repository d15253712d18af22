"""Decision for what a database may be used: new work, open transactions or nothing."""

import math
from dataclasses import dataclass
from enum import Enum

# Latest time at which an instance learns of a change of the directory that the store
# has confirmed: it reads the directory itself after 3.3 s without news, with a slow
# answer of the store. The rest of a granted time is left to the work under way and to
# the failover.
DIRECTORY_NOTICE_SECONDS = 4.0


class Usage(Enum):
    """Work that a database may get.

    ``PRIMARY_WORK``: open transactions, and new work that no other database can run,
    since it leads its group and no failover has replaced it yet.
    """

    NEW_WORK = "new work"
    PRIMARY_WORK = "new work of a primary"
    OPEN_TRANSACTIONS = "open transactions"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseCondition:
    """What an instance knows of a database besides its role.

    :param leaving_seconds: time since this instance learned that the database drains,
        ``None`` if it does not.
    :param is_lagging: it lacked the minimum position of a read a moment ago.
    :param evacuated_seconds: time since this instance learned that the database's data
        centre is evacuated, ``None`` if it is not.
    """

    leaving_seconds: float | None = None
    is_lagging: bool = False
    evacuated_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class UsageDecision:
    """Work that a database may get, and why not more.

    :param reason: empty for ``Usage.NEW_WORK``.
    """

    usage: Usage
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class GracePeriods:
    """Times after an instance has learned of a change, in which work may go on.

    :param evacuation_seconds: for open transactions, and for new work of a primary, at
        the databases of an evacuated data centre.
    :param leave_seconds: for new work of a primary that is leaving.
    """

    evacuation_seconds: float = 0.0
    leave_seconds: float = math.inf


DEFAULT_GRACE_PERIODS = GracePeriods()
_NEW_WORK = UsageDecision(Usage.NEW_WORK)


def decide_usage(
    condition: DatabaseCondition, grace_periods: GracePeriods
) -> UsageDecision:
    """Decide for what a database may be used.

    :param grace_periods: in which a primary still runs new work, so that callers are
        served until a failover has replaced it.
    """
    evacuated_seconds = condition.evacuated_seconds
    leaving_seconds = condition.leaving_seconds
    if evacuated_seconds is not None:
        is_over = evacuated_seconds >= grace_periods.evacuation_seconds
        if is_over:
            return UsageDecision(Usage.NOTHING, "its data centre is evacuated")
    if leaving_seconds is not None:
        is_over = leaving_seconds >= grace_periods.leave_seconds
        usage = Usage.OPEN_TRANSACTIONS if is_over else Usage.PRIMARY_WORK
        return UsageDecision(usage, "it is leaving")
    if evacuated_seconds is not None:
        return UsageDecision(Usage.PRIMARY_WORK, "its data centre is evacuated")
    if condition.is_lagging:
        return UsageDecision(Usage.PRIMARY_WORK, "it lags behind")
    return _NEW_WORK


def compute_grace_period(limit_seconds: float) -> float:
    """Return the time for work under way after an instance learns of a change.

    :param limit_seconds: time after which such work may no longer reach a database,
        from the confirmation of the store.
    """
    return max(0.0, limit_seconds - DIRECTORY_NOTICE_SECONDS)
