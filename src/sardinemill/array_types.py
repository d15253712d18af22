"""Array layouts of data classes, for messages that are sent often.

A data class travels as a map by default, and its field names take more bytes than its
values. The types made here have the same fields and travel as arrays, in the order of
the fields; :func:`msgspec.convert` copies values between the two.
"""

import types
from dataclasses import MISSING, Field, fields, is_dataclass
from functools import cache
from typing import Any, Union, cast, get_args, get_origin, get_type_hints

import msgspec


@cache
def make_array_type(kind: type) -> type[msgspec.Struct]:
    """Make the type with the array layout of a data class.

    Data classes within its fields get the same layout. Fields without a value on the
    wire take the default of the data class, so fields can be added at the end.

    :raises TypeError: when ``kind`` is no data class.
    """
    if not is_dataclass(kind):
        raise TypeError(f"{kind.__name__} is no data class")
    hints = get_type_hints(kind)
    return msgspec.defstruct(
        kind.__name__,
        [
            _define_field(field, _replace_type(hints[field.name]))
            for field in fields(kind)
        ],
        array_like=True,
        frozen=True,
        kw_only=True,
    )


def _define_field(field: Field[Any], kind: Any) -> tuple[str, Any, Any]:
    if field.default_factory is not MISSING:
        default = msgspec.field(default_factory=field.default_factory)
    elif field.default is not MISSING:
        default = msgspec.field(default=field.default)
    else:
        default = msgspec.field()
    return field.name, kind, default


def _replace_type(kind: Any) -> Any:
    """Put array types in the place of the data classes in a type."""
    if isinstance(kind, type) and is_dataclass(kind):
        return make_array_type(kind)
    arguments = get_args(kind)
    if not arguments:
        return kind
    replaced = tuple(_replace_type(item) for item in arguments)
    origin = get_origin(kind)
    if origin in (Union, types.UnionType):
        return Union[replaced]  # noqa: UP007
    return cast(Any, origin)[replaced]
