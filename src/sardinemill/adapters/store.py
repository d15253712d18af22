"""HTTP client of the platform's object store and instance list."""

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
    """Object store that is accessed over HTTP; owns its client session.

    :param base_url: URL of the platform, such as ``http://10.0.0.1:9000``.
    :param data_centre: data centre of this instance, sent as a header of each call.
    :param timeout_seconds: time limit of one call; a watch may take its own time-out in
        addition.
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
        """Open the client session; without it, the first call opens it."""
        if self._session is None:
            # Each pending watch occupies a connection, so connections are not limited.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
                headers=self._headers,
            )

    async def drain(self) -> None:
        """Do nothing: the callers finish their calls."""

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

        Updates use POST because aiohttp retries PUT and DELETE when the connection ends
        without an answer. The retry of a conditional update that took effect would
        report a conflict.

        :raises StoreError: for a conflict, a rejected call or a missing answer.
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
        self._raise_for_status(answer, method)
        return answer

    def _raise_for_status(self, answer: _Answer, method: str) -> None:
        # A missing object (404) has version 0.
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


def _decode(answer: _Answer, result_type: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=result_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise StoreError(str(error), step="decode") from error
