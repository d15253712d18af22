"""How a command runs: edits are shown, confirmed where callers lose access, and made.

Nothing here prints; a command ends with a :class:`Report`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import IntEnum

from .changes import Change
from .differences import compare_configurations
from .edits import (
    Accepted,
    Conflict,
    EditResult,
    Invalid,
    PreparedEdit,
    Snapshot,
    Unknown,
    list_winners,
)
from .errors import StoreError
from .fleet_operations import StatusSource, wait_until_in_force
from .operations import (
    OperationContext,
    make_key_gift,
    preview_edit,
    read_snapshot,
    read_version,
    submit_edit,
)
from .presentation import format_conflict, format_difference, format_faults

WAIT_SECONDS = 30.0


class ExitStatus(IntEnum):
    """Exit statuses of the command line."""

    DONE = 0
    REFUSED = 1
    WRONG_INPUT = 2
    UNAVAILABLE = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Outcome of a command.

    :param text: for people.
    :param data: for ``--json``.
    """

    status: ExitStatus = ExitStatus.DONE
    text: str = ""
    data: object = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """What a command runs with.

    :param say: shows a text before the command ends.
    :param confirm: asks the operator; ``False`` when refused.
    :param is_waiting: wait until an accepted edit is in force everywhere.
    :param expected_version: refuse edits of any other version.
    """

    context: OperationContext
    source: StatusSource
    say: Callable[[str], None]
    confirm: Callable[[str], bool]
    is_waiting: bool = False
    expected_version: int | None = None


Command = Callable[[Session], Awaitable[Report]]


@dataclass(frozen=True, slots=True)
class EditCommand:
    """Edit that the session shows, confirms and submits.

    :param make_change: builds the change from the version seen.
    """

    make_change: Callable[[OperationContext, Snapshot], Awaitable[Change]]


@dataclass(frozen=True, slots=True)
class KeyCommand:
    """Gift of a key."""

    workspace: str
    key_id: str = ""


@dataclass(frozen=True, slots=True)
class LocalCommand:
    """Command that needs no platform."""

    run: Callable[[], Report]


@dataclass(frozen=True, slots=True)
class OverviewCommand:
    """Command that shows a fleet on the platform.

    :param metrics: metrics addresses of the instances to ask.
    """

    metrics: tuple[str, ...]


async def run_command(
    command: Command | EditCommand | KeyCommand, session: Session
) -> Report:
    """Run a command over the store of the session."""
    if isinstance(command, EditCommand):
        base = await read_snapshot(session.context)
        change = await command.make_change(session.context, base)
        return (await run_edit(session, base, change)).report
    if isinstance(command, KeyCommand):
        return await _give_key(session, command)
    return await command(session)


async def _give_key(session: Session, command: KeyCommand) -> Report:
    """Give a key; it is also shown when the outcome is unknown."""
    gift = make_key_gift(
        session.context, workspace=command.workspace, key_id=command.key_id
    )
    base = await read_snapshot(session.context)
    outcome = await run_edit(session, base, gift.change)
    report = outcome.report
    if not isinstance(outcome.result, Accepted | Unknown):
        return report
    text = f"{report.text}key {gift.key_id}, shown only now:\n{gift.key}\n"
    data = {"key_id": gift.key_id, "key": gift.key, "result": report.data}
    return Report(status=report.status, text=text, data=data)


@dataclass(frozen=True, slots=True)
class EditOutcome:
    """What became of an edit.

    :param result: ``None`` when the operator did not confirm it.
    """

    result: EditResult | None
    report: Report


async def run_edit(session: Session, base: Snapshot, change: Change) -> EditOutcome:
    """Show an edit, ask where callers lose access, and submit it.

    :raises InvalidConfiguration: with all faults.
    :raises StoreUnavailable: when nothing was changed.
    """
    conflict = await _check_expected(session, base)
    if conflict is not None:
        return EditOutcome(conflict, report_result(conflict))
    prepared = preview_edit(session.context, base=base, change=change)
    session.say(format_difference(prepared.difference))
    if not _is_confirmed(session, prepared):
        text = "not confirmed; nothing was changed\n"
        data = {"result": "not confirmed", "difference": prepared.difference}
        report = Report(status=ExitStatus.REFUSED, text=text, data=data)
        return EditOutcome(None, report)
    result = await submit_edit(session.context, prepared=prepared)
    report = report_result(result)
    if session.is_waiting and isinstance(result, Accepted):
        waited = await _wait_after_edit(session, result.version)
        data = {"edit": report.data, "wait": waited.data}
        text = report.text + waited.text
        report = Report(status=waited.status, text=text, data=data)
    return EditOutcome(result, report)


async def _wait_after_edit(session: Session, version: int) -> Report:
    try:
        return await wait_for_version(session, version, WAIT_SECONDS)
    except StoreError as error:
        text = f"the instances could not be listed: {error.message}\n"
        return Report(status=ExitStatus.UNAVAILABLE, text=text)


async def _check_expected(session: Session, base: Snapshot) -> Conflict | None:
    expected = session.expected_version
    if expected is None or expected == base.head.version:
        return None
    seen = base.configuration
    if 0 < expected < base.head.version:
        seen = await read_version(session.context, version=expected)
    return Conflict(
        seen_version=expected,
        current_version=base.head.version,
        winners=tuple(
            record
            for record in list_winners(Snapshot(), base)
            if record.version > expected
        ),
        difference=compare_configurations(seen, base.configuration),
    )


def _is_confirmed(session: Session, prepared: PreparedEdit) -> bool:
    losing = prepared.difference.losing_access
    if not losing:
        return True
    names = ", ".join(losing)
    return session.confirm(f"callers of {names} lose access; type yes to go on: ")


async def wait_for_version(session: Session, version: int, seconds: float) -> Report:
    """Wait until a version is in force everywhere, and report who lacks it."""
    result = await wait_until_in_force(
        session.context,
        source=session.source,
        version=version,
        timeout_seconds=seconds,
    )
    if not result.behind:
        text = f"version {version} is in force everywhere\n"
        return Report(text=text, data=result)
    text = f"version {version} is not in force at: {', '.join(result.behind)}\n"
    return Report(status=ExitStatus.REFUSED, text=text, data=result)


def report_result(result: EditResult) -> Report:
    """Describe the result of an edit."""
    data = {"result": type(result).__name__.lower(), "details": result}
    if isinstance(result, Accepted):
        return Report(text=f"accepted as version {result.version}\n", data=data)
    if isinstance(result, Conflict):
        text = format_conflict(result)
        return Report(status=ExitStatus.REFUSED, text=text, data=data)
    if isinstance(result, Invalid):
        text = format_faults(result.faults)
        return Report(status=ExitStatus.WRONG_INPUT, text=text, data=data)
    assert isinstance(result, Unknown)
    text = (
        f"outcome unknown: the store did not answer; look for edit {result.edit_id} "
        "in the history before trying again\n"
    )
    return Report(status=ExitStatus.UNKNOWN, text=text, data=data)
