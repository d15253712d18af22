"""Choice of the database that a failover promotes."""

from collections.abc import Collection, Iterable

from .failover_messages import DatabaseStatus
from .records import DatabaseEntry, GroupRecord


def choose_candidate(
    statuses: Iterable[DatabaseStatus], evacuated: Collection[str] = ()
) -> DatabaseStatus | None:
    """Return the database to promote, ``None`` if none answered.

    The term goes first: a primary that was replaced while it was cut off still reports
    that role and may hold the most entries, but it lacks what was acknowledged in the
    newer term. Within a term the primary goes first, since an earlier attempt promoted
    it, and then the received position.

    :param evacuated: databases whose data centres are evacuated. One of them is chosen
        only if it has received more than the others: the others then receive it from
        it, and a planned failover moves the primary on.
    """
    return max(
        (item for item in statuses if item.is_alive),
        key=lambda item: (
            item.newest_term,
            item.is_primary,
            item.received,
            item.database not in evacuated,
            item.database,
        ),
        default=None,
    )


def is_behind_record(status: DatabaseStatus, record: GroupRecord) -> bool:
    """Return whether a database has not followed the recorded primary.

    It then lacks whatever that primary acknowledged.
    """
    return status.newest_term < record.term


def is_recorded_process(entry: DatabaseEntry, record: GroupRecord) -> bool:
    """Return whether the recorded primary is still the process that the record names.

    A database that started again under its name has lost its data, whatever role it
    reports.
    """
    return record.primary_born_ms in (0, entry.born_ms)
