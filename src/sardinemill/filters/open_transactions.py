"""Open transactions of one home: order of statements and idle timeout."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from ..errors import Outcome
from ..messages import Action, Execution, RefusalCode, Request, RoutedRequest
from ..positions import ORIGIN
from .queueing import QueuedWork

# The databases roll back after 15 s without a statement. The home does so earlier, so
# that callers get a refusal with a specific code.
IDLE_TIMEOUT_SECONDS = 10.0
# Rolled-back transactions that are remembered, so that a late commit is refused as *not
# run* instead of *unknown*.
N_REMEMBERED_ROLLBACKS = 1024

IN_TRANSACTION_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionStart:
    """Properties of a transaction that are set by its begin.

    :param expected_term: term of the primary at the begin.
    :param expected_seconds: cost that the queue policy assumed.
    :param started_at: monotonic seconds.
    """

    transaction_id: str
    key_id: str
    workspace: str
    database: str
    expected_term: int
    expected_seconds: float
    started_at: float


class OpenTransaction:
    """Open transaction; its statements run in order, one at a time.

    :param start: properties that are set by the begin.
    :ivar waiting: statements that wait for an earlier one, by request id.
    :ivar running: request id of the running statement, or ``None``.
    :ivar is_ending: whether the home is rolling the transaction back.
    :ivar idle_deadline: monotonic seconds at which an idle transaction is rolled back.
    """

    def __init__(self, start: TransactionStart) -> None:
        self.start = start
        self.waiting: OrderedDict[str, QueuedWork] = OrderedDict()
        self.running: str | None = None
        self.is_ending = False
        self.idle_deadline = start.started_at + IDLE_TIMEOUT_SECONDS

    @property
    def is_idle(self) -> bool:
        """Whether no statement runs or waits."""
        return self.running is None and not self.waiting

    def pop_next(self) -> QueuedWork | None:
        """Remove and return the oldest statement, or ``None`` while one is running."""
        if self.running is not None or not self.waiting:
            return None
        _, work = self.waiting.popitem(last=False)
        return work


def ends_transaction(execution: Execution) -> bool:
    """Return whether a statement with this outcome ended its transaction.

    A statement that the database rejected leaves the transaction open; every other
    failure closes its connection.
    """
    if execution.routed.request.action in (Action.COMMIT, Action.ROLLBACK):
        return True
    failure = execution.failure
    return failure is not None and failure.code is not RefusalCode.STATEMENT


def is_certainly_rolled_back(execution: Execution) -> bool:
    """Return whether a transaction that has ended was certainly rolled back.

    The database rolls back when its connection closes, so only a commit that may have
    run leaves the outcome uncertain.
    """
    if execution.routed.request.action is not Action.COMMIT:
        return True
    failure = execution.failure
    return failure is not None and failure.outcome is Outcome.NOT_RUN


def make_rollback(start: TransactionStart, deadline: float) -> RoutedRequest:
    """Return the rollback of an abandoned transaction.

    :param deadline: monotonic seconds.
    """
    return RoutedRequest(
        request=Request(
            request_id=f"{start.transaction_id}/rollback",
            action=Action.ROLLBACK,
            workspace=start.workspace,
            key_id=start.key_id,
            group="",
            statement=None,
            transaction_id=start.transaction_id,
            deadline=deadline,
        ),
        database=start.database,
        minimum_position=ORIGIN,
        is_replica=False,
        expected_term=start.expected_term,
    )


class TransactionTable:
    """Open transactions by id."""

    def __init__(self) -> None:
        self._open: dict[str, OpenTransaction] = {}
        self._rolled_back: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, start: TransactionStart) -> OpenTransaction:
        """Add a transaction whose begin succeeded."""
        transaction = OpenTransaction(start)
        self._open[start.transaction_id] = transaction
        return transaction

    def get(self, transaction_id: str | None) -> OpenTransaction | None:
        """Return a transaction, even if it is being rolled back, or ``None``."""
        return self._open.get(transaction_id or "")

    def find_open(self, request: Request) -> OpenTransaction | None:
        """Return the open transaction of a request, or ``None``."""
        transaction = self.get(request.transaction_id)
        if transaction is None or transaction.is_ending:
            return None
        if transaction.start.workspace != request.workspace:
            return None
        return transaction

    def may_have_committed(self, transaction_id: str | None) -> bool:
        """Return whether an earlier commit of the transaction may have taken effect."""
        key = transaction_id or ""
        return key not in self._open and key not in self._rolled_back

    def remove(
        self, transaction: OpenTransaction, *, is_rolled_back: bool
    ) -> Iterator[QueuedWork]:
        """Remove a transaction and yield its statements that never ran.

        :param is_rolled_back: whether it is certain that no commit took effect.
        """
        transaction_id = transaction.start.transaction_id
        del self._open[transaction_id]
        if is_rolled_back:
            self._rolled_back[transaction_id] = None
            if len(self._rolled_back) > N_REMEMBERED_ROLLBACKS:
                self._rolled_back.popitem(last=False)
        while transaction.waiting:
            yield transaction.waiting.popitem(last=False)[1]
