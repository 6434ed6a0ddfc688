"""The number of reads by many nodes after a restore or a lost history."""

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
# Reads of each shared table in each failure domain.
_READS_AFTER_LOST_HISTORY = 1
_READS_AFTER_RESTORE = 3
_UPDATE_SECONDS = 1.5
_WITHHELD_SECONDS = 1.0
# By then no node announces that it reads, and all wait for changes.
_READER_SILENT_SECONDS = 2.5
_OUTAGE_SECONDS = 2.5
_INSTANCES = 60
_SETTLE_SECONDS = 3.0
_TABLES = ('servers', 'placement')


class ReadsAfterRestoreTest(unittest.TestCase):
    """One node reads the rows and shares them with other nodes."""

    def test_nine_nodes_read_a_forgotten_history(self) -> None:
        """One node per failure domain reads, and changes arrive in time.

        Without sharing, each of nine nodes read all tables completely, 2 s
        after a change.
        """
        run_scenario(9, _INSTANCES, _SETTLE_SECONDS, self._lose_history)

    def test_history_lost_while_all_nodes_wait(self) -> None:
        """The same where the store was silent and no node reads for others."""
        run_scenario(9, _INSTANCES, _SETTLE_SECONDS, self._lose_silent_history)

    def test_lost_history_ends_the_polls_of_all_tables(self) -> None:
        """Records are shared before other nodes read, each for itself.

        Only the polled table with a change told the reader.
        """
        run_scenario(9, _INSTANCES, _SETTLE_SECONDS, self._lose_list_history)

    def test_nine_nodes_read_a_restored_store(self) -> None:
        """Few nodes read the instance list and the records."""
        run_scenario(9, _INSTANCES, _SETTLE_SECONDS, self._restore)

    def test_thirty_nodes_read_a_restored_store(self) -> None:
        """Few nodes read, also if relays pass on the updates."""
        run_scenario(30, _INSTANCES, _SETTLE_SECONDS, self._restore)

    async def _lose_history(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        store.calls.clear()
        store.feeds_are_stalled = True
        await curio.sleep(0.05)
        store.put('op', '', 'config', config_row(11))
        store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await curio.sleep(_WITHHELD_SECONDS)
        store.discard_history()
        await until(
            lambda: testbed.all_have_version(11) and testbed.none_uses('i-1'),
            _UPDATE_SECONDS - _WITHHELD_SECONDS,
        )
        await curio.sleep(1)
        self._check_reads(testbed, _READS_AFTER_LOST_HISTORY)

    async def _lose_silent_history(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        store.feeds_are_stalled = True
        await curio.sleep(_READER_SILENT_SECONDS)
        store.calls.clear()
        store.put('servers', '', 'i-1', entry_row('draining', born=2))
        store.discard_history()
        await until(lambda: testbed.none_uses('i-1'), 1)
        await curio.sleep(1)
        self._check_reads(testbed, _READS_AFTER_LOST_HISTORY)

    async def _lose_list_history(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        store.calls.clear()
        store.put('servers', '', 'i-1', entry_row('draining', born=2))
        store.discard_history()
        await until(lambda: store.calls['/rows-get', 'placement'] > 0, 1)
        await curio.sleep(1)
        self._check_reads(testbed, _READS_AFTER_LOST_HISTORY)

    async def _restore(self, testbed: StoreTestbed) -> None:
        store = testbed.store
        store.calls.clear()
        backup = store.backup()
        store.put('servers', '', 'i-2', entry_row(slots=5, born=3))
        await curio.sleep(0.7)
        store.is_unavailable = True
        # By then all nodes probe the store, each at a different time.
        await curio.sleep(_OUTAGE_SECONDS)
        store.restore(backup)
        store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await until(lambda: testbed.none_uses('i-1'), 1)
        await curio.sleep(4)
        self._check_reads(testbed, _READS_AFTER_RESTORE)

    def _check_reads(self, testbed: StoreTestbed, max_reads: int) -> None:
        reads = {
            table: testbed.store.calls['/rows-get', table] for table in _TABLES
        }
        # Each node reads the configuration itself.
        configs = testbed.store.calls['/rows-get', 'op']
        self.assertLessEqual(configs, len(testbed.nodes))
        for count in reads.values():
            self.assertLessEqual(count, max_reads * _DOMAINS, reads)
