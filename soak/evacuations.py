"""Evacuations of data centres: injection, schedule, and the check that they hold."""

import asyncio
import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from .history import Violation

# Time after the confirmation from which no statement may reach an evacuated database;
# `bounds.evacuation_ms` of the instances' settings.
EVACUATION_SECONDS = 5.0
EVACUATION_KIND = "evacuations"
# Length of an evacuation beyond that time, and pause after its end.
CHECKED_SECONDS = (2.0, 5.0)
MAX_PAUSE_SECONDS = 3.0


class OperatorStore(Protocol):
    """Store as an operator uses it; an answer confirms the change."""

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object and return its revision."""
        ...

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        ...


@dataclass(frozen=True, slots=True)
class EvacuationPeriod:
    """Evacuation as the store confirmed it, on the monotonic clock.

    :param ended_at: when it was taken back.
    """

    data_centre: str
    confirmed_at: float
    ended_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedEvacuation:
    """Evacuation to carry out.

    :param start_seconds: from the beginning of the run.
    :param seconds: from its confirmation until it is taken back.
    """

    data_centre: str
    start_seconds: float
    seconds: float


def plan_evacuations(
    random: Random, data_centres: Sequence[str], seconds: float
) -> list[PlannedEvacuation]:
    """Choose evacuations one after the other, each long enough to be checked.

    :param seconds: time in which they begin.
    """
    planned = []
    start_seconds = random.uniform(0.5, MAX_PAUSE_SECONDS)
    while start_seconds < seconds:
        length = EVACUATION_SECONDS + random.uniform(*CHECKED_SECONDS)
        planned.append(
            PlannedEvacuation(
                data_centre=random.choice(data_centres),
                start_seconds=start_seconds,
                seconds=length,
            )
        )
        start_seconds += length + random.uniform(0.5, MAX_PAUSE_SECONDS)
    return planned


async def run_evacuations(
    planned: Iterable[PlannedEvacuation], store: OperatorStore
) -> list[EvacuationPeriod]:
    """Carry out evacuations; their start counts from the call.

    Cancelling takes the current one back.
    """
    began_at = time.monotonic()
    periods = []
    for item in planned:
        await asyncio.sleep(max(0.0, began_at + item.start_seconds - time.monotonic()))
        store.put(EVACUATION_KIND, item.data_centre, {})
        confirmed_at = time.monotonic()
        try:
            await asyncio.sleep(item.seconds)
        finally:
            store.delete(EVACUATION_KIND, item.data_centre)
        periods.append(
            EvacuationPeriod(item.data_centre, confirmed_at, time.monotonic())
        )
    return periods


def check_evacuations(
    periods: Iterable[EvacuationPeriod],
    data_centres: Mapping[str, str],
    work_times: Mapping[str, Iterable[float]],
) -> list[Violation]:
    """Return a violation for each statement at a database that had to get none.

    :param data_centres: of the databases, by name.
    :param work_times: times at which each database executed statements, without
        status queries.
    """
    return [
        Violation(
            "EVACUATION",
            f"{database} got a statement {at - period.confirmed_at:.2f} s after the"
            f" evacuation of {period.data_centre} was confirmed",
        )
        for period in periods
        for database, times in work_times.items()
        if data_centres[database] == period.data_centre
        for at in times
        if period.confirmed_at + EVACUATION_SECONDS < at < period.ended_at
    ]
