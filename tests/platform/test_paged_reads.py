"""Changes of a table between two pages of a read must not be missed."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.exceptions import HistoryLostError, PlatformUnavailableError
from cranecart.platform import (
    PlatformRowSource,
    PlatformTable,
    PlatformTargetList,
    StoreClient,
)
from cranecart.ports import Source
from tests.lib.store_testbed import entry_row
from tests.platform._standin import RowKey, StandinStore, start

_PAGE_ROWS = 3
_ENTRIES = 9
_TABLE = 't'
_PARTS = ('p', 'q')
# More reads than any drawn loss of the history can require.
_MAX_READS = 20

Change = Callable[[StandinStore], None]


@attrs.define
class _Step:
    """A drawn change: delete or write a row, or discard the history."""

    kind: str
    part: str
    number: int

    def apply(self, store: StandinStore) -> None:
        """Change the store."""
        key = (_TABLE, self.part, f'k{self.number}')
        if self.kind == 'discard':
            store.discard_history()
        elif self.kind == 'put':
            store.put(*key, store.version)
        elif key in store.rows:
            store.drop(*key)


_STEPS = st.builds(
    _Step,
    st.sampled_from(('put', 'put', 'drop', 'drop', 'discard')),
    st.sampled_from(_PARTS),
    st.integers(0, _ENTRIES),
)


class PagedReadTest(unittest.TestCase):
    """A read of several pages, and the changes that follow its version."""

    def setUp(self) -> None:
        """List instances on several pages."""
        self.store = StandinStore(page_rows=_PAGE_ROWS)
        for number in range(_ENTRIES):
            self.store.put('servers', '', f'i-{number}', entry_row())

    def test_entry_deleted_between_two_pages(self) -> None:
        """An instance that left after its page was read is not listed."""
        self._change_after_page(1, lambda store: store.drop(*_entry(0)))
        self.assertNotIn('i-0', self._followed_list())

    def test_entry_changed_between_two_pages(self) -> None:
        """An instance that began to leave after its page is leaving."""
        self._change_after_page(
            2, lambda store: store.put(*_entry(4), entry_row('draining'))
        )
        self.assertTrue(self._followed_list()['i-4'].leaving)

    def test_entry_added_to_an_earlier_page(self) -> None:
        """An instance that is listed after its page was read is known."""
        self._change_after_page(
            1, lambda store: store.put(*_entry('00'), entry_row())
        )
        self.assertIn('i-00', self._followed_list())

    def test_entry_deleted_and_written_again_between_pages(self) -> None:
        """The last of several changes counts."""
        self._change_after_page(1, lambda store: store.drop(*_entry(0)))
        self._change_after_page(
            2, lambda store: store.put(*_entry(0), entry_row(slots=9))
        )
        self.assertEqual(self._followed_list()['i-0'].slots, 9)

    def test_pages_cut_by_size(self) -> None:
        """Pages may have any number of rows."""
        self._change_after_page(1, lambda store: setattr(store, 'page_rows', 1))
        self._change_after_page(4, lambda store: store.drop(*_entry(3)))
        self.assertNotIn('i-3', self._followed_list())

    def test_rest_of_a_list_behind_an_empty_page(self) -> None:
        """A page without rows that is not the last one is an error.

        The rows after it would be taken for deleted.
        """
        self._change_after_page(1, lambda store: setattr(store, 'page_rows', 0))
        with self.assertRaises(PlatformUnavailableError):
            self._run(lambda client: PlatformTargetList(client).snapshot())

    def test_history_lost_between_two_pages(self) -> None:
        """The list is read anew, and no instance that left is kept."""
        self._change_after_page(1, lambda store: store.drop(*_entry(0)))
        self._change_after_page(1, lambda store: store.discard_history())
        self.assertNotIn('i-0', self._followed_list())

    def test_list_with_histories_shorter_than_a_read(self) -> None:
        """What was read is passed on, as of the version of the first page."""
        first_versions: list[int] = []

        def change(_table: str) -> None:  # noqa: WPS430
            first_versions.append(self.store.version)
            self.store.put(*_entry(8), entry_row())
            self.store.discard_history()

        self.store.after_page = change
        snapshot = self._run(
            lambda client: PlatformTargetList(client).snapshot()
        )
        self.assertEqual(len(snapshot.items), _ENTRIES)
        self.assertEqual(snapshot.version, first_versions[0])

    def test_rows_of_a_transaction_read_in_part(self) -> None:
        """A read never shows a transaction between two pages by half."""
        self.store = StandinStore(page_rows=1)
        for key in ('a', 'b', 'c'):
            self.store.put(_TABLE, 'p', key, 'before')
        self._change_after_page(1, _move_row)
        rows = self._run(
            lambda client: PlatformTable(client).read_prefix(f'{_TABLE}/p/')
        )
        self.assertEqual(
            list(rows), [f'{_TABLE}/p/a0', f'{_TABLE}/p/b', f'{_TABLE}/p/c']
        )

    def test_transaction_with_a_lost_history_read_in_part(self) -> None:
        """Without a history, rows that depend on each other are not read."""
        self.store = StandinStore(page_rows=1)
        for key in ('a', 'b', 'c'):
            self.store.put(_TABLE, 'p', key, 'before')
        self._change_after_page(1, _move_row)
        self._change_after_page(1, lambda store: store.discard_history())
        with self.assertRaises(PlatformUnavailableError):
            self._run(
                lambda client: PlatformTable(client).read_prefix(f'{_TABLE}/p/')
            )

    @given(
        initial=st.lists(_STEPS, max_size=12),
        between=st.lists(st.lists(_STEPS, max_size=3), max_size=8),
        page_rows=st.integers(1, 4),
    )
    @settings(max_examples=60, deadline=None)
    def test_rows_of_several_parts_differ_from_the_store(
        self,
        initial: list[_Step],
        between: list[list[_Step]],
        page_rows: int,
    ) -> None:
        """All rows are as of the version of the read."""
        self.store = StandinStore(page_rows=page_rows)
        self.store.put(_TABLE, 'p', 'k0', 0)
        for step in initial:
            step.apply(self.store)
        contents = {self.store.version: dict(self.store.rows)}
        batches = iter(between)

        def change(_table: str) -> None:  # noqa: WPS430
            for step in next(batches, ()):
                step.apply(self.store)
                contents[self.store.version] = dict(self.store.rows)

        self.store.after_page = change
        rows, version = self._run(_read_until_consistent)
        expected = contents[version]
        self.assertEqual(
            rows, {'/'.join(key): value[0] for key, value in expected.items()}
        )

    def _change_after_page(self, number: int, change: Change) -> None:
        """Change the store after a page; changes of a page add up."""
        earlier = self.store.after_page
        remaining = iter(range(number - 1, -1, -1))

        def after_page(table: str) -> None:  # noqa: WPS430
            earlier(table)
            if next(remaining, None) == 0:
                change(self.store)

        self.store.after_page = after_page

    def _followed_list(self) -> dict[str, Any]:
        """Return the list that a node knows which follows it."""
        return self._run(
            lambda client: _follow(PlatformTargetList(client), self.store)
        )

    def _run(self, call: Callable[[StoreClient], Awaitable[Any]]) -> Any:
        return curio.run(self._call, call)

    async def _call(self, call: Callable[[StoreClient], Awaitable[Any]]) -> Any:
        server, address = await start(self.store)
        try:
            return await call(StoreClient(address))
        finally:
            await server.cancel()


def _entry(number: object) -> RowKey:
    return 'servers', '', f'i-{number}'


def _move_row(store: StandinStore) -> None:
    """Replace the row ``a`` by ``a0`` in one transaction."""
    store.put(_TABLE, 'p', 'a0', 'after')
    store.version -= 1
    store.drop(_TABLE, 'p', 'a')


async def _follow(source: Source[Any], store: StandinStore) -> dict[str, Any]:
    """Read a source and its changes until the version of the store."""
    for _read in range(_MAX_READS):
        snapshot = await source.snapshot()
        known = dict(snapshot.items)
        try:
            changes = await source.changes(snapshot.version, 0)
        except HistoryLostError:
            continue
        known.update(changes.items)
        return {key: item for key, item in known.items() if item is not None}
    raise AssertionError(f'not read up to version {store.version}')


async def _read_until_consistent(
    client: StoreClient,
) -> tuple[dict[str, int], int]:
    """Read rows again until their history lasts as long as the read."""
    source = PlatformRowSource(client, _TABLE, _PARTS)
    for _read in range(_MAX_READS):
        try:
            snapshot = await source.snapshot()
        except HistoryLostError:
            continue
        rows = {key: row.version for key, row in snapshot.items.items()}
        return rows, snapshot.version
    raise AssertionError('the rows were not read')
