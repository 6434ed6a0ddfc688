"""What the tool reads out of a played day's logs."""

import json
import unittest

from tools.repairs import judge_day, read_lines, report

_EVENTS = (
    {'time': 1, 'event': 'placed', 'why': '4 members must load'},
    {'time': 3, 'event': 'replica_open'},
    {'time': 4, 'event': 'replica_doubted', 'evidence': 'an old silence'},
    {'time': 10.0, 'event': 'replica_doubted', 'evidence': 'silent'},
    {'time': 10.01, 'event': 'replica_doubted', 'evidence': 'silent'},
    {'time': 10.04, 'event': 'replica_stopped'},
    {'time': 10.06, 'event': 'replica_stopped'},
    {
        'time': 10.1,
        'event': 'placed',
        'why': '0 members must load',
        'name': 'b',
    },
    {'time': 10.7, 'event': 'replica_open', 'name': 'b'},
    {'time': 11, 'event': 'placed', 'why': '1 members must load', 'name': 'c'},
    {'time': 12, 'event': 'streamed', 'gap_ms': 250, 'tried': ['x', 'y']},
    {'time': 12, 'event': 'streamed', 'gap_ms': 50, 'tried': ['x']},
    {'time': 13, 'event': 'members_checked', 'silent': [], 'closed': []},
)


def _log() -> str:
    lines = []
    for event in _EVENTS:
        name = event.get('name', 'a')
        full = {'replica': name, 'model': 'm', 'state': 'serving', **event}
        lines.append(f'  3.1 edge-1 {json.dumps(full)}')
    return '\n'.join(['a heading', *reversed(lines)])


class RepairsTest(unittest.TestCase):
    """One replica is lost, one comes back, one never opens."""

    def test_times(self) -> None:
        """From evidence to stopped, and from placed to open."""
        repairs = judge_day(read_lines(_log()))
        self.assertEqual([round(one, 3) for one in repairs.known], [0.04])
        self.assertEqual([round(one, 3) for one in repairs.repaired], [0.6])
        self.assertEqual(repairs.loaded, [])
        self.assertEqual(repairs.never_open, 1)
        self.assertEqual(repairs.pauses, [0.25])
        self.assertEqual(repairs.false_alarms, 1)

    def test_open_by_second(self) -> None:
        """A replica counts until it has stopped."""
        repairs = judge_day(read_lines(_log()))
        counts = [one.total() for one in repairs.open_by_second.values()]
        self.assertEqual(counts, [1, 1, 1, 1, 1, 1, 1, 1])

    def test_a_log_without_decisions(self) -> None:
        """There is nothing to tell, and no error."""
        self.assertIn('none', next(iter(report(judge_day(read_lines('x'))))))
