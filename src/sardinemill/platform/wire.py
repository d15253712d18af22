"""Line-based wire protocol that clients, instances and databases share."""

import asyncio
import hashlib
import re
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

# Limit of the protocol for every message, with its line end.
MAX_LINE_BYTES = 1024 * 1024
LINE_END = b"\r\n"
# Larger numbers could not be encoded for other instances.
MAX_NUMBER_DIGITS = 18

STATE_LETTERS = {
    SessionState.IDLE: "I",
    SessionState.IN_TRANSACTION: "T",
    SessionState.FAILED_TRANSACTION: "E",
}
STATES_BY_LETTER = {wire_code: state for state, wire_code in STATE_LETTERS.items()}

WIRE_ERROR_CODES = {
    ErrorCode.BUSY: "BUSY",
    # The database's log has not reached the requested position.
    ErrorCode.STALE: "LAGGING",
    ErrorCode.READ_ONLY: "READONLY",
    # The address now belongs to another database.
    ErrorCode.WRONG_DATABASE: "MISROUTED",
    # The database has reached its connection limit.
    ErrorCode.TOO_MANY_CONNECTIONS: "OVERLOADED",
    ErrorCode.FAILED: "FAILED",
    # There is no prepared statement of that name.
    ErrorCode.UNKNOWN_STATEMENT: "UNKNOWN",
    ErrorCode.TIMEOUT: "TIMEOUT",
    ErrorCode.ACCESS_DENIED: "DENIED",
    ErrorCode.NO_DATABASE: "NODATABASE",
    ErrorCode.TOO_LARGE: "TOOLARGE",
    ErrorCode.MALFORMED: "MALFORMED",
    ErrorCode.ABORTED: "ABORTED",
    ErrorCode.IN_DOUBT: "INDOUBT",
}
ERRORS_BY_WIRE_CODE = {wire_code: code for code, wire_code in WIRE_ERROR_CODES.items()}

# Definitions that can be part of a name: any reader takes them for one word.
_PLAIN_SHAPE = re.compile(r"[A-Za-z0-9_]{1,64}")
_LINE_END = re.compile(r"[\r\n]")
_INVALID = Statement(StatementKind.INVALID)
# Statement kind and minimum number of arguments of each verb that takes a name.
_VERBS_WITH_NAME = {
    "READ": (StatementKind.READ, 1),
    "WRITE": (StatementKind.WRITE, 2),
    "SET": (StatementKind.SET, 2),
    "EXECUTE": (StatementKind.EXECUTE, 2),
    "DEALLOCATE": (StatementKind.DEALLOCATE, 1),
}


@dataclass(frozen=True, slots=True)
class Line:
    """One message.

    :param kind: first word of the line.
    :param payload: text after it, empty if there is none.
    """

    kind: str
    payload: str


async def read_line(reader: asyncio.StreamReader, peer: str) -> Line | None:
    """Read one message.

    :param peer: name of the sender, for error messages.
    :returns: ``None`` at the end of the stream; an incomplete last line is dropped.
    :raises CodecError: when the line is too long or not valid UTF-8.
    """
    try:
        data = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        raise CodecError("message too long", step="read line", peer=peer) from error
    if len(data) > MAX_LINE_BYTES:
        raise CodecError("message too long", step="read line", peer=peer)
    return parse_line(data[: -len(LINE_END)], peer)


def parse_line(data: bytes, peer: str = "client") -> Line:
    """Parse one message without its line end.

    :param peer: name of the sender, for error messages.
    :raises CodecError: when it is not valid UTF-8.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise CodecError(
            "message is not valid UTF-8", step="read line", peer=peer
        ) from error
    kind, _, payload = text.partition(" ")
    return Line(kind, payload)


def parse_statement(text: str) -> Statement:
    """Parse the text of a query; malformed text gives the kind ``INVALID``.

    So does text that would reach the database in another form, with other blanks for
    instance, and text that a database might take for two lines.
    """
    statement = _parse_words(text)
    is_exact = statement.kind is StatementKind.INVALID or (
        format_statement(statement) == text and not _LINE_END.search(text)
    )
    return statement if is_exact else _INVALID


def _parse_words(text: str) -> Statement:
    verb, _, arguments = text.partition(" ")
    if verb == "BEGIN":
        if arguments in ("", "READ"):
            return Statement(StatementKind.BEGIN, is_read_only=arguments == "READ")
        return _INVALID
    if text in ("COMMIT", "ROLLBACK"):
        return Statement(StatementKind(text.lower()))
    if verb == "PREPARE":
        words = arguments.split(" ", 2)
        if len(words) == 3 and all(words) and words[1] in ("READ", "WRITE"):
            return Statement(
                StatementKind.PREPARE, words[0], words[2], words[1] == "READ"
            )
        return _INVALID
    kind, n_arguments = _VERBS_WITH_NAME.get(verb, (StatementKind.INVALID, 0))
    name, _, argument = arguments.partition(" ")
    if kind is StatementKind.INVALID or not name or (n_arguments == 2 and not argument):
        return _INVALID
    return Statement(kind, name, argument, kind is StatementKind.READ)


def format_statement(statement: Statement, prepared_name: str = "") -> str:
    """Return the text of a statement for a database.

    :param prepared_name: replaces the client's name of a prepared statement, if not
        empty.
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
    """Return the prefix that requires a log position of the database.

    :param position: lowest log position that the database must have applied, ``None``
        for no requirement.
    """
    return "" if position is None else f"AFTER {position.term}.{position.offset} "


def parse_position(text: str) -> LogPosition | None:
    """Parse ``TERM.OFFSET``; return ``None`` for ``-`` and anything malformed."""
    term_text, _, offset_text = text.partition(".")
    term, offset = parse_number(term_text), parse_number(offset_text)
    if term is None or offset is None:
        return None
    return LogPosition(term, offset)


def parse_number(text: str) -> int | None:
    """Parse a whole number below 10**18; return ``None`` for anything else.

    ``str.isdigit`` accepts digits that ``int`` refuses.
    """
    if text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS:
        return int(text)
    return None


def make_prepared_name(prepared: PreparedStatement) -> str:
    """Return the name of a prepared statement at the database.

    Equal definitions have the same name, so that clients share one prepared statement.
    A definition that is not one plain word is replaced by its hash: a database reads a
    name up to the next blank.
    """
    mode = "r" if prepared.is_read_only else "w"
    if _PLAIN_SHAPE.fullmatch(prepared.shape):
        return f"{mode}_{prepared.shape}"
    digest = hashlib.blake2b(prepared.shape.encode(), digest_size=16).hexdigest()
    return f"{mode}-{digest}"
