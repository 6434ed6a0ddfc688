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
_CAPACITY_PAGE = _ROOT / 'docs' / 'CAPACITY.md'
_LATEST_FILE = _ROOT / 'bench' / 'latest.json'

# The users' target size, by failure domain unless in total.
TARGET_DOMAIN_NODES = 45
TARGET_NODES = 360
TARGET_DOMAIN_INSTANCES = 750
TARGET_DOMAINS = 8
TARGET_PROBED_INSTANCES = 2 * TARGET_DOMAIN_INSTANCES / TARGET_DOMAIN_NODES
TARGET_EVENTS_PER_SECOND = 3900
GOAL_CPU_MS_PER_SECOND = 35.0
GOAL_MEMORY_MB = 128.0
GOAL_BYTES_PER_SECOND = 9000.0
GOAL_READS_PER_SECOND = 2000.0
GOAL_WRITES_PER_SECOND = 300.0
# Current size: nine nodes in three domains, fifty engines. Each instance is
# probed by two nodes of its domain.
CURRENT_DOMAIN_NODES = 3
CURRENT_PROBED_INSTANCES = 2 * 17 / CURRENT_DOMAIN_NODES

Figures = dict[str, Any]
Row = Sequence[object]
RowMaker = Callable[[Figures], Iterable[Row]]


def main() -> int:
    """Replace every generated section of the page."""
    figures = msgspec.json.decode(_LATEST_FILE.read_bytes())
    page = _CAPACITY_PAGE.read_text('utf-8')
    row_makers: dict[str, RowMaker] = {
        'relay': relay_rows,
        'slopes': slope_rows,
        'node': node_rows,
        'platform': platform_rows,
        'policies': policy_rows,
        'times': time_rows,
        'placement': placement_rows,
    }
    for name, make_rows in row_makers.items():
        begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
        section = f'{begin}\n{_table(make_rows(figures))}\n{end}'
        pattern = f'{re.escape(begin)}.*?{re.escape(end)}'
        page = re.sub(pattern, section, page, flags=re.DOTALL)
    _CAPACITY_PAGE.write_text(page, 'utf-8')
    return 0


def relay_rows(figures: Figures) -> Iterable[Row]:
    """Compare the node with the minimal relay (pump)."""
    pump, node = figures['relay']['pump'], figures['relay']['node']
    yield 'figure', 'bare pump', 'node', 'ratio or added', 'goal', 'met'
    ratio = node['cpu_us_per_event'] / pump['cpu_us_per_event']
    yield (
        'processor µs a token event',
        _format_number(pump['cpu_us_per_event']),
        _format_number(node['cpu_us_per_event']),
        f'{ratio:.2f} times',
        '1.5 times',
        _format_check(ratio <= 1.5),
    )
    for number, name in enumerate(('p50', 'p95', 'p99')):
        pump_ms = pump['first_token_ms'][number]
        node_ms = node['first_token_ms'][number]
        goal = '2 ms' if name == 'p95' else ''
        yield (
            f'first token {name}, ms',
            _format_number(pump_ms),
            _format_number(node_ms),
            f'{node_ms - pump_ms:.1f} ms',
            goal,
            _format_check(node_ms - pump_ms <= 2) if goal else '',
        )
    share = node['cpu_us_per_event'] * TARGET_EVENTS_PER_SECOND / 1000000
    yield (
        f'processor share at {TARGET_EVENTS_PER_SECOND} events/s',
        '',
        f'{share:.0%}',
        '',
        'under one core',
        _format_check(share < 1),
    )


def slope_rows(figures: Figures) -> Iterable[Row]:
    """List all slopes with base and fit error."""
    yield 'of one idle node', 'against', 'base', 'slope', 'fit error'
    for size_kind, lines in figures['control'].items():
        for name, line in lines.items():
            if name.startswith('all_') and size_kind != 'nodes':
                continue
            yield (
                name,
                size_kind,
                _format_number(line['base']),
                f'{line["slope"]:.4g}',
                f'{line["error"]:.2g}',
            )


def node_rows(figures: Figures) -> Iterable[Row]:
    """Extrapolate the control-plane cost of one node to the target size."""
    yield 'control of one node', 'today', 'target size', 'goal', 'met'
    probe = figures['probe']['bytes'] * figures['probe']['per_second']
    for name, title, goal in (
        ('cpu_ms', 'processor, ms/s', GOAL_CPU_MS_PER_SECOND),
        ('memory_mb', 'memory, MB', GOAL_MEMORY_MB),
        ('peer_bytes_sent', 'bytes/s sent to peers', GOAL_BYTES_PER_SECOND),
        ('peer_bytes_received', 'bytes/s from peers', GOAL_BYTES_PER_SECOND),
    ):
        current = _node_cost(
            figures, name, CURRENT_DOMAIN_NODES, CURRENT_PROBED_INSTANCES
        )
        target = _node_cost(
            figures, name, TARGET_DOMAIN_NODES, TARGET_PROBED_INSTANCES
        )
        met = _format_check(target <= goal)
        yield (
            title,
            _format_number(current),
            _format_number(target),
            _format_number(goal),
            met,
        )
    yield (
        'bytes/s, probes, both ways',
        _format_number(probe * CURRENT_PROBED_INSTANCES),
        _format_number(probe * TARGET_PROBED_INSTANCES),
        _format_number(GOAL_BYTES_PER_SECOND),
        _format_check(probe * TARGET_PROBED_INSTANCES <= GOAL_BYTES_PER_SECOND),
    )


def platform_rows(figures: Figures) -> Iterable[Row]:
    """Extrapolate the platform load of idle nodes to the target size."""
    lines = figures['control']['nodes']
    yield 'platform, idle', 'a node', 'a domain', 'target size', 'goal', 'met'
    for operation, goal in (
        ('reads', GOAL_READS_PER_SECOND),
        ('writes', GOAL_WRITES_PER_SECOND),
    ):
        line = lines[f'all_platform_{operation}']
        target = line['base'] * TARGET_DOMAINS + line['slope'] * TARGET_NODES
        yield (
            f'{operation}/s',
            _format_number(line['slope']),
            _format_number(line['base']),
            _format_number(target),
            _format_number(goal),
            _format_check(target <= goal),
        )


def policy_rows(figures: Figures) -> Iterable[Row]:
    """Compare the routing policies on the same load."""
    policies = figures['policies']
    names = list(policies)
    yield 'routing policy', *names
    for name in policies[names[0]]:
        yield (
            name.replace('_', ' '),
            *(_format_number(policies[policy][name]) for policy in names),
        )


def time_rows(figures: Figures) -> Iterable[Row]:
    """List the measured times."""
    yield 'time, s', 'least', 'most', 'of'
    for name, seconds in figures['times'].items():
        yield (
            name.replace('_', ' '),
            _format_number(min(seconds)),
            _format_number(max(seconds)),
            len(seconds),
        )


def placement_rows(figures: Figures) -> Iterable[Row]:
    """List placement times and unused instances after a loss."""
    placement = figures['placement']
    yield 'placement in one failure domain', 'figure'
    for replicas, milliseconds in placement['plan_ms']:
        yield (
            f'plan of {replicas} replicas from nothing, ms',
            _format_number(
                milliseconds,
            ),
        )
    for prefer, after in placement['after_loss'].items():
        for name, number in after.items():
            title = name.replace('_', ' ')
            yield f'{prefer}, 1 in 100 lost: {title}', _format_number(number)


def _node_cost(
    figures: Figures,
    name: str,
    nodes: float,
    probed_instances: float,
) -> float:
    control_costs = figures['control']
    by_nodes = control_costs['nodes'][name]
    by_instances = control_costs['instances'][name]
    base: float = by_nodes['base'] + by_nodes['slope'] * nodes
    # Memory grows with all instances of the domain, other costs with those
    # that the node probes: half of them in the benchmark with four nodes.
    instances = (
        probed_instances * nodes / 2
        if name == 'memory_mb'
        else 2 * probed_instances
    )
    return base + float(by_instances['slope']) * instances


def _table(rows: Iterable[Row]) -> str:
    head, *rest = ['| {} |'.format(' | '.join(map(str, row))) for row in rows]
    separator = re.sub('[^|]+', ' --- ', head)
    return '\n'.join((head, separator, *rest))


def _line(row: Row) -> str:
    cells = ' | '.join(map(str, row))
    return f'| {cells} |'


def _format_number(number: float) -> str:
    if abs(number) >= 100:
        return f'{number:,.0f}'
    return f'{number:.3g}'


def _format_check(is_met: bool) -> str:
    return 'yes' if is_met else '**no**'


if __name__ == '__main__':
    sys.exit(main())
