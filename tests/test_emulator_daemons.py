"""Command line flags and environment variables of the stand-in daemons."""

import pytest

from sardinemill.emulator.daemons import add_environment, parse_address
from sardinemill.emulator.database_daemon import run_database
from sardinemill.errors import SettingsError


def test_command_line_goes_before_environment():
    """Guards against an environment variable that overrides a flag or is ignored."""
    environment = {
        "SARDINEMILL_DATABASE_PORT": "1",
        "SARDINEMILL_DATABASE_PEERS": "b=127.0.0.1:2,c=127.0.0.1:3",
        "SARDINEMILL_DATABASE_IS_INITIAL_PRIMARY": "true",
    }
    arguments = add_environment(
        run_database, "SARDINEMILL_DATABASE_", ["--port", "9"], environment
    )
    assert arguments == [
        "--port=1",
        "--peers",
        "b=127.0.0.1:2",
        "c=127.0.0.1:3",
        "--is-initial-primary",
        "--port",
        "9",
    ]
    with pytest.raises(SettingsError):
        parse_address("127.0.0.1")
