"""Array encoding of data classes, for messages that are sent often.

msgspec encodes a data class as a map, in which the field names take more bytes than
the values. The types made here have the same fields and are encoded as arrays, in the
order of the fields; :func:`msgspec.convert` copies values between the two.
"""

import types
from dataclasses import MISSING, Field, fields, is_dataclass
from functools import cache
from typing import Any, Union, cast, get_args, get_origin, get_type_hints

import msgspec


@cache
def make_array_type(data_class: type) -> type[msgspec.Struct]:
    """Make the struct type that encodes a data class as an array.

    Data classes within its fields are encoded the same way. Fields that are missing at
    the end of a received array take their defaults, so new fields can be appended.

    :raises TypeError: when ``data_class`` is not a data class.
    """
    if not is_dataclass(data_class):
        raise TypeError(f"{data_class.__name__} is not a data class")
    hints = get_type_hints(data_class)
    return msgspec.defstruct(
        data_class.__name__,
        [
            _define_field(field, _replace_type(hints[field.name]))
            for field in fields(data_class)
        ],
        array_like=True,
        frozen=True,
        kw_only=True,
    )


def _define_field(field: Field[Any], field_type: Any) -> tuple[str, Any, Any]:
    if field.default_factory is not MISSING:
        default = msgspec.field(default_factory=field.default_factory)
    elif field.default is not MISSING:
        default = msgspec.field(default=field.default)
    else:
        default = msgspec.field()
    return field.name, field_type, default


def _replace_type(field_type: Any) -> Any:
    """Replace the data classes within a type by their array types."""
    if isinstance(field_type, type) and is_dataclass(field_type):
        return make_array_type(field_type)
    arguments = get_args(field_type)
    if not arguments:
        return field_type
    replaced = tuple(_replace_type(item) for item in arguments)
    origin = get_origin(field_type)
    if origin in (Union, types.UnionType):
        return Union[replaced]  # noqa: UP007
    return cast(Any, origin)[replaced]
