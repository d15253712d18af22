"""Transaction state that a successful message has to leave at its database."""

from ..errors import UpstreamUnavailable
from ..sessions.connections import SetupStep
from ..sessions.messages import SessionState, TransactionStep
from .answers import QueryReply
from .wire import STATE_LETTERS

IDLE = STATE_LETTERS[SessionState.IDLE]
IN_TRANSACTION = STATE_LETTERS[SessionState.IN_TRANSACTION]
_STATES_AFTER_STATEMENT = {
    TransactionStep.NONE: IDLE,
    TransactionStep.FIRST: IN_TRANSACTION,
    TransactionStep.LATER: IN_TRANSACTION,
    TransactionStep.COMMIT: IDLE,
}


def check_setup_state(
    reply: QueryReply, step: SetupStep, statement_step: TransactionStep
) -> None:
    """Check the state after a setup step.

    :param statement_step: place of the client's statement in its transaction.
    :raises UpstreamUnavailable: when the state is another one.
    """
    is_pinned = statement_step in (TransactionStep.LATER, TransactionStep.COMMIT)
    _check_state(reply, IN_TRANSACTION if step.is_begin or is_pinned else IDLE)


def check_statement_state(reply: QueryReply, step: TransactionStep) -> None:
    """Check the state after a client's statement that has succeeded.

    :param step: place of the statement in its transaction.
    :raises UpstreamUnavailable: when the state is another one: the statement ran in
        another transaction than its client's, or its transaction has ended.
    """
    _check_state(reply, _STATES_AFTER_STATEMENT[step])


def _check_state(reply: QueryReply, expected: str) -> None:
    if reply.state != expected:
        raise UpstreamUnavailable(
            f"transaction state {reply.state} instead of {expected}", step="receive"
        )
