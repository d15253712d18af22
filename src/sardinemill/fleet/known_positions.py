"""Positions of primaries that an instance knows, and their reports to others."""

from collections.abc import Sequence

from ..positions import LogPosition
from .checks import round_age
from .messages import PositionReport
from .views import PositionSeen, merge_seen


class KnownPositions:
    """Highest position of each group's primary with the time that it covers."""

    def __init__(self) -> None:
        self._positions: dict[str, PositionSeen] = {}

    def merge(self, seen: PositionSeen) -> PositionSeen | None:
        """Take a position.

        :returns: what is known now, ``None`` when nothing is new.
        """
        known = self._positions.get(seen.group)
        merged = merge_seen(known, seen)
        self._positions[seen.group] = merged
        return None if merged == known else merged

    def make_reports(self, now: float) -> tuple[PositionReport, ...]:
        """Reports of all positions, with ages."""
        return tuple(
            PositionReport(
                group=item.group,
                term=item.position.term,
                offset=item.position.offset,
                age_seconds=round_age(item.seen_at, now),
            )
            for item in self._positions.values()
        )

    def take_reports(
        self, reports: Sequence[PositionReport], sent_at: float
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
                )
            )
            for report in reports
        ]
        return [item for item in merged if item is not None]
