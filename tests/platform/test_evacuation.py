"""Nodes follow the operator's evacuations of failure domains."""

import time
import unittest
from collections.abc import Awaitable, Callable

import curio

from cranecart.http import Address
from cranecart.models import Evacuation
from cranecart.platform import PlatformConfigSource, StoreClient
from cranecart.platform._wire_rows import WireRow, WireRows
from tests.lib.store_testbed import (
    StoreTestbed,
    config_row,
    entry_row,
    run_scenario,
)
from tests.lib.waiting import until
from tests.platform._standin import StoreBackup

# In force at every node that reaches the store.
_FORCE_SECONDS = 1.0
# Three heartbeats, as a node may have been told just before.
_HEARTBEATS_SECONDS = 1.0
# Nodes read a restored store once more after two seconds.
_REREAD_SECONDS = 4.0
# When the operator writes its rows to a restored store again.
_REWRITE_SECONDS = 1.5


class ChangedRowsClient(StoreClient):
    """Returns an answer of the feed in which only the table has a version."""

    async def feed(
        self, table: str, since: int, wait_seconds: float
    ) -> WireRows:
        """Return a deleted row, and rows that are no evacuations."""
        return WireRows(
            9,
            [
                WireRow('evacuate/d0', deleted=True),
                WireRow('evacuate/d1', part='other', schema_version=9),
                WireRow('evacuate/', schema_version=9),
            ],
        )


class EvacuationRowsTest(unittest.TestCase):
    """Rows of the platform, decoded."""

    def test_deleted_row(self) -> None:
        """The end is newer than the start, whatever version the row has."""
        client = ChangedRowsClient(Address('127.0.0.1', 1))
        changes = curio.run(PlatformConfigSource(client).changes, 8, 1)
        self.assertEqual(
            list(changes.items.values()), [Evacuation('d0', 9, False)]
        )


class EvacuationTest(unittest.TestCase):
    """Three nodes, with instances of a service in two failure domains."""

    def test_in_force_and_ended_in_time(self) -> None:
        """Each node omits the targets within the time, and uses them again."""
        self._run_scenario(self._evacuate_and_end)

    def test_several_failure_domains(self) -> None:
        """One after the other, then all at once, each change takes effect."""
        self._run_scenario(self._evacuate_several)

    def test_lost_history(self) -> None:
        """Start and end are read again if the feed cannot tell them."""
        self._run_scenario(self._lose_history)

    def test_restored_store_lacks_the_row(self) -> None:
        """It stays in force, also if a node starts, until written again.

        The first read of a node that starts then must not end it for others.
        """
        self._run_scenario(self._restore_and_write_again)

    def test_restored_store_and_no_new_row(self) -> None:
        """Without a new row it ends with the second complete read."""
        self._run_scenario(self._restore_only)

    def test_restored_store_still_has_a_deleted_row(self) -> None:
        """It is in force again until the operator deletes the row again."""
        self._run_scenario(self._restore_deleted_row)

    def test_restored_store_and_node_without_earlier_read(self) -> None:
        """What it was told ends by its second read; nobody else may know."""
        self._run_scenario(self._read_restored_store_first)

    def test_history_lost_after_restore(self) -> None:
        """An end that only the second complete read shows is not missed."""
        self._run_scenario(self._lose_history_after_restore)

    def test_unavailable_store(self) -> None:
        """It stays in force."""
        self._run_scenario(self._lose_store)

    def test_nodes_without_the_store(self) -> None:
        """A new node and one that is cut off learn both changes from heartbeats."""
        self._run_scenario(self._cut_off_nodes)

    def test_invalid_configuration(self) -> None:
        """An evacuation is in force even beside an invalid configuration."""
        self._run_scenario(self._break_configuration)

    def test_end_is_read_beside_invalid_configuration(self) -> None:
        """A full read without rows of evacuations ends them nevertheless."""
        self._run_scenario(self._lose_history_of_end)

    def _run_scenario(
        self, scenario: Callable[[StoreTestbed], Awaitable[None]]
    ) -> None:
        run_scenario(3, 2, 1, scenario)

    async def _evacuate(self, testbed: StoreTestbed, *domains: str) -> None:
        """Make exactly these evacuations in force, in time."""
        rows = {f'evacuate/{domain}' for domain in domains}
        present = {key[2] for key in testbed.store.rows if key[0] == 'op'}
        for key in rows - present:
            testbed.store.put('op', '', key, {})
        for key in present - rows - {'config'}:
            testbed.store.drop('op', '', key)
        await until(
            lambda: testbed.all_have_evacuated(*domains), _FORCE_SECONDS
        )

    async def _evacuate_and_end(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        store.put('servers', '', 'i-9', entry_row(born=9, zone='d1'))
        await until(lambda: testbed.all_use('i-9'))
        feeds_before = store.calls['/rows-feed', 'op']
        await self._evacuate(testbed, 'd1')
        self.assertTrue(testbed.none_uses('i-9'))
        self.assertTrue(testbed.all_use('i-0'))
        await self._evacuate(testbed)
        self.assertTrue(testbed.all_use('i-9'))
        # Each node has an answer for each change, and waits for the next.
        calls = store.calls['/rows-feed', 'op'] - feeds_before
        self.assertLessEqual(calls, 2 * len(testbed.nodes))

    async def _evacuate_several(self, testbed: StoreTestbed) -> None:
        for domains in (('d0',), ('d1',), ('d0', 'd1', 'd2'), ('d2',), ()):
            await self._evacuate(testbed, *domains)
        self.assertTrue(testbed.all_use('i-0'))

    async def _lose_history(self, testbed: StoreTestbed) -> None:
        for domains in (('d0',), ()):
            testbed.store.feeds_are_stalled = True
            change = await curio.spawn(self._evacuate, testbed, *domains)
            await curio.sleep(0.1)
            testbed.store.discard_history()
            await change.join()

    async def _restore_without_row(self, testbed: StoreTestbed) -> None:
        backup = testbed.store.backup()
        await self._evacuate(testbed, 'd0')
        await self._restore(testbed, backup)

    async def _restore(
        self, testbed: StoreTestbed, backup: StoreBackup
    ) -> None:
        testbed.store.is_unavailable = True
        await curio.sleep(0.5)
        testbed.store.restore(backup)

    async def _restore_and_write_again(self, testbed: StoreTestbed) -> None:
        await self._restore_without_row(testbed)
        await self._assert_holds(testbed, 0.5)
        await testbed.start('node-07')
        await until(
            lambda: testbed.all_have_evacuated('d0'), _HEARTBEATS_SECONDS
        )
        await self._assert_holds(testbed, _REWRITE_SECONDS - 1)
        testbed.store.put('op', '', 'evacuate/d0', {})
        await self._assert_holds(testbed, _REREAD_SECONDS)
        await self._evacuate(testbed)

    async def _restore_only(self, testbed: StoreTestbed) -> None:
        await self._restore_without_row(testbed)
        await self._assert_holds(testbed, _REWRITE_SECONDS)
        await until(testbed.all_have_evacuated, _REREAD_SECONDS)

    async def _read_restored_store_first(self, testbed: StoreTestbed) -> None:
        backup = testbed.store.backup()
        await self._evacuate(testbed, 'd0')
        informed = list(testbed.nodes)
        node = await testbed.start('node-07')
        node.client.is_partitioned = True
        await until(
            lambda: testbed.all_have_evacuated('d0'), _HEARTBEATS_SECONDS
        )
        for name in informed:
            await testbed.kill(name)
        testbed.store.restore(backup)
        node.client.is_partitioned = False
        await until(lambda: node.followers.is_informed)
        self.assertTrue(testbed.all_have_evacuated('d0'))
        await until(testbed.all_have_evacuated, _REREAD_SECONDS)

    async def _lose_history_after_restore(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        await self._restore_without_row(testbed)
        store.put('op', '', 'evacuate/d1', {})
        await until(lambda: testbed.all_have_evacuated('d0', 'd1'))
        store.feeds_are_stalled = True
        store.put('op', '', 'evacuate/d0', {})
        store.drop('op', '', 'evacuate/d1')
        await curio.sleep(0.1)
        store.discard_history()
        await until(lambda: testbed.all_have_evacuated('d0'), _REREAD_SECONDS)

    async def _restore_deleted_row(self, testbed: StoreTestbed) -> None:
        await self._evacuate(testbed, 'd0')
        backup = testbed.store.backup()
        await self._evacuate(testbed)
        await self._restore(testbed, backup)
        await until(lambda: testbed.all_have_evacuated('d0'))
        await self._evacuate(testbed)

    async def _lose_store(self, testbed: StoreTestbed) -> None:
        await self._evacuate(testbed, 'd0')
        testbed.store.is_unavailable = True
        await self._assert_holds(testbed, 1)
        testbed.store.is_unavailable = False
        await self._assert_holds(testbed, 1)

    async def _cut_off_nodes(self, testbed: StoreTestbed) -> None:
        testbed.nodes['node-01'].client.is_partitioned = True
        await self._evacuate(testbed, 'd0')
        node = await testbed.start('node-07')
        node.client.is_partitioned = True
        await until(
            lambda: testbed.all_have_evacuated('d0'), _HEARTBEATS_SECONDS
        )
        self.assertFalse(node.followers.is_informed)
        await self._evacuate(testbed)

    async def _break_configuration(self, testbed: StoreTestbed) -> None:
        testbed.store.put('op', '', 'config', {'version': 'seven'})
        await curio.sleep(0.5)
        await self._evacuate(testbed, 'd0')
        testbed.store.put('op', '', 'config', config_row(11))
        await until(lambda: testbed.all_have_version(11))
        await self._evacuate(testbed)

    async def _lose_history_of_end(self, testbed: StoreTestbed) -> None:
        await self._evacuate(testbed, 'd0')
        testbed.store.feeds_are_stalled = True
        testbed.store.put('op', '', 'config', {'version': 'seven'})
        change = await curio.spawn(self._evacuate, testbed)
        await curio.sleep(0.1)
        testbed.store.discard_history()
        await change.join()

    async def _assert_holds(
        self, testbed: StoreTestbed, seconds: float
    ) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.assertTrue(testbed.all_have_evacuated('d0'))
            await curio.sleep(0.01)


if __name__ == '__main__':
    unittest.main()
