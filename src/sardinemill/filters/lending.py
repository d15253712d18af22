"""Owner side of the rate limit: lends tokens of the shards whose leases it holds."""

from collections.abc import Sequence

from ..configuration import EMPTY_CONFIGURATION, Configuration, ConfigurationChanged
from ..control import PeerEnvelope
from ..interfaces import Emission
from ..limits import (
    LOAN_LIFETIME_SECONDS,
    NO_SHARE,
    LimitSettings,
    Share,
    compute_owner_share,
    compute_seat_share,
    extend_wait_for_drift,
    find_plan,
    find_shard,
    shorten_wait_for_drift,
)
from ..loans import (
    BorrowRequest,
    Loan,
    LoanReturn,
    ReservePledge,
    ReserveQuery,
    ShardClosed,
    ShardLease,
)
from .lending_bucket import LendingBucket

# Epoch of the first owner of a shard. A released lease keeps its epoch, so a later
# owner never has this one.
FIRST_EPOCH = 1
PLEDGE_DURATION_SECONDS = 3.0
PLEDGE_INTERVAL_SECONDS = 1.0
# The owner requests pledges of reserves for this long after a grant of fewer tokens
# than requested.
SHORTAGE_SECONDS = 10.0


class OwnedShard:
    """Buckets of a shard that this instance owns, under one epoch of its lease.

    :ivar pledge_ends_at: seat to the end of its pledge on the local clock.
    :ivar last_query_at: seat to the time of the query that its last counted pledge
        answered.
    :ivar short_workspaces: workspaces that were granted fewer tokens than requested
        since the last query.
    :ivar shortage_until: local time until which pledges are requested.
    """

    def __init__(
        self,
        lease: ShardLease,
        shortage_until: float = float("-inf"),
        next_query_at: float = float("-inf"),
    ) -> None:
        self.lease = lease
        self.buckets: dict[str, LendingBucket] = {}
        self.pledge_ends_at: dict[int, float] = {}
        self.last_query_at: dict[int, float] = {}
        self.short_workspaces: set[str] = set()
        self.shortage_until = shortage_until
        self.next_query_at = next_query_at

    def may_lend(self, now: float) -> bool:
        """Return whether the lease is valid and not about to be released."""
        return now < self.lease.valid_until and not self.lease.is_closing

    def update_pledges(self, now: float) -> None:
        """Remove ended pledges from the buckets, each as of its own end."""
        for seat, ends_at in sorted(
            self.pledge_ends_at.items(), key=lambda item: item[1]
        ):
            if ends_at > now:
                break
            del self.pledge_ends_at[seat]
            for bucket in self.buckets.values():
                bucket.set_pledged_seats(len(self.pledge_ends_at), ends_at)

    def add_pledge(self, pledge: ReservePledge, now: float) -> None:
        """Add the share of a seat to the buckets until its pledge ends.

        The tokens in the pledge are added only once, also when it arrives repeatedly.
        """
        self.update_pledges(now)
        ends_at = pledge.asked_at + shorten_wait_for_drift(pledge.term_seconds)
        is_repeat = pledge.asked_at <= self.last_query_at.get(
            pledge.seat, float("-inf")
        )
        if ends_at <= now or is_repeat:
            return
        self.last_query_at[pledge.seat] = pledge.asked_at
        ends_at = max(ends_at, self.pledge_ends_at.get(pledge.seat, ends_at))
        self.pledge_ends_at[pledge.seat] = ends_at
        for bucket in self.buckets.values():
            bucket.set_pledged_seats(len(self.pledge_ends_at), now)
        for workspace, n_tokens in pledge.levels:
            if workspace in self.buckets:
                self.buckets[workspace].add_tokens(n_tokens, now)

    @property
    def closes_at(self) -> float:
        """Earliest local time at which the lease may be released.

        The capacity of the next owner leaves room for open loans of this one, but not
        also for those of the owner before, so these must have expired.
        """
        return self.lease.taken_at + extend_wait_for_drift(LOAN_LIFETIME_SECONDS)


class Lending:
    """Filter that answers borrow requests from the buckets of the shards it owns.

    The lease is checked before each grant, so an owner that was paused lends nothing
    once another instance may have taken the shard over.

    Outlets: ``peers`` for loans and reserve queries, ``leasing`` for
    :class:`ShardClosed`.

    :param name: this instance.
    """

    def __init__(self, name: str, settings: LimitSettings) -> None:
        self._name = name
        self._settings = settings
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._owned_shards: dict[int, OwnedShard] = {}
        self._owners: dict[int, str] = {}
        # Local time at which a workspace was added after the first configuration.
        self._workspace_added_at: dict[str, float] = {}

    @property
    def next_tick(self) -> float | None:
        times = []
        for owned_shard in self._owned_shards.values():
            if owned_shard.lease.is_closing:
                times.append(owned_shard.closes_at)
            elif owned_shard.next_query_at < owned_shard.shortage_until:
                times.append(owned_shard.next_query_at)
        return min(times, default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            return self._handle_peer(message, now)
        if isinstance(message, ShardLease):
            return self._handle_shard_lease(message, now)
        if isinstance(message, ConfigurationChanged):
            self._handle_configuration(message.configuration, now)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for owned_shard in list(self._owned_shards.values()):
            if owned_shard.lease.is_closing:
                emissions.extend(self._close_shard(owned_shard, now))
            elif owned_shard.next_query_at <= now:
                if owned_shard.may_lend(now) and now < owned_shard.shortage_until:
                    emissions.extend(self._emit_reserve_queries(owned_shard, now))
                else:
                    owned_shard.shortage_until = float("-inf")
        return emissions

    def _handle_peer(self, envelope: PeerEnvelope, now: float) -> Sequence[Emission]:
        message = envelope.message
        if isinstance(message, BorrowRequest):
            for loan_return in message.returns:
                self._end_loan(loan_return, now)
            loan = self._make_loan(message, now)
            return (Emission("peers", PeerEnvelope(peer=envelope.peer, message=loan)),)
        if isinstance(message, LoanReturn):
            self._end_loan(message, now)
        elif isinstance(message, ReservePledge):
            owned_shard = self._owned_shards.get(message.shard)
            if owned_shard is not None and owned_shard.lease.epoch == message.epoch:
                owned_shard.add_pledge(message, now)
        return ()

    def _make_loan(self, request: BorrowRequest, now: float) -> Loan:
        shard = find_shard(request.workspace, self._settings.n_shards)
        owned_shard = self._owned_shards.get(shard)
        bucket = None
        if owned_shard is not None and owned_shard.may_lend(now):
            owned_shard.update_pledges(now)
            bucket = self._find_bucket(owned_shard, request.workspace, now)
        if owned_shard is None or bucket is None:
            return self._make_empty_loan(request, shard)
        lifetime = min(request.lifetime_seconds, LOAN_LIFETIME_SECONDS)
        grant = bucket.lend(
            request.borrow_id, request.borrower, request.n_tokens, now, lifetime
        )
        if grant.n_tokens < request.n_tokens and bucket.has_reserve:
            if owned_shard.shortage_until < now:
                owned_shard.next_query_at = now
            owned_shard.shortage_until = now + SHORTAGE_SECONDS
            owned_shard.short_workspaces.add(request.workspace)
        return Loan(
            borrow_id=request.borrow_id,
            workspace=request.workspace,
            epoch=owned_shard.lease.epoch,
            n_tokens=grant.n_tokens,
            lifetime_seconds=lifetime,
            retry_after_seconds=grant.retry_after_seconds,
            owner=self._name,
            is_crowded=grant.is_crowded,
        )

    def _make_empty_loan(self, request: BorrowRequest, shard: int) -> Loan:
        # Redirects the borrower to the owner, if that is known to be another instance.
        owner = self._owners.get(shard, "")
        return Loan(
            borrow_id=request.borrow_id,
            workspace=request.workspace,
            epoch=0,
            n_tokens=0.0,
            lifetime_seconds=0.0,
            owner="" if owner == self._name else owner,
        )

    def _end_loan(self, loan_return: LoanReturn, now: float) -> None:
        shard = find_shard(loan_return.workspace, self._settings.n_shards)
        owned_shard = self._owned_shards.get(shard)
        if owned_shard is None or owned_shard.lease.epoch != loan_return.epoch:
            return
        owned_shard.update_pledges(now)
        bucket = owned_shard.buckets.get(loan_return.workspace)
        if bucket is not None:
            bucket.end_loan(loan_return.borrow_id, loan_return.n_tokens, now)

    def _find_bucket(
        self, owned_shard: OwnedShard, workspace: str, now: float
    ) -> LendingBucket | None:
        bucket = owned_shard.buckets.get(workspace)
        if bucket is None:
            plan = find_plan(self._configuration, workspace)
            if plan is None:
                return None
            opened_at = max(
                owned_shard.lease.taken_at,
                self._workspace_added_at.get(workspace, float("-inf")),
            )
            bucket = LendingBucket(
                compute_owner_share(plan, self._settings),
                compute_seat_share(plan, self._settings),
                opened_at,
                is_first=owned_shard.lease.epoch == FIRST_EPOCH,
            )
            # Up to now only the owner's share refilled the bucket; pledges count from
            # here on.
            bucket.set_pledged_seats(len(owned_shard.pledge_ends_at), now)
            owned_shard.buckets[workspace] = bucket
        return bucket

    def _handle_shard_lease(self, lease: ShardLease, now: float) -> Sequence[Emission]:
        self._owners[lease.shard] = lease.owner
        owned_shard = self._owned_shards.get(lease.shard)
        if lease.owner != self._name:
            self._owned_shards.pop(lease.shard, None)
            return ()
        if owned_shard is None or owned_shard.lease.epoch != lease.epoch:
            owned_shard = OwnedShard(lease)
            self._owned_shards[lease.shard] = owned_shard
        owned_shard.lease = lease
        return self._close_shard(owned_shard, now) if lease.is_closing else ()

    def _close_shard(self, owned_shard: OwnedShard, now: float) -> Sequence[Emission]:
        if now < owned_shard.closes_at:
            return ()
        del self._owned_shards[owned_shard.lease.shard]
        self._owners[owned_shard.lease.shard] = ""
        closed = ShardClosed(
            shard=owned_shard.lease.shard, epoch=owned_shard.lease.epoch
        )
        return (Emission("leasing", closed),)

    def _emit_reserve_queries(
        self, owned_shard: OwnedShard, now: float
    ) -> Sequence[Emission]:
        owned_shard.next_query_at = now + PLEDGE_INTERVAL_SECONDS
        query = ReserveQuery(
            shard=owned_shard.lease.shard,
            epoch=owned_shard.lease.epoch,
            asked_at=now,
            term_seconds=PLEDGE_DURATION_SECONDS,
            workspaces=tuple(sorted(owned_shard.short_workspaces)),
        )
        owned_shard.short_workspaces.clear()
        return tuple(
            Emission("peers", PeerEnvelope(peer=peer, message=query))
            for peer in ("*", self._name)
        )

    def _handle_configuration(self, configuration: Configuration, now: float) -> None:
        if configuration.version <= self._configuration.version:
            return
        is_first = self._configuration.version == 0
        if not is_first:
            for workspace in configuration.workspaces:
                if workspace not in self._configuration.workspaces:
                    self._workspace_added_at[workspace] = now
        self._configuration = configuration
        for owned_shard in self._owned_shards.values():
            owned_shard.update_pledges(now)
            for workspace, bucket in list(owned_shard.buckets.items()):
                share, seat_share = self._find_shares(workspace)
                bucket.set_shares(share, seat_share, now)

    def _find_shares(self, workspace: str) -> tuple[Share, Share]:
        plan = find_plan(self._configuration, workspace)
        if plan is None:
            return NO_SHARE, NO_SHARE
        return (
            compute_owner_share(plan, self._settings),
            compute_seat_share(plan, self._settings),
        )
