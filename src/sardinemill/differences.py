"""Difference between two configurations and what it means for live traffic."""

from collections.abc import Mapping
from dataclasses import dataclass

from .configuration import Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class ListDifference:
    """Names of the entries of one list that differ.

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
    """Rate and burst of a workspace before and after."""

    workspace: str
    old_rate_per_second: float
    new_rate_per_second: float
    old_burst: float
    new_burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """What an edit changes.

    :param old_version: version before; 0 for none.
    :param workspaces: workspaces whose plan, group, keys or limits change.
    :param rates: workspaces that existed before and whose limits change.
    :param withdrawn_keys: ids of keys that stop working.
    :param losing_access: workspaces whose callers lose access, because a key stops
        working or because the workspace moves to a group without its data.
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
        """Whether the configurations hold the same entries."""
        return not self.lists


def compare_configurations(old: Configuration, new: Configuration) -> Difference:
    """Find what changes from one configuration to another."""
    lists = (
        _compare_lists("plans", old.plans, new.plans),
        _compare_lists("workspaces", old.workspaces, new.workspaces),
        _compare_lists("keys", old.keys, new.keys),
        _compare_lists("groups", old.groups, new.groups),
    )
    withdrawn = _find_withdrawn_keys(old, new)
    rates = _find_rate_changes(old, new)
    keys = lists[2]
    touched = {change.workspace for change in rates}
    touched.update(lists[1].added, lists[1].removed, lists[1].changed)
    touched.update(new.keys[name].workspace for name in keys.added + keys.changed)
    touched.update(old.keys[name].workspace for name in keys.removed + keys.changed)
    return Difference(
        old_version=old.version,
        new_version=new.version,
        lists=tuple(item for item in lists if not item.is_empty),
        workspaces=tuple(sorted(touched)),
        rates=rates,
        withdrawn_keys=withdrawn,
        losing_access=_find_losing(old, new, withdrawn),
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
    kept = {(key.digest, key.workspace) for key in new.keys.values()}
    return tuple(
        sorted(
            key.key_id
            for key in old.keys.values()
            if (key.digest, key.workspace) not in kept
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


def _find_losing(
    old: Configuration, new: Configuration, withdrawn: tuple[str, ...]
) -> tuple[str, ...]:
    losing = {old.keys[key_id].workspace for key_id in withdrawn}
    with_keys = {key.workspace for key in old.keys.values()}
    for name in with_keys & set(old.workspaces) & set(new.workspaces):
        if old.workspaces[name].group != new.workspaces[name].group:
            losing.add(name)
    return tuple(sorted(losing))
