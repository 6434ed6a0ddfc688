"""Runs of tests beside load and with paused processes."""

import os
import unittest
from pathlib import Path

from tools.provoke import Pause, Provocation, busy_processes, run_all, run_once

_QUICK_TEST = 'tests.unit.test_rendezvous'
_READS_TEST = (
    'tests.platform.test_reads_after_restore.ReadsAfterRestoreTest'
    '.test_nine_nodes_read_a_forgotten_history'
)
_UNDISTURBED = Provocation('none', (), (0, 0), 1)


class ProvocationTest(unittest.TestCase):
    """What the tool disturbs, and what it reports."""

    def test_same_seed_same_pauses(self) -> None:
        """A failed run can be repeated, whatever the number of runs."""
        provocation = Provocation('test', (0.5, 1), (3, 6), 1)
        pauses = {provocation.pause(number) for number in range(20)}
        self.assertEqual(len(pauses), 20)
        self.assertEqual(
            provocation.pause(7),
            Provocation('test', (0.5, 1), (3, 6), 1).pause(7),
        )
        self.assertIsNone(_UNDISTURBED.pause(7))

    def test_paused_run(self) -> None:
        """The test goes on after its pause."""
        outcome = run_once([_QUICK_TEST], 0, Pause(0.1, 0.2, 0), _UNDISTURBED)
        self.assertEqual(outcome.exit_code, 0, outcome.output)
        self.assertIn(_QUICK_TEST, outcome.paused_program)

    def test_failed_run(self) -> None:
        """The summary names its errors."""
        outcome = run_once(['tests.no_such_test'], 0, None, _UNDISTURBED)
        self.assertIn('exit code 1', outcome.summary)
        self.assertIn('ERROR: no_such_test', outcome.summary)

    def test_busy_processes_end(self) -> None:
        """Exactly those that were started."""
        with busy_processes(2):
            busy = _children()
            self.assertEqual(len(busy), 2)
        self.assertFalse(busy & _children())

    def test_reads_of_paused_nodes(self) -> None:
        """Two seeded runs of a test that failed when paused."""
        provocation = Provocation('test', (0.5,), (3, 4.5), 1)
        outcomes = run_all([_READS_TEST], provocation, 2, 2)
        for outcome in outcomes:
            self.assertEqual(outcome.exit_code, 0, outcome.summary)


def _children() -> set[str]:
    """Return the ids of this process's children."""
    process = os.getpid()
    children = Path(f'/proc/{process}/task/{process}/children')
    return set(children.read_text('utf-8').split())


if __name__ == '__main__':
    unittest.main()
