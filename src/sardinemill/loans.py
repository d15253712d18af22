"""Messages of the rate limit: token loans, shard leases, seats and reserves.

A shard is a set of workspaces; the instance that holds its lease owns it and lends the
tokens of their rate limits. The reserve is the fraction of the tokens that instances
spend without an owner. It is divided equally among a fixed number of seats, which
instances hold by lease.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class BorrowRequest:
    """Request for tokens to the owner of a shard.

    :param borrow_id: identifies the loan; a retry carries the same one.
    :param returns: loans of this owner that ended early, spent or not.
    :param lifetime_seconds: maximum lifetime of the loan; a short one frees its share
        of the bucket without a return message.
    """

    borrow_id: str
    borrower: str
    workspace: str
    n_tokens: float
    returns: "tuple[LoanReturn, ...]" = ()
    lifetime_seconds: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Loan:
    """Loan of tokens; answers a :class:`BorrowRequest`.

    :param n_tokens: granted tokens; 0 if the bucket is empty or the sender does not own
        the shard.
    :param lifetime_seconds: lifetime, from the time at which the borrower sent the
        request.
    :param retry_after_seconds: time until the bucket holds tokens again; 0 with a
        partial grant means that returns of spent loans make tokens available at once.
    :param owner: owner of the shard as far as the sender knows.
    :param is_crowded: open loans take up most of the bucket, so the borrower should
        return each loan as soon as it ends.
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
    """Return of a loan before its end.

    :param n_tokens: unspent tokens; 0 if all were spent.
    """

    borrow_id: str
    borrower: str
    workspace: str
    epoch: int
    n_tokens: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLease:
    """State of a shard's lease in the leasing filter.

    :param epoch: incremented at each change of owner.
    :param valid_until: local monotonic seconds, counted from before the renewal call
        was sent.
    :param taken_at: local monotonic seconds at which this owner acquired the lease.
    :param is_closing: the owner must stop lending and answer with :class:`ShardClosed`.
    """

    shard: int
    owner: str
    epoch: int
    valid_until: float
    taken_at: float
    is_closing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardClosed:
    """The owner has stopped lending tokens of a shard; its lease may be released."""

    shard: int
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardReleased:
    """Notification to the next owner of a shard that the lease was released."""

    shard: int
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatLease:
    """State of a seat's lease.

    :param seat: number of the seat, or ``None`` if the instance holds none.
    :param is_closing: the reserve must no longer be used; the receiver answers with
        :class:`SeatClosed` once no pledge of the reserve is open.
    :param seat_index: 0 for the first seat of the instance, 1 for a spare one.
    """

    seat: int | None
    valid_until: float
    is_closing: bool = False
    seat_index: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SeatClosed:
    """The reserve of a seat is neither used nor pledged; the seat may be released."""

    seat: int
    seat_index: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveQuery:
    """Request of a shard's owner that instances pledge their reserves to it.

    :param asked_at: seconds on the owner's clock, echoed by the answer.
    :param term_seconds: duration of the pledge, from receipt.
    :param workspaces: workspaces whose reserved tokens the owner requests.
    """

    shard: int
    epoch: int
    asked_at: float
    term_seconds: float
    workspaces: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservePledge:
    """Promise not to use the reserve of a seat for the workspaces of a shard.

    :param term_seconds: duration of the pledge; the instance counts it from receipt of
        the query, the owner from the time at which it sent the query.
    :param levels: workspaces and their tokens, which are removed from the reserve.
    """

    shard: int
    epoch: int
    instance: str
    seat: int
    asked_at: float
    term_seconds: float
    levels: tuple[tuple[str, float], ...] = ()
