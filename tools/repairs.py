"""Report from logs how fast lost replicas were detected and replaced.

Usage: python -m tools.repairs LOG...
LOG is the output of the benchmark with --log all, or the log of nodes.
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

_EVENT_LINE = re.compile(r'(?P<event>\{.*\})\s*$')
_TAIL_QUANTILE = 0.95
_MILLISECONDS = 1000
# Older evidence belongs to an earlier unresponsive period of the replica.
_MAX_EVIDENCE_AGE_SECONDS = 1.0

LogEvent = Mapping[str, Any]


@attrs.define
class RecoveryStats:
    """Durations in seconds and counts, taken from the logged decisions."""

    detection_seconds: list[float] = attrs.field(factory=list)
    reuse_seconds: list[float] = attrs.field(factory=list)
    load_seconds: list[float] = attrs.field(factory=list)
    never_opened: int = 0
    stream_pauses: list[float] = attrs.field(factory=list)
    false_alarms: int = 0
    open_by_second: dict[int, Counter[str]] = attrs.field(factory=dict)


@attrs.define
class _Replica:
    model: str
    placed_at: float
    needs_load: bool
    open_at: float | None = None
    evidence_at: list[float] = attrs.field(factory=list)
    stopped_at: float | None = None


def read_events(text: str) -> list[LogEvent]:
    """Return the events of a log in order of time.

    Lines truncated by the kill of a process are skipped.
    """
    matches = (_EVENT_LINE.search(line) for line in text.splitlines())
    decoded = itertools.chain.from_iterable(
        _decode(match['event']) for match in matches if match
    )
    return sorted(decoded, key=lambda event: event['time'])


def _decode(event: str) -> Iterator[LogEvent]:
    with contextlib.suppress(json.JSONDecodeError):
        yield json.loads(event)


def analyze_events(events: Sequence[LogEvent]) -> RecoveryStats:
    """Return the durations and counts of a run.

    Replicas placed before the first loss belong to the start of the run; their
    formation is not measured.
    """
    replicas = _replay(events)
    stats = RecoveryStats()
    stop_times = [
        replica.stopped_at for replica in replicas if replica.stopped_at
    ]
    first_loss = min(stop_times, default=float('inf'))
    for replica in replicas:
        _record_detection(stats, replica)
        if replica.placed_at >= first_loss:
            _record_formation(stats, replica)
    stats.stream_pauses = [
        event['gap_ms'] / _MILLISECONDS
        for event in events
        if event['event'] == 'streamed' and len(event['tried']) > 1
    ]
    stats.false_alarms = sum(
        event['event'] == 'members_checked'
        and not event['silent']
        and not event['closed']
        for event in events
    )
    stats.open_by_second = _open_by_second(replicas)
    return stats


def _replay(events: Iterable[LogEvent]) -> list[_Replica]:
    replicas: dict[str, _Replica] = {}
    for event in events:
        name = event.get('replica')
        if event['event'] == 'placed' and event['state'] == 'serving':
            replicas[event['replica']] = _Replica(
                event['model'],
                event['time'],
                not event['why'].startswith('0 '),
            )
        elif isinstance(name, str) and name in replicas:
            _record_event(replicas[name], event)
    return list(replicas.values())


def _record_event(replica: _Replica, event: LogEvent) -> None:
    match event['event']:
        case 'replica_open' if replica.open_at is None:
            replica.open_at = event['time']
        case 'replica_doubted' if replica.stopped_at is None:
            replica.evidence_at.append(event['time'])
        case 'replica_stopped' if replica.stopped_at is None:
            replica.stopped_at = event['time']


def _record_detection(stats: RecoveryStats, replica: _Replica) -> None:
    stopped_at = replica.stopped_at
    if stopped_at is None:
        return
    recent = [
        at
        for at in replica.evidence_at
        if stopped_at - at < _MAX_EVIDENCE_AGE_SECONDS
    ]
    if recent:
        stats.detection_seconds.append(stopped_at - min(recent))


def _record_formation(stats: RecoveryStats, replica: _Replica) -> None:
    if replica.open_at is None:
        stats.never_opened += 1
        return
    seconds = replica.open_at - replica.placed_at
    (stats.load_seconds if replica.needs_load else stats.reuse_seconds).append(
        seconds
    )


def _open_by_second(
    replicas: Sequence[_Replica],
) -> dict[int, Counter[str]]:
    opened = [replica for replica in replicas if replica.open_at is not None]
    if not opened:
        return {}
    start = min(replica.open_at or 0 for replica in opened)
    times = itertools.chain.from_iterable(
        (replica.open_at, replica.stopped_at) for replica in opened
    )
    last = max(at for at in times if at is not None)
    return {
        second: Counter(
            replica.model
            for replica in opened
            if (replica.open_at or 0) <= start + second
            and (replica.stopped_at or float('inf')) > start + second
        )
        for second in range(int(last - start) + 1)
    }


def report_lines(stats: RecoveryStats) -> Iterator[str]:
    """Yield the lines of the report."""
    yield f'first evidence to stop: {_quantiles(stats.detection_seconds)}'
    yield f'placement to open without a load: {_quantiles(stats.reuse_seconds)}'
    yield f'placement to open with loads: {_quantiles(stats.load_seconds)}'
    yield f'placed but never opened: {stats.never_opened}'
    yield f'longest pause of resumed streams: {_quantiles(stats.stream_pauses)}'
    yield f'checks of members that were all alive: {stats.false_alarms}'
    yield 'open replicas by second, from the first opening:'
    for second, models in stats.open_by_second.items():
        counts = ' '.join(f'{name}={models[name]}' for name in sorted(models))
        yield f'{second:5} {models.total():3} {counts}'


def _quantiles(seconds: Sequence[float]) -> str:
    if not seconds:
        return 'none'
    ranked = sorted(seconds)
    tail = ranked[int(len(ranked) * _TAIL_QUANTILE)]
    middle = statistics.median(ranked)
    return f'p50 {middle:.3f} s, p95 {tail:.3f} s of {len(ranked)}'


def main(arguments: Sequence[str]) -> None:
    """Print the report of each log."""
    for name in arguments:
        events = read_events(Path(name).read_text('utf-8'))
        sys.stdout.write(f'{name}\n')
        sys.stdout.writelines(
            f'{line}\n' for line in report_lines(analyze_events(events))
        )


if __name__ == '__main__':
    main(sys.argv[1:])
