"""Run scenarios on the external benchmark and print a table of results.

Usage: python -m tools.play --bench=PROGRAM --site=FILE [--seeds=N,...] DAY...
DAY is a scenario: a name from the site file, 'mix', or a TOML file as in
bench/days/. Results vary between runs, so compare changes with several seeds.
"""

import statistics
import sys
from collections.abc import Sequence
from pathlib import Path

from absl import app, flags

from tools.plays import Benchmark, RunResult, run_matrix

_FLAGS = flags.FLAGS


def main(arguments: Sequence[str]) -> int:
    """Run the scenarios; return 1 if a run violated a rule, else 0."""
    checkout = Path.cwd()
    bench = Benchmark(Path(_FLAGS.bench), _FLAGS.why, _FLAGS.jobs)
    bench.build([checkout])
    runs = run_matrix(
        [checkout], [Path(_FLAGS.site)], arguments[1:], _FLAGS.seeds
    )
    _print_line(f'{"day":28} {"seed":>13} worth served refused failed rules')
    run_results = []
    for result in bench.run_all(runs):
        run_results.append(result)
        _print_row(result)
    _print_mean(run_results)
    return int(any(result.violations for result in run_results))


def _print_row(result: RunResult) -> None:
    name = result.run.day.rpartition('/')[2].removesuffix('.toml')
    worth = '' if result.worth is None else f'{result.worth:.3f}'
    _print_line(
        f'{name:28} {result.run.seed:>13} {worth:>5} '
        f'{result.share("served"):6.3f} {result.share("refused"):7.3f} '
        f'{result.share("failed"):6.3f} {result.violations}',
    )


def _print_mean(run_results: Sequence[RunResult]) -> None:
    worth = [result.worth for result in run_results if result.worth is not None]
    if worth:
        _print_line(
            f'mean worth of {len(worth)} runs: {statistics.mean(worth):.3f}'
        )


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, 'the benchmark program')
    flags.DEFINE_string('site', None, 'a site file')
    flags.DEFINE_string(
        'why', 'list of scenarios', 'purpose, as recorded in the journal'
    )
    flags.DEFINE_list('seeds', [], 'seeds that replace those of the scenarios')
    flags.DEFINE_integer('jobs', 4, 'number of runs in parallel', 1, 8)
    flags.mark_flags_as_required(['bench', 'site'])
    app.run(main)
