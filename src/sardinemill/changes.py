"""Changes of the configuration: plans, workspaces, database groups and API keys."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol, TypeVar

from .configuration import Configuration, Key, Plan, Workspace
from .groups import GroupDescription
from .validation import ConfigurationFault, InvalidConfiguration

T = TypeVar("T")


class Change(Protocol):
    """Change of a configuration.

    :ivar summary: one line for the history; must not contain the text of a key.
    """

    @property
    def summary(self) -> str: ...

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration; the version number stays the same.

        :raises InvalidConfiguration: if the change does not apply, for instance
            because the entry is missing.
        """
        ...


def _put_entry(
    list_name: str, entries: Mapping[str, T], name: str, entry: T, is_new: bool
) -> Mapping[str, T]:
    if is_new == (name in entries):
        allowed = "a name not in the list" if is_new else "a name from the list"
        _raise_name_fault(list_name, name, allowed)
    return {**entries, name: entry}


def _remove_entry(
    list_name: str, entries: Mapping[str, T], name: str
) -> Mapping[str, T]:
    if name not in entries:
        _raise_name_fault(list_name, name, "a name from the list")
    return {key: entry for key, entry in entries.items() if key != name}


def _raise_name_fault(list_name: str, name: str, allowed: str) -> None:
    fault = ConfigurationFault(
        list_name=list_name, entry=name, field="name", allowed=allowed
    )
    raise InvalidConfiguration((fault,), step="edit")


def _remove_orphaned_keys(configuration: Configuration) -> Configuration:
    keys = {
        key_id: key
        for key_id, key in configuration.keys.items()
        if key.workspace in configuration.workspaces
    }
    return replace(configuration, keys=keys)


@dataclass(frozen=True, slots=True)
class PutPlan:
    """Adds a plan or replaces an existing one.

    :param is_new: whether the plan must be absent; otherwise it must exist.
    """

    plan: Plan
    is_new: bool

    @property
    def summary(self) -> str:
        return f"{'add' if self.is_new else 'change'} plan {self.plan.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        name = self.plan.name
        plans = _put_entry("plans", configuration.plans, name, self.plan, self.is_new)
        return replace(configuration, plans=plans)


@dataclass(frozen=True, slots=True)
class RemovePlan:
    """Removes a plan.

    Validation rejects the result while a workspace still uses the plan.
    """

    name: str

    @property
    def summary(self) -> str:
        return f"remove plan {self.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        plans = _remove_entry("plans", configuration.plans, self.name)
        return replace(configuration, plans=plans)


@dataclass(frozen=True, slots=True)
class PutWorkspace:
    """Adds a workspace or replaces an existing one.

    :param is_new: whether the workspace must be absent; otherwise it must exist.
    """

    workspace: Workspace
    is_new: bool

    @property
    def summary(self) -> str:
        return f"{'add' if self.is_new else 'change'} workspace {self.workspace.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        workspaces = _put_entry(
            "workspaces",
            configuration.workspaces,
            self.workspace.name,
            self.workspace,
            self.is_new,
        )
        return replace(configuration, workspaces=workspaces)


@dataclass(frozen=True, slots=True)
class RemoveWorkspace:
    """Removes a workspace together with its API keys."""

    name: str

    @property
    def summary(self) -> str:
        return f"remove workspace {self.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        workspaces = _remove_entry("workspaces", configuration.workspaces, self.name)
        return _remove_orphaned_keys(replace(configuration, workspaces=workspaces))


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Adds an API key; the configuration stores its digest, never its text."""

    key: Key

    @property
    def summary(self) -> str:
        return f"give key {self.key.key_id} to {self.key.workspace}"

    def apply(self, configuration: Configuration) -> Configuration:
        keys = _put_entry("keys", configuration.keys, self.key.key_id, self.key, True)
        return replace(configuration, keys=keys)


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Removes an API key, so that it no longer authenticates."""

    key_id: str

    @property
    def summary(self) -> str:
        return f"withdraw key {self.key_id}"

    def apply(self, configuration: Configuration) -> Configuration:
        return replace(
            configuration, keys=_remove_entry("keys", configuration.keys, self.key_id)
        )


@dataclass(frozen=True, slots=True)
class ReplaceLists:
    """Replaces whole lists and removes the keys of workspaces that no longer exist.

    Keys are never restored, so that undoing a change of the lists does not bring back
    a key that was withdrawn in the meantime.

    :param plans: new list, or ``None`` to keep the current one.
    :param workspaces: new list, or ``None`` to keep the current one.
    :param groups: new list, or ``None`` to keep the current one.
    """

    plans: Mapping[str, Plan] | None = None
    workspaces: Mapping[str, Workspace] | None = None
    groups: Mapping[str, GroupDescription] | None = None
    summary: str = field(default="edit lists")

    def apply(self, configuration: Configuration) -> Configuration:
        return _remove_orphaned_keys(
            replace(
                configuration,
                plans=configuration.plans if self.plans is None else self.plans,
                workspaces=(
                    configuration.workspaces
                    if self.workspaces is None
                    else self.workspaces
                ),
                groups=configuration.groups if self.groups is None else self.groups,
            )
        )
