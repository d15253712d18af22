"""Preparation and outcome of configuration edits, without I/O.

Module ``operations`` performs the store requests.
"""

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
    count_parts_per_list,
    encode_parts,
    join_parts,
    make_part_object_name,
)
from .validation import ConfigurationFault, InvalidConfiguration, find_faults

KEY_PREFIX = "smk_"
KEY_BYTES = 32
# Every head lists the versions of all parts, so they contain only a prefix of the
# edit's identifier; its 48 random bits distinguish concurrent edits of one version.
EDIT_ID_PREFIX_LENGTH = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Version of the configuration as an editor read it from the store.

    :param object_version: version of the head's store object, 0 if it is absent.
    :param encoded: maps part names to encoded parts.
    """

    object_version: int = 0
    head: Head = field(default_factory=Head)
    encoded: Mapping[str, bytes] = field(default_factory=dict, repr=False)
    configuration: Configuration = field(default=EMPTY_CONFIGURATION, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class PreparedEdit:
    """Validated edit that is ready to be submitted.

    :param base: version to which the edit applies.
    :param writes: maps the names of new part objects to their contents.
    """

    base: Snapshot
    head: Head
    head_bytes: bytes = field(repr=False)
    writes: Mapping[str, bytes] = field(repr=False)
    configuration: Configuration = field(repr=False)
    difference: Difference

    @property
    def edit_id(self) -> str:
        """Identifier of the edit, from the newest history entry of its head."""
        return self.head.edits[-1].edit_id


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The edit was accepted, or it changes nothing.

    :param version: version that contains the edit.
    """

    version: int
    difference: Difference


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A concurrent edit was accepted first; this edit changed nothing.

    :param seen_version: version to which the rejected edit applied.
    :param current_version: current version; ``seen_version`` if the store did not
        answer when it was read.
    :param winners: edits accepted since ``seen_version``.
    :param difference: changes from ``seen_version`` to ``current_version``.
    """

    seen_version: int
    current_version: int
    winners: tuple[EditRecord, ...]
    difference: Difference


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """The edit would produce an invalid configuration; nothing was changed."""

    faults: tuple[ConfigurationFault, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The store did not answer; the edit may have been or may still be accepted."""

    edit_id: str


EditResult = Accepted | Conflict | Invalid | Unknown


@dataclass(frozen=True, slots=True)
class Won:
    """The history of the head contains the edit."""

    version: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The head has a later version without the edit.

    The put of the edit is conditional on the earlier version and can never succeed.
    """


@dataclass(frozen=True, slots=True)
class Undecided:
    """The head is unchanged: the put may still succeed and can be repeated."""


@dataclass(frozen=True, slots=True)
class Undecidable:
    """The history of the head no longer reaches back to the edit."""


def prepare_edit(
    base: Snapshot,
    change: Change,
    codec: DocumentCodec,
    *,
    edit_id: str,
    author: str,
    edited_at: float,
) -> PreparedEdit:
    """Apply a change to a version, validate the result and encode it.

    :param base: version to which the change is applied.
    :param edit_id: unique identifier of the edit.
    :param edited_at: seconds since the epoch, for the history.
    :raises InvalidConfiguration: if the change does not apply, its result is invalid or
        an encoded part is larger than ``MAX_PART_BYTES``.
    """
    configuration = replace(
        change.apply(base.configuration), version=base.head.version + 1
    )
    faults = find_faults(configuration)
    if faults:
        raise InvalidConfiguration(faults, step="edit")
    encoded = encode_parts(configuration, codec, count_parts_per_list(base.head))
    _check_part_sizes(encoded)
    part_version = f"{configuration.version}-{edit_id[:EDIT_ID_PREFIX_LENGTH]}"
    changed = {
        name: data for name, data in encoded.items() if base.encoded.get(name) != data
    }
    parts = {
        name: part_version if name in changed else base.head.parts[name]
        for name in encoded
    }
    replaced_names = [*changed, *(set(base.head.parts) - set(encoded))]
    record = EditRecord(
        edit_id=edit_id,
        author=author,
        summary=change.summary,
        version=configuration.version,
        replaced={name: base.head.parts.get(name, "") for name in replaced_names},
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


def _check_part_sizes(encoded: Mapping[str, bytes]) -> None:
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


def determine_outcome(
    prepared: PreparedEdit, head: Head
) -> Won | Lost | Undecided | Undecidable:
    """Determine the outcome of an edit from a head that was read after its put."""
    record = head.find_edit(prepared.edit_id)
    if record is not None:
        return Won(record.version)
    n_later_edits = head.version - prepared.base.head.version
    if n_later_edits <= 0:
        return Undecided()
    return Lost() if n_later_edits <= MAX_HISTORY_EDITS else Undecidable()


def list_winners(base: Snapshot, current: Snapshot) -> tuple[EditRecord, ...]:
    """Return the edits that were accepted after ``base``."""
    return tuple(
        record for record in current.head.edits if record.version > base.head.version
    )


def list_unreferenced_parts(old: Head, new: Head) -> tuple[str, ...]:
    """Return the names of part objects that only ``old`` refers to.

    A head also refers to the replaced parts in its history, since an undo reads them.
    """
    referenced = {(name, version) for name, version in new.parts.items()}
    for record in new.edits:
        referenced.update(record.replaced.items())
    dropped_records = [record for record in old.edits if record not in new.edits]
    return tuple(
        make_part_object_name(name, version)
        for record in dropped_records
        for name, version in record.replaced.items()
        if version and (name, version) not in referenced
    )


def find_parts_at(head: Head, version: int) -> Mapping[str, str] | None:
    """Find the parts of an earlier version from the history of a head.

    :returns: maps part names to part versions; ``None`` if the version does not exist
        or the history does not reach back to it.
    """
    if version > head.version or version < 1:
        return None
    later_edits = [record for record in head.edits if record.version > version]
    if len(later_edits) < head.version - version:
        return None
    parts = dict(head.parts)
    for record in reversed(later_edits):
        parts.update(record.replaced)
    return {name: part_version for name, part_version in parts.items() if part_version}


def decode_snapshot(
    object_version: int,
    head: Head,
    encoded: Mapping[str, bytes],
    codec: DocumentCodec,
) -> Snapshot:
    """Decode the parts of a version and build its snapshot.

    :param encoded: maps part names to encoded parts.
    :raises CodecError: if a part is malformed.
    """
    parts = {name: codec.decode_part(data) for name, data in encoded.items()}
    return Snapshot(
        object_version=object_version,
        head=head,
        encoded=encoded,
        configuration=join_parts(head.version, parts),
    )


def generate_key() -> str:
    """Generate an API key with 256 random bits."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
