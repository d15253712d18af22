"""Subcommands of the operators' command line that edit the configuration.

The functions' parameters and doc comments become the commands' options and help texts.
"""

from collections.abc import Callable, Mapping
from pathlib import Path

from .adapters.list_files import LIST_TYPES, read_list
from .changes import (
    Change,
    PutPlan,
    PutWorkspace,
    RemovePlan,
    RemoveWorkspace,
    ReplaceLists,
    WithdrawKey,
)
from .command_runner import EditCommand, IssueKeyCommand
from .configuration import Configuration, Plan, Workspace
from .edits import Snapshot
from .operations import OperationContext, make_undo
from .validation import ConfigurationFault, InvalidConfiguration


def _make_edit_command(build_change: Callable[[Configuration], Change]) -> EditCommand:
    async def make_change(context: OperationContext, base: Snapshot) -> Change:
        return build_change(base.configuration)

    return EditCommand(make_change)


def edit(
    *,
    plans: Path | None = None,
    workspaces: Path | None = None,
    groups: Path | None = None,
) -> EditCommand:
    """Replace whole lists from JSON files.

    :param plans: JSON file with the list of plans
    :param workspaces: JSON file with the list of workspaces
    :param groups: JSON file with the list of database groups
    """
    files = {"plans": plans, "workspaces": workspaces, "groups": groups}
    return _make_edit_command(lambda configuration: read_files(files))


def read_files(files: Mapping[str, Path | None]) -> ReplaceLists:
    """Read lists from JSON files.

    :param files: maps the names of lists to paths, ``None`` for a list to keep.
    :raises InvalidConfiguration: with the faults of all files.
    """
    lists: dict[str, dict[str, object]] = {}
    faults: list[ConfigurationFault] = []
    for list_name, path in files.items():
        if path is None:
            continue
        try:
            lists[list_name] = read_list(path, list_name, LIST_TYPES[list_name])
        except InvalidConfiguration as error:
            faults.extend(error.faults)
    if faults:
        raise InvalidConfiguration(tuple(faults), step="read lists")
    summary = f"edit {', '.join(lists) or 'nothing'}"
    return ReplaceLists(summary=summary, **lists)  # type: ignore[arg-type]


def plan_add(
    name: str,
    *,
    rate: float,
    burst: float,
    weight: float = 1.0,
    n_queued: int = 256,
) -> EditCommand:
    """Add a plan.

    :param name: name of the plan
    :param rate: requests a second over the whole fleet
    :param burst: requests that may come at once
    :param weight: share of scarce connections
    :param n_queued: requests that may wait for a database
    """
    plan = Plan(
        name=name, rate_per_second=rate, burst=burst, weight=weight, n_queued=n_queued
    )
    return _make_edit_command(lambda configuration: PutPlan(plan, is_new=True))


def plan_change(
    name: str,
    *,
    rate: float | None = None,
    burst: float | None = None,
    weight: float | None = None,
    n_queued: int | None = None,
) -> EditCommand:
    """Change a plan; what is not given stays.

    :param name: name of the plan
    :param rate: requests a second over the whole fleet
    :param burst: requests that may come at once
    :param weight: share of scarce connections
    :param n_queued: requests that may wait for a database
    """

    def build_change(configuration: Configuration) -> Change:
        old = configuration.plans.get(name)
        if old is None:
            # Applying this change raises the error that the name is missing.
            return RemovePlan(name)
        plan = Plan(
            name=name,
            rate_per_second=old.rate_per_second if rate is None else rate,
            burst=old.burst if burst is None else burst,
            weight=old.weight if weight is None else weight,
            n_queued=old.n_queued if n_queued is None else n_queued,
        )
        return PutPlan(plan, is_new=False)

    return _make_edit_command(build_change)


def plan_remove(name: str) -> EditCommand:
    """Remove a plan that no workspace uses.

    :param name: name of the plan
    """
    return _make_edit_command(lambda configuration: RemovePlan(name))


def workspace_add(name: str, *, plan: str, group: str) -> EditCommand:
    """Add a workspace.

    :param name: name of the workspace
    :param plan: name of its plan
    :param group: database group that holds its data
    """
    workspace = Workspace(name=name, plan=plan, group=group)
    return _make_edit_command(
        lambda configuration: PutWorkspace(workspace, is_new=True)
    )


def workspace_change(
    name: str, *, plan: str | None = None, group: str | None = None
) -> EditCommand:
    """Change a workspace; what is not given stays.

    :param name: name of the workspace
    :param plan: name of its plan
    :param group: database group that holds its data
    """

    def build_change(configuration: Configuration) -> Change:
        old = configuration.workspaces.get(name)
        if old is None:
            # Applying this change raises the error that the name is missing.
            return RemoveWorkspace(name)
        workspace = Workspace(
            name=name, plan=plan or old.plan, group=group or old.group
        )
        return PutWorkspace(workspace, is_new=False)

    return _make_edit_command(build_change)


def workspace_remove(name: str) -> EditCommand:
    """Remove a workspace and its keys.

    :param name: name of the workspace
    """
    return _make_edit_command(lambda configuration: RemoveWorkspace(name))


def key_give(workspace: str, *, key_id: str = "") -> IssueKeyCommand:
    """Give a new key to a workspace; it is shown once.

    :param workspace: name of the workspace
    :param key_id: public identifier; made from the workspace's name by default
    """
    return IssueKeyCommand(workspace, key_id)


def key_withdraw(key_id: str) -> EditCommand:
    """Withdraw a key.

    :param key_id: public identifier of the key
    """
    return _make_edit_command(lambda configuration: WithdrawKey(key_id))


def undo(*, version: int | None = None) -> EditCommand:
    """Restore plans, workspaces and groups of an earlier version as a new version.

    Keys stay as they are: a withdrawn key never comes back.

    :param version: version to restore; by default the one before the current one
    """

    async def make_change(context: OperationContext, base: Snapshot) -> Change:
        return await make_undo(context, base=base, version=version)

    return EditCommand(make_change)
