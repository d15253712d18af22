"""Frozen messages between instances about the state of the fleet."""

from dataclasses import dataclass, field

from ..groups import Address
from ..sessions.routes import Configuration
from .gateway_table import GatewayTable
from .records import Directory, FleetRecord
from .store_versions import StoreVersion

# Age that messages give for data that was never read.
MAX_AGE_SECONDS = 1e9
# Era that messages of the version before give, which knows of none.
NO_ERA = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class PositionReport:
    """Log position of a primary in use.

    :param term: term of the position.
    :param offset: offset of the position within the log.
    :param age_seconds: time from the observation of the position until this message
        was sent; the position includes every commit that was acknowledged before the
        observation.
    """

    group: str
    term: int
    offset: int
    age_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ContactReport:
    """Outcome of the sender's last use of a database.

    :param is_alive: the database answered.
    :param age_seconds: time from the use until this message was sent.
    """

    database: str
    is_alive: bool
    age_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Introduction:
    """Name and address of the sender."""

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
    """Synchronization request: versions the sender has; the answer has what is newer.

    :param number: increases with each question of a process; the answer repeats it.
    :param directory_digest: hash of the sender's directory of databases.
    :param echo_number: number of the last answer from the receiver, 0 for none.
    :param echo_seconds: time from the arrival of that answer to this question. With it
        the receiver bounds the transit time of this question.
    :param introduction: omitted once the receiver has answered the last question.
    :param wants_positions: the answer shall contain positions; an instance exchanges
        them with one coordinator only.
    :param contacts: with primaries, since the last question.
    :param gateway_capacity: relative processor capacity of a sender that accepts
        forwarded statements, 0 if it accepts none.
    :param gateways_digest: hash of the sender's table of gateways.
    :param record_era: era of the store in which the sender's record was written.
    :param restored: versions of older eras that the sender's record goes on from.
    :param store_era: highest era of the store that the sender knows, ``NO_ERA`` if it
        knows of no eras.
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
    gateway_capacity: int = 0
    gateways_digest: int = 0
    record_era: int = 0
    restored: tuple[StoreVersion, ...] = ()
    store_era: int = NO_ERA


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetAnswer:
    """Answer to a :class:`FleetQuestion`; newer data that the receiver lacks.

    Ages hold at the time at which the answer was sent. The receiver applies them at the
    send time of its question, so that it errs towards older data.

    :param incarnation: process of the sender.
    :param record_age_seconds: time since the record was last known to be in the store.
    :param record: omitted when the receiver's record goes on from it.
    :param configuration: omitted when the receiver has that version.
    :param configuration_age_seconds: time since the configuration was last known to be
        current in the store.
    :param directory: omitted when the receiver has the same one.
    :param directory_age_seconds: time since the directory was last known to be current.
    :param n_instances: number of instances: the sender and those that sent it questions
        recently.
    :param confirmed_age_seconds: time since the sender last had proof that no later
        record existed, from the store or from all coordinators.
    :param gateways: sent with positions, unless the receiver has the same table.
    :param record_era: era of the store in which the sender's record was written.
    :param store_era: highest era of the store that the sender knows, ``NO_ERA`` if it
        knows of no eras.
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
    confirmed_age_seconds: float = MAX_AGE_SECONDS
    gateways: GatewayTable | None = None
    record_era: int = 0
    store_era: int = NO_ERA


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenRequest:
    """Request to a coordinator for tokens of a workspace's rate limit.

    :param number: repeated in the answer.
    :param n_tokens: tokens wanted now, for waiting operations and in advance.
    :param n_waiting: number of operations that wait; tokens may be reserved for them.
    :param max_wait_seconds: longest useful wait for a reserved token.
    """

    number: int
    workspace: str
    n_tokens: int
    n_waiting: int = 0
    max_wait_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenGrant:
    """Answer to a request for tokens.

    :param n_tokens: at most the number requested, possibly 0.
    :param retry_after_seconds: time until the next token that is not reserved.
    :param n_reserved: further tokens, each valid only from a later time on.
    :param reserved_wait_seconds: time until the first reserved token is valid.
    :param interval_seconds: time between two reserved tokens.
    """

    number: int
    workspace: str
    n_tokens: int
    retry_after_seconds: float = 0.0
    n_reserved: int = 0
    reserved_wait_seconds: float = 0.0
    interval_seconds: float = 0.0
