"""Instance with delays to other data centres; otherwise ``sardinemill-instance``.

``SARDINEMILL_EMULATOR_DELAY_SECONDS`` sets the delay one way.
"""

import os

from ..daemon import run_main
from ..instance_adapters import InstanceAdapters
from ..settings import Settings
from .delays import delay_edges

DELAY_VARIABLE = "SARDINEMILL_EMULATOR_DELAY_SECONDS"


def _delay(edges: InstanceAdapters, settings: Settings) -> InstanceAdapters:
    seconds = float(os.environ.get(DELAY_VARIABLE, "0"))
    return delay_edges(edges, settings.data_centre, seconds)


if __name__ == "__main__":
    run_main(_delay)
