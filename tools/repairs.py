"""Tell from a played day's logs how replicas were lost and came back.

Usage: python -m tools.repairs LOG...
A log is what the users' bench prints with --log all, or the nodes' own lines.
"""

import contextlib
import itertools
import json
import re
import statistics
import sys
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

_LINE = re.compile(r'(?P<event>\{.*\})\s*$')
_TAIL = 0.95
_MILLISECONDS = 1000
# Evidence that is older belongs to an earlier silence of the replica.
_EVIDENCE_SECONDS = 1.0

Line = Mapping[str, Any]


@attrs.define
class Repairs:
    """What a day's decisions show, in seconds."""

    known: list[float] = attrs.field(factory=list)
    repaired: list[float] = attrs.field(factory=list)
    loaded: list[float] = attrs.field(factory=list)
    never_open: int = 0
    pauses: list[float] = attrs.field(factory=list)
    false_alarms: int = 0
    open_by_second: dict[int, Counter[str]] = attrs.field(factory=dict)


@attrs.define
class _Replica:
    model: str
    placed_at: float
    loads: bool
    open_at: float | None = None
    evidence_at: list[float] = attrs.field(factory=list)
    stopped_at: float | None = None


def read_lines(text: str) -> list[Line]:
    """Return the decisions in a log, in the order of their times.

    A line that a killed process did not finish is passed over.
    """
    matches = (_LINE.search(line) for line in text.splitlines())
    found = itertools.chain.from_iterable(
        _decode(one['event']) for one in matches if one
    )
    return sorted(found, key=lambda line: line['time'])


def _decode(event: str) -> Iterator[Line]:
    with contextlib.suppress(json.JSONDecodeError):
        yield json.loads(event)


def judge_day(lines: Sequence[Line]) -> Repairs:
    """Sum up a day; what was formed before the first loss is its start."""
    replicas = _follow(lines)
    repairs = Repairs()
    lost = [one.stopped_at for one in replicas if one.stopped_at]
    first_loss = min(lost, default=float('inf'))
    for replica in replicas:
        _note_known(repairs, replica)
        if replica.placed_at >= first_loss:
            _note_formed(repairs, replica)
    repairs.pauses = [
        line['gap_ms'] / _MILLISECONDS
        for line in lines
        if line['event'] == 'streamed' and len(line['tried']) > 1
    ]
    repairs.false_alarms = sum(
        line['event'] == 'members_checked'
        and not line['silent']
        and not line['closed']
        for line in lines
    )
    repairs.open_by_second = _open_by_second(replicas)
    return repairs


def _follow(lines: Iterable[Line]) -> list[_Replica]:
    replicas: dict[str, _Replica] = {}
    for line in lines:
        name = line.get('replica')
        if line['event'] == 'placed' and line['state'] == 'serving':
            replicas[line['replica']] = _Replica(
                line['model'],
                line['time'],
                not line['why'].startswith('0 '),
            )
        elif isinstance(name, str) and name in replicas:
            _note_event(replicas[name], line)
    return list(replicas.values())


def _note_event(replica: _Replica, line: Line) -> None:
    match line['event']:
        case 'replica_open' if replica.open_at is None:
            replica.open_at = line['time']
        case 'replica_doubted' if replica.stopped_at is None:
            replica.evidence_at.append(line['time'])
        case 'replica_stopped' if replica.stopped_at is None:
            replica.stopped_at = line['time']


def _note_known(repairs: Repairs, replica: _Replica) -> None:
    stopped_at = replica.stopped_at
    if stopped_at is None:
        return
    recent = [
        at for at in replica.evidence_at if stopped_at - at < _EVIDENCE_SECONDS
    ]
    if recent:
        repairs.known.append(stopped_at - min(recent))


def _note_formed(repairs: Repairs, replica: _Replica) -> None:
    if replica.open_at is None:
        repairs.never_open += 1
        return
    took = replica.open_at - replica.placed_at
    (repairs.loaded if replica.loads else repairs.repaired).append(took)


def _open_by_second(
    replicas: Sequence[_Replica],
) -> dict[int, Counter[str]]:
    opened = [one for one in replicas if one.open_at is not None]
    if not opened:
        return {}
    start = min(one.open_at or 0 for one in opened)
    times = itertools.chain.from_iterable(
        (one.open_at, one.stopped_at) for one in opened
    )
    last = max(at for at in times if at is not None)
    return {
        second: Counter(
            one.model
            for one in opened
            if (one.open_at or 0) <= start + second
            and (one.stopped_at or float('inf')) > start + second
        )
        for second in range(int(last - start) + 1)
    }


def report(repairs: Repairs) -> Iterator[str]:
    """Yield the lines of a report."""
    yield f'evidence to stopped: {_spread(repairs.known)}'
    yield f'placed to open without a load: {_spread(repairs.repaired)}'
    yield f'placed to open with loads: {_spread(repairs.loaded)}'
    yield f'placed and never open: {repairs.never_open}'
    yield f'longest pause of moved streams: {_spread(repairs.pauses)}'
    yield f'checks that found all members alive: {repairs.false_alarms}'
    yield 'replicas open, by second from the first one:'
    for second, models in repairs.open_by_second.items():
        counts = ' '.join(f'{name}={models[name]}' for name in sorted(models))
        yield f'{second:5} {models.total():3} {counts}'


def _spread(seconds: Sequence[float]) -> str:
    if not seconds:
        return 'none'
    ranked = sorted(seconds)
    tail = ranked[int(len(ranked) * _TAIL)]
    middle = statistics.median(ranked)
    return f'p50 {middle:.3f} s, p95 {tail:.3f} s of {len(ranked)}'


def main(arguments: Sequence[str]) -> None:
    """Print the report of each log."""
    for name in arguments:
        lines = read_lines(Path(name).read_text('utf-8'))
        sys.stdout.write(f'{name}\n')
        sys.stdout.writelines(f'{line}\n' for line in report(judge_day(lines)))


if __name__ == '__main__':
    main(sys.argv[1:])
