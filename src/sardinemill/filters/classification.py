"""Classifies statements as reads or writes before they are routed."""

import logging
from collections.abc import Sequence
from functools import lru_cache

import sqlglot
from sqlglot import exp

from ..errors import Outcome, StatementError
from ..interfaces import Emission
from ..messages import (
    Action,
    AuthenticatedRequest,
    CallerRequest,
    Refusal,
    RefusalCode,
    Request,
    Statement,
    StatementKind,
)
from ..positions import ORIGIN

N_CACHED_STATEMENTS = 4096
# The parser's warnings quote the statement, and callers' data must not be logged.
logging.getLogger("sqlglot").setLevel(logging.CRITICAL)

_CONTROL_TYPES = (
    exp.Transaction,
    exp.Commit,
    exp.Rollback,
    exp.Attach,
    exp.Detach,
    exp.Pragma,
)
# The parser turns statements that it does not support into ``exp.Command``. Of those,
# only the following control the transaction or the session.
_CONTROL_KEYWORDS = frozenset(
    {"ATTACH", "BEGIN", "COMMIT", "DETACH", "END", "PRAGMA", "RELEASE", "ROLLBACK"}
    | {"SAVEPOINT", "SET", "START", "USE", "VACUUM"}
)
# A query with a subexpression of one of these types may change data. ``Anonymous`` is
# a call of an unknown function, which may write too.
_POSSIBLE_WRITE_TYPES = (
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Create,
    exp.Drop,
    exp.Into,
    exp.Lock,
    exp.Anonymous,
)


@lru_cache(maxsize=N_CACHED_STATEMENTS)
def classify_sql(sql: str) -> StatementKind:
    """Return whether a single SQL statement is a read or a write.

    A statement that is not known to be a read counts as a write.

    :raises StatementError: for transaction control and session commands, for several
        statements in one text and for an empty text.
    """
    try:
        trees = [tree for tree in sqlglot.parse(sql, read="sqlite") if tree]
    except sqlglot.errors.SqlglotError:
        # May be valid syntax that the parser lacks; the database accepts or rejects it.
        return StatementKind.WRITE
    if len(trees) != 1:
        raise StatementError("exactly one statement is needed", step="classification")
    tree = trees[0]
    if _is_control(tree):
        raise StatementError(
            "transaction control and session commands are not accepted as SQL",
            step="classification",
        )
    if isinstance(tree, exp.Query) and tree.find(*_POSSIBLE_WRITE_TYPES) is None:
        return StatementKind.READ
    return StatementKind.WRITE


def _is_control(tree: object) -> bool:
    if isinstance(tree, exp.Command):
        return str(tree.this).upper() in _CONTROL_KEYWORDS
    return isinstance(tree, _CONTROL_TYPES)


class Classification:
    """Filter that turns an authenticated request into a classified :class:`Request`.

    Outlets: ``next``, ``reply``.
    """

    next_tick: float | None = None

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if not isinstance(message, AuthenticatedRequest):
            return (Emission("next", message),)
        try:
            return (Emission("next", self._classify(message)),)
        except StatementError as error:
            refusal = Refusal(
                request_id=message.caller.request_id,
                code=RefusalCode.BAD_REQUEST,
                outcome=Outcome.NOT_RUN,
                step="classification",
                message=error.message,
            )
            return (Emission("reply", refusal),)

    def tick(self, now: float) -> Sequence[Emission]:
        return ()

    def _classify(self, message: AuthenticatedRequest) -> Request:
        caller = message.caller
        statement = None
        if caller.action in (Action.STATEMENT, Action.TRANSACTION_STATEMENT):
            statement = _make_statement(caller)
        session = caller.session
        position = ORIGIN
        if session is not None and session.group == message.group:
            position = session.position
        return Request(
            request_id=caller.request_id,
            action=caller.action,
            workspace=message.workspace,
            key_id=message.key_id,
            group=message.group,
            statement=statement,
            idempotency_key=caller.idempotency_key,
            staleness_seconds=caller.staleness_seconds,
            minimum_position=position,
            transaction_id=caller.transaction_id,
            deadline=caller.deadline,
        )


def _make_statement(caller: CallerRequest) -> Statement:
    kind = classify_sql(caller.sql)
    if caller.declared_kind is StatementKind.WRITE:
        kind = StatementKind.WRITE
    return Statement(
        sql=caller.sql,
        parameters=caller.parameters,
        kind=kind,
        idempotent=kind is StatementKind.READ or caller.declared_idempotent,
    )
