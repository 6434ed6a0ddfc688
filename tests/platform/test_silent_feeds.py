"""Feeds on connections that fell silent, while the store answers others."""

import unittest

import curio

from tests.lib.store_rig import StoreRig, config_row, play
from tests.lib.waiting import until

_BOUND_SECONDS = 2.0
_MUTE_SECONDS = 0.5
_INSTANCES = 4
_SETTLE_SECONDS = 1.5
# After which nodes count as in touch with the store again.
_CONTACT_SECONDS = 3.0


class SilentFeedsTest(unittest.TestCase):
    """A feed that waits for long hears no end of its connection."""

    def test_configuration_feeds_silent_at_all_nodes(self) -> None:
        """The store was mute for half a second; it is followed since."""
        play(3, _INSTANCES, _SETTLE_SECONDS, self._configure)

    def test_configuration_feed_silent_at_one_node(self) -> None:
        """Nobody else could tell it."""
        play(1, _INSTANCES, _SETTLE_SECONDS, self._configure)

    def test_records_feeds_silent_at_all_nodes(self) -> None:
        """Nodes hear of rows that are written later."""
        play(3, _INSTANCES, _SETTLE_SECONDS, self._record)

    def test_reader_gone_after_its_feeds_fell_silent(self) -> None:
        """Only its own feeds had been renewed; the next reader's are too."""
        play(3, _INSTANCES, _SETTLE_SECONDS, self._succeed)

    async def _fall_silent(self, rig: StoreRig) -> None:
        rig.store.be_mute(is_mute=True)
        await curio.sleep(_MUTE_SECONDS)
        rig.store.be_mute(is_mute=False)
        await curio.sleep(_CONTACT_SECONDS)

    async def _configure(self, rig: StoreRig) -> None:
        await self._fall_silent(rig)
        rig.store.put('op', '', 'config', config_row(11))
        await until(lambda: rig.all_in_force(11), _BOUND_SECONDS)

    async def _record(self, rig: StoreRig) -> None:
        await self._fall_silent(rig)
        peer = {'address': '127.0.0.1:1', 'failure_domain': 'd0'}
        rig.store.put('placement', 'all', 'node/other', peer)
        await until(lambda: rig.all_know_node('other'), _BOUND_SECONDS)

    async def _succeed(self, rig: StoreRig) -> None:
        await self._fall_silent(rig)
        await rig.kill(rig.reader())
        await curio.sleep(_CONTACT_SECONDS)
        rig.store.put('op', '', 'config', config_row(11))
        await until(lambda: rig.all_in_force(11), _BOUND_SECONDS)
