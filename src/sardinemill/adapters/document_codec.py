"""MessagePack encoding of configuration documents and of operators' orders."""

from typing import TypeVar

import msgspec

from ..documents import Document, Head, OperatorOrder, Part
from ..errors import CodecError

T = TypeVar("T")


class MessagePackDocumentCodec:
    """Document codec for the object store and the peer links.

    Mappings are encoded in sorted order, so that equal documents give equal bytes.
    """

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder(order="sorted")

    def encode_head(self, head: Head) -> bytes:
        return self._encoder.encode(head)

    def decode_head(self, data: bytes) -> Head:
        return _decode(data, Head)

    def encode_part(self, part: Part) -> bytes:
        return self._encoder.encode(part)

    def decode_part(self, data: bytes) -> Part:
        return _decode(data, Part)

    def encode_order(self, order: OperatorOrder) -> bytes:
        return self._encoder.encode(order)

    def decode_order(self, data: bytes) -> OperatorOrder:
        return _decode(data, OperatorOrder)

    def encode_document(self, document: Document) -> bytes:
        return self._encoder.encode(document)

    def decode_document(self, data: bytes) -> Document:
        return _decode(data, Document)


def _decode(data: bytes, result_type: type[T]) -> T:
    try:
        return msgspec.msgpack.decode(data, type=result_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise CodecError(str(error), step="decode configuration") from error
