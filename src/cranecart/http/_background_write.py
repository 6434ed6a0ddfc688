"""Send a request while its response may already be read."""

from collections.abc import Awaitable, Callable

import attrs
import curio

from cranecart.exceptions import ConnectionBrokenError


@attrs.define
class BackgroundWrite:
    """The task that writes a request, and the error that ended it."""

    _task: curio.Task | None = attrs.field(default=None, init=False)
    _error: ConnectionBrokenError | None = attrs.field(default=None, init=False)

    async def start(
        self, write: Callable[[bytes], Awaitable[None]], encoded: bytes
    ) -> None:
        """Begin to write; ``write`` may raise ``ConnectionBrokenError``."""
        self._task = await curio.spawn(self._run, write, encoded, daemon=True)

    async def check(self) -> None:
        """Wait for the end; raise ``ConnectionBrokenError`` if it failed.

        A socket reports a reset once. If that was to the writer, the reader
        gets an end of file, which would end a response without a length.
        """
        if self._task is not None:
            await self._task.wait()
        if self._error is not None:
            raise ConnectionBrokenError(
                'the connection broke before the request was sent whole'
            ) from self._error

    async def cancel(self) -> None:
        """Stop writing; safe to call twice."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(
        self, write: Callable[[bytes], Awaitable[None]], encoded: bytes
    ) -> None:
        try:
            await write(encoded)
        except ConnectionBrokenError as error:
            # A response that was sent before may still be read.
            self._error = error
