"""Frozen messages between instances about the state of the fleet."""

from dataclasses import dataclass, field

from ..groups import Address
from ..sessions.routes import Configuration
from .records import Directory, FleetRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class PositionReport:
    """Position of a primary in use.

    :param age_seconds: time since it was certain to be reached, at the sender's send
        time.
    """

    group: str
    term: int
    offset: int
    age_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ContactReport:
    """Last use of a database by the sender."""

    database: str
    is_alive: bool
    age_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Introduction:
    """How the sender is reached."""

    instance: str
    data_centre: str
    host: str
    port: int

    @property
    def address(self) -> Address:
        """Endpoint for messages of other instances."""
        return Address(self.host, self.port)


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetQuestion:
    """What an instance knows; the receiver answers with what is newer.

    :param number: counts up in one process; the answer repeats it.
    :param directory_digest: of the databases that the sender knows.
    :param echo_number: of the last answer from the receiver.
    :param echo_seconds: time from the arrival of that answer to this question. It
        bounds how long the question travelled.
    :param introduction: left out after a question that was answered.
    :param wants_positions: positions are exchanged with one coordinator only.
    :param contacts: with primaries, since the last question.
    """

    number: int
    record_revision: int
    configuration_version: int
    directory_digest: str
    echo_number: int = 0
    echo_seconds: float = 0.0
    introduction: Introduction | None = None
    wants_positions: bool = False
    positions: tuple[PositionReport, ...] = ()
    contacts: tuple[ContactReport, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetAnswer:
    """Answer to a question.

    Ages are counted at the send time of the answer. The asker takes them as counted at
    the send time of its question, which errs towards older.

    :param incarnation: process of the sender.
    :param record_age_seconds: since the sender read the record from the store.
    :param record: left out when the asker has that revision.
    :param configuration_age_seconds: since the configuration was known to be current.
    :param directory_age_seconds: since the sender read the directory.
    :param n_instances: instances that the sender hears from, itself included.
    """

    number: int
    incarnation: str
    record_revision: int
    record_age_seconds: float
    record: FleetRecord | None = None
    configuration: Configuration | None = field(default=None, repr=False)
    directory: Directory | None = None
    directory_age_seconds: float = 0.0
    configuration_version: int = 0
    configuration_age_seconds: float = 0.0
    positions: tuple[PositionReport, ...] = ()
    n_instances: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenRequest:
    """Asks a coordinator for tokens of a workspace's rate limit."""

    number: int
    workspace: str
    n_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenGrant:
    """Answer to a request for tokens.

    :param n_tokens: may be less than asked for, also 0.
    :param retry_after_seconds: until the next token.
    """

    number: int
    workspace: str
    n_tokens: int
    retry_after_seconds: float = 0.0
