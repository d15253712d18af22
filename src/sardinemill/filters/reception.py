"""Accepts requests at a home instance and returns replies to their entry instances."""

from collections import deque
from collections.abc import Sequence
from dataclasses import replace

from ..control import (
    DrainFinished,
    DrainStarted,
    ForwardedCancellation,
    ForwardedReply,
    ForwardedRequest,
    PeerEnvelope,
)
from ..errors import Outcome
from ..interfaces import Emission
from ..messages import (
    Action,
    Answer,
    Cancellation,
    Refusal,
    RefusalCode,
    Reply,
    Request,
)
from ..replication import GroupsChanged

STEP = "reception"
# Request ids are kept for longer than a copy of a request can be in transit: a peer
# socket that is silent for a few seconds is replaced, and its queue is discarded.
REQUEST_ID_RETENTION_SECONDS = 60.0

_IN_TRANSACTION_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)


class Reception:
    """Filter at the home instance: accepts requests and sends replies to their entries.

    Outlets: ``next`` for :class:`Request` and :class:`Cancellation`, ``placement`` for
    replies to this process, ``peers`` for replies to other entries, ``drain``.

    A request id runs at most once, even if the peer link duplicates or reorders
    messages.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._groups: frozenset[str] = frozenset()
        self._is_draining = False
        self._entries: dict[str, str] = {}
        self._seen_ids: set[str] = set()
        self._expiries: deque[tuple[float, str]] = deque()

    @property
    def next_tick(self) -> float | None:
        return self._expiries[0][0] if self._expiries else None

    @property
    def n_pending(self) -> int:
        """Number of requests that wait for a reply."""
        return len(self._entries)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, Request):
            return self._accept(message, self._instance, now)
        if isinstance(message, PeerEnvelope):
            return self._handle_envelope(message, now)
        if isinstance(message, Answer | Refusal):
            return self._emit_reply(message)
        if isinstance(message, Cancellation):
            return self._handle_cancellation(message.request_id, self._instance, now)
        if isinstance(message, GroupsChanged):
            self._groups = frozenset(group.name for group in message.groups)
        elif isinstance(message, DrainStarted):
            self._is_draining = True
            return self._emit_drain_finished()
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        while self._expiries and self._expiries[0][0] <= now:
            _, request_id = self._expiries.popleft()
            self._seen_ids.discard(request_id)
            self._entries.pop(request_id, None)
        return self._emit_drain_finished()

    def _handle_envelope(
        self, envelope: PeerEnvelope, now: float
    ) -> Sequence[Emission]:
        message = envelope.message
        if isinstance(message, ForwardedRequest):
            deadline = now + message.remaining_seconds
            request = replace(message.request, deadline=deadline)
            return self._accept(request, envelope.peer, now)
        if isinstance(message, ForwardedCancellation):
            return self._handle_cancellation(message.request_id, envelope.peer, now)
        return ()

    def _accept(self, request: Request, entry: str, now: float) -> Sequence[Emission]:
        if not self._record_id(request.request_id, request.deadline, now):
            return ()
        self._entries[request.request_id] = entry
        refusal = self._check_admission(request, now)
        if refusal is not None:
            return self._emit_reply(refusal)
        return (Emission("next", request),)

    def _record_id(self, request_id: str, deadline: float, now: float) -> bool:
        """Record a request id.

        :returns: ``False`` for a duplicate, which must not run again.
        """
        if request_id in self._seen_ids:
            return False
        self._seen_ids.add(request_id)
        # The queue is roughly sorted by expiry, as requests have similar timeouts; a
        # longer timeout only delays the removal of the ids behind it.
        expiry = max(deadline, now) + REQUEST_ID_RETENTION_SECONDS
        self._expiries.append((expiry, request_id))
        return True

    def _check_admission(self, request: Request, now: float) -> Refusal | None:
        if request.deadline <= now:
            return self._refuse(request, RefusalCode.DEADLINE, "the deadline passed")
        if request.action in _IN_TRANSACTION_ACTIONS:
            return None
        if self._is_draining:
            return self._refuse(
                request, RefusalCode.DRAINING, "the home instance is stopping"
            )
        if request.group not in self._groups:
            return self._refuse(
                request, RefusalCode.NO_HOME, "not a home instance of the group"
            )
        return None

    def _refuse(self, request: Request, code: RefusalCode, text: str) -> Refusal:
        return Refusal(
            request_id=request.request_id,
            code=code,
            outcome=Outcome.NOT_RUN,
            step=STEP,
            peer=self._instance,
            message=text,
            retry_after_seconds=None if code is RefusalCode.DEADLINE else 1.0,
        )

    def _handle_cancellation(
        self, request_id: str, entry: str, now: float
    ) -> Sequence[Emission]:
        # A cancellation may overtake its request, which must then not start.
        self._record_id(request_id, now, now)
        if self._entries.get(request_id) != entry:
            return ()
        del self._entries[request_id]
        cancellation = Cancellation(request_id=request_id)
        return (Emission("next", cancellation), *self._emit_drain_finished())

    def _emit_reply(self, reply: Reply) -> Sequence[Emission]:
        entry = self._entries.pop(reply.request_id, None)
        if entry is None:
            return ()
        if entry == self._instance:
            return (Emission("placement", reply), *self._emit_drain_finished())
        envelope = PeerEnvelope(peer=entry, message=ForwardedReply(reply=reply))
        return (Emission("peers", envelope), *self._emit_drain_finished())

    def _emit_drain_finished(self) -> Sequence[Emission]:
        """Report the end of the drain once no request waits for a reply."""
        if self._is_draining and not self._entries:
            return (Emission("drain", DrainFinished(step=STEP)),)
        return ()
