"""Compare two checkouts on the same scenarios and seeds.

Usage: python -m tools.pairs --bench=PROGRAM --sites=FILE,... --before=CHECKOUT
--after=CHECKOUT [--seeds=N,...] DAY...
Processor time is not charged unless --cpu is given. Two runs of one scenario
and seed differ by 0.1 and more in score, so a single pair is not conclusive.
"""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import attrs
from absl import app, flags
from scipy import stats

from tools.plays import Benchmark, RunResult, run_matrix

_FLAGS = flags.FLAGS
_CONFIDENCE = 0.95
_MIN_PAIRS = 2


@attrs.frozen
class Difference:
    """Mean difference of pairs with its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """Classify the difference; an interval with zero is inconclusive."""
        if self.low > 0:
            return 'improvement'
        if self.high < 0:
            return 'regression'
        return 'inconclusive'


def compare(pairs: Sequence[tuple[float, float]]) -> Difference | None:
    """Compare pairs (before, after) by the paired t-test."""
    if len(pairs) < _MIN_PAIRS:
        return None
    before, after = zip(*pairs, strict=True)
    test = stats.ttest_rel(after, before)
    interval = test.confidence_interval(_CONFIDENCE)
    mean = sum(after) / len(after) - sum(before) / len(before)
    return Difference(mean, float(interval.low), float(interval.high))


def main(arguments: Sequence[str]) -> int:
    """Run and print the pairs; return 1 if a run violated a rule, else 0."""
    checkouts = [Path(_FLAGS.before), Path(_FLAGS.after)]
    bench = Benchmark(
        Path(_FLAGS.bench),
        _FLAGS.why,
        _FLAGS.jobs,
        ignores_cpu_cost=not _FLAGS.cpu,
    )
    bench.build(checkouts)
    sites = list(map(Path, _FLAGS.sites))
    runs = run_matrix(checkouts, sites, arguments[1:], _FLAGS.seeds)
    run_results = list(_print_pairs(bench.run_all(runs)))
    pairs = [
        (before.worth, after.worth)
        for before, after in zip(
            run_results[::2], run_results[1::2], strict=True
        )
        if before.worth is not None and after.worth is not None
    ]
    _print_difference(compare(pairs), len(pairs))
    return int(any(result.violations for result in run_results))


def _print_pairs(run_results: Iterator[RunResult]) -> Iterator[RunResult]:
    """Print each pair as soon as it is complete."""
    for before in run_results:
        after = next(run_results)
        run = after.run
        sys.stdout.write(
            f'{run.site.stem:24} {run.day:10} {run.seed:>13} '
            f'{_format_result(before)} | {_format_result(after)}\n',
        )
        for result in (before, after):
            if result.violations:
                sys.stdout.write(
                    f'    {result.run.checkout}: {result.violations}\n'
                )
        sys.stdout.flush()
        yield from (before, after)


def _format_result(result: RunResult) -> str:
    worth = result.worth
    if worth is None:
        return 'not run'
    classes = ' '.join(
        f'{part:.2f}' for part in list(result.worth_by_class().values())[:3]
    )
    return (
        f'{worth:.3f} refused {result.share("refused"):.3f} '
        f'failed {result.share("failed"):.3f} by class {classes}'
    )


def _print_difference(difference: Difference | None, count: int) -> None:
    if difference is None:
        sys.stdout.write('fewer than two complete pairs: no comparison\n')
        return
    sys.stdout.write(
        f'mean difference of {count} pairs: {difference.mean:+.3f} '
        f'[{difference.low:+.3f}, {difference.high:+.3f}]: '
        f'{difference.verdict}\n',
    )


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, 'the benchmark program')
    flags.DEFINE_list('sites', None, 'site files')
    flags.DEFINE_string('before', None, 'the checkout to compare with')
    flags.DEFINE_string('after', None, 'the changed checkout')
    flags.DEFINE_string(
        'why', 'paired runs', 'purpose, as recorded in the journal'
    )
    flags.DEFINE_list('seeds', [], 'seeds that replace those of the scenarios')
    flags.DEFINE_integer('jobs', 4, 'number of runs in parallel', 1, 8)
    flags.DEFINE_boolean('cpu', False, 'charge processor time')
    flags.mark_flags_as_required(['bench', 'sites', 'before', 'after'])
    app.run(main)
