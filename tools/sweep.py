"""Compare routing policies in simulation over many seeds.

Usage: python -m tools.sweep [--seeds=N] [--large=N --small=N] [--surge=X]
[--slowness=X]
All policies run with the same seeds. The table shows the mean utility of each
and its difference from in-flight counts alone, with the confidence interval.
The last line shows the run time and memory use of the simulation.
"""

import random
import resource
import sys
import time
from collections.abc import Sequence

import attrs
from absl import app, flags

from cranecart.simulation import (
    Burst,
    Engine,
    Outcome,
    Policy,
    Result,
    TwoChoices,
)
from tools.engine_loads import (
    SIMULATED_SECONDS,
    engines,
    make_fewest_in_flight,
    make_forecast,
    simulate_seed,
)
from tools.pairs import compare

_FLAGS = flags.FLAGS
_SURGE_BEGINS = 5.0
_SURGE_SECONDS = 6.0
# The maximum resident set size is given in kilobytes.
_KILOBYTES_PER_MEGABYTE = 1024


@attrs.frozen
class _PolicyResults:
    name: str
    runs: tuple[Result, ...]

    @property
    def utilities(self) -> list[float]:
        return [run.utility for run in self.runs]

    def share(self, outcome: Outcome) -> float:
        shares = [run.share(outcome) for run in self.runs]
        return sum(shares) / len(shares)


def main(_arguments: Sequence[str]) -> int:
    """Simulate all seeds with each policy and print the table."""
    started = time.perf_counter()
    factories = {
        'fewest in flight': make_fewest_in_flight,
        'two choices': _make_two_choices,
        'forecast': make_forecast,
    }
    all_policies = [
        _PolicyResults(
            name,
            tuple(
                simulate_seed(make_policy, _replicas(), _bursts(), (), seed)
                for seed in range(_FLAGS.seeds)
            ),
        )
        for name, make_policy in factories.items()
    ]
    for policy_results in all_policies:
        _print_policy(policy_results, all_policies[0])
    _print_cost(time.perf_counter() - started, len(all_policies) * _FLAGS.seeds)
    return 0


def _make_two_choices(random_source: random.Random) -> Policy:
    return TwoChoices(random_source)


def _replicas() -> list[Engine]:
    replicas = engines(_FLAGS.large, _FLAGS.small)
    replicas[0].slowness = _FLAGS.slowness
    return replicas


def _bursts() -> tuple[Burst, ...]:
    return (Burst(_SURGE_BEGINS, _SURGE_SECONDS, _FLAGS.surge),)


def _print_policy(
    policy_results: _PolicyResults, baseline: _PolicyResults
) -> None:
    mean = sum(policy_results.utilities) / len(policy_results.utilities)
    comparison = compare(
        list(zip(baseline.utilities, policy_results.utilities, strict=True))
    )
    difference = ''
    if comparison is not None and policy_results is not baseline:
        difference = (
            f'{comparison.mean:+.3f} '
            f'[{comparison.low:+.3f}, {comparison.high:+.3f}]'
        )
    shares = ' '.join(
        f'{outcome.value} {policy_results.share(outcome):.3f}'
        for outcome in Outcome
    )
    _print_line(
        f'{policy_results.name:18} utility {mean:.3f} {difference:24} {shares}'
    )


def _print_cost(seconds: float, runs: int) -> None:
    memory_mb = (
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        / _KILOBYTES_PER_MEGABYTE
    )
    _print_line(
        f'{runs} runs of {SIMULATED_SECONDS} s '
        f'took {seconds:.1f} s and {memory_mb:.0f} MB',
    )


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 100, 'number of random seeds', 2)
    flags.DEFINE_integer('large', 4, 'replicas of the large model', 1)
    flags.DEFINE_integer('small', 6, 'replicas of the small model', 1)
    flags.DEFINE_float(
        'surge', 1, 'factor of the request rate for six seconds', 1
    )
    flags.DEFINE_float(
        'slowness', 1, 'factor of the processing time of one replica', 1
    )
    app.run(main)
