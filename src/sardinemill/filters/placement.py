"""Chooses the home instance of each request and follows it until it is answered."""

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
# A request that may be repeated moves to another home after this silence. A busy home
# answers later than this only when its queue is longer than the time allows.
SILENCE_SECONDS = 3.0
# A home refuses work at its deadline; its refusal is more exact than a guess made
# here, so the entry waits for it this much longer.
REPLY_GRACE_SECONDS = 0.2
# A home that refused or fell silent is tried last for this time.
AVOID_SECONDS = 1.0

# Refusals that another home of the group may not share.
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
_BOUND_ACTIONS = frozenset(
    {Action.TRANSACTION_STATEMENT, Action.COMMIT, Action.ROLLBACK}
)


def has_effect(request: Request) -> bool:
    """Tell whether running the request can change data or a transaction.

    A begin alone changes nothing: a transaction that nobody uses is rolled back.
    """
    if request.action is Action.BEGIN:
        return False
    if request.action in (Action.COMMIT, Action.ROLLBACK):
        return True
    return request.statement is None or request.statement.kind.value != "read"


def is_repeatable(request: Request) -> bool:
    """Tell whether a second run at another home does no harm."""
    if request.action in _BOUND_ACTIONS:
        return False
    if not has_effect(request) or request.idempotency_key is not None:
        return True
    return request.statement is not None and request.statement.idempotent


def find_transaction_home(transaction_id: str | None) -> str:
    """Return the home named in a transaction id, ``""`` when there is none."""
    return (transaction_id or "").rpartition("/")[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Pending:
    """Request that waits for an answer.

    :param tried: homes that got it, the current one last.
    :param may_have_run: a home that got it never answered.
    :param check_at: monotonic seconds of the next check.
    """

    request: Request
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    check_at: float = 0.0

    @property
    def home(self) -> str:
        return self.tried[-1]


class Placement:
    """Filter at the entry: request to home instance, answer back to the front end.

    Outlets: ``home`` for the home in this process, ``peers``, ``reply``, ``events``.

    Exactly one reply leaves for each request that was not cancelled.

    :param instance: own name.
    :param data_centre: own data centre; homes in it are preferred.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._live: tuple[InstanceInfo, ...] = ()
        self._reachable: frozenset[str] = frozenset({instance})
        self._homes: dict[str, tuple[str, ...]] = {}
        self._avoided: dict[str, float] = {}
        self._pending: dict[str, _Pending] = {}
        self._timers: list[tuple[float, str]] = []

    @property
    def next_tick(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    @property
    def n_pending(self) -> int:
        """Requests that wait for an answer."""
        return len(self._pending)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, Request):
            return tuple(self._accept(message, now))
        if isinstance(message, Answer | Refusal):
            return tuple(self._take_reply(message, self._instance, now))
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, ForwardedReply):
                reply = message.message.reply
                return tuple(self._take_reply(reply, message.peer, now))
            return ()
        if isinstance(message, Cancellation):
            return self._cancel(message)
        if isinstance(message, MembershipChanged):
            return tuple(self._change_membership(message, now))
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
                emissions.extend(self._leave_silent_home(pending, now))
        return emissions

    # Dispatch

    def _accept(self, request: Request, now: float) -> Iterator[Emission]:
        if request.deadline <= now:
            yield self._refuse(request, RefusalCode.DEADLINE, Outcome.NOT_RUN)
            return
        pending = _Pending(request=request)
        if request.action not in _BOUND_ACTIONS:
            home = self._choose_home(pending, now)
            if home is None:
                yield self._refuse(request, RefusalCode.NO_HOME, Outcome.NOT_RUN)
                return
        else:
            home = find_transaction_home(request.transaction_id)
            if home not in self._reachable:
                # A repeated commit may have taken effect the first time.
                is_commit = request.action is Action.COMMIT
                outcome = Outcome.UNKNOWN if is_commit else Outcome.NOT_RUN
                yield self._refuse(request, RefusalCode.UNKNOWN_TRANSACTION, outcome)
                return
        yield self._dispatch(pending, home, now)

    def _choose_home(self, pending: _Pending, now: float) -> str | None:
        """Best home that has not had the request, homes that failed lately last."""
        homes = self._find_homes(pending.request.group)
        remaining = [name for name in homes if name not in pending.tried]
        for name in remaining:
            if self._avoided.get(name, 0.0) <= now:
                return name
        return remaining[0] if remaining else None

    def _find_homes(self, group: str) -> tuple[str, ...]:
        homes = self._homes.get(group)
        if homes is None:
            places = {item.name: item.data_centre for item in self._live}
            ranked = choose_homes(group, list(places.items()))
            ranked.sort(key=lambda name: places[name] != self._data_centre)
            homes = self._homes[group] = tuple(ranked)
        return homes

    def _dispatch(self, pending: _Pending, home: str, now: float) -> Emission:
        request = pending.request
        pending = replace(pending, tried=(*pending.tried, home))
        if is_repeatable(request) and self._choose_home(pending, now) is not None:
            check_at = min(
                now + SILENCE_SECONDS, request.deadline + REPLY_GRACE_SECONDS
            )
        else:
            check_at = request.deadline + REPLY_GRACE_SECONDS
        self._keep(
            _Pending(
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

    def _keep(self, pending: _Pending) -> None:
        request_id = pending.request.request_id
        self._pending[request_id] = pending
        heapq.heappush(self._timers, (pending.check_at, request_id))

    def _send(self, home: str, message: object) -> Emission:
        return Emission("peers", PeerEnvelope(peer=home, message=message))

    def _cancel(self, message: Cancellation) -> Sequence[Emission]:
        pending = self._pending.pop(message.request_id, None)
        return () if pending is None else (self._withdraw(pending),)

    def _withdraw(self, pending: _Pending) -> Emission:
        """Ask the current home not to start the request any more."""
        request_id = pending.request.request_id
        if pending.home == self._instance:
            return Emission("home", Cancellation(request_id=request_id))
        return self._send(pending.home, ForwardedCancellation(request_id=request_id))

    # Answers

    def _take_reply(self, reply: Reply, source: str, now: float) -> Iterator[Emission]:
        """Answer the caller or try again.

        Any home that got the request may answer it. A refusal counts only from the
        current home: the request may still run there when an earlier one refuses.
        """
        pending = self._pending.get(reply.request_id)
        if pending is None or source not in pending.tried:
            return
        if isinstance(reply, Answer):
            yield self._finish(pending, reply)
        elif source == pending.home:
            yield from self._take_refusal(pending, reply, now)

    def _take_refusal(
        self, pending: _Pending, refusal: Refusal, now: float
    ) -> Iterator[Emission]:
        if refusal.code in _AVOIDED_CODES:
            self._avoided[pending.home] = now + AVOID_SECONDS
        pending = replace(
            pending,
            may_have_run=pending.may_have_run or refusal.outcome is not Outcome.NOT_RUN,
        )
        if self._may_try_again(pending, refusal, now):
            home = self._choose_home(pending, now)
            if home is not None:
                yield self._log(EventName.REQUEST_MOVED, pending, refusal.code.value)
                yield self._dispatch(pending, home, now)
                return
        yield self._finish(pending, refusal)

    def _may_try_again(self, pending: _Pending, refusal: Refusal, now: float) -> bool:
        request = pending.request
        if request.action in _BOUND_ACTIONS or request.deadline <= now:
            return False
        if refusal.outcome is Outcome.NOT_RUN:
            return refusal.code in _RETRYABLE_CODES
        return refusal.outcome is Outcome.UNKNOWN and is_repeatable(request)

    def _finish(self, pending: _Pending, reply: Reply) -> Emission:
        del self._pending[pending.request.request_id]
        if (
            isinstance(reply, Refusal)
            and reply.outcome is Outcome.NOT_RUN
            and pending.may_have_run
            and has_effect(pending.request)
        ):
            reply = replace(reply, outcome=Outcome.UNKNOWN)
        return Emission("reply", reply)

    # Homes that do not answer

    def _change_membership(
        self, message: MembershipChanged, now: float
    ) -> Iterator[Emission]:
        self._live = message.live
        self._homes.clear()
        self._reachable = frozenset(
            {item.name for item in (*message.live, *message.leaving)} | {self._instance}
        )
        self._avoided = {
            name: until for name, until in self._avoided.items() if until > now
        }
        lost = [
            item for item in self._pending.values() if item.home not in self._reachable
        ]
        for pending in lost:
            yield from self._leave_lost_home(pending, now)

    def _leave_lost_home(self, pending: _Pending, now: float) -> Iterator[Emission]:
        """Handle a request whose home is out of reach; it may have run there."""
        request = pending.request
        pending = replace(pending, may_have_run=True)
        if is_repeatable(request) and request.deadline > now:
            home = self._choose_home(pending, now)
            if home is not None:
                yield self._log(EventName.REQUEST_MOVED, pending, "home lost")
                yield self._dispatch(pending, home, now)
                return
        code = RefusalCode.NO_HOME
        if request.action in _BOUND_ACTIONS:
            code = RefusalCode.UNKNOWN_TRANSACTION
        yield from self._give_up(pending, code)

    def _leave_silent_home(self, pending: _Pending, now: float) -> Iterator[Emission]:
        """Repeat a request elsewhere; its home is connected but gives no answer."""
        self._avoided[pending.home] = now + AVOID_SECONDS
        home = self._choose_home(pending, now)
        if home is None:
            check_at = pending.request.deadline + REPLY_GRACE_SECONDS
            self._keep(replace(pending, check_at=check_at))
            return
        yield self._log(EventName.REQUEST_MOVED, pending, "home silent")
        yield self._withdraw(pending)
        yield self._dispatch(replace(pending, may_have_run=True), home, now)

    def _expire(self, pending: _Pending) -> Iterator[Emission]:
        yield self._withdraw(pending)
        pending = replace(pending, may_have_run=True)
        yield from self._give_up(pending, RefusalCode.DEADLINE)

    def _give_up(self, pending: _Pending, code: RefusalCode) -> Iterator[Emission]:
        outcome = Outcome.NOT_RUN
        if has_effect(pending.request):
            outcome = Outcome.UNKNOWN
            yield self._log(EventName.OUTCOME_UNKNOWN, pending, code.value)
        del self._pending[pending.request.request_id]
        yield self._refuse(pending.request, code, outcome, peer=pending.home)

    def _refuse(
        self, request: Request, code: RefusalCode, outcome: Outcome, peer: str = ""
    ) -> Emission:
        texts = {
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
                message=texts[code],
                retry_after_seconds=1.0 if code is RefusalCode.NO_HOME else None,
            ),
        )

    def _log(self, name: EventName, pending: _Pending, reason: str) -> Emission:
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
