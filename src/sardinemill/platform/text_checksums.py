"""Checksums of the texts that clients send and that databases get."""

import zlib

from ..sessions.messages import Statement, StatementKind
from ..sessions.text_digests import TextDigest
from .wire import TEXT_ERRORS, Line

VERBS = frozenset(
    kind.name
    for kind in StatementKind
    if kind not in (StatementKind.RESET, StatementKind.INVALID)
)
MESSAGE_KINDS = frozenset({"START", "QUERY", "BYE"})
# Characters that are encoded at a time, so that a large text is not copied as a whole.
CHUNK_CHARACTERS = 16 * 1024


def compute_checksum(text: str, prepared_name: str = "") -> str:
    """Return the checksum of a statement's text.

    The name of a prepared statement is left out, because the instance replaces it.

    :param prepared_name: name that the text of an ``EXECUTE`` holds.
    """
    return _compute(text, prepared_name)[0]


def digest_statement(text: str, statement: Statement) -> TextDigest:
    """Describe the text of a statement as the client sent it.

    :param statement: what the text was parsed to.
    """
    is_execute = statement.kind is StatementKind.EXECUTE
    checksum, n_bytes = _compute(text, statement.name if is_execute else "")
    verb = statement.kind.name
    if verb not in VERBS:
        word = text[:16].partition(" ")[0]
        verb = word if word in VERBS else ""
    return TextDigest(verb, n_bytes, checksum)


def digest_message(line: Line) -> TextDigest:
    """Describe a message that is no statement. It may hold a key: no checksum."""
    n_bytes = len(line.kind.encode(errors=TEXT_ERRORS))
    if line.payload:
        n_bytes += 1 + len(line.payload.encode(errors=TEXT_ERRORS))
    return TextDigest(line.kind if line.kind in MESSAGE_KINDS else "", n_bytes)


def _compute(text: str, prepared_name: str) -> tuple[str, int]:
    """Return the checksum and the number of bytes of the whole text."""
    checksum = start = n_bytes = 0
    head = f"EXECUTE {prepared_name}"
    if prepared_name and text.startswith(head):
        checksum, start = zlib.crc32(b"EXECUTE"), len(head)
        n_bytes = len(head.encode(errors=TEXT_ERRORS))
    for position in range(start, len(text), CHUNK_CHARACTERS):
        chunk = text[position : position + CHUNK_CHARACTERS]
        data = chunk.encode(errors=TEXT_ERRORS)
        checksum = zlib.crc32(data, checksum)
        n_bytes += len(data)
    return f"{checksum:08x}", n_bytes
