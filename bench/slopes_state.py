"""Memory and processor time of single filters by size of their state."""

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


def measure_memory(create: Callable[[], T]) -> tuple[T, float]:
    """Create an object and measure its memory.

    :returns: the object, and the bytes that stay allocated.
    """
    gc.collect()
    tracemalloc.start()
    result = create()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, float(size)


def measure_time(call: Callable[[int], object], n_calls: int = N_CALLS) -> float:
    """Measure a function.

    :returns: processor time of one call in microseconds.
    """
    begin = time.process_time()
    for number in range(n_calls):
        call(number)
    return (time.process_time() - begin) / n_calls * 1e6


def make_configuration(n_workspaces: int) -> Configuration:
    """Make a configuration with two API keys for each workspace."""
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
    """Measure configuration memory and API key check time by workspaces."""
    sizes = (500, 2000, 8000)
    memory, times = [], []
    for size in sizes:

        def create(size: int = size) -> Authentication:
            tested_filter = Authentication(StrictKeyPolicy())
            tested_filter.handle(
                ConfigurationChanged(configuration=make_configuration(size)), 0.0
            )
            tested_filter.handle(
                ConfigurationConfirmed(version=1, confirmed_at=0.0), 0.0
            )
            return tested_filter

        tested_filter, n_bytes = measure_memory(create)
        memory.append(n_bytes)
        request = CallerRequest(
            request_id="1",
            action=Action.STATEMENT,
            key="workspace-7-a",
            sql="select 1",
            deadline=10.0,
        )
        times.append(
            measure_time(
                lambda _, tested_filter=tested_filter, one=request: (
                    tested_filter.handle(one, 0.0)
                )
            )
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
    number: int, sequence: int, *, is_introduction: bool = False
) -> PeerEnvelope:
    info = _make_info(number)
    heartbeat = Heartbeat(
        source=info.name,
        incarnation="a" * 32,
        sequence=sequence,
        state=InstanceState.LIVE,
        configuration_version=1,
        info=info if is_introduction else None,
    )
    return PeerEnvelope(peer=info.name, message=heartbeat)


def measure_heartbeats() -> list[Fit]:
    """Measure membership memory and heartbeat processing time by peers."""
    sizes = (50, 150, 450)
    memory, times = [], []
    for size in sizes:

        def create(size: int = size) -> Membership:
            tested_filter = Membership(
                _make_info(0), "a" * 32, SeededRandom(RANDOM_STATE)
            )
            for number in range(1, size + 1):
                tested_filter.handle(
                    _make_heartbeat(number, 1, is_introduction=True), 0.0
                )
            tested_filter.tick(0.05)
            return tested_filter

        tested_filter, state = measure_memory(create)
        memory.append(state)
        data = [
            encode_message(_make_heartbeat(number, 2).message)
            for number in range(1, size + 1)
        ]

        def receive(
            number: int,
            tested_filter: Membership = tested_filter,
            data: Sequence = data,
        ):
            item = data[number % len(data)]
            peer = f"instance-{number % len(data) + 1}"
            envelope = PeerEnvelope(peer=peer, message=decode_message(item, peer))
            tested_filter.handle(envelope, 0.1)

        times.append(measure_time(receive))
    return [
        fit_line("every instance", "membership, bytes", "peer", sizes, memory),
        fit_line("every instance", "one heartbeat received, us", "peer", sizes, times),
    ]


def measure_lending() -> list[Fit]:
    """Measure lender memory and processing time of a loan by workspaces."""
    sizes = (50, 200, 800)
    memory, times = [], []
    for size in sizes:
        configuration = make_configuration(size)

        def create(configuration: Configuration = configuration) -> Lending:
            tested_filter = Lending("a", LimitSettings())
            tested_filter.handle(ConfigurationChanged(configuration=configuration), 0.0)
            for shard in range(LimitSettings().n_shards):
                lease = ShardLease(
                    shard=shard, owner="a", epoch=1, valid_until=1e9, taken_at=0.0
                )
                tested_filter.handle(lease, 0.0)
            for workspace in configuration.workspaces:
                tested_filter.handle(_make_borrow_request(workspace, "first"), 10.0)
            return tested_filter

        tested_filter, state = measure_memory(create)
        memory.append(state)
        names = list(configuration.workspaces)

        def lend(
            number: int,
            tested_filter: Lending = tested_filter,
            names: Sequence[str] = names,
        ):
            tested_filter.handle(
                _make_borrow_request(names[number % len(names)], f"loan-{number}"),
                10.0 + number / 100,
            )

        times.append(measure_time(lend))
    return [
        fit_line("lender", "ledgers, bytes", "workspace", sizes, memory),
        fit_line("lender", "one loan, us", "workspace", sizes, times),
    ]


def _make_borrow_request(workspace: str, borrow_id: str) -> PeerEnvelope:
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
    """Measure home memory and report processing time by groups."""
    sizes = (2, 6, 18)
    memory, times = [], []
    for size in sizes:
        groups = tuple(make_group(number) for number in range(size))
        change = GroupsChanged(
            groups=groups, homes=tuple((group.name, ("a", "b")) for group in groups)
        )

        def create(change: GroupsChanged = change) -> tuple:
            detector = ObserverDetector(TimeoutDetector())
            random_source = SeededRandom(RANDOM_STATE)
            filters = (
                Routing(),
                Acknowledgement(),
                Failover("a", "1", detector, random_source),
            )
            for tested_filter in filters:
                tested_filter.handle(change, 0.0)
            return filters

        filters, state = measure_memory(create)
        memory.append(state)

        def report(
            number: int, filters: tuple = filters, groups: tuple = groups
        ) -> None:
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
            for tested_filter in filters:
                tested_filter.handle(message, now)

        times.append(measure_time(report))
    return [
        fit_line("home", "positions and watch, bytes", "group", sizes, memory),
        fit_line("home", "one database report, us", "group", sizes, times),
    ]
