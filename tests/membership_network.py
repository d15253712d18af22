"""Membership filters of a fleet over a faulty network, with a simulated clock."""

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
    """Filters of all instances, messages in flight, and the platform's list.

    :param loss: probability that a message is lost.
    :param duplication: probability that a message is delivered twice.
    :ivar dropped_types: message types that are always lost.
    :ivar is_cut: returns whether messages from one instance to another are lost.
    :ivar membership_changes: emitted memberships as (seconds, observer, live names).
    :ivar sent: types of the messages sent.
    """

    def __init__(self, names, *, loss=0.0, duplication=0.0, random_state=1):
        self.random = SeededRandom(random_state)
        self.loss, self.duplication = loss, duplication
        self.infos = {name: make_info(name, name[0]) for name in names}
        self.listed = tuple(self.infos.values())
        self.is_store_up = True
        self.dropped_types = ()
        self.is_cut = lambda sender, target: False
        self.filters, self.current, self.backlog = {}, {}, {}
        self.incarnations = {}
        self.membership_changes, self.sent = [], []
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
        """Run the overdue tick before the messages that arrived in the pause."""
        backlog = self.backlog.pop(name)
        self.handle_emissions(name, self.filters[name].tick(self.now))
        for message in backlog:
            self.deliver(name, message)

    def find_members(self, observer, state="live"):
        return {item.name for item in getattr(self.current[observer], state)}

    def has_converged_on(self, names):
        """Return whether each of these instances has exactly them as live members."""
        return all(self.find_members(name) == set(names) for name in names)

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
                self.handle_emissions(name, self.filters[name].tick(self.now))
            else:
                heapq.heappop(self._events)
                self.deliver(name, message)

    def deliver(self, name, message):
        if name in self.backlog:
            self.backlog[name].append(message)
        elif name in self.filters and self.accepts(name, message):
            self.handle_emissions(name, self.filters[name].handle(message, self.now))

    def accepts(self, name, message):
        """Apply the peer link's rule for senders that are no candidates."""
        known = {item.name for item in self.current[name].candidates}
        heartbeat = getattr(message, "message", None)
        return (
            not isinstance(message, PeerEnvelope)
            or message.peer in known
            or (isinstance(heartbeat, Heartbeat) and heartbeat.info is not None)
        )

    def handle_emissions(self, name, emissions):
        self._due[name] = self.filters[name].next_tick
        for emission in emissions:
            message = emission.message
            if isinstance(message, MembershipChanged):
                self.current[name] = message
                self.membership_changes.append(
                    (self.now, name, self.find_members(name))
                )
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
            if isinstance(envelope.message, self.dropped_types):
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
