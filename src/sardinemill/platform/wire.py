"""Lines of the wire that clients and databases share."""

import asyncio
from dataclasses import dataclass

from ..errors import CodecError
from ..positions import LogPosition
from ..sessions.messages import (
    ErrorCode,
    PreparedStatement,
    SessionState,
    Statement,
    StatementKind,
)

# Stated by the protocol for every message.
MAX_LINE_BYTES = 1024 * 1024

STATE_WORDS = {
    SessionState.IDLE: "I",
    SessionState.IN_TRANSACTION: "T",
    SessionState.FAILED_TRANSACTION: "E",
}
STATES = {word: state for state, word in STATE_WORDS.items()}

CODE_WORDS = {
    ErrorCode.BUSY: "BUSY",
    # The database's log lacks the position asked for.
    ErrorCode.STALE: "LAGGING",
    ErrorCode.READ_ONLY: "READONLY",
    # Another database has the address now.
    ErrorCode.WRONG_DATABASE: "MISROUTED",
    # The database is at its limit of connections.
    ErrorCode.TOO_MANY_CONNECTIONS: "OVERLOADED",
    ErrorCode.FAILED: "FAILED",
    # No prepared statement of that name.
    ErrorCode.UNKNOWN_STATEMENT: "UNKNOWN",
    ErrorCode.TIMEOUT: "TIMEOUT",
    ErrorCode.ACCESS_DENIED: "DENIED",
    ErrorCode.NO_DATABASE: "NODATABASE",
    ErrorCode.TOO_LARGE: "TOOLARGE",
    ErrorCode.MALFORMED: "MALFORMED",
    ErrorCode.ABORTED: "ABORTED",
    ErrorCode.IN_DOUBT: "INDOUBT",
}
CODES = {word: code for code, word in CODE_WORDS.items()}

_INVALID = Statement(StatementKind.INVALID)
# Verb to the least number of words after it.
_NAMED = {
    "READ": (StatementKind.READ, 1),
    "WRITE": (StatementKind.WRITE, 2),
    "SET": (StatementKind.SET, 2),
    "EXECUTE": (StatementKind.EXECUTE, 2),
    "DEALLOCATE": (StatementKind.DEALLOCATE, 1),
}


@dataclass(frozen=True, slots=True)
class Line:
    """One message: its kind and the rest of the line."""

    kind: str
    rest: str


async def read_line(reader: asyncio.StreamReader, peer: str) -> Line | None:
    """Read one message.

    :returns: ``None`` at the end of the stream, also in the middle of a line.
    :raises CodecError: when the line is too long or no text.
    """
    try:
        data = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        raise CodecError("message too long", step="read line", peer=peer) from error
    if len(data) > MAX_LINE_BYTES:
        raise CodecError("message too long", step="read line", peer=peer)
    try:
        text = data[:-2].decode()
    except UnicodeDecodeError as error:
        raise CodecError("message is no text", step="read line", peer=peer) from error
    kind, _, rest = text.partition(" ")
    return Line(kind, rest)


def parse_statement(text: str) -> Statement:
    """Parse the text of a query; one that is not understood is ``INVALID``."""
    verb, _, rest = text.partition(" ")
    if verb == "BEGIN":
        if rest in ("", "READ"):
            return Statement(StatementKind.BEGIN, is_read_only=rest == "READ")
        return _INVALID
    if text in ("COMMIT", "ROLLBACK"):
        return Statement(StatementKind(text.lower()))
    if verb == "PREPARE":
        words = rest.split(" ", 2)
        if len(words) == 3 and words[0] and words[1] in ("READ", "WRITE"):
            return Statement(
                StatementKind.PREPARE, words[0], words[2], words[1] == "READ"
            )
        return _INVALID
    kind, n_words = _NAMED.get(verb, (StatementKind.INVALID, 0))
    name, _, argument = rest.partition(" ")
    if kind is StatementKind.INVALID or not name or (n_words == 2 and not argument):
        return _INVALID
    return Statement(kind, name, argument, kind is StatementKind.READ)


def format_statement(statement: Statement, prepared_name: str = "") -> str:
    """Text of a statement for a database.

    :param prepared_name: replaces the client's name of a prepared statement.
    """
    name = prepared_name or statement.name
    if statement.kind is StatementKind.BEGIN:
        return "BEGIN READ" if statement.is_read_only else "BEGIN"
    if statement.kind is StatementKind.PREPARE:
        mode = "READ" if statement.is_read_only else "WRITE"
        return f"PREPARE {name} {mode} {statement.argument}"
    words = [statement.kind.value.upper(), name, statement.argument]
    return " ".join(word for word in words if word)


def format_minimum_position(position: LogPosition | None) -> str:
    """Prefix that asks for a position in the database's log."""
    return "" if position is None else f"AFTER {position.term}.{position.offset} "


def parse_position(text: str) -> LogPosition | None:
    """Parse ``TERM.NUMBER``; ``None`` for ``-`` and anything else."""
    term, _, number = text.partition(".")
    if term.isdigit() and number.isdigit():
        return LogPosition(int(term), int(number))
    return None


def make_prepared_name(prepared: PreparedStatement) -> str:
    """Name upstream; the same for equal definitions, so that clients share it."""
    return f"{'r' if prepared.is_read_only else 'w'}_{prepared.shape}"
