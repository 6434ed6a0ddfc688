"""The developers' tools."""

import unittest
from pathlib import Path

from tools.plays import Given, Play, combine
from tools.processes import Addresses
from tools.slopes import put, section

_PLAY = Play(Path(), Path('site'), 'quiet')


class AddressesTest(unittest.TestCase):
    """Addresses for child processes."""

    def test_no_address_is_given_twice(self) -> None:
        """Not even among many, where chance alone would do so."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        given = [addresses.take() for _ in range(900)]
        self.assertEqual(len(set(given)), len(given))


class GivenTest(unittest.TestCase):
    """What the users' bench reports of a play."""

    def test_a_report(self) -> None:
        """Worth, rules, exits and faults are found."""
        given = Given(
            _PLAY,
            {
                'G': 0.562,
                'served': 0.845,
                'breaks': {'LOST': 20},
                'exits_n': 10,
                'fault': 'it ended by itself',
                'classes': [{'name': 'notes', 'worth': 0.7}],
            },
        )
        self.assertEqual((given.worth, given.part('served')), (0.562, 0.845))
        self.assertEqual(given.by_class(), {'notes': 0.7})
        for told in ('LOST 20', 'own exits 10', 'it ended by itself'):
            self.assertIn(told, given.rules)

    def test_a_sound_day(self) -> None:
        """Nothing is told of it."""
        report = {'G': 0.9, 'breaks': {}, 'exits_n': 0, 'fault': None}
        self.assertEqual(Given(_PLAY, report).rules, '')

    def test_no_report(self) -> None:
        """A day that was not played is told, not passed."""
        self.assertIn('gave up', Given(_PLAY, {}, 'the bench gave up').rules)

    def test_pairs_are_adjacent(self) -> None:
        """The two sources play one day after the other."""
        two = [Path('before'), Path('after')]
        plays = combine(two, [Path('site')], ['quiet', 'trouble'], ['1', '2'])
        self.assertEqual([one.checkout for one in plays], two * 4)
        self.assertEqual(plays[0].seed, plays[1].seed)


_PRINTED = """
sweep-30     31/300   0.91  0.911  0.990   0.000  0.000  worst windows 0.97
middle / busiest or longest, by own machines
                          10          30   power  at 362
node: memory MB    26 / 27.4   26 / 28.9    0.13    43.7
power: the busiest grows as machines to this power
"""


class SlopesTest(unittest.TestCase):
    """What a sweep printed, as sections of a page."""

    def test_section(self) -> None:
        """Days and slopes are tables."""
        tables = section(_PRINTED)
        self.assertIn('| sweep-30 | 0.911 | 0.990 |', tables)
        row = '| node: memory MB | 26 / 27.4 | 26 / 28.9 | 0.13 | 43.7 |'
        self.assertIn(row, tables)
        self.assertNotIn('power: the', tables)

    def test_a_page_takes_it_over(self) -> None:
        """A second time it takes the place of the first."""
        page = put('text\n<!-- end of sweeps -->\n', 'one', 'first')
        page = put(page, 'two', 'other')
        page = put(page, 'one', 'second')
        self.assertNotIn('first', page)
        self.assertEqual(page.count('<!-- begin one -->'), 1)
        self.assertLess(page.index('second'), page.index('other'))
