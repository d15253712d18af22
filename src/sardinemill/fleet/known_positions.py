"""Positions of primaries that an instance knows, and their reports to others."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..positions import LogPosition
from .messages import PositionReport
from .store_reads import round_age
from .views import PositionSeen, merge_positions


@dataclass(frozen=True, slots=True)
class _Known:
    """What is known of one group.

    :param changed_at: when something new was learned.
    :param is_own: it was learned from the primary and not from another instance.
    """

    seen: PositionSeen
    changed_at: float
    is_own: bool


class KnownPositions:
    """Highest position of each group's primary with the time that it covers."""

    def __init__(self) -> None:
        self._positions: dict[str, _Known] = {}

    def merge(
        self, seen: PositionSeen, now: float, *, is_own: bool = True
    ) -> PositionSeen | None:
        """Take a position.

        :param is_own: it comes from the primary and not from another instance.
        :returns: what is known now, ``None`` when nothing is new.
        """
        known = self._positions.get(seen.group)
        merged = merge_positions(None if known is None else known.seen, seen)
        if known is not None and merged == known.seen:
            return None
        self._positions[seen.group] = _Known(merged, now, is_own)
        return merged

    def make_reports(
        self, now: float, *, since: float, is_own_only: bool = False
    ) -> tuple[PositionReport, ...]:
        """Reports of the positions that changed since a time, with ages.

        :param is_own_only: leave out what other instances reported.
        """
        return tuple(
            PositionReport(
                group=item.seen.group,
                term=item.seen.position.term,
                offset=item.seen.position.offset,
                age_seconds=round_age(item.seen.seen_at, now),
            )
            for item in self._positions.values()
            if item.changed_at >= since and (item.is_own or not is_own_only)
        )

    def take_reports(
        self, reports: Sequence[PositionReport], sent_at: float, now: float
    ) -> list[PositionSeen]:
        """Take reports of another instance.

        :param sent_at: on the local clock, not after they were sent.
        :returns: what is new.
        """
        merged = [
            self.merge(
                PositionSeen(
                    report.group,
                    LogPosition(report.term, report.offset),
                    sent_at - report.age_seconds,
                ),
                now,
                is_own=False,
            )
            for report in reports
        ]
        return [item for item in merged if item is not None]
