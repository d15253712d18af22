"""Configuration in force at an instance, and the next version being assembled."""

from collections.abc import Mapping
from dataclasses import replace

from ..configuration import EMPTY_CONFIGURATION, Configuration
from ..documents import Document, DocumentCodec, Head, Part, join_parts
from ..validation import check_configuration

# Larger changes are sent in several answers, so that no message blocks a link for long.
MAX_DOCUMENT_BYTES = 256_000
# Latest edits in a head that instances forward to each other. An instance that is
# further behind gets all parts.
MAX_FORWARDED_EDITS = 8
# Time of an event that has not happened; earlier than any clock reading.
NEVER = float("-inf")


class _Assembly:
    """Version of the configuration and the parts of it that have arrived.

    :ivar encoded: part name to the part's bytes.
    :ivar decoded: part name to decoded part, filled when the version is adopted.
    """

    def __init__(self, head: Head | None = None, head_bytes: bytes = b"") -> None:
        self.head = Head() if head is None else head
        self.head_bytes = head_bytes
        self.encoded: dict[str, bytes] = {}
        self.decoded: dict[str, Part] = {}
        self.confirmed_at: float = NEVER

    def list_missing_parts(self) -> tuple[str, ...]:
        return tuple(sorted(set(self.head.parts) - set(self.encoded)))

    def copy_shared_parts(self, other: "_Assembly") -> None:
        """Copy the parts that are the same in another version."""
        for name, part_version in self.head.parts.items():
            if name in self.encoded or other.head.parts.get(name) != part_version:
                continue
            if name in other.encoded:
                self.encoded[name] = other.encoded[name]
            if name in other.decoded:
                self.decoded[name] = other.decoded[name]


class ConfigurationState:
    """Configuration in force, replaced only by complete higher versions.

    ``confirmed_at`` is the local time at which the version in force was last known to
    be the latest. It never goes back: the version in force only grows, so it is never
    below the one that was the latest at that time.

    :param codec: decodes heads and parts.
    """

    def __init__(self, codec: DocumentCodec) -> None:
        self._codec = codec
        self._current = _Assembly()
        self._pending: _Assembly | None = None
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.confirmed_at = NEVER

    @property
    def version(self) -> int:
        """Version in force; 0 when there is none."""
        return self.configuration.version

    @property
    def missing_parts(self) -> tuple[str, ...]:
        """Names of the parts that the version being assembled still needs."""
        return () if self._pending is None else self._pending.list_missing_parts()

    def find_part_version(self, name: str) -> str | None:
        """Return the part version that the version being assembled needs."""
        return None if self._pending is None else self._pending.head.parts.get(name)

    def start_assembly(self, head_bytes: bytes) -> int:
        """Start to assemble the version that a head describes, if it is higher.

        :returns: version of the head.
        :raises CodecError: when the head is malformed.
        """
        head = self._codec.decode_head(head_bytes)
        if head.version <= self.version:
            return head.version
        if self._pending is not None and self._pending.head.version >= head.version:
            return head.version
        forwarded_head = replace(head, edits=head.edits[-MAX_FORWARDED_EDITS:])
        assembly = _Assembly(
            head=head, head_bytes=self._codec.encode_head(forwarded_head)
        )
        assembly.copy_shared_parts(self._current)
        if self._pending is not None:
            assembly.copy_shared_parts(self._pending)
        self._pending = assembly
        return head.version

    def add_part(self, name: str, part_version: str, data: bytes) -> bool:
        """Add a part to the version being assembled.

        :returns: whether the part was missing.
        """
        assembly = self._pending
        if assembly is None or assembly.head.parts.get(name) != part_version:
            return False
        if name in assembly.encoded:
            return False
        assembly.encoded[name] = data
        return True

    def add_document(self, data: bytes) -> bool:
        """Add the head and parts from another instance.

        :returns: whether a missing part was added.
        :raises CodecError: when the document is malformed.
        """
        document = self._codec.decode_document(data)
        head = self._codec.decode_head(document.head)
        self.start_assembly(document.head)
        added = [
            self.add_part(name, head.parts.get(name, ""), part)
            for name, part in document.parts.items()
        ]
        return any(added)

    def confirm(self, version: int, at: float) -> bool:
        """Record that ``version`` was the latest one at a point in time.

        :param at: local monotonic seconds.
        :returns: whether the confirmation of the version in force became newer.
        """
        if version <= self.version:
            is_newer = at > self.confirmed_at
            self.confirmed_at = max(self.confirmed_at, at)
            return is_newer
        if self._pending is not None and self._pending.head.version >= version:
            self._pending.confirmed_at = max(self._pending.confirmed_at, at)
        return False

    def adopt(self) -> Configuration | None:
        """Put the assembled version in force if it is complete.

        :returns: the new configuration, or ``None``.
        :raises SardinemillError: when a part is malformed or the configuration is not
            valid; the version is then dropped.
        """
        assembly = self._pending
        if assembly is None or assembly.list_missing_parts():
            return None
        self._pending = None
        for name, data in assembly.encoded.items():
            if name not in assembly.decoded:
                assembly.decoded[name] = self._codec.decode_part(data)
        configuration = join_parts(assembly.head.version, assembly.decoded)
        check_configuration(configuration)
        self._current = assembly
        self.configuration = configuration
        self.confirmed_at = max(self.confirmed_at, assembly.confirmed_at)
        return configuration

    def drop_assembly(self) -> None:
        """Drop the version being assembled."""
        self._pending = None

    def make_document(
        self, known_version: int, requested_parts: tuple[str, ...]
    ) -> bytes | None:
        """Encode the parts that an instance at ``known_version`` needs.

        :param requested_parts: names of the parts to send; empty for all that changed.
        :returns: ``None`` when the instance is up to date; otherwise a document with at
            least one part, and no more parts than fit into ``MAX_DOCUMENT_BYTES``.
        """
        if self.version <= known_version:
            return None
        head = self._current.head
        names = set(requested_parts) & set(head.parts) or head.list_changed_parts(
            known_version
        )
        parts = _select_parts(self._current.encoded, sorted(names), MAX_DOCUMENT_BYTES)
        document = Document(head=self._current.head_bytes, parts=parts)
        return self._codec.encode_document(document)


def _select_parts(
    encoded: Mapping[str, bytes], names: list[str], n_bytes_left: int
) -> dict[str, bytes]:
    selected_parts: dict[str, bytes] = {}
    for name in names:
        n_bytes_left -= len(encoded[name])
        if selected_parts and n_bytes_left < 0:
            break
        selected_parts[name] = encoded[name]
    return selected_parts
