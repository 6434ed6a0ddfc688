"""Track whether a node can reach the store, for all of its readers.

While the store is down or refuses this node, a single reader probes it and the
others wait, because rejected calls cost the store as much as others.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import PlatformError, ReadAbandonedError

Answer = TypeVar('Answer')

# Waiting readers check at this interval whether the store is reachable again,
# and try for themselves if the probing reader has had no success for the maximum
# time.
_CHECK_INTERVAL_SECONDS = 0.1
_MAX_STANDBY_SECONDS = 5.0
# With jitter, the recovery of the store is detected within a second.
_MAX_RETRY_SECONDS = 0.7
# Other nodes that reach the store share with this node what they read.
_MAX_RETRY_SECONDS_WITH_SHARED_READER = 3.0


@attrs.define
class StoreReachability:
    """Reachability of the store from one node.

    ``has_shared_reader`` returns whether another node reads the store and
    shares its updates with this node.
    """

    _has_shared_reader: Callable[[], bool] = attrs.field(default=bool)
    _probing_reader: str = attrs.field(default='', init=False)
    _restart_requested: curio.Event = attrs.field(
        factory=curio.Event, init=False
    )

    @property
    def is_unreachable(self) -> bool:
        """Return whether a call failed and none has succeeded since."""
        return bool(self._probing_reader)

    @property
    def max_retry_seconds(self) -> float:
        """Return the maximum delay between two tries of the probing reader."""
        return (
            _MAX_RETRY_SECONDS_WITH_SHARED_READER
            if self._has_shared_reader()
            else _MAX_RETRY_SECONDS
        )

    def mark_reachable(self) -> None:
        """Record that the store has answered."""
        self._probing_reader = ''

    async def restart_reads(self) -> None:
        """Make all readers that wait for an answer repeat their call.

        A stalled connection is not closed, so a long poll on it would hang
        until its timeout.
        """
        restart_requested = self._restart_requested
        self._restart_requested = curio.Event()
        await restart_requested.set()

    async def read(
        self,
        call: Callable[[int, float], Awaitable[Answer]],
        since: int,
        seconds: float,
        is_arriving: Callable[[], bool] = bool,
    ) -> Answer:
        """Return the changes of a source, waiting up to ``seconds`` for any.

        Raise ``PlatformError`` if the call fails, and ``ReadAbandonedError`` if
        ``restart_reads`` was called meanwhile, unless the answer
        ``is_arriving``: it would have to be sent again from its first byte.
        """
        reading = await curio.spawn(_read_or_error, call, since, seconds)
        try:
            await self._wait_for_answer(reading)
            if is_arriving():
                await reading.wait()
        finally:
            await reading.cancel()
        if reading.cancelled:
            raise ReadAbandonedError(
                'the read was restarted to use a new connection'
            )
        answer: Answer | PlatformError = reading.result
        if isinstance(answer, PlatformError):
            raise answer
        return answer

    async def wait_to_retry(self, reader: str, pause: float) -> None:
        """Wait after a failed call, until a reader should try again."""
        if not self._probing_reader:
            self._probing_reader = reader
        if self._probing_reader == reader:
            await self._pause(pause)
            return
        waited = 0
        while (
            self._probing_reader
            and waited * _CHECK_INTERVAL_SECONDS < _MAX_STANDBY_SECONDS
        ):
            await curio.sleep(_CHECK_INTERVAL_SECONDS)
            waited += 1

    async def _wait_for_answer(self, reading: curio.Task) -> None:
        """Wait until a read has ended or a restart is requested."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(reading.wait)
            await tasks.spawn(self._restart_requested.wait)

    async def _pause(self, seconds: float) -> None:
        """Wait, but stop early once another node turns out to be reading."""
        had_shared_reader = self._has_shared_reader()
        until = since_boot() + seconds
        remaining = seconds
        while remaining > 0 and (
            had_shared_reader or not self._has_shared_reader()
        ):
            await curio.sleep(min(remaining, _CHECK_INTERVAL_SECONDS))
            remaining = until - since_boot()


async def _read_or_error(
    call: Callable[[int, float], Awaitable[Answer]],
    since: int,
    seconds: float,
) -> Answer | PlatformError:
    """Return errors instead of raising them, as curio logs tasks that raise."""
    try:
        return await call(since, seconds)
    except PlatformError as error:
        return error
