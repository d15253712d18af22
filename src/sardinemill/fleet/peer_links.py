"""Addresses of the instances that messages are sent to."""

from collections.abc import Iterable

from ..groups import Address
from ..interfaces import Emission
from ..members import InstanceInfo, MembershipChanged
from .gateway_table import GatewayTable
from .messages import Introduction
from .questions import IncomingQuestions, make_instance_info
from .records import Coordinator


class PeerLinks:
    """Collects the addresses of other instances and announces changes.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._introduced: dict[str, InstanceInfo] = {}
        self._linked: tuple[InstanceInfo, ...] = ()

    def add_introduced(self, introduction: Introduction) -> None:
        """Add an instance that has introduced itself to the gateway."""
        self._introduced[introduction.instance] = make_instance_info(
            introduction.instance, introduction.data_centre, introduction.address
        )

    def update(
        self,
        coordinators: Iterable[Coordinator],
        gateways: GatewayTable,
        incoming: IncomingQuestions,
    ) -> list[Emission]:
        """Collect the addresses again; later sources go before earlier ones.

        :returns: a message for ``links`` if an address is new or has changed.
        """
        peers = {
            item.name: make_instance_info(
                item.name, item.data_centre, Address(item.host, item.port)
            )
            for item in coordinators
        }
        peers |= {
            item.instance: make_instance_info(item.instance, "", item.address)
            for item in gateways.gateways
        }
        peers |= self._introduced
        peers |= {item.name: item for item in incoming.list_instances()}
        peers.pop(self._instance, None)
        known = tuple(peers[name] for name in sorted(peers))
        if known == self._linked:
            return []
        self._linked = known
        changed = MembershipChanged(live=known, leaving=(), candidates=known)
        return [Emission("links", changed)]
