"""Engines and load in simulated time, under the product's own decisions.

Hundreds of seeds of a load pattern are judged in seconds, before the users'
bench is asked. docs/LOAD.md says where this differs from what is measured.
"""

from cranecart.emulation._engine import Engine, Run
from cranecart.emulation._load import Burst, Death, Load
from cranecart.emulation._policies import (
    FewestInFlight,
    Forecast,
    Policy,
    TwoChoices,
)
from cranecart.emulation._result import Outcome, Result
from cranecart.emulation._world import World, play

__all__ = (
    'Burst',
    'Death',
    'Engine',
    'FewestInFlight',
    'Forecast',
    'Load',
    'Outcome',
    'Policy',
    'Result',
    'Run',
    'TwoChoices',
    'World',
    'play',
)
