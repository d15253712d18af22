"""Validates a configuration and reports all faults at once."""

import ipaddress
import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from .configuration import Configuration, Key, Plan
from .errors import ConfigurationError
from .groups import DatabaseDescription, GroupDescription

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
NAME_RULE = "1 to 63 of a-z, 0-9, dot, dash, underscore; starts with a letter or digit"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_RATE_PER_SECOND = 1_000_000.0
MAX_BURST = 10_000_000.0
MAX_WEIGHT = 1_000.0
MAX_QUEUED_REQUESTS = 100_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFault:
    """One reason why a configuration is invalid or a change does not apply.

    :param list_name: ``plans``, ``workspaces``, ``keys`` or ``groups``; the name of a
        part that is too large, or ``history`` for a version that cannot be read.
    :param entry: name of the entry, or ``""`` if the whole list is at fault.
    :param field: name of the field that is at fault.
    :param allowed: description of the allowed values.
    :param found: the rejected value, if it may be shown.
    """

    list_name: str
    entry: str
    field: str
    allowed: str
    found: str = ""

    def __str__(self) -> str:
        found = f", found {self.found}" if self.found else ""
        entry = f" {self.entry!r}" if self.entry else ""
        return f"{self.list_name}{entry}: {self.field}: {self.allowed}{found}"


class InvalidConfiguration(ConfigurationError):
    """Raised for an invalid configuration or a change that does not apply to it.

    :param faults: all faults.
    :param step: operation that found them.
    """

    def __init__(self, faults: tuple[ConfigurationFault, ...], *, step: str) -> None:
        super().__init__("; ".join(str(fault) for fault in faults), step=step)
        self.faults = faults


def find_faults(configuration: Configuration) -> tuple[ConfigurationFault, ...]:
    """Check every entry of every list.

    :returns: all faults, in the order of lists and entries.
    """
    return (
        *_check_plans(configuration.plans),
        *_check_workspaces(configuration),
        *_check_keys(configuration),
        *_check_groups(configuration.groups),
    )


def check_configuration(configuration: Configuration) -> None:
    """Validate a configuration.

    :raises InvalidConfiguration: with all faults, if there are any.
    """
    faults = find_faults(configuration)
    if faults:
        raise InvalidConfiguration(faults, step="validation")


def _check_name(list_name: str, entry: str, name: str) -> Iterator[ConfigurationFault]:
    if not NAME_PATTERN.fullmatch(name):
        yield ConfigurationFault(
            list_name=list_name,
            entry=entry,
            field="name",
            allowed=NAME_RULE,
            found=repr(name),
        )
    if entry != name:
        yield ConfigurationFault(
            list_name=list_name,
            entry=entry,
            field="name",
            allowed="the name under which the entry is listed",
            found=repr(name),
        )


def _check_range(
    list_name: str, entry: str, field: str, value: float, low: float, high: float
) -> Iterator[ConfigurationFault]:
    if not math.isfinite(value) or not low <= value <= high:
        yield ConfigurationFault(
            list_name=list_name,
            entry=entry,
            field=field,
            allowed=f"a number from {low:g} to {high:g}",
            found=f"{value:g}",
        )


def _check_plans(plans: Mapping[str, Plan]) -> Iterator[ConfigurationFault]:
    for entry, plan in plans.items():
        yield from _check_name("plans", entry, plan.name)
        rates = (
            ("rate_per_second", plan.rate_per_second, 0.001, MAX_RATE_PER_SECOND),
            # A token bucket with a burst below one token would admit no request.
            ("burst", plan.burst, 1, MAX_BURST),
            ("weight", plan.weight, 0.001, MAX_WEIGHT),
            ("n_queued", plan.n_queued, 1, MAX_QUEUED_REQUESTS),
        )
        for field, value, low, high in rates:
            yield from _check_range("plans", entry, field, value, low, high)


def _check_reference(
    list_name: str, entry: str, field: str, value: str, known: Mapping[str, object]
) -> Iterator[ConfigurationFault]:
    if value not in known:
        yield ConfigurationFault(
            list_name=list_name,
            entry=entry,
            field=field,
            allowed=f"the name of a {field} in the list of {field}s",
            found=repr(value),
        )


def _check_workspaces(configuration: Configuration) -> Iterator[ConfigurationFault]:
    for entry, workspace in configuration.workspaces.items():
        yield from _check_name("workspaces", entry, workspace.name)
        yield from _check_reference(
            "workspaces", entry, "plan", workspace.plan, configuration.plans
        )
        yield from _check_reference(
            "workspaces", entry, "group", workspace.group, configuration.groups
        )


def _check_keys(configuration: Configuration) -> Iterator[ConfigurationFault]:
    entries_by_digest: dict[str, str] = {}
    for entry, key in configuration.keys.items():
        yield from _check_name("keys", entry, key.key_id)
        yield from _check_reference(
            "keys", entry, "workspace", key.workspace, configuration.workspaces
        )
        yield from _check_digest(entry, key, entries_by_digest)


def _check_digest(
    entry: str, key: Key, entries_by_digest: dict[str, str]
) -> Iterator[ConfigurationFault]:
    allowed = "64 hexadecimal digits"
    if DIGEST_PATTERN.fullmatch(key.digest):
        other = entries_by_digest.setdefault(key.digest, entry)
        if other == entry:
            return
        allowed = f"a digest of its own; {other!r} has the same"
    yield ConfigurationFault(
        list_name="keys", entry=entry, field="digest", allowed=allowed
    )


def _check_groups(
    groups: Mapping[str, GroupDescription],
) -> Iterator[ConfigurationFault]:
    groups_by_database: dict[str, str] = {}
    for entry, group in groups.items():
        yield from _check_name("groups", entry, group.name)
        yield from _check_range("groups", entry, "n_slots", group.n_slots, 1, 99)
        slots: set[int] = set()
        for database in group.databases:
            yield from _check_database(entry, group, database)
            if database.slot in slots:
                yield _make_database_fault(entry, database, "slot", "a slot of its own")
            slots.add(database.slot)
            if groups_by_database.setdefault(database.name, entry) != entry:
                yield _make_database_fault(
                    entry, database, "name", "a name that no other group uses"
                )
        names = [database.name for database in group.databases]
        if len(set(names)) < len(names):
            yield ConfigurationFault(
                list_name="groups",
                entry=entry,
                field="databases",
                allowed="each database once",
            )


def _make_database_fault(
    entry: str, database: DatabaseDescription, field: str, allowed: str
) -> ConfigurationFault:
    return ConfigurationFault(
        list_name="groups",
        entry=entry,
        field=f"database {database.name!r} {field}",
        allowed=allowed,
    )


def _check_database(
    entry: str, group: GroupDescription, database: DatabaseDescription
) -> Iterator[ConfigurationFault]:
    if not NAME_PATTERN.fullmatch(database.name):
        yield _make_database_fault(entry, database, "name", NAME_RULE)
    if database.group != group.name:
        yield _make_database_fault(entry, database, "group", "the group that lists it")
    if not 0 <= database.slot < group.n_slots:
        allowed = f"a number from 0 to {group.n_slots - 1}"
        yield _make_database_fault(entry, database, "slot", allowed)
    if not database.data_centre:
        yield _make_database_fault(entry, database, "data_centre", "a name")
    if database.n_connections < 1:
        yield _make_database_fault(entry, database, "n_connections", "at least 1")
    if not 1 <= database.address.port <= 65535:
        yield _make_database_fault(entry, database, "port", "a number from 1 to 65535")
    try:
        ipaddress.ip_address(database.address.host)
    except ValueError:
        yield _make_database_fault(entry, database, "host", "an IP address")
