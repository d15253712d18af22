"""Owner side of the rate limit: lends tokens of the shards that it holds."""

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

# Epoch of a shard's first owner ever; leases keep their epoch when they are released.
FIRST_EPOCH = 1
PLEDGE_TERM_SECONDS = 3.0
PLEDGE_INTERVAL_SECONDS = 1.0
# Reserves are asked for while a grant was short within this time.
PRESSURE_SECONDS = 10.0


class ShardBook:
    """Ledgers of one shard under one epoch.

    :param pledges: seat to the end of its pledge on the local clock.
    :param asked_at: seat to the question that its last counted pledge answered.
    :param short: workspaces with a short grant since the last question.
    """

    def __init__(
        self,
        lease: ShardLease,
        pressed_until: float = float("-inf"),
        next_query_at: float = float("-inf"),
    ) -> None:
        self.lease = lease
        self.ledgers: dict[str, LendingBucket] = {}
        self.pledges: dict[int, float] = {}
        self.asked_at: dict[int, float] = {}
        self.short: set[str] = set()
        self.pressed_until = pressed_until
        self.next_query_at = next_query_at

    def may_lend(self, now: float) -> bool:
        """Tell whether the lease still covers a grant."""
        return now < self.lease.valid_until and not self.lease.is_closing

    def update_pledges(self, now: float) -> None:
        """Take ended pledges out of the buckets, each at its own end."""
        for seat, ends_at in sorted(self.pledges.items(), key=lambda item: item[1]):
            if ends_at > now:
                break
            del self.pledges[seat]
            for ledger in self.ledgers.values():
                ledger.set_pledged(len(self.pledges), ends_at)

    def add_pledge(self, pledge: ReservePledge, now: float) -> None:
        """Count the reserve of a seat until the pledge ends, and its tokens once."""
        self.update_pledges(now)
        ends_at = pledge.asked_at + shorten_wait_for_drift(pledge.term_seconds)
        is_repeat = pledge.asked_at <= self.asked_at.get(pledge.seat, float("-inf"))
        if ends_at <= now or is_repeat:
            return
        self.asked_at[pledge.seat] = pledge.asked_at
        ends_at = max(ends_at, self.pledges.get(pledge.seat, ends_at))
        self.pledges[pledge.seat] = ends_at
        for ledger in self.ledgers.values():
            ledger.set_pledged(len(self.pledges), now)
        for workspace, n_tokens in pledge.levels:
            if workspace in self.ledgers:
                self.ledgers[workspace].add_tokens(n_tokens, now)

    @property
    def closes_at(self) -> float:
        """When the shard may be given away.

        The next owner starts within ``burst - lendable``, so the loans of this one may
        still be open. Those of the one before must have ended.
        """
        return self.lease.taken_at + extend_wait_for_drift(LOAN_LIFETIME_SECONDS)


class Lending:
    """Filter that answers borrow requests from the ledgers of held shards.

    The lease is checked before each grant, so an owner that was paused lends nothing
    once another may have taken over.

    Outlets: ``peers`` for loans and reserve queries, ``leasing`` for
    :class:`ShardClosed`.

    :param name: this instance.
    """

    def __init__(self, name: str, settings: LimitSettings) -> None:
        self._name = name
        self._settings = settings
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._books: dict[int, ShardBook] = {}
        self._owners: dict[int, str] = {}
        # Workspaces that appeared after the first configuration: when.
        self._added_at: dict[str, float] = {}

    @property
    def next_tick(self) -> float | None:
        times = []
        for book in self._books.values():
            if book.lease.is_closing:
                times.append(book.closes_at)
            elif book.next_query_at < book.pressed_until:
                times.append(book.next_query_at)
        return min(times, default=None)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, PeerEnvelope):
            return self._handle_peer(message, now)
        if isinstance(message, ShardLease):
            return self._take_lease(message, now)
        if isinstance(message, ConfigurationChanged):
            self._change_configuration(message.configuration, now)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        for book in list(self._books.values()):
            if book.lease.is_closing:
                emissions.extend(self._close_book(book, now))
            elif book.next_query_at <= now:
                if book.may_lend(now) and now < book.pressed_until:
                    emissions.extend(self._ask_reserves(book, now))
                else:
                    book.pressed_until = float("-inf")
        return emissions

    def _handle_peer(self, envelope: PeerEnvelope, now: float) -> Sequence[Emission]:
        message = envelope.message
        if isinstance(message, BorrowRequest):
            for item in message.returns:
                self._settle(item, now)
            loan = self._lend(message, now)
            return (Emission("peers", PeerEnvelope(peer=envelope.peer, message=loan)),)
        if isinstance(message, LoanReturn):
            self._settle(message, now)
        elif isinstance(message, ReservePledge):
            book = self._books.get(message.shard)
            if book is not None and book.lease.epoch == message.epoch:
                book.add_pledge(message, now)
        return ()

    def _lend(self, request: BorrowRequest, now: float) -> Loan:
        shard = find_shard(request.workspace, self._settings.n_shards)
        book = self._books.get(shard)
        ledger = None
        if book is not None and book.may_lend(now):
            book.update_pledges(now)
            ledger = self._find_ledger(book, request.workspace, now)
        if book is None or ledger is None:
            return self._decline(request, shard)
        lifetime = min(request.lifetime_seconds, LOAN_LIFETIME_SECONDS)
        grant = ledger.lend(
            request.borrow_id, request.borrower, request.n_tokens, now, lifetime
        )
        if grant.n_tokens < request.n_tokens and ledger.has_reserve:
            if book.pressed_until < now:
                book.next_query_at = now
            book.pressed_until = now + PRESSURE_SECONDS
            book.short.add(request.workspace)
        return Loan(
            borrow_id=request.borrow_id,
            workspace=request.workspace,
            epoch=book.lease.epoch,
            n_tokens=grant.n_tokens,
            lifetime_seconds=lifetime,
            retry_after_seconds=grant.retry_after_seconds,
            owner=self._name,
            is_crowded=grant.is_crowded,
        )

    def _decline(self, request: BorrowRequest, shard: int) -> Loan:
        owner = self._owners.get(shard, "")
        return Loan(
            borrow_id=request.borrow_id,
            workspace=request.workspace,
            epoch=0,
            n_tokens=0.0,
            lifetime_seconds=0.0,
            owner="" if owner == self._name else owner,
        )

    def _settle(self, item: LoanReturn, now: float) -> None:
        shard = find_shard(item.workspace, self._settings.n_shards)
        book = self._books.get(shard)
        if book is None or book.lease.epoch != item.epoch:
            return
        book.update_pledges(now)
        ledger = book.ledgers.get(item.workspace)
        if ledger is not None:
            ledger.settle(item.borrow_id, item.n_tokens, now)

    def _find_ledger(
        self, book: ShardBook, workspace: str, now: float
    ) -> LendingBucket | None:
        ledger = book.ledgers.get(workspace)
        if ledger is None:
            plan = find_plan(self._configuration, workspace)
            if plan is None:
                return None
            opened_at = max(
                book.lease.taken_at, self._added_at.get(workspace, float("-inf"))
            )
            ledger = LendingBucket(
                compute_owner_share(plan, self._settings),
                compute_seat_share(plan, self._settings),
                opened_at,
                is_first=book.lease.epoch == FIRST_EPOCH,
            )
            # Pledges count from here on; before, only the owner's share accrued.
            ledger.set_pledged(len(book.pledges), now)
            book.ledgers[workspace] = ledger
        return ledger

    def _take_lease(self, lease: ShardLease, now: float) -> Sequence[Emission]:
        self._owners[lease.shard] = lease.owner
        book = self._books.get(lease.shard)
        if lease.owner != self._name:
            self._books.pop(lease.shard, None)
            return ()
        if book is None or book.lease.epoch != lease.epoch:
            book = ShardBook(lease)
            self._books[lease.shard] = book
        book.lease = lease
        return self._close_book(book, now) if lease.is_closing else ()

    def _close_book(self, book: ShardBook, now: float) -> Sequence[Emission]:
        if now < book.closes_at:
            return ()
        del self._books[book.lease.shard]
        self._owners[book.lease.shard] = ""
        closed = ShardClosed(shard=book.lease.shard, epoch=book.lease.epoch)
        return (Emission("leasing", closed),)

    def _ask_reserves(self, book: ShardBook, now: float) -> Sequence[Emission]:
        book.next_query_at = now + PLEDGE_INTERVAL_SECONDS
        query = ReserveQuery(
            shard=book.lease.shard,
            epoch=book.lease.epoch,
            asked_at=now,
            term_seconds=PLEDGE_TERM_SECONDS,
            workspaces=tuple(sorted(book.short)),
        )
        book.short.clear()
        return tuple(
            Emission("peers", PeerEnvelope(peer=peer, message=query))
            for peer in ("*", self._name)
        )

    def _change_configuration(self, configuration: Configuration, now: float) -> None:
        if configuration.version <= self._configuration.version:
            return
        is_first = self._configuration.version == 0
        if not is_first:
            for workspace in configuration.workspaces:
                if workspace not in self._configuration.workspaces:
                    self._added_at[workspace] = now
        self._configuration = configuration
        for book in self._books.values():
            book.update_pledges(now)
            for workspace, ledger in list(book.ledgers.items()):
                share, seat_share = self._find_shares(workspace)
                ledger.set_shares(share, seat_share, now)

    def _find_shares(self, workspace: str) -> tuple[Share, Share]:
        plan = find_plan(self._configuration, workspace)
        if plan is None:
            return NO_SHARE, NO_SHARE
        return (
            compute_owner_share(plan, self._settings),
            compute_seat_share(plan, self._settings),
        )
