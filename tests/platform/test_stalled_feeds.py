"""Nodes restart long polls on stalled connections while others still work.

A long poll does not notice by itself that its connection has stalled.
"""

import unittest

import curio

from tests.lib.store_testbed import StoreTestbed, config_row, run_scenario
from tests.lib.waiting import until

_UPDATE_SECONDS = 2.0
_STALL_SECONDS = 0.5
_INSTANCES = 4
_SETTLE_SECONDS = 1.5
# Time after which nodes are considered to reach the store again.
_RECOVERY_SECONDS = 3.0


class StalledFeedsTest(unittest.TestCase):
    """A long poll does not notice that its connection has stalled."""

    def test_configuration_feeds_stalled_at_all_nodes(self) -> None:
        """All nodes follow the store again after it stalled for 0.5 s."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._configure)

    def test_configuration_feed_stalled_at_one_node(self) -> None:
        """A single node recovers without updates from other nodes."""
        run_scenario(1, _INSTANCES, _SETTLE_SECONDS, self._configure)

    def test_records_feeds_stalled_at_all_nodes(self) -> None:
        """Nodes get the rows that are written after the stall."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._write_record)

    def test_reader_killed_after_its_feeds_stalled(self) -> None:
        """The next reader must restart its own stalled reads as well."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._replace_reader)

    async def _stall(self, testbed: StoreTestbed) -> None:
        testbed.store.set_unresponsive(is_unresponsive=True)
        await curio.sleep(_STALL_SECONDS)
        testbed.store.set_unresponsive(is_unresponsive=False)
        await curio.sleep(_RECOVERY_SECONDS)

    async def _configure(self, testbed: StoreTestbed) -> None:
        await self._stall(testbed)
        testbed.store.put('op', '', 'config', config_row(11))
        await until(lambda: testbed.all_have_version(11), _UPDATE_SECONDS)

    async def _write_record(self, testbed: StoreTestbed) -> None:
        await self._stall(testbed)
        peer = {'address': '127.0.0.1:1', 'failure_domain': 'd0'}
        testbed.store.put('placement', 'all', 'node/other', peer)
        await until(lambda: testbed.all_know_peer('other'), _UPDATE_SECONDS)

    async def _replace_reader(self, testbed: StoreTestbed) -> None:
        await self._stall(testbed)
        await testbed.kill(testbed.reader())
        await curio.sleep(_RECOVERY_SECONDS)
        testbed.store.put('op', '', 'config', config_row(11))
        await until(lambda: testbed.all_have_version(11), _UPDATE_SECONDS)
