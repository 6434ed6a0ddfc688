"""Tell second by second where a played day lost, and by which cause.

Usage: python -m tools.losses --log=FILE [--report=FILE] [--plot=FILE]
[--seconds=N]. The log is what the users' bench prints with --log all; nodes
log every request where 'log_successes' is 1 in deploy/node.json. The report is
the bench's own; its prices stand beside. The ideal knows every death at once
and has capacity for all: it serves everything in time.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from tools.repairs import Line, read_lines

_FLAGS = flags.FLAGS
_IN_TIME = 'in time'
_MILLISECONDS = 1000
_MOST_PRICES = 8
_BARS = 80
# A second and the model whose requests are counted there.
_Row = tuple[int, str]


@attrs.frozen
class Fate:
    """What became of one request, and why."""

    at: float
    model: str
    organisation: str
    node: str
    cause: str


def fates(lines: Iterable[Line]) -> Iterator[Fate]:
    """Judge every request whose whole trace was logged."""
    traces: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        traces[line.get('request', '')].append(line)
    traces.pop('', None)
    for trace in traces.values():
        by_event = {line['event']: line for line in trace}
        admitted = by_event.get('admitted')
        if admitted is not None:
            yield Fate(
                admitted['at'],
                admitted['model'] or 'plain service',
                admitted['organisation'],
                admitted['node'],
                _cause(admitted, by_event),
            )


def _cause(admitted: Line, by_event: Mapping[str, Line]) -> str:
    match by_event:
        case {'refused': refused}:
            begun = ', cut' if refused['begun'] else ''
            return f'{refused["code"]}{begun}'
        case {'streamed': streamed}:
            return _cause_of_stream(admitted, streamed)
        case {'answered': answered}:
            is_late = answered['after'] > admitted['objective']
            return 'answered late' if is_late else _IN_TIME
    return 'client left' if 'client_left' in by_event else 'not told'


def _cause_of_stream(admitted: Line, streamed: Line) -> str:
    moved = ', moved' if len(streamed['tried']) > 1 else ''
    if streamed['first_ms'] > admitted['objective'] * _MILLISECONDS:
        return f'first event late{moved}'
    if streamed['gap_ms'] > admitted['pause'] * _MILLISECONDS:
        return f'pause{moved}'
    return _IN_TIME


def replicas_by_second(
    lines: Iterable[Line],
    begins: float,
) -> Mapping[int, Counter[str]]:
    """Return how many replicas of each model were open at each second's end."""
    models: dict[str, str] = {}
    is_open: set[str] = set()
    found: dict[int, Counter[str]] = {}
    for line in lines:
        match line['event']:
            case 'replica_open':
                models[line['replica']] = line['model']
                is_open.add(line['replica'])
            case 'replica_stopped' | 'replica_closing':
                is_open.discard(line['replica'])
        second = int(line['time'] - begins)
        found[second] = Counter(models[name] for name in is_open)
    return found


def _say_table(
    told: Sequence[Fate],
    replicas: Mapping[int, Counter[str]],
    begins: float,
) -> None:
    rows: dict[_Row, Counter[str]] = defaultdict(Counter)
    for one in told:
        second = int(one.at - begins) // _FLAGS.seconds * _FLAGS.seconds
        rows[second, one.model][one.cause] += 1
    for (second, model), causes in sorted(rows.items()):
        open_now = replicas.get(second + _FLAGS.seconds - 1, Counter())
        came = causes.total()
        lost = came - causes.pop(_IN_TIME, 0)
        _say(
            f'{second:5} {model:14} open {open_now[model]:3} came {came:4} '
            f'lost {lost:4} {_listed(causes)}',
        )


def _say_totals(told: Sequence[Fate]) -> None:
    for name in ('model', 'organisation', 'node', 'cause'):
        came = Counter(getattr(one, name) for one in told)
        lost = Counter(
            getattr(one, name) for one in told if one.cause != _IN_TIME
        )
        _say(f'by {name}: lost of came')
        for key, count in lost.most_common():
            _say(f'  {key:32} {count:6} {came[key]:6}')


def _say_prices(report: Mapping[str, Any]) -> None:
    prices = sorted(report['prices'], key=lambda row: -row[2])
    for name, amount, worth in prices[:_MOST_PRICES]:
        _say(f'price {worth:7.4f}  {amount} {name}')
    _say(f'worth {report["G"]:.3f} of 1 by the ideal')


def _listed(causes: Counter[str]) -> str:
    return '; '.join(
        f'{cause} {count}' for cause, count in causes.most_common()
    )


def _plot(
    told: Sequence[Fate],
    replicas: Mapping[int, Counter[str]],
    begins: float,
    target: str,
) -> None:
    """Draw losses by cause and the open replicas over the day's seconds."""
    # Imported here, as it takes a second and most calls draw nothing.
    from matplotlib import pyplot  # noqa: PLC0415, WPS433

    figure, (losses, counts) = pyplot.subplots(2, sharex=True, figsize=(11, 7))
    causes = Counter(one.cause for one in told if one.cause != _IN_TIME)
    times = [
        [one.at - begins for one in told if one.cause == cause]
        for cause in causes
    ]
    if times:
        losses.hist(times, bins=_BARS, stacked=True, label=list(causes))
        losses.legend(fontsize='small')
    losses.set_ylabel('requests lost')
    seconds = [second for second in sorted(replicas) if second >= 0]
    for model in sorted(set().union(*replicas.values())):
        counts.plot(
            seconds, [replicas[at][model] for at in seconds], label=model
        )
    counts.legend(fontsize='small')
    counts.set_ylabel('open replicas')
    counts.set_xlabel('seconds')
    figure.savefig(target)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')


def main(_arguments: Sequence[str]) -> int:
    """Print a day's losses, and draw them where that is asked for."""
    lines = read_lines(Path(_FLAGS.log).read_text('utf-8'))
    told = sorted(fates(lines), key=lambda one: one.at)
    if not told:
        _say('no request was logged')
        return 1
    begins = told[0].at
    replicas = replicas_by_second(lines, begins)
    _say_table(told, replicas, begins)
    _say_totals(told)
    if _FLAGS.report:
        _say_prices(json.loads(Path(_FLAGS.report).read_text('utf-8')))
    if _FLAGS.plot:
        _plot(told, replicas, begins, _FLAGS.plot)
    return 0


if __name__ == '__main__':
    flags.DEFINE_string('log', None, 'what the bench printed')
    flags.DEFINE_string('report', '', "the bench's report of the same play")
    flags.DEFINE_string('plot', '', 'an image to draw')
    flags.DEFINE_integer('seconds', 2, 'how many seconds a row has', 1)
    flags.mark_flag_as_required('log')
    app.run(main)
