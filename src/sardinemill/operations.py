"""Whole operations on the configuration, over any store."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from .changes import Change, IssueKey, ReplaceLists
from .configuration import Configuration, Key, hash_key
from .differences import compare_configurations
from .documents import HEAD_NAME, DocumentCodec, EditRecord, Head, make_part_object_name
from .edits import (
    Accepted,
    Conflict,
    EditResult,
    Invalid,
    Lost,
    PreparedEdit,
    Snapshot,
    Undecidable,
    Unknown,
    Won,
    decode_snapshot,
    find_parts_at,
    judge_edit,
    list_garbage,
    list_winners,
    make_key,
    prepare_edit,
)
from .errors import StoreConflict, StoreError, StoreUnavailable
from .interfaces import Clock, RandomSource, Store
from .validation import ConfigurationFault, InvalidConfiguration

EDIT_TIMEOUT_SECONDS = 15.0
RETRY_SECONDS = 0.25
RETRY_LIMIT_SECONDS = 2.0
N_READ_ATTEMPTS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationContext:
    """What every operation needs.

    :param author: operator's name for the history.
    :param read_wall_clock: seconds since the epoch, for the history only.
    """

    store: Store
    codec: DocumentCodec
    clock: Clock
    random: RandomSource
    author: str
    read_wall_clock: Callable[[], float] = time.time


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyGift:
    """New key and the change that puts it in force.

    :param key: the key in clear; it is kept nowhere else.
    """

    change: IssueKey
    key_id: str
    key: str = field(repr=False)


async def read_snapshot(context: OperationContext) -> Snapshot:
    """Read the current version.

    :raises StoreUnavailable: when the store does not answer.
    :raises CodecError: when the head or a part is malformed.
    """
    for _ in range(N_READ_ATTEMPTS):
        found = await context.store.get(HEAD_NAME)
        if found.version == 0:
            return Snapshot()
        head = context.codec.decode_head(found.value)
        encoded = await _read_parts(context, head.parts)
        if encoded is not None:
            return decode_snapshot(found.version, head, encoded, context.codec)
    raise StoreUnavailable("the configuration changes too fast to be read", step="read")


async def read_version(context: OperationContext, *, version: int) -> Configuration:
    """Read an earlier version from the history.

    :raises InvalidConfiguration: when the history does not reach back that far.
    """
    snapshot = await read_snapshot(context)
    return await _read_earlier(context, snapshot.head, version)


async def list_history(context: OperationContext) -> tuple[EditRecord, ...]:
    """Return the last edits, newest first."""
    return tuple(reversed((await read_snapshot(context)).head.edits))


def preview_edit(
    context: OperationContext, *, base: Snapshot, change: Change
) -> PreparedEdit:
    """Work out an edit without writing anything.

    :raises InvalidConfiguration: with all faults.
    """
    return prepare_edit(
        base,
        change,
        context.codec,
        edit_id=context.random.make_id(),
        author=context.author,
        edited_at=context.read_wall_clock(),
    )


async def edit(
    context: OperationContext, *, base: Snapshot, change: Change
) -> EditResult:
    """Make an edit against the version seen.

    :raises StoreUnavailable: when nothing was changed because the store is down.
    """
    try:
        prepared = preview_edit(context, base=base, change=change)
    except InvalidConfiguration as error:
        return Invalid(faults=error.faults)
    return await submit_edit(context, prepared=prepared)


async def submit_edit(
    context: OperationContext, *, prepared: PreparedEdit
) -> EditResult:
    """Write the parts, then put the head if it is still the one seen.

    After a lost answer the head is read again: it holds the edit, or another edit came
    first, or the put is repeated, which is safe because it is conditional.

    :raises StoreUnavailable: when a part could not be written, so that the head was
        not touched.
    """
    if prepared.difference.is_empty:
        version = prepared.base.head.version
        return Accepted(version=version, difference=prepared.difference)
    limit = context.clock.now() + EDIT_TIMEOUT_SECONDS
    for name, data in prepared.writes.items():
        await _create_part(context, name, data, limit)
    delay = RETRY_SECONDS
    while True:
        verdict = await _put_head(context, prepared)
        if isinstance(verdict, Won):
            await _collect_garbage(context, prepared)
            return Accepted(version=verdict.version, difference=prepared.difference)
        if isinstance(verdict, Lost):
            await _delete_quietly(context, tuple(prepared.writes))
            return await _describe_conflict(context, prepared)
        if isinstance(verdict, Undecidable) or context.clock.now() + delay > limit:
            return Unknown(edit_id=prepared.edit_id)
        await context.clock.sleep(delay * (0.5 + context.random.random()))
        delay = min(2 * delay, RETRY_LIMIT_SECONDS)


def make_key_gift(
    context: OperationContext, *, workspace: str, key_id: str = ""
) -> KeyGift:
    """Make a new key for a workspace; :func:`edit` puts it in force.

    :param key_id: public identifier; made from the workspace's name when empty.
    """
    key = make_key()
    key_id = key_id or f"{workspace[:50]}-{context.random.make_id()[:8]}"
    change = IssueKey(Key(key_id=key_id, workspace=workspace, digest=hash_key(key)))
    return KeyGift(change=change, key_id=key_id, key=key)


async def make_undo(
    context: OperationContext, *, base: Snapshot, version: int | None = None
) -> ReplaceLists:
    """Make the change that restores plans, workspaces and groups of a version.

    Keys stay as they are now: a withdrawn key never comes back.

    :param version: version to restore; the one before ``base`` by default.
    :raises InvalidConfiguration: when the history does not reach back that far.
    """
    version = base.head.version - 1 if version is None else version
    old = await _read_earlier(context, base.head, version)
    return ReplaceLists(
        plans=old.plans,
        workspaces=old.workspaces,
        groups=old.groups,
        summary=f"restore lists of version {version}",
    )


async def _read_earlier(
    context: OperationContext, head: Head, version: int
) -> Configuration:
    parts = find_parts_at(head, version)
    encoded = None if parts is None else await _read_parts(context, parts)
    if encoded is None:
        fault = ConfigurationFault(
            list_name="history",
            entry=str(version),
            field="version",
            allowed="a version in the history",
        )
        raise InvalidConfiguration((fault,), step="history")
    old_head = Head(version=version)
    return decode_snapshot(0, old_head, encoded, context.codec).configuration


async def _read_parts(
    context: OperationContext, parts: Mapping[str, str]
) -> dict[str, bytes] | None:
    """Read parts; ``None`` when one was removed by later edits."""
    encoded = {}
    for name, part_version in parts.items():
        found = await context.store.get(make_part_object_name(name, part_version))
        if found.version == 0:
            return None
        encoded[name] = found.value
    return encoded


async def _create_part(
    context: OperationContext, name: str, data: bytes, limit: float
) -> None:
    delay = RETRY_SECONDS
    while True:
        try:
            await context.store.put(name, data, expected_version=0)
            return
        except StoreConflict:
            # The name holds the edit id, so an earlier try of this edit wrote it.
            return
        except StoreUnavailable:
            if context.clock.now() + delay > limit:
                raise
        await context.clock.sleep(delay * (0.5 + context.random.random()))
        delay = min(2 * delay, RETRY_LIMIT_SECONDS)


async def _put_head(
    context: OperationContext, prepared: PreparedEdit
) -> Won | Lost | Undecidable | None:
    """Put the head; ``None`` when the outcome is still open."""
    try:
        await context.store.put(
            HEAD_NAME,
            prepared.head_bytes,
            expected_version=prepared.base.object_version,
        )
        return Won(prepared.head.version)
    except StoreError:
        pass
    try:
        found = await context.store.get(HEAD_NAME)
    except StoreUnavailable:
        return None
    head = context.codec.decode_head(found.value) if found.version else Head()
    verdict = judge_edit(prepared, head)
    return verdict if isinstance(verdict, Won | Lost | Undecidable) else None


async def _describe_conflict(
    context: OperationContext, prepared: PreparedEdit
) -> Conflict:
    base = prepared.base
    try:
        current = await read_snapshot(context)
    except StoreUnavailable:
        # The edit lost for certain; only the description of the winner is missing.
        current = base
    return Conflict(
        seen_version=base.head.version,
        current_version=current.head.version,
        winners=list_winners(base, current),
        difference=compare_configurations(base.configuration, current.configuration),
    )


async def _collect_garbage(context: OperationContext, prepared: PreparedEdit) -> None:
    await _delete_quietly(context, list_garbage(prepared.base.head, prepared.head))


async def _delete_quietly(context: OperationContext, names: tuple[str, ...]) -> None:
    """Remove part objects; one that stays behind does no harm."""
    for name in names:
        try:
            await context.store.delete(name, expected_version=1)
        except StoreError:
            continue
