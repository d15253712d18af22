"""Check of a configuration before it is sent."""

import io
import json

import pytest

from sardinemill.cli import run
from sardinemill.configuration_check import Severity, check_configuration
from sardinemill.platform.command_line import PlatformClientFactory
from sardinemill.sessions.routes import Configuration, Consistency, WorkspacePlan
from session_builders import make_configuration, make_route
from session_cluster import make_document


def make_plan(name="hives", keys=("k",), rate=50.0, burst=50.0):
    """Return the plan of a workspace."""
    return WorkspacePlan(name=name, keys=keys, operations_per_second=rate, burst=burst)


def make_candidate(routes=None, plans=None, max_connections=(("g", 49),)):
    """Return a configuration without faults unless parts say otherwise."""
    return Configuration(
        version=2,
        routes=(make_route(),) if routes is None else routes,
        workspaces=(make_plan(),) if plans is None else plans,
        max_connections=max_connections,
    )


def test_valid_configuration_has_no_findings():
    """Guards against false alarms, by which operators learn to ignore findings."""
    assert check_configuration(make_configuration()).findings == ()


@pytest.mark.parametrize(
    ("parts", "severity", "text"),
    [
        (
            {"routes": (make_route(), make_route())},
            Severity.ERROR,
            "never matches: a later route",
        ),
        (
            {"routes": (make_route(group="other"),)},
            Severity.ERROR,
            "there is no group other",
        ),
        (
            {"routes": (make_route(timeout_seconds=0.0),)},
            Severity.ERROR,
            "time-out is not above 0",
        ),
        (
            {"routes": (make_route(staleness_seconds=1.0),)},
            Severity.WARNING,
            "reads from the primary only",
        ),
        (
            {"routes": (make_route(consistency=Consistency.BOUNDED_STALENESS),)},
            Severity.WARNING,
            "they serve nothing",
        ),
        (
            {"plans": (make_plan(), make_plan("loans"))},
            Severity.ERROR,
            "shares a key with loans",
        ),
        (
            {"plans": (make_plan(), make_plan(keys=("l",)))},
            Severity.ERROR,
            "its name is not unique",
        ),
        ({"plans": (make_plan(keys=()),)}, Severity.WARNING, "it has no key"),
        ({"plans": (make_plan(burst=0.5),)}, Severity.ERROR, "ever admitted"),
        ({"plans": (make_plan(rate=0.0),)}, Severity.WARNING, "its rate is 0"),
        ({"plans": (make_plan(rate=-1.0),)}, Severity.ERROR, "below 0"),
        ({"max_connections": (("g", 0),)}, Severity.ERROR, "accept no connection"),
        (
            {
                "max_connections": (("g", 1),),
                "plans": (make_plan(), make_plan("loans", ("l",))),
            },
            Severity.WARNING,
            "fewer than the 2 workspaces",
        ),
    ],
)
def test_each_fault_is_found(parts, severity, text):
    """Guards against a fault that shows only when the configuration is in force."""
    report = check_configuration(make_candidate(**parts))
    assert any(
        item.severity is severity and text in item.text for item in report.findings
    )
    assert report.has_errors == (severity is Severity.ERROR)


def test_differences_name_entries_and_no_keys():
    """Guards against a change that an operator did not mean, and against keys in the
    output.
    """
    current = make_candidate()
    candidate = make_candidate(
        routes=(make_route(timeout_seconds=2.0), make_route("new")),
        plans=(make_plan("loans", ("secret",)),),
    )
    report = check_configuration(candidate, current)
    assert "2 is not above 2" in report.findings[0].text
    changes = {item.kind: item for item in report.changes}
    assert changes["routes"].added == ("new",)
    assert changes["routes"].changed == ("bookings",)
    assert changes["workspaces"].added == ("loans",)
    assert changes["workspaces"].removed == ("hives",)
    assert "secret" not in repr(report)


def run_check(tmp_path, document, *arguments):
    """Write a document and check it; return the exit status and the output."""
    path = tmp_path / "next.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    output = io.StringIO()
    status = run(
        ["routes", "check", str(path), *arguments],
        {},
        platform=PlatformClientFactory(),
        output=output,
    )
    return status, output.getvalue()


def test_command_checks_the_form_of_the_platform(tmp_path, capsys):
    """Guards against a check that succeeds on a file which the platform's decoder
    refuses, and against keys in its output.
    """
    status, text = run_check(tmp_path, make_document())
    assert (status, text) == (0, "version 1: 0 errors, 0 warnings\n")
    document = make_document()
    document["tenants"][0]["burst"] = 0
    status, text = run_check(tmp_path, document)
    assert status == 2
    assert "error: workspace hives" in text
    assert "key-of-hives" not in text
    assert run_check(tmp_path, {"version": 1})[0] == 2
    assert "malformed" in capsys.readouterr().err
    assert run_check(tmp_path, "not json")[0] == 2
    current = tmp_path / "current.json"
    current.write_text(json.dumps(make_document()))
    status, text = run_check(
        tmp_path, make_document(version=2, timeout_ms=9), "--against", str(current)
    )
    assert (status, "~ routes bookings" in text) == (0, True)
