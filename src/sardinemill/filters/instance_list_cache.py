"""Cache of the platform's instance list: polls, changes and repair by digest."""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

import xxhash

from ..control import PeerEnvelope
from ..events import Event, EventName
from ..groups import rank_candidates
from ..interfaces import Emission, RandomSource
from ..members import InstanceInfo, InstanceList, InstanceListChange, InstanceListQuery
from ..store_calls import StoreCall, StoreOperation, StoreReply

POLL_SECONDS = 2.0
POLL_TIMEOUT_SECONDS = 2.0
# A poll without a reply is repeated after this time.
POLL_REPLY_TIMEOUT_SECONDS = 5.0
# Budget of a relay for polls. The platform has no call for changes, so each poll reads
# the whole list. New instances announce themselves, so the list may lag.
POLL_BYTES_PER_SECOND = 2500.0
ENTRY_BYTES = 100.0
DIGEST_SECONDS = 10.0
QUERY_INTERVAL_SECONDS = 2.0
# A receiver follows another relay after this time without a message of the current one:
# two digest intervals, so that one digest may be lost, and a margin.
RELAY_TIMEOUT_SECONDS = 25.0
N_RELAYS = 2


def choose_list_relays(
    data_centre: str, instances: Iterable[InstanceInfo], n_relays: int = N_RELAYS
) -> list[str]:
    """Choose the instances of a data centre that poll the platform for the others.

    :param instances: live instances; those of other data centres are ignored.
    :returns: instance names, best first.
    """
    names = [item.name for item in instances if item.data_centre == data_centre]
    return rank_candidates(f"relay {data_centre}", names)[:n_relays]


def compute_digest(entries: Mapping[str, InstanceInfo]) -> str:
    """Compute the digest of a list from all fields of its sorted entries."""
    digest = xxhash.xxh64()
    for name in sorted(entries):
        item = entries[name]
        fields = (
            name,
            item.data_centre,
            str(item.peer_address),
            str(item.front_address),
            item.state.value,
        )
        digest.update("\0".join(fields).encode() + b"\n")
    return digest.hexdigest()


class InstanceListCache:
    """Cached copy of the platform's list and the messages that keep it up to date.

    Relays poll the platform and forward changes to their data centre. The two relays
    poll at different times, so every receiver follows one of them until it falls
    silent; otherwise each change would make the receivers fetch the whole list from the
    relay that lags.

    Outlets: ``store`` for polls, ``peers``, ``events``.

    :param info: description of this instance.
    :param random: for call ids, and to choose a peer for the first query.
    :ivar entries: the list by instance name, this instance included.
    :ivar next_tick: monotonic seconds at which ``tick`` is due.
    """

    def __init__(self, info: InstanceInfo, random: RandomSource) -> None:
        self.entries: dict[str, InstanceInfo] = {}
        self._instance = info.name
        self._data_centre = info.data_centre
        self._random = random
        self._digest = ""
        self._live: Sequence[InstanceInfo] = ()
        self._peers: Sequence[str] = ()
        self._local_peers: Sequence[str] = ()
        self._relays: Sequence[str] = ()
        self._poll_at = -math.inf
        self._poll_id: str | None = None
        self._has_failed = False
        self._polled_at = -math.inf
        self._digest_at = math.inf
        self._followed_relay = ""
        self._followed_relay_heard_at = -math.inf
        self._differs_since = math.inf
        self._queried_peer = ""
        self._queried_at = -math.inf

    @property
    def next_tick(self) -> float:
        return min(self._poll_at, self._digest_at, self._find_initial_query_time())

    def _find_initial_query_time(self) -> float:
        """Return when to query a peer, if the store has been down since the start."""
        if self.entries or not self._peers:
            return math.inf
        return self._queried_at + QUERY_INTERVAL_SECONDS

    def set_instances(
        self, live: Sequence[InstanceInfo], candidates: Sequence[InstanceInfo]
    ) -> None:
        """Replace the live instances, this one included, and the other candidates."""
        self._live = live
        self._relays = choose_list_relays(self._data_centre, live)
        self._peers = [item.name for item in candidates]
        self._local_peers = [
            item.name for item in candidates if item.data_centre == self._data_centre
        ]

    def tick(self, now: float) -> Iterator[Emission]:
        if self._poll_at <= now:
            yield from self._poll(now)
        if self._find_initial_query_time() <= now:
            index = int(self._random.random() * len(self._peers))
            yield from self._query(self._peers[index], now)
        if self._digest_at <= now:
            self._digest_at = math.inf
            if self._is_active_relay(now):
                self._digest_at = now + DIGEST_SECONDS
                yield from self._send_to_local_peers(self._make_digest())

    # Polls

    def _poll(self, now: float) -> Iterator[Emission]:
        """Poll the platform's list if this instance is a relay of its data centre.

        An instance without known peers polls as well, or it would never find any.
        """
        self._poll_at = now + self._poll_interval_seconds
        if self._instance not in self._relays and len(self._live) > 1:
            self._poll_id = None
            return
        if self._poll_id is not None:
            self._has_failed = True
        self._poll_id = self._random.make_id()
        self._poll_at = now + max(
            POLL_REPLY_TIMEOUT_SECONDS, self._poll_interval_seconds
        )
        yield Emission(
            "store",
            StoreCall(
                call_id=self._poll_id,
                operation=StoreOperation.LIST_INSTANCES,
                timeout_seconds=POLL_TIMEOUT_SECONDS,
            ),
        )

    @property
    def _poll_interval_seconds(self) -> float:
        n_bytes = ENTRY_BYTES * len(self.entries)
        return max(POLL_SECONDS, n_bytes / POLL_BYTES_PER_SECOND)

    def _is_active_relay(self, now: float) -> bool:
        """Return whether this instance is a relay whose own polls succeed."""
        limit = (
            self._polled_at
            + 2 * self._poll_interval_seconds
            + POLL_REPLY_TIMEOUT_SECONDS
        )
        return self._instance in self._relays and now < limit

    def handle_reply(self, reply: StoreReply, now: float) -> Iterator[Emission]:
        """Apply the platform's answer and forward the changes."""
        if reply.call.call_id != self._poll_id:
            return
        self._poll_id = None
        self._poll_at = now + self._poll_interval_seconds
        if reply.failure is not None:
            if not self._has_failed:
                fields = {"instance": self._instance}
                yield Emission("events", Event(EventName.INSTANCE_LIST_FAILED, fields))
            self._has_failed = True
            return
        self._has_failed = False
        if not reply.instances:
            # The list holds at least this instance, so an empty one means that the
            # platform has no answer.
            return
        self._polled_at = now
        self._digest_at = min(self._digest_at, now + DIGEST_SECONDS)
        change = self._replace({item.name: item for item in reply.instances})
        self._poll_at = now + self._poll_interval_seconds
        if change is not None and self._is_active_relay(now):
            # The difference from an empty cache would be the whole list.
            yield from self._send_to_local_peers(
                change if change.base else self._make_digest()
            )

    def _make_digest(self) -> InstanceListChange:
        return InstanceListChange(base=self._digest, digest=self._digest)

    def _send_to_local_peers(self, change: InstanceListChange) -> Iterator[Emission]:
        for name in self._local_peers:
            yield Emission("peers", PeerEnvelope(peer=name, message=change))

    def _replace(self, entries: dict[str, InstanceInfo]) -> InstanceListChange | None:
        """Replace the list and return the difference, ``None`` if there is none."""
        if entries == self.entries:
            return None
        change = InstanceListChange(
            base=self._digest,
            digest=compute_digest(entries),
            changed=tuple(
                item for name, item in entries.items() if self.entries.get(name) != item
            ),
            removed=tuple(name for name in self.entries if name not in entries),
        )
        self.entries, self._digest = entries, change.digest
        return change

    # Messages of other instances

    def handle_change(
        self, peer: str, change: InstanceListChange, now: float
    ) -> Iterator[Emission]:
        """Apply a relay's change; query the whole list if it stays inapplicable."""
        if not self._follow_relay(peer, now):
            return
        if change.digest == self._digest or self._apply(change):
            self._differs_since = math.inf
            return
        self._differs_since = min(self._differs_since, now)
        # The relay's list may be older than the cache until its next poll.
        repair_delay_seconds = (
            DIGEST_SECONDS + self._poll_interval_seconds if self.entries else 0.0
        )
        if now >= self._differs_since + repair_delay_seconds:
            yield from self._query(peer, now)

    def _apply(self, change: InstanceListChange) -> bool:
        """Apply a change whose base is the cached list.

        :returns: whether the change was applied.
        """
        if change.base != self._digest:
            return False
        entries = {
            name: item
            for name, item in self.entries.items()
            if name not in change.removed
        }
        entries.update((item.name, item) for item in change.changed)
        if not entries or compute_digest(entries) != change.digest:
            return False
        self._replace(entries)
        return True

    def _follow_relay(self, peer: str, now: float) -> bool:
        """Return whether to accept changes of a relay, and follow it if so."""
        if self._is_active_relay(now):
            return False
        is_followed = self._followed_relay in self._relays and (
            now < self._followed_relay_heard_at + RELAY_TIMEOUT_SECONDS
        )
        if peer != self._followed_relay and is_followed:
            return False
        self._followed_relay, self._followed_relay_heard_at = peer, now
        return True

    def _query(self, peer: str, now: float) -> Iterator[Emission]:
        """Query the whole list of an instance, limited to one query per interval."""
        if now < self._queried_at + QUERY_INTERVAL_SECONDS:
            return
        self._queried_peer, self._queried_at = peer, now
        query = InstanceListQuery(digest=self._digest)
        yield Emission("peers", PeerEnvelope(peer=peer, message=query))

    def handle_query(self, peer: str, query: InstanceListQuery) -> Iterator[Emission]:
        """Answer with the whole list if the digest of the query differs."""
        if self.entries and query.digest != self._digest:
            full_list = InstanceList(instances=tuple(self.entries.values()))
            yield Emission("peers", PeerEnvelope(peer=peer, message=full_list))

    def handle_list(self, peer: str, instances: Sequence[InstanceInfo]) -> None:
        """Replace the list by one that was queried, or by any if it is empty."""
        if not instances or (self.entries and peer != self._queried_peer):
            return
        self._queried_peer = ""
        self._differs_since = math.inf
        self._replace({item.name: item for item in instances})
