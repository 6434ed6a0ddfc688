"""What the store's return, or its lost history, costs at many nodes."""

import unittest

import curio

from tests.lib.store_testbed import (
    StoreTestbed,
    config_row,
    entry_row,
    run_scenario,
)
from tests.lib.waiting import until

_DOMAINS = 3
# Of each table that nodes pass on to each other, in each failure domain: one
# where the history was lost, and three where the store came back from a copy.
_LOST_READS = 1
_RESTORED_READS = 3
_AIM_SECONDS = 1.5
_DEAF_SECONDS = 1.0
_AWAY_SECONDS = 2.5
_INSTANCES = 60
_SETTLE_SECONDS = 3.0
_TABLES = ('servers', 'placement')


class ReadsAfterRestoreTest(unittest.TestCase):
    """One node reads, and passes on what it has read."""

    def test_nine_nodes_read_a_forgotten_history(self) -> None:
        """Each of nine read all tables whole, 2 s after the change."""
        run_scenario(9, _INSTANCES, _SETTLE_SECONDS, self._forget)

    def test_nine_nodes_read_a_restored_store(self) -> None:
        """The list and the records are read by few."""
        run_scenario(9, _INSTANCES, _SETTLE_SECONDS, self._return)

    def test_thirty_nodes_read_a_restored_store(self) -> None:
        """Also where relays tell the others."""
        run_scenario(30, _INSTANCES, _SETTLE_SECONDS, self._return)

    async def _forget(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        store.calls.clear()
        store.feeds_are_stalled = True
        await curio.sleep(0.05)
        store.put('op', '', 'config', config_row(11))
        store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await curio.sleep(_DEAF_SECONDS)
        store.discard_history()
        await until(
            lambda: testbed.all_have_version(11) and testbed.none_uses('i-1'),
            _AIM_SECONDS - _DEAF_SECONDS,
        )
        await curio.sleep(1)
        self._check_reads(testbed, _LOST_READS)

    async def _return(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        store.calls.clear()
        earlier = store.backup()
        store.put('servers', '', 'i-2', entry_row(slots=5, born=3))
        await curio.sleep(0.7)
        store.is_unavailable = True
        # All nodes ask for themselves by then, each at a moment of its own.
        await curio.sleep(_AWAY_SECONDS)
        store.restore(earlier)
        store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await until(lambda: testbed.none_uses('i-1'), 1)
        await curio.sleep(4)
        self._check_reads(testbed, _RESTORED_READS)

    def _check_reads(self, testbed: StoreTestbed, most: int) -> None:
        reads = {
            table: testbed.store.calls['/rows-get', table] for table in _TABLES
        }
        # Each node follows the configuration itself.
        configs = testbed.store.calls['/rows-get', 'op']
        self.assertLessEqual(configs, len(testbed.nodes))
        for count in reads.values():
            self.assertLessEqual(count, most * _DOMAINS, reads)
