"""Architecture rules of CONTRIBUTING.md, checked over the whole package."""

import dataclasses
import importlib
import inspect
import pkgutil

import sardinemill


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
