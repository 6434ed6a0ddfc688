"""Put many small transactions into one, without making the first one wait."""

import attrs
import curio

from cranecart.exceptions import PlatformError, WriteConflictError
from cranecart.native._client import PlatformClient
from cranecart.ports import Row, Transaction

_MAX_TOGETHER = 64


@attrs.define(eq=False)
class _Waiting:
    """A transaction, and the outcome that its caller waits for."""

    transaction: Transaction
    done: curio.Event = attrs.field(factory=curio.Event)
    version: int = 0
    error: PlatformError | None = None

    def rows(self) -> frozenset[str]:
        """Return the keys of all rows that it reads or changes."""
        checked = (check.key for check in self.transaction.checks)
        put = (put.key for put in self.transaction.puts)
        return frozenset((*checked, *put, *self.transaction.deletes))

    async def finish(self, version: int, error: PlatformError | None) -> None:
        self.version = version
        self.error = error
        await self.done.set()


@attrs.define
class WriteBatcher:
    """Commits what has come while the commit before was under way.

    Transactions that share rows go into batches one after the other: together
    each would pass the checks that only the first of them may pass, as with
    copies of one call at one node. If one of a batch meets a conflict, each
    is committed by itself.
    """

    _platform: PlatformClient
    _queue: list[_Waiting] = attrs.field(factory=list, init=False)
    _is_running: bool = attrs.field(default=False, init=False)

    async def commit(self, transaction: Transaction) -> int:
        """Write a transaction; raise what ``PlatformClient.commit`` does."""
        waiting = _Waiting(transaction)
        self._queue.append(waiting)
        if not self._is_running:
            self._is_running = True
            await curio.spawn(self._run, daemon=True)
        await waiting.done.wait()
        if waiting.error is not None:
            raise waiting.error
        return waiting.version

    async def read_key(self, key: str) -> Row | None:
        """Read one row past the batches; raise ``PlatformError``."""
        return (await self._platform.read_keys([key])).get(key)

    async def _run(self) -> None:
        while self._queue:
            await self._commit_all(self._take_together())
        self._is_running = False

    def _take_together(self) -> list[_Waiting]:
        """Take what shares no row, and leave the rest in its order."""
        together: list[_Waiting] = []
        left: list[_Waiting] = []
        taken: set[str] = set()
        for waiting in self._queue:
            rows = waiting.rows()
            if len(together) < _MAX_TOGETHER and not taken & rows:
                together.append(waiting)
            else:
                left.append(waiting)
            taken |= rows
        self._queue = left
        return together

    async def _commit_all(self, together: list[_Waiting]) -> None:
        try:
            version = await self._platform.commit(_merge(together))
        except WriteConflictError as error:
            await self._commit_alone(together, error)
        except PlatformError as error:
            for waiting in together:
                await waiting.finish(0, error)
        else:
            for waiting in together:
                await waiting.finish(version, None)

    async def _commit_alone(
        self,
        together: list[_Waiting],
        error: WriteConflictError,
    ) -> None:
        if len(together) == 1:
            await together[0].finish(0, error)
            return
        for waiting in together:
            await self._commit_all([waiting])


def _merge(together: list[_Waiting]) -> Transaction:
    parts = [waiting.transaction for waiting in together]
    return Transaction(
        tuple(check for part in parts for check in part.checks),
        tuple(put for part in parts for put in part.puts),
        tuple(key for part in parts for key in part.deletes),
    )
