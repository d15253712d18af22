"""Instance processes, each behind fault-injecting proxies of its own."""

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

import aiohttp

from sardinemill.emulator.object_store_server import ObjectStoreServer

from .evacuations import EVACUATION_SECONDS
from .history import Violation
from .links import HEALTHY, LinkProxy
from .stops import PlannedStop

SCRIPT = Path(__file__).resolve().parent.parent / "deploy" / "instance.py"
GRACE_PERIOD_SECONDS = 6.0
# Allowance for starting and ending the interpreter on a busy machine.
EXIT_SLACK_SECONDS = 6.0
# Limit of an instance's resident memory, from the stated target.
MAX_MEMORY_BYTES = 128 * 1024 * 1024


def choose_host(index: int) -> str:
    """Return a loopback address that only one instance of this run uses.

    Outgoing connections use ephemeral ports of 127.0.0.1. On a separate address they
    cannot take a port of an instance that is down.
    """
    run = os.getpid()
    return f"127.{run // 250 % 250 + 1}.{run % 250 + 1}.{index + 1}"


def find_free_port(host: str) -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class InstanceProcess:
    """One instance: its settings file, its process and its links.

    :param index: of the instance in this run.
    :param directory: receives the settings file, the log and standard error.
    :ivar violations: exits and memory use that were not expected.
    :ivar stops: the first SIGTERM of each process.
    :ivar is_stopping: whether the process has been sent SIGTERM.
    """

    def __init__(
        self, index: int, data_centre: str, store: ObjectStoreServer, directory: Path
    ) -> None:
        self.name = f"i{index}"
        self.host = choose_host(index)
        self.front_port = find_free_port(self.host)
        self.ready_port = find_free_port(self.host)
        self.violations: list[Violation] = []
        self.stops: list[PlannedStop] = []
        self.is_stopping = False
        self._peer_port = find_free_port(self.host)
        self._metrics_port = find_free_port(self.host)
        self._data_centre = data_centre
        self._directory = directory
        self.peer_link = LinkProxy(self._peer_port, self.host)
        self.store_link = LinkProxy(store.address.port)
        self._process: asyncio.subprocess.Process | None = None
        self._start_task: asyncio.Task[None] | None = None
        self._is_exit_expected = False
        self.is_paused = False

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def handles_signals(self) -> bool:
        """Whether the program handles SIGTERM; before, the default action applies."""
        if self._process is None:
            return False
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text("ascii")
        except OSError:
            return False
        masks = dict(line.split(":", 1) for line in status.splitlines())
        return bool(int(masks["SigCgt"], 16) >> (signal.SIGTERM - 1) & 1)

    async def prepare(self) -> None:
        """Start the links and write the settings file."""
        await self.peer_link.start()
        await self.store_link.start()
        store = f"127.0.0.1:{self.store_link.port}"
        fields = {
            "node": self.name,
            "zone": self._data_centre,
            "ip": self.host,
            "listen.front": f"{self.host}:{self.front_port}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "internal_ports": f"{self._peer_port},{self._metrics_port}",
            "platform.address": store,
            "cloud.address": store,
            "bounds.grace_s": str(GRACE_PERIOD_SECONDS),
            "bounds.evacuation_ms": str(round(EVACUATION_SECONDS * 1000)),
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._settings_path.write_text(text, encoding="utf-8")

    @property
    def _settings_path(self) -> Path:
        return self._directory / f"{self.name}.settings"

    async def start(self) -> None:
        """Start the process unless it runs or is being started.

        Faults overlap, and the end of a run may cancel one in the middle of a start.
        """
        if self.is_running:
            return
        if self._start_task is None or self._start_task.done():
            self._start_task = asyncio.create_task(self._spawn())
        await asyncio.shield(self._start_task)

    async def _spawn(self) -> None:
        environment = {
            **os.environ,
            "SARDINEMILL_BOOT": str(self._settings_path),
            "SARDINEMILL_ADVERTISED_PEER": f"127.0.0.1:{self.peer_link.port}",
        }
        log = (self._directory / f"{self.name}.jsonl").open("ab")
        errors = (self._directory / f"{self.name}.err").open("ab")
        with log, errors:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(SCRIPT), stdout=log, stderr=errors, env=environment
            )
        self._is_exit_expected = False
        self.is_stopping = False
        self.is_paused = False

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs.

        Skips SIGHUP until the program handles signals: its default action would end the
        process.
        """
        is_early = signal_number is signal.SIGHUP and not self.handles_signals
        if not self.is_running or is_early:
            return
        assert self._process is not None
        self.is_paused = signal_number is signal.SIGSTOP or (
            self.is_paused and signal_number is not signal.SIGCONT
        )
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self._is_exit_expected = True
        if signal_number is signal.SIGTERM and not self.is_stopping:
            self.is_stopping = True
            self.stops.append(PlannedStop(self.name, time.monotonic()))
        self._process.send_signal(signal_number)

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def terminate(self) -> None:
        """Stop the process with SIGTERM and record a late or failed exit."""
        if not self.is_running:
            return
        assert self._process is not None
        process = self._process
        allowed = {0, -signal.SIGKILL}
        if not self.handles_signals:
            allowed.add(-signal.SIGTERM)
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_PERIOD_SECONDS + EXIT_SLACK_SECONDS):
                code = await process.wait()
        except TimeoutError:
            if not self.is_paused:
                self.violations.append(
                    Violation("STOP", f"{self.name} did not exit after SIGTERM")
                )
            await self.kill()
            return
        if code not in allowed:
            self.violations.append(Violation("STOP", f"{self.name} exited with {code}"))

    def check(self) -> None:
        """Record an unexpected exit and excessive memory use."""
        process = self._process
        if process is None:
            return
        if process.returncode is not None and not self._is_exit_expected:
            self._is_exit_expected = True
            detail = f"{self.name} exited unexpectedly with {process.returncode}"
            self.violations.append(Violation("EXIT", detail))
        n_bytes = self._read_memory() if self.is_running else 0
        if n_bytes > MAX_MEMORY_BYTES:
            detail = f"{self.name} uses {n_bytes / 1024 / 1024:.0f} MiB"
            self.violations.append(Violation("MEMORY", detail))

    def _read_memory(self) -> int:
        assert self._process is not None
        try:
            text = Path(f"/proc/{self._process.pid}/statm").read_text(encoding="ascii")
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def is_ready(self, http_session: aiohttp.ClientSession) -> bool:
        """Query the readiness probe, as a load balancer does."""
        url = f"http://{self.host}:{self.ready_port}/sardinemill/readiness"
        try:
            async with http_session.get(
                url, timeout=aiohttp.ClientTimeout(1.0)
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def heal(self) -> None:
        """End all faults and restart the process if it is down."""
        self.peer_link.set_faults(HEALTHY)
        self.store_link.set_faults(HEALTHY)
        if self.is_paused:
            self.send_signal(signal.SIGCONT)
        if self._is_exit_expected:
            # The end of the run cancelled the fault that was stopping the process.
            await self.terminate()
        await self.start()

    async def stop(self) -> None:
        """Kill the process and stop the links."""
        await self.kill()
        await self.peer_link.stop()
        await self.store_link.stop()
