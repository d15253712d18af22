"""TCP keep-alive options that detect dead connections."""

import socket
from typing import Any

# A dead connection is detected within 2 + 2 x 1 s, well within the time after which
# the platform considers a machine stable again.
KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# Limit for data that was sent but not acknowledged.
USER_TIMEOUT_MILLISECONDS = 3000


def set_keep_alive(connection: socket.socket) -> None:
    """Have the kernel close a connection whose peer no longer responds."""
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)


def make_keep_alive_socket(info: Any) -> socket.socket:
    """Return a socket with keep-alive, as ``socket_factory`` of aiohttp.

    :param info: one address as ``getaddrinfo`` returns it.
    """
    family, kind, protocol, _, _ = info
    connection = socket.socket(family, kind, protocol)
    connection.setblocking(False)
    set_keep_alive(connection)
    return connection
