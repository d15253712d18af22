"""JSON files in which operators edit plans, workspaces and groups."""

import dataclasses
from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

import msgspec

from ..configuration import Plan, Workspace
from ..groups import GroupDescription
from ..validation import ConfigurationFault, InvalidConfiguration

T = TypeVar("T")

LIST_TYPES: Mapping[str, type] = {
    "plans": Plan,
    "workspaces": Workspace,
    "groups": GroupDescription,
}


def read_list(path: Path, list_name: str, entry_type: type[T]) -> dict[str, T]:
    """Read the entries of a file that holds a JSON array of objects.

    :param entry_type: data class of the entries.
    :returns: entries by name.
    :raises InvalidConfiguration: when the file is unreadable or invalid; lists all
        faults found.
    """
    try:
        content = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        reason = error.strerror or "unknown error"
        raise _make_error(
            list_name, "", "file", f"a readable file, found: {reason}"
        ) from error
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _make_error(
            list_name, "", "file", f"valid JSON, found: {error}"
        ) from error
    if not isinstance(content, list):
        raise _make_error(list_name, "", "file", "a JSON array of objects")
    faults: list[ConfigurationFault] = []
    entries: dict[str, T] = {}
    for index, item in enumerate(content):
        entry = _convert(item, list_name, f"#{index}", entry_type, faults)
        if entry is None:
            continue
        name = str(getattr(entry, "name", ""))
        if name in entries:
            faults.append(_make_fault(list_name, name, "name", "each name once"))
        entries[name] = entry
    if faults:
        raise InvalidConfiguration(tuple(faults), step="read list")
    return entries


def format_list(entries: Mapping[str, object]) -> bytes:
    """Encode entries in the format that :func:`read_list` reads."""
    ordered = [entries[name] for name in sorted(entries)]
    return msgspec.json.format(msgspec.json.encode(ordered), indent=2) + b"\n"


def _convert(
    item: object,
    list_name: str,
    label: str,
    entry_type: type[T],
    faults: list[ConfigurationFault],
) -> T | None:
    if not isinstance(item, dict):
        faults.append(_make_fault(list_name, label, "entry", "a JSON object"))
        return None
    label = str(item.get("name", label))
    # msgspec ignores unknown fields, so a misspelled optional field would go unnoticed.
    allowed = [field.name for field in dataclasses.fields(entry_type)]  # type: ignore[arg-type]
    unknown = sorted(set(item) - set(allowed))
    faults.extend(
        _make_fault(list_name, label, name, f"only the fields {', '.join(allowed)}")
        for name in unknown
    )
    try:
        return msgspec.convert(item, entry_type)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at ")
        field = path.strip("`$.") or "entry"
        faults.append(_make_fault(list_name, label, field, text))
        return None


def _make_fault(
    list_name: str, entry: str, field: str, allowed: str
) -> ConfigurationFault:
    return ConfigurationFault(
        list_name=list_name, entry=entry, field=field, allowed=allowed
    )


def _make_error(
    list_name: str, entry: str, field: str, allowed: str
) -> InvalidConfiguration:
    fault = _make_fault(list_name, entry, field, allowed)
    return InvalidConfiguration((fault,), step="read list")
