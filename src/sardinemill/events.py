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
    ORDER_TAKEN = EventKind(106, "info", "An operator's order is carried out.")
    ORDER_DROPPED = EventKind(
        107, "warning", "An order was not carried out; it may be given again."
    )
    SETTINGS_RELOADED = EventKind(108, "info", "The settings file was read again.")
    SETTINGS_REJECTED = EventKind(
        109, "error", "The changed settings file has faults; the old settings stay."
    )
    TASK_FAILED = EventKind(105, "error", "A task ended with an error.")

    # 2xx requests: placement, scheduling and transactions
    REQUEST_MOVED = EventKind(221, "info", "A request went on to another home.")
    OUTCOME_UNKNOWN = EventKind(222, "warning", "A write got no answer; unknown.")
    TRANSACTION_OPENED = EventKind(224, "debug", "A transaction holds a connection.")
    TRANSACTION_IDLE = EventKind(223, "info", "An idle transaction is rolled back.")

    STATEMENT_REFUSED = EventKind(
        231, "info", "A statement got an error, with the inputs that decided it."
    )
    STATEMENT_RETRIED = EventKind(
        232, "info", "A read went to another database after a failed attempt."
    )
    STATEMENT_ANSWERED = EventKind(
        235, "info", "A database answered, with the inputs that chose it."
    )
    SESSION_REFUSED = EventKind(233, "info", "A session was not opened.")
    LINES_DROPPED = EventKind(
        234, "warning", "Log lines above the rate limit were counted and dropped."
    )

    # 3xx databases and failover
    PRIMARY_SUSPECTED = EventKind(
        301, "warning", "Detect: a group's primary is suspected, or there is none."
    )
    FENCE_STARTED = EventKind(302, "warning", "Fence: all databases get a new term.")
    FENCE_COMPLETED = EventKind(303, "info", "Fence: a majority of slots is fenced.")
    PRIMARY_CHOSEN = EventKind(
        304, "info", "Choose: the database with the highest position is promoted."
    )
    PRIMARY_PROMOTED = EventKind(305, "warning", "Promote: the database is primary.")
    PRIMARY_LEARNED = EventKind(306, "info", "Learn: a primary of a higher term.")
    FAILOVER_ABANDONED = EventKind(
        307, "warning", "An attempt at failover ended without a new primary."
    )
    ADMISSION_ORDERED = EventKind(
        308, "info", "A database that restarted empty has caught up and may vote again."
    )

    CHANGE_STARTED = EventKind(
        311, "warning", "A group gets another primary; the old one is no longer used."
    )
    CHANGE_COMPLETED = EventKind(312, "warning", "A group has another primary.")
    CHANGE_ABANDONED = EventKind(
        313, "warning", "A change of primary ended without a new one."
    )
    PROMOTION_ORDERED = EventKind(
        314, "warning", "The platform was asked to promote a database."
    )
    PROMOTION_FAILED = EventKind(315, "warning", "The platform promoted nothing.")
    RIGHT_LOST = EventKind(
        316, "warning", "Primaries are not used: no evidence that they still are."
    )
    RIGHT_REGAINED = EventKind(317, "info", "Primaries are used again.")
    ISOLATED = EventKind(
        318, "warning", "The instance is cut off; new sessions should go elsewhere."
    )
    ISOLATION_ENDED = EventKind(319, "info", "The instance takes new sessions again.")

    # 4xx rate limits
    SHARD_TAKEN = EventKind(401, "info", "The instance lends tokens of a shard.")
    SHARD_LOST = EventKind(402, "warning", "A shard's lease ended unplanned.")
    SHARD_RELEASED = EventKind(403, "info", "The instance gave a shard away.")
    SEAT_TAKEN = EventKind(404, "info", "The instance holds a seat with a reserve.")
    SEAT_LOST = EventKind(405, "warning", "The seat's lease ended unplanned.")
    SEAT_RELEASED = EventKind(406, "info", "The instance gave its seat back.")
    LEASE_RECORD_INVALID = EventKind(407, "error", "A lease object is not readable.")
    OWNER_UNREACHABLE = EventKind(
        408, "warning", "Requests were refused because no shard owner answered."
    )

    # 5xx configuration and keys
    CONFIGURATION_ADOPTED = EventKind(
        501, "info", "A higher configuration version is in force at this instance."
    )
    CONFIGURATION_REJECTED = EventKind(
        502, "error", "A configuration document is malformed; the old one stays."
    )
    RELAY_STARTED = EventKind(
        503, "info", "The instance watches the configuration in the store."
    )
    RELAY_STOPPED = EventKind(
        504, "info", "The instance pulls the configuration from a relay."
    )
    STORE_CALLS_FAILED = EventKind(
        505, "warning", "The relay's store calls began to fail."
    )
    STORE_CALLS_RECOVERED = EventKind(
        506, "info", "The relay's store calls succeed again."
    )
    OUTAGE_CONFIRMED = EventKind(
        507, "warning", "Relays of every data centre report the store unreachable."
    )
    OUTAGE_ENDED = EventKind(
        508, "info", "The store is no longer known to be unreachable everywhere."
    )
    CONFIGURATION_STALE = EventKind(
        509, "warning", "The configuration has not been confirmed within the limit."
    )

    DATABASES_CHANGED = EventKind(510, "info", "The list of databases has changed.")

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

    COORDINATORS_CHANGED = EventKind(
        606, "info", "Other instances answer for the state of the fleet."
    )

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
