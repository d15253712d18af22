"""State of the platform: versioned objects, rate limits, faults and instance list.

It does no input or output and reads no clock; HTTP and in-memory stores share it.
"""

from collections import Counter
from dataclasses import dataclass, replace

from ..errors import StoreConflict, StoreError, StoreUnavailable
from ..interfaces import StoreObject
from ..members import InstanceInfo
from ..store_calls import StoreOperation

MAX_VALUE_BYTES = 2**20
# The platform allows several hundred writes and about 2,000 reads a second; pending
# watches count as reads.
WRITES_PER_SECOND = 500.0
READS_PER_SECOND = 2000.0
LIST_LAG_SECONDS = 2.0

_WRITE_OPERATIONS = frozenset((StoreOperation.PUT, StoreOperation.DELETE))


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformFaults:
    """Faults in force for one data centre or for all.

    :param is_refusing: whether every call fails at once.
    :param is_hanging: whether calls get no answer and have no effect.
    :param delay_seconds: delay of each call before its effect.
    :param n_lost_answers: number of further updates that take effect and whose answers
        are lost.
    """

    is_refusing: bool = False
    is_hanging: bool = False
    delay_seconds: float = 0.0
    n_lost_answers: int = 0


NO_FAULTS = PlatformFaults()


class CallRateLimiter:
    """Token bucket that limits the rate of calls, with a burst of one second.

    :param rate_per_second: allowed rate while no watch is pending.
    """

    def __init__(self, rate_per_second: float) -> None:
        self._rate_per_second = rate_per_second
        self._level = rate_per_second
        self._updated_at = 0.0

    def take(self, now: float, n_reserved: int = 0) -> bool:
        """Take a token for one call.

        :param n_reserved: calls per second that the rate is lowered by; one for each
            pending watch.
        :returns: whether the call is within the limit.
        """
        rate = max(0.0, self._rate_per_second - n_reserved)
        elapsed = max(0.0, now - self._updated_at)
        self._level = min(self._level + elapsed * rate, self._rate_per_second)
        self._updated_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class LaggedInstanceList:
    """List of instances in which each change becomes visible after a lag."""

    def __init__(self, lag_seconds: float = LIST_LAG_SECONDS) -> None:
        self.lag_seconds = lag_seconds
        self._visible: dict[str, InstanceInfo] = {}
        self._changes: list[tuple[float, str, InstanceInfo | None]] = []

    def change(self, name: str, instance: InstanceInfo | None, now: float) -> None:
        """Add or replace an instance, or remove it with ``None``."""
        self._changes.append((now, name, instance))

    def list_instances(self, now: float) -> tuple[InstanceInfo, ...]:
        """Return the instances as they were ``lag_seconds`` ago."""
        while self._changes and self._changes[0][0] + self.lag_seconds <= now:
            _, name, instance = self._changes.pop(0)
            if instance is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = instance
        return tuple(self._visible[name] for name in sorted(self._visible))


class Platform:
    """Object store and instance list.

    :param writes_per_second: limit of puts and deletes.
    :param reads_per_second: limit of all other calls.
    :param lag_seconds: age of the instance list.
    :ivar counters: calls by operation, and failed calls by cause.
    :ivar n_watches: number of pending watches.
    """

    def __init__(
        self,
        *,
        writes_per_second: float = WRITES_PER_SECOND,
        reads_per_second: float = READS_PER_SECOND,
        lag_seconds: float = LIST_LAG_SECONDS,
    ) -> None:
        self.instances = LaggedInstanceList(lag_seconds)
        self.counters: Counter[str] = Counter()
        self.n_watches = 0
        self._write_limiter = CallRateLimiter(writes_per_second)
        self._read_limiter = CallRateLimiter(reads_per_second)
        self._faults: dict[str, PlatformFaults] = {}
        self._values: dict[str, bytes] = {}
        # Kept after a delete, so that no version identifies two different values.
        self._versions: dict[str, int] = {}

    # Faults and limits

    def set_faults(self, faults: PlatformFaults, data_centre: str = "") -> None:
        """Replace the faults of one data centre, or of all callers with ``""``."""
        self._faults[data_centre] = faults

    def get_faults(self, data_centre: str) -> PlatformFaults:
        """Return a caller's faults; those of its data centre take precedence."""
        own = self._faults.get(data_centre, NO_FAULTS)
        return own if own != NO_FAULTS else self._faults.get("", NO_FAULTS)

    def consume_lost_answer(self, data_centre: str) -> bool:
        """Return whether the answer to this update is lost, and count it down."""
        faults = self.get_faults(data_centre)
        if faults.n_lost_answers <= 0:
            return False
        scope = data_centre if self._faults.get(data_centre) == faults else ""
        left = faults.n_lost_answers - 1
        self._faults[scope] = replace(faults, n_lost_answers=left)
        self.counters["lost answers"] += 1
        return True

    def admit(self, operation: StoreOperation, now: float, data_centre: str) -> None:
        """Count a call and check outage and rate limits before it takes effect.

        :raises StoreUnavailable: during an outage or above the rate limit.
        """
        self.counters[operation.value] += 1
        if self.get_faults(data_centre).is_refusing:
            self.counters["refused"] += 1
            raise StoreUnavailable("the store is down", step=operation.value)
        if operation in _WRITE_OPERATIONS:
            is_within = self._write_limiter.take(now)
        else:
            is_within = self._read_limiter.take(now, self.n_watches)
        if not is_within:
            self.counters["rate limited"] += 1
            raise StoreUnavailable("too many calls", step=operation.value)

    # Objects

    def get(self, name: str) -> StoreObject:
        """Return an object, with version 0 when it does not exist."""
        if name not in self._values:
            return StoreObject(name=name, version=0, value=b"")
        return StoreObject(
            name=name, version=self._versions[name], value=self._values[name]
        )

    def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write an object whose current version is ``expected_version``.

        :returns: the new version.
        :raises StoreConflict: when another version is current.
        :raises StoreError: when the value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError("the value is above 1 MB", step="put")
        self._check_version(name, expected_version, "put")
        self._versions[name] = self._versions.get(name, 0) + 1
        self._values[name] = value
        return self._versions[name]

    def delete(self, name: str, expected_version: int) -> None:
        """Delete an object whose current version is ``expected_version``.

        :raises StoreConflict: when another version is current.
        """
        self._check_version(name, expected_version, "delete")
        self._values.pop(name, None)

    def list_names(self, prefix: str) -> tuple[str, ...]:
        """Return the sorted names that start with ``prefix``."""
        return tuple(sorted(name for name in self._values if name.startswith(prefix)))

    def _check_version(self, name: str, expected_version: int, step: str) -> None:
        current = self.get(name).version
        if current != expected_version:
            self.counters["conflicts"] += 1
            raise StoreConflict(
                "another version is current", step=step, current_version=current
            )
