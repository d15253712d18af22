"""Operations on the running instances: state, waiting, drain and promotion."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .documents import DRAINS_PREFIX, PROMOTIONS_PREFIX, OperatorOrder
from .errors import StoreConflict, StoreUnavailable
from .members import InstanceInfo, InstanceState
from .operations import OperationContext
from .status import Status

POLL_SECONDS = 0.25
N_ORDER_ATTEMPTS = 4


class StatusSource(Protocol):
    """Asks instances for their state."""

    async def fetch(self, instance: InstanceInfo) -> Status | None:
        """Return the state, or ``None`` when the instance does not answer."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """State of all listed instances.

    :param silent: instances that are listed and do not answer.
    """

    instances: tuple[Status, ...]
    silent: tuple[str, ...]

    def list_behind(self, version: int) -> tuple[str, ...]:
        """Instances with a lower version, silent ones included."""
        behind = [
            status.instance
            for status in self.instances
            if status.configuration_version < version
        ]
        return tuple(sorted((*behind, *self.silent)))


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitResult:
    """Whether a version is in force everywhere.

    :param behind: instances that do not show it.
    """

    version: int
    behind: tuple[str, ...]
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderResult:
    """Outcome of placing an order.

    :param is_placed: ``None`` when the store did not answer and the outcome is unknown.
    """

    order: OperatorOrder
    is_placed: bool | None


async def read_status(
    context: OperationContext, *, source: StatusSource
) -> FleetStatus:
    """Ask every listed instance.

    :raises StoreUnavailable: when the platform's list cannot be read.
    """
    listed = await context.store.list_instances()
    return await _ask_all(listed, source)


async def wait_until_in_force(
    context: OperationContext,
    *,
    source: StatusSource,
    version: int,
    timeout_seconds: float,
) -> WaitResult:
    """Wait until every live instance has at least a version in force.

    :raises StoreUnavailable: when the platform's list cannot be read.
    """
    started_at = context.clock.now()
    while True:
        listed = await context.store.list_instances()
        live = [item for item in listed if item.state is InstanceState.LIVE]
        behind = (await _ask_all(live, source)).list_behind(version)
        seconds = context.clock.now() - started_at
        if not behind or seconds >= timeout_seconds:
            return WaitResult(version=version, behind=behind, seconds=seconds)
        await context.clock.sleep(POLL_SECONDS)


async def order_drain(context: OperationContext, *, instance: str) -> OrderResult:
    """Ask an instance to stop taking work."""
    return await _place_order(context, DRAINS_PREFIX, instance)


async def order_promotion(context: OperationContext, *, group: str) -> OrderResult:
    """Ask the homes of a group to choose a new primary."""
    return await _place_order(context, PROMOTIONS_PREFIX, group)


async def _ask_all(listed: Sequence[InstanceInfo], source: StatusSource) -> FleetStatus:
    answers = await asyncio.gather(*(source.fetch(item) for item in listed))
    return FleetStatus(
        instances=tuple(answer for answer in answers if answer is not None),
        silent=tuple(
            item.name
            for item, answer in zip(listed, answers, strict=True)
            if answer is None
        ),
    )


async def _place_order(
    context: OperationContext, prefix: str, target: str
) -> OrderResult:
    """Write an order; the latest one wins, and a repeat is recognised by its id.

    :raises StoreUnavailable: when the store was not reached at all.
    """
    order = OperatorOrder(
        request_id=context.random.make_id(), author=context.author, target=target
    )
    value = context.codec.encode_order(order)
    may_have_run = False
    for _ in range(N_ORDER_ATTEMPTS):
        try:
            found = await context.store.get(prefix + target)
            if found.version > 0 and found.value == value:
                return OrderResult(order=order, is_placed=True)
            may_have_run = True
            await context.store.put(
                prefix + target, value, expected_version=found.version
            )
            return OrderResult(order=order, is_placed=True)
        except StoreConflict:
            continue
        except StoreUnavailable:
            if not may_have_run:
                raise
            await context.clock.sleep(POLL_SECONDS)
    return OrderResult(order=order, is_placed=None)
