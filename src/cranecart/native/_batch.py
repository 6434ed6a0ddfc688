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

    async def finish(self, version: int, error: PlatformError | None) -> None:
        self.version = version
        self.error = error
        await self.done.set()


@attrs.define
class WriteBatcher:
    """Commits what has come while the commit before was under way.

    Transactions must not share rows with each other, as claims do not. If
    one of a batch meets a conflict, each is committed by itself.
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
            together = self._queue[:_MAX_TOGETHER]
            del self._queue[:_MAX_TOGETHER]  # noqa: WPS420
            await self._commit_all(together)
        self._is_running = False

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
