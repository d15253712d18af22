"""MessagePack envelopes of messages between instances.

An envelope is ``[version, type name, payload]``. Receivers refuse other versions, so a
change of layout raises ``WIRE_VERSION``.
"""

import msgspec

from . import control
from .errors import CodecError

WIRE_VERSION = 1

_WIRE_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        control.BorrowRequest,
        control.ForwardedCancellation,
        control.ForwardedReply,
        control.ForwardedRequest,
        control.Heartbeat,
        control.InstanceList,
        control.Loan,
        control.LoanReturn,
        control.PrimaryChanged,
        control.ReservePledge,
        control.ReserveQuery,
        control.ShardReleased,
        control.VersionAnswer,
        control.VersionQuery,
    )
}


def encode_message(message: object) -> bytes:
    """Encode a message for the peer link.

    :raises CodecError: when the type may not leave the process.
    """
    name = type(message).__name__
    if name not in _WIRE_TYPES:
        raise CodecError(f"{name} is not a peer message", step="encode")
    return msgspec.msgpack.encode([WIRE_VERSION, name, message])


def decode_message(data: bytes, peer: str) -> object:
    """Decode a message from the peer link.

    :param peer: sender, for the error.
    :raises CodecError: when the envelope is malformed or of another version.
    """
    try:
        version, name, payload = msgspec.msgpack.decode(
            data, type=tuple[int, str, msgspec.Raw]
        )
        if version != WIRE_VERSION:
            raise CodecError(f"wire version {version}", step="decode", peer=peer)
        kind = _WIRE_TYPES.get(name)
        if kind is None:
            raise CodecError("unknown message type", step="decode", peer=peer)
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.MsgspecError as error:
        raise CodecError(str(error), step="decode", peer=peer) from error
