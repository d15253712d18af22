"""Signed tokens for callers: session tokens and transaction ids."""

import base64
import binascii
import hashlib
import hmac
from typing import TypeVar

import msgspec

from .errors import TokenError
from .positions import LogPosition, SessionPosition

Fields = TypeVar("Fields")

_SIGNATURE_BYTES = 16
_MAX_TOKEN_CHARACTERS = 2048


class TokenSigner:
    """Signs and verifies tokens with keys derived from the fleet's secret.

    :param fleet_secret: secret shared by all instances; at least 32 bytes.
    """

    def __init__(self, fleet_secret: bytes) -> None:
        self._session_key = _derive_key(fleet_secret, b"session token")
        self._transaction_key = _derive_key(fleet_secret, b"transaction id")

    def sign_session(self, session: SessionPosition) -> str:
        """Return the session token that a caller sends with its next request."""
        position = session.position
        fields = (session.workspace, session.group, position.term, position.offset)
        return _sign(self._session_key, fields)

    def verify_session(self, token: str) -> SessionPosition:
        """Verify a session token and return its content.

        :raises TokenError: when it is forged, truncated or malformed.
        """
        fields = _verify(self._session_key, token, tuple[str, str, int, int])
        workspace, group, term, offset = fields
        return SessionPosition(workspace, group, LogPosition(term, offset))

    def sign_transaction(self, transaction_id: str) -> str:
        """Return the signed transaction id that a caller receives."""
        return _sign(self._transaction_key, (transaction_id,))

    def verify_transaction(self, token: str) -> str:
        """Verify a signed transaction id and return the transaction id.

        :raises TokenError: when it is forged, truncated or malformed.
        """
        return _verify(self._transaction_key, token, tuple[str])[0]


def _derive_key(secret: bytes, purpose: bytes) -> bytes:
    return hmac.digest(secret, purpose, hashlib.sha256)


def _sign(key: bytes, fields: tuple[str | int, ...]) -> str:
    payload = msgspec.msgpack.encode(fields)
    signature = hmac.digest(key, payload, hashlib.sha256)[:_SIGNATURE_BYTES]
    return base64.urlsafe_b64encode(signature + payload).rstrip(b"=").decode()


def _verify(key: bytes, token: str, fields_type: type[Fields]) -> Fields:
    if len(token) > _MAX_TOKEN_CHARACTERS:
        raise TokenError("the token is too long", step="verify token")
    try:
        data = base64.b64decode(
            token.encode("ascii") + b"=" * (-len(token) % 4), altchars=b"-_"
        )
    except (UnicodeEncodeError, binascii.Error) as error:
        raise TokenError("the token is malformed", step="verify token") from error
    signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
    expected = hmac.digest(key, payload, hashlib.sha256)[:_SIGNATURE_BYTES]
    if not hmac.compare_digest(signature, expected):
        raise TokenError("the token's signature is wrong", step="verify token")
    try:
        return msgspec.msgpack.decode(payload, type=fields_type)
    except msgspec.MsgspecError as error:
        raise TokenError("the token is malformed", step="verify token") from error
