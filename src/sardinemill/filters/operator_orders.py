"""Executes the orders of operators: drain an instance, promote a new primary."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..control import DrainOrdered, OrderNotice, PeerEnvelope, PromotionOrdered
from ..documents import DRAINS_PREFIX, PROMOTIONS_PREFIX
from ..events import Event, EventName
from ..groups import choose_homes
from ..interfaces import Emission, RandomSource
from ..members import InstanceInfo, MembershipChanged
from ..store_calls import StoreCall, StoreOperation, StoreReply
from .instance_list_cache import choose_list_relays

# Two relays in each of 5 data centres list two prefixes: 10 store calls a second,
# whatever the size of the fleet.
POLL_SECONDS = 2.0
STEP = "orders"


@dataclass(frozen=True, slots=True)
class _Claim:
    """Order that this instance is about to execute.

    :param name: name of the order's object in the store.
    :param version: version of the object, 0 until it was read.
    """

    name: str
    version: int


class OperatorOrders:
    """Filter that finds orders in the store and executes each at most once.

    The relays chosen by :func:`choose_list_relays` list the orders and notify the
    instance that must execute each. That instance deletes the object conditionally on
    the version that it read, and acts only if the store confirmed the deletion, so an
    order is not executed again after a restart. An order whose deletion got no answer
    is dropped: the operator decides whether to repeat it.

    Outlets: ``store``, ``peers``, ``stop`` for :class:`DrainOrdered`, ``failover`` for
    :class:`PromotionOrdered`, ``events``.
    """

    def __init__(
        self, name: str, data_centre: str, random_source: RandomSource
    ) -> None:
        self._instance = name
        self._data_centre = data_centre
        self._random = random_source
        self._live: tuple[InstanceInfo, ...] = ()
        self._poll_at: float | None = None
        self._claims: dict[str, _Claim] = {}

    @property
    def next_tick(self) -> float | None:
        return self._poll_at

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, MembershipChanged):
            self._live = message.live
            if self._poll_at is None:
                self._poll_at = now + POLL_SECONDS * self._random.random()
        elif isinstance(message, PeerEnvelope):
            if isinstance(message.message, OrderNotice):
                return self._claim(message.message.name)
        elif isinstance(message, StoreReply):
            return self._handle_reply(message)
        return ()

    def tick(self, now: float) -> Sequence[Emission]:
        self._poll_at = now + POLL_SECONDS * (0.9 + 0.2 * self._random.random())
        if self._instance not in choose_list_relays(self._data_centre, self._live):
            return ()
        return tuple(
            self._make_call(StoreOperation.LIST_NAMES, prefix)
            for prefix in (DRAINS_PREFIX, PROMOTIONS_PREFIX)
        )

    def _make_call(
        self, operation: StoreOperation, name: str, version: int = 0
    ) -> Emission:
        call = StoreCall(
            call_id=self._random.make_id(),
            operation=operation,
            name=name,
            expected_version=version,
        )
        return Emission("store", call)

    def _handle_reply(self, reply: StoreReply) -> Sequence[Emission]:
        match reply.call.operation:
            case StoreOperation.LIST_NAMES:
                return self._notify(reply.names)
            case StoreOperation.GET:
                return self._handle_order_read(reply)
            case StoreOperation.DELETE:
                return self._handle_order_deleted(reply)
        return ()

    def _notify(self, names: Sequence[str]) -> Sequence[Emission]:
        """Notify the instance that must execute each order."""
        emissions = []
        for name in names:
            peer = self._find_executor(name)
            if peer is not None:
                notice = OrderNotice(name=name)
                emissions.append(
                    Emission("peers", PeerEnvelope(peer=peer, message=notice))
                )
        return emissions

    def _find_executor(self, name: str) -> str | None:
        if name.startswith(DRAINS_PREFIX):
            return name.removeprefix(DRAINS_PREFIX)
        group = name.removeprefix(PROMOTIONS_PREFIX)
        pairs = [(item.name, item.data_centre) for item in self._live]
        return next(iter(choose_homes(group, pairs)), None)

    # At the instance that executes the order

    def _claim(self, name: str) -> Sequence[Emission]:
        is_drain = name.startswith(DRAINS_PREFIX)
        if is_drain and name.removeprefix(DRAINS_PREFIX) != self._instance:
            return ()
        if name in self._claims:
            return ()
        self._claims[name] = _Claim(name, 0)
        return (self._make_call(StoreOperation.GET, name),)

    def _handle_order_read(self, reply: StoreReply) -> Sequence[Emission]:
        name = reply.call.name
        if reply.failure is not None or reply.version == 0:
            self._claims.pop(name, None)
            return ()
        self._claims[name] = _Claim(name, reply.version)
        return (self._make_call(StoreOperation.DELETE, name, reply.version),)

    def _handle_order_deleted(self, reply: StoreReply) -> Sequence[Emission]:
        name = reply.call.name
        self._claims.pop(name, None)
        if reply.failure is not None:
            fields = {"order": name, "reason": reply.failure.value}
            return (Emission("events", Event(EventName.ORDER_DROPPED, fields)),)
        event = Emission("events", Event(EventName.ORDER_TAKEN, {"order": name}))
        if name.startswith(DRAINS_PREFIX):
            return (event, Emission("stop", DrainOrdered()))
        ordered = PromotionOrdered(group=name.removeprefix(PROMOTIONS_PREFIX))
        return (event, Emission("failover", ordered))
