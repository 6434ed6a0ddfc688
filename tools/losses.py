"""List what became of the requests of a run, by window and cause.

Usage: python -m tools.losses --log=FILE [--by=NAME ...] [--seconds=N]
[--log_successes=FRACTION] [--report=FILE] [--plot=FILE]. The log is the
benchmark's output with --log all, or the concatenated logs of all nodes. Nodes
log every request if 'log_successes' is 1 in deploy/node.json; with a smaller
fraction, given here too, answered requests are estimated from the logged ones.
--by (model by default, may be repeated) divides each window by model, route,
rank, organisation, failure_domain or node; the failure domain is that of the
node that received the request. With --report the costs in the benchmark report
are printed too. The ideal detects every failure at once and has capacity for all
requests: it serves everything in time.
"""

import json
import operator
import sys
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from absl import app, flags

from tools.outcomes import (
    RequestOutcome,
    Tally,
    Verdict,
    request_outcomes,
    tally_by,
)
from tools.repairs import LogEvent, read_events

_FLAGS = flags.FLAGS
# Below this, a day of some thousand requests has no sampled ones.
_MIN_FRACTION = 0.001
_MODEL = 'model'
_DIMENSIONS = (
    _MODEL,
    'route',
    'rank',
    'organisation',
    'failure_domain',
    'node',
)
_MAX_COST_ROWS = 8
_HISTOGRAM_BINS = 80


def replicas_by_second(
    events: Iterable[LogEvent],
    started_at: float,
) -> Mapping[int, Counter[str]]:
    """Return the number of open replicas by model at the end of each second."""
    models: dict[str, str] = {}
    open_replicas: set[str] = set()
    counts_by_second: dict[int, Counter[str]] = {}
    for event in events:
        match event['event']:
            case 'replica_open':
                models[event['replica']] = event['model']
                open_replicas.add(event['replica'])
            case 'replica_stopped' | 'replica_closing':
                open_replicas.discard(event['replica'])
        second = int(event['time'] - started_at)
        counts_by_second[second] = Counter(
            models[name] for name in open_replicas
        )
    return counts_by_second


def _print_table(
    outcomes: Sequence[RequestOutcome],
    replicas: Mapping[int, Counter[str]],
    started_at: float,
) -> None:
    names = _FLAGS.by
    tallies = tally_by(
        outcomes,
        lambda outcome: (
            _window_start(outcome.at - started_at),
            *(getattr(outcome, name) for name in names),
        ),
    )
    for (second, *group), tally in sorted(tallies.items()):
        columns = [f'{second:5}', *(f'{name:14}' for name in group)]
        if _MODEL in names:
            last_second = second + _FLAGS.seconds - 1
            open_counts = replicas.get(last_second, Counter())
            model = group[names.index(_MODEL)]
            columns.append(f'open {open_counts[model]:3}')
        _print_line(f'{" ".join(columns)} {tally}')


def _window_start(second: float) -> int:
    seconds: int = _FLAGS.seconds
    return int(second) // seconds * seconds


def _print_totals(outcomes: Sequence[RequestOutcome]) -> None:
    for name in _DIMENSIONS:
        _print_line(f'by {name.replace("_", " ")}, most losses first')
        tallies = tally_by(outcomes, operator.attrgetter(name))
        rows = sorted(tallies.items(), key=_lost_in_row, reverse=True)
        for key, tally in rows:
            _print_line(f'  {key:32} {tally}')


def _lost_in_row(row: tuple[str, Tally]) -> int:
    return row[1].lost


def _print_costs(report: Mapping[str, Any]) -> None:
    costs = sorted(report['prices'], key=lambda row: -row[2])
    for name, amount, worth in costs[:_MAX_COST_ROWS]:
        _print_line(f'cost {worth:7.4f}  {amount} {name}')
    _print_line(f'worth {report["G"]:.3f} of 1 for the ideal')


def _plot(
    outcomes: Sequence[RequestOutcome],
    replicas: Mapping[int, Counter[str]],
    started_at: float,
    target: str,
) -> None:
    """Plot lost requests by cause and the open replicas over time."""
    # Imported here because it takes a second and is only needed for plots.
    from matplotlib import pyplot  # noqa: PLC0415, WPS433

    figure, (loss_axes, replica_axes) = pyplot.subplots(
        2, sharex=True, figsize=(11, 7)
    )
    causes = Counter(
        outcome.cause
        for outcome in outcomes
        if outcome.verdict is not Verdict.IN_TIME
    )
    times = [
        [
            outcome.at - started_at
            for outcome in outcomes
            if outcome.cause == cause
        ]
        for cause in causes
    ]
    if times:
        loss_axes.hist(
            times, bins=_HISTOGRAM_BINS, stacked=True, label=list(causes)
        )
        loss_axes.legend(fontsize='small')
    loss_axes.set_ylabel('requests lost')
    seconds = [second for second in sorted(replicas) if second >= 0]
    for model in sorted(set().union(*replicas.values())):
        replica_axes.plot(
            seconds, [replicas[at][model] for at in seconds], label=model
        )
    replica_axes.legend(fontsize='small')
    replica_axes.set_ylabel('open replicas')
    replica_axes.set_xlabel('seconds')
    figure.savefig(target)


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')


def main(_arguments: Sequence[str]) -> int:
    """Print the lost requests of a run and plot them if requested."""
    events = read_events(Path(_FLAGS.log).read_text('utf-8'))
    outcomes = sorted(
        request_outcomes(events, _FLAGS.log_successes),
        key=operator.attrgetter('at'),
    )
    if not outcomes:
        _print_line('the log has no requests')
        return 1
    started_at = outcomes[0].at
    replicas = replicas_by_second(events, started_at)
    _print_table(outcomes, replicas, started_at)
    _print_totals(outcomes)
    if _FLAGS.report:
        _print_costs(json.loads(Path(_FLAGS.report).read_text('utf-8')))
    if _FLAGS.plot:
        _plot(outcomes, replicas, started_at, _FLAGS.plot)
    return 0


if __name__ == '__main__':
    flags.DEFINE_string('log', None, 'output of the benchmark')
    flags.DEFINE_string('report', '', 'benchmark report of the same run')
    flags.DEFINE_string('plot', '', 'image file to plot to')
    flags.DEFINE_integer('seconds', 2, 'seconds per row', 1)
    flags.DEFINE_multi_enum('by', [_MODEL], _DIMENSIONS, 'columns of the rows')
    flags.DEFINE_float(
        'log_successes',
        1,
        'fraction of answered requests in the log',
        _MIN_FRACTION,
        1,
    )
    flags.mark_flag_as_required('log')
    app.run(main)
