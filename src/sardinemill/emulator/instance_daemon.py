"""``sardinemill-instance`` with a simulated delay to other data centres.

``SARDINEMILL_EMULATOR_DELAY_SECONDS`` sets the one-way delay.
"""

import os

from ..daemon import run_main
from ..instance_adapters import InstanceAdapters
from ..settings import Settings
from .delays import add_delays

DELAY_VARIABLE = "SARDINEMILL_EMULATOR_DELAY_SECONDS"


def _add_delays(adapters: InstanceAdapters, settings: Settings) -> InstanceAdapters:
    seconds = float(os.environ.get(DELAY_VARIABLE, "0"))
    return add_delays(adapters, settings.data_centre, seconds)


if __name__ == "__main__":
    run_main(_add_delays)
