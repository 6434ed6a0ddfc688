"""Discrete-event simulation of engines under the product's dispatch policy.

It evaluates hundreds of seeds of a load pattern within seconds, before a run
on the users' test bench. docs/LOAD.md lists where its results differ from
measured ones.
"""

from cranecart.emulation._engine import Engine, SimulatedRequest
from cranecart.emulation._load import Burst, ReplicaCrash, Workload
from cranecart.emulation._policies import (
    FewestInFlight,
    ForecastPolicy,
    Policy,
    TwoChoices,
)
from cranecart.emulation._result import Outcome, Result
from cranecart.emulation._world import Simulation, simulate

__all__ = (
    'Burst',
    'Engine',
    'FewestInFlight',
    'ForecastPolicy',
    'Outcome',
    'Policy',
    'ReplicaCrash',
    'Result',
    'SimulatedRequest',
    'Simulation',
    'TwoChoices',
    'Workload',
    'simulate',
)
