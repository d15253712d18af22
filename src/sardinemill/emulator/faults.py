"""Faults of a database stand-in, switched at run time."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import msgspec


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseFaults:
    """Faults in force.

    :param is_frozen: nothing is served, answered or replicated until it ends.
    :param is_leaving: reports say that the database wants no new work.
    :param delay_seconds: wait before each answer to a statement, after its effect.
    :param n_lost_answers: answers to statements still to be dropped after the effect.
    :param n_lost_control_answers: the same for fences, promotions and reports.
    :param n_crossed_pairs: pairs of answers still to be sent on each other's socket.
    :param cut_peers: databases to and from which no log entries go.
    :param lag_seconds: delay of replication to each named peer.
    """

    is_frozen: bool = False
    is_leaving: bool = False
    delay_seconds: float = 0.0
    n_lost_answers: int = 0
    n_lost_control_answers: int = 0
    n_crossed_pairs: int = 0
    cut_peers: tuple[str, ...] = ()
    lag_seconds: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultChange:
    """Change of faults, as posted by a test.

    :param is_silencing: sockets that are open now get no answer any more; new ones
        work.
    """

    faults: DatabaseFaults
    is_silencing: bool = False


def decode_change(data: bytes, faults: DatabaseFaults) -> FaultChange:
    """Read a posted change; fields that it does not name stay as they are.

    :raises ValueError: when a field is unknown or has a wrong type.
    """
    fields = msgspec.json.decode(data, type=dict[str, object])
    is_silencing = msgspec.convert(fields.pop("is_silencing", False), bool)
    current = asdict(faults)
    unknown = sorted(set(fields) - set(current))
    if unknown:
        raise ValueError(f"unknown fields {unknown}")
    changed = msgspec.convert(current | fields, DatabaseFaults)
    return FaultChange(faults=changed, is_silencing=is_silencing)
