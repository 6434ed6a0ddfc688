"""Compare admission policies for a model that is short, in simulation.

Usage: python -m tools.shortage [--seeds=N] [--scenarios=NAME,...]
All policies run with the same seeds. For each class the table shows the part of
its requests that was served and the part in time, and how often its largest
tenth and the fifth below it were served relative to the whole class; then the
part of the returning clients that were served, and of those that left.
"""

import statistics
import sys
from collections.abc import Sequence

from absl import app, flags

from cranecart.simulation import Outcome, Result
from tools.shortage_loads import (
    POLICIES,
    SCENARIOS,
    on_time_fraction,
    served_fraction,
    simulate_shortage,
    size_ratios,
)

_FLAGS = flags.FLAGS


def main(_arguments: Sequence[str]) -> int:
    """Simulate all seeds with each policy and print the table."""
    for name in _FLAGS.scenarios or SCENARIOS:
        _print_line(name)
        for policy, make_policy in POLICIES.items():
            runs = [
                simulate_shortage(make_policy, SCENARIOS[name], seed)
                for seed in range(_FLAGS.seeds)
            ]
            _print_line(f'  {policy:17} {_describe(runs)}')
    return 0


def _describe(runs: Sequence[Result]) -> str:
    classes = ' '.join(_describe_class(runs, rank) for rank in (1, 2))
    utility = statistics.mean(run.utility for run in runs)
    returned = statistics.mean(map(_returned, runs))
    left = statistics.mean(run.share(Outcome.ABANDONED) for run in runs)
    return (
        f'utility {utility:.3f} {classes} | returned {returned:.3f} '
        f'left {left:.3f}'
    )


def _describe_class(runs: Sequence[Result], rank: int) -> str:
    served = statistics.mean(_served(run, rank) for run in runs)
    on_time = statistics.mean(on_time_fraction(run, rank) for run in runs)
    ratios = [size_ratios(run, rank) for run in runs]
    largest, following = map(statistics.mean, zip(*ratios, strict=True))
    return (
        f'| class {rank} served {served:.3f} in time {on_time:.3f} '
        f'largest {largest:.2f} next {following:.2f}'
    )


def _served(run: Result, rank: int) -> float:
    return served_fraction(run, lambda request: request.route.rank == rank)


def _returned(run: Result) -> float:
    return served_fraction(run, lambda request: request.is_retry)


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 4, 'number of random seeds', 1)
    flags.DEFINE_list('scenarios', [], 'scenarios, all by default')
    app.run(main)
