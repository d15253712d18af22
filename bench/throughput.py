"""Throughput, added latency and processor time of a statement through the proxy.

``python -m bench.throughput`` runs callers in a closed loop: each sends its next
statement once it has the answer to the last one. The same statements go over direct
WebSocket connections to the same stand-ins in the same run; the difference in latency
is the overhead of the proxy. A write through the proxy also waits for a majority of
slots, which a direct write does not.

A second table shows an open loop at the rate that the target size asks of an instance.
"""

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from sardinemill.adapters.clocks import SystemClock
from sardinemill.adapters.upstream import WebSocketConnector
from sardinemill.emulator.load import (
    CREATE_SQL,
    INSERT_SQL,
    READ_SQL,
    LoadGenerator,
    LoadPlan,
    WorkspaceLoad,
    make_histogram,
)
from sardinemill.groups import choose_homes
from sardinemill.messages import Action, Statement, StatementKind, UpstreamCall

from .deployment import Deployment, DeploymentSize, make_workspaces
from .results import print_table, write_results

N_CALLERS = (1, 8, 32)
RUN_SECONDS = 4.0
N_WARM_UP_CALLS = 100
# Bounds the length of a run if the proxy becomes much faster.
MAX_CALLS = 40_000
# One home opens a quarter of these; direct connections need at most 32 more.
N_CONNECTIONS = 160
LAG_SECONDS = 0.0015
STALENESS_SECONDS = 5.0
SETTLE_SECONDS = 4.0
# 200,000 statements a second over 620 instances.
TARGET_RATE = 322.0
TARGET_SECONDS = 10.0
RANDOM_STATE = 1
WORKSPACE = "bees"
# Three instances are homes of the only group, so that the fourth is only an entry.
N_INSTANCES = {"one instance": 1, "entry and home": 4}

Call = Callable[[int, Sequence[object]], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementType:
    """Statement that one run repeats."""

    name: str
    sql: str
    kind: StatementKind
    staleness_seconds: float | None = None


STATEMENT_TYPES = (
    StatementType(
        name="stale read",
        sql=READ_SQL,
        kind=StatementKind.READ,
        staleness_seconds=STALENESS_SECONDS,
    ),
    StatementType(name="fresh read", sql=READ_SQL, kind=StatementKind.READ),
    StatementType(name="write", sql=INSERT_SQL, kind=StatementKind.WRITE),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LoopResult:
    """Latencies of one closed loop, sorted, in seconds."""

    latencies: tuple[float, ...]
    seconds: float
    n_failed: int

    @property
    def rate(self) -> float:
        """Answered statements a second."""
        return len(self.latencies) / self.seconds

    def compute_quantile(self, share: float) -> float:
        """Return the quantile ``share`` of the latencies in milliseconds."""
        if not self.latencies:
            return float("nan")
        index = min(int(len(self.latencies) * share), len(self.latencies) - 1)
        return self.latencies[index] * 1000


async def run_loop(
    call: Call, statement: StatementType, n_callers: int, seconds: float, max_calls: int
) -> LoopResult:
    """Run callers until the time is up or ``max_calls`` were made.

    :param call: makes one call, given the caller's number and the parameters.
    """
    latencies: list[float] = []
    n_started = n_failed = 0
    begin = time.monotonic()

    async def run_caller(number: int) -> None:
        nonlocal n_started, n_failed
        random_source = random.Random(f"{RANDOM_STATE}/{number}")
        while n_started < max_calls and time.monotonic() - begin < seconds:
            n_started += 1
            parameters: list[object] = [f"session-{random_source.randrange(100)}"]
            if statement.kind is StatementKind.WRITE:
                parameters.append(n_started)
            started_at = time.monotonic()
            try:
                await call(number, parameters)
            except Exception:
                n_failed += 1
            else:
                latencies.append(time.monotonic() - started_at)

    await asyncio.gather(*(run_caller(number) for number in range(n_callers)))
    return LoopResult(
        latencies=tuple(sorted(latencies)),
        seconds=time.monotonic() - begin,
        n_failed=n_failed,
    )


class ProxyCaller:
    """Sends statements over HTTP to one entry instance."""

    def __init__(self, client: aiohttp.ClientSession, url: str, key: str) -> None:
        self._client = client
        self._url = f"{url}/v1/statement"
        self._headers = {"Authorization": f"Bearer {key}"}

    def make_call(self, statement: StatementType) -> Call:
        """Make a function that sends the statement."""
        headers = dict(self._headers)
        if statement.staleness_seconds is not None:
            headers["Accept-Staleness"] = str(statement.staleness_seconds)

        async def call(number: int, parameters: Sequence[object]) -> None:
            body = {"sql": statement.sql, "parameters": parameters}
            async with self._client.post(
                self._url, json=body, headers=headers
            ) as response:
                await response.read()
                response.raise_for_status()

        return call


async def measure_direct(
    deployment: Deployment, statement: StatementType, n_callers: int
) -> LoopResult:
    """Run a closed loop over direct connections, one for each caller.

    Writes go to the primary, reads to a replica.
    """
    databases = deployment.groups[0].databases
    is_read = statement.kind is StatementKind.READ
    database = databases[1 if is_read else 0]
    connector = WebSocketConnector(SystemClock())
    connections = [
        await connector.connect(database, timeout_seconds=5.0) for _ in range(n_callers)
    ]
    control = await connector.connect_control(database, timeout_seconds=5.0)
    report = await control.report(wait_for=None, timeout_seconds=0.0)

    async def call(number: int, parameters: Sequence[object]) -> None:
        await connections[number].run(
            UpstreamCall(
                call_id=str(number),
                action=Action.STATEMENT,
                workspace=WORKSPACE,
                statement=Statement(
                    sql=statement.sql,
                    parameters=tuple(parameters),  # type: ignore[arg-type]
                    kind=statement.kind,
                    idempotent=False,
                ),
                expected_term=0 if is_read else report.position.term,
            )
        )

    try:
        return await run_loop(call, statement, n_callers, RUN_SECONDS / 2, MAX_CALLS)
    finally:
        await connector.stop()


async def measure_type(
    deployment: Deployment,
    entry: str,
    home: str,
    statement: StatementType,
    n_callers: int,
) -> dict[str, object]:
    """Measure one statement type with one number of callers.

    :returns: the columns of the result.
    """
    direct = await measure_direct(deployment, statement, n_callers)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as client:
        caller = ProxyCaller(
            client, deployment.front_url(entry), deployment.keys[WORKSPACE]
        )
        call = caller.make_call(statement)
        await run_loop(call, statement, n_callers, RUN_SECONDS, N_WARM_UP_CALLS)
        cpu_before = _read_cpu(deployment)
        proxied = await run_loop(call, statement, n_callers, RUN_SECONDS, MAX_CALLS)
        cpu_after = _read_cpu(deployment)
    n_answered = max(1, len(proxied.latencies))

    def compute_cpu_ms(name: str) -> float:
        return round((cpu_after[name] - cpu_before[name]) / n_answered * 1000, 3)

    return {
        "statement": statement.name,
        "callers": n_callers,
        "answered": len(proxied.latencies),
        "failed": proxied.n_failed + direct.n_failed,
        "rate_per_s": round(proxied.rate, 1),
        "median_ms": round(proxied.compute_quantile(0.5), 2),
        "p99_ms": round(proxied.compute_quantile(0.99), 2),
        "direct_rate_per_s": round(direct.rate, 1),
        "added_median_ms": round(
            proxied.compute_quantile(0.5) - direct.compute_quantile(0.5), 2
        ),
        "added_p99_ms": round(
            proxied.compute_quantile(0.99) - direct.compute_quantile(0.99), 2
        ),
        "entry_cpu_ms": compute_cpu_ms(entry),
        "home_cpu_ms": compute_cpu_ms(home),
    }


async def measure_target(
    deployment: Deployment, scenario: str, entry: str, home: str
) -> dict[str, object]:
    """Send the target rate to one entry: 40% stale reads, 40% fresh reads, 20% writes.

    :returns: the columns of the result; processor time as a share of one core.
    """
    load = WorkspaceLoad(
        workspace=WORKSPACE,
        key=deployment.keys[WORKSPACE],
        rate_per_second=TARGET_RATE,
        n_sessions=64,
    )
    plan = LoadPlan(
        workspaces=(load,),
        urls=(deployment.front_url(entry),),
        duration_seconds=TARGET_SECONDS,
        random_state=RANDOM_STATE,
    )
    cpu_before, begin = _read_cpu(deployment), time.monotonic()
    report = await LoadGenerator(plan, SystemClock()).run()
    seconds = time.monotonic() - begin
    cpu_after = _read_cpu(deployment)
    histogram = make_histogram(report.samples)
    n_answered = sum(not sample.error for sample in report.samples)
    return {
        "scenario": scenario,
        "statement": "mix at target rate",
        "answered": n_answered,
        "failed": len(report.samples) - n_answered,
        "violations": len(report.violations),
        "rate_per_s": round(n_answered / seconds, 1),
        "median_ms": round(histogram.get_value_at_percentile(50) / 1000, 2),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1000, 2),
        "entry_cores": round((cpu_after[entry] - cpu_before[entry]) / seconds, 3),
        "home_cores": round((cpu_after[home] - cpu_before[home]) / seconds, 3),
    }


def _read_cpu(deployment: Deployment) -> dict[str, float]:
    return {
        name: process.read_cpu_seconds()
        for name, process in deployment.instances.items()
    }


async def _create_table(deployment: Deployment, entry: str) -> None:
    statement = StatementType(name="", sql=CREATE_SQL, kind=StatementKind.WRITE)
    async with aiohttp.ClientSession() as client:
        url = deployment.front_url(entry)
        call = ProxyCaller(client, url, deployment.keys[WORKSPACE]).make_call(statement)
        await call(0, ())


def make_size(n_instances: int) -> DeploymentSize:
    """Return one group in one data centre, and a workspace that is never limited."""
    plans, workspaces = make_workspaces([(WORKSPACE, 100_000.0)], 1)
    return DeploymentSize(
        data_centres=("dc-0",),
        n_instances=n_instances,
        n_groups=1,
        n_connections=N_CONNECTIONS,
        plans=plans,
        workspaces=workspaces,
        lag_seconds=LAG_SECONDS,
    )


async def _measure_deployment(
    deployment: Deployment, scenario: str
) -> tuple[list[dict[str, object]], dict[str, object]]:
    names = [(name, "dc-0") for name in deployment.instances]
    homes = choose_homes("group-0", names)
    entry = next((name for name in deployment.instances if name not in homes), homes[0])
    await _create_table(deployment, entry)
    rows: list[dict[str, object]] = []
    for statement in STATEMENT_TYPES:
        for n_callers in N_CALLERS:
            columns = await measure_type(
                deployment, entry, homes[0], statement, n_callers
            )
            rows.append({"scenario": scenario, **columns})
    return rows, await measure_target(deployment, scenario, entry, homes[0])


def run_throughput(scenarios: Sequence[str]) -> None:
    """Measure the scenarios, print two tables and append the rows to the results."""
    rows: list[dict[str, object]] = []
    target_rows: list[dict[str, object]] = []
    for scenario in scenarios:
        n_instances = N_INSTANCES[scenario]
        with (
            tempfile.TemporaryDirectory() as logs,
            Deployment(make_size(n_instances), Path(logs)) as deployment,
        ):
            asyncio.run(deployment.put_configuration())
            deployment.start_instances()
            time.sleep(SETTLE_SECONDS)
            loops, target = asyncio.run(_measure_deployment(deployment, scenario))
            rows += loops
            target_rows.append(target)
    print_table(rows)
    print_table(target_rows)
    rows += target_rows
    common_columns = {
        "random_state": RANDOM_STATE,
        "n_connections": N_CONNECTIONS,
        "lag_seconds": LAG_SECONDS,
        "run_seconds": RUN_SECONDS,
    }
    sizes = [{"n_instances": N_INSTANCES[str(row["scenario"])]} for row in rows]
    path = write_results(
        "throughput",
        [
            {**row, **size, **common_columns}
            for row, size in zip(rows, sizes, strict=True)
        ],
    )
    print(f"written to {path.name}")


if __name__ == "__main__":
    run_throughput(sys.argv[1:] or list(N_INSTANCES))
