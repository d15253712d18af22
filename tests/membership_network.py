"""Membership filters of a fleet over a faulty network, by a hand-moved clock."""

import heapq
from itertools import count

from builders import make_info
from sardinemill.adapters.clocks import SeededRandom
from sardinemill.codecs import decode_message, encode_message
from sardinemill.control import PeerEnvelope
from sardinemill.filters.membership import Membership
from sardinemill.members import Heartbeat, MembershipChanged
from sardinemill.store_calls import StoreCall, StoreFailure, StoreReply

MAX_DELAY_SECONDS = 0.05


class Network:
    """Filters, messages under way, and the platform's list.

    :ivar lost_types: types of messages that are all lost.
    :ivar is_cut: tells whether messages from one instance to another are lost.
    :ivar views: every change of membership as (seconds, observer, live names).
    :ivar sent: types of the messages sent.
    """

    def __init__(self, names, *, loss=0.0, duplication=0.0, random_state=1):
        self.random = SeededRandom(random_state)
        self.loss, self.duplication = loss, duplication
        self.infos = {name: make_info(name, name[0]) for name in names}
        self.listed = tuple(self.infos.values())
        self.is_store_up = True
        self.lost_types = ()
        self.is_cut = lambda sender, target: False
        self.filters, self.current, self.backlog = {}, {}, {}
        self.incarnations = {}
        self.views, self.sent = [], []
        self.now = 0.0
        self._events, self._numbers, self._due = [], count(), {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.current[name] = MembershipChanged(live=(), leaving=())
        incarnation = self.incarnations[name] = self.random.make_id()
        self.filters[name] = Membership(self.infos[name], incarnation, self.random)
        self._due[name] = 0.0

    def stop(self, name):
        del self.filters[name], self._due[name]

    def pause(self, name):
        self.backlog[name] = []
        del self._due[name]

    def resume(self, name):
        """Let the tick that was due come before the messages that wait."""
        backlog = self.backlog.pop(name)
        self.take(name, self.filters[name].tick(self.now))
        for message in backlog:
            self.deliver(name, message)

    def names(self, observer, state="live"):
        return {item.name for item in getattr(self.current[observer], state)}

    def agree(self, names):
        """Tell whether all of some instances use exactly those as live."""
        return all(self.names(name) == set(names) for name in names)

    def advance(self, seconds):
        end = self.now + seconds
        while True:
            due_at, name = min((at, name) for name, at in self._due.items())
            if self._events and self._events[0][0] <= due_at:
                due_at, _, name, message = self._events[0]
            else:
                message = None
            if due_at > end:
                self.now = end
                return
            self.now = max(self.now, due_at)
            if message is None:
                self.take(name, self.filters[name].tick(self.now))
            else:
                heapq.heappop(self._events)
                self.deliver(name, message)

    def deliver(self, name, message):
        if name in self.backlog:
            self.backlog[name].append(message)
        elif name in self.filters and self.accepts(name, message):
            self.take(name, self.filters[name].handle(message, self.now))

    def accepts(self, name, message):
        """Apply the rule of the peer link for senders that are no candidates."""
        known = {item.name for item in self.current[name].candidates}
        heartbeat = getattr(message, "message", None)
        return (
            not isinstance(message, PeerEnvelope)
            or message.peer in known
            or (isinstance(heartbeat, Heartbeat) and heartbeat.info is not None)
        )

    def take(self, name, emissions):
        self._due[name] = self.filters[name].next_tick
        for emission in emissions:
            message = emission.message
            if isinstance(message, MembershipChanged):
                self.current[name] = message
                self.views.append((self.now, name, self.names(name)))
            elif isinstance(message, StoreCall):
                self.push(name, self.make_reply(message))
            elif isinstance(message, PeerEnvelope):
                self.send(name, message)

    def make_reply(self, call):
        failure = None if self.is_store_up else StoreFailure.UNAVAILABLE
        listed = self.listed if self.is_store_up else ()
        return StoreReply(
            call=call, failure=failure, asked_at=self.now, instances=listed
        )

    def send(self, sender, envelope):
        known = [item.name for item in self.current[sender].candidates]
        targets = known if envelope.peer == "*" else [envelope.peer]
        data = encode_message(envelope.message)
        for target in targets:
            if target not in known or self.is_cut(sender, target):
                continue
            self.sent.append(type(envelope.message))
            if isinstance(envelope.message, self.lost_types):
                continue
            n_copies = int(self.random.random() >= self.loss)
            n_copies += n_copies and self.random.random() < self.duplication
            for _ in range(n_copies):
                message = decode_message(data, sender)
                self.push(target, PeerEnvelope(peer=sender, message=message))

    def push(self, target, message):
        arrives_at = self.now + MAX_DELAY_SECONDS * self.random.random()
        item = (arrives_at, next(self._numbers), target, message)
        heapq.heappush(self._events, item)
