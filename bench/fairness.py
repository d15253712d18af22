"""Compares queue policies by the service of the worst-served workspace.

A seeded discrete-event simulation of the real scheduling filter: requests arrive, the
clock jumps from event to event, and connections are busy for random service times. Run
it with ``python -m bench.fairness``.
"""

import argparse
import heapq
import json
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
from itertools import count

from sardinemill.configuration import (
    Configuration,
    ConfigurationChanged,
    Key,
    Plan,
    Workspace,
)
from sardinemill.filters.authentication import AvailableKeyPolicy
from sardinemill.filters.queueing import (
    FirstInFirstOut,
    QueuePolicy,
    ServiceTimes,
    WeightedFairQueueing,
)
from sardinemill.filters.scheduling import Scheduling
from sardinemill.groups import Address, DatabaseDescription, GroupDescription
from sardinemill.interfaces import Emission
from sardinemill.messages import (
    Action,
    Dispatch,
    Execution,
    Refusal,
    Request,
    RoutedRequest,
    Statement,
    StatementKind,
    UpstreamResult,
)
from sardinemill.positions import ORIGIN
from sardinemill.replication import GroupsChanged

TIMEOUT_SECONDS = 10.0
STATEMENT = Statement(sql="", parameters=(), kind=StatementKind.READ, idempotent=True)
PLANS = {
    "large": Plan(name="large", rate_per_second=0, burst=0, weight=8.0),
    "tiny": Plan(name="tiny", rate_per_second=0, burst=0, weight=1.0),
}
POLICIES: dict[str, Callable[[ServiceTimes], QueuePolicy]] = {
    "fifo": FirstInFirstOut,
    "fair": WeightedFairQueueing,
}
# Connections per database; a home gets a quarter of them.
DEPLOYMENTS = {"kaptal": 50, "associazione": 80}


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Offered load of one workspace.

    :param share: fraction of the connections that it keeps busy at its agreed rate.
    :param service_seconds: mean service time of a statement on a connection.
    :param excess: offered load relative to the agreed rate.
    """

    name: str
    plan: str
    share: float
    service_seconds: float
    excess: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """Service of the worst-served workspaces in one run.

    :ivar worst_p99_seconds: highest 99th percentile of workspaces within their rate.
    :ivar worst_share: lowest share of requests served, same workspaces.
    :ivar false_rejections: requests of these workspaces that were refused.
    :ivar excess_p99_seconds: of the workspace above its rate, 0 without one.
    :ivar excess_share: share of requests served of that workspace, 1 without one.
    """

    deployment: str
    scenario: str
    policy: str
    random_state: int
    n_requests: int
    worst_p99_seconds: float
    worst_share: float
    false_rejections: int
    excess_p99_seconds: float
    excess_share: float


def make_scenarios() -> dict[str, list[Load]]:
    """Return loads of two large and six tiny workspaces.

    Together they keep 66% of the connections busy at their agreed rates.
    """
    large = [
        Load(name=f"large-{number}", plan="large", share=0.27, service_seconds=0.010)
        for number in range(2)
    ]
    tiny = [
        Load(name=f"tiny-{number}", plan="tiny", share=0.02, service_seconds=0.005)
        for number in range(6)
    ]
    surge = Load(**(asdict(large[0]) | {"excess": 5.0}))
    tiny_surge = Load(**(asdict(tiny[0]) | {"excess": 40.0}))
    slow = Load(
        **(asdict(tiny[0]) | {"service_seconds": 0.2, "share": 0.1, "excess": 6.0})
    )
    return {
        "steady": large + tiny,
        "large surge": [surge, *large[1:], *tiny],
        "tiny surge": [*large, tiny_surge, *tiny[1:]],
        "slow surge": [*large, slow, *tiny[1:]],
    }


class SchedulingSimulation:
    """Simulation of one home with one database.

    :param make_policy: creates the queue policy.
    :param n_connections: connections of the database, over all homes.
    :param loads: offered load.
    :param random_state: seed of arrivals and service times.
    """

    def __init__(
        self,
        make_policy: Callable[[ServiceTimes], QueuePolicy],
        n_connections: int,
        loads: list[Load],
        random_state: int,
    ) -> None:
        self._random = random.Random(random_state)
        self._loads = {load.name: load for load in loads}
        self._n_permits = n_connections // 4
        self._events: list[tuple[float, int, RoutedRequest | Execution]] = []
        self._sequence = count()
        self._arrivals: dict[str, tuple[str, float]] = {}
        self.latencies: dict[str, list[float]] = {load.name: [] for load in loads}
        self.n_refused: dict[str, int] = dict.fromkeys(self._loads, 0)
        self._scheduling = Scheduling(AvailableKeyPolicy(), make_policy)
        self._configure(n_connections)

    def _configure(self, n_connections: int) -> None:
        database = DatabaseDescription(
            name="d",
            group="g",
            slot=0,
            data_centre="x",
            address=Address("127.0.0.1", 1),
            n_connections=n_connections,
        )
        names = list(self._loads)
        configuration = Configuration(
            version=1,
            plans=PLANS,
            workspaces={
                name: Workspace(name=name, plan=self._loads[name].plan, group="g")
                for name in names
            },
            keys={name: Key(key_id=name, workspace=name, digest="") for name in names},
            groups={},
        )
        group = GroupDescription("g", 1, (database,))
        for message in (
            ConfigurationChanged(configuration=configuration),
            GroupsChanged(groups=(group,), homes=()),
        ):
            self._scheduling.handle(message, 0.0)

    def simulate(self, seconds: float) -> None:
        """Generate arrivals for ``seconds`` and run until all requests are finished."""
        for load in self._loads.values():
            for at in self._draw_arrivals(load, seconds):
                self._schedule(at, self._make_request(load.name, at))
        while self._events or self._scheduling.next_tick is not None:
            tick = self._scheduling.next_tick
            if tick is not None and (not self._events or tick <= self._events[0][0]):
                self._process_emissions(self._scheduling.tick(tick), tick)
                continue
            now, _, message = heapq.heappop(self._events)
            if isinstance(message, RoutedRequest):
                request = message.request
                self._arrivals[request.request_id] = (request.workspace, now)
            self._process_emissions(self._scheduling.handle(message, now), now)

    def _draw_arrivals(self, load: Load, seconds: float) -> Iterator[float]:
        rate = load.excess * load.share * self._n_permits / load.service_seconds
        at = self._random.expovariate(rate)
        while at < seconds:
            yield at
            at += self._random.expovariate(rate)

    def _make_request(self, workspace: str, at: float) -> RoutedRequest:
        return RoutedRequest(
            request=Request(
                request_id=str(next(self._sequence)),
                action=Action.STATEMENT,
                workspace=workspace,
                key_id=workspace,
                group="g",
                statement=STATEMENT,
                deadline=at + TIMEOUT_SECONDS,
            ),
            database="d",
            minimum_position=ORIGIN,
            is_replica=False,
        )

    def _schedule(self, at: float, message: RoutedRequest | Execution) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), message))

    def _process_emissions(self, emissions: Sequence[Emission], now: float) -> None:
        for emission in emissions:
            message = emission.message
            if isinstance(message, Dispatch):
                self._start_service(message.routed, now)
            elif isinstance(message, Execution):
                request_id = message.routed.request.request_id
                workspace, arrived_at = self._arrivals.pop(request_id)
                self.latencies[workspace].append(now - arrived_at)
            elif isinstance(message, Refusal):
                workspace, _ = self._arrivals.pop(message.request_id)
                self.n_refused[workspace] += 1

    def _start_service(self, routed: RoutedRequest, now: float) -> None:
        mean = self._loads[routed.request.workspace].service_seconds
        seconds = self._random.expovariate(1 / mean)
        result = UpstreamResult(call_id=routed.request.request_id)
        execution = Execution(
            routed=routed, result=result, failure=None, service_seconds=seconds
        )
        self._schedule(now + seconds, execution)


def compute_quantile(values: list[float], share: float) -> float:
    """Return the quantile ``share`` of the values; infinite without values."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def measure(
    deployment: str, scenario: str, policy: str, random_state: int, seconds: float
) -> Measurement:
    """Simulate one run and summarise it."""
    loads = make_scenarios()[scenario]
    simulation = SchedulingSimulation(
        POLICIES[policy], DEPLOYMENTS[deployment], loads, random_state
    )
    simulation.simulate(seconds)
    shares = {
        name: len(values) / max(len(values) + simulation.n_refused[name], 1)
        for name, values in simulation.latencies.items()
    }
    p99_seconds = {
        name: compute_quantile(item, 0.99)
        for name, item in simulation.latencies.items()
    }
    within_rate = [load.name for load in loads if load.excess <= 1.0]
    excess = [load.name for load in loads if load.excess > 1.0]
    return Measurement(
        deployment=deployment,
        scenario=scenario,
        policy=policy,
        random_state=random_state,
        n_requests=sum(map(len, simulation.latencies.values()))
        + sum(simulation.n_refused.values()),
        worst_p99_seconds=max(p99_seconds[name] for name in within_rate),
        worst_share=min(shares[name] for name in within_rate),
        false_rejections=sum(simulation.n_refused[name] for name in within_rate),
        excess_p99_seconds=max((p99_seconds[name] for name in excess), default=0.0),
        excess_share=min((shares[name] for name in excess), default=1.0),
    )


def print_table(measurements: Sequence[Measurement]) -> None:
    """Print a table of means over the seeds."""
    rows: dict[tuple[str, str, str], list[Measurement]] = {}
    for item in measurements:
        key = (item.deployment, item.scenario, item.policy)
        rows.setdefault(key, []).append(item)
    print(
        f"{'deployment':13}{'scenario':13}{'policy':8}{'worst p99 ms':>13}"
        f"{'worst served':>13}{'false rej.':>11}{'excess p99 ms':>14}"
        f"{'excess served':>14}"
    )
    for (deployment, scenario, policy), items in rows.items():
        n_items = len(items)
        p99 = sum(item.worst_p99_seconds for item in items) / n_items
        share = sum(item.worst_share for item in items) / n_items
        rejected = sum(item.false_rejections for item in items) / n_items
        excess = sum(item.excess_p99_seconds for item in items) / n_items
        excess_share = sum(item.excess_share for item in items) / n_items
        print(
            f"{deployment:13}{scenario:13}{policy:8}{p99 * 1000:13.1f}"
            f"{share:13.4f}{rejected:11.1f}{excess * 1000:14.1f}{excess_share:14.4f}"
        )


def main() -> None:
    """Run all combinations; JSON lines go to the file named by ``--output``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0, help="simulated time")
    parser.add_argument("--n-seeds", type=int, default=3)
    parser.add_argument("--output", help="file for JSON lines, default: standard out")
    arguments = parser.parse_args()
    measurements = [
        measure(deployment, scenario, policy, random_state, arguments.seconds)
        for deployment in DEPLOYMENTS
        for scenario in make_scenarios()
        for policy in POLICIES
        for random_state in range(arguments.n_seeds)
    ]
    print_table(measurements)
    lines = [json.dumps(asdict(item)) for item in measurements]
    if arguments.output is None:
        print("\n".join(lines))
    else:
        with open(arguments.output, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
