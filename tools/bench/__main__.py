"""Run all benchmarks, print the results as JSON and record them.

Usage: python -m tools.bench [--short]
"""

import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import attrs
import msgspec

from cranecart.declarations import Preference
from tools.bench import (
    _control,
    _fleet,
    _placement,
    _plain,
    _policies,
    _probe,
    _relay,
    _start,
    _times,
)
from tools.bench._measure import Line

_ROOT = Path(__file__).parent.parent.parent
_LATEST_FILE = _ROOT / 'bench' / 'latest.json'
_HISTORY_FILE = _ROOT / 'bench' / 'history.jsonl'
_JSON_INDENT = 2
_SEED = 1
_CONTROL_COSTS = (
    'cpu_ms',
    'memory_mb',
    'peer_bytes_sent',
    'peer_bytes_received',
    'peer_messages_sent',
    'platform_reads',
    'platform_writes',
    'all_platform_reads',
    'all_platform_writes',
)


def main() -> int:
    """Run the benchmarks, then print and store the results."""
    started = time.monotonic()
    figures: dict[str, Any] = {
        'commit': _current_commit(),
        'relay': {
            name: attrs.asdict(cost) for name, cost in _relay.measure().items()
        },
        'control': {
            size_kind: _fit_lines(points)
            for size_kind, points in _control.measure().items()
        },
        'probe': _probe.measure(),
        'policies': _policies.measure(),
        'plain': _plain.measure(),
        'start': _start.measure(),
        'times': _times.measure(),
        'fleet': _fleet.measure(),
        'placement': {
            'plan_ms': _placement.plan_times(),
            'after_loss': {
                prefer.value: _placement.after_loss(prefer, _SEED)
                for prefer in Preference
            },
        },
    }
    figures['seconds'] = time.monotonic() - started
    encoded = msgspec.json.encode(figures)
    text = msgspec.json.format(encoded, indent=_JSON_INDENT).decode()
    _LATEST_FILE.parent.mkdir(exist_ok=True)
    _LATEST_FILE.write_text(f'{text}\n', 'utf-8')
    with _HISTORY_FILE.open('ab') as history:
        history.write(b'%b\n' % encoded)
    sys.stdout.write(f'{text}\n')
    return 0


def _fit_lines(points: _control.Points) -> dict[str, Any]:
    return {
        name: {
            'points': [(size, rates[name]) for size, rates in points],
            **attrs.asdict(
                Line.through([(size, rates[name]) for size, rates in points]),
            ),
        }
        for name in _CONTROL_COSTS
    }


def _current_commit() -> str:
    run = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        cwd=_ROOT,
        capture_output=True,
        check=False,
        text=True,
    )
    return run.stdout.strip()


if __name__ == '__main__':
    sys.exit(main())
