"""Versions and conditions of a store that comes back from a copy."""

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
from cranecart.ports import Check, Put, Transaction, era_of, version_in
from tests.platform._standin import StandinStore, start

_KEY = 'placement/all/k'


class _TurningStore(StandinStore):
    """A stand-in that comes back while it answers."""

    turns: int = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call, perhaps in another era than the last."""
        if self.turns:
            self.turns -= 1
            self.restore(self.backup())
        await super().handle(request, responder)


async def _write(table: PlatformTable, version: int = 0) -> int:
    checks = (Check(_KEY, version),) if version else ()
    return await table.commit(Transaction(checks, (Put(_KEY, 'x'),)))


class RowVersionsTest(unittest.TestCase):
    """What is newer has the greater version, in whatever era."""

    @given(
        st.tuples(st.integers(0, 9000), st.integers(0, 10**12 - 1)),
        st.tuples(st.integers(0, 9000), st.integers(0, 10**12 - 1)),
    )
    def test_order(self, one: tuple[int, int], other: tuple[int, int]) -> None:
        """Versions are ordered by era, then by number."""
        self.assertEqual(version_in(*one) < version_in(*other), one < other)

    def test_versions_rise_over_a_return(self) -> None:
        """Also where the store gives lower numbers out again."""
        self._run(self._read_twice)

    def test_feed_from_an_earlier_era_reads_nothing(self) -> None:
        """Its version may have been given out again."""
        self._run(self._feed)

    def test_a_condition_of_an_earlier_era_never_holds(self) -> None:
        """Another row may have got its number since."""
        self._run(self._commit_old)

    def test_a_write_that_passes_a_return_is_unknown(self) -> None:
        """It was judged by another row than the one that was read."""
        self._run(self._commit_meanwhile)

    def test_pages_of_two_eras_are_no_whole(self) -> None:
        """A list that was read across a return mixes two."""
        self._run(self._read_across)

    def test_a_late_answer_says_nothing(self) -> None:
        """It was made before another that has come."""
        self._run(self._answer_late)

    def _run(
        self,
        scenario: Callable[[_TurningStore, StoreClient], Awaitable[None]],
    ) -> None:
        async def play() -> None:  # noqa: WPS430
            store = _TurningStore(era=1)
            server, address = await start(store)
            await scenario(store, StoreClient(address))
            await server.cancel()

        curio.run(play)

    async def _read_twice(
        self,
        store: _TurningStore,
        client: StoreClient,
    ) -> None:
        earlier = store.backup()
        for _turn in range(5):
            store.put('t', '', 'k', 'x')
        before = await client.read_part('t', '')
        store.restore(earlier)
        store.put('t', '', 'k', 'y')
        after = await client.read_part('t', '')
        self.assertGreater(after.schema_version, before.schema_version)
        self.assertGreater(
            after.rows[0].schema_version,
            before.rows[0].schema_version,
        )

    async def _feed(self, store: _TurningStore, client: StoreClient) -> None:
        store.put('t', '', 'k', 'x')
        seen = (await client.read_part('t', '')).schema_version
        store.restore(store.backup())
        with self.assertRaises(HistoryLostError):
            await client.feed('t', seen, 0)
        self.assertEqual(client.era, 2)
        calls = store.calls.total()
        with self.assertRaises(HistoryLostError):
            await client.feed('t', seen, 0)
        self.assertEqual(store.calls.total(), calls)

    async def _commit_old(
        self,
        store: _TurningStore,
        client: StoreClient,
    ) -> None:
        table = PlatformTable(client)
        earlier = store.backup()
        version = await _write(table)
        store.restore(earlier)
        await _write(table)
        with self.assertRaises(WriteConflictError):
            await _write(table, version)

    async def _commit_meanwhile(
        self,
        store: _TurningStore,
        client: StoreClient,
    ) -> None:
        table = PlatformTable(client)
        version = await _write(table)
        store.turns = 1
        with self.assertRaises(WriteUnknownError):
            await _write(table, version)
        self.assertEqual(era_of(await _write(table)), 2)

    async def _read_across(
        self,
        store: _TurningStore,
        client: StoreClient,
    ) -> None:
        store.page_rows = 2
        for number in range(5):
            store.put('t', '', f'k{number}', 'x')
        await client.read_part('t', '')
        store.turns = 2
        with self.assertRaises(HistoryLostError):
            await client.read_part('t', '')

    async def _answer_late(
        self,
        store: _TurningStore,
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
