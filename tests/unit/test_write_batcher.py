"""Transactions that are committed in batches."""

import unittest

import attrs
import curio

from cranecart.exceptions import WriteConflictError
from cranecart.native import WriteBatcher
from cranecart.ports import Check, Put, Transaction
from tests.lib.fake_platform import FakePlatform


@attrs.define
class _SlowPlatform(FakePlatform):
    """A platform so slow that others are queued during the first commit."""

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction after a delay."""
        await curio.sleep(0.02)
        return await FakePlatform.commit(self, transaction)


def _insert(key: str, text: str) -> Transaction:
    return Transaction((Check(key, 0),), (Put(key, text),))


class WriteBatcherTest(unittest.TestCase):
    """Inserts that are queued during another commit."""

    def test_conflicting_inserts(self) -> None:
        """Only one of several inserts of the same row succeeds."""
        outcomes = curio.run(self._insert_copies)
        self.assertEqual(outcomes.count(True), 1)

    def test_independent_inserts(self) -> None:
        """Inserts of different rows all succeed, in few commits."""
        platform = _SlowPlatform()
        outcomes = curio.run(self._insert_all, platform, 'abcdef')
        self.assertTrue(all(outcomes))
        self.assertLessEqual(platform.version, 3)

    async def _insert_copies(self) -> list[bool]:
        return await self._insert_all(_SlowPlatform(), 'xkkkkk')

    async def _insert_all(
        self,
        platform: FakePlatform,
        keys: str,
    ) -> list[bool]:
        batcher = WriteBatcher(platform)  # type: ignore[arg-type]
        async with curio.TaskGroup(wait=all) as tasks:
            for number, key in enumerate(keys):
                await tasks.spawn(
                    _try_commit, batcher, _insert(key, str(number))
                )
        successes: list[bool] = list(tasks.results)
        return successes if len(set(keys)) == len(keys) else successes[1:]


async def _try_commit(batcher: WriteBatcher, transaction: Transaction) -> bool:
    try:
        await batcher.commit(transaction)
    except WriteConflictError:
        return False
    return True
