"""Log positions of primaries that an instance knows, and reports of them to others."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..positions import LogPosition
from .messages import PositionReport
from .store_reads import round_age
from .views import PositionSeen, merge_positions


@dataclass(frozen=True, slots=True)
class _KnownPosition:
    """Known position of one group's primary.

    :param changed_at: when this entry last changed.
    :param is_first_hand: learned from the primary itself and not from another instance.
    """

    seen: PositionSeen
    changed_at: float
    is_first_hand: bool


class KnownPositions:
    """Highest known position of each group's primary, and the time for which it holds.

    The position includes every commit that was acknowledged before that time.
    """

    def __init__(self) -> None:
        self._positions: dict[str, _KnownPosition] = {}

    def merge(
        self, seen: PositionSeen, now: float, *, is_first_hand: bool = True
    ) -> PositionSeen | None:
        """Merge a position into the known ones.

        :param is_first_hand: learned from the primary itself and not from another
            instance.
        :returns: the merged position, ``None`` if nothing changed.
        """
        known = self._positions.get(seen.group)
        merged = merge_positions(None if known is None else known.seen, seen)
        if known is not None and merged == known.seen:
            return None
        self._positions[seen.group] = _KnownPosition(merged, now, is_first_hand)
        return merged

    def make_reports(
        self, now: float, *, since: float, is_first_hand_only: bool = False
    ) -> tuple[PositionReport, ...]:
        """Return reports of the positions that changed since a time.

        :param is_first_hand_only: omit positions that other instances reported.
        """
        return tuple(
            PositionReport(
                group=item.seen.group,
                term=item.seen.position.term,
                offset=item.seen.position.offset,
                age_seconds=round_age(item.seen.seen_at, now),
            )
            for item in self._positions.values()
            if item.changed_at >= since
            and (item.is_first_hand or not is_first_hand_only)
        )

    def merge_reports(
        self, reports: Sequence[PositionReport], sent_at: float, now: float
    ) -> list[PositionSeen]:
        """Merge reports of another instance.

        :param sent_at: on the local clock, no later than they were sent.
        :returns: the positions that changed.
        """
        merged = [
            self.merge(
                PositionSeen(
                    report.group,
                    LogPosition(report.term, report.offset),
                    sent_at - report.age_seconds,
                ),
                now,
                is_first_hand=False,
            )
            for report in reports
        ]
        return [item for item in merged if item is not None]
