"""Assembles a database's answer from its messages; decides what counts as an answer."""

from dataclasses import dataclass

from ..errors import CodecError
from ..positions import LogPosition
from ..sessions.messages import ErrorCode, SessionState
from .wire import (
    ERRORS_BY_WIRE_CODE,
    STATE_LETTERS,
    STATES_BY_LETTER,
    TEXT_ERRORS,
    Line,
    parse_position,
)

_IDLE = (STATE_LETTERS[SessionState.IDLE],)
# Codes of an answer to a query. Any other one counts as FAILED: some would promise the
# client that nothing is kept, which a database says only with the first four.
_QUERY_CODES = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.STALE,
        ErrorCode.READ_ONLY,
        ErrorCode.UNKNOWN_STATEMENT,
        ErrorCode.FAILED,
        ErrorCode.TIMEOUT,
        ErrorCode.MALFORMED,
    }
)


@dataclass(frozen=True, slots=True)
class QueryReply:
    """Complete answer to one query or opening message.

    :param signature: the database's signature of the answer, ``None`` after an error.
    :param code: the database's error, ``None`` for success.
    :param state: letter of the transaction state, empty if the database closed the
        connection after an error.
    :param position: of the database's log after the answer, if reported.
    """

    rows: tuple[str, ...]
    signature: str | None
    code: ErrorCode | None
    message: str
    state: str
    position: LogPosition | None


class Answer:
    """Messages of one answer, in the order in which the protocol allows them.

    A query is answered with rows, then with one success or error, then with the state;
    an opening message with the state alone, or with an error. Anything else could be
    the rest of another answer.

    :param peer: address of the database, for error messages.
    :param is_opening: whether it answers an opening message.
    """

    def __init__(self, peer: str, *, is_opening: bool = False) -> None:
        self._peer = peer
        self._is_opening = is_opening
        self._rows: list[str] = []
        self._signature: str | None = None
        self._code: ErrorCode | None = None
        self._message = ""

    def add(self, line: Line) -> QueryReply | None:
        """Add a message.

        :returns: the answer once it is complete.
        :raises CodecError: when the protocol does not allow the message here.
        """
        has_outcome = self._signature is not None or self._code is not None
        if line.kind == "READY" and (has_outcome or self._is_opening):
            state, _, position = line.payload.partition(" ")
            if state in (_IDLE if self._is_opening else STATES_BY_LETTER):
                return self._make_reply(state, parse_position(position))
        elif line.kind == "ERROR" and not has_outcome:
            self._code, self._message = self._parse_error(line.payload)
            return None
        elif not has_outcome and not self._is_opening:
            if line.kind == "ROW":
                self._rows.append(line.payload)
                return None
            if line.kind == "DONE":
                self._signature = line.payload
                return None
        raise CodecError("unexpected message", step="receive", peer=self._peer)

    def end(self) -> QueryReply | None:
        """Return the answer at the end of the stream, ``None`` if it is incomplete.

        A database closes the connection after an error in the opening message.
        """
        return None if self._code is None else self._make_reply("", None)

    def _make_reply(self, state: str, position: LogPosition | None) -> QueryReply:
        rows = () if self._code is not None else tuple(self._rows)
        return QueryReply(
            rows, self._signature, self._code, self._message, state, position
        )

    def _parse_error(self, payload: str) -> tuple[ErrorCode, str]:
        """Return the code and the text of an error.

        A code that does not belong here counts as ``FAILED``, since the statement may
        have run; the text then keeps it. Bytes that are not UTF-8 are escaped, because
        the text is logged and passes between instances.
        """
        data = payload.encode(errors=TEXT_ERRORS)
        payload = data.decode(errors="backslashreplace")
        wire_code, _, message = payload.partition(" ")
        code = ERRORS_BY_WIRE_CODE.get(wire_code)
        if code is not None and (self._is_opening or code in _QUERY_CODES):
            return code, message
        return ErrorCode.FAILED, payload
