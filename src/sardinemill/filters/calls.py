"""Builds the call that a connection runs from a routed request."""

import hashlib
from collections.abc import Iterable

from ..messages import RoutedRequest, SqlValue, Statement, UpstreamCall


def make_call(routed: RoutedRequest, expected_term: int) -> UpstreamCall:
    """Make the upstream call of a request.

    :param expected_term: term that the primary must still have, 0 for reads.
    """
    request = routed.request
    body_hash = ""
    if request.idempotency_key is not None and request.statement is not None:
        body_hash = hash_statement(request.statement)
    return UpstreamCall(
        call_id=request.request_id,
        action=request.action,
        workspace=request.workspace,
        statement=request.statement,
        minimum_position=routed.requirement,
        expected_term=expected_term,
        idempotency_key=request.idempotency_key,
        body_hash=body_hash,
    )


def hash_statement(statement: Statement) -> str:
    """Digest of SQL and parameters under which an idempotency key may be used again.

    Each field goes in with its type and length, so that two different statements never
    encode to the same bytes.
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
    # ``repr`` of a float names exactly one number.
    return repr(value).encode() if not isinstance(value, str) else value.encode()
