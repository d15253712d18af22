"""The platform's words stay in its adapter."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
SOURCES = ROOT / "src" / "sardinemill"
WORDS = re.compile(
    r"X-Duty-Holder|X-Fencing-Token|max_staleness_ms|database_role|SARDINEMILL_BOOT"
    r"|allow_anonymous|cold_remaining_ms|\btenants?\b|\bfrom \.+platform\b(?!\.)"
    r"|LAGGING|MISROUTED|INDOUBT|READONLY|requests_per_s|api_keys|path_prefix",
)


def test_no_word_of_the_platform_outside_its_adapter():
    """Guards against decisions that depend on one platform's names."""
    found = [
        f"{path.relative_to(SOURCES)}: {match.group()}"
        for path in SOURCES.rglob("*.py")
        if path.relative_to(SOURCES).parts[0] not in ("platform", "emulator")
        for match in WORDS.finditer(path.read_text())
    ]
    assert found == []


def test_nothing_outside_the_adapter_imports_it():
    """Guards against an adapter that decisions lean on."""
    pattern = re.compile(r"from (sardinemill|\.+)\.?platform\b(?!_)")
    found = [
        str(path.relative_to(SOURCES))
        for path in SOURCES.rglob("*.py")
        if path.relative_to(SOURCES).parts[0] not in ("platform", "emulator")
        and pattern.search(path.read_text())
    ]
    assert found == []


def read_version(text):
    """Numbers of a version; pre-releases count by their release."""
    return tuple(int(part) for part in re.findall(r"\d+", text))


def test_pinned_requirements_are_dependencies_of_the_project():
    """Guards against a deployment with libraries that the project does not declare."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    declared = dict(item.split(">=") for item in project["dependencies"])
    lines = (ROOT / "deploy" / "requirements.txt").read_text().split()
    for line in lines:
        name, version = line.split("==")
        assert read_version(version) >= read_version(declared[name])
