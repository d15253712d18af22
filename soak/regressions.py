"""Seeds of failed runs, with the cause; ``--regressions`` runs them again."""

from dataclasses import dataclass

from .runs import SoakPlan


@dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """A run that failed.

    :param cause: fault in the proxy, or in this test if it starts with ``soak:``.
    """

    plan: SoakPlan
    cause: str


REGRESSIONS = (
    Regression(
        plan=SoakPlan(seed=1, seconds=15.0),
        cause="soak: an instance that was stopping at the end was not restarted",
    ),
    Regression(
        plan=SoakPlan(seed=1, n_instances=3, n_clients=6, seconds=6.0),
        cause="soak: a client cancelled during a write did not record the write",
    ),
    Regression(
        plan=SoakPlan(seed=104, seconds=25.0),
        cause="SIGTERM or SIGHUP during the imports killed an instance",
    ),
    Regression(
        plan=SoakPlan(seed=131, seconds=25.0),
        cause="same cause as seed 104",
    ),
    Regression(
        plan=SoakPlan(seed=107, seconds=25.0),
        cause="soak: an outgoing connection took the port of an instance that was down",
    ),
    Regression(
        plan=SoakPlan(seed=205, seconds=20.0),
        cause="soak: a killed process was checked while its successor started",
    ),
    Regression(
        plan=SoakPlan(seed=236, seconds=20.0),
        cause="soak: two faults started the same instance twice",
    ),
    Regression(
        plan=SoakPlan(seed=213, seconds=20.0),
        cause="soak: resetting a closed connection raised an exception",
    ),
    Regression(
        plan=SoakPlan(seed=245, seconds=20.0),
        cause="soak: two faults started the same instance twice",
    ),
    Regression(
        plan=SoakPlan(seed=304, seconds=20.0),
        cause="soak: a superseded primary mixed its commits with the new primary's",
    ),
    Regression(
        plan=SoakPlan(seed=308, seconds=20.0),
        cause="soak: a superseded primary promoted again did not become the primary",
    ),
    Regression(
        plan=SoakPlan(seed=322, seconds=20.0),
        cause="soak: the tolerance of the rate limit left out the burst",
    ),
    Regression(
        plan=SoakPlan(seed=1796437835),
        cause="open: two lenders of a workspace while the list of coordinators changes",
    ),
    Regression(
        plan=SoakPlan(seed=2205, n_clients=24, seconds=20.0, has_only_stops=True),
        cause="a transaction's request read 4.8 s after SIGTERM was cut off at 5.6 s",
    ),
    Regression(
        plan=SoakPlan(seed=2206, n_clients=24, seconds=20.0, has_only_stops=True),
        cause="same cause as seed 2205",
    ),
    Regression(
        plan=SoakPlan(seed=9027, seconds=12.0, has_drills=True),
        cause="a replica with entries of the newest term counted as behind it",
    ),
    Regression(
        plan=SoakPlan(seed=3103, seconds=15.0),
        cause="open: a failover starts anew whenever its coordinator is replaced",
    ),
)
