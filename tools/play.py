"""Play days on the users' bench and print one table of what broke.

Usage: python -m tools.play --bench=PROGRAM --site=FILE [--seeds=N,...] DAY...
A day is a name of the site, 'mix', or a TOML file as in bench/days/. Luck
differs from play to play, so that a change is judged by several seeds.
"""

import itertools
import re
import statistics
import subprocess
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor

import attrs
from absl import app, flags

_FLAGS = flags.FLAGS
_ROW = re.compile(
    r'^(?P<day>\S+).*?\s(?P<servers>\d+/\d+)\s+(?P<score>-?[\d.]+)\s+'
    r'(?P<worth>-?[\d.]+)\s+(?P<served>[\d.]+)\s+(?P<refused>[\d.]+)\s+'
    r'(?P<failed>[\d.]+)',
)
_BROKEN = re.compile(r'BROKEN: (.*?) \(else')
_EXITS = re.compile(r'(\d+) exits? of its own')
_SECONDS = 900


@attrs.frozen
class Played:
    """What one play of a day gave; ``rules`` names those that it broke."""

    day: str
    worth: str
    served: str
    refused: str
    failed: str
    rules: str
    exits: str


def main(arguments: Sequence[str]) -> int:
    """Play each day and print its row; return whether all kept the rules."""
    seeds = _FLAGS.seeds or ['']
    plays = list(itertools.product(arguments[1:], seeds))
    # The first call of the bench builds, and builds must not overlap.
    subprocess.run([_FLAGS.bench, 'build'], capture_output=True, check=True)
    _say(f'{"day":28} {"seed":>6} worth served refused failed exits rules')
    played = []
    with ThreadPoolExecutor(_FLAGS.jobs) as pool:
        reports = pool.map(_play, *zip(*plays, strict=True))
        for (day, seed), report in zip(plays, reports, strict=True):
            played.append(read_report(day, report))
            _say_row(played[-1], seed)
    _say_mean(played)
    return int(any(one.rules for one in played))


def read_report(day: str, report: str) -> Played:
    """Find a day's row in what the bench printed."""
    for row in _rows(report):
        rules = _BROKEN.search(row.string)
        exits = _EXITS.search(row.string)
        return Played(
            day.rpartition('/')[2].removesuffix('.toml'),
            row['worth'],
            row['served'],
            row['refused'],
            row['failed'],
            rules.group(1) if rules else '',
            exits.group(1) if exits else '0',
        )
    return Played(day, '', '', '', '', 'not played: no row', '')


def _rows(report: str) -> Iterator[re.Match[str]]:
    matches = (_ROW.match(line) for line in report.splitlines())
    return (match for match in matches if match is not None)


def _play(day: str, seed: str) -> str:
    command = [_FLAGS.bench, 'run', _FLAGS.site, day, '--why', _FLAGS.why]
    if seed:
        command.extend(('--seed', seed))
    played = subprocess.run(
        command,
        capture_output=True,
        check=False,
        text=True,
        timeout=_SECONDS,
    )
    return played.stdout


def _say_row(played: Played, seed: str) -> None:
    _say(
        f'{played.day:28} {seed:>6} {played.worth:>5} {played.served:>6} '
        f'{played.refused:>7} {played.failed:>6} {played.exits:>5} '
        f'{played.rules}',
    )


def _say_mean(played: Sequence[Played]) -> None:
    worth = [float(one.worth) for one in played if one.worth]
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
