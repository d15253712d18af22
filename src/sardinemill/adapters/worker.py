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

_BOUND_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)
_CODES: tuple[tuple[type[SardinemillError], RefusalCode], ...] = (
    (StatementError, RefusalCode.STATEMENT),
    (UpstreamFenced, RefusalCode.NO_PRIMARY),
    (UpstreamBusy, RefusalCode.OVERLOADED),
    (UpstreamUnavailable, RefusalCode.UPSTREAM),
)


@dataclass(frozen=True, slots=True)
class PinnedTransaction:
    """Transaction that is open on a connection."""

    transaction_id: str
    workspace: str


def find_code(error: SardinemillError) -> RefusalCode:
    """Map an error of an upstream to the code of a refusal."""
    for kind, code in _CODES:
        if isinstance(error, kind):
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
    """Make the execution of a request that got no result."""
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

    :param make_transaction_id: makes an id that was never used before.
    :param report: receives the execution of each dispatch.
    :param give_back: receives a dispatch that met the database's connection limit.
    """

    def __init__(
        self,
        database: DatabaseDescription,
        connector: UpstreamConnector,
        clock: Clock,
        *,
        make_transaction_id: Callable[[], str],
        report: Callable[["ConnectionWorker", Execution], None],
        give_back: Callable[["ConnectionWorker", Dispatch], None],
    ) -> None:
        self._database = database
        self._connector = connector
        self._clock = clock
        self._make_transaction_id = make_transaction_id
        self._report = report
        self._give_back = give_back
        self._inbox: asyncio.Queue[Dispatch] = asyncio.Queue()
        self._connection: UpstreamConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self.transaction: PinnedTransaction | None = None
        # Dispatches that were neither reported nor given back.
        self.n_outstanding = 0

    @property
    def is_connected(self) -> bool:
        """Whether a dispatch would find an open connection."""
        return self._connection is not None

    def offer(self, dispatch: Dispatch) -> None:
        """Queue a dispatch for this connection."""
        self.n_outstanding += 1
        self._inbox.put_nowait(dispatch)

    def start(self, name: str) -> None:
        """Start the task.

        :param name: task name.
        """
        self._task = asyncio.create_task(self._run(), name=name)

    async def stop(self) -> None:
        """End the task and close the connection; an open transaction rolls back."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while True:
                await self._serve(await self._inbox.get())
        finally:
            await self._close()

    async def _close(self) -> None:
        connection, self._connection = self._connection, None
        self.transaction = None
        if connection is not None:
            await connection.close()

    async def _serve(self, dispatch: Dispatch) -> None:
        refusal = self._check(dispatch.routed)
        if refusal is not None:
            self._finish(refusal)
            return
        try:
            await self._connect()
        except UpstreamBusy:
            self.n_outstanding -= 1
            self._give_back(self, dispatch)
            return
        except Exception as error:
            # Nothing was sent, whatever the connector knows about the failure.
            code, text = RefusalCode.INTERNAL, f"unexpected {type(error).__name__}"
            if isinstance(error, SardinemillError):
                code, text = find_code(error), error.message
            self._finish(make_failure(dispatch.routed, code, Outcome.NOT_RUN, text))
            return
        # Opening the connection may have taken the rest of the time.
        refusal = self._check(dispatch.routed)
        self._finish(refusal or await self._execute(dispatch))

    def _finish(self, execution: Execution) -> None:
        self.n_outstanding -= 1
        self._report(self, execution)

    def _check(self, routed: RoutedRequest) -> Execution | None:
        """Refuse work that is too late or not of the open transaction."""
        request = routed.request
        if request.deadline <= self._clock.now():
            return make_failure(
                routed, RefusalCode.DEADLINE, Outcome.NOT_RUN, "the deadline passed"
            )
        if request.action not in _BOUND_ACTIONS:
            return None
        wanted = PinnedTransaction(request.transaction_id or "", request.workspace)
        if self.transaction == wanted:
            return None
        return refuse_unknown_transaction(routed)

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
            # The connection is intact; a transaction that failed to end is not.
            if routed.request.action in (Action.COMMIT, Action.ROLLBACK):
                await self._close()
            return self._fail(routed, error.message, error, started_at)
        except SardinemillError as error:
            if self._must_close(error):
                await self._close()
            return self._fail(routed, error.message, error, started_at)
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
            # A fault of an adapter must not end the task and lose the reply.
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
            result=self._note_transaction(routed, result),
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
        """Tell whether the connection may be half used after an error."""
        return (
            self.transaction is not None
            or error.outcome is not Outcome.NOT_RUN
            or isinstance(error, UpstreamUnavailable)
        )

    def _fail(
        self,
        routed: RoutedRequest,
        message: str,
        error: SardinemillError,
        started_at: float,
    ) -> Execution:
        return make_failure(
            routed,
            find_code(error),
            Outcome(error.outcome),
            message,
            self._clock.now() - started_at,
        )

    def _note_transaction(
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


def refuse_unknown_transaction(routed: RoutedRequest) -> Execution:
    """Make the failure of a statement whose transaction is not open here.

    A repeated commit may have taken effect the first time.
    """
    is_commit = routed.request.action is Action.COMMIT
    return make_failure(
        routed,
        RefusalCode.UNKNOWN_TRANSACTION,
        Outcome.UNKNOWN if is_commit else Outcome.NOT_RUN,
        "the transaction is not open on this connection",
    )
