"""Log of a process, merged time line and settings errors."""

import dataclasses
import io
import json

import pytest

from sardinemill import messages
from sardinemill.configuration import Key, hash_key
from sardinemill.control import ForwardedRequest
from sardinemill.errors import Outcome
from sardinemill.event_logger import EventLogger
from sardinemill.events import Event, EventName
from sardinemill.positions import ORIGIN
from sardinemill.settings import InvalidSettings, format_example, read_settings
from sardinemill.timeline import Selection, format_html, format_text, merge_logs

MARK = "marked-secret"
CALLER = messages.CallerRequest(
    request_id="r1",
    action=messages.Action.STATEMENT,
    key=MARK,
    sql=MARK,
    parameters=(MARK,),
    idempotency_key=MARK,
    deadline=1.0,
)
STATEMENT = messages.Statement(
    sql=MARK,
    parameters=(MARK,),
    kind=messages.StatementKind.READ,
    idempotent=True,
)
REQUEST = messages.Request(
    request_id="r1",
    action=messages.Action.STATEMENT,
    workspace="bees",
    key_id="k1",
    group="hives",
    statement=STATEMENT,
    idempotency_key=MARK,
    deadline=1.0,
)
ROUTED = messages.RoutedRequest(
    request=REQUEST, database="hives-1", minimum_position=ORIGIN, is_replica=False
)
CALL = messages.UpstreamCall(
    call_id="r1",
    action=messages.Action.STATEMENT,
    workspace="bees",
    statement=STATEMENT,
    idempotency_key=MARK,
)
RESULT = messages.UpstreamResult(call_id="r1", rows=((MARK,),))
REFUSAL = messages.Refusal(
    request_id="r1",
    code=messages.RefusalCode.INTERNAL,
    outcome=Outcome.NOT_RUN,
    step="test",
)
REQUEST_MESSAGES = (
    CALLER,
    messages.AuthenticatedRequest(
        caller=CALLER, workspace="bees", key_id="k1", group="hives"
    ),
    STATEMENT,
    REQUEST,
    ROUTED,
    CALL,
    messages.Dispatch(routed=ROUTED, call=CALL),
    RESULT,
    messages.Execution(routed=ROUTED, result=RESULT, failure=None, service_seconds=0),
    messages.Answer(request_id="r1", rows=((MARK,),)),
    messages.Cancellation(request_id="r1"),
    REFUSAL,
    ForwardedRequest(request=REQUEST, entry="a", remaining_seconds=1.0),
    Key(key_id="k1", workspace="bees", digest=hash_key(MARK)),
)


def write_log(instance, *events, times):
    file = io.StringIO()
    wall = iter(times)
    journal = EventLogger(
        file,
        instance=instance,
        data_centre="almaty-1",
        incarnation="abcdef0123",
        read_wall_ns=lambda: next(wall),
    )
    for event in events:
        journal.offer(event)
    return file.getvalue().splitlines()


def test_no_key_and_no_caller_data_reaches_the_log():
    """Guards against secrets in logs, also through a message that is put into an event
    by mistake, and against a new message type that this test does not cover.
    """
    covered = {type(message) for message in REQUEST_MESSAGES}
    declared = {
        kind
        for kind in vars(messages).values()
        if dataclasses.is_dataclass(kind) and kind.__module__ == messages.__name__
    }
    assert declared <= covered
    for message in REQUEST_MESSAGES:
        assert MARK not in repr(message) and hash_key(MARK) not in repr(message)
    events = [
        Event(
            EventName.INSTANCE_STARTED,
            {"message": message, "list": [message], "nested": {"x": MARK}, "key": MARK},
        )
        for message in REQUEST_MESSAGES
    ]
    lines = write_log("a", *events, times=range(1000))
    assert len(lines) == len(events)
    for line in lines:
        assert MARK not in line and hash_key(MARK) not in line
    first = json.loads(lines[0])
    assert (first["number"], first["name"]) == (101, "instance_started")
    assert (first["instance"], first["sequence"]) == ("a", 1)


def test_time_line_keeps_the_order_of_a_process_whose_clock_jumps_back():
    """Guards against a time line that shows effects before their causes."""

    def make(version):
        fields = {"configuration_version": version, "instance": "<b>"}
        return Event(EventName.CONFIGURATION_ADOPTED, fields)

    one = write_log("one", make(1), make(2), make(3), times=[100, 50, 300])
    two = write_log("two", make(1), make(2), times=[70, 200])
    timeline = merge_logs([[*one[::-1], "{truncated"], two])
    shown = [
        (entry.process[:3], entry.fields["configuration_version"])
        for entry in timeline.entries
    ]
    assert shown == [("two", 1), ("one", 1), ("one", 2), ("two", 2), ("one", 3)]
    assert timeline.n_unreadable == 1
    chosen = merge_logs([one, two], Selection(configuration_version=2))
    assert len(chosen.entries) == 2
    assert "subject_instance=<b>" in format_text(chosen)
    page = format_html(chosen)
    assert "<b>" not in page and "http" not in page and "src=" not in page


def test_all_faults_of_the_settings_are_reported_without_the_secret(capsys):
    """Guards against reporting only the first error, and against a secret in an error
    message.
    """
    environment = {
        "SARDINEMILL_FLEET_SECRET": MARK,
        "SARDINEMILL_PEER_PORT": "99999",
        "SARDINEMILL_KEY_POLICYS": "strict",
        "SARDINEMILL_DRAIN_SECONDS": "nan",
    }
    with pytest.raises(InvalidSettings) as caught:
        read_settings(["--front-host", "localhost", "--name", "a"], environment)
    assert MARK not in caught.value.message
    names = " ".join(fault.name for fault in caught.value.faults)
    for name in ("DATA_CENTRE", "STORE_URL", "FLEET_SECRET", "PEER_PORT"):
        assert name in names
    for name in ("FRONT_HOST", "DRAIN_SECONDS", "KEY_POLICYS"):
        assert name in names
    example = dict(line.split("=", 1) for line in format_example().splitlines())
    settings = read_settings(["--peer-port=7"], example)
    assert settings.peer_port == 7 and settings.name == example["SARDINEMILL_NAME"]
    assert example["SARDINEMILL_FLEET_SECRET"] not in repr(settings)
    with pytest.raises(SystemExit) as caught:
        read_settings(["--print-example"], {})
    assert caught.value.code == 0
    assert capsys.readouterr().out == format_example()
