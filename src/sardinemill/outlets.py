"""Outlets that copy or sort messages between stages."""

from collections.abc import Mapping, Sequence

from .control import PeerEnvelope
from .interfaces import Outlet


class FanOut:
    """Offers each message to all receivers.

    :param receivers: may be filled later with :meth:`add`.
    """

    def __init__(self, receivers: Sequence[Outlet] = ()) -> None:
        self._receivers = list(receivers)

    def add(self, *receivers: Outlet) -> None:
        """Append receivers."""
        self._receivers.extend(receivers)

    def offer(self, message: object) -> bool:
        # A list keeps the call for every receiver, also after one that is full.
        return all([receiver.offer(message) for receiver in self._receivers])


class Tap:
    """Hands messages to a receiver and shows an observer those it accepted.

    A message that the receiver refuses has no further course to observe.
    """

    def __init__(self, receiver: Outlet, observer: Outlet) -> None:
        self._receiver = receiver
        self._observer = observer

    def offer(self, message: object) -> bool:
        is_accepted = self._receiver.offer(message)
        if is_accepted:
            self._observer.offer(message)
        return is_accepted


class EnvelopeRouter:
    """Sorts received envelopes by the type of their message.

    :param receivers: message type to receiver; others are counted and dropped.
    """

    def __init__(self, receivers: Mapping[type, Outlet]) -> None:
        self._receivers = dict(receivers)
        self.n_dropped = 0

    def offer(self, message: object) -> bool:
        if isinstance(message, PeerEnvelope):
            receiver = self._receivers.get(type(message.message))
            if receiver is not None:
                return receiver.offer(message)
        self.n_dropped += 1
        return True


class TypeRouter:
    """Sorts messages by type.

    :param receivers: message type to receivers, tried by exact type.
    :param default: receiver of all others.
    """

    def __init__(self, receivers: Mapping[type, Outlet], default: Outlet) -> None:
        self._receivers = dict(receivers)
        self._default = default

    def offer(self, message: object) -> bool:
        return self._receivers.get(type(message), self._default).offer(message)
