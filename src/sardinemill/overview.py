"""Overview of a fleet on the platform, for operators; read-only.

The store provides the configuration, the databases and the fleet record; the instances
provide counters of the statements that they answered.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .fleet.records import (
    Coordinator,
    DatabaseEntry,
    Directory,
    FleetRecord,
    GroupPhase,
)
from .sessions.routes import Configuration


class FleetReader(Protocol):
    """Reads a fleet's state from the platform's store.

    Every method raises :class:`~sardinemill.errors.StoreError` if the store does not
    answer. The configuration is that of the session proxy, not the one in module
    ``configuration``.
    """

    async def read_record(self) -> tuple[FleetRecord, int]:
        """Return the fleet record and its revision, 0 if there is none."""
        ...

    async def read_era(self) -> int:
        """Return the era of the store, 0 if it names none."""
        ...

    async def read_directory(self) -> Directory:
        """Return the databases that are registered in the store."""
        ...

    async def read_configuration(self) -> Configuration | None:
        """Return the configuration, ``None`` if there is none."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceCounters:
    """Counters of one instance, from its metrics.

    :param address: of the metrics endpoint.
    :param is_answering: whether the instance answered; otherwise the rest is empty.
    :param configuration_version: version in force at the instance.
    :param evidence_age_seconds: age of the evidence for its lease on primaries, when
        the evidence was last renewed.
    :param statements: number of statements by outcome, ``ok`` or the refusal's reason.
    :param record_era: era in which the instance's fleet record was written.
    :param is_configuration_stale: whether the instance has no recent proof that no
        newer configuration exists.
    """

    address: str
    is_answering: bool
    configuration_version: int = 0
    evidence_age_seconds: float = 0.0
    statements: tuple[tuple[str, int], ...] = ()
    record_era: int = 0
    is_configuration_stale: bool = False


class CountersSource(Protocol):
    """Fetches the counters of instances."""

    async def fetch(self, address: str) -> InstanceCounters:
        """Return the counters of an instance.

        :returns: counters with ``is_answering`` false if the instance did not answer.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupOverview:
    """State of one database group.

    :param primary: name in the fleet record, ``""`` if there is none.
    :param term: lowest known log term of the primary.
    :param is_changing: whether a failover is in progress, so that no instance uses the
        primary.
    :param is_primary_present: whether the primary is registered in the store.
    :param leaving: databases that accept no new work.
    :param evacuated: databases whose data centres are evacuated.
    :param evacuation: what holds of an evacuated primary: ``moving``, or why it cannot
        move; empty if the primary is not evacuated.
    """

    group: str
    primary: str
    term: int
    is_changing: bool
    n_databases: int
    is_primary_present: bool
    leaving: tuple[str, ...]
    evacuated: tuple[str, ...] = ()
    evacuation: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceOverview:
    """Rate limit of one workspace and the number of its API keys.

    :param burst: capacity of the token bucket in operations.
    """

    name: str
    operations_per_second: float
    burst: float
    n_keys: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetOverview:
    """State of a fleet.

    :param record_revision: revision of the fleet record, 0 if there is none.
    :param coordinators: instances that may fail over primaries once established.
    :param holder: instance that last started or took over a failover.
    :param fence: fencing token of the holder; increases with each change of holder.
    :param evacuated_data_centres: whose databases must get nothing.
    :param store_era: era of the store, 0 if it names none.
    :param record_era: era in which the fleet record was written; lower than that of
        the store until the record is restored.
    """

    configuration_version: int
    record_revision: int
    coordinators: tuple[Coordinator, ...]
    holder: str
    fence: int
    groups: tuple[GroupOverview, ...]
    workspaces: tuple[WorkspaceOverview, ...]
    instances: tuple[InstanceCounters, ...]
    evacuated_data_centres: tuple[str, ...] = ()
    store_era: int = 0
    record_era: int = 0


async def read_overview(
    reader: FleetReader, counters: CountersSource, addresses: Sequence[str]
) -> FleetOverview:
    """Read the state of a fleet.

    :param addresses: metrics addresses of the instances to query.
    :raises StoreError: if the store does not answer.
    """
    record, revision = await reader.read_record()
    store_era = await reader.read_era()
    directory = await reader.read_directory()
    configuration = await reader.read_configuration() or Configuration()
    names = {item.group for item in record.groups}
    names |= {item.group for item in directory.databases}
    return FleetOverview(
        configuration_version=configuration.version,
        record_revision=revision,
        coordinators=record.coordinators,
        holder=record.holder,
        fence=record.fence,
        groups=tuple(
            _describe_group(name, record, directory) for name in sorted(names)
        ),
        workspaces=tuple(
            WorkspaceOverview(
                name=item.name,
                operations_per_second=item.operations_per_second,
                burst=item.burst,
                n_keys=len(item.keys),
            )
            for item in configuration.workspaces
        ),
        instances=tuple([await counters.fetch(address) for address in addresses]),
        evacuated_data_centres=directory.evacuated_data_centres,
        store_era=store_era,
        record_era=record.era,
    )


def _describe_group(
    name: str, record: FleetRecord, directory: Directory
) -> GroupOverview:
    group = record.find_group(name)
    databases = directory.list_group(name)
    primary = "" if group is None else group.primary
    return GroupOverview(
        group=name,
        primary=primary,
        term=0 if group is None else group.term,
        is_changing=group is not None and group.phase is GroupPhase.CHANGING,
        n_databases=len(databases),
        is_primary_present=any(item.name == primary for item in databases),
        leaving=tuple(item.name for item in databases if item.is_leaving),
        evacuated=tuple(
            item.name for item in databases if directory.is_evacuated(item)
        ),
        evacuation=_describe_evacuation(primary, databases, directory),
    )


def _describe_evacuation(
    primary: str, databases: Sequence[DatabaseEntry], directory: Directory
) -> str:
    entry = directory.find(primary)
    if entry is None or not directory.is_evacuated(entry):
        return ""
    has_candidate = any(
        not item.is_leaving and not directory.is_evacuated(item) for item in databases
    )
    return "moving" if has_candidate else "no database elsewhere"
