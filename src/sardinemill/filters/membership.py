"""Which instances are in use: the platform's list and heartbeats."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from ..configuration import ConfigurationChanged
from ..control import (
    DrainStarted,
    Heartbeat,
    InstanceInfo,
    InstanceList,
    InstanceState,
    MembershipChanged,
    PeerEnvelope,
    StoreCall,
    StoreOperation,
    StoreReply,
)
from ..events import Event, EventName
from ..groups import rank_candidates
from ..interfaces import Emission, RandomSource

HEARTBEAT_SECONDS = 1.0
# Three heartbeats; a single lost or late one must not move the homes of groups.
SILENCE_SECONDS = 3.0
# A listed instance counts as live for this long without a heartbeat, so that an
# instance that starts does not see an empty fleet.
GRACE_SECONDS = 3.0
POLL_SECONDS = 2.0
POLL_TIMEOUT_SECONDS = 2.0
# A poll without any reply is repeated after this time.
POLL_LOST_SECONDS = 5.0
# New peers hear from this instance after the time that a connection needs.
GREETING_SECONDS = 0.1
# An instance that the list does not hold is given up after this silence.
FORGET_SECONDS = 60.0
N_RELAYS = 2


def choose_relays(
    data_centre: str, instances: Iterable[InstanceInfo], n_relays: int = N_RELAYS
) -> list[str]:
    """Choose the instances of a data centre that talk to the platform for the others.

    :param instances: live instances; those of other data centres are ignored.
    :returns: instance names, best first.
    """
    names = [item.name for item in instances if item.data_centre == data_centre]
    return rank_candidates(f"relay {data_centre}", names)[:n_relays]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sign:
    """Last sign of life of an instance."""

    heartbeat: Heartbeat
    heard_at: float


class Membership:
    """Filter from list and heartbeats to the instances in use.

    Outlets: ``store`` for polls of the list, ``peers`` for :class:`Heartbeat` and
    :class:`InstanceList`, ``membership`` for :class:`MembershipChanged`, ``events``.

    While the store is down, the last list and the heartbeats go on.

    :param info: this instance.
    :param incarnation: differs between two processes of the same instance name.
    :param random: for jitter and call ids.
    """

    def __init__(
        self, info: InstanceInfo, incarnation: str, random: RandomSource
    ) -> None:
        self._info = info
        self._incarnation = incarnation
        self._random = random
        self._listed: dict[str, InstanceInfo] = {}
        self._listed_at: dict[str, float] = {}
        self._signs: dict[str, _Sign] = {}
        self._suspected: set[str] = set()
        self._sequence = 0
        self._version = 0
        self._heartbeat_at = float("-inf")
        self._poll_at = float("-inf")
        # No instance in use falls silent before this time; later signs only move it.
        self._silence_at = float("inf")
        self._poll_id: str | None = None
        self._list_failed = False
        self._current = MembershipChanged(live=(), leaving=())

    @property
    def next_tick(self) -> float | None:
        return min(self._heartbeat_at, self._poll_at, self._silence_at)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        return tuple(self._handle(message, now))

    def tick(self, now: float) -> Sequence[Emission]:
        return tuple(self._tick(now))

    def _handle(self, message: object, now: float) -> Iterator[Emission]:
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, Heartbeat):
                yield from self._hear(message.peer, message.message, now)
            elif isinstance(message.message, InstanceList):
                yield from self._take_list(message.message.instances, now)
        elif isinstance(message, StoreReply):
            yield from self._take_poll(message, now)
        elif isinstance(message, ConfigurationChanged):
            self._version = max(self._version, message.configuration.version)
        elif isinstance(message, DrainStarted):
            self._info = replace(self._info, state=InstanceState.LEAVING)
            yield self._make_heartbeat(now)
            yield from self._update(now)

    def _tick(self, now: float) -> Iterator[Emission]:
        if min(self._silence_at, self._heartbeat_at) <= now:
            yield from self._update(now)
        if self._heartbeat_at <= now:
            yield self._make_heartbeat(now)
        if self._poll_at <= now:
            yield from self._poll(now)

    # Heartbeats

    def _make_heartbeat(self, now: float) -> Emission:
        # Jitter keeps instances that started together from sending together.
        jitter = 0.9 + 0.2 * self._random.random()
        self._heartbeat_at = now + HEARTBEAT_SECONDS * jitter
        self._sequence += 1
        heartbeat = Heartbeat(
            source=self._info.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            state=self._info.state,
            configuration_version=self._version,
            info=self._info,
        )
        return Emission("peers", PeerEnvelope(peer="*", message=heartbeat))

    def _hear(self, peer: str, heartbeat: Heartbeat, now: float) -> Iterator[Emission]:
        if peer == self._info.name or heartbeat.source != peer:
            return
        known = self._signs.get(peer)
        if (
            known is not None
            and known.heartbeat.incarnation == heartbeat.incarnation
            and known.heartbeat.sequence >= heartbeat.sequence
        ):
            # Late or doubled; it says nothing about the present.
            return
        if known is None or peer in self._suspected:
            self._suspected.discard(peer)
            yield _log(EventName.INSTANCE_HEARD, peer)
        is_expected = not self._is_silent(peer, now) and _is_same(known, heartbeat)
        self._signs[peer] = _Sign(heartbeat=heartbeat, heard_at=now)
        # Almost all heartbeats change nothing; an update goes over all instances.
        if not is_expected:
            yield from self._update(now)

    # List

    def _poll(self, now: float) -> Iterator[Emission]:
        """Ask the platform for its list if this instance does so for its data centre.

        An instance that knows nobody polls as well, or it would never learn anybody.
        """
        self._poll_at = now + POLL_SECONDS
        relays = choose_relays(self._info.data_centre, self._current.live)
        if self._info.name not in relays and len(self._current.live) > 1:
            self._poll_id = None
            return
        if self._poll_id is not None:
            self._list_failed = True
        self._poll_id = self._random.make_id()
        self._poll_at = now + POLL_LOST_SECONDS
        yield Emission(
            "store",
            StoreCall(
                call_id=self._poll_id,
                operation=StoreOperation.LIST_INSTANCES,
                timeout_seconds=POLL_TIMEOUT_SECONDS,
            ),
        )

    def _take_poll(self, reply: StoreReply, now: float) -> Iterator[Emission]:
        if reply.call.call_id != self._poll_id:
            return
        self._poll_id = None
        self._poll_at = now + POLL_SECONDS
        if reply.failure is not None:
            if not self._list_failed:
                yield _log(EventName.INSTANCE_LIST_FAILED, self._info.name)
            self._list_failed = True
            return
        self._list_failed = False
        yield from self._take_list(reply.instances, now)
        passed_on = InstanceList(instances=reply.instances)
        for item in self._current.live:
            if item.name != self._info.name and self._is_near(item):
                yield Emission("peers", PeerEnvelope(peer=item.name, message=passed_on))

    def _is_near(self, item: InstanceInfo) -> bool:
        return item.data_centre == self._info.data_centre

    def _take_list(
        self, instances: Sequence[InstanceInfo], now: float
    ) -> Iterator[Emission]:
        if not instances:
            # An empty list holds not even this instance: the platform has no answer.
            return
        self._listed = {
            item.name: item for item in instances if item.name != self._info.name
        }
        self._listed_at = {
            name: self._listed_at.get(name, now) for name in self._listed
        }
        yield from self._update(now)

    # Instances in use

    def _update(self, now: float) -> Iterator[Emission]:
        self._signs = {
            name: sign
            for name, sign in self._signs.items()
            if name in self._listed or now - sign.heard_at < FORGET_SECONDS
        }
        live, leaving = [], []
        candidates = self._merge_candidates()
        for item in candidates:
            if self._is_silent(item.name, now):
                yield from self._suspect(item.name)
            elif item.state is InstanceState.LEAVING:
                leaving.append(item)
            else:
                live.append(item)
        self._silence_at = min(
            map(self._find_limit, [item.name for item in (*live, *leaving)]),
            default=float("inf"),
        )
        (live if self._info.state is InstanceState.LIVE else leaving).append(self._info)
        changed = MembershipChanged(
            live=_sort(live), leaving=_sort(leaving), candidates=_sort(candidates)
        )
        if changed == self._current:
            return
        if changed.candidates != self._current.candidates:
            self._heartbeat_at = min(self._heartbeat_at, now + GREETING_SECONDS)
        self._current = changed
        yield Emission("membership", changed)

    def _merge_candidates(self) -> list[InstanceInfo]:
        """Listed and heard instances; leaving if the list or the instance says so."""
        merged = dict(self._listed)
        for name, sign in self._signs.items():
            info = sign.heartbeat.info
            if name not in merged and info is not None:
                merged[name] = info
            if name in merged and sign.heartbeat.state is InstanceState.LEAVING:
                merged[name] = replace(merged[name], state=InstanceState.LEAVING)
        return list(merged.values())

    def _find_limit(self, name: str) -> float:
        """Monotonic seconds until which an instance counts without a new sign."""
        sign = self._signs.get(name)
        if sign is not None:
            return sign.heard_at + SILENCE_SECONDS
        return self._listed_at.get(name, float("-inf")) + GRACE_SECONDS

    def _is_silent(self, name: str, now: float) -> bool:
        return now >= self._find_limit(name)

    def _suspect(self, name: str) -> Iterator[Emission]:
        if name not in self._suspected:
            self._suspected.add(name)
            yield _log(EventName.INSTANCE_SUSPECTED, name)


def _is_same(known: _Sign | None, heartbeat: Heartbeat) -> bool:
    """Tell whether a heartbeat says the same of its sender as the one before."""
    return (
        known is not None
        and known.heartbeat.state is heartbeat.state
        and known.heartbeat.info == heartbeat.info
    )


def _sort(instances: Iterable[InstanceInfo]) -> tuple[InstanceInfo, ...]:
    return tuple(sorted(instances, key=lambda item: item.name))


def _log(name: EventName, instance: str) -> Emission:
    return Emission("events", Event(name, {"instance": instance}))
