"""Tests ``sardinemill timeline`` as a subprocess on the logs of two instances."""

import os
import subprocess
import sys
from pathlib import Path

from sardinemill.event_logger import EventLogger
from sardinemill.events import Event, EventName

SOURCE = Path(__file__).parents[1] / "src"


def run_timeline(directory, *arguments):
    """Run the command in ``directory`` without the URL of a store."""
    return subprocess.run(
        [sys.executable, "-m", "sardinemill.cli", "timeline", *arguments],
        cwd=directory,
        env={**os.environ, "PYTHONPATH": str(SOURCE), "SARDINEMILL_STORE": ""},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def write_log(path, times):
    """Write one event per group, for two groups, at each of the given times."""
    clock = iter([time for time in times for _ in range(2)])
    with path.open("w") as file:
        event_logger = EventLogger(
            file, instance=path.stem, data_centre="x", read_wall_ns=lambda: next(clock)
        )
        for number in times:
            for group in ("books", "hives"):
                fields = {"group": group, "step_number": number}
                event_logger.offer(Event(EventName.PRIMARY_LEARNED, fields))


def test_logs_of_two_instances_become_one_text_and_one_picture(tmp_path):
    """Guards against a command that fails as an installed program or without a store,
    and against wrong instances, order or selection in its output.
    """
    write_log(tmp_path / "one.jsonl", [1000, 3000])
    write_log(tmp_path / "two.jsonl", [2000, 4000])
    done = run_timeline(
        tmp_path, "one.jsonl", "two.jsonl", "--group", "books", "--html", "page.html"
    )
    assert (done.returncode, done.stderr) == (0, "")
    lines = done.stdout.splitlines()
    assert [line.split()[1] for line in lines] == ["one", "two", "one", "two"]
    assert all("306 primary_learned" in line for line in lines)
    assert "hives" not in done.stdout
    page = (tmp_path / "page.html").read_text()
    assert page.count("<circle") == 4 and "hives" not in page
    assert ">one</text>" in page and ">two</text>" in page
    missing = run_timeline(tmp_path, "none.jsonl")
    assert missing.returncode == 2 and "none.jsonl" in missing.stdout
