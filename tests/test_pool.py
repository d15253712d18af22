"""Connection pools: transactions, failures and connection limits."""

import asyncio
from dataclasses import replace

from builders import GROUP, make_request, make_routed, make_statement
from sardinemill.adapters.clocks import SeededRandom, SystemClock
from sardinemill.adapters.pool import PoolSet
from sardinemill.errors import (
    Outcome,
    StatementError,
    UpstreamBusy,
    UpstreamFenced,
    UpstreamUnavailable,
)
from sardinemill.messages import (
    Action,
    Dispatch,
    RefusalCode,
    UpstreamCall,
    UpstreamResult,
)
from sardinemill.replication import GroupsChanged

GROUPS = GroupsChanged(groups=(GROUP,), homes=())


class FakeConnection:
    """Returns its id as ``n_changed``; the SQL text selects a failure."""

    def __init__(self, database, connection_id):
        self.database = database
        self.connection_id = connection_id
        self.is_open = True

    async def run(self, call):
        assert self.is_open
        self.database.calls.append((self.connection_id, call.action, call.workspace))
        sql = "" if call.statement is None else call.statement.sql
        if sql == "reject":
            raise StatementError("no", step="run")
        if sql == "break":
            raise UpstreamUnavailable("gone", step="run", outcome=Outcome.UNKNOWN)
        if sql == "fence":
            raise UpstreamFenced("fenced", step="run")
        if sql == "hang":
            await asyncio.Event().wait()
        return UpstreamResult(call_id=call.call_id, n_changed=self.connection_id)

    async def close(self):
        self.is_open = False


class FakeDatabase:
    """Connector and sink of a pool set, with scripted failures.

    :param n_busy: number of first attempts to connect that meet the connection limit.
    """

    def __init__(self, n_busy=0):
        self.n_busy = n_busy
        self.n_attempts = 0
        self.connections, self.calls = [], []
        self.executions = asyncio.Queue()
        self.pools = PoolSet("a", self, SystemClock(), SeededRandom(1), self)
        self.pools.offer(GROUPS)
        self.n_requests = 0

    async def connect(self, database, *, timeout_seconds):
        self.n_attempts += 1
        if self.n_busy > 0:
            self.n_busy -= 1
            raise UpstreamBusy("limit", step="connect")
        self.connections.append(FakeConnection(self, len(self.connections)))
        return self.connections[-1]

    def offer(self, execution):
        self.executions.put_nowait(execution)
        return True

    @property
    def n_open(self):
        return sum(connection.is_open for connection in self.connections)

    def send(self, sql="", action=Action.STATEMENT, **fields):
        self.n_requests += 1
        request_id = str(self.n_requests)
        fields = {"deadline": SystemClock().now() + 20, **fields}
        request = make_request(request_id, action, **fields)
        if request.statement is not None:
            request = replace(request, statement=make_statement(sql))
        call = UpstreamCall(
            call_id=request_id,
            action=action,
            workspace=request.workspace,
            statement=request.statement,
        )
        self.pools.offer(Dispatch(routed=make_routed(request), call=call))

    async def run(self, *args, **fields):
        self.send(*args, **fields)
        return await asyncio.wait_for(self.executions.get(), 20)

    async def begin(self):
        return (await self.run(action=Action.BEGIN)).result.transaction_id


def run_with_database(test, **settings):
    """Run a test with a new database; all connections must be closed at the end."""

    async def run():
        database = FakeDatabase(**settings)
        await test(database)
        await database.pools.stop()
        assert database.n_open == 0

    asyncio.run(run())


def test_transaction_keeps_its_connection_to_itself():
    """Guards against a connection that is shared by two transactions or two workspaces,
    and against statements in a finished transaction.
    """

    async def test(database):
        ids = [await database.begin(), await database.begin()]
        assert ids[0] != ids[1] and all(item.startswith("a/") for item in ids)
        statement = Action.TRANSACTION_STATEMENT
        connection_ids = []
        for transaction_id in (*ids, *ids):
            fields = {"action": statement, "transaction_id": transaction_id}
            connection_ids.append((await database.run(**fields)).result.n_changed)
            foreign = await database.run(workspace="v", **fields)
            assert foreign.failure.code is RefusalCode.UNKNOWN_TRANSACTION
            rejected = await database.run("reject", **fields)
            assert rejected.failure.code is RefusalCode.STATEMENT
        assert (
            connection_ids[0] != connection_ids[1]
            and connection_ids[:2] == connection_ids[2:]
        )
        assert {workspace for _, _, workspace in database.calls} == {"w"}
        end_transaction = {"action": Action.COMMIT, "transaction_id": ids[0]}
        assert (await database.run(**end_transaction)).failure is None
        again = await database.run(**end_transaction)
        assert again.failure.code is RefusalCode.UNKNOWN_TRANSACTION
        assert again.failure.outcome is Outcome.UNKNOWN
        assert (await database.run()).result.n_changed == connection_ids[0]
        assert database.n_open == 2
        # Statements queued behind the end of the transaction release the worker once.
        in_transaction = {"action": statement, "transaction_id": ids[1]}
        end_transaction = {"action": Action.ROLLBACK, "transaction_id": ids[1]}
        for fields in (end_transaction, in_transaction, in_transaction, {}, {}, {}):
            database.send(**fields)
        results = [await database.executions.get() for _ in range(6)]
        refused = [item for item in results if item.failure is not None]
        assert [item.routed.request.action for item in refused] == [statement] * 2

    run_with_database(test)


def test_connection_in_undefined_state_is_closed():
    """Guards against the reuse of a connection that has an open transaction, a call in
    flight or an unknown state.
    """

    async def test(database):
        first = await database.begin()
        in_transaction = {
            "action": Action.TRANSACTION_STATEMENT,
            "transaction_id": first,
        }
        broken = await database.run("break", **in_transaction)
        assert broken.failure.outcome is Outcome.UNKNOWN
        assert not database.connections[0].is_open
        gone = await database.run(**in_transaction)
        assert gone.failure.code is RefusalCode.UNKNOWN_TRANSACTION
        timed_out = await database.run("hang", deadline=SystemClock().now() + 0.05)
        assert timed_out.failure.code is RefusalCode.DEADLINE
        assert timed_out.failure.outcome is Outcome.UNKNOWN
        assert not database.connections[1].is_open
        assert (await database.run()).result.n_changed == 2
        in_transaction["transaction_id"] = await database.begin()
        assert (await database.run("fence", **in_transaction)).failure is not None
        assert not database.connections[2].is_open

    run_with_database(test)


def test_connection_limit_delays_work_until_its_deadline():
    """Guards against a failure of requests that a busy database could run later, and
    against an unbounded wait.
    """

    async def test(database):
        assert (await database.run()).failure is None
        database.n_busy = 1_000_000
        for _ in range(4):
            database.send()
        results = [await database.executions.get() for _ in range(4)]
        assert [item.result.n_changed for item in results] == [0] * 4
        await database.run("break")
        late = await database.run(deadline=SystemClock().now() + 0.05)
        assert late.failure.code is RefusalCode.DEADLINE
        assert late.failure.outcome is Outcome.NOT_RUN
        # Retries are delayed; without a delay there would be thousands of attempts.
        assert database.n_attempts < 100

    run_with_database(test, n_busy=2)


def test_removed_database_finishes_transactions_and_takes_no_work():
    """Guards against connections that stay open after a change of homes, and against
    the abort of an open transaction.
    """

    async def test(database):
        transaction_id = await database.begin()
        await database.run()
        database.pools.offer(GroupsChanged(groups=(), homes=()))
        refused = await database.run()
        assert refused.failure.code is RefusalCode.NO_HOME
        assert database.n_open == 1
        end_transaction = {"action": Action.COMMIT, "transaction_id": transaction_id}
        assert (await database.run(**end_transaction)).failure is None
        for _ in range(100):
            await asyncio.sleep(0)
        assert database.n_open == 0

    run_with_database(test)
