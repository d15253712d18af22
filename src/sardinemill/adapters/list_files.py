"""Lists of plans, workspaces and groups in the operators' JSON files."""

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


def read_list(path: Path, list_name: str, kind: type[T]) -> dict[str, T]:
    """Read a list from a file that holds a JSON array of objects.

    :param kind: data class of the entries.
    :returns: name to entry.
    :raises InvalidConfiguration: with all faults of the file.
    """
    try:
        found = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        reason = error.strerror or "readable"
        raise _fail(
            list_name, "", "file", f"a readable file, found: {reason}"
        ) from error
    except msgspec.MsgspecError as error:
        raise _fail(list_name, "", "file", f"valid JSON, found: {error}") from error
    if not isinstance(found, list):
        raise _fail(list_name, "", "file", "a JSON array of objects")
    faults: list[ConfigurationFault] = []
    entries: dict[str, T] = {}
    for position, item in enumerate(found):
        entry = _convert(item, list_name, f"#{position}", kind, faults)
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
    """Encode a list in the form that :func:`read_list` takes."""
    ordered = [entries[name] for name in sorted(entries)]
    return msgspec.json.format(msgspec.json.encode(ordered), indent=2) + b"\n"


def _convert(
    item: object,
    list_name: str,
    label: str,
    kind: type[T],
    faults: list[ConfigurationFault],
) -> T | None:
    if not isinstance(item, dict):
        faults.append(_make_fault(list_name, label, "entry", "a JSON object"))
        return None
    label = str(item.get("name", label))
    # msgspec ignores unknown fields, which would hide a misspelled optional one.
    allowed = [field.name for field in dataclasses.fields(kind)]  # type: ignore[arg-type]
    unknown = sorted(set(item) - set(allowed))
    faults.extend(
        _make_fault(list_name, label, name, f"only the fields {', '.join(allowed)}")
        for name in unknown
    )
    try:
        return msgspec.convert(item, kind)
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


def _fail(list_name: str, entry: str, field: str, allowed: str) -> InvalidConfiguration:
    fault = _make_fault(list_name, entry, field, allowed)
    return InvalidConfiguration((fault,), step="read list")
