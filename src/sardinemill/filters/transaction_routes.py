"""Routes of open transactions to the databases that they began on."""

from ..messages import Action, Execution, RefusalCode

# An entry must outlive its transaction, which is rolled back after 10 s without a
# statement.
TRANSACTION_LIFETIME_SECONDS = 60.0

_TRANSACTION_LOST_CODES = (RefusalCode.UPSTREAM, RefusalCode.UNKNOWN_TRANSACTION)


class TransactionRoutes:
    """Maps each open transaction to the database that ran its begin."""

    def __init__(self) -> None:
        # Database and time of last use, least recently used first.
        self._entries: dict[str, tuple[str, float]] = {}

    def find_database(self, transaction_id: str, now: float) -> str | None:
        """Return the database of an open transaction, or ``None``."""
        entry = self._entries.pop(transaction_id, None)
        if entry is None:
            return None
        self._entries[transaction_id] = (entry[0], now)
        return entry[0]

    def handle_execution(self, execution: Execution, now: float) -> None:
        """Add a transaction after its begin, remove it after its end or a failure."""
        request = execution.routed.request
        result = execution.result
        if request.action is Action.BEGIN:
            if result is not None and result.transaction_id is not None:
                entry = (execution.routed.database, now)
                self._entries[result.transaction_id] = entry
                self._prune(now)
        elif request.transaction_id is not None and _has_ended(execution):
            self._entries.pop(request.transaction_id, None)

    def _prune(self, now: float) -> None:
        oldest = next(iter(self._entries))
        if self._entries[oldest][1] < now - TRANSACTION_LIFETIME_SECONDS:
            del self._entries[oldest]


def _has_ended(execution: Execution) -> bool:
    if execution.failure is not None:
        return execution.failure.code in _TRANSACTION_LOST_CODES
    return execution.routed.request.action is not Action.TRANSACTION_STATEMENT
