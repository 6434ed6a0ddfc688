"""Play days of one kind of trouble, aimed at each service and domain.

Usage: python -m tools.kinds --bench=PROGRAM --site=FILE [--seeds=N,...]
[--only=PATTERN] [--keep=FOLDER] [--below=WORTH] TABLE...
A table, as bench/kinds/*.toml, has rows of fields of an impairment. 'hows'
lists variants, each a day. 'aims' tells what it is aimed at: 'service',
'model' (services that serve models), 'plain' (those that don't), 'zone',
'each' (one zone of a service at a time) or nothing; the names are the site's.
'beside' lists impairments that strike at the same times, and 'planned' tells
planned work. Of plays that break a rule or give little, log and report are kept.
"""

import itertools
import json
import re
import sys
import tempfile
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from tools.plays import Bench, Given, Play

_FLAGS = flags.FLAGS
# Impairments last five seconds where nothing else is said: two of them, with
# the time that a machine needs to be in touch again, and the end of the day.
_SECONDS = 17.0
_STRIKES = (3.0, 9.0)
_SEED = '7'
_OWN_FIELDS = frozenset(('hows', 'aims', 'beside', 'planned'))

_Fields = Mapping[str, Any]


@attrs.frozen
class Trouble:
    """A day of one kind of trouble, or of some that strike together."""

    faults: Sequence[_Fields]
    planned: bool = False

    @property
    def kind(self) -> str:
        """Return the kinds of what strikes."""
        return ' + '.join(str(one['kind']) for one in self.faults)

    @property
    def how(self) -> str:
        """Return the variants of what strikes."""
        return ' + '.join(str(one.get('how') or '-') for one in self.faults)

    @property
    def aim(self) -> str:
        """Return where the first of them strikes."""
        first = self.faults[0]
        named = (first.get(name) for name in ('service', 'zone', 'class'))
        return ' '.join(str(name) for name in named if name) or 'all'

    @property
    def name(self) -> str:
        """Return a name that a file may have."""
        told = f'{self.kind}-{self.how}-{self.aim}'
        return re.sub('[^a-z0-9]+', '-', told).strip('-')

    def day(self, seed: str) -> str:
        """Return the day as the users' bench reads it."""
        parts = {'plan' if self.planned else 'faults': self.faults}
        lists = (
            f'{name} = [\n{_strikes(parts.get(name, ()))}]\n'
            for name in ('plan', 'faults')
        )
        return (
            f'[[day]]\nname = "{self.name}"\nseed = {seed}\n'
            f'length_s = {_SECONDS}\n{"".join(lists)}'
        )


def troubles(rows: Sequence[_Fields], site: _Fields) -> Iterator[Trouble]:
    """Return a day for each variant of a row and each aim at the site."""
    for row in rows:
        own = {name: row[name] for name in row if name not in _OWN_FIELDS}
        beside = row.get('beside', ())
        for how, aim in itertools.product(
            row.get('hows', ('',)),
            _aims(row.get('aims', ''), site),
        ):
            variant = {'how': how} if how else {}
            struck = {**own, **variant, **aim}
            yield Trouble((struck, *beside), row.get('planned', False))


def _aims(aims: str, site: _Fields) -> list[Mapping[str, str]]:
    services = site['services']
    match aims:
        case 'service':
            return [{'service': one['name']} for one in services]
        case 'model':
            return [
                {'service': one['name']} for one in services if _serves(one)
            ]
        case 'plain':
            return [
                {'service': one['name']} for one in services if not _serves(one)
            ]
        case 'zone':
            return [{'zone': zone['name']} for zone in site['zones']]
        case 'each':
            # One of a service's zones tells what the others would.
            return [
                {'service': one['name'], 'zone': one['servers'][0]['zone']}
                for one in services
            ]
    return [{}]


def _serves(service: _Fields) -> bool:
    return 'model' in service


def _strikes(faults: Sequence[_Fields]) -> str:
    return ''.join(
        f'  {_inline({"at": at, **fault})},\n'
        for at, fault in itertools.product(_STRIKES, faults)
    )


def _inline(fields: _Fields) -> str:
    # Strings, numbers and truths are written alike in JSON and TOML.
    told = (f'{name} = {json.dumps(fields[name])}' for name in fields)
    return f'{{ {", ".join(told)} }}'


def row_of(trouble: Trouble, given: Given) -> str:
    """Return a row of the table, for a page."""
    worth = '' if given.worth is None else f'{given.worth:.3f}'
    cells = (
        trouble.kind,
        trouble.how,
        trouble.aim,
        given.play.seed,
        worth,
        f'{given.part("served"):.3f}',
        f'{given.part("failed"):.3f}',
        given.rules,
    )
    return f'| {" | ".join(cells)} |'


def _keep(trouble: Trouble, given: Given, folder: Path) -> None:
    stem = f'days-{Path(given.play.site).stem}-{trouble.name}'
    target = folder / f'{stem}-{given.play.seed}.txt'
    target.write_text(given.log, 'utf-8')
    report = json.dumps(given.report)
    target.with_suffix('.json').write_text(report, 'utf-8')


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _read(path: str) -> _Fields:
    return tomllib.loads(Path(path).read_text('utf-8'))


def _write(asked: Sequence[tuple[Trouble, str]], folder: Path) -> list[Play]:
    plays = []
    for number, (trouble, seed) in enumerate(asked):
        day = folder / f'{number}.toml'
        day.write_text(trouble.day(seed), 'utf-8')
        plays.append(Play(Path.cwd(), Path(_FLAGS.site), str(day), seed))
    return plays


def main(tables: Sequence[str]) -> int:
    """Play each table's days; return whether any broke a rule."""
    site = _read(_FLAGS.site)
    rows = [row for table in tables[1:] for row in _read(table)['row']]
    wanted = re.compile(_FLAGS.only)
    days = [one for one in troubles(rows, site) if wanted.search(one.name)]
    asked = list(itertools.product(days, _FLAGS.seeds))
    _say('| kind | how | aimed at | seed | worth | served | failed | broken |')
    _say(f'|{" --- |" * 8}')
    with tempfile.TemporaryDirectory() as folder:
        broken = [_tell(*played) for played in _play(asked, Path(folder))]
    return int(any(broken))


def _play(
    asked: Sequence[tuple[Trouble, str]],
    folder: Path,
) -> Iterator[tuple[Trouble, Given]]:
    bench = Bench(Path(_FLAGS.bench), _FLAGS.why, _FLAGS.jobs, True, True)
    bench.build([Path.cwd()])
    plays = _write(asked, folder)
    for (trouble, _), given in zip(asked, bench.play_all(plays)):
        yield trouble, given


def _tell(trouble: Trouble, given: Given) -> bool:
    """Print the row of a play, and return whether it broke a rule."""
    _say(row_of(trouble, given))
    is_poor = given.worth is not None and given.worth < _FLAGS.below
    if given.rules or is_poor:
        _keep(trouble, given, Path(_FLAGS.keep))
    return bool(given.rules)


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, "the users' bench program")
    flags.DEFINE_string('site', None, 'a site file')
    flags.DEFINE_string('why', 'days of one kind', 'a line for the journal')
    flags.DEFINE_string('only', '', 'play days whose name has this pattern')
    flags.DEFINE_string('keep', '.', 'a folder for logs of broken plays')
    flags.DEFINE_float('below', 0, 'keep the logs of plays of less worth')
    flags.DEFINE_list('seeds', [_SEED], 'a play for each of them')
    flags.DEFINE_integer('jobs', 4, 'how many days to play at once', 1, 4)
    flags.mark_flags_as_required(['bench', 'site'])
    app.run(main)
