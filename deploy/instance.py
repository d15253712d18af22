"""Start one instance on the platform."""

import signal
import sys
from pathlib import Path

# The imports below take a second on a small machine. SIGTERM meanwhile is a regular
# stop, and SIGHUP can be ignored because the settings are read after the imports.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sardinemill.platform.daemon import main  # noqa: E402

main()
