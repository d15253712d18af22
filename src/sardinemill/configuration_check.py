"""Check of a configuration of routes and workspaces before it is sent.

Plain functions on the decoded configuration; an adapter decodes its file.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from .sessions.routes import (
    Configuration,
    Consistency,
    Route,
    WorkspacePlan,
    find_unusable_entries,
    find_word_fault,
)


class Severity(StrEnum):
    """Whether a finding keeps the configuration from being sent."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding about an entry.

    :param entry: kind and name of the entry, or ``configuration``.
    """

    severity: Severity
    entry: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryChanges:
    """Names of the entries of one kind that differ from the version in force."""

    kind: str
    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckReport:
    """Result of a check.

    :param changes: only kinds with differences; empty without a version in force.
    """

    version: int
    findings: tuple[Finding, ...]
    changes: tuple[EntryChanges, ...] = ()

    @property
    def has_errors(self) -> bool:
        """Whether the configuration must not be sent."""
        return any(item.severity is Severity.ERROR for item in self.findings)


def check_configuration(
    candidate: Configuration, current: Configuration | None = None
) -> CheckReport:
    """Find errors, entries that can never match and limits that contradict each other.

    :param current: version in force, to compare with.
    """
    findings = [
        *_check_names(candidate),
        *_check_routes(candidate),
        *_check_workspaces(candidate),
        *_check_room(candidate),
    ]
    if current is not None and candidate.version <= current.version:
        text = f"version {candidate.version} is not above {current.version} in force"
        findings.insert(0, Finding(Severity.ERROR, "configuration", text))
    return CheckReport(
        version=candidate.version,
        findings=tuple(findings),
        changes=() if current is None else tuple(_list_changes(current, candidate)),
    )


def _check_names(configuration: Configuration) -> Iterator[Finding]:
    for item in find_unusable_entries(configuration):
        entry = f"{item.kind} {item.name!r}"
        yield Finding(Severity.ERROR, entry, f"is not used: {item.reason}")
    for route in configuration.routes:
        fault = find_word_fault(route.database)
        if fault is not None:
            text = f"never matches: its database's name {fault}"
            yield Finding(Severity.ERROR, f"route {route.name!r}", text)
    for plan in configuration.workspaces:
        if any("\r" in key or "\n" in key for key in plan.keys):
            text = "one of its keys never matches: it holds a line end"
            yield Finding(Severity.ERROR, f"workspace {plan.name!r}", text)


def _check_routes(configuration: Configuration) -> Iterator[Finding]:
    groups = {group for group, _ in configuration.max_connections}
    n_by_database = Counter(route.database for route in configuration.routes)
    last = {route.database: route for route in configuration.routes}
    for route in configuration.routes:
        entry = f"route {route.name}"
        if n_by_database[route.database] > 1 and last[route.database] is not route:
            text = f"never matches: a later route has the database {route.database}"
            yield Finding(Severity.ERROR, entry, text)
        if groups and route.group not in groups:
            text = f"never serves: there is no group {route.group}"
            yield Finding(Severity.ERROR, entry, text)
        if route.timeout_seconds <= 0:
            yield Finding(Severity.ERROR, entry, "its time-out is not above 0")
        yield from _check_staleness(route, entry)


def _check_staleness(route: Route, entry: str) -> Iterator[Finding]:
    if route.staleness_seconds < 0:
        yield Finding(Severity.ERROR, entry, "its accepted staleness is below 0")
    elif route.consistency is Consistency.PRIMARY and route.staleness_seconds:
        text = "accepts staleness but reads from the primary only"
        yield Finding(Severity.WARNING, entry, text)
    elif route.consistency is not Consistency.PRIMARY and not route.staleness_seconds:
        text = "may read from replicas but accepts no staleness: they serve nothing"
        yield Finding(Severity.WARNING, entry, text)


def _check_workspaces(configuration: Configuration) -> Iterator[Finding]:
    n_by_name = Counter(plan.name for plan in configuration.workspaces)
    holders: dict[str, set[str]] = {}
    for plan in configuration.workspaces:
        for key in plan.keys:
            holders.setdefault(key, set()).add(plan.name)
    for plan in configuration.workspaces:
        entry = f"workspace {plan.name}"
        if n_by_name[plan.name] > 1:
            yield Finding(Severity.ERROR, entry, "its name is not unique")
        others = {
            name for key in plan.keys for name in holders[key] if name != plan.name
        }
        if others:
            text = f"shares a key with {', '.join(sorted(others))}"
            yield Finding(Severity.ERROR, entry, text)
        yield from _check_limit(plan, entry)


def _check_limit(plan: WorkspacePlan, entry: str) -> Iterator[Finding]:
    if not plan.keys:
        yield Finding(Severity.WARNING, entry, "never matches: it has no key")
    if plan.operations_per_second < 0 or plan.burst < 0:
        yield Finding(Severity.ERROR, entry, "its rate or burst is below 0")
    elif plan.burst < 1:
        text = "its burst is below 1: no operation is ever admitted"
        yield Finding(Severity.ERROR, entry, text)
    elif not plan.operations_per_second:
        text = "its rate is 0: nothing is admitted after the first burst"
        yield Finding(Severity.WARNING, entry, text)


def _check_room(configuration: Configuration) -> Iterator[Finding]:
    n_workspaces = len({plan.name for plan in configuration.workspaces if plan.keys})
    n_by_group = Counter(group for group, _ in configuration.max_connections)
    for group, n_limits in n_by_group.items():
        if n_limits > 1:
            text = "its name is not unique: the last limit counts"
            yield Finding(Severity.ERROR, f"group {group}", text)
    for group, n_connections in configuration.max_connections:
        if n_connections < 1:
            text = "its databases accept no connection"
            yield Finding(Severity.ERROR, f"group {group}", text)
        elif n_connections < n_workspaces:
            text = (
                f"{n_connections} connections to a database are fewer than the"
                f" {n_workspaces} workspaces; a connection serves one workspace"
            )
            yield Finding(Severity.WARNING, f"group {group}", text)


def _list_changes(
    current: Configuration, candidate: Configuration
) -> Iterator[EntryChanges]:
    pairs: list[tuple[str, dict[str, object], dict[str, object]]] = [
        (
            "routes",
            {route.database: route for route in current.routes},
            {route.database: route for route in candidate.routes},
        ),
        (
            "workspaces",
            {plan.name: plan for plan in current.workspaces},
            {plan.name: plan for plan in candidate.workspaces},
        ),
        ("groups", dict(current.max_connections), dict(candidate.max_connections)),
        (
            "limits",
            {"transaction_idle_seconds": current.transaction_idle_seconds},
            {"transaction_idle_seconds": candidate.transaction_idle_seconds},
        ),
    ]
    for kind, old, new in pairs:
        changes = EntryChanges(
            kind=kind,
            added=tuple(sorted(new.keys() - old.keys())),
            removed=tuple(sorted(old.keys() - new.keys())),
            changed=tuple(sorted(k for k in old.keys() & new if old[k] != new[k])),
        )
        if changes.added or changes.removed or changes.changed:
            yield changes
