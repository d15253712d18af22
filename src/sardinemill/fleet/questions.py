"""Book-keeping of the questions that instances ask each other, on both sides."""

from dataclasses import dataclass

from ..groups import Address
from ..members import InstanceInfo
from .messages import FleetQuestion, Introduction

# An instance that is not heard from for this time no longer counts as part of it, and
# an answer later than this is of no use.
MEMBER_SECONDS = 5.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class Echo:
    """Last answer of a peer, as a question repeats it.

    :param number: 0 when there was none.
    """

    number: int = 0
    received_at: float = NEVER

    def find_age(self, now: float) -> float:
        """Time since the answer arrived, 0 when there was none."""
        return round(now - self.received_at, 4) if self.number else 0.0


@dataclass(frozen=True, slots=True)
class _Asked:
    """Question without an answer so far.

    :param exchanges: it carried positions.
    """

    peer: str
    at: float
    exchanges: bool


class OutgoingQuestions:
    """Questions that this instance asked."""

    def __init__(self) -> None:
        self._n_questions = 0
        self._asked: dict[int, _Asked] = {}
        self._exchanged_at: dict[str, float] = {}
        self._last: dict[str, int] = {}
        self._echoes: dict[str, Echo] = {}

    def is_answered(self, peer: str) -> bool:
        """Tell whether the last question to a peer was answered."""
        echo = self._echoes.get(peer)
        return echo is not None and echo.number == self._last.get(peer)

    def find_echo(self, peer: str) -> Echo:
        """Last answer of a peer."""
        return self._echoes.get(peer, Echo())

    def find_exchanged_at(self, peer: str) -> float:
        """When the last question with positions that was answered was sent."""
        return self._exchanged_at.get(peer, NEVER)

    def begin(self, peer: str, now: float, *, exchanges: bool) -> int:
        """Note a question that is sent now; returns its number.

        :param exchanges: it carries positions.
        """
        self._n_questions += 1
        self._asked[self._n_questions] = _Asked(peer, now, exchanges)
        self._last[peer] = self._n_questions
        return self._n_questions

    def end(self, peer: str, number: int, now: float) -> float | None:
        """Note an answer.

        :returns: when its question was sent, ``None`` if there is no such question.
        """
        asked = self._asked.pop(number, None)
        if asked is None or asked.peer != peer:
            return None
        self._echoes[peer] = Echo(number=number, received_at=now)
        if asked.exchanges:
            self._exchanged_at[peer] = asked.at
        return asked.at

    def forget_old(self, now: float) -> None:
        """Forget questions that were not answered in time."""
        self._asked = {
            number: asked
            for number, asked in self._asked.items()
            if now - asked.at < MEMBER_SECONDS
        }


@dataclass(frozen=True, slots=True, kw_only=True)
class _Asker:
    """Instance that asked this one.

    :param number: of its last question.
    :param wants_positions: of its last question.
    :param exchanged_at: when a question came whose answer with positions arrived.
    """

    introduction: Introduction
    number: int
    asked_at: float
    wants_positions: bool
    exchanged_at: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """What is known of a question that arrived.

    :param sent_at: a time before it was sent, on the local clock; minus infinity when
        nothing bounds it.
    :param exchanged_at: the asker knows all positions that were known here then.
    """

    sent_at: float
    exchanged_at: float


class IncomingQuestions:
    """Instances that asked this one, and how to reach them."""

    def __init__(self) -> None:
        self._askers: dict[str, _Asker] = {}
        self.has_changed = False

    def take(self, peer: str, question: FleetQuestion, now: float) -> Arrival | None:
        """Note a question.

        :returns: ``None`` when the asker has to introduce itself first.
        """
        before = self._askers.get(peer)
        introduction = question.introduction
        if introduction is None:
            if before is None:
                return None
            introduction = before.introduction
        arrival = Arrival(NEVER, NEVER)
        if before is not None and question.echo_number:
            arrival = _judge_arrival(before, question)
        self._askers[peer] = _Asker(
            introduction=introduction,
            number=question.number,
            asked_at=now,
            wants_positions=question.wants_positions,
            exchanged_at=arrival.exchanged_at,
        )
        if before is None or before.introduction != introduction:
            self.has_changed = True
        return arrival

    def count(self, now: float) -> int:
        """Number of the instances that asked lately."""
        return sum(
            now - item.asked_at < MEMBER_SECONDS for item in self._askers.values()
        )

    def list_instances(self) -> list[InstanceInfo]:
        """Where the askers are reached."""
        self.has_changed = False
        return [
            make_instance_info(
                name, item.introduction.data_centre, item.introduction.address
            )
            for name, item in self._askers.items()
        ]


def _judge_arrival(before: _Asker, question: FleetQuestion) -> Arrival:
    if before.number != question.echo_number:
        return Arrival(NEVER, before.exchanged_at)
    # The asker had the answer to its earlier question for this time already.
    sent_at = before.asked_at + question.echo_seconds
    has_exchanged = before.wants_positions
    return Arrival(sent_at, before.asked_at if has_exchanged else before.exchanged_at)


def make_instance_info(name: str, data_centre: str, address: Address) -> InstanceInfo:
    """Entry of an instance for the peer link."""
    return InstanceInfo(
        name=name,
        data_centre=data_centre,
        peer_address=address,
        front_address=address,
    )
