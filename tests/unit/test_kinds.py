"""Days of one kind of trouble, made from a table and a site."""

import tomllib
import unittest
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

from tools.kinds import Trouble, row_of, troubles
from tools.plays import Given, Play

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


def _days(**row: Any) -> list[Trouble]:
    return list(troubles([{'kind': 'garble', **row}], _SITE))


class TroublesTest(unittest.TestCase):
    """Each variant of a row, at each aim."""

    def test_variants_and_services(self) -> None:
        """Every variant is aimed at every service."""
        days = _days(hows=['extra', ''], aims='service', x=0.3)
        self.assertEqual(
            [(one.how, one.aim) for one in days],
            [
                ('extra', 'writer'),
                ('extra', 'shop'),
                ('-', 'writer'),
                ('-', 'shop'),
            ],
        )

    def test_zones(self) -> None:
        """Every zone has a day, or one zone of every service."""
        by_zone = [one.aim for one in _days(aims='zone')]
        of_each = [one.aim for one in _days(aims='each')]
        self.assertEqual(by_zone, ['east', 'west'])
        self.assertEqual(of_each, ['writer east', 'shop west'])

    def test_services_of_models(self) -> None:
        """What only they have strikes nobody else, and the other way."""
        aims = [one.aim for one in _days(aims='model')]
        others = [one.aim for one in _days(aims='plain')]
        self.assertEqual((aims, others), (['writer'], ['shop']))

    def test_aimed_at_nothing(self) -> None:
        """A row without more is a day by itself."""
        self.assertEqual([one.aim for one in _days()], ['all'])

    def test_names_differ(self) -> None:
        """Each day keeps its log in a file of its own."""
        days = _days(hows=['extra', 'early'], aims='service')
        self.assertEqual(len({one.name for one in days}), len(days))


class DayTest(unittest.TestCase):
    """The day, as the users' bench reads it."""

    def test_strikes_twice(self) -> None:
        """The trouble and what strikes beside it come at the same times."""
        day = self._read(_days(x=0.3, beside=[{'kind': 'give_up'}])[0])
        struck = [(one['at'], one['kind']) for one in day['faults']]
        self.assertEqual(
            struck,
            [
                (3.0, 'garble'),
                (3.0, 'give_up'),
                (9.0, 'garble'),
                (9.0, 'give_up'),
            ],
        )
        self.assertEqual((day['seed'], day['faults'][0]['x']), (11, 0.3))

    def test_planned_work(self) -> None:
        """It is no fault."""
        day = self._read(_days(planned=True)[0])
        self.assertEqual((len(day['plan']), day['faults']), (2, []))

    def _read(self, trouble: Trouble) -> Mapping[str, Any]:
        day: Mapping[str, Any] = tomllib.loads(trouble.day('11'))['day'][0]
        return day


class RowTest(unittest.TestCase):
    """A row of the table."""

    def test_row(self) -> None:
        """It tells the day, what it gave, and what broke."""
        given = Given(
            Play(Path(), Path('site'), 'day', '11'),
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
            row_of(_days(hows=['extra'], aims='service')[1], given),
            '| garble | extra | shop | 11 | 0.900 | 0.950 | 0.040 | MIXED 2 |',
        )
