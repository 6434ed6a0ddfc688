"""The contended deployment's large model under a shortage, simulated."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType

import attrs

from cranecart.simulation import (
    Burst,
    Engine,
    ForecastByRank,
    ForecastPolicy,
    OccupancyLevels,
    Outcome,
    PlannedAdmission,
    Policy,
    ReportRelay,
    Result,
    SimulatedRequest,
    Workload,
    simulate,
)
from tools.engine_loads import CONTENDED_MODEL, CONTENDED_PROFILE
from tools.engine_loads import route as make_route

NODE_COUNT = 85
SIMULATED_SECONDS = 16
# Engine time of a mean request.
_RUN_SECONDS = MappingProxyType({'large': 0.083})
# Rates and sizes of the deployment's two classes.
_URGENT = (12.0, 1420.0, 25.0)
_LESS_URGENT = (8.0, 1960.0, 3.0)
# Four times the deployment's rates, for more requests in a run.
_SCALE = 4
# Objective and client's deadline, by rank.
_OBJECTIVES = MappingProxyType({1: 0.3, 2: 0.8})
_TIMEOUTS = MappingProxyType({1: 8, 2: 5})
_IMPATIENT_FRACTION = 1 / 3
_ORGANISATION_COUNT = 24
_ZIPF_EXPONENT = 1.2
_URGENT_SURGE = 1.8
_OTHER_SURGE = 2.3
_SWELLING = 5
# Above them are the largest three tenths, and the largest tenth.
_QUANTILES = (0.7, 0.9)
_SERVED = frozenset((Outcome.IN_TIME, Outcome.LATE))

PolicyFactory = Callable[[random.Random, ReportRelay], Policy]

POLICIES: Mapping[str, PolicyFactory] = MappingProxyType(
    {
        'forecast': lambda rng, _relay: ForecastPolicy(rng, _RUN_SECONDS),
        'forecast by rank': lambda rng, relay: ForecastByRank(
            rng, _RUN_SECONDS, relay, _ORGANISATION_COUNT
        ),
        'occupancy levels': lambda rng, _relay: OccupancyLevels(
            rng, _RUN_SECONDS
        ),
        'planned': lambda rng, relay: PlannedAdmission(
            rng, _RUN_SECONDS, relay, _ORGANISATION_COUNT
        ),
    }
)


@attrs.frozen
class Scenario:
    """Replicas, and the surges of the more and the less urgent class.

    ``swollen`` is the factor of the demand of the organisation ``o10``.
    """

    replicas: int
    urgent_surge: float = 1
    other_surge: float = 1
    swollen: float = 1


# Calm, the work fills 6.6 replicas.
SCENARIOS = MappingProxyType(
    {
        'calm': Scenario(10),
        'half fits': Scenario(3),
        'one organisation swollen': Scenario(4, swollen=_SWELLING),
        'surges': Scenario(7, _URGENT_SURGE, _OTHER_SURGE),
    }
)


def simulate_shortage(
    make_policy: PolicyFactory, scenario: Scenario, seed: int
) -> Result:
    """Simulate one seed; all policies see the same requests."""
    relay = ReportRelay()
    policies = [
        make_policy(random.Random(f'{seed} {number}'), relay)
        for number in range(NODE_COUNT)
    ]
    replicas = [
        Engine(f'r{number}', CONTENDED_MODEL, CONTENDED_PROFILE)
        for number in range(scenario.replicas)
    ]
    return simulate(
        replicas,
        policies,
        (
            _workload(_URGENT, 1, scenario.urgent_surge, scenario),
            _workload(_LESS_URGENT, 2, scenario.other_surge, scenario),
        ),
        SIMULATED_SECONDS,
        random.Random(seed),
    )


def served_fraction(
    result: Result, is_counted: Callable[[SimulatedRequest], bool]
) -> float:
    """Return the part of some requests that was answered, late or in time."""
    return _mean(
        outcome in _SERVED
        for request, outcome in result.requests
        if is_counted(request)
    )


def on_time_fraction(result: Result, rank: int) -> float:
    """Return the part of a class that was answered in time."""
    return _mean(
        outcome is Outcome.IN_TIME
        for request, outcome in result.requests
        if request.route.rank == rank
    )


def size_ratios(result: Result, rank: int) -> tuple[float, float]:
    """Return how often the largest tenth and the next fifth are served.

    Relative to the class as a whole.
    """
    sizes = sorted(
        request.prompt_tokens
        for request, _outcome in result.requests
        if request.route.rank == rank
    )
    third, tenth = (sizes[int(len(sizes) * part)] for part in _QUANTILES)

    def served(low: int, high: float) -> float:  # noqa: WPS430
        return served_fraction(
            result,
            lambda request: (
                request.route.rank == rank
                and low <= request.prompt_tokens < high
            ),
        )

    whole = served(0, float('inf')) or 1
    return served(tenth, float('inf')) / whole, served(third, tenth) / whole


def _workload(
    sizes: Sequence[float], rank: int, surge: float, scenario: Scenario
) -> Workload:
    rate, prompt_tokens, events = sizes
    route = attrs.evolve(
        make_route(_OBJECTIVES[rank]),
        name=f'class {rank}',
        rank=rank,
        pause_seconds=1,
        timeout_seconds=_TIMEOUTS[rank],
    )
    weights = {
        f'o{number}': (number + 1) ** -_ZIPF_EXPONENT
        for number in range(_ORGANISATION_COUNT)
    }
    before = sum(weights.values())
    weights['o10'] *= scenario.swollen
    return Workload(
        route,
        CONTENDED_MODEL,
        rate * _SCALE * sum(weights.values()) / before,
        prompt_tokens,
        events,
        (Burst(4, 6, surge),),
        weights,
        _IMPATIENT_FRACTION,
    )


def _mean(outcomes: Iterable[bool]) -> float:
    counted = list(outcomes)
    return sum(counted) / max(1, len(counted))
