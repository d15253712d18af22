"""MessagePack encoding of the messages between instances.

An envelope is ``[version, type name, payload]``. Receivers reject other versions, so an
incompatible change must increment ``WIRE_VERSION``. The questions and answers between
the instances of a fleet, on its state, on tokens and on statements that gateways run,
make up nearly all traffic between data centres, so their payload is encoded as an
array; all other payloads are maps.
"""

import msgspec

from . import control, loans, members, replication
from .array_types import make_array_type
from .errors import CodecError
from .fleet import messages as fleet_messages
from .messages import Answer, Refusal
from .sessions import gateway_messages

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
        gateway_messages.GatewayGreeting,
        gateway_messages.GatewayOutcome,
        gateway_messages.GatewayStatement,
        gateway_messages.GatewayWelcome,
        gateway_messages.GatewayWithdrawal,
    )
}

# msgspec cannot decode a union of data classes, so the envelope of a forwarded reply
# names the type of the reply itself.
_REPLY_TYPES: dict[str, type[Answer] | type[Refusal]] = {
    "Answer": Answer,
    "Refusal": Refusal,
}

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {
    type_name: msgspec.msgpack.Decoder(kind)
    for type_name, kind in {**_WIRE_TYPES, **_REPLY_TYPES}.items()
} | {
    type_name: msgspec.msgpack.Decoder(make_array_type(kind))
    for type_name, kind in _ARRAY_TYPES.items()
}


def encode_message(message: object) -> bytes:
    """Encode a message for the peer link.

    :raises CodecError: when the type is not one of the peer messages, or a value cannot
        be encoded: a lone surrogate, an integer above 64 bits, or one of a wrong type.
    """
    payload = message.reply if isinstance(message, control.ForwardedReply) else message
    type_name = type(payload).__name__
    is_array = type_name in _ARRAY_TYPES
    if payload is message and not is_array and type_name not in _WIRE_TYPES:
        raise CodecError(f"{type_name} is not a peer message", step="encode")
    try:
        if is_array:
            array_type = make_array_type(_ARRAY_TYPES[type_name])
            payload = msgspec.convert(payload, array_type, from_attributes=True)
        return _ENCODER.encode([WIRE_VERSION, type_name, payload])
    except (msgspec.MsgspecError, OverflowError, UnicodeEncodeError) as error:
        # The error's text may hold a caller's value.
        reason = f"{type_name}: {type(error).__name__}"
        raise CodecError(reason, step="encode") from error


def decode_message(data: bytes, peer: str) -> object:
    """Decode a message from the peer link.

    :param peer: name of the sender, for the error message.
    :raises CodecError: when the envelope or its payload is malformed, or the version or
        the message type is unknown.
    """
    try:
        version, type_name, payload = _ENVELOPE_DECODER.decode(data)
        if version != WIRE_VERSION:
            raise CodecError(
                f"unsupported wire version {version}", step="decode", peer=peer
            )
        decoder = _DECODERS.get(type_name)
        if decoder is None:
            raise CodecError("unknown message type", step="decode", peer=peer)
        message = decoder.decode(payload)
        if type_name in _REPLY_TYPES:
            return control.ForwardedReply(reply=message)
        if type_name in _ARRAY_TYPES:
            kind = _ARRAY_TYPES[type_name]
            return msgspec.convert(message, kind, from_attributes=True)
        return message
    except (msgspec.MsgspecError, RecursionError) as error:
        raise CodecError(str(error), step="decode", peer=peer) from error
