"""Deployment of stand-in platform, databases and instances in separate processes."""

import json
import secrets
import socket
import urllib.request
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from sardinemill.adapters.document_codec import MessagePackDocumentCodec
from sardinemill.adapters.store import HttpStore
from sardinemill.configuration import Key, Plan, Workspace, hash_key
from sardinemill.documents import HEAD_NAME, Head, Part, make_part_object_name
from sardinemill.groups import Address, DatabaseDescription, GroupDescription

from .processes import Process

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSize:
    """Size and settings of a deployment.

    :param n_connections: connections that a database accepts.
    :param lag_seconds: replication lag between any two databases of a group.
    :param drain_seconds: time that a stopping instance gives open requests.
    :param delay_seconds: one-way network delay between data centres.
    :param settings: further command-line flags of the instances.
    """

    data_centres: tuple[str, ...]
    n_instances: int
    n_groups: int
    n_connections: int
    plans: tuple[Plan, ...]
    workspaces: tuple[Workspace, ...]
    lag_seconds: float = 0.005
    drain_seconds: float = 1.0
    delay_seconds: float = 0.0
    settings: dict[str, str] = field(default_factory=dict)


def find_free_ports(n_ports: int) -> list[int]:
    """Return TCP ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(n_ports)]
    try:
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def send_json(url: str, document: object, method: str = "POST") -> None:
    """Send a JSON document to a stand-in.

    :raises OSError: when the stand-in is unreachable or returns an error status.
    """
    request = urllib.request.Request(
        url, data=json.dumps(document).encode(), method=method
    )
    with urllib.request.urlopen(request, timeout=5):
        pass


class Deployment:
    """Processes of one deployment. Use it as a context manager.

    :param log_directory: receives the logs of all processes.
    :ivar keys: API key in plain text by workspace.
    """

    def __init__(self, size: DeploymentSize, log_directory: Path) -> None:
        self.size = size
        self.keys = {
            item.name: f"smk_{secrets.token_urlsafe(32)}" for item in size.workspaces
        }
        self.instances: dict[str, Process] = {}
        self.databases: dict[str, Process] = {}
        self.groups = self._describe_groups()
        self._secret = secrets.token_hex(32)
        self._log_directory = log_directory
        self._front_ports: dict[str, int] = {}
        self._peer_ports: dict[str, int] = {}
        self._platform_port = find_free_ports(1)[0]
        self._processes: list[Process] = []
        log_directory.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Deployment":
        try:
            self._start_platform()
            for group in self.groups:
                for database in group.databases:
                    self.start_database(group, database, is_new_group=True)
            for group in self.groups:
                for database in group.databases:
                    self.wait_until_database_ready(database)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        for process in reversed(self._processes):
            if process.is_running:
                process.kill()

    # Addresses

    @property
    def store_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{HOST}:{self._platform_port}"

    def front_url(self, instance: str) -> str:
        """Return the base URL of an instance for callers."""
        return f"http://{HOST}:{self._front_ports[instance]}"

    def database_url(self, database: DatabaseDescription) -> str:
        """Return the base URL of a database stand-in."""
        return f"http://{database.address}"

    def find_database(self, name: str) -> DatabaseDescription:
        """Return the description of a database.

        :raises KeyError: when no group has a database of this name.
        """
        for group in self.groups:
            for database in group.databases:
                if database.name == name:
                    return database
        raise KeyError(name)

    # Processes

    def _describe_groups(self) -> tuple[GroupDescription, ...]:
        ports = iter(find_free_ports(3 * self.size.n_groups))
        data_centres = self.size.data_centres
        return tuple(
            GroupDescription(
                name=f"group-{number}",
                n_slots=3,
                databases=tuple(
                    DatabaseDescription(
                        name=f"group-{number}-{slot}",
                        group=f"group-{number}",
                        slot=slot,
                        data_centre=data_centres[(number + slot) % len(data_centres)],
                        address=Address(HOST, next(ports)),
                        n_connections=self.size.n_connections,
                    )
                    for slot in range(3)
                ),
            )
            for number in range(self.size.n_groups)
        )

    def _start(
        self, name: str, module: str, arguments: list[str], **options
    ) -> Process:
        process = Process(
            name, module, arguments, log_directory=self._log_directory, **options
        )
        self._processes.append(process)
        return process

    def _start_platform(self) -> None:
        process = self._start(
            "platform",
            "sardinemill.emulator.platform_daemon",
            [f"--port={self._platform_port}", "--lag-seconds=1.0"],
        )
        process.wait_until_ready(f"{self.store_url}/statistics")

    def start_database(
        self,
        group: GroupDescription,
        database: DatabaseDescription,
        *,
        is_new_group: bool = False,
    ) -> None:
        """Start a database; in an existing group it rejoins with an empty log."""
        peers = [
            f"{item.name}={item.address}"
            for item in group.databases
            if item != database
        ]
        arguments = [
            f"--name={database.name}",
            f"--group={group.name}",
            f"--slot={database.slot}",
            f"--data-centre={database.data_centre}",
            f"--port={database.address.port}",
            f"--n-connections={database.n_connections}",
            "--peers",
            *peers,
        ]
        if is_new_group and database.slot == 0:
            arguments.append("--is-initial-primary")
        if not is_new_group:
            arguments.append("--is-rejoining")
        self.databases[database.name] = self._start(
            database.name, "sardinemill.emulator.database_daemon", arguments
        )

    def wait_until_database_ready(self, database: DatabaseDescription) -> None:
        """Wait until a database accepts requests, and set its replication lag."""
        url = f"{self.database_url(database)}/faults"
        self.databases[database.name].wait_until_ready(url)
        group = next(item for item in self.groups if item.name == database.group)
        lags = {item.name: self.size.lag_seconds for item in group.databases}
        self.set_database_faults(database.name, {"lag_seconds": lags})

    def set_database_faults(self, name: str, faults: dict[str, object]) -> None:
        """Change the faults of a database stand-in."""
        send_json(f"{self.database_url(self.find_database(name))}/faults", faults)

    def start_instances(self) -> None:
        """Start all instances and wait until they are ready."""
        data_centres = self.size.data_centres
        names = [f"instance-{number}" for number in range(self.size.n_instances)]
        ports = find_free_ports(2 * len(names))
        for number, name in enumerate(names):
            self._front_ports[name] = ports[2 * number]
            self._peer_ports[name] = ports[2 * number + 1]
            self.start_instance(name, data_centres[number % len(data_centres)])
        for name in names:
            self.wait_until_instance_ready(name)

    def start_instance(self, name: str, data_centre: str) -> None:
        """Start an instance and add it to the platform's instance list."""
        settings = {
            "name": name,
            "data-centre": data_centre,
            "front-port": str(self._front_ports[name]),
            "peer-port": str(self._peer_ports[name]),
            "store-url": self.store_url,
            "drain-seconds": str(self.size.drain_seconds),
            **self.size.settings,
        }
        self.instances[name] = self._start(
            name,
            "sardinemill.emulator.instance_daemon",
            [f"--{flag}={value}" for flag, value in settings.items()],
            environment={
                "SARDINEMILL_FLEET_SECRET": self._secret,
                "SARDINEMILL_EMULATOR_DELAY_SECONDS": str(self.size.delay_seconds),
            },
        )
        self.put_instance_entry(name, data_centre, "live")

    def put_instance_entry(self, name: str, data_centre: str, state: str) -> None:
        """Write an instance's entry in the platform's instance list."""
        entry = {
            "name": name,
            "data_centre": data_centre,
            "peer_address": {"host": HOST, "port": self._peer_ports[name]},
            "front_address": {"host": HOST, "port": self._front_ports[name]},
            "state": state,
        }
        send_json(f"{self.store_url}/instances/{name}", entry, method="PUT")

    def wait_until_instance_ready(self, name: str) -> None:
        """Wait until an instance reports that it is ready."""
        self.instances[name].wait_until_ready(f"{self.front_url(name)}/v1/ready")

    # Configuration

    async def put_configuration(self) -> None:
        """Write version 1 of the configuration."""
        keys = tuple(
            Key(key_id=f"key-{name}", workspace=name, digest=hash_key(key))
            for name, key in self.keys.items()
        )
        parts = {
            "plans": Part(plans=self.size.plans),
            "workspaces": Part(workspaces=self.size.workspaces),
            "keys": Part(keys=keys),
            "groups": Part(groups=self.groups),
        }
        await self._put_parts(parts, Head(), "1")

    async def withdraw_key(self, workspace: str) -> None:
        """Write version 2 of the configuration, without a workspace's key."""
        keys = tuple(
            Key(key_id=f"key-{name}", workspace=name, digest=hash_key(key))
            for name, key in self.keys.items()
            if name != workspace
        )
        names = dict.fromkeys(("plans", "workspaces", "keys", "groups"), "1")
        head = Head(version=1, parts=names)
        await self._put_parts({"keys": Part(keys=keys)}, head, "2")

    async def _put_parts(
        self, parts: dict[str, Part], old_head: Head, part_version: str
    ) -> None:
        codec = MessagePackDocumentCodec()
        store = HttpStore(self.store_url)
        await store.start()
        try:
            for name, part in parts.items():
                await store.put(
                    make_part_object_name(name, part_version),
                    codec.encode_part(part),
                    expected_version=0,
                )
            names = {**old_head.parts, **dict.fromkeys(parts, part_version)}
            head = Head(version=old_head.version + 1, parts=names)
            await store.put(
                HEAD_NAME, codec.encode_head(head), expected_version=old_head.version
            )
        finally:
            await store.stop()


def make_workspaces(
    rates: Sequence[tuple[str, float]], n_groups: int
) -> tuple[tuple[Plan, ...], tuple[Workspace, ...]]:
    """Make a plan and a workspace for each pair of name and rate a second."""
    plans = tuple(
        Plan(name=f"plan-{name}", rate_per_second=rate, burst=max(rate, 10.0))
        for name, rate in rates
    )
    workspaces = tuple(
        Workspace(name=name, plan=f"plan-{name}", group=f"group-{number % n_groups}")
        for number, (name, _) in enumerate(rates)
    )
    return plans, workspaces
