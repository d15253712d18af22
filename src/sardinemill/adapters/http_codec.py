"""JSON bodies and headers of the HTTP interface for clients."""

import base64
import math
from collections.abc import Mapping
from typing import Any

import msgspec

from ..errors import CodecError
from ..messages import (
    Action,
    Answer,
    CallerRequest,
    Refusal,
    RefusalCode,
    SqlValue,
    StatementKind,
)
from ..status import Status
from ..token_signer import TokenSigner

DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_TIMEOUT_SECONDS = 60.0
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**63 - 1

STATUS_BY_CODE: Mapping[RefusalCode, int] = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNAUTHORIZED: 401,
    RefusalCode.FORBIDDEN: 403,
    RefusalCode.CONFIGURATION_TOO_OLD: 503,
    RefusalCode.RATE_LIMITED: 429,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.DEADLINE: 504,
    RefusalCode.CANCELLED: 499,
    RefusalCode.DRAINING: 503,
    RefusalCode.NO_HOME: 503,
    RefusalCode.NO_PRIMARY: 503,
    RefusalCode.NO_MAJORITY: 503,
    RefusalCode.TOO_STALE: 503,
    RefusalCode.UPSTREAM: 502,
    RefusalCode.STATEMENT: 400,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.UNKNOWN_TRANSACTION: 404,
    RefusalCode.BAD_TOKEN: 400,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.INTERNAL: 500,
}


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a statement.

    :param kind: kind that the client declares; a declaration can only make the
        classification of the statement stricter.
    """

    sql: str
    parameters: list[bool | int | float | str | None] = []
    kind: StatementKind | None = None
    idempotent: bool = False


_BODY_DECODER = msgspec.json.Decoder(StatementBody)
_ENCODER = msgspec.json.Encoder()


def decode_request(
    *,
    request_id: str,
    action: Action,
    headers: Mapping[str, str],
    body: bytes,
    transaction: str | None,
    signer: TokenSigner,
    now: float,
) -> CallerRequest:
    """Decode an HTTP request.

    :param transaction: signed transaction id from the path, if any.
    :param now: current time in seconds on the monotonic clock.
    :raises CodecError: when the body or a header is malformed.
    :raises TokenError: when the signature of a token is invalid.
    """
    statement = StatementBody(sql="")
    if action in (Action.STATEMENT, Action.TRANSACTION_STATEMENT):
        statement = _decode_body(body)
    token = headers.get("Session-Token")
    return CallerRequest(
        request_id=request_id,
        action=action,
        key=_read_api_key(headers),
        sql=statement.sql,
        parameters=tuple(statement.parameters),
        declared_kind=statement.kind,
        declared_idempotent=statement.idempotent,
        idempotency_key=_read_idempotency_key(headers),
        staleness_seconds=_read_seconds_header(
            headers, "Accept-Staleness", 0.0, math.inf
        ),
        session=signer.verify_session(token) if token else None,
        transaction_id=signer.verify_transaction(transaction) if transaction else None,
        deadline=now
        + _read_seconds_header(
            headers, "Request-Timeout", DEFAULT_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS
        ),
    )


def encode_answer(answer: Answer, signer: TokenSigner) -> tuple[bytes, dict[str, str]]:
    """Encode a successful response.

    :returns: JSON body and headers.
    """
    document: dict[str, Any] = {
        "columns": answer.columns,
        "rows": [[_encode_value(value) for value in row] for row in answer.rows],
        "changed": answer.n_changed,
        "served_by": answer.served_by,
        "replica": answer.from_replica,
        "outcome": "done",
    }
    if answer.transaction_id is not None:
        document["transaction"] = signer.sign_transaction(answer.transaction_id)
    if answer.is_repeat:
        document["repeat"] = True
    headers = {}
    if answer.session is not None:
        headers["Session-Token"] = signer.sign_session(answer.session)
    return _ENCODER.encode(document), headers


def encode_refusal(
    refusal: Refusal, signer: TokenSigner
) -> tuple[int, bytes, dict[str, str]]:
    """Encode an error response.

    :returns: status, JSON body and headers.
    """
    document = {
        "error": refusal.code.value,
        "outcome": refusal.outcome.value,
        "step": refusal.step,
        "peer": refusal.peer,
        "message": refusal.message,
        "request": refusal.request_id,
    }
    headers = {}
    if refusal.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_seconds)))
    if refusal.session is not None:
        headers["Session-Token"] = signer.sign_session(refusal.session)
    return STATUS_BY_CODE[refusal.code], msgspec.json.encode(document), headers


def encode_status(status: Status) -> bytes:
    """Encode the JSON body of the status route."""
    return msgspec.json.encode(status)


def _decode_body(body: bytes) -> StatementBody:
    try:
        statement = _BODY_DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise CodecError(f"body: {error}", step="decode request") from error
    for value in statement.parameters:
        if isinstance(value, int) and not _MIN_INTEGER <= value <= _MAX_INTEGER:
            raise CodecError("body: integer beyond 64 bits", step="decode request")
    return statement


def _read_api_key(headers: Mapping[str, str]) -> str | None:
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    # The header's syntax allows several blanks before the key.
    key = key.lstrip(" ")
    return key if scheme.lower() == "bearer" and key else None


def _read_idempotency_key(headers: Mapping[str, str]) -> str | None:
    key = headers.get("Idempotency-Key")
    if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise CodecError("Idempotency-Key: 1 to 200 characters", step="decode request")
    if key is not None and not _is_utf_8(key):
        raise CodecError("Idempotency-Key: not UTF-8", step="decode request")
    return key


def _is_utf_8(header: str) -> bool:
    """Return whether a header was sent as UTF-8; other bytes are lone surrogates."""
    try:
        header.encode()
    except UnicodeEncodeError:
        return False
    return True


def _read_seconds_header(
    headers: Mapping[str, str], name: str, default: float, maximum: float
) -> float:
    text = headers.get(name)
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds <= maximum or math.isinf(seconds):
        raise CodecError(f"{name}: seconds from 0 to {maximum}", step="decode request")
    return seconds


def _encode_value(value: SqlValue) -> object:
    """Return a value in its JSON form.

    Bytes, and numbers without a JSON form, are objects with one member.
    """
    if isinstance(value, bytes):
        return {"base64": base64.b64encode(value).decode()}
    if isinstance(value, float) and not math.isfinite(value):
        name = "NaN" if math.isnan(value) else "Infinity"
        return {"float": f"-{name}" if value < 0 else name}
    return value
