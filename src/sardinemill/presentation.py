"""Texts of the command line: configurations, edits, history and fleet state."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from .configuration import Configuration
from .configuration_check import CheckReport, Severity
from .differences import Difference
from .documents import EditRecord
from .edits import Conflict
from .fleet_operations import FleetStatus
from .overview import FleetOverview, GroupOverview, InstanceCounters
from .validation import ConfigurationFault


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as a table with left-aligned columns."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    ]
    return "\n".join(line.rstrip() for line in lines) + "\n"


def format_difference(difference: Difference) -> str:
    """Describe a difference and its effect on live traffic."""
    if difference.is_empty:
        return "nothing changes\n"
    lines = [f"version {difference.old_version} -> {difference.new_version}"]
    for item in difference.lists:
        for sign, entries in (
            ("+", item.added),
            ("-", item.removed),
            ("~", item.changed),
        ):
            lines += [f"  {sign} {item.list_name} {name}" for name in entries]
    for rate in difference.rates:
        lines.append(
            f"  rate of {rate.workspace}: "
            f"{rate.old_rate_per_second:g}/s burst {rate.old_burst:g} -> "
            f"{rate.new_rate_per_second:g}/s burst {rate.new_burst:g}"
        )
    if difference.workspaces:
        lines.append(f"  touches workspaces: {', '.join(difference.workspaces)}")
    if difference.withdrawn_keys:
        lines.append(f"  keys that stop: {', '.join(difference.withdrawn_keys)}")
    if difference.losing_access:
        names = ", ".join(difference.losing_access)
        lines.append(f"  CALLERS LOSE ACCESS in workspaces: {names}")
    return "\n".join(lines) + "\n"


def format_faults(faults: Iterable[ConfigurationFault]) -> str:
    """Format faults, one per line."""
    return "".join(f"{fault}\n" for fault in faults)


def format_conflict(conflict: Conflict) -> str:
    """Describe the edits that were accepted first and their changes."""
    winners = "".join(f"  {_format_record(record)}\n" for record in conflict.winners)
    return (
        f"conflict: version {conflict.seen_version} was seen, "
        f"{conflict.current_version} is current; nothing was changed\n"
        f"{winners}{format_difference(conflict.difference)}"
    )


def format_configuration(configuration: Configuration) -> str:
    """Format the lists of plans, workspaces and groups.

    Of the API keys only the number per workspace is shown.
    """
    counts: dict[str, int] = {}
    for key in configuration.keys.values():
        counts[key.workspace] = counts.get(key.workspace, 0) + 1
    plans = format_table(
        ("plan", "rate/s", "burst", "weight", "queue"),
        (
            (item.name, item.rate_per_second, item.burst, item.weight, item.n_queued)
            for _, item in sorted(configuration.plans.items())
        ),
    )
    workspaces = format_table(
        ("workspace", "plan", "group", "keys"),
        (
            (item.name, item.plan, item.group, counts.get(item.name, 0))
            for _, item in sorted(configuration.workspaces.items())
        ),
    )
    groups = format_table(
        ("group", "slots", "databases"),
        (
            (
                item.name,
                item.n_slots,
                " ".join(database.name for database in item.databases),
            )
            for _, item in sorted(configuration.groups.items())
        ),
    )
    return f"version {configuration.version}\n\n{plans}\n{workspaces}\n{groups}"


def format_keys(configuration: Configuration) -> str:
    """Format the identifiers of the API keys; their texts are not stored."""
    keys = sorted(configuration.keys.values(), key=lambda item: item.key_id)
    rows = ((item.key_id, item.workspace) for item in keys)
    return format_table(("key", "workspace"), rows)


def format_history(records: Iterable[EditRecord]) -> str:
    """Format edits, one per line."""
    return "".join(f"{_format_record(record)}\n" for record in records)


def format_status(status: FleetStatus) -> str:
    """Format the status of each instance."""
    rows: list[Sequence[object]] = [
        (
            item.instance,
            item.data_centre,
            item.state,
            item.configuration_version,
            _format_age(item.confirmed_age_seconds),
            " ".join(group.group for group in item.groups) or "-",
            sum(item.refusals.values()),
        )
        for item in sorted(status.instances, key=lambda item: item.instance)
    ]
    rows += [(name, "", "silent", "", "", "", "") for name in status.silent]
    header = ("instance", "data centre", "state", "version", "age", "groups", "refused")
    return format_table(header, rows)


def _describe_configuration(instance: InstanceCounters, newest: int) -> str:
    """Describe the configuration of an instance.

    :param newest: version in the store.
    """
    if not instance.is_answering:
        return "silent"
    version = instance.configuration_version
    remarks = ["behind"] if version < newest else []
    if instance.is_configuration_stale:
        remarks.append("unconfirmed")
    return f"{version} ({', '.join(remarks)})" if remarks else str(version)


def format_overview(fleet: FleetOverview) -> str:
    """Format a fleet's groups, coordinators, rate limits and instance counters."""
    coordinators = [
        (item.name, item.data_centre, "yes" if item.is_established else "not yet")
        for item in fleet.coordinators
    ]
    groups = [
        (
            item.group,
            item.primary or "-",
            item.term,
            _describe_phase(item),
            item.n_databases,
            " ".join(item.leaving) or "-",
            " ".join(item.evacuated) or "-",
        )
        for item in fleet.groups
    ]
    workspaces = [
        (item.name, f"{item.operations_per_second:g}", f"{item.burst:g}", item.n_keys)
        for item in fleet.workspaces
    ]
    instances = [
        (
            item.address,
            _describe_configuration(item, fleet.configuration_version),
            _describe_era(item.record_era, fleet.store_era),
            " ".join(f"{code}={count}" for code, count in item.statements) or "-",
        )
        for item in fleet.instances
    ]
    parts = [
        f"configuration {fleet.configuration_version}, fleet record revision "
        f"{fleet.record_revision}, last change of primary by {fleet.holder or '-'} "
        f"with fence {fleet.fence}\n",
        format_table(
            ("coordinator", "data centre", "may change primaries"), coordinators
        ),
        format_table(
            (
                "group",
                "primary",
                "term",
                "phase",
                "databases",
                "leaving",
                "evacuated",
            ),
            groups,
        ),
        format_table(("workspace", "per second", "burst", "keys"), workspaces),
    ]
    if fleet.evacuated_data_centres:
        names = ", ".join(fleet.evacuated_data_centres)
        parts.insert(1, f"evacuated data centres: {names}\n")
    if fleet.store_era:
        era = _describe_era(fleet.record_era, fleet.store_era)
        parts.insert(1, f"era of the store {fleet.store_era}, of the record {era}\n")
    if instances:
        header = ("instance", "configuration", "record era", "statements by outcome")
        parts.append(format_table(header, instances))
    return "\n".join(parts)


def format_check(report: CheckReport) -> str:
    """Format the findings of a check and the differences from the version in force."""
    lines = [
        f"{item.severity.value}: {item.entry}: {item.text}\n"
        for item in report.findings
    ]
    for changes in report.changes:
        for sign, names in (
            ("+", changes.added),
            ("-", changes.removed),
            ("~", changes.changed),
        ):
            lines += [f"  {sign} {changes.kind} {name}\n" for name in names]
    n_errors = sum(item.severity is Severity.ERROR for item in report.findings)
    n_warnings = len(report.findings) - n_errors
    summary = f"version {report.version}: {n_errors} errors, {n_warnings} warnings\n"
    return "".join([*lines, summary])


def _describe_phase(group: GroupOverview) -> str:
    if group.is_changing:
        return "changing"
    if not group.primary:
        return "no primary"
    if not group.is_primary_present:
        return "primary not listed"
    return f"evacuated, {group.evacuation}" if group.evacuation else "steady"


def _describe_era(era: int, store_era: int) -> str:
    """Return the era of a fleet record, and whether it lags behind the store's."""
    return f"{era} (behind)" if era < store_era else str(era)


def _format_age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f}s"


def _format_record(record: EditRecord) -> str:
    edit_time = datetime.fromtimestamp(record.edited_at, UTC)
    return (
        f"{record.version:>6}  {edit_time:%Y-%m-%d %H:%M:%S}Z  "
        f"{record.author:<12}  {record.summary}"
    )
