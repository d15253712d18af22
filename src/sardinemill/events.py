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
    4 rate limits, 5 configuration and keys, 6 membership and peers, 7 store,
    8 stand-ins.
    """

    # 1xx life cycle
    INSTANCE_STARTED = EventKind(101, "info", "The instance serves requests.")
    DRAIN_STARTED = EventKind(102, "info", "The instance takes no new work.")
    INSTANCE_STOPPED = EventKind(103, "info", "The instance has stopped.")
    OUTLET_UNBOUND = EventKind(104, "error", "A message had no receiver.")
    TASK_FAILED = EventKind(105, "error", "A task ended with an error.")

    # 8xx stand-ins
    STAND_IN_STARTED = EventKind(801, "info", "A stand-in serves requests.")
    STAND_IN_STOPPED = EventKind(802, "info", "A stand-in has stopped.")
    FAULTS_CHANGED = EventKind(803, "info", "The faults of a stand-in were changed.")
    DATABASE_ROLE_CHANGED = EventKind(
        804, "info", "A database stand-in changed its role or term."
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
