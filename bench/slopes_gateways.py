"""Cost of gateways: statements at both ends of the hop, and the table of gateways."""

import gc
import time

from sardinemill.codecs import decode_message, encode_message
from sardinemill.control import PeerEnvelope
from sardinemill.fleet.gateway_table import GatewayCandidate, assign_gateways
from sardinemill.fleet.messages import FleetAnswer, Introduction
from sardinemill.fleet.records import DatabaseEntry, Directory
from sardinemill.fleet.views import DirectoryChanged
from sardinemill.sessions.connection_messages import (
    ConnectionOpened,
    OpenConnection,
    RunStatement,
    StatementFinished,
)
from sardinemill.sessions.gateway import Gateway
from sardinemill.sessions.gateway_messages import GatewayOutcome, GatewayStatement
from sardinemill.sessions.messages import Effect, Statement, StatementKind
from sardinemill.sessions.routes import (
    Configuration,
    RoutesChanged,
    make_route_table,
)

from .fits import Fit, fit_line

# Connections that a gateway keeps open, one for each workspace.
N_CONNECTIONS = (20, 60, 120)
N_DATABASES = (30, 300, 909)
N_INSTANCES = 620
N_STATEMENTS = 2000
NOW = 100.0


def _make_statement(
    number: int, workspace: int, data: str = "xkqpwnzd"
) -> GatewayStatement:
    return GatewayStatement(
        number=2**60 + number,
        introduction=Introduction(
            instance="front-almaty-a-1", data_centre="dc0", host="10.1.0.26", port=7560
        ),
        database="i-0000000000",
        group="group0",
        workspace=f"workspace{workspace}",
        statement_id=f"{number:016x}",
        statement=Statement(StatementKind.EXECUTE, "s1", f"1a4 {data}"),
        is_read_only=True,
        priority=1,
        timeout_seconds=0.76,
    )


def _make_directory(n_databases: int) -> Directory:
    return Directory(
        databases=tuple(
            DatabaseEntry(
                name=f"i-{number:010x}",
                group=f"group{number // 3}",
                data_centre=f"dc{number % 3}",
                host="10.0.0.1",
                port=9000,
                n_slots=3,
            )
            for number in range(n_databases)
        )
    )


def measure_gateway_statements() -> list[Fit]:
    """Measure a gateway's processor time for a statement by open connections."""
    values = [_run_statements(size) for size in N_CONNECTIONS]
    quantity = "us for a forwarded statement, with encoding"
    return [fit_line("gateway", quantity, "connection", N_CONNECTIONS, values)]


def _run_statements(n_connections: int) -> float:
    """Return the microseconds for one statement."""
    gateway = Gateway("dc0")
    gateway.handle(DirectoryChanged(_make_directory(1)), NOW)
    limits = Configuration(version=1, max_connections=(("group0", 1000),))
    gateway.handle(RoutesChanged(make_route_table(limits)), NOW)
    for workspace in range(n_connections):
        _run(gateway, encode_message(_make_statement(workspace, workspace)))
    statements = [
        encode_message(_make_statement(number, number % n_connections))
        for number in range(N_STATEMENTS)
    ]
    gc.collect()
    begin = time.process_time()
    for data in statements:
        _run(gateway, data)
    return (time.process_time() - begin) / N_STATEMENTS * 1e6


def _run(gateway: Gateway, data: bytes) -> None:
    envelope = PeerEnvelope(peer="entry", message=decode_message(data, "entry"))
    emissions = list(gateway.handle(envelope, NOW))
    while emissions:
        message = emissions.pop(0).message
        if isinstance(message, OpenConnection):
            opened = ConnectionOpened(message.connection_id, None, NOW)
            emissions += gateway.handle(opened, NOW)
        elif isinstance(message, RunStatement):
            finished = StatementFinished(
                connection_id=message.connection_id,
                is_answered=True,
                is_usable=True,
                n_setup=len(message.setup),
                asked_at=NOW,
                rows=("row",),
                signature="7.1f3.c.2b.90e1c4d2a7b3f655",
            )
            emissions += gateway.handle(finished, NOW)
        elif isinstance(message, PeerEnvelope):
            encode_message(message.message)


def measure_gateway_messages() -> list[Fit]:
    """Measure the encoded sizes of a statement, an outcome and a table."""
    candidates = _make_candidates()
    tables = [
        assign_gateways(_make_directory(size).databases, candidates, ())
        for size in N_DATABASES
    ]
    answers = [
        FleetAnswer(
            number=1,
            incarnation="1",
            record_revision=9,
            record_age_seconds=0.5,
            gateways=table,
        )
        for table in tables
    ]
    sizes = [float(len(encode_message(answer))) for answer in answers]
    data_sizes = (10, 100, 1000)
    statements = [
        float(len(encode_message(_make_statement(1, 1, "x" * size))))
        for size in data_sizes
    ]
    outcomes = [
        float(
            len(
                encode_message(
                    GatewayOutcome(
                        number=2**60,
                        is_answered=True,
                        effect=Effect.NOT_RUN,
                        signature="7.1f3.c.2b.90e1c4d2a7b3f655",
                        rows=("x" * size,),
                    )
                )
            )
        )
        for size in data_sizes
    ]
    measured = (
        ("coordinator", "bytes of the table", "database", N_DATABASES, sizes),
        ("entry", "bytes of a statement", "byte of data", data_sizes, statements),
        ("gateway", "bytes of an outcome", "byte of data", data_sizes, outcomes),
    )
    return [fit_line(*item) for item in measured]


def _make_candidates() -> list[GatewayCandidate]:
    return [
        GatewayCandidate(
            instance=f"front-dc{number % 3}-{number}",
            data_centre=f"dc{number % 3}",
            host=f"10.0.{number % 250}.1",
            port=7560,
            capacity=5,
        )
        for number in range(N_INSTANCES)
    ]


def measure_assignment() -> list[Fit]:
    """Measure the time to assign gateways among 620 instances by databases."""
    candidates = _make_candidates()
    values = []
    for size in N_DATABASES:
        databases = _make_directory(size).databases
        begin = time.process_time()
        assign_gateways(databases, candidates, ())
        values.append((time.process_time() - begin) * 1000)
    quantity = "ms to assign the gateways among 620 instances"
    return [fit_line("coordinator", quantity, "database", N_DATABASES, values)]


def measure_gateways() -> list[Fit]:
    """Run all measurements of gateways."""
    return [
        *measure_gateway_messages(),
        *measure_gateway_statements(),
        *measure_assignment(),
    ]
