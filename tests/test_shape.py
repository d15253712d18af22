"""Architecture rules of CONTRIBUTING.md, checked over the whole package."""

import dataclasses
import importlib
import inspect
import os
import pkgutil
import subprocess
import sys
from pathlib import Path

import sardinemill

SOURCE = Path(sardinemill.__file__).parent


def list_classes():
    """Import all modules of the package and yield their classes."""
    for item in pkgutil.walk_packages(sardinemill.__path__, "sardinemill."):
        if item.name.endswith("__main__"):
            continue
        module = importlib.import_module(item.name)
        for _, kind in inspect.getmembers(module, inspect.isclass):
            if kind.__module__ == item.name:
                yield kind


def test_data_classes_are_frozen():
    """Guards against messages that are mutated after they were sent."""
    unfrozen = [
        f"{kind.__module__}.{kind.__name__}"
        for kind in list_classes()
        if dataclasses.is_dataclass(kind) and not kind.__dataclass_params__.frozen
    ]
    assert unfrozen == []


def test_start_of_an_instance_loads_no_heavy_library():
    """Guards against a library that delays the start: on a fraction of a core, imports
    decide how long a machine that returns serves nobody.
    """
    heavy = ("aiohttp", "opentelemetry", "prometheus_client", "sqlglot", "defopt")
    code = (
        "import sys, sardinemill.platform.daemon;"
        f"print([name for name in {heavy!r} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": str(SOURCE.parent)},
    )
    assert found.stdout.strip() == "[]"
