"""Send a request while its response may already be read."""

from collections.abc import Awaitable, Callable

import attrs
import curio

from cranecart.clocks import awake_seconds
from cranecart.exceptions import ConnectionBrokenError

# A target that closes with unread input resets the connection within a round
# trip. One that only ends its response may leave the request unread for good.
_RESET_WAIT_SECONDS = 0.5


@attrs.define
class BackgroundWrite:
    """The task that writes a request, and the error that ended it."""

    _task: curio.Task | None = attrs.field(default=None, init=False)
    _error: ConnectionBrokenError | None = attrs.field(default=None, init=False)
    # Kept between calls of ``check``, as the reader may be interrupted.
    _wait_until: float | None = attrs.field(default=None, init=False)

    async def start(
        self, write: Callable[[bytes], Awaitable[None]], encoded: bytes
    ) -> None:
        """Begin to write; ``write`` may raise ``ConnectionBrokenError``."""
        self._task = await curio.spawn(self._run, write, encoded, daemon=True)

    async def check(self) -> None:
        """Raise ``ConnectionBrokenError`` if writing failed or fails soon.

        A socket reports a reset once. If that was to the writer, the reader
        gets an end of file, which would end a response without a length.
        """
        if self._wait_until is None:
            self._wait_until = awake_seconds() + _RESET_WAIT_SECONDS
        if self._task is not None:
            seconds = max(0, self._wait_until - awake_seconds())
            await curio.ignore_after(seconds, self._task.wait)
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
