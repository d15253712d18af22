"""Open-loop load generator that checks the consistency guarantees.

Each session inserts increasing numbers and reads back the highest one. The outcomes of
the inserts determine which numbers must be present, must be absent, or may be either.
"""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from ..interfaces import Clock

CREATE_SQL = "create table if not exists event (session text, number integer)"
INSERT_SQL = "insert into event values (?, ?)"
READ_SQL = "select max(number) from event where session = ?"
CONTENT_SQL = "select session, number, count(*) from event group by session, number"

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 120_000_000
_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceLoad:
    """Load of one workspace.

    :param rate_per_second: mean arrival rate; interarrival times are exponential.
    :param read_share: fraction of the requests that are reads.
    :param stale_share: fraction of the reads that accept ``staleness_seconds``.
    """

    workspace: str
    key: str = field(repr=False)
    rate_per_second: float
    n_sessions: int = 8
    read_share: float = 0.8
    stale_share: float = 0.5
    staleness_seconds: float = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """Load of a run.

    :param urls: entry instances; each request picks one at random.
    :param random_state: seed of arrivals and random choices.
    :param name: part of the session names; runs against the same tables need distinct
        names.
    :param uses_idempotency_keys: whether writes carry a key and are retried once when
        their outcome is unknown.
    """

    workspaces: tuple[WorkspaceLoad, ...]
    urls: tuple[str, ...]
    duration_seconds: float
    random_state: int
    name: str = "run"
    request_timeout_seconds: float = 5.0
    uses_idempotency_keys: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Measurement of one finished request.

    :param started_at: time at which the request was due, so that a late start counts
        as latency.
    :param from_replica: whether a replica answered.
    :param error: ``""`` for an answer, else the refusal code, ``"refused connection"``
        when no instance accepted a connection, or ``"connection"`` when it broke or
        timed out.
    :param outcome: ``done``, ``not run`` or ``unknown``.
    """

    workspace: str
    started_at: float
    latency_seconds: float
    is_read: bool
    from_replica: bool
    error: str
    outcome: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """Violation of a consistency guarantee.

    :param guarantee: name of the guarantee.
    """

    guarantee: str
    workspace: str
    session: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Samples and violations of a run."""

    samples: tuple[Sample, ...]
    violations: tuple[Violation, ...]


class _SessionState:
    """State of one session, which sends one request at a time.

    :ivar due_times: times at which requests are due; ``None`` ends the session.
    :ivar last_acknowledged: highest number whose insert was acknowledged.
    :ivar outcomes: outcome of each number's insert.
    """

    def __init__(self, load: WorkspaceLoad, name: str) -> None:
        self.load = load
        self.name = name
        self.token = ""
        self.due_times: asyncio.Queue[float | None] = asyncio.Queue()
        self.last_number = 0
        self.last_acknowledged = 0
        self.outcomes: dict[int, str] = {}


class LoadGenerator:
    """Sends the load of a plan.

    :param clock: clock for latencies and arrivals.
    """

    def __init__(self, plan: LoadPlan, clock: Clock) -> None:
        self._plan = plan
        self._clock = clock
        self._random = random.Random(plan.random_state)
        self._samples: list[Sample] = []
        self._violations: list[Violation] = []

    async def run(self) -> LoadReport:
        """Create the tables, send the load, and check tables against answers."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as client:
            await self._create_tables(client)
            sessions = [
                _SessionState(load, f"{self._plan.name}-{load.workspace}-{number}")
                for load in self._plan.workspaces
                for number in range(load.n_sessions)
            ]
            async with asyncio.TaskGroup() as group:
                for session in sessions:
                    group.create_task(self._run_session(client, session))
                for load in self._plan.workspaces:
                    own_sessions = [item for item in sessions if item.load is load]
                    group.create_task(self._schedule_arrivals(load, own_sessions))
            await self._check_contents(client, sessions)
        return LoadReport(
            samples=tuple(self._samples), violations=tuple(self._violations)
        )

    async def _create_tables(self, client: aiohttp.ClientSession) -> None:
        for load in self._plan.workspaces:
            # Retried, since the instances may not be ready yet.
            for _ in range(50):
                status, _, _ = await self._post(client, load, CREATE_SQL, [], {})
                if status == 200:
                    break
                await self._clock.sleep(0.2)

    async def _schedule_arrivals(
        self, load: WorkspaceLoad, sessions: Sequence[_SessionState]
    ) -> None:
        rng = random.Random(f"{self._plan.random_state}/{load.workspace}")
        started_at = self._clock.now()
        due_at = started_at
        while True:
            due_at += rng.expovariate(load.rate_per_second)
            if due_at - started_at > self._plan.duration_seconds:
                break
            delay = due_at - self._clock.now()
            if delay > 0:
                await self._clock.sleep(delay)
            rng.choice(sessions).due_times.put_nowait(due_at)
        for session in sessions:
            session.due_times.put_nowait(None)

    async def _run_session(
        self, client: aiohttp.ClientSession, session: _SessionState
    ) -> None:
        rng = random.Random(f"{self._plan.random_state}/{session.name}")
        while (due_at := await session.due_times.get()) is not None:
            if rng.random() < session.load.read_share:
                accepts_staleness = rng.random() < session.load.stale_share
                await self._read(client, session, due_at, accepts_staleness)
            else:
                await self._write(client, session, due_at)

    async def _read(
        self,
        client: aiohttp.ClientSession,
        session: _SessionState,
        due_at: float,
        accepts_staleness: bool,
    ) -> None:
        headers = {"Session-Token": session.token} if session.token else {}
        if accepts_staleness:
            headers["Accept-Staleness"] = str(session.load.staleness_seconds)
        status, document, _ = await self._post(
            client, session.load, READ_SQL, [session.name], headers
        )
        self._record_sample(session, due_at, True, status, document)
        if status != 200:
            return
        number = document["rows"][0][0] or 0
        if number < session.last_acknowledged:
            self._record_violation(
                "read-your-writes",
                session,
                f"read {number} after {session.last_acknowledged} was acknowledged",
            )

    async def _write(
        self, client: aiohttp.ClientSession, session: _SessionState, due_at: float
    ) -> None:
        session.last_number += 1
        number = session.last_number
        headers = {"Session-Token": session.token} if session.token else {}
        if self._plan.uses_idempotency_keys:
            headers["Idempotency-Key"] = f"{session.name}/{number}"
        parameters = [session.name, number]
        status, document, token = await self._post(
            client, session.load, INSERT_SQL, parameters, headers
        )
        if self._plan.uses_idempotency_keys and document["outcome"] == "unknown":
            status, document, token = await self._post(
                client, session.load, INSERT_SQL, parameters, headers
            )
            if document["outcome"] == "not run":
                # The first attempt may nevertheless have run.
                document = {**document, "outcome": "unknown"}
        self._record_sample(session, due_at, False, status, document)
        session.outcomes[number] = str(document["outcome"])
        if token:
            session.token = token
        if status == 200:
            session.last_acknowledged = number

    async def _post(
        self,
        client: aiohttp.ClientSession,
        load: WorkspaceLoad,
        sql: str,
        parameters: Sequence[object],
        headers: Mapping[str, str],
    ) -> tuple[int, dict, str]:
        # Like the platform's load balancer, skips instances that refuse connections.
        for url in self._random.sample(self._plan.urls, len(self._plan.urls)):
            result = await self._post_to(client, url, load, sql, parameters, headers)
            if result[1].get("error") != "refused connection":
                break
        return result

    async def _post_to(
        self,
        client: aiohttp.ClientSession,
        url: str,
        load: WorkspaceLoad,
        sql: str,
        parameters: Sequence[object],
        headers: Mapping[str, str],
    ) -> tuple[int, dict, str]:
        timeout = self._plan.request_timeout_seconds
        all_headers = {
            "Authorization": f"Bearer {load.key}",
            "Request-Timeout": str(timeout),
            **headers,
        }
        try:
            # The additional 2 s let the instance report its own time-out first.
            async with client.post(
                f"{url}/v1/statement",
                json={"sql": sql, "parameters": list(parameters)},
                headers=all_headers,
                timeout=aiohttp.ClientTimeout(total=timeout + 2),
            ) as response:
                token = response.headers.get("Session-Token", "")
                return response.status, await response.json(), token
        except aiohttp.ClientConnectorError:
            return 0, {"error": "refused connection", "outcome": "not run"}, ""
        except (aiohttp.ClientError, TimeoutError):
            return 0, {"error": "connection", "outcome": "unknown"}, ""

    def _record_sample(
        self,
        session: _SessionState,
        due_at: float,
        is_read: bool,
        status: int,
        document: dict,
    ) -> None:
        self._samples.append(
            Sample(
                workspace=session.load.workspace,
                started_at=due_at,
                latency_seconds=self._clock.now() - due_at,
                is_read=is_read,
                from_replica=bool(document.get("replica", False)),
                error="" if status == 200 else str(document["error"]),
                outcome=str(document["outcome"]),
            )
        )

    def _record_violation(
        self, guarantee: str, session: _SessionState, detail: str
    ) -> None:
        self._violations.append(
            Violation(
                guarantee=guarantee,
                workspace=session.load.workspace,
                session=session.name,
                detail=detail,
            )
        )

    async def _check_contents(
        self, client: aiohttp.ClientSession, sessions: Sequence[_SessionState]
    ) -> None:
        for load in self._plan.workspaces:
            document: dict = {}
            # Retried, since a run may end during a fault.
            for _ in range(50):
                status, document, _ = await self._post(
                    client, load, CONTENT_SQL, [], {}
                )
                if status == 200:
                    break
                await self._clock.sleep(0.2)
            counts: dict[str, Counter[int]] = defaultdict(Counter)
            for name, number, count in document.get("rows", []):
                counts[name][number] = count
            for session in sessions:
                if session.load is load:
                    self._check_session(session, counts[session.name])

    def _check_session(self, session: _SessionState, counts: Counter[int]) -> None:
        for number, outcome in session.outcomes.items():
            if outcome == "done" and counts[number] == 0:
                self._record_violation(
                    "no acknowledged write lost", session, f"{number}"
                )
            if outcome == "not run" and counts[number] > 0:
                self._record_violation("not run is true", session, f"{number}")
            if counts[number] > 1:
                self._record_violation(
                    "at most once", session, f"{number}: {counts[number]}"
                )


def make_histogram(samples: Sequence[Sample]) -> HdrHistogram:
    """Return a histogram of the latencies of answered requests in microseconds."""
    histogram = HdrHistogram(
        _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
    )
    for sample in samples:
        if not sample.error:
            histogram.record_value(max(1, round(sample.latency_seconds * 1e6)))
    return histogram
