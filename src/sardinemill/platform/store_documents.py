"""Decoders of the objects that operators and databases write into the store."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeGuard

from ..errors import ConfigurationError
from ..fleet.records import DatabaseEntry, Directory
from ..sessions.routes import Configuration, Consistency, Route, WorkspacePlan
from .json_documents import Unreadable
from .settings import parse_address

# A route's `kind` is the consistency of its reads.
_CONSISTENCY = {
    "primary": Consistency.PRIMARY,
    "bounded": Consistency.BOUNDED_STALENESS,
    "read_own_writes": Consistency.READ_YOUR_WRITES,
}
# Defaults for documents without the field.
DEFAULT_TIMEOUT_MS = 1000
DEFAULT_TRANSACTION_IDLE_MS = 3000
# Bounds of what writers may have put into an object. Numbers above 64 bits cannot
# be encoded for other instances; above this one, a float does not hold them exactly.
MAX_INTEGER = 2**53
MAX_NAME_CHARACTERS = 255
# Stands for bytes that were not UTF-8.
REPLACEMENT_CHARACTER = "\ufffd"


@dataclass(frozen=True, slots=True)
class SkippedEntry:
    """Entry that names no database to use.

    :param reason: name of the malformed field, never its value.
    """

    name: str
    reason: str


class _MalformedEntry(ValueError):
    """An entry has a malformed field."""


def decode_configuration(document: object) -> Configuration:
    """Decode the configuration that operators write.

    :raises ConfigurationError: when the document is malformed.
    """
    try:
        return _decode_configuration(_expect_mapping(document))
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(
            f"malformed: {type(error).__name__} {error}", step="decode configuration"
        ) from error


def _decode_configuration(document: Mapping[str, object]) -> Configuration:
    limits = _expect_mapping(document.get("limits") or {})
    idle_ms = limits.get("transaction_idle_ms", DEFAULT_TRANSACTION_IDLE_MS)
    return Configuration(
        version=_expect_integer(document["version"]),
        routes=tuple(
            _decode_route(item) for item in _expect_mappings(document["routes"])
        ),
        workspaces=tuple(
            _decode_plan(item)
            for item in _expect_mappings(document.get("tenants") or [])
        ),
        transaction_idle_seconds=_expect_number(idle_ms) / 1000,
        max_connections=tuple(
            (_expect_text(item["name"]), int(_expect_number(item["max_connections"])))
            for item in _expect_mappings(document.get("services") or [])
            if "max_connections" in item
        ),
    )


def _decode_route(item: Mapping[str, object]) -> Route:
    return Route(
        name=_expect_text(item["name"]),
        # `host` is the database name that the client sends in its opening message.
        database=_expect_text(item["host"]),
        group=_expect_text(item["service"]),
        consistency=_CONSISTENCY[_expect_text(item["kind"])],
        timeout_seconds=_expect_number(item.get("timeout_ms", DEFAULT_TIMEOUT_MS))
        / 1000,
        staleness_seconds=_expect_number(item.get("max_staleness_ms", 0)) / 1000,
        priority=int(_expect_number(item.get("priority", 1))),
        is_open=item.get("allow_anonymous") is True,
        target_seconds=_expect_number(item.get("target_latency_ms", 0)) / 1000,
    )


def _decode_plan(item: Mapping[str, object]) -> WorkspacePlan:
    keys = item.get("api_keys") or []
    if not isinstance(keys, Sequence) or isinstance(keys, str):
        raise TypeError("api_keys")
    return WorkspacePlan(
        name=_expect_text(item["name"]),
        keys=tuple(_expect_text(key) for key in keys),
        operations_per_second=_expect_number(item["requests_per_s"]),
        burst=_expect_number(item["burst"]),
    )


def decode_directory(objects: Iterable[tuple[str, object]]) -> Directory:
    """Decode the entries of the databases; see :func:`decode_database_entries`."""
    return decode_database_entries(objects)[0]


def decode_database_entries(
    objects: Iterable[tuple[str, object]],
) -> tuple[Directory, tuple[SkippedEntry, ...]]:
    """Decode the entries by which databases register themselves.

    Malformed entries are skipped, since other writers have access to the store. Of
    entries with the same name, the first one counts.

    :param objects: pairs of an object's name and its content.
    :returns: the databases and the skipped entries, both in the order of their names.
    """
    databases: dict[str, DatabaseEntry] = {}
    skipped: set[SkippedEntry] = set()
    for name, content in objects:
        try:
            entry = _decode_database_entry(name, content)
        except _MalformedEntry as error:
            skipped.add(SkippedEntry(name, str(error)))
        else:
            databases.setdefault(name, entry)
    directory = Directory(
        databases=tuple(databases[name] for name in sorted(databases))
    )
    return directory, tuple(sorted(skipped, key=lambda item: (item.name, item.reason)))


def decode_evacuations(names: Iterable[str]) -> tuple[str, ...]:
    """Decode the names of the objects that ask to evacuate a data centre.

    :returns: the names of the data centres, sorted; others are skipped.
    """
    return tuple(sorted({name for name in names if _is_name(name)}))


def _decode_database_entry(name: str, content: object) -> DatabaseEntry:
    """Decode the entry of one database.

    :raises _MalformedEntry: with the name of the malformed field.
    """
    if not _is_name(name):
        raise _MalformedEntry("name")
    if isinstance(content, Unreadable):
        raise _MalformedEntry("unreadable")
    if not isinstance(content, Mapping):
        raise _MalformedEntry("not an object")
    address = parse_address(content.get("address"))
    if address is None:
        raise _MalformedEntry("address")
    group, data_centre = content.get("service"), content.get("zone")
    if not _is_name(group):
        raise _MalformedEntry("service")
    if not _is_name(data_centre):
        raise _MalformedEntry("zone")
    state, role = content.get("state"), content.get("database_role")
    if state not in ("ready", "draining"):
        raise _MalformedEntry("state")
    if role not in ("primary", "replica"):
        raise _MalformedEntry("database_role")
    n_slots, born_ms = content.get("slots", 1), content.get("born", 0)
    if not _is_integer(n_slots, minimum=1):
        raise _MalformedEntry("slots")
    if not _is_integer(born_ms, minimum=0):
        raise _MalformedEntry("born")
    return DatabaseEntry(
        name=name,
        group=group,
        data_centre=data_centre,
        host=address.host,
        port=address.port,
        n_slots=n_slots,
        born_ms=born_ms,
        is_leaving=state == "draining",
        is_primary=role == "primary",
    )


def _is_name(value: object) -> TypeGuard[str]:
    """Return whether a text is a name that can be one word of a message.

    Texts that no message can hold are not printable: line ends and lone surrogates.
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARACTERS
        and value.isprintable()
        and " " not in value
        and REPLACEMENT_CHARACTER not in value
    )


def _is_integer(value: object, minimum: int) -> TypeGuard[int]:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and minimum <= value <= MAX_INTEGER
    )


def _expect_mapping(value: object) -> Mapping[str, object]:
    if not isinstance(value, Mapping):
        raise TypeError("not an object")
    return value


def _expect_mappings(value: object) -> list[Mapping[str, object]]:
    if not isinstance(value, Sequence) or isinstance(value, str):
        raise TypeError("not a list")
    return [_expect_mapping(item) for item in value]


def _expect_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("not a number")
    # Also false for a value that is not a number.
    if not -MAX_INTEGER <= value <= MAX_INTEGER:
        raise ValueError("number out of range")
    return value


def _expect_integer(value: object) -> int:
    number = _expect_number(value)
    # Rounding would make one version of two.
    if number != int(number):
        raise ValueError("not a whole number")
    return int(number)


def _expect_text(value: object) -> str:
    """Return a text as it is, if it can be encoded for other instances.

    A value of another type is none: the text of ``null`` or of a number could be the
    key or the name of another entry.
    """
    if not isinstance(value, str):
        raise TypeError("not a text")
    # Raises a ValueError for lone surrogates, which also stand for bytes that were not
    # UTF-8.
    value.encode()
    return value
