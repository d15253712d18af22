"""Decoding of the configuration and of database entries in the platform's store."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinemill.errors import ConfigurationError
from sardinemill.platform.store_documents import decode_configuration, decode_directory
from sardinemill.sessions.routes import Consistency

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "status",
            "path_prefix": "/",
            "kind": "bounded",
            "timeout_ms": 2000,
            "service": "g",
            "priority": 2,
            "max_staleness_ms": 1500,
            "allow_anonymous": False,
        }
    ],
    "services": [{"name": "g", "max_connections": 49}],
    "limits": {"transaction_idle_ms": 2500},
    "tenants": [
        {"name": "hives", "api_keys": ["k"], "requests_per_s": 64, "burst": 32}
    ],
}
ENTRY = {
    "service": "g",
    "address": "10.128.0.9:8080",
    "zone": "x",
    "slots": 3,
    "state": "ready",
    "database_role": "replica",
    "born": 17,
    "sequence": 4,
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def test_configuration_fields():
    """Guards against fields that are decoded with a wrong meaning or unit."""
    configuration = decode_configuration(DOCUMENT)
    (route,) = configuration.routes
    assert configuration.version == 7
    assert (route.database, route.group) == ("status", "g")
    assert route.consistency is Consistency.BOUNDED_STALENESS
    assert (route.timeout_seconds, route.staleness_seconds) == (2.0, 1.5)
    (plan,) = configuration.workspaces
    assert (plan.operations_per_second, plan.burst, plan.keys) == (64, 32, ("k",))
    assert configuration.transaction_idle_seconds == 2.5
    assert configuration.max_connections == (("g", 49),)


@settings(derandomize=True, max_examples=300)
@given(st.sampled_from(sorted(DOCUMENT)), JSON_VALUES)
def test_malformed_configuration_raises_configuration_error(field, value):
    """Guards against a malformed document that raises another error and so ends the
    task that reads the store.
    """
    try:
        decode_configuration({**DOCUMENT, field: value})
    except ConfigurationError:
        return


@settings(derandomize=True, max_examples=300)
@given(st.sampled_from(sorted(ENTRY)), JSON_VALUES)
def test_malformed_entry_is_skipped(field, value):
    """Guards against a malformed entry that prevents decoding of the others."""
    directory = decode_directory([("bad", {**ENTRY, field: value}), ("i-1", ENTRY)])
    assert directory.find("i-1") is not None


@pytest.mark.parametrize("field", ["service", "address", "zone", "state"])
def test_entry_without_a_required_field_is_skipped(field):
    """Guards against use of a database whose entry is incomplete."""
    entry = {name: value for name, value in ENTRY.items() if name != field}
    assert decode_directory([("bad", entry), ("worse", None)]).databases == ()


def test_draining_primary():
    """Guards against a draining database that still receives work."""
    entry = {**ENTRY, "state": "draining", "database_role": "primary"}
    (database,) = decode_directory([("i-1", entry)]).databases
    assert database.is_leaving and database.is_primary
