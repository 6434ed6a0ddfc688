"""Play two sources on the same days and seeds, and judge the difference.

Usage: python -m tools.pairs --bench=PROGRAM --sites=FILE,... --before=CHECKOUT
--after=CHECKOUT [--seeds=N,...] DAY...
The processor's time is not charged unless --cpu is given. Two plays of one day
and seed differ by 0.1 and more, so that nothing is told from one of them.
"""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import attrs
from absl import app, flags
from scipy import stats

from tools.plays import Bench, Given, combine

_FLAGS = flags.FLAGS
_CONFIDENCE = 0.95
_FEWEST = 2


@attrs.frozen
class Difference:
    """The mean difference of pairs, with the interval that may hold it."""

    mean: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """Say what may be concluded; an interval with zero says nothing."""
        if self.low > 0:
            return 'a gain'
        if self.high < 0:
            return 'a loss'
        return 'not told apart'


def compare(pairs: Sequence[tuple[float, float]]) -> Difference | None:
    """Judge pairs of what was before and after, by Student's distribution."""
    if len(pairs) < _FEWEST:
        return None
    before, after = zip(*pairs, strict=True)
    judged = stats.ttest_rel(after, before)
    interval = judged.confidence_interval(_CONFIDENCE)
    mean = sum(after) / len(after) - sum(before) / len(before)
    return Difference(mean, float(interval.low), float(interval.high))


def main(arguments: Sequence[str]) -> int:
    """Play the pairs and print them; return whether all kept the rules."""
    checkouts = [Path(_FLAGS.before), Path(_FLAGS.after)]
    bench = Bench(
        Path(_FLAGS.bench),
        _FLAGS.why,
        _FLAGS.jobs,
        is_cpu_free=not _FLAGS.cpu,
    )
    bench.build(checkouts)
    sites = list(map(Path, _FLAGS.sites))
    plays = combine(checkouts, sites, arguments[1:], _FLAGS.seeds)
    given = list(_tell(bench.play_all(plays)))
    pairs = [
        (before.worth, after.worth)
        for before, after in zip(given[::2], given[1::2], strict=True)
        if before.worth is not None and after.worth is not None
    ]
    _say_difference(compare(pairs), len(pairs))
    return int(any(one.rules for one in given))


def _tell(given: Iterator[Given]) -> Iterator[Given]:
    """Print each pair as it is there."""
    for before in given:
        after = next(given)
        play = after.play
        sys.stdout.write(
            f'{play.site.stem:24} {play.day:10} {play.seed:>13} '
            f'{_figures(before)} | {_figures(after)}\n',
        )
        for one in (before, after):
            if one.rules:
                sys.stdout.write(f'    {one.play.checkout}: {one.rules}\n')
        sys.stdout.flush()
        yield from (before, after)


def _figures(given: Given) -> str:
    worth = given.worth
    if worth is None:
        return 'not played'
    classes = ' '.join(
        f'{part:.2f}' for part in list(given.by_class().values())[:3]
    )
    return (
        f'{worth:.3f} refused {given.part("refused"):.3f} '
        f'failed {given.part("failed"):.3f} by kind {classes}'
    )


def _say_difference(found: Difference | None, count: int) -> None:
    if found is None:
        sys.stdout.write('fewer than two pairs: nothing is told\n')
        return
    sys.stdout.write(
        f'mean difference of {count} pairs: {found.mean:+.3f} '
        f'[{found.low:+.3f}, {found.high:+.3f}]: {found.verdict}\n',
    )


if __name__ == '__main__':
    flags.DEFINE_string('bench', None, "the users' bench program")
    flags.DEFINE_list('sites', None, 'site files')
    flags.DEFINE_string('before', None, 'the checkout to compare with')
    flags.DEFINE_string('after', None, 'the checkout that is judged')
    flags.DEFINE_string('why', 'paired plays', 'a line for the journal')
    flags.DEFINE_list('seeds', [], 'other seeds than the days have')
    flags.DEFINE_integer('jobs', 4, 'how many days to play at once', 1, 8)
    flags.DEFINE_boolean('cpu', False, 'charge processor time')
    flags.mark_flags_as_required(['bench', 'sites', 'before', 'after'])
    app.run(main)
