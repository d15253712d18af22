"""HTTP server of the platform stand-in: store, instance list, statistics, faults.

``GET /objects/{name}`` reads; with ``after_version`` and ``timeout`` it is a watch.
``POST /objects/{name}`` and ``POST /deletions/{name}`` update, with the header
``Expected-Version``; answers carry ``Object-Version``. ``GET /names?prefix=`` lists.
Refused calls get 503, conflicts 409, too large values 413. Callers name their data
centre in ``Data-Centre``. The client is ``sardinemill.adapters.store``.
"""

from collections.abc import Callable
from dataclasses import asdict, dataclass

import msgspec
from aiohttp import web

from ..adapters.store import DATA_CENTRE_HEADER, EXPECTED_VERSION_HEADER, VERSION_HEADER
from ..errors import (
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from ..events import Event, EventName
from ..groups import Address
from ..interfaces import Clock, StoreObject
from ..members import InstanceInfo
from .platform import MAX_VALUE_BYTES, Platform, PlatformFaults
from .platform_service import PlatformService

# Applies to a watch whose caller gives no timeout.
DEFAULT_WATCH_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultRequest:
    """Body of ``POST /faults``, which replaces the faults of a data centre.

    The other fields are those of :class:`PlatformFaults`.

    :param data_centre: data centre of the callers concerned; all when empty.
    :param lag_seconds: new lag of the instance list, unless ``None``.
    """

    data_centre: str = ""
    is_refusing: bool = False
    is_hanging: bool = False
    delay_seconds: float = 0.0
    n_lost_answers: int = 0
    lag_seconds: float | None = None


class PlatformServer:
    """Server of one platform; a component of an application.

    :param log_event: receives events about changes of faults.
    """

    def __init__(
        self,
        platform: Platform,
        address: Address,
        clock: Clock,
        log_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self.service = PlatformService(platform, clock)
        self._platform = platform
        self._address = address
        self._log_event = log_event
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> Address:
        """Address with the port that the server listens on."""
        return self._address

    async def start(self) -> None:
        """Start to listen."""
        # Above MAX_VALUE_BYTES, since the store itself checks the size of values.
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES, middlewares=[_translate_errors]
        )
        app.router.add_get(r"/objects/{name:[\s\S]+}", self._get)
        app.router.add_post(r"/objects/{name:[\s\S]+}", self._put)
        app.router.add_post(r"/deletions/{name:[\s\S]+}", self._delete)
        app.router.add_get("/names", self._list_names)
        app.router.add_get("/instances", self._list_instances)
        app.router.add_put("/instances/{name}", self._put_instance)
        app.router.add_delete("/instances/{name}", self._delete_instance)
        app.router.add_get("/statistics", self._show_statistics)
        app.router.add_post("/faults", self._set_faults)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
        await site.start()
        self._address = Address(self._address.host, self._runner.addresses[0][1])

    async def drain(self) -> None:
        """Do nothing; there is no pending work to finish."""

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        after_version = request.query.get("after_version")
        if after_version is None:
            found = await self.service.get(name, _get_data_centre(request))
        else:
            found = await self.service.watch(
                name,
                int(after_version),
                float(request.query.get("timeout", DEFAULT_WATCH_TIMEOUT_SECONDS)),
                _get_data_centre(request),
            )
        return _make_object_response(found)

    async def _put(self, request: web.Request) -> web.Response:
        version = await self.service.put(
            request.match_info["name"],
            await request.read(),
            int(request.headers[EXPECTED_VERSION_HEADER]),
            _get_data_centre(request),
        )
        return web.Response(headers={VERSION_HEADER: str(version)})

    async def _delete(self, request: web.Request) -> web.Response:
        await self.service.delete(
            request.match_info["name"],
            int(request.headers[EXPECTED_VERSION_HEADER]),
            _get_data_centre(request),
        )
        return web.Response()

    async def _list_names(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        names = await self.service.list_names(prefix, _get_data_centre(request))
        return web.json_response(list(names))

    async def _list_instances(self, request: web.Request) -> web.Response:
        instances = await self.service.list_instances(_get_data_centre(request))
        return _make_json_response(instances)

    async def _put_instance(self, request: web.Request) -> web.Response:
        instance = msgspec.json.decode(await request.read(), type=InstanceInfo)
        self.service.change_instance(request.match_info["name"], instance)
        return web.Response()

    async def _delete_instance(self, request: web.Request) -> web.Response:
        self.service.change_instance(request.match_info["name"], None)
        return web.Response()

    async def _show_statistics(self, request: web.Request) -> web.Response:
        counters = dict(self._platform.counters)
        return web.json_response(counters | {"watches": self._platform.n_watches})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=FaultRequest)
        faults = PlatformFaults(
            is_refusing=body.is_refusing,
            is_hanging=body.is_hanging,
            delay_seconds=body.delay_seconds,
            n_lost_answers=body.n_lost_answers,
        )
        self._platform.set_faults(faults, body.data_centre)
        if body.lag_seconds is not None:
            self._platform.instances.lag_seconds = body.lag_seconds
        self._log_event(Event(EventName.FAULTS_CHANGED, asdict(body)))
        return web.Response()


@web.middleware
async def _translate_errors(
    request: web.Request, handler: Callable[..., object]
) -> web.StreamResponse:
    try:
        return await handler(request)  # type: ignore[misc]
    except StoreAnswerLost:
        # The connection ends without an answer to the caller.
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)
    except StoreConflict as error:
        return web.json_response(
            {"error": error.message},
            status=409,
            headers={VERSION_HEADER: str(error.current_version)},
        )
    except StoreUnavailable as error:
        return web.json_response({"error": error.message}, status=503)
    except StoreError as error:
        return web.json_response({"error": error.message}, status=413)
    except (KeyError, ValueError, msgspec.MsgspecError) as error:
        return web.json_response({"error": repr(error)}, status=400)


def _get_data_centre(request: web.Request) -> str:
    return request.headers.get(DATA_CENTRE_HEADER, "")


def _make_object_response(found: StoreObject) -> web.Response:
    return web.Response(
        status=200 if found.version else 404,
        body=found.value,
        headers={VERSION_HEADER: str(found.version)},
        content_type="application/octet-stream",
    )


def _make_json_response(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
