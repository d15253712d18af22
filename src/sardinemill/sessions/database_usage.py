"""Decision for what a database may be used: new work, open transactions or nothing."""

from dataclasses import dataclass
from enum import Enum

# Latest time at which an instance learns of an evacuation that the store has confirmed:
# it reads the directory itself after 3.3 s without news, with a slow answer of the
# store. The rest of the granted time is left to open transactions and to the failover.
EVACUATION_NOTICE_SECONDS = 4.0


class Usage(Enum):
    """Work that a database may get."""

    NEW_WORK = "new work"
    OPEN_TRANSACTIONS = "open transactions"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseCondition:
    """What an instance knows of a database besides its role.

    :param is_leaving: it drains and accepts no new work soon.
    :param is_lagging: it lacked the minimum position of a read a moment ago.
    :param evacuated_seconds: time since this instance learned that the database's data
        centre is evacuated, ``None`` if it is not.
    """

    is_leaving: bool = False
    is_lagging: bool = False
    evacuated_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class UsageDecision:
    """Work that a database may get, and why not more.

    :param reason: empty for ``Usage.NEW_WORK``.
    """

    usage: Usage
    reason: str = ""


_NEW_WORK = UsageDecision(Usage.NEW_WORK)


def decide_usage(
    condition: DatabaseCondition, evacuation_grace_seconds: float
) -> UsageDecision:
    """Decide for what a database may be used.

    A primary that may get open transactions only still runs new work that no other
    database can run, until a failover has replaced it.

    :param evacuation_grace_seconds: time for open transactions after an instance has
        learned of an evacuation.
    """
    evacuated_seconds = condition.evacuated_seconds
    if evacuated_seconds is not None:
        reason = "its data centre is evacuated"
        is_over = evacuated_seconds >= evacuation_grace_seconds
        usage = Usage.NOTHING if is_over else Usage.OPEN_TRANSACTIONS
        return UsageDecision(usage, reason)
    if condition.is_leaving:
        return UsageDecision(Usage.OPEN_TRANSACTIONS, "it is leaving")
    if condition.is_lagging:
        return UsageDecision(Usage.OPEN_TRANSACTIONS, "it lags behind")
    return _NEW_WORK


def compute_evacuation_grace(evacuation_seconds: float) -> float:
    """Return the time for open transactions after an instance learns of an evacuation.

    :param evacuation_seconds: time after which no statement may reach a database of an
        evacuated data centre, from the confirmation of the store.
    """
    return max(0.0, evacuation_seconds - EVACUATION_NOTICE_SECONDS)
