"""Outlets that copy or route messages between stages."""

from collections.abc import Mapping, Sequence

from .control import PeerEnvelope
from .interfaces import Outlet


class FanOut:
    """Outlet that offers each message to all receivers.

    :param receivers: first receivers; :meth:`add` appends more.
    """

    def __init__(self, receivers: Sequence[Outlet] = ()) -> None:
        self._receivers = list(receivers)

    def add(self, *receivers: Outlet) -> None:
        """Append receivers."""
        self._receivers.extend(receivers)

    def offer(self, message: object) -> bool:
        # The list makes sure that all receivers are called, also after a full one.
        return all([receiver.offer(message) for receiver in self._receivers])


class Tap:
    """Outlet that passes messages on and copies the accepted ones to an observer.

    Messages that the receiver rejects are not processed, so they are not observed.
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
    """Outlet that routes received envelopes by the type of their message.

    :param receivers: message type to receiver; other messages are counted and dropped.
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
    """Outlet that routes messages by their exact type.

    :param receivers: message type to receiver.
    :param default: receiver of all other messages.
    """

    def __init__(self, receivers: Mapping[type, Outlet], default: Outlet) -> None:
        self._receivers = dict(receivers)
        self._default = default

    def offer(self, message: object) -> bool:
        return self._receivers.get(type(message), self._default).offer(message)
