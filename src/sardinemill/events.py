"""Numbered log events and the catalogue of their kinds.

``python -m sardinemill.events`` prints the catalogue as the page ``docs/events.md``.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True)
class EventKind:
    """Entry of the catalogue.

    :param number: stable number; never used again for another kind.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param description: what happened, for operators.
    """

    number: int
    level: str
    description: str


class EventName(Enum):
    """All events, by hundreds: 1 life cycle, 2 requests, 3 databases and failover,
    4 rate limits, 5 configuration and keys, 6 membership and peers, 7 store.
    """

    # 1xx life cycle
    INSTANCE_STARTED = EventKind(101, "info", "The instance serves requests.")
    DRAIN_STARTED = EventKind(102, "info", "The instance takes no new work.")
    INSTANCE_STOPPED = EventKind(103, "info", "The instance has stopped.")
    OUTLET_UNBOUND = EventKind(104, "error", "A message had no receiver.")
    TASK_FAILED = EventKind(105, "error", "A task ended with an error.")

    # 2xx requests: placement, scheduling and transactions
    REQUEST_MOVED = EventKind(221, "info", "A request went on to another home.")
    OUTCOME_UNKNOWN = EventKind(222, "warning", "A write got no answer; unknown.")
    TRANSACTION_IDLE = EventKind(223, "info", "An idle transaction is rolled back.")

    # 6xx membership and peers
    INSTANCE_SUSPECTED = EventKind(601, "warning", "An instance fell silent.")
    INSTANCE_HEARD = EventKind(602, "info", "An instance is heard from (again).")
    INSTANCE_LIST_FAILED = EventKind(
        603, "warning", "The platform's list of instances could not be read."
    )
    PEER_MESSAGE_DROPPED = EventKind(
        604, "warning", "A peer message was malformed, foreign or met a full queue."
    )
    PEER_LINK_REPLACED = EventKind(
        605, "info", "The socket to a silent peer was replaced."
    )


@dataclass(frozen=True, slots=True)
class Event:
    """One occurrence, on its way to the log.

    :param fields: plain values; no keys and no caller data.
    """

    name: EventName
    fields: Mapping[str, object] = field(default_factory=dict)


def format_catalogue() -> str:
    """Return the catalogue as a Markdown page."""
    lines = [
        "# Events",
        "",
        "Every log line has an event number and a name from this list.",
        "`python -m sardinemill.events` prints this page.",
        "",
        "| number | name | level | meaning |",
        "|---|---|---|---|",
    ]
    for name in sorted(EventName, key=lambda item: item.value.number):
        kind = name.value
        lines.append(
            f"| {kind.number} | `{name.name.lower()}` | {kind.level} "
            f"| {kind.description} |"
        )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(format_catalogue(), end="")
