"""Request path from authentication to an in-memory database and back."""

import asyncio

from sardinemill.adapters.clocks import SystemClock
from sardinemill.adapters.memory_upstream import MemoryConnector
from sardinemill.adapters.pool import ConnectionPool
from sardinemill.application import Application, TaskComponent
from sardinemill.configuration import (
    Configuration,
    ConfigurationChanged,
    ConfigurationConfirmed,
    Key,
    Plan,
    Workspace,
    hash_key,
)
from sardinemill.filters.authentication import Authentication, StrictKeyPolicy
from sardinemill.filters.classification import Classification
from sardinemill.groups import Address, DatabaseDescription
from sardinemill.messages import (
    Action,
    CallerRequest,
    Dispatch,
    Execution,
    Refusal,
    RefusalCode,
    Request,
    RoutedRequest,
    UpstreamCall,
)
from sardinemill.pipeline import Stage
from sardinemill.positions import ORIGIN

DATABASE = DatabaseDescription(
    name="hives-1",
    group="hives",
    slot=0,
    data_centre="almaty-1",
    address=Address("127.0.0.1", 1),
    n_connections=8,
)
CONFIGURATION = Configuration(
    version=1,
    plans={"small": Plan(name="small", rate_per_second=10, burst=10)},
    workspaces={"bees": Workspace(name="bees", plan="small", group="hives")},
    keys={"k1": Key(key_id="k1", workspace="bees", digest=hash_key("secret"))},
    groups={},
)


class DispatchOutlet:
    """Outlet that dispatches each request to the pool of the only database."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def offer(self, message: object) -> bool:
        assert isinstance(message, Request)
        routed = RoutedRequest(
            request=message,
            database="hives-1",
            minimum_position=ORIGIN,
            is_replica=False,
        )
        call = UpstreamCall(
            call_id=message.request_id,
            action=message.action,
            workspace=message.workspace,
            statement=message.statement,
        )
        return self._pool.offer(Dispatch(routed=routed, call=call))


class ReplyCollector:
    """Outlet that collects the messages that leave the pipeline."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[object] = asyncio.Queue()

    def offer(self, message: object) -> bool:
        self.queue.put_nowait(message)
        return True


def make_call(request_id: str, sql: str, key: str | None = "secret") -> CallerRequest:
    return CallerRequest(
        request_id=request_id,
        action=Action.STATEMENT,
        key=key,
        sql=sql,
        deadline=SystemClock().now() + 10,
    )


def test_statement_runs_and_unknown_key_is_refused():
    """Guards against a request that runs without a valid key."""

    async def run():
        clock = SystemClock()
        replies = ReplyCollector()
        pool = ConnectionPool(DATABASE, 2, MemoryConnector(), clock, replies)
        authentication = Stage(
            "authentication", Authentication(StrictKeyPolicy()), clock
        )
        classification = Stage("classification", Classification(), clock)
        authentication.bind({"next": classification, "reply": replies})
        classification.bind({"next": DispatchOutlet(pool), "reply": replies})
        application = Application(
            [
                pool,
                TaskComponent("classification", classification),
                TaskComponent("authentication", authentication),
            ]
        )
        await application.start()
        authentication.offer(ConfigurationChanged(configuration=CONFIGURATION))
        authentication.offer(
            ConfigurationConfirmed(version=1, confirmed_at=clock.now())
        )
        outcomes = []
        for call in (
            make_call("1", "create table hive (name text)"),
            make_call("2", "insert into hive values ('north')"),
            make_call("3", "select name from hive"),
            make_call("4", "select name from hive", key="foreign"),
        ):
            authentication.offer(call)
            outcomes.append(await replies.queue.get())
        assert await application.stop() == []
        return outcomes

    outcomes = asyncio.run(run())
    read, refused = outcomes[2], outcomes[3]
    assert isinstance(read, Execution) and read.result is not None
    assert read.result.rows == (("north",),)
    assert isinstance(refused, Refusal)
    assert refused.code is RefusalCode.UNAUTHORIZED
