"""When an instance sends which heartbeats: to monitors, to all, and as greetings."""

import math
from collections.abc import Collection, Iterator
from dataclasses import replace

import xxhash

from ..control import PeerEnvelope
from ..interfaces import Emission, RandomSource
from ..members import Heartbeat, InstanceInfo, InstanceState
from .monitors import MonitorTable

HEARTBEAT_SECONDS = 1.0
# New peers hear from this instance after the time that a connection needs, and once
# more because the first greeting is lost if the connection takes longer.
GREETING_SECONDS = (0.1, 2.0)
# The platform's list lags, so others learn a new instance from its announcements.
ANNOUNCEMENT_SECONDS = 10.0
START_SECONDS = 30.0
# Several monitors may report the same instance at once; less than the time after which
# it becomes doubtful.
REFUTATION_SECONDS = 1.0
# Repairs what lost announcements and different lists leave behind.
LISTED_ANNOUNCEMENT_SECONDS = 300.0


class Heartbeats:
    """Schedule and content of the heartbeats of one instance.

    Ordinary heartbeats go to the monitors. An announcement, a heartbeat with ``info``,
    goes to all: at the start, when the state changes, while leaving, and at intervals.

    Outlet: ``peers``.

    :param info: this instance.
    :param random: for jitter, which keeps instances that started together from sending
        together.
    :ivar version: configuration version in force.
    """

    def __init__(
        self, info: InstanceInfo, incarnation: str, random: RandomSource
    ) -> None:
        self.info = info
        self.version = 0
        self._incarnation = incarnation
        self._random = random
        # Instances that started together announce themselves at different times.
        self._spread = 0.8 + 0.4 * xxhash.xxh32_intdigest(info.name.encode()) / 2**32
        self._sequence = 0
        self._started_at = math.inf
        self._is_listed = False
        self._due_at = -math.inf
        self._announce_at = -math.inf
        self._greetings: dict[str, tuple[float, ...]] = {}
        self._greet_at = math.inf
        self._refuted_at = -math.inf

    @property
    def next_tick(self) -> float:
        return min(self._due_at, self._greet_at)

    def leave(self) -> None:
        """Change the own state to leaving."""
        self.info = replace(self.info, state=InstanceState.LEAVING)

    def set_listed(self, is_listed: bool, now: float) -> None:
        """Note whether the platform's list holds this instance."""
        if self._is_listed and not is_listed:
            self.hasten_announcement(now)
        self._is_listed = is_listed

    def hasten_announcement(self, now: float) -> None:
        """Introduce this instance at the next tick; others may have given it up."""
        self._announce_at = self._due_at = now

    def plan_greeting(self, name: str, now: float) -> None:
        """Introduce this instance to a new one soon."""
        self._greetings[name] = tuple(now + seconds for seconds in GREETING_SECONDS)
        self._greet_at = min(self._greet_at, now + GREETING_SECONDS[0])

    def tick(
        self, table: MonitorTable, suspected: Collection[str], now: float
    ) -> Iterator[Emission]:
        """Send what is due.

        :param table: tells the monitors of this instance.
        """
        self._started_at = min(self._started_at, now)
        if self._greet_at <= now:
            yield from self._greet(table.n_members, now)
        if self._due_at > now:
            return
        self._due_at = now + HEARTBEAT_SECONDS * (0.9 + 0.2 * self._random.random())
        if self.info.state is InstanceState.LEAVING or self._announce_at <= now:
            yield self.announce(now)
            return
        ordinary = self._make(introduces=False)
        for name in table.list_receivers(suspected):
            # A suspected instance may have restarted and know nobody.
            introduces = name in suspected
            yield _send(name, self._make(introduces=True) if introduces else ordinary)

    def announce(self, now: float) -> Emission:
        """Introduce this instance to all others."""
        is_new = now < self._started_at + START_SECONDS or not self._is_listed
        seconds = ANNOUNCEMENT_SECONDS if is_new else LISTED_ANNOUNCEMENT_SECONDS
        self._announce_at = now + seconds * self._spread
        return _send("*", self._make(introduces=True))

    def refute(self, names: Collection[str], now: float) -> Iterator[Emission]:
        """Show instances that hold a report about this one that it lives."""
        if now < self._refuted_at + REFUTATION_SECONDS:
            return
        self._refuted_at = now
        heartbeat = self._make(introduces=True)
        for name in names:
            yield _send(name, heartbeat)

    def _greet(self, n_members: int, now: float) -> Iterator[Emission]:
        due = [name for name, times in self._greetings.items() if times[0] <= now]
        for name in due:
            times = self._greetings.pop(name)[1:]
            if times:
                self._greetings[name] = times
        self._greet_at = min(
            (times[0] for times in self._greetings.values()), default=math.inf
        )
        if 1 < n_members <= len(due):
            yield self.announce(now)
            return
        for name in due:
            yield _send(name, self._make(introduces=True))

    def _make(self, *, introduces: bool) -> Heartbeat:
        self._sequence += 1
        return Heartbeat(
            source=self.info.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            state=self.info.state,
            configuration_version=self.version,
            info=self.info if introduces else None,
        )


def _send(peer: str, heartbeat: Heartbeat) -> Emission:
    return Emission("peers", PeerEnvelope(peer=peer, message=heartbeat))
