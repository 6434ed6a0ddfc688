"""Rows of nodes and of held requests after the store was restored."""

import unittest

import curio

from cranecart.quarantine import CaseRegistry, HeldRows, Verdict
from cranecart.serving._node_registration import NodeRegistration
from tests.lib.fake_clock import FakeClock
from tests.lib.fake_platform import FakePlatform
from tests.lib.registration_settings import registration_settings
from tests.unit.test_quarantine import _begun_at


class RestoredHeldRowsTest(unittest.TestCase):
    """Requests that crash targets stay held."""

    def setUp(self) -> None:
        """Prepare an empty copy of the table."""
        self.clock = FakeClock()
        self.table = FakePlatform()
        self.cases = CaseRegistry(self.clock)
        self.empty = self.table.snapshot_rows()
        self.rows = HeldRows('n0', self.table, self.cases, self.clock)

    def test_a_held_request_missing_from_the_copy(self) -> None:
        """It was not released: it stays held, and its row is written again."""
        self._hold(is_own=True)
        self.table.restore(self.empty)
        self.rows.restore(dict(self.table.rows))
        self.rows.apply(dict(self.table.rows), True)
        self.assertIs(self.cases.verdict('a'), Verdict.HELD)
        curio.run(self.rows.write)
        self.assertTrue(self.table.rows)

    def test_another_node_writes_the_missing_row(self) -> None:
        """The node that detected it has stopped, long after it was held."""
        self._hold(is_own=False)
        self.clock.now += 300
        self.table.restore(self.empty)
        self.rows.restore({})
        curio.run(self.rows.write)
        self.assertFalse(self.table.rows)
        self.clock.now += 2.5
        curio.run(self.rows.write)
        self.assertTrue(self.table.rows)

    def test_a_released_request_present_in_the_copy(self) -> None:
        """It stays released, and its row is deleted again."""
        self._hold(is_own=True)
        earlier = self.table.snapshot_rows()
        self.rows.apply(dict.fromkeys(self.table.rows), False)
        self.table.restore(earlier)
        self.rows.restore(dict(self.table.rows))
        self.assertIs(self.cases.verdict('a'), Verdict.FREE)
        curio.run(self.rows.write)
        self.assertFalse(self.table.rows)

    def _hold(self, *, is_own: bool) -> None:
        writer = CaseRegistry(self.clock)
        writer.merge(_begun_at(0, 1, 2), is_own=True)
        curio.run(HeldRows('n1', self.table, writer, self.clock).write)
        self.cases.merge(_begun_at(0, 1, 2), is_own=is_own)
        self.rows.apply(dict(self.table.rows), False)


class RestoredNodeRowTest(unittest.TestCase):
    """Nodes that start later find the earlier ones."""

    def test_a_node_row_missing_from_the_copy(self) -> None:
        """It is written again, but not once the node has stopped."""
        settings = registration_settings()
        table = FakePlatform()
        empty = table.snapshot_rows()
        registry = NodeRegistration(settings, table)
        curio.run(registry.register)
        registry.restore(dict(table.rows))
        self.assertFalse(registry.needs_registration)
        table.restore(empty)
        registry.restore(dict(table.rows))
        self.assertTrue(registry.needs_registration)
        curio.run(registry.register)
        self.assertEqual(len(table.rows), 1)
        registry.restore({})
        curio.run(registry.withdraw)
        self.assertFalse(registry.needs_registration)
        self.assertFalse(table.rows)
