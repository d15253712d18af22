"""One run: start all processes, inject faults, await recovery, check guarantees."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

import aiohttp

from sardinemill.emulator.object_store_server import ObjectStoreServer

from .clients import ClientPlan, SessionClient
from .databases import DATA_CENTRES, GROUP, DatabaseGroup
from .evacuations import (
    EvacuationPeriod,
    PlannedEvacuation,
    check_evacuations,
    plan_evacuations,
    run_evacuations,
)
from .faults import (
    Fault,
    FaultTargets,
    ScheduledFault,
    make_drill_schedule,
    make_schedule,
    make_stop_schedule,
)
from .history import Consistency, History, Violation, check_rate
from .instances import GRACE_PERIOD_SECONDS, InstanceProcess
from .stops import Disturbance, check_stops
from .text_clients import TextOperations
from .texts import Execution, TextLog, check_texts, count_rules

START_TIMEOUT_SECONDS = 30.0
# By the contract, service is restored within this time after the last fault.
RECOVERY_TIMEOUT_SECONDS = 15.0
CHECK_INTERVAL_SECONDS = 0.25
MAX_STALENESS_SECONDS = 1.5
# Longest delay of a chunk between instances and databases in runs of planned stops, so
# that many requests are in progress. A few statements take longer than an instance
# waits after its last request, but less than the time-out of routes.
MAX_LATENCY_SECONDS = 0.06
SLOW_STATEMENT_PROBABILITY = 0.05
SLOW_STATEMENT_SECONDS = (0.3, 0.85)
STOP_PAUSE_SECONDS = 0.03
TEXT_PAUSE_SECONDS = 0.02
# Rate limit of the workspace whose clients exceed it; the tolerance is that of the
# contract (`quota_window_s`, `quota_overshoot`, `quota_slack`).
SMALL_RATE_PER_SECOND = 20
SMALL_BURST = 20
QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20
LARGE_RATE_PER_SECOND = 2000
# Rate and burst of each workspace; clients of the last one exceed them.
WORKSPACES = {
    "hives": (LARGE_RATE_PER_SECOND, LARGE_RATE_PER_SECOND),
    "loans": (LARGE_RATE_PER_SECOND, LARGE_RATE_PER_SECOND),
    "small": (SMALL_RATE_PER_SECOND, SMALL_BURST),
}
ROUTES = {
    "bookings": (Consistency.PRIMARY, 0.0),
    "status": (Consistency.BOUNDED_STALENESS, MAX_STALENESS_SECONDS),
    "logs": (Consistency.READ_YOUR_WRITES, MAX_STALENESS_SECONDS),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """Parameters of one run; the seed determines clients and faults.

    :param seconds: time with faults.
    :param has_only_stops: whether the only faults are overlapping planned stops; they
        are waited for beyond ``seconds``, and clients keep their sessions.
    :param has_evacuations: whether data centres are evacuated besides the faults.
    :param has_only_evacuations: whether nothing else happens; only then an instance
        must have learned of each evacuation in time.
    :param n_text_clients: further clients that send unusual texts.
    :param has_only_texts: whether nothing is disturbed.
    :param has_drills: whether the store comes back from older copies besides.
    """

    seed: int
    n_instances: int = 4
    n_clients: int = 9
    seconds: float = 30.0
    has_only_stops: bool = False
    has_evacuations: bool = False
    has_only_evacuations: bool = False
    n_text_clients: int = 0
    has_only_texts: bool = False
    has_drills: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakReport:
    """Outcome of one run.

    :param n_served: operations that succeeded.
    :param n_failed: operations that were refused or not answered.
    :param n_stops: SIGTERMs.
    :param n_answered_in_stops: requests sent after SIGTERM that were answered.
    :param n_unanswered: requests whose connection ended without a complete answer.
    :param n_statements: statements that clients sent.
    :param n_executed: statements of clients that databases executed.
    :param rules: number of violations of each rule.
    :param recovery_seconds: time from the end of the faults to restored service.
    """

    plan: SoakPlan
    n_served: int
    n_failed: int
    n_faults: int
    n_promotions: int
    n_stops: int
    n_answered_in_stops: int
    n_unanswered: int
    n_statements: int
    n_executed: int
    rules: dict[str, int]
    recovery_seconds: float
    violations: tuple[Violation, ...]


def make_document(version: int = 1) -> dict[str, object]:
    """Return the configuration: a route of each kind and three workspaces."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "kind": consistency.value,
                "service": GROUP,
                "timeout_ms": 1000,
                "priority": 1,
                "max_staleness_ms": int(max_staleness_seconds * 1000),
                "allow_anonymous": False,
            }
            for host, (consistency, max_staleness_seconds) in ROUTES.items()
        ],
        "services": [{"name": GROUP, "max_connections": 90}],
        "limits": {"transaction_idle_ms": 3000},
        "tenants": [
            {
                "name": name,
                "api_keys": [f"key-{name}"],
                "requests_per_s": rate,
                "burst": burst,
            }
            for name, (rate, burst) in WORKSPACES.items()
        ],
    }


class SoakRun:
    """Starts all processes, runs a fault schedule and checks the guarantees.

    :param directory: receives settings and logs of the instances.
    """

    def __init__(self, plan: SoakPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._random = Random(plan.seed)
        self._history = History()
        self._text_log = TextLog()
        self._violations: list[Violation] = []
        self._store = ObjectStoreServer(self._promote)
        self._latency_random = Random(plan.seed)
        self._has_latency = plan.has_only_stops
        self._group = DatabaseGroup(self._store, self._choose_latency)
        self._disturbances: list[Disturbance] = []
        self._instances: list[InstanceProcess] = []
        self._clients: list[SessionClient] = []
        self._limited_clients: list[SessionClient] = []

    def _choose_latency(self, data: bytes) -> float:
        """Choose the delay of a chunk between an instance and a database."""
        if not self._has_latency:
            return 0.0
        seconds = self._latency_random.uniform(0.0, MAX_LATENCY_SECONDS)
        # The instance's own queries have the identifier "-".
        is_statement = data.startswith(b"QUERY ") and not data.startswith(b"QUERY - ")
        if is_statement and self._latency_random.random() < SLOW_STATEMENT_PROBABILITY:
            seconds += self._latency_random.uniform(*SLOW_STATEMENT_SECONDS)
        return seconds

    def _promote(self, group: str, name: str) -> bool:
        return self._group.promote(group, name)

    async def run(self) -> SoakReport:
        """Run from start to stop.

        :raises TimeoutError: when instances are not ready in time after the start.
        """
        await self._start()
        try:
            async with aiohttp.ClientSession() as http_session:
                await self._wait_until_ready(http_session, START_TIMEOUT_SECONDS)
                make = (
                    make_stop_schedule if self._plan.has_only_stops else make_schedule
                )
                schedule = make(
                    self._random, self._plan.n_instances, self._plan.seconds
                )
                if self._plan.has_only_evacuations or self._plan.has_only_texts:
                    schedule = []
                if self._plan.has_drills:
                    # A generator of its own keeps the other faults of a seed.
                    random = Random(f"drills of {self._plan.seed}")
                    schedule += make_drill_schedule(random, self._plan.seconds)
                    schedule.sort(key=lambda item: item.start_seconds)
                await self._run_with_faults(schedule)
                recovery_seconds = await self._recover(http_session)
            self._check_final_state()
        finally:
            await self._stop()
        return SoakReport(
            plan=self._plan,
            n_served=sum(len(item.admitted_at) for item in self._clients),
            n_failed=sum(item.n_failed for item in self._clients),
            n_faults=len(schedule),
            n_promotions=len(self._store.promotions),
            n_stops=sum(len(item.stops) for item in self._instances),
            n_answered_in_stops=sum(item.n_answered_in_stops for item in self._clients),
            n_unanswered=sum(len(item.unanswered) for item in self._clients),
            n_statements=len(self._text_log.sent),
            n_executed=len(self._list_executions()),
            rules=count_rules(self._violations),
            recovery_seconds=recovery_seconds,
            violations=tuple(self._violations),
        )

    async def _start(self) -> None:
        self._directory.mkdir(parents=True, exist_ok=True)
        await self._store.start()
        await self._group.start()
        self._store.put("config", "main", make_document())
        for index in range(self._plan.n_instances):
            instance = InstanceProcess(
                index, "xyz"[index % 3], self._store, self._directory
            )
            await instance.prepare()
            await instance.start()
            self._instances.append(instance)
        self._clients = [self._make_client(n) for n in range(self._plan.n_clients)]
        self._clients += [
            self._make_text_client(n) for n in range(self._plan.n_text_clients)
        ]

    def _make_client(self, index: int) -> SessionClient:
        host, (consistency, max_staleness_seconds) = list(ROUTES.items())[
            index % len(ROUTES)
        ]
        workspace = list(WORKSPACES)[index // len(ROUTES) % len(WORKSPACES)]
        pause_seconds = 0.02 if workspace == "small" else 0.15
        if self._plan.has_only_stops:
            pause_seconds = STOP_PAUSE_SECONDS
        plan = ClientPlan(
            name=f"c{index}",
            workspace=workspace,
            key=f"key-{workspace}",
            host=host,
            consistency=consistency,
            max_staleness_seconds=max_staleness_seconds,
            pause_seconds=pause_seconds,
            is_persistent=self._plan.has_only_stops,
        )
        client = SessionClient(
            plan,
            self._instances,
            self._history,
            Random(self._random.getrandbits(64)),
            time.monotonic,
            self._text_log,
        )
        if workspace == "small":
            self._limited_clients.append(client)
        return client

    def _make_text_client(self, index: int) -> SessionClient:
        """Return a client whose texts are checked; its operations meet no rate limit.

        Neighbouring clients share a workspace, the others use the same shapes too.
        """
        host, (consistency, _) = list(ROUTES.items())[index % len(ROUTES)]
        workspace = ("hives", "loans")[index // 2 % 2]
        plan = ClientPlan(
            name=f"t{index}",
            workspace=workspace,
            key=f"key-{workspace}",
            host=host,
            consistency=consistency,
            pause_seconds=TEXT_PAUSE_SECONDS,
        )
        # A generator of its own keeps the other clients and the faults of a seed.
        random = Random(f"texts {index} of {self._plan.seed}")
        operations = TextOperations(
            plan, random, lambda: f"{random.getrandbits(64):016x}"
        )
        return SessionClient(
            plan,
            self._instances,
            self._history,
            random,
            time.monotonic,
            self._text_log,
            operations,
        )

    def _list_executions(self) -> list[Execution]:
        return [
            Execution(database.name, statement)
            for database in self._group.databases.values()
            for statement in database.executed_statements
        ]

    async def _stop(self) -> None:
        # Processes first: none may be left over when a later step fails.
        for instance in self._instances:
            await instance.kill()
        for instance in self._instances:
            await instance.stop()
        await self._group.stop()
        await self._store.stop()

    async def _wait_until_ready(
        self, http_session: aiohttp.ClientSession, seconds: float
    ) -> None:
        async with asyncio.timeout(seconds):
            for instance in self._instances:
                await _retry_until_success(partial(instance.is_ready, http_session))

    async def _run_with_faults(self, schedule: Sequence[ScheduledFault]) -> None:
        """Run clients and faults; cancel and heal faults that last beyond the end."""
        targets = FaultTargets(self._instances, self._group, self._store)
        clients = [asyncio.create_task(item.run()) for item in self._clients]
        watcher = asyncio.create_task(self._watch_processes())
        evacuations = asyncio.create_task(
            run_evacuations(self._plan_evacuations(), self._store)
        )
        began_at = time.monotonic()
        faults: list[asyncio.Task[float]] = []
        fault_began_at: list[float] = []
        for item in schedule:
            await asyncio.sleep(
                max(0.0, began_at + item.start_seconds - time.monotonic())
            )
            fault_began_at.append(time.monotonic())
            faults.append(asyncio.create_task(_run_fault(item.fault, targets)))
        await asyncio.sleep(max(0.0, began_at + self._plan.seconds - time.monotonic()))
        if self._plan.has_only_stops:
            await asyncio.gather(*faults, return_exceptions=True)
        if self._plan.has_only_evacuations:
            self._check_evacuations(await evacuations)
        evacuations.cancel()
        await asyncio.gather(evacuations, return_exceptions=True)
        for task in faults:
            task.cancel()
        results: list[object] = []
        results += await asyncio.gather(*faults, return_exceptions=True)
        await self._heal()
        for item, fault_at, result in zip(
            schedule, fault_began_at, results, strict=True
        ):
            # A fault that was cancelled has lasted until it was healed.
            ended_at = result if isinstance(result, float) else time.monotonic()
            self._record_disturbance(item.fault, fault_at, ended_at)
        for running in (*clients, watcher):
            running.cancel()
        results += await asyncio.gather(*clients, watcher, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    def _plan_evacuations(self) -> list[PlannedEvacuation]:
        plan = self._plan
        if plan.has_only_texts or not (
            plan.has_evacuations or plan.has_only_evacuations
        ):
            return []
        # A generator of its own keeps the other faults of a seed as they are.
        return plan_evacuations(
            Random(f"evacuations of {plan.seed}"),
            sorted(DATA_CENTRES.values()),
            plan.seconds,
        )

    def _check_evacuations(self, periods: list[EvacuationPeriod]) -> None:
        work_times = {
            name: database.work_times
            for name, database in self._group.databases.items()
        }
        self._violations += check_evacuations(periods, DATA_CENTRES, work_times)

    def _record_disturbance(
        self, fault: Fault, began_at: float, ended_at: float
    ) -> None:
        indexes = fault.find_disturbed(self._plan.n_instances)
        names = frozenset(self._instances[index].name for index in indexes)
        if names:
            self._disturbances.append(Disturbance(names, began_at, ended_at))

    async def _watch_processes(self) -> None:
        while True:
            for instance in self._instances:
                instance.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _heal(self) -> None:
        self._has_latency = False
        self._store.is_down = False
        self._store.n_lost_answers = 0
        await self._group.heal()
        for instance in self._instances:
            await instance.heal()

    async def _recover(self, http_session: aiohttp.ClientSession) -> float:
        """Wait until clients within their rate limit are served at every instance.

        :returns: seconds until then; a time-out is recorded as a violation.
        """
        began_at = time.monotonic()
        clients = [item for item in self._clients if item not in self._limited_clients]
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
                await self._wait_until_ready(http_session, RECOVERY_TIMEOUT_SECONDS)
                await asyncio.gather(
                    *(self._run_at_all_instances(item) for item in clients)
                )
        except TimeoutError:
            detail = f"service not restored within {RECOVERY_TIMEOUT_SECONDS} s"
            self._violations.append(Violation("RECOVERY", detail))
        return time.monotonic() - began_at

    async def _run_at_all_instances(self, client: SessionClient) -> None:
        """Wait until a client is served at each instance."""
        for instance in self._instances:
            await _retry_until_success(
                partial(client.run_session, instance, n_operations=3)
            )

    def _check_final_state(self) -> None:
        """Collect violations, and check the log, isolation and rate limit."""
        log = self._group.primary.log
        commits = [tuple(value for _, value in commit.writes) for commit in log]
        self._violations += self._history.check_log(commits)
        for client in self._clients:
            self._violations += client.violations
        for instance in self._instances:
            self._violations += instance.violations
        self._violations += check_stops(
            (request for client in self._clients for request in client.unanswered),
            [stop for instance in self._instances for stop in instance.stops],
            self._disturbances,
            self._group.list_ended_statements(),
            stop_timeout_seconds=GRACE_PERIOD_SECONDS,
        )
        for database in self._group.databases.values():
            for statement in database.executed_statements:
                words = statement.text.split()
                items = [word for word in words if word.split("-")[0] in WORKSPACES]
                if any(item.split("-")[0] != statement.workspace for item in items):
                    detail = (
                        f"{statement.workspace} ran {statement.text} at {database.name}"
                    )
                    self._violations.append(Violation("MIXED", detail))
        self._violations += check_texts(self._text_log.sent, self._list_executions())
        self._violations += check_rate(
            (at for client in self._limited_clients for at in client.admitted_at),
            rate=SMALL_RATE_PER_SECOND,
            burst=SMALL_BURST,
            window_seconds=QUOTA_WINDOW_SECONDS,
            overshoot=QUOTA_OVERSHOOT,
            slack=QUOTA_SLACK,
        )


async def _run_fault(fault: Fault, targets: FaultTargets) -> float:
    """Run a fault and return the time of its end."""
    await fault.run(targets)
    return time.monotonic()


async def _retry_until_success(attempt: Callable[[], Awaitable[bool]]) -> None:
    """Repeat an attempt until it succeeds; the caller sets the time-out."""
    while True:
        if await attempt():
            return
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
