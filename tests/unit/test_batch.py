"""Transactions that are committed together."""

import unittest

import attrs
import curio

from cranecart.exceptions import WriteConflictError
from cranecart.native import WriteBatcher
from cranecart.ports import Check, Put, Transaction
from tests.lib.fake_platform import FakePlatform


@attrs.define
class _SlowPlatform(FakePlatform):
    """Takes so long that others queue while the first one is written."""

    async def commit(self, transaction: Transaction) -> int:
        """Write a transaction after a while."""
        await curio.sleep(0.02)
        return await FakePlatform.commit(self, transaction)


def _insert(key: str, text: str) -> Transaction:
    return Transaction((Check(key, 0),), (Put(key, text),))


class BatchTest(unittest.TestCase):
    """Inserts that come while another is under way."""

    def test_copies_of_one_row(self) -> None:
        """Only one of them may think that it was the first."""
        outcomes = curio.run(self._insert_copies)
        self.assertEqual(outcomes.count(True), 1)

    def test_rows_of_their_own(self) -> None:
        """They all succeed, in few commits."""
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
                await tasks.spawn(_try, batcher, _insert(key, str(number)))
        succeeded: list[bool] = list(tasks.results)
        return succeeded if len(set(keys)) == len(keys) else succeeded[1:]


async def _try(batcher: WriteBatcher, transaction: Transaction) -> bool:
    try:
        await batcher.commit(transaction)
    except WriteConflictError:
        return False
    return True
