"""Frozen messages between instances, of operators' orders and of a drain."""

from dataclasses import dataclass, field

from .messages import Reply, Request


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEnvelope:
    """Message to or from another instance.

    :param peer: destination when offered to the link, source when received.
    """

    peer: str
    message: object


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """Request on its way to a home.

    :param remaining_seconds: time to the deadline when it was sent; the receiver turns
        it into a deadline on its own clock.
    """

    request: Request
    entry: str
    remaining_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedReply:
    """Reply on its way back to the entry instance."""

    reply: Reply


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedCancellation:
    """The caller of a forwarded request has gone."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionQuery:
    """Asks a relay for its configuration version; ``query_id`` matches the answer.

    :param lacking: parts that the last answer left out for their size.
    """

    query_id: str
    source: str
    known_version: int
    lacking: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionAnswer:
    """Configuration state of a relay.

    :param confirmed_age_seconds: time since the version was last confirmed against the
        store, at the time of the answer.
    :param store_unreachable_seconds: time since the first of the relay's failing store
        calls was made; 0 while they succeed.
    :param store_failure_age_seconds: time since the last of them failed.
    :param document: encoded configuration when the asker's version is older.
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
    """This instance was asked to stop; it takes no new work from now on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainFinished:
    """A step has no work left after :class:`DrainStarted`; may be repeated."""

    step: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotice:
    """Tells an instance that an order for it is in the store.

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
