"""Status of one instance, collected from control messages."""

from collections import Counter
from dataclasses import dataclass, field

from .configuration import ConfigurationChanged, ConfigurationConfirmed
from .control import DrainStarted
from .members import InstanceState, MembershipChanged
from .messages import Answer, Refusal
from .replication import GroupsChanged, PrimaryChanged

# Longer than the platform's list lags; after it, an instance that knows no other is
# taken for the only one.
PEER_DISCOVERY_SECONDS = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupStatus:
    """A database group as this instance sees it.

    :param primary: database that is known to be the primary, or ``""``.
    """

    group: str
    primary: str
    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """What an operator may know about one instance.

    :param confirmed_age_seconds: age of the last confirmation of the configuration;
        ``None`` before the first.
    :param groups: groups whose home this instance is.
    :param refusals: refusals since the start, by code.
    """

    instance: str
    data_centre: str
    state: InstanceState
    configuration_version: int
    confirmed_age_seconds: float | None
    groups: tuple[GroupStatus, ...] = ()
    n_live_instances: int = 0
    n_answers: int = 0
    n_replica_answers: int = 0
    refusals: dict[str, int] = field(default_factory=dict)


class StatusBoard:
    """Collects control messages and counts replies.

    :param instance: name of this instance.
    :param started_at: seconds on the monotonic clock.
    """

    def __init__(
        self, instance: str, data_centre: str, started_at: float = 0.0
    ) -> None:
        self._started_at = started_at
        self._instance = instance
        self._data_centre = data_centre
        self._state = InstanceState.LIVE
        self._configuration_version = 0
        self._confirmed_at: float | None = None
        self._groups: tuple[str, ...] = ()
        self._primaries: dict[str, PrimaryChanged] = {}
        self._n_live_instances = 0
        self._n_answers = 0
        self._n_replica_answers = 0
        self._refusals: Counter[str] = Counter()

    def is_ready(self, now: float) -> bool:
        """Tell whether the instance may get new work.

        It needs a configuration and has to know its peers: requests that come before
        find neither the homes of their groups nor the owners of their rate limits.
        """
        is_without_peers = self._n_live_instances < 2
        if is_without_peers and now - self._started_at < PEER_DISCOVERY_SECONDS:
            return False
        return self._configuration_version > 0 and self._state is InstanceState.LIVE

    @property
    def is_draining(self) -> bool:
        """Whether the instance was asked to stop."""
        return self._state is InstanceState.LEAVING

    def update(self, message: object) -> None:
        """Take a control message or a reply."""
        match message:
            case ConfigurationChanged():
                self._configuration_version = message.configuration.version
            case ConfigurationConfirmed():
                self._confirmed_at = message.confirmed_at
            case GroupsChanged():
                self._groups = tuple(group.name for group in message.groups)
            case PrimaryChanged():
                previous = self._primaries.get(message.group)
                if previous is None or message.term >= previous.term:
                    self._primaries[message.group] = message
            case MembershipChanged():
                self._n_live_instances = len(message.live)
            case DrainStarted():
                self._state = InstanceState.LEAVING
            case Answer():
                self._n_answers += 1
                self._n_replica_answers += message.from_replica
            case Refusal():
                self._refusals[message.code.value] += 1

    def make_status(self, now: float) -> Status:
        """:param now: seconds on the monotonic clock."""
        age = None if self._confirmed_at is None else now - self._confirmed_at
        return Status(
            instance=self._instance,
            data_centre=self._data_centre,
            state=self._state,
            configuration_version=self._configuration_version,
            confirmed_age_seconds=age,
            groups=tuple(self._make_group_status(name) for name in self._groups),
            n_live_instances=self._n_live_instances,
            n_answers=self._n_answers,
            n_replica_answers=self._n_replica_answers,
            refusals=dict(self._refusals),
        )

    def _make_group_status(self, group: str) -> GroupStatus:
        primary = self._primaries.get(group)
        if primary is None:
            return GroupStatus(group=group, primary="", term=0)
        return GroupStatus(group=group, primary=primary.database, term=primary.term)
