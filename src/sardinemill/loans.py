"""Frozen messages of the rate limit: loans, leases of shards, seats, reserves."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class BorrowRequest:
    """Asks a shard's owner for tokens; a repeat carries the same ``borrow_id``.

    :param returns: loans of this owner that ended early, spent or not.
    :param lifetime_seconds: longest use of the loan; a short one frees its place in
        the bucket without a return message.
    """

    borrow_id: str
    borrower: str
    workspace: str
    n_tokens: float
    returns: "tuple[LoanReturn, ...]" = ()
    lifetime_seconds: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Loan:
    """Answer to a borrow request.

    :param n_tokens: granted tokens; 0 when the bucket is empty or the sender does not
        own the shard.
    :param lifetime_seconds: counted by the borrower from when it sent the request.
    :param retry_after_seconds: when the bucket holds tokens again; 0 with a short
        grant means that reports of spent loans make room for more at once.
    :param owner: instance that the sender believes to be the owner.
    :param is_crowded: loans use up much of the bucket, so that the end of each loan
        should be reported at once.
    """

    borrow_id: str
    workspace: str
    epoch: int
    n_tokens: float
    lifetime_seconds: float
    retry_after_seconds: float = 0.0
    owner: str = ""
    is_crowded: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LoanReturn:
    """Unspent tokens of a loan that has not ended yet; 0 when all were spent."""

    borrow_id: str
    borrower: str
    workspace: str
    epoch: int
    n_tokens: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLease:
    """Lease of a shard as the local lease task sees it.

    :param epoch: counts changes of owner.
    :param valid_until: local monotonic seconds; counted from before the renewal call.
    :param taken_at: local monotonic seconds at which this owner began.
    :param is_closing: the owner lends no more and answers with :class:`ShardClosed`.
    """

    shard: int
    owner: str
    epoch: int
    valid_until: float
    taken_at: float
    is_closing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardClosed:
    """Nothing more is lent of the shard, so its lease may be released."""

    shard: int
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardReleased:
    """Tells the next owner of a shard that its lease is free."""

    shard: int
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatLease:
    """Seat of this instance; ``None`` as seat means that it holds none.

    :param is_closing: the reserve must not be used any more; :class:`SeatClosed`
        answers once no pledge of it is open.
    :param seat_index: 0 for the first seat of the instance, 1 for a spare one.
    """

    seat: int | None
    valid_until: float
    is_closing: bool = False
    seat_index: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatClosed:
    """The reserve of the seat is neither used nor pledged; it may be released."""

    seat: int
    seat_index: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveQuery:
    """A shard's owner asks instances to pledge their reserves to it.

    :param asked_at: seconds on the owner's clock, echoed by the answer.
    :param term_seconds: how long the reserves shall stay unused, from receipt.
    :param workspaces: those whose tokens in the reserve the owner wants.
    """

    shard: int
    epoch: int
    asked_at: float
    term_seconds: float
    workspaces: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservePledge:
    """Promise not to use the reserve of a seat for the workspaces of a shard.

    :param term_seconds: counted by the instance from receipt of the question; the
        owner counts it from when it asked.
    :param levels: workspaces and their tokens, which leave the reserve for good.
    """

    shard: int
    epoch: int
    instance: str
    seat: int
    asked_at: float
    term_seconds: float
    levels: tuple[tuple[str, float], ...] = ()
