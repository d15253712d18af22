"""Messages about databases: reports, fencing, promotion, primaries and load."""

from dataclasses import dataclass
from enum import StrEnum

from .groups import GroupDescription
from .positions import LogPosition


class Role(StrEnum):
    """Role of a database in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseReport:
    """Replication state of a database.

    :param fenced_term: highest term for which the database accepted a fence request.
    :param position: position of the last entry of its log.
    :param incarnation: changes when the database restarts.
    :param is_leaving: whether the database is draining and accepts no new work.
    :param is_recovering: whether a restart has lost the fenced term and the log; the
        database then counts in no majority, since it has lost its earlier votes.
    :param asked_at: local monotonic seconds before the query was sent; 0 until the
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
    """A report query failed or timed out."""

    group: str
    database: str
    asked_at: float
    failed_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportQuery:
    """Query for a report, sent to the prober of a database.

    :param wait_for: see :meth:`~sardinemill.interfaces.ControlConnection.report`.
    """

    group: str
    database: str
    wait_for: LogPosition | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceRequest:
    """Request that a database reject everything of terms below ``term``.

    :param orderer: instance that sends the request.
    :param is_confirming: whether a majority had accepted the term before the request
        was sent; echoed by the answer.
    """

    group: str
    database: str
    term: int
    orderer: str
    is_confirming: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceAnswer:
    """Answer to a :class:`FenceRequest`.

    :param accepted: whether the database is now fenced at the term of the request by
        its orderer; otherwise ``fenced_term`` is the term in force.
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
class AdmitRequest:
    """Request that a recovering database vote again.

    :param term: fenced term that the database must have.
    :param position: position that its log must have reached.
    :param incarnation: the only incarnation that may carry out the request.
    """

    group: str
    database: str
    term: int
    position: LogPosition
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteRequest:
    """Request that a fenced database become the primary of ``term``.

    :param orderer: instance that fenced the database.
    """

    group: str
    database: str
    term: int
    orderer: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteAnswer:
    """Answer to a :class:`PromoteRequest`.

    :param position: position of the first entry of the new term if ``accepted``.
    """

    group: str
    database: str
    term: int
    accepted: bool
    fenced_term: int
    position: LogPosition


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlRequestFailure:
    """A control request got no answer; its effect is unknown."""

    order: FenceRequest | PromoteRequest | AdmitRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryChanged:
    """Notification of a group's primary; that of the highest term is valid."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryOpinion:
    """Failure detector state of one home instance for its group's primary.

    :param observer: home instance that sends the opinion.
    :param is_suspected: whether the observer itself suspects the database.
    :param wants_answer: whether the receiver should send its own opinion.
    """

    group: str
    database: str
    observer: str
    is_suspected: bool
    wants_answer: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupsChanged:
    """Groups that this instance is a home of, with the home instances of each.

    :param homes: pairs of group name and home instances, best first.
    """

    groups: tuple[GroupDescription, ...]
    homes: tuple[tuple[str, tuple[str, ...]], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseLoad:
    """Load of a database at this home instance.

    :param mean_service_seconds: smoothed time of a request on a connection.
    """

    database: str
    n_queued: int
    n_running: int
    mean_service_seconds: float
