"""Bookkeeping of the questions that instances send each other, on both sides."""

from dataclasses import dataclass

import xxhash

from ..groups import Address
from ..members import InstanceInfo
from .gateway_table import GatewayCandidate
from .messages import FleetQuestion, Introduction
from .views import Identity

# An instance that sent no question for this time no longer counts as part of the
# fleet, and an answer that takes longer is discarded.
PEER_TIMEOUT_SECONDS = 5.0
# An instance that sent no question for this time is no gateway. Each coordinator is
# asked every 0.8 s at least.
GATEWAY_TIMEOUT_SECONDS = 2.0
NEVER = float("-inf")
# Bound of the number from which a process begins. It keeps the numbers within 16 bits,
# and messages short, for the first hours of a process.
N_FIRST_NUMBERS = 2**15


@dataclass(frozen=True, slots=True, kw_only=True)
class Echo:
    """Last answer of a peer; the next question to it repeats the number.

    :param number: 0 when there was none.
    """

    number: int = 0
    received_at: float = NEVER

    def find_age(self, now: float) -> float:
        """Return the seconds since the answer arrived, 0 when there was none."""
        return round(now - self.received_at, 4) if self.number else 0.0


@dataclass(frozen=True, slots=True)
class _PendingQuestion:
    """Question that has not been answered yet.

    :param sent_at: on the local clock.
    :param with_positions: positions were sent and requested.
    """

    peer: str
    sent_at: float
    with_positions: bool


class OutgoingQuestions:
    """Questions that this instance sent.

    :param first_number: the first question has the next number.
    """

    def __init__(self, first_number: int = 0) -> None:
        self._n_questions = first_number
        self._pending: dict[int, _PendingQuestion] = {}
        self._positions_synced_at: dict[str, float] = {}
        self._last_numbers: dict[str, int] = {}
        self._echoes: dict[str, Echo] = {}

    def is_last_answered(self, peer: str) -> bool:
        """Return whether the last question to a peer was answered."""
        echo = self._echoes.get(peer)
        return echo is not None and echo.number == self._last_numbers.get(peer)

    def find_echo(self, peer: str) -> Echo:
        """Return the last answer of a peer."""
        return self._echoes.get(peer, Echo())

    def find_positions_synced_at(self, peer: str) -> float:
        """Return the send time of the last answered question with positions."""
        return self._positions_synced_at.get(peer, NEVER)

    def register(self, peer: str, now: float, *, with_positions: bool) -> int:
        """Register a question that is sent now.

        :param with_positions: positions are sent and requested.
        :returns: its number.
        """
        self._n_questions += 1
        self._pending[self._n_questions] = _PendingQuestion(peer, now, with_positions)
        self._last_numbers[peer] = self._n_questions
        return self._n_questions

    def record_answer(self, peer: str, number: int, now: float) -> float | None:
        """Record an answer.

        :returns: when its question was sent, ``None`` if no such question is pending.
        """
        pending = self._pending.pop(number, None)
        if pending is None or pending.peer != peer:
            return None
        self._echoes[peer] = Echo(number=number, received_at=now)
        if pending.with_positions:
            self._positions_synced_at[peer] = pending.sent_at
        return pending.sent_at

    def discard_expired(self, now: float) -> None:
        """Discard questions that were not answered in time."""
        self._pending = {
            number: pending
            for number, pending in self._pending.items()
            if now - pending.sent_at < PEER_TIMEOUT_SECONDS
        }


def choose_first_number(identity: Identity) -> int:
    """Return the number from which a process numbers its questions.

    It differs between processes with the same name, so that a late answer to the one
    before hardly ever matches a question: few numbers are pending at a time.
    """
    return xxhash.xxh32_intdigest(identity.incarnation.encode()) % N_FIRST_NUMBERS


@dataclass(frozen=True, slots=True, kw_only=True)
class _Peer:
    """Instance that sent questions to this one.

    :param number: of its last question.
    :param received_at: when its last question arrived, on the local clock.
    :param wants_positions: of its last question.
    :param positions_synced_at: arrival of the last question whose answer with positions
        is known to have reached the peer.
    :param gateway_capacity: of its last question.
    """

    introduction: Introduction
    number: int
    received_at: float
    wants_positions: bool
    positions_synced_at: float
    gateway_capacity: int


@dataclass(frozen=True, slots=True)
class QuestionTiming:
    """Times that are known of a received question, on the local clock.

    :param sent_at: lower bound of the time at which it was sent; minus infinity when
        nothing bounds it.
    :param positions_synced_at: the sender knows all positions that were known here
        then.
    """

    sent_at: float
    positions_synced_at: float


class IncomingQuestions:
    """Instances that sent questions to this one, and their addresses.

    :ivar has_new_addresses: an address was added or changed since the last call of
        :meth:`list_instances`.
    """

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self.has_new_addresses = False

    def record(
        self, peer: str, question: FleetQuestion, now: float
    ) -> QuestionTiming | None:
        """Record a question.

        :returns: ``None`` when the sender is unknown and has to introduce itself first.
        """
        previous = self._peers.get(peer)
        introduction = question.introduction
        if introduction is None:
            if previous is None:
                return None
            introduction = previous.introduction
        timing = QuestionTiming(NEVER, NEVER)
        if previous is not None and question.echo_number:
            timing = _estimate_timing(previous, question)
        self._peers[peer] = _Peer(
            introduction=introduction,
            number=question.number,
            received_at=now,
            wants_positions=question.wants_positions,
            positions_synced_at=timing.positions_synced_at,
            gateway_capacity=question.gateway_capacity,
        )
        if previous is None or previous.introduction != introduction:
            self.has_new_addresses = True
        return timing

    def count_active(self, now: float) -> int:
        """Return the number of instances that sent a question recently."""
        return sum(
            now - item.received_at < PEER_TIMEOUT_SECONDS
            for item in self._peers.values()
        )

    def list_gateway_candidates(self, now: float) -> list[GatewayCandidate]:
        """Return the instances that accept forwarded statements, by name."""
        return [
            GatewayCandidate(
                instance=name,
                data_centre=item.introduction.data_centre,
                host=item.introduction.host,
                port=item.introduction.port,
                capacity=item.gateway_capacity,
            )
            for name, item in sorted(self._peers.items())
            if item.gateway_capacity
            and now - item.received_at < GATEWAY_TIMEOUT_SECONDS
        ]

    def list_instances(self) -> list[InstanceInfo]:
        """Return the addresses of all known senders; reset ``has_new_addresses``."""
        self.has_new_addresses = False
        return [
            make_instance_info(
                name, item.introduction.data_centre, item.introduction.address
            )
            for name, item in self._peers.items()
        ]


def _estimate_timing(previous: _Peer, question: FleetQuestion) -> QuestionTiming:
    if previous.number != question.echo_number:
        return QuestionTiming(NEVER, previous.positions_synced_at)
    # The sender received the answer after its earlier question arrived here, and held
    # it for ``echo_seconds`` before it sent this question.
    sent_at = previous.received_at + question.echo_seconds
    had_positions = previous.wants_positions
    return QuestionTiming(
        sent_at, previous.received_at if had_positions else previous.positions_synced_at
    )


def make_instance_info(name: str, data_centre: str, address: Address) -> InstanceInfo:
    """Return the entry of an instance for the peer link."""
    return InstanceInfo(
        name=name,
        data_centre=data_centre,
        peer_address=address,
        front_address=address,
    )
