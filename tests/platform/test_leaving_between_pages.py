"""Instances that leave while nodes read a list of several pages."""

import itertools
import unittest
from collections.abc import Callable

import curio

from tests.lib.store_testbed import StoreTestbed, entry_row, run_scenario
from tests.lib.waiting import until

_INSTANCES = 24
_PAGE_ROWS = 10
_SETTLE_SECONDS = 3.0
# Nodes may send to a leaving instance for two seconds, of which the other half
# is for requests that are under way.
_NOTICE_SECONDS = 1.0
_WRITE_INTERVAL_SECONDS = 0.01
_WATCH_SECONDS = 2.0
# Reads of a list whose history is always lost, by all nodes together.
_MAX_READS_PER_SECOND = 10


class LeavingBetweenPagesTest(unittest.TestCase):
    """An instance that leaves during a read gets no more requests."""

    def test_instance_left_while_a_started_node_read_the_list(self) -> None:
        """A node that starts learns of an entry that goes between two pages."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._start_node)

    def test_instance_left_while_a_lost_history_was_read_anew(self) -> None:
        """All nodes learn of it after the store has lost its history."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._lose_history)

    def test_instance_drained_while_a_lost_history_was_read_anew(self) -> None:
        """The same where the entry says that the instance is leaving."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._drain)

    def test_instance_left_while_the_list_kept_changing(self) -> None:
        """Changes of other entries during the read do not delay it."""
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._rewrite_entries)

    def test_instance_left_while_histories_were_too_short(self) -> None:
        """Nodes learn of it though no history lasts as long as a read.

        They do not read without pause either.
        """
        run_scenario(3, _INSTANCES, _SETTLE_SECONDS, self._lose_each_history)

    async def _start_node(self, testbed: StoreTestbed) -> None:
        testbed.store.page_rows = _PAGE_ROWS
        _once_after_page(
            testbed, lambda: testbed.store.drop('servers', '', 'i-0')
        )
        node = await testbed.start('node-09')
        await until(lambda: node.followers.is_informed, _NOTICE_SECONDS)
        await until(lambda: testbed.none_uses('i-0'), _NOTICE_SECONDS)

    async def _lose_history(self, testbed: StoreTestbed) -> None:
        await self._change_after_lost_history(
            testbed, lambda: testbed.store.drop('servers', '', 'i-0')
        )

    async def _drain(self, testbed: StoreTestbed) -> None:
        await self._change_after_lost_history(
            testbed,
            lambda: testbed.store.put(
                'servers', '', 'i-0', entry_row('draining', born=1)
            ),
        )

    async def _rewrite_entries(self, testbed: StoreTestbed) -> None:
        writing = await curio.spawn(_rewrite_other_entries, testbed)
        try:
            await self._lose_history(testbed)
        finally:
            await writing.cancel()

    async def _lose_each_history(self, testbed: StoreTestbed) -> None:
        store = testbed.store

        def lose_history(table: str) -> None:  # noqa: WPS430
            if table == 'servers':
                store.put('servers', '', 'i-9', entry_row(born=10))
                store.discard_history()

        store.page_rows = _PAGE_ROWS
        store.after_page = lose_history
        store.put('servers', '', 'i-9', entry_row(born=10))
        store.discard_history()
        await curio.sleep(_WATCH_SECONDS)
        store.drop('servers', '', 'i-0')
        await until(lambda: testbed.none_uses('i-0'), _NOTICE_SECONDS)
        store.calls.clear()
        await curio.sleep(_WATCH_SECONDS)
        pages = store.calls['/rows-get', 'servers']
        reads = pages / (_INSTANCES // _PAGE_ROWS + 1)
        self.assertLessEqual(reads, _MAX_READS_PER_SECOND * _WATCH_SECONDS)

    async def _change_after_lost_history(
        self, testbed: StoreTestbed, change: Callable[[], None]
    ) -> None:
        testbed.store.page_rows = _PAGE_ROWS
        _once_after_page(testbed, change)
        testbed.store.put('servers', '', 'i-9', entry_row(born=10))
        testbed.store.discard_history()
        await until(
            lambda: testbed.store.calls['/rows-get', 'servers'] > 0,
            _NOTICE_SECONDS,
        )
        await until(lambda: testbed.none_uses('i-0'), _NOTICE_SECONDS)


def _once_after_page(testbed: StoreTestbed, change: Callable[[], None]) -> None:
    """Change the store once, after the first page of the list."""
    pages = itertools.count()
    testbed.store.calls.clear()

    def after_page(table: str) -> None:  # noqa: WPS430
        if table == 'servers' and next(pages) == 0:
            change()

    testbed.store.after_page = after_page


async def _rewrite_other_entries(testbed: StoreTestbed) -> None:
    for number in itertools.cycle(range(1, _INSTANCES)):
        entry = entry_row(born=number + 1)
        testbed.store.put('servers', '', f'i-{number}', entry)
        await curio.sleep(_WRITE_INTERVAL_SECONDS)
