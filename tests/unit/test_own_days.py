"""Scenario files that the benchmark runs in addition to random ones."""

import tomllib
import unittest
from pathlib import Path
from typing import Any

_SCENARIO_FOLDER = Path('deploy/days')
# Fields that refer to entries of a site by position, as names differ by site.
_POSITION_FIELDS = ('service', 'class')


def _read_scenario(path: Path) -> dict[str, Any]:
    scenarios = tomllib.loads(path.read_text('utf-8'))['day']
    assert len(scenarios) == 1
    return dict(scenarios[0])


class ScenarioFilesTest(unittest.TestCase):
    """Each file has one scenario for all deployments."""

    def test_names_and_fault_times(self) -> None:
        """A scenario has the name of its file, and ends after its faults."""
        for path in sorted(_SCENARIO_FOLDER.glob('*.toml')):
            scenario = _read_scenario(path)
            self.assertEqual(scenario['name'], path.stem)
            for fault in scenario['faults']:
                ends_at = fault['at'] + fault.get('for_s', 5)
                self.assertLess(ends_at, scenario['length_s'], path.name)
                for name in filter(fault.get, _POSITION_FIELDS):
                    self.assertTrue(fault[name].startswith('@'), path.name)

    def test_crashing_requests(self) -> None:
        """Crashing requests come early, or late together with a crash."""
        early = _read_scenario(_SCENARIO_FOLDER / 'deadly.toml')['faults']
        self.assertEqual([fault['how'] for fault in early], ['deadly'])
        late = _read_scenario(_SCENARIO_FOLDER / 'deadly-late.toml')['faults']
        self.assertEqual(
            [fault['kind'] for fault in late],
            ['poison', 'poison', 'srv_crash'],
        )
        classes = {fault['class'] for fault in (*early, *late[:2])}
        self.assertEqual(classes, {'@c0', '@c1'})
