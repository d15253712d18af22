"""Filter of a gateway: runs statements that other instances forward."""

import itertools
from collections.abc import Sequence

from ..control import PeerEnvelope
from ..fleet.messages import Introduction
from ..interfaces import Emission
from ..positions import ORIGIN
from .gateway_messages import (
    GatewayOutcome,
    GatewayRequest,
    GatewayStatement,
    PeerIntroduced,
)
from .messages import (
    Effect,
    ErrorCode,
    StatementRequest,
    StatementResult,
    TransactionStep,
)
from .routes import Consistency, Route

# Forwarded statements without an outcome above which further ones are refused.
MAX_FORWARDED_STATEMENTS = 1000
# Session of forwarded statements. They are outside transactions and pin no connection.
NO_SESSION = 0


class Gateway:
    """Turns forwarded statements into requests and their results into outcomes.

    Outlets: ``next`` (:class:`GatewayRequest`), ``peers`` (:class:`GatewayOutcome`),
    ``introductions`` (:class:`PeerIntroduced`).
    """

    def __init__(self) -> None:
        # Negative, so that they differ from the requests of this instance's sessions.
        self._request_ids = itertools.count(-1, -1)
        # Sender and its number, by request.
        self._origins: dict[int, tuple[str, int]] = {}
        self._introductions: dict[str, Introduction] = {}

    @property
    def next_tick(self) -> float | None:
        return None

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            if isinstance(message.message, GatewayStatement):
                return self._handle_statement(message.peer, message.message, now)
        elif isinstance(message, StatementResult):
            return self._handle_result(message)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        return ()

    def _handle_statement(
        self, peer: str, message: GatewayStatement, now: float
    ) -> list[Emission]:
        emissions: list[Emission] = []
        if self._introductions.get(peer) != message.introduction:
            self._introductions[peer] = message.introduction
            introduced = PeerIntroduced(message.introduction)
            emissions.append(Emission("introductions", introduced))
        if len(self._origins) >= MAX_FORWARDED_STATEMENTS:
            outcome = GatewayOutcome(
                number=message.number,
                is_answered=False,
                effect=Effect.NOT_RUN,
                code=ErrorCode.BUSY,
                message="too many statements wait at the gateway; retry after 0.5 s",
            )
            return [
                *emissions,
                Emission("peers", PeerEnvelope(peer=peer, message=outcome)),
            ]
        request = _make_request(next(self._request_ids), message, now)
        self._origins[request.request_id] = (peer, message.number)
        forwarded = GatewayRequest(
            request=request,
            database=message.database,
            minimum_position=message.minimum_position,
        )
        return [*emissions, Emission("next", forwarded)]

    def _handle_result(self, result: StatementResult) -> list[Emission]:
        origin = self._origins.pop(result.request.request_id, None)
        if origin is None:
            return []
        peer, number = origin
        outcome = GatewayOutcome(
            number=number,
            is_answered=result.is_answered,
            effect=result.effect,
            code=result.code,
            message=result.message,
            signature=result.signature,
            rows=result.rows,
            position=result.position,
        )
        return [Emission("peers", PeerEnvelope(peer=peer, message=outcome))]


def _make_request(
    request_id: int, message: GatewayStatement, now: float
) -> StatementRequest:
    route = Route(
        name="",
        database="",
        group=message.group,
        consistency=Consistency.PRIMARY,
        timeout_seconds=message.timeout_seconds,
        priority=message.priority,
    )
    return StatementRequest(
        request_id=request_id,
        session_id=NO_SESSION,
        statement_id=message.statement_id,
        statement=message.statement,
        route=route,
        workspace=message.workspace,
        starts_operation=False,
        step=TransactionStep.NONE,
        is_read_only=message.is_read_only,
        session_variables=message.session_variables,
        prepared=message.prepared,
        minimum_position=message.minimum_position or ORIGIN,
        received_at=now,
        deadline=now + message.timeout_seconds,
    )
