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
# Bytes that are not UTF-8 become surrogates, so that encoding gives them back.
TEXT_ERRORS = "surrogateescape"
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
_STATEMENTS_WITHOUT_FIELDS = {
    "BEGIN": Statement(StatementKind.BEGIN),
    "BEGIN READ": Statement(StatementKind.BEGIN, is_read_only=True),
    "COMMIT": Statement(StatementKind.COMMIT),
    "ROLLBACK": Statement(StatementKind.ROLLBACK),
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
    :raises CodecError: when the line is too long.
    """
    try:
        data = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        raise CodecError("message too long", step="read line", peer=peer) from error
    if len(data) > MAX_LINE_BYTES:
        raise CodecError("message too long", step="read line", peer=peer)
    return parse_line(data[: -len(LINE_END)])


def parse_line(data: bytes) -> Line:
    """Parse one message without its line end."""
    kind, _, payload = data.decode(errors=TEXT_ERRORS).partition(" ")
    return Line(kind, payload)


def format_line(text: str) -> bytes:
    """Return the bytes of a message with its line end."""
    return text.encode(errors=TEXT_ERRORS) + LINE_END


def parse_statement(text: str) -> Statement:
    """Classify the text of a query; malformed text gives the kind ``INVALID``.

    Only the fields that the proxy itself needs are taken apart. The last field extends
    to the end of the text: it may hold any blanks, and may be empty. Text that a
    database might take for two lines is malformed.
    """
    if _LINE_END.search(text):
        return _INVALID
    statement = _STATEMENTS_WITHOUT_FIELDS.get(text)
    if statement is not None:
        return statement
    verb, blank, fields = text.partition(" ")
    if not blank:
        return _INVALID
    if verb == "READ":
        return Statement(StatementKind.READ, argument=fields, is_read_only=True)
    if verb == "WRITE":
        has_data = " " in fields
        return Statement(StatementKind.WRITE, argument=fields) if has_data else _INVALID
    if verb == "DEALLOCATE":
        return Statement(StatementKind.DEALLOCATE, fields)
    name, blank, argument = fields.partition(" ")
    if not name or not blank:
        return _INVALID
    if verb == "SET":
        return Statement(StatementKind.SET, name, argument)
    if verb == "EXECUTE":
        return Statement(StatementKind.EXECUTE, name, argument)
    mode, blank, shape = argument.partition(" ")
    if verb != "PREPARE" or not blank or mode not in ("READ", "WRITE"):
        return _INVALID
    return Statement(StatementKind.PREPARE, name, shape, mode == "READ")


def format_statement(statement: Statement, prepared_name: str = "") -> str:
    """Return the text of a statement for a database.

    A text of a client comes out as it was received, except for the name of a prepared
    statement.

    :param prepared_name: replaces the client's name of a prepared statement, if not
        empty.
    """
    kind, argument = statement.kind, statement.argument
    verb = kind.value.upper()
    if kind is StatementKind.BEGIN:
        return "BEGIN READ" if statement.is_read_only else "BEGIN"
    if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK, StatementKind.RESET):
        return verb
    name = prepared_name or statement.name
    if kind is StatementKind.PREPARE:
        mode = "READ" if statement.is_read_only else "WRITE"
        return f"PREPARE {name} {mode} {argument}"
    if kind is StatementKind.DEALLOCATE:
        return f"{verb} {name}"
    if kind in (StatementKind.READ, StatementKind.WRITE) and not name:
        return f"{verb} {argument}"
    if kind is StatementKind.READ and not argument:
        # An instance of the version before takes the first word for the name.
        return f"{verb} {name}"
    return f"{verb} {name} {argument}"


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
    shape = prepared.shape.encode(errors=TEXT_ERRORS)
    return f"{mode}-{hashlib.blake2b(shape, digest_size=16).hexdigest()}"
