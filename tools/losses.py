"""List the lost requests of a benchmark run by second and cause.

Usage: python -m tools.losses --log=FILE [--report=FILE] [--plot=FILE]
[--seconds=N]. The log is the benchmark's output with --log all; nodes log
every request if 'log_successes' is 1 in deploy/node.json. With --report the
costs in the benchmark report are printed too. The ideal detects every failure at
once and has capacity for all requests: it serves everything in time.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from tools.repairs import LogEvent, read_events

_FLAGS = flags.FLAGS
_IN_TIME = 'in time'
_MILLISECONDS = 1000
_MAX_COST_ROWS = 8
_HISTOGRAM_BINS = 80
# A second of the run and the model whose requests are counted.
_Row = tuple[int, str]


@attrs.frozen
class RequestOutcome:
    """Outcome of one request and the cause of a loss."""

    at: float
    model: str
    organisation: str
    node: str
    cause: str


def request_outcomes(events: Iterable[LogEvent]) -> Iterator[RequestOutcome]:
    """Yield the outcome of each request with a logged admission."""
    traces: dict[str, list[LogEvent]] = defaultdict(list)
    for event in events:
        traces[event.get('request', '')].append(event)
    traces.pop('', None)
    for trace in traces.values():
        by_event = {event['event']: event for event in trace}
        admitted = by_event.get('admitted')
        if admitted is not None:
            yield RequestOutcome(
                admitted['at'],
                admitted['model'] or 'plain service',
                admitted['organisation'],
                admitted['node'],
                _cause(admitted, by_event),
            )


def _cause(admitted: LogEvent, by_event: Mapping[str, LogEvent]) -> str:
    match by_event:
        case {'refused': refused}:
            interrupted = ', cut' if refused['begun'] else ''
            return f'{refused["code"]}{interrupted}'
        case {'streamed': streamed}:
            return _stream_cause(admitted, streamed)
        case {'answered': answered}:
            is_late = answered['after'] > admitted['objective']
            return 'answered late' if is_late else _IN_TIME
    return 'client left' if 'client_left' in by_event else 'unknown'


def _stream_cause(admitted: LogEvent, streamed: LogEvent) -> str:
    moved = ', moved' if len(streamed['tried']) > 1 else ''
    if streamed['first_ms'] > admitted['objective'] * _MILLISECONDS:
        return f'first event late{moved}'
    if streamed['gap_ms'] > admitted['pause'] * _MILLISECONDS:
        return f'pause{moved}'
    return _IN_TIME


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
    rows: dict[_Row, Counter[str]] = defaultdict(Counter)
    for outcome in outcomes:
        second = int(outcome.at - started_at) // _FLAGS.seconds * _FLAGS.seconds
        rows[second, outcome.model][outcome.cause] += 1
    for (second, model), causes in sorted(rows.items()):
        open_counts = replicas.get(second + _FLAGS.seconds - 1, Counter())
        received = causes.total()
        lost = received - causes.pop(_IN_TIME, 0)
        _print_line(
            f'{second:5} {model:14} open {open_counts[model]:3} '
            f'received {received:4} lost {lost:4} {_format_causes(causes)}',
        )


def _print_totals(outcomes: Sequence[RequestOutcome]) -> None:
    for name in ('model', 'organisation', 'node', 'cause'):
        received = Counter(getattr(outcome, name) for outcome in outcomes)
        lost = Counter(
            getattr(outcome, name)
            for outcome in outcomes
            if outcome.cause != _IN_TIME
        )
        _print_line(f'by {name}: lost of received')
        for key, count in lost.most_common():
            _print_line(f'  {key:32} {count:6} {received[key]:6}')


def _print_costs(report: Mapping[str, Any]) -> None:
    costs = sorted(report['prices'], key=lambda row: -row[2])
    for name, amount, worth in costs[:_MAX_COST_ROWS]:
        _print_line(f'cost {worth:7.4f}  {amount} {name}')
    _print_line(f'worth {report["G"]:.3f} of 1 for the ideal')


def _format_causes(causes: Counter[str]) -> str:
    return '; '.join(
        f'{cause} {count}' for cause, count in causes.most_common()
    )


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
        outcome.cause for outcome in outcomes if outcome.cause != _IN_TIME
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
    outcomes = sorted(request_outcomes(events), key=lambda outcome: outcome.at)
    if not outcomes:
        _print_line('the log has no admitted requests')
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
    flags.mark_flag_as_required('log')
    app.run(main)
