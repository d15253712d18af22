"""Socket options that find connections which fell silent."""

import socket
from typing import Any

# A connection whose other end is gone is found within 2 + 2 x 1 s, well within the
# time after which the platform counts a machine as stable again.
KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# Limit for bytes that were sent and not confirmed.
USER_TIMEOUT_MILLISECONDS = 3000


def set_keep_alive(connection: socket.socket) -> None:
    """Have the kernel end a connection whose other end no longer answers."""
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)


def keep_alive(info: Any) -> socket.socket:
    """Make a socket for aiohttp, given one address of ``getaddrinfo``."""
    family, kind, protocol, _, _ = info
    connection = socket.socket(family, kind, protocol)
    connection.setblocking(False)
    set_keep_alive(connection)
    return connection
