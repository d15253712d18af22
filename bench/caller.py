"""HTTP client of the proxy for the demonstration."""

import http.client
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from urllib.parse import urlsplit


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Response to one request.

    :param document: decoded JSON body.
    :param token: session token, or ``""``.
    """

    status: int
    document: Mapping[str, object]
    token: str

    @property
    def outcome(self) -> str:
        """Known effect of the request, or ``""`` when the response does not say."""
        return str(self.document.get("outcome", ""))


class Caller:
    """Caller with one persistent connection.

    :param url: base URL of an instance.
    :param key: API key.
    """

    def __init__(self, url: str, key: str, *, timeout_seconds: float = 15.0) -> None:
        parts = urlsplit(url)
        self._connection = http.client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=timeout_seconds
        )
        self._key = key

    def run(
        self, sql: str, parameters: Sequence[object] = (), **headers: str
    ) -> Response:
        """Send a statement.

        :param headers: additional headers, with underscores for hyphens.
        """
        body = {"sql": sql, "parameters": list(parameters)}
        return self.post("/v1/statement", body, **headers)

    def post(
        self, path: str, body: Mapping[str, object] | None = None, **headers: str
    ) -> Response:
        """Send a POST request.

        :param headers: additional headers, with underscores for hyphens.
        """
        all_headers = {
            "Authorization": f"Bearer {self._key}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        self._connection.request(
            "POST", path, json.dumps(body) if body else b"", all_headers
        )
        response = self._connection.getresponse()
        return Response(
            status=response.status,
            document=json.loads(response.read()),
            token=response.headers.get("Session-Token", ""),
        )

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
