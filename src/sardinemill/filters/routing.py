"""Routes each request at its group's home to a database.

A read waits until a watermark, a position that includes every write acknowledged before
a point in time, covers its accepted staleness, and goes to any database that has
applied the required position. Writes go to the primary, statements of a transaction to
the database that ran its begin.
"""

import heapq
from collections.abc import Sequence
from dataclasses import replace

from ..errors import Outcome
from ..interfaces import Emission
from ..messages import (
    Action,
    Cancellation,
    Execution,
    RefusalCode,
    Request,
    RoutedRequest,
)
from ..positions import LogPosition
from ..replication import (
    DatabaseLoad,
    DatabaseReport,
    GroupsChanged,
    PrimaryChanged,
    ReportFailure,
    ReportQuery,
)
from .held_requests import (
    REPORT_RETRY_SECONDS,
    GroupState,
    HeldRequest,
    compute_retry_delay,
    end_failed_read,
    is_upstream_failure,
    make_report_queries,
    refuse,
    refuse_expired,
)
from .read_choice import (
    REPLICA_WAIT_SECONDS,
    LoadTable,
    ReadChoice,
    choose_read_database,
)
from .transaction_routes import TransactionRoutes

# A read is tried on each of three databases and once more after a failover.
N_READ_ATTEMPTS = 4
# Minimum interval between polls of all databases after refused writes.
MIN_POLL_INTERVAL_SECONDS = 0.02
# Delay before a read is sent again to a database that failed it.
READ_RETRY_SECONDS = 0.1


class Routing:
    """Filter at the home instance: routes requests to databases.

    Retries failed reads at another database, and writes that certainly did not run at
    the primary.

    Outlets: ``next`` for :class:`RoutedRequest` and cancellations, ``executed``,
    ``probe``, ``reply``.
    """

    def __init__(self) -> None:
        self._groups: dict[str, GroupState] = {}
        self._loads = LoadTable()
        self._transactions = TransactionRoutes()
        # Heap of due time, group and request id; the id is empty for a watermark round.
        self._timers: list[tuple[float, str, str]] = []

    @property
    def next_tick(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, Request):
            return self._handle_request(message, now)
        if isinstance(message, Execution):
            return self._handle_execution(message, now)
        if isinstance(message, DatabaseReport):
            return self._handle_report(message, now)
        if isinstance(message, ReportFailure):
            return self._handle_report_failure(message)
        if isinstance(message, PrimaryChanged):
            return self._handle_primary_changed(message, now)
        if isinstance(message, DatabaseLoad):
            self._loads.handle_load(message)
        elif isinstance(message, GroupsChanged):
            return self._handle_groups_changed(message)
        elif isinstance(message, Cancellation):
            return (self._handle_cancellation(message),)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        emissions: list[Emission] = []
        while self._timers and self._timers[0][0] <= now:
            _, group, request_id = heapq.heappop(self._timers)
            state = self._groups.get(group)
            if state is None:
                continue
            if request_id in state.held:
                emissions += self._try_held(state, request_id, now)
            elif not request_id:
                emissions += self._repeat_round(state, now)
        return emissions

    # Requests

    def _handle_request(self, request: Request, now: float) -> list[Emission]:
        if request.transaction_id is not None:
            return [self._route_in_transaction(request, now)]
        state = self._groups.get(request.group)
        if state is None:
            return [refuse(request, RefusalCode.NO_HOME, "this instance is not a home")]
        return self._hold(state, HeldRequest(request=request, arrived_at=now), now)

    def _hold(self, state: GroupState, held: HeldRequest, now: float) -> list[Emission]:
        """Try to route a request at once, and hold it while that is not possible."""
        request = held.request
        state.held[request.request_id] = held
        emissions = self._try_held(state, request.request_id, now)
        if request.request_id in state.held:
            for due in (held.expires_at, held.not_before, held.exclusion_until):
                if now < due < float("inf"):
                    self._set_timer(due, request.group, request.request_id)
        return emissions

    def _route_in_transaction(self, request: Request, now: float) -> Emission:
        assert request.transaction_id is not None
        database = self._transactions.find_database(request.transaction_id, now)
        if database is not None:
            return Emission(
                "next",
                RoutedRequest(
                    request=request,
                    database=database,
                    minimum_position=request.minimum_position,
                    is_replica=False,
                ),
            )
        # A retried commit may have taken effect at an earlier attempt.
        is_commit = request.action is Action.COMMIT
        return refuse(
            request,
            RefusalCode.UNKNOWN_TRANSACTION,
            "the transaction is not open",
            outcome=Outcome.UNKNOWN if is_commit else Outcome.NOT_RUN,
        )

    def _try_held(
        self, state: GroupState, request_id: str, now: float
    ) -> list[Emission]:
        held = state.held[request_id]
        if held.expires_at <= now:
            del state.held[request_id]
            return [refuse_expired(held)]
        if held.not_before > now:
            return []
        if held.request.is_read:
            return self._try_read(state, held, now)
        return self._try_write(state, held)

    def _try_write(self, state: GroupState, held: HeldRequest) -> list[Emission]:
        primary = state.table.primary
        request = held.request
        if (
            primary is None
            or primary.term < request.minimum_position.term
            or state.table.find_state(primary.database).is_leaving
        ):
            return []
        minimum_position = max(request.minimum_position, LogPosition(primary.term, 0))
        return [
            self._send(state, held, primary.database, minimum_position, primary.term)
        ]

    def _try_read(
        self, state: GroupState, held: HeldRequest, now: float
    ) -> list[Emission]:
        if held.minimum_position is None:
            staleness = held.request.staleness_seconds
            watermark = state.table.find_watermark(held.arrived_at - staleness)
            if watermark is None:
                return self._start_round(state, now)
            minimum_position = max(held.request.minimum_position, watermark.position)
            held = replace(held, minimum_position=minimum_position)
            state.held[held.request.request_id] = held
        assert held.minimum_position is not None
        replica_wait_seconds = REPLICA_WAIT_SECONDS
        if held.replica_wait_until is not None:
            replica_wait_seconds = held.replica_wait_until - now
        choice = choose_read_database(
            state.table,
            held.minimum_position,
            excluded=held.tried if now < held.exclusion_until else (),
            loads=self._loads,
            now=now,
            max_wait_seconds=replica_wait_seconds,
        )
        if choice is None or choice.must_wait:
            return (
                []
                if choice is None
                else self._wait_for_replica(state, held, choice, now)
            )
        return [self._send(state, held, choice.database, held.minimum_position, 0)]

    def _wait_for_replica(
        self, state: GroupState, held: HeldRequest, choice: ReadChoice, now: float
    ) -> list[Emission]:
        """Hold a read for a replica, which is asked to report once it has caught up."""
        request = held.request
        database = choice.database
        if held.replica_wait_until is None:
            until = now + REPLICA_WAIT_SECONDS
            state.held[request.request_id] = replace(held, replica_wait_until=until)
            self._set_timer(until, request.group, request.request_id)
        assert held.minimum_position is not None
        if not state.try_begin_query(database, held.minimum_position, now):
            return []
        query = ReportQuery(
            group=request.group, database=database, wait_for=held.minimum_position
        )
        return [Emission("probe", query)]

    def _send(
        self,
        state: GroupState,
        held: HeldRequest,
        database: str,
        minimum_position: LogPosition,
        expected_term: int,
    ) -> Emission:
        state.held.pop(held.request.request_id, None)
        self._loads.record_routed(database)
        primary = state.table.primary
        return Emission(
            "next",
            RoutedRequest(
                request=held.request,
                database=database,
                minimum_position=minimum_position,
                is_replica=primary is None or primary.database != database,
                n_attempts=len(held.tried),
                tried=held.tried,
                expected_term=expected_term,
            ),
        )

    def _handle_cancellation(self, cancellation: Cancellation) -> Emission:
        for state in self._groups.values():
            held = state.held.pop(cancellation.request_id, None)
            if held is not None:
                return refuse(
                    held.request, RefusalCode.CANCELLED, "the caller has gone"
                )
        return Emission("next", cancellation)

    # Executions

    def _handle_execution(self, execution: Execution, now: float) -> list[Emission]:
        routed = execution.routed
        request = routed.request
        state = self._groups.get(request.group)
        self._transactions.handle_execution(execution, now)
        if state is None:
            return [Emission("executed", execution)]
        result = execution.result
        if result is not None:
            state.table.record_result(
                routed.database, result.position, result.is_primary, now
            )
        if request.transaction_id is not None:
            emissions = [Emission("executed", execution)]
        elif request.is_read:
            emissions = self._finish_read(state, execution, now)
        else:
            emissions = self._finish_write(state, execution, now)
        return emissions + (
            self._try_all_held(state, now) if result is not None else []
        )

    def _finish_read(
        self, state: GroupState, execution: Execution, now: float
    ) -> list[Emission]:
        routed = execution.routed
        failure = execution.failure
        if failure is None:
            assert execution.result is not None
            if execution.result.position >= routed.minimum_position:
                return [Emission("executed", execution)]
        elif not is_upstream_failure(failure):
            return [Emission("executed", execution)]
        elif failure.code is not RefusalCode.OVERLOADED:
            state.table.mark_failed(routed.database, now)
        if routed.n_attempts + 1 >= N_READ_ATTEMPTS:
            return [end_failed_read(execution)]
        return self._hold_for_retry(state, routed, now, not_before=now)

    def _finish_write(
        self, state: GroupState, execution: Execution, now: float
    ) -> list[Emission]:
        routed = execution.routed
        failure = execution.failure
        if (
            failure is None
            or failure.outcome is not Outcome.NOT_RUN
            or not is_upstream_failure(failure)
        ):
            return [Emission("executed", execution)]
        not_before = now + compute_retry_delay(routed.n_attempts)
        if failure.code is RefusalCode.OVERLOADED:
            return self._hold_for_retry(state, routed, now, not_before=not_before)
        state.table.mark_superseded(routed.database, routed.expected_term, now)
        queries: list[Emission] = []
        if now - state.last_polled_at >= MIN_POLL_INTERVAL_SECONDS:
            state.last_polled_at = now
            queries = make_report_queries(state)
        return queries + self._hold_for_retry(state, routed, now, not_before=not_before)

    def _hold_for_retry(
        self, state: GroupState, routed: RoutedRequest, now: float, *, not_before: float
    ) -> list[Emission]:
        """Hold a read, or a write that certainly did not run, for another attempt."""
        is_read = routed.request.is_read
        held = HeldRequest(
            request=routed.request,
            arrived_at=now,
            tried=(*routed.tried, routed.database),
            minimum_position=routed.minimum_position if is_read else None,
            not_before=not_before,
            exclusion_until=now + READ_RETRY_SECONDS if is_read else float("inf"),
        )
        return self._hold(state, held, now)

    # Positions and watermark rounds

    def _start_round(self, state: GroupState, now: float) -> list[Emission]:
        """Poll all databases for a new watermark unless such a round is running."""
        if state.round_started_at is not None:
            return []
        state.round_started_at = now
        self._set_timer(now + REPORT_RETRY_SECONDS, state.table.group.name, "")
        return make_report_queries(state)

    def _repeat_round(self, state: GroupState, now: float) -> list[Emission]:
        if state.round_started_at is None:
            return []
        if not state.needs_round():
            state.round_started_at = None
            return []
        self._set_timer(now + REPORT_RETRY_SECONDS, state.table.group.name, "")
        return make_report_queries(state)

    def _handle_report(self, report: DatabaseReport, now: float) -> list[Emission]:
        state = self._groups.get(report.group)
        if state is None:
            return []
        state.end_query(report)
        watermark = state.table.handle_report(report)
        started_at = state.round_started_at
        if watermark and started_at is not None and watermark.started_at >= started_at:
            state.round_started_at = None
        return self._try_all_held(state, now)

    def _handle_report_failure(self, failure: ReportFailure) -> list[Emission]:
        state = self._groups.get(failure.group)
        if state is not None:
            state.table.handle_report_failure(failure)
        return []

    def _handle_primary_changed(
        self, change: PrimaryChanged, now: float
    ) -> list[Emission]:
        state = self._groups.get(change.group)
        if state is None or not state.table.handle_primary_changed(change, now):
            return []
        return self._try_all_held(state, now)

    def _try_all_held(self, state: GroupState, now: float) -> list[Emission]:
        emissions: list[Emission] = []
        for request_id in list(state.held):
            emissions += self._try_held(state, request_id, now)
        return emissions

    def _handle_groups_changed(self, message: GroupsChanged) -> list[Emission]:
        names = {group.name for group in message.groups}
        emissions: list[Emission] = []
        for name in [name for name in self._groups if name not in names]:
            state = self._groups.pop(name)
            emissions += [
                refuse(
                    held.request, RefusalCode.NO_HOME, "this instance is no home now"
                )
                for held in state.held.values()
            ]
        for group in message.groups:
            known = self._groups.get(group.name)
            if known is not None:
                known.table.update_group(group)
                continue
            state = self._groups.setdefault(group.name, GroupState(group))
            emissions += make_report_queries(state)
        return emissions

    def _set_timer(self, due: float, group: str, request_id: str) -> None:
        heapq.heappush(self._timers, (due, group, request_id))
