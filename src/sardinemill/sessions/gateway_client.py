"""Statements that an instance forwards to the gateways of databases.

Plain state without I/O; :class:`~sardinemill.sessions.placement.Placement` owns it.
"""

import itertools
import math
from dataclasses import dataclass

import xxhash

from ..control import PeerEnvelope
from ..fleet.gateway_table import GatewayTable
from ..fleet.messages import Introduction
from ..fleet.views import Identity
from .gateway_messages import GatewayGreeting, GatewayStatement, GatewayWithdrawal
from .messages import Dispatch, StatementRequest

# A gateway that did not answer, or that does not reach a database, gets no statements
# for this time, after which the coordinators have assigned another one.
SILENCE_BACKOFF_SECONDS = 3.0
# Fraction of the time left that a gateway gets, so that it reports its own time-out
# before it would count as silent.
GATEWAY_TIME_FRACTION = 0.95
# Numbers of forwarded statements that one process may use.
N_STATEMENT_NUMBERS = 2**28
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class ForwardedStatement:
    """Forwarded statement without an outcome.

    :param gateway: name of the instance.
    :param sent_at: on the local clock.
    """

    number: int
    gateway: str
    dispatch: Dispatch
    sent_at: float


class GatewayClient:
    """Gateways in use and the statements that were forwarded to them.

    :param identity: of this instance; without one nothing is forwarded.
    """

    def __init__(self, identity: Identity | None) -> None:
        self._introduction: Introduction | None = None
        first_number = 1
        if identity is not None:
            self._introduction = Introduction(
                instance=identity.name,
                data_centre=identity.data_centre,
                host=identity.address.host,
                port=identity.address.port,
            )
            # An outcome for an earlier process at this address must not be taken for
            # that of a statement of this one.
            digest = xxhash.xxh32_intdigest(identity.incarnation.encode())
            first_number = digest * N_STATEMENT_NUMBERS
        self._gateways: dict[str, str] = {}
        self._greeted: set[str] = set()
        self._silent_until: dict[str, float] = {}
        self._unreachable_until: dict[tuple[str, str], float] = {}
        self._numbers = itertools.count(first_number)
        self._forwards: dict[int, ForwardedStatement] = {}

    def update(self, table: GatewayTable) -> list[PeerEnvelope]:
        """Use another table.

        :returns: greetings to the gateways that are new in it. Opening a link takes
            several round trips, which the first statement would wait for.
        """
        if self._introduction is None:
            return []
        self._gateways = {
            database: gateway.instance
            for gateway in table.gateways
            for database in gateway.databases
        }
        names = {gateway.instance for gateway in table.gateways}
        new = names - self._greeted - {self._introduction.instance}
        self._greeted = names
        greeting = GatewayGreeting(introduction=self._introduction)
        return [PeerEnvelope(peer=name, message=greeting) for name in sorted(new)]

    def find(self, database: str, now: float) -> str | None:
        """Return the gateway to forward a database's statements to, if any.

        It may be this instance itself.
        """
        gateway = self._gateways.get(database)
        if gateway is None:
            return None
        if now < self._unreachable_until.get((gateway, database), NEVER):
            return None
        return None if now < self._silent_until.get(gateway, NEVER) else gateway

    def record_unreachable(self, gateway: str, database: str, now: float) -> None:
        """Record that a gateway does not reach its database, or is about to stop."""
        self._unreachable_until[gateway, database] = now + SILENCE_BACKOFF_SECONDS

    def count(self, database: str) -> int:
        """Return the number of forwarded statements without an outcome."""
        return sum(
            item.dispatch.database == database for item in self._forwards.values()
        )

    def start(self, dispatch: Dispatch, gateway: str, now: float) -> GatewayStatement:
        """Register a statement that is forwarded now and return the message."""
        assert self._introduction is not None
        request = dispatch.request
        forward = ForwardedStatement(next(self._numbers), gateway, dispatch, now)
        self._forwards[forward.number] = forward
        return GatewayStatement(
            number=forward.number,
            introduction=self._introduction,
            database=dispatch.database,
            group=request.route.group,
            workspace=request.workspace,
            statement_id=request.statement_id,
            statement=request.statement,
            is_read_only=request.is_read_only,
            priority=request.route.priority,
            timeout_seconds=round(
                (dispatch.attempt_deadline - now) * GATEWAY_TIME_FRACTION, 3
            ),
            minimum_position=dispatch.minimum_position,
            prepared=request.prepared,
            session_variables=request.session_variables,
        )

    def finish(self, gateway: str, number: int) -> ForwardedStatement | None:
        """Remove a forwarded statement whose outcome has arrived.

        :returns: ``None`` when it was given up, or forwarded to another instance.
        """
        forward = self._forwards.get(number)
        if forward is None or forward.gateway != gateway:
            return None
        return self._forwards.pop(number)

    def expire(self, now: float) -> list[ForwardedStatement]:
        """Remove and return the statements whose attempt deadline has passed.

        Their gateways count as silent.
        """
        expired = [
            item
            for item in self._forwards.values()
            if item.dispatch.attempt_deadline <= now
        ]
        for item in expired:
            del self._forwards[item.number]
            self._silent_until[item.gateway] = now + SILENCE_BACKOFF_SECONDS
        return expired

    def withdraw(self, request: StatementRequest) -> PeerEnvelope | None:
        """Return the message that withdraws a statement, if it was forwarded."""
        for item in self._forwards.values():
            if item.dispatch.request is request:
                message = GatewayWithdrawal(item.number)
                return PeerEnvelope(peer=item.gateway, message=message)
        return None

    def find_next_deadline(self) -> float:
        """Return the earliest attempt deadline, infinity without any."""
        deadlines = (item.dispatch.attempt_deadline for item in self._forwards.values())
        return min(deadlines, default=math.inf)
