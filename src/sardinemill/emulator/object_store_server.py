"""Stand-in for the platform's object store and its promotion call, over HTTP."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from ..groups import Address

PAGE_LENGTH = 500


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Object with the revision of its last change."""

    name: str
    revision: int
    created: int
    spec: object


@dataclass(frozen=True, slots=True)
class PromotionCall:
    """Call that the stand-in has accepted."""

    group: str
    database: str
    holder: str
    fence: int


class ObjectStoreServer:
    """Objects by kind and name, and faults that a test switches on.

    :param promote: carries out a promotion; ``False`` when the database is not there.
    :ivar is_down: calls get no useful answer.
    :ivar n_lost_answers: writes that take effect and are answered with an error.
    """

    def __init__(self, promote: Callable[[str, str], bool]) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.promotions: list[PromotionCall] = []
        self.is_down = False
        self.n_lost_answers = 0
        self.n_calls = 0
        self._promote = promote
        self._revisions = itertools.count(1)
        self._revision = 0
        self._runner: web.ServerRunner | None = None
        self.address = Address("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on a port that the kernel picks."""
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = Address(host, port)

    async def stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object without a condition, as the operator does."""
        self._revision = next(self._revisions)
        known = self.objects.get((kind, name))
        created = self._revision if known is None else known.created
        self.objects[kind, name] = StoredObject(name, self._revision, created, spec)
        return self._revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision = next(self._revisions)
        self.objects.pop((kind, name), None)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.n_calls += 1
        if self.is_down:
            return web.Response(status=503)
        if request.path == "/promotion":
            return await self._take_promotion(request)
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["sardinemill", "objects"] or len(parts) not in (3, 4):
            return web.Response(status=404)
        kind = parts[2]
        if request.method == "GET" and len(parts) == 3:
            return self._list(kind, request.query.get("after", ""))
        if request.method == "GET":
            found = self.objects.get((kind, parts[3]))
            if found is None:
                return web.Response(status=404)
            return web.json_response(_encode(found))
        return await self._write(request, kind, parts[3] if len(parts) == 4 else "")

    def _list(self, kind: str, after: str) -> web.Response:
        found = sorted(
            (item for (of, _), item in self.objects.items() if of == kind),
            key=lambda item: item.name,
        )
        found = [item for item in found if item.name > after]
        body = {
            "items": [_encode(item) for item in found[:PAGE_LENGTH]],
            "more": len(found) > PAGE_LENGTH,
            "store_revision": self._revision,
        }
        return web.json_response(body)

    async def _write(
        self, request: web.BaseRequest, kind: str, name: str
    ) -> web.Response:
        body = await request.json()
        name = name or body["meta"]["name"]
        known = self.objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return web.json_response(_encode(known), status=409)
        if request.method == "PUT" and known is None:
            return web.Response(status=404)
        expected = body["meta"].get("revision")
        if known is not None and expected not in (None, known.revision):
            return web.json_response(_encode(known), status=409)
        if known is not None and known.spec == body["spec"]:
            return web.json_response(_encode(known))
        self.put(kind, name, body["spec"])
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            # Closing without an answer is what a lost one looks like to the caller.
            assert request.transport is not None
            request.transport.close()
        return web.json_response(_encode(self.objects[kind, name]))

    async def _take_promotion(self, request: web.BaseRequest) -> web.Response:
        body = await request.json()
        call = PromotionCall(
            body["service"],
            body["id"],
            request.headers["X-Duty-Holder"],
            int(request.headers["X-Fencing-Token"]),
        )
        if not self._promote(call.group, call.database):
            return web.Response(status=409)
        self.promotions.append(call)
        return web.Response(status=200)


def _encode(item: StoredObject) -> dict[str, object]:
    meta = {
        "name": item.name,
        "revision": item.revision,
        "created_rev": item.created,
        "finalizers": [],
        "deleting": False,
    }
    return {"meta": meta, "spec": item.spec, "status": None}
