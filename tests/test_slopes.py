"""Tests that the measurements behind docs/CAPACITY.md still run."""

from bench import slopes_gateways, slopes_sessions


def test_fleet_messages_are_measured():
    """Guards against a measurement that fails after a change of the messages."""
    fits = slopes_sessions.measure_fleet_messages()
    assert len(fits) == 3
    assert all(fit.slope > 0 for fit in fits)


def test_questions_are_measured(monkeypatch):
    """Guards against a measurement that fails after a change of the coordinator."""
    monkeypatch.setattr(slopes_sessions, "N_MEMBERS", (3, 5, 7))
    monkeypatch.setattr(slopes_sessions, "N_ROUNDS", 2)
    (fit,) = slopes_sessions.measure_questions()
    assert fit.quantity.startswith("ms for a round")


def test_gateways_are_measured(monkeypatch):
    """Guards against a measurement that fails after a change of the gateway."""
    monkeypatch.setattr(slopes_gateways, "N_CONNECTIONS", (2, 3, 4))
    monkeypatch.setattr(slopes_gateways, "N_DATABASES", (3, 6, 9))
    monkeypatch.setattr(slopes_gateways, "N_STATEMENTS", 10)
    assert len(slopes_gateways.measure_gateways()) == 5
