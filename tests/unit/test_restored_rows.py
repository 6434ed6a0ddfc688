"""Rows of nodes and of held requests, after a return from a copy."""

import unittest
from types import SimpleNamespace
from typing import Any

import curio

from cranecart.quarantine import CaseRegistry, HeldRows, Verdict
from cranecart.serving._registry import NodeRegistry
from tests.lib.fake_platform import FakePlatform
from tests.unit.test_quarantine import _begun, _Clock


class RestoredHeldRowsTest(unittest.TestCase):
    """Requests that end targets stay held."""

    def setUp(self) -> None:
        """Hold a request, and know its row."""
        self.clock = _Clock()
        self.table = FakePlatform()
        self.book = CaseRegistry(self.clock)
        self.empty = self.table.copied()
        self.rows = HeldRows('n0', self.table, self.book, self.clock)

    def test_a_copy_lacks_a_held_request(self) -> None:
        """Nobody has released it: it is held on, and written again."""
        self._hold(is_own=True)
        self.table.restore(self.empty)
        self.rows.restore(dict(self.table.rows))
        self.rows.apply(dict(self.table.rows), True)
        self.assertIs(self.book.verdict('a'), Verdict.HELD)
        curio.run(self.rows.write)
        self.assertTrue(self.table.rows)

    def test_its_finder_has_gone(self) -> None:
        """Another node writes it again, long after it was held."""
        self._hold(is_own=False)
        self.clock.now += 300
        self.table.restore(self.empty)
        self.rows.restore({})
        curio.run(self.rows.write)
        self.assertFalse(self.table.rows)
        self.clock.now += 2.5
        curio.run(self.rows.write)
        self.assertTrue(self.table.rows)

    def test_a_copy_holds_a_released_request(self) -> None:
        """It stays released, and its row goes again."""
        self._hold(is_own=True)
        earlier = self.table.copied()
        self.rows.apply(dict.fromkeys(self.table.rows), False)
        self.table.restore(earlier)
        self.rows.restore(dict(self.table.rows))
        self.assertIs(self.book.verdict('a'), Verdict.FREE)
        curio.run(self.rows.write)
        self.assertFalse(self.table.rows)

    def _hold(self, *, is_own: bool) -> None:
        writer = CaseRegistry(self.clock)
        writer.merge(_begun(0, 1, 2), is_own=True)
        curio.run(HeldRows('n1', self.table, writer, self.clock).write)
        self.book.merge(_begun(0, 1, 2), is_own=is_own)
        self.rows.apply(dict(self.table.rows), False)


class RestoredNodeRowTest(unittest.TestCase):
    """Nodes that start later find those that were there."""

    def test_a_copy_lacks_a_nodes_row(self) -> None:
        """It is written again, but not once the node has stopped."""
        settings: Any = SimpleNamespace(
            node_id='n0',
            peer_address='10.0.0.1:1',
            failure_domain='east',
        )
        table = FakePlatform()
        empty = table.copied()
        registry = NodeRegistry(settings, table)
        curio.run(registry.register)
        registry.restore(dict(table.rows))
        self.assertFalse(registry.is_missing)
        table.restore(empty)
        registry.restore(dict(table.rows))
        self.assertTrue(registry.is_missing)
        curio.run(registry.register)
        self.assertEqual(len(table.rows), 1)
        registry.restore({})
        curio.run(registry.withdraw)
        self.assertFalse(registry.is_missing)
        self.assertFalse(table.rows)
