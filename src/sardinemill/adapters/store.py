"""Client of the platform's object store and instance list over HTTP."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from ..errors import Outcome, StoreConflict, StoreError, StoreUnavailable
from ..interfaces import StoreObject
from ..members import InstanceInfo

CALL_TIMEOUT_SECONDS = 1.0

VERSION_HEADER = "Object-Version"
EXPECTED_VERSION_HEADER = "Expected-Version"
DATA_CENTRE_HEADER = "Data-Centre"

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    status: int
    version: int
    body: bytes


class HttpStore:
    """Store over HTTP; owns its client session.

    :param base_url: address of the platform, such as ``http://10.0.0.1:9000``.
    :param data_centre: of this instance, named in each call.
    :param timeout_seconds: limit of one call; a watch may last longer by its own time.
    """

    def __init__(
        self,
        base_url: str,
        data_centre: str = "",
        *,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = {DATA_CENTRE_HEADER: data_centre} if data_centre else {}
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session; the first call does it otherwise."""
        if self._session is None:
            # Watches stay pending, so connections are not limited.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
                headers=self._headers,
            )

    async def drain(self) -> None:
        """Nothing to do: the callers finish their calls."""

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, name: str) -> StoreObject:
        answer = await self._call("GET", f"/objects/{_quote(name)}")
        return _make_object(name, answer)

    async def put(self, name: str, value: bytes, *, expected_version: int) -> int:
        answer = await self._call(
            "POST",
            f"/objects/{_quote(name)}",
            value=value,
            headers={EXPECTED_VERSION_HEADER: str(expected_version)},
        )
        return answer.version

    async def delete(self, name: str, *, expected_version: int) -> None:
        await self._call(
            "POST",
            f"/deletions/{_quote(name)}",
            headers={EXPECTED_VERSION_HEADER: str(expected_version)},
        )

    async def list_names(self, prefix: str) -> Sequence[str]:
        answer = await self._call("GET", f"/names?prefix={_quote(prefix)}")
        return _decode(answer, tuple[str, ...])

    async def watch(
        self, name: str, *, after_version: int, timeout_seconds: float
    ) -> StoreObject:
        query = f"after_version={after_version}&timeout={timeout_seconds}"
        answer = await self._call(
            "GET", f"/objects/{_quote(name)}?{query}", extra_seconds=timeout_seconds
        )
        return _make_object(name, answer)

    async def list_instances(self) -> Sequence[InstanceInfo]:
        return _decode(await self._call("GET", "/instances"), tuple[InstanceInfo, ...])

    async def _call(
        self,
        method: str,
        path: str,
        *,
        value: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        extra_seconds: float = 0.0,
    ) -> _Answer:
        """Make one call.

        Updates use POST because aiohttp sends PUT and DELETE again when the connection
        ends without an answer: the second one would meet the effect of the first and
        report a conflict.
        """
        await self.start()
        assert self._session is not None
        try:
            async with (
                asyncio.timeout(self._timeout_seconds + extra_seconds),
                self._session.request(
                    method,
                    URL(f"{self._base_url}{path}", encoded=True),
                    data=value,
                    headers=headers,
                ) as response,
            ):
                version = int(response.headers.get(VERSION_HEADER, "0"))
                body = await response.read()
                answer = _Answer(status=response.status, version=version, body=body)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise self._make_unavailable("the store did not answer", method) from error
        self._check(answer, method)
        return answer

    def _check(self, answer: _Answer, method: str) -> None:
        # 404 stands for an object of version 0.
        if answer.status in (200, 404):
            return
        if answer.status == 409:
            raise StoreConflict(
                "another version is current",
                step=method,
                peer=self._base_url,
                current_version=answer.version,
            )
        if answer.status in (400, 413):
            raise StoreError(
                f"refused with status {answer.status}",
                step=method,
                peer=self._base_url,
            )
        raise self._make_unavailable(f"status {answer.status}", method)

    def _make_unavailable(self, message: str, method: str) -> StoreUnavailable:
        outcome = Outcome.NOT_RUN if method == "GET" else Outcome.UNKNOWN
        return StoreUnavailable(
            message, step=method, peer=self._base_url, outcome=outcome
        )


def _quote(text: str) -> str:
    return quote(text, safe="/")


def _make_object(name: str, answer: _Answer) -> StoreObject:
    value = answer.body if answer.version else b""
    return StoreObject(name=name, version=answer.version, value=value)


def _decode(answer: _Answer, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(str(error), step="decode") from error
