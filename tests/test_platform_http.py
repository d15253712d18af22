"""HTTP connections to the platform, and the server of the readiness probe."""

import asyncio

import pytest

from sardinemill.groups import Address
from sardinemill.platform.http import HttpAnswer, HttpClient, HttpError
from sardinemill.platform.metrics import DeferredMetrics
from sardinemill.platform.probe_server import ProbeServer
from sardinemill.telemetry import Metric

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
LOOPBACK = Address("127.0.0.1", 0)


class ScriptedServer:
    """Answers each request with the next bytes of a script; then closes or hangs.

    :param script: for each request, the answer and whether the connection stays open.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests = []
        self.n_connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = HttpClient(Address("127.0.0.1", port), 1.0)
        return self

    async def __aexit__(self, *_):
        self.client.close()
        self._server.close()

    async def _serve(self, reader, writer):
        self.n_connections += 1
        while self.script:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            self.requests.append(head + await reader.readexactly(length))
            answer, stays_open = self.script.pop(0)
            writer.write(answer)
            if not stays_open:
                break
        writer.close()


def test_connection_is_reused():
    """Guards against a connection for each call of the store."""

    async def run():
        async with ScriptedServer([(ANSWER, True)] * 3) as server:
            for _ in range(3):
                answer = await server.client.request("GET", "/x", timeout_seconds=1)
                assert answer == HttpAnswer(200, b"{}")
            assert server.n_connections == 1

    asyncio.run(run())


def test_body_is_sent_as_json_with_its_headers():
    """Guards against a promotion that reaches the platform without its fence."""

    async def run():
        async with ScriptedServer([(ANSWER, True)]) as server:
            await server.client.request(
                "POST",
                "/promotion",
                body={"id": "d"},
                headers={"X-Fence": "7"},
                timeout_seconds=1,
            )
            (request,) = server.requests
            assert request.startswith(b"POST /promotion HTTP/1.1\r\n")
            assert b"X-Fence: 7\r\n" in request
            assert request.endswith(b'\r\n\r\n{"id": "d"}')

    asyncio.run(run())


def test_read_is_repeated_on_a_new_connection_when_the_server_closed_the_old_one():
    """Guards against a failed read whenever the store closes an idle connection."""

    async def run():
        script = [(ANSWER, True), (b"", False), (ANSWER, True)]
        async with ScriptedServer(script) as server:
            for _ in range(2):
                answer = await server.client.request("GET", "/x", timeout_seconds=1)
                assert answer.status == 200
            assert server.n_connections == 2

    asyncio.run(run())


def test_read_passes_connections_that_have_gone_silent():
    """Guards against reads that take their whole time-out on each connection on which
    nothing arrives any more, while new ones work.
    """

    async def run():
        writers, silent = [], set()
        are_all_used = asyncio.Event()
        n_requests = 0

        async def serve(reader, writer):
            nonlocal n_requests
            writers.append(writer)
            if len(writers) == 3:
                are_all_used.set()
            while await reader.read(1000):
                n_requests += 1
                await are_all_used.wait()
                if writer not in silent:
                    writer.write(ANSWER)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(Address("127.0.0.1", port), 1.0)
        async with asyncio.TaskGroup() as group:
            for _ in range(3):
                group.create_task(client.request("GET", "/x", timeout_seconds=5))
        silent.update(writers)
        for _ in range(2):
            answer = await client.request("GET", "/x", timeout_seconds=5)
            assert answer.status == 200
        # One on a silent connection, and none on the other two.
        assert n_requests == 3 + 1 + 2
        client.close()
        server.close()

    asyncio.run(run())


def test_write_is_not_repeated():
    """Guards against a conditional write that takes effect twice."""

    async def run():
        script = [(ANSWER, True), (b"", False), (ANSWER, True)]
        async with ScriptedServer(script) as server:
            await server.client.request("PUT", "/x", body={}, timeout_seconds=1)
            with pytest.raises(HttpError):
                await server.client.request("PUT", "/x", body={}, timeout_seconds=1)
            assert len(server.requests) == 2

    asyncio.run(run())


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
        b"not http\r\n\r\n",
    ],
)
def test_incomplete_answer_is_an_error(answer):
    """Guards against half an answer that is taken for the whole one."""

    async def run():
        async with ScriptedServer([(answer, False)]) as server:
            with pytest.raises(HttpError):
                await server.client.request("GET", "/x", timeout_seconds=1)

    asyncio.run(run())


def test_silent_server_is_an_error_and_its_connection_is_not_used_again():
    """Guards against a late answer that is taken for the next call's answer."""

    async def run():
        script = [(b"", True), (ANSWER, True)]
        async with ScriptedServer(script) as server:
            with pytest.raises(HttpError):
                await server.client.request("GET", "/x", timeout_seconds=0.05)
            answer = await server.client.request("GET", "/x", timeout_seconds=1)
            assert answer.status == 200
            assert server.n_connections == 2

    asyncio.run(run())


class MemoryExporter:
    """Exporter that counts what it gets."""

    def __init__(self):
        self.recorded = []

    def record(self, metric, value, labels=None):
        self.recorded.append((metric, value))

    def format(self):
        return f"{len(self.recorded)} measurements"


def test_probe_server_answers_readiness_and_metrics():
    """Guards against a probe that fails on the second request of a connection, and
    against measurements that are lost because the exporter loads late.
    """

    async def run():
        exporter = MemoryExporter()
        metrics = DeferredMetrics(lambda: exporter)
        metrics.record(Metric.STATEMENTS, 1.0)
        is_ready = [False]
        server = ProbeServer(LOOPBACK, LOOPBACK, lambda: is_ready[0], metrics.format)
        await metrics.start()
        await server.start()
        readiness, scrape = (
            HttpClient(Address("127.0.0.1", port), 1.0) for port in server.ports
        )
        for expected in (503, 200, 200):
            answer = await readiness.request(
                "GET", "/sardinemill/readiness", timeout_seconds=1
            )
            assert answer.status == expected
            is_ready[0] = True
        missing = await readiness.request("GET", "/other", timeout_seconds=1)
        assert missing.status == 404
        text = await scrape.request("GET", "/metrics", timeout_seconds=1)
        assert text.body == b"1 measurements"
        metrics.record(Metric.STATEMENTS, 1.0)
        assert len(exporter.recorded) == 2
        for client in (readiness, scrape):
            client.close()
        await server.stop()
        await metrics.stop()

    asyncio.run(run())


def test_measurements_before_the_first_request_are_exported(monkeypatch):
    """Guards against counters that start at the first request for metrics, against
    memory that grows until then, and against values that are dropped without notice.
    """

    async def run():
        monkeypatch.setattr("sardinemill.platform.metrics.MAX_PENDING_VALUES", 2)
        exporter = MemoryExporter()
        metrics = DeferredMetrics(lambda: exporter)
        for value in (1.0, 2.0, 3.0):
            metrics.record(Metric.STATEMENTS, value, {"code": "ok"})
            metrics.record(Metric.CONFIGURATION_VERSION, value)
            metrics.record(Metric.STATEMENT_SECONDS, value, {"kind": "read"})
        await metrics.format()
        assert sorted(exporter.recorded, key=str) == sorted(
            [
                (Metric.STATEMENTS, 6.0),
                (Metric.CONFIGURATION_VERSION, 3.0),
                (Metric.STATEMENT_SECONDS, 1.0),
                (Metric.STATEMENT_SECONDS, 2.0),
                (Metric.DROPPED_MEASUREMENTS, 1.0),
            ],
            key=str,
        )
        metrics.record(Metric.STATEMENTS, 1.0)
        assert len(exporter.recorded) == 6

    asyncio.run(run())


def test_headers_of_a_refusal_are_returned():
    """Guards against an era of the store that is lost with a refusal."""
    refusal = b"HTTP/1.1 503 No\r\nStore-Era: 7\r\nContent-Length: 0\r\n\r\n"

    async def run():
        async with ScriptedServer([(refusal, True)]) as server:
            answer = await server.client.request("GET", "/x", timeout_seconds=1)
            assert (answer.status, answer.headers["store-era"]) == (503, "7")

    asyncio.run(run())
