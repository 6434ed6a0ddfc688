"""The developers' tools."""

import unittest

from tools.play import read_report
from tools.processes import Addresses


class AddressesTest(unittest.TestCase):
    """Addresses for child processes."""

    def test_no_address_is_given_twice(self) -> None:
        """Not even among many, where chance alone would do so."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        given = [addresses.take() for _ in range(900)]
        self.assertEqual(len(set(given)), len(given))


class ReadReportTest(unittest.TestCase):
    """Rows of the users' bench."""

    def test_a_row(self) -> None:
        """Worth, rules and exits are found."""
        report = (
            'day   own/srv  score  worth served refused failed\n'
            'mix       9/57   0.00  0.562  0.845   0.004  0.026  nines 0.50; '
            '10 exits of its own  BROKEN: LOST 20 (else 0.56)\n'
        )
        played = read_report('bench/days/mix.toml', report)
        self.assertEqual(
            (played.day, played.worth, played.rules, played.exits),
            ('mix', '0.562', 'LOST 20', '10'),
        )

    def test_no_row(self) -> None:
        """A day that was not played is told, not passed."""
        self.assertIn('not played', read_report('x', 'gave up').rules)
