"""Proof that the configuration in force is the newest one, and what it decides."""

import pytest

from sardinemill.adapters.clocks import SeededRandom
from sardinemill.control import PeerEnvelope
from sardinemill.events import Event, EventName
from sardinemill.fleet.configuration_evidence import ConfigurationEvidence
from sardinemill.fleet.messages import FleetAnswer, FleetQuestion
from sardinemill.fleet.records import FleetRecord
from sardinemill.fleet.state import FleetState
from sardinemill.fleet.store_era import DIRECTORY_SETTLE_SECONDS
from sardinemill.fleet.store_messages import ConfigurationRead, RecordRead
from sardinemill.fleet.views import Identity
from sardinemill.groups import Address
from sardinemill.sessions.manager import SessionManager
from sardinemill.sessions.messages import (
    ErrorCode,
    SessionAccepted,
    SessionOpened,
    SessionRefused,
    SessionState,
    StatementAnswered,
    StatementReceived,
    StatementRequest,
    StatementResult,
)
from sardinemill.sessions.routes import RoutesConfirmed
from session_builders import (
    BEGIN,
    KEY,
    READ,
    make_configuration,
    make_coordinator,
    make_route,
    make_routes_changed,
    select,
)

NOW = 100.0
LIMIT_SECONDS = 3.0


def list_events(emissions, *names):
    """Return the events of some names."""
    events = select(emissions, "events", Event)
    return [item for item in events if item.name in names]


def make_state(coordinators=("b",)):
    """Return the state of an instance that knows the coordinators."""
    identity = Identity(
        name="a", data_centre="x", address=Address("10.0.0.1", 7000), incarnation="1"
    )
    state = FleetState(identity, SeededRandom(1))
    record = FleetRecord(coordinators=tuple(map(make_coordinator, coordinators)))
    state.handle(RecordRead(record, 4, NOW), NOW)
    return state


def answer(state, now, **fields):
    """Let coordinator ``b`` answer the next question.

    :param now: when the answer arrives, 0.1 s after its question.
    :returns: the time of the question and the emissions of the answer.
    """
    asked_at = now - 0.1
    emissions = state.tick(asked_at)
    (question,) = (
        item.message
        for item in select(emissions, "peers", PeerEnvelope)
        if isinstance(item.message, FleetQuestion)
    )
    message = FleetAnswer(
        number=question.number,
        incarnation="1",
        record_revision=4,
        record_age_seconds=0.1,
        **fields,
    )
    return asked_at, state.handle(PeerEnvelope(peer="b", message=message), now)


def test_staleness_is_logged_once_and_so_is_its_end():
    """Guards against a stale configuration that no log line shows."""
    evidence = ConfigurationEvidence(limit_seconds=3.0)
    assert evidence.check(0, NOW) == []
    evidence.record(7, NOW, "b", NOW)
    assert evidence.check(7, NOW + 3.0) == []
    (event,) = list_events(evidence.check(7, NOW + 3.1), EventName.CONFIGURATION_STALE)
    assert event.fields["source"] == "b"
    assert evidence.check(7, NOW + 4.0) == []
    emissions = evidence.record(7, NOW + 3.5, "store", NOW + 4.1)
    assert list_events(emissions, EventName.CONFIGURATION_CONFIRMED)


def test_older_proof_does_not_replace_newer_proof():
    """Guards against ages that jump back when a slow answer arrives."""
    evidence = ConfigurationEvidence()
    assert select(evidence.record(7, NOW, "b", NOW), "evidence", RoutesConfirmed)
    assert evidence.record(7, NOW - 1.0, "c", NOW) == []


def test_adoption_tells_source_and_age():
    """Guards against logs that do not tell how a version reached an instance."""
    state = make_state()
    read = ConfigurationRead(make_configuration(version=1), NOW - 0.2)
    (adopted,) = list_events(state.handle(read, NOW), EventName.CONFIGURATION_ADOPTED)
    assert (adopted.fields["source"], adopted.fields["age_seconds"]) == ("store", 0.2)
    configuration = make_configuration(version=2)
    asked_at, emissions = answer(
        state,
        NOW + 1.0,
        configuration=configuration,
        configuration_version=2,
        configuration_age_seconds=0.5,
    )
    (adopted,) = list_events(emissions, EventName.CONFIGURATION_ADOPTED)
    assert adopted.fields["source"] == "b"
    assert adopted.fields["previous_version"] == 1
    (confirmed,) = select(emissions, "evidence", RoutesConfirmed)
    assert confirmed == RoutesConfirmed(2, asked_at - 0.5)


def test_answer_about_another_version_is_no_proof():
    """Guards against a copy that counts as current because another one is."""
    state = make_state()
    state.handle(ConfigurationRead(make_configuration(version=2), NOW), NOW)
    _, emissions = answer(
        state, NOW + 1.0, configuration_version=1, configuration_age_seconds=0.0
    )
    assert not select(emissions, "evidence", RoutesConfirmed)


def test_copy_of_a_returned_store_is_no_proof_until_operators_have_written_again():
    """Guards against refusals by the older version that a store holds just after its
    return from a copy.
    """
    state = make_state()

    def read(version, asked_at, era):
        configuration = make_configuration(version=version)
        message = ConfigurationRead(configuration, asked_at, era=era)
        return select(state.handle(message, asked_at), "evidence", RoutesConfirmed)

    assert read(2, NOW, era=1)
    returned_at = NOW + 1.0
    assert not read(1, returned_at, era=2)
    assert not read(1, returned_at + DIRECTORY_SETTLE_SECONDS - 0.1, era=2)
    settled_at = returned_at + DIRECTORY_SETTLE_SECONDS
    assert read(3, settled_at, era=2) == [RoutesConfirmed(3, settled_at)]


def test_answer_to_the_process_before_is_no_proof():
    """Guards against a copy that counts as current because an answer to the process
    before, with the number of a later question, is delivered after a restart.
    """
    questions = []
    for seed in (1, 2):
        identity = Identity(
            name="a",
            data_centre="x",
            address=Address("10.0.0.1", 7000),
            incarnation=str(seed),
        )
        state = FleetState(identity, SeededRandom(seed))
        record = FleetRecord(coordinators=(make_coordinator("b"),))
        state.handle(RecordRead(record, 4, NOW), NOW)
        for step in range(20):
            envelopes = select(state.tick(NOW + step), "peers", PeerEnvelope)
            questions.append((seed, envelopes[0].message.number))
    numbers = [number for _, number in questions]
    assert len(set(numbers)) == len(numbers)


def test_refusal_tells_how_old_the_configuration_is():
    """Guards against refusals whose cause the logs do not show."""
    manager = SessionManager()
    manager.handle(make_routes_changed(version=7), NOW)
    manager.handle(RoutesConfirmed(7, NOW), NOW)
    emissions = manager.handle(SessionOpened(1, "nowhere", KEY), NOW + 1.5)
    (event,) = list_events(emissions, EventName.SESSION_REFUSED)
    assert event.fields["configuration_version"] == 7
    assert event.fields["configuration_age_seconds"] == 1.5


def make_manager(**fields):
    """Return a session manager whose configuration was the newest one at ``NOW``."""
    manager = SessionManager(configuration_limit_seconds=LIMIT_SECONDS)
    manager.handle(make_routes_changed(**fields), NOW)
    manager.handle(RoutesConfirmed(1, NOW), NOW)
    return manager


@pytest.mark.parametrize(
    ("database", "key", "code"),
    [
        ("nowhere", KEY, ErrorCode.NO_DATABASE),
        ("bookings", "unknown", ErrorCode.ACCESS_DENIED),
    ],
)
def test_session_is_refused_as_unknown_only_with_proof(database, key, code):
    """Guards against a database or a key that is refused as an older version says."""
    manager = make_manager()
    opened = SessionOpened(1, database, key)
    in_time = manager.handle(opened, NOW + LIMIT_SECONDS)
    assert select(in_time, "client", SessionRefused)[0].code is code
    late = manager.handle(opened, NOW + LIMIT_SECONDS + 0.01)
    assert select(late, "client", SessionRefused)[0].code is ErrorCode.BUSY
    manager.handle(RoutesConfirmed(1, NOW + LIMIT_SECONDS), NOW + LIMIT_SECONDS + 0.1)
    proved = manager.handle(opened, NOW + LIMIT_SECONDS + 0.2)
    assert select(proved, "client", SessionRefused)[0].code is code


@pytest.mark.parametrize("statement", [READ, BEGIN])
def test_statement_is_refused_as_unknown_only_with_proof(statement):
    """Guards against open sessions that are refused as an older version says."""
    manager = make_manager()
    manager.handle(SessionOpened(1, "bookings", KEY), NOW)
    manager.handle(make_routes_changed(version=2, keys=("other",)), NOW)
    received = StatementReceived(1, "5c0e7a21d94b36f8", statement)
    for age, code in (
        (LIMIT_SECONDS, ErrorCode.ACCESS_DENIED),
        (LIMIT_SECONDS + 0.01, ErrorCode.BUSY),
    ):
        emissions = manager.handle(received, NOW + age)
        (answered,) = select(emissions, "client", StatementAnswered)
        assert (answered.code, answered.state) == (code, SessionState.IDLE)


def test_removed_route_serves_its_open_transactions_without_proof():
    """Guards against a transaction that ends because the store is silent."""
    manager = make_manager()
    manager.handle(SessionOpened(1, "bookings", KEY), NOW)
    manager.handle(StatementReceived(1, "5c0e7a21d94b36f8", BEGIN), NOW)
    routes = (make_route("other"),)
    manager.handle(make_routes_changed(version=2, routes=routes), NOW)
    read = StatementReceived(1, "6c0e7a21d94b36f8", READ)
    emissions = manager.handle(read, NOW + LIMIT_SECONDS + 1.0)
    assert select(emissions, "next", StatementRequest)


def test_known_key_is_served_without_proof():
    """Guards against an outage of the store that ends the service."""
    manager = make_manager()
    opened = SessionOpened(1, "bookings", KEY)
    assert select(manager.handle(opened, NOW + 60.0), "client", SessionAccepted)


@pytest.mark.parametrize(
    ("database", "code"), [("", ErrorCode.BUSY), ("p", ErrorCode.ACCESS_DENIED)]
)
def test_denial_without_a_database_needs_proof(database, code):
    """Guards against a key whose workspace had an unusable name in an older version,
    and against a database's answer that is replaced.
    """
    manager = make_manager()
    manager.handle(SessionOpened(1, "bookings", KEY), NOW)
    read = StatementReceived(1, "5c0e7a21d94b36f8", READ)
    (request,) = select(manager.handle(read, NOW), "next", StatementRequest)
    result = StatementResult(
        request=request, code=ErrorCode.ACCESS_DENIED, database=database
    )
    emissions = manager.handle(result, NOW + LIMIT_SECONDS + 0.1)
    assert select(emissions, "client", StatementAnswered)[0].code is code
