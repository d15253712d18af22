"""Seeds that once failed, with the cause; run them with ``--regressions``."""

from dataclasses import dataclass

from .runs import SoakPlan


@dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """A run that broke a promise.

    :param cause: what was wrong, in the product or in the soak.
    """

    plan: SoakPlan
    cause: str


REGRESSIONS = (
    Regression(
        plan=SoakPlan(seed=1, seconds=15.0),
        cause="soak: an instance that was stopping at the end was not started again",
    ),
    Regression(
        plan=SoakPlan(seed=1, n_instances=3, n_clients=6, seconds=6.0),
        cause="soak: a client cancelled in the middle of a write did not note it",
    ),
    Regression(
        plan=SoakPlan(seed=104, seconds=25.0),
        cause="SIGTERM or SIGHUP during the imports ended an instance with the signal",
    ),
    Regression(
        plan=SoakPlan(seed=131, seconds=25.0),
        cause="the same as seed 104",
    ),
    Regression(
        plan=SoakPlan(seed=107, seconds=25.0),
        cause="soak: a connection took a port of an instance that was down",
    ),
    Regression(
        plan=SoakPlan(seed=205, seconds=20.0),
        cause="soak: a killed process was looked at while the next one started",
    ),
    Regression(
        plan=SoakPlan(seed=236, seconds=20.0),
        cause="soak: two faults started the same instance twice",
    ),
    Regression(
        plan=SoakPlan(seed=213, seconds=20.0),
        cause="soak: the reset of a connection that was closed ended the run",
    ),
    Regression(
        plan=SoakPlan(seed=245, seconds=20.0),
        cause="soak: two faults started the same instance twice",
    ),
    Regression(
        plan=SoakPlan(seed=304, seconds=20.0),
        cause="soak: a superseded database mixed its own commits with the leader's",
    ),
    Regression(
        plan=SoakPlan(seed=308, seconds=20.0),
        cause="soak: a superseded database that was promoted again did not lead",
    ),
    Regression(
        plan=SoakPlan(seed=322, seconds=20.0),
        cause="soak: the bound of the rate left the burst out of the tolerance",
    ),
)
