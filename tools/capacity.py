"""Write the tables of docs/CAPACITY.md from the figures of ``make bench``.

Usage: python -m tools.capacity
"""

import re
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

_ROOT = Path(__file__).parent.parent
_PAGE = _ROOT / 'docs' / 'CAPACITY.md'
_LATEST = _ROOT / 'bench' / 'latest.json'

# The target of the users' first letter, a failure domain and a node.
NODES = 45
ALL_NODES = 360
INSTANCES = 750
DOMAINS = 8
ASKED = 2 * INSTANCES / NODES
EVENTS_PER_SECOND = 3900
GOAL_CPU_MS = 35.0
GOAL_MEMORY_MB = 128.0
GOAL_BYTES = 9000.0
GOAL_READS = 2000.0
GOAL_WRITES = 300.0
# Sizes of today: nine nodes in three domains, fifty engines.
TODAY_NODES = 3
TODAY_ASKED = 2 * 17 / TODAY_NODES

Figures = dict[str, Any]
Row = Sequence[object]
Maker = Callable[[Figures], Iterable[Row]]


def main() -> int:
    """Replace every generated section of the page."""
    figures = msgspec.json.decode(_LATEST.read_bytes())
    page = _PAGE.read_text('utf-8')
    makers: dict[str, Maker] = {
        'relay': relay_rows,
        'slopes': slope_rows,
        'node': node_rows,
        'platform': platform_rows,
        'policies': policy_rows,
        'times': time_rows,
        'placement': placement_rows,
    }
    for name, make in makers.items():
        begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
        section = f'{begin}\n{_table(make(figures))}\n{end}'
        pattern = f'{re.escape(begin)}.*?{re.escape(end)}'
        page = re.sub(pattern, section, page, flags=re.DOTALL)
    _PAGE.write_text(page, 'utf-8')
    return 0


def relay_rows(figures: Figures) -> Iterable[Row]:
    """Compare the node with the bare pump."""
    pump, node = figures['relay']['pump'], figures['relay']['node']
    yield 'figure', 'bare pump', 'node', 'ratio or added', 'goal', 'met'
    ratio = node['cpu_us_per_event'] / pump['cpu_us_per_event']
    yield (
        'processor µs a token event',
        _show(pump['cpu_us_per_event']),
        _show(node['cpu_us_per_event']),
        f'{ratio:.2f} times',
        '1.5 times',
        _met(ratio <= 1.5),
    )
    for number, name in enumerate(('p50', 'p95', 'p99')):
        low = pump['first_token_ms'][number]
        high = node['first_token_ms'][number]
        goal = '2 ms' if name == 'p95' else ''
        yield (
            f'first token {name}, ms',
            _show(low),
            _show(high),
            f'{high - low:.1f} ms',
            goal,
            _met(high - low <= 2) if goal else '',
        )
    share = node['cpu_us_per_event'] * EVENTS_PER_SECOND / 1000000
    yield (
        f'processor share at {EVENTS_PER_SECOND} events/s',
        '',
        f'{share:.0%}',
        '',
        'under one core',
        _met(share < 1),
    )


def slope_rows(figures: Figures) -> Iterable[Row]:
    """Show every slope with its base and fit error."""
    yield 'of one idle node', 'against', 'base', 'slope', 'fit error'
    for against, lines in figures['control'].items():
        for name, line in lines.items():
            if name.startswith('all_') and against != 'nodes':
                continue
            yield (
                name,
                against,
                _show(line['base']),
                f'{line["slope"]:.4g}',
                f'{line["error"]:.2g}',
            )


def node_rows(figures: Figures) -> Iterable[Row]:
    """Work out one node's control at today's and at the target size."""
    yield 'control of one node', 'today', 'target size', 'goal', 'met'
    probe = figures['probe']['bytes'] * figures['probe']['per_second']
    for name, title, goal in (
        ('cpu_ms', 'processor, ms/s', GOAL_CPU_MS),
        ('memory_mb', 'memory, MB', GOAL_MEMORY_MB),
        ('peer_bytes_sent', 'bytes/s sent to peers', GOAL_BYTES),
        ('peer_bytes_received', 'bytes/s from peers', GOAL_BYTES),
    ):
        today = _control(figures, name, TODAY_NODES, TODAY_ASKED)
        then = _control(figures, name, NODES, ASKED)
        met = _met(then <= goal)
        yield title, _show(today), _show(then), _show(goal), met
    yield (
        'bytes/s, probes, both ways',
        _show(probe * TODAY_ASKED),
        _show(probe * ASKED),
        _show(GOAL_BYTES),
        _met(probe * ASKED <= GOAL_BYTES),
    )


def platform_rows(figures: Figures) -> Iterable[Row]:
    """Work out the platform's share, idle, at the target size."""
    lines = figures['control']['nodes']
    yield 'platform, idle', 'a node', 'a domain', 'target size', 'goal', 'met'
    for what, goal in (('reads', GOAL_READS), ('writes', GOAL_WRITES)):
        line = lines[f'all_platform_{what}']
        then = line['base'] * DOMAINS + line['slope'] * ALL_NODES
        yield (
            f'{what}/s',
            _show(line['slope']),
            _show(line['base']),
            _show(then),
            _show(goal),
            _met(then <= goal),
        )


def policy_rows(figures: Figures) -> Iterable[Row]:
    """Compare the routing policies on the same load."""
    policies = figures['policies']
    names = list(policies)
    yield 'routing policy', *names
    for name in policies[names[0]]:
        yield (
            name.replace('_', ' '),
            *(_show(policies[policy][name]) for policy in names),
        )


def time_rows(figures: Figures) -> Iterable[Row]:
    """Show the measured times."""
    yield 'time, s', 'least', 'most', 'of'
    for name, seconds in figures['times'].items():
        yield (
            name.replace('_', ' '),
            _show(min(seconds)),
            _show(max(seconds)),
            len(seconds),
        )


def placement_rows(figures: Figures) -> Iterable[Row]:
    """Show decision times and what is stranded after a loss."""
    placement = figures['placement']
    yield 'placement in one failure domain', 'figure'
    for replicas, milliseconds in placement['plan_ms']:
        yield (
            f'plan of {replicas} replicas from nothing, ms',
            _show(
                milliseconds,
            ),
        )
    for prefer, after in placement['after_loss'].items():
        for name, number in after.items():
            title = name.replace('_', ' ')
            yield f'{prefer}, 1 in 100 lost: {title}', _show(number)


def _control(
    figures: Figures,
    name: str,
    nodes: float,
    asked: float,
) -> float:
    control = figures['control']
    by_nodes = control['nodes'][name]
    by_instances = control['instances'][name]
    base: float = by_nodes['base'] + by_nodes['slope'] * nodes
    # Memory holds every instance of the domain; all else goes with those
    # that a node asks, which are half of them with the measured four.
    instances = asked * nodes / 2 if name == 'memory_mb' else 2 * asked
    return base + float(by_instances['slope']) * instances


def _table(rows: Iterable[Row]) -> str:
    head, *rest = ['| {} |'.format(' | '.join(map(str, row))) for row in rows]
    rule = re.sub('[^|]+', ' --- ', head)
    return '\n'.join((head, rule, *rest))


def _line(row: Row) -> str:
    cells = ' | '.join(map(str, row))
    return f'| {cells} |'


def _show(number: float) -> str:
    if abs(number) >= 100:
        return f'{number:,.0f}'
    return f'{number:.3g}'


def _met(holds: bool) -> str:
    return 'yes' if holds else '**no**'


if __name__ == '__main__':
    sys.exit(main())
