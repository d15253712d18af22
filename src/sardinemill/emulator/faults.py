"""Faults of a database stand-in, which tests set at run time."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import msgspec


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseFaults:
    """Faults in force.

    :param is_frozen: whether the database neither serves, answers nor replicates.
    :param is_leaving: whether reports say that the database is leaving its group and
        wants no new work.
    :param delay_seconds: delay of each answer to a statement, after its execution.
    :param n_lost_answers: number of further statements that are executed and whose
        answers are lost.
    :param n_lost_control_answers: the same for calls of the control channel: reports,
        fences, admissions, promotions and log entries from a primary.
    :param n_crossed_pairs: number of further pairs of answers of which each is sent on
        the socket of the other.
    :param cut_peers: databases with which no log entries are exchanged.
    :param lag_seconds: replication lag of each named peer.
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
    """Decoded body of ``POST /faults``.

    :param faults: faults in force after the change.
    :param is_silencing: whether further requests and answers of sockets that are open
        now are discarded; new sockets are served.
    """

    faults: DatabaseFaults
    is_silencing: bool = False


def decode_change(data: bytes, faults: DatabaseFaults) -> FaultChange:
    """Decode a change of faults; absent fields keep their values.

    :param faults: faults in force before the change.
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
