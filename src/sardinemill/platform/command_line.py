"""Entry point of the operators' command line on this platform."""

import os
import sys
from collections.abc import Sequence

from ..cli import run
from ..errors import ConfigurationError
from ..sessions.routes import Configuration
from .json_documents import decode_document
from .overview import MetricsReader, PlatformReader
from .settings import parse_address
from .store_documents import decode_configuration


class PlatformClientFactory:
    """Makes the clients that the command line uses on this platform."""

    def make_fleet_reader(self, url: str) -> PlatformReader:
        """Return a reader of the store at a URL.

        :raises ValueError: when the URL is malformed.
        """
        address = parse_address(url.removeprefix("http://").rstrip("/"))
        if address is None:
            text = f"--store {url or '(none)'}: not http://, an IP address and a port"
            raise ValueError(text)
        return PlatformReader(address)

    def make_counters_source(self, addresses: Sequence[str]) -> MetricsReader:
        """Return a source of the instances' counters.

        :raises ValueError: with all malformed addresses at once.
        """
        errors = [
            f"--metrics {item}: not an IP address and port"
            for item in addresses
            if parse_address(item) is None
        ]
        if errors:
            raise ValueError("\n".join(errors))
        return MetricsReader()

    def decode_routes(self, data: bytes) -> Configuration:
        """Decode a configuration as the store holds it, without its metadata.

        :raises ConfigurationError: when it is malformed.
        """
        try:
            document = decode_document(data)
        except ValueError as error:
            raise ConfigurationError(f"not JSON: {error}", step="decode") from error
        return decode_configuration(document)


def main() -> None:
    """Run the console script; exit with the command's status."""
    sys.exit(run(sys.argv[1:], os.environ, platform=PlatformClientFactory()))
