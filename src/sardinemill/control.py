"""Messages for forwarding, configuration versions, operators' orders and drains.

A relay is an instance that watches the configuration in the store; the other instances
of its data centre query the relay instead.
"""

from dataclasses import dataclass, field

from .messages import Reply, Request


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEnvelope:
    """Message to or from another instance.

    :param peer: destination of a message to send, source of a received one; ``"*"``
        sends to all peers.
    """

    peer: str
    message: object


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """Request that an entry instance forwards to a home instance.

    :param entry: name of the entry instance.
    :param remaining_seconds: time to the deadline when it was sent; the receiver turns
        it into a deadline on its own clock.
    """

    request: Request
    entry: str
    remaining_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedReply:
    """Reply that a home instance sends back to the entry instance."""

    reply: Reply


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedCancellation:
    """The caller of a forwarded request has disconnected."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionQuery:
    """Query for the configuration version of another instance, usually a relay.

    :param query_id: correlates the answer with the query.
    :param known_version: configuration version of the sender.
    :param lacking: configuration parts that are missing because the last answer omitted
        them to limit its size.
    """

    query_id: str
    source: str
    known_version: int
    lacking: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionAnswer:
    """Configuration state of an instance; answers a :class:`VersionQuery`.

    :param confirmed_age_seconds: time since the version was last confirmed against the
        store, at the time of the answer.
    :param store_unreachable_seconds: time since the first of the failing store calls of
        a relay was made; 0 while they succeed.
    :param store_failure_age_seconds: time since the last of them failed.
    :param document: encoded parts that the sender of the query needs, as many as the
        size limit of an answer allows; ``None`` if its version is not older.
    :param outage_age_seconds: age of the evidence that no data centre reaches the
        store, or ``None`` without such evidence.
    """

    query_id: str
    source: str
    data_centre: str
    version: int
    confirmed_age_seconds: float
    store_unreachable_seconds: float
    document: bytes | None = field(default=None, repr=False)
    outage_age_seconds: float | None = None
    store_failure_age_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainStarted:
    """This instance was asked to stop and accepts no new work from now on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainFinished:
    """A stage has no work left after :class:`DrainStarted`; may be sent again."""

    step: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotice:
    """Notification that the store holds an order for the receiving instance.

    :param name: name of the store object.
    """

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainOrdered:
    """An operator asked this instance to drain and stop."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionOrdered:
    """An operator asked for a new primary of a group."""

    group: str
