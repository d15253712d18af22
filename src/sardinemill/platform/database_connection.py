"""Sockets to databases with the wire's requests and replies."""

import asyncio
from dataclasses import dataclass

from ..errors import CodecError, UpstreamError, UpstreamUnavailable
from ..fleet.records import DatabaseEntry
from ..positions import LogPosition
from ..sessions.messages import ErrorCode
from .sockets import set_keep_alive
from .wire import CODES, MAX_LINE_BYTES, parse_position, read_line

# Identifier of statements that no client sent.
OWN_ID = "-"


@dataclass(frozen=True, slots=True)
class QueryReply:
    """Complete answer to one query.

    :param state: letter of the transaction state.
    """

    rows: tuple[str, ...]
    signature: str | None
    code: ErrorCode | None
    message: str
    state: str
    position: LogPosition | None


class DatabaseConnection:
    """Socket to a database with the wire's requests and replies."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._peer = peer

    def close(self) -> None:
        """Close the socket; what runs at the database is rolled back."""
        self._writer.close()

    def send(self, text: str) -> None:
        """Send one query or opening message."""
        self._writer.write(text.encode() + b"\r\n")

    async def receive(self) -> QueryReply:
        """Read rows and outcome up to the line that ends an answer.

        :raises UpstreamUnavailable: when the connection ends before.
        """
        rows: list[str] = []
        signature: str | None = None
        code: ErrorCode | None = None
        message = ""
        while True:
            line = await read_line(self._reader, self._peer)
            if line is None and code is not None:
                # A refused opening message is followed by the end of the connection.
                return QueryReply((), None, code, message, "", None)
            if line is None:
                raise UpstreamUnavailable(
                    "connection ended", step="receive", peer=self._peer
                )
            if line.kind == "ROW":
                rows.append(line.rest)
            elif line.kind == "DONE":
                signature = line.rest
            elif line.kind == "ERROR":
                word, _, message = line.rest.partition(" ")
                code = CODES.get(word, ErrorCode.FAILED)
            elif line.kind == "READY":
                state, _, position = line.rest.partition(" ")
                return QueryReply(
                    tuple(rows),
                    signature,
                    code,
                    message,
                    state,
                    parse_position(position),
                )
            else:
                raise CodecError("unknown message", step="receive", peer=self._peer)

    async def ask(self, text: str) -> QueryReply:
        """Send a query of our own and wait for the answer."""
        self.send(f"QUERY {OWN_ID} {text}")
        return await self.receive()

    async def wait_for_end(self) -> None:
        """Return when the database sends anything or closes while nothing runs."""
        await self._reader.read(1)


async def open_database_connection(
    entry: DatabaseEntry, workspace: str, timeout_seconds: float
) -> tuple[DatabaseConnection, QueryReply]:
    """Connect and open a session at a database.

    :returns: the link and the answer to the opening message.
    :raises UpstreamUnavailable: when the database does not answer.
    """
    peer = str(entry.address)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(
                entry.host, entry.port, limit=MAX_LINE_BYTES
            )
            set_keep_alive(writer.get_extra_info("socket"))
            link = DatabaseConnection(reader, writer, peer)
            # The opening message names the group, not the database of the client.
            link.send(f"START {entry.group} {workspace} {entry.name}")
            reply = await link.receive()
    except (OSError, TimeoutError, UpstreamError, CodecError) as error:
        if writer is not None:
            writer.close()
        raise UpstreamUnavailable(
            type(error).__name__, step="open", peer=peer
        ) from error
    return link, reply
