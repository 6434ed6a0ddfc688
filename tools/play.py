"""Play days on the users' bench and print one table of what broke.

Usage: python -m tools.play --bench=PROGRAM --site=FILE [--seeds=N,...] DAY...
A day is a name of the site, 'mix', or a TOML file as in bench/days/. Luck
differs from play to play, so that a change is judged by several seeds.
"""

import statistics
import sys
from collections.abc import Sequence
from pathlib import Path

from absl import app, flags

from tools.plays import Bench, Given, combine

_FLAGS = flags.FLAGS


def main(arguments: Sequence[str]) -> int:
    """Play each day and print its row; return whether all kept the rules."""
    here = Path.cwd()
    bench = Bench(Path(_FLAGS.bench), _FLAGS.why, _FLAGS.jobs)
    bench.build([here])
    plays = combine([here], [Path(_FLAGS.site)], arguments[1:], _FLAGS.seeds)
    _say(f'{"day":28} {"seed":>13} worth served refused failed rules')
    played = []
    for given in bench.play_all(plays):
        played.append(given)
        _say_row(given)
    _say_mean(played)
    return int(any(one.rules for one in played))


def _say_row(given: Given) -> None:
    name = given.play.day.rpartition('/')[2].removesuffix('.toml')
    worth = '' if given.worth is None else f'{given.worth:.3f}'
    _say(
        f'{name:28} {given.play.seed:>13} {worth:>5} '
        f'{given.part("served"):6.3f} {given.part("refused"):7.3f} '
        f'{given.part("failed"):6.3f} {given.rules}',
    )


def _say_mean(played: Sequence[Given]) -> None:
    worth = [one.worth for one in played if one.worth is not None]
    if worth:
        _say(f'mean worth of {len(worth)} plays: {statistics.mean(worth):.3f}')


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, "the users' bench program")
    flags.DEFINE_string('site', None, 'a site file')
    flags.DEFINE_string('why', 'a list of days', 'a line for the journal')
    flags.DEFINE_list('seeds', [], 'other seeds than the days have')
    flags.DEFINE_integer('jobs', 4, 'how many days to play at once', 1, 8)
    flags.mark_flags_as_required(['bench', 'site'])
    app.run(main)
