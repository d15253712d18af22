"""Catalogue of the numbered log events.

``python -m sardinemill.events`` prints the catalogue as the page ``docs/events.md``.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True)
class EventKind:
    """Entry of the catalogue.

    :param number: stable number; never reused for another event.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param description: meaning of the event, for operators.
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
    DRAIN_STARTED = EventKind(102, "info", "The instance accepts no new work.")
    INSTANCE_STOPPED = EventKind(103, "info", "The instance has stopped.")
    OUTLET_UNBOUND = EventKind(
        104, "error", "A message was emitted to an outlet without a receiver."
    )
    ORDER_TAKEN = EventKind(
        106, "info", "The instance carries out an operator's order."
    )
    ORDER_DROPPED = EventKind(
        107,
        "warning",
        "An operator's order was not carried out; it may be issued again.",
    )
    SETTINGS_RELOADED = EventKind(108, "info", "The settings file was reloaded.")
    SETTINGS_REJECTED = EventKind(
        109,
        "error",
        "The changed settings file is invalid; the old settings stay in force.",
    )
    DRAIN_FINISHED = EventKind(
        110, "info", "The drain has ended; the components are stopped next."
    )
    TASK_FAILED = EventKind(105, "error", "A task ended with an error.")

    # 2xx requests: placement, scheduling and transactions
    REQUEST_MOVED = EventKind(
        221, "info", "A request was forwarded to another home instance."
    )
    OUTCOME_UNKNOWN = EventKind(
        222, "warning", "A write got no answer; its outcome is unknown."
    )
    TRANSACTION_OPENED = EventKind(224, "debug", "A transaction holds a connection.")
    TRANSACTION_IDLE = EventKind(223, "info", "An idle transaction is rolled back.")

    # 23x statements and sessions of instances that serve sessions
    STATEMENT_REFUSED = EventKind(
        231, "info", "A statement was refused; the fields show the reasons."
    )
    STATEMENT_RETRIED = EventKind(
        232, "info", "A read was retried at another database after a failed attempt."
    )
    STATEMENT_ANSWERED = EventKind(
        235,
        "info",
        "A database answered a statement; the fields show why it was chosen.",
    )
    GATEWAY_STATEMENT_FAILED = EventKind(
        236, "info", "A statement that another instance forwarded failed at a database."
    )
    REQUEST_CUT_OFF = EventKind(
        237, "info", "A client's connection ended before the answer to its request."
    )
    LOCALITY_CHANGED = EventKind(
        239,
        "info",
        "Reads of a group begin or cease to leave the data centre to save time.",
    )
    CLIENT_CLOSED = EventKind(
        238,
        "warning",
        "A client's connection was closed at a limit; the fields show what was held.",
    )
    MESSAGE_REFUSED = EventKind(
        240,
        "info",
        "A statement or an opening message was refused without a database.",
    )
    TEXT_CHANGED = EventKind(
        241, "error", "A database got another text than the client sent."
    )
    SESSION_REFUSED = EventKind(233, "info", "A session was not opened.")
    LINES_DROPPED = EventKind(
        234,
        "warning",
        "Log lines above the rate limit were dropped; the fields show how many.",
    )

    # 3xx databases and failover
    PRIMARY_SUSPECTED = EventKind(
        301, "warning", "Detect: a group's primary is suspected, or there is none."
    )
    FENCE_STARTED = EventKind(
        302,
        "warning",
        "Fence: all databases of a group are asked to accept a new term.",
    )
    FENCE_COMPLETED = EventKind(
        303, "info", "Fence: a majority of slots has accepted the new term."
    )
    PRIMARY_CHOSEN = EventKind(
        304, "info", "Choose: the database with the highest position is promoted."
    )
    PRIMARY_PROMOTED = EventKind(305, "warning", "Promote: the database is primary.")
    PRIMARY_LEARNED = EventKind(
        306, "info", "Learn: the instance has learned of a primary of a higher term."
    )
    FAILOVER_ABANDONED = EventKind(
        307, "warning", "A failover attempt ended without a new primary."
    )
    ADMISSION_ORDERED = EventKind(
        308,
        "info",
        "A database that restarted without data has caught up and may vote again.",
    )

    # 31x failover and primary leases of instances that serve sessions
    CHANGE_STARTED = EventKind(
        311,
        "warning",
        "A failover has started; the group's old primary is no longer used.",
    )
    CHANGE_COMPLETED = EventKind(
        312, "warning", "A failover has completed; the group has a new primary."
    )
    CHANGE_ABANDONED = EventKind(
        313, "warning", "A failover ended without a new primary."
    )
    PROMOTION_ORDERED = EventKind(
        314, "warning", "The platform was asked to promote a database."
    )
    PROMOTION_FAILED = EventKind(
        315, "warning", "The platform did not promote the database."
    )
    RIGHT_LOST = EventKind(
        316,
        "warning",
        "The primary lease has expired; the instance uses no primary until renewal.",
    )
    RIGHT_REGAINED = EventKind(
        317, "info", "The primary lease is renewed; the instance uses primaries again."
    )
    ISOLATED = EventKind(
        318, "warning", "The instance is isolated and not ready for new sessions."
    )
    ISOLATION_ENDED = EventKind(
        319, "info", "The instance is ready for new sessions again."
    )
    DEMOTION_ORDERED = EventKind(
        320,
        "warning",
        "A database that acts as primary against the record is told to step down.",
    )
    CANDIDATE_AWAITED = EventKind(
        321, "warning", "A failover waits for a database that can be promoted."
    )

    # 4xx rate limits
    SHARD_TAKEN = EventKind(
        401, "info", "The instance holds a shard's lease and lends its tokens."
    )
    SHARD_LOST = EventKind(
        402, "warning", "A shard's lease ended before it was released."
    )
    SHARD_RELEASED = EventKind(403, "info", "The instance released a shard's lease.")
    SEAT_TAKEN = EventKind(
        404, "info", "The instance holds a seat and its reserve of tokens."
    )
    SEAT_LOST = EventKind(
        405, "warning", "The seat's lease ended before it was released."
    )
    SEAT_RELEASED = EventKind(406, "info", "The instance released its seat.")
    LEASE_RECORD_INVALID = EventKind(
        407, "error", "A lease object in the store could not be decoded."
    )
    OWNER_UNREACHABLE = EventKind(
        408, "warning", "Requests were refused because no shard owner answered."
    )

    # 5xx configuration and keys
    CONFIGURATION_ADOPTED = EventKind(
        501, "info", "A higher configuration version is in force at this instance."
    )
    CONFIGURATION_REJECTED = EventKind(
        502, "error", "A configuration document is invalid; the old one stays in force."
    )
    RELAY_STARTED = EventKind(
        503, "info", "The instance watches the configuration in the store."
    )
    RELAY_STOPPED = EventKind(
        504, "info", "The instance gets the configuration from a relay."
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

    EVACUATION_STARTED = EventKind(
        511,
        "warning",
        "Operators evacuate a data centre; its databases get no new work.",
    )
    EVACUATION_ENDED = EventKind(
        512, "info", "A data centre is no longer evacuated; its databases are used."
    )
    CONFIGURATION_ENTRIES_UNUSABLE = EventKind(
        513,
        "error",
        "The entries of the configuration that are not used have changed.",
    )
    CONFIGURATION_CONFIRMED = EventKind(
        514, "info", "The configuration is again confirmed within the limit."
    )

    # 6xx membership and peers
    INSTANCE_SUSPECTED = EventKind(
        601, "warning", "An instance is suspected to have failed."
    )
    INSTANCE_HEARD = EventKind(
        602, "info", "An instance is reachable, or reachable again."
    )
    INSTANCE_LIST_FAILED = EventKind(
        603, "warning", "The platform's list of instances could not be read."
    )
    PEER_MESSAGE_DROPPED = EventKind(
        604,
        "warning",
        "Peer messages were dropped: malformed, unknown sender or full queue.",
    )
    PEER_LINK_REPLACED = EventKind(
        605, "info", "The socket to an unresponsive peer was replaced."
    )

    COORDINATORS_CHANGED = EventKind(
        606, "info", "The set of coordinators of the fleet has changed."
    )
    GATEWAYS_CHANGED = EventKind(
        607, "info", "Another table says which instance is the gateway of a database."
    )

    # 7xx store
    STORE_CALL_ABORTED = EventKind(
        701,
        "error",
        "A store call ended with an unexpected error and counts as not answered.",
    )
    DATABASE_ENTRIES_SKIPPED = EventKind(
        702,
        "warning",
        "The skipped entries among those of the databases have changed.",
    )
    STORE_ERA_IGNORED = EventKind(
        703,
        "warning",
        "The store named an era that is malformed or falls; it counts as unknown.",
    )
    STORE_ERA_RAISED = EventKind(
        704,
        "warning",
        "The store came back from an older copy; the fleet record gets restored.",
    )
    RECORD_RESTORED = EventKind(
        705, "warning", "This instance has written the fleet record over an older copy."
    )

    # 8xx stand-ins
    STAND_IN_STARTED = EventKind(801, "info", "A stand-in serves requests.")
    STAND_IN_STOPPED = EventKind(802, "info", "A stand-in has stopped.")
    FAULTS_CHANGED = EventKind(
        803, "info", "The injected faults of a stand-in were changed."
    )
    DATABASE_ROLE_CHANGED = EventKind(
        804, "info", "A database stand-in changed its role or term."
    )


@dataclass(frozen=True, slots=True)
class Event:
    """Occurrence of an event, to be logged.

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
