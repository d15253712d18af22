"""Distribution of accepted configurations to every instance, with their age."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from ..configuration import ConfigurationChanged, ConfigurationConfirmed
from ..control import PeerEnvelope, VersionAnswer, VersionQuery
from ..documents import DocumentCodec
from ..errors import SardinemillError
from ..events import Event, EventName
from ..groups import rank_candidates
from ..interfaces import Emission, RandomSource
from ..members import InstanceInfo, MembershipChanged
from ..store_calls import StoreReply
from .configuration_state import ConfigurationState
from .outage import (
    MAX_EVIDENCE_AGE_SECONDS,
    OutageEvidence,
    OutageReport,
    make_outage_report,
)
from .store_watch import StoreWatch

MIN_RELAYS = 2
# One relay serves at most this many instances. With 620 instances and two relays in
# each data centre, a relay would carry 21 KB/s; the budget of an instance for control
# traffic is 9 KB/s.
N_INSTANCES_PER_RELAY = 25
PULL_INTERVAL_SECONDS = 1.0
# Spreads the pulls of instances that started together.
PULL_JITTER_FRACTION = 0.1
# A pull without an answer is sent to another instance after this time, so that a pull
# sent to a dead relay still succeeds well within the age limit of confirmations.
PULL_TIMEOUT_SECONDS = 0.5
# Pulls are more frequent while no new confirmation arrives, so that evidence of an
# outage arrives before the confirmation is older than its limit of 4 s.
URGENT_AGE_SECONDS = 2.7
URGENT_PULL_INTERVAL_SECONDS = 0.5
RELAY_QUERY_INTERVAL_SECONDS = 0.5
# An instance without membership information after this time acts as a relay.
MEMBERSHIP_WAIT_SECONDS = 2.0
# 48 random bits are unique enough, since an id is used for 4 s only.
QUERY_ID_LENGTH = 12


@dataclass(frozen=True, slots=True)
class SentQuery:
    """Query whose answer is awaited."""

    peer: str
    sent_at: float


def choose_configuration_relays(
    instances: Sequence[InstanceInfo],
) -> dict[str, list[str]]:
    """Choose the instances that watch the store.

    :param instances: live instances.
    :returns: data centre to names of its relays, best first.
    """
    names: dict[str, list[str]] = {}
    for instance in instances:
        names.setdefault(instance.data_centre, []).append(instance.name)
    relays = {}
    for data_centre, members in names.items():
        n_relays = max(MIN_RELAYS, ceil(len(members) / N_INSTANCES_PER_RELAY))
        ranked = rank_candidates(f"relay/{data_centre}", members)
        relays[data_centre] = ranked[:n_relays]
    return relays


class Distribution:
    """Filter that keeps this instance's configuration up to date.

    The relays chosen by :func:`choose_configuration_relays` watch the configuration
    head in the store. All other instances pull the version and the age of its
    confirmation from the relays of their data centre in turn, and from any instance
    when no relay answers. A relay whose store calls fail queries the relays of all data
    centres twice a second for a higher version, a confirmation and evidence of an
    outage.

    The time of a confirmation is the time at which the query was sent, minus the age in
    the answer. It therefore needs no synchronised clocks, and duplicated or late
    answers cannot renew it.

    Outlets: ``store``, ``peers``, ``configuration``, ``events``.

    :param name: this instance.
    :param codec: decodes configuration documents.
    :param random: source of jitter and of query ids.
    """

    def __init__(
        self, *, name: str, data_centre: str, codec: DocumentCodec, random: RandomSource
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._random = random
        self._state = ConfigurationState(codec)
        self._store_watch = StoreWatch(self._state, random)
        self._evidence = OutageEvidence(data_centre)
        # Latest local time at which the store is known to have been unreachable from
        # every data centre.
        self._outage_at: float | None = None
        self._relays: dict[str, list[str]] = {}
        self._peers: list[str] = []
        self._queries: dict[str, SentQuery] = {}
        # Round-robin counter, with a random start to spread the load on the relays.
        self._rotation = int(random.random() * MIN_RELAYS)
        self._n_unanswered = 0
        self._pull_query_id: str | None = None
        self._next_pull_at: float | None = None
        self._next_relay_queries_at: float | None = None
        self._membership_timeout_at: float | None = None
        self._last_confirmation: ConfigurationConfirmed | None = None
        self._is_stale = True

    @property
    def next_tick(self) -> float | None:
        times = [
            self._membership_timeout_at,
            self._store_watch.next_at,
            self._next_pull_at,
            self._next_relay_queries_at,
        ]
        return min((time for time in times if time is not None), default=0.0)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        if isinstance(message, MembershipChanged):
            emissions += self._handle_membership(message, now)
        elif isinstance(message, StoreReply):
            emissions += self._handle_store_reply(message, now)
        elif isinstance(message, PeerEnvelope):
            if isinstance(message.message, VersionQuery):
                return (self._make_answer(message.message, now),)
            if isinstance(message.message, VersionAnswer):
                emissions += self._handle_answer(message.message, now)
        return (*emissions, *self._run_due_work(now))

    def tick(self, now: float) -> Sequence[Emission]:
        return self._run_due_work(now)

    def _run_due_work(self, now: float) -> list[Emission]:
        """Run everything that is due and report what changed."""
        if not self._relays:
            if self._membership_timeout_at is None:
                self._membership_timeout_at = now + MEMBERSHIP_WAIT_SECONDS
            if now >= self._membership_timeout_at:
                self._membership_timeout_at = None
                self._relays = {self._data_centre: [self._name]}
                self._store_watch.activate(now)
        was_unreachable = self._store_watch.unreachable_since is not None
        emissions = [
            Emission("store", call) for call in self._store_watch.make_calls(now)
        ]
        emissions += self._emit_reachability(was_unreachable, now)
        emissions += self._emit_pull(now)
        emissions += self._emit_relay_queries(now)
        emissions += self._emit_confirmation(now)
        return emissions

    # Membership

    def _handle_membership(
        self, message: MembershipChanged, now: float
    ) -> list[Emission]:
        self._membership_timeout_at = None
        self._evidence.add_data_centres(
            item.data_centre for item in (*message.live, *message.leaving)
        )
        self._relays = choose_configuration_relays(message.live)
        self._relays.setdefault(self._data_centre, [])
        self._peers = [item.name for item in message.live if item.name != self._name]
        is_relay = self._name in self._relays[self._data_centre]
        if is_relay and not self._store_watch.is_active:
            self._store_watch.activate(now)
            self._next_pull_at = None
            return [Emission("events", Event(EventName.RELAY_STARTED))]
        if not is_relay and self._next_pull_at is None:
            was_active = self._store_watch.is_active
            self._store_watch.deactivate()
            self._next_relay_queries_at = None
            self._next_pull_at = now + self._random.random() * PULL_INTERVAL_SECONDS
            if self._state.version == 0:
                self._next_pull_at = now
            if was_active:
                return [Emission("events", Event(EventName.RELAY_STOPPED))]
        return []

    # Store

    def _handle_store_reply(self, reply: StoreReply, now: float) -> list[Emission]:
        was_unreachable = self._store_watch.unreachable_since is not None
        try:
            self._store_watch.handle_reply(reply, now)
            emissions = self._emit_adopted("store", now)
        except SardinemillError as error:
            self._store_watch.reread_head(now)
            emissions = [self._make_rejection_event("store", error)]
        return emissions + self._emit_reachability(was_unreachable, now)

    def _emit_reachability(self, was_unreachable: bool, now: float) -> list[Emission]:
        is_unreachable = self._store_watch.unreachable_since is not None
        if is_unreachable and self._next_relay_queries_at is None:
            self._next_relay_queries_at = now
        if not is_unreachable:
            self._next_relay_queries_at = None
        if is_unreachable == was_unreachable:
            return []
        name = (
            EventName.STORE_CALLS_FAILED
            if is_unreachable
            else EventName.STORE_CALLS_RECOVERED
        )
        return [Emission("events", Event(name, {"step": "distribution"}))]

    # Peers

    def _make_query(
        self, peer: str, now: float, missing_parts: tuple[str, ...] = ()
    ) -> Emission:
        query = VersionQuery(
            query_id=self._random.make_id()[:QUERY_ID_LENGTH],
            source=self._name,
            known_version=self._state.version,
            lacking=missing_parts,
        )
        self._queries[query.query_id] = SentQuery(peer, now)
        self._pull_query_id = query.query_id
        return Emission("peers", PeerEnvelope(peer=peer, message=query))

    def _emit_pull(self, now: float) -> list[Emission]:
        if self._next_pull_at is None or now < self._next_pull_at:
            return []
        if self._pull_query_id in self._queries:
            self._n_unanswered += 1
        self._remove_expired_queries(now)
        self._next_pull_at = now + PULL_TIMEOUT_SECONDS
        peer = self._choose_peer()
        return [] if peer is None else [self._make_query(peer, now)]

    def _choose_peer(self) -> str | None:
        relays = self._relays.get(self._data_centre, [])
        self._rotation += 1
        if relays and self._n_unanswered < MIN_RELAYS:
            return relays[self._rotation % len(relays)]
        if not self._peers:
            return None
        # Every other attempt goes to a relay, so that a relay that recovers is noticed.
        if relays and self._n_unanswered % 2:
            return relays[self._rotation // 2 % len(relays)]
        return self._choose_random_peer()

    def _choose_random_peer(self) -> str:
        return self._peers[int(self._random.random() * len(self._peers))]

    def _emit_relay_queries(self, now: float) -> list[Emission]:
        if self._next_relay_queries_at is None or now < self._next_relay_queries_at:
            return []
        self._next_relay_queries_at = now + RELAY_QUERY_INTERVAL_SECONDS
        self._remove_expired_queries(now)
        self._rotation += 1
        emissions = []
        for relays in self._relays.values():
            other_relays = [name for name in relays if name != self._name]
            if other_relays:
                emissions.append(
                    self._make_query(
                        other_relays[self._rotation % len(other_relays)], now
                    )
                )
        if self._state.version == 0 and self._peers:
            # All relays may have started after the outage began and know no version
            # either.
            emissions.append(self._make_query(self._choose_random_peer(), now))
        return emissions

    def _remove_expired_queries(self, now: float) -> None:
        self._queries = {
            query_id: query
            for query_id, query in self._queries.items()
            if now - query.sent_at <= MAX_EVIDENCE_AGE_SECONDS
        }

    def _make_answer(self, query: VersionQuery, now: float) -> Emission:
        since = self._store_watch.unreachable_since
        outage_at = self._outage_at
        answer = VersionAnswer(
            query_id=query.query_id,
            source=self._name,
            data_centre=self._data_centre,
            version=self._state.version,
            confirmed_age_seconds=now - self._state.confirmed_at,
            store_unreachable_seconds=0.0 if since is None else max(now - since, 1e-6),
            document=self._state.make_document(query.known_version, query.lacking),
            outage_age_seconds=None if outage_at is None else now - outage_at,
            store_failure_age_seconds=now - self._store_watch.last_failure_at,
        )
        return Emission("peers", PeerEnvelope(peer=query.source, message=answer))

    def _handle_answer(self, answer: VersionAnswer, now: float) -> list[Emission]:
        query = self._queries.pop(answer.query_id, None)
        n_missing = len(self._state.missing_parts)
        try:
            if answer.document is not None:
                self._state.add_document(answer.document)
            if query is not None:
                at = query.sent_at - answer.confirmed_age_seconds
                self._state.confirm(answer.version, at)
            emissions = self._emit_adopted(answer.source, now)
        except SardinemillError as error:
            return [self._make_rejection_event(answer.source, error)]
        if query is None:
            return emissions
        self._record_evidence(answer, query, now)
        if answer.query_id == self._pull_query_id and self._next_pull_at is not None:
            self._n_unanswered = 0
            self._next_pull_at = now + self._choose_pull_interval(now)
        missing_parts = self._state.missing_parts
        # Requests the rest at once only after progress; otherwise the next pull does.
        if missing_parts and len(missing_parts) != n_missing:
            emissions.append(self._make_query(answer.source, now, missing_parts))
        return emissions

    def _choose_pull_interval(self, now: float) -> float:
        jitter = 1 + PULL_JITTER_FRACTION * (2 * self._random.random() - 1)
        evidence_at = max(self._state.confirmed_at, self._outage_at or 0.0)
        is_urgent = now - evidence_at > URGENT_AGE_SECONDS
        return jitter * (
            URGENT_PULL_INTERVAL_SECONDS if is_urgent else PULL_INTERVAL_SECONDS
        )

    def _record_evidence(
        self, answer: VersionAnswer, query: SentQuery, now: float
    ) -> None:
        if self._store_watch.is_active:
            report = make_outage_report(answer, query.sent_at, now)
            if answer.source in self._relays.get(answer.data_centre, []):
                self._evidence.add(answer.source, report)
            return
        self._outage_at = None
        age = answer.outage_age_seconds
        # A relay with another version may know fewer data centres.
        if age is not None and answer.version == self._state.version:
            self._outage_at = query.sent_at - age

    # Configuration

    def _emit_adopted(self, source: str, now: float) -> list[Emission]:
        configuration = self._state.adopt()
        if configuration is None:
            return []
        self._evidence.add_data_centres(
            database.data_centre
            for group in configuration.groups.values()
            for database in group.databases
        )
        fields = {"configuration_version": configuration.version, "source": source}
        return [
            Emission(
                "configuration", ConfigurationChanged(configuration=configuration)
            ),
            Emission("events", Event(EventName.CONFIGURATION_ADOPTED, fields)),
        ]

    def _make_rejection_event(self, source: str, error: SardinemillError) -> Emission:
        fields = {"source": source, "reason": error.message}
        return Emission("events", Event(EventName.CONFIGURATION_REJECTED, fields))

    def _emit_confirmation(self, now: float) -> list[Emission]:
        emissions = self._emit_outage_change(now)
        confirmed_at, outage_at = self._state.confirmed_at, self._outage_at
        is_outage = outage_at is not None and outage_at > confirmed_at
        if outage_at is not None and is_outage:
            confirmed_at = outage_at
        message = ConfigurationConfirmed(
            version=self._state.version,
            confirmed_at=confirmed_at,
            is_store_down_everywhere=is_outage,
        )
        if message != self._last_confirmation:
            self._last_confirmation = message
            emissions.append(Emission("configuration", message))
        is_stale = now - confirmed_at > MAX_EVIDENCE_AGE_SECONDS
        if is_stale and not self._is_stale:
            fields = {"configuration_version": self._state.version}
            event = Event(EventName.CONFIGURATION_STALE, fields)
            emissions.append(Emission("events", event))
        self._is_stale = is_stale
        return emissions

    def _emit_outage_change(self, now: float) -> list[Emission]:
        if not self._store_watch.is_active:
            age = 0.0 if self._outage_at is None else now - self._outage_at
            if age > MAX_EVIDENCE_AGE_SECONDS:
                self._outage_at = None
            return []
        was_known = self._outage_at is not None
        since = self._store_watch.unreachable_since
        self._outage_at = None
        if since is not None:
            own = OutageReport(
                data_centre=self._data_centre,
                version=self._state.version,
                asked_at=now,
                began_at=since,
                lasted_until=self._store_watch.last_failure_at,
            )
            self._outage_at = self._evidence.evaluate(own, own.version, now)
        is_known = self._outage_at is not None
        if is_known == was_known:
            return []
        name = EventName.OUTAGE_CONFIRMED if is_known else EventName.OUTAGE_ENDED
        return [Emission("events", Event(name))]
