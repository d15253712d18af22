"""Operators' command line over a store in memory."""

import io
import json

import pytest

from faulty_store import AutoAdvancingClock, FaultyStore
from sardinemill.cli import run
from sardinemill.configuration import hash_key
from sardinemill.documents import HEAD_NAME
from sardinemill.errors import StoreUnavailable
from sardinemill.fleet.records import Directory, FleetRecord

PLANS = [{"name": "small", "rate_per_second": 5, "burst": 10}]
WORKSPACES = [{"name": "loans", "plan": "small", "group": "books"}]
GROUPS = [{"name": "books", "n_slots": 3, "databases": []}]


class EmptyFleet:
    """Platform of a fleet that has not started."""

    def make_fleet_reader(self, url):
        return self

    def make_counters_source(self, addresses):
        return self

    async def start(self):
        pass

    async def stop(self):
        pass

    async def read_record(self):
        return FleetRecord(), 0

    async def read_directory(self):
        return Directory()

    async def read_configuration(self):
        return None


class OperatorDesk:
    """Runs commands and keeps their output."""

    def __init__(self, directory) -> None:
        self.store = FaultyStore()
        self.directory = directory
        self.output = ""

    def run(self, *arguments: str, answer: str = "") -> int:
        output = io.StringIO()
        status = run(
            arguments,
            {"SARDINEMILL_AUTHOR": "anna"},
            store=self.store,
            platform=EmptyFleet(),
            clock=AutoAdvancingClock(),
            output=output,
            questions=io.StringIO(answer),
        )
        self.output = output.getvalue()
        return status

    def write(self, name: str, entries: object) -> str:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(entries))
        return str(path)

    def seed(self) -> None:
        files = {"plans": PLANS, "workspaces": WORKSPACES, "groups": GROUPS}
        flags = [
            text
            for name, entries in files.items()
            for text in (f"--{name}", self.write(name, entries))
        ]
        assert self.run("edit", *flags) == 0


@pytest.fixture
def desk(tmp_path):
    desk = OperatorDesk(tmp_path)
    desk.seed()
    return desk


def test_key_is_shown_once_and_withdrawn_after_a_question(desk):
    """Guards against a key in clear in the store, and against access that is taken
    away without a question.
    """
    assert desk.run("--json", "key", "give", "loans") == 0
    given = json.loads(desk.output)["data"]
    key, key_id = given["key"], given["key_id"]
    assert key.startswith("smk_") and len(key) >= 4 + 43
    stored = b"".join(item.value for item in desk.store.objects.values())
    assert key.encode() not in stored and hash_key(key).encode() in stored
    assert desk.run("key", "list") == 0
    assert key_id in desk.output and key not in desk.output
    assert desk.run("key", "withdraw", key_id, answer="no\n") == 1
    assert "CALLERS LOSE ACCESS in workspaces: loans" in desk.output
    assert desk.run("key", "withdraw", key_id, answer="yes\n") == 0
    assert desk.run("undo", "--version", "2") == 0
    assert desk.run("key", "list") == 0
    assert key_id not in desk.output
    assert desk.run("history") == 0
    assert f"withdraw key {key_id}" in desk.output


def test_every_fault_of_all_lists_is_reported(desk):
    """Guards against operators who find faults one at a time, and against a misspelled
    field that is silently left out.
    """
    plans = desk.write("bad-plans", [{"name": "A b", "rate_per_second": 0, "burst": 0}])
    arguments = ("--plans", plans, "--workspaces", desk.write("w", WORKSPACES))
    assert desk.run("edit", *arguments) == 2
    for text in ("plans 'A b': name", "rate_per_second", "burst", "loans': plan"):
        assert text in desk.output
    typo = desk.write("typo", [{**PLANS[0], "wieght": 2}, {"name": "x", "burst": "y"}])
    assert desk.run("edit", "--plans", typo) == 2
    assert "wieght" in desk.output and "plans 'x'" in desk.output
    assert desk.run("check", "--plans", desk.write("good", PLANS)) == 0
    assert desk.run("plan", "change", "large", "--rate", "1") == 2
    assert desk.run("promote", "nowhere") == 2
    assert len(desk.store.accepted_heads) == 1


def test_edit_of_an_outdated_version_shows_what_won(desk):
    """Guards against an edit of a version that the operator has not seen."""
    assert desk.run("plan", "change", "small", "--rate", "7") == 0
    assert "rate of loans: 5/s burst 10 -> 7/s burst 10" in desk.output
    status = desk.run(
        "--expect-version", "1", "plan", "change", "small", "--burst", "9"
    )
    assert status == 1
    assert "change plan small" in desk.output and "7/s" in desk.output


def test_exit_status_tells_unavailable_from_unknown(desk, monkeypatch):
    """Guards against an unknown outcome that is reported as a failure, and against a
    given key that is lost with it.
    """

    async def fail(name, *arguments, **options):
        raise StoreUnavailable("no answer", step="store")

    original = desk.store.put

    async def lose_head(name, value, *, expected_version):
        if name == HEAD_NAME:
            monkeypatch.setattr(desk.store, "get", fail)
            raise StoreUnavailable("no answer", step="store")
        return await original(name, value, expected_version=expected_version)

    monkeypatch.setattr(desk.store, "put", lose_head)
    assert desk.run("key", "give", "loans") == 4
    assert "smk_" in desk.output and "outcome unknown" in desk.output
    assert desk.run("show") == 3
    assert run(["show"], {}, output=io.StringIO()) == 2
    assert desk.run("no-such-command") == 2


def test_accepted_edit_is_reported_also_when_waiting_fails(desk, monkeypatch):
    """Guards against an accepted edit that is reported as "nothing was changed", and
    against a given key that is not shown.
    """

    async def fail():
        raise StoreUnavailable("no answer", step="store")

    monkeypatch.setattr(desk.store, "list_instances", fail)
    assert desk.run("--wait", "key", "give", "loans") == 3
    assert "accepted as version 2" in desk.output and "smk_" in desk.output
    assert "nothing was changed" not in desk.output
