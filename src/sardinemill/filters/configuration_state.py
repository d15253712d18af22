"""Configuration held by an instance, and the one that it is still assembling."""

from collections.abc import Mapping
from dataclasses import replace

from ..configuration import EMPTY_CONFIGURATION, Configuration
from ..documents import Document, DocumentCodec, Head, Part, join_parts
from ..validation import check_configuration

# Larger changes travel in several answers, so that no message blocks a link for long.
MAX_DOCUMENT_BYTES = 256_000
# Edits in the head that travels between instances. An instance further behind gets
# all parts.
N_PASSED_EDITS = 8
NEVER = float("-inf")


class _Assembly:
    """Version whose parts are being collected.

    :param encoded: part name to bytes, as far as they have arrived.
    """

    def __init__(self, head: Head | None = None, head_bytes: bytes = b"") -> None:
        self.head = Head() if head is None else head
        self.head_bytes = head_bytes
        self.encoded: dict[str, bytes] = {}
        self.decoded: dict[str, Part] = {}
        self.confirmed_at: float = NEVER

    def list_lacking(self) -> tuple[str, ...]:
        return tuple(sorted(set(self.head.parts) - set(self.encoded)))

    def take_from(self, other: "_Assembly") -> None:
        """Copy the parts that both versions share."""
        for name, part_version in self.head.parts.items():
            if name in self.encoded or other.head.parts.get(name) != part_version:
                continue
            if name in other.encoded:
                self.encoded[name] = other.encoded[name]
            if name in other.decoded:
                self.decoded[name] = other.decoded[name]


class ConfigurationState:
    """Accepts only higher versions, each as a whole.

    ``confirmed_at`` never goes back: what was the latest version at a point in time
    stays so, and the version in force is never below it.

    :param codec: decodes heads and parts.
    """

    def __init__(self, codec: DocumentCodec) -> None:
        self._codec = codec
        self._current = _Assembly()
        self._next: _Assembly | None = None
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.confirmed_at = NEVER

    @property
    def version(self) -> int:
        """Version in force, 0 when there is none."""
        return self.configuration.version

    @property
    def lacking(self) -> tuple[str, ...]:
        """Names of the parts that the version being assembled still lacks."""
        return () if self._next is None else self._next.list_lacking()

    def find_part_version(self, name: str) -> str | None:
        """Part version that the version being assembled wants."""
        return None if self._next is None else self._next.head.parts.get(name)

    def begin(self, head_bytes: bytes) -> int:
        """Start to assemble the version of a head if it is higher.

        :returns: version of the head.
        :raises CodecError: when the head is malformed.
        """
        head = self._codec.decode_head(head_bytes)
        if head.version <= self.version:
            return head.version
        if self._next is not None and self._next.head.version >= head.version:
            return head.version
        passed = replace(head, edits=head.edits[-N_PASSED_EDITS:])
        assembly = _Assembly(head=head, head_bytes=self._codec.encode_head(passed))
        assembly.take_from(self._current)
        if self._next is not None:
            assembly.take_from(self._next)
        self._next = assembly
        return head.version

    def add_part(self, name: str, part_version: str, data: bytes) -> bool:
        """Take a part of the version being assembled.

        :returns: whether the part was lacking.
        """
        assembly = self._next
        if assembly is None or assembly.head.parts.get(name) != part_version:
            return False
        if name in assembly.encoded:
            return False
        assembly.encoded[name] = data
        return True

    def add_document(self, data: bytes) -> bool:
        """Take head and parts from another instance.

        :returns: whether a lacking part arrived.
        :raises CodecError: when the document is malformed.
        """
        document = self._codec.decode_document(data)
        head = self._codec.decode_head(document.head)
        self.begin(document.head)
        added = [
            self.add_part(name, head.parts.get(name, ""), part)
            for name, part in document.parts.items()
        ]
        return any(added)

    def confirm(self, version: int, at: float) -> bool:
        """Note that ``version`` was the latest one at a point in time.

        :param at: local monotonic seconds.
        :returns: whether the version in force is confirmed anew.
        """
        if version <= self.version:
            is_newer = at > self.confirmed_at
            self.confirmed_at = max(self.confirmed_at, at)
            return is_newer
        if self._next is not None and self._next.head.version >= version:
            self._next.confirmed_at = max(self._next.confirmed_at, at)
        return False

    def adopt(self) -> Configuration | None:
        """Put the assembled version in force if it is complete.

        :returns: the new configuration, or ``None``.
        :raises SardinemillError: when a part is malformed or the whole is not valid;
            the version is then dropped.
        """
        assembly = self._next
        if assembly is None or assembly.list_lacking():
            return None
        self._next = None
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
        """Give up the version being assembled."""
        self._next = None

    def make_document(
        self, known_version: int, wanted: tuple[str, ...]
    ) -> bytes | None:
        """Encode what an instance at ``known_version`` lacks.

        :param wanted: parts asked for by name; empty for all that changed.
        :returns: ``None`` when the instance is up to date; otherwise at least one
            part, and no more than fit into ``MAX_DOCUMENT_BYTES``.
        """
        if self.version <= known_version:
            return None
        head = self._current.head
        names = set(wanted) & set(head.parts) or head.list_changed_parts(known_version)
        parts = _take_up_to(self._current.encoded, sorted(names), MAX_DOCUMENT_BYTES)
        document = Document(head=self._current.head_bytes, parts=parts)
        return self._codec.encode_document(document)


def _take_up_to(
    encoded: Mapping[str, bytes], names: list[str], n_bytes: int
) -> dict[str, bytes]:
    taken: dict[str, bytes] = {}
    for name in names:
        n_bytes -= len(encoded[name])
        if taken and n_bytes < 0:
            break
        taken[name] = encoded[name]
    return taken
