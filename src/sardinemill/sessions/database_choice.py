"""Choice of the database that runs a statement, by consistency, load and locality.

Plain decisions without I/O; :class:`~sardinemill.sessions.placement.Placement` owns
them.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from ..events import Event, EventName
from ..fleet.records import DatabaseEntry
from ..interfaces import Emission
from ..positions import LogPosition
from .connection_messages import StatementFinished
from .databases import DatabaseView
from .locality import LocalityPolicy, ShareChange
from .messages import ErrorCode, StatementRequest, TransactionStep
from .routes import Consistency


@dataclass(frozen=True, slots=True, kw_only=True)
class ChosenDatabase:
    """Database for one attempt of a statement.

    :param minimum_position: log position that it must have applied, ``None`` on the
        primary.
    :param evidence_age_seconds: age of the evidence that chose it.
    """

    entry: DatabaseEntry
    is_primary: bool
    minimum_position: LogPosition | None
    evidence_age_seconds: float | None


class DatabaseChoice:
    """Chooses a database for each statement and learns from the times of reads.

    :param databases: view of the databases, which the owner updates.
    """

    def __init__(self, databases: DatabaseView) -> None:
        self._databases = databases
        self._locality = LocalityPolicy()

    def choose(
        self,
        request: StatementRequest,
        tried: Collection[str],
        estimate_load: Callable[[DatabaseEntry], float],
        now: float,
    ) -> tuple[ChosenDatabase | None, list[Emission]]:
        """Choose a database for an attempt.

        :param tried: databases that already failed the statement.
        :param estimate_load: returns the expected wait at a database.
        :returns: ``None`` if no database may serve the statement now, and messages for
            ``events``.
        """
        group = request.route.group
        primary = self._databases.find_primary(group, now)
        chosen: DatabaseEntry | None = None
        minimum_position: LogPosition | None = None
        emissions: list[Emission] = []
        if not needs_primary(request):
            minimum_position = self._databases.find_minimum_position(request, now)
        if minimum_position is not None:
            target = request.route.target_seconds
            should_leave, change = self._locality.decide_read(group, target, now)
            if change is not None:
                emissions.append(_make_share_event(change))
            chosen = self._databases.choose_read_database(
                group, tried, estimate_load, now, should_leave=should_leave
            )
        if chosen is None and primary is not None and primary.name not in tried:
            chosen = primary
        if chosen is None:
            return None, emissions
        is_primary = primary is not None and chosen.name == primary.name
        age = self.find_evidence_age(group, now, is_primary=is_primary)
        found = ChosenDatabase(
            entry=chosen,
            is_primary=is_primary,
            minimum_position=None if is_primary else minimum_position,
            evidence_age_seconds=age,
        )
        return found, emissions

    def find_evidence_age(
        self, group: str, now: float, *, is_primary: bool
    ) -> float | None:
        """Return the age of the evidence for the use of a database."""
        if is_primary:
            return self._databases.find_lease_evidence_age(now)
        return self._databases.find_position_age(group, now)

    def record_finished(
        self,
        request: StatementRequest,
        database: str,
        message: StatementFinished,
        now: float,
    ) -> None:
        """Record how long a read took that other databases could have served."""
        entry = self._databases.find_entry(database, now)
        if (
            entry is None
            or not message.is_answered
            or needs_primary(request)
            or request.step is not TransactionStep.NONE
        ):
            return
        is_local = self._databases.is_local(entry)
        group = request.route.group
        if message.code is ErrorCode.BUSY:
            self._locality.record_refusal(group, is_local=is_local, now=now)
        elif message.code is None and message.asked_at > 0:
            self._locality.record_read(
                group,
                is_local=is_local,
                seconds=now - message.asked_at,
                n_bytes=sum(len(row) for row in message.rows),
                now=now,
            )


def needs_primary(request: StatementRequest) -> bool:
    """Return whether only the primary may run a statement."""
    is_read = request.is_read_only
    return not is_read or request.route.consistency is Consistency.PRIMARY


def _make_share_event(change: ShareChange) -> Emission:
    fields = {
        "group": change.group,
        "share": change.share,
        "here_seconds": change.here_seconds,
        "elsewhere_seconds": change.elsewhere_seconds,
        "saving_seconds": change.saving_seconds,
    }
    return Emission("events", Event(EventName.LOCALITY_CHANGED, fields))
