"""A deployment of two models and its load, for plays in simulated time."""

import random
from collections.abc import Callable, Sequence
from types import MappingProxyType

from cranecart.models import EngineModel, EngineProfile, EngineTiming, Route
from cranecart.simulation import (
    Burst,
    Engine,
    FewestInFlight,
    ForecastPolicy,
    Policy,
    ReplicaCrash,
    Result,
    Workload,
    simulate,
)

LARGE = EngineModel('large', 4, 1.0, 0.67, 16, 1.6)
SMALL = EngineModel('small', 2, 0.6, 0.33, 12, 1.1)
PROFILE = EngineProfile(
    (LARGE, SMALL),
    13,
    0.3,
    4,
    1,
    6,
    EngineTiming(
        step_seconds=0.006,
        request_seconds=0.0005,
        prompt_rate=46000,
        steps_a_pass=5,
    ),
)
# A part of a full engine's time, from the timing and the sizes below.
RUN_SECONDS = MappingProxyType({'large': 0.09, 'small': 0.065})
NODES = 7
SECONDS = 20

_DRAFTS = (15.0, 1400.0, 27.0)
_SUMMARIES = (10.0, 2000.0, 5.0)
_NOTES = (42.0, 670.0, 27.0)

PolicyMaker = Callable[[random.Random], Policy]


def fewest(source: random.Random) -> Policy:
    """Return the way of counts alone."""
    return FewestInFlight(source)


def forecast(source: random.Random) -> Policy:
    """Return the door's way."""
    return ForecastPolicy(source, RUN_SECONDS)


def route(objective: float = 0.3, pause: float = 0.2) -> Route:
    """Return a route of streams that may be taken up elsewhere."""
    return Route(
        'r', 'a.example', '/', True, True, True, 8, objective, pause, 1, 2,
        False, (),
    )  # fmt: skip


def loads(*bursts: Burst) -> Sequence[Workload]:
    """Return drafts and summaries of the large model, notes of the small."""
    slow = route(0.5, 0.3)
    return (
        Workload(slow, LARGE, *_DRAFTS, bursts),
        Workload(slow, LARGE, *_SUMMARIES, bursts),
        Workload(route(), SMALL, *_NOTES, bursts),
    )


def engines(large: int, small: int) -> list[Engine]:
    """Return so many replicas of each model."""
    return [
        *(Engine(f'large-{number}', LARGE, PROFILE) for number in range(large)),
        *(Engine(f'small-{number}', SMALL, PROFILE) for number in range(small)),
    ]


def worth(
    make: PolicyMaker,
    make_engines: Callable[[], Sequence[Engine]],
    *bursts: Burst,
    deaths: Sequence[ReplicaCrash] = (),
    seeds: int = 6,
) -> float:
    """Return what users get in the mean of several seeds."""
    played = [
        play_seed(make, make_engines(), bursts, deaths, seed)
        for seed in range(seeds)
    ]
    return sum(one.utility for one in played) / seeds


def play_seed(
    make: PolicyMaker,
    replicas: Sequence[Engine],
    bursts: Sequence[Burst],
    deaths: Sequence[ReplicaCrash],
    seed: int,
) -> Result:
    """Play one seed of the load."""
    source = random.Random(seed)
    policies = [make(source) for _node in range(NODES)]
    return simulate(replicas, policies, loads(*bursts), SECONDS, source, deaths)
