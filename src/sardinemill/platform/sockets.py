"""TCP keep-alive options that detect dead connections."""

import socket

# A dead connection is detected within 2 + 2 x 1 s, well within the time after which
# the platform considers a machine stable again.
KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
# Longest time for which sent data may stay unacknowledged.
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
