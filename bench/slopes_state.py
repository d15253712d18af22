"""Slopes of decisions: state and processor time of single filters."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import TypeVar

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.codecs import decode_message, encode_message
from sardinemill.configuration import (
    Configuration,
    ConfigurationChanged,
    ConfigurationConfirmed,
    Key,
    Plan,
    Workspace,
    hash_key,
)
from sardinemill.control import PeerEnvelope
from sardinemill.filters.acknowledgement import Acknowledgement
from sardinemill.filters.authentication import Authentication, StrictKeyPolicy
from sardinemill.filters.detection import ObserverDetector, TimeoutDetector
from sardinemill.filters.failover import Failover
from sardinemill.filters.lending import Lending
from sardinemill.filters.membership import Membership
from sardinemill.filters.routing import Routing
from sardinemill.groups import Address, DatabaseDescription, GroupDescription
from sardinemill.limits import LimitSettings
from sardinemill.loans import BorrowRequest, ShardLease
from sardinemill.members import Heartbeat, InstanceInfo, InstanceState
from sardinemill.messages import Action, CallerRequest
from sardinemill.positions import LogPosition
from sardinemill.replication import DatabaseReport, GroupsChanged, Role

from .fits import Fit, fit_line

RANDOM_STATE = 1
N_CALLS = 5000

T = TypeVar("T")


def measure_memory(make: Callable[[], T]) -> tuple[T, float]:
    """:returns: the object and the bytes that stay allocated after making it."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, float(size)


def measure_time(call: Callable[[int], object], n_calls: int = N_CALLS) -> float:
    """:returns: processor time of one call in microseconds."""
    begin = time.process_time()
    for number in range(n_calls):
        call(number)
    return (time.process_time() - begin) / n_calls * 1e6


def make_configuration(n_workspaces: int) -> Configuration:
    """Make a configuration with two keys a workspace."""
    names = [f"workspace-{number}" for number in range(n_workspaces)]
    keys = [(f"{name}-{item}", name) for name in names for item in ("a", "b")]
    plan = Plan(name="plan", rate_per_second=100.0, burst=100.0)
    return Configuration(
        version=1,
        plans={"plan": plan},
        workspaces={
            name: Workspace(name=name, plan="plan", group="group") for name in names
        },
        keys={
            key: Key(key_id=key, workspace=name, digest=hash_key(key))
            for key, name in keys
        },
        groups={},
    )


def measure_authentication() -> list[Fit]:
    """Memory of the configuration and time of a key check, by workspaces."""
    sizes = (500, 2000, 8000)
    memory, times = [], []
    for size in sizes:

        def make(size: int = size) -> Authentication:
            step = Authentication(StrictKeyPolicy())
            step.handle(
                ConfigurationChanged(configuration=make_configuration(size)), 0.0
            )
            step.handle(ConfigurationConfirmed(version=1, confirmed_at=0.0), 0.0)
            return step

        step, n_bytes = measure_memory(make)
        memory.append(n_bytes)
        request = CallerRequest(
            request_id="1",
            action=Action.STATEMENT,
            key="workspace-7-a",
            sql="select 1",
            deadline=10.0,
        )
        times.append(
            measure_time(lambda _, step=step, one=request: step.handle(one, 0.0))
        )
    return [
        fit_line("every instance", "configuration, bytes", "workspace", sizes, memory),
        fit_line("entry", "key check, us", "workspace", sizes, times),
    ]


def _make_info(number: int) -> InstanceInfo:
    return InstanceInfo(
        name=f"instance-{number}",
        data_centre=f"dc-{number % 5}",
        peer_address=Address("127.0.0.1", 1000 + number),
        front_address=Address("127.0.0.1", 1000 + number),
    )


def _make_heartbeat(
    number: int, sequence: int, *, introduces: bool = False
) -> PeerEnvelope:
    info = _make_info(number)
    heartbeat = Heartbeat(
        source=info.name,
        incarnation="a" * 32,
        sequence=sequence,
        state=InstanceState.LIVE,
        configuration_version=1,
        info=info if introduces else None,
    )
    return PeerEnvelope(peer=info.name, message=heartbeat)


def measure_heartbeats() -> list[Fit]:
    """State for each peer and time of an ordinary heartbeat, by peers."""
    sizes = (50, 150, 450)
    memory, times = [], []
    for size in sizes:

        def make(size: int = size) -> Membership:
            step = Membership(_make_info(0), "a" * 32, SeededRandom(RANDOM_STATE))
            for number in range(1, size + 1):
                step.handle(_make_heartbeat(number, 1, introduces=True), 0.0)
            step.tick(0.05)
            return step

        step, state = measure_memory(make)
        memory.append(state)
        data = [
            encode_message(_make_heartbeat(number, 2).message)
            for number in range(1, size + 1)
        ]

        def receive(number: int, step: Membership = step, data: Sequence = data):
            item = data[number % len(data)]
            peer = f"instance-{number % len(data) + 1}"
            envelope = PeerEnvelope(peer=peer, message=decode_message(item, peer))
            step.handle(envelope, 0.1)

        times.append(measure_time(receive))
    return [
        fit_line("every instance", "membership, bytes", "peer", sizes, memory),
        fit_line("every instance", "one heartbeat received, us", "peer", sizes, times),
    ]


def measure_lending() -> list[Fit]:
    """State of a lender and time of a loan, by workspaces of its shards."""
    sizes = (50, 200, 800)
    memory, times = [], []
    for size in sizes:
        configuration = make_configuration(size)

        def make(configuration: Configuration = configuration) -> Lending:
            step = Lending("a", LimitSettings())
            step.handle(ConfigurationChanged(configuration=configuration), 0.0)
            for shard in range(LimitSettings().n_shards):
                lease = ShardLease(
                    shard=shard, owner="a", epoch=1, valid_until=1e9, taken_at=0.0
                )
                step.handle(lease, 0.0)
            for workspace in configuration.workspaces:
                step.handle(_make_borrow(workspace, "first"), 10.0)
            return step

        step, state = measure_memory(make)
        memory.append(state)
        names = list(configuration.workspaces)

        def lend(number: int, step: Lending = step, names: Sequence[str] = names):
            step.handle(
                _make_borrow(names[number % len(names)], f"loan-{number}"),
                10.0 + number / 100,
            )

        times.append(measure_time(lend))
    return [
        fit_line("lender", "ledgers, bytes", "workspace", sizes, memory),
        fit_line("lender", "one loan, us", "workspace", sizes, times),
    ]


def _make_borrow(workspace: str, borrow_id: str) -> PeerEnvelope:
    request = BorrowRequest(
        borrow_id=borrow_id, borrower="b", workspace=workspace, n_tokens=1.0
    )
    return PeerEnvelope(peer="b", message=request)


def make_group(number: int) -> GroupDescription:
    """Make a group of three databases."""
    name = f"group-{number}"
    return GroupDescription(
        name=name,
        n_slots=3,
        databases=tuple(
            DatabaseDescription(
                name=f"{name}-{slot}",
                group=name,
                slot=slot,
                data_centre=f"dc-{slot}",
                address=Address("127.0.0.1", 1),
                n_connections=50,
            )
            for slot in range(3)
        ),
    )


def measure_reports() -> list[Fit]:
    """State for each group and time of a database report, by groups of a home."""
    sizes = (2, 6, 18)
    memory, times = [], []
    for size in sizes:
        groups = tuple(make_group(number) for number in range(size))
        change = GroupsChanged(
            groups=groups, homes=tuple((group.name, ("a", "b")) for group in groups)
        )

        def make(change: GroupsChanged = change) -> tuple:
            detector = ObserverDetector(TimeoutDetector())
            random_source = SeededRandom(RANDOM_STATE)
            steps = (
                Routing(),
                Acknowledgement(),
                Failover("a", "1", detector, random_source),
            )
            for step in steps:
                step.handle(change, 0.0)
            return steps

        steps, state = measure_memory(make)
        memory.append(state)

        def report(number: int, steps: tuple = steps, groups: tuple = groups) -> None:
            group = groups[number % len(groups)]
            database = group.databases[number % 3]
            now = number / 100
            message = DatabaseReport(
                group=group.name,
                database=database.name,
                role=Role.PRIMARY if number % 3 == 0 else Role.REPLICA,
                fenced_term=1,
                position=LogPosition(1, number),
                incarnation="i",
                asked_at=now,
                received_at=now,
            )
            for step in steps:
                step.handle(message, now)

        times.append(measure_time(report))
    return [
        fit_line("home", "positions and watch, bytes", "group", sizes, memory),
        fit_line("home", "one database report, us", "group", sizes, times),
    ]
