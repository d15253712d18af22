"""Difference between two configurations and its effect on live traffic."""

from collections.abc import Mapping
from dataclasses import dataclass

from .configuration import Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class ListDifference:
    """Names of the added, removed and changed entries of one list.

    :param list_name: ``plans``, ``workspaces``, ``keys`` or ``groups``.
    """

    list_name: str
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the lists are equal."""
        return not (self.added or self.removed or self.changed)


@dataclass(frozen=True, slots=True, kw_only=True)
class RateChange:
    """Rate limit of a workspace before and after an edit; bursts are in requests."""

    workspace: str
    old_rate_per_second: float
    new_rate_per_second: float
    old_burst: float
    new_burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Difference between two versions of the configuration.

    :param lists: differences of the lists that are not equal.
    :param old_version: version before the edit; 0 for none.
    :param workspaces: workspaces whose plan, group, keys or rate limits change.
    :param rates: rate limits that change, of workspaces that both versions have.
    :param withdrawn_keys: identifiers of keys that stop working.
    :param losing_access: workspaces whose callers lose access, because a key stops
        working or because the workspace moves to another group, which does not have its
        data.
    """

    old_version: int
    new_version: int
    lists: tuple[ListDifference, ...]
    workspaces: tuple[str, ...]
    rates: tuple[RateChange, ...]
    withdrawn_keys: tuple[str, ...]
    losing_access: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether both configurations have the same entries."""
        return not self.lists


def compare_configurations(old: Configuration, new: Configuration) -> Difference:
    """Compare two configurations."""
    lists = (
        _compare_lists("plans", old.plans, new.plans),
        _compare_lists("workspaces", old.workspaces, new.workspaces),
        _compare_lists("keys", old.keys, new.keys),
        _compare_lists("groups", old.groups, new.groups),
    )
    withdrawn = _find_withdrawn_keys(old, new)
    rates = _find_rate_changes(old, new)
    keys = lists[2]
    affected = {change.workspace for change in rates}
    affected.update(lists[1].added, lists[1].removed, lists[1].changed)
    affected.update(new.keys[name].workspace for name in keys.added + keys.changed)
    affected.update(old.keys[name].workspace for name in keys.removed + keys.changed)
    return Difference(
        old_version=old.version,
        new_version=new.version,
        lists=tuple(item for item in lists if not item.is_empty),
        workspaces=tuple(sorted(affected)),
        rates=rates,
        withdrawn_keys=withdrawn,
        losing_access=_find_workspaces_losing_access(old, new, withdrawn),
    )


def _compare_lists(
    list_name: str, old: Mapping[str, object], new: Mapping[str, object]
) -> ListDifference:
    return ListDifference(
        list_name=list_name,
        added=tuple(sorted(set(new) - set(old))),
        removed=tuple(sorted(set(old) - set(new))),
        changed=tuple(
            sorted(name for name in old if name in new and old[name] != new[name])
        ),
    )


def _find_withdrawn_keys(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Find the keys that stop working.

    A key still works under another identifier if its digest and workspace are the same.
    """
    remaining_keys = {(key.digest, key.workspace) for key in new.keys.values()}
    return tuple(
        sorted(
            key.key_id
            for key in old.keys.values()
            if (key.digest, key.workspace) not in remaining_keys
        )
    )


def _find_rate_changes(
    old: Configuration, new: Configuration
) -> tuple[RateChange, ...]:
    changes = []
    for name in sorted(set(old.workspaces) & set(new.workspaces)):
        before = old.plans.get(old.workspaces[name].plan)
        after = new.plans.get(new.workspaces[name].plan)
        if before is None or after is None:
            continue
        change = RateChange(
            workspace=name,
            old_rate_per_second=before.rate_per_second,
            new_rate_per_second=after.rate_per_second,
            old_burst=before.burst,
            new_burst=after.burst,
        )
        if (before.rate_per_second, before.burst) != (
            after.rate_per_second,
            after.burst,
        ):
            changes.append(change)
    return tuple(changes)


def _find_workspaces_losing_access(
    old: Configuration, new: Configuration, withdrawn: tuple[str, ...]
) -> tuple[str, ...]:
    workspaces_losing_access = {old.keys[key_id].workspace for key_id in withdrawn}
    workspaces_with_keys = {key.workspace for key in old.keys.values()}
    for name in workspaces_with_keys & set(old.workspaces) & set(new.workspaces):
        if old.workspaces[name].group != new.workspaces[name].group:
            workspaces_losing_access.add(name)
    return tuple(sorted(workspaces_losing_access))
