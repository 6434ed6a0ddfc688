"""Stop nearly full targets for a moment and look for requests that are lost.

Usage: python -m tools.silent_targets [--rows=TEXT,...] [--seeds=N]
[--first_seed=N] [--logs=FOLDER]

Without seeds it plays the rows of a table, or those whose names contain one of
the texts; with seeds it plays as many drawn cases. Prints what became of the
requests and exits with 1 if anything was violated; the logs of such cases are
kept in a folder of their own.
"""

import shutil
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path

import curio
from absl import app, flags

from tests.lib.full_target_cases import Case
from tests.lib.full_target_deployment import Deployment
from tests.lib.full_target_rows import ROWS, draw_case

_FLAGS = flags.FLAGS
_COLUMNS = (
    'case',
    'whole',
    'cut',
    'refused',
    'again',
    'moved',
    'repeats',
    'at once',
    'pause',
    'failed attempts',
)
_FORMAT = '{:<30} {:>5} {:>4} {:<12} {:>5} {:>5} {:>7} {:>7} {:>6.5}  {}'


def main(_arguments: Sequence[str]) -> int:
    """Play the cases; return 1 if there were violations, else 0."""
    seeds = range(_FLAGS.first_seed, _FLAGS.first_seed + _FLAGS.seeds)
    cases = {f'seed {seed}': draw_case(seed) for seed in seeds}
    if not cases:
        cases = {
            name: case
            for name, case in ROWS.items()
            if any(text in name for text in _FLAGS.rows)
        }
    _print(_FORMAT.format(*_COLUMNS))
    violated = sum(_play(name, case) for name, case in cases.items())
    _print(f'{violated} of {len(cases)} cases with violations')
    return int(bool(violated))


def _play(name: str, case: Case) -> bool:
    """Play one case and print its line; return whether it was violated."""
    folder = Path(tempfile.mkdtemp(dir=_FLAGS.logs or None))
    outcome = curio.run(Deployment(case, folder).run)
    violations = outcome.violations(case)
    _print(
        _FORMAT.format(
            name,
            outcome.whole,
            len(outcome.cut),
            _counts_text(outcome.refused),
            outcome.retried,
            outcome.moved,
            outcome.repeated,
            outcome.most_at_once,
            f'{outcome.longest_pause:.2f}',
            _counts_text(outcome.failures),
        )
    )
    if violations:
        (folder / 'outcome.txt').write_text(f'{name}\n{case}\n{outcome}\n')
        _print(f'    {", ".join(violations)}: {folder}')
    else:
        shutil.rmtree(folder)
    return bool(violations)


def _counts_text(counts: Mapping[int, int] | Mapping[str, int]) -> str:
    return ', '.join(f'{name}: {count}' for name, count in counts.items())


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _define_flags() -> None:
    flags.DEFINE_list('rows', [''], 'texts in the names of the rows to play')
    flags.DEFINE_integer('seeds', 0, 'number of drawn cases')
    flags.DEFINE_integer('first_seed', 1, 'seed of the first drawn case')
    flags.DEFINE_string('logs', '', 'folder for the logs of violated cases')


if __name__ == '__main__':
    _define_flags()
    app.run(main)
