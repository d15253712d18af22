"""Checks that every peer link makes on what it receives, and its counters."""

from ..codecs import decode_message
from ..control import PeerEnvelope
from ..errors import CodecError
from ..fleet.messages import FleetQuestion
from ..interfaces import Outlet
from ..members import Heartbeat


class PeerCounters:
    """Messages of one link since its start.

    :ivar n_full: envelopes dropped because a send queue was full or not connected.
    :ivar n_foreign: messages of senders that are no known peers.
    :ivar n_malformed: messages that could not be decoded.
    :ivar n_replaced: sockets replaced because their peer was silent.
    """

    def __init__(self) -> None:
        self.n_sent = 0
        self.n_received = 0
        self.n_full = 0
        self.n_foreign = 0
        self.n_malformed = 0
        self.n_replaced = 0


class Receiver:
    """Accepts messages of known peers and hands them on as envelopes.

    :param sink: receives :class:`PeerEnvelope`.
    """

    def __init__(self, sink: Outlet, counters: PeerCounters) -> None:
        self._sink = sink
        self._counters = counters

    def receive(self, sender: str, is_known: bool, data: bytes) -> bool:
        """Decode and hand on one message.

        A heartbeat that introduces its sender is taken from anybody, because the list
        of instances lags; membership decides what follows from it.

        :param sender: name in the envelope frame.
        :param is_known: whether the sender is a peer.
        :returns: whether the message was accepted.
        """
        try:
            message = decode_message(data, sender)
        except CodecError:
            self._counters.n_malformed += 1
            return False
        if not is_known and not _introduces(message, sender):
            self._counters.n_foreign += 1
            return False
        self._counters.n_received += 1
        self._sink.offer(PeerEnvelope(peer=sender, message=message))
        return True


def _introduces(message: object, sender: str) -> bool:
    if isinstance(message, FleetQuestion):
        introduction = message.introduction
        return introduction is not None and introduction.instance == sender
    return (
        isinstance(message, Heartbeat)
        and message.info is not None
        and message.source == message.info.name == sender
    )
