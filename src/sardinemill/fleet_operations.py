"""Operations on running instances: query status, await a version, drain, promote."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .documents import DRAINS_PREFIX, PROMOTIONS_PREFIX, OperatorOrder
from .errors import StoreConflict, StoreUnavailable
from .members import InstanceInfo, InstanceState
from .operations import OperationContext
from .status import Status

POLL_INTERVAL_SECONDS = 0.25
N_ORDER_ATTEMPTS = 4


class StatusSource(Protocol):
    """Queries instances for their status."""

    async def fetch(self, instance: InstanceInfo) -> Status | None:
        """Return the status, or ``None`` if the instance does not answer."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """Status of instances on the platform's list.

    :param instances: status of those that answered.
    :param silent: names of listed instances that do not answer.
    """

    instances: tuple[Status, ...]
    silent: tuple[str, ...]

    def list_behind(self, version: int) -> tuple[str, ...]:
        """Return the instances with a lower version and those that do not answer."""
        behind = [
            status.instance
            for status in self.instances
            if status.configuration_version < version
        ]
        return tuple(sorted((*behind, *self.silent)))


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitResult:
    """Result of waiting until a version is in force at every live instance.

    :param behind: instances that have a lower version or do not answer.
    :param seconds: duration of the wait.
    """

    version: int
    behind: tuple[str, ...]
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderResult:
    """Outcome of writing an order to the store.

    :param is_placed: ``None`` if the outcome is unknown, because the store did not
        answer or every attempt was in conflict with another write.
    """

    order: OperatorOrder
    is_placed: bool | None


async def read_status(
    context: OperationContext, *, status_source: StatusSource
) -> FleetStatus:
    """Query the status of every listed instance.

    :raises StoreUnavailable: if the platform's list cannot be read.
    """
    listed_instances = await context.store.list_instances()
    return await _fetch_statuses(listed_instances, status_source)


async def wait_until_in_force(
    context: OperationContext,
    *,
    status_source: StatusSource,
    version: int,
    timeout_seconds: float,
) -> WaitResult:
    """Wait until every live instance has the given version or a later one.

    :param timeout_seconds: longest wait, after which the result names the instances
        that are behind.
    :raises StoreUnavailable: if the platform's list cannot be read.
    """
    started_at = context.clock.now()
    while True:
        listed_instances = await context.store.list_instances()
        live = [item for item in listed_instances if item.state is InstanceState.LIVE]
        behind = (await _fetch_statuses(live, status_source)).list_behind(version)
        seconds = context.clock.now() - started_at
        if not behind or seconds >= timeout_seconds:
            return WaitResult(version=version, behind=behind, seconds=seconds)
        await context.clock.sleep(POLL_INTERVAL_SECONDS)


async def order_drain(context: OperationContext, *, instance: str) -> OrderResult:
    """Order an instance to drain and stop."""
    return await _place_order(context, DRAINS_PREFIX, instance)


async def order_promotion(context: OperationContext, *, group: str) -> OrderResult:
    """Order a planned failover of a group's primary, which its homes carry out."""
    return await _place_order(context, PROMOTIONS_PREFIX, group)


async def _fetch_statuses(
    listed_instances: Sequence[InstanceInfo], status_source: StatusSource
) -> FleetStatus:
    answers = await asyncio.gather(
        *(status_source.fetch(item) for item in listed_instances)
    )
    return FleetStatus(
        instances=tuple(answer for answer in answers if answer is not None),
        silent=tuple(
            item.name
            for item, answer in zip(listed_instances, answers, strict=True)
            if answer is None
        ),
    )


async def _place_order(
    context: OperationContext, prefix: str, target: str
) -> OrderResult:
    """Write an order to the store; it replaces an earlier order for the same target.

    After a lost answer the object is read again: if it contains this order, which has
    a unique request identifier, the write succeeded. If an instance has taken the order
    and deleted the object by then, the order is written again.

    :raises StoreUnavailable: if the store could not be read before the first write, so
        that nothing was written.
    """
    order = OperatorOrder(
        request_id=context.random_source.make_id(), author=context.author, target=target
    )
    value = context.codec.encode_order(order)
    may_be_written = False
    for _ in range(N_ORDER_ATTEMPTS):
        try:
            stored = await context.store.get(prefix + target)
            if stored.version > 0 and stored.value == value:
                return OrderResult(order=order, is_placed=True)
            may_be_written = True
            await context.store.put(
                prefix + target, value, expected_version=stored.version
            )
            return OrderResult(order=order, is_placed=True)
        except StoreConflict:
            continue
        except StoreUnavailable:
            if not may_be_written:
                raise
            await context.clock.sleep(POLL_INTERVAL_SECONDS)
    return OrderResult(order=order, is_placed=None)
