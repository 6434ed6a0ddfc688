"""Play days on the users' bench and print one table of what broke.

Usage: python -m tools.play --bench=PROGRAM --site=FILE [--seed=N] DAY...
A day is a name of the site, 'mix', or a TOML file as in bench/days/.
"""

import re
import subprocess
import sys
from collections.abc import Iterator, Sequence

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
    broken = 0
    _say(f'{"day":28} worth served refused failed exits rules')
    for day in arguments[1:]:
        played = read_report(day, _play(day))
        broken += bool(played.rules)
        _say(
            f'{played.day:28} {played.worth:>5} {played.served:>6} '
            f'{played.refused:>7} {played.failed:>6} {played.exits:>5} '
            f'{played.rules}',
        )
    return int(bool(broken))


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


def _play(day: str) -> str:
    command = [_FLAGS.bench, 'run', _FLAGS.site, day, '--why', _FLAGS.why]
    if _FLAGS.seed:
        command.extend(('--seed', str(_FLAGS.seed)))
    played = subprocess.run(
        command,
        capture_output=True,
        check=False,
        text=True,
        timeout=_SECONDS,
    )
    return played.stdout


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, "the users' bench program")
    flags.DEFINE_string('site', None, 'a site file')
    flags.DEFINE_string('why', 'a list of days', 'a line for the journal')
    flags.DEFINE_integer('seed', 0, 'another seed than the days have')
    flags.mark_flags_as_required(['bench', 'site'])
    app.run(main)
