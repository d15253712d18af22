"""Form in which a configuration is kept in the store and passed between instances.

A head names the parts of a version; a part holds entries of one list. Parts are never
overwritten, so a head and the parts it names always belong together.
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
# Values of the store's objects are limited to 1 MB.
MAX_PART_BYTES = 1_000_000
# A change sends each daemon the parts that it touches and the map of all parts. Smaller
# parts make the map longer; 16 KB keep both similar for 10,000 keys.
TARGET_PART_BYTES = 16_000
MAX_PARTS = 256
MAX_HISTORY_EDITS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class EditRecord:
    """Entry of the history in the head.

    :param edit_id: unique; tells an editor whose answer was lost that it was accepted.
    :param version: version that the edit produced.
    :param replaced: part name to the part version before the edit, ``""`` for none.
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
    """Names what belongs to a version.

    :param parts: part name to part version.
    :param edits: the last edits, oldest first.
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
        """Names of the parts that differ from those of an earlier version.

        :returns: all names when the history does not reach back that far.
        """
        later = [record for record in self.edits if record.version > known_version]
        if known_version <= 0 or len(later) < self.version - known_version:
            return frozenset(self.parts)
        touched = {name for record in later for name in record.replaced}
        return frozenset(touched & set(self.parts))


@dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """Entries of one list, or a share of them."""

    plans: tuple[Plan, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[Key, ...] = ()
    groups: tuple[GroupDescription, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """Head and parts as they travel between instances, each still encoded.

    :param parts: part name to its bytes; may lack parts that the receiver holds.
    """

    head: bytes
    parts: Mapping[str, bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorOrder:
    """Request of an operator that instances find in the store.

    :param request_id: tells a repeated request from a new one.
    :param target: instance to drain, or group whose primary shall change.
    """

    request_id: str
    author: str
    target: str


class DocumentCodec(Protocol):
    """Encoding of heads, parts and documents.

    Every method raises :class:`~sardinemill.errors.CodecError` for malformed bytes.
    """

    def encode_head(self, head: Head) -> bytes: ...

    def decode_head(self, data: bytes) -> Head: ...

    def encode_part(self, part: Part) -> bytes:
        """Equal parts give equal bytes."""
        ...

    def decode_part(self, data: bytes) -> Part: ...

    def encode_order(self, order: OperatorOrder) -> bytes: ...

    def decode_order(self, data: bytes) -> OperatorOrder: ...

    def encode_document(self, document: Document) -> bytes: ...

    def decode_document(self, data: bytes) -> Document: ...


def make_part_object_name(name: str, part_version: str) -> str:
    """Name of the store object that holds a part."""
    return f"{PARTS_PREFIX}{name}/{part_version}"


def count_parts(head: Head) -> int:
    """Number of shares into which the long lists of a head are split."""
    return max(1, sum(name.startswith("keys") for name in head.parts))


def _name_share(list_name: str, entry: str, n_parts: int) -> str:
    if n_parts == 1:
        return list_name
    share = xxhash.xxh64_intdigest(entry.encode()) % n_parts
    return f"{list_name}-{share:03d}-of-{n_parts:03d}"


def _list_share_names(list_name: str, n_parts: int) -> list[str]:
    if n_parts == 1:
        return [list_name]
    return [f"{list_name}-{share:03d}-of-{n_parts:03d}" for share in range(n_parts)]


def split_configuration(configuration: Configuration, n_parts: int) -> dict[str, Part]:
    """Distribute the entries over parts; a hash of the name chooses the share.

    :param n_parts: shares of the workspaces and of the keys.
    :returns: part name to part, with entries in the order of their names.
    """
    workspaces: dict[str, list[Workspace]] = {
        name: [] for name in _list_share_names("workspaces", n_parts)
    }
    keys: dict[str, list[Key]] = {
        name: [] for name in _list_share_names("keys", n_parts)
    }
    for entry in sorted(configuration.workspaces):
        share = _name_share("workspaces", entry, n_parts)
        workspaces[share].append(configuration.workspaces[entry])
    for entry in sorted(configuration.keys):
        keys[_name_share("keys", entry, n_parts)].append(configuration.keys[entry])
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
    configuration: Configuration, codec: DocumentCodec, n_parts: int
) -> dict[str, bytes]:
    """Encode a configuration into as many parts as keep each of them small.

    :param n_parts: shares at present; the number only grows, in powers of two.
    :returns: part name to bytes.
    """
    while True:
        parts = split_configuration(configuration, n_parts)
        encoded = {name: codec.encode_part(part) for name, part in parts.items()}
        largest = max(
            len(data)
            for name, data in encoded.items()
            if name.startswith(("keys", "workspaces"))
        )
        if largest <= TARGET_PART_BYTES or n_parts >= MAX_PARTS:
            return encoded
        n_parts *= 2
