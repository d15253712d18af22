"""Refusals of messages that no database has seen, for the log and the metrics."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..events import Event, EventName
from ..interfaces import Emission
from .messages import ErrorCode, StatementAnswered, StatementReceived
from .text_digests import NO_DIGEST, TextDigest


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageRefused:
    """A message of a client was refused without a database.

    :param reason: text of this program; it holds nothing that the client sent.
    :param statement_id: the client's identifier, empty if the message is no statement.
    """

    session_id: int
    code: ErrorCode
    reason: str = ""
    statement_id: str = ""
    digest: TextDigest = NO_DIGEST


def find_refusals(
    received: StatementReceived, emissions: Iterable[Emission]
) -> list[MessageRefused]:
    """Return the refusals among the answers to a statement.

    :param emissions: what the statement led to at once, before any database.
    """
    answers = [item.message for item in emissions if item.outlet == "client"]
    return [
        MessageRefused(
            session_id=received.session_id,
            code=answer.code,
            # The message names the prepared statement as the client does.
            reason="" if answer.code is ErrorCode.UNKNOWN_STATEMENT else answer.message,
            statement_id=received.statement_id,
            digest=received.digest,
        )
        for answer in answers
        if isinstance(answer, StatementAnswered) and answer.code is not None
    ]


def make_refusal_event(
    refused: MessageRefused,
    *,
    workspace: str,
    database: str,
    configuration_version: int,
    configuration_age_seconds: float | None,
) -> Event:
    """Return the event of a refusal.

    :param workspace: of the session, empty if not known.
    :param database: name of the route, empty if there is no such route.
    :param configuration_version: in force, 0 if there is none.
    :param configuration_age_seconds: time since that version was proved to be the
        newest one, ``None`` if it never was.
    """
    fields = {
        "request_id": refused.statement_id,
        "session": refused.session_id,
        "workspace": workspace,
        "database": database,
        "code": refused.code.value,
        "reason": refused.reason,
        "verb": refused.digest.verb,
        "n_bytes": refused.digest.n_bytes,
        "configuration_version": configuration_version,
        "configuration_age_seconds": configuration_age_seconds,
    }
    return Event(EventName.MESSAGE_REFUSED, fields)
