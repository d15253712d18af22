"""Child processes of the demonstration and the benchmarks."""

import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

START_TIMEOUT_SECONDS = 15.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05


class ProcessError(Exception):
    """A process did not start or stop as expected."""


class Process:
    """One daemon process.

    :param name: base name of the log files.
    :param module: Python module to run.
    :param arguments: command line after the module.
    :param environment: variables added to those of this process.
    :param log_directory: receives ``<name>.jsonl`` from standard output and
        ``<name>.err`` from standard error.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        *,
        log_directory: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log_path = log_directory / f"{name}.jsonl"
        self._error_path = log_directory / f"{name}.err"
        with self.log_path.open("ab") as log, self._error_path.open("ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=errors,
                env={**os.environ, **(environment or {})},
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def wait_until_ready(self, url: str) -> None:
        """Wait until an HTTP GET of ``url`` gets status 200.

        :raises ProcessError: when the process ends or is not ready within
            ``START_TIMEOUT_SECONDS``.
        """
        end = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < end:
            if not self.is_running:
                raise ProcessError(f"{self.name} ended: {self._read_errors()}")
            try:
                with urllib.request.urlopen(url, timeout=1.0):
                    return
            except (urllib.error.URLError, OSError):
                time.sleep(POLL_INTERVAL_SECONDS)
        raise ProcessError(f"{self.name} is not ready: {self._read_errors()}")

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs, and to no other."""
        if self.is_running:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self._process.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM and wait for its end.

        :returns: its exit status.
        :raises ProcessError: when it had to be killed after ``STOP_TIMEOUT_SECONDS``.
        """
        self.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(timeout=STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            raise ProcessError(
                f"{self.name} did not exit after SIGTERM and was killed"
            ) from None

    def read_memory_bytes(self) -> int:
        """Return the resident memory."""
        text = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def read_cpu_seconds(self) -> float:
        """Return the processor time used so far."""
        text = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _read_errors(self) -> str:
        return self._error_path.read_text(encoding="utf-8", errors="replace")[-2000:]
