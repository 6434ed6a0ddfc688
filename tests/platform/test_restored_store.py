"""A store that comes back from a copy: versions are given out again."""

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

_AIM_SECONDS = 1.0
_AWAY_SECONDS = 0.5
_INSTANCES = 6
_FEED_SECONDS = 1.0
# Longer than until all is read once more; entries are back sooner.
_WATCH_SECONDS = 3.0
_AGAIN_SECONDS = 1.5
_TIMES = LeaseTimeouts(5.0, 1.2, 3.5)


class RestoredStoreTest(unittest.TestCase):
    """Nodes follow a store that lost what it had acknowledged."""

    def test_configuration_not_in_force_after_restore(self) -> None:
        """A version written after the return is in force in time."""
        self._play(self._configure)

    def test_configuration_goes_back_with_a_copy(self) -> None:
        """What is in force stays until the operator has written again."""
        self._play(self._keep_configuration)

    def test_configuration_of_the_same_version_is_ignored(self) -> None:
        """Its version was given out again after the return."""
        self._play(self._configure_again)

    def test_node_started_after_restore_has_an_old_configuration(self) -> None:
        """It hears of the one in force from the others."""
        self._play(self._start_after)

    def test_leaving_target_not_heard_after_restore(self) -> None:
        """An instance that leaves after the return is left alone in time."""
        self._play(self._leave)

    def test_fence_given_out_again_after_restore(self) -> None:
        """A lease taken after the return gets a fence of its own."""
        curio.run(self._take_lease)

    def test_leaving_target_taken_again_from_a_copy(self) -> None:
        """It had said that it leaves after the copy was made."""
        self._play(self._keep_left)

    def test_gone_target_taken_again_from_a_copy(self) -> None:
        """It serves on without an entry, and gets nothing new."""
        self._play(self._keep_gone)

    def test_new_target_lost_with_a_copy(self) -> None:
        """It came after the copy was made, and writes its entry again."""
        self._play(self._keep_new)

    def _play(
        self, scenario: Callable[[StoreTestbed], Awaitable[None]]
    ) -> None:
        run_scenario(3, _INSTANCES, 1, scenario)

    async def _return(self, testbed: StoreTestbed) -> None:
        """Lose what is written here, and come back."""
        store = testbed.store
        earlier = store.backup()
        store.put('op', '', 'config', config_row(11))
        for number in range(40):
            store.put('other', '', f'k{number}', 'lost')
        await until(lambda: testbed.all_have_version(11))
        # Empty answers to those who wait for changes tell the newest version.
        await curio.sleep(_FEED_SECONDS)
        store.is_unavailable = True
        await curio.sleep(_AWAY_SECONDS)
        store.restore(earlier)

    async def _configure(self, testbed: StoreTestbed) -> None:
        await self._return(testbed)
        testbed.store.put('op', '', 'config', config_row(12))
        await until(lambda: testbed.all_have_version(12), _AIM_SECONDS)

    async def _keep_configuration(self, testbed: StoreTestbed) -> None:
        await self._return(testbed)
        await self._watch(lambda: testbed.all_have_version(11))

    async def _configure_again(self, testbed: StoreTestbed) -> None:
        await self._return(testbed)
        testbed.store.put('op', '', 'config', config_row(11, attempts=7))
        await until(lambda: testbed.all_have_attempts(7), _AIM_SECONDS)

    async def _start_after(self, testbed: StoreTestbed) -> None:
        await self._return(testbed)
        await testbed.start('node-07')
        await until(lambda: testbed.all_have_version(11), _AIM_SECONDS)

    async def _leave(self, testbed: StoreTestbed) -> None:
        await self._return(testbed)
        testbed.store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await until(lambda: testbed.none_uses('i-1'), _AIM_SECONDS)

    async def _keep_left(self, testbed: StoreTestbed) -> None:
        earlier = testbed.store.backup()
        testbed.store.put('servers', '', 'i-1', entry_row('draining', born=2))
        await until(lambda: testbed.none_uses('i-1'))
        testbed.store.restore(earlier)
        await self._watch(lambda: testbed.none_uses('i-1'))

    async def _keep_gone(self, testbed: StoreTestbed) -> None:
        earlier = testbed.store.backup()
        testbed.store.drop('servers', '', 'i-1')
        await until(lambda: testbed.none_uses('i-1'))
        testbed.store.restore(earlier)
        await self._watch(lambda: testbed.none_uses('i-1'))

    async def _keep_new(self, testbed: StoreTestbed) -> None:
        earlier = testbed.store.backup()
        entry = entry_row(born=8)
        testbed.store.put('servers', '', 'i-7', entry)
        await until(lambda: testbed.all_use('i-7'))
        testbed.store.restore(earlier)
        await self._watch(lambda: testbed.all_use('i-7'), _AGAIN_SECONDS)
        testbed.store.put('servers', '', 'i-7', entry)
        await self._watch(lambda: testbed.all_use('i-7'))

    async def _watch(
        self,
        holds: Callable[[], bool],
        seconds: float = _WATCH_SECONDS,
    ) -> None:
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            self.assertTrue(holds())
            await curio.sleep(0.01)

    async def _take_lease(self) -> None:
        store = populated_store(_INSTANCES)
        server, address = await start(store)
        earlier = store.backup()
        first, second = (
            Lease('x/y', name, PlatformTable(StoreClient(address)), _TIMES)
            for name in ('first', 'second')
        )
        self.assertTrue(await first.acquire_or_renew())
        store.restore(earlier)
        await second.acquire_or_renew()
        await curio.sleep(_TIMES.takeover_seconds + 0.1)
        self.assertTrue(await second.acquire_or_renew())
        self.assertGreater(second.fencing, first.fencing)
        await server.cancel()
