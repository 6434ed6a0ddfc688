"""Test when a node takes its own paths to targets as lost."""

import logging
import unittest

from cranecart.http import Address
from cranecart.ports import ListedInstance
from cranecart.reachability import TargetPaths

_DECISIONS = 'cranecart.decisions'


def _instance(name: str, failure_domain: str) -> ListedInstance:
    return ListedInstance(
        name, 'crew', Address('127.0.0.1', 1), failure_domain, 4
    )


_EAST_FIRST = _instance('e-1', 'east')
_EAST_SECOND = _instance('e-2', 'east')
_WEST_ONLY = _instance('w-1', 'west')


class TargetPathsTest(unittest.TestCase):
    """The record of connections that failed and succeeded."""

    def setUp(self) -> None:
        """Create a record for two domains, of which west has one instance."""
        self.now = 10.0
        self.paths = TargetPaths(
            {'east': 3, 'west': 1}.__getitem__,
            {'e-1': 4, 'e-2': 0, 'w-1': 0}.__getitem__,
            lambda: self.now,
        )

    def test_one_failed_target_is_not_a_lost_path(self) -> None:
        """One target may have failed, however often it is tried."""
        self.paths.record_failed(_EAST_FIRST, 'timeout')
        self.paths.record_failed(_EAST_FIRST, 'timeout')
        self.assertFalse(self.paths.is_lost('east'))
        self.assertTrue(self.paths.has_failures)

    def test_two_failed_targets(self) -> None:
        """Two targets that fail with no success in between are a lost path."""
        self.paths.record_failed(_EAST_FIRST, 'timeout')
        self.paths.record_failed(_EAST_SECOND, 'timeout')
        self.assertEqual(self.paths.lost_domains(), ['east'])

    def test_success_in_between(self) -> None:
        """A success between two failures shows that the targets failed."""
        self.paths.record_failed(_EAST_FIRST, 'timeout')
        self.paths.record_connected(_instance('e-3', 'east'))
        self.paths.record_failed(_EAST_SECOND, 'timeout')
        self.assertEqual(self.paths.lost_domains(), [])

    def test_success_elsewhere(self) -> None:
        """A success in another failure domain says nothing about this one."""
        self.paths.record_failed(_EAST_FIRST, 'timeout')
        self.paths.record_connected(_WEST_ONLY)
        self.paths.record_failed(_EAST_SECOND, 'timeout')
        self.assertEqual(self.paths.lost_domains(), ['east'])

    def test_only_instance_of_a_domain(self) -> None:
        """A failure domain with one instance has no second one to try."""
        self.paths.record_failed(_WEST_ONLY, 'timeout')
        self.assertTrue(self.paths.is_lost('west'))

    def test_log_lines_tell_what_other_nodes_do(self) -> None:
        """The lines name the targets, the times, and others' requests there."""
        with self.assertLogs(_DECISIONS, logging.INFO) as logs:
            self.paths.record_failed(_EAST_FIRST, 'timeout')
            self.now += 0.25
            self.paths.record_failed(_EAST_SECOND, 'timeout')
            self.now += 2
            self.paths.record_connected(_EAST_SECOND)
        lost, restored = (
            getattr(record, 'fields', {}) for record in logs.records
        )
        self.assertEqual(lost['event'], 'paths_lost')
        self.assertEqual(lost['failing_for'], 0.25)
        self.assertEqual(lost['in_flight_elsewhere'], {'e-1': 4, 'e-2': 0})
        self.assertEqual(restored['event'], 'paths_restored')
        self.assertEqual(restored['lost_for'], 2)
        self.assertFalse(self.paths.has_failures)


if __name__ == '__main__':
    unittest.main()
