"""What is in force where: operators' view of a fleet on the platform.

The store holds lists, databases and the fleet record; each instance counts what it
answered. Nothing here changes anything.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .fleet.records import Coordinator, Directory, FleetRecord, GroupPhase
from .sessions.routes import Configuration


class FleetReader(Protocol):
    """Reads the parts of the platform's store; each raises :class:`StoreError`."""

    async def read_record(self) -> tuple[FleetRecord, int]:
        """Return the fleet record and its revision, 0 when there is none."""
        ...

    async def read_directory(self) -> Directory:
        """Return the databases that are there."""
        ...

    async def read_configuration(self) -> Configuration | None:
        """Return the operators' lists, ``None`` when there are none."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceCounters:
    """What one instance says of itself.

    :param address: where it was asked.
    :param configuration_version: in force there.
    :param evidence_age_seconds: of its right to primaries, at the last evidence.
    :param statements: number of results by outcome, ``ok`` or the reason.
    """

    address: str
    is_answering: bool
    configuration_version: int = 0
    evidence_age_seconds: float = 0.0
    statements: tuple[tuple[str, int], ...] = ()


class CountersSource(Protocol):
    """Asks an instance for its counters."""

    async def fetch(self, address: str) -> InstanceCounters:
        """Return the counters; an instance that is silent is marked so."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupOverview:
    """One database group.

    :param primary: as recorded, ``""`` when none is.
    :param term: lowest log term of the primary that is known.
    :param is_changing: no instance uses the primary now.
    :param leaving: databases that take no new work.
    """

    group: str
    primary: str
    term: int
    is_changing: bool
    n_databases: int
    is_primary_present: bool
    leaving: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceOverview:
    """Rate limit of one workspace; its keys are counted, not shown."""

    name: str
    operations_per_second: float
    burst: float
    n_keys: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetOverview:
    """State of a fleet.

    :param coordinators: may change primaries once they are established.
    :param holder: instance that changed a primary last, with its fence.
    """

    configuration_version: int
    record_revision: int
    coordinators: tuple[Coordinator, ...]
    holder: str
    fence: int
    groups: tuple[GroupOverview, ...]
    workspaces: tuple[WorkspaceOverview, ...]
    instances: tuple[InstanceCounters, ...]


async def read_overview(
    reader: FleetReader, counters: CountersSource, addresses: Sequence[str]
) -> FleetOverview:
    """Read the whole state.

    :param addresses: metrics addresses of the instances to ask.
    :raises StoreError: when the store does not answer.
    """
    record, revision = await reader.read_record()
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
    )
