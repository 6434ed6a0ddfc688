"""Feeds on connections that fell silent, while the store answers others."""

import unittest

import curio

from tests.lib.store_testbed import StoreTestbed, config_row, run_scenario
from tests.lib.waiting import until

_BOUND_SECONDS = 2.0
_MUTE_SECONDS = 0.5
_INSTANCES = 4
_SETTLE_SECONDS = 1.5
# After which nodes count as in touch with the store again.
_CONTACT_SECONDS = 3.0


class StalledFeedsTest(unittest.TestCase):
    """A feed that waits for long hears no end of its connection."""

    def test_configuration_feeds_silent_at_all_nodes(self) -> None:
        """The store was mute for half a second; it is followed since."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._configure)

    def test_configuration_feed_silent_at_one_node(self) -> None:
        """Nobody else could tell it."""
        run_scenario(1, _INSTANCES, _SETTLE_SECONDS, self._configure)

    def test_records_feeds_silent_at_all_nodes(self) -> None:
        """Nodes hear of rows that are written later."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._record)

    def test_reader_gone_after_its_feeds_fell_silent(self) -> None:
        """Only its own feeds had been renewed; the next reader's are too."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._succeed)

    async def _fall_silent(self, testbed: StoreTestbed) -> None:
        testbed.store.set_unresponsive(is_unresponsive=True)
        await curio.sleep(_MUTE_SECONDS)
        testbed.store.set_unresponsive(is_unresponsive=False)
        await curio.sleep(_CONTACT_SECONDS)

    async def _configure(self, testbed: StoreTestbed) -> None:
        await self._fall_silent(testbed)
        testbed.store.put('op', '', 'config', config_row(11))
        await until(lambda: testbed.all_have_version(11), _BOUND_SECONDS)

    async def _record(self, testbed: StoreTestbed) -> None:
        await self._fall_silent(testbed)
        peer = {'address': '127.0.0.1:1', 'failure_domain': 'd0'}
        testbed.store.put('placement', 'all', 'node/other', peer)
        await until(lambda: testbed.all_know_peer('other'), _BOUND_SECONDS)

    async def _succeed(self, testbed: StoreTestbed) -> None:
        await self._fall_silent(testbed)
        await testbed.kill(testbed.reader())
        await curio.sleep(_CONTACT_SECONDS)
        testbed.store.put('op', '', 'config', config_row(11))
        await until(lambda: testbed.all_have_version(11), _BOUND_SECONDS)
