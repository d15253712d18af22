"""Starts one instance on the platform."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sardinemill.platform.daemon import main

main()
