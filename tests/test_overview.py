"""The overview command against a stand-in store and a running instance."""

import asyncio
import io
import json
from dataclasses import replace

from sardinemill.cli import run
from sardinemill.fleet.records import Coordinator, Directory, FleetRecord, GroupRecord
from sardinemill.overview import InstanceCounters, read_overview
from sardinemill.platform.command_line import PlatformClientFactory
from sardinemill.platform.overview import parse_counters
from sardinemill.presentation import format_overview
from session_builders import make_configuration, make_directory
from session_cluster import run_in_cluster


def run_overview(*arguments):
    """Run the command line and return its exit status and output."""
    output = io.StringIO()
    status = run(arguments, {}, platform=PlatformClientFactory(), output=output)
    return status, output.getvalue()


def test_overview_of_a_running_fleet():
    """Guards against an overview without primaries, limits and refusals, against output
    of API keys, and against success when the store is unavailable.
    """

    async def scenario(cluster):
        client, _ = await cluster.connect()
        await client.ask("WRITE a one")
        settings = cluster.settings["i0"]
        arguments = (
            "--store",
            f"http://{cluster.store.address}",
            "overview",
            "--metrics",
            str(settings.metrics_address),
            "127.0.0.1:1",
        )
        status, text = await asyncio.to_thread(run_overview, *arguments)
        assert status == 0
        assert "configuration 1" in text
        assert "i0" in text
        assert "steady" in text
        assert "era of the store 1, of the record 1\n" in text
        assert "behind" not in text.partition("silent")[0]
        assert "ok=1" in text
        assert "silent" in text
        assert "key-of-hives" not in text
        status, text = await asyncio.to_thread(run_overview, "--json", *arguments)
        data = json.loads(text)["data"]
        assert data["groups"][0]["primary"] == "p"
        assert data["instances"][0]["record_era"] == 1
        assert data["workspaces"][0]["n_keys"] == 1
        assert "key-of-hives" not in text
        cluster.store.is_down = True
        status, text = await asyncio.to_thread(run_overview, *arguments)
        assert status == 3
        assert text.startswith("platform unavailable")

    run_in_cluster(scenario, n_instances=1)


def test_all_malformed_addresses_are_reported_at_once(capsys):
    """Guards against malformed addresses that are reported one per run."""
    status, _ = run_overview("--store", "here", "overview", "--metrics", "there")
    assert status == 2
    errors = capsys.readouterr().err.splitlines()
    assert [line.split(":")[0] for line in errors] == [
        "--store here",
        "--metrics there",
    ]


class FakeFleetReader:
    """Fleet reader that returns what a test sets."""

    def __init__(self, record, directory=None):
        self.record, self.directory = record, directory or make_directory().directory

    async def read_record(self):
        return self.record, 5

    async def read_era(self):
        return 3

    async def read_directory(self):
        return self.directory

    async def read_configuration(self):
        return make_configuration()


class FakeCountersSource:
    """Source of counters; without some, the instances do not answer."""

    def __init__(self, **counters):
        self._counters = counters

    async def fetch(self, address):
        is_answering = bool(self._counters)
        return InstanceCounters(
            address=address, is_answering=is_answering, **self._counters
        )


def test_group_whose_primary_is_missing_in_the_directory():
    """Guards against a primary that is shown as healthy without a directory entry."""
    coordinator = Coordinator(
        name="a", data_centre="x", host="h", port=1, incarnation="1"
    )
    record = FleetRecord(
        coordinators=(coordinator,), groups=(GroupRecord(group="g", primary="p"),)
    )
    found = asyncio.run(
        read_overview(
            FakeFleetReader(record, Directory()), FakeCountersSource(), ["h:1"]
        )
    )
    (group,) = found.groups
    assert not group.is_primary_present
    assert not found.instances[0].is_answering
    assert (found.store_era, found.record_era) == (3, 0)
    assert "of the record 0 (behind)" in format_overview(found)


def test_counters_are_summed_over_kinds_of_statements():
    """Guards against counters that are not summed over their other labels."""
    text = """# TYPE sardinemill_statements_total counter
sardinemill_statements_total{code="busy",kind="read"} 2.0
sardinemill_statements_total{code="busy",kind="write"} 3.0
sardinemill_statements_total{code="ok",kind="read"} 7.0
# TYPE sardinemill_configuration_version gauge
sardinemill_configuration_version 4.0
# TYPE sardinemill_configuration_stale gauge
sardinemill_configuration_stale 1.0
"""
    counters = parse_counters("h:1", text)
    assert counters.statements == (("busy", 5), ("ok", 7))
    assert counters.configuration_version == 4
    assert counters.is_configuration_stale


def test_instance_with_an_old_configuration_is_marked():
    """Guards against an overview that does not show who lags behind."""
    counters = FakeCountersSource(configuration_version=3, is_configuration_stale=True)
    reader = FakeFleetReader(FleetRecord(), Directory())
    found = asyncio.run(read_overview(reader, counters, ["h:1"]))
    shown = format_overview(replace(found, configuration_version=4))
    assert "3 (behind, unconfirmed)" in shown
    assert "3 (unconfirmed)" in format_overview(replace(found, configuration_version=3))
