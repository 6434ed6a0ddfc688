"""Feeds on connections that fell silent, while the store answers others."""

import unittest
from collections.abc import Awaitable, Callable

import curio

from tests.lib.store_rig import StoreRig, config_row, entry_row
from tests.lib.waiting import until
from tests.platform._standin import StandinStore

_BOUND_SECONDS = 2.0
_MUTE_SECONDS = 0.5
# After which nodes count as in touch with the store again.
_CONTACT_SECONDS = 3.0


def _filled() -> StandinStore:
    store = StandinStore(era=1)
    store.put('op', '', 'config', config_row(10))
    for number in range(4):
        store.put('servers', '', f'i-{number}', entry_row(born=number + 1))
    return store


class SilentFeedsTest(unittest.TestCase):
    """A feed that waits for long hears no end of its connection."""

    def test_configuration_feeds_silent_at_all_nodes(self) -> None:
        """The store was mute for half a second; it is followed since."""
        self._play(3, self._configure)

    def test_configuration_feed_silent_at_one_node(self) -> None:
        """Nobody else could tell it."""
        self._play(1, self._configure)

    def test_records_feeds_silent_at_all_nodes(self) -> None:
        """Nodes hear of rows that are written later."""
        self._play(3, self._record)

    def test_reader_gone_after_its_feeds_fell_silent(self) -> None:
        """Only its own feeds had been renewed; the next reader's are too."""
        self._play(3, self._succeed)

    def _play(
        self,
        count: int,
        scene: Callable[[StoreRig], Awaitable[None]],
    ) -> None:
        async def play() -> None:  # noqa: WPS430
            rig = await StoreRig.of(count, _filled())
            await curio.sleep(1.5)
            rig.store.be_mute(is_mute=True)
            await curio.sleep(_MUTE_SECONDS)
            rig.store.be_mute(is_mute=False)
            await scene(rig)
            await rig.close()

        curio.run(play)

    async def _configure(self, rig: StoreRig) -> None:
        await curio.sleep(_CONTACT_SECONDS)
        rig.store.put('op', '', 'config', config_row(11))
        await until(lambda: rig.all_in_force(11), _BOUND_SECONDS)

    async def _record(self, rig: StoreRig) -> None:
        await curio.sleep(_CONTACT_SECONDS)
        peer = {'address': '127.0.0.1:1', 'failure_domain': 'd0'}
        rig.store.put('placement', 'all', 'node/other', peer)
        await until(lambda: rig.all_know_node('other'), _BOUND_SECONDS)

    async def _succeed(self, rig: StoreRig) -> None:
        await curio.sleep(_CONTACT_SECONDS)
        await rig.kill(rig.reader())
        await curio.sleep(_CONTACT_SECONDS)
        rig.store.put('op', '', 'config', config_row(11))
        await until(lambda: rig.all_in_force(11), _BOUND_SECONDS)
