"""Frozen messages of the control path: positions, failover, lending, membership."""

from dataclasses import dataclass, field
from enum import StrEnum

from .groups import Address, GroupDescription
from .messages import Reply, Request
from .positions import LogPosition


class Role(StrEnum):
    """Role of a database in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class InstanceState(StrEnum):
    """State of an instance in the platform's list and in heartbeats."""

    LIVE = "live"
    LEAVING = "leaving"


# Databases


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseReport:
    """State of a database.

    :param fenced_term: highest term that the database accepted a fence for.
    :param position: last entry of its log.
    :param incarnation: changes when the database restarts.
    :param is_leaving: the database wants no new work.
    :param is_recovering: a restart has cost the database its fenced term and its log;
        it counts in no majority, since its earlier votes are forgotten.
    :param asked_at: local monotonic seconds before the question was sent; 0 until the
        adapter sets it.
    :param received_at: local monotonic seconds at receipt; 0 until the adapter sets it.
    """

    group: str
    database: str
    role: Role
    fenced_term: int
    position: LogPosition
    incarnation: str
    is_leaving: bool = False
    is_recovering: bool = False
    asked_at: float = 0.0
    received_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportFailure:
    """A report call failed or timed out."""

    group: str
    database: str
    asked_at: float
    failed_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportQuery:
    """Asks the prober of a database for a report.

    :param wait_for: see :meth:`ControlConnection.report`.
    """

    group: str
    database: str
    wait_for: LogPosition | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceOrder:
    """Asks a database to accept nothing below ``term``.

    :param is_confirming: asked after a majority accepted; echoed by the answer.
    """

    group: str
    database: str
    term: int
    orderer: str
    is_confirming: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceAnswer:
    """:param accepted: whether the database is now fenced at the order's term by its
    orderer; ``fenced_term`` tells the term in force otherwise.
    :param incarnation: as in :class:`DatabaseReport`.
    """

    group: str
    database: str
    term: int
    accepted: bool
    fenced_term: int
    position: LogPosition
    incarnation: str = ""
    is_confirming: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitOrder:
    """Tells a recovering database that it may vote again.

    :param term: fenced term that the database must have.
    :param position: position that its log must have reached.
    :param incarnation: the only one that may carry out the order.
    """

    group: str
    database: str
    term: int
    position: LogPosition
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteOrder:
    """Asks a fenced database to become primary of ``term``."""

    group: str
    database: str
    term: int
    orderer: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteAnswer:
    """:param position: first entry of the new term when ``accepted``."""

    group: str
    database: str
    term: int
    accepted: bool
    fenced_term: int
    position: LogPosition


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderFailure:
    """An order got no answer; its effect is unknown."""

    order: FenceOrder | PromoteOrder | AdmitOrder


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryChanged:
    """News of a primary; the highest term wins."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryOpinion:
    """What one home of a group thinks of the group's primary.

    :param is_suspected: whether the observer itself hears nothing from the database.
    :param wants_answer: asks the receiver for its own opinion.
    """

    group: str
    database: str
    observer: str
    is_suspected: bool
    wants_answer: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupsChanged:
    """Groups whose home this instance is, with the instances ranked as homes.

    :param homes: group name to home instances, best first.
    """

    groups: tuple[GroupDescription, ...]
    homes: tuple[tuple[str, tuple[str, ...]], ...]


# Instances


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceInfo:
    """One instance of the fleet."""

    name: str
    data_centre: str
    peer_address: Address
    front_address: Address
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Sign of life between instances.

    :param sequence: counts up from 1 in one process.
    :param configuration_version: version in force at the sender.
    :param info: the sender itself, for receivers whose list does not hold it yet;
        heartbeats to the monitors leave it out.
    """

    source: str
    incarnation: str
    sequence: int
    state: InstanceState
    configuration_version: int
    info: InstanceInfo | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspicionReport:
    """Instances that a monitor does not hear, for its own data centre.

    :param incarnation: process of the source; ``sequence`` counts up from 1 in it.
    :param suspects: pairs of name and first characters of the incarnation last heard,
        empty if none was.
    :param valid_seconds: time from receipt after which the report no longer counts.
    """

    source: str
    incarnation: str
    sequence: int
    suspects: tuple[tuple[str, str], ...]
    valid_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChanged:
    """Instances in use now: listed, heard from, and not suspected.

    :param live: take new work.
    :param leaving: finish work, take none.
    :param candidates: all instances that the peer link keeps a connection to, also
        the suspected ones, so that they are heard when they come back.
    """

    live: tuple[InstanceInfo, ...]
    leaving: tuple[InstanceInfo, ...]
    candidates: tuple[InstanceInfo, ...] = ()


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


# Rate limits


@dataclass(frozen=True, slots=True, kw_only=True)
class BorrowRequest:
    """Asks a shard's owner for tokens; a repeat carries the same ``borrow_id``.

    :param returns: loans of this owner that ended early, spent or not.
    :param lifetime_seconds: longest use of the loan; a short one frees its place in
        the bucket without a return message.
    """

    borrow_id: str
    borrower: str
    workspace: str
    n_tokens: float
    returns: "tuple[LoanReturn, ...]" = ()
    lifetime_seconds: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Loan:
    """Answer to a borrow request.

    :param n_tokens: granted tokens; 0 when the bucket is empty or the sender does not
        own the shard.
    :param lifetime_seconds: counted by the borrower from when it sent the request.
    :param retry_after_seconds: when the bucket holds tokens again; 0 with a short
        grant means that reports of spent loans make room for more at once.
    :param owner: instance that the sender believes to be the owner.
    :param is_crowded: loans use up much of the bucket, so that the end of each loan
        should be reported at once.
    """

    borrow_id: str
    workspace: str
    epoch: int
    n_tokens: float
    lifetime_seconds: float
    retry_after_seconds: float = 0.0
    owner: str = ""
    is_crowded: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LoanReturn:
    """Unspent tokens of a loan that has not ended yet; 0 when all were spent."""

    borrow_id: str
    borrower: str
    workspace: str
    epoch: int
    n_tokens: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLease:
    """Lease of a shard as the local lease task sees it.

    :param epoch: counts changes of owner.
    :param valid_until: local monotonic seconds; counted from before the renewal call.
    :param taken_at: local monotonic seconds at which this owner began.
    :param is_closing: the owner lends no more and answers with :class:`ShardClosed`.
    """

    shard: int
    owner: str
    epoch: int
    valid_until: float
    taken_at: float
    is_closing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardClosed:
    """Nothing more is lent of the shard, so its lease may be released."""

    shard: int
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardReleased:
    """Tells the next owner of a shard that its lease is free."""

    shard: int
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatLease:
    """Seat of this instance; ``None`` as seat means that it holds none.

    :param is_closing: the reserve must not be used any more; :class:`SeatClosed`
        answers once no pledge of it is open.
    :param place: 0 for the first seat of the instance, 1 for a spare one.
    """

    seat: int | None
    valid_until: float
    is_closing: bool = False
    place: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatClosed:
    """The reserve of the seat is neither used nor pledged; it may be released."""

    seat: int
    place: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveQuery:
    """A shard's owner asks instances to pledge their reserves to it.

    :param asked_at: seconds on the owner's clock, echoed by the answer.
    :param term_seconds: how long the reserves shall stay unused, from receipt.
    :param workspaces: those whose tokens in the reserve the owner wants.
    """

    shard: int
    epoch: int
    asked_at: float
    term_seconds: float
    workspaces: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservePledge:
    """Promise not to use the reserve of a seat for the workspaces of a shard.

    :param term_seconds: counted by the instance from receipt of the question; the
        owner counts it from when it asked.
    :param levels: workspaces and their tokens, which leave the reserve for good.
    """

    shard: int
    epoch: int
    instance: str
    seat: int
    asked_at: float
    term_seconds: float
    levels: tuple[tuple[str, float], ...] = ()


# Configuration


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


# Home side


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseLoad:
    """Queue of a database at this home.

    :param mean_service_seconds: smoothed time of one request on a connection.
    """

    database: str
    n_queued: int
    n_running: int
    mean_service_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainStarted:
    """This instance was asked to stop; it takes no new work from now on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainFinished:
    """A step has no work left after :class:`DrainStarted`; may be repeated."""

    step: str


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceList:
    """Platform's list of instances; answers an :class:`InstanceListQuery`."""

    instances: tuple[InstanceInfo, ...]


# Orders of operators


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


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListChange:
    """Change of the platform's list, from a relay to its data centre.

    :param base: digest of the list before the change.
    :param digest: digest of the list after it; equal to ``base`` when the relay only
        repeats its digest.
    :param changed: added and changed entries.
    :param removed: names that the list no longer holds.
    """

    base: str
    digest: str
    changed: tuple[InstanceInfo, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListQuery:
    """Asks an instance for its whole list.

    :param digest: digest of the asker's list, empty if it has none.
    """

    digest: str


# Calls to the platform's store


class StoreOperation(StrEnum):
    """Operation of the platform's store."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    WATCH = "watch"
    LIST_NAMES = "list names"
    LIST_INSTANCES = "list instances"


class StoreFailure(StrEnum):
    """Why a store call failed."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCall:
    """Call that a store task makes for a filter; fields as in ``interfaces.Store``.

    :param name: object name, or the prefix for ``LIST_NAMES``.
    """

    call_id: str
    operation: StoreOperation
    name: str = ""
    value: bytes = field(default=b"", repr=False)
    expected_version: int = 0
    after_version: int = 0
    timeout_seconds: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreReply:
    """Outcome of a store call.

    :param version: version of the object; after a conflict the current one.
    :param failure: ``UNAVAILABLE`` leaves the effect of an update unknown.
    :param asked_at: local monotonic seconds before the call was sent.
    """

    call: StoreCall
    failure: StoreFailure | None
    asked_at: float
    version: int = 0
    value: bytes = field(default=b"", repr=False)
    names: tuple[str, ...] = ()
    instances: tuple[InstanceInfo, ...] = ()
