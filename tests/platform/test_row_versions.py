"""Versions and checks of rows in a store that is restored from a backup."""

import unittest
from collections.abc import Awaitable, Callable

import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import (
    HistoryLostError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.http import Request, Responder
from cranecart.platform import PlatformTable, StoreClient
from cranecart.ports import Check, Put, Transaction, era_of, make_version
from tests.platform._standin import StandinStore, start

_ROW_KEY = 'placement/all/k'


class _RestoringStore(StandinStore):
    """A stand-in that is restored while it answers."""

    pending_restores: int = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a call, after a restore if one is pending."""
        if self.pending_restores:
            self.pending_restores -= 1
            self.restore(self.backup())
        await super().handle(request, responder)


async def _write(table: PlatformTable, version: int = 0) -> int:
    checks = (Check(_ROW_KEY, version),) if version else ()
    return await table.commit(Transaction(checks, (Put(_ROW_KEY, 'x'),)))


class RowVersionsTest(unittest.TestCase):
    """Newer rows have higher versions, also across restores."""

    @given(
        st.tuples(st.integers(0, 9000), st.integers(0, 10**12 - 1)),
        st.tuples(st.integers(0, 9000), st.integers(0, 10**12 - 1)),
    )
    def test_versions_are_ordered_by_era(
        self, first: tuple[int, int], second: tuple[int, int]
    ) -> None:
        """Versions are ordered by era, then by number."""
        self.assertEqual(
            make_version(*first) < make_version(*second), first < second
        )

    def test_versions_rise_over_a_restore(self) -> None:
        """Versions rise even if the store issues lower numbers again."""
        self._run(self._read_before_and_after)

    def test_feed_from_an_earlier_era(self) -> None:
        """It raises an error, as its version may have been issued again."""
        self._run(self._feed)

    def test_check_of_an_earlier_era_fails(self) -> None:
        """The commit conflicts, as the number may have been issued again."""
        self._run(self._commit_with_old_check)

    def test_commit_during_a_restore_is_unknown(self) -> None:
        """Its checks were compared with restored rows, not with those read."""
        self._run(self._commit_during_restore)

    def test_pages_of_two_eras_are_rejected(self) -> None:
        """A list that is read during a restore would mix two states."""
        self._run(self._read_during_restore)

    def test_late_answer_is_rejected(self) -> None:
        """An answer of an earlier era is an error after one of a later era."""
        self._run(self._read_late_answer)

    def _run(
        self,
        scenario: Callable[[_RestoringStore, StoreClient], Awaitable[None]],
    ) -> None:
        async def run_with_store() -> None:  # noqa: WPS430
            store = _RestoringStore(era=1)
            server, address = await start(store)
            await scenario(store, StoreClient(address))
            await server.cancel()

        curio.run(run_with_store)

    async def _read_before_and_after(
        self,
        store: _RestoringStore,
        client: StoreClient,
    ) -> None:
        backup = store.backup()
        for _turn in range(5):
            store.put('t', '', 'k', 'x')
        before = await client.read_part('t', '')
        store.restore(backup)
        store.put('t', '', 'k', 'y')
        after = await client.read_part('t', '')
        self.assertGreater(after.schema_version, before.schema_version)
        self.assertGreater(
            after.rows[0].schema_version,
            before.rows[0].schema_version,
        )

    async def _feed(self, store: _RestoringStore, client: StoreClient) -> None:
        store.put('t', '', 'k', 'x')
        seen_version = (await client.read_part('t', '')).schema_version
        store.restore(store.backup())
        with self.assertRaises(HistoryLostError):
            await client.feed('t', seen_version, 0)
        self.assertEqual(client.era, 2)
        calls = store.calls.total()
        with self.assertRaises(HistoryLostError):
            await client.feed('t', seen_version, 0)
        self.assertEqual(store.calls.total(), calls)

    async def _commit_with_old_check(
        self,
        store: _RestoringStore,
        client: StoreClient,
    ) -> None:
        table = PlatformTable(client)
        backup = store.backup()
        version = await _write(table)
        store.restore(backup)
        await _write(table)
        with self.assertRaises(WriteConflictError):
            await _write(table, version)

    async def _commit_during_restore(
        self,
        store: _RestoringStore,
        client: StoreClient,
    ) -> None:
        table = PlatformTable(client)
        version = await _write(table)
        store.pending_restores = 1
        with self.assertRaises(WriteUnknownError):
            await _write(table, version)
        self.assertEqual(era_of(await _write(table)), 2)

    async def _read_during_restore(
        self,
        store: _RestoringStore,
        client: StoreClient,
    ) -> None:
        store.page_rows = 2
        for number in range(5):
            store.put('t', '', f'k{number}', 'x')
        await client.read_part('t', '')
        store.pending_restores = 2
        with self.assertRaises(HistoryLostError):
            await client.read_part('t', '')

    async def _read_late_answer(
        self,
        store: _RestoringStore,
        client: StoreClient,
    ) -> None:
        store.put('t', '', 'k', 'x')
        store.era = 3
        await client.read_part('t', '')
        store.era = 2
        with self.assertRaises(PlatformUnavailableError):
            await client.read_part('t', '')
        with self.assertRaises(WriteUnknownError):
            await _write(PlatformTable(client))
        self.assertEqual(client.era, 3)
