"""A simulated deployment of two models and its workloads."""

import random
from collections.abc import Callable, Sequence
from types import MappingProxyType

import attrs

from cranecart.models import EngineModel, EngineProfile, EngineTiming, Route
from cranecart.simulation import (
    Burst,
    Engine,
    FewestInFlight,
    ForecastPolicy,
    PacePolicy,
    Policy,
    ReplicaCrash,
    Result,
    Slowdown,
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
# The large model of the contended deployment.
CONTENDED_MODEL = EngineModel('large', 16, 1.0, 0.5, 16, 1.6)
CONTENDED_PROFILE = EngineProfile(
    (CONTENDED_MODEL,),
    15,
    0.3,
    4,
    1,
    6,
    EngineTiming(0.00595, 0.0000445, 0, 50700, 0),
)
# Engine time per request at full load, from the timing and sizes below.
RUN_SECONDS = MappingProxyType({'large': 0.09, 'small': 0.065})
NODE_COUNT = 7
SIMULATED_SECONDS = 20

_DRAFTS = (15.0, 1400.0, 27.0)
_SUMMARIES = (10.0, 2000.0, 5.0)
_NOTES = (42.0, 670.0, 27.0)

PolicyFactory = Callable[[random.Random], Policy]


def make_fewest_in_flight(random_source: random.Random) -> Policy:
    """Return a policy that uses in-flight counts only."""
    return FewestInFlight(random_source)


def make_forecast(random_source: random.Random) -> Policy:
    """Return the policy of the router, which uses forecasts."""
    return ForecastPolicy(random_source, RUN_SECONDS)


def make_pace(random_source: random.Random) -> Policy:
    """Return the policy of the router where nodes learn paces."""
    return PacePolicy(random_source, RUN_SECONDS)


def route(objective: float = 0.3, pause: float = 0.2) -> Route:
    """Return a route with resumable streams."""
    return Route(
        'r', 'a.example', '/', True, True, True, 8, objective, pause, 1, 2,
        False, (),
    )  # fmt: skip


def workloads(*bursts: Burst) -> Sequence[Workload]:
    """Return workloads: drafts and summaries (large model), notes (small)."""
    slow = route(0.5, 0.3)
    return (
        Workload(slow, LARGE, *_DRAFTS, bursts),
        Workload(slow, LARGE, *_SUMMARIES, bursts),
        Workload(route(), SMALL, *_NOTES, bursts),
    )


def engines(large: int, small: int) -> list[Engine]:
    """Return replicas of both models."""
    return [
        *(Engine(f'large-{number}', LARGE, PROFILE) for number in range(large)),
        *(Engine(f'small-{number}', SMALL, PROFILE) for number in range(small)),
    ]


def mean_utility(
    make_policy: PolicyFactory,
    make_engines: Callable[[], Sequence[Engine]],
    *bursts: Burst,
    crashes: Sequence[ReplicaCrash] = (),
    seeds: int = 6,
) -> float:
    """Return the mean utility over several seeds."""
    simulated = [
        simulate_seed(make_policy, make_engines(), bursts, crashes, seed)
        for seed in range(seeds)
    ]
    return (
        sum(simulation_result.utility for simulation_result in simulated)
        / seeds
    )


def simulate_seed(
    make_policy: PolicyFactory,
    replicas: Sequence[Engine],
    bursts: Sequence[Burst],
    crashes: Sequence[ReplicaCrash],
    seed: int,
) -> Result:
    """Simulate the workloads with one seed."""
    random_source = random.Random(seed)
    policies = [make_policy(random_source) for _node in range(NODE_COUNT)]
    return simulate(
        replicas,
        policies,
        workloads(*bursts),
        SIMULATED_SECONDS,
        random_source,
        crashes,
    )


def simulate_slow_third(
    make_policy: PolicyFactory, node_count: int, seed: int, demand: float = 1
) -> Result:
    """Simulate a peak while a third of the replicas is six times slower.

    The peak is 1.55 times the mean demand, that of the deployment with uneven
    load. ``demand`` multiplies the rates of all workloads.
    """
    random_source = random.Random(seed)
    replicas = engines(9, 12)
    slowdowns = [
        Slowdown(5, number, 9, 6) for number in range(0, len(replicas), 3)
    ]
    return simulate(
        replicas,
        [make_policy(random_source) for _node in range(node_count)],
        [
            attrs.evolve(workload, rate=demand * workload.rate)
            for workload in workloads(Burst(4, 11, 1.55))
        ],
        SIMULATED_SECONDS,
        random_source,
        slowdowns,
    )
