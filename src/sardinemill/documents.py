"""Documents that represent a configuration in the store and between instances.

The head lists the parts of a version; a part holds entries of one list. The long lists,
workspaces and keys, are split over several parts by a hash of the name. Parts are
immutable: a change writes new ones under new names, so the parts that a head lists are
always consistent with each other.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from .configuration import Configuration, Key, Plan, Workspace
from .groups import GroupDescription

HEAD_NAME = "configuration/head"
PARTS_PREFIX = "configuration/parts/"
DRAINS_PREFIX = "drains/"
PROMOTIONS_PREFIX = "promotions/"
# The platform's store limits the value of an object to 1 MB.
MAX_PART_BYTES = 1_000_000
# An edit sends each instance the changed parts and the head with the versions of all
# parts. Smaller parts make the head longer; at 16 KB both are of similar size for
# 10,000 keys.
TARGET_PART_BYTES = 16_000
MAX_PARTS_PER_LIST = 256
MAX_HISTORY_EDITS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class EditRecord:
    """Accepted edit in the history that the head keeps.

    :param edit_id: unique identifier, by which an editor that got no answer from the
        store finds out that its edit was accepted.
    :param version: version that the edit produced.
    :param replaced: maps each changed part to its version before the edit, ``""`` if
        the part did not exist.
    :param edited_at: seconds since the epoch on the editor's clock.
    """

    edit_id: str
    author: str
    summary: str
    version: int
    replaced: Mapping[str, str] = field(default_factory=dict)
    edited_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Manifest of a version: its parts and the recent edits.

    :param parts: maps part names to part versions.
    :param edits: the last edits, at most ``MAX_HISTORY_EDITS``, oldest first.
    """

    version: int = 0
    parts: Mapping[str, str] = field(default_factory=dict)
    edits: tuple[EditRecord, ...] = ()

    def find_edit(self, edit_id: str) -> EditRecord | None:
        """Return the record of an edit, or ``None``."""
        for record in self.edits:
            if record.edit_id == edit_id:
                return record
        return None

    def list_changed_parts(self, known_version: int) -> frozenset[str]:
        """Return the names of the parts that differ from those of an earlier version.

        :param known_version: the earlier version, 0 if none is known.
        :returns: all names if no version is known or the history does not reach back
            that far.
        """
        later_edits = [
            record for record in self.edits if record.version > known_version
        ]
        if known_version <= 0 or len(later_edits) < self.version - known_version:
            return frozenset(self.parts)
        replaced_names = {name for record in later_edits for name in record.replaced}
        return frozenset(replaced_names & set(self.parts))


@dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """Entries of one list, or a hash partition of them."""

    plans: tuple[Plan, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[Key, ...] = ()
    groups: tuple[GroupDescription, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """Head and parts as sent between instances, each in encoded form.

    :param parts: maps part names to encoded parts; parts that the receiver already has
        may be missing.
    """

    head: bytes
    parts: Mapping[str, bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorOrder:
    """Request of an operator to the instances, placed in the store.

    :param request_id: unique identifier, by which the sender of an order recognises it
        in the store when the answer to its write was lost.
    :param target: instance to drain, or group that is to get a new primary.
    """

    request_id: str
    author: str
    target: str


class DocumentCodec(Protocol):
    """Encodes and decodes heads, parts, orders and documents.

    The ``decode`` methods raise :class:`~sardinemill.errors.CodecError` for malformed
    bytes.
    """

    def encode_head(self, head: Head) -> bytes: ...

    def decode_head(self, data: bytes) -> Head: ...

    def encode_part(self, part: Part) -> bytes:
        """Encode a part; equal parts give equal bytes."""
        ...

    def decode_part(self, data: bytes) -> Part: ...

    def encode_order(self, order: OperatorOrder) -> bytes: ...

    def decode_order(self, data: bytes) -> OperatorOrder: ...

    def encode_document(self, document: Document) -> bytes: ...

    def decode_document(self, data: bytes) -> Document: ...


def make_part_object_name(name: str, part_version: str) -> str:
    """Return the name of the store object that holds a part."""
    return f"{PARTS_PREFIX}{name}/{part_version}"


def count_parts_per_list(head: Head) -> int:
    """Return the number of parts into which each long list of a head is split."""
    return max(1, sum(name.startswith("keys") for name in head.parts))


def _make_part_name(list_name: str, entry: str, n_parts_per_list: int) -> str:
    if n_parts_per_list == 1:
        return list_name
    part_index = xxhash.xxh64_intdigest(entry.encode()) % n_parts_per_list
    return f"{list_name}-{part_index:03d}-of-{n_parts_per_list:03d}"


def _list_part_names(list_name: str, n_parts_per_list: int) -> list[str]:
    if n_parts_per_list == 1:
        return [list_name]
    return [
        f"{list_name}-{part_index:03d}-of-{n_parts_per_list:03d}"
        for part_index in range(n_parts_per_list)
    ]


def split_configuration(
    configuration: Configuration, n_parts_per_list: int
) -> dict[str, Part]:
    """Distribute the entries over parts.

    A hash of its name assigns each workspace and key to a part, so an edit changes only
    the parts of the entries that it changes.

    :param n_parts_per_list: parts of the workspaces and of the keys.
    :returns: maps part names to parts, whose entries are in the order of their names.
    """
    workspaces: dict[str, list[Workspace]] = {
        name: [] for name in _list_part_names("workspaces", n_parts_per_list)
    }
    keys: dict[str, list[Key]] = {
        name: [] for name in _list_part_names("keys", n_parts_per_list)
    }
    for entry in sorted(configuration.workspaces):
        part_name = _make_part_name("workspaces", entry, n_parts_per_list)
        workspaces[part_name].append(configuration.workspaces[entry])
    for entry in sorted(configuration.keys):
        keys[_make_part_name("keys", entry, n_parts_per_list)].append(
            configuration.keys[entry]
        )
    plans = tuple(configuration.plans[name] for name in sorted(configuration.plans))
    groups = tuple(configuration.groups[name] for name in sorted(configuration.groups))
    return {
        "plans": Part(plans=plans),
        "groups": Part(groups=groups),
        **{name: Part(workspaces=tuple(items)) for name, items in workspaces.items()},
        **{name: Part(keys=tuple(items)) for name, items in keys.items()},
    }


def join_parts(version: int, parts: Mapping[str, Part]) -> Configuration:
    """Build the configuration of a version from all of its parts."""
    return Configuration(
        version=version,
        plans={item.name: item for part in parts.values() for item in part.plans},
        workspaces={
            item.name: item for part in parts.values() for item in part.workspaces
        },
        keys={item.key_id: item for part in parts.values() for item in part.keys},
        groups={item.name: item for part in parts.values() for item in part.groups},
    )


def encode_parts(
    configuration: Configuration, codec: DocumentCodec, n_parts_per_list: int
) -> dict[str, bytes]:
    """Encode a configuration and split its long lists into small parts.

    :param n_parts_per_list: current number of parts of a long list; it is doubled until
        each has at most ``TARGET_PART_BYTES`` or their number is
        ``MAX_PARTS_PER_LIST``, and never reduced.
    :returns: maps part names to encoded parts.
    """
    while True:
        parts = split_configuration(configuration, n_parts_per_list)
        encoded = {name: codec.encode_part(part) for name, part in parts.items()}
        largest = max(
            len(data)
            for name, data in encoded.items()
            if name.startswith(("keys", "workspaces"))
        )
        if largest <= TARGET_PART_BYTES or n_parts_per_list >= MAX_PARTS_PER_LIST:
            return encoded
        n_parts_per_list *= 2
