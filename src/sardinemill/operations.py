"""Operations on the configuration in the store: read, edit, undo, issue keys."""

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
    determine_outcome,
    find_parts_at,
    generate_key,
    list_unreferenced_parts,
    list_winners,
    prepare_edit,
)
from .errors import StoreConflict, StoreError, StoreUnavailable
from .interfaces import Clock, RandomSource, Store
from .validation import ConfigurationFault, InvalidConfiguration

EDIT_TIMEOUT_SECONDS = 15.0
INITIAL_RETRY_DELAY_SECONDS = 0.25
MAX_RETRY_DELAY_SECONDS = 2.0
N_READ_ATTEMPTS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationContext:
    """Dependencies that the operations share.

    :param author: operator's name for the history.
    :param random_source: source of identifiers and of the jitter of retry delays.
    :param read_wall_clock: returns seconds since the epoch, for the history only.
    """

    store: Store
    codec: DocumentCodec
    clock: Clock
    random_source: RandomSource
    author: str
    read_wall_clock: Callable[[], float] = time.time


@dataclass(frozen=True, slots=True, kw_only=True)
class IssuedKey:
    """New API key and the change that adds it to the configuration.

    :param key_id: public identifier.
    :param key: secret text of the key; only its digest is stored.
    """

    change: IssueKey
    key_id: str
    key: str = field(repr=False)


async def read_snapshot(context: OperationContext) -> Snapshot:
    """Read the current version.

    A part that is missing was removed by later edits; the read starts again from a new
    head.

    :raises StoreUnavailable: if the store does not answer, or if every attempt met a
        part that had been removed.
    :raises CodecError: if the head or a part is malformed.
    """
    for _ in range(N_READ_ATTEMPTS):
        stored = await context.store.get(HEAD_NAME)
        if stored.version == 0:
            return Snapshot()
        head = context.codec.decode_head(stored.value)
        encoded = await _read_parts(context, head.parts)
        if encoded is not None:
            return decode_snapshot(stored.version, head, encoded, context.codec)
    raise StoreUnavailable("the configuration changes too fast to be read", step="read")


async def read_version(context: OperationContext, *, version: int) -> Configuration:
    """Read the current version or an earlier one from the history.

    :raises InvalidConfiguration: if the version does not exist or the history does not
        reach back that far.
    """
    snapshot = await read_snapshot(context)
    return await _read_past_version(context, snapshot.head, version)


async def list_history(context: OperationContext) -> tuple[EditRecord, ...]:
    """Return the edits in the history, newest first."""
    return tuple(reversed((await read_snapshot(context)).head.edits))


def preview_edit(
    context: OperationContext, *, base: Snapshot, change: Change
) -> PreparedEdit:
    """Prepare an edit without writing to the store.

    :raises InvalidConfiguration: see :func:`~sardinemill.edits.prepare_edit`.
    """
    return prepare_edit(
        base,
        change,
        context.codec,
        edit_id=context.random_source.make_id(),
        author=context.author,
        edited_at=context.read_wall_clock(),
    )


async def edit(
    context: OperationContext, *, base: Snapshot, change: Change
) -> EditResult:
    """Prepare an edit of ``base`` and submit it.

    :raises StoreUnavailable: if a part could not be written, so that nothing was
        changed.
    """
    try:
        prepared = preview_edit(context, base=base, change=change)
    except InvalidConfiguration as error:
        return Invalid(faults=error.faults)
    return await submit_edit(context, prepared=prepared)


async def submit_edit(
    context: OperationContext, *, prepared: PreparedEdit
) -> EditResult:
    """Write the parts, then replace the head with a conditional put.

    The put succeeds only if the head is still that of the base version. After a lost
    answer the head is read again: it contains the edit, or another edit was accepted
    first, or the put is repeated, which is safe because it is conditional.

    :raises StoreUnavailable: if a part could not be written, so that the head was not
        touched.
    """
    if prepared.difference.is_empty:
        version = prepared.base.head.version
        return Accepted(version=version, difference=prepared.difference)
    deadline = context.clock.now() + EDIT_TIMEOUT_SECONDS
    for name, data in prepared.writes.items():
        await _create_part(context, name, data, deadline)
    delay = INITIAL_RETRY_DELAY_SECONDS
    while True:
        outcome = await _put_head(context, prepared)
        if isinstance(outcome, Won):
            await _delete_unreferenced_parts(context, prepared)
            return Accepted(version=outcome.version, difference=prepared.difference)
        if isinstance(outcome, Lost):
            await _try_delete_objects(context, tuple(prepared.writes))
            return await _describe_conflict(context, prepared)
        if isinstance(outcome, Undecidable) or context.clock.now() + delay > deadline:
            return Unknown(edit_id=prepared.edit_id)
        await context.clock.sleep(delay * (0.5 + context.random_source.random()))
        delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)


def issue_key(
    context: OperationContext, *, workspace: str, key_id: str = ""
) -> IssuedKey:
    """Generate an API key and the change that adds it; the change is not submitted.

    :param key_id: public identifier; derived from the workspace's name if empty.
    """
    key = generate_key()
    key_id = key_id or f"{workspace[:50]}-{context.random_source.make_id()[:8]}"
    change = IssueKey(Key(key_id=key_id, workspace=workspace, digest=hash_key(key)))
    return IssuedKey(change=change, key_id=key_id, key=key)


async def make_undo(
    context: OperationContext, *, base: Snapshot, version: int | None = None
) -> ReplaceLists:
    """Make the change that restores plans, workspaces and groups of a version.

    Keys are not restored, so a withdrawn key never becomes valid again.

    :param version: version to restore; by default the one before ``base``.
    :raises InvalidConfiguration: if the version does not exist or the history does not
        reach back that far.
    """
    version = base.head.version - 1 if version is None else version
    old = await _read_past_version(context, base.head, version)
    return ReplaceLists(
        plans=old.plans,
        workspaces=old.workspaces,
        groups=old.groups,
        summary=f"restore lists of version {version}",
    )


async def _read_past_version(
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
    """Read parts from the store.

    :param parts: maps part names to part versions.
    :returns: maps part names to encoded parts; ``None`` if later edits removed one.
    """
    encoded = {}
    for name, part_version in parts.items():
        stored = await context.store.get(make_part_object_name(name, part_version))
        if stored.version == 0:
            return None
        encoded[name] = stored.value
    return encoded


async def _create_part(
    context: OperationContext, name: str, data: bytes, deadline: float
) -> None:
    delay = INITIAL_RETRY_DELAY_SECONDS
    while True:
        try:
            await context.store.put(name, data, expected_version=0)
            return
        except StoreConflict:
            # The name contains the edit's identifier, so an earlier attempt at this
            # edit created the object.
            return
        except StoreUnavailable:
            if context.clock.now() + delay > deadline:
                raise
        await context.clock.sleep(delay * (0.5 + context.random_source.random()))
        delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)


async def _put_head(
    context: OperationContext, prepared: PreparedEdit
) -> Won | Lost | Undecidable | None:
    """Put the head and determine the outcome; ``None`` while it is undecided.

    A conflict alone does not mean that the edit is lost: an earlier put of this edit
    may have succeeded although its answer was lost.
    """
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
        stored = await context.store.get(HEAD_NAME)
    except StoreUnavailable:
        return None
    head = context.codec.decode_head(stored.value) if stored.version else Head()
    outcome = determine_outcome(prepared, head)
    return outcome if isinstance(outcome, Won | Lost | Undecidable) else None


async def _describe_conflict(
    context: OperationContext, prepared: PreparedEdit
) -> Conflict:
    base = prepared.base
    try:
        current = await read_snapshot(context)
    except StoreUnavailable:
        # The edit was rejected for certain; only the winning edits are unknown.
        current = base
    return Conflict(
        seen_version=base.head.version,
        current_version=current.head.version,
        winners=list_winners(base, current),
        difference=compare_configurations(base.configuration, current.configuration),
    )


async def _delete_unreferenced_parts(
    context: OperationContext, prepared: PreparedEdit
) -> None:
    await _try_delete_objects(
        context, list_unreferenced_parts(prepared.base.head, prepared.head)
    )


async def _try_delete_objects(
    context: OperationContext, names: tuple[str, ...]
) -> None:
    """Delete part objects, ignoring store failures.

    An unreferenced part object that remains in the store does no harm. Parts are
    immutable, so each still has the version of a newly created object, 1.
    """
    for name in names:
        try:
            await context.store.delete(name, expected_version=1)
        except StoreError:
            continue
