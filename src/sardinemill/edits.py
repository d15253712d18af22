"""Edits of the configuration as decisions; ``operations`` talks to the store."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from .changes import Change
from .configuration import EMPTY_CONFIGURATION, Configuration
from .differences import Difference, compare_configurations
from .documents import (
    MAX_HISTORY_EDITS,
    MAX_PART_BYTES,
    DocumentCodec,
    EditRecord,
    Head,
    count_parts,
    encode_parts,
    join_parts,
    make_part_object_name,
)
from .validation import ConfigurationFault, InvalidConfiguration, find_faults

KEY_PREFIX = "smk_"
KEY_BYTES = 32
# Part versions are in every head; 48 random bits tell editors of one version apart.
EDIT_ID_LENGTH = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Version of the configuration as an editor read it.

    :param object_version: version of the head's store object, 0 when absent.
    :param encoded: part name to bytes.
    """

    object_version: int = 0
    head: Head = field(default_factory=Head)
    encoded: Mapping[str, bytes] = field(default_factory=dict, repr=False)
    configuration: Configuration = field(default=EMPTY_CONFIGURATION, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class PreparedEdit:
    """Edit that is ready to be written.

    :param writes: names of new part objects to their bytes.
    """

    base: Snapshot
    head: Head
    head_bytes: bytes = field(repr=False)
    writes: Mapping[str, bytes] = field(repr=False)
    configuration: Configuration = field(repr=False)
    difference: Difference

    @property
    def edit_id(self) -> str:
        """Identifier in the last record of the head."""
        return self.head.edits[-1].edit_id


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The edit is part of the single order of versions, or it changes nothing."""

    version: int
    difference: Difference


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another edit came first; nothing was changed.

    :param winners: edits accepted since the version that the editor saw.
    :param difference: from the version seen to the current one.
    """

    seen_version: int
    current_version: int
    winners: tuple[EditRecord, ...]
    difference: Difference


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """The result would not be a valid configuration; nothing was changed."""

    faults: tuple[ConfigurationFault, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The store did not answer; the edit may have been or may yet be accepted."""

    edit_id: str


EditResult = Accepted | Conflict | Invalid | Unknown


@dataclass(frozen=True, slots=True)
class Won:
    """The head holds the edit."""

    version: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The head has moved on without the edit, so its put can never succeed."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The put may still succeed, and may be repeated."""


@dataclass(frozen=True, slots=True)
class Undecidable:
    """The history of the head does not reach back to the edit."""


def prepare_edit(
    base: Snapshot,
    change: Change,
    codec: DocumentCodec,
    *,
    edit_id: str,
    author: str,
    edited_at: float,
) -> PreparedEdit:
    """Apply a change to the version seen.

    :raises InvalidConfiguration: with all faults of the change and of its result.
    """
    configuration = replace(
        change.apply(base.configuration), version=base.head.version + 1
    )
    faults = find_faults(configuration)
    if faults:
        raise InvalidConfiguration(faults, step="edit")
    encoded = encode_parts(configuration, codec, count_parts(base.head))
    _check_sizes(encoded)
    part_version = f"{configuration.version}-{edit_id[:EDIT_ID_LENGTH]}"
    changed = {
        name: data for name, data in encoded.items() if base.encoded.get(name) != data
    }
    parts = {
        name: part_version if name in changed else base.head.parts[name]
        for name in encoded
    }
    touched = [*changed, *(set(base.head.parts) - set(encoded))]
    record = EditRecord(
        edit_id=edit_id,
        author=author,
        summary=change.summary,
        version=configuration.version,
        replaced={name: base.head.parts.get(name, "") for name in touched},
        edited_at=edited_at,
    )
    edits = (*base.head.edits, record)[-MAX_HISTORY_EDITS:]
    head = Head(version=configuration.version, parts=parts, edits=edits)
    return PreparedEdit(
        base=base,
        head=head,
        head_bytes=codec.encode_head(head),
        writes={
            make_part_object_name(name, part_version): data
            for name, data in changed.items()
        },
        configuration=configuration,
        difference=compare_configurations(base.configuration, configuration),
    )


def _check_sizes(encoded: Mapping[str, bytes]) -> None:
    faults = tuple(
        ConfigurationFault(
            list_name=name,
            entry="",
            field="size",
            allowed=f"at most {MAX_PART_BYTES} bytes encoded",
            found=str(len(data)),
        )
        for name, data in encoded.items()
        if len(data) > MAX_PART_BYTES
    )
    if faults:
        raise InvalidConfiguration(faults, step="edit")


def judge_edit(
    prepared: PreparedEdit, head: Head
) -> Won | Lost | Undecided | Undecidable:
    """Find the outcome of an edit from a head that was read after its put."""
    record = head.find_edit(prepared.edit_id)
    if record is not None:
        return Won(record.version)
    n_later = head.version - prepared.base.head.version
    if n_later <= 0:
        return Undecided()
    return Lost() if n_later <= MAX_HISTORY_EDITS else Undecidable()


def list_winners(base: Snapshot, current: Snapshot) -> tuple[EditRecord, ...]:
    """Records of the edits accepted since ``base``."""
    return tuple(
        record for record in current.head.edits if record.version > base.head.version
    )


def list_garbage(old: Head, new: Head) -> tuple[str, ...]:
    """Names of part objects that nothing refers to once ``new`` is accepted."""
    kept = {(name, version) for name, version in new.parts.items()}
    for record in new.edits:
        kept.update(record.replaced.items())
    forgotten = [record for record in old.edits if record not in new.edits]
    return tuple(
        make_part_object_name(name, version)
        for record in forgotten
        for name, version in record.replaced.items()
        if version and (name, version) not in kept
    )


def find_parts_at(head: Head, version: int) -> Mapping[str, str] | None:
    """Find the parts of an earlier version from the history of a head.

    :returns: part name to part version, or ``None`` when the history is too short.
    """
    if version > head.version or version < 1:
        return None
    later = [record for record in head.edits if record.version > version]
    if len(later) < head.version - version:
        return None
    parts = dict(head.parts)
    for record in reversed(later):
        parts.update(record.replaced)
    return {name: part_version for name, part_version in parts.items() if part_version}


def decode_snapshot(
    object_version: int,
    head: Head,
    encoded: Mapping[str, bytes],
    codec: DocumentCodec,
) -> Snapshot:
    """Build a snapshot from what was read.

    :raises CodecError: when a part is malformed.
    """
    parts = {name: codec.decode_part(data) for name, data in encoded.items()}
    return Snapshot(
        object_version=object_version,
        head=head,
        encoded=encoded,
        configuration=join_parts(head.version, parts),
    )


def make_key() -> str:
    """Make a key of 256 random bits."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
