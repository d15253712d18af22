"""Decoders of the JSON answers of the platform's store.

Other writers have access to the store, so one answer may hold objects that cannot be
decoded beside others that can: nested too deeply, a number of too many digits, or bytes
that are not UTF-8.
"""

import json
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

# Whole strings, runs of brackets, separators, and the quote of an unterminated string.
_TOKENS = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[,"]', re.DOTALL)
_SPACE = re.compile(r"[ \t\r\n]*")
_DECODER = json.JSONDecoder()

# Decodes the member of a name at a position of a text; returns it and its end.
_MemberDecoder = Callable[[str, str, int], tuple[object, int]]


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Stands for a value that could not be decoded."""


UNREADABLE = Unreadable()


@dataclass(frozen=True, slots=True)
class Page:
    """One page of a list.

    :param items: objects of the page; a member that could not be decoded is
        ``UNREADABLE``.
    :param has_more: whether the list continues on another page.
    """

    items: tuple[Mapping[str, object], ...]
    has_more: bool


def decode_document(data: bytes) -> Mapping[str, object]:
    """Decode one JSON object.

    Bytes that are not UTF-8 become lone surrogates, so that two different texts stay
    different.

    :returns: an empty object for no data, and for JSON of another type.
    :raises ValueError: when the data is no JSON, or nested too deeply.
    """
    if not data:
        return {}
    try:
        found = json.loads(data.decode(errors="surrogateescape"))
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    return found if isinstance(found, Mapping) else {}


def decode_page(data: bytes) -> Page:
    """Decode a page of objects; one that cannot be decoded does not affect the others.

    :raises ValueError: when the page itself is malformed.
    """
    if not data:
        return Page((), False)
    found: object
    try:
        found = json.loads(data.decode())
    except (ValueError, RecursionError):
        found = _decode_page_by_item(data)
    if not isinstance(found, Mapping):
        return Page((), False)
    items = found.get("items")
    items = items if isinstance(items, list) else []
    return Page(
        tuple(item for item in items if isinstance(item, Mapping)),
        bool(found.get("more")),
    )


# The following functions read a value from a position of a text and return it and the
# position of its end. They raise ValueError when the end is not found.


def _decode_page_by_item(data: bytes) -> object:
    # Bytes that are not UTF-8 become surrogates, which identify their object.
    text = data.decode(errors="surrogateescape")
    return _decode_object(text, _skip_space(text, 0), _decode_page_member)[0]


def _decode_page_member(name: str, text: str, begin: int) -> tuple[object, int]:
    if name == "items":
        return _decode_items(text, begin)
    return _decode_strictly(text, begin)


def _decode_items(text: str, begin: int) -> tuple[list[object], int]:
    items: list[object] = []
    position, is_last = _skip_opening(text, begin, "[", "]")
    while not is_last:
        item, end = _decode_item(text, position)
        items.append(item)
        position, is_last = _skip_separator(text, end, "]")
    return items, position


def _decode_item(text: str, begin: int) -> tuple[object, int]:
    """Decode an object, or else those of its members that can be decoded."""
    try:
        return _decode_strictly(text, begin)
    except ValueError:
        pass
    try:
        return _decode_object(text, begin, _decode_item_member)
    except ValueError:
        return UNREADABLE, _find_end(text, begin)


def _decode_item_member(name: str, text: str, begin: int) -> tuple[object, int]:
    try:
        return _decode_strictly(text, begin)
    except ValueError:
        return UNREADABLE, _find_end(text, begin)


def _decode_object(
    text: str, begin: int, decode_member: _MemberDecoder
) -> tuple[dict[str, object], int]:
    found: dict[str, object] = {}
    position, is_last = _skip_opening(text, begin, "{", "}")
    while not is_last:
        name, end = _decode_strictly(text, position)
        position = _skip_space(text, end)
        if not isinstance(name, str) or text[position : position + 1] != ":":
            raise ValueError("member without a name")
        found[name], end = decode_member(name, text, _skip_space(text, position + 1))
        position, is_last = _skip_separator(text, end, "}")
    return found, position


def _decode_strictly(text: str, begin: int) -> tuple[object, int]:
    try:
        value, end = _DECODER.raw_decode(text, begin)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    text[begin:end].encode()
    return value, end


def _skip_space(text: str, position: int) -> int:
    match = _SPACE.match(text, position)
    return position if match is None else match.end()


def _skip_opening(
    text: str, position: int, opening: str, closing: str
) -> tuple[int, bool]:
    """Return the position of the first member, and whether there is none."""
    if text[position : position + 1] != opening:
        raise ValueError(f"no {opening}")
    position = _skip_space(text, position + 1)
    if text[position : position + 1] == closing:
        return position + 1, True
    return position, False


def _skip_separator(text: str, position: int, closing: str) -> tuple[int, bool]:
    """Return the position after a separator, and whether there is no further member."""
    position = _skip_space(text, position)
    separator = text[position : position + 1]
    if separator not in (",", closing):
        raise ValueError("no separator")
    if separator == closing:
        return position + 1, True
    return _skip_space(text, position + 1), False


def _find_end(text: str, begin: int) -> int:
    """Return the end of a value that cannot be decoded.

    Takes linear time and no recursion for any nesting.
    """
    depth = 0
    for match in _TOKENS.finditer(text, begin):
        token = match.group()
        if token == '"':
            break
        if token[0] in "[{":
            depth += len(token)
        elif token[0] in "]}":
            if depth <= len(token):
                return match.start() + depth
            depth -= len(token)
        elif depth == 0:
            return match.end() if token[0] == '"' else match.start()
    raise ValueError("no end")
