"""Encoding of lease objects in the platform's store."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from .errors import CodecError

RECORD_VERSION = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """Content of a lease object in the store.

    :param owner: instance that holds the lease; empty if it was released.
    :param incarnation: identifies the owner's process; after a restart the owner must
        not use the lease of its previous process.
    :param epoch: incremented at each change of owner.
    """

    owner: str
    incarnation: str
    epoch: int


class LeaseCodec(Protocol):
    """Encoder and decoder of lease records."""

    def encode(self, record: LeaseRecord) -> bytes:
        """Return the value to store."""
        ...

    def decode(self, value: bytes) -> LeaseRecord:
        """Return the lease record.

        :raises CodecError: when the value is not a lease record.
        """
        ...


class JsonLeaseCodec:
    """Codec for JSON, so that operators can read leases in the platform's tools."""

    def encode(self, record: LeaseRecord) -> bytes:
        return msgspec.json.encode((RECORD_VERSION, record))

    def decode(self, value: bytes) -> LeaseRecord:
        try:
            version, record = msgspec.json.decode(value, type=tuple[int, LeaseRecord])
        except (msgspec.MsgspecError, RecursionError) as error:
            raise CodecError(str(error), step="decode lease") from error
        if version != RECORD_VERSION:
            raise CodecError(
                f"unsupported lease record version {version}", step="decode lease"
            )
        return record
