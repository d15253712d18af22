"""Brings accepted configurations to every instance and confirms their age."""

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
from .outage import MAX_EVIDENCE_AGE_SECONDS, OutageEvidence, OutageReport, make_report
from .store_watch import StoreWatch

N_RELAYS = 2
# In a large data centre one relay serves this many instances: at 620 daemons, two
# relays each would carry 21 KB/s of the 9 KB/s that a daemon has for control.
N_INSTANCES_PER_RELAY = 25
PULL_SECONDS = 1.0
# Pulls of many instances that started together spread out over time.
PULL_JITTER = 0.1
# A pull without an answer goes to another instance after this time, so that a pull
# that met a dead relay still succeeds well within the confirmation limit.
PULL_TIMEOUT_SECONDS = 0.5
# Pulls come faster while no fresh confirmation arrives, so that evidence of an outage
# is there before the confirmation limit of 4 s.
URGENT_AGE_SECONDS = 2.7
URGENT_PULL_SECONDS = 0.5
EXCHANGE_SECONDS = 0.5
# An instance that hears of no other one by then acts as a relay.
MEMBERSHIP_WAIT_SECONDS = 2.0
# 48 random bits; an id is awaited for 4 s.
QUERY_ID_LENGTH = 12


@dataclass(frozen=True, slots=True)
class SentQuery:
    """Question whose answer is awaited."""

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
        n_relays = max(N_RELAYS, ceil(len(members) / N_INSTANCES_PER_RELAY))
        ranked = rank_candidates(f"relay/{data_centre}", members)
        relays[data_centre] = ranked[:n_relays]
    return relays


class Distribution:
    """Filter that keeps this instance's configuration the latest.

    Relays watch the head in the store. All others pull version and confirmation age
    from the relays of their data centre in turn, and from any instance when no relay
    answers. A relay whose store calls fail asks the relays of all data centres twice a
    second, for a higher version, for a confirmation, and for evidence of an outage.

    A confirmation counts from when the question was sent, minus the age in the answer;
    so it needs no clocks in step, and duplicates or late answers cannot renew it.

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
        self._watch = StoreWatch(self._state, random)
        self._evidence = OutageEvidence(data_centre)
        self._outage_at: float | None = None
        self._relays: dict[str, list[str]] = {}
        self._others: list[str] = []
        self._queries: dict[str, SentQuery] = {}
        self._turn = int(random.random() * N_RELAYS)
        self._n_unanswered = 0
        self._pull_query: str | None = None
        self._pull_at: float | None = None
        self._exchange_at: float | None = None
        self._membership_limit: float | None = None
        self._emitted: ConfigurationConfirmed | None = None
        self._is_stale = True

    @property
    def next_tick(self) -> float | None:
        times = [
            self._membership_limit,
            self._watch.next_at,
            self._pull_at,
            self._exchange_at,
        ]
        return min((time for time in times if time is not None), default=0.0)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        if isinstance(message, MembershipChanged):
            emissions += self._set_members(message, now)
        elif isinstance(message, StoreReply):
            emissions += self._accept_reply(message, now)
        elif isinstance(message, PeerEnvelope):
            if isinstance(message.message, VersionQuery):
                return (self._answer(message.message, now),)
            if isinstance(message.message, VersionAnswer):
                emissions += self._accept_answer(message.message, now)
        return (*emissions, *self._act(now))

    def tick(self, now: float) -> Sequence[Emission]:
        return self._act(now)

    def _act(self, now: float) -> list[Emission]:
        """Do everything that is due, and tell what changed."""
        if not self._relays:
            if self._membership_limit is None:
                self._membership_limit = now + MEMBERSHIP_WAIT_SECONDS
            if now >= self._membership_limit:
                self._membership_limit = None
                self._relays = {self._data_centre: [self._name]}
                self._watch.activate(now)
        was_down = self._watch.unreachable_since is not None
        emissions = [Emission("store", call) for call in self._watch.make_calls(now)]
        emissions += self._note_reachability(was_down, now)
        emissions += self._pull(now)
        emissions += self._exchange(now)
        emissions += self._confirm(now)
        return emissions

    # Membership

    def _set_members(self, message: MembershipChanged, now: float) -> list[Emission]:
        self._membership_limit = None
        self._evidence.add_data_centres(
            item.data_centre for item in (*message.live, *message.leaving)
        )
        self._relays = choose_configuration_relays(message.live)
        self._relays.setdefault(self._data_centre, [])
        self._others = [item.name for item in message.live if item.name != self._name]
        is_relay = self._name in self._relays[self._data_centre]
        if is_relay and not self._watch.is_active:
            self._watch.activate(now)
            self._pull_at = None
            return [Emission("events", Event(EventName.RELAY_STARTED))]
        if not is_relay and self._pull_at is None:
            was_active = self._watch.is_active
            self._watch.deactivate()
            self._exchange_at = None
            self._pull_at = now + self._random.random() * PULL_SECONDS
            if self._state.version == 0:
                self._pull_at = now
            if was_active:
                return [Emission("events", Event(EventName.RELAY_STOPPED))]
        return []

    # Store

    def _accept_reply(self, reply: StoreReply, now: float) -> list[Emission]:
        was_down = self._watch.unreachable_since is not None
        try:
            self._watch.accept(reply, now)
            emissions = self._adopt("store", now)
        except SardinemillError as error:
            self._watch.reread(now)
            emissions = [self._reject("store", error)]
        return emissions + self._note_reachability(was_down, now)

    def _note_reachability(self, was_down: bool, now: float) -> list[Emission]:
        is_down = self._watch.unreachable_since is not None
        if is_down and self._exchange_at is None:
            self._exchange_at = now
        if not is_down:
            self._exchange_at = None
        if is_down == was_down:
            return []
        name = (
            EventName.STORE_CALLS_FAILED if is_down else EventName.STORE_CALLS_RECOVERED
        )
        return [Emission("events", Event(name, {"step": "distribution"}))]

    # Peers

    def _ask(self, peer: str, now: float, lacking: tuple[str, ...] = ()) -> Emission:
        query = VersionQuery(
            query_id=self._random.make_id()[:QUERY_ID_LENGTH],
            source=self._name,
            known_version=self._state.version,
            lacking=lacking,
        )
        self._queries[query.query_id] = SentQuery(peer, now)
        self._pull_query = query.query_id
        return Emission("peers", PeerEnvelope(peer=peer, message=query))

    def _pull(self, now: float) -> list[Emission]:
        if self._pull_at is None or now < self._pull_at:
            return []
        if self._pull_query in self._queries:
            self._n_unanswered += 1
        self._forget_queries(now)
        self._pull_at = now + PULL_TIMEOUT_SECONDS
        peer = self._choose_peer()
        return [] if peer is None else [self._ask(peer, now)]

    def _choose_peer(self) -> str | None:
        relays = self._relays.get(self._data_centre, [])
        self._turn += 1
        if relays and self._n_unanswered < N_RELAYS:
            return relays[self._turn % len(relays)]
        if not self._others:
            return None
        # Every other try goes back to a relay, so that one that returns is noticed.
        if relays and self._n_unanswered % 2:
            return relays[self._turn // 2 % len(relays)]
        return self._choose_other()

    def _choose_other(self) -> str:
        return self._others[int(self._random.random() * len(self._others))]

    def _exchange(self, now: float) -> list[Emission]:
        if self._exchange_at is None or now < self._exchange_at:
            return []
        self._exchange_at = now + EXCHANGE_SECONDS
        self._forget_queries(now)
        self._turn += 1
        emissions = []
        for relays in self._relays.values():
            others = [name for name in relays if name != self._name]
            if others:
                emissions.append(self._ask(others[self._turn % len(others)], now))
        if self._state.version == 0 and self._others:
            # All relays may have started after the outage began.
            emissions.append(self._ask(self._choose_other(), now))
        return emissions

    def _forget_queries(self, now: float) -> None:
        self._queries = {
            query_id: query
            for query_id, query in self._queries.items()
            if now - query.sent_at <= MAX_EVIDENCE_AGE_SECONDS
        }

    def _answer(self, query: VersionQuery, now: float) -> Emission:
        since = self._watch.unreachable_since
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
            store_failure_age_seconds=now - self._watch.last_failure_at,
        )
        return Emission("peers", PeerEnvelope(peer=query.source, message=answer))

    def _accept_answer(self, answer: VersionAnswer, now: float) -> list[Emission]:
        query = self._queries.pop(answer.query_id, None)
        n_lacking = len(self._state.lacking)
        try:
            if answer.document is not None:
                self._state.add_document(answer.document)
            if query is not None:
                at = query.sent_at - answer.confirmed_age_seconds
                self._state.confirm(answer.version, at)
            emissions = self._adopt(answer.source, now)
        except SardinemillError as error:
            return [self._reject(answer.source, error)]
        if query is None:
            return emissions
        self._take_evidence(answer, query, now)
        if answer.query_id == self._pull_query and self._pull_at is not None:
            self._n_unanswered = 0
            self._pull_at = now + self._choose_pause(now)
        lacking = self._state.lacking
        # Asks for the rest only after progress; otherwise the next pull does.
        if lacking and len(lacking) != n_lacking:
            emissions.append(self._ask(answer.source, now, lacking))
        return emissions

    def _choose_pause(self, now: float) -> float:
        jitter = 1 + PULL_JITTER * (2 * self._random.random() - 1)
        proven_at = max(self._state.confirmed_at, self._outage_at or 0.0)
        is_urgent = now - proven_at > URGENT_AGE_SECONDS
        return jitter * (URGENT_PULL_SECONDS if is_urgent else PULL_SECONDS)

    def _take_evidence(
        self, answer: VersionAnswer, query: SentQuery, now: float
    ) -> None:
        if self._watch.is_active:
            report = make_report(answer, query.sent_at, now)
            if answer.source in self._relays.get(answer.data_centre, []):
                self._evidence.add(answer.source, report)
            return
        self._outage_at = None
        age = answer.outage_age_seconds
        # A relay with another version may know fewer data centres.
        if age is not None and answer.version == self._state.version:
            self._outage_at = query.sent_at - age

    # Configuration

    def _adopt(self, source: str, now: float) -> list[Emission]:
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

    def _reject(self, source: str, error: SardinemillError) -> Emission:
        fields = {"source": source, "reason": error.message}
        return Emission("events", Event(EventName.CONFIGURATION_REJECTED, fields))

    def _confirm(self, now: float) -> list[Emission]:
        emissions = self._update_outage(now)
        confirmed_at, outage_at = self._state.confirmed_at, self._outage_at
        is_outage = outage_at is not None and outage_at > confirmed_at
        if outage_at is not None and is_outage:
            confirmed_at = outage_at
        message = ConfigurationConfirmed(
            version=self._state.version,
            confirmed_at=confirmed_at,
            is_store_down_everywhere=is_outage,
        )
        if message != self._emitted:
            self._emitted = message
            emissions.append(Emission("configuration", message))
        is_stale = now - confirmed_at > MAX_EVIDENCE_AGE_SECONDS
        if is_stale and not self._is_stale:
            fields = {"configuration_version": self._state.version}
            event = Event(EventName.CONFIGURATION_STALE, fields)
            emissions.append(Emission("events", event))
        self._is_stale = is_stale
        return emissions

    def _update_outage(self, now: float) -> list[Emission]:
        if not self._watch.is_active:
            age = 0.0 if self._outage_at is None else now - self._outage_at
            if age > MAX_EVIDENCE_AGE_SECONDS:
                self._outage_at = None
            return []
        was_known = self._outage_at is not None
        since = self._watch.unreachable_since
        self._outage_at = None
        if since is not None:
            own = OutageReport(
                data_centre=self._data_centre,
                version=self._state.version,
                asked_at=now,
                began_at=since,
                lasted_until=self._watch.last_failure_at,
            )
            self._outage_at = self._evidence.evaluate(own, own.version, now)
        is_known = self._outage_at is not None
        if is_known == was_known:
            return []
        name = EventName.OUTAGE_CONFIRMED if is_known else EventName.OUTAGE_ENDED
        return [Emission("events", Event(name))]
