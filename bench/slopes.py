"""Growth of state, messages, processor time and memory with size.

``python -m bench.slopes [measurement ...]`` runs the named measurements, by default
all; docs/CAPACITY.md uses the fitted slopes.
"""

import sys
from collections.abc import Callable, Mapping
from dataclasses import asdict

from .fits import Fit
from .results import print_table, write_results
from .slopes_fleet import measure_fleet
from .slopes_front import measure_connections, measure_statements
from .slopes_gateways import measure_gateways
from .slopes_membership import measure_membership
from .slopes_sessions import measure_sessions
from .slopes_state import (
    measure_authentication,
    measure_heartbeats,
    measure_lending,
    measure_reports,
)

MEASUREMENTS: Mapping[str, Callable[[], list[Fit]]] = {
    "authentication": measure_authentication,
    "heartbeats": measure_heartbeats,
    "membership": measure_membership,
    "lending": measure_lending,
    "reports": measure_reports,
    "connections": measure_connections,
    "statements": measure_statements,
    "fleet": measure_fleet,
    "sessions": measure_sessions,
    "gateways": measure_gateways,
}


def run_slopes(names: list[str]) -> None:
    """Run measurements, print the linear fits and append them to the results."""
    fits: list[Fit] = []
    for name in names or list(MEASUREMENTS):
        fits += MEASUREMENTS[name]()
    rows = [asdict(fit) for fit in fits]
    print_table(rows)
    path = write_results("slopes", rows)
    print(f"written to {path.name}")


if __name__ == "__main__":
    run_slopes(sys.argv[1:])
