"""Processes under one name, of which the last one registered holds it."""

import unittest

import curio

from cranecart.fleet import node_key
from cranecart.serving._node_registration import NodeRegistration
from tests.lib.fake_platform import FakePlatform
from tests.lib.registration_settings import registration_settings

_NAME = 'n0'
_FOREVER = float('inf')


class TakenNameTest(unittest.TestCase):
    """A successor registers while its predecessor still runs."""

    def setUp(self) -> None:
        """Register both, and show the row to both."""
        self.table = FakePlatform()
        self.earlier = self._register(1)
        self.rows_before = dict(self.table.rows)
        self.later = self._register(2)
        for registration in (self.earlier, self.later):
            registration.apply(self.table.rows)

    def test_name_is_held_by_two_processes(self) -> None:
        """The earlier one gives it up and does not register again."""
        self.assertEqual(self.earlier.registered_at, _FOREVER)
        self.assertLess(self.later.registered_at, _FOREVER)
        self.earlier.restore({})
        self.assertFalse(self.earlier.needs_registration)

    def test_end_of_the_earlier_process_removes_the_later_one(self) -> None:
        """The row is deleted only by the process that wrote it."""
        curio.run(self.earlier.withdraw)
        self.assertIn(node_key(_NAME), self.table.rows)
        curio.run(self.later.withdraw)
        self.assertNotIn(node_key(_NAME), self.table.rows)

    def test_late_read_of_the_earlier_row(self) -> None:
        """A row from before its own write does not cost a process its name."""
        self.later.apply(self.rows_before)
        self.assertLess(self.later.registered_at, _FOREVER)

    def test_row_of_the_earlier_process_is_restored(self) -> None:
        """The later one registers again and keeps its name."""
        self.later.restore(self.rows_before)
        self.assertTrue(self.later.needs_registration)
        self.assertLess(self.later.registered_at, _FOREVER)

    def _register(self, port: int) -> NodeRegistration:
        settings = registration_settings(port=port)
        registration = NodeRegistration(settings, self.table)
        curio.run(registration.register)
        return registration
