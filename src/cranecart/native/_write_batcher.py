"""Combine small transactions into batches, without delaying the first one."""

import attrs
import curio

from cranecart.exceptions import PlatformError, WriteConflictError
from cranecart.native._client import PlatformClient
from cranecart.ports import Row, Transaction

_MAX_BATCH_SIZE = 64


@attrs.define(eq=False)
class _PendingTransaction:
    """A queued transaction and its result, for which the caller waits."""

    transaction: Transaction
    finished: curio.Event = attrs.field(factory=curio.Event)
    version: int = 0
    error: PlatformError | None = None

    def keys(self) -> frozenset[str]:
        """Return the keys of all rows that are checked or changed."""
        read = (check.key for check in self.transaction.checks)
        written = (put.key for put in self.transaction.puts)
        return frozenset((*read, *written, *self.transaction.deletes))

    async def finish(self, version: int, error: PlatformError | None) -> None:
        self.version = version
        self.error = error
        await self.finished.set()


@attrs.define
class WriteBatcher:
    """Commits together all transactions queued during the previous commit.

    Transactions that share rows go into successive batches. In the same batch
    all of them would pass checks that only the first may pass, for example with
    copies of a call at one node. If a batch fails with a conflict, its
    transactions are committed one by one.
    """

    _platform: PlatformClient
    _queue: list[_PendingTransaction] = attrs.field(factory=list, init=False)
    _is_running: bool = attrs.field(default=False, init=False)

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction; raise the errors of ``PlatformClient.commit``.

        Return the version of its rows.
        """
        pending = _PendingTransaction(transaction)
        self._queue.append(pending)
        if not self._is_running:
            self._is_running = True
            await curio.spawn(self._run, daemon=True)
        await pending.finished.wait()
        if pending.error is not None:
            raise pending.error
        return pending.version

    async def read_key(self, key: str) -> Row | None:
        """Read a row directly, not in a batch; raise ``PlatformError``."""
        return (await self._platform.read_keys([key])).get(key)

    async def _run(self) -> None:
        while self._queue:
            await self._commit_batch(self._next_batch())
        self._is_running = False

    def _next_batch(self) -> list[_PendingTransaction]:
        """Dequeue transactions that share no rows; keep the others in order.

        A transaction also stays if it shares rows with one that stays, so that
        transactions on the same row are committed in order.
        """
        batch: list[_PendingTransaction] = []
        remaining: list[_PendingTransaction] = []
        seen_keys: set[str] = set()
        for pending in self._queue:
            keys = pending.keys()
            if len(batch) < _MAX_BATCH_SIZE and not seen_keys & keys:
                batch.append(pending)
            else:
                remaining.append(pending)
            seen_keys |= keys
        self._queue = remaining
        return batch

    async def _commit_batch(self, batch: list[_PendingTransaction]) -> None:
        try:
            version = await self._platform.commit(_merge(batch))
        except WriteConflictError as error:
            await self._commit_separately(batch, error)
        except PlatformError as error:
            for pending in batch:
                await pending.finish(0, error)
        else:
            for pending in batch:
                await pending.finish(version, None)

    async def _commit_separately(
        self,
        batch: list[_PendingTransaction],
        error: WriteConflictError,
    ) -> None:
        if len(batch) == 1:
            await batch[0].finish(0, error)
            return
        for pending in batch:
            await self._commit_batch([pending])


def _merge(batch: list[_PendingTransaction]) -> Transaction:
    transactions = [pending.transaction for pending in batch]
    return Transaction(
        tuple(
            check
            for transaction in transactions
            for check in transaction.checks
        ),
        tuple(put for transaction in transactions for put in transaction.puts),
        tuple(
            key for transaction in transactions for key in transaction.deletes
        ),
    )
