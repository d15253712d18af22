"""MessagePack envelopes of messages between instances.

An envelope is ``[version, type name, payload]``. Receivers refuse other versions, so a
change of layout raises ``WIRE_VERSION``.
"""

import msgspec

from . import control
from .errors import CodecError
from .messages import Answer, Refusal

WIRE_VERSION = 1

_WIRE_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        control.BorrowRequest,
        control.ForwardedCancellation,
        control.ForwardedRequest,
        control.Heartbeat,
        control.InstanceList,
        control.Loan,
        control.LoanReturn,
        control.OrderNotice,
        control.PrimaryChanged,
        control.PrimaryOpinion,
        control.ReservePledge,
        control.ReserveQuery,
        control.ShardReleased,
        control.VersionAnswer,
        control.VersionQuery,
    )
}

# msgspec decodes no union of data classes, so a reply travels under its own type name.
_REPLY_TYPES: dict[str, type[Answer] | type[Refusal]] = {
    "Answer": Answer,
    "Refusal": Refusal,
}


def encode_message(message: object) -> bytes:
    """Encode a message for the peer link.

    :raises CodecError: when the type may not leave the process.
    """
    payload = message.reply if isinstance(message, control.ForwardedReply) else message
    name = type(payload).__name__
    if payload is message and name not in _WIRE_TYPES:
        raise CodecError(f"{name} is not a peer message", step="encode")
    return msgspec.msgpack.encode([WIRE_VERSION, name, payload])


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
        if name in _REPLY_TYPES:
            reply = msgspec.msgpack.decode(payload, type=_REPLY_TYPES[name])
            return control.ForwardedReply(reply=reply)
        kind = _WIRE_TYPES.get(name)
        if kind is None:
            raise CodecError("unknown message type", step="decode", peer=peer)
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.MsgspecError as error:
        raise CodecError(str(error), step="decode", peer=peer) from error
