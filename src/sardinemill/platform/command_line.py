"""Entry point of the operators' command line with the clients of this platform."""

import os
import sys
from collections.abc import Sequence

from ..cli import run
from .overview import MetricsReader, PlatformReader
from .settings import parse_address


class PlatformClientFactory:
    """Makes the clients that read a fleet on this platform."""

    def open_reader(self, url: str) -> PlatformReader:
        """Make a reader of the store; raises ``ValueError`` for a wrong address."""
        address = parse_address(url.removeprefix("http://").rstrip("/"))
        if address is None:
            text = f"--store {url or '(none)'}: not http://, an IP address and a port"
            raise ValueError(text)
        return PlatformReader(address)

    def open_counters(self, addresses: Sequence[str]) -> MetricsReader:
        """Make a source of counters; raises ``ValueError`` for wrong addresses."""
        faults = [
            f"--metrics {item}: not an IP address and port"
            for item in addresses
            if parse_address(item) is None
        ]
        if faults:
            raise ValueError("\n".join(faults))
        return MetricsReader()


def main() -> None:
    """Entry point of the console script."""
    sys.exit(run(sys.argv[1:], os.environ, platform=PlatformClientFactory()))
