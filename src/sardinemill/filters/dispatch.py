"""Messages for requests that leave a queue: dispatches, upstream calls, refusals."""

import hashlib
from collections.abc import Iterable

from ..errors import Outcome
from ..interfaces import Emission
from ..messages import (
    Dispatch,
    Refusal,
    RefusalCode,
    Request,
    RoutedRequest,
    SqlValue,
    Statement,
    UpstreamCall,
)

_REFUSAL_TEXTS = {
    RefusalCode.DEADLINE: "the deadline passed in the queue",
    RefusalCode.NO_HOME: "this instance holds no connections to the database",
    RefusalCode.OVERLOADED: "the queue of the workspace is full",
    RefusalCode.UNKNOWN_TRANSACTION: "the transaction is not open here",
}
_RETRY_CODES = frozenset({RefusalCode.NO_HOME, RefusalCode.OVERLOADED})


def make_call(routed: RoutedRequest) -> UpstreamCall:
    """Return the upstream call of a request."""
    request = routed.request
    body_hash = ""
    if request.idempotency_key is not None and request.statement is not None:
        body_hash = hash_statement(request.statement)
    return UpstreamCall(
        call_id=request.request_id,
        action=request.action,
        workspace=request.workspace,
        statement=request.statement,
        minimum_position=routed.minimum_position,
        expected_term=routed.expected_term,
        idempotency_key=request.idempotency_key,
        body_hash=body_hash,
    )


def hash_statement(statement: Statement) -> str:
    """Return a digest of a statement's SQL and parameters.

    An idempotency key may be used again only with the same digest. Each field is hashed
    with its type and length, so that two different statements never encode to the same
    bytes.
    """
    digest = hashlib.sha256()
    for tag, data in _encode_fields(statement.sql, statement.parameters):
        digest.update(f"{tag}:{len(data)}:".encode())
        digest.update(data)
    return digest.hexdigest()


def _encode_fields(
    sql: str, parameters: Iterable[SqlValue]
) -> Iterable[tuple[str, bytes]]:
    yield "sql", sql.encode()
    for value in parameters:
        yield type(value).__name__, _encode_value(value)


def _encode_value(value: SqlValue) -> bytes:
    if isinstance(value, bytes):
        return value
    # ``repr`` of a float is unique to its value.
    return repr(value).encode() if not isinstance(value, str) else value.encode()


def make_dispatch(routed: RoutedRequest) -> Emission:
    """Return the message that sends a request to a connection."""
    return Emission("execution", Dispatch(routed=routed, call=make_call(routed)))


def make_queue_refusal(
    request: Request, code: RefusalCode, outcome: Outcome = Outcome.NOT_RUN
) -> Emission:
    """Return the refusal of a request that was queued or could not be queued.

    :param outcome: whether the request may have taken effect.
    """
    return Emission(
        "reply",
        Refusal(
            request_id=request.request_id,
            code=code,
            outcome=outcome,
            step="scheduling",
            message=_REFUSAL_TEXTS[code],
            retry_after_seconds=1.0 if code in _RETRY_CODES else None,
        ),
    )
