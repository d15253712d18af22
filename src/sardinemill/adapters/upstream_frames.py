"""MessagePack frames between the proxy and a database.

A request is ``[id, kind, body]``; its answer is ``[id, kind, body]`` with the same id
and kind ``done`` or ``error``. Ids are unique across all connections of a process, so
an answer that arrives on the wrong connection is detected by its unknown id.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from ..errors import (
    CodecError,
    IdempotencyKeyReused,
    Outcome,
    StatementError,
    TransactionClosed,
    UpstreamBusy,
    UpstreamError,
    UpstreamFenced,
    UpstreamUnavailable,
)
from ..positions import LogPosition

RUN = "run"
REPORT = "report"
FENCE = "fence"
PROMOTE = "promote"
ADMIT = "admit"
APPEND = "append"
DONE = "done"
ERROR = "error"

# All rows of an answer are sent in one frame.
MAX_FRAME_BYTES = 64 * 2**20

_ERRORS: dict[str, type[UpstreamError]] = {
    error_type.code: error_type
    for error_type in (
        UpstreamError,
        UpstreamUnavailable,
        UpstreamFenced,
        UpstreamBusy,
        StatementError,
        IdempotencyKeyReused,
        TransactionClosed,
    )
}

T = TypeVar("T")

_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_BODY_DECODERS: dict[type, msgspec.msgpack.Decoder] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class Frame:
    """Request or answer with a body that is not decoded yet."""

    request_id: int
    kind: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportRequest:
    """Body of a request for a report; see :meth:`ControlConnection.report`."""

    wait_for: LogPosition | None
    timeout_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody:
    """Body of an error answer."""

    code: str
    message: str
    outcome: Outcome


def make_request_ids() -> Iterator[int]:
    """Return consecutive ids from a random start, so that those of processes differ."""
    return itertools.count(random.getrandbits(62))


def encode_frame(request_id: int, kind: str, body: object) -> bytes:
    """Encode a frame.

    :raises CodecError: when a value of the body has no MessagePack form.
    """
    try:
        return _ENCODER.encode([request_id, kind, body])
    except (OverflowError, TypeError, UnicodeEncodeError) as error:
        raise CodecError("a value cannot be encoded", step="encode") from error


def decode_frame(data: bytes, peer: str) -> Frame:
    """Decode the id and the kind of a frame.

    :raises CodecError: when it is malformed.
    """
    try:
        request_id, kind, body = _FRAME_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise CodecError(str(error), step="decode", peer=peer) from error
    return Frame(request_id=request_id, kind=kind, body=bytes(body))


def decode_body(frame: Frame, body_type: type[T], peer: str) -> T:
    """Decode the body of a frame.

    :raises CodecError: when it is malformed.
    """
    decoder = _BODY_DECODERS.get(body_type)
    if decoder is None:
        decoder = _BODY_DECODERS[body_type] = msgspec.msgpack.Decoder(body_type)
    try:
        return decoder.decode(frame.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise CodecError(str(error), step="decode", peer=peer) from error


def encode_error(request_id: int, error: UpstreamError) -> bytes:
    """Encode an error answer."""
    body = ErrorBody(code=error.code, message=error.message, outcome=error.outcome)
    return encode_frame(request_id, ERROR, body)


def decode_error(frame: Frame, step: str, peer: str) -> UpstreamError:
    """Convert an error answer to the exception to raise."""
    body = decode_body(frame, ErrorBody, peer)
    error_type = _ERRORS.get(body.code, UpstreamError)
    return error_type(body.message, step=step, peer=peer, outcome=body.outcome)
