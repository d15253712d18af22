"""MessagePack envelopes of messages between instances.

An envelope is ``[version, type name, payload]``. Receivers refuse other versions, so a
change of layout raises ``WIRE_VERSION``. Questions between the instances of a fleet,
and the answers to them, make up nearly all traffic between data centres: their payload
is an array, the others are maps.
"""

import msgspec

from . import control, loans, members, replication
from .array_types import make_array_type
from .errors import CodecError
from .fleet import messages as fleet_messages
from .messages import Answer, Refusal

WIRE_VERSION = 2

_WIRE_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        loans.BorrowRequest,
        control.ForwardedCancellation,
        control.ForwardedRequest,
        members.Heartbeat,
        members.InstanceList,
        members.InstanceListChange,
        members.InstanceListQuery,
        loans.Loan,
        loans.LoanReturn,
        control.OrderNotice,
        replication.PrimaryChanged,
        replication.PrimaryOpinion,
        loans.ReservePledge,
        loans.ReserveQuery,
        loans.ShardReleased,
        members.SuspicionReport,
        control.VersionAnswer,
        control.VersionQuery,
    )
}

_ARRAY_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        fleet_messages.FleetAnswer,
        fleet_messages.FleetQuestion,
        fleet_messages.TokenGrant,
        fleet_messages.TokenRequest,
    )
}

# msgspec decodes no union of data classes, so a reply travels under its own type name.
_REPLY_TYPES: dict[str, type[Answer] | type[Refusal]] = {
    "Answer": Answer,
    "Refusal": Refusal,
}

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {
    name: msgspec.msgpack.Decoder(kind)
    for name, kind in {**_WIRE_TYPES, **_REPLY_TYPES}.items()
} | {
    name: msgspec.msgpack.Decoder(make_array_type(kind))
    for name, kind in _ARRAY_TYPES.items()
}


def encode_message(message: object) -> bytes:
    """Encode a message for the peer link.

    :raises CodecError: when the type may not leave the process.
    """
    payload = message.reply if isinstance(message, control.ForwardedReply) else message
    name = type(payload).__name__
    if name in _ARRAY_TYPES:
        array_type = make_array_type(_ARRAY_TYPES[name])
        payload = msgspec.convert(payload, array_type, from_attributes=True)
        return _ENCODER.encode([WIRE_VERSION, name, payload])
    if payload is message and name not in _WIRE_TYPES:
        raise CodecError(f"{name} is not a peer message", step="encode")
    return _ENCODER.encode([WIRE_VERSION, name, payload])


def decode_message(data: bytes, peer: str) -> object:
    """Decode a message from the peer link.

    :param peer: sender, for the error.
    :raises CodecError: when the envelope is malformed or of another version.
    """
    try:
        version, name, payload = _ENVELOPE_DECODER.decode(data)
        if version != WIRE_VERSION:
            raise CodecError(f"wire version {version}", step="decode", peer=peer)
        decoder = _DECODERS.get(name)
        if decoder is None:
            raise CodecError("unknown message type", step="decode", peer=peer)
        message = decoder.decode(payload)
        if name in _REPLY_TYPES:
            return control.ForwardedReply(reply=message)
        if name in _ARRAY_TYPES:
            kind = _ARRAY_TYPES[name]
            return msgspec.convert(message, kind, from_attributes=True)
        return message
    except msgspec.MsgspecError as error:
        raise CodecError(str(error), step="decode", peer=peer) from error
