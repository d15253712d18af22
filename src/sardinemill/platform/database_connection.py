"""Client side of the wire protocol to a database."""

import asyncio

from ..errors import CodecError, UpstreamError, UpstreamUnavailable
from ..fleet.records import DatabaseEntry
from .answers import Answer, QueryReply
from .sockets import set_keep_alive
from .wire import MAX_LINE_BYTES, format_line, read_line

# Statement identifier of queries that the instance sends on its own behalf.
INTERNAL_STATEMENT_ID = "-"


class MessageTooLong(CodecError):
    """A message exceeds the protocol's limit; nothing of it was sent."""


class DatabaseConnection:
    """Sends messages to a database and receives its answers; owns the socket.

    :param peer: address of the database, for error messages.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._peer = peer

    def close(self) -> None:
        """Close the socket; the database rolls back an open transaction."""
        self._writer.close()

    def send(self, text: str) -> None:
        """Send one message.

        :raises MessageTooLong: when it exceeds the protocol's limit.
        """
        data = format_line(text)
        if len(data) > MAX_LINE_BYTES:
            raise MessageTooLong("message too long", step="send", peer=self._peer)
        self._writer.write(data)

    async def receive(self, *, is_opening: bool = False) -> QueryReply:
        """Read an answer up to and including its ``READY`` message.

        :param is_opening: whether it answers an opening message.
        :raises UpstreamUnavailable: when the connection ends before that message.
        :raises CodecError: when a message cannot be parsed, or is not allowed in its
            place.
        """
        answer = Answer(self._peer, is_opening=is_opening)
        while (line := await read_line(self._reader, self._peer)) is not None:
            reply = answer.add(line)
            if reply is not None:
                return reply
        reply = answer.end()
        if reply is None:
            raise UpstreamUnavailable(
                "connection closed before the end of the answer",
                step="receive",
                peer=self._peer,
            )
        return reply

    async def query(self, text: str) -> QueryReply:
        """Send a query on the instance's own behalf and wait for the answer.

        :raises UpstreamUnavailable: when the connection ends before the answer does.
        :raises CodecError: when the answer cannot be parsed.
        """
        self.send(f"QUERY {INTERNAL_STATEMENT_ID} {text}")
        return await self.receive()

    async def wait_until_closed(self) -> None:
        """Wait until the database closes the connection or sends unexpected data.

        Call it only while no query is in progress.
        """
        await self._reader.read(1)


async def open_database_connection(
    entry: DatabaseEntry, workspace: str, timeout_seconds: float
) -> tuple[DatabaseConnection, QueryReply]:
    """Connect to a database and send the opening message.

    :param workspace: name of the workspace for which the connection is used.
    :param timeout_seconds: limit for the connection and the answer together.
    :returns: the connection and the answer to the opening message.
    :raises UpstreamUnavailable: when the database gives no valid answer in time, or its
        entry cannot be used.
    """
    peer = str(entry.address)
    writer: asyncio.StreamWriter | None = None
    try:
        # START names the group here, not the database name that the client used.
        opening = f"START {entry.group} {workspace} {entry.name}"
        if "\r" in opening or "\n" in opening:
            raise CodecError("line end in a name", step="open", peer=peer)
        opening.encode()
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(
                entry.host, entry.port, limit=MAX_LINE_BYTES
            )
            set_keep_alive(writer.get_extra_info("socket"))
            connection = DatabaseConnection(reader, writer, peer)
            connection.send(opening)
            reply = await connection.receive(is_opening=True)
    # asyncio raises ValueError or OverflowError for an invalid host or port.
    except (
        OSError,
        TimeoutError,
        ValueError,
        OverflowError,
        UpstreamError,
        CodecError,
    ) as error:
        if writer is not None:
            writer.close()
        raise UpstreamUnavailable(
            type(error).__name__, step="open", peer=peer
        ) from error
    return connection, reply
