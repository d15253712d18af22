"""Stand-in for the platform: the object store and the promotion call.

It follows PROTOCOL.md ("The platform's metadata store", "Singleton duties") and uses
the standard library only.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, unquote

PAGE_SIZE = 500
PREFIX = ["sardinemill", "objects"]


class HttpServer:
    """Serves HTTP/1.1 requests with JSON bodies on a loopback address."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port that the kernel picks."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Address for a settings file."""
        return f"{self.host}:{self.port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.split("\r\n")
        method, target, _ = request_line.split(" ", 2)
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        data = await reader.readexactly(int(headers.get("content-length", "0")))
        body = json.loads(data) if data else None
        status, content = await self.respond(method, target, headers, body)
        answer = json.dumps(content).encode()
        writer.write(
            (
                f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                f"Store-Era: 1\r\nContent-Length: {len(answer)}\r\n\r\n"
            ).encode()
            + answer
        )
        await writer.drain()
        return True

    async def respond(
        self, method: str, target: str, headers: dict[str, str], body: object
    ) -> tuple[int, object]:
        """Return status and body of the answer."""
        raise NotImplementedError


class ObjectStore(HttpServer):
    """Linearizable store of objects by kind and name."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 1

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write as the operator or a database; the return is the confirmation."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = self.revision if known is None else known["meta"]["created_rev"]
        meta = {
            "name": name,
            "revision": self.revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        self.objects[kind, name] = {"meta": meta, "spec": spec, "status": None}

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        if self.objects.pop((kind, name), None) is not None:
            self.revision += 1

    async def respond(self, method, target, headers, body):
        path, _, query_text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        parts = [unquote(part) for part in path.removeprefix("/").split("/")]
        if parts[:2] != PREFIX or len(parts) not in (3, 4):
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) == 4 else ""
        if method == "GET" and not name:
            names = sorted(item for (other, item) in self.objects if other == kind)
            names = [item for item in names if item > query.get("after", "")]
            page = [self.objects[kind, item] for item in names[:PAGE_SIZE]]
            more = len(names) > PAGE_SIZE
            return 200, {
                "items": page,
                "more": more,
                "store_revision": self.revision,
            }
        if method == "GET":
            found = self.objects.get((kind, name))
            return (404, {}) if found is None else (200, found)
        name = name or body["meta"]["name"]
        found = self.objects.get((kind, name))
        if method == "POST" and found is not None:
            return 409, found
        if method == "PUT" and found is None:
            return 404, {}
        expected = body["meta"].get("revision")
        if found is not None and expected not in (None, found["meta"]["revision"]):
            return 409, found
        self.put(kind, name, body["spec"])
        return 200, self.objects[kind, name]


class Cloud(HttpServer):
    """Accepts calls of the duty ``promotion``.

    :param promote: carries out a call and returns the status of the answer.
    :ivar calls: accepted and refused calls: holder, fence, service, id, status.
    """

    def __init__(
        self, host: str, promote: Callable[[str, str], Awaitable[int]]
    ) -> None:
        super().__init__(host)
        self._promote = promote
        self.calls: list[tuple[str, int, str, str, int]] = []

    async def respond(self, method, target, headers, body):
        if (method, target) != ("POST", "/promotion"):
            return 404, {}
        status = await self._promote(body["service"], body["id"])
        fence = int(headers["x-fencing-token"])
        self.calls.append(
            (headers["x-duty-holder"], fence, body["service"], body["id"], status)
        )
        return status, {}
