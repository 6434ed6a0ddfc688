"""Recovery times read from the logs of a run."""

import json
import unittest

from tools.repairs import analyze_events, read_events, report_lines

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


class RecoveryStatsTest(unittest.TestCase):
    """One replica is lost, one replaces it, one never opens."""

    def test_times(self) -> None:
        """Detection, formation and pauses are measured."""
        stats = analyze_events(read_events(_log()))
        self.assertEqual(
            [round(seconds, 3) for seconds in stats.detection_seconds], [0.04]
        )
        self.assertEqual(
            [round(seconds, 3) for seconds in stats.reuse_seconds], [0.6]
        )
        self.assertEqual(stats.load_seconds, [])
        self.assertEqual(stats.never_opened, 1)
        self.assertEqual(stats.stream_pauses, [0.25])
        self.assertEqual(stats.false_alarms, 1)

    def test_open_by_second(self) -> None:
        """A replica is counted until it stops."""
        stats = analyze_events(read_events(_log()))
        counts = [models.total() for models in stats.open_by_second.values()]
        self.assertEqual(counts, [1, 1, 1, 1, 1, 1, 1, 1])

    def test_a_log_without_decisions(self) -> None:
        """Missing durations are reported as none, without an error."""
        self.assertIn(
            'none', next(iter(report_lines(analyze_events(read_events('x')))))
        )
