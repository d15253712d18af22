"""Starts one instance on the platform."""

import signal
import sys
from pathlib import Path

# The imports below take a second on a small machine. A stop meanwhile is no failure,
# and the settings are read after them anyway.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sardinemill.platform.daemon import main  # noqa: E402

main()
