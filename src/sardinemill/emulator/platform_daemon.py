"""Console script ``sardinemill-platform``: object store and instance list."""

import asyncio

from ..adapters.clocks import SystemClock
from ..groups import Address
from .daemons import configure_log, log_event, run_main, serve
from .platform import (
    LIST_LAG_SECONDS,
    READS_PER_SECOND,
    WRITES_PER_SECOND,
    Platform,
)
from .platform_server import PlatformServer

ENVIRONMENT_PREFIX = "SARDINEMILL_PLATFORM_"


def run_platform(
    *,
    host: str = "127.0.0.1",
    port: int,
    writes_per_second: float = WRITES_PER_SECOND,
    reads_per_second: float = READS_PER_SECOND,
    lag_seconds: float = LIST_LAG_SECONDS,
) -> None:
    """Run the platform stand-in until SIGTERM.

    Each flag can also come from the environment, as SARDINEMILL_PLATFORM_<FLAG>.

    :param host: IP address to listen on.
    :param port: TCP port to listen on; 0 takes any free one.
    :param writes_per_second: limit of puts and deletes.
    :param reads_per_second: limit of all other calls.
    :param lag_seconds: age of the list of instances.
    """
    configure_log()
    platform = Platform(
        writes_per_second=writes_per_second,
        reads_per_second=reads_per_second,
        lag_seconds=lag_seconds,
    )
    asyncio.run(_run(platform, Address(host, port)))


async def _run(platform: Platform, address: Address) -> None:
    server = PlatformServer(platform, address, SystemClock(), log_event)
    await serve(server, lambda: {"address": str(server.address)})


def main() -> None:
    """Entry point of the console script."""
    run_main(run_platform, ENVIRONMENT_PREFIX)


if __name__ == "__main__":
    main()
