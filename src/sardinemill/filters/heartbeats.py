"""Schedule of heartbeats: to monitors, announcements to all, and introductions."""

import math
from collections.abc import Collection, Iterator
from dataclasses import replace

import xxhash

from ..control import PeerEnvelope
from ..interfaces import Emission, RandomSource
from ..members import Heartbeat, InstanceInfo, InstanceState
from .monitors import MonitorTable

HEARTBEAT_SECONDS = 1.0
# This instance introduces itself to a new peer after the time that connecting takes,
# and again because the first introduction is lost if connecting takes longer.
INTRODUCTION_DELAYS_SECONDS = (0.1, 2.0)
# Interval while the platform's list may not hold this instance yet; the list lags, so
# others learn of a new instance from its announcements.
ANNOUNCEMENT_INTERVAL_SECONDS = 10.0
STARTUP_SECONDS = 30.0
# Least interval between refutations, as several monitors may report the same instance
# at once; must be below REFUTATION_TIMEOUT_SECONDS of the receivers.
REFUTATION_INTERVAL_SECONDS = 1.0
# Interval of an instance on the platform's list; repairs the effects of lost
# announcements and of differing lists.
LISTED_ANNOUNCEMENT_INTERVAL_SECONDS = 300.0


class Heartbeats:
    """Schedule and content of the heartbeats of one instance.

    Ordinary heartbeats, without ``info``, go to the monitors. A heartbeat with ``info``
    introduces this instance to receivers that may not know it. An announcement is a
    heartbeat with ``info`` to all: at the start, when the state changes, while leaving,
    and at intervals.

    Outlet: ``peers``.

    :param info: description of this instance.
    :param random: for jitter, so that instances that started together don't send at the
        same time.
    :ivar version: configuration version in force.
    """

    def __init__(
        self, info: InstanceInfo, incarnation: str, random: RandomSource
    ) -> None:
        self.info = info
        self.version = 0
        self._incarnation = incarnation
        self._random = random
        # Spreads the announcements of instances that started together.
        self._interval_factor = (
            0.8 + 0.4 * xxhash.xxh32_intdigest(info.name.encode()) / 2**32
        )
        self._sequence = 0
        self._started_at = math.inf
        self._is_listed = False
        self._due_at = -math.inf
        self._announce_at = -math.inf
        self._introductions: dict[str, tuple[float, ...]] = {}
        self._introduce_at = math.inf
        self._refuted_at = -math.inf

    @property
    def next_tick(self) -> float:
        return min(self._due_at, self._introduce_at)

    def set_leaving(self) -> None:
        """Change the state of this instance to leaving."""
        self.info = replace(self.info, state=InstanceState.LEAVING)

    def set_listed(self, is_listed: bool, now: float) -> None:
        """Record whether the platform's list holds this instance."""
        if self._is_listed and not is_listed:
            self.schedule_announcement(now)
        self._is_listed = is_listed

    def schedule_announcement(self, now: float) -> None:
        """Announce this instance at the next tick, as others may have removed it."""
        self._announce_at = self._due_at = now

    def schedule_introduction(self, name: str, now: float) -> None:
        """Schedule the heartbeats that introduce this instance to a new peer."""
        self._introductions[name] = tuple(
            now + seconds for seconds in INTRODUCTION_DELAYS_SECONDS
        )
        self._introduce_at = min(
            self._introduce_at, now + INTRODUCTION_DELAYS_SECONDS[0]
        )

    def tick(
        self, table: MonitorTable, suspected: Collection[str], now: float
    ) -> Iterator[Emission]:
        """Send the heartbeats that are due.

        :param table: determines the monitors of this instance.
        :param suspected: instances that are suspected of having failed.
        """
        self._started_at = min(self._started_at, now)
        if self._introduce_at <= now:
            yield from self._send_introductions(table.n_members, now)
        if self._due_at > now:
            return
        self._due_at = now + HEARTBEAT_SECONDS * (0.9 + 0.2 * self._random.random())
        if self.info.state is InstanceState.LEAVING or self._announce_at <= now:
            yield self.announce(now)
            return
        ordinary = self._make_heartbeat(includes_info=False)
        for name in table.list_receivers(suspected):
            # A suspected instance may have restarted without knowing any peer.
            includes_info = name in suspected
            yield _make_emission(
                name,
                self._make_heartbeat(includes_info=True) if includes_info else ordinary,
            )

    def announce(self, now: float) -> Emission:
        """Return an announcement to all others and schedule the next one."""
        is_new = now < self._started_at + STARTUP_SECONDS or not self._is_listed
        seconds = (
            ANNOUNCEMENT_INTERVAL_SECONDS
            if is_new
            else LISTED_ANNOUNCEMENT_INTERVAL_SECONDS
        )
        self._announce_at = now + seconds * self._interval_factor
        return _make_emission("*", self._make_heartbeat(includes_info=True))

    def refute(self, names: Collection[str], now: float) -> Iterator[Emission]:
        """Send heartbeats that refute reports about this instance."""
        if now < self._refuted_at + REFUTATION_INTERVAL_SECONDS:
            return
        self._refuted_at = now
        heartbeat = self._make_heartbeat(includes_info=True)
        for name in names:
            yield _make_emission(name, heartbeat)

    def _send_introductions(self, n_members: int, now: float) -> Iterator[Emission]:
        due = [name for name, times in self._introductions.items() if times[0] <= now]
        for name in due:
            times = self._introductions.pop(name)[1:]
            if times:
                self._introductions[name] = times
        self._introduce_at = min(
            (times[0] for times in self._introductions.values()), default=math.inf
        )
        if 1 < n_members <= len(due):
            yield self.announce(now)
            return
        for name in due:
            yield _make_emission(name, self._make_heartbeat(includes_info=True))

    def _make_heartbeat(self, *, includes_info: bool) -> Heartbeat:
        self._sequence += 1
        return Heartbeat(
            source=self.info.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            state=self.info.state,
            configuration_version=self.version,
            info=self.info if includes_info else None,
        )


def _make_emission(peer: str, heartbeat: Heartbeat) -> Emission:
    return Emission("peers", PeerEnvelope(peer=peer, message=heartbeat))
