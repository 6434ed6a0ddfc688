"""Scenario files that the benchmark runs in addition to random ones."""

import tomllib
import unittest
from pathlib import Path
from typing import Any

_DAYS = Path('deploy/days')
# Fields that refer to entries of a site by position, as names differ by site.
_BY_PLACE = ('service', 'class')


def _day(path: Path) -> dict[str, Any]:
    days = tomllib.loads(path.read_text('utf-8'))['day']
    assert len(days) == 1
    return dict(days[0])


class ScenarioFilesTest(unittest.TestCase):
    """Each file has one scenario for all deployments."""

    def test_names_and_fault_times(self) -> None:
        """A scenario is named after its file, and its faults end before it."""
        for path in sorted(_DAYS.glob('*.toml')):
            day = _day(path)
            self.assertEqual(day['name'], path.stem)
            for fault in day['faults']:
                ends_at = fault['at'] + fault.get('for_s', 5)
                self.assertLess(ends_at, day['length_s'], path.name)
                for name in filter(fault.get, _BY_PLACE):
                    self.assertTrue(fault[name].startswith('@'), path.name)

    def test_crashing_requests(self) -> None:
        """Crashing requests come early, or late together with a crash."""
        early = _day(_DAYS / 'deadly.toml')['faults']
        self.assertEqual([one['how'] for one in early], ['deadly'])
        late = _day(_DAYS / 'deadly-late.toml')['faults']
        self.assertEqual(
            [one['kind'] for one in late],
            ['poison', 'poison', 'srv_crash'],
        )
        classes = {one['class'] for one in (*early, *late[:2])}
        self.assertEqual(classes, {'@c0', '@c1'})
