"""Developer tools: addresses, benchmark reports and the capacity page."""

import unittest
from pathlib import Path

from tools.plays import BenchmarkRun, RunResult, run_matrix
from tools.processes import Addresses
from tools.slopes import replace_section, section

_RUN = BenchmarkRun(Path(), Path('site'), 'quiet')


class AddressesTest(unittest.TestCase):
    """Addresses for child processes."""

    def test_addresses_are_unique(self) -> None:
        """Even among many addresses, where random choice would collide."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        taken = [addresses.take() for _ in range(900)]
        self.assertEqual(len(set(taken)), len(taken))


class RunResultTest(unittest.TestCase):
    """Results read from the reports of the benchmark."""

    def test_reads_a_report(self) -> None:
        """The score, violations, exits and faults are read."""
        result = RunResult(
            _RUN,
            {
                'G': 0.562,
                'served': 0.845,
                'breaks': {'LOST': 20},
                'exits_n': 10,
                'fault': 'it ended by itself',
                'classes': [{'name': 'notes', 'worth': 0.7}],
            },
        )
        self.assertEqual((result.worth, result.share('served')), (0.562, 0.845))
        self.assertEqual(result.worth_by_class(), {'notes': 0.7})
        for expected in (
            'LOST 20',
            'unexpected exits 10',
            'it ended by itself',
        ):
            self.assertIn(expected, result.violations)

    def test_run_without_violations(self) -> None:
        """The text of the violations is empty."""
        report = {'G': 0.9, 'breaks': {}, 'exits_n': 0, 'fault': None}
        self.assertEqual(RunResult(_RUN, report).violations, '')

    def test_missing_report(self) -> None:
        """A run without a report counts as a violation."""
        self.assertIn(
            'gave up', RunResult(_RUN, {}, 'the bench gave up').violations
        )

    def test_pairs_are_adjacent(self) -> None:
        """Runs of one scenario by two checkouts follow each other."""
        checkouts = [Path('before'), Path('after')]
        runs = run_matrix(
            checkouts, [Path('site')], ['quiet', 'trouble'], ['1', '2']
        )
        self.assertEqual([run.checkout for run in runs], checkouts * 4)
        self.assertEqual(runs[0].seed, runs[1].seed)


_SWEEP_OUTPUT = """
sweep-30     31/300   0.91  0.911  0.990   0.000  0.000  worst windows 0.97
middle / busiest or longest, by own machines
                          10          30   power  at 362
node: memory MB    26 / 27.4   26 / 28.9    0.13    43.7
power: the busiest grows as machines to this power
"""


class SlopesTest(unittest.TestCase):
    """The output of a sweep as sections of the capacity page."""

    def test_section(self) -> None:
        """Scenarios and slopes become tables."""
        tables = section(_SWEEP_OUTPUT)
        self.assertIn('| sweep-30 | 0.911 | 0.990 |', tables)
        row = '| node: memory MB | 26 / 27.4 | 26 / 28.9 | 0.13 | 43.7 |'
        self.assertIn(row, tables)
        self.assertNotIn('power: the', tables)

    def test_section_is_replaced(self) -> None:
        """A second section with the same name replaces the first."""
        page = replace_section('text\n<!-- end of sweeps -->\n', 'one', 'first')
        page = replace_section(page, 'two', 'other')
        page = replace_section(page, 'one', 'second')
        self.assertNotIn('first', page)
        self.assertEqual(page.count('<!-- begin one -->'), 1)
        self.assertLess(page.index('second'), page.index('other'))
