"""A store that is restored from a backup issues versions again.

Nodes that compare only the store's own versions mistake new rows for old ones.
"""

import time
import unittest
from collections.abc import Awaitable, Callable

import curio

from cranecart.leases import Lease, LeaseTimeouts
from cranecart.platform import PlatformTable, StoreClient
from tests.lib.store_testbed import (
    StoreTestbed,
    config_row,
    entry_row,
    populated_store,
    run_scenario,
)
from tests.lib.waiting import until
from tests.platform._standin import start

_MAX_DELAY_SECONDS = 1.0
_OUTAGE_SECONDS = 0.5
_INSTANCES = 6
_POLL_SECONDS = 1.0
# Longer than the time until nodes read everything once more after a restore.
# Entries are written again sooner than that.
_WATCH_SECONDS = 3.0
_REWRITE_DELAY_SECONDS = 1.5
_LEASE_TIMEOUTS = LeaseTimeouts(5.0, 1.2, 3.5)


class RestoredStoreTest(unittest.TestCase):
    """Nodes follow a store that has lost acknowledged writes."""

    def test_new_configuration_ignored_after_restore(self) -> None:
        """A version written after the restore becomes active in time."""
        self._run_scenario(self._write_new_version)

    def test_old_configuration_is_active_after_restore(self) -> None:
        """The active configuration stays until the operator writes again."""
        self._run_scenario(self._watch_active_version)

    def test_rewritten_configuration_ignored_after_restore(self) -> None:
        """A changed configuration with a reissued version becomes active."""
        self._run_scenario(self._write_same_version)

    def test_node_started_after_restore_has_an_old_configuration(self) -> None:
        """A new node gets the active configuration from other nodes."""
        self._run_scenario(self._start_node_after_restore)

    def test_leaving_not_noticed_after_restore(self) -> None:
        """An instance that leaves after the restore gets no more requests."""
        self._run_scenario(self._announce_leaving)

    def test_fencing_token_reused_after_restore(self) -> None:
        """A lease taken after the restore gets a higher fencing token."""
        curio.run(self._take_lease_after_restore)

    def test_leaving_target_used_after_restore(self) -> None:
        """An instance that announced its leaving after the backup is leaving.

        It gets no new requests, although its entry is the old one again.
        """
        self._run_scenario(self._restore_before_leaving)

    def test_deleted_target_used_after_restore(self) -> None:
        """An instance was deleted after the backup but is still running.

        It gets no new requests, although its entry is back.
        """
        self._run_scenario(self._restore_before_deletion)

    def test_new_target_lost_after_restore(self) -> None:
        """An instance created after the backup writes its entry again."""
        self._run_scenario(self._restore_before_creation)

    def _run_scenario(
        self, scenario: Callable[[StoreTestbed], Awaitable[None]]
    ) -> None:
        run_scenario(3, _INSTANCES, 1, scenario)

    async def _lose_writes_and_restore(self, testbed: StoreTestbed) -> None:
        """Write rows, then restore the store to its state before that."""
        store = testbed.store
        backup = store.backup()
        store.put('op', '', 'config', config_row(11))
        for number in range(40):
            store.put('other', '', f'k{number}', 'lost')
        await until(lambda: testbed.all_have_version(11))
        # Until then, all long polls have ended with the newest version.
        await curio.sleep(_POLL_SECONDS)
        store.is_unavailable = True
        await curio.sleep(_OUTAGE_SECONDS)
        store.restore(backup)

    async def _write_new_version(self, testbed: StoreTestbed) -> None:
        await self._lose_writes_and_restore(testbed)
        testbed.store.put('op', '', 'config', config_row(12))
        await until(lambda: testbed.all_have_version(12), _MAX_DELAY_SECONDS)

    async def _watch_active_version(self, testbed: StoreTestbed) -> None:
        await self._lose_writes_and_restore(testbed)
        await self._assert_holds(lambda: testbed.all_have_version(11))

    async def _write_same_version(self, testbed: StoreTestbed) -> None:
        await self._lose_writes_and_restore(testbed)
        testbed.store.put('op', '', 'config', config_row(11, attempts=7))
        await until(lambda: testbed.all_have_attempts(7), _MAX_DELAY_SECONDS)

    async def _start_node_after_restore(self, testbed: StoreTestbed) -> None:
        await self._lose_writes_and_restore(testbed)
        await testbed.start('node-07')
        await until(lambda: testbed.all_have_version(11), _MAX_DELAY_SECONDS)

    async def _announce_leaving(self, testbed: StoreTestbed) -> None:
        await self._lose_writes_and_restore(testbed)
        testbed.store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await until(lambda: testbed.none_uses('i-1'), _MAX_DELAY_SECONDS)

    async def _restore_before_leaving(self, testbed: StoreTestbed) -> None:
        backup = testbed.store.backup()
        testbed.store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await until(lambda: testbed.none_uses('i-1'))
        testbed.store.restore(backup)
        await self._assert_holds(lambda: testbed.none_uses('i-1'))

    async def _restore_before_deletion(self, testbed: StoreTestbed) -> None:
        backup = testbed.store.backup()
        testbed.store.drop('servers', '', 'i-1')
        await until(lambda: testbed.none_uses('i-1'))
        testbed.store.restore(backup)
        await self._assert_holds(lambda: testbed.none_uses('i-1'))

    async def _restore_before_creation(self, testbed: StoreTestbed) -> None:
        backup = testbed.store.backup()
        instance_entry = entry_row(born=8)
        testbed.store.put('servers', '', 'i-7', instance_entry)
        await until(lambda: testbed.all_use('i-7'))
        testbed.store.restore(backup)
        await self._assert_holds(
            lambda: testbed.all_use('i-7'), _REWRITE_DELAY_SECONDS
        )
        testbed.store.put('servers', '', 'i-7', instance_entry)
        await self._assert_holds(lambda: testbed.all_use('i-7'))

    async def _assert_holds(
        self,
        condition: Callable[[], bool],
        seconds: float = _WATCH_SECONDS,
    ) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.assertTrue(condition())
            await curio.sleep(0.01)

    async def _take_lease_after_restore(self) -> None:
        store = populated_store(_INSTANCES)
        server, address = await start(store)
        backup = store.backup()
        first, second = (
            Lease(
                'x/y',
                name,
                PlatformTable(StoreClient(address)),
                _LEASE_TIMEOUTS,
            )
            for name in ('first', 'second')
        )
        self.assertTrue(await first.acquire_or_renew())
        store.restore(backup)
        await second.acquire_or_renew()
        await curio.sleep(_LEASE_TIMEOUTS.takeover_seconds + 0.1)
        self.assertTrue(await second.acquire_or_renew())
        self.assertGreater(second.fencing, first.fencing)
        await server.cancel()
