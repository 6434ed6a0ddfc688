"""Discrete-event simulation of engines under the product's dispatch policy.

It evaluates hundreds of seeds of a load pattern within seconds, before a run
on the users' test bench. docs/LOAD.md lists where its results differ from
measured ones.
"""

from cranecart.simulation._admission import (
    ForecastByRank,
    OccupancyLevels,
    PlannedAdmission,
    ReportRelay,
)
from cranecart.simulation._engine import Engine, SimulatedRequest
from cranecart.simulation._policies import (
    FewestInFlight,
    ForecastPolicy,
    PacePolicy,
    Policy,
    TwoChoices,
)
from cranecart.simulation._result import Outcome, Result
from cranecart.simulation._simulation import Simulation, simulate
from cranecart.simulation._workload import (
    Burst,
    ReplicaCrash,
    Slowdown,
    Workload,
)

__all__ = (
    'Burst',
    'Engine',
    'FewestInFlight',
    'ForecastByRank',
    'ForecastPolicy',
    'OccupancyLevels',
    'Outcome',
    'PacePolicy',
    'PlannedAdmission',
    'Policy',
    'ReplicaCrash',
    'ReportRelay',
    'Result',
    'SimulatedRequest',
    'Simulation',
    'Slowdown',
    'TwoChoices',
    'Workload',
    'simulate',
)
