"""Load of entry and home instances by connections and by statements."""

import asyncio
import socket
import tempfile
import time
from pathlib import Path

from sardinemill.adapters.clocks import SystemClock
from sardinemill.emulator.load import LoadGenerator, LoadPlan, WorkspaceLoad
from sardinemill.groups import choose_homes

from .deployment import Deployment, DeploymentSize, make_workspaces
from .fits import Fit, fit_line

CONNECTION_SIZES = (300, 900, 2400)
STATEMENT_RATES = (40.0, 80.0, 160.0)
RUN_SECONDS = 8.0
RANDOM_STATE = 1


def make_size(n_instances: int, n_data_centres: int) -> DeploymentSize:
    """Return one group, and one workspace with a high rate."""
    plans, workspaces = make_workspaces([("bees", 5000.0)], 1)
    return DeploymentSize(
        data_centres=tuple(f"dc-{number}" for number in range(n_data_centres)),
        n_instances=n_instances,
        n_groups=1,
        n_connections=80,
        plans=plans,
        workspaces=workspaces,
    )


def measure_connections() -> list[Fit]:
    """Measure the memory of an instance by open connections that sent a request."""
    memory = []
    with (
        tempfile.TemporaryDirectory() as logs,
        Deployment(make_size(1, 1), Path(logs)) as deployment,
    ):
        asyncio.run(deployment.put_configuration())
        deployment.start_instances()
        url = deployment.front_url("instance-0")
        port = int(url.rpartition(":")[2])
        process = deployment.instances["instance-0"]
        opened: list[socket.socket] = []
        for size in CONNECTION_SIZES:
            while len(opened) < size:
                opened.append(_open_connection(port))
            time.sleep(1.0)
            memory.append(float(process.read_memory_bytes()))
        for item in opened:
            item.close()
    return [
        fit_line(
            "entry", "resident memory, bytes", "connection", CONNECTION_SIZES, memory
        )
    ]


def _open_connection(port: int) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", port), timeout=5)
    connection.sendall(b"GET /v1/health HTTP/1.1\r\nHost: a\r\n\r\n")
    while b"}" not in connection.recv(4096):
        pass
    return connection


def measure_statements() -> list[Fit]:
    """Measure the processor time of entry and home instances by statement rate."""
    entry, home = [], []
    with (
        tempfile.TemporaryDirectory() as logs,
        Deployment(make_size(6, 1), Path(logs)) as deployment,
    ):
        asyncio.run(deployment.put_configuration())
        deployment.start_instances()
        time.sleep(3.0)
        homes = _find_homes(deployment)
        entries = [name for name in deployment.instances if name not in homes]
        for rate in STATEMENT_RATES:
            used = _run_load(deployment, entries, rate)
            entry.append(sum(used[name] for name in entries))
            home.append(sum(used[name] for name in homes))
    return [
        fit_line("entry", "cpu, s/s", "statement/s", STATEMENT_RATES, entry),
        fit_line("home", "cpu, s/s", "statement/s", STATEMENT_RATES, home),
    ]


def _find_homes(deployment: Deployment) -> list[str]:
    pairs = [(name, "dc-0") for name in deployment.instances]
    return choose_homes("group-0", pairs)


def _run_load(
    deployment: Deployment, entries: list[str], rate: float
) -> dict[str, float]:
    """Run a load through the given entry instances.

    :returns: processor seconds a second by instance.
    """
    plan = LoadPlan(
        workspaces=(
            WorkspaceLoad(
                workspace="bees",
                key=deployment.keys["bees"],
                rate_per_second=rate,
                n_sessions=32,
            ),
        ),
        urls=tuple(deployment.front_url(name) for name in entries),
        duration_seconds=RUN_SECONDS,
        random_state=RANDOM_STATE,
    )
    before = {
        name: process.read_cpu_seconds()
        for name, process in deployment.instances.items()
    }
    begin = time.monotonic()
    asyncio.run(LoadGenerator(plan, SystemClock()).run())
    seconds = time.monotonic() - begin
    return {
        name: (process.read_cpu_seconds() - before[name]) / seconds
        for name, process in deployment.instances.items()
    }
