"""Comparison of the text that a client sent with the one that a database got."""

from ..events import Event, EventName
from .messages import StatementRequest, StatementResult


def compare_texts(request: StatementRequest, sent_checksum: str) -> bool | None:
    """Return whether a database got the text that the client sent.

    The checksums themselves are not logged, since a short text can be guessed from its
    checksum.

    :param sent_checksum: of the text that the database got.
    :returns: ``None`` if it was not sent, or if an instance of an earlier version sent
        it.
    """
    if not sent_checksum or not request.text_checksum:
        return None
    return sent_checksum == request.text_checksum


def find_changed_text(result: StatementResult) -> list[Event]:
    """Return the event of a text that was sent to a database with a change."""
    request = result.request
    if compare_texts(request, result.sent_checksum) is not False:
        return []
    fields = {
        "request_id": request.statement_id,
        "session": request.session_id,
        "workspace": request.workspace,
        "group": request.route.group,
        "database": result.database,
        "gateway": result.gateway,
        "verb": request.statement.kind.name,
    }
    return [Event(EventName.TEXT_CHANGED, fields)]
