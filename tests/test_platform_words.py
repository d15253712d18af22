"""Separation of the platform's terms and adapter from the rest of the code."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
SOURCE_DIRECTORY = ROOT / "src" / "sardinemill"
PLATFORM_TERMS = re.compile(
    r"X-Duty-Holder|X-Fencing-Token|max_staleness_ms|database_role|SARDINEMILL_BOOT"
    r"|allow_anonymous|cold_remaining_ms|\btenants?\b|\bfrom \.+platform\b(?!\.)"
    r"|LAGGING|MISROUTED|INDOUBT|READONLY|requests_per_s|api_keys|path_prefix",
)


def test_platform_terms_stay_in_the_adapter():
    """Guards against core code that depends on the names of one platform."""
    found = [
        f"{path.relative_to(SOURCE_DIRECTORY)}: {match.group()}"
        for path in SOURCE_DIRECTORY.rglob("*.py")
        if path.relative_to(SOURCE_DIRECTORY).parts[0] not in ("platform", "emulator")
        for match in PLATFORM_TERMS.finditer(path.read_text())
    ]
    assert found == []


def test_nothing_outside_the_adapter_imports_it():
    """Guards against core code that depends on the platform's adapter."""
    pattern = re.compile(r"from (sardinemill|\.+)\.?platform\b(?!_)")
    found = [
        str(path.relative_to(SOURCE_DIRECTORY))
        for path in SOURCE_DIRECTORY.rglob("*.py")
        if path.relative_to(SOURCE_DIRECTORY).parts[0] not in ("platform", "emulator")
        and pattern.search(path.read_text())
    ]
    assert found == []


def read_version(text):
    """Return the numbers of a version; a pre-release counts as its release."""
    return tuple(int(part) for part in re.findall(r"\d+", text))


def test_pinned_requirements_are_dependencies_of_the_project():
    """Guards against a deployment with libraries that the project does not declare, or
    with versions older than declared.
    """
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    declared = dict(item.split(">=") for item in project["dependencies"])
    lines = (ROOT / "deploy" / "requirements.txt").read_text().split()
    for line in lines:
        name, version = line.split("==")
        assert read_version(version) >= read_version(declared[name])
