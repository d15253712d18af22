"""Messages to and from the task that calls the platform's store."""

from dataclasses import dataclass, field
from enum import StrEnum

from .members import InstanceInfo


class StoreOperation(StrEnum):
    """Operation on the platform's store."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    WATCH = "watch"
    LIST_NAMES = "list names"
    LIST_INSTANCES = "list instances"


class StoreFailure(StrEnum):
    """Reason why a store call failed."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCall:
    """Store call that a filter requests; see :class:`~sardinemill.interfaces.Store`.

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
    """Result of a store call.

    :param failure: reason of the failure, or ``None`` after success; after
        ``UNAVAILABLE`` the effect of an update is unknown.
    :param asked_at: local monotonic seconds before the call was sent.
    :param version: version of the object; after a conflict, the current version.
    """

    call: StoreCall
    failure: StoreFailure | None
    asked_at: float
    version: int = 0
    value: bytes = field(default=b"", repr=False)
    names: tuple[str, ...] = ()
    instances: tuple[InstanceInfo, ...] = ()
