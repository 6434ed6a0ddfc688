"""Compare ways to choose a replica in simulation, over many seeds.

Usage: python -m tools.sweep [--seeds=N] [--large=N --small=N] [--surge=X]
[--slowness=X]
Each way plays the same seeds; the table says what it is worth, and by how much
it differs from counts alone, with the interval. The last line says how quickly
the simulation runs and what memory it took.
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
from tools.engine_loads import SECONDS, engines, fewest, forecast, play_seed
from tools.pairs import compare

_FLAGS = flags.FLAGS
_SURGE_BEGINS = 5.0
_SURGE_SECONDS = 6.0
# What the system tells of memory is in kilobytes.
_KILOBYTES = 1024


@attrs.frozen
class _Way:
    name: str
    plays: tuple[Result, ...]

    @property
    def worths(self) -> list[float]:
        return [one.utility for one in self.plays]

    def share(self, outcome: Outcome) -> float:
        shares = [one.share(outcome) for one in self.plays]
        return sum(shares) / len(shares)


def main(_arguments: Sequence[str]) -> int:
    """Play all seeds in each way and print the table."""
    started = time.perf_counter()
    makers = {
        'fewest in flight': fewest,
        'two choices': _two_choices,
        'forecast': forecast,
    }
    ways = [
        _Way(
            name,
            tuple(
                play_seed(make, _replicas(), _bursts(), (), seed)
                for seed in range(_FLAGS.seeds)
            ),
        )
        for name, make in makers.items()
    ]
    for way in ways:
        _say_way(way, ways[0])
    _say_cost(time.perf_counter() - started, len(ways) * _FLAGS.seeds)
    return 0


def _two_choices(source: random.Random) -> Policy:
    return TwoChoices(source)


def _replicas() -> list[Engine]:
    replicas = engines(_FLAGS.large, _FLAGS.small)
    replicas[0].slowness = _FLAGS.slowness
    return replicas


def _bursts() -> tuple[Burst, ...]:
    return (Burst(_SURGE_BEGINS, _SURGE_SECONDS, _FLAGS.surge),)


def _say_way(way: _Way, first: _Way) -> None:
    mean = sum(way.worths) / len(way.worths)
    found = compare(list(zip(first.worths, way.worths, strict=True)))
    difference = ''
    if found is not None and way is not first:
        difference = f'{found.mean:+.3f} [{found.low:+.3f}, {found.high:+.3f}]'
    shares = ' '.join(
        f'{outcome.value} {way.share(outcome):.3f}' for outcome in Outcome
    )
    _say(f'{way.name:18} worth {mean:.3f} {difference:24} {shares}')


def _say_cost(seconds: float, plays: int) -> None:
    used = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KILOBYTES
    _say(
        f'{plays} plays of {SECONDS} s took {seconds:.1f} s and {used:.0f} MB',
    )


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 100, 'how many seeds to play', 2)
    flags.DEFINE_integer('large', 4, 'replicas of the large model', 1)
    flags.DEFINE_integer('small', 6, 'replicas of the small model', 1)
    flags.DEFINE_float('surge', 1, 'times the requests for six seconds', 1)
    flags.DEFINE_float('slowness', 1, 'times the time of one replica', 1)
    app.run(main)
