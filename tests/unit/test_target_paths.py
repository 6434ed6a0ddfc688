"""Test when a node takes its own paths to targets as lost."""

import logging
import random
import unittest

from cranecart.http import Address
from cranecart.ports import ListedInstance
from cranecart.reachability import TargetPaths

_DECISIONS = 'cranecart.decisions'
_SEED = 1


def _instance(name: str, failure_domain: str, service: str) -> ListedInstance:
    return ListedInstance(
        name, service, Address('127.0.0.1', 1), failure_domain, 4
    )


_EAST = tuple(_instance(f'e-{number}', 'east', 'drafts') for number in range(4))
_WEST = tuple(_instance(f'w-{number}', 'west', 'drafts') for number in range(2))
_CREW = _instance('c-0', 'east', 'crew')


class TargetPathsTest(unittest.TestCase):
    """The record of connections that failed and succeeded."""

    def setUp(self) -> None:
        """Create a record for two domains; one service has one instance."""
        self.now = 10.0
        self.listed = [*_EAST, *_WEST, _CREW]
        self.paths = TargetPaths(
            lambda: self.listed,
            lambda name: 4 if name == 'e-0' else 0,
            random.Random(_SEED),
            lambda: self.now,
        )

    def test_one_failed_target_is_not_a_lost_path(self) -> None:
        """One target may have failed, however often it is tried."""
        self.paths.record_failed(_EAST[0], 'timeout')
        self.paths.record_failed(_EAST[0], 'timeout')
        self.assertFalse(self.paths.is_lost(_EAST[3]))
        self.assertTrue(self.paths.is_unreached(_EAST[0]))
        self.assertFalse(self.paths.is_unreached(_EAST[1]))

    def test_two_failed_targets(self) -> None:
        """Two targets that fail with no success in between are a lost path."""
        self._lose_east()
        self.assertTrue(self.paths.is_lost(_EAST[3]))
        self.assertTrue(self.paths.is_unreached(_EAST[3]))
        self.assertFalse(self.paths.is_unreached(_WEST[0]))

    def test_success_in_between(self) -> None:
        """A success between two failures shows that the targets failed."""
        self.paths.record_failed(_EAST[0], 'timeout')
        self.paths.record_connected(_EAST[2])
        self.paths.record_failed(_EAST[1], 'timeout')
        self.assertFalse(self.paths.is_lost(_EAST[3]))
        self.assertTrue(self.paths.is_unreached(_EAST[0]))

    def test_success_elsewhere(self) -> None:
        """Neither another failure domain nor another service proves a path."""
        self.paths.record_failed(_EAST[0], 'timeout')
        self.paths.record_connected(_WEST[0])
        self.paths.record_connected(_CREW)
        self.paths.record_failed(_EAST[1], 'timeout')
        self.assertTrue(self.paths.is_lost(_EAST[3]))

    def test_only_instance_of_a_group(self) -> None:
        """Where there is no second instance, the one must fail twice in turn."""
        self.paths.record_failed(_CREW, 'timeout')
        self.paths.record_failed(_CREW, 'timeout')
        self.assertFalse(self.paths.is_lost(_CREW))
        self.now += 0.1
        self.paths.record_failed(_CREW, 'timeout')
        self.assertTrue(self.paths.is_lost(_CREW))

    def test_lost_domain(self) -> None:
        """A domain is lost once all relevant services are, for some time."""
        self._lose_east()
        self.assertFalse(self._is_east_lost())
        self.now += 0.3
        self.assertTrue(self._is_east_lost())
        self.assertFalse(self.paths.is_domain_lost('east', lambda _name: True))
        self.assertFalse(self.paths.is_domain_lost('west', lambda _name: True))
        self.paths.record_connected(_EAST[3])
        self.assertFalse(self._is_east_lost())

    def test_everything_lost(self) -> None:
        """Only if no target of any service or domain is reached."""
        for instance in (*_EAST, *_WEST):
            self.paths.record_failed(instance, 'timeout')
        self.now += 0.3
        self.assertFalse(self.paths.is_everything_lost())
        self.paths.record_failed(_CREW, 'timeout')
        self.now += 0.1
        self.paths.record_failed(_CREW, 'timeout')
        self.assertFalse(self.paths.is_everything_lost())
        self.now += 0.3
        self.assertTrue(self.paths.is_everything_lost())

    def test_restored_paths_forget_all_failures(self) -> None:
        """Failures during a loss say nothing about their targets."""
        self._lose_east()
        self.paths.record_connected(_EAST[3])
        self.assertFalse(self.paths.is_unreached(_EAST[0]))
        self.assertFalse(self.paths.is_impaired)

    def test_single_target_is_checked_less_and_less_often(self) -> None:
        """A dead target is tried again ever later, a second apart at most."""
        self.paths.record_failed(_EAST[0], 'timeout')
        self.paths.record_connected(_EAST[1])
        checked_at = []
        for _ in range(100):
            self.now += 0.05
            if self.paths.due_checks():
                checked_at.append(round(self.now - 10, 2))
                self.paths.record_failed(_EAST[0], 'timeout')
                self.paths.record_connected(_EAST[1])
        self.assertEqual(checked_at, [0.1, 0.3, 0.7, 1.5, 2.5, 3.5, 4.5])

    def test_references_are_checked_at_once(self) -> None:
        """After the first failure two other targets of the group are tried."""
        self.paths.record_failed(_EAST[0], 'timeout')
        due = self.paths.due_checks()
        self.assertEqual(len(due), 2)
        self.assertNotIn(_EAST[0], due)
        self.assertLess(set(due), set(_EAST))
        self.assertEqual(self.paths.due_checks(), [])

    def test_other_groups_are_checked_after_a_loss(self) -> None:
        """A node that lost all paths knows so before requests need them."""
        self._lose_east()
        due = set(self.paths.due_checks())
        self.assertLessEqual({*_WEST, _CREW}, due)
        self.assertFalse(self.paths.is_unreached(_CREW))
        self.assertEqual(self.paths.due_checks(), [])

    def test_lost_paths_are_checked_until_restored(self) -> None:
        """A lost group is tried again within a fifth of a second."""
        self._lose_east()
        self.paths.due_checks()
        self.now += 0.21
        self.assertEqual(len(self.paths.due_checks()), 2)

    def test_leaving_instances_prove_nothing(self) -> None:
        """An instance that leaves may have stopped listening already."""
        self.listed = [
            _EAST[0],
            ListedInstance(
                'e-9', 'drafts', _EAST[0].address, 'east', 4, leaving=True
            ),
        ]
        self.assertEqual(self.paths.references(_EAST[0]), [])

    def test_references_of_an_only_instance(self) -> None:
        """Without others of its service, any instance is a reference."""
        references = self.paths.references(_CREW)
        self.assertEqual(len(references), 2)
        self.assertNotIn(_CREW, references)

    def test_unlisted_instances_are_forgotten(self) -> None:
        """An instance that is gone keeps no paths impaired."""
        self._lose_east()
        gone = {_EAST[0].incarnation, _EAST[1].incarnation}
        self.paths.prune({item.incarnation for item in self.listed} - gone)
        self.assertFalse(self.paths.is_impaired)

    def test_log_lines_tell_what_other_nodes_do(self) -> None:
        """The lines name the targets, the times, and others' requests there."""
        with self.assertLogs(_DECISIONS, logging.INFO) as logs:
            self.paths.record_failed(_EAST[0], 'timeout')
            self.now += 0.25
            self.paths.record_failed(_EAST[1], 'timeout')
            self.now += 2
            self.paths.record_connected(_EAST[1])
        lost, restored = (
            getattr(record, 'fields', {}) for record in logs.records
        )
        self.assertEqual(lost['event'], 'paths_lost')
        self.assertEqual(lost['failing_for'], 0.25)
        self.assertEqual(lost['in_flight_elsewhere'], {'e-0': 4, 'e-1': 0})
        self.assertEqual(restored['event'], 'paths_restored')
        self.assertEqual(restored['lost_for'], 2)

    def _is_east_lost(self) -> bool:
        return self.paths.is_domain_lost('east', lambda name: name == 'drafts')

    def _lose_east(self) -> None:
        self.paths.record_failed(_EAST[0], 'timeout')
        self.paths.record_failed(_EAST[1], 'timeout')


if __name__ == '__main__':
    unittest.main()
