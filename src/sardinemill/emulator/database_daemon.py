"""Console script ``sardinemill-database``: one database of a group."""

import asyncio
import uuid

from ..adapters.clocks import SystemClock
from ..errors import SettingsError
from ..groups import Address, DatabaseDescription
from .daemons import configure_log, log_event, parse_address, run_main, serve
from .database_server import CONNECT_SECONDS, DatabaseOptions, DatabaseServer

ENVIRONMENT_PREFIX = "SARDINEMILL_DATABASE_"


def run_database(
    *,
    name: str,
    group: str,
    slot: int,
    data_centre: str,
    host: str = "127.0.0.1",
    port: int,
    peers: tuple[str, ...] = (),
    n_connections: int = 50,
    is_initial_primary: bool = False,
    is_rejoining: bool = False,
    connect_seconds: float = CONNECT_SECONDS,
) -> None:
    """Run one database until SIGTERM.

    Each flag can also come from the environment, as SARDINEMILL_DATABASE_<FLAG>.

    :param name: name of the database.
    :param group: database group that it belongs to.
    :param slot: number of its slot in the group, from 0.
    :param data_centre: data centre in which it stands.
    :param host: IP address to listen on.
    :param port: TCP port to listen on; 0 takes any free one.
    :param peers: the other databases of the group, each as name=host:port.
    :param n_connections: connections accepted at a time.
    :param is_initial_primary: start a new group as primary of term 1; not for restarts.
    :param is_rejoining: restart of a database that lost its fenced term and its log.
    :param connect_seconds: time that opening a connection takes.
    """
    configure_log()
    if is_initial_primary and is_rejoining:
        raise SettingsError(
            "is-initial-primary and is-rejoining exclude each other", step="start"
        )
    options = DatabaseOptions(
        description=DatabaseDescription(
            name=name,
            group=group,
            slot=slot,
            data_centre=data_centre,
            address=Address(host, port),
            n_connections=n_connections,
        ),
        incarnation=uuid.uuid4().hex,
        peers=dict(_parse_peer(peer) for peer in peers),
        is_initial_primary=is_initial_primary,
        is_rejoining=is_rejoining,
        connect_seconds=connect_seconds,
    )
    asyncio.run(_run(options))


async def _run(options: DatabaseOptions) -> None:
    server = DatabaseServer(options, SystemClock(), log_event)
    await serve(
        server,
        lambda: {
            "database": server.description.name,
            "port": server.description.address.port,
        },
    )


def _parse_peer(text: str) -> tuple[str, Address]:
    name, separator, address = text.partition("=")
    if not separator:
        raise SettingsError(f"{text!r} is not name=host:port", step="start")
    return name, parse_address(address)


def main() -> None:
    """Entry point of the console script."""
    run_main(run_database, ENVIRONMENT_PREFIX)


if __name__ == "__main__":
    main()
