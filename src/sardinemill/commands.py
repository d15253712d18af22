"""Subcommands of the operators' command line that do not edit the configuration.

Each function returns the command to run; its parameters and doc comment become the
command's options and help text.
"""

from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

from .command_runner import (
    CheckRoutesCommand,
    Command,
    CommandContext,
    ExitStatus,
    LocalCommand,
    OverviewCommand,
    Report,
    wait_for_version,
)
from .documents import OperatorOrder
from .edit_commands import (
    edit,
    key_give,
    key_withdraw,
    plan_add,
    plan_change,
    plan_remove,
    read_files,
    undo,
    workspace_add,
    workspace_change,
    workspace_remove,
)
from .fleet_operations import (
    OrderResult,
    order_drain,
    order_promotion,
    read_status,
)
from .operations import list_history, read_snapshot, read_version
from .presentation import (
    format_configuration,
    format_faults,
    format_history,
    format_keys,
    format_status,
)
from .timeline import Selection, format_html, format_text, merge_logs
from .validation import find_faults


def show(*, version: int | None = None) -> Command:
    """Show the lists.

    :param version: an earlier version from the history
    """

    async def run(context: CommandContext) -> Report:
        if version is None:
            configuration = (
                await read_snapshot(context.operation_context)
            ).configuration
        else:
            configuration = await read_version(
                context.operation_context, version=version
            )
        data = replace(configuration, keys={})
        return Report(text=format_configuration(configuration), data=data)

    return run


def check(
    *,
    plans: Path | None = None,
    workspaces: Path | None = None,
    groups: Path | None = None,
) -> Command:
    """Check lists from files against the current version; changes nothing.

    :param plans: JSON file with the list of plans
    :param workspaces: JSON file with the list of workspaces
    :param groups: JSON file with the list of database groups
    """

    async def run(context: CommandContext) -> Report:
        base = (await read_snapshot(context.operation_context)).configuration
        files = {"plans": plans, "workspaces": workspaces, "groups": groups}
        faults = find_faults(read_files(files).apply(base))
        if faults:
            text = format_faults(faults)
            return Report(status=ExitStatus.WRONG_INPUT, text=text, data=faults)
        return Report(text="the lists are valid\n", data=())

    return run


def key_list(*, workspace: str = "") -> Command:
    """List the identifiers of keys.

    :param workspace: only the keys of this workspace
    """

    async def run(context: CommandContext) -> Report:
        configuration = (await read_snapshot(context.operation_context)).configuration
        keys = {
            key_id: key
            for key_id, key in configuration.keys.items()
            if not workspace or key.workspace == workspace
        }
        shown = replace(configuration, keys=keys)
        data = {key_id: key.workspace for key_id, key in keys.items()}
        return Report(text=format_keys(shown), data=data)

    return run


def history() -> Command:
    """Show the last edits, newest first."""

    async def run(context: CommandContext) -> Report:
        records = await list_history(context.operation_context)
        return Report(text=format_history(records), data=records)

    return run


def status() -> Command:
    """Show the state of all instances."""

    async def run(context: CommandContext) -> Report:
        fleet_status = await read_status(
            context.operation_context, status_source=context.status_source
        )
        return Report(text=format_status(fleet_status), data=fleet_status)

    return run


def overview(*, metrics: list[str] | None = None) -> OverviewCommand:
    """Show what is in force in a fleet on the platform.

    Lists the coordinators, the primary and term of each database group, the rate limits
    and, for the instances named, their configuration and refusals by reason. The option
    ``--store`` holds the platform's URL.

    Example: ``sardinemill --store http://10.200.1.7:8466 overview --metrics
    10.1.0.26:7575 10.1.0.27:7575``

    :param metrics: metrics addresses of the instances to ask
    """
    return OverviewCommand(tuple(metrics or ()))


def routes_check(file: Path, *, against: Path | None = None) -> CheckRoutesCommand:
    """Check a configuration of routes and workspaces before it is sent.

    Reports errors, entries that can never match, limits that contradict each other, and
    what differs from the version in force. The file has the form in which the platform
    stores the configuration. Exit status 2: it has errors.

    Example: ``sardinemill routes check next.json --against current.json``

    :param file: JSON file with the configuration
    :param against: JSON file with the version in force
    """
    return CheckRoutesCommand(file, against)


def wait(*, version: int | None = None, seconds: float = 30.0) -> Command:
    """Wait until a version is in force at every live instance.

    :param version: the current version by default
    :param seconds: how long to wait
    """

    async def run(context: CommandContext) -> Report:
        wanted = version
        if wanted is None:
            wanted = (await read_snapshot(context.operation_context)).head.version
        return await wait_for_version(context, wanted, seconds)

    return run


def drain(instance: str) -> Command:
    """Ask an instance to finish its work and stop.

    :param instance: name of the instance
    """

    async def run(context: CommandContext) -> Report:
        return _make_order_report(
            await order_drain(context.operation_context, instance=instance)
        )

    return run


def promote(group: str) -> Command:
    """Ask for a planned change of the primary of a group.

    :param group: name of the group
    """

    async def run(context: CommandContext) -> Report:
        groups = (await read_snapshot(context.operation_context)).configuration.groups
        if group not in groups:
            text = f"groups: {group!r}: a name from the list\n"
            return Report(status=ExitStatus.WRONG_INPUT, text=text)
        return _make_order_report(
            await order_promotion(context.operation_context, group=group)
        )

    return run


def _make_order_report(result: OrderResult) -> Report:
    order: OperatorOrder = result.order
    if result.is_placed:
        text = f"order {order.request_id} for {order.target} is placed\n"
        return Report(text=text, data=result)
    text = f"the store did not answer; order {order.request_id} may be placed\n"
    return Report(status=ExitStatus.UNKNOWN, text=text, data=result)


def timeline(
    *files: Path,
    request_id: str = "",
    group: str = "",
    version: int | None = None,
    html: Path | None = None,
) -> LocalCommand:
    """Merge logs of instances into one time line.

    :param files: log files
    :param request_id: only events of this request
    :param group: only events of this database group
    :param version: only events of this configuration version
    :param html: write a picture to this file
    """

    def run() -> Report:
        selection = Selection(
            request_id=request_id, group=group, configuration_version=version
        )
        try:
            logs = [path.read_text(errors="replace").splitlines() for path in files]
            merged = merge_logs(logs, selection)
            if html is not None:
                html.write_text(format_html(merged))
        except OSError as error:
            text = f"{error.filename}: {error.strerror}\n"
            return Report(status=ExitStatus.WRONG_INPUT, text=text)
        return Report(text=format_text(merged), data=merged)

    return LocalCommand(run)


_PLAN_COMMANDS: Mapping[str, object] = {
    "add": plan_add,
    "change": plan_change,
    "remove": plan_remove,
}
_WORKSPACE_COMMANDS: Mapping[str, object] = {
    "add": workspace_add,
    "change": workspace_change,
    "remove": workspace_remove,
}
_KEY_COMMANDS: Mapping[str, object] = {
    "give": key_give,
    "withdraw": key_withdraw,
    "list": key_list,
}
COMMANDS: Mapping[str, object] = {
    "show": show,
    "check": check,
    "edit": edit,
    "plan": _PLAN_COMMANDS,
    "workspace": _WORKSPACE_COMMANDS,
    "key": _KEY_COMMANDS,
    "history": history,
    "undo": undo,
    "status": status,
    "overview": overview,
    "routes": {"check": routes_check},
    "wait": wait,
    "drain": drain,
    "promote": promote,
    "timeline": timeline,
}
