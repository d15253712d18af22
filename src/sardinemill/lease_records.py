"""Encoding of lease objects in the platform's store."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from .errors import CodecError

RECORD_VERSION = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """Content of a lease object.

    :param owner: instance that holds the lease; empty when it was released.
    :param incarnation: process of the owner; a restarted one must not take over
        what its predecessor held.
    :param epoch: counts changes of owner.
    """

    owner: str
    incarnation: str
    epoch: int


class LeaseCodec(Protocol):
    """Encoding of lease records."""

    def encode(self, record: LeaseRecord) -> bytes:
        """Return the object's value."""
        ...

    def decode(self, value: bytes) -> LeaseRecord:
        """:raises CodecError: when the value is no lease record."""
        ...


class JsonLeaseCodec:
    """Lease records as JSON, readable in the platform's tools."""

    def encode(self, record: LeaseRecord) -> bytes:
        return msgspec.json.encode((RECORD_VERSION, record))

    def decode(self, value: bytes) -> LeaseRecord:
        try:
            version, record = msgspec.json.decode(value, type=tuple[int, LeaseRecord])
        except msgspec.MsgspecError as error:
            raise CodecError(str(error), step="decode lease") from error
        if version != RECORD_VERSION:
            raise CodecError(f"lease record version {version}", step="decode lease")
        return record
