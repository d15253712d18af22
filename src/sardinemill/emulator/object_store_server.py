"""HTTP stand-in for the platform's object store and its promotion call.

It is the counterpart of ``sardinemill.platform``; HTTP instances use the store of
:mod:`~sardinemill.emulator.platform_server` instead.
"""

import json
from collections.abc import Callable, Collection
from dataclasses import dataclass
from urllib.parse import unquote

from aiohttp import web

from ..groups import Address

PAGE_SIZE = 500
ERA_HEADER = "Store-Era"
# Kinds that operators and databases write. All others are written by the instances.
OUTSIDE_KINDS = ("config", "evacuations", "servers")


@dataclass(frozen=True, slots=True)
class EncodedSpec:
    """Raw content that is returned unchanged, even if it is not valid JSON."""

    data: bytes


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Object with the revision of its last change."""

    name: str
    revision: int
    created_revision: int
    spec: object


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Objects and revision counter of the store at one moment."""

    objects: tuple[tuple[tuple[str, str], StoredObject], ...]
    revision: int


@dataclass(frozen=True, slots=True)
class AcceptedPromotion:
    """Promotion call that the stand-in has accepted."""

    group: str
    database: str
    holder: str
    fencing_token: int


class ObjectStoreServer:
    """Store of objects by kind and name, with faults that tests set.

    :param promote: promotes a database of a group; returns ``False`` when the database
        is unavailable.
    :ivar promotions: accepted promotion calls in order.
    :ivar is_down: whether all calls get status 503.
    :ivar n_lost_answers: number of further writes that take effect and whose connection
        is closed without an answer.
    :ivar n_calls: number of calls received, refused ones included.
    :ivar era: value of the header ``Store-Era`` in all answers of the store; rises with
        each :meth:`restore`.
    :ivar has_era: whether the answers have that header.
    """

    def __init__(self, promote: Callable[[str, str], bool]) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.promotions: list[AcceptedPromotion] = []
        self.is_down = False
        self.n_lost_answers = 0
        self.n_calls = 0
        self.era = 1
        self.has_era = True
        self._promote = promote
        self._revision = 0
        # Last contents of the outside kinds that a restore lost and that were not
        # written since; ``None`` for a deleted object.
        self._lost: dict[tuple[str, str], object] = {}
        self._runner: web.ServerRunner | None = None
        self.address = Address("127.0.0.1", 0)

    async def start(self) -> None:
        """Start to listen on an ephemeral port."""
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
        """Write an object unconditionally, as an operator does."""
        self._lost.pop((kind, name), None)
        self._revision += 1
        current = self.objects.get((kind, name))
        created_revision = (
            self._revision if current is None else current.created_revision
        )
        self.objects[kind, name] = StoredObject(
            name, self._revision, created_revision, spec
        )
        return self._revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        self._lost.pop((kind, name), None)
        self._revision += 1
        self.objects.pop((kind, name), None)

    def take_copy(self) -> StoreCopy:
        """Return the present state for a later :meth:`restore`."""
        return StoreCopy(tuple(self.objects.items()), self._revision)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy and raise the era; revisions are given out again.

        The writes of operators and databases since the copy are lost until
        :meth:`write_again`, those of the instances for good.
        """
        expected = {
            key: item.spec
            for key, item in self.objects.items()
            if key[0] in OUTSIDE_KINDS
        }
        removed = {key: None for key, _ in copy.objects if key[0] in OUTSIDE_KINDS}
        expected = {**removed, **expected, **self._lost}
        self.objects = dict(copy.objects)
        self._revision = copy.revision
        self.era += 1
        self._lost = {
            key: spec
            for key, spec in expected.items()
            if spec != (self.objects[key].spec if key in self.objects else None)
        }

    def write_again(self, kinds: Collection[str] = OUTSIDE_KINDS) -> None:
        """Repeat what operators and databases wrote since the copy, deletions too.

        An object that was written since the :meth:`restore` is left as it is.
        """
        for (kind, name), spec in list(self._lost.items()):
            if kind not in kinds:
                continue
            if spec is None:
                self.delete(kind, name)
            else:
                self.put(kind, name, spec)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.n_calls += 1
        if request.path == "/promotion" and not self.is_down:
            return await self._handle_promotion(request)
        response = await self._serve_object(request)
        if self.has_era:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    async def _serve_object(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.is_down:
            return web.Response(status=503)
        # Split before it is decoded, since a name may hold the separator.
        path = request.raw_path.partition("?")[0].removeprefix("/")
        parts = [unquote(part) for part in path.split("/")]
        if parts[:2] != ["sardinemill", "objects"] or len(parts) not in (3, 4):
            return web.Response(status=404)
        kind = parts[2]
        if request.method == "GET" and len(parts) == 3:
            return self._make_list_response(kind, request.query.get("after", ""))
        if request.method == "GET":
            found = self.objects.get((kind, parts[3]))
            if found is None:
                return web.Response(status=404)
            return _make_response(_encode_object(found))
        return await self._handle_write(
            request, kind, parts[3] if len(parts) == 4 else ""
        )

    def _make_list_response(self, kind: str, after: str) -> web.Response:
        found = sorted(
            (
                item
                for (object_kind, _), item in self.objects.items()
                if object_kind == kind
            ),
            key=lambda item: item.name,
        )
        found = [item for item in found if item.name > after]
        body = b'{"items": [%b], "more": %b, "store_revision": %d}' % (
            b", ".join(_encode_object(item) for item in found[:PAGE_SIZE]),
            b"true" if len(found) > PAGE_SIZE else b"false",
            self._revision,
        )
        return _make_response(body)

    async def _handle_write(
        self, request: web.BaseRequest, kind: str, name: str
    ) -> web.Response:
        body = await request.json()
        name = name or body["meta"]["name"]
        current = self.objects.get((kind, name))
        if request.method == "POST" and current is not None:
            return _make_response(_encode_object(current), status=409)
        if request.method == "PUT" and current is None:
            return web.Response(status=404)
        expected = body["meta"].get("revision")
        if current is not None and expected not in (None, current.revision):
            return _make_response(_encode_object(current), status=409)
        # A write that changes nothing keeps the revision.
        if current is not None and current.spec == body["spec"]:
            return _make_response(_encode_object(current))
        self.put(kind, name, body["spec"])
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            # To the caller, a lost answer is a connection that closes without one.
            assert request.transport is not None
            request.transport.close()
        return _make_response(_encode_object(self.objects[kind, name]))

    async def _handle_promotion(self, request: web.BaseRequest) -> web.Response:
        body = await request.json()
        call = AcceptedPromotion(
            body["service"],
            body["id"],
            request.headers["X-Duty-Holder"],
            int(request.headers["X-Fencing-Token"]),
        )
        if not self._promote(call.group, call.database):
            return web.Response(status=409)
        self.promotions.append(call)
        return web.Response(status=200)


def _make_response(body: bytes, status: int = 200) -> web.Response:
    return web.Response(body=body, status=status, content_type="application/json")


def _encode_object(item: StoredObject) -> bytes:
    meta = {
        "name": item.name,
        "revision": item.revision,
        "created_rev": item.created_revision,
        "finalizers": [],
        "deleting": False,
    }
    spec = item.spec
    data = spec.data if isinstance(spec, EncodedSpec) else json.dumps(spec).encode()
    return b'{"meta": %b, "spec": %b, "status": null}' % (
        json.dumps(meta).encode(),
        data,
    )
