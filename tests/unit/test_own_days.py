"""The days that hunts play beside their drawn ones."""

import tomllib
import unittest
from pathlib import Path
from typing import Any

_DAYS = Path('deploy/days')
# What they name stands at a place in a site's tables, as names differ by site.
_BY_PLACE = ('service', 'class')


def _day(path: Path) -> dict[str, Any]:
    days = tomllib.loads(path.read_text('utf-8'))['day']
    assert len(days) == 1
    return dict(days[0])


class OwnDaysTest(unittest.TestCase):
    """Each file holds one day, for all deployments."""

    def test_all(self) -> None:
        """A day bears its file's name, and its troubles end before it does."""
        for path in sorted(_DAYS.glob('*.toml')):
            day = _day(path)
            self.assertEqual(day['name'], path.stem)
            for fault in day['faults']:
                ends_at = fault['at'] + fault.get('for_s', 5)
                self.assertLess(ends_at, day['length_s'], path.name)
                for name in filter(fault.get, _BY_PLACE):
                    self.assertTrue(fault[name].startswith('@'), path.name)

    def test_deadly(self) -> None:
        """Requests that end their targets come early, and late beside deaths."""
        early = _day(_DAYS / 'deadly.toml')['faults']
        self.assertEqual([one['how'] for one in early], ['deadly'])
        late = _day(_DAYS / 'deadly-late.toml')['faults']
        self.assertEqual(
            [one['kind'] for one in late],
            ['poison', 'poison', 'srv_crash'],
        )
        classes = {one['class'] for one in (*early, *late[:2])}
        self.assertEqual(classes, {'@c0', '@c1'})
