"""Fault scenarios made from a table and a site file."""

import tomllib
import unittest
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

from tools.kinds import FaultScenario, scenarios, table_row
from tools.plays import BenchmarkRun, RunResult

_SITE = MappingProxyType(
    {
        'services': [
            {
                'name': 'writer',
                'model': 'llm',
                'servers': [{'zone': 'east'}, {'zone': 'west'}],
            },
            {'name': 'shop', 'servers': [{'zone': 'west'}]},
        ],
        'zones': [{'name': 'east'}, {'name': 'west'}],
    },
)


def _scenarios(**row: Any) -> list[FaultScenario]:
    return list(scenarios([{'kind': 'garble', **row}], _SITE))


class FaultScenariosTest(unittest.TestCase):
    """A scenario for each variant and target of a row."""

    def test_variants_and_services(self) -> None:
        """Every variant is combined with every service."""
        combined = _scenarios(hows=['extra', ''], aims='service', x=0.3)
        self.assertEqual(
            [(item.variant, item.target) for item in combined],
            [
                ('extra', 'writer'),
                ('extra', 'shop'),
                ('-', 'writer'),
                ('-', 'shop'),
            ],
        )

    def test_zones(self) -> None:
        """The targets are all zones, or one zone of each service."""
        by_zone = [item.target for item in _scenarios(aims='zone')]
        of_each = [item.target for item in _scenarios(aims='each')]
        self.assertEqual(by_zone, ['east', 'west'])
        self.assertEqual(of_each, ['writer east', 'shop west'])

    def test_services_of_models(self) -> None:
        """Faults can be limited to services with or without models."""
        with_models = [item.target for item in _scenarios(aims='model')]
        without_models = [item.target for item in _scenarios(aims='plain')]
        self.assertEqual((with_models, without_models), (['writer'], ['shop']))

    def test_without_target(self) -> None:
        """A row without targets gives one scenario."""
        self.assertEqual([item.target for item in _scenarios()], ['all'])

    def test_names_are_unique(self) -> None:
        """Scenarios would otherwise overwrite the log files of each other."""
        combined = _scenarios(hows=['extra', 'early'], aims='service')
        self.assertEqual(len({item.name for item in combined}), len(combined))


class TomlTest(unittest.TestCase):
    """The scenario as TOML for the benchmark."""

    def test_faults_are_injected_twice(self) -> None:
        """Faults of one scenario are injected at the same times."""
        day = self._read(_scenarios(x=0.3, beside=[{'kind': 'give_up'}])[0])
        injected = [(item['at'], item['kind']) for item in day['faults']]
        self.assertEqual(
            injected,
            [
                (3.0, 'garble'),
                (3.0, 'give_up'),
                (9.0, 'garble'),
                (9.0, 'give_up'),
            ],
        )
        self.assertEqual((day['seed'], day['faults'][0]['x']), (11, 0.3))

    def test_planned_work(self) -> None:
        """Planned work is not listed as a fault."""
        day = self._read(_scenarios(planned=True)[0])
        self.assertEqual((len(day['plan']), day['faults']), (2, []))

    def _read(self, scenario: FaultScenario) -> Mapping[str, Any]:
        day: Mapping[str, Any] = tomllib.loads(scenario.to_toml('11'))['day'][0]
        return day


class RowTest(unittest.TestCase):
    """A row of the Markdown table."""

    def test_row(self) -> None:
        """The row has the scenario, the results and the violations."""
        result = RunResult(
            BenchmarkRun(Path(), Path('site'), 'day', '11'),
            {
                'G': 0.9,
                'served': 0.95,
                'failed': 0.04,
                'breaks': {'MIXED': 2},
                'exits_n': 0,
                'fault': None,
            },
        )
        self.assertEqual(
            table_row(_scenarios(hows=['extra'], aims='service')[1], result),
            '| garble | extra | shop | 11 | 0.900 | 0.950 | 0.040 | MIXED 2 |',
        )
