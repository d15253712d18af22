"""Checks that no acknowledged write is lost when databases restart with empty logs.

Restarts each database empty, kills another one after each readmission, and reads all
writes at the end.
"""

import asyncio
import tempfile
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import aiohttp

from sardinemill.adapters.clocks import SystemClock
from sardinemill.adapters.upstream import WebSocketConnector
from sardinemill.groups import DatabaseDescription
from sardinemill.replication import DatabaseReport

from .deployment import Deployment, DeploymentSize, make_workspaces

WORKSPACE = "bees"
N_WRITES = 20
CONNECT_SECONDS = 1.0
# Target for a failover. A readmission needs only a few reports, so that it is polled
# for the same time.
FAILOVER_TARGET_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.1
N_POLLS = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveryResult:
    """Outcome of the check.

    :param n_admitted: restarted databases that were readmitted as voters.
    :param n_acknowledged: writes that were acknowledged.
    :param n_lost: acknowledged writes that are missing at the end.
    """

    n_admitted: int
    n_acknowledged: int
    n_lost: int


class RecoveryCheck:
    """Writes and restarts in one group.

    :param deployment: running deployment with one group.
    """

    def __init__(self, deployment: Deployment, client: aiohttp.ClientSession) -> None:
        self._deployment = deployment
        self._client = client
        self._group = deployment.groups[0]
        self._write_numbers = count()
        self._acknowledged: set[int] = set()

    async def run(self) -> RecoveryResult:
        """Restart each database empty, kill another one, and count lost writes."""
        await self._create_table()
        n_admitted = 0
        databases = self._group.databases
        await self._write()
        for number, database in enumerate(databases):
            failed = databases[(number + 1) % len(databases)]
            await self._restart(database)
            n_admitted += await self._wait_until_admitted(database)
            self._deployment.databases[failed.name].kill()
            await self._write()
            await self._restart(failed)
            n_admitted += await self._wait_until_admitted(failed)
        answer = await self._run_statement("select n from hive")
        stored = set() if answer is None else {row[0] for row in answer["rows"]}
        return RecoveryResult(
            n_admitted=n_admitted,
            n_acknowledged=len(self._acknowledged),
            n_lost=len(self._acknowledged - stored),
        )

    async def _create_table(self) -> None:
        for _ in range(N_POLLS):
            if await self._run_statement("create table if not exists hive (n)"):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _restart(self, database: DatabaseDescription) -> None:
        self._deployment.databases[database.name].kill()
        self._deployment.start_database(self._group, database)
        await asyncio.to_thread(self._deployment.wait_until_database_ready, database)

    async def _wait_until_admitted(self, database: DatabaseDescription) -> bool:
        connector = WebSocketConnector(SystemClock())
        try:
            for _ in range(N_POLLS):
                if not (await _query_report(connector, database)).is_recovering:
                    return True
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            return False
        finally:
            await connector.stop()

    async def _write(self) -> None:
        """Write until ``N_WRITES`` more writes are acknowledged or the time is up."""
        n_wanted = len(self._acknowledged) + N_WRITES
        try:
            async with asyncio.timeout(2 * FAILOVER_TARGET_SECONDS):
                while len(self._acknowledged) < n_wanted:
                    number = next(self._write_numbers)
                    if await self._run_statement(f"insert into hive values ({number})"):
                        self._acknowledged.add(number)
        except TimeoutError:
            return

    async def _run_statement(self, sql: str) -> dict | None:
        """Return the answer, or ``None`` if the statement was refused."""
        headers = {"Authorization": f"Bearer {self._deployment.keys[WORKSPACE]}"}
        async with self._client.post(
            f"{self._deployment.front_url('instance-0')}/v1/statement",
            json={"sql": sql, "parameters": []},
            headers=headers,
        ) as response:
            return await response.json() if response.status == 200 else None


async def _query_report(
    connector: WebSocketConnector, database: DatabaseDescription
) -> DatabaseReport:
    control = await connector.connect_control(database, timeout_seconds=CONNECT_SECONDS)
    try:
        return await control.report(wait_for=None, timeout_seconds=CONNECT_SECONDS)
    finally:
        await control.close()


async def _run(deployment: Deployment) -> RecoveryResult:
    await deployment.put_configuration()
    await asyncio.to_thread(deployment.start_instances)
    async with aiohttp.ClientSession() as client:
        return await RecoveryCheck(deployment, client).run()


def check_recovery(log_directory: Path) -> RecoveryResult:
    """Run the check on a new deployment."""
    plans, workspaces = make_workspaces([(WORKSPACE, 500.0)], 1)
    size = DeploymentSize(
        data_centres=("almaty-0", "almaty-1", "almaty-2"),
        n_instances=3,
        n_groups=1,
        n_connections=50,
        plans=plans,
        workspaces=workspaces,
    )
    with Deployment(size, log_directory) as deployment:
        return asyncio.run(_run(deployment))


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as directory:
        print(check_recovery(Path(directory)))
