"""The platform's list of instances: polls, changes and repair by digest."""

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
# A poll without any reply is repeated after this time.
POLL_LOST_SECONDS = 5.0
# Share of a relay's traffic for polls; the list has no changes call, so every poll
# reads all of it. New instances announce themselves, so the list may lag.
POLL_BYTES_PER_SECOND = 2500.0
ENTRY_BYTES = 100.0
DIGEST_SECONDS = 10.0
QUERY_SECONDS = 2.0
# Two digests and a lost one without a word of the relay followed so far.
FOLLOW_SECONDS = 25.0
N_RELAYS = 2


def choose_list_relays(
    data_centre: str, instances: Iterable[InstanceInfo], n_relays: int = N_RELAYS
) -> list[str]:
    """Choose the instances of a data centre that talk to the platform for the others.

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
    """Copy of the platform's list and the messages that keep it up to date.

    Relays poll the platform and pass changes on. The two relays poll at different
    times, so every receiver follows one of them until it falls silent; otherwise each
    change would make the receivers fetch the whole list from the one that lags.

    Outlets: ``store`` for polls, ``peers``, ``events``.

    :param info: this instance.
    :param random: for call ids.
    :ivar entries: the list by instance name, this instance included.
    :ivar next_tick: when ``tick`` is due.
    """

    def __init__(self, info: InstanceInfo, random: RandomSource) -> None:
        self.entries: dict[str, InstanceInfo] = {}
        self._instance = info.name
        self._data_centre = info.data_centre
        self._random = random
        self._digest = ""
        self._live: Sequence[InstanceInfo] = ()
        self._others: Sequence[str] = ()
        self._near: Sequence[str] = ()
        self._relays: Sequence[str] = ()
        self._poll_at = -math.inf
        self._poll_id: str | None = None
        self._has_failed = False
        self._polled_at = -math.inf
        self._digest_at = math.inf
        self._followed = ""
        self._followed_at = -math.inf
        self._differs_since = math.inf
        self._asked = ""
        self._asked_at = -math.inf

    @property
    def next_tick(self) -> float:
        return min(self._poll_at, self._digest_at, self._find_first_query())

    def _find_first_query(self) -> float:
        """When to ask somebody, if the store is down since the start."""
        if self.entries or not self._others:
            return math.inf
        return self._asked_at + QUERY_SECONDS

    def set_instances(
        self, live: Sequence[InstanceInfo], candidates: Sequence[InstanceInfo]
    ) -> None:
        """Take the live instances, this one included, and the other candidates."""
        self._live = live
        self._relays = choose_list_relays(self._data_centre, live)
        self._others = [item.name for item in candidates]
        self._near = [
            item.name for item in candidates if item.data_centre == self._data_centre
        ]

    def tick(self, now: float) -> Iterator[Emission]:
        if self._poll_at <= now:
            yield from self._poll(now)
        if self._find_first_query() <= now:
            number = int(self._random.random() * len(self._others))
            yield from self._ask(self._others[number], now)
        if self._digest_at <= now:
            self._digest_at = math.inf
            if self._is_fresh(now):
                self._digest_at = now + DIGEST_SECONDS
                yield from self._pass_on(self._make_digest())

    # Polls

    def _poll(self, now: float) -> Iterator[Emission]:
        """Ask the platform for its list if this instance does so for its data centre.

        An instance that knows nobody polls as well, or it would never learn anybody.
        """
        self._poll_at = now + self._poll_seconds
        if self._instance not in self._relays and len(self._live) > 1:
            self._poll_id = None
            return
        if self._poll_id is not None:
            self._has_failed = True
        self._poll_id = self._random.make_id()
        self._poll_at = now + max(POLL_LOST_SECONDS, self._poll_seconds)
        yield Emission(
            "store",
            StoreCall(
                call_id=self._poll_id,
                operation=StoreOperation.LIST_INSTANCES,
                timeout_seconds=POLL_TIMEOUT_SECONDS,
            ),
        )

    @property
    def _poll_seconds(self) -> float:
        n_bytes = ENTRY_BYTES * len(self.entries)
        return max(POLL_SECONDS, n_bytes / POLL_BYTES_PER_SECOND)

    def _is_fresh(self, now: float) -> bool:
        """Whether this instance is a relay whose own polls succeed."""
        limit = self._polled_at + 2 * self._poll_seconds + POLL_LOST_SECONDS
        return self._instance in self._relays and now < limit

    def handle_reply(self, reply: StoreReply, now: float) -> Iterator[Emission]:
        """Take the platform's answer; pass on what changed."""
        if reply.call.call_id != self._poll_id:
            return
        self._poll_id = None
        self._poll_at = now + self._poll_seconds
        if reply.failure is not None:
            if not self._has_failed:
                fields = {"instance": self._instance}
                yield Emission("events", Event(EventName.INSTANCE_LIST_FAILED, fields))
            self._has_failed = True
            return
        self._has_failed = False
        if not reply.instances:
            # An empty list holds not even this instance: the platform has no answer.
            return
        self._polled_at = now
        self._digest_at = min(self._digest_at, now + DIGEST_SECONDS)
        change = self._replace({item.name: item for item in reply.instances})
        self._poll_at = now + self._poll_seconds
        if change is not None and self._is_fresh(now):
            # The difference from no list at all would be the whole list.
            yield from self._pass_on(change if change.base else self._make_digest())

    def _make_digest(self) -> InstanceListChange:
        return InstanceListChange(base=self._digest, digest=self._digest)

    def _pass_on(self, change: InstanceListChange) -> Iterator[Emission]:
        for name in self._near:
            yield Emission("peers", PeerEnvelope(peer=name, message=change))

    def _replace(self, entries: dict[str, InstanceInfo]) -> InstanceListChange | None:
        """Put another list in place; tell the difference."""
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
        """Apply a relay's change; ask for the whole list if it does not fit."""
        if not self._follow(peer, now):
            return
        if change.digest == self._digest or self._apply(change):
            self._differs_since = math.inf
            return
        self._differs_since = min(self._differs_since, now)
        # The relay's list may be the older one until its next poll.
        patience = DIGEST_SECONDS + self._poll_seconds if self.entries else 0.0
        if now >= self._differs_since + patience:
            yield from self._ask(peer, now)

    def _apply(self, change: InstanceListChange) -> bool:
        """:returns: whether the change fitted the list."""
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

    def _follow(self, peer: str, now: float) -> bool:
        """Tell whether a relay is the one to follow from now on."""
        if self._is_fresh(now):
            return False
        is_followed = self._followed in self._relays and (
            now < self._followed_at + FOLLOW_SECONDS
        )
        if peer != self._followed and is_followed:
            return False
        self._followed, self._followed_at = peer, now
        return True

    def _ask(self, peer: str, now: float) -> Iterator[Emission]:
        """Ask an instance for its whole list, but not too often."""
        if now < self._asked_at + QUERY_SECONDS:
            return
        self._asked, self._asked_at = peer, now
        query = InstanceListQuery(digest=self._digest)
        yield Emission("peers", PeerEnvelope(peer=peer, message=query))

    def answer(self, peer: str, query: InstanceListQuery) -> Iterator[Emission]:
        """Answer with the whole list if it is not the one that the asker has."""
        if self.entries and query.digest != self._digest:
            whole = InstanceList(instances=tuple(self.entries.values()))
            yield Emission("peers", PeerEnvelope(peer=peer, message=whole))

    def handle_list(self, peer: str, instances: Sequence[InstanceInfo]) -> None:
        """Take a whole list that was asked for, or the first of all."""
        if not instances or (self.entries and peer != self._asked):
            return
        self._asked = ""
        self._differs_since = math.inf
        self._replace({item.name: item for item in instances})
