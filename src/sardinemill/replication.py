"""Frozen messages about databases: reports, fences, promotions, homes."""

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
class FenceRequest:
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
class AdmitRequest:
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
class PromoteRequest:
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
class ControlRequestFailure:
    """An order got no answer; its effect is unknown."""

    order: FenceRequest | PromoteRequest | AdmitRequest


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


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseLoad:
    """Queue of a database at this home.

    :param mean_service_seconds: smoothed time of one request on a connection.
    """

    database: str
    n_queued: int
    n_running: int
    mean_service_seconds: float
