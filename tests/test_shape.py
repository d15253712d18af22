"""The shape that CONTRIBUTING asks of the whole package."""

import dataclasses
import importlib
import inspect
import pkgutil

import sardinemill


def list_classes():
    """All classes of the package, with their modules imported."""
    for item in pkgutil.walk_packages(sardinemill.__path__, "sardinemill."):
        if item.name.endswith("__main__"):
            continue
        module = importlib.import_module(item.name)
        for _, kind in inspect.getmembers(module, inspect.isclass):
            if kind.__module__ == item.name:
                yield kind


def test_data_classes_are_frozen():
    """Guards against messages that change after they were handed on."""
    unfrozen = [
        f"{kind.__module__}.{kind.__name__}"
        for kind in list_classes()
        if dataclasses.is_dataclass(kind) and not kind.__dataclass_params__.frozen
    ]
    assert unfrozen == []
