"""Sends each request to a home instance and tracks it until a reply arrives."""

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from ..control import (
    ForwardedCancellation,
    ForwardedReply,
    ForwardedRequest,
    PeerEnvelope,
)
from ..errors import Outcome
from ..events import Event, EventName
from ..groups import choose_homes
from ..interfaces import Emission
from ..members import InstanceInfo, MembershipChanged
from ..messages import (
    Action,
    Answer,
    Cancellation,
    Refusal,
    RefusalCode,
    Reply,
    Request,
)

STEP = "placement"
# A request that is safe to retry is sent to another home after this time without a
# reply. A busy home takes longer only when its queue is longer than it can serve within
# this time.
HOME_REPLY_TIMEOUT_SECONDS = 3.0
# Time that the entry waits beyond the deadline for the home's own refusal, which states
# the outcome more exactly than the entry can.
REPLY_GRACE_SECONDS = 0.2
# A home that is draining, refused as no home of the group or did not reply is chosen
# last for this time.
HOME_AVOIDANCE_SECONDS = 1.0

# Refusals after which another home of the group may still succeed.
_RETRYABLE_CODES = frozenset(
    {
        RefusalCode.CONFIGURATION_TOO_OLD,
        RefusalCode.DRAINING,
        RefusalCode.NO_HOME,
        RefusalCode.NO_MAJORITY,
        RefusalCode.NO_PRIMARY,
        RefusalCode.OVERLOADED,
        RefusalCode.TOO_STALE,
        RefusalCode.UPSTREAM,
    }
)
_AVOIDED_CODES = frozenset({RefusalCode.DRAINING, RefusalCode.NO_HOME})
_IN_TRANSACTION_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)


def has_side_effects(request: Request) -> bool:
    """Return whether running the request can change data or end a transaction.

    A begin alone changes nothing: a transaction that is never used is rolled back.
    """
    if request.action is Action.BEGIN:
        return False
    if request.action in (Action.COMMIT, Action.ROLLBACK):
        return True
    return request.statement is None or request.statement.kind.value != "read"


def is_safe_to_retry(request: Request) -> bool:
    """Return whether the request may run a second time at another home."""
    if request.action in _IN_TRANSACTION_ACTIONS:
        return False
    if not has_side_effects(request) or request.idempotency_key is not None:
        return True
    return request.statement is not None and request.statement.idempotent


def find_transaction_home(transaction_id: str | None) -> str:
    """Return the home named in a transaction id, or ``""`` if there is none."""
    return (transaction_id or "").rpartition("/")[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingRequest:
    """Request that waits for a reply.

    :param tried: homes that it was sent to, the current one last.
    :param may_have_run: whether a home that it was sent to may have run it.
    :param check_at: monotonic seconds at which the reply of the current home is
        overdue.
    """

    request: Request
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    check_at: float = 0.0

    @property
    def home(self) -> str:
        return self.tried[-1]


class Placement:
    """Filter at the entry instance: sends requests to homes and emits their replies.

    Outlets: ``home`` for the home in this process, ``peers``, ``reply``, ``events``.

    Emits exactly one reply for each request that is not cancelled.

    :param instance: name of this instance.
    :param data_centre: data centre of this instance; homes in it are preferred.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._live: tuple[InstanceInfo, ...] = ()
        self._reachable: frozenset[str] = frozenset({instance})
        self._homes: dict[str, tuple[str, ...]] = {}
        self._avoided_until: dict[str, float] = {}
        self._pending: dict[str, _PendingRequest] = {}
        self._timers: list[tuple[float, str]] = []

    @property
    def next_tick(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    @property
    def n_pending(self) -> int:
        """Number of requests that wait for a reply."""
        return len(self._pending)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, Request):
            return tuple(self._handle_request(message, now))
        if isinstance(message, Answer | Refusal):
            return tuple(self._handle_reply(message, self._instance, now))
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, ForwardedReply):
                reply = message.message.reply
                return tuple(self._handle_reply(reply, message.peer, now))
            return ()
        if isinstance(message, Cancellation):
            return self._handle_cancellation(message)
        if isinstance(message, MembershipChanged):
            return tuple(self._handle_membership_changed(message, now))
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            check_at, request_id = heapq.heappop(self._timers)
            pending = self._pending.get(request_id)
            if pending is None or pending.check_at != check_at:
                continue
            if now >= pending.request.deadline:
                emissions.extend(self._expire(pending))
            else:
                emissions.extend(self._handle_silent_home(pending, now))
        return emissions

    # Dispatch

    def _handle_request(self, request: Request, now: float) -> Iterator[Emission]:
        if request.deadline <= now:
            yield self._refuse(request, RefusalCode.DEADLINE, Outcome.NOT_RUN)
            return
        pending = _PendingRequest(request=request)
        if request.action not in _IN_TRANSACTION_ACTIONS:
            home = self._choose_home(pending, now)
            if home is None:
                yield self._refuse(request, RefusalCode.NO_HOME, Outcome.NOT_RUN)
                return
        else:
            home = find_transaction_home(request.transaction_id)
            if home not in self._reachable:
                # A retried commit may have taken effect at an earlier attempt.
                is_commit = request.action is Action.COMMIT
                outcome = Outcome.UNKNOWN if is_commit else Outcome.NOT_RUN
                yield self._refuse(request, RefusalCode.UNKNOWN_TRANSACTION, outcome)
                return
        yield self._dispatch(pending, home, now)

    def _choose_home(self, pending: _PendingRequest, now: float) -> str | None:
        """Return the best home not tried yet; avoided homes come last."""
        homes = self._find_homes(pending.request.group)
        remaining = [name for name in homes if name not in pending.tried]
        for name in remaining:
            if self._avoided_until.get(name, 0.0) <= now:
                return name
        return remaining[0] if remaining else None

    def _find_homes(self, group: str) -> tuple[str, ...]:
        homes = self._homes.get(group)
        if homes is None:
            data_centres = {item.name: item.data_centre for item in self._live}
            ranked = choose_homes(group, list(data_centres.items()))
            ranked.sort(key=lambda name: data_centres[name] != self._data_centre)
            homes = self._homes[group] = tuple(ranked)
        return homes

    def _dispatch(self, pending: _PendingRequest, home: str, now: float) -> Emission:
        request = pending.request
        pending = replace(pending, tried=(*pending.tried, home))
        if is_safe_to_retry(request) and self._choose_home(pending, now) is not None:
            check_at = min(
                now + HOME_REPLY_TIMEOUT_SECONDS, request.deadline + REPLY_GRACE_SECONDS
            )
        else:
            check_at = request.deadline + REPLY_GRACE_SECONDS
        self._track(
            _PendingRequest(
                request=request,
                tried=pending.tried,
                may_have_run=pending.may_have_run,
                check_at=check_at,
            )
        )
        if home == self._instance:
            return Emission("home", request)
        return self._send(
            home,
            ForwardedRequest(
                request=request,
                entry=self._instance,
                remaining_seconds=request.deadline - now,
            ),
        )

    def _track(self, pending: _PendingRequest) -> None:
        request_id = pending.request.request_id
        self._pending[request_id] = pending
        heapq.heappush(self._timers, (pending.check_at, request_id))

    def _send(self, home: str, message: object) -> Emission:
        return Emission("peers", PeerEnvelope(peer=home, message=message))

    def _handle_cancellation(self, message: Cancellation) -> Sequence[Emission]:
        pending = self._pending.pop(message.request_id, None)
        return () if pending is None else (self._cancel_at_home(pending),)

    def _cancel_at_home(self, pending: _PendingRequest) -> Emission:
        """Tell the current home not to start the request if it has not done so yet."""
        request_id = pending.request.request_id
        if pending.home == self._instance:
            return Emission("home", Cancellation(request_id=request_id))
        return self._send(pending.home, ForwardedCancellation(request_id=request_id))

    # Replies

    def _handle_reply(
        self, reply: Reply, source: str, now: float
    ) -> Iterator[Emission]:
        """Pass a reply on to the caller, or retry at another home.

        An answer counts from any home that the request was sent to. A refusal counts
        only from the current home, since the request may still run there after an
        earlier home has refused it.
        """
        pending = self._pending.get(reply.request_id)
        if pending is None or source not in pending.tried:
            return
        if isinstance(reply, Answer):
            yield self._finish(pending, reply)
        elif source == pending.home:
            yield from self._handle_refusal(pending, reply, now)

    def _handle_refusal(
        self, pending: _PendingRequest, refusal: Refusal, now: float
    ) -> Iterator[Emission]:
        if refusal.code in _AVOIDED_CODES:
            self._avoided_until[pending.home] = now + HOME_AVOIDANCE_SECONDS
        pending = replace(
            pending,
            may_have_run=pending.may_have_run or refusal.outcome is not Outcome.NOT_RUN,
        )
        if self._may_retry(pending, refusal, now):
            home = self._choose_home(pending, now)
            if home is not None:
                yield self._log(EventName.REQUEST_MOVED, pending, refusal.code.value)
                yield self._dispatch(pending, home, now)
                return
        yield self._finish(pending, refusal)

    def _may_retry(
        self, pending: _PendingRequest, refusal: Refusal, now: float
    ) -> bool:
        request = pending.request
        if request.action in _IN_TRANSACTION_ACTIONS or request.deadline <= now:
            return False
        if refusal.outcome is Outcome.NOT_RUN:
            return refusal.code in _RETRYABLE_CODES
        return refusal.outcome is Outcome.UNKNOWN and is_safe_to_retry(request)

    def _finish(self, pending: _PendingRequest, reply: Reply) -> Emission:
        del self._pending[pending.request.request_id]
        if (
            isinstance(reply, Refusal)
            and reply.outcome is Outcome.NOT_RUN
            and pending.may_have_run
            and has_side_effects(pending.request)
        ):
            reply = replace(reply, outcome=Outcome.UNKNOWN)
        return Emission("reply", reply)

    # Lost and unresponsive homes

    def _handle_membership_changed(
        self, message: MembershipChanged, now: float
    ) -> Iterator[Emission]:
        self._live = message.live
        self._homes.clear()
        self._reachable = frozenset(
            {item.name for item in (*message.live, *message.leaving)} | {self._instance}
        )
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if until > now
        }
        lost = [
            item for item in self._pending.values() if item.home not in self._reachable
        ]
        for pending in lost:
            yield from self._handle_lost_home(pending, now)

    def _handle_lost_home(
        self, pending: _PendingRequest, now: float
    ) -> Iterator[Emission]:
        """Retry or refuse a request that its unreachable home may have run."""
        request = pending.request
        pending = replace(pending, may_have_run=True)
        if is_safe_to_retry(request) and request.deadline > now:
            home = self._choose_home(pending, now)
            if home is not None:
                yield self._log(EventName.REQUEST_MOVED, pending, "home lost")
                yield self._dispatch(pending, home, now)
                return
        code = RefusalCode.NO_HOME
        if request.action in _IN_TRANSACTION_ACTIONS:
            code = RefusalCode.UNKNOWN_TRANSACTION
        yield from self._refuse_unanswered(pending, code)

    def _handle_silent_home(
        self, pending: _PendingRequest, now: float
    ) -> Iterator[Emission]:
        """Retry a request elsewhere; its home is a member but does not reply.

        Without another home, the request waits for its current one until the deadline.
        """
        self._avoided_until[pending.home] = now + HOME_AVOIDANCE_SECONDS
        home = self._choose_home(pending, now)
        if home is None:
            check_at = pending.request.deadline + REPLY_GRACE_SECONDS
            self._track(replace(pending, check_at=check_at))
            return
        yield self._log(EventName.REQUEST_MOVED, pending, "home silent")
        yield self._cancel_at_home(pending)
        yield self._dispatch(replace(pending, may_have_run=True), home, now)

    def _expire(self, pending: _PendingRequest) -> Iterator[Emission]:
        yield self._cancel_at_home(pending)
        pending = replace(pending, may_have_run=True)
        yield from self._refuse_unanswered(pending, RefusalCode.DEADLINE)

    def _refuse_unanswered(
        self, pending: _PendingRequest, code: RefusalCode
    ) -> Iterator[Emission]:
        outcome = Outcome.NOT_RUN
        if has_side_effects(pending.request):
            outcome = Outcome.UNKNOWN
            yield self._log(EventName.OUTCOME_UNKNOWN, pending, code.value)
        del self._pending[pending.request.request_id]
        yield self._refuse(pending.request, code, outcome, peer=pending.home)

    def _refuse(
        self, request: Request, code: RefusalCode, outcome: Outcome, peer: str = ""
    ) -> Emission:
        messages = {
            RefusalCode.DEADLINE: "no answer before the deadline",
            RefusalCode.NO_HOME: "no home instance of the group is in reach",
            RefusalCode.UNKNOWN_TRANSACTION: "the home of the transaction is gone",
        }
        return Emission(
            "reply",
            Refusal(
                request_id=request.request_id,
                code=code,
                outcome=outcome,
                step=STEP,
                peer=peer,
                message=messages[code],
                retry_after_seconds=1.0 if code is RefusalCode.NO_HOME else None,
            ),
        )

    def _log(self, name: EventName, pending: _PendingRequest, reason: str) -> Emission:
        return Emission(
            "events",
            Event(
                name,
                {
                    "request_id": pending.request.request_id,
                    "action": pending.request.action.value,
                    "home": pending.home,
                    "reason": reason,
                },
            ),
        )
