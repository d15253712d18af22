"""Changes that operators make to the lists and keys."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol, TypeVar

from .configuration import Configuration, Key, Plan, Workspace
from .groups import GroupDescription
from .validation import ConfigurationFault, InvalidConfiguration

T = TypeVar("T")


class Change(Protocol):
    """Change of a configuration.

    :ivar summary: one line for the history; holds no key.
    """

    @property
    def summary(self) -> str: ...

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the configuration after the change; its version is not raised.

        :raises InvalidConfiguration: when the change does not fit.
        """
        ...


def _put(
    list_name: str, entries: Mapping[str, T], name: str, entry: T, is_new: bool
) -> Mapping[str, T]:
    if is_new == (name in entries):
        allowed = "a name not in the list" if is_new else "a name from the list"
        _raise_fault(list_name, name, allowed)
    return {**entries, name: entry}


def _take(list_name: str, entries: Mapping[str, T], name: str) -> Mapping[str, T]:
    if name not in entries:
        _raise_fault(list_name, name, "a name from the list")
    return {key: entry for key, entry in entries.items() if key != name}


def _raise_fault(list_name: str, name: str, allowed: str) -> None:
    fault = ConfigurationFault(
        list_name=list_name, entry=name, field="name", allowed=allowed
    )
    raise InvalidConfiguration((fault,), step="edit")


def _drop_orphaned_keys(configuration: Configuration) -> Configuration:
    keys = {
        key_id: key
        for key_id, key in configuration.keys.items()
        if key.workspace in configuration.workspaces
    }
    return replace(configuration, keys=keys)


@dataclass(frozen=True, slots=True)
class PutPlan:
    """Adds a plan, or changes one."""

    plan: Plan
    is_new: bool

    @property
    def summary(self) -> str:
        return f"{'add' if self.is_new else 'change'} plan {self.plan.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        name = self.plan.name
        plans = _put("plans", configuration.plans, name, self.plan, self.is_new)
        return replace(configuration, plans=plans)


@dataclass(frozen=True, slots=True)
class RemovePlan:
    """Removes a plan that no workspace uses."""

    name: str

    @property
    def summary(self) -> str:
        return f"remove plan {self.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        plans = _take("plans", configuration.plans, self.name)
        return replace(configuration, plans=plans)


@dataclass(frozen=True, slots=True)
class PutWorkspace:
    """Adds a workspace, or changes one."""

    workspace: Workspace
    is_new: bool

    @property
    def summary(self) -> str:
        return f"{'add' if self.is_new else 'change'} workspace {self.workspace.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        workspaces = _put(
            "workspaces",
            configuration.workspaces,
            self.workspace.name,
            self.workspace,
            self.is_new,
        )
        return replace(configuration, workspaces=workspaces)


@dataclass(frozen=True, slots=True)
class RemoveWorkspace:
    """Removes a workspace and its keys."""

    name: str

    @property
    def summary(self) -> str:
        return f"remove workspace {self.name}"

    def apply(self, configuration: Configuration) -> Configuration:
        workspaces = _take("workspaces", configuration.workspaces, self.name)
        return _drop_orphaned_keys(replace(configuration, workspaces=workspaces))


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Adds a key, of which only the digest is known here."""

    key: Key

    @property
    def summary(self) -> str:
        return f"give key {self.key.key_id} to {self.key.workspace}"

    def apply(self, configuration: Configuration) -> Configuration:
        keys = _put("keys", configuration.keys, self.key.key_id, self.key, True)
        return replace(configuration, keys=keys)


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Removes a key."""

    key_id: str

    @property
    def summary(self) -> str:
        return f"withdraw key {self.key_id}"

    def apply(self, configuration: Configuration) -> Configuration:
        return replace(
            configuration, keys=_take("keys", configuration.keys, self.key_id)
        )


@dataclass(frozen=True, slots=True)
class ReplaceLists:
    """Replaces whole lists; keys of workspaces that vanish go with them.

    Keys are never restored, so that undoing a change of the lists does not bring back
    a key that was withdrawn in the meantime.

    :param plans: new list, or ``None`` to keep the present one.
    """

    plans: Mapping[str, Plan] | None = None
    workspaces: Mapping[str, Workspace] | None = None
    groups: Mapping[str, GroupDescription] | None = None
    summary: str = field(default="edit lists")

    def apply(self, configuration: Configuration) -> Configuration:
        return _drop_orphaned_keys(
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
