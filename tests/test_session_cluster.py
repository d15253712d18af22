"""The cluster that other tests run instances in."""

import asyncio
import socket

import pytest

from session_cluster import PortReservations, SessionCluster, run_in_cluster


def test_reserved_port_is_left_to_its_server():
    """Guards against a server that finds its port taken by an outgoing connection,
    which failed a test once beside load.
    """
    reservations = PortReservations()
    port = reservations.reserve()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", port))

    async def serve():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", port)
        server.close()

    asyncio.run(serve())
    reservations.release()


def test_cluster_that_fails_to_start_is_stopped(monkeypatch):
    """Guards against a test run that never ends: the sockets of instances that were
    left running block the end of the process.
    """
    stopped = []

    async def fail(cluster, name):
        raise OSError("address already in use")

    stop = SessionCluster.stop

    async def record_stop(cluster):
        stopped.append(cluster)
        await stop(cluster)

    monkeypatch.setattr(SessionCluster, "start_instance", fail)
    monkeypatch.setattr(SessionCluster, "stop", record_stop)

    async def scenario(cluster):
        raise AssertionError("the scenario must not run")

    with pytest.raises(OSError):
        run_in_cluster(scenario)
    assert len(stopped) == 1
