"""Validation of messages received from peers, and the counters of a peer link."""

from ..codecs import decode_message
from ..control import PeerEnvelope
from ..errors import CodecError
from ..fleet.messages import FleetQuestion
from ..interfaces import Outlet
from ..members import Heartbeat
from ..sessions.gateway_messages import GatewayGreeting, GatewayStatement


class PeerCounters:
    """Counters of one peer link since its start.

    :ivar n_dropped: outgoing messages dropped because a queue was full, the peer was
        unknown or not connected, or the message was too large.
    :ivar n_from_unknown_senders: messages refused because their sender is no known
        peer.
    :ivar n_malformed: messages that could not be encoded or decoded.
    :ivar n_replaced: connections replaced because their peer did not answer.
    """

    def __init__(self) -> None:
        self.n_sent = 0
        self.n_received = 0
        self.n_dropped = 0
        self.n_from_unknown_senders = 0
        self.n_malformed = 0
        self.n_replaced = 0


class PeerReceiver:
    """Decodes messages of known peers and forwards them as envelopes.

    :param sink: receives :class:`PeerEnvelope`.
    """

    def __init__(self, sink: Outlet, counters: PeerCounters) -> None:
        self._sink = sink
        self._counters = counters

    def receive(self, sender: str, is_known_peer: bool, data: bytes) -> bool:
        """Decode and forward one message.

        A message that introduces its sender is accepted from unknown senders too,
        because the instance list lags; membership decides whether to trust it.

        :param sender: name in the routing id of the sending socket.
        :param is_known_peer: whether the sender is a known peer.
        :returns: whether the message was accepted.
        """
        try:
            message = decode_message(data, sender)
        except CodecError:
            self._counters.n_malformed += 1
            return False
        if not is_known_peer and not _introduces_sender(message, sender):
            self._counters.n_from_unknown_senders += 1
            return False
        self._counters.n_received += 1
        self._sink.offer(PeerEnvelope(peer=sender, message=message))
        return True


def _introduces_sender(message: object, sender: str) -> bool:
    if isinstance(message, FleetQuestion | GatewayGreeting | GatewayStatement):
        introduction = message.introduction
        return introduction is not None and introduction.instance == sender
    return (
        isinstance(message, Heartbeat)
        and message.info is not None
        and message.source == message.info.name == sender
    )
