"""Composition root of an instance that serves requests over HTTP.

Makes the components of one instance and binds the outlets of its stages.
"""

from collections.abc import Mapping

from . import control, loans, members, replication
from .adapters.document_codec import MessagePackDocumentCodec
from .adapters.frontend import HttpFrontEnd
from .adapters.pool import PoolSet
from .adapters.prober import Prober
from .adapters.store_task import StoreTask
from .application import Application, Component, TaskComponent
from .draining import GracefulShutdown
from .events import Event, EventName
from .filters.acknowledgement import Acknowledgement
from .filters.admission import Admission
from .filters.authentication import Authentication
from .filters.classification import Classification
from .filters.distribution import Distribution
from .filters.failover import Failover
from .filters.homes import Homes
from .filters.leasing import Leasing
from .filters.lending import Lending
from .filters.membership import Membership
from .filters.operator_orders import OperatorOrders
from .filters.placement import Placement
from .filters.reception import Reception
from .filters.routing import Routing
from .filters.scheduling import Scheduling
from .groups import Address
from .instance_adapters import InstanceAdapters
from .interfaces import (
    Emission,
    Filter,
    Outlet,
)
from .lease_records import JsonLeaseCodec
from .limits import LimitSettings
from .outlets import EnvelopeRouter, FanOut, Tap, TypeRouter
from .pipeline import Stage
from .policies import DETECTORS, KEY_POLICIES, QUEUE_POLICIES
from .settings import Settings
from .status import StatusBoard
from .token_signer import TokenSigner


class HttpInstance:
    """Connected components of one instance.

    :ivar application: starts and stops all components.
    :ivar front_end: HTTP listener for callers.
    """

    def __init__(self, settings: Settings, instance_adapters: InstanceAdapters) -> None:
        self.data_centre = settings.data_centre
        self._settings = settings
        self._instance_adapters = instance_adapters
        self._stages: dict[str, Stage] = {}
        self._make_stages()
        self._router = EnvelopeRouter(self._route_envelopes())
        self._link = instance_adapters.make_peer_link(self._router)
        self._status_board = StatusBoard(
            settings.name, settings.data_centre, instance_adapters.clock.now()
        )
        self.front_end = self._make_front_end()
        self._configuration_fan_out = FanOut()
        self._groups_fan_out = FanOut()
        self._report_fan_out = FanOut()
        self._adapters = self._make_adapters()
        self._bind_request_path()
        self._bind_control_path()
        self.application = Application(self._list_components())

    # Components

    def _make_stages(self) -> None:
        settings, random_source = self._settings, self._instance_adapters.random_source
        name, data_centre = settings.name, settings.data_centre
        make_key_policy = KEY_POLICIES[settings.key_policy]
        limits = LimitSettings()
        instance_info = members.InstanceInfo(
            name=name,
            data_centre=data_centre,
            peer_address=Address(settings.peer_host, settings.peer_port),
            front_address=Address(settings.front_host, settings.front_port),
        )
        incarnation = random_source.make_id()
        filters: dict[str, Filter] = {
            "authentication": Authentication(make_key_policy()),
            "classification": Classification(),
            "admission": Admission(name, limits, random_source),
            "placement": Placement(name, data_centre),
            "reception": Reception(name),
            "routing": Routing(),
            "scheduling": Scheduling(
                make_key_policy(), QUEUE_POLICIES[settings.queue_policy]
            ),
            "acknowledgement": Acknowledgement(),
            "homes": Homes(name),
            "failover": Failover(
                name, incarnation, DETECTORS[settings.detector](), random_source
            ),
            "lending": Lending(name, limits),
            "leasing": Leasing(name, limits, JsonLeaseCodec(), random_source),
            "distribution": Distribution(
                name=name,
                data_centre=data_centre,
                codec=MessagePackDocumentCodec(),
                random=random_source,
            ),
            "membership": Membership(instance_info, incarnation, random_source),
            "orders": OperatorOrders(name, data_centre, random_source),
        }
        for step, step_filter in filters.items():
            self._stages[step] = Stage(
                step,
                step_filter,
                self._instance_adapters.clock,
                on_unbound=self._report_unbound,
            )

    def _make_front_end(self) -> HttpFrontEnd:
        settings = self._settings
        return HttpFrontEnd(
            settings.front_host,
            settings.front_port,
            pipeline=self._observe(self._stages["authentication"]),
            board=self._status_board,
            signer=TokenSigner(settings.fleet_secret),
            clock=self._instance_adapters.clock,
            random_source=self._instance_adapters.random_source,
            drain_seconds=settings.drain_seconds,
        )

    def _make_adapters(self) -> dict[str, Component]:
        instance_adapters, stages = self._instance_adapters, self._stages
        control_results = TypeRouter(
            {
                replication.DatabaseReport: self._report_fan_out,
                replication.ReportFailure: self._report_fan_out,
            },
            default=stages["failover"],
        )
        return {
            "pools": PoolSet(
                self._settings.name,
                instance_adapters.connector,
                instance_adapters.clock,
                instance_adapters.random_source,
                stages["scheduling"],
            ),
            "prober": Prober(
                instance_adapters.connector,
                instance_adapters.clock,
                instance_adapters.random_source,
                control_results,
            ),
            **{
                f"{step} store": StoreTask(
                    instance_adapters.store, stages[step], instance_adapters.clock
                )
                for step in ("distribution", "leasing", "membership", "orders")
            },
        }

    def _list_components(self) -> list[Component]:
        announcement = FanOut(
            [
                self._stages[step]
                for step in (
                    "membership",
                    "reception",
                    "admission",
                    "leasing",
                    "scheduling",
                )
            ]
        )
        announcement.add(self._observe_front_end())
        drain = GracefulShutdown(
            self.front_end,
            announcement,
            self._stages["reception"],
            self._instance_adapters.clock,
            self._instance_adapters.events,
        )
        for step in ("reception", "scheduling", "leasing"):
            self._stages[step].bind({"drain": drain})
        return [
            *self._instance_adapters.components,
            self._link,
            *self._adapters.values(),
            *(TaskComponent(name, stage) for name, stage in self._stages.items()),
            drain,
        ]

    # Connections between stages

    def _bind(self, step: str, outlets: Mapping[str, Outlet]) -> None:
        self._stages[step].bind({"events": self._instance_adapters.events, **outlets})

    def _bind_request_path(self) -> None:
        stages = self._stages
        replies = self._observe(self.front_end)
        link = self._link
        for step, next_stage in (
            ("authentication", stages["classification"]),
            ("classification", self._observe(stages["admission"])),
        ):
            self._bind(step, {"next": next_stage, "reply": replies})
        self._bind(
            "admission",
            {
                "next": stages["placement"],
                "reply": replies,
                "peers": link,
                "leasing": stages["leasing"],
            },
        )
        self._bind(
            "placement",
            {
                "home": stages["reception"],
                "peers": link,
                "reply": replies,
                "refused": stages["placement"],
            },
        )
        self._bind(
            "reception",
            {
                "next": stages["routing"],
                "placement": stages["placement"],
                "peers": link,
                "refused": stages["reception"],
            },
        )
        self._bind(
            "routing",
            {
                "next": stages["scheduling"],
                "executed": stages["acknowledgement"],
                "probe": self._prober,
                "reply": stages["reception"],
            },
        )
        self._bind(
            "scheduling",
            {
                "execution": self._pools,
                "executed": stages["routing"],
                "routing": self._observe(stages["routing"]),
                "reply": stages["reception"],
            },
        )
        self._bind(
            "acknowledgement", {"reply": stages["reception"], "probe": self._prober}
        )

    def _bind_control_path(self) -> None:
        stages, link = self._stages, self._link
        membership = FanOut([link, self._observe_front_end()])
        membership.add(
            *(
                stages[step]
                for step in (
                    "placement",
                    "homes",
                    "distribution",
                    "admission",
                    "lending",
                    "leasing",
                    "orders",
                )
            )
        )
        self._configuration_fan_out.add(
            *(
                stages[step]
                for step in (
                    "authentication",
                    "scheduling",
                    "admission",
                    "lending",
                    "placement",
                    "homes",
                    "membership",
                )
            ),
            self._observe_front_end(),
        )
        self._groups_fan_out.add(
            *(
                stages[step]
                for step in (
                    "reception",
                    "routing",
                    "scheduling",
                    "acknowledgement",
                    "failover",
                )
            ),
            self._pools,
            self._prober,
            self._observe_front_end(),
        )
        self._report_fan_out.add(
            stages["routing"], stages["acknowledgement"], stages["failover"]
        )
        primary = FanOut(
            [stages["routing"], stages["acknowledgement"], self._observe_front_end()]
        )
        self._bind("homes", {"groups": self._groups_fan_out})
        self._bind(
            "failover", {"probe": self._prober, "primary": primary, "peers": link}
        )
        self._bind(
            "orders",
            {
                "store": self._find_store_task("orders"),
                "peers": link,
                "failover": stages["failover"],
                "stop": self._instance_adapters.stop,
            },
        )
        self._bind("lending", {"peers": link, "leasing": stages["leasing"]})
        self._bind(
            "leasing",
            {
                "store": self._find_store_task("leasing"),
                "lending": stages["lending"],
                "admission": stages["admission"],
                "peers": link,
            },
        )
        self._bind(
            "distribution",
            {
                "store": self._find_store_task("distribution"),
                "peers": link,
                "configuration": self._configuration_fan_out,
            },
        )
        self._bind(
            "membership",
            {
                "store": self._find_store_task("membership"),
                "peers": link,
                "membership": membership,
            },
        )

    def _route_envelopes(self) -> dict[type, Outlet]:
        stages = self._stages
        routes = {
            "reception": (control.ForwardedRequest, control.ForwardedCancellation),
            "placement": (control.ForwardedReply,),
            "lending": (
                loans.BorrowRequest,
                loans.LoanReturn,
                loans.ReservePledge,
            ),
            "admission": (loans.Loan, loans.ReserveQuery),
            "failover": (replication.PrimaryChanged, replication.PrimaryOpinion),
            "distribution": (control.VersionQuery, control.VersionAnswer),
            "leasing": (loans.ShardReleased,),
            "orders": (control.OrderNotice,),
            "membership": (
                members.Heartbeat,
                members.SuspicionReport,
                members.InstanceList,
                members.InstanceListChange,
                members.InstanceListQuery,
            ),
        }
        return {kind: stages[step] for step, kinds in routes.items() for kind in kinds}

    @property
    def _pools(self) -> Outlet:
        return self._adapters["pools"]  # type: ignore[return-value]

    @property
    def _prober(self) -> Outlet:
        return self._adapters["prober"]  # type: ignore[return-value]

    def _find_store_task(self, step: str) -> Outlet:
        return self._adapters[f"{step} store"]  # type: ignore[return-value]

    def _observe_front_end(self) -> Outlet:
        return self._observe(self.front_end)

    def _observe(self, receiver: Outlet) -> Outlet:
        """Copy the messages that a receiver accepts to the observer, if any."""
        observer = self._instance_adapters.observer
        return receiver if observer is None else Tap(receiver, observer)

    def _report_unbound(self, emission: Emission) -> None:
        fields = {
            "outlet": emission.outlet,
            "message_type": type(emission.message).__name__,
        }
        self._instance_adapters.events.offer(Event(EventName.OUTLET_UNBOUND, fields))
