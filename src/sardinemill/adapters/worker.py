"""One database connection and the task that owns it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..errors import (
    Outcome,
    SardinemillError,
    StatementError,
    UpstreamBusy,
    UpstreamFenced,
    UpstreamUnavailable,
)
from ..groups import DatabaseDescription
from ..interfaces import Clock, UpstreamConnection, UpstreamConnector
from ..messages import (
    Action,
    Dispatch,
    Execution,
    Refusal,
    RefusalCode,
    RoutedRequest,
    UpstreamResult,
)

STEP = "execution"
CONNECT_TIMEOUT_SECONDS = 1.0

_IN_TRANSACTION_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)
_CODES_BY_ERROR: tuple[tuple[type[SardinemillError], RefusalCode], ...] = (
    (StatementError, RefusalCode.STATEMENT),
    (UpstreamFenced, RefusalCode.NO_PRIMARY),
    (UpstreamBusy, RefusalCode.OVERLOADED),
    (UpstreamUnavailable, RefusalCode.UPSTREAM),
)


@dataclass(frozen=True, slots=True)
class PinnedTransaction:
    """Open transaction to which a connection is pinned."""

    transaction_id: str
    workspace: str


def to_refusal_code(error: SardinemillError) -> RefusalCode:
    """Map an error of a database connection to the code of a refusal."""
    for error_type, code in _CODES_BY_ERROR:
        if isinstance(error, error_type):
            return code
    if error.code == "transaction closed":
        return RefusalCode.UNKNOWN_TRANSACTION
    if error.code in {code.value for code in RefusalCode}:
        return RefusalCode(error.code)
    return RefusalCode.UPSTREAM


def make_failure(
    routed: RoutedRequest,
    code: RefusalCode,
    outcome: Outcome,
    message: str,
    service_seconds: float = 0.0,
) -> Execution:
    """Make the execution that reports a failed request.

    :param service_seconds: time that the database spent on the request.
    """
    return Execution(
        routed=routed,
        result=None,
        failure=Refusal(
            request_id=routed.request.request_id,
            code=code,
            outcome=outcome,
            step=STEP,
            peer=routed.database,
            message=message,
        ),
        service_seconds=service_seconds,
    )


class ConnectionWorker:
    """Task that owns one connection and at most one open transaction.

    :param make_transaction_id: makes an id that is unique across restarts.
    :param report_execution: called with the execution of each dispatch.
    :param requeue: called with a dispatch that met the database's connection limit.
    """

    def __init__(
        self,
        database: DatabaseDescription,
        connector: UpstreamConnector,
        clock: Clock,
        *,
        make_transaction_id: Callable[[], str],
        report_execution: Callable[["ConnectionWorker", Execution], None],
        requeue: Callable[["ConnectionWorker", Dispatch], None],
    ) -> None:
        self._database = database
        self._connector = connector
        self._clock = clock
        self._make_transaction_id = make_transaction_id
        self._report_execution = report_execution
        self._requeue = requeue
        self._inbox: asyncio.Queue[Dispatch] = asyncio.Queue()
        self._connection: UpstreamConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self.transaction: PinnedTransaction | None = None
        # Dispatches that were neither reported nor queued again.
        self.n_outstanding = 0

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._connection is not None

    def offer(self, dispatch: Dispatch) -> None:
        """Queue a dispatch for this connection."""
        self.n_outstanding += 1
        self._inbox.put_nowait(dispatch)

    def start(self, name: str) -> None:
        """Start the task.

        :param name: name of the asyncio task.
        """
        self._task = asyncio.create_task(self._run(), name=name)

    async def stop(self) -> None:
        """Cancel the task and close the connection.

        The database rolls back an open transaction.
        """
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while True:
                await self._handle_dispatch(await self._inbox.get())
        finally:
            await self._close()

    async def _close(self) -> None:
        connection, self._connection = self._connection, None
        self.transaction = None
        if connection is not None:
            await connection.close()

    async def _handle_dispatch(self, dispatch: Dispatch) -> None:
        refusal = self._check_request(dispatch.routed)
        if refusal is not None:
            self._finish(refusal)
            return
        try:
            await self._connect()
        except UpstreamBusy:
            self.n_outstanding -= 1
            self._requeue(self, dispatch)
            return
        except Exception as error:
            # Nothing was sent, whatever outcome the error of the connector states.
            code, text = RefusalCode.INTERNAL, f"unexpected {type(error).__name__}"
            if isinstance(error, SardinemillError):
                code, text = to_refusal_code(error), error.message
            self._finish(make_failure(dispatch.routed, code, Outcome.NOT_RUN, text))
            return
        # The deadline may have passed while the connection was opened.
        refusal = self._check_request(dispatch.routed)
        self._finish(refusal or await self._execute(dispatch))

    def _finish(self, execution: Execution) -> None:
        self.n_outstanding -= 1
        self._report_execution(self, execution)

    def _check_request(self, routed: RoutedRequest) -> Execution | None:
        """Return a refusal for a late request or one of a transaction not open here."""
        request = routed.request
        if request.deadline <= self._clock.now():
            return make_failure(
                routed, RefusalCode.DEADLINE, Outcome.NOT_RUN, "the deadline passed"
            )
        if request.action not in _IN_TRANSACTION_ACTIONS:
            return None
        expected = PinnedTransaction(request.transaction_id or "", request.workspace)
        if self.transaction == expected:
            return None
        return make_unknown_transaction_failure(routed)

    async def _connect(self) -> None:
        if self._connection is None:
            self._connection = await self._connector.connect(
                self._database, timeout_seconds=CONNECT_TIMEOUT_SECONDS
            )

    async def _execute(self, dispatch: Dispatch) -> Execution:
        routed = dispatch.routed
        started_at = self._clock.now()
        try:
            result = await self._run_call(dispatch)
        except StatementError as error:
            # The connection stays usable, except after a failed commit or rollback: the
            # state of the transaction is then undefined.
            if routed.request.action in (Action.COMMIT, Action.ROLLBACK):
                await self._close()
            return self._make_error_failure(routed, error.message, error, started_at)
        except SardinemillError as error:
            if self._must_close(error):
                await self._close()
            return self._make_error_failure(routed, error.message, error, started_at)
        except TimeoutError:
            await self._close()
            return make_failure(
                routed,
                RefusalCode.DEADLINE,
                Outcome.UNKNOWN,
                "the database gave no answer before the deadline",
                self._clock.now() - started_at,
            )
        except Exception as error:
            # An unexpected error of an adapter must not end the task without a reply.
            await self._close()
            return make_failure(
                routed,
                RefusalCode.INTERNAL,
                Outcome.UNKNOWN,
                f"unexpected {type(error).__name__}",
                self._clock.now() - started_at,
            )
        return Execution(
            routed=routed,
            result=self._record_transaction(routed, result),
            failure=None,
            service_seconds=self._clock.now() - started_at,
        )

    async def _run_call(self, dispatch: Dispatch) -> UpstreamResult:
        assert self._connection is not None
        request = dispatch.routed.request
        call = dispatch.call
        if call.call_id != request.request_id:
            call = replace(call, call_id=request.request_id)
        async with asyncio.timeout(request.deadline - self._clock.now()):
            return await self._connection.run(call)

    def _must_close(self, error: SardinemillError) -> bool:
        """Return whether the state of the connection is undefined after an error."""
        return (
            self.transaction is not None
            or error.outcome is not Outcome.NOT_RUN
            or isinstance(error, UpstreamUnavailable)
        )

    def _make_error_failure(
        self,
        routed: RoutedRequest,
        message: str,
        error: SardinemillError,
        started_at: float,
    ) -> Execution:
        return make_failure(
            routed,
            to_refusal_code(error),
            Outcome(error.outcome),
            message,
            self._clock.now() - started_at,
        )

    def _record_transaction(
        self, routed: RoutedRequest, result: UpstreamResult
    ) -> UpstreamResult:
        request = routed.request
        if request.action is Action.BEGIN:
            transaction_id = self._make_transaction_id()
            self.transaction = PinnedTransaction(transaction_id, request.workspace)
            return replace(result, transaction_id=transaction_id)
        if request.action in (Action.COMMIT, Action.ROLLBACK):
            self.transaction = None
        return result


def make_unknown_transaction_failure(routed: RoutedRequest) -> Execution:
    """Make the failure of a request whose transaction is not open here.

    The outcome of a commit is unknown, because it may be the repetition of a commit
    that took effect.
    """
    is_commit = routed.request.action is Action.COMMIT
    return make_failure(
        routed,
        RefusalCode.UNKNOWN_TRANSACTION,
        Outcome.UNKNOWN if is_commit else Outcome.NOT_RUN,
        "the transaction is not open on this connection",
    )
